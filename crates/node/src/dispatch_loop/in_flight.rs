//! The ops in hand, and when to look at which of them again.

use crate::interfaces::{Job, PendingReply, PushHandle};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use stileroute_dispatch::types::{Op, Outcome, Time};
use stileroute_route_limits::gate::Pass;

/// One op, from its request to the outcome of its last push.
pub struct InFlightOp {
    pub op: Op,
    /// The client, until it has its answer or is gone.
    pub reply: Option<PendingReply>,
    pub job: Arc<dyn Job>,
    /// Its pushes by number.
    pub pushes: Vec<SentPush>,
    /// What routes let it do, where there are routes.
    pub pass: Option<Box<Pass>>,
    pub received_at: Time,
}

/// One push: its connection while it is sent, and as what it counts when it was given up.
pub struct SentPush {
    pub handle: Option<Arc<dyn PushHandle>>,
    pub abandoned_as: Option<Outcome>,
    /// Its executor was taken sent by hand; it was kept back if nothing of it was written.
    pub withheld: bool,
    pub sent_at: Time,
}

impl InFlightOp {
    /// Gives a push up by ending its connection; its outcome follows from the connection's thread.
    pub fn abandon(&mut self, push: usize, counts_as: Outcome) {
        if let Some(sent) = self.pushes.get_mut(push).filter(|sent| sent.abandoned_as.is_none()) {
            sent.abandoned_as = Some(counts_as);
            if let Some(handle) = &sent.handle {
                handle.cancel();
            }
        }
    }

    /// Before the module is asked what is next: whether retry budgets leave a further push.
    pub fn update_retry_budget(&mut self, now: Time) {
        if let Some(pass) = &self.pass {
            self.op.limits.over_budget = pass.over_budget(now);
        }
    }

    /// Its client has its answer, or is gone: nothing new may leave for it.
    pub fn withhold_unsent(&self) {
        self.pushes
            .iter()
            .filter_map(|sent| sent.handle.as_ref())
            .for_each(|handle| handle.withhold_unsent());
    }

    /// Something may still be sent or given up for it.
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

    /// Takes an op sent of hand, with its timer.
    pub fn take(&mut self, ticket: u64) -> Option<InFlightOp> {
        if let Some(old) = self.next_checks.remove(&ticket) {
            self.due.remove(&(old, ticket));
        }
        self.ops.remove(&ticket)
    }

    /// Puts it back, to be looked at again then.
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

    /// Keeps back what is on its way to this executor and has not begun to leave.
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

    /// The next that is due by now.
    pub fn due(&self, now: Time) -> Option<u64> {
        self.due.first().filter(|(at, _)| *at <= now).map(|(_, ticket)| *ticket)
    }

    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }
}
