//! Choice of the executor for the next op: billiard order, eligibility rules, and which executors are skipped.

use super::*;

const MAX_COMPARED: usize = 8; // upper limit of executors that an instance compares per domain where all get the same weights
const WAIT_TOLERANCE: f64 = 0.02; // an executor is skipped if its wait exceeds the shortest by this, in mean service times
const WARMUP_PART: f64 = 0.45; // fraction of a warming executor's overload budget that all instances together may send
const MAX_WARMUP_OP: f64 = 0.3; // fraction of a warming executor's overload budget that one op may take
const SAME_DOMAIN_PART: f64 = 0.8; // fraction of the warm-up budget for instances of the executor's domain, where crossing has a price
const SETUP_TIME: f64 = 0.6; // time in which an executor sets up for a key, in mean service times
const SHED_LO: f64 = 0.5; // fleet utilization up to which all ops over their tenant's quota are admitted
const SHED_HI: f64 = 0.7; // fleet utilization from which on no op over its tenant's quota is admitted

/// An executor that an op may go to.
pub(super) struct Candidate {
    pub(super) at: usize,
    wait: f64,
    pub(super) cost: f64, // expected wait plus the prices of crossing domains, connecting and running slowly
    turn: f64,            // position in billiard order, (X + Y) / P
}

impl Dispatcher {
    /// Sends an op that has no push in flight to the next executor in billiard order, of those whose wait is close to the shortest.
    pub(super) fn dispatch(&mut self, now: Time, op: &mut Op) -> Step {
        if !self.may_send(now, op) {
            return self.abandon(op, op.limits.over_budget);
        }
        if now < op.not_before {
            return Step::Wait;
        }
        // Ops over their tenant's quota must not take capacity that other tenants are entitled to.
        if op.surplus && op.pushes.is_empty() && self.load > SHED_LO + (SHED_HI - SHED_LO) * self.rng.draw() {
            // A quarter of the target latency leaves time for a client's retry, as lateness counts from the first attempt.
            return self.abandon(op, self.categories[op.category].target / 4);
        }
        let found = self.choose(now, op, true).or_else(|| self.choose(now, op, false));
        let Some(Candidate { at: executor, wait, .. }) = found else {
            let early = op.pushes.is_empty() && now - op.arrived_at < self.categories[op.category].target / 4;
            return if early { Step::Wait } else { self.abandon(op, SECOND / 5) };
        };
        let hopeless = self.lateness(now, op, executor, wait) > 0.0;
        self.hopeless_rate += EWMA_GAIN / 4.0 * (f64::from(u8::from(hopeless)) - self.hopeless_rate);
        if (!self.overloaded && self.hopeless_rate > 0.2) || (self.overloaded && self.hopeless_rate < 0.05) {
            self.overloaded = !self.overloaded;
            let (word, part) = (if self.overloaded { "begins" } else { "ends" }, self.hopeless_rate);
            self.log.push(format!("overload {word}: {part:.2} of ops rejected, wait {:.0} ms", wait / 10.0));
        }
        if hopeless {
            return self.abandon(op, wait as Time);
        }
        self.push(now, op, executor)
    }

    pub(super) fn push(&mut self, now: Time, op: &mut Op, executor: usize) -> Step {
        let work = self.slot_time(op, executor);
        let expected_wait = self.expected_wait(now, op, executor) / self.learned[op.category].wait_ratio();
        let front = self.virtual_time;
        let e = &mut self.executors[executor];
        if !op.pushes.is_empty() {
            e.credit = (e.credit - 1.0).max(0.0);
        }
        e.in_flight[op.category] += op.slots;
        e.sent += work;
        e.conns = if now > e.last_used + self.terms.keepalive { e.in_use() } else { e.conns.max(e.in_use()) };
        e.last_used = now;
        if e.share > 0.0 {
            // Turns that it missed while skipped are not made up for in a burst.
            e.turn = e.turn.max(front * e.share - 1.0) + 1.0;
            self.virtual_time = front.max((e.turn - 1.0) / e.share);
        }
        op.pushes.push(Push { executor, sent: now, noted_at: now, expected_wait, ..Push::default() });
        self.peers.record_change(executor, None);
        self.queue_peer_messages(now);
        Step::Push { executor }
    }

