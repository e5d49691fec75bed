//! Grants: this store's answers to the shard claims of others, and how it learns the shard terms again after it has
//! lost its disk.

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

/// A larger age means that the time at which the message was accepted is unknown.
const MAX_KNOWN_AGE_MS: u64 = 365 * 86_400_000;

/// Interval at which a store that has lost its disk asks the others for their shard terms.
const TERMS_REQUEST_INTERVAL_MS: Millis = 500;

impl Queue {
    /// Handles another store's claim of shards.
    pub(crate) fn claim_received(&mut self, from: Node, claim_id: u64, term: u64, shards: Vec<Shard>) {
        self.shards.are_used = true;
        let claim = ShardTerm::from_term(term);
        let lacks_terms = self.shards.are_terms_missing && !self.planted(PlantedFault::BlankStoreGrants);
        let is_recovering = self.is_recovering() && !self.planted(PlantedFault::BlankStoreGrants);
        let shards: Vec<Shard> = shards.into_iter().filter(|shard| *shard < SHARD_COUNT).collect();
        let highest = shards.iter().map(|shard| self.shards.term_of(*shard)).max().unwrap_or_default();
        // A store that has lost its disk cannot say that it held no message of these shards. One that is cut off from
        // more stores than may be lost cannot say that it would know of every message.
        if lacks_terms || is_recovering || self.absent_stores() > self.settings.replica_count {
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

    /// Sends a grant, with all messages of these shards at this store, once the grant is on disk.
    pub(crate) fn grant_recorded(&mut self, now: Millis, to: Node, claim_id: u64, shards: &[Shard]) {
        let mut known = Vec::new();
        for shard in shards {
            let first = IdempotencyDigest::first_of(*shard);
            for (digest, key) in self.entries.with_digests_from(first) {
                if digest.shard() != *shard {
                    break;
                }
                known.extend(self.submission_in_window(now, digest, key));
            }
        }
        self.answer_claim(to, claim_id, ClaimAnswer::Granted(known));
    }

    /// Abstains from a claim because the grant could not be recorded.
    pub(crate) fn grant_failed(&mut self, to: Node, claim_id: u64) {
        self.answer_claim(to, claim_id, ClaimAnswer::Abstained);
    }

    fn answer_claim(&mut self, to: Node, claim_id: u64, answer: ClaimAnswer) {
        self.emit(Effect::Send { to, message: PeerMessage::ClaimAnswered { claim_id, answer } });
    }

    fn submission_in_window(
        &self,
        now: Millis,
        digest: IdempotencyDigest,
        key: Key,
    ) -> Option<KnownSubmission> {
        let in_window = |entry: &&Entry| {
            let age_ms = entry.age_ms(now);
            let window_ms = self.settings.retention.idempotency_key_ms();
            entry.end.is_none() || age_ms <= window_ms || age_ms > MAX_KNOWN_AGE_MS
        };
        let entry = self.entries.get(&key).filter(in_window)?;
        let (shard_term, is_accepted) = (entry.message.shard_term, self.is_accepted(entry));
        Some(KnownSubmission { digest, key, shard_term, is_accepted })
    }

    /// Handles a replica of a message that another store is about to accept. It is stored only if that store may
    /// still hold the shard.
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
            // Other stores have granted this claim; a replica stored in its term binds this store to it too.
            self.shards.raise(digest.shard(), claim);
            self.record(&Record::ShardsGranted { claim, shards: vec![digest.shard()] }, true);
        }
        self.store_replica(now, from, replica);
    }

    /// Handles that another store has granted a higher claim of the shard of a message that is being persisted here.
    pub(crate) fn shard_is_stale(&mut self, now: Millis, from: Node, term: u64, key: Key) {
        self.shards.refused_term = self.shards.refused_term.max(term);
        let digest = self.entries.get(&key).and_then(|entry| entry.message.idempotency_digest());
        if let Some(digest) = digest {
            // The claim is recorded even if a third store holds the shard: that one has to learn of it from this
            // store.
            self.shards.raise(digest.shard(), ShardTerm::from_term(term));
            self.shards.release(digest.shard());
        }
        // A message that was being re-accepted is unchecked again.
        if self.entries.get(&key).is_some_and(|entry| entry.acceptance == Acceptance::Reaccepting) {
            self.set_acceptance(key, Acceptance::Unchecked);
            // The replica is sent again as one of an unchecked message; then the new holder of the shard is asked.
            self.replica_lost(now, key, from);
        }
        self.roll_back(key);
    }

    /// Answers a store that has lost its disk with the shard terms that are known here.
    pub(crate) fn terms_requested(&mut self, from: Node) {
        self.shards.peers_without_terms.insert(from);
        self.send_terms(from);
    }

    /// Sends another store all shard terms that are known here, unless this store lacks some that bind it.
    pub(super) fn send_terms(&mut self, to: Node) {
        if !self.shards.are_terms_missing {
            let terms = self.shards.all_terms().collect();
            self.emit(Effect::Send { to, message: PeerMessage::ShardTerms(terms) });
        }
    }

    /// Handles the shard terms of another store.
    pub(crate) fn terms_received(&mut self, from: Node, terms: Vec<(Shard, ShardTerm)>) {
        for (shard, term) in terms {
            self.shards.raise(shard, term);
        }
        self.shards.terms_received_from.insert(from);
        self.shards.peers_without_terms.remove(&from);
        self.adopt_received_terms();
    }

    /// Adopts the shard terms that the others have sent once they include every claim that this store may have
    /// granted. They are written to disk first.
    pub(super) fn adopt_received_terms(&mut self) {
        let is_adopted = !self.shards.are_terms_missing || self.shards.are_terms_being_recorded;
        if is_adopted || !self.has_enough_terms() {
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

    /// Handles that the shard terms of the other stores are on disk.
    pub(crate) fn terms_recorded(&mut self) {
        self.shards.are_terms_being_recorded = false;
        self.shards.are_terms_missing = false;
        tracing::info!("shard terms were restored from the other stores after the loss of this disk");
    }

    /// Handles that the shard terms of the other stores could not be recorded; they are requested again.
    pub(crate) fn terms_not_recorded(&mut self) {
        self.shards.are_terms_being_recorded = false;
    }

    /// Asks the other stores for their shard terms after this store has lost its disk.
    pub(crate) fn request_terms(&mut self, now: Millis) {
        let is_due = now >= self.shards.next_terms_request_at;
        if !self.shards.are_terms_missing || !self.shards.are_used || !is_due {
            return;
        }
        self.shards.next_terms_request_at = now + TERMS_REQUEST_INTERVAL_MS;
        self.send_to_connected(&PeerMessage::RequestShardTerms);
    }
}
