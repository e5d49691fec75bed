//! The executor table, merged from heartbeats that arrive at this control node and from those that other
//! control nodes forward.

use crate::messages::{ExecutorState, Heartbeat, Millis, NodeId};
use crate::version::VersionCounter;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Interval at which control nodes send each other the executors that sent heartbeats; changes of an executor
/// are sent at once.
pub const HEARTBEAT_GOSSIP_INTERVAL: Millis = 500;
/// Maximum number of executors in the table.
const MAX_EXECUTORS: usize = 20_000;
/// How long an offline executor is remembered, so that its delayed heartbeats do not bring it back online.
const TOMBSTONE_RETENTION: Millis = 60_000;
/// Added to 3.2 heartbeat intervals to give the time-out after which an executor is offline: three heartbeats
/// in a row may be lost or late.
const HEARTBEAT_TIMEOUT_ALLOWANCE: Millis = 300;

/// Interval at which a control node repeats to its peers which executors send it their heartbeats. Between
/// repetitions it sends only changes.
pub const HOLDER_REFRESH_INTERVAL: Millis = 10_000;
/// Added to the heartbeat time-out of an executor whose heartbeats go to another control node, because that
/// node repeats them only every `HOLDER_REFRESH_INTERVAL`. That node reports an executor offline sooner, unless
/// it is itself partitioned from the rest.
const PEER_HELD_TIMEOUT_ALLOWANCE: Millis = HOLDER_REFRESH_INTERVAL + 2_000;

/// The sequence number of an executor that has deregistered, so that no heartbeat can follow it. An executor
/// identifier belongs to one start of the process, so a heartbeat that arrives under it later was sent before
/// the executor left. Control nodes of an earlier release ignore such a heartbeat for the same reason.
pub const FINAL_SEQUENCE: u64 = u64::MAX;

/// The control node that receives an executor's heartbeats and reports when they stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    /// No connected control node is known to receive the heartbeats: each control node applies the heartbeat
    /// time-out by itself.
    Unknown,
    /// This control node receives the heartbeats of the executor.
    Own,
    /// Another control node, which is connected, receives the heartbeats of the executor.
    Peer(NodeId),
}

/// What a heartbeat has changed in the executor table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Merged {
    /// The heartbeat changed nothing: a later heartbeat of the executor is already known, or the table is full.
    Outdated,
    /// The heartbeat updated only the time at which the executor was last heard.
    Refreshed,
    /// The heartbeat changed the executor's state, address, backend or capacity, or the executor is new.
    Changed,
}

/// One executor, as described by its latest heartbeat.
#[derive(Clone, Debug)]
pub struct ExecutorRecord {
    /// The latest heartbeat. Its state may have been set to offline after it arrived.
    pub heartbeat: Heartbeat,
    /// When the executor last sent a heartbeat, on this process's monotonic clock.
    pub last_heard: Millis,
    /// The registry version of this executor's last change.
    pub(crate) last_change_version: u64,
    holder: Holder,
}

impl ExecutorRecord {
    fn is_offline(&self) -> bool {
        self.heartbeat.state == ExecutorState::Offline
    }

    fn set_offline(&mut self, version: u64) {
        self.heartbeat.state = ExecutorState::Offline;
        self.last_change_version = version;
    }

    /// The heartbeat as it is forwarded at `now`: `age_ms` is the time since it was sent, and the remaining
    /// warm-up is shorter by that age.
    pub(crate) fn aged_heartbeat(&self, now: Millis) -> Heartbeat {
        let age_ms = now.saturating_sub(self.last_heard);
        let warmup_left_ms = self.heartbeat.warmup_left_ms.saturating_sub(age_ms);
        Heartbeat { age_ms, warmup_left_ms, ..self.heartbeat.clone() }
    }
}

/// A placeholder heartbeat for an executor of which only its deregistration is known.
fn unknown_executor(id: &str) -> Heartbeat {
    Heartbeat {
        id: id.to_string(),
        backend: String::new(),
        address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
        zone: String::new(),
        capacity: 0,
        state: ExecutorState::Offline,
        warmup_left_ms: 0,
        sequence: FINAL_SEQUENCE,
        age_ms: 0,
    }
}

