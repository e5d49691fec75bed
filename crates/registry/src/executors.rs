//! The table of executors, merged from heartbeats that came here or to other control nodes.

use crate::messages::{ExecutorState, Heartbeat, Millis, NodeId};
use crate::version::VersionCounter;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Control nodes tell each other so often which executors sent heartbeats; changes at once.
pub const HEARTBEAT_GOSSIP_INTERVAL: Millis = 500;
/// Most executors that are kept.
const MAX_EXECUTORS: usize = 20_000;
/// An executor that is offline is remembered for so long, so that its late heartbeats don't bring it back.
const TOMBSTONE_RETENTION: Millis = 60_000;
/// An executor is silent after 3.2 intervals of heartbeats and this allowance: three may be lost, or be late.
const SILENCE_ALLOWANCE: Millis = 300;

/// A control node repeats so often which executors send it their heartbeats. In between it tells others only of changes.
pub const HOLDER_REFRESH_INTERVAL: Millis = 10_000;
/// What another control node holds counts as silent so long after its last heartbeat that is known here, beyond the usual limit.
/// That node says it sooner, unless it is itself partitioned from the rest.
const HOLDER_SILENCE_ALLOWANCE: Millis = HOLDER_REFRESH_INTERVAL + 2_000;

/// The sequence of an executor that has left: no heartbeat comes after it. An identifier stands for one start of an executor, so
/// whatever arrives under it later was sent before it left. A process of an earlier version ignores it for the same reason.
pub const FINAL_SEQUENCE: u64 = u64::MAX;

/// Which control node receives the heartbeats of an executor, and says when they stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    /// None that is known and connected: each control node waits for its heartbeats by itself.
    Unknown,
    /// This one.
    Own,
    /// Another one, which is connected.
    Peer(NodeId),
}

/// What a heartbeat has changed in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Merged {
    /// Nothing: a later one is known.
    Outdated,
    /// The time of the last heartbeat.
    Refreshed,
    /// More than that.
    Changed,
}

/// One executor, as its latest heartbeat describes it.
#[derive(Clone, Debug)]
pub struct ExecutorRecord {
    /// The latest heartbeat; its state may have been set to offline since.
    pub heartbeat: Heartbeat,
    /// When the executor sent a heartbeat last, on this process's clock.
    pub last_heard: Millis,
    /// The version of its last change.
    pub(crate) changed_in: u64,
    holder: Holder,
}

impl ExecutorRecord {
    fn is_offline(&self) -> bool {
        self.heartbeat.state == ExecutorState::Offline
    }

    fn set_offline(&mut self, version: u64) {
        self.heartbeat.state = ExecutorState::Offline;
        self.changed_in = version;
    }

    /// The heartbeat as it is passed on now: with its age, and with as much less of the warm-up left.
    pub(crate) fn aged_heartbeat(&self, now: Millis) -> Heartbeat {
        let age_ms = now.saturating_sub(self.last_heard);
        let warmup_left_ms = self.heartbeat.warmup_left_ms.saturating_sub(age_ms);
        Heartbeat { age_ms, warmup_left_ms, ..self.heartbeat.clone() }
    }
}

/// An executor of which nothing is known but that it has left.
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

/// All executors, and which of them have still to be broadcast to the other control nodes.
pub struct ExecutorTable {
    records: HashMap<String, ExecutorRecord>,
    /// Those that sent a heartbeat here since the last routine broadcast.
    unsent: Vec<String>,
    /// Those of them with a change since the last broadcast of any kind.
    unsent_changes: Vec<String>,
    /// Who is or was at an address, so that a new executor is not compared with all others.
    by_address: HashMap<SocketAddrV4, Vec<String>>,
    /// The version of the last change of any executor.
    changed_in: u64,
    /// One that is silent for longer is offline.
    silence_limit: Millis,
    /// When this node was last partitioned from the other control nodes.
    last_partitioned: Millis,
}

impl ExecutorTable {
    pub fn new(heartbeat_interval: Millis, now: Millis) -> ExecutorTable {
        ExecutorTable {
            records: HashMap::new(),
            unsent: Vec::new(),
            unsent_changes: Vec::new(),
            by_address: HashMap::new(),
            changed_in: 0,
            silence_limit: heartbeat_interval * 16 / 5 + SILENCE_ALLOWANCE,
            last_partitioned: now,
        }
    }

