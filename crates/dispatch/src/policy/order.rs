//! Where the next op goes: billiard order, the rules, and what is skipped.

use super::*;

const MAX_COMPARED: usize = 8; // executors of a domain that a node compares where all nodes hear the same, at the most
const WAIT_TOLERANCE: f64 = 0.02; // an executor is skipped for a wait so much over the best, in turnovers
const WARMUP_PART: f64 = 0.45; // of a cold executor's budget: what all nodes together send,
const MAX_WARMUP_OP: f64 = 0.3; // and what one op may take
const SAME_DOMAIN_PART: f64 = 0.8; // of what all send: the part of nodes of its own domain, where crossing has a price
const SETUP_TIME: f64 = 0.6; // what a set-up takes, in turnovers
const SHED_MIN_LOAD: f64 = 0.5; // use of the fleet up to which all that is over a share is let in,
const SHED_MAX_LOAD: f64 = 0.7; // and from which on none is

/// An executor that an op may go to.
pub(super) struct Candidate {
    pub(super) at: usize,
    wait: f64,
    pub(super) cost: f64, // the wait with the price of crossing and of running slowly
    turn: f64,            // its place in the billiard order, (X + Y) / P
}

impl Dispatcher {
    /// Sends an op that has nothing out: in billiard order among those not well over the least busy.
    pub(super) fn dispatch(&mut self, now: Time, op: &mut Op) -> Step {
        if !self.may_send(now, op) {
            return self.abandon(op, op.limits.over_budget);
        }
        if now < op.not_before {
            return Step::Hold;
        }
        // What is over a share must not take what others have a right to.
        if op.surplus
            && op.pushes.is_empty()
            && self.load > SHED_MIN_LOAD + (SHED_MAX_LOAD - SHED_MIN_LOAD) * self.rng.draw()
        {
            // Soon enough for a second try to be in time: lateness counts from the first.
            return self.abandon(op, self.categories[op.category].target / 4);
        }
        let found = self.choose(now, op, true).or_else(|| self.choose(now, op, false));
        let Some(Candidate { at: executor, wait, .. }) = found else {
            let early = op.pushes.is_empty() && now - op.arrived_at < self.categories[op.category].target / 4;
            return if early { Step::Hold } else { self.abandon(op, SECOND / 5) };
        };
        let hopeless = self.lateness(now, op, executor, wait) > 0.0;
        self.hopeless_rate += EWMA_GAIN / 4.0 * (f64::from(u8::from(hopeless)) - self.hopeless_rate);
        if (!self.overloaded && self.hopeless_rate > 0.2) || (self.overloaded && self.hopeless_rate < 0.05) {
            self.overloaded = !self.overloaded;
            let (word, part) = (if self.overloaded { "begins" } else { "ends" }, self.hopeless_rate);
            self.log.push(format!("overload {word}: {part:.2} turned away, wait {:.0} ms", wait / 10.0));
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
            // Turns passed over while it was skipped are not made up for in a burst.
            e.turn = e.turn.max(front * e.share - 1.0) + 1.0;
            self.virtual_time = front.max((e.turn - 1.0) / e.share);
        }
        op.pushes.push(Push { executor, sent: now, noted_at: now, expected_wait, ..Push::default() });
        self.peers.record_change(executor, None);
        self.queue_peer_messages(now);
        Step::Push { executor }
    }

    /// The next in billiard order, least (X + Y) / P, of those where the op would not wait well longer.
    pub(super) fn choose(&self, now: Time, op: &Op, strict: bool) -> Option<Candidate> {
        let mut found = self.candidates(now, op, strict);
        let late = |c: &Candidate| self.lateness(now, op, c.at, c.wait) > 0.0;
        let min_cost = found.iter().map(|c| c.cost).fold(f64::INFINITY, f64::min);
        let max_cost = min_cost + self.service_time() * WAIT_TOLERANCE;
        let first = found.iter().position(|c| c.cost <= max_cost)?;
        // Before it is turned away an op may cross, if that costs less than it is worth; only while nodes are
        // so few that each knows of the other domains from its own traffic.
        let enabled = self.terms.nodes <= self.executors.len() && self.terms.cross > 0.0 && !self.overloaded;
        let crosses = |c: &Candidate| self.executors[c.at].domain != self.terms.domain;
        let pays = enabled && self.terms.cross < self.relative_value(op) && late(&found[first]);
        let other = if pays { found.iter().position(|c| crosses(c) && !late(c)) } else { None };
        Some(found.swap_remove(other.unwrap_or(first)))
    }

