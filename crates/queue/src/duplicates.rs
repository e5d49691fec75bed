//! One message that two stores have taken. An edge that hears nothing from a store asks another; the first may have the
//! message all the same, and would run it too, for a delayed one long after the trouble. So the edge tells all stores which
//! one is kept, and the others drop theirs unless it runs already. It tells them again when a connection comes back: a store
//! that stood still reads what was sent to it before, and only then that nobody waits for it.

use crate::entry::Stage;
use crate::message::{Key, Message};
use crate::queue::Queue;
use crate::record::Record;

/// Most messages that are known to be unwanted and owned by others.
const MOST: usize = 10_000;

impl Message {
    /// Tells this message from another that a client sent under the same id, also from the same sent again later. (In a row
    /// a store may move the time at which it was taken.)
    pub fn fingerprint(&self) -> u64 {
        let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01B3);
        let head = [&self.host, &self.method, &self.target].map(|text| text.as_bytes());
        let delay = self.delay_ms.to_le_bytes();
        let taken = if self.ordering_key.is_none() { self.accepted_at_ms } else { 0 }.to_le_bytes();
        let parts = head.into_iter().chain([self.body.as_slice(), &delay, &taken]);
        // A byte that no text holds stands between the parts.
        parts.fold(0xCBF2_9CE4_8422_2325, |hash, part| step(part.iter().fold(hash, step), &0xFF))
    }
}

impl Queue {
    /// Of a message that was offered to several stores one is kept (none: nothing was promised), and the others go.
    pub fn drop_superseded(&mut self, id: &str, print: u64, kept: Option<Key>) {
        let same = |key: &Key| {
            let entry = self.entries.get(key)?;
            let alike = Some(*key) != kept && entry.end.is_none() && entry.message.id == id;
            (alike && entry.message.fingerprint() == print).then_some(*key)
        };
        let others: Vec<Key> = self.live_by_owner.iter().filter_map(|(_, key)| same(key)).collect();
        for key in others {
            if self.superseded_keys.len() < MOST {
                self.superseded_keys.insert(key);
            }
            let entry = self.entries.get(&key).filter(|e| e.owner == self.settings.node);
            match entry.map(|e| e.stage) {
                Some(Stage::Persisting) => self.roll_back(key),
                // What is out may have run. Offered to a successor it is looked at when that has spoken.
                Some(Stage::InFlight) | None => {}
                Some(_) if self.handovers.contains_key(&key) => {}
                Some(_) => self.withdraw(key),
            }
        }
    }

    /// Nobody waits any more for a message that is not yet safe: the connection it came by is gone.
    pub fn drop_abandoned(&mut self, ticket: u64) {
        let waits = |key: &&Key| self.entries.get(key).is_some_and(|e| e.ticket == Some(ticket));
        let key = self.persisting.iter().map(|(_, key)| key).find(waits).copied();
        if let Some(key) = key {
            self.roll_back(key);
        }
    }

    /// Drops it here and at the copies.
    pub(crate) fn withdraw(&mut self, key: Key) {
        let copies = self.entries.get(&key).map(|e| e.replicas.clone()).unwrap_or_default();
        self.metrics.withdrawn += 1;
        self.record(&Record::Dropped { key }, false);
        copies.into_iter().for_each(|to| self.to(to).drop.push(key));
        self.remove(key);
    }
}