    pub fn records(&self) -> impl Iterator<Item = &ExecutorRecord> {
        self.records.values()
    }

    /// The version of the last change of any executor.
    pub fn changed_in(&self) -> u64 {
        self.changed_in
    }

    /// Notes that an executor has to be broadcast: with the next routine broadcast, or at once if it has changed.
    pub fn queue_broadcast(&mut self, id: String, has_changed: bool) {
        if has_changed {
            self.unsent_changes.push(id.clone());
        }
        self.unsent.push(id);
    }

    /// A heartbeat came to this control node.
    pub fn receive(&mut self, version: &mut VersionCounter, now: Millis, heartbeat: Heartbeat) {
        let id = heartbeat.id.clone();
        let merged = self.merge(version, now, heartbeat);
        let Some(record) = self.records.get_mut(&id).filter(|_| merged != Merged::Outdated) else { return };
        let is_new_here = std::mem::replace(&mut record.holder, Holder::Own) != Holder::Own;
        self.queue_broadcast(id, is_new_here || merged == Merged::Changed);
    }

    /// Another control node passed on heartbeats, of executors that may send them anywhere.
    pub fn merge_table(&mut self, version: &mut VersionCounter, now: Millis, heartbeats: Vec<Heartbeat>) {
        for heartbeat in heartbeats {
            self.merge(version, now, heartbeat);
        }
    }

