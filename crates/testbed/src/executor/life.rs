//! Faults and orders that strike an executor: overload while it is cold, cancelled jobs, draining, a kill, a start.

use super::{Availability, Condition, ExecutorEvent, ExecutorModel, HeldJob};
use std::collections::VecDeque;
use stileroute_dispatch::types::Time;

impl ExecutorModel {
    /// More was sent in the last span than the stated multiple of what it can do in it.
    pub(super) fn is_overloaded_while_cold(&mut self, now: Time) -> bool {
        while self.sent.front().is_some_and(|(at, _)| *at <= now - self.overload_window) {
            self.sum -= self.sent.pop_front().map_or(0.0, |(_, work)| work);
        }
        let can = self.spec.slots * self.warmth(now) * self.overload_window as f64;
        self.sum > self.overload_factor * can
    }

    /// Calls a job off: one that waits is dropped, one that runs only where that stops it. Tells whether it had
    /// begun, if it was here.
    pub fn cancel(&mut self, now: Time, id: u64, out: &mut Vec<ExecutorEvent>) -> Option<bool> {
        self.advance(now, out);
        if let Some(at) = self.waiting.iter().position(|r| r.job.id == id) {
            let begun = self.waiting.remove(at).map(|r| r.began);
            return begun;
        }
        let at = self.running.iter().position(|r| r.job.id == id)?;
        if self.cancel_stops {
            self.running.remove(at);
            self.start_waiting(out);
        }
        Some(true)
    }

    pub fn set(&mut self, now: Time, condition: Condition, out: &mut Vec<ExecutorEvent>) {
        self.advance(now, out);
        self.condition = condition;
        self.start_waiting(out);
    }

    pub fn drain(&mut self, now: Time, out: &mut Vec<ExecutorEvent>) {
        self.advance(now, out);
        if self.up == Availability::Serving {
            self.up = Availability::Draining;
            // What has not begun goes back unstarted.
            let (kept, back): (VecDeque<_>, VecDeque<_>) = self.waiting.drain(..).partition(|r| r.began);
            self.waiting = kept;
            out.extend(back.into_iter().map(|r| ExecutorEvent::Returned(r.job.id)));
        }
    }

    pub(super) fn drop_all(&mut self, out: &mut Vec<ExecutorEvent>) {
        let done = |r: &HeldJob| 1.0 - r.job.work / r.job.whole;
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        out.extend(lost.map(|r| ExecutorEvent::Lost(r.job.id, done(&r))));
    }

    /// It dies with all that it has.
    pub fn kill(&mut self, now: Time, out: &mut Vec<ExecutorEvent>) {
        self.advance(now, out);
        self.drop_all(out);
        self.up = Availability::Down;
    }

    /// It comes back under its old address, cold. One that fell over stays down.
    pub fn start(&mut self, now: Time) -> bool {
        if self.up == Availability::Fallen {
            return false;
        }
        self.up = Availability::Serving;
        self.started = Some(now);
        self.at = now;
        self.sent.clear();
        self.sum = 0.0;
        self.snapshot = [0.0, 0.0, 0.0, self.spec.slots];
        true
    }
}
