//! Every decision of stileroute: which executor gets which op, and what to do when a push fails.
//!
//! How to call it. A [`Dispatcher`] is one instance. It reads no clock, and knows of other instances only what their messages say. For an
//! op, `arrive` opens an [`Op`], which the caller keeps until its last push has an outcome. Three calls then take the current time:
//!   * `place`: where to send this op, or not yet, or never;
//!   * `settle`: what to do after this outcome of a push;
//!   * `wait`: when to call `place` again for this op.
//!
//! `place` and `settle` return one [`Step`]; carry it out and call `place` again until it returns `Wait`. Other events go to `list`,
//! `list_call_failed`, `note` and `report`; call `upkeep` when it is due. See `docs/design.md`.

mod estimate; // expected waits, running times and prices, and how they are learned
mod health; // pushes in flight, ejected executors, blocked categories, the final answer of an op
mod inputs; // arriving ops, the executor list, load reports, messages of peers
mod order; // which executor an op goes to: billiard order and eligibility
mod shares; // the share of ops that each executor gets, by the queueing model

use crate::peers::Peers;
use crate::state::{Executor, Learned, LearnedState};
use crate::types::*;
use estimate::Sample;
pub use shares::split;

/// Interval at which the caller has to call `upkeep`.
pub const UPKEEP_INTERVAL: Time = SECOND / 4;
const SOLVE_INTERVAL: Time = SECOND;
const EWMA_GAIN: f64 = 0.1; // gain of moving averages updated at each outcome of a push; a quarter of it for those updated at each arrival
const PEER_MESSAGE_BUDGET: f64 = 0.01; // part of an op's value that its two peer messages, a 3-byte entry each, may cost over all peers
const MIN_LOAD: f64 = 0.6; // lower bound and initial value of the target utilization
const CHECKS_PER_TARGET: Time = 8; // how often a push that has not started is checked, per target latency
const MAX_CREDIT: f64 = 4.0; // upper bound of an executor's retry credit; a retry costs one
const CREDIT_PER_ACK: f64 = 2.0; // credit that an ack earns; two, since in a large fleet an instance sees few acks of one executor

/// One instance of the dispatcher.
#[derive(Default)]
pub struct Dispatcher {
    terms: InstanceSettings,
    categories: Vec<Category>,
    learned: Vec<Learned>,
    warmup_budget: f64,         // work per slot that overloads an executor at full warmth
    warmup_budget_period: Time, // time in which one instance earns that much work for a warming executor
    gauges: Vec<Gauge>,
    executors: Vec<Executor>,
    /// For each failure domain: unreachable pushes since its last answer, and the time until which it is ejected.
    domains: Vec<(usize, Time)>,
    slots: Vec<f64>,   // estimated slots of an executor of each kind
    partitions: usize, // partitions of the fleet; this instance and its peers solve the split over one of them
    /// What peers have reported.
    pub peers: Peers,
    quotas: Vec<f64>,       // quota of each tenant over all instances, in ops a second
    tenant_rates: Vec<f64>, // arrival rate of each tenant here, in ops a second
    rates_decayed_at: Time,
    load: f64, // utilization of this instance's partition of the fleet, from 0 to 1
    target_load: f64,
    mean_gap: f64,
    mean_square_gap: f64,
    last_arrival: Option<Time>,
    slots_per_op: f64,
    other_load: f64, // long-run mean fraction of an executor's slots that other instances use, over the fleet
    virtual_time: f64,
    mean_paces: Vec<f64>, // mean log pace of each kind at the last solve
    fastest: usize,
    solved_at: Option<Time>,
    subscribe_at: Time, // when to subscribe to the executor list if not subscribed; zero before the first time
    consecutive_rejections: u32, // list calls in a row that were rejected for lack of capacity
    hopeless_rate: f64, // moving average of the fraction of ops judged hopeless; logged as overload
    overloaded: bool,
    /// Messages to peers, sent by the adapter.
    pub outgoing: Vec<OutgoingMessage>,
    /// Lines for the log, written by the adapter.
    pub log: Vec<String>,
    rng: Pcg32,
}

