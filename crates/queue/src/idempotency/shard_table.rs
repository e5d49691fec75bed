//! What a store knows of the shards: who holds each, which ones it holds itself, and what other stores have named of these.

use super::digest::{IdempotencyDigest, Shard, SHARD_COUNT};
use super::recovery::Recovery;
use crate::message::{Key, Message, Millis, Node};
use crate::peer_message::KnownSubmission;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// What another store has named of a shard is kept for so long, in milliseconds: its key can be used again by then.
const NAMED_RETENTION_MS: Millis = 90_000;

/// The highest claim of a shard that a store has granted, or made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardTerm {
    /// Rises with each claim; no two claims have the same, for its lowest 32 bits are the store that makes it.
    pub term: u64,
    /// That store.
    pub holder: Node,
}

impl ShardTerm {
    /// The claim with this term.
    pub(crate) fn from_term(term: u64) -> ShardTerm {
        ShardTerm { term, holder: term as Node }
    }

    /// The first claim of a store that is higher than these terms.
    pub(super) fn above(terms: u64, holder: Node) -> ShardTerm {
        ShardTerm::from_term((((terms >> 32) + 1) << 32) | u64::from(holder))
    }
}

/// A message that another store has named.
#[derive(Clone, Copy, Debug)]
pub(super) struct NamedSubmission {
    pub(super) key: Key,
    /// The term of the shard in which it was to be accepted.
    pub(super) shard_term: u64,
    /// It was accepted; else it may have been or not.
    pub(super) is_accepted: bool,
    named_at: Millis,
}

/// A submission that waits until its shard is held.
#[derive(Debug)]
pub(super) struct WaitingSubmission {
    pub(super) ticket: u64,
    pub(super) message: Message,
    /// It is rejected then, with nothing kept.
    pub(super) deadline: Millis,
}

/// A claim that has not been granted by enough stores.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) id: u64,
    pub(super) term: u64,
    pub(super) shards: Vec<Shard>,
    pub(super) started_at: Millis,
    /// This store's own record of it is on disk.
    pub(super) is_durable: bool,
    /// Stores whose answers have not come.
    pub(super) awaited: BTreeSet<Node>,
    /// Stores that have granted it.
    pub(super) granted: BTreeSet<Node>,
    /// What they have named.
    pub(super) named: Vec<KnownSubmission>,
}

/// All shards, as one store knows them.
#[derive(Debug)]
pub(crate) struct ShardTable {
    terms: Vec<ShardTerm>,
    /// The term in which this store holds each shard; 0 where it does not.
    held: Vec<u64>,
    /// When the claim was made by which each shard was last held.
    claimed_at: Vec<Millis>,
    /// What other stores have named of shards that are held here.
    named: BTreeMap<IdempotencyDigest, Vec<NamedSubmission>>,
    /// Shards to be claimed next.
    pub(super) wanted: BTreeSet<Shard>,
    pub(super) pending: Option<PendingClaim>,
    pub(super) next_claim_at: Millis,
    pub(super) last_claim_id: u64,
    /// The highest term that another store has named when it refused a claim.
    pub(super) refused_term: u64,
    pub(super) waiting: Vec<WaitingSubmission>,
    /// Tickets of further submissions with the key of a message that is being persisted.
    pub(super) followers: HashMap<Key, Vec<u64>>,
    /// Messages owned here that may not have been accepted, and when the holder of the shard was last asked.
    pub(super) unchecked: BTreeMap<Key, Option<Millis>>,
    /// Digests of messages that were rolled back here, and when: a replica may still be on its way.
    rolled_back: VecDeque<(Millis, IdempotencyDigest)>,
    /// The configuration names tenants, or a message had an idempotency key.
    pub(crate) are_used: bool,
    /// The disk was lost, and with it the terms: nothing is granted, and no new replica kept, before they are known again.
    pub(super) are_terms_missing: bool,
    /// The terms that the others have named are on their way to the disk.
    pub(super) are_terms_being_recorded: bool,
    /// The disk was lost, and with it the messages.
    pub(super) recovery: Recovery,
    /// Stores that have named their terms since this store's start.
    pub(super) terms_named_by: BTreeSet<Node>,
    /// Stores that have asked for terms, since their own are missing, and have not named any since.
    pub(super) blank_peers: BTreeSet<Node>,
    /// When the others are asked again for their terms.
    pub(super) next_terms_request_at: Millis,
    /// Since when the shards that fall to this store have to be claimed.
    pub(super) rebalance_since: Option<Millis>,
    /// Since when no control node is heard.
    pub(super) control_lost_since: Option<Millis>,
}