    /// Another control node told of executors that send it their heartbeats.
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
                // A late heartbeat came there. Whoever took it for the latest has to hear of the one that came here.
                self.queue_broadcast(id, true);
            }
        }
    }

    /// A control node is not connected any more: for what it held the silence is counted here, from now on.
    pub fn holder_lost(&mut self, now: Millis, peer: NodeId) {
        let is_held_there = |record: &&mut ExecutorRecord| record.holder == Holder::Peer(peer);
        for record in self.records.values_mut().filter(is_held_there) {
            record.holder = Holder::Unknown;
            if !record.is_offline() {
                record.last_heard = record.last_heard.max(now);
            }
        }
    }

    /// The executors that send their heartbeats here.
    pub fn held_here(&self, now: Millis) -> Vec<Heartbeat> {
        let held =
            self.records.values().filter(|record| record.holder == Holder::Own && !record.is_offline());
        held.map(|record| record.aged_heartbeat(now)).collect()
    }

    /// Merges a heartbeat that came here or to another control node.
    fn merge(&mut self, version: &mut VersionCounter, now: Millis, heartbeat: Heartbeat) -> Merged {
        let heard = now.saturating_sub(heartbeat.age_ms);
        let Some(record) = self.records.get_mut(&heartbeat.id) else {
            return self.insert(version, heard, heartbeat);
        };
        let sequence = record.heartbeat.sequence;
        let is_older = heartbeat.sequence < sequence;
        let is_from_before_end = record.is_offline() && heartbeat.sequence == sequence;
        if is_older || is_from_before_end {
            return Merged::Outdated;
        }
        record.last_heard = record.last_heard.max(heard);
        let old = std::mem::replace(&mut record.heartbeat, heartbeat);
        let new = &record.heartbeat;
        let is_same = old.state == new.state
            && old.address == new.address
            && old.backend == new.backend
            && old.capacity == new.capacity;
        if is_same {
            return Merged::Refreshed;
        }
        self.changed_in = version.advance();
        record.changed_in = self.changed_in;
        if old.address != new.address {
            self.by_address.entry(new.address).or_default().push(new.id.clone());
        }
        tracing::info!(id = new.id, state = %new.state, "executor");
        Merged::Changed
    }

    /// Adds an executor that is not known yet, if there is room for it.
    fn insert(&mut self, version: &mut VersionCounter, heard: Millis, heartbeat: Heartbeat) -> Merged {
        if self.records.len() >= MAX_EXECUTORS {
            return Merged::Outdated;
        }
        self.changed_in = version.advance();
        self.end_predecessors(heartbeat.address, heard);
        self.by_address.entry(heartbeat.address).or_default().push(heartbeat.id.clone());
        tracing::info!(id = heartbeat.id, service = heartbeat.backend, state = %heartbeat.state, "executor");
        let id = heartbeat.id.clone();
        let holder = Holder::Unknown;
        let record = ExecutorRecord { heartbeat, last_heard: heard, changed_in: self.changed_in, holder };
        self.records.insert(id, record);
        Merged::Changed
    }

    /// A new executor at an address ends those that were there: the address may be another service's now.
    fn end_predecessors(&mut self, address: SocketAddrV4, heard: Millis) {
        for id in self.by_address.get(&address).into_iter().flatten() {
            let Some(record) = self.records.get_mut(id) else { continue };
            let is_there = record.heartbeat.address == address && !record.is_offline();
            if is_there && record.last_heard <= heard {
                record.set_offline(self.changed_in);
            }
        }
    }

    /// Sets an executor offline for good that has deregistered, known or not. Returns whether that is new.
    pub fn deregister(&mut self, version: &mut VersionCounter, now: Millis, id: &str) -> bool {
        if self.records.get(id).is_some_and(|record| record.heartbeat.sequence == FINAL_SEQUENCE) {
            return false;
        }
        if self.records.len() >= MAX_EXECUTORS && !self.records.contains_key(id) {
            return false;
        }
        self.changed_in = version.advance();
        let unknown = || ExecutorRecord {
            heartbeat: unknown_executor(id),
            last_heard: now,
            changed_in: 0,
            holder: Holder::Unknown,
        };
        let record = self.records.entry(id.to_string()).or_insert_with(unknown);
        record.set_offline(self.changed_in);
        record.heartbeat.sequence = FINAL_SEQUENCE;
        record.last_heard = now;
        tracing::info!(id, "executor left");
        true
    }

    /// Whether there are changes that no control node has been told of.
    pub fn has_changes(&self) -> bool {
        !self.unsent_changes.is_empty()
    }

    /// The executors that have changed, or send their heartbeats here since a short time ago: all control nodes are told at once.
    pub fn take_changes(&mut self, now: Millis) -> Vec<Heartbeat> {
        let ids = std::mem::take(&mut self.unsent_changes);
        self.aged_heartbeats(now, ids)
    }

    /// The executors that sent heartbeats here since the last call: a control node of an earlier version is told of each
    /// heartbeat.
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

    /// Sets executors offline that are silent, and forgets those that have been offline for long. While this node is
    /// partitioned from the other control nodes, and for the silence limit afterwards, nobody is silent: executors send their
    /// heartbeats to the others.
    pub fn expire(&mut self, version: &mut VersionCounter, now: Millis, is_in_contact: bool) {
        if !is_in_contact {
            self.last_partitioned = now;
        }
        if now > self.last_partitioned + self.silence_limit {
            self.expire_silent(version, now);
        }
        self.forget_tombstones(now);
    }

    fn expire_silent(&mut self, version: &mut VersionCounter, now: Millis) {
        let silence_limit = self.silence_limit;
        let is_silent = |record: &&mut ExecutorRecord| {
            let allowance = match record.holder {
                Holder::Peer(_) => HOLDER_SILENCE_ALLOWANCE,
                Holder::Own | Holder::Unknown => 0,
            };
            !record.is_offline() && now > record.last_heard + silence_limit + allowance
        };
        for record in self.records.values_mut().filter(is_silent) {
            self.changed_in = version.advance();
            record.set_offline(self.changed_in);
            tracing::info!(id = record.heartbeat.id, "executor silent");
            if record.holder == Holder::Own {
                self.unsent_changes.push(record.heartbeat.id.clone());
            }
        }
    }

    fn forget_tombstones(&mut self, now: Millis) {
        let before = self.records.len();
        self.records
            .retain(|_, record| !record.is_offline() || now < record.last_heard + TOMBSTONE_RETENTION);
        if self.records.len() == before {
            return;
        }
        let records = &self.records;
        let is_there = |address: &SocketAddrV4, id: &String| {
            records.get(id).is_some_and(|record| record.heartbeat.address == *address)
        };
        self.by_address.retain(|address, ids| {
            ids.retain(|id| is_there(address, id));
            !ids.is_empty()
        });
    }
}
