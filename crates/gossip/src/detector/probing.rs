//! Probes: one member in each interval, directly and then indirectly through other members; and probes relayed for other members.

use super::{Datagram, Detector};
use crate::member::{Entry, Evidence, Member, State};
use crate::wire::Kind;
use crate::Time;
use rand::seq::{IndexedRandom, SliceRandom};
use std::net::SocketAddrV4;

/// Maximum number of probes in flight on behalf of other members.
const MAX_RELAYED_PROBES: usize = 64;
/// Number of seeds asked at a time: the first value applies while this instance knows no other member, the second otherwise.
const SEEDS_ASKED_ALONE: usize = 3;
const SEEDS_ASKED: usize = 1;

/// The probe in flight.
pub(super) struct Probe {
    /// Identifier of the probed member.
    pub id: u64,
    /// Sequence number that the answer to the probe repeats.
    pub seq: u32,
    /// Time at which other members are asked to probe the member.
    ask_others_at: Time,
    /// Time at which the probe fails without an answer.
    fails_at: Time,
    /// Whether other members were asked to probe the member.
    pub were_others_asked: bool,
    /// Number of asked members that answered that they receive this instance's messages, but have no answer of the probed member.
    pub nacks: usize,
}

/// A probe in flight on behalf of another member.
pub(super) struct RelayedProbe {
    /// Sequence number that the probed member's answer to this instance repeats.
    pub seq: u32,
    /// Sequence number for the answer to the requesting member.
    pub requested_seq: u32,
    /// Address of the requesting member.
    pub requested_by: SocketAddrV4,
    /// Time at which the requesting member is notified that there is no answer yet; `None` once it was notified.
    nack_at: Option<Time>,
    expires_at: Time,
}

impl Detector {
    /// Returns the next member to probe. Each member is probed once in a round, in a random order that differs between instances:
    /// no member is left out for long, and no two instances probe in step.
    fn next_to_probe(&mut self) -> Option<u64> {
        loop {
            match self.probe_order.pop() {
                Some(id) if self.table.is_alive(id) => return Some(id),
                Some(_) => {}
                None => {
                    let alive =
                        self.table.members.iter().filter(|(_, member)| member.entry.state < State::Dead);
                    self.probe_order = alive.map(|(id, _)| *id).collect();
                    self.probe_order.shuffle(&mut self.random);
                    if self.probe_order.is_empty() {
                        return None;
                    }
                }
            }
        }
    }

    /// Begins the next probe, unless one is in flight.
    pub(super) fn probe_next(&mut self, now: Time, datagrams: &mut Vec<Datagram>) {
        if self.probe.is_some() {
            return;
        }
        let Some(id) = self.next_to_probe() else { return };
        let entry = self.table.members[&id].entry;
        let seq = self.next_seq();
        self.probe = Some(Probe {
            id,
            seq,
            ask_others_at: now + self.with_health_penalty(self.settings.probe_timeout),
            fails_at: now + self.with_health_penalty(self.settings.probe_interval),
            were_others_asked: false,
            nacks: 0,
        });
        // A suspected member is notified of the suspicion with the probe, so that it can refute the suspicion.
        let entries = if entry.state == State::Suspect { vec![entry] } else { Vec::new() };
        self.send(datagrams, entry.address, Kind::Ping { seq, id }, entries);
    }

    /// Asks other members to probe if the direct probe is not answered in time, and suspects the member if the indirect probes
    /// are not answered either.
    pub(super) fn advance_probe(&mut self, now: Time, datagrams: &mut Vec<Datagram>) {
        let Some(probe) = &mut self.probe else { return };
        let (id, seq) = (probe.id, probe.seq);
        if now >= probe.ask_others_at && !probe.were_others_asked {
            probe.were_others_asked = true;
            self.ask_others_to_probe(id, seq, datagrams);
        }
        let Some(probe) = self.probe.take_if(|probe| now >= probe.fails_at) else { return };
        let Some(known) = self.table.members.get(&id).map(|member| member.entry) else { return };
        // The members asked would have answered that they receive this instance's messages. If fewer than half of them answer
        // either, this instance's own network may be at fault.
        let asked = self.settings.indirect_probes.min(self.table.members.len().saturating_sub(1));
        if probe.were_others_asked && probe.nacks < asked.div_ceil(2) && asked > 0 {
            self.health_worsened();
        } else {
            self.health_improved();
        }
        if known.state == State::Alive {
            self.counters.suspected += 1;
        }
        let entry = Entry { state: State::Suspect, suspected_by: self.own.id, ..known };
        self.suspect(now, entry, Evidence::NoReply);
    }

