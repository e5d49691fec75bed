//! Grants: what this store answers to the claims of others, and how it learns their terms anew after the loss of its disk.

use super::digest::{IdempotencyDigest, Shard, SHARD_COUNT};
use super::shard_table::ShardTerm;
use crate::effect::Effect;
use crate::entry::{Acceptance, Entry};
use crate::message::{Key, Millis, Node, ReplicatedMessage};
use crate::peer_message::{ClaimAnswer, KnownSubmission, PeerMessage};
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use std::collections::BTreeMap;

/// Beyond the window of the keys, messages are not named any more.
const WINDOW_MARGIN_MS: u64 = 10_000;

/// An age beyond this is none: the time at which the message was accepted is not known any more.
const KNOWN_AGE_LIMIT_MS: u64 = 365 * 86_400_000;

/// After the loss of its disk a store asks the others for their terms so often.
const TERMS_REQUEST_INTERVAL_MS: Millis = 500;

impl Queue {
    /// Another store claims shards.
    pub(crate) fn claim_received(&mut self, from: Node, claim_id: u64, term: u64, shards: Vec<Shard>) {
        self.shards.are_used = true;
        let claim = ShardTerm::from_term(term);
        let is_blank = self.shards.are_terms_missing && !self.planted(PlantedFault::BlankStoreGrants);
        let is_recovering = self.is_recovering() && !self.planted(PlantedFault::BlankStoreGrants);
        let shards: Vec<Shard> = shards.into_iter().filter(|shard| *shard < SHARD_COUNT).collect();
        let highest = shards.iter().map(|shard| self.shards.term_of(*shard)).max().unwrap_or_default();
        // Who has lost its disk can't say that no message lay there, and who misses more stores than may be lost that it would know of them.
        if is_blank || is_recovering || self.absent_stores() > self.settings.replica_count {
            return self.answer_claim(from, claim_id, ClaimAnswer::Abstained);
        }
        if highest > claim {
            return self.answer_claim(from, claim_id, ClaimAnswer::Refused { term: highest.term });
        }
        for shard in &shards {
            self.shards.raise(*shard, claim);
        }
        self.record(&Record::ShardsGranted { claim, shards: shards.clone() }, true);
        self.after_write(PendingWrite::Grant { to: from, claim_id, shards });
    }

    /// A grant is on disk: only now it is given, with all messages of these shards that lie here.
    pub(crate) fn grant_recorded(&mut self, now: Millis, to: Node, claim_id: u64, shards: &[Shard]) {
        let mut known = Vec::new();
        for shard in shards {
            let first = IdempotencyDigest::first_of(*shard);
            for (digest, key) in self.entries.with_digests_from(first) {
                if digest.shard() != *shard {
                    break;
                }
                known.extend(self.known_in_window(now, digest, key));
            }
        }
        self.answer_claim(to, claim_id, ClaimAnswer::Granted(known));
    }

    /// A grant could not be recorded: it is none.
    pub(crate) fn grant_failed(&mut self, to: Node, claim_id: u64) {
        self.answer_claim(to, claim_id, ClaimAnswer::Abstained);
    }

    fn answer_claim(&mut self, to: Node, claim_id: u64, answer: ClaimAnswer) {
        self.emit(Effect::Send { to, message: PeerMessage::ClaimAnswered { claim_id, answer } });
    }

    fn known_in_window(&self, now: Millis, digest: IdempotencyDigest, key: Key) -> Option<KnownSubmission> {
        let in_window = |entry: &&Entry| {
            let age_ms = entry.age_ms(now);
            let window_ms = self.settings.idempotency_window_ms + WINDOW_MARGIN_MS;
            entry.end.is_none() || age_ms <= window_ms || age_ms > KNOWN_AGE_LIMIT_MS
        };
        let entry = self.entries.get(&key).filter(in_window)?;
        let (shard_term, is_accepted) = (entry.message.shard_term, self.is_accepted(entry));
        Some(KnownSubmission { digest, key, shard_term, is_accepted })
    }

