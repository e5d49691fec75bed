//! Every decision of stileroute: which executor gets which op, and what to do when that goes wrong.
//!
//! How to call it. A [`Dispatcher`] is one instance; it reads no clock, and knows of others what they tell.
//! For an op, `arrive` opens an [`Op`], which the caller keeps until its last push has an outcome. Then
//! three calls, each with the time now:
//!   * `place`: where to send this op, or not yet, or never;
//!   * `settle`: what to do after this outcome of a push;
//!   * `wait`: until when to leave the op alone; call `place` again then.
//!
//! `place` and `settle` give back one [`Step`]; carry it out and call `place` again until it says `Hold`.
//! What else is heard goes to `list`, `refused`, `note`, `report`; `upkeep` when due. See `docs/design.md`.

mod estimate; // waits, running times, prices, and what is learned of them
mod health; // pushes that are out, executors set aside and barred, the end of an op
mod hear; // ops that arrive, the list, reports, peers
mod order; // where an op goes: billiard order and the rules
mod shares; // the design: how much each executor gets

use crate::peers::Peers;
use crate::state::{Executor, Learned, Memory};
use crate::types::*;
use estimate::Sample;
pub use shares::split;

/// How often `upkeep` is to be called.
pub const UPKEEP: Time = SECOND / 4;
const SOLVE_EVERY: Time = SECOND;
const SMOOTH: f64 = 0.1; // gain of what is followed from outcome to outcome; a quarter of it per arrival
const PEER_SPEND: f64 = 0.01; // for one op, in parts of its worth: two entries of three bytes to each peer
const LEAST_USE: f64 = 0.6; // the target use starts here
const LOOKS: Time = 8; // looks after a push that has not started, in a target latency
const MOST_CREDIT: f64 = 4.0; // a further push costs one,
const EARNED: f64 = 2.0; // and an answer earns so much: a node of many sees few of them

/// The instance.
#[derive(Default)]
pub struct Dispatcher {
    terms: Terms,
    categories: Vec<Category>,
    learned: Vec<Learned>,
    cold_budget: f64, // work that tips a cold executor, by slot at full warmth,
    cold_span: Time,  // and the span in which a node earns so much
    gauges: Vec<Gauge>,
    executors: Vec<Executor>,
    /// Of each failure domain: pushes out of reach since its last answer, and until when it is left alone.
    domains: Vec<(usize, Time)>,
    slots: Vec<f64>, // of an executor of each kind, as far as seen
    parts: usize,    // of so many parts of the fleet this instance and its peers solve over one
    /// What peers told.
    pub peers: Peers,
    quotas: Vec<f64>, // ops a second within each tenant's share,
    rates: Vec<f64>,  // and as they come here
    faded: Time,
    used: f64, // part of its part of the fleet that is held
    target_use: f64,
    arrival_gap: f64,
    arrival_square: f64,
    last_arrival: Option<Time>,
    slots_per_op: f64,
    usual: f64, // part of an executor's slots that others hold in the long run, over the fleet
    front: f64,
    paces: Vec<f64>, // mean pace of each kind, as last solved
    fastest: usize,
    solved: Option<Time>,
    observe_at: Time, // when to subscribe to the list, if not subscribed; zero before the first time
    turned: u32,      // calls turned away in a row
    turned_away: f64, // part of the ops judged hopeless of late; told in the log as overload
    overloaded: bool,
    /// Messages to peers, taken by the adapter.
    pub letters: Vec<Letter>,
    /// Lines for the log.
    pub log: Vec<String>,
    chance: Chance,
}

impl Dispatcher {
    /// An instance with these settings; the same seed gives the same draws.
    pub fn new(tariff: &Tariff, seed: u64) -> Dispatcher {
        let nodes = tariff.terms.nodes.max(1);
        // Peers are told of every push and its end: no more of them than an op can pay for.
        let most = (PEER_SPEND * 256.0 / 6.0 / tariff.terms.price_peer.max(1e-4)) as usize;
        let parts = if tariff.terms.peers { (nodes / most.max(1)).max(1) } else { 1 };
        Dispatcher {
            terms: tariff.terms.clone(),
            parts,
            peers: Peers::new(&tariff.terms, parts, tariff.quotas.len()),
            rates: vec![0.0; tariff.quotas.len()],
            quotas: tariff.quotas.clone(),
            learned: vec![Learned { mean: 1.0, ..Learned::default() }; tariff.categories.len()],
            categories: tariff.categories.clone(),
            cold_budget: tariff.overload_factor * tariff.terms.tip_after as f64,
            cold_span: tariff.terms.tip_after * nodes as Time,
            gauges: tariff.gauges.clone(),
            target_use: LEAST_USE,
            slots_per_op: 1.0,
            chance: Chance::new(seed),
            ..Dispatcher::default()
        }
    }

