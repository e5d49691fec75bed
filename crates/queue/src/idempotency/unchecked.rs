//! Unchecked messages: read from disk or taken over, and possibly never accepted. If such a message was not accepted,
//! another with the same key may have been accepted since.
//!
//! Among all messages with one key, only the one from the highest term of its shard can have been accepted: the
//! holder in that term knew of everything accepted before, and nothing was accepted in earlier terms any more. So the
//! owner of an unchecked message asks the holder of the shard. The holder answers to drop the message if it knows of
//! another with the same key that has a higher term or was accepted. Otherwise the owner re-accepts the message in
//! the holder's term, on as many disks as at first. A Paxos leader completes the proposals of its predecessors in the
//! same way. The owner does not claim the shard itself: after a power loss at all stores, each has unchecked messages
//! in nearly every shard, and each claim would take the shard from all others.

use super::digest::{preferred_store_of_shard, IdempotencyDigest};
use super::shard_table::ShardTerm;
use crate::effect::Effect;
use crate::entry::{Acceptance, Entry, Stage};
use crate::message::{Key, Millis, Node};
use crate::peer_message::{KnownSubmission, PeerMessage};
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use std::collections::BTreeMap;

/// Minimum time before the holder of a shard is asked again about the same message.
const VERDICT_REQUEST_INTERVAL_MS: Millis = 500;

/// Maximum number of messages that one check asks about.
const MAX_VERDICT_REQUESTS_PER_CHECK: usize = 1000;

/// Order of the messages with one key: by the shard term in which each was to be accepted, then by message number,
/// because within a term a store accepts the next message only after it has rolled back the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    shard_term: u64,
    origin: Node,
    number: u64,
}

impl Rank {
    fn new(shard_term: u64, key: Key) -> Rank {
        Rank { shard_term, origin: key.origin, number: key.number }
    }
}

/// What the holder of a shard decides about an unchecked message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// The message may have been accepted, and is to be re-accepted in this term.
    Reaccept(u64),
    /// The message was not accepted: there is another with its key.
    Drop,
}

