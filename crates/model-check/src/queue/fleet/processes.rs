//! The processes of the stores: how each starts, runs, writes to its disk and ends.

use super::{Event, Fleet};
use crate::queue::choices::SESSION_LAPSE_DELAY;
use crate::queue::stores::{config, executor, Disk};
use std::collections::HashMap;
use stileroute_queue::{Millis, Queue, RetirementState};

/// A store that is told to end waits at most so long for what it has in hand.
const SHUTDOWN_GRACE: Millis = 5000;

impl Fleet {
    pub(super) fn start(&mut self, at: usize) {
        if self.stores[at].queue.is_some() || self.stores[at].is_removed {
            return;
        }
        self.incarnations += 1;
        let (now, lot, planted) = (self.now, self.incarnations, self.bounds.planted);
        self.stores[at].start(at, now, lot, planted);
        self.askers.retain(|(store, _), _| *store != at);
        for other in (0..self.stores.len()).filter(|other| *other != at) {
            self.at(60, Event::Connect { a: at, b: other });
        }
        self.at(40, Event::ConfigurationTold { at });
        self.at(100, Event::MembersTold);
    }

    /// The process ends; who was connected learns of it after so long.
    pub fn stop(&mut self, at: usize, noticed: Millis) {
        self.stores[at].queue = None;
        self.stores[at].draining_since = None;
        let links: Vec<((usize, usize), u64)> = self
            .connections
            .iter()
            .filter(|((a, b), _)| *a == at || *b == at)
            .map(|(k, v)| (*k, *v))
            .collect();
        for ((a, b), link) in links {
            self.close_connection(a, b);
            self.at(noticed, Event::Disconnect { a, b, link });
        }
        let life = self.stores[at].incarnation;
        self.at(SESSION_LAPSE_DELAY, Event::SessionLapses { at, life });
    }

    /// Replaces the disk of a store by an empty one.
    pub fn lose_disk(&mut self, at: usize) {
        self.incarnations += 1;
        self.stores[at].disk = Disk::empty(100 + self.incarnations);
        self.stores[at].has_lost_disk = true;
    }

    fn time(&self, at: usize) -> Millis {
        self.now - self.stores[at].started_at
    }

    /// Lets a store that runs see to something, and do what follows.
    pub(super) fn call(&mut self, at: usize, life: Option<u64>, see: impl FnOnce(&mut Queue, Millis)) {
        let now = self.time(at);
        let store = &mut self.stores[at];
        if life.is_some_and(|life| life != store.incarnation) {
            return;
        }
        if let Some(queue) = &mut store.queue {
            see(queue, now);
            self.run_turn(at);
        }
    }

    /// One choice of one store, as `crates/server/src/store.rs` drives it.
    pub fn run_turn(&mut self, at: usize) {
        let now = self.time(at);
        let leaving = self.stores[at].draining_since;
        let Some(queue) = self.stores[at].queue.as_mut() else { return };
        if leaving.is_some() {
            queue.begin_draining(now);
        }
        self.apply_effects(at);
        if let Some(since) = leaving {
            self.may_end(at, since);
        }
        let empty = self.stores[at]
            .queue
            .as_ref()
            .is_some_and(|queue| queue.retirement_state() == RetirementState::Empty);
        if empty && self.emptied_stores.insert(at) {
            self.trace_line(|| format!("store {at} says that it is empty"));
            self.breach = self.breach.take().or_else(|| self.check_empty_store(at));
            let life = self.stores[at].incarnation;
            self.at(50, Event::Remove { at, life });
        }
    }

    fn may_end(&mut self, at: usize, since: Millis) {
        let done = |fleet: &Fleet| {
            let idle = fleet.stores[at].queue.as_ref().is_some_and(|queue| queue.unfinished_count() == 0);
            idle && fleet.now > since + 150
        };
        if done(self) && !std::mem::replace(&mut self.stores[at].has_flushed, true) {
            self.stores[at].queue.iter_mut().for_each(Queue::flush_ends);
            self.apply_effects(at);
        }
        if (done(self) && self.now > since + 300) || self.now > since + SHUTDOWN_GRACE {
            let all = self.stores[at].disk.in_flight.len();
            self.stores[at].disk.abort_writes(all);
            self.stop(at, 5);
            self.at(500, Event::Start { at });
        }
    }

    fn apply_effects(&mut self, at: usize) {
        for _ in 0..8 {
            let now = self.time(at);
            let Some(queue) = self.stores[at].queue.as_mut() else { return };
            queue.tick(now, now as i64 * 10);
            let effects = queue.take_effects();
            if effects.is_empty() {
                return;
            }
            effects.into_iter().for_each(|effect| self.effect(at, effect));
        }
    }

    pub(super) fn write_completed(&mut self, at: usize, life: u64, serial: u64) {
        if self.stores[at].incarnation != life || self.stores[at].queue.is_none() {
            return;
        }
        while self.stores[at].disk.first_serial <= serial {
            let Some(ticket) = self.stores[at].disk.complete_next_write() else { break };
            let now = self.time(at);
            self.stores[at].queue.iter_mut().for_each(|queue| queue.write_completed(now, ticket, true));
        }
        self.run_turn(at);
    }

    pub(super) fn remove(&mut self, at: usize, life: u64) {
        if self.stores[at].incarnation == life && self.stores[at].queue.is_some() {
            self.trace_line(|| format!("store {at} is taken away"));
            self.stop(at, 5);
            self.stores[at].disk = Disk::default();
            self.stores[at].is_removed = true;
        }
    }

    pub(super) fn tell_configuration(&mut self, at: usize) {
        let servers = HashMap::from([("works".to_string(), vec![executor()])]);
        self.call(at, None, |queue, now| {
            queue.set_executors(now, now as i64 * 10, servers);
            queue.configure(now, now as i64 * 10, config());
        });
        self.resend_superseded(at);
    }
}
