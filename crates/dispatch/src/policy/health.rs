//! Health of executors and of pushes out there, further pushes, the end of an op.

use super::{order::Candidate, *};

const ASIDE: Time = 2 * SECOND; // the fixed part of a stay aside; the random part is as long at most

impl Dispatcher {
    /// Looks after an op whose push is out: is it stuck, or would it do better elsewhere?
    pub(super) fn review(&mut self, now: Time, op: &mut Op, last: usize) -> Step {
        let p = &op.pushes[last];
        let (x, started, noted, sent, guess) = (p.executor, p.started, p.noted, p.sent, p.guess);
        let look = self.categories[op.category].target / LOOKS;
        let only_one = op.pushes.iter().filter(|p| p.outcome.is_none()).count() == 1;
        let copies = self.terms.second_copies && self.effect(op) != Effect::AtMostOnce;
        if copies && only_one && !p.stopping && now >= sent.saturating_add(op.limits.copy_after) {
            let copy = if self.may_send(now, op) { self.pick(now, op, true) } else { None };
            if let Some(Candidate { at, .. }) = copy {
                return self.push(now, op, at);
            }
        }
        if op.pushes[last].stopping || now - noted < look {
            return Step::Hold;
        }
        // It can't end in time any more, and late it earns nothing: better a final answer now than later.
        let unpaid = self.categories[op.category].late <= 0.0;
        if started.is_none() && unpaid && self.lateness(now, op, x, 0.0) > 0.0 {
            return self.give_up(op, SECOND);
        }
        let here = if started.is_none() {
            // Not started: it has no room, whatever it last said.
            let full = self.slots[self.executors[x].kind] - self.executors[x].own() + op.slots;
            let e = &mut self.executors[x];
            if e.others < full {
                (e.others, e.heard) = (full, now);
            }
            if (now - sent) as f64 > look as f64 + 2.0 * guess {
                self.bar(now, x, op.category, true);
            }
            self.expected_wait(now, op, x)
        } else if self.terms.progress > 0 && now - noted >= 5 * self.terms.progress / 2 {
            // No progress told for so long: the executor stands still, however heavy the op is.
            if !std::mem::replace(&mut op.pushes[last].blamed, true) {
                self.set_aside(now, x, "silent", false);
            }
            f64::INFINITY
        } else {
            return Step::Hold;
        };
        let movable = only_one && self.may_send(now, op) && (self.terms.second_copies || self.terms.cancel);
        let better = movable.then(|| self.pick(now, op, true)).flatten().filter(|b| b.cost <= here);
        let Some(Candidate { at, .. }) = better else { return Step::Hold };
        if self.terms.second_copies {
            // What waits there will run all the same; a copy only pays where the first stands still.
            return if here.is_finite() { Step::Hold } else { self.push(now, op, at) };
        }
        stop(op, last)
    }

    /// What a second run of this op would do.
    pub fn effect(&self, op: &Op) -> Effect {
        op.limits.effect.unwrap_or(self.categories[op.category].effect)
    }

    /// A further push is allowed, and would be no second effect.
    pub(super) fn may_send(&self, now: Time, op: &Op) -> bool {
        op.made() < self.terms.max_pushes.min(op.limits.pushes)
            && (op.pushes.is_empty() || op.limits.over_budget == 0)
            && match (self.effect(op), op.may_have_run()) {
                (_, None) | (Effect::Redeliverable, _) => true,
                (Effect::AtMostOnce, Some(_)) => false,
                // The group forgets the op once the window is over.
                (Effect::Deduplicated { window, .. }, Some(p)) => now + 2 * self.terms.tick < p.sent + window,
            }
    }

    /// The final answer for an op that is given up: a nack only where a retry is harmless.
    pub(super) fn give_up(&mut self, op: &mut Op, come_back: Time) -> Step {
        op.closed = true;
        let ran = op.may_have_run().is_some();
        match self.effect(op) {
            Effect::AtMostOnce | Effect::Deduplicated { scope: Scope::Domain | Scope::Cell, .. } if ran => {
                Step::DeadLetter
            }
            _ => Step::Nack { come_back: come_back.min(self.terms.come_back) },
        }
    }

    /// Sets an executor aside for a time partly random, so that nodes don't return together. A second one out
    /// of reach in a domain that has not answered since speaks for the whole domain.
    pub(super) fn set_aside(&mut self, now: Time, x: usize, why: &str, out_of_reach: bool) {
        let until = now + ASIDE + (self.chance.draw() * ASIDE as f64) as Time;
        let e = &mut self.executors[x];
        (e.credit, e.trial) = ((e.credit - 1.0).max(0.0), true);
        if e.aside <= now {
            e.aside = until;
            let (served, pace) = (e.served, e.pace.exp());
            self.log.push(format!("executor {x} set aside: {why}, served {served:.2}, pace {pace:.2}"));
            self.solved = None;
        }
        let (lost, aside) = &mut self.domains[e.domain];
        *lost += usize::from(out_of_reach);
        if out_of_reach && *lost > 1 && *aside <= now {
            *aside = until;
            self.log.push(format!("domain {} set aside: {lost} pushes out of reach", e.domain));
        }
    }

    /// No more of a category to an executor that does not start it, for longer each time.
    pub(super) fn bar(&mut self, now: Time, x: usize, category: usize, own: bool) {
        let Some(look) = self.categories.get(category).map(|c| c.target / 4) else { return };
        let e = &mut self.executors[x];
        if e.barred[category] <= now {
            // All would come back together and lose an op each: whoever was told of it comes back later.
            let spread = if own { 1.0 + self.chance.draw() } else { 2.0 + 4.0 * self.chance.draw() };
            e.barred[category] =
                now + (((2 * look) << (2 * e.missed[category]).min(6)) as f64 * spread) as Time;
            e.missed[category] = (e.missed[category] + 1).min(4);
            if own {
                self.peers.changed(x, Some(category));
            }
        }
    }
}
