//! The course of time at an executor: what runs, what ends, and what starts next.

use super::{ExecutorEvent, ExecutorModel, HeldJob, Job, FAILS_AFTER, WARMING_STEP};
use crate::plan::Order;
use stileroute_dispatch::types::Time;

/// Sums of slots and of memory may be off by so much.
const ROUNDING: f64 = 1e-9;
/// A job with less work left than this has ended.
const NO_WORK: f64 = 1e-6;

impl ExecutorModel {
    /// Nothing may end between the last time and this one.
    fn run_until(&mut self, now: Time, out: &mut Vec<ExecutorEvent>) {
        let rate = self.rate(self.at);
        let span = (now - self.at).max(0) as f64;
        self.at = self.at.max(now);
        for r in &mut self.running {
            let step = (span * rate).min(r.job.work);
            r.job.work -= step;
            self.done += step * r.job.slots;
        }
        let mut at = 0;
        while at < self.running.len() {
            let r = &mut self.running[at];
            if r.fails_at.is_some_and(|at| at <= now) {
                out.push(ExecutorEvent::Failed(r.job.id));
                self.running.remove(at);
            } else if r.fails_at.is_none() && r.job.work <= NO_WORK {
                out.push(ExecutorEvent::Done(r.job.id));
                self.running.remove(at);
            } else {
                if self.progress > 0 && r.next_note <= now {
                    // One that stands still tells nothing.
                    if rate > 0.0 {
                        out.push(ExecutorEvent::Progress(r.job.id, 1.0 - r.job.work / r.job.whole));
                    }
                    r.next_note = now + self.progress;
                }
                at += 1;
            }
        }
        self.start_waiting(out);
    }

    /// Starts what there is room for, in the order of its queue.
    pub(super) fn start_waiting(&mut self, out: &mut Vec<ExecutorEvent>) {
        if !self.takes() || self.condition.halted {
            return;
        }
        while let Some(next) = self.next_waiting() {
            let job = self.waiting[next].job.clone();
            if self.spec.order == Order::Priority {
                self.suspend_for(&job);
            }
            if !self.has_room_for(&job) {
                return;
            }
            let Some(held) = self.waiting.remove(next) else { return };
            self.start_job(held, out);
        }
    }

    /// Which of the waiting jobs is to start next.
    fn next_waiting(&self) -> Option<usize> {
        match self.spec.order {
            Order::FirstCome => (!self.waiting.is_empty()).then_some(0),
            // Of equals the first that came.
            Order::Priority => (0..self.waiting.len()).rev().max_by_key(|at| self.waiting[*at].job.priority),
        }
    }

    fn has_room_for(&self, job: &Job) -> bool {
        let (slots, memory) = self.used();
        let has_slots = slots + job.slots <= self.spec.slots + ROUNDING;
        has_slots && memory + job.memory <= self.spec.memory + ROUNDING
    }

    /// Suspends jobs of lower priority until this one has room: the lowest first, and of these the one begun last.
    fn suspend_for(&mut self, job: &Job) {
        while !self.has_room_for(job) {
            let may_be_suspended = |held: &HeldJob| {
                held.job.redeliverable && held.job.priority < job.priority && held.fails_at.is_none()
            };
            let candidates = (0..self.running.len()).filter(|at| may_be_suspended(&self.running[*at]));
            let lowest = candidates.min_by_key(|at| (self.running[*at].job.priority, usize::MAX - at));
            let Some(lowest) = lowest else { return };
            let suspended = self.running.remove(lowest);
            self.waiting.push_back(suspended);
        }
    }

    fn start_job(&mut self, mut held: HeldJob, out: &mut Vec<ExecutorEvent>) {
        if !std::mem::replace(&mut held.began, true) {
            out.push(ExecutorEvent::Started(held.job.id));
        }
        held.fails_at = held.job.fails.then_some(self.at + FAILS_AFTER);
        held.next_note = self.at + self.progress;
        self.running.push(held);
    }

    /// When something happens by itself.
    pub fn next(&self) -> Option<Time> {
        if !self.takes() {
            return None;
        }
        let rate = self.rate(self.at);
        let mut next: Option<Time> = None;
        for r in &self.running {
            let ends = match r.fails_at {
                Some(at) => Some(at),
                None if rate > 0.0 => Some(self.at + ((r.job.work / rate).ceil() as Time).max(1)),
                None => None,
            };
            let note = (self.progress > 0).then_some(r.next_note.max(self.at + 1));
            next = [next, ends, note].into_iter().flatten().min();
        }
        if !self.running.is_empty() && self.cold(self.at) {
            next = next.map(|at| at.min(self.at + WARMING_STEP));
        }
        next
    }

    /// Brings it to the time: what ended and started until then is told in order.
    pub fn advance(&mut self, now: Time, out: &mut Vec<ExecutorEvent>) {
        self.refresh_report(now);
        while let Some(next) = self.next().filter(|next| *next <= now) {
            self.run_until(next, out);
        }
        self.run_until(now, out);
    }
}
