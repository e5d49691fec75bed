//! Orders to change the control state, and the writes that bring each to all replicas: one at a time, the others wait.

use super::Role;
use crate::{
    After, Applied, ControlGroup, ControlState, Effect, Message, Millis, NodeId, Planted, Record,
    RetirementStage, StateChange, Verdict, View,
};
use std::collections::BTreeSet;

/// A write waits so long for its turn, and is answered at the latest after so long.
pub(crate) const TURN: Millis = 1500;
pub(crate) const ANSWER: Millis = 2500;
/// Most writes that wait.
const QUEUE: usize = 32;

/// A change that was asked for, and who waits for the answer: nobody where the primary noticed it by itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Order {
    pub ticket: Option<u64>,
    pub change: StateChange,
}

impl Order {
    pub(super) fn answer(&self, verdict: Verdict) -> Option<Effect> {
        self.ticket.map(|ticket| Effect::Answer { ticket, verdict })
    }
}

/// A write under way.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub write_id: u64,
    pub state: ControlState,
    /// None where the own state is stored again, or a replica is filled.
    pub change: Option<Order>,
    pub missing: BTreeSet<NodeId>,
    pub since: Millis,
    pub sent: Millis,
    /// To become a replica when it has it, in place of those.
    pub joins: Option<(NodeId, Vec<NodeId>)>,
}

/// An order that waits for its turn.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub order: Order,
    pub since: Millis,
    /// A replica may have it already: it can't be said that it was not done.
    pub begun: bool,
}

impl Waiting {
    pub(super) fn given_up(&self, lies: bool) -> Option<Effect> {
        let verdict = if self.begun && !lies { Verdict::Uncertain } else { Verdict::NotCommitted };
        self.order.answer(verdict)
    }
}

impl ControlGroup {
    /// An operator's configuration.
    pub fn replace_configuration(&mut self, now: Millis, ticket: u64, version: u64, body: Vec<u8>) {
        let change = StateChange::Configuration { version, body };
        self.take_order(now, Order { ticket: Some(ticket), change });
    }

    /// An order to retire a store, that the caller has checked against `settled` and `pending_retirements`.
    pub fn retire_store(&mut self, now: Millis, ticket: u64, node: u32, name: String) {
        let change = StateChange::Retire { node, name };
        self.take_order(now, Order { ticket: Some(ticket), change });
    }

    /// A store that is retired has come further. Only the primary writes that down, and nobody waits for it: it is called
    /// again until the value says so.
    pub fn advance_retirement(&mut self, now: Millis, node: u32, stage: RetirementStage) {
        let order = Order { ticket: None, change: StateChange::Advance { node, stage } };
        if !self.may_answer(now) || self.orders().any(|waiting| *waiting == order) {
            return;
        }
        self.take_order(now, order);
    }

    fn take_order(&mut self, now: Millis, order: Order) {
        let primary = self.primary().filter(|p| *p != self.settings.node_id);
        let Role::Lead(lead) = &mut self.role else {
            return self.effects.extend(order.answer(Verdict::NotPrimary { primary }));
        };
        if lead.queue.len() >= QUEUE || lead.leave_by.is_some() {
            return self.effects.extend(order.answer(Verdict::NotCommitted));
        }
        lead.queue.push_back(Waiting { order, since: now, begun: false });
        self.lead(now);
    }

    /// Those under way and those that wait.
    fn orders(&self) -> impl Iterator<Item = &Order> {
        let lead = if let Role::Lead(lead) = &self.role { Some(lead) } else { None };
        let under_way = lead.and_then(|lead| lead.job.as_ref()?.change.as_ref());
        let waiting = lead.into_iter().flat_map(|lead| lead.queue.iter().map(|waiting| &waiting.order));
        under_way.into_iter().chain(waiting)
    }

