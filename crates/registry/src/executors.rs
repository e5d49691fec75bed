//! The table of executors.

use crate::{ExecutorState, Heartbeat, Millis, MAX_ENTRIES};
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// What an executor that is gone is remembered for: late calls of it must not bring it back.
const TOMBSTONE_RETENTION: Millis = 60_000;

/// One executor, as it last told of itself.
#[derive(Clone, Debug)]
pub struct ExecutorRecord {
    pub heartbeat: Heartbeat,
    pub last_heard: Millis,
    pub(crate) changed: u64,
}

impl ExecutorRecord {
    /// As it is told on: with how long ago it called, and how much colder it was then.
    pub(crate) fn aged(&self, now: Millis) -> Heartbeat {
        let age_ms = now.saturating_sub(self.last_heard);
        let warmup_left_ms = self.heartbeat.warmup_left_ms.saturating_sub(age_ms);
        Heartbeat { age_ms, warmup_left_ms, ..self.heartbeat.clone() }
    }
}

pub(crate) struct Executors {
    pub all: HashMap<String, ExecutorRecord>,
    /// Those that called, and those of them with news, since the other control nodes were told.
    fresh: Vec<String>,
    urgent: Vec<String>,
    /// Who is or was at an address: of many that call at once none is compared with all others.
    at: HashMap<SocketAddrV4, Vec<String>>,
    /// The version of the last change.
    changed: u64,
    /// Silent for longer than this, one is gone.
    silence: Millis,
    out_of_touch: Millis,
}

impl Executors {
    pub fn new(beat_interval_ms: Millis, now: Millis) -> Executors {
        // Three calls may be lost, or be late.
        let silence = beat_interval_ms * 16 / 5 + 300;
        Executors {
            all: HashMap::new(),
            fresh: Vec::new(),
            urgent: Vec::new(),
            at: HashMap::new(),
            changed: 0,
            silence,
            out_of_touch: now,
        }
    }

    pub fn changed(&self) -> u64 {
        self.changed
    }

    pub fn called(&mut self, id: String, changed: bool) {
        if changed {
            self.urgent.push(id.clone());
        }
        self.fresh.push(id);
    }

    /// What was told of an executor, here or at another control node: the higher count of calls is the newer. Whether that
    /// was news.
    pub fn merge(&mut self, version: &mut u64, now: Millis, heartbeat: Heartbeat) -> bool {
        let last_heard = now.saturating_sub(heartbeat.age_ms);
        if let Some(known) = self.all.get_mut(&heartbeat.id) {
            let gone = known.heartbeat.state == ExecutorState::Offline;
            if heartbeat.sequence < known.heartbeat.sequence
                || (gone && heartbeat.sequence == known.heartbeat.sequence)
            {
                return false;
            }
            known.last_heard = known.last_heard.max(last_heard);
            let old = std::mem::replace(&mut known.heartbeat, heartbeat);
            let now = &known.heartbeat;
            let same = old.state == now.state
                && old.address == now.address
                && old.backend == now.backend
                && old.capacity == now.capacity;
            if !same {
                *version += 1;
                (known.changed, self.changed) = (*version, *version);
                if old.address != now.address {
                    self.at.entry(now.address).or_default().push(now.id.clone());
                }
                tracing::info!(id = now.id, state = %now.state, "executor");
            }
            return !same;
        }
        if self.all.len() >= MAX_ENTRIES {
            return false;
        }
        *version += 1;
        self.changed = *version;
        // A new life at an address ends the one that was there: it may be another service's now.
        let there = self.at.entry(heartbeat.address).or_default();
        for id in there.iter() {
            let Some(known) = self.all.get_mut(id) else { continue };
            let there = known.heartbeat.address == heartbeat.address
                && known.heartbeat.state != ExecutorState::Offline;
            if there && known.last_heard <= last_heard {
                known.heartbeat.state = ExecutorState::Offline;
                known.changed = *version;
            }
        }
        there.push(heartbeat.id.clone());
        tracing::info!(id = heartbeat.id, service = heartbeat.backend, state = %heartbeat.state, "executor");
        self.all.insert(heartbeat.id.clone(), ExecutorRecord { heartbeat, last_heard, changed: *version });
        true
    }

    /// It said that it ends.
    pub fn end(&mut self, version: &mut u64, id: &str) -> bool {
        let Some(known) = self.all.get_mut(id).filter(|k| k.heartbeat.state != ExecutorState::Offline) else {
            return false;
        };
        known.heartbeat.state = ExecutorState::Offline;
        *version += 1;
        (known.changed, self.changed) = (*version, *version);
        tracing::info!(id, "executor left");
        true
    }

    /// What the other control nodes are to hear: changes at once, all that called now and then.
    pub fn untold(&mut self, now: Millis, routine: bool) -> Vec<Heartbeat> {
        let mut ids = std::mem::take(&mut self.urgent);
        if routine {
            ids = std::mem::take(&mut self.fresh);
        }
        ids.sort_unstable();
        ids.dedup();
        ids.iter().filter_map(|id| self.all.get(id)).map(|known| known.aged(now)).collect()
    }

    pub fn look_for_silent(&mut self, version: &mut u64, now: Millis, in_touch: bool) {
        if !in_touch {
            // Cut off from the others: executors call them, and their silence here says nothing.
            self.out_of_touch = now;
        }
        if now > self.out_of_touch + self.silence {
            let silence = self.silence;
            let silent = |known: &&mut ExecutorRecord| {
                known.heartbeat.state != ExecutorState::Offline && now > known.last_heard + silence
            };
            for known in self.all.values_mut().filter(silent) {
                known.heartbeat.state = ExecutorState::Offline;
                *version += 1;
                (known.changed, self.changed) = (*version, *version);
                tracing::info!(id = known.heartbeat.id, "executor silent");
            }
        }
        let before = self.all.len();
        self.all.retain(|_, known| {
            known.heartbeat.state != ExecutorState::Offline || now < known.last_heard + TOMBSTONE_RETENTION
        });
        if self.all.len() < before {
            let all = &self.all;
            let there =
                |at: &SocketAddrV4, id: &String| all.get(id).is_some_and(|k| k.heartbeat.address == *at);
            self.at.retain(|at, ids| {
                ids.retain(|id| there(at, id));
                !ids.is_empty()
            });
        }
    }
}
