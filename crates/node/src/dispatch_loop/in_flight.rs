//! The ops in hand, and when to look at which of them again.

use crate::interfaces::{Job, Link, Owed};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use stileroute_dispatch::types::{Op, Outcome, Time};
use stileroute_route_limits::gate::Pass;

/// One op, from its request to the outcome of its last push.
pub struct Held {
    pub op: Op,
    /// The client, until it has its answer or is gone.
    pub reply: Option<Owed>,
    pub job: Arc<dyn Job>,
    /// Its pushes by number.
    pub pushes: Vec<Out>,
    /// What routes let it do, where there are routes.
    pub pass: Option<Box<Pass>>,
    pub came: Time,
}

/// One push: its connection while it is out, and as what it counts when it was given up.
pub struct Out {
    pub link: Option<Arc<dyn Link>>,
    pub given_up: Option<Outcome>,
    /// Its executor was taken out by hand; it was kept back if nothing of it was written.
    pub withheld: bool,
    pub sent: Time,
}

impl Held {
    /// Gives a push up by ending its connection; its outcome follows from the connection's thread.
    pub fn give_up(&mut self, push: usize, counts_as: Outcome) {
        if let Some(out) = self.pushes.get_mut(push).filter(|out| out.given_up.is_none()) {
            out.given_up = Some(counts_as);
            if let Some(link) = &out.link {
                link.call_off();
            }
        }
    }

    /// Before the module is asked what is next: whether retry budgets leave a further push.
    pub fn budget(&mut self, now: Time) {
        if let Some(pass) = &self.pass {
            self.op.limits.over_budget = pass.over_budget(now);
        }
    }

    /// Its client has its answer, or is gone: nothing new may leave for it.
    pub fn keep_back(&self) {
        self.pushes.iter().filter_map(|out| out.link.as_ref()).for_each(|link| link.keep_back());
    }

    /// Something may still be sent or given up for it.
    pub fn out(&self) -> bool {
        self.pushes.iter().any(|out| out.link.is_some() && out.given_up.is_none())
    }
}

#[derive(Default)]
pub struct Ops {
    held: HashMap<u64, Held>,
    due: BTreeSet<(Time, u64)>,
    looks: HashMap<u64, Time>,
}

impl Ops {
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Takes an op out of hand, with its timer.
    pub fn take(&mut self, ticket: u64) -> Option<Held> {
        if let Some(old) = self.looks.remove(&ticket) {
            self.due.remove(&(old, ticket));
        }
        self.held.remove(&ticket)
    }

    /// Puts it back, to be looked at again then.
    pub fn put(&mut self, ticket: u64, held: Held, look: Option<Time>) {
        if let Some(look) = look {
            self.looks.insert(ticket, look);
            self.due.insert((look, ticket));
        }
        self.held.insert(ticket, held);
    }

    pub fn get(&mut self, ticket: u64) -> Option<&mut Held> {
        self.held.get_mut(&ticket)
    }

    /// Keeps back what is on its way to this executor and has not begun to leave.
    pub fn withhold(&mut self, executor: usize) {
        for held in self.held.values_mut() {
            for (push, out) in held.op.pushes.iter().zip(&mut held.pushes) {
                if let Some(link) = out.link.as_ref().filter(|_| push.executor == executor) {
                    out.withheld = true;
                    link.keep_back();
                }
            }
        }
    }

    pub fn tickets(&self) -> Vec<u64> {
        let mut tickets: Vec<u64> = self.held.keys().copied().collect();
        tickets.sort_unstable();
        tickets
    }

    /// The next that is due by now.
    pub fn due(&self, now: Time) -> Option<u64> {
        self.due.first().filter(|(at, _)| *at <= now).map(|(_, ticket)| *ticket)
    }

    pub fn next(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }
}
