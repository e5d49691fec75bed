//! Updates are piggybacked on every message. Each is transmitted a number of times that grows with the logarithm of the fleet
//! size, which is enough for it to reach all members but a vanishing fraction (SWIM, section 4.1).

use super::{Datagram, Detector};
use crate::member::Entry;
use crate::wire::{max_entries, Kind, Message};
use std::net::SocketAddrV4;

/// Number of transmissions of an update, as a multiple of the natural logarithm of the number of members.
const RETRANSMIT_MULTIPLIER: f64 = 2.0;

/// An update that is still to be transmitted, with the number of its transmissions so far.
pub(super) struct PendingUpdate {
    entry: Entry,
    transmissions: usize,
}

impl Detector {
    /// Returns the number of times that each update is transmitted.
    pub(super) fn transmission_limit(&self) -> usize {
        (RETRANSMIT_MULTIPLIER * (self.fleet_size() + 1.0).ln()).ceil() as usize
    }

    /// Sends a message with the given entries and as many pending updates as fit.
    pub(super) fn send(
        &mut self,
        datagrams: &mut Vec<Datagram>,
        to: SocketAddrV4,
        kind: Kind,
        mut entries: Vec<Entry>,
    ) {
        let limit = self.transmission_limit();
        let room = max_entries().saturating_sub(entries.len());
        // Updates with the fewest transmissions are sent first; an update that has reached the transmission limit is dropped.
        self.pending_updates.sort_by_key(|update| update.transmissions);
        for update in self.pending_updates.iter_mut().take(room) {
            update.transmissions += 1;
            entries.push(update.entry);
        }
        self.pending_updates.retain(|update| update.transmissions < limit);
        self.last_number += 1;
        let message = Message {
            from: self.own.id,
            incarnation: self.own.incarnation,
            number: self.last_number,
            kind,
            entries,
        };
        let bytes = message.encode(self.settings.key.as_ref());
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        datagrams.push(Datagram { to, bytes });
    }

    /// Queues an update for transmission and drops an older pending update about the same member.
    pub(super) fn disseminate(&mut self, entry: Entry) {
        self.pending_updates.retain(|update| update.entry.id != entry.id);
        self.pending_updates.push(PendingUpdate { entry, transmissions: 0 });
    }
}