    /// The first in billiard order, least (X + Y) / P, among executors whose cost is within the tolerance of the least.
    pub(super) fn choose(&self, now: Time, op: &Op, strict: bool) -> Option<Candidate> {
        let mut found = self.candidates(now, op, strict);
        let late = |c: &Candidate| self.lateness(now, op, c.at, c.wait) > 0.0;
        let min_cost = found.iter().map(|c| c.cost).fold(f64::INFINITY, f64::min);
        let max_cost = min_cost + self.service_time() * WAIT_TOLERANCE;
        let first = found.iter().position(|c| c.cost <= max_cost)?;
        // An op may cross domains rather than be rejected if that costs less than its value, while so few instances run that each knows the
        // other domains from its own traffic.
        let enabled = self.terms.nodes <= self.executors.len() && self.terms.cross > 0.0 && !self.overloaded;
        let crosses = |c: &Candidate| self.executors[c.at].domain != self.terms.domain;
        let pays = enabled && self.terms.cross < self.relative_value(op) && late(&found[first]);
        let other = if pays { found.iter().position(|c| crosses(c) && !late(c)) } else { None };
        Some(found.swap_remove(other.unwrap_or(first)))
    }

    /// Executors that the op may go to, in billiard order or that of its key. `strict` leaves out other partitions of the fleet and
    /// executors that are ejected, tried before or without retry credit.
    fn candidates(&self, now: Time, op: &Op, strict: bool) -> Vec<Candidate> {
        let category = &self.categories[op.category];
        let mut found = Vec::with_capacity(self.executors.len());
        for (at, e) in self.executors.iter().enumerate() {
            if strict && !e.own {
                continue;
            }
            // An executor under probation gets no at-most-once op: if the push fails, the op is lost.
            let unproven = e.probing || e.unstarted[op.category] > 0;
            let risky =
                if self.effect(op) == Effect::AtMostOnce { unproven } else { e.probing && e.in_use() > 0.0 };
            let ejected = e.ejected_until.max(self.domains[e.domain].1) > now || risky;
            let spent =
                !op.pushes.is_empty() && (e.credit < 1.0 || op.pushes.iter().any(|p| p.executor == at));
            if (strict && (ejected || spent)) || e.blocked[op.category] > now || !self.eligible(now, op, at) {
                continue;
            }
            let first = f64::from(u8::from(at == self.fastest));
            let turn_floor = e.turn.max(self.virtual_time * e.share - 1.0);
            // Every instance ranks the same executors first for a key, each executor in proportion to its capacity.
            let key_draw = (mix_bits(op.key ^ e.name_hash) >> 11) as f64 / (1u64 << 53) as f64;
            let turn = match op.key {
                _ if e.share <= 0.0 => 1e9 + e.turn,
                0 => (first + turn_floor) / e.share,
                _ => -key_draw.max(1e-18).ln() / self.slots[e.kind] * self.mean_paces[e.kind].exp(),
            };
            found.push(Candidate { at, wait: 0.0, cost: 0.0, turn });
        }
        // An at-most-once op goes to executors that have acked here, if there are any: others may fail all they get, and each of many
        // instances would lose ops to find out. With few instances this would crowd the first few executors.
        let proven = |c: &Candidate| self.executors[c.at].last_acked > 0;
        let many_nodes = self.terms.nodes > self.executors.len();
        if many_nodes && strict && self.effect(op) == Effect::AtMostOnce && found.iter().any(proven) {
            found.retain(proven);
        }
        found.sort_unstable_by(|a, b| a.turn.total_cmp(&b.turn));
        if self.terms.live_weights {
            // All instances get the same weights and would choose alike: each compares a few executors, fewer the more instances there are.
            let most = (MAX_COMPARED * found.len() / self.terms.nodes).clamp(2, MAX_COMPARED)
                + found.len() / self.terms.nodes;
            let mut seen = vec![0; self.domains.len()];
            found.retain(|c| {
                seen[self.executors[c.at].domain] += 1;
                seen[self.executors[c.at].domain] <= most
            });
        }
        // Crossing counts double, as the op also lands in a domain whose load this instance knows least.
        let delay = 2.0 * self.price_as_wait(op, self.terms.cross);
        // The executors first in the key's order likely still hold what the op needs; others have to set up for it.
        let (mut setup, full_setup) = (0.0, if op.key > 0 { SETUP_TIME * self.service_time() } else { 0.0 });
        for c in &mut found {
            let e = &self.executors[c.at];
            c.wait = self.expected_wait(now, op, c.at) + setup;
            setup = (setup + full_setup) / 2.0;
            let crossing = if e.domain == self.terms.domain { 0.0 } else { delay };
            // Running slower than the target latency allows counts as waiting.
            let slowdown = e.pace.exp() / self.warm_share(now, e) - category.stretch.max(1.0);
            let idle = e.conns > e.in_use() && now < e.last_used + self.terms.keepalive * 9 / 10;
            let connect = if idle { 0.0 } else { self.price_as_wait(op, self.terms.handshake) };
            let lag = if self.terms.tail > 0.0 { self.lateness(now, op, c.at, c.wait).max(0.0) } else { 0.0 };
            c.cost = c.wait + crossing + connect + lag + slowdown.max(0.0) * self.expected_run(op);
        }
        found
    }

