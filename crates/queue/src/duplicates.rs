//! Duplicates: one message that two stores have accepted.
//!
//! An edge that gets no answer from a store offers the message to another one. The first store may have accepted it all
//! the copies and would run it too; a delayed message would run twice long after the fault. The edge therefore tells all
//! stores which copy is kept, and the others drop theirs unless it is already running. The edge repeats this when a
//! connection is re-established: a store whose process was frozen first reads the messages that were sent to it
//! earlier, and only then learns that nobody waits for their answers.

use crate::entry::Stage;
use crate::message::{Key, Message};
use crate::queue::Queue;
use crate::record::Record;
use std::collections::{HashMap, VecDeque};

/// Maximum number of superseded messages that are remembered.
const MAX_SUPERSEDED: usize = 10_000;

/// Offset basis and prime of the 64-bit FNV-1a hash (Fowler, Noll and Vo).
const FNV_OFFSET_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01B3;

/// Separates the parts of a message in its fingerprint. This byte does not occur in UTF-8 text.
const PART_SEPARATOR: u8 = 0xFF;

/// Which copy of a message is kept, of those that several stores have accepted.
#[derive(Clone, Copy, Debug)]
struct Superseded {
    fingerprint: u64,
    kept: Option<Key>,
}

/// Decisions of edges about messages that were offered to several stores, kept for replicas that arrive later. Only the
/// newest [`MAX_SUPERSEDED`] are kept.
#[derive(Debug, Default)]
pub(crate) struct SupersededMessages {
    by_id: HashMap<String, Superseded>,
    oldest_first: VecDeque<String>,
}

impl SupersededMessages {
    fn insert(&mut self, id: &str, superseded: Superseded) {
        if self.by_id.insert(id.to_string(), superseded).is_none() {
            self.oldest_first.push_back(id.to_string());
        }
        if self.oldest_first.len() > MAX_SUPERSEDED {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }

    /// Whether the edge has decided to keep a copy of this message other than `key`, or no copy.
    fn is_kept_elsewhere(&self, key: Key, message: &Message) -> bool {
        let known = self.by_id.get(&message.id);
        known.is_some_and(|known| known.kept != Some(key) && known.fingerprint == message.fingerprint())
    }
}

impl Message {
    /// Hash that distinguishes this message from others that a client sent under the copies id, including the copies
    /// message submitted again later.
    ///
    /// The time of acceptance is left out for a message of a FIFO group, because a store may have raised it.
    pub fn fingerprint(&self) -> u64 {
        let add = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        let texts = [&self.host, &self.method, &self.target].map(|text| text.as_bytes());
        let delay_ms = self.delay_ms.to_le_bytes();
        let is_in_group = self.ordering_key.is_some();
        let accepted_at_ms = if is_in_group { 0 } else { self.accepted_at_ms }.to_le_bytes();
        let parts = texts.into_iter().chain([self.body.as_slice(), &delay_ms, &accepted_at_ms]);
        parts.fold(FNV_OFFSET_BASIS, |hash, part| add(part.iter().fold(hash, add), &PART_SEPARATOR))
    }
}

impl Queue {
    /// Keeps the copy `kept` of a message that was offered to several stores, and drops the others. `None` means that
    /// no copy is kept, because the client was promised nothing.
    ///
    /// `id` and `fingerprint` identify the message, see [`Message::fingerprint`].
    pub fn drop_superseded(&mut self, id: &str, fingerprint: u64, kept: Option<Key>) {
        let is_copy = |key: &Key| {
            let entry = self.entries.get(key).filter(|entry| entry.end.is_none() && entry.message.id == id);
            entry.is_some_and(|entry| entry.message.fingerprint() == fingerprint)
        };
        let candidates: Vec<Key> = self.live_ids.candidates(id).collect();
        self.metrics.superseded_compared += candidates.len() as u64;
        let copies: Vec<Key> = candidates.into_iter().filter(is_copy).collect();
        for key in copies {
            if Some(key) == kept {
                self.confirm_kept(key);
            } else {
                self.supersede(key);
            }
        }
        self.superseded_messages.insert(id, Superseded { fingerprint, kept });
    }

    /// The edge has decided to keep this copy of the message, so the message no longer has to wait for that decision.
    fn confirm_kept(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.stage == Stage::Waiting) else {
            return;
        };
        if std::mem::take(&mut entry.may_be_duplicated) && entry.backoff_steps == 0 {
            entry.not_before = 0;
            self.unschedule(key);
            self.schedule(self.last_tick_at, key);
        }
    }

    fn supersede(&mut self, key: Key) {
        if self.superseded_keys.len() < MAX_SUPERSEDED {
            self.superseded_keys.insert(key);
        }
        let own = self.entries.get(&key).filter(|entry| entry.owner == self.settings.node);
        match own.map(|entry| entry.stage) {
            Some(Stage::Persisting) => self.roll_back(key),
            // A message in flight may have run already. A message offered in a handover is dropped when the answer to
            // the offer arrives.
            Some(Stage::InFlight) | None => {}
            Some(_) if self.handovers.contains_key(&key) => {}
            Some(_) => self.withdraw(key),
        }
    }

    /// Notes that a replica has arrived whose message another store keeps: this copy is not started here if this store
    /// takes it over.
    pub(crate) fn note_superseded_replica(&mut self, key: Key, message: &Message) {
        let is_superseded = self.superseded_messages.is_kept_elsewhere(key, message);
        if is_superseded && self.superseded_keys.len() < MAX_SUPERSEDED {
            self.superseded_keys.insert(key);
        }
    }

    /// Drops a message that is not yet persisted, because the connection over which it was submitted is gone and nobody
    /// waits for the answer.
    pub fn drop_abandoned(&mut self, ticket: u64) {
        self.forget_submission(ticket);
        self.forget_quota_submission(ticket);
        let has_ticket = |key: &Key| self.entries.get(key).is_some_and(|entry| entry.ticket == Some(ticket));
        let mut persisting = self.persisting.iter().map(|(_, key)| *key);
        // Other clients that submitted the message with the copies idempotency key may be waiting for it by now.
        if let Some(key) = persisting.find(has_ticket).filter(|key| !self.has_followers(*key)) {
            self.roll_back(key);
        }
    }

    /// Drops a message at this store and at the stores that hold its replicas.
    pub(crate) fn withdraw(&mut self, key: Key) {
        let replicas = self.entries.get(&key).map(|entry| entry.replicas.clone()).unwrap_or_default();
        self.metrics.withdrawn += 1;
        self.record(&Record::Dropped { key }, false);
        for node in replicas {
            self.outbox(node).drops.push(key);
        }
        self.remove(key);
    }
}