    fn ask_others_to_probe(&mut self, id: u64, seq: u32, datagrams: &mut Vec<Datagram>) {
        let address = self.table.members.get(&id).map(|member| member.entry.address);
        let others = self.sample_alive(self.settings.indirect_probes, &[id]);
        let Some(address) = address else { return };
        for (_, other) in others {
            self.send(datagrams, other, Kind::Request { seq, id, address }, Vec::new());
        }
    }

    /// Probes a member that is declared dead but may only have been partitioned, and asks seeds that are not known as members.
    pub(super) fn reconnect(&mut self, datagrams: &mut Vec<Datagram>) {
        let is_dead = |member: &&Member| member.entry.state == State::Dead;
        let dead = self.table.members.values().filter(is_dead);
        let dead: Vec<Entry> = dead.map(|member| member.entry).collect();
        if let Some(entry) = dead.choose(&mut self.random).copied() {
            let seq = self.next_seq();
            self.send(datagrams, entry.address, Kind::Ping { seq, id: entry.id }, vec![self.own, entry]);
        }
        let own = self.own.address;
        let known: Vec<SocketAddrV4> =
            self.table.members.values().map(|member| member.entry.address).collect();
        let seeds = self.settings.seeds.iter().copied();
        let seeds: Vec<SocketAddrV4> =
            seeds.filter(|address| *address != own && !known.contains(address)).collect();
        let count = if self.is_alone() { SEEDS_ASKED_ALONE } else { SEEDS_ASKED };
        let asked: Vec<SocketAddrV4> = seeds.sample(&mut self.random, count).copied().collect();
        for address in asked {
            self.send(datagrams, address, Kind::Sync { from: 0 }, vec![self.own]);
        }
    }

    /// Probes a member on behalf of another member.
    pub(super) fn relay_probe(
        &mut self,
        now: Time,
        requested_by: SocketAddrV4,
        requested_seq: u32,
        id: u64,
        address: SocketAddrV4,
        datagrams: &mut Vec<Datagram>,
    ) {
        if let Some(departed) = self.departed(id) {
            self.send(datagrams, requested_by, Kind::Members { next: 0 }, vec![departed]);
            return;
        }
        let seq = self.next_seq();
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        self.relayed_probes.push(RelayedProbe {
            seq,
            requested_seq,
            requested_by,
            nack_at: Some(now + self.settings.probe_timeout * 4 / 5),
            expires_at: now + self.settings.probe_interval,
        });
        self.send(datagrams, address, Kind::Ping { seq, id }, Vec::new());
    }

    /// Returns the entry of a member that has left. A member that requests a probe of it has not been notified that it left, and
    /// would suspect it.
    fn departed(&self, id: u64) -> Option<Entry> {
        let entry = self.table.members.get(&id)?.entry;
        (entry.state == State::Left).then_some(entry)
    }

    /// Notifies the requesting members of relayed probes without an answer so far, and removes relayed probes whose requesters no
    /// longer wait.
    pub(super) fn expire_relayed_probes(&mut self, now: Time, datagrams: &mut Vec<Datagram>) {
        let mut due = Vec::new();
        for probe in &mut self.relayed_probes {
            if probe.nack_at.take_if(|nack_at| now >= *nack_at).is_some() {
                due.push((probe.requested_by, probe.requested_seq));
            }
        }
        for (to, seq) in due {
            self.send(datagrams, to, Kind::Nack { seq }, Vec::new());
        }
        self.relayed_probes.retain(|probe| now < probe.expires_at);
    }
}
