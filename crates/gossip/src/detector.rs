//! The failure detector and the dissemination of updates: direct and indirect probes, suspicions that the suspected member can
//! refute, and updates piggybacked on every message. The traffic of each instance is about the same, however many instances there
//! are.

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

/// Maximum health penalty. The worse this instance receives messages, the longer it waits before it treats the silence of another
/// member as a failure (Lifeguard's local health multiplier).
const MAX_HEALTH_PENALTY: usize = 8;
/// Interval at which a member that seems dead is probed again, in case only the network between the two was at fault.
const RECONNECT_INTERVAL: Time = 5 * SECOND;
/// Interval at which the complete table of another member is requested, for every [`SYNC_FLEET_SIZE`] members, so that the
/// traffic is the same in a large fleet. The interval is shorter after a start and after this instance was declared dead.
const SYNC_INTERVAL: Time = 30 * SECOND;
const SYNC_FLEET_SIZE: f64 = 50.0;
/// Minimum number of members that a leaving member notifies itself: in a small fleet these are all members, and in a large one
/// whoever probes the leaving member meanwhile is likely to ask a member that was notified for an indirect probe.
const MIN_DEPARTURE_RECEIVERS: usize = 128;

/// An encoded message to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// Address of the recipient.
    pub to: SocketAddrV4,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// Counters since the start of the instance, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of the messages sent.
    pub sent_bytes: u64,
    /// Messages received and processed.
    pub received: u64,
    /// Messages that could not be decoded.
    pub malformed: u64,
    /// Messages that were not authenticated with the fleet's key.
    pub unauthenticated: u64,
    /// Messages that had already been received.
    pub replayed: u64,
    /// Suspicions that this instance began, after a failed probe.
    pub suspected: u64,
    /// Suspicions of this instance that the instance refuted.
    pub refuted: u64,
    /// Times that this instance was found to have been paused.
    pub pauses: u64,
    /// Times that another running process was found to have the same identifier.
    pub conflicts: u64,
}

/// State of the membership protocol in one instance, with its view of the fleet.
pub struct Detector {
    settings: Settings,
    /// Entry that this instance announces about itself.
    own: Entry,
    last_number: u64,
    last_seq: u32,
    table: Table,
    /// Identifiers of the members to probe next, in reverse order: the last one is probed first.
    probe_order: Vec<u64>,
    probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    suspicions: BTreeMap<u64, Suspicion>,
    pending_updates: Vec<PendingUpdate>,
    /// How badly this instance receives messages; 0 means that it receives them well.
    health_penalty: usize,
    next_probe_at: Time,
    next_reconnect_at: Time,
    next_sync_at: Time,
    sync_interval: Time,
    last_tick_at: Option<Time>,
    started_at: Option<Time>,
    /// Whether the instance has stopped, because it left or because another process replaced it.
    pub is_stopped: bool,
    random: Pcg64Mcg,
    /// Counters for metrics.
    pub counters: Counters,
}

impl Detector {
    /// Creates an instance that knows no other member yet. `incarnation` must be higher than that of the previous process, if
    /// there was one. Unix time normally is; if the clock was set back, the instance learns from others that its previous
    /// incarnation was declared dead and refutes that.
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

    /// Returns the entry that this instance announces about itself.
    pub fn own(&self) -> &Entry {
        &self.own
    }

    /// Returns all other members known to this instance.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members.values()
    }

    /// Counts the members, including this instance.
    pub fn count(&self, now: Time) -> MemberCount {
        self.table.count(now, self.own.domain)
    }

    /// Returns the number of members that are alive or suspect, including this instance.
    fn fleet_size(&self) -> f64 {
        1.0 + self.table.alive_count() as f64
    }

    fn is_alone(&self) -> bool {
        self.table.alive_count() == 0
    }

    /// Returns a time-out extended by the health penalty: it is longer while this instance receives messages badly.
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

    /// Returns up to `count` random members that are alive and not in `excluded`.
    fn sample_alive(&mut self, count: usize, excluded: &[u64]) -> Vec<(u64, SocketAddrV4)> {
        let is_eligible =
            |member: &&Member| member.entry.state == State::Alive && !excluded.contains(&member.entry.id);
        let eligible = self.table.members.values().filter(is_eligible);
        let eligible: Vec<(u64, SocketAddrV4)> =
            eligible.map(|member| (member.entry.id, member.entry.address)).collect();
        eligible.sample(&mut self.random, count).copied().collect()
    }

    /// Returns the interval between requests to seeds. Seeds that start at the same moment may not receive yet, so they are asked
    /// at the short startup interval until one has answered.
    fn reconnect_interval(&self) -> Time {
        if self.is_alone() {
            self.settings.startup_interval()
        } else {
            RECONNECT_INTERVAL
        }
    }

    /// Performs all actions that are due. Must be called at least ten times in each probe interval.
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

    /// Detects that this instance was paused, and so received no messages: far more time has passed since the last tick than
    /// should have. The pause says nothing about the other members, so all time-outs are extended by its length.
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

    /// Requests the complete table of another member, and removes members that have been dead or gone for longer than the
    /// retention. The request stays due while no other member is known.
    fn synchronize(&mut self, now: Time, datagrams: &mut Vec<Datagram>) {
        self.table.remove_expired(now);
        let Some((_, address)) = self.sample_alive(1, &[]).pop() else { return };
        self.next_sync_at = now + self.sync_interval;
        let longest = SYNC_INTERVAL as f64 * (self.fleet_size() / SYNC_FLEET_SIZE).max(1.0);
        self.sync_interval = (self.sync_interval * 2).min(longest as Time);
        self.send(datagrams, address, Kind::Sync { from: 0 }, vec![self.own]);
    }

    /// Announces to some members that this instance leaves; they forward the update to the others. Nothing is sent after that.
    pub fn leave(&mut self) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        if !self.is_stopped {
            let own = Entry { state: State::Left, ..self.own };
            let receivers = self.sample_alive(self.transmission_limit().max(MIN_DEPARTURE_RECEIVERS), &[]);
            for (_, address) in receivers {
                self.send(&mut datagrams, address, Kind::Members { next: 0 }, vec![own]);
            }
            self.is_stopped = true;
        }
        datagrams
    }
}