impl Dispatcher {
    /// Creates an instance with these settings; the same seed gives the same random draws.
    pub fn new(settings: &DispatchSettings, seed: u64) -> Dispatcher {
        let nodes = settings.terms.nodes.max(1);
        // Peers get a message for each push and for its end, so their number is limited by what an op can pay for.
        let max_peers = (PEER_MESSAGE_BUDGET * 256.0 / 6.0 / settings.terms.message_price.max(1e-4)) as usize;
        let partitions = if settings.terms.peers { (nodes / max_peers.max(1)).max(1) } else { 1 };
        Dispatcher {
            terms: settings.terms.clone(),
            partitions,
            peers: Peers::new(&settings.terms, partitions, settings.quotas.len()),
            tenant_rates: vec![0.0; settings.quotas.len()],
            quotas: settings.quotas.clone(),
            learned: vec![Learned { mean: 1.0, ..Learned::default() }; settings.categories.len()],
            categories: settings.categories.clone(),
            warmup_budget: settings.overload_factor * settings.terms.tip_after as f64,
            warmup_budget_period: settings.terms.tip_after * nodes as Time,
            gauges: settings.gauges.clone(),
            target_load: MIN_LOAD,
            slots_per_op: 1.0,
            rng: Pcg32::new(seed),
            ..Dispatcher::default()
        }
    }

