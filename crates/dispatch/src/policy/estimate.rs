//! What waits, running times and prices are expected to be, and what is learned of them.

use super::*;

const DRIFT: f64 = 0.25; // variance of a change of pace worth following, against the spread of samples
const LONG: f64 = 1.2; // the long end of a running time, over its mean
const CROWDED: f64 = 0.03; // what a wholly held executor counts as waiting beyond its queue, in turnovers
const UNSURE: f64 = 0.8; // by how much more a wait counts when an op is judged hopeless

/// A running time: to its end, at least so long, or reckoned from the part done.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Sample {
    Whole,
    Censored,
    Part,
}

impl Learned {
    /// Mean running time of the category at mean pace.
    pub(super) fn time(&self) -> f64 {
        self.base * self.mean
    }

    /// Waits over what was expected of them: what others send unseen, and what blocks a queue's head.
    pub(super) fn correction(&self) -> f64 {
        let way = 0.1 * self.time().max(1.0); // without it next to no wait expected made four of each
        ((self.waited + way) / (self.guessed + way)).clamp(0.5, 4.0)
    }
}

impl Dispatcher {
    /// By how much an op would be late there: one that none can answer usefully is turned away at once. Waits
    /// turn out longer than they look; that matters less where a late answer earns. Where a tail counts, one
    /// late op costs what others earn: running times are taken at their long end.
    pub(super) fn lateness(&self, now: Time, op: &Op, executor: usize, wait: f64) -> f64 {
        let category = &self.categories[op.category];
        let (usual, here) = (self.expected(op), self.work(op, executor) / op.slots);
        // An executor's slowness takes from the time left, unless a late answer earns too.
        let strict = category.late <= 0.0 || self.terms.tail > 0.0;
        let (aim, run) = if strict { (usual, here) } else { (here, here.min(category.target as f64)) };
        let in_time = op.came + category.target + (category.stretch * aim) as Time;
        let unsure = wait * (1.0 + UNSURE * (1.0 - category.late).powi(2));
        let margin = if self.terms.tail > 0.0 { LONG } else { 1.0 };
        now as f64 + unsure + margin * run - in_time.min(op.deadline) as f64
    }

    /// Slot time that the op would take at an executor.
    pub(super) fn work(&self, op: &Op, at: usize) -> f64 {
        self.expected(op) * self.executors[at].pace.exp() * op.slots
    }

    /// Running time expected of this op on an executor of mean pace.
    pub(super) fn expected(&self, op: &Op) -> f64 {
        op.base * self.learned[op.category].mean
    }

    /// The wait for a start at an executor, from own pushes there and what others hold as last heard.
    pub(super) fn expected_wait(&self, now: Time, op: &Op, at: usize) -> f64 {
        let e = &self.executors[at];
        let rank = self.categories[op.category].priority;
        let (mut own, mut part, mut all) = (0.0, 0.0, 0.0);
        for (c, category) in self.categories.iter().enumerate() {
            let learned = &self.learned[c];
            let weight = learned.rate * learned.time();
            all += weight;
            if !self.terms.by_priority || category.priority >= rank {
                own += e.out[c];
                part += weight;
            }
        }
        let turnover = self.turnover();
        let fresh = e.trust * (-((now - e.heard) as f64) / (2.0 * turnover)).exp();
        let usual = if e.usual < 0.0 { self.usual * self.slots[e.kind] } else { e.usual };
        let others = usual + (e.others - usual) * fresh;
        let others = if all > 0.0 { others * part / all } else { others };
        let slots = self.slots[e.kind];
        let load = own + others;
        // What queues before it, then the releases its own slots need: a wide op waits for most of them.
        let mut time = (load - slots).max(0.0) / slots + CROWDED * load / slots;
        let (mut running, mut need) = (load.min(slots), (load.min(slots) + op.slots - slots).min(op.slots));
        while need > 0.0 && running > 0.0 {
            time += need.min(1.0) / running.max(1.0);
            running -= 1.0;
            need -= 1.0;
        }
        time * turnover * e.pace.exp() / self.warmth(now, e) * self.learned[op.category].correction()
    }

    /// Mean time that an op holds its slots.
    pub(super) fn turnover(&self) -> f64 {
        let sum: f64 = self.learned.iter().map(|l| l.rate * l.time()).sum();
        (sum / self.learned.iter().map(|l| l.rate).sum::<f64>().max(1e-9)).max(1.0)
    }

    /// A price as the wait that would cost as much.
    pub(super) fn price_as_wait(&self, op: &Op, price: f64) -> f64 {
        let category = &self.categories[op.category];
        let useful = category.target as f64 + category.stretch * self.expected(op);
        price / self.worth(op) * useful
    }

    /// What an op is worth against the mean op, counting that its category may be the worst served.
    pub(super) fn worth(&self, op: &Op) -> f64 {
        let work = |c: usize| if self.terms.by_work { self.learned[c].time().max(1e-9) } else { 1.0 };
        let value = |c: usize| self.categories[c].benefit * work(c);
        let all: f64 = self.learned.iter().map(|l| l.rate).sum();
        let mean: f64 = (0..self.learned.len()).map(|c| self.learned[c].rate / all * value(c)).sum();
        let rate = (self.learned[op.category].rate / all).max(0.01) * self.learned.len() as f64;
        let whole = value(op.category) / mean.max(1e-9);
        ((1.0 - self.terms.worst_category) * whole + self.terms.worst_category / rate).max(0.05)
    }

    /// A running time moves the executor's pace and the category's mean; one that is not over only the pace.
    pub(super) fn learn(&mut self, x: usize, op: &Op, ran: f64, what: Sample) {
        let sample = (ran / op.base).max(1e-9);
        let learned = &mut self.learned[op.category];
        let e = &mut self.executors[x];
        if learned.samples == 0.0 && op.base <= 1.0 {
            (learned.norm, learned.mean) = (sample.ln() - e.pace, sample / e.pace.exp());
        }
        let off = sample.ln() - learned.norm - e.pace;
        if what == Sample::Censored && off < 0.0 {
            return;
        }
        // The log keeps one heavy op from carrying the rate away.
        let seen = off.clamp(-2.0, 2.0);
        e.spread += SMOOTH * (seen * seen - e.spread);
        e.samples += 1.0;
        let gain = 0.7 * (DRIFT / (DRIFT + e.spread)).max(1.0 / (e.samples + 3.0));
        e.pace = (e.pace + gain * seen).clamp(-3.0, 3.0);
        if what == Sample::Whole {
            learned.samples += 1.0;
            // A short op that others held up says little of the mean: samples count by their length.
            let gain = (1.0 / (learned.samples + 3.0)).max(SMOOTH / 4.0);
            learned.norm += gain * off;
            let weight = (op.base / learned.base.max(1e-9)).min(2.0);
            learned.mean += gain * weight * (sample / e.pace.exp() - learned.mean);
        }
    }
}
