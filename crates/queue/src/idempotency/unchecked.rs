//! Messages of which it is not certain that they were accepted: read from disk, or taken over. With the key of one that was not,
//! another may have been accepted since.
//!
//! Of all messages with one key only the one from the highest term of its shard can have been accepted: who held the shard then knew of
//! all that had been accepted before, and nothing was accepted in earlier terms any more. So the owner of an uncertain message claims the
//! shard. It drops the message if another of a higher term is known, or one that was accepted; else it accepts the message anew, in the
//! term of its own claim, on as many disks as at first. This is how a leader of Paxos goes on with what its predecessors have left.

use super::digest::IdempotencyDigest;
use crate::entry::{Acceptance, Entry};
use crate::message::{Key, Millis, Node};
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;

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

impl Queue {
    /// A message is owned here, and it is not certain that it was accepted.
    pub(crate) fn mark_key_unchecked(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.digest.is_some()) {
            entry.acceptance = Acceptance::Unchecked;
        }
    }

    /// Whether a message may be delivered as far as its idempotency key goes. If it is not certain yet, this is looked at again
    /// until it is.
    pub(crate) fn is_key_checked(&mut self, now: Millis, key: Key) -> bool {
        let Some(entry) = self.entries.get(&key) else { return false };
        let Some(digest) = entry.digest.filter(|_| !self.planted(PlantedFault::KeyUnchecked)) else {
            return true;
        };
        let is_settled =
            entry.unconfirmed.is_empty() && self.lasting_replicas(entry) >= self.settings.replica_count;
        // A confirmation that is on its way from an earlier term would be taken for one of the term to come.
        let is_connected = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.is_connected);
        let awaits_confirmation = entry.unconfirmed.iter().any(is_connected);
        match entry.acceptance {
            Acceptance::Certain => return true,
            Acceptance::Reaccepting if is_settled => {
                self.shards.unchecked.remove(&key);
                self.set_acceptance(key, Acceptance::Certain);
                return true;
            }
            Acceptance::Reaccepting => return false,
            Acceptance::Unchecked => {}
        }
        self.shards.are_used = true;
        self.shards.unchecked.insert(key);
        match self.shards.held_term(digest.shard()) {
            None => {
                self.shards.wanted.insert(digest.shard());
            }
            Some(_) if awaits_confirmation => self.check_replication(now, key),
            Some(term) if self.may_have_been_accepted(key, digest) => self.accept_anew(now, key, term),
            Some(_) => {
                tracing::info!("a message that was not accepted is dropped: there is another with its key");
                self.metrics.rivals_dropped += 1;
                self.withdraw(key);
            }
        }
        false
    }

    /// Whether no other message with the key is known that was accepted, or is of a higher term.
    fn may_have_been_accepted(&self, key: Key, digest: IdempotencyDigest) -> bool {
        let rank_of = |key: Key, entry: &Entry| Rank::new(entry.message.shard_term, key);
        let Some(own) = self.entries.get(&key).map(|entry| rank_of(key, entry)) else { return false };
        let keys = self.entries.with_digest(digest).filter(|other| *other != key);
        let mut entries = keys.filter_map(|other| Some((other, self.entries.get(&other)?)));
        let is_ruled_out_here =
            entries.any(|(other, entry)| self.is_accepted(entry) || rank_of(other, entry) > own);
        let mut named = self.shards.named(digest).filter(|named| named.key != key);
        let is_ruled_out_elsewhere =
            named.any(|other| other.is_accepted || Rank::new(other.shard_term, other.key) > own);
        !is_ruled_out_here && !is_ruled_out_elsewhere
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
        replicas.extend(&added);
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

    pub(super) fn set_acceptance(&mut self, key: Key, acceptance: Acceptance) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.acceptance = acceptance;
        }
    }

    /// Looks again at messages that are not certain.
    pub(crate) fn check_unchecked(&mut self, now: Millis) {
        let keys: Vec<Key> = self.shards.unchecked.iter().copied().collect();
        for key in keys {
            let entry = self.entries.get(&key);
            if entry.is_some_and(|entry| entry.acceptance != Acceptance::Certain && entry.end.is_none()) {
                self.schedule(now, key);
            } else {
                self.shards.unchecked.remove(&key);
            }
        }
    }
}
