//! Shard table: what a store knows of the holder of each shard, which shards it holds itself, and which messages
//! other stores have reported in these.

use super::digest::{IdempotencyDigest, Shard, SHARD_COUNT};
use super::recovery::Recovery;
use crate::message::{Key, Message, Millis, Node};
use crate::peer_message::KnownSubmission;
use crate::retention::Retention;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The highest claim of a shard that a store has granted or made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardTerm {
    /// Rises with each claim. No two claims have the same term: its lowest 32 bits are the node number of the
    /// claiming store.
    pub term: u64,
    /// The store that made the claim.
    pub holder: Node,
}

impl ShardTerm {
    /// The claim with this term.
    pub(crate) fn from_term(term: u64) -> ShardTerm {
        ShardTerm { term, holder: term as Node }
    }

    /// The lowest claim of a store that is higher than all these terms.
    pub(super) fn above(terms: u64, holder: Node) -> ShardTerm {
        ShardTerm::from_term((((terms >> 32) + 1) << 32) | u64::from(holder))
    }
}

/// A message that another store has reported in a grant or an acceptance notice.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedSubmission {
    pub(super) key: Key,
    /// The term of the shard in which the message was to be accepted.
    pub(super) shard_term: u64,
    /// The message was accepted; if false, it is unknown whether it was.
    pub(super) is_accepted: bool,
    reported_at: Millis,
}

/// A submission that waits until this store holds the shard of its key.
#[derive(Debug)]
pub(super) struct WaitingSubmission {
    pub(super) ticket: u64,
    pub(super) message: Message,
    /// When the submission is rejected; nothing of it is stored then.
    pub(super) deadline: Millis,
}

/// A claim that too few stores have granted so far.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) id: u64,
    pub(super) term: u64,
    pub(super) shards: Vec<Shard>,
    pub(super) started_at: Millis,
    /// This store's own record of the claim is on disk.
    pub(super) is_durable: bool,
    /// Connected stores that have not answered the claim yet.
    pub(super) awaited: BTreeSet<Node>,
    /// Stores that have granted the claim.
    pub(super) granted: BTreeSet<Node>,
    /// Messages that the granting stores have reported.
    pub(super) reported: Vec<KnownSubmission>,
}

/// All shards, as one store knows them.
#[derive(Debug)]
pub(crate) struct ShardTable {
    terms: Vec<ShardTerm>,
    /// The term in which this store holds each shard; 0 if it does not hold the shard.
    held: Vec<u64>,
    /// For each shard, when this store made the claim by which it last held the shard.
    claimed_at: Vec<Millis>,
    /// Messages that other stores have reported in shards that this store holds.
    reported: BTreeMap<IdempotencyDigest, Vec<ReportedSubmission>>,
    /// Shards to be claimed next.
    pub(super) shards_to_claim: BTreeSet<Shard>,
    pub(super) pending: Option<PendingClaim>,
    pub(super) next_claim_at: Millis,
    pub(super) last_claim_id: u64,
    /// The highest term that another store has returned when it refused a claim.
    pub(super) refused_term: u64,
    pub(super) waiting: Vec<WaitingSubmission>,
    /// Tickets of further submissions with the key of a message that is still being persisted.
    pub(super) duplicates: HashMap<Key, Vec<u64>>,
    /// Messages owned by this store that may not have been accepted, and when the holder of the shard was last asked
    /// about each.
    pub(super) unchecked: BTreeMap<Key, Option<Millis>>,
    /// Digests of messages that were rolled back here, and when: a replica may still be on its way to another store.
    rolled_back: VecDeque<(Millis, IdempotencyDigest)>,
    /// The configuration has tenants, or a message had an idempotency key.
    pub(crate) are_used: bool,
    /// The disk was lost, and the shard terms with it: until they are known again no claim is granted and no new
    /// replica is stored.
    pub(super) are_terms_missing: bool,
    /// The shard terms that the others have sent are being written to disk.
    pub(super) are_terms_being_recorded: bool,
    /// State of the recovery if the disk, and the messages on it, were lost.
    pub(super) recovery: Recovery,
    /// Stores that have sent their shard terms since this store started.
    pub(super) terms_received_from: BTreeSet<Node>,
    /// Stores that lack their own shard terms: they have asked for terms and have sent none since.
    pub(super) peers_without_terms: BTreeSet<Node>,
    /// When the other stores are asked again for their shard terms.
    pub(super) next_terms_request_at: Millis,
    /// Since when this store has been due to claim the shards that it is preferred for.
    pub(super) rebalance_since: Option<Millis>,
    /// Since when no control node has been reachable.
    pub(super) control_lost_since: Option<Millis>,
}

impl ShardTable {
    /// Creates a table in which this store holds no shard. `terms` are the shard terms read from disk.
    /// `has_lost_disk` means that an earlier disk was lost and the recovery from that is not complete.
    pub(crate) fn new(now: Millis, terms: &BTreeMap<Shard, ShardTerm>, has_lost_disk: bool) -> ShardTable {
        let count = usize::from(SHARD_COUNT);
        let mut table = ShardTable {
            terms: vec![ShardTerm::default(); count],
            held: vec![0; count],
            claimed_at: vec![0; count],
            reported: BTreeMap::new(),
            shards_to_claim: BTreeSet::new(),
            pending: None,
            next_claim_at: 0,
            last_claim_id: 0,
            refused_term: 0,
            waiting: Vec::new(),
            duplicates: HashMap::new(),
            unchecked: BTreeMap::new(),
            rolled_back: VecDeque::new(),
            are_used: false,
            are_terms_missing: has_lost_disk,
            are_terms_being_recorded: false,
            recovery: Recovery::new(now, has_lost_disk),
            terms_received_from: BTreeSet::new(),
            peers_without_terms: BTreeSet::new(),
            next_terms_request_at: 0,
            rebalance_since: None,
            control_lost_since: None,
        };
        terms.iter().for_each(|(shard, term)| table.raise(*shard, *term));
        table
    }

