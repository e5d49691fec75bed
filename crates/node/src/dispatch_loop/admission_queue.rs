//! Ops that wait for a place in hand: they are taken, and not yet asked of the module.

use crate::interfaces::{Asked, Job, Owed};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use stileroute_dispatch::types::Time;
use stileroute_route_limits::gate::Pass;

pub struct Waiting {
    pub job: Arc<dyn Job>,
    pub asked: Asked,
    pub came: Time,
    pub reply: Owed,
    pub pass: Box<Pass>,
    pub until: Time,
}

#[derive(Default)]
pub struct Queue {
    held: HashMap<u64, Waiting>,
    due: BTreeSet<(Time, u64)>,
    /// Who has a place now, and is to be asked of the module next. Not at once: one that is nacked leaves its place
    /// to the next, and so on without end.
    pub admitted: VecDeque<u64>,
}

impl Queue {
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub fn put(&mut self, ticket: u64, waiting: Waiting) {
        self.due.insert((waiting.until, ticket));
        self.held.insert(ticket, waiting);
    }

    pub fn take(&mut self, ticket: u64) -> Option<Waiting> {
        let waiting = self.held.remove(&ticket)?;
        self.due.remove(&(waiting.until, ticket));
        Some(waiting)
    }

    pub fn next(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    /// The next whose wait is over by now.
    pub fn due(&self, now: Time) -> Option<u64> {
        self.due.first().filter(|(at, _)| *at <= now).map(|(_, ticket)| *ticket)
    }

    pub fn tickets(&self) -> Vec<u64> {
        self.due.iter().map(|(_, ticket)| *ticket).collect()
    }
}