    /// Stores whose retirement is under way to the replicas, or waits for its turn.
    pub fn pending_retirements(&self) -> impl Iterator<Item = u32> + '_ {
        self.orders().filter_map(|order| match order.change {
            StateChange::Retire { node, .. } => Some(node),
            _ => None,
        })
    }

    /// The newest configuration, if this is the primary and nobody else can be.
    pub fn read_configuration(&mut self, now: Millis, ticket: u64) {
        if let Some(state) = self.readable_state(now) {
            let state = Some(state.clone()).filter(|c| c.version > 0);
            return self.effects.push(Effect::ReadAnswer { ticket, state });
        }
        let primary = self.primary().filter(|p| *p != self.settings.node_id);
        self.effects.push(Effect::Answer { ticket, verdict: Verdict::NotPrimary { primary } });
    }

    pub(super) fn answer_late(&mut self, now: Millis) {
        let lies = self.planted(Planted::BegunForgotten);
        let Role::Lead(lead) = &mut self.role else { return };
        if let Some(job) = lead.job.as_mut().filter(|job| now > job.since + ANSWER) {
            let ticket = job.change.as_mut().and_then(|order| order.ticket.take());
            let late = ticket.map(|ticket| Effect::Answer { ticket, verdict: Verdict::Uncertain });
            self.effects.extend(late);
        }
        while lead.queue.front().is_some_and(|w| now > w.since + TURN) {
            self.effects.extend(lead.queue.pop_front().and_then(|w| w.given_up(lies)));
        }
    }

    pub(super) fn begin_job(&mut self, now: Millis, view: &View) {
        if !self.holds_lease(now) || view.membership_epoch != view.epoch {
            return;
        }
        let enough = self.enough(view);
        let own = self.state.clone();
        let equal_taken = self.planted(Planted::EqualTaken);
        let Role::Lead(lead) = &mut self.role else { return };
        if lead.job.is_some() || lead.change.is_some() {
            return;
        }
        if !lead.settled
            || view.replicas.iter().any(|v| lead.unfilled.contains(v) && lead.acks.contains_key(v))
        {
            // What it holds may be on no other replica, or a replica may hold what was given up, or have lost its disk: all
            // are made alike first.
            return self.write(now, own, None, view.replicas.clone(), None);
        }
        if !enough || lead.leave_by.is_some() {
            return;
        }
        while let Some(Waiting { order, .. }) = lead.queue.pop_front() {
            match order.change.applied(&self.state, equal_taken) {
                Applied::Unchanged => self.effects.extend(order.answer(Verdict::Unchanged)),
                Applied::Full => self.effects.extend(order.answer(Verdict::NotCommitted)),
                Applied::Changed(state) => {
                    return self.write(now, state, Some(order), view.replicas.clone(), None);
                }
            }
        }
    }

    pub(super) fn write(
        &mut self,
        now: Millis,
        state: ControlState,
        change: Option<Order>,
        to: Vec<NodeId>,
        joins: Option<(NodeId, Vec<NodeId>)>,
    ) {
        self.serial = self.serial.wrapping_add(1);
        let (write_id, epoch, me) = (self.serial, self.epoch(), self.settings.node_id);
        let missing: BTreeSet<NodeId> = to.into_iter().collect();
        for voter in missing.clone() {
            self.send(voter, Message::Store { epoch, write_id, state: state.clone() });
        }
        if missing.contains(&me) {
            self.persist(Record::ControlState(state.clone()), After::OwnStored { write_id });
        }
        if let Role::Lead(lead) = &mut self.role {
            lead.job = Some(Job { write_id, state, change, missing, since: now, sent: now, joins });
        }
    }

    /// It refuses, or hangs: another is to decide. Whether the replicas have what was written is not known.
    pub(crate) fn own_disk_failed(&mut self, now: Millis) {
        let Role::Lead(lead) = &mut self.role else { return };
        let under_way = lead.job.take().and_then(|job| job.change);
        self.effects.extend(under_way.and_then(|order| order.answer(Verdict::Uncertain)));
        lead.settled = false;
        self.hand_over(now, false);
    }

    pub(crate) fn stored(&mut self, now: Millis, from: NodeId, epoch: u64, write_id: u64) {
        if epoch != self.epoch() {
            return;
        }
        let leads = self.holds_lease(now);
        let early = self.planted(Planted::EarlyAnswer);
        let enough = self.view.as_ref().is_some_and(|w| self.enough(w));
        let Role::Lead(lead) = &mut self.role else { return };
        let Some(job) = lead.job.as_mut().filter(|job| job.write_id == write_id) else { return };
        job.missing.remove(&from);
        lead.unfilled.remove(&from);
        if early && job.change.is_some() {
            job.missing.clear();
        }
        if !job.missing.is_empty() {
            return;
        }
        let Some(job) = lead.job.take() else { return };
        if let Some((voter, lost)) = job.joins {
            self.change_replicas(now, voter, &lost);
            return self.lead(now);
        }
        lead.settled = true;
        self.state = job.state;
        let verdict = if leads { Verdict::Accepted } else { Verdict::Uncertain };
        self.effects.extend(job.change.and_then(|order| order.answer(verdict)));
        if enough && leads {
            // The others hear of it with the next heartbeat: now, for the data plane waits for it.
            if let Role::Lead(lead) = &mut self.role {
                lead.heartbeat_at = now;
            }
        }
        self.lead(now);
    }
}