    /// Whether the rules allow this op at the executor: listed, of the right kind, in deduplication scope, within the warm-up budget.
    fn eligible(&self, now: Time, op: &Op, at: usize) -> bool {
        let e = &self.executors[at];
        let category = &self.categories[op.category];
        if !e.accepts_work() || category.kind.is_some_and(|kind| kind != e.kind) {
            return false;
        }
        // Kinds and domains from 63 on share the last bit of the masks: what the masks cannot name is not excluded.
        if op.limits.kinds >> e.kind.min(63) & 1 == 0 || op.limits.domains >> e.domain.min(63) & 1 == 0 {
            return false;
        }
        if let (Effect::Deduplicated { scope, .. }, Some(p)) = (self.effect(op), op.may_have_run()) {
            // Executors outside the scope don't know the first run, so a repeat there would take effect twice.
            let before = &self.executors[p.executor];
            let domain = scope == Scope::Domain && before.domain != e.domain;
            if domain || (scope == Scope::Cell && before.cell != e.cell) {
                return false;
            }
        }
        if e.started.is_some_and(|at| now < at + self.terms.warm_within) {
            // All instances together must not overload a warming executor. Each earns its part of the budget as time passes. Where that is
            // less than one op, a random draw decides which instances may send one and when; otherwise all would send their first op at
            // once. No op may be so heavy that a few of them overload it.
            let (warm, work) = (self.warm_share(now, e), self.slot_time(op, at));
            let budget = self.warmup_budget * self.slots[e.kind];
            let periods = (now - e.seen_at) as f64 / self.warmup_budget_period as f64;
            // Instances of other domains hardly use their part: divided evenly, most of the budget would never warm any executor.
            let domains = self.domains.len() as f64;
            let (local, priced) = (e.domain == self.terms.domain, self.terms.cross > 0.0 && domains > 1.0);
            let part = if local { SAME_DOMAIN_PART } else { (1.0 - SAME_DOMAIN_PART) / (domains - 1.0) };
            let part = if priced { part * domains } else { 1.0 };
            let earned = part * WARMUP_PART * budget * (self.terms.start_share + warm) / 2.0 * periods;
            return work <= MAX_WARMUP_OP * budget * warm && e.sent + (1.0 - e.draw) * work <= earned;
        }
        true
    }
}
