//! Ops that have been received but wait for a free concurrency slot of their route. The dispatcher has not seen
//! them yet.

use crate::interfaces::{Job, JobParameters, PendingReply};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use stileroute_dispatch::types::Time;
use stileroute_route_limits::admission::Permit;

pub struct QueuedOp {
    pub job: Arc<dyn Job>,
    pub parameters: JobParameters,
    pub received_at: Time,
    pub reply: PendingReply,
    pub pass: Box<Permit>,
    pub deadline: Time,
}

#[derive(Default)]
pub struct AdmissionQueue {
    ops: HashMap<u64, QueuedOp>,
    due: BTreeSet<(Time, u64)>,
    /// Tickets that now hold a concurrency slot and will be passed to the dispatcher next. They are queued
    /// instead of being started at once, because a nacked op frees its slot for the next one, which would
    /// recurse without bound.
    pub admitted: VecDeque<u64>,
}

impl AdmissionQueue {
    pub fn is_empty(&self) -> bool {
        self.ops.is_empty()
    }

    pub fn put(&mut self, ticket: u64, waiting: QueuedOp) {
        self.due.insert((waiting.deadline, ticket));
        self.ops.insert(ticket, waiting);
    }

    pub fn take(&mut self, ticket: u64) -> Option<QueuedOp> {
        let waiting = self.ops.remove(&ticket)?;
        self.due.remove(&(waiting.deadline, ticket));
        Some(waiting)
    }

    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    /// The next op whose queueing deadline has passed.
    pub fn due(&self, now: Time) -> Option<u64> {
        self.due.first().filter(|(at, _)| *at <= now).map(|(_, ticket)| *ticket)
    }

    pub fn tickets(&self) -> Vec<u64> {
        self.due.iter().map(|(_, ticket)| *ticket).collect()
    }
}