/// All executors, and those of them that have yet to be broadcast to the other control nodes.
pub struct ExecutorTable {
    records: HashMap<String, ExecutorRecord>,
    /// Identifiers of the executors that sent a heartbeat here since the last routine broadcast.
    unsent: Vec<String>,
    /// Identifiers of the executors in `unsent` that have changed since the last broadcast of any kind.
    unsent_changes: Vec<String>,
    /// Identifiers of the executors that have used each address, so that a new executor need not be compared
    /// with the whole table.
    by_address: HashMap<SocketAddrV4, Vec<String>>,
    /// The registry version of the last change of any executor.
    last_change_version: u64,
    /// An executor without a heartbeat for longer than this is set offline.
    heartbeat_timeout: Millis,
    /// When this control node was last partitioned from the others.
    last_partitioned: Millis,
}

impl ExecutorTable {
    pub fn new(heartbeat_interval: Millis, now: Millis) -> ExecutorTable {
        ExecutorTable {
            records: HashMap::new(),
            unsent: Vec::new(),
            unsent_changes: Vec::new(),
            by_address: HashMap::new(),
            last_change_version: 0,
            heartbeat_timeout: heartbeat_interval * 16 / 5 + HEARTBEAT_TIMEOUT_ALLOWANCE,
            last_partitioned: now,
        }
    }

    pub fn records(&self) -> impl Iterator<Item = &ExecutorRecord> {
        self.records.values()
    }

    /// The registry version of the last change of any executor.
    pub fn last_change_version(&self) -> u64 {
        self.last_change_version
    }

    /// Queues an executor for broadcast: at once if it has changed, otherwise with the next routine broadcast.
    pub fn queue_broadcast(&mut self, id: String, has_changed: bool) {
        if has_changed {
            self.unsent_changes.push(id.clone());
        }
        self.unsent.push(id);
    }

    /// Merges a heartbeat that an executor sent to this control node.
    pub fn receive(&mut self, version: &mut VersionCounter, now: Millis, heartbeat: Heartbeat) {
        let id = heartbeat.id.clone();
        let merged = self.merge(version, now, heartbeat);
        let Some(record) = self.records.get_mut(&id).filter(|_| merged != Merged::Outdated) else { return };
        let is_new_here = std::mem::replace(&mut record.holder, Holder::Own) != Holder::Own;
        self.queue_broadcast(id, is_new_here || merged == Merged::Changed);
    }

    /// Merges heartbeats that another control node forwarded; the executors may send them to any control node.
    pub fn merge_table(&mut self, version: &mut VersionCounter, now: Millis, heartbeats: Vec<Heartbeat>) {
        for heartbeat in heartbeats {
            self.merge(version, now, heartbeat);
        }
    }

    /// Merges the last heartbeat of a departing executor, whichever control node received it. Returns whether the
    /// departure is news.
    pub fn merge_departure(
        &mut self,
        version: &mut VersionCounter,
        now: Millis,
        heartbeat: Heartbeat,
    ) -> bool {
        self.merge(version, now, heartbeat) == Merged::Changed
    }

    /// The last heartbeat of an executor that is draining or offline; `None` if it is serving or unknown.
    pub fn departure(&self, now: Millis, id: &str) -> Option<Heartbeat> {
        let record = self.records.get(id)?;
        let is_departing = record.heartbeat.state != ExecutorState::Serving;
        is_departing.then(|| record.aged_heartbeat(now))
    }

    /// Merges the executors that another control node reports as sending it their heartbeats.
    pub fn merge_held(
        &mut self,
        version: &mut VersionCounter,
        now: Millis,
        from: NodeId,
        heartbeats: Vec<Heartbeat>,
    ) {
        for heartbeat in heartbeats {
            let id = heartbeat.id.clone();
            let merged = self.merge(version, now, heartbeat);
            let Some(record) = self.records.get_mut(&id) else { continue };
            if merged != Merged::Outdated {
                record.holder = Holder::Peer(from);
            } else if record.holder == Holder::Own {
                // The peer received a delayed heartbeat. Control nodes that took it for the latest have to be
                // sent the later one that arrived here.
                self.queue_broadcast(id, true);
            }
        }
    }

