//! The failure detector and the dissemination of updates: probes, directly and by way of others, suspicions that the suspected
//! member can refute, and updates that ride on every message. Each instance sends and receives about as much, however many
//! there are.

mod dissemination;
mod probing;
mod receiving;
mod settings;
mod suspicions;

pub use settings::Settings;

use crate::member::{Entry, Member, State};
use crate::table::{MemberCount, Table};
use crate::wire::Kind;
use crate::{Time, SECOND};
use dissemination::PendingUpdate;
use probing::{Probe, RelayedProbe};
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use suspicions::Suspicion;

/// The worse this instance receives, the longer it waits before it holds silence against others (Lifeguard's local health
/// multiplier); at most by so much.
const MAX_HEALTH_PENALTY: usize = 8;
/// A member that seems dead is probed again so often, in case only the network between was at fault.
const RECONNECT_INTERVAL: Time = 5 * SECOND;
/// All that another member holds is requested so often for every [`SYNC_FLEET_SIZE`] members, so that it costs the same in a large
/// fleet; more often after a start, and after this instance was held dead.
const SYNC_INTERVAL: Time = 30 * SECOND;
const SYNC_FLEET_SIZE: f64 = 50.0;
/// A member that leaves tells at least so many others itself: a small fleet is told at once, and in a large one whoever probes it
/// meanwhile is likely to ask somebody who was told.
const DEPARTURE_RECEIVERS: usize = 128;

/// A message that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The recipient.
    pub to: SocketAddrV4,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// What has happened since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages received and processed.
    pub received: u64,
    /// Messages that could not be decoded.
    pub malformed: u64,
    /// Messages without the key.
    pub unauthenticated: u64,
    /// Messages that had been received before.
    pub replayed: u64,
    /// Suspicions that began here.
    pub suspected: u64,
    /// Suspicions of this instance that it refuted.
    pub refuted: u64,
    /// Times that this instance was found to have been paused.
    pub pauses: u64,
    /// Another process that runs has the same identifier.
    pub conflicts: u64,
}

/// One instance's view of the fleet, and its part in the protocol.
pub struct Detector {
    settings: Settings,
    /// What this instance announces of itself.
    own: Entry,
    last_number: u64,
    last_seq: u32,
    table: Table,
    /// The members that are probed next, the first one last.
    probe_order: Vec<u64>,
    probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    suspicions: BTreeMap<u64, Suspicion>,
    pending_updates: Vec<PendingUpdate>,
    /// How badly this instance receives: nought is well.
    health_penalty: usize,
    next_probe_at: Time,
    next_reconnect_at: Time,
    next_sync_at: Time,
    sync_interval: Time,
    last_tick_at: Option<Time>,
    started_at: Option<Time>,
    /// It has left, or another process has taken its place.
    pub is_stopped: bool,
    random: Pcg64Mcg,
    /// For metrics.
    pub counters: Counters,
}

impl Detector {
    /// An instance that knows nobody yet. `incarnation` must be higher than that of the process before, if there was one: Unix
    /// time is, and where it was set back the instance learns of its former end and refutes it.
    pub fn new(
        id: u64,
        incarnation: u64,
        address: SocketAddrV4,
        domain: u8,
        settings: Settings,
        seed: u64,
    ) -> Detector {
        let sync_interval = settings.startup_interval();
        Detector {
            settings,
            own: Entry { id, incarnation, address, domain, state: State::Alive, suspected_by: 0 },
            last_number: 0,
            last_seq: 0,
            table: Table::default(),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: Vec::new(),
            suspicions: BTreeMap::new(),
            pending_updates: Vec::new(),
            health_penalty: 0,
            next_probe_at: 0,
            next_reconnect_at: 0,
            next_sync_at: 0,
            sync_interval,
            last_tick_at: None,
            started_at: None,
            is_stopped: false,
            random: Pcg64Mcg::seed_from_u64(seed),
            counters: Counters::default(),
        }
    }

    /// What this instance announces of itself.
    pub fn own(&self) -> &Entry {
        &self.own
    }

