//! Updates ride on every message, each a few times: with a number of transmissions that grows with the logarithm of the fleet an
//! update reaches all members but for a vanishing part (SWIM, section 4.1).

use super::{Datagram, Detector};
use crate::member::Entry;
use crate::wire::{max_entries, Kind, Message};
use std::net::SocketAddrV4;

/// An update is transmitted so many times the natural logarithm of the number of members.
const RETRANSMIT_MULTIPLIER: f64 = 2.0;

/// An update that is still to be transmitted, and how often it has been.
pub(super) struct PendingUpdate {
    entry: Entry,
    transmissions: usize,
}

impl Detector {
    /// How often each update is transmitted.
    pub(super) fn transmission_limit(&self) -> usize {
        (RETRANSMIT_MULTIPLIER * (self.fleet_size() + 1.0).ln()).ceil() as usize
    }

    /// Sends a message, with these entries and as many pending updates as there is room for.
    pub(super) fn send(
        &mut self,
        datagrams: &mut Vec<Datagram>,
        to: SocketAddrV4,
        kind: Kind,
        mut entries: Vec<Entry>,
    ) {
        let limit = self.transmission_limit();
        let room = max_entries().saturating_sub(entries.len());
        // What was transmitted least goes first; what was transmitted enough is dropped.
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

    /// Has an update transmitted from here on, in place of an older one about the same member.
    pub(super) fn disseminate(&mut self, entry: Entry) {
        self.pending_updates.retain(|update| update.entry.id != entry.id);
        self.pending_updates.push(PendingUpdate { entry, transmissions: 0 });
    }
}