    /// The fraction of own ops that each executor is to get, as last solved, by index.
    pub fn shares(&self) -> impl Iterator<Item = f64> + '_ {
        self.executors.iter().map(|e| e.share)
    }

    /// Whether this instance sends nothing to an executor now because of what it has seen of it.
    pub fn avoids(&self, now: Time, executor: usize) -> bool {
        self.executors
            .get(executor)
            .is_some_and(|e| e.disabled.is_some() || e.aside.max(self.domains[e.domain].1) > now)
    }

    /// An executor is taken out by hand: it gets nothing until it is put back, whatever the list says. On its
    /// return it is clear of all that was held against it, and cold: since a start that the list told
    /// meanwhile, else since now, for the list may tell of that late.
    pub fn disable(&mut self, now: Time, executor: usize, out: bool) {
        let luck = self.chance.draw();
        let Some(e) = self.executors.get_mut(executor).filter(|e| e.disabled.is_some() != out) else {
            return;
        };
        if let Some(since) = std::mem::replace(&mut e.disabled, out.then_some(now)) {
            e.start_over(now, e.started.filter(|at| *at > since).or(Some(now)), luck);
            (e.credit, e.samples) = (e.credit.max(1.0), 0.0);
            e.barred.fill(0);
            e.missed.fill(0);
        }
        self.solved = None;
    }

    /// What was learned, to be handed over.
    pub fn memory(&self) -> Memory {
        Memory {
            categories: self.learned.clone(),
            slots: self.slots.clone(),
            executors: self.executors.clone(),
            usual: self.usual,
            slots_per_op: self.slots_per_op,
            gap: self.arrival_gap,
            square: self.arrival_square,
        }
    }

    /// Takes over what the instance before has learned, of executors that the list has named here too. What
    /// it has out there shows in reports; of a cold budget nothing is taken over: it may still be using it.
    pub fn recall(&mut self, now: Time, memory: Memory) {
        if memory.categories.len() != self.learned.len() {
            return;
        }
        self.learned = memory.categories;
        (self.usual, self.slots_per_op) = (memory.usual, memory.slots_per_op);
        (self.arrival_gap, self.arrival_square) = (memory.gap, memory.square);
        for (own, slots) in self.slots.iter_mut().zip(memory.slots) {
            *own = slots;
        }
        for old in memory.executors {
            let Some(e) = self.executors.iter_mut().find(|e| e.mark == old.mark) else { continue };
            if e.started > old.started || old.out.len() != e.out.len() {
                continue;
            }
            let Executor { active, domain, kind, cell, mine, known, luck, turn, .. } = *e;
            let disabled = e.disabled.and(old.disabled).or(e.disabled);
            *e =
                Executor { active, domain, kind, cell, mine, disabled, known, luck, turn, spent: 0.0, ..old };
            (e.lines, e.touched, e.told, e.running, e.share) = (0.0, -self.terms.keepalive, 0.0, 0.0, 0.0);
            e.out.fill(0.0);
            e.heard = e.heard.min(now);
        }
        self.solved = None;
    }

    /// Where to send this op: to an executor, not yet (`Hold`), or never (a final answer).
    pub fn place(&mut self, now: Time, op: &mut Op) -> Step {
        if op.closed {
            // Work that no one waits for is called off, so that it holds up nothing behind it.
            return match op.pushes.iter().position(|p| p.outcome.is_none() && !p.stopping) {
                Some(left) if self.terms.cancel => stop(op, left),
                _ => Step::Hold,
            };
        }
        if self.solved.is_none_or(|at| now >= at + SOLVE_EVERY) {
            self.solve(now);
        }
        let overdue = |p: &Push| p.outcome.is_none() && !p.stopping && now >= p.overdue(&op.limits);
        let late = op.pushes.iter().position(overdue);
        match op.pushes.iter().rposition(|p| p.outcome.is_none()) {
            _ if now + 2 * self.terms.tick >= op.deadline => self.give_up(op, 0),
            Some(_) if late.is_some() => stop(op, late.unwrap_or(0)),
            Some(last) => self.review(now, op, last),
            None => self.send(now, op),
        }
    }

    /// What to do after this outcome of a push.
    pub fn settle(&mut self, now: Time, op: &mut Op, push: usize, outcome: Outcome, values: &[f64]) -> Step {
        let Some(p) = op.pushes.get_mut(push).filter(|p| p.outcome.is_none()) else { return Step::Hold };
        p.outcome = Some(outcome);
        op.closed |= matches!(outcome, Outcome::Acked | Outcome::Unfit);
        let (x, started) = (p.executor, p.started);
        let ran = (now - started.unwrap_or(p.sent)).max(1) as f64;
        self.report(now, x, values);
        self.peers.changed(x, None);
        let executor = &mut self.executors[x];
        executor.out[op.category] = (executor.out[op.category] - op.slots).max(0.0);
        executor.touched = now;
        let gone = matches!(outcome, Outcome::NotConnected | Outcome::Reset | Outcome::Cut | Outcome::Broken);
        executor.lines -= f64::from(u8::from(gone)).min(executor.lines);
        executor.running -= if started.is_some() { op.slots.min(executor.running) } else { 0.0 };
        match outcome {
            Outcome::Acked => {
                executor.served += SMOOTH * (1.0 - executor.served);
                executor.credit = (executor.credit + EARNED).min(MOST_CREDIT);
                (executor.trial, executor.acked) = (false, now);
                self.domains[executor.domain] = (0, 0);
                self.learn(x, op, ran, Sample::Whole);
            }
            // A fault of the op: a few change nothing, but an executor that refuses all loses its share.
            Outcome::Unfit => executor.served -= SMOOTH * executor.served,
            Outcome::Full => {
                executor.served -= SMOOTH * executor.served;
                let full = self.slots[executor.kind] * 2.0 - executor.own();
                (executor.others, executor.heard) = (executor.others.max(full), now);
            }
            Outcome::Error | Outcome::NotConnected | Outcome::Reset | Outcome::Cut => {
                executor.served -= 2.0 * SMOOTH * executor.served;
                // One reset may be the connection's alone; and whoever resets is within reach.
                let lightly = matches!(outcome, Outcome::Reset | Outcome::Cut);
                let before = std::mem::replace(&mut executor.reset, now);
                if !lightly || before > executor.acked {
                    self.set_aside(now, x, "failed", outcome == Outcome::NotConnected);
                }
            }
            Outcome::TimedOut => {
                executor.credit = (executor.credit - 1.0).max(0.0);
                self.learn(x, op, ran, Sample::Censored);
            }
            Outcome::Cancelled | Outcome::Moot | Outcome::Withheld | Outcome::Broken => {}
        }
        if op.limits.pause > 0 {
            let chance = 1.0 + op.limits.pause_spread * self.chance.draw();
            op.not_before = now + (op.limits.pause as f64 * chance) as Time;
        }
        self.place(now, op)
    }

    /// Until when to leave the op alone; `place` is to be asked again then.
    pub fn wait(&self, now: Time, op: &Op) -> Time {
        let last = op.deadline - 2 * self.terms.tick;
        let look = self.categories[op.category].target / LOOKS;
        let next = match op.pushes.iter().rfind(|p| p.outcome.is_none()) {
            Some(p) if p.stopping => last,
            Some(p) if p.started.is_none() => now + look,
            Some(p) if self.terms.progress > 0 => (p.noted + 5 * self.terms.progress / 2).max(now + look),
            Some(_) => last,
            None if op.not_before > now => op.not_before,
            None => now + look,
        };
        let copy = |p: &Push| p.sent.saturating_add(op.limits.copy_after);
        let out = op.pushes.iter().filter(|p| p.outcome.is_none() && !p.stopping);
        let limit = out.map(|p| p.overdue(&op.limits).min(copy(p).max(now + look))).min().unwrap_or(last);
        next.min(last).min(limit).max(now + self.terms.tick)
    }
}

/// Calls a push off; only its outcome decides what comes next.
fn stop(op: &mut Op, push: usize) -> Step {
    op.pushes[push].stopping = true;
    Step::Stop { push }
}