    /// The highest known claim of a shard.
    pub(crate) fn term_of(&self, shard: Shard) -> ShardTerm {
        self.terms.get(usize::from(shard)).copied().unwrap_or_default()
    }

    /// The highest claims of all shards that were ever claimed.
    pub(super) fn all_terms(&self) -> impl Iterator<Item = (Shard, ShardTerm)> + '_ {
        let terms = self.terms.iter().enumerate().filter(|(_, term)| term.term > 0);
        terms.map(|(shard, term)| (shard as Shard, *term))
    }

    /// Records a claim if it is higher than the known one. This store no longer holds a shard that another store has
    /// claimed.
    pub(super) fn raise(&mut self, shard: Shard, claim: ShardTerm) {
        let Some(known) = self.terms.get_mut(usize::from(shard)) else { return };
        if claim > *known {
            *known = claim;
            self.held[usize::from(shard)] = 0;
        }
    }

    /// The term in which this store holds a shard, if it holds it.
    pub(crate) fn held_term(&self, shard: Shard) -> Option<u64> {
        self.held.get(usize::from(shard)).copied().filter(|term| *term > 0)
    }

    /// The shards that submissions wait for.
    pub(super) fn awaited_shards(&self) -> BTreeSet<Shard> {
        let digests = self.waiting.iter().filter_map(|waiting| waiting.message.idempotency_digest());
        digests.map(IdempotencyDigest::shard).collect()
    }

    /// Whether this store is recovering from the loss of its disk.
    pub(crate) fn is_recovery_pending(&self) -> bool {
        self.recovery.is_pending()
    }

    /// Number of shards that this store holds.
    pub(crate) fn held_count(&self) -> usize {
        self.held.iter().filter(|term| **term > 0).count()
    }

    /// Makes this store the holder of a shard, in the term of the claim that it made at `claimed_at`.
    pub(super) fn hold(&mut self, claimed_at: Millis, shard: Shard, term: u64) {
        self.held[usize::from(shard)] = term;
        self.claimed_at[usize::from(shard)] = claimed_at;
        self.shards_to_claim.remove(&shard);
        let first = IdempotencyDigest::first_of(shard);
        let of_shard = self.reported.range(first..).take_while(|(digest, _)| digest.shard() == shard);
        let of_shard: Vec<IdempotencyDigest> = of_shard.map(|(digest, _)| *digest).collect();
        of_shard.iter().for_each(|digest| drop(self.reported.remove(digest)));
    }

    /// Makes this store no longer the holder of a shard.
    pub(super) fn release(&mut self, shard: Shard) {
        if let Some(term) = self.held.get_mut(usize::from(shard)) {
            *term = 0;
        }
    }

    /// When this store made the claim by which it last held a shard.
    pub(super) fn claimed_at(&self, shard: Shard) -> Millis {
        self.claimed_at.get(usize::from(shard)).copied().unwrap_or_default()
    }

    /// Adds a message that another store has reported. If several stores report the same message, the most certain
    /// state counts.
    pub(super) fn add_reported(&mut self, now: Millis, submission: KnownSubmission) {
        let KnownSubmission { digest, key, shard_term, is_accepted } = submission;
        let reported = self.reported.entry(digest).or_default();
        match reported.iter_mut().find(|reported| reported.key == key) {
            Some(known) => {
                known.shard_term = known.shard_term.max(shard_term);
                known.is_accepted |= is_accepted;
            }
            None => reported.push(ReportedSubmission { key, shard_term, is_accepted, reported_at: now }),
        }
    }

    /// The messages with this key that other stores have reported.
    pub(super) fn reported(&self, digest: IdempotencyDigest) -> impl Iterator<Item = &ReportedSubmission> {
        self.reported.get(&digest).into_iter().flatten()
    }

    /// Remembers that a message with this key was rolled back here.
    pub(super) fn note_rolled_back(&mut self, now: Millis, digest: IdempotencyDigest) {
        self.rolled_back.push_back((now, digest));
    }

    /// Whether a message with this key was rolled back here recently.
    pub(super) fn was_rolled_back(&self, digest: IdempotencyDigest) -> bool {
        self.rolled_back.iter().any(|(_, other)| *other == digest)
    }

    /// Discards reported messages and rolled-back keys that are past their retention period.
    pub(super) fn discard_expired(
        &mut self,
        now: Millis,
        retention: Retention,
        rollback_retention_ms: Millis,
    ) {
        let is_kept = |one: &ReportedSubmission| now < one.reported_at + retention.reported_submission_ms();
        self.reported.retain(|_, reported| reported.iter().any(is_kept));
        while self.rolled_back.front().is_some_and(|(at, _)| now >= at + rollback_retention_ms) {
            self.rolled_back.pop_front();
        }
    }
}
