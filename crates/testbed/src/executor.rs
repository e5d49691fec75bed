//! One executor of the model: slots, a queue, running times, warming up, falling over. No clock and no I/O: it is told the time and
//! what comes, and reports what happens. Simulated and socket plays drive the same code.

mod availability;
mod event;
mod job;
mod life;
mod scheduling;
mod spec;

pub use availability::{Availability, Condition};
pub use event::ExecutorEvent;
pub use job::Job;
pub use spec::{specs, ExecutorSpec};

use crate::plan::{Cold, GaugeName, Plan};
use crate::time::{ms, seconds};
use event::CONNECTION_SETUP;
use std::collections::VecDeque;
use stileroute_dispatch::types::Time;

#[derive(Clone, Debug)]
struct HeldJob {
    job: Job,
    began: bool,
    /// When it fails, if it does.
    fails_at: Option<Time>,
    next_note: Time,
}

/// An executor as it stands.
#[derive(Clone, Debug)]
pub struct ExecutorModel {
    pub spec: ExecutorSpec,
    pub up: Availability,
    /// Its latest start; `None` means long past.
    pub started: Option<Time>,
    condition: Condition,
    start_share: f64,
    warm_within: Time,
    overload_factor: f64,
    overload_window: Time,
    progress: Time,
    cancel_stops: bool,
    waiting: VecDeque<HeldJob>,
    running: Vec<HeldJob>,
    /// Work was last taken off what runs at this time.
    at: Time,
    /// Work sent to it while it was cold, by time, and its sum.
    sent: VecDeque<(Time, f64)>,
    sum: f64,
    /// Its last load report, when it is due anew, and how long one holds.
    snapshot: [f64; 4],
    refresh_at: Time,
    refresh: Time,
    /// Work done in all, at speed one.
    pub done: f64,
}

/// A failing job is noticed after so long.
const FAILS_AFTER: Time = 30;
/// A cold executor's speed is looked at again so often.
const WARMING_STEP: Time = 1_000;

impl ExecutorModel {
    pub fn new(plan: &Plan, spec: ExecutorSpec, refresh: Time, started: Option<Time>) -> ExecutorModel {
        let Cold { start_share, warm_within_s, overload_factor, tip_after_s, .. } = plan.fleet.cold;
        let free = spec.slots;
        ExecutorModel {
            spec,
            up: Availability::Serving,
            started,
            condition: Condition::default(),
            start_share,
            warm_within: seconds(warm_within_s),
            overload_factor,
            overload_window: seconds(tip_after_s),
            progress: ms(plan.fleet.progress_ms),
            cancel_stops: plan.fleet.cancel_stops,
            waiting: VecDeque::new(),
            running: Vec::new(),
            at: started.unwrap_or(0),
            sent: VecDeque::new(),
            sum: 0.0,
            snapshot: [0.0, 0.0, 0.0, free],
            refresh_at: 0,
            refresh: refresh.max(1),
            done: 0.0,
        }
    }

    /// Part of its capacity that it has at this moment.
    pub fn warmth(&self, now: Time) -> f64 {
        match self.started {
            Some(at) if now < at + self.warm_within => {
                let age = (now - at).max(0) as f64 / self.warm_within as f64;
                self.start_share + (1.0 - self.start_share) * age
            }
            _ => 1.0,
        }
    }

    pub fn cold(&self, now: Time) -> bool {
        self.started.is_some_and(|at| now < at + self.warm_within)
    }

    pub fn takes(&self) -> bool {
        matches!(self.up, Availability::Serving | Availability::Draining)
    }

    /// Work done in one unit of time by one job that runs.
    fn rate(&self, now: Time) -> f64 {
        if self.condition.halted {
            0.0
        } else {
            self.spec.speed * self.warmth(now) / self.condition.slow
        }
    }

    fn used(&self) -> (f64, f64) {
        self.running.iter().fold((0.0, 0.0), |(s, m), r| (s + r.job.slots, m + r.job.memory))
    }

    /// Jobs held, and the running time at speed one that they still need, with their slots.
    pub fn load(&self) -> (usize, f64) {
        let work = |r: &HeldJob| r.job.work * r.job.slots;
        let sum = self.waiting.iter().map(work).sum::<f64>() + self.running.iter().map(work).sum::<f64>();
        (self.waiting.len() + self.running.len(), sum)
    }

    /// How long a job would wait before it starts, as the true state has it; none if it would never.
    pub fn true_wait(&self, now: Time, slots: f64) -> Option<f64> {
        if !self.takes() || self.condition.halted {
            return None;
        }
        let (used, _) = self.used();
        if used + slots <= self.spec.slots && self.waiting.is_empty() {
            return Some(0.0);
        }
        let (_, work) = self.load();
        Some(work / self.spec.slots / self.rate(now))
    }

    pub fn true_speed(&self, now: Time) -> f64 {
        self.rate(now)
    }

    /// The values of a load report, as old as reports are.
    pub fn report(&self, gauges: &[GaugeName]) -> Vec<f64> {
        gauges.iter().map(|gauge| self.snapshot[*gauge as usize]).collect()
    }

    fn refresh_report(&mut self, now: Time) {
        if now >= self.refresh_at {
            let (used, _) = self.used();
            let held = (self.waiting.len() + self.running.len()) as f64;
            let free = (self.spec.slots - used).max(0.0);
            self.snapshot = [held, self.waiting.len() as f64, used / self.spec.slots, free];
            self.refresh_at = now + self.refresh;
        }
    }

    /// Takes a job, unless it is full. Its outcome is told as ever, perhaps at once.
    pub fn take(&mut self, now: Time, job: Job, out: &mut Vec<ExecutorEvent>) {
        self.advance(now, out);
        if !self.takes() || self.waiting.len() >= self.spec.queue_limit {
            out.push(ExecutorEvent::Returned(job.id));
            return;
        }
        let cold = self.cold(now);
        if cold {
            let work = job.work * job.slots / self.spec.speed;
            self.sent.push_back((now, work));
            self.sum += work;
        }
        self.waiting.push_back(HeldJob { job, began: false, fails_at: None, next_note: 0 });
        self.start_waiting(out);
        if cold && self.is_overloaded_while_cold(now) {
            self.drop_all(out);
            self.up = Availability::Fallen;
            out.push(ExecutorEvent::Fallen);
        }
    }

    /// A new connection takes so much work of a slot; a full queue makes it wait no less.
    pub fn open_connection(&mut self, now: Time, work: f64, out: &mut Vec<ExecutorEvent>) {
        self.advance(now, out);
        if self.takes() {
            let (slots, memory) = (1.0f64.min(self.spec.slots), 0.0);
            let whole = work;
            let (priority, redeliverable, fails) = (i64::MAX, false, false);
            let job =
                Job { id: CONNECTION_SETUP, slots, memory, work, whole, priority, redeliverable, fails };
            self.waiting.push_front(HeldJob { job, began: false, fails_at: None, next_note: 0 });
            self.start_waiting(out);
        }
    }
}

#[cfg(test)]
mod tests;
