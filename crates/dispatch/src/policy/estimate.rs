//! Estimates of waits, running times and prices, and how they are learned.

use super::*;

const PACE_VARIANCE: f64 = 0.25; // variance of changes in an executor's log pace; weighed against that of the samples
const TAIL_RUN_FACTOR: f64 = 1.2; // long running time, as a factor of the mean running time
const OCCUPANCY_WAIT: f64 = 0.03; // wait for a start at an executor with all slots in use, beyond its queue, in mean service times
const WAIT_UNCERTAINTY: f64 = 0.8; // relative margin on the expected wait when an op is judged hopeless

/// What a running-time sample is: measured to the end, a lower bound, or projected from the fraction done.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Sample {
    Complete,
    Censored,
    Projected,
}

impl Learned {
    /// Mean running time of the category on an executor of mean pace.
    pub(super) fn run_time(&self) -> f64 {
        self.work * self.mean
    }

    /// Ratio of observed to expected waits. It covers load that others send unseen and wide ops that block the head of a queue.
    pub(super) fn wait_ratio(&self) -> f64 {
        let network_delay = 0.1 * self.run_time().max(1.0); // keeps the ratio of two near-zero waits from reaching its limit of four
        ((self.observed_wait + network_delay) / (self.expected_wait + network_delay)).clamp(0.5, 4.0)
    }
}

impl Dispatcher {
    /// How late an op would end at an executor; hopeless at every executor, it is rejected at once. Waits exceed their estimates, which
    /// matters less where a late answer earns. With a tail part in the score a late op costs what others earn: long running times are
    /// assumed.
    pub(super) fn lateness(&self, now: Time, op: &Op, executor: usize, wait: f64) -> f64 {
        let category = &self.categories[op.category];
        let (mean, here) = (self.expected_run(op), self.slot_time(op, executor) / op.slots);
        // An executor's slowness shortens the time left, unless a late answer earns too.
        let strict = category.late <= 0.0 || self.terms.tail > 0.0;
        let (base, run) = if strict { (mean, here) } else { (here, here.min(category.target as f64)) };
        let due_at = op.arrived_at + category.target + (category.stretch * base) as Time;
        let padded_wait = wait * (1.0 + WAIT_UNCERTAINTY * (1.0 - category.late).powi(2));
        let margin = if self.terms.tail > 0.0 { TAIL_RUN_FACTOR } else { 1.0 };
        now as f64 + padded_wait + margin * run - due_at.min(op.deadline) as f64
    }

    /// Slot time that the op would take at an executor: running time there times slots.
    pub(super) fn slot_time(&self, op: &Op, at: usize) -> f64 {
        self.expected_run(op) * self.executors[at].pace.exp() * op.slots
    }

    /// Expected running time of this op on an executor of mean pace.
    pub(super) fn expected_run(&self, op: &Op) -> f64 {
        op.work * self.learned[op.category].mean
    }

    /// Expected wait for a start at an executor, from this instance's pushes there and the load of others as last reported.
    pub(super) fn expected_wait(&self, now: Time, op: &Op, at: usize) -> f64 {
        let e = &self.executors[at];
        let priority = self.categories[op.category].priority;
        let (mut own, mut part, mut total) = (0.0, 0.0, 0.0);
        for (c, category) in self.categories.iter().enumerate() {
            let learned = &self.learned[c];
            let weight = learned.fraction * learned.run_time();
            total += weight;
            if !self.terms.by_priority || category.priority >= priority {
                own += e.in_flight[c];
                part += weight;
            }
        }
        let turnover = self.service_time();
        let freshness = e.report_weight * (-((now - e.reported_at) as f64) / (2.0 * turnover)).exp();
        let mean = if e.mean_others < 0.0 { self.other_load * self.slots[e.kind] } else { e.mean_others };
        let others = mean + (e.other_slots - mean) * freshness;
        let others = if total > 0.0 { others * part / total } else { others };
        let slots = self.slots[e.kind];
        let load = own + others;
        // The queue ahead, then the slot releases that the op itself needs: a wide op waits for most of them.
        let mut time = (load - slots).max(0.0) / slots + OCCUPANCY_WAIT * load / slots;
        let (mut running, mut needed) = (load.min(slots), (load.min(slots) + op.slots - slots).min(op.slots));
        while needed > 0.0 && running > 0.0 {
            time += needed.min(1.0) / running.max(1.0);
            running -= 1.0;
            needed -= 1.0;
        }
        time * turnover * e.pace.exp() / self.warm_share(now, e) * self.learned[op.category].wait_ratio()
    }

    /// Mean time that an op occupies its slots.
    pub(super) fn service_time(&self) -> f64 {
        let sum: f64 = self.learned.iter().map(|l| l.fraction * l.run_time()).sum();
        (sum / self.learned.iter().map(|l| l.fraction).sum::<f64>().max(1e-9)).max(1.0)
    }

    /// Converts a price, in parts of an op, into the wait that would cost as much.
    pub(super) fn price_as_wait(&self, op: &Op, price: f64) -> f64 {
        let category = &self.categories[op.category];
        let useful_time = category.target as f64 + category.stretch * self.expected_run(op);
        price / self.relative_value(op) * useful_time
    }

    /// Value of an op relative to the mean op, with the weight of a category that may be the worst served.
    pub(super) fn relative_value(&self, op: &Op) -> f64 {
        let work = |c: usize| if self.terms.by_work { self.learned[c].run_time().max(1e-9) } else { 1.0 };
        let value = |c: usize| self.categories[c].benefit * work(c);
        let total: f64 = self.learned.iter().map(|l| l.fraction).sum();
        let mean: f64 = (0..self.learned.len()).map(|c| self.learned[c].fraction / total * value(c)).sum();
        let rate = (self.learned[op.category].fraction / total).max(0.01) * self.learned.len() as f64;
        let relative = value(op.category) / mean.max(1e-9);
        ((1.0 - self.terms.worst_category) * relative + self.terms.worst_category / rate).max(0.05)
    }

    /// Updates the executor's pace and the category's mean from a complete running time; from an incomplete one only the pace.
    pub(super) fn record_running_time(&mut self, x: usize, op: &Op, ran: f64, sample_kind: Sample) {
        let sample = (ran / op.work).max(1e-9);
        let learned = &mut self.learned[op.category];
        let e = &mut self.executors[x];
        if learned.samples == 0.0 && op.work <= 1.0 {
            (learned.mean_log_time, learned.mean) = (sample.ln() - e.pace, sample / e.pace.exp());
        }
        let error = sample.ln() - learned.mean_log_time - e.pace;
        if sample_kind == Sample::Censored && error < 0.0 {
            return;
        }
        // The log keeps one long op from dominating the estimate.
        let clipped = error.clamp(-2.0, 2.0);
        e.variance += EWMA_GAIN * (clipped * clipped - e.variance);
        e.samples += 1.0;
        let gain = 0.7 * (PACE_VARIANCE / (PACE_VARIANCE + e.variance)).max(1.0 / (e.samples + 3.0));
        e.pace = (e.pace + gain * clipped).clamp(-3.0, 3.0);
        if sample_kind == Sample::Complete {
            learned.samples += 1.0;
            // A short op delayed by others says little about the mean, so samples are weighted by the op's work.
            let gain = (1.0 / (learned.samples + 3.0)).max(EWMA_GAIN / 4.0);
            learned.mean_log_time += gain * error;
            let weight = (op.work / learned.work.max(1e-9)).min(2.0);
            learned.mean += gain * weight * (sample / e.pace.exp() - learned.mean);
        }
    }
}
