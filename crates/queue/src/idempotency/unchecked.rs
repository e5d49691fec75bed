//! Messages of which it is not certain that they were accepted: read from disk, or taken over. With the key of one that was not,
//! another may have been accepted since.
//!
//! Of all messages with one key only the one from the highest term of its shard can have been accepted: who held the shard then knew of
//! all that had been accepted before, and nothing was accepted in earlier terms any more. So the owner of an uncertain message asks the
//! holder of the shard. That one says to drop the message if it knows of another of a higher term, or of one that was accepted;
//! else the owner accepts the message anew, in the holder's term, on as many disks as at first. This is how a leader of Paxos goes
//! on with what its predecessors have left. The owner doesn't claim the shard itself: after a loss of all power every store has uncertain
//! messages in nearly every shard, and each claim would take the shard from all others.

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

/// The holder of a shard is asked again for the same message no sooner.
const QUESTION_INTERVAL_MS: Millis = 500;

/// Messages that are asked for in one check at most.
const MAX_QUESTIONS_PER_CHECK: usize = 1000;

/// Orders the messages with one key: by the term in which each was to be accepted, and those of one term by their numbers, for a store
/// takes the next one only once it has rolled back the one before.
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

/// What the holder of a shard says of an uncertain message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// It may have been accepted, and is to be accepted anew in this term.
    AcceptAnew(u64),
    /// It was not accepted: there is another with its key.
    Drop,
}