    /// Another store sends a replica of a message that it is about to accept. It is kept only if that store may still hold the shard.
    pub(crate) fn store_new_replica(&mut self, now: Millis, from: Node, replica: ReplicatedMessage) {
        self.shards.are_used = true;
        let key = replica.key;
        let Some(digest) = replica.message.idempotency_digest() else { return };
        let claim = ShardTerm::from_term(replica.message.shard_term);
        if self.shards.are_terms_missing && !self.planted(PlantedFault::BlankStoreGrants) {
            return self.outbox(from).replication_rejected.push(key);
        }
        let known = self.shards.term_of(digest.shard());
        if known > claim && !self.planted(PlantedFault::StaleHolderHeeded) {
            self.emit(Effect::Send { to: from, message: PeerMessage::StaleShard { term: known.term, key } });
            return;
        }
        if claim > known {
            // The claim was granted by others; what is kept in its term binds this store, too.
            self.shards.raise(digest.shard(), claim);
            self.record(&Record::ShardsGranted { claim, shards: vec![digest.shard()] }, true);
        }
        self.store_replica(now, from, replica);
    }

    /// Another store has granted a higher claim of the shard of a message that is being persisted here.
    pub(crate) fn shard_is_stale(&mut self, now: Millis, from: Node, term: u64, key: Key) {
        self.shards.refused_term = self.shards.refused_term.max(term);
        let digest = self.entries.get(&key).and_then(|entry| entry.message.idempotency_digest());
        if let Some(digest) = digest {
            // Also where another store holds the shard: that one has to hear of the claim from this one.
            self.shards.raise(digest.shard(), ShardTerm::from_term(term));
            self.shards.release(digest.shard());
        }
        // One that was being accepted anew is uncertain again.
        if self.entries.get(&key).is_some_and(|entry| entry.acceptance == Acceptance::Reaccepting) {
            self.set_acceptance(key, Acceptance::Unchecked);
            // The replica is sent once more, as that of a message that is not certain, and then the new holder is asked.
            self.replica_lost(now, key, from);
        }
        self.roll_back(key);
    }

    /// Another store has lost its disk, and asks for the terms that are known here.
    pub(crate) fn terms_requested(&mut self, from: Node) {
        self.shards.blank_peers.insert(from);
        self.send_terms(from);
    }

    /// Tells another store all terms that are known here, unless this one does not know all that bind it.
    pub(super) fn send_terms(&mut self, to: Node) {
        if !self.shards.are_terms_missing {
            let terms = self.shards.all_terms().collect();
            self.emit(Effect::Send { to, message: PeerMessage::ShardTerms(terms) });
        }
    }

    /// Another store has named its terms.
    pub(crate) fn terms_received(&mut self, from: Node, terms: Vec<(Shard, ShardTerm)>) {
        for (shard, term) in terms {
            self.shards.raise(shard, term);
        }
        self.shards.terms_named_by.insert(from);
        self.shards.blank_peers.remove(&from);
        self.adopt_named_terms();
    }

    /// Once all that the others have granted is known it binds this store: on disk first.
    pub(super) fn adopt_named_terms(&mut self) {
        let is_adopted = !self.shards.are_terms_missing || self.shards.are_terms_being_recorded;
        if is_adopted || !self.have_enough_named_terms() {
            return;
        }
        let mut shards_by_claim: BTreeMap<ShardTerm, Vec<Shard>> = BTreeMap::new();
        for (shard, claim) in self.shards.all_terms() {
            shards_by_claim.entry(claim).or_default().push(shard);
        }
        if shards_by_claim.is_empty() {
            return self.terms_recorded();
        }
        for (claim, shards) in shards_by_claim {
            self.record(&Record::ShardsGranted { claim, shards }, true);
        }
        self.shards.are_terms_being_recorded = true;
        self.after_write(PendingWrite::ShardTerms);
    }

    /// The terms of the others are on disk.
    pub(crate) fn terms_recorded(&mut self) {
        self.shards.are_terms_being_recorded = false;
        self.shards.are_terms_missing = false;
        tracing::info!("the holders of all shards are known again");
    }

    /// The terms of the others could not be recorded: they are asked for again.
    pub(crate) fn terms_not_recorded(&mut self) {
        self.shards.are_terms_being_recorded = false;
    }

    /// After the loss of the disk: asks the others for their terms.
    pub(crate) fn request_terms(&mut self, now: Millis) {
        let is_due = now >= self.shards.next_terms_request_at;
        if !self.shards.are_terms_missing || !self.shards.are_used || !is_due {
            return;
        }
        self.shards.next_terms_request_at = now + TERMS_REQUEST_INTERVAL_MS;
        self.send_to_connected(&PeerMessage::RequestShardTerms);
    }
}