    /// Handles the disconnection of a control node: the heartbeat time-out of each online executor that it held
    /// starts here, at `now`.
    pub fn holder_lost(&mut self, now: Millis, peer: NodeId) {
        let is_held_there = |record: &&mut ExecutorRecord| record.holder == Holder::Peer(peer);
        for record in self.records.values_mut().filter(is_held_there) {
            record.holder = Holder::Unknown;
            if !record.is_offline() {
                record.last_heard = record.last_heard.max(now);
            }
        }
    }

    /// The online executors that send their heartbeats to this control node.
    pub fn held_here(&self, now: Millis) -> Vec<Heartbeat> {
        let held =
            self.records.values().filter(|record| record.holder == Holder::Own && !record.is_offline());
        held.map(|record| record.aged_heartbeat(now)).collect()
    }

    /// Merges a heartbeat into the table, whichever control node received it.
    fn merge(&mut self, version: &mut VersionCounter, now: Millis, heartbeat: Heartbeat) -> Merged {
        let heard_at = now.saturating_sub(heartbeat.age_ms);
        let Some(record) = self.records.get_mut(&heartbeat.id) else {
            return self.insert(version, heard_at, heartbeat);
        };
        let sequence = record.heartbeat.sequence;
        let is_outdated = heartbeat.sequence < sequence;
        let is_from_before_offline = record.is_offline() && heartbeat.sequence == sequence;
        if is_outdated || is_from_before_offline {
            return Merged::Outdated;
        }
        record.last_heard = record.last_heard.max(heard_at);
        let old = std::mem::replace(&mut record.heartbeat, heartbeat);
        let new = &record.heartbeat;
        let is_same = old.state == new.state
            && old.address == new.address
            && old.backend == new.backend
            && old.capacity == new.capacity;
        if is_same {
            return Merged::Refreshed;
        }
        self.last_change_version = version.advance();
        record.last_change_version = self.last_change_version;
        if old.address != new.address {
            self.by_address.entry(new.address).or_default().push(new.id.clone());
        }
        tracing::info!(id = new.id, state = %new.state, "executor");
        Merged::Changed
    }

    /// Adds an executor that is not yet in the table, unless the table is full.
    fn insert(&mut self, version: &mut VersionCounter, heard_at: Millis, heartbeat: Heartbeat) -> Merged {
        if self.records.len() >= MAX_EXECUTORS {
            return Merged::Outdated;
        }
        self.last_change_version = version.advance();
        self.set_predecessors_offline(heartbeat.address, heard_at);
        self.by_address.entry(heartbeat.address).or_default().push(heartbeat.id.clone());
        tracing::info!(id = heartbeat.id, service = heartbeat.backend, state = %heartbeat.state, "executor");
        let id = heartbeat.id.clone();
        let holder = Holder::Unknown;
        let record = ExecutorRecord {
            heartbeat,
            last_heard: heard_at,
            last_change_version: self.last_change_version,
            holder,
        };
        self.records.insert(id, record);
        Merged::Changed
    }

    /// Sets offline the executors that were at the address of a new executor, because the address may now
    /// belong to another service.
    fn set_predecessors_offline(&mut self, address: SocketAddrV4, heard_at: Millis) {
        for id in self.by_address.get(&address).into_iter().flatten() {
            let Some(record) = self.records.get_mut(id) else { continue };
            let is_online_here = record.heartbeat.address == address && !record.is_offline();
            if is_online_here && record.last_heard <= heard_at {
                record.set_offline(self.last_change_version);
            }
        }
    }