    /// Where the op may go, in billiard order, or in that of its key; `strict` leaves out other parts of the
    /// fleet, and those set aside, tried before or without credit.
    fn candidates(&self, now: Time, op: &Op, strict: bool) -> Vec<Candidate> {
        let category = &self.categories[op.category];
        let mut found = Vec::with_capacity(self.executors.len());
        for (at, e) in self.executors.iter().enumerate() {
            if strict && !e.own {
                continue;
            }
            // A trial is no place for an op that must not run twice: if it fails, the op is lost.
            let unproven = e.probing || e.unstarted[op.category] > 0;
            let risky =
                if self.effect(op) == Effect::AtMostOnce { unproven } else { e.probing && e.in_use() > 0.0 };
            let ejected = e.ejected_until.max(self.domains[e.domain].1) > now || risky;
            let spent =
                !op.pushes.is_empty() && (e.credit < 1.0 || op.pushes.iter().any(|p| p.executor == at));
            if (strict && (ejected || spent)) || e.blocked[op.category] > now || !self.allowed(now, op, at) {
                continue;
            }
            let first = f64::from(u8::from(at == self.fastest));
            let turn_floor = e.turn.max(self.virtual_time * e.share - 1.0);
            // The same executors come first for a key at every instance, each for its share of the keys.
            let key_draw = (mix_bits(op.key ^ e.name_hash) >> 11) as f64 / (1u64 << 53) as f64;
            let turn = match op.key {
                _ if e.share <= 0.0 => 1e9 + e.turn,
                0 => (first + turn_floor) / e.share,
                _ => -key_draw.max(1e-18).ln() / self.slots[e.kind] * self.mean_paces[e.kind].exp(),
            };
            found.push(Candidate { at, wait: 0.0, cost: 0.0, turn });
        }
        // An op that must not run twice goes to who has answered here, if there is one: who has not may fail
        // all that it gets, and each of many nodes would lose ops to learn it. Few would crowd the first few.
        let proven = |c: &Candidate| self.executors[c.at].last_acked > 0;
        let many_nodes = self.terms.nodes > self.executors.len();
        if many_nodes && strict && self.effect(op) == Effect::AtMostOnce && found.iter().any(proven) {
            found.retain(proven);
        }
        found.sort_unstable_by(|a, b| a.turn.total_cmp(&b.turn));
        if self.terms.live_weights {
            // All nodes hear the same and would choose alike: each looks at a few, fewer the more they are.
            let most = (MAX_COMPARED * found.len() / self.terms.nodes).clamp(2, MAX_COMPARED)
                + found.len() / self.terms.nodes;
            let mut seen = vec![0; self.domains.len()];
            found.retain(|c| {
                seen[self.executors[c.at].domain] += 1;
                seen[self.executors[c.at].domain] <= most
            });
        }
        // Crossing counts double, for it also lands where this node hears least.
        let delay = 2.0 * self.price_as_wait(op, self.terms.cross);
        // What the op needs is likely kept by those first in its key's order; others set up for it.
        let (mut setup, full_setup) = (0.0, if op.key > 0 { SETUP_TIME * self.service_time() } else { 0.0 });
        for c in &mut found {
            let e = &self.executors[c.at];
            c.wait = self.expected_wait(now, op, c.at) + setup;
            setup = (setup + full_setup) / 2.0;
            let crossing = if e.domain == self.terms.domain { 0.0 } else { delay };
            // Running slower than the target latency allows for counts as waiting.
            let slowdown = e.pace.exp() / self.warm_share(now, e) - category.stretch.max(1.0);
            let idle = e.conns > e.in_use() && now < e.last_used + self.terms.keepalive * 9 / 10;
            let connect = if idle { 0.0 } else { self.price_as_wait(op, self.terms.handshake) };
            let lag = if self.terms.tail > 0.0 { self.lateness(now, op, c.at, c.wait).max(0.0) } else { 0.0 };
            c.cost = c.wait + crossing + connect + lag + slowdown.max(0.0) * self.expected_run(op);
        }
        found
    }

    /// The executor may get this op by the rules: listed, of its kind, in its group, not too cold.
    fn allowed(&self, now: Time, op: &Op, at: usize) -> bool {
        let e = &self.executors[at];
        let category = &self.categories[op.category];
        if !e.accepts_work() || category.kind.is_some_and(|kind| kind != e.kind) {
            return false;
        }
        // Beyond what the masks can name nothing is left out.
        if op.limits.kinds >> e.kind.min(63) & 1 == 0 || op.limits.domains >> e.domain.min(63) & 1 == 0 {
            return false;
        }
        if let (Effect::Deduplicated { scope, .. }, Some(p)) = (self.effect(op), op.may_have_run()) {
            // A repeat outside the group would take effect twice.
            let before = &self.executors[p.executor];
            let domain = scope == Scope::Domain && before.domain != e.domain;
            if domain || (scope == Scope::Cell && before.cell != e.cell) {
                return false;
            }
        }
        if e.started.is_some_and(|at| now < at + self.terms.warm_within) {
            // All nodes together must not push a cold executor over. Each earns its part of the budget as
            // time passes; where that is a fraction of an op, chance says which nodes may send one and when,
            // or all would send their first at once. No op may be so heavy that a few of them break it.
            let (warm, work) = (self.warm_share(now, e), self.slot_time(op, at));
            let budget = self.warmup_budget * self.slots[e.kind];
            let periods = (now - e.seen_at) as f64 / self.warmup_budget_period as f64;
            // Nodes of other domains hardly use theirs: dealt out evenly, most of it never warms anyone.
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
