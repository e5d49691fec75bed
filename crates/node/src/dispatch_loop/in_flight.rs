//! The ops in flight and their timers.

use crate::interfaces::{Job, PendingReply, PushHandle};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use stileroute_dispatch::types::{Op, Outcome, Time};
use stileroute_route_limits::admission::Permit;

/// One op, from its request to the outcome of its last push.
pub struct InFlightOp {
    pub op: Op,
    /// The channel to the client; `None` once the client has its response or has disconnected.
    pub reply: Option<PendingReply>,
    pub job: Arc<dyn Job>,
    /// The pushes of the op, indexed by push number.
    pub pushes: Vec<SentPush>,
    /// What the op's route permits; `None` if no routes are configured.
    pub pass: Option<Box<Permit>>,
    pub received_at: Time,
}

/// One push: the handle of its connection while it is open, and the outcome to record if it was abandoned.
pub struct SentPush {
    pub handle: Option<Arc<dyn PushHandle>>,
    pub abandoned_as: Option<Outcome>,
    /// The executor was disabled by an operator; the push was withheld if none of its bytes had been written.
    pub withheld: bool,
    pub sent_at: Time,
}

impl InFlightOp {
    /// Abandons a push by closing its connection. The connection's thread then reports the outcome.
    pub fn abandon(&mut self, push: usize, counts_as: Outcome) {
        if let Some(sent) = self.pushes.get_mut(push).filter(|sent| sent.abandoned_as.is_none()) {
            sent.abandoned_as = Some(counts_as);
            if let Some(handle) = &sent.handle {
                handle.cancel();
            }
        }
    }

    /// Updates whether the retry budget permits another push. Called before the dispatcher is asked for the
    /// next step.
    pub fn update_retry_budget(&mut self, now: Time) {
        if let Some(pass) = &self.pass {
            self.op.limits.over_budget = pass.retry_delay(now);
        }
    }

    /// Withholds all unsent pushes of the op: its client has its response or has disconnected.
    pub fn withhold_unsent(&self) {
        self.pushes
            .iter()
            .filter_map(|sent| sent.handle.as_ref())
            .for_each(|handle| handle.withhold_unsent());
    }

    /// Whether a push of this op is still open and has not been abandoned.
    pub fn has_open_push(&self) -> bool {
        self.pushes.iter().any(|sent| sent.handle.is_some() && sent.abandoned_as.is_none())
    }
}

#[derive(Default)]
pub struct InFlightOps {
    ops: HashMap<u64, InFlightOp>,
    due: BTreeSet<(Time, u64)>,
    next_checks: HashMap<u64, Time>,
}

impl InFlightOps {
    pub fn is_empty(&self) -> bool {
        self.ops.is_empty()
    }

    /// Removes an op and its timer.
    pub fn take(&mut self, ticket: u64) -> Option<InFlightOp> {
        if let Some(old) = self.next_checks.remove(&ticket) {
            self.due.remove(&(old, ticket));
        }
        self.ops.remove(&ticket)
    }

    /// Stores an op and sets the time of its next check.
    pub fn put(&mut self, ticket: u64, in_flight: InFlightOp, next_check: Option<Time>) {
        if let Some(next_check) = next_check {
            self.next_checks.insert(ticket, next_check);
            self.due.insert((next_check, ticket));
        }
        self.ops.insert(ticket, in_flight);
    }

    pub fn get(&mut self, ticket: u64) -> Option<&mut InFlightOp> {
        self.ops.get_mut(&ticket)
    }

    /// Withholds all pushes to this executor of which no byte has been written.
    pub fn withhold_unsent_to(&mut self, executor: usize) {
        for in_flight in self.ops.values_mut() {
            for (push, sent) in in_flight.op.pushes.iter().zip(&mut in_flight.pushes) {
                if let Some(handle) = sent.handle.as_ref().filter(|_| push.executor == executor) {
                    sent.withheld = true;
                    handle.withhold_unsent();
                }
            }
        }
    }

    pub fn tickets(&self) -> Vec<u64> {
        let mut tickets: Vec<u64> = self.ops.keys().copied().collect();
        tickets.sort_unstable();
        tickets
    }

    /// The next op whose check time has passed.
    pub fn due(&self, now: Time) -> Option<u64> {
        self.due.first().filter(|(at, _)| *at <= now).map(|(_, ticket)| *ticket)
    }

    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }
}