    /// All other members that are known.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members.values()
    }

    /// How many members there are, this instance among them.
    pub fn count(&self, now: Time) -> MemberCount {
        self.table.count(now, self.own.domain)
    }

    /// How many are alive, this instance among them.
    fn fleet_size(&self) -> f64 {
        1.0 + self.table.alive_count() as f64
    }

    fn is_alone(&self) -> bool {
        self.table.alive_count() == 0
    }

    /// A time-out, longer while this instance receives badly.
    fn with_health_penalty(&self, time: Time) -> Time {
        time * (1 + self.health_penalty as Time)
    }

    fn health_worsened(&mut self) {
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
    }

    fn health_improved(&mut self) {
        self.health_penalty = self.health_penalty.saturating_sub(1);
    }

    fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    /// Some members that are alive, without those `excluded`.
    fn sample_alive(&mut self, count: usize, excluded: &[u64]) -> Vec<(u64, SocketAddrV4)> {
        let is_eligible =
            |member: &&Member| member.entry.state == State::Alive && !excluded.contains(&member.entry.id);
        let eligible = self.table.members.values().filter(is_eligible);
        let eligible: Vec<(u64, SocketAddrV4)> =
            eligible.map(|member| (member.entry.id, member.entry.address)).collect();
        eligible.sample(&mut self.random, count).copied().collect()
    }

    /// Seeds that start at the same moment may not receive yet: until one has answered they are asked often.
    fn reconnect_interval(&self) -> Time {
        if self.is_alone() {
            self.settings.startup_interval()
        } else {
            RECONNECT_INTERVAL
        }
    }

    /// Does what is due. To be called at least ten times in each probe interval.
    pub fn tick(&mut self, now: Time) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        if self.is_stopped {
            return datagrams;
        }
        self.started_at.get_or_insert(now);
        self.notice_pause(now);
        self.expire_relayed_probes(now, &mut datagrams);
        self.advance_probe(now, &mut datagrams);
        self.expire_suspicions(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.probe_interval;
            self.probe_next(now, &mut datagrams);
        }
        if now >= self.next_reconnect_at {
            self.next_reconnect_at = now + self.reconnect_interval();
            self.reconnect(&mut datagrams);
        }
        if now >= self.next_sync_at {
            self.synchronize(now, &mut datagrams);
        }
        datagrams
    }

    /// Far more time has passed since the last tick than should have: this instance was paused, and has received nothing. That
    /// says nothing of the others, so all time-outs are put off by as much.
    fn notice_pause(&mut self, now: Time) {
        let gap = self.last_tick_at.map_or(0, |last| now - last);
        self.last_tick_at = Some(now);
        if gap <= self.settings.probe_interval {
            return;
        }
        self.counters.pauses += 1;
        self.health_penalty = MAX_HEALTH_PENALTY;
        self.suspicions.values_mut().for_each(|suspicion| suspicion.began_at += gap);
        self.probe = None;
        self.relayed_probes.clear();
    }

    /// Requests all that one other member holds, and forgets members that are long gone. While nobody else is known the request stays due.
    fn synchronize(&mut self, now: Time, datagrams: &mut Vec<Datagram>) {
        self.table.remove_expired(now);
        let Some((_, address)) = self.sample_alive(1, &[]).pop() else { return };
        self.next_sync_at = now + self.sync_interval;
        let longest = SYNC_INTERVAL as f64 * (self.fleet_size() / SYNC_FLEET_SIZE).max(1.0);
        self.sync_interval = (self.sync_interval * 2).min(longest as Time);
        self.send(datagrams, address, Kind::Sync { from: 0 }, vec![self.own]);
    }

    /// Announces its own end to some members, which tell the others. Nothing is sent after that.
    pub fn leave(&mut self) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        if !self.is_stopped {
            let own = Entry { state: State::Left, ..self.own };
            let receivers = self.sample_alive(self.transmission_limit().max(DEPARTURE_RECEIVERS), &[]);
            for (_, address) in receivers {
                self.send(&mut datagrams, address, Kind::Members { next: 0 }, vec![own]);
            }
            self.is_stopped = true;
        }
        datagrams
    }
}