impl ShardTable {
    /// No shard is held. `terms` are those that lie on the disk; `has_lost_disk`: a disk before it was lost, and the recovery from that is
    /// not complete.
    pub(crate) fn new(now: Millis, terms: &BTreeMap<Shard, ShardTerm>, has_lost_disk: bool) -> ShardTable {
        let count = usize::from(SHARD_COUNT);
        let mut table = ShardTable {
            terms: vec![ShardTerm::default(); count],
            held: vec![0; count],
            claimed_at: vec![0; count],
            named: BTreeMap::new(),
            wanted: BTreeSet::new(),
            pending: None,
            next_claim_at: 0,
            last_claim_id: 0,
            refused_term: 0,
            waiting: Vec::new(),
            followers: HashMap::new(),
            unchecked: BTreeMap::new(),
            rolled_back: VecDeque::new(),
            are_used: false,
            are_terms_missing: has_lost_disk,
            are_terms_being_recorded: false,
            recovery: Recovery::new(now, has_lost_disk),
            terms_named_by: BTreeSet::new(),
            blank_peers: BTreeSet::new(),
            next_terms_request_at: 0,
            rebalance_since: None,
            control_lost_since: None,
        };
        terms.iter().for_each(|(shard, term)| table.raise(*shard, *term));
        table
    }

    /// The highest claim of a shard that is known.
    pub(crate) fn term_of(&self, shard: Shard) -> ShardTerm {
        self.terms.get(usize::from(shard)).copied().unwrap_or_default()
    }

    /// The highest claims of all shards that were ever claimed.
    pub(super) fn all_terms(&self) -> impl Iterator<Item = (Shard, ShardTerm)> + '_ {
        let terms = self.terms.iter().enumerate().filter(|(_, term)| term.term > 0);
        terms.map(|(shard, term)| (shard as Shard, *term))
    }

    /// Notes a claim, if it is higher than what is known. A shard that another store claims is not held here any more.
    pub(super) fn raise(&mut self, shard: Shard, claim: ShardTerm) {
        let Some(known) = self.terms.get_mut(usize::from(shard)) else { return };
        if claim > *known {
            *known = claim;
            self.held[usize::from(shard)] = 0;
        }
    }

    /// The term in which this store holds a shard.
    pub(crate) fn held_term(&self, shard: Shard) -> Option<u64> {
        self.held.get(usize::from(shard)).copied().filter(|term| *term > 0)
    }

    /// The shards for which submissions wait.
    pub(super) fn awaited_shards(&self) -> BTreeSet<Shard> {
        let digests = self.waiting.iter().filter_map(|waiting| waiting.message.idempotency_digest());
        digests.map(IdempotencyDigest::shard).collect()
    }

    /// Whether this store recovers from the loss of its disk.
    pub(crate) fn is_recovery_pending(&self) -> bool {
        self.recovery.is_pending()
    }

    /// How many shards this store holds.
    pub(crate) fn held_count(&self) -> usize {
        self.held.iter().filter(|term| **term > 0).count()
    }

    /// This store holds a shard from now on, in the term of a claim that it made at that time.
    pub(super) fn hold(&mut self, claimed_at: Millis, shard: Shard, term: u64) {
        self.held[usize::from(shard)] = term;
        self.claimed_at[usize::from(shard)] = claimed_at;
        self.wanted.remove(&shard);
        let first = IdempotencyDigest::first_of(shard);
        let of_shard = self.named.range(first..).take_while(|(digest, _)| digest.shard() == shard);
        let of_shard: Vec<IdempotencyDigest> = of_shard.map(|(digest, _)| *digest).collect();
        of_shard.iter().for_each(|digest| drop(self.named.remove(digest)));
    }

    /// This store does not hold a shard any more.
    pub(super) fn release(&mut self, shard: Shard) {
        if let Some(term) = self.held.get_mut(usize::from(shard)) {
            *term = 0;
        }
    }

    /// When the claim was made by which a shard was last held here.
    pub(super) fn claimed_at(&self, shard: Shard) -> Millis {
        self.claimed_at.get(usize::from(shard)).copied().unwrap_or_default()
    }

    /// Another store has named a message: of what several say of it the most certain counts.
    pub(super) fn add_named(&mut self, now: Millis, submission: KnownSubmission) {
        let KnownSubmission { digest, key, shard_term, is_accepted } = submission;
        let named = self.named.entry(digest).or_default();
        match named.iter_mut().find(|named| named.key == key) {
            Some(known) => {
                known.shard_term = known.shard_term.max(shard_term);
                known.is_accepted |= is_accepted;
            }
            None => named.push(NamedSubmission { key, shard_term, is_accepted, named_at: now }),
        }
    }

    /// What other stores have named of a key.
    pub(super) fn named(&self, digest: IdempotencyDigest) -> impl Iterator<Item = &NamedSubmission> {
        self.named.get(&digest).into_iter().flatten()
    }

    /// A message was rolled back here.
    pub(super) fn note_rolled_back(&mut self, now: Millis, digest: IdempotencyDigest) {
        self.rolled_back.push_back((now, digest));
    }

    /// Whether a message with this key was rolled back here a short time ago.
    pub(super) fn was_rolled_back(&self, digest: IdempotencyDigest) -> bool {
        self.rolled_back.iter().any(|(_, other)| *other == digest)
    }

    /// Forgets what is too old to matter.
    pub(super) fn forget_old(&mut self, now: Millis, rollback_memory_ms: Millis) {
        self.named.retain(|_, named| named.iter().any(|one| now < one.named_at + NAMED_RETENTION_MS));
        while self.rolled_back.front().is_some_and(|(at, _)| now >= at + rollback_memory_ms) {
            self.rolled_back.pop_front();
        }
    }
}
