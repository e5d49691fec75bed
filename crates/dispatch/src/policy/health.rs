//! Health of executors and of pushes in flight, retries, and the final answer of an op.

use super::{order::Candidate, *};

const MIN_EJECTION_TIME: Time = 2 * SECOND; // fixed part of an ejection; a random part of up to the same length is added

impl Dispatcher {
    /// Checks an op whose push is in flight: has it stalled, or would another executor be faster?
    pub(super) fn check_in_flight(&mut self, now: Time, op: &mut Op, last: usize) -> Step {
        let p = &op.pushes[last];
        let (x, started, noted, sent, guess) = (p.executor, p.started, p.noted_at, p.sent, p.expected_wait);
        let check = self.categories[op.category].target / CHECKS_PER_TARGET;
        let only_one = op.pushes.iter().filter(|p| p.outcome.is_none()).count() == 1;
        let hedging = self.terms.hedging && self.effect(op) != Effect::AtMostOnce;
        if hedging && only_one && !p.cancelling && now >= sent.saturating_add(op.limits.copy_after) {
            let hedge = if self.may_send(now, op) { self.choose(now, op, true) } else { None };
            if let Some(Candidate { at, .. }) = hedge {
                return self.push(now, op, at);
            }
        }
        if op.pushes[last].cancelling || now - noted < check {
            return Step::Wait;
        }
        // The op can no longer end in time, and a late answer earns nothing: a final answer now is better than one later.
        let late_is_worthless = self.categories[op.category].late <= 0.0;
        if started.is_none() && late_is_worthless && self.lateness(now, op, x, 0.0) > 0.0 {
            return self.abandon(op, SECOND);
        }
        let wait = if started.is_none() {
            // The push has not started, so the executor has no free slots, whatever its last report said.
            let full_load = self.slots[self.executors[x].kind] - self.executors[x].in_use() + op.slots;
            let e = &mut self.executors[x];
            if e.other_slots < full_load {
                (e.other_slots, e.reported_at) = (full_load, now);
            }
            if (now - sent) as f64 > check as f64 + 2.0 * guess {
                self.block(now, x, op.category, true);
            }
            self.expected_wait(now, op, x)
        } else if self.terms.progress > 0 && now - noted >= 5 * self.terms.progress / 2 {
            // No progress for two and a half progress intervals: the executor has stalled, however long the op is.
            if !std::mem::replace(&mut op.pushes[last].blamed, true) {
                self.eject(now, x, "silent", false);
            }
            f64::INFINITY
        } else {
            return Step::Wait;
        };
        let may_move = only_one && self.may_send(now, op) && (self.terms.hedging || self.terms.cancel);
        let better = may_move.then(|| self.choose(now, op, true)).flatten().filter(|b| b.cost <= wait);
        let Some(Candidate { at, .. }) = better else { return Step::Wait };
        if self.terms.hedging {
            // A queued push runs in any case; a hedged request only pays where the first push has stalled.
            return if wait.is_finite() { Step::Wait } else { self.push(now, op, at) };
        }
        cancel_push(op, last)
    }

    /// What a second run of this op would do: the op's own limit, else its category's effect.
    pub fn effect(&self, op: &Op) -> Effect {
        op.limits.effect.unwrap_or(self.categories[op.category].effect)
    }

    /// Whether another push is within the limits and can't make the op take effect twice.
    pub(super) fn may_send(&self, now: Time, op: &Op) -> bool {
        op.pushes_sent() < self.terms.max_pushes.min(op.limits.pushes)
            && (op.pushes.is_empty() || op.limits.over_budget == 0)
            && match (self.effect(op), op.may_have_run()) {
                (_, None) | (Effect::Redeliverable, _) => true,
                (Effect::AtMostOnce, Some(_)) => false,
                // The executors in scope forget the op once the deduplication window is over.
                (Effect::Deduplicated { window, .. }, Some(p)) => now + 2 * self.terms.tick < p.sent + window,
            }
    }

    /// The final answer of an abandoned op: a nack only where a retry by the client is harmless, else a dead letter.
    pub(super) fn abandon(&mut self, op: &mut Op, retry_after: Time) -> Step {
        op.closed = true;
        let ran = op.may_have_run().is_some();
        match self.effect(op) {
            Effect::AtMostOnce | Effect::Deduplicated { scope: Scope::Domain | Scope::Cell, .. } if ran => {
                Step::DeadLetter
            }
            _ => Step::Nack { retry_after: retry_after.min(self.terms.retry_after) },
        }
    }

    /// Ejects an executor for a partly random time, so that instances don't return together. Two unreachable pushes in a domain with no
    /// answer between them eject the whole domain.
    pub(super) fn eject(&mut self, now: Time, x: usize, reason: &str, unreachable_push: bool) {
        let until = now + MIN_EJECTION_TIME + (self.rng.draw() * MIN_EJECTION_TIME as f64) as Time;
        let e = &mut self.executors[x];
        (e.credit, e.probing) = ((e.credit - 1.0).max(0.0), true);
        if e.ejected_until <= now {
            e.ejected_until = until;
            let (served, pace) = (e.success_rate, e.pace.exp());
            self.log.push(format!("executor {x} set aside: {reason}, served {served:.2}, pace {pace:.2}"));
            self.solved_at = None;
        }
        let (unreachable, ejected_until) = &mut self.domains[e.domain];
        *unreachable += usize::from(unreachable_push);
        if unreachable_push && *unreachable > 1 && *ejected_until <= now {
            *ejected_until = until;
            self.log.push(format!("domain {} set aside: {unreachable} pushes out of reach", e.domain));
        }
    }

    /// Blocks a category at an executor that does not start it, for longer each time.
    pub(super) fn block(&mut self, now: Time, x: usize, category: usize, seen_here: bool) {
        let Some(check) = self.categories.get(category).map(|c| c.target / 4) else { return };
        let e = &mut self.executors[x];
        if e.blocked[category] <= now {
            // Instances that return together would lose an op each, so those that learned of it from a peer return later.
            let spread = if seen_here { 1.0 + self.rng.draw() } else { 2.0 + 4.0 * self.rng.draw() };
            e.blocked[category] =
                now + (((2 * check) << (2 * e.unstarted[category]).min(6)) as f64 * spread) as Time;
            e.unstarted[category] = (e.unstarted[category] + 1).min(4);
            if seen_here {
                self.peers.record_change(x, Some(category));
            }
        }
    }
}