    /// The fraction of this instance's ops that each executor is to get, by index, as of the last solve.
    pub fn shares(&self) -> impl Iterator<Item = f64> + '_ {
        self.executors.iter().map(|e| e.share)
    }

    /// Whether this instance currently sends nothing to an executor because it is disabled, or ejected alone or with its domain.
    pub fn avoids(&self, now: Time, executor: usize) -> bool {
        self.executors
            .get(executor)
            .is_some_and(|e| e.disabled.is_some() || e.ejected_until.max(self.domains[e.domain].1) > now)
    }

    /// Disables an executor for an operator (it gets nothing, whatever the list says) or enables it again. That clears its past failures,
    /// and it counts as cold: since a start that the list reported meanwhile, else since now, as the list may report a start late.
    pub fn disable(&mut self, now: Time, executor: usize, out: bool) {
        let draw = self.rng.draw();
        let Some(e) = self.executors.get_mut(executor).filter(|e| e.disabled.is_some() != out) else {
            return;
        };
        if let Some(since) = std::mem::replace(&mut e.disabled, out.then_some(now)) {
            e.restart(now, e.started.filter(|at| *at > since).or(Some(now)), draw);
            (e.credit, e.samples) = (e.credit.max(1.0), 0.0);
            e.blocked.fill(0);
            e.unstarted.fill(0);
        }
        self.solved_at = None;
    }

    /// The learned state, to be handed to a successor.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            categories: self.learned.clone(),
            slots: self.slots.clone(),
            executors: self.executors.clone(),
            other_load: self.other_load,
            slots_per_op: self.slots_per_op,
            mean_gap: self.mean_gap,
            mean_square_gap: self.mean_square_gap,
        }
    }

    /// Restores the learned state of the predecessor for executors that the list has named here too. The predecessor's pushes in flight
    /// show up in load reports. Its warm-up budget is not taken over, since it may still be using it.
    pub fn restore(&mut self, now: Time, learned: LearnedState) {
        if learned.categories.len() != self.learned.len() {
            return;
        }
        self.learned = learned.categories;
        (self.other_load, self.slots_per_op) = (learned.other_load, learned.slots_per_op);
        (self.mean_gap, self.mean_square_gap) = (learned.mean_gap, learned.mean_square_gap);
        for (own, slots) in self.slots.iter_mut().zip(learned.slots) {
            *own = slots;
        }
        for old in learned.executors {
            let Some(e) = self.executors.iter_mut().find(|e| e.name_hash == old.name_hash) else { continue };
            if e.started > old.started || old.in_flight.len() != e.in_flight.len() {
                continue;
            }
            let Executor { active, domain, kind, cell, own, seen_at, draw, turn, .. } = *e;
            let disabled = e.disabled.and(old.disabled).or(e.disabled);
            *e =
                Executor { active, domain, kind, cell, own, disabled, seen_at, draw, turn, sent: 0.0, ..old };
            (e.conns, e.last_used, e.peer_load, e.running, e.share) =
                (0.0, -self.terms.keepalive, 0.0, 0.0, 0.0);
            e.in_flight.fill(0.0);
            e.reported_at = e.reported_at.min(now);
        }
        self.solved_at = None;
    }

    /// Where to send this op: to an executor, not yet (`Wait`), or never (a final answer).
    pub fn place(&mut self, now: Time, op: &mut Op) -> Step {
        if op.closed {
            // A push whose op nobody waits for is cancelled, so that it does not delay the ops queued behind it.
            return match op.pushes.iter().position(|p| p.outcome.is_none() && !p.cancelling) {
                Some(left) if self.terms.cancel => cancel_push(op, left),
                _ => Step::Wait,
            };
        }
        if self.solved_at.is_none_or(|at| now >= at + SOLVE_INTERVAL) {
            self.solve(now);
        }
        let overdue = |p: &Push| p.outcome.is_none() && !p.cancelling && now >= p.due_at(&op.limits);
        let late = op.pushes.iter().position(overdue);
        match op.pushes.iter().rposition(|p| p.outcome.is_none()) {
            _ if now + 2 * self.terms.tick >= op.deadline => self.abandon(op, 0),
            Some(_) if late.is_some() => cancel_push(op, late.unwrap_or(0)),
            Some(last) => self.check_in_flight(now, op, last),
            None => self.dispatch(now, op),
        }
    }

    /// Records the outcome of a push and returns what to do next with its op.
    pub fn settle(&mut self, now: Time, op: &mut Op, push: usize, outcome: Outcome, values: &[f64]) -> Step {
        let Some(p) = op.pushes.get_mut(push).filter(|p| p.outcome.is_none()) else { return Step::Wait };
        p.outcome = Some(outcome);
        op.closed |= matches!(outcome, Outcome::Acked | Outcome::Rejected);
        let (x, started) = (p.executor, p.started);
        let ran = (now - started.unwrap_or(p.sent)).max(1) as f64;
        self.report(now, x, values);
        self.peers.record_change(x, None);
        let executor = &mut self.executors[x];
        executor.in_flight[op.category] = (executor.in_flight[op.category] - op.slots).max(0.0);
        executor.last_used = now;
        let lost = matches!(outcome, Outcome::NotConnected | Outcome::Reset | Outcome::Cut | Outcome::Broken);
        executor.conns -= f64::from(u8::from(lost)).min(executor.conns);
        executor.running -= if started.is_some() { op.slots.min(executor.running) } else { 0.0 };
        match outcome {
            Outcome::Acked => {
                executor.success_rate += EWMA_GAIN * (1.0 - executor.success_rate);
                executor.credit = (executor.credit + CREDIT_PER_ACK).min(MAX_CREDIT);
                (executor.probing, executor.last_acked) = (false, now);
                self.domains[executor.domain] = (0, 0);
                self.record_running_time(x, op, ran, Sample::Complete);
            }
            // The op itself is at fault: a few of these change little, but an executor that rejects all ops loses its share.
            Outcome::Rejected => executor.success_rate -= EWMA_GAIN * executor.success_rate,
            Outcome::Full => {
                executor.success_rate -= EWMA_GAIN * executor.success_rate;
                let full_load = self.slots[executor.kind] * 2.0 - executor.in_use();
                (executor.other_slots, executor.reported_at) = (executor.other_slots.max(full_load), now);
            }
            Outcome::Error | Outcome::NotConnected | Outcome::Reset | Outcome::Cut => {
                executor.success_rate -= 2.0 * EWMA_GAIN * executor.success_rate;
                // One reset may be a fault of the connection alone, and an executor that resets connections is reachable.
                let maybe_transient = matches!(outcome, Outcome::Reset | Outcome::Cut);
                let before = std::mem::replace(&mut executor.last_failed, now);
                if !maybe_transient || before > executor.last_acked {
                    self.eject(now, x, "failed", outcome == Outcome::NotConnected);
                }
            }
            Outcome::TimedOut => {
                executor.credit = (executor.credit - 1.0).max(0.0);
                self.record_running_time(x, op, ran, Sample::Censored);
            }
            Outcome::Cancelled | Outcome::NeverStarted | Outcome::Withheld | Outcome::Broken => {}
        }
        if op.limits.pause > 0 {
            let chance = 1.0 + op.limits.pause_spread * self.rng.draw();
            op.not_before = now + (op.limits.pause as f64 * chance) as Time;
        }
        self.place(now, op)
    }

    /// The time at which `place` is to be called again for the op.
    pub fn wait(&self, now: Time, op: &Op) -> Time {
        let last = op.deadline - 2 * self.terms.tick;
        let check = self.categories[op.category].target / CHECKS_PER_TARGET;
        let next = match op.pushes.iter().rfind(|p| p.outcome.is_none()) {
            Some(p) if p.cancelling => last,
            Some(p) if p.started.is_none() => now + check,
            Some(p) if self.terms.progress > 0 => (p.noted_at + 5 * self.terms.progress / 2).max(now + check),
            Some(_) => last,
            None if op.not_before > now => op.not_before,
            None => now + check,
        };
        let hedge = |p: &Push| p.sent.saturating_add(op.limits.copy_after);
        let out = op.pushes.iter().filter(|p| p.outcome.is_none() && !p.cancelling);
        let limit = out.map(|p| p.due_at(&op.limits).min(hedge(p).max(now + check))).min().unwrap_or(last);
        next.min(last).min(limit).max(now + self.terms.tick)
    }
}

/// Cancels a push; what comes next is decided only when its outcome arrives.
fn cancel_push(op: &mut Op, push: usize) -> Step {
    op.pushes[push].cancelling = true;
    Step::Cancel { push }
}
