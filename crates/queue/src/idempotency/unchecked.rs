//! Messages of which it is not certain that they were accepted: read from disk, or taken over. With the key of one that was not,
//! another may have been accepted since; then this one is dropped.

use super::digest::IdempotencyDigest;
use super::shard_table::NamedSubmission;
use crate::entry::{Acceptance, Stage};
use crate::message::{Key, Millis};
use crate::peer_message::SubmissionStanding;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

/// What the shard of a message's key shows of others with that key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rival {
    /// There is none, or its owner says that it has not accepted it: with this claim it learns of this message first.
    None,
    /// A replica of one is known, and nothing more: it may have been accepted.
    InDoubt,
    /// One was accepted.
    Accepted,
}

impl Queue {
    /// A message is owned here, and it is not certain that it was accepted.
    pub(crate) fn mark_key_unchecked(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.digest.is_some()) {
            entry.acceptance = Acceptance::Unchecked;
        }
    }

    /// Whether a message may be delivered as far as its idempotency key goes. If it is not certain yet, this is looked at again
    /// until it is. First the message has to lie on enough disks, and only then the shard is claimed: whoever claims it later knows of the
    /// message, and of whoever has claimed it before this store knows.
    pub(crate) fn is_key_checked(&mut self, now: Millis, key: Key) -> bool {
        let is_skipped = self.planted(PlantedFault::KeyUnchecked);
        let Some(entry) = self.entries.get(&key) else { return false };
        let Some(digest) = entry.digest.filter(|_| entry.acceptance == Acceptance::Unchecked && !is_skipped)
        else {
            return true;
        };
        self.shards.are_used = true;
        let is_replicated = entry.unconfirmed.is_empty()
            && self.are_replicas_confirmed(entry)
            && self.lasting_replicas(entry) >= self.settings.replica_count;
        if !is_replicated {
            self.shards.unchecked.insert(key, None);
            return false;
        }
        let replicated_at = *self.shards.unchecked.entry(key).or_insert(None).get_or_insert(now);
        let is_claimed_since = self.shards.held_term(digest.shard()).is_some()
            && self.shards.claimed_at(digest.shard()) >= replicated_at;
        if !is_claimed_since {
            self.shards.wanted.insert(digest.shard());
            return false;
        }
        match self.rival_of(key, digest) {
            Rival::None => {
                self.shards.unchecked.remove(&key);
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.acceptance = Acceptance::Certain;
                }
                true
            }
            Rival::Accepted => {
                tracing::info!(
                    "a message that was not accepted is dropped: another was accepted with its key"
                );
                self.metrics.rivals_dropped += 1;
                self.withdraw(key);
                false
            }
            Rival::InDoubt => {
                self.shards.unchecked.insert(key, None);
                false
            }
        }
    }

    fn rival_of(&self, key: Key, digest: IdempotencyDigest) -> Rival {
        let mut rival = Rival::None;
        for other in self.entries.with_digest(digest).filter(|other| *other != key) {
            let Some(entry) = self.entries.get(&other) else { continue };
            if self.is_accepted(entry) {
                return Rival::Accepted;
            }
            if entry.stage == Stage::Replica {
                rival = Rival::InDoubt;
            }
        }
        for NamedSubmission { standing, .. } in self.shards.named(digest).filter(|named| named.key != key) {
            match standing {
                SubmissionStanding::Accepted => return Rival::Accepted,
                SubmissionStanding::Replica => rival = Rival::InDoubt,
                SubmissionStanding::NotAccepted => {}
            }
        }
        rival
    }

    /// Looks again at messages that are not certain.
    pub(crate) fn check_unchecked(&mut self, now: Millis) {
        let keys: Vec<Key> = self.shards.unchecked.keys().copied().collect();
        for key in keys {
            let entry = self.entries.get(&key);
            if entry.is_some_and(|entry| entry.acceptance == Acceptance::Unchecked && entry.end.is_none()) {
                self.schedule(now, key);
            } else {
                self.shards.unchecked.remove(&key);
            }
        }
    }
}
