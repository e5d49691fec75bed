//! Who decides: the module, or a baseline to hold it against. Baselines live here only; they keep to the rules on
//! answers, further pushes and drains, and know nothing of cold executors.

use crate::executor::ExecutorModel;
use crate::faults::Weather;
use crate::plan::PolicyName;
use crate::random::generator;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use stileroute_dispatch::policy::Dispatcher;
use stileroute_dispatch::types::{
    DispatchSettings, Effect, ListedExecutor, Op, OpRequest, Outcome, OutgoingMessage, Push, Step, Time,
    SECOND,
};

/// The true state, which only the seeing baseline looks at.
pub struct Truth<'a> {
    pub machines: &'a [ExecutorModel],
    pub weather: &'a Weather,
    pub node: usize,
    pub domain: usize,
    /// One way, to the own and to another domain.
    pub near: Time,
    pub far: Time,
}

/// What a node asks: the module's calls, with the truth for who may look.
pub trait Policy {
    fn arrive(&mut self, now: Time, ask: OpRequest) -> Op;
    fn place(&mut self, now: Time, op: &mut Op, truth: &Truth) -> Step;
    fn settle(
        &mut self,
        now: Time,
        op: &mut Op,
        push: usize,
        outcome: Outcome,
        values: &[f64],
        truth: &Truth,
    ) -> Step;
    fn wait(&self, now: Time, op: &Op) -> Time;
    fn list(&mut self, now: Time, whole: bool, lines: &[ListedExecutor]);
    fn note(&mut self, _now: Time, _op: &mut Op, _push: usize, _start: bool) {}
    /// Until when the latest push may leave its node.
    fn leave_by(&self, op: &Op, _effect: Effect) -> Time {
        op.deadline
    }
    /// Tells whether to ask for the list now.
    fn upkeep(&mut self, _now: Time) -> bool {
        false
    }
    /// A call for the list has failed; the service had no room, or said nothing.
    fn refused(&mut self, _now: Time, _turned_away: bool) {}
    /// Messages for other nodes, and one of another.
    fn letters(&mut self) -> Vec<OutgoingMessage> {
        Vec::new()
    }
    fn heard(&mut self, _now: Time, _from: usize, _text: &[u8]) {}
    /// Adds the fractions of own ops that it means to give, times a factor, to each executor's sum.
    fn add_shares(&self, _times: f64, _sums: &mut [f64]) {}
    /// Lines for the log since the last call.
    fn log(&mut self) -> Vec<String> {
        Vec::new()
    }
}

impl Policy for Dispatcher {
    fn arrive(&mut self, now: Time, ask: OpRequest) -> Op {
        Dispatcher::arrive(self, now, ask)
    }
    fn place(&mut self, now: Time, op: &mut Op, _truth: &Truth) -> Step {
        Dispatcher::place(self, now, op)
    }
    fn settle(
        &mut self,
        now: Time,
        op: &mut Op,
        push: usize,
        outcome: Outcome,
        values: &[f64],
        _truth: &Truth,
    ) -> Step {
        Dispatcher::settle(self, now, op, push, outcome, values)
    }
    fn wait(&self, now: Time, op: &Op) -> Time {
        Dispatcher::wait(self, now, op)
    }
    fn list(&mut self, now: Time, whole: bool, lines: &[ListedExecutor]) {
        Dispatcher::list(self, now, whole, lines);
    }
    fn note(&mut self, now: Time, op: &mut Op, push: usize, start: bool) {
        Dispatcher::note(self, now, op, push, start, 0.0);
    }
    fn leave_by(&self, op: &Op, effect: Effect) -> Time {
        op.send_deadline(effect)
    }
    fn upkeep(&mut self, now: Time) -> bool {
        Dispatcher::upkeep(self, now)
    }
    fn refused(&mut self, now: Time, turned_away: bool) {
        Dispatcher::list_call_failed(self, now, turned_away);
    }
    fn letters(&mut self) -> Vec<OutgoingMessage> {
        std::mem::take(&mut self.outgoing)
    }
    fn heard(&mut self, now: Time, from: usize, text: &[u8]) {
        Dispatcher::receive_message(self, now, from, text);
    }
    fn add_shares(&self, times: f64, sums: &mut [f64]) {
        self.shares().zip(sums).for_each(|(share, sum)| *sum += share * times);
    }
    fn log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }
}

/// A baseline's way to choose among the executors that an op may go to.
pub struct Baseline {
    name: PolicyName,
    tariff: DispatchSettings,
    chance: Pcg64Mcg,
    /// Whether it is listed as active, its kind, and own pushes out.
    executors: Vec<(bool, usize, usize)>,
    turn: usize,
    /// Until when it does not ask for the list: a call of it has failed.
    asks_at: Time,
}

impl Baseline {
    pub fn new(name: PolicyName, tariff: &DispatchSettings, seed: u64) -> Baseline {
        Baseline {
            name,
            tariff: tariff.clone(),
            chance: generator(seed, 7),
            executors: Vec::new(),
            turn: 0,
            asks_at: 0,
        }
    }

    /// A further push is allowed. No baseline resends what may have run, but for redeliverable ops.
    fn may_send(&self, op: &Op) -> bool {
        let harmless = op.pushes.iter().all(|p| p.outcome.is_some_and(Outcome::never_ran));
        let free = harmless || self.tariff.categories[op.category].effect == Effect::Redeliverable;
        op.pushes.len() < self.tariff.terms.max_pushes && free
    }