impl Queue {
    /// Marks a message owned by this store as unchecked: it may not have been accepted.
    pub(crate) fn mark_key_unchecked(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.digest.is_some()) {
            entry.acceptance = Acceptance::Unchecked;
        }
    }

    /// Whether the idempotency key of a message allows its delivery. If the message is unchecked, the holder of its
    /// shard is asked.
    pub(crate) fn is_key_checked(&mut self, key: Key) -> bool {
        let is_skipped = self.planted(PlantedFault::KeyUnchecked);
        let Some(entry) = self.entries.get(&key) else { return false };
        if entry.digest.is_none() || is_skipped {
            return true;
        }
        let is_settled =
            entry.unconfirmed.is_empty() && self.counted_replicas(entry) >= self.settings.replica_count;
        match entry.acceptance {
            Acceptance::Certain => true,
            Acceptance::Reaccepting if is_settled => {
                self.finish_reacceptance(key);
                true
            }
            Acceptance::Reaccepting => false,
            Acceptance::Unchecked => {
                self.shards.are_used = true;
                self.shards.unchecked.entry(key).or_insert(None);
                false
            }
        }
    }

    /// Asks the holders of the shards whether to accept or drop the unchecked messages.
    pub(crate) fn check_unchecked(&mut self, now: Millis) {
        let is_due =
            |asked_at: &Option<Millis>| asked_at.is_none_or(|at| now >= at + VERDICT_REQUEST_INTERVAL_MS);
        let due = self.shards.unchecked.iter().filter(|(_, asked_at)| is_due(asked_at));
        let due: Vec<Key> = due.map(|(key, _)| *key).take(MAX_VERDICT_REQUESTS_PER_CHECK).collect();
        let mut requests: BTreeMap<Node, Vec<KnownSubmission>> = BTreeMap::new();
        for key in due {
            let entry = self.entries.get(&key).filter(|entry| entry.end.is_none());
            let Some(entry) = entry.filter(|entry| entry.acceptance != Acceptance::Certain) else {
                self.shards.unchecked.remove(&key);
                continue;
            };
            if !self.can_request_verdict(entry) {
                continue;
            }
            let Some(digest) = entry.digest else { continue };
            let shard_term = entry.message.shard_term;
            let submission = KnownSubmission { digest, key, shard_term, is_accepted: false };
            self.shards.unchecked.insert(key, Some(now));
            requests.entry(self.expected_holder(digest)).or_default().push(submission);
        }
        for (holder, submissions) in requests {
            if holder == self.settings.node {
                let verdicts = self.verdicts(now, submissions);
                self.apply_verdicts(now, holder, verdicts.0, verdicts.1);
            } else {
                let message = PeerMessage::UncertainSubmissions(submissions);
                self.emit(Effect::Send { to: holder, message });
            }
        }
    }

    /// Whether the holder may be asked about a message: it is waiting, and no replica confirmation from an earlier
    /// term is still on its way, which would be taken for one of the next term.
    fn can_request_verdict(&self, entry: &Entry) -> bool {
        let is_connected = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.is_connected);
        entry.acceptance == Acceptance::Unchecked
            && entry.stage == Stage::Waiting
            && !entry.unconfirmed.iter().any(is_connected)
    }

    /// The store to which edges send messages with this key, as far as this store can know.
    fn expected_holder(&self, digest: IdempotencyDigest) -> Node {
        let able = self.peers.iter().filter(|(_, peer)| peer.can_hold_shards());
        let own = Some(self.settings.node).filter(|_| !self.is_draining && !self.is_recovering());
        let stores = able.map(|(node, _)| *node).chain(own);
        preferred_store_of_shard(digest.shard(), stores).unwrap_or(self.settings.node)
    }

    /// Answers another store's question about its unchecked messages.
    pub(crate) fn unchecked_received(&mut self, now: Millis, from: Node, submissions: Vec<KnownSubmission>) {
        self.shards.are_used = true;
        let (accepted, dropped) = self.verdicts(now, submissions);
        if !accepted.is_empty() || !dropped.is_empty() {
            let message = PeerMessage::SubmissionVerdicts { accepted, dropped };
            self.emit(Effect::Send { to: from, message });
        }
    }

    /// Divides unchecked messages into those to be re-accepted, each with its term, and those to be dropped. Messages
    /// of shards that this store does not hold are left out until it holds them.
    fn verdicts(&mut self, now: Millis, submissions: Vec<KnownSubmission>) -> (Vec<(Key, u64)>, Vec<Key>) {
        let (mut accepted, mut dropped) = (Vec::new(), Vec::new());
        for submission in submissions {
            match self.verdict(now, submission) {
                Some(Verdict::Reaccept(term)) => accepted.push((submission.key, term)),
                Some(Verdict::Drop) => dropped.push(submission.key),
                None => {
                    self.shards.shards_to_claim.insert(submission.digest.shard());
                }
            }
        }
        self.start_claim(now);
        (accepted, dropped)
    }

    fn verdict(&mut self, now: Millis, submission: KnownSubmission) -> Option<Verdict> {
        let KnownSubmission { digest, key, shard_term, .. } = submission;
        let term = self.shards.held_term(digest.shard())?;
        let own = Rank::new(shard_term, key);
        let others = self.entries.with_digest(digest).filter(|other| *other != key);
        let mut entries = others.filter_map(|other| Some((other, self.entries.get(&other)?)));
        let is_ruled_out_here = entries.any(|(other, entry)| {
            self.is_accepted(entry) || Rank::new(entry.message.shard_term, other) > own
        });
        let is_ruled_out_elsewhere = self.shards.reported(digest).any(|other| {
            let is_higher = Rank::new(other.shard_term, other.key) > own;
            other.key != key && (other.is_accepted || is_higher)
        });
        if is_ruled_out_here || is_ruled_out_elsewhere {
            return Some(Verdict::Drop);
        }
        // From now on no other message with this key is accepted in this term.
        self.shards.add_reported(now, KnownSubmission { shard_term: term, ..submission });
        Some(Verdict::Reaccept(term))
    }

    /// Applies the answer of a shard's holder about unchecked messages.
    pub(crate) fn apply_verdicts(
        &mut self,
        now: Millis,
        from: Node,
        accepted: Vec<(Key, u64)>,
        dropped: Vec<Key>,
    ) {
        let mut is_holder_outdated = false;
        for (key, term) in accepted {
            let Some(entry) = self.entries.get(&key).filter(|entry| self.can_request_verdict(entry)) else {
                continue;
            };
            if self.is_claim_outdated(entry, term) {
                is_holder_outdated = true;
            } else {
                self.reaccept(now, key, term);
            }
        }
        // A holder that was disconnected does not know that its shards were claimed, and would give the same answer
        // forever.
        if is_holder_outdated && from != self.settings.node {
            self.send_terms(from);
        }
        for key in dropped {
            if self.entries.get(&key).is_some_and(|entry| self.can_request_verdict(entry)) {
                tracing::info!("dropping an unchecked message that was not accepted: another message has its idempotency key");
                self.metrics.rivals_dropped += 1;
                self.withdraw(key);
            }
        }
    }

    /// Whether this store knows a higher claim of the message's shard than that of the store that gave the verdict.
    fn is_claim_outdated(&self, entry: &Entry, term: u64) -> bool {
        let claim = ShardTerm::from_term(term);
        entry.digest.is_some_and(|digest| self.shards.term_of(digest.shard()) > claim)
    }

    /// Re-accepts a message in the term in which its shard is held. It is delivered once it is on enough disks in
    /// that term. Disconnected stores are not waited for; their replicas go to other stores.
    fn reaccept(&mut self, now: Millis, key: Key, term: u64) {
        let node = self.settings.node;
        let Some(entry) = self.entries.get(&key) else { return };
        let takes_replicas = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.takes_replicas(now));
        let mut replicas: Vec<Node> = entry.replicas.iter().copied().filter(takes_replicas).collect();
        let lacking = self.settings.replica_count.saturating_sub(replicas.len());
        let added = self.choose_replica_stores(now, &replicas, &entry.replicas, lacking);
        if added.len() < lacking {
            return;
        }
        replicas.extend(added);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.message.shard_term = term;
        entry.acceptance = Acceptance::Reaccepting;
        entry.replicas.clone_from(&replicas);
        entry.unconfirmed = std::iter::once(node).chain(replicas.iter().copied()).collect();
        let Some(replica) = self.replicated_message(now, key) else { return };
        self.record(&Record::Put { replica: replica.clone() }, true);
        self.after_write(PendingWrite::Ownership(key));
        for to in replicas {
            self.send_replica(to, replica.clone());
        }
        // If a store does not answer, repair sends the replica again or to another store.
        self.check_replication(now, key);
    }

    /// Notes that this store's own record of a message that is being re-accepted could not be written, because the disk
    /// is full or has failed. Repair writes it again.
    pub(crate) fn note_failed_reacceptance(&mut self, key: Key) {
        let node = self.settings.node;
        if self.entries.get(&key).is_some_and(|entry| entry.unconfirmed.contains(&node)) {
            self.pending_writes.own_write_failed(key);
        }
    }

    /// Writes the own record of a message that is being re-accepted once more. If another store has claimed the shard
    /// since, or the message is unchecked again, the holder of the shard is asked first.
    pub(crate) fn write_reaccepted_again(&mut self, now: Millis, key: Key) {
        let node = self.settings.node;
        let Some(entry) = self.entries.get(&key).filter(|entry| entry.unconfirmed.contains(&node)) else {
            return;
        };
        let is_current = entry.acceptance == Acceptance::Reaccepting
            && !self.is_claim_outdated(entry, entry.message.shard_term);
        let bytes = entry.message.body.len() as u64;
        let Some(replica) = self.replicated_message(now, key).filter(|_| is_current) else {
            return self.ask_about_reaccepted(now, key);
        };
        self.repair_budget.take(bytes);
        self.record(&Record::Put { replica }, true);
        self.after_write(PendingWrite::Ownership(key));
    }

    /// Makes a message that was being re-accepted unchecked. Its earlier record is still on this store's disk.
    fn ask_about_reaccepted(&mut self, now: Millis, key: Key) {
        let node = self.settings.node;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.unconfirmed.retain(|unconfirmed| *unconfirmed != node);
        entry.acceptance = Acceptance::Unchecked;
        self.check_replication(now, key);
        self.schedule(now, key);
    }

    /// Schedules a message that was being re-accepted once all its replicas are confirmed.
    pub(crate) fn replicas_confirmed(&mut self, now: Millis, key: Key) {
        let entry = self.entries.get(&key);
        if entry.is_some_and(|entry| entry.acceptance == Acceptance::Reaccepting) {
            self.schedule(now, key);
        }
    }

    /// Marks a message as accepted once it is on enough disks in its holder's term, and notifies the holder.
    fn finish_reacceptance(&mut self, key: Key) {
        self.shards.unchecked.remove(&key);
        self.set_acceptance(key, Acceptance::Certain);
        let Some(entry) = self.entries.get(&key) else { return };
        let Some(digest) = entry.digest else { return };
        let shard_term = entry.message.shard_term;
        let holder = ShardTerm::from_term(shard_term).holder;
        if holder != self.settings.node {
            let accepted = KnownSubmission { digest, key, shard_term, is_accepted: true };
            let message = PeerMessage::SubmissionsAccepted(vec![accepted]);
            self.emit(Effect::Send { to: holder, message });
        }
    }

    /// Records messages that their owners have re-accepted.
    pub(crate) fn submissions_accepted(&mut self, now: Millis, submissions: Vec<KnownSubmission>) {
        for submission in submissions {
            if self.shards.held_term(submission.digest.shard()).is_some() {
                self.shards.add_reported(now, submission);
            }
        }
    }

    pub(super) fn set_acceptance(&mut self, key: Key, acceptance: Acceptance) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.acceptance = acceptance;
        }
    }
}
