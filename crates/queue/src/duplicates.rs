//! Duplicates: one message that two stores have accepted. An edge that hears nothing from a store asks another; the first may
//! have the message all the same, and would run it too, for a delayed one long after the fault. So the edge tells all stores
//! which one is kept, and the others drop theirs unless it runs already. It tells them again when a connection comes back: a
//! store that was frozen reads what was sent to it before, and only then that nobody waits for it.

use crate::entry::Stage;
use crate::message::{Key, Message};
use crate::queue::Queue;
use crate::record::Record;

/// Superseded messages that are remembered at the most.
const MAX_SUPERSEDED_KEYS: usize = 10_000;

/// FNV-1a, 64 bits (Fowler, Noll and Vo).
const FNV_OFFSET_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01B3;

/// Stands between the parts of a message in its fingerprint: no UTF-8 text holds this byte.
const PART_SEPARATOR: u8 = 0xFF;

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
        let is_superseded = |key: &Key| {
            let Some(entry) = self.entries.get(key) else { return false };
            let may_be = Some(*key) != kept && entry.end.is_none() && entry.message.id == id;
            may_be && entry.message.fingerprint() == fingerprint
        };
        let keys = self.live_by_owner.iter().map(|(_, key)| *key);
        let superseded: Vec<Key> = keys.filter(is_superseded).collect();
        for key in superseded {
            if self.superseded_keys.len() < MAX_SUPERSEDED_KEYS {
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
    }

    /// Nobody waits any more for a message that is not yet safe: the connection by which it came is gone.
    pub fn drop_abandoned(&mut self, ticket: u64) {
        let has_ticket = |key: &Key| self.entries.get(key).is_some_and(|entry| entry.ticket == Some(ticket));
        let mut persisting = self.persisting.iter().map(|(_, key)| *key);
        if let Some(key) = persisting.find(has_ticket) {
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