    fn give_up(&self, op: &mut Op, retry_after: Time) -> Step {
        op.closed = true;
        let ran = op.pushes.iter().any(|p| p.outcome.is_none_or(|outcome| !outcome.never_ran()));
        if ran && self.tariff.categories[op.category].effect != Effect::Redeliverable {
            return Step::DeadLetter;
        }
        Step::Nack { retry_after: retry_after.min(self.tariff.terms.retry_after) }
    }

    fn pick(&mut self, now: Time, op: &Op, truth: &Truth) -> Option<usize> {
        let kind = self.tariff.categories[op.category].kind;
        let mut may: Vec<usize> = (0..self.executors.len())
            .filter(|x| self.executors[*x].0 && kind.is_none_or(|kind| kind == self.executors[*x].1))
            .collect();
        if may.iter().any(|x| op.pushes.iter().all(|p| p.executor != *x)) {
            may.retain(|x| op.pushes.iter().all(|p| p.executor != *x));
        }
        if may.is_empty() {
            return None;
        }
        let out = |x: &usize| self.executors[*x].2;
        match self.name {
            PolicyName::TurnByTurn => {
                self.turn += 1;
                Some(may[self.turn % may.len()])
            }
            PolicyName::LeastInFlight => {
                let from = self.chance.random_range(0..may.len());
                (0..may.len()).map(|step| may[(from + step) % may.len()]).min_by_key(out)
            }
            PolicyName::TwoChoices => {
                let (a, b) = (self.chance.random_range(0..may.len()), self.chance.random_range(0..may.len()));
                [may[a], may[b]].into_iter().min_by_key(out)
            }
            PolicyName::Seeing => self.best(now, op, truth, &may),
            _ => Some(may[self.chance.random_range(0..may.len())]),
        }
    }

    /// Where the op would end first, as things truly are; none where it would end nowhere.
    fn best(&self, now: Time, op: &Op, truth: &Truth, may: &[usize]) -> Option<usize> {
        let ends = |x: usize| {
            let machine = &truth.machines[x];
            let spec = &machine.spec;
            let way = truth.weather.way(truth.node, truth.domain, x, spec.domain);
            let shut = way.silent() || way.refused || way.half_open || way.reset > 0.5;
            if shut || truth.weather.failing(x, op.category) > 0.2 {
                return None;
            }
            let wait = machine.true_wait(now, 1.0)?;
            let way = 2 * if spec.domain == truth.domain { truth.near } else { truth.far };
            // What it costs beyond the wait: the way, and a slow or a cold executor's longer running time.
            let own = self.tariff.categories[op.category].target as f64 / 4.0;
            Some(wait + way as f64 + own / machine.true_speed(now).max(1e-6))
        };
        may.iter()
            .filter_map(|x| ends(*x).map(|at| (*x, at)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|best| best.0)
    }
}

impl Policy for Baseline {
    fn arrive(&mut self, _now: Time, ask: OpRequest) -> Op {
        let mut op = Op::default();
        (op.category, op.deadline) = (ask.category, ask.deadline);
        op
    }

    fn place(&mut self, now: Time, op: &mut Op, truth: &Truth) -> Step {
        if op.closed {
            let cancel = self.tariff.terms.cancel;
            // Asked again, it is only told once: what is stopped has its outcome before the next call.
            let out = op.pushes.iter().position(|p| p.outcome.is_none());
            return out.filter(|_| cancel).map_or(Step::Wait, |push| Step::Cancel { push });
        }
        if now + 2 * self.tariff.terms.tick >= op.deadline {
            return self.give_up(op, 0);
        }
        if op.out() {
            return Step::Wait;
        }
        if !self.may_send(op) {
            return self.give_up(op, SECOND / 5);
        }
        let Some(executor) = self.pick(now, op, truth) else { return self.give_up(op, SECOND / 5) };
        self.executors[executor].2 += 1;
        let mut push = Push::default();
        push.executor = executor;
        op.pushes.push(push);
        Step::Push { executor }
    }

    fn settle(
        &mut self,
        now: Time,
        op: &mut Op,
        push: usize,
        outcome: Outcome,
        _values: &[f64],
        truth: &Truth,
    ) -> Step {
        let Some(p) = op.pushes.get_mut(push).filter(|p| p.outcome.is_none()) else { return Step::Wait };
        p.outcome = Some(outcome);
        op.closed |= outcome == Outcome::Acked;
        let out = &mut self.executors[p.executor].2;
        *out = out.saturating_sub(1);
        self.place(now, op, truth)
    }

    fn wait(&self, now: Time, op: &Op) -> Time {
        (op.deadline - 2 * self.tariff.terms.tick).max(now + self.tariff.terms.tick)
    }

    fn upkeep(&mut self, now: Time) -> bool {
        now >= self.asks_at
    }

    fn refused(&mut self, now: Time, _turned_away: bool) {
        self.asks_at = now + self.chance.random_range(SECOND / 4..SECOND * 2);
    }

    fn list(&mut self, _now: Time, whole: bool, lines: &[ListedExecutor]) {
        if whole {
            self.executors.iter_mut().for_each(|e| e.0 = false);
        }
        for line in lines {
            if self.executors.len() <= line.executor {
                self.executors.resize(line.executor + 1, (false, 0, 0));
            }
            let e = &mut self.executors[line.executor];
            (e.0, e.1) = (line.active, line.kind);
        }
    }
}

/// Who decides at a node, by name.
pub fn policy(name: PolicyName, tariff: &DispatchSettings, seed: u64) -> Box<dyn Policy> {
    match name {
        PolicyName::Stileroute => Box::new(Dispatcher::new(tariff, seed)),
        other => Box::new(Baseline::new(other, tariff, seed)),
    }
}
