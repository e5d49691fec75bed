//! Processing of a received message: its updates are applied, suspicions of this instance are refuted, and the message is
//! answered.

use super::probing::Probe;
use super::{Datagram, Detector};
use crate::member::{Entry, Evidence, State};
use crate::wire::{max_entries, DecodeError, Kind, Message};
use crate::{Time, SECOND};
use std::net::SocketAddrV4;

/// Time after the start of a process in which another process with its identifier and a later incarnation is taken for its
/// predecessor, started before the clock was set back. After this time the other process is taken for its successor.
const STARTUP_PERIOD: Time = 10 * SECOND;

impl Detector {
    /// Processes a message received from an address, and returns the messages to send.
    pub fn receive(&mut self, now: Time, from: SocketAddrV4, bytes: &[u8]) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        let message = match Message::decode(bytes, self.settings.key.as_ref()) {
            Ok(message) => message,
            Err(error) => {
                self.count_undecodable(error);
                return datagrams;
            }
        };
        let is_own = message.from == self.own.id && message.incarnation == self.own.incarnation;
        if self.is_stopped || is_own {
            return datagrams;
        }
        let was_known = self.table.members.contains_key(&message.from);
        if was_known && !self.accept_number(from, &message, &mut datagrams) {
            return datagrams;
        }
        self.counters.received += 1;
        for entry in &message.entries {
            self.apply_update(now, *entry, message.from);
        }
        if self.is_stopped {
            return datagrams;
        }
        if let Some(member) = self.table.members.get_mut(&message.from).filter(|_| !was_known) {
            member.accept_number(message.incarnation, message.number);
        }
        // Receiving a message does not add its sender to the members; only the sender's own announcement does, because it has the
        // address.
        self.answer(now, from, &message, &mut datagrams);
        datagrams
    }

    fn count_undecodable(&mut self, error: DecodeError) {
        match error {
            DecodeError::Malformed => self.counters.malformed += 1,
            DecodeError::Unauthenticated => self.counters.unauthenticated += 1,
        }
    }

    /// Whether a message from a known member is new and not a replay.
    fn accept_number(
        &mut self,
        from: SocketAddrV4,
        message: &Message,
        datagrams: &mut Vec<Datagram>,
    ) -> bool {
        let Some(member) = self.table.members.get_mut(&message.from) else { return true };
        if member.accept_number(message.incarnation, message.number) {
            return true;
        }
        self.counters.replayed += 1;
        // A member that was restarted after its clock was set back has to learn the incarnation that it had before.
        let entry = member.entry;
        if message.incarnation < entry.incarnation {
            self.send(datagrams, from, Kind::Members { next: 0 }, vec![entry]);
        }
        false
    }

    /// Applies an update about a member that was received from `sender`.
    fn apply_update(&mut self, now: Time, entry: Entry, sender: u64) {
        if entry.id == self.own.id {
            return self.apply_update_about_self(now, entry);
        }
        let evidence = if entry.id == sender { Evidence::Itself } else { Evidence::ReportedBy(sender) };
        if entry.state == State::Suspect {
            return self.suspect(now, entry, evidence);
        }
        if self.table.apply(now, entry, evidence) {
            self.suspicions.remove(&entry.id);
            self.disseminate(entry);
            if entry.state == State::Left {
                // A member that has left does not answer probes, which says nothing about the network of either side.
                self.probe.take_if(|probe| probe.id == entry.id);
            }
        }
    }

    /// Applies an update about this instance that was received from another member.
    fn apply_update_about_self(&mut self, now: Time, entry: Entry) {
        let is_same = entry.incarnation == self.own.incarnation;
        if entry.incarnation < self.own.incarnation {
            // A member that has an earlier incarnation of this instance as dead or suspect has not been notified of the current
            // one.
            if entry.state != State::Alive {
                self.disseminate(self.own);
            }
            return;
        }
        if is_same && entry.state == State::Alive && entry.address == self.own.address {
            return;
        }
        if entry.state == State::Alive && entry.address != self.own.address {
            // Another process has the same identifier. A process that has just started replaces the older one; of two that
            // started at the same moment, the one with the lower address stops.
            let has_just_started = self.started_at.is_none_or(|started_at| now < started_at + STARTUP_PERIOD);
            self.counters.conflicts += 1;
            if is_same && entry.address > self.own.address || !is_same && !has_just_started {
                self.is_stopped = true;
                return;
            }
        }
        if entry.state != State::Alive {
            self.refute(now, entry.state);
        }
        // A report about an incarnation of this instance is superseded by announcing a later incarnation.
        self.own.incarnation = entry.incarnation + 1;
        self.last_number = 0;
        self.disseminate(self.own);
    }

    /// This instance was wrongly suspected or declared dead, so it receives messages badly.
    fn refute(&mut self, now: Time, reported: State) {
        self.counters.refuted += 1;
        self.health_worsened();
        if reported == State::Dead {
            self.sync_interval = SECOND;
            self.next_sync_at = now;
        }
    }

    fn answer(&mut self, now: Time, from: SocketAddrV4, message: &Message, datagrams: &mut Vec<Datagram>) {
        match message.kind {
            // A process at an address that another member had before is a different member and must not acknowledge the ping for
            // that one.
            Kind::Ping { seq, id } if id == self.own.id => {
                self.send(datagrams, from, Kind::Ack { seq }, Vec::new());
            }
            Kind::Ping { .. } => self.send(datagrams, from, Kind::Members { next: 0 }, vec![self.own]),
            Kind::Ack { seq } => self.acknowledged(message.from, seq, datagrams),
            Kind::Request { seq, id, address } => self.relay_probe(now, from, seq, id, address, datagrams),
            Kind::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
                    probe.nacks += 1;
                }
            }
            Kind::Sync { from: first } => self.send_members(first, from, datagrams),
            Kind::Members { next } if next > 0 => {
                self.send(datagrams, from, Kind::Sync { from: next }, Vec::new());
            }
            Kind::Members { .. } => {}
        }
    }

    /// Processes the answer to a probe, sent by the probed member or by a member that was asked to probe it.
    fn acknowledged(&mut self, sender: u64, seq: u32, datagrams: &mut Vec<Datagram>) {
        let is_own = |probe: &Probe| probe.seq == seq && (probe.were_others_asked || probe.id == sender);
        if self.probe.as_ref().is_some_and(is_own) {
            self.probe = None;
            self.health_improved();
        } else if let Some(index) = self.relayed_probes.iter().position(|probe| probe.seq == seq) {
            let probe = self.relayed_probes.remove(index);
            self.send(datagrams, probe.requested_by, Kind::Ack { seq: probe.requested_seq }, Vec::new());
        }
    }

    /// Sends the members from this identifier on, as many as fit into a message, and the identifier at which to continue.
    fn send_members(&mut self, first: u64, to: SocketAddrV4, datagrams: &mut Vec<Datagram>) {
        let own = (self.own.id >= first).then_some(self.own);
        // One entry more than fits into a message is collected; its identifier is the one at which to continue.
        let others = self.table.members.range(first..).map(|(_, member)| member.entry);
        let mut entries: Vec<Entry> = others.take(max_entries() + 1).chain(own).collect();
        entries.sort_by_key(|entry| entry.id);
        let next = entries.get(max_entries()).map_or(0, |entry| entry.id);
        entries.truncate(max_entries());
        self.send(datagrams, to, Kind::Members { next }, entries);
    }
}