impl Queue {
    /// A message is owned here, and it is not certain that it was accepted.
    pub(crate) fn mark_key_unchecked(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.digest.is_some()) {
            entry.acceptance = Acceptance::Unchecked;
        }
    }

    /// Whether a message may be delivered as far as its idempotency key goes. If it is not certain yet, its shard's holder is asked.
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
                self.accepted_anew(key);
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

    /// Asks the holders of the shards what is to become of the messages that are not certain.
    pub(crate) fn check_unchecked(&mut self, now: Millis) {
        let is_due = |asked_at: &Option<Millis>| asked_at.is_none_or(|at| now >= at + QUESTION_INTERVAL_MS);
        let due = self.shards.unchecked.iter().filter(|(_, asked_at)| is_due(asked_at));
        let due: Vec<Key> = due.map(|(key, _)| *key).take(MAX_QUESTIONS_PER_CHECK).collect();
        let mut questions: BTreeMap<Node, Vec<KnownSubmission>> = BTreeMap::new();
        for key in due {
            let entry = self.entries.get(&key).filter(|entry| entry.end.is_none());
            let Some(entry) = entry.filter(|entry| entry.acceptance != Acceptance::Certain) else {
                self.shards.unchecked.remove(&key);
                continue;
            };
            if !self.may_be_asked_for(entry) {
                continue;
            }
            let Some(digest) = entry.digest else { continue };
            let shard_term = entry.message.shard_term;
            let submission = KnownSubmission { digest, key, shard_term, is_accepted: false };
            self.shards.unchecked.insert(key, Some(now));
            questions.entry(self.likely_holder(digest)).or_default().push(submission);
        }
        for (holder, submissions) in questions {
            if holder == self.settings.node {
                let verdicts = self.verdicts(now, submissions);
                self.apply_verdicts(now, holder, verdicts.0, verdicts.1);
            } else {
                let message = PeerMessage::UncertainSubmissions(submissions);
                self.emit(Effect::Send { to: holder, message });
            }
        }
    }

    /// It waits here, and no confirmation is on its way from an earlier term, which would be taken for one of the term to come.
    fn may_be_asked_for(&self, entry: &Entry) -> bool {
        let is_connected = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.is_connected);
        entry.acceptance == Acceptance::Unchecked
            && entry.stage == Stage::Waiting
            && !entry.unconfirmed.iter().any(is_connected)
    }

    /// The store to which edges send messages of a key, as far as this store can know.
    fn likely_holder(&self, digest: IdempotencyDigest) -> Node {
        let able = self.peers.iter().filter(|(_, peer)| peer.can_hold_shards());
        let own = Some(self.settings.node).filter(|_| !self.is_draining && !self.is_recovering());
        let stores = able.map(|(node, _)| *node).chain(own);
        preferred_store_of_shard(digest.shard(), stores).unwrap_or(self.settings.node)
    }

    /// Another store has messages that are not certain.
    pub(crate) fn uncertain_received(&mut self, now: Millis, from: Node, submissions: Vec<KnownSubmission>) {
        self.shards.are_used = true;
        let (accepted, dropped) = self.verdicts(now, submissions);
        if !accepted.is_empty() || !dropped.is_empty() {
            let message = PeerMessage::SubmissionVerdicts { accepted, dropped };
            self.emit(Effect::Send { to: from, message });
        }
    }

    /// The messages to be accepted anew, each with its term, and those to be dropped. Of shards that are not held here nothing is said
    /// before they are.
    fn verdicts(&mut self, now: Millis, submissions: Vec<KnownSubmission>) -> (Vec<(Key, u64)>, Vec<Key>) {
        let (mut accepted, mut dropped) = (Vec::new(), Vec::new());
        for submission in submissions {
            match self.verdict(now, submission) {
                Some(Verdict::AcceptAnew(term)) => accepted.push((submission.key, term)),
                Some(Verdict::Drop) => dropped.push(submission.key),
                None => {
                    self.shards.wanted.insert(submission.digest.shard());
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
        let is_ruled_out_elsewhere = self.shards.named(digest).any(|other| {
            let is_higher = Rank::new(other.shard_term, other.key) > own;
            other.key != key && (other.is_accepted || is_higher)
        });
        if is_ruled_out_here || is_ruled_out_elsewhere {
            return Some(Verdict::Drop);
        }
        // From now on no other with this key is accepted in this term.
        self.shards.add_named(now, KnownSubmission { shard_term: term, ..submission });
        Some(Verdict::AcceptAnew(term))
    }

    /// The holder of a shard has said what becomes of messages that are not certain.
    pub(crate) fn apply_verdicts(
        &mut self,
        now: Millis,
        from: Node,
        accepted: Vec<(Key, u64)>,
        dropped: Vec<Key>,
    ) {
        let mut is_holder_outdated = false;
        for (key, term) in accepted {
            let Some(entry) = self.entries.get(&key).filter(|entry| self.may_be_asked_for(entry)) else {
                continue;
            };
            if self.is_claim_outdated(entry, term) {
                is_holder_outdated = true;
            } else {
                self.accept_anew(now, key, term);
            }
        }
        // One that was away does not know that its shards were claimed, and would say the same for ever.
        if is_holder_outdated && from != self.settings.node {
            self.send_terms(from);
        }
        for key in dropped {
            if self.entries.get(&key).is_some_and(|entry| self.may_be_asked_for(entry)) {
                tracing::info!("a message that was not accepted is dropped: there is another with its key");
                self.metrics.rivals_dropped += 1;
                self.withdraw(key);
            }
        }
    }

    /// Whether a higher claim of a message's shard is known here than that of the store that has given a verdict on it.
    fn is_claim_outdated(&self, entry: &Entry, term: u64) -> bool {
        let claim = ShardTerm::from_term(term);
        entry.digest.is_some_and(|digest| self.shards.term_of(digest.shard()) > claim)
    }

    /// Accepts a message anew in the term in which its shard is held: it is delivered once it lies in that term on enough disks. Stores
    /// that are away are not waited for: others take their place.
    fn accept_anew(&mut self, now: Millis, key: Key, term: u64) {
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
        // Where one of them does not answer repair sends it again, or to another store.
        self.check_replication(now, key);
    }

    /// All replicas of a message are confirmed: if it was being accepted anew, it is accepted.
    pub(crate) fn replicas_confirmed(&mut self, now: Millis, key: Key) {
        let entry = self.entries.get(&key);
        if entry.is_some_and(|entry| entry.acceptance == Acceptance::Reaccepting) {
            self.schedule(now, key);
        }
    }

    /// A message lies on enough disks in the term of its shard's holder, which is told.
    fn accepted_anew(&mut self, key: Key) {
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

    /// The owners of these messages have accepted them anew.
    pub(crate) fn submissions_accepted(&mut self, now: Millis, submissions: Vec<KnownSubmission>) {
        for submission in submissions {
            if self.shards.held_term(submission.digest.shard()).is_some() {
                self.shards.add_named(now, submission);
            }
        }
    }

    pub(super) fn set_acceptance(&mut self, key: Key, acceptance: Acceptance) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.acceptance = acceptance;
        }
    }
}
