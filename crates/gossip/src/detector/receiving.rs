//! What a received message leads to: its updates are applied, suspicions of this instance are refuted, and it is answered.

use super::probing::Probe;
use super::{Datagram, Detector};
use crate::member::{Entry, Evidence, State};
use crate::wire::{max_entries, DecodeError, Kind, Message};
use crate::{Time, SECOND};
use std::net::SocketAddrV4;

/// For so long after its start a process takes one of its name with a later incarnation for the one before it, whose clock was
/// set back since; from then on for its successor.
const STARTUP_PERIOD: Time = 10 * SECOND;

impl Detector {
    /// A message has come from an address.
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
        // That a message was received makes nobody a member: only what it announces of itself does, with its address.
        self.answer(now, from, &message, &mut datagrams);
        datagrams
    }

    fn count_undecodable(&mut self, error: DecodeError) {
        match error {
            DecodeError::Malformed => self.counters.malformed += 1,
            DecodeError::Unauthenticated => self.counters.unauthenticated += 1,
        }
    }

    /// Whether a message of a known member is new.
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
        // One that was restarted by a clock that was set back has to learn of the incarnation that it had.
        let entry = member.entry;
        if message.incarnation < entry.incarnation {
            self.send(datagrams, from, Kind::Members { next: 0 }, vec![entry]);
        }
        false
    }

    /// Applies an update about a member, which another one has sent.
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
                // That it does not answer says nothing about either side's network.
                self.probe.take_if(|probe| probe.id == entry.id);
            }
        }
    }

    /// Others hold something of this instance.
    fn apply_update_about_self(&mut self, now: Time, entry: Entry) {
        let is_same = entry.incarnation == self.own.incarnation;
        if entry.incarnation < self.own.incarnation {
            // Whoever holds an earlier incarnation dead or suspect has not heard of this one.
            if entry.state != State::Alive {
                self.disseminate(self.own);
            }
            return;
        }
        if is_same && entry.state == State::Alive && entry.address == self.own.address {
            return;
        }
        if entry.state == State::Alive && entry.address != self.own.address {
            // Another process has this name. One that has just started takes the place of the older; of two that started in the
            // same moment the lower address gives way.
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
        // Whatever is reported of an incarnation, a later one answers it.
        self.own.incarnation = entry.incarnation + 1;
        self.last_number = 0;
        self.disseminate(self.own);
    }

    /// This instance is suspected, or held dead, without cause: so it receives badly.
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
            // Whoever is at an address that another had before is not that one.
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

    /// A probe was answered, by the member itself or by one that was asked to probe it.
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

    /// Sends members from this identifier on, as many as fit, and where to continue.
    fn send_members(&mut self, first: u64, to: SocketAddrV4, datagrams: &mut Vec<Datagram>) {
        let own = (self.own.id >= first).then_some(self.own);
        // One more than there is room for names where to continue.
        let others = self.table.members.range(first..).map(|(_, member)| member.entry);
        let mut entries: Vec<Entry> = others.take(max_entries() + 1).chain(own).collect();
        entries.sort_by_key(|entry| entry.id);
        let next = entries.get(max_entries()).map_or(0, |entry| entry.id);
        entries.truncate(max_entries());
        self.send(datagrams, to, Kind::Members { next }, entries);
    }
}
