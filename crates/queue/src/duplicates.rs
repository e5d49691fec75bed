//! Duplicates: one message that two stores have accepted. An edge that hears nothing from a store asks another; the first may
//! have the message all the same, and would run it too, for a delayed one long after the fault. So the edge tells all stores
//! which one is kept, and the others drop theirs unless it runs already. It tells them again when a connection comes back: a
//! store that was frozen reads what was sent to it before, and only then that nobody waits for it.

use crate::entry::Stage;
use crate::message::{Key, Message};
use crate::queue::Queue;
use crate::record::Record;
use std::collections::{HashMap, VecDeque};

/// Superseded messages that are remembered at the most.
const MAX_SUPERSEDED: usize = 10_000;

/// FNV-1a, 64 bits (Fowler, Noll and Vo).
const FNV_OFFSET_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01B3;

/// Stands between the parts of a message in its fingerprint: no UTF-8 text holds this byte.
const PART_SEPARATOR: u8 = 0xFF;

/// Which of several copies of a message is kept.
#[derive(Clone, Copy, Debug)]
struct Superseded {
    fingerprint: u64,
    kept: Option<Key>,
}

/// What edges have said of messages that they had offered to several stores, for replicas that come later: the newest ones.
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

    /// Whether another one than `key` is kept of this message, or none.
    fn kept_elsewhere(&self, key: Key, message: &Message) -> bool {
        let known = self.by_id.get(&message.id);
        known.is_some_and(|known| known.kept != Some(key) && known.fingerprint == message.fingerprint())
    }
}

impl Message {
    /// Tells this message from another that a client sent under the same id, also from the same one submitted again later.
    ///
    /// The time of acceptance does not count for a message of a FIFO group: a store may have raised it.
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
    /// Of a message that was offered to several stores one is kept (none: nothing was promised), and the others are dropped.
    ///
    /// `id` and `fingerprint` identify the message, see [`Message::fingerprint`].
    pub fn drop_superseded(&mut self, id: &str, fingerprint: u64, kept: Option<Key>) {
        let is_same = |key: &Key| {
            let entry = self.entries.get(key).filter(|entry| entry.end.is_none() && entry.message.id == id);
            entry.is_some_and(|entry| entry.message.fingerprint() == fingerprint)
        };
        let keys = self.live_by_owner.iter().map(|(_, key)| *key);
        let same: Vec<Key> = keys.filter(is_same).collect();
        for key in same {
            if Some(key) == kept {
                self.confirm_kept(key);
            } else {
                self.supersede(key);
            }
        }
        self.superseded_messages.insert(id, Superseded { fingerprint, kept });
    }

    /// The edge keeps this one of all that were accepted: it need not wait any longer.
    fn confirm_kept(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.stage == Stage::Waiting) else {
            return;
        };
        if std::mem::take(&mut entry.may_be_elsewhere) && entry.backoff_steps == 0 {
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
            // One in flight may have run. One that is offered in a handover is looked at when the answer comes.
            Some(Stage::InFlight) | None => {}
            Some(_) if self.handovers.contains_key(&key) => {}
            Some(_) => self.withdraw(key),
        }
    }

    /// A replica has come. If it is of a message of which another store keeps the same, it is not started here either, should
    /// this store take it over.
    pub(crate) fn note_superseded_replica(&mut self, key: Key, message: &Message) {
        let is_superseded = self.superseded_messages.kept_elsewhere(key, message);
        if is_superseded && self.superseded_keys.len() < MAX_SUPERSEDED {
            self.superseded_keys.insert(key);
        }
    }

    /// Nobody waits any more for a message that is not yet safe: the connection by which it came is gone.
    pub fn drop_abandoned(&mut self, ticket: u64) {
        self.forget_submission(ticket);
        self.forget_quota_submission(ticket);
        let has_ticket = |key: &Key| self.entries.get(key).is_some_and(|entry| entry.ticket == Some(ticket));
        let mut persisting = self.persisting.iter().map(|(_, key)| *key);
        // Others may wait for it by now, who have submitted it with the same key.
        if let Some(key) = persisting.find(has_ticket).filter(|key| !self.has_followers(*key)) {
            self.roll_back(key);
        }
    }

    /// Drops a message here and at its replicas.
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
