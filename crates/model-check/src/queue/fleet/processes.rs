//! The processes of the stores: how each starts, runs, writes to its disk and ends.

use super::{Event, Fleet};
use crate::queue::choices::LAPSE;
use crate::queue::stores::{config, executor, Disk};
use std::collections::HashMap;
use stileroute_queue::{Millis, Queue, RetirementState};

/// A store that is told to end waits at most so long for what it has in hand.
const GRACE: Millis = 5000;

impl Fleet {
    pub(super) fn start(&mut self, at: usize) {
        if self.stores[at].queue.is_some() || self.stores[at].vanished {
            return;
        }
        self.lives += 1;
        let (now, lot, planted) = (self.now, self.lives, self.bounds.planted);
        self.stores[at].start(at, now, lot, planted);
        self.askers.retain(|(store, _), _| *store != at);
        for other in (0..self.stores.len()).filter(|other| *other != at) {
            self.at(60, Event::Up { a: at, b: other });
        }
        self.at(40, Event::Listen { at });
        self.at(100, Event::Members);
    }

    /// The process ends; who was connected learns of it after so long.
    pub fn stop(&mut self, at: usize, noticed: Millis) {
        self.stores[at].queue = None;
        self.stores[at].leaving = None;
        let links: Vec<((usize, usize), u64)> =
            self.links.iter().filter(|((a, b), _)| *a == at || *b == at).map(|(k, v)| (*k, *v)).collect();
        for ((a, b), link) in links {
            self.unlink(a, b);
            self.at(noticed, Event::Broken { a, b, link });
        }
        let life = self.stores[at].life;
        self.at(LAPSE, Event::Lapse { at, life });
    }

    pub fn lose_disk(&mut self, at: usize) {
        self.lives += 1;
        self.stores[at].disk = Disk::blank(100 + self.lives);
        self.stores[at].lost_disk = true;
    }

    fn time(&self, at: usize) -> Millis {
        self.now - self.stores[at].began
    }

    /// Lets a store that runs see to something, and do what follows.
    pub(super) fn with(&mut self, at: usize, life: Option<u64>, see: impl FnOnce(&mut Queue, Millis)) {
        let now = self.time(at);
        let store = &mut self.stores[at];
        if life.is_some_and(|life| life != store.life) {
            return;
        }
        if let Some(queue) = &mut store.queue {
            see(queue, now);
            self.choice(at);
        }
    }

    /// One choice of one store, as `crates/server/src/store.rs` drives it.
    pub fn choice(&mut self, at: usize) {
        let now = self.time(at);
        let leaving = self.stores[at].leaving;
        let Some(queue) = self.stores[at].queue.as_mut() else { return };
        if leaving.is_some() {
            queue.begin_draining(now);
        }
        self.carry_out(at);
        if let Some(since) = leaving {
            self.may_end(at, since);
        }
        let empty = self.stores[at]
            .queue
            .as_ref()
            .is_some_and(|queue| queue.retirement_state() == RetirementState::Empty);
        if empty && self.emptied.insert(at) {
            self.told(|| format!("store {at} says that it is empty"));
            self.breach = self.breach.take().or_else(|| self.look_at_emptied(at));
            let life = self.stores[at].life;
            self.at(50, Event::Vanish { at, life });
        }
    }

    fn may_end(&mut self, at: usize, since: Millis) {
        let done = |fleet: &Fleet| {
            let idle = fleet.stores[at].queue.as_ref().is_some_and(|queue| queue.unfinished_count() == 0);
            idle && fleet.now > since + 150
        };
        if done(self) && !std::mem::replace(&mut self.stores[at].flushed, true) {
            self.stores[at].queue.iter_mut().for_each(Queue::flush_ends);
            self.carry_out(at);
        }
        if (done(self) && self.now > since + 300) || self.now > since + GRACE {
            let all = self.stores[at].disk.writing.len();
            self.stores[at].disk.end(all);
            self.stop(at, 5);
            self.at(500, Event::Start { at });
        }
    }

    fn carry_out(&mut self, at: usize) {
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

    pub(super) fn synced(&mut self, at: usize, life: u64, serial: u64) {
        if self.stores[at].life != life || self.stores[at].queue.is_none() {
            return;
        }
        while self.stores[at].disk.first_serial <= serial {
            let Some(ticket) = self.stores[at].disk.reach() else { break };
            let now = self.time(at);
            self.stores[at].queue.iter_mut().for_each(|queue| queue.write_completed(now, ticket, true));
        }
        self.choice(at);
    }

    pub(super) fn vanish(&mut self, at: usize, life: u64) {
        if self.stores[at].life == life && self.stores[at].queue.is_some() {
            self.told(|| format!("store {at} is taken away"));
            self.stop(at, 5);
            self.stores[at].disk = Disk::default();
            self.stores[at].vanished = true;
        }
    }

    pub(super) fn listen(&mut self, at: usize) {
        let servers = HashMap::from([("works".to_string(), vec![executor()])]);
        self.with(at, None, |queue, now| {
            queue.set_executors(now, now as i64 * 10, servers);
            queue.configure(now, now as i64 * 10, config());
        });
        self.tell_again(at);
    }
}