    /// Sets a deregistered executor offline for good, whether or not it is in the table. Returns whether the
    /// table changed: not for a second deregistration, nor for an unknown executor if the table is full.
    pub fn deregister(&mut self, version: &mut VersionCounter, now: Millis, id: &str) -> bool {
        if self.records.get(id).is_some_and(|record| record.heartbeat.sequence == FINAL_SEQUENCE) {
            return false;
        }
        if self.records.len() >= MAX_EXECUTORS && !self.records.contains_key(id) {
            return false;
        }
        self.last_change_version = version.advance();
        let unknown = || ExecutorRecord {
            heartbeat: unknown_executor(id),
            last_heard: now,
            last_change_version: 0,
            holder: Holder::Unknown,
        };
        let record = self.records.entry(id.to_string()).or_insert_with(unknown);
        record.set_offline(self.last_change_version);
        record.heartbeat.sequence = FINAL_SEQUENCE;
        record.last_heard = now;
        tracing::info!(id, "executor deregistered");
        true
    }

    /// Whether there are executor changes that have not been broadcast to the other control nodes.
    pub fn has_changes(&self) -> bool {
        !self.unsent_changes.is_empty()
    }

    /// Takes the executors to broadcast at once: those that have changed, and those that have only now begun to
    /// send their heartbeats here.
    pub fn take_changes(&mut self, now: Millis) -> Vec<Heartbeat> {
        let ids = std::mem::take(&mut self.unsent_changes);
        self.aged_heartbeats(now, ids)
    }

    /// Takes the executors that sent heartbeats here since the last call. They are sent to control nodes of an
    /// earlier release, which need every heartbeat.
    pub fn take_routine(&mut self, now: Millis) -> Vec<Heartbeat> {
        let ids = std::mem::take(&mut self.unsent);
        self.aged_heartbeats(now, ids)
    }

    fn aged_heartbeats(&self, now: Millis, mut ids: Vec<String>) -> Vec<Heartbeat> {
        ids.sort_unstable();
        ids.dedup();
        let records = ids.iter().filter_map(|id| self.records.get(id));
        records.map(|record| record.aged_heartbeat(now)).collect()
    }

    /// Sets executors offline whose heartbeat time-out has passed, and forgets those that have been offline for
    /// the tombstone retention. While this control node is partitioned from the others, and for one heartbeat
    /// time-out afterwards, missing heartbeats set no executor offline, because executors send their heartbeats
    /// to the other control nodes.
    pub fn expire(&mut self, version: &mut VersionCounter, now: Millis, is_in_contact: bool) {
        if !is_in_contact {
            self.last_partitioned = now;
        }
        if now > self.last_partitioned + self.heartbeat_timeout {
            self.expire_timed_out(version, now);
        }
        self.forget_tombstones(now);
    }

    fn expire_timed_out(&mut self, version: &mut VersionCounter, now: Millis) {
        let heartbeat_timeout = self.heartbeat_timeout;
        let has_timed_out = |record: &&mut ExecutorRecord| {
            let allowance = match record.holder {
                Holder::Peer(_) => PEER_HELD_TIMEOUT_ALLOWANCE,
                Holder::Own | Holder::Unknown => 0,
            };
            !record.is_offline() && now > record.last_heard + heartbeat_timeout + allowance
        };
        for record in self.records.values_mut().filter(has_timed_out) {
            self.last_change_version = version.advance();
            record.set_offline(self.last_change_version);
            tracing::info!(id = record.heartbeat.id, "executor offline: heartbeat time-out");
            if record.holder == Holder::Own {
                self.unsent_changes.push(record.heartbeat.id.clone());
            }
        }
    }

    fn forget_tombstones(&mut self, now: Millis) {
        let count_before = self.records.len();
        self.records
            .retain(|_, record| !record.is_offline() || now < record.last_heard + TOMBSTONE_RETENTION);
        if self.records.len() == count_before {
            return;
        }
        let records = &self.records;
        let is_at_address = |address: &SocketAddrV4, id: &String| {
            records.get(id).is_some_and(|record| record.heartbeat.address == *address)
        };
        self.by_address.retain(|address, ids| {
            ids.retain(|id| is_at_address(address, id));
            !ids.is_empty()
        });
    }
}
