//! Every decision of stileroute: which executor gets which op, and what to do when that goes wrong.
//!
//! How to call it. A [`Dispatcher`] is one instance; it reads no clock, and knows of others what they tell.
//! For an op, `arrive` opens an [`Op`], which the caller keeps until its last push has an outcome. Then
//! three calls, each with the time now:
//!   * `place`: where to send this op, or not yet, or never;
//!   * `settle`: what to do after this outcome of a push;
//!   * `wait`: until when to leave the op alone; call `place` again then.
//!
//! `place` and `settle` give back one [`Step`]; carry it out and call `place` again until it says `Hold`.
//! What else is heard goes to `list`, `refused`, `note`, `report`; `upkeep` when due. See `docs/design.md`.

use crate::peers::{News, Peers};
use crate::state::{Executor, Learned, Memory};
use crate::tariff::*;

/// How often `upkeep` is to be called.
pub const UPKEEP: Time = SECOND / 4;
const SOLVE_EVERY: Time = SECOND;
const ASIDE: Time = 2 * SECOND; // the fixed part of a stay aside; the random part is as long at most
const SMOOTH: f64 = 0.1; // gain of what is followed from outcome to outcome; a quarter of it per arrival
const DRIFT: f64 = 0.25; // variance of a change of pace worth following, against the spread of samples
const LEAST_USE: f64 = 0.6; // the target use starts here
const MOST_USE: f64 = 0.95;
const SHARED: f64 = 0.6; // what news counts that comes to all nodes alike: they would all act on it at once
const FEW: usize = 8; // executors of a domain that a node compares where all nodes hear the same, at the most
const LONG: f64 = 1.2; // the long end of a running time, over its mean
const CROWDED: f64 = 0.03; // what a wholly held executor counts as waiting beyond its queue, in turnovers
const WELL_OVER: f64 = 0.02; // an executor is skipped for a wait so much over the best, in turnovers
const UNSURE: f64 = 0.8; // by how much more a wait counts when an op is judged hopeless
const COLD_PART: f64 = 0.45; // of a cold executor's budget: what all nodes together send,
const ONE_COLD_OP: f64 = 0.3; // and what one op may take
const NEAR: f64 = 0.8; // of what all send: the part of nodes of its own domain, where crossing has a price
const KEPT: f64 = 0.6; // what a set-up takes, in turnovers
const PEER_SPEND: f64 = 0.01; // for one op, in parts of its worth: two entries of three bytes to each peer
const TELL: Time = SECOND / 10; // peers are told at most so often,
const TOLD_PER_OP: f64 = 12.0; // and so many of them for each own op
const RATE_SPAN: f64 = 4.0 * SECOND as f64; // over which a tenant's rate is taken
const ROOMY: f64 = 0.5; // use of the fleet up to which all that is over a share is let in,
const CRAMPED: f64 = 0.7; // and from which on none is
const LOOKS: Time = 8; // looks after a push that has not started, in a target latency
const MOST_CREDIT: f64 = 4.0; // a further push costs one,
const EARNED: f64 = 2.0; // and an answer earns so much: a node of many sees few of them

/// A running time: to its end, at least so long, or reckoned from the part done.
#[derive(Clone, Copy, PartialEq)]
enum Sample {
    Whole,
    Censored,
    Part,
}

/// An executor that an op may go to.
struct Candidate {
    at: usize,
    wait: f64,
    /// The wait with the price of crossing and of running slowly.
    cost: f64,
    /// Its place in the billiard order, (X + Y) / P.
    turn: f64,
}

impl Learned {
    /// Mean running time of the category at mean pace.
    fn time(&self) -> f64 {
        self.base * self.mean
    }
    /// Waits over what was expected of them: what others send unseen, and what blocks a queue's head. The way
    /// there is none: next to no wait expected it made four of each.
    fn correction(&self) -> f64 {
        let way = 0.1 * self.time().max(1.0);
        ((self.waited + way) / (self.guessed + way)).clamp(0.5, 4.0)
    }
}

/// The instance.
#[derive(Default)]
pub struct Dispatcher {
    terms: Terms,
    categories: Vec<Category>,
    learned: Vec<Learned>,
    /// Work that tips a cold executor, by slot at full warmth, and the span in which a node earns so much.
    cold_budget: f64,
    cold_span: Time,
    gauges: Vec<Gauge>,
    executors: Vec<Executor>,
    /// Of each failure domain: pushes out of reach since its last answer, and until when it is left alone.
    domains: Vec<(usize, Time)>,
    /// Slots of an executor of each kind, as far as seen.
    slots: Vec<f64>,
    /// Of so many parts of the fleet this instance and its peers solve over one.
    parts: usize,
    /// What peers told.
    pub peers: Peers,
    /// Ops a second within each tenant's share, and as they come here.
    quotas: Vec<f64>,
    rates: Vec<f64>,
    faded: Time,
    /// Part of its part of the fleet that is held.
    used: f64,
    target_use: f64,
    arrival_gap: f64,
    arrival_square: f64,
    last_arrival: Option<Time>,
    slots_per_op: f64,
    /// Part of an executor's slots that others hold in the long run, over the fleet.
    usual: f64,
    front: f64,
    /// Mean pace of each kind, as last solved.
    paces: Vec<f64>,
    fastest: usize,
    solved: Option<Time>,
    /// When to subscribe to the list, if not subscribed; zero before the first time.
    observe_at: Time,
    /// Calls turned away in a row.
    turned: u32,
    /// Part of the ops judged hopeless of late; told in the log as overload.
    turned_away: f64,
    overloaded: bool,
    /// Messages to peers and lines for the log, taken by the adapter.
    pub letters: Vec<Letter>,
    pub log: Vec<String>,
    chance: Chance,
}

impl Dispatcher {
    pub fn new(tariff: &Tariff, seed: u64) -> Dispatcher {
        let nodes = tariff.terms.nodes.max(1);
        // Peers are told of every push and its end: no more of them than an op can pay for.
        let most = (PEER_SPEND * 256.0 / 6.0 / tariff.terms.price_peer.max(1e-4)) as usize;
        let parts = if tariff.terms.peers { (nodes / most.max(1)).max(1) } else { 1 };
        Dispatcher {
            terms: tariff.terms.clone(),
            parts,
            peers: Peers::new(&tariff.terms, parts, tariff.quotas.len()),
            rates: vec![0.0; tariff.quotas.len()],
            quotas: tariff.quotas.clone(),
            learned: vec![Learned { mean: 1.0, ..Learned::default() }; tariff.categories.len()],
            categories: tariff.categories.clone(),
            cold_budget: tariff.overload_factor * tariff.terms.tip_after as f64,
            cold_span: tariff.terms.tip_after * nodes as Time,
            gauges: tariff.gauges.clone(),
            target_use: LEAST_USE,
            slots_per_op: 1.0,
            chance: Chance::new(seed),
            ..Dispatcher::default()
        }
    }

    /// The fraction of own ops that each executor is to get, as last solved, by index.
    pub fn shares(&self) -> impl Iterator<Item = f64> + '_ {
        self.executors.iter().map(|e| e.share)
    }

    /// Whether this instance sends nothing to an executor now because of what it has seen of it.
    pub fn avoids(&self, now: Time, executor: usize) -> bool {
        self.executors
            .get(executor)
            .is_some_and(|e| e.disabled.is_some() || e.aside.max(self.domains[e.domain].1) > now)
    }

    /// An executor is taken out by hand: it gets nothing until it is put back, whatever the list says. On its
    /// return it is clear of all that was held against it, and cold: since a start that the list told
    /// meanwhile, else since now, for the list may tell of that late.
    pub fn disable(&mut self, now: Time, executor: usize, out: bool) {
        let luck = self.chance.draw();
        let Some(e) = self.executors.get_mut(executor).filter(|e| e.disabled.is_some() != out) else {
            return;
        };
        if let Some(since) = std::mem::replace(&mut e.disabled, out.then_some(now)) {
            e.start_over(now, e.started.filter(|at| *at > since).or(Some(now)), luck);
            (e.credit, e.samples) = (e.credit.max(1.0), 0.0);
            e.barred.fill(0);
            e.missed.fill(0);
        }
        self.solved = None;
    }

    /// What was learned, to be handed over.
    pub fn memory(&self) -> Memory {
        Memory {
            categories: self.learned.clone(),
            slots: self.slots.clone(),
            executors: self.executors.clone(),
            usual: self.usual,
            slots_per_op: self.slots_per_op,
            gap: self.arrival_gap,
            square: self.arrival_square,
        }
    }

    /// Takes over what the instance before has learned, of executors that the list has named here too. What
    /// it has out there shows in reports; of a cold budget nothing is taken over: it may still be using it.
    pub fn recall(&mut self, now: Time, memory: Memory) {
        if memory.categories.len() != self.learned.len() {
            return;
        }
        self.learned = memory.categories;
        (self.usual, self.slots_per_op) = (memory.usual, memory.slots_per_op);
        (self.arrival_gap, self.arrival_square) = (memory.gap, memory.square);
        for (own, slots) in self.slots.iter_mut().zip(memory.slots) {
            *own = slots;
        }
        for old in memory.executors {
            let Some(e) = self.executors.iter_mut().find(|e| e.mark == old.mark) else { continue };
            if e.started > old.started || old.out.len() != e.out.len() {
                continue;
            }
            let Executor { active, domain, kind, cell, mine, known, luck, turn, .. } = *e;
            let disabled = e.disabled.and(old.disabled).or(e.disabled);
            *e =
                Executor { active, domain, kind, cell, mine, disabled, known, luck, turn, spent: 0.0, ..old };
            (e.lines, e.touched, e.told, e.running, e.share) = (0.0, -self.terms.keepalive, 0.0, 0.0, 0.0);
            e.out.fill(0.0);
            e.heard = e.heard.min(now);
        }
        self.solved = None;
    }

    // ---- The three calls ----

    /// Where to send this op: to an executor, not yet (`Hold`), or never (a final answer).
    pub fn place(&mut self, now: Time, op: &mut Op) -> Step {
        if op.closed {
            // Work that no one waits for is called off, so that it holds up nothing behind it.
            let left = op.pushes.iter_mut().enumerate().find(|(_, p)| p.outcome.is_none() && !p.stopping);
            return match left {
                Some((push, p)) if self.terms.cancel => {
                    p.stopping = true;
                    Step::Stop { push }
                }
                _ => Step::Hold,
            };
        }
        if self.solved.is_none_or(|at| now >= at + SOLVE_EVERY) {
            self.solve(now);
        }
        let overdue = |p: &Push| p.outcome.is_none() && !p.stopping && now >= p.overdue(&op.limits);
        let late = op.pushes.iter().position(overdue);
        match op.pushes.iter().rposition(|p| p.outcome.is_none()) {
            _ if now + 2 * self.terms.tick >= op.deadline => self.give_up(op, 0),
            Some(_) if late.is_some() => stop(op, late.unwrap_or(0)),
            Some(last) => self.review(now, op, last),
            None => self.send(now, op),
        }
    }

    /// What to do after this outcome of a push.
    pub fn settle(&mut self, now: Time, op: &mut Op, push: usize, outcome: Outcome, values: &[f64]) -> Step {
        let Some(p) = op.pushes.get_mut(push).filter(|p| p.outcome.is_none()) else { return Step::Hold };
        p.outcome = Some(outcome);
        op.closed |= matches!(outcome, Outcome::Acked | Outcome::Unfit);
        let (x, started) = (p.executor, p.started);
        let ran = (now - started.unwrap_or(p.sent)).max(1) as f64;
        self.report(now, x, values);
        self.peers.changed(x, None);
        let executor = &mut self.executors[x];
        executor.out[op.category] = (executor.out[op.category] - op.slots).max(0.0);
        executor.touched = now;
        let broken =
            matches!(outcome, Outcome::NotConnected | Outcome::Reset | Outcome::Cut | Outcome::Broken);
        executor.lines -= f64::from(u8::from(broken)).min(executor.lines);
        executor.running -= if started.is_some() { op.slots.min(executor.running) } else { 0.0 };
        match outcome {
            Outcome::Acked => {
                executor.served += SMOOTH * (1.0 - executor.served);
                executor.credit = (executor.credit + EARNED).min(MOST_CREDIT);
                (executor.trial, executor.acked) = (false, now);
                self.domains[executor.domain] = (0, 0);
                self.learn(x, op, ran, Sample::Whole);
            }
            // A fault of the op: a few change nothing, but an executor that refuses all loses its share.
            Outcome::Unfit => executor.served -= SMOOTH * executor.served,
            Outcome::Full => {
                executor.served -= SMOOTH * executor.served;
                let full = self.slots[executor.kind] * 2.0 - executor.own();
                (executor.others, executor.heard) = (executor.others.max(full), now);
            }
            Outcome::Error | Outcome::NotConnected | Outcome::Reset | Outcome::Cut => {
                executor.served -= 2.0 * SMOOTH * executor.served;
                // One reset may be the connection's alone; and whoever resets is within reach.
                let lightly = matches!(outcome, Outcome::Reset | Outcome::Cut);
                let before = std::mem::replace(&mut executor.reset, now);
                if !lightly || before > executor.acked {
                    self.set_aside(now, x, "failed", outcome == Outcome::NotConnected);
                }
            }
            Outcome::TimedOut => {
                executor.credit = (executor.credit - 1.0).max(0.0);
                self.learn(x, op, ran, Sample::Censored);
            }
            Outcome::Cancelled | Outcome::Moot | Outcome::Withheld | Outcome::Broken => {}
        }
        if op.limits.pause > 0 {
            let chance = 1.0 + op.limits.pause_spread * self.chance.draw();
            op.not_before = now + (op.limits.pause as f64 * chance) as Time;
        }
        self.place(now, op)
    }

    /// Until when to leave the op alone; `place` is to be asked again then.
    pub fn wait(&self, now: Time, op: &Op) -> Time {
        let last = op.deadline - 2 * self.terms.tick;
        let look = self.categories[op.category].target / LOOKS;
        let next = match op.pushes.iter().rfind(|p| p.outcome.is_none()) {
            Some(p) if p.stopping => last,
            Some(p) if p.started.is_none() => now + look,
            Some(p) if self.terms.progress > 0 => (p.noted + 5 * self.terms.progress / 2).max(now + look),
            Some(_) => last,
            None if op.not_before > now => op.not_before,
            None => now + look,
        };
        let copy = |p: &Push| p.sent.saturating_add(op.limits.copy_after);
        let out = op.pushes.iter().filter(|p| p.outcome.is_none() && !p.stopping);
        let limit = out.map(|p| p.overdue(&op.limits).min(copy(p).max(now + look))).min().unwrap_or(last);
        next.min(last).min(limit).max(now + self.terms.tick)
    }

    // ---- What is heard ----

    /// Opens an op. `hint` is its expected work, where one is given.
    pub fn arrive(&mut self, now: Time, ask: Ask) -> Op {
        let mut surplus = false;
        self.fade(now);
        if let Some(last) = self.last_arrival {
            let gap = (now - last) as f64;
            let gain = if self.arrival_gap == 0.0 { 1.0 } else { SMOOTH / 4.0 };
            self.arrival_gap += gain * (gap - self.arrival_gap);
            self.arrival_square += gain * (gap * gap - self.arrival_square);
        }
        self.last_arrival = Some(now);
        if let Some(rate) = self.rates.get_mut(ask.tenant) {
            *rate += SECOND as f64 / RATE_SPAN;
            surplus = self.chance.draw() >= self.within(ask.tenant);
        }
        self.slots_per_op += SMOOTH / 4.0 * (ask.slots - self.slots_per_op);
        for (category, learned) in self.learned.iter_mut().enumerate() {
            let one = f64::from(u8::from(category == ask.category));
            learned.rate += SMOOTH / 4.0 * (one - learned.rate);
        }
        let base = ask.hint.map_or(1.0, |hint| hint.max(1) as f64);
        let learned = &mut self.learned[ask.category];
        if ask.hint.is_none() && learned.samples == 0.0 {
            learned.mean = self.categories[ask.category].target as f64;
        }
        learned.base += if learned.base == 0.0 { base } else { SMOOTH / 4.0 * (base - learned.base) };
        Op {
            category: ask.category,
            // An executor has one unit of memory for each slot: the scarcer need is the op's width.
            slots: ask.slots.max(ask.memory),
            base,
            came: now,
            deadline: ask.deadline,
            limits: ask.limits,
            key: ask.key,
            surplus,
            ..Op::default()
        }
    }

    /// News of the list of executors; `whole` replaces what was known.
    pub fn list(&mut self, now: Time, whole: bool, lines: &[Listed]) {
        if std::mem::take(&mut self.turned) > 0 {
            self.log.push("list: followed again".to_string());
        }
        self.observe_at = if self.observe_at > 0 { Time::MAX } else { 0 };
        if whole {
            self.executors.iter_mut().for_each(|e| e.active = false);
        }
        let paces = self.kind_paces();
        lines.iter().for_each(|line| self.enter(now, line, &paces));
        self.deal();
        self.solved = None;
    }

    /// A call to the list service failed: subscribe anew after a random wait, longer with more nodes. Where
    /// the service had no room (`turned_away`) the wait doubles each time in a row, until all nodes together
    /// call about twice a second: calls that are turned away take room too, and nobody would ever be heard.
    pub fn refused(&mut self, now: Time, turned_away: bool) {
        self.turned = if turned_away { (self.turned + 1).min(8) } else { 0 };
        let nodes = self.terms.nodes as Time;
        let least = SECOND * (100 + nodes) / 100;
        let spread = (least << self.turned).min(least.max(SECOND * nodes / 2)) as f64;
        self.observe_at = now + SECOND / 4 + (self.chance.draw() * spread) as Time;
        self.log.push("list: call refused, will ask again".to_string());
    }

    /// A push has started, or has got on with its work; `done` is the share of it, where that is told.
    pub fn note(&mut self, now: Time, op: &mut Op, push: usize, start: bool, done: f64) {
        let Some(p) = op.pushes.get_mut(push).filter(|p| p.outcome.is_none()) else { return };
        let first = p.started == Some(p.noted);
        p.noted = now;
        if let Some(started) = p.started.filter(|_| !start && first && done > 0.0) {
            // The first note tells the pace, long before the end: who has slowed down shows at once.
            let (x, ran) = (p.executor, (now - started) as f64 / done);
            self.learn(x, op, ran, Sample::Part);
        }
        let p = &mut op.pushes[push];
        if !start || p.started.replace(now).is_some() {
            return;
        }
        let learned = &mut self.learned[op.category];
        learned.guessed += SMOOTH * (p.guess - learned.guessed);
        learned.waited += SMOOTH * ((now - p.sent) as f64 - learned.waited);
        let e = &mut self.executors[p.executor];
        // One of a few that it does start clears it of nothing.
        e.missed[op.category] /= 2;
        e.running += op.slots;
        // It had room just now, so others can't hold the rest of its slots and a queue too.
        let slots = self.slots[e.kind].max(e.running);
        self.slots[e.kind] = slots;
        if now - p.sent < self.terms.tick * 4 {
            (e.others, e.heard) = (e.others.min(slots - e.running), now);
        }
    }

    /// A load report of an executor.
    pub fn report(&mut self, now: Time, executor: usize, values: &[f64]) {
        if values.is_empty() || values.len() != self.gauges.len() {
            return;
        }
        let gauge = |what| self.gauges.iter().position(|g| *g == what).map(|at| values[at]);
        let kind = self.executors[executor].kind;
        if let Some(free) = gauge(Gauge::FreeSlots) {
            // What runs and what is free makes all; else the most ever free, up fast, down from near the top.
            let slots = self.slots[kind];
            let (seen, gain) = match (gauge(Gauge::Held), gauge(Gauge::Waiting)) {
                (Some(h), Some(w)) => ((free + h - w).max(1.0), if slots > 1.0 { SMOOTH } else { 1.0 }),
                _ if free > slots => (free, 3.0 * SMOOTH),
                _ => (free, if free > 0.8 * slots { SMOOTH / 4.0 } else { 0.0 }),
            };
            self.slots[kind] += gain * (seen - slots);
        }
        let slots = self.slots[kind];
        let held = match (gauge(Gauge::FreeSlots), gauge(Gauge::Waiting), gauge(Gauge::Held)) {
            // A queue behind free slots is held up by a wide op at its head: no room for others either.
            (Some(_), Some(waiting), _) if waiting >= 0.5 => slots + waiting * self.slots_per_op,
            (_, _, Some(held)) => held * self.slots_per_op,
            (Some(free), _, _) => slots - free,
            _ => gauge(Gauge::Busy).map_or(0.0, |busy| busy * slots),
        };
        self.hear(now, executor, held, 1.0);
    }

    /// What an executor holds in all, as told just now; own pushes are known better, so they come off.
    fn hear(&mut self, now: Time, executor: usize, held: f64, trust: f64) {
        let e = &mut self.executors[executor];
        let usual = if e.usual < 0.0 { self.usual * self.slots[e.kind] } else { e.usual };
        (e.others, e.heard, e.trust) = ((held - e.own()).max(0.0), now, trust);
        e.usual = usual + 2.0 * SMOOTH * (e.others - usual);
        self.usual += SMOOTH / 4.0 * (e.others / self.slots[e.kind].max(1.0) - self.usual);
    }

    /// Called every `UPKEEP`: tells whether to subscribe to the list now.
    pub fn upkeep(&mut self, now: Time) -> bool {
        let observe = self.terms.subscribe && now >= self.observe_at;
        if observe {
            // Asked again if nothing at all is heard: a lost call must not leave the list to age.
            self.observe_at = now + 5 * SECOND;
        }
        let gone = self.peers.forget(now);
        self.take_in(now, gone);
        self.fade(now);
        self.tell(now);
        observe
    }

    /// Tells peers what this instance holds where that has changed, what it barred, and its tenants' rates:
    /// only what it did or saw itself. A receiver judges for itself, and no rule rests on a message.
    fn tell(&mut self, now: Time) {
        let of = |x: usize| (self.executors[x].mark, self.executors[x].own());
        // Told of every push at once, hundreds of nodes with few ops each get more messages than ops.
        let peers = (self.terms.nodes / self.parts) as f64;
        let every = (peers * self.arrival_gap / TOLD_PER_OP).clamp(TELL as f64, SECOND as f64);
        self.letters.extend(self.peers.due(now, every as Time, &self.rates, of));
    }

    /// A message of a peer.
    pub fn heard(&mut self, now: Time, from: usize, text: &[u8]) {
        let news = self.peers.heard(now, from, text);
        self.take_in(now, news);
    }

    /// So many instances likely live, and so many may be sending: what all together may send to a cold executor
    /// follows the second, for one that can't be heard uses its part all the same.
    pub fn fleet(&mut self, likely: usize, safe: usize) {
        self.terms.nodes = likely.max(1);
        self.cold_span = self.terms.tip_after * safe.max(likely).max(1) as Time;
    }

    fn take_in(&mut self, now: Time, news: Vec<News>) {
        for told in news {
            match told {
                News::Barred(x, category) => self.bar(now, x, category, false),
                News::Held(x, more) => {
                    self.executors[x].told += more;
                    let held = self.executors[x].told + self.executors[x].own();
                    self.hear(now, x, held, 1.0);
                }
            }
        }
    }

    /// Tenants' rates fade while nothing comes too: peers would go on counting what was.
    fn fade(&mut self, now: Time) {
        let gap = (now - std::mem::replace(&mut self.faded, now)) as f64;
        self.rates.iter_mut().for_each(|rate| *rate *= (-gap / RATE_SPAN).exp());
    }

    /// The part of a tenant's ops that is within its share, as far as this instance and its peers see.
    fn within(&self, tenant: usize) -> f64 {
        let all = self.peers.rate(tenant, self.rates[tenant]).filter(|_| self.terms.surplus < 1.0);
        all.map_or(1.0, |all| self.quotas[tenant] / all.max(1e-9))
    }

    /// No more of a category to an executor that does not start it, for longer each time.
    fn bar(&mut self, now: Time, x: usize, category: usize, own: bool) {
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

    /// Deals the fleet out among its parts, each with its share of every kind and domain.
    fn deal(&mut self) {
        let mut order: Vec<usize> = (0..self.executors.len()).collect();
        let place = |x: &usize| {
            let e = &self.executors[*x];
            (e.kind, e.domain, e.mark)
        };
        order.sort_unstable_by_key(place);
        for (at, x) in order.into_iter().enumerate() {
            self.executors[x].mine = at % self.parts == self.terms.me % self.parts;
        }
    }

    // ---- Shares and order: the design ----

    /// Re-solves the split. With time in mean gaps between own arrivals the arrival rate is one, so the
    /// paper's e(i) = L(L2 s2 + L2 + C2 - L m) is s2 + 1 + C2 - m, s2 being the gaps' squared variation.
    fn solve(&mut self, now: Time) {
        self.solved = Some(now);
        let s2 = (self.arrival_square / self.arrival_gap.powi(2).max(1.0) - 1.0).clamp(0.1, 4.0);
        self.paces = self.kind_paces();
        for e in &mut self.executors {
            // Nothing is learned of an executor that gets nothing: what is held against it fades.
            if e.out.iter().all(|s| *s <= 0.0) {
                e.pace += SMOOTH * (self.paces[e.kind] - e.pace);
                e.served += SMOOTH * (1.0 - e.served);
            }
        }
        // The more of the fleet is held, the closer the shares come to the bare rates.
        let active = self.executors.iter().filter(|e| e.takes() && e.mine);
        let held: f64 = active.clone().map(|e| e.own() + e.usual.max(0.0)).sum();
        let slots = active.clone().map(|e| self.slots[e.kind]).sum::<f64>().max(1.0);
        self.used = active.map(|e| e.own() + e.told).sum::<f64>() / slots;
        self.target_use += SMOOTH * ((held / slots).clamp(LEAST_USE, MOST_USE) - self.target_use);
        let rates: Vec<f64> = self.executors.iter().map(|e| self.rate(now, e)).collect();
        let spreads: Vec<f64> =
            self.executors.iter().map(|e| (e.spread.exp() - 1.0).clamp(0.1, 4.0)).collect();
        let shares = split(&rates, &spreads, &vec![1.0; rates.len()], s2, self.target_use);
        for (at, share) in shares.into_iter().enumerate() {
            let (front, chance) = (self.front, self.chance.draw());
            let e = &mut self.executors[at];
            // Who is new, back or grown joins near the front of the order: no burst to catch up.
            e.turn = if e.share > 0.0 { (e.turn - front * e.share).clamp(-1.0, 1.0) } else { chance };
            e.share = share;
        }
        self.front = 0.0;
        self.fastest = (0..rates.len()).max_by(|a, b| rates[*a].total_cmp(&rates[*b])).unwrap_or(0);
    }

    /// The service rate: slots over the smoothed running time, less what is not served; none while aside.
    fn rate(&self, now: Time, e: &Executor) -> f64 {
        let on = f64::from(u8::from(e.takes() && e.mine && e.aside <= now));
        on * self.slots[e.kind] * self.warmth(now, e) * e.served / e.pace.exp()
    }

    /// The share of its capacity that a newly started executor has at the least by now.
    fn warmth(&self, now: Time, e: &Executor) -> f64 {
        let age = e.started.map_or(self.terms.warm_within, |at| now - at);
        let ramp = age as f64 / self.terms.warm_within.max(1) as f64;
        (self.terms.start_share + (1.0 - self.terms.start_share) * ramp).clamp(0.01, 1.0)
    }

    /// Sends an op that has nothing out: in billiard order among those not well over the least busy.
    fn send(&mut self, now: Time, op: &mut Op) -> Step {
        if !self.may_send(now, op) {
            return self.give_up(op, op.limits.over_budget);
        }
        if now < op.not_before {
            return Step::Hold;
        }
        // What is over a share must not take what others have a right to.
        if op.surplus && op.pushes.is_empty() && self.used > ROOMY + (CRAMPED - ROOMY) * self.chance.draw() {
            // Soon enough for a second try to be in time: lateness counts from the first.
            return self.give_up(op, self.categories[op.category].target / 4);
        }
        let found = self.pick(now, op, true).or_else(|| self.pick(now, op, false));
        let Some(Candidate { at: executor, wait, .. }) = found else {
            let early = op.pushes.is_empty() && now - op.came < self.categories[op.category].target / 4;
            return if early { Step::Hold } else { self.give_up(op, SECOND / 5) };
        };
        let hopeless = self.lateness(now, op, executor, wait) > 0.0;
        self.turned_away += SMOOTH / 4.0 * (f64::from(u8::from(hopeless)) - self.turned_away);
        if (!self.overloaded && self.turned_away > 0.2) || (self.overloaded && self.turned_away < 0.05) {
            self.overloaded = !self.overloaded;
            let (word, part) = (if self.overloaded { "begins" } else { "ends" }, self.turned_away);
            self.log.push(format!("overload {word}: {part:.2} turned away, wait {:.0} ms", wait / 10.0));
        }
        if hopeless {
            return self.give_up(op, wait as Time);
        }
        self.push(now, op, executor)
    }

    /// By how much an op would be late there: one that none can answer usefully is turned away at once. Waits
    /// turn out longer than they look; that matters less where a late answer earns. Where a tail counts, one
    /// late op costs what others earn: running times are taken at their long end.
    fn lateness(&self, now: Time, op: &Op, executor: usize, wait: f64) -> f64 {
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

    fn push(&mut self, now: Time, op: &mut Op, executor: usize) -> Step {
        let work = self.work(op, executor);
        let guess = self.expected_wait(now, op, executor) / self.learned[op.category].correction();
        let front = self.front;
        let e = &mut self.executors[executor];
        if !op.pushes.is_empty() {
            e.credit = (e.credit - 1.0).max(0.0);
        }
        e.out[op.category] += op.slots;
        e.spent += work;
        e.lines = if now > e.touched + self.terms.keepalive { e.own() } else { e.lines.max(e.own()) };
        e.touched = now;
        if e.share > 0.0 {
            // Turns passed over while it was skipped are not made up for in a burst.
            e.turn = e.turn.max(front * e.share - 1.0) + 1.0;
            self.front = front.max((e.turn - 1.0) / e.share);
        }
        op.pushes.push(Push { executor, sent: now, noted: now, guess, ..Push::default() });
        self.peers.changed(executor, None);
        self.tell(now);
        Step::Push { executor }
    }

    /// The next in billiard order, least (X + Y) / P, of those where the op would not wait well longer.
    fn pick(&self, now: Time, op: &Op, strict: bool) -> Option<Candidate> {
        let mut found = self.candidates(now, op, strict);
        let late = |c: &Candidate| self.lateness(now, op, c.at, c.wait) > 0.0;
        let least = found.iter().map(|c| c.cost).fold(f64::INFINITY, f64::min);
        let well_over = least + self.turnover() * WELL_OVER;
        let first = found.iter().position(|c| c.cost <= well_over)?;
        // Before it is turned away an op may cross, if that costs less than it is worth; only while nodes are
        // so few that each knows of the other domains from its own traffic.
        let few = self.terms.nodes <= self.executors.len() && self.terms.cross > 0.0 && !self.overloaded;
        let far = |c: &Candidate| self.executors[c.at].domain != self.terms.domain;
        let pays = few && self.terms.cross < self.worth(op) && late(&found[first]);
        let other = if pays { found.iter().position(|c| far(c) && !late(c)) } else { None };
        Some(found.swap_remove(other.unwrap_or(first)))
    }

    /// Where the op may go, in billiard order, or in that of its key; `strict` leaves out other parts of the
    /// fleet, and those set aside, tried before or without credit.
    fn candidates(&self, now: Time, op: &Op, strict: bool) -> Vec<Candidate> {
        let category = &self.categories[op.category];
        let mut found = Vec::with_capacity(self.executors.len());
        for (at, e) in self.executors.iter().enumerate() {
            if strict && !e.mine {
                continue;
            }
            // A trial is no place for an op that must not run twice: if it fails, the op is lost.
            let doubtful = e.trial || e.missed[op.category] > 0;
            let risky =
                if self.effect(op) == Effect::AtMostOnce { doubtful } else { e.trial && e.own() > 0.0 };
            let aside = e.aside.max(self.domains[e.domain].1) > now || risky;
            let broke =
                !op.pushes.is_empty() && (e.credit < 1.0 || op.pushes.iter().any(|p| p.executor == at));
            if (strict && (aside || broke)) || e.barred[op.category] > now || !self.fits(now, op, at) {
                continue;
            }
            let first = f64::from(u8::from(at == self.fastest));
            let lagging = e.turn.max(self.front * e.share - 1.0);
            // The same executors come first for a key at every instance, each for its share of the keys.
            let drawn = (mixed(op.key ^ e.mark) >> 11) as f64 / (1u64 << 53) as f64;
            let turn = match op.key {
                _ if e.share <= 0.0 => 1e9 + e.turn,
                0 => (first + lagging) / e.share,
                _ => -drawn.max(1e-18).ln() / self.slots[e.kind] * self.paces[e.kind].exp(),
            };
            found.push(Candidate { at, wait: 0.0, cost: 0.0, turn });
        }
        // An op that must not run twice goes to who has answered here, if there is one: who has not may fail
        // all that it gets, and each of many nodes would lose ops to learn it. Few would crowd the first few.
        let proven = |c: &Candidate| self.executors[c.at].acked > 0;
        let many = self.terms.nodes > self.executors.len();
        if many && strict && self.effect(op) == Effect::AtMostOnce && found.iter().any(proven) {
            found.retain(proven);
        }
        found.sort_unstable_by(|a, b| a.turn.total_cmp(&b.turn));
        if self.terms.live_weights {
            // All nodes hear the same and would choose alike: each looks at a few, fewer the more they are.
            let few = (FEW * found.len() / self.terms.nodes).clamp(2, FEW) + found.len() / self.terms.nodes;
            let mut seen = vec![0; self.domains.len()];
            found.retain(|c| {
                seen[self.executors[c.at].domain] += 1;
                seen[self.executors[c.at].domain] <= few
            });
        }
        // Crossing counts double, for it also lands where this node hears least.
        let delay = 2.0 * self.price_as_wait(op, self.terms.cross);
        // What the op needs is likely kept by those first in its key's order; others set up for it.
        let (mut set_up, whole) = (0.0, if op.key > 0 { KEPT * self.turnover() } else { 0.0 });
        for c in &mut found {
            let e = &self.executors[c.at];
            c.wait = self.expected_wait(now, op, c.at) + set_up;
            set_up = (set_up + whole) / 2.0;
            let away = if e.domain == self.terms.domain { 0.0 } else { delay };
            // Running slower than the target latency allows for counts as waiting.
            let slow = e.pace.exp() / self.warmth(now, e) - category.stretch.max(1.0);
            let idle = e.lines > e.own() && now < e.touched + self.terms.keepalive * 9 / 10;
            let open = if idle { 0.0 } else { self.price_as_wait(op, self.terms.handshake) };
            let late =
                if self.terms.tail > 0.0 { self.lateness(now, op, c.at, c.wait).max(0.0) } else { 0.0 };
            c.cost = c.wait + away + open + late + slow.max(0.0) * self.expected(op);
        }
        found
    }

    /// The executor may get this op by the rules: listed, of its kind, in its group, not too cold.
    fn fits(&self, now: Time, op: &Op, at: usize) -> bool {
        let e = &self.executors[at];
        let category = &self.categories[op.category];
        if !e.takes() || category.kind.is_some_and(|kind| kind != e.kind) {
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
            let (warm, work) = (self.warmth(now, e), self.work(op, at));
            let room = self.cold_budget * self.slots[e.kind];
            let spans = (now - e.known) as f64 / self.cold_span as f64;
            // Nodes of other domains hardly use theirs: dealt out evenly, most of it never warms anyone.
            let domains = self.domains.len() as f64;
            let (near, priced) = (e.domain == self.terms.domain, self.terms.cross > 0.0 && domains > 1.0);
            let part = if near { NEAR } else { (1.0 - NEAR) / (domains - 1.0) };
            let part = if priced { part * domains } else { 1.0 };
            let earned = part * COLD_PART * room * (self.terms.start_share + warm) / 2.0 * spans;
            return work <= ONE_COLD_OP * room * warm && e.spent + (1.0 - e.luck) * work <= earned;
        }
        true
    }

    // ---- Estimates ----

    /// Slot time that the op would take at an executor.
    fn work(&self, op: &Op, at: usize) -> f64 {
        self.expected(op) * self.executors[at].pace.exp() * op.slots
    }

    /// Running time expected of this op on an executor of mean pace.
    fn expected(&self, op: &Op) -> f64 {
        op.base * self.learned[op.category].mean
    }

    /// The wait for a start at an executor, from own pushes there and what others hold as last heard.
    fn expected_wait(&self, now: Time, op: &Op, at: usize) -> f64 {
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
    fn turnover(&self) -> f64 {
        let sum: f64 = self.learned.iter().map(|l| l.rate * l.time()).sum();
        (sum / self.learned.iter().map(|l| l.rate).sum::<f64>().max(1e-9)).max(1.0)
    }

    /// A price as the wait that would cost as much.
    fn price_as_wait(&self, op: &Op, price: f64) -> f64 {
        let category = &self.categories[op.category];
        let useful = category.target as f64 + category.stretch * self.expected(op);
        price / self.worth(op) * useful
    }

    /// What an op is worth against the mean op, counting that its category may be the worst served.
    fn worth(&self, op: &Op) -> f64 {
        let work = |c: usize| if self.terms.by_work { self.learned[c].time().max(1e-9) } else { 1.0 };
        let value = |c: usize| self.categories[c].benefit * work(c);
        let all: f64 = self.learned.iter().map(|l| l.rate).sum();
        let mean: f64 = (0..self.learned.len()).map(|c| self.learned[c].rate / all * value(c)).sum();
        let rate = (self.learned[op.category].rate / all).max(0.01) * self.learned.len() as f64;
        let whole = value(op.category) / mean.max(1e-9);
        ((1.0 - self.terms.worst_category) * whole + self.terms.worst_category / rate).max(0.05)
    }

    /// A running time moves the executor's pace and the category's mean; one that is not over only the pace.
    fn learn(&mut self, x: usize, op: &Op, ran: f64, what: Sample) {
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

    // ---- Health, further pushes, the end of an op ----

    /// Looks after an op whose push is out: is it stuck, or would it do better elsewhere?
    fn review(&mut self, now: Time, op: &mut Op, last: usize) -> Step {
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
        if started.is_none()
            && self.categories[op.category].late <= 0.0
            && self.lateness(now, op, x, 0.0) > 0.0
        {
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
    fn may_send(&self, now: Time, op: &Op) -> bool {
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
    fn give_up(&mut self, op: &mut Op, come_back: Time) -> Step {
        op.closed = true;
        match self.effect(op) {
            Effect::AtMostOnce | Effect::Deduplicated { scope: Scope::Domain | Scope::Cell, .. }
                if op.may_have_run().is_some() =>
            {
                Step::DeadLetter
            }
            _ => Step::Nack { come_back: come_back.min(self.terms.come_back) },
        }
    }

    /// Sets an executor aside for a time partly random, so that nodes don't return together. A second one out
    /// of reach in a domain that has not answered since speaks for the whole domain.
    fn set_aside(&mut self, now: Time, x: usize, why: &str, out_of_reach: bool) {
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

    /// Enters one line of the list.
    fn enter(&mut self, now: Time, line: &Listed, paces: &[f64]) {
        while self.slots.len() <= line.kind {
            self.slots.push(self.slots.iter().copied().fold(1.0, f64::max));
        }
        self.domains.resize(self.domains.len().max(line.domain + 1), (0, 0));
        while self.executors.len() <= line.executor {
            let turn = self.chance.draw();
            let executor = Executor::new(now, turn, MOST_CREDIT, self.categories.len(), self.terms.keepalive);
            self.executors.push(executor);
        }
        let luck = self.chance.draw();
        let e = &mut self.executors[line.executor];
        // An older start is no news to one that was put back by hand, which is taken to be cold since then.
        let restarted = line.started > e.started;
        (e.active, e.domain, e.kind, e.cell) = (line.active, line.domain, line.kind, line.cell);
        (e.size, e.mark) = (e.size.max(line.weight), line.mark);
        self.peers.lists(line.mark, line.executor);
        if self.gauges.is_empty() && line.weight > 0.0 {
            // No report tells of slots: the listed sizes are all there is.
            let slots = &mut self.slots[line.kind];
            *slots += SMOOTH * (line.weight - *slots) * if *slots <= 1.0 { 1.0 / SMOOTH } else { 1.0 };
        }
        if restarted {
            e.start_over(now, line.started, luck);
        }
        e.pace = if e.samples == 0.0 { paces.get(line.kind).copied().unwrap_or(0.0) } else { e.pace };
        if self.terms.live_weights && line.weight > 0.0 && !restarted {
            let held = self.slots[e.kind] * (e.size / line.weight - 1.0);
            self.hear(now, line.executor, held, SHARED);
        }
    }

    /// Mean pace of the executors of each kind: what a new one of it starts with.
    fn kind_paces(&self) -> Vec<f64> {
        let mut sums = vec![(0.0, 0.0); self.slots.len()];
        for e in self.executors.iter().filter(|e| e.samples > 0.0) {
            sums[e.kind] = (sums[e.kind].0 + e.pace, sums[e.kind].1 + 1.0);
        }
        sums.into_iter().map(|(sum, count)| sum / f64::max(count, 1.0)).collect()
    }
}

/// Calls a push off; only its outcome decides what comes next.
fn stop(op: &mut Op, push: usize) -> Step {
    op.pushes[push].stopping = true;
    Step::Stop { push }
}

/// Equations 5 and 6 with time in mean gaps between arrivals: P = m - (sum of m - 1) sqrt(K e) / sum of
/// sqrt(K e), e = s2 + 1 + C2 - m, the rates scaled so that they sum to one over the target use; negative
/// e or P is clamped to zero and the rest renormalised. `spreads` are squared variations.
pub fn split(rates: &[f64], spreads: &[f64], costs: &[f64], s2: f64, target_use: f64) -> Vec<f64> {
    let sum: f64 = rates.iter().sum();
    if sum <= 0.0 {
        return vec![0.0; rates.len()];
    }
    let rates: Vec<f64> = rates.iter().map(|r| r / sum / target_use).collect();
    let root = |i: usize| (costs[i] * (s2 + 1.0 + spreads[i] - rates[i]).max(0.0)).sqrt();
    let roots: Vec<f64> = (0..rates.len()).map(|i| if rates[i] > 0.0 { root(i) } else { 0.0 }).collect();
    let all: f64 = roots.iter().sum();
    let spare = 1.0 / target_use - 1.0;
    let part = |i: usize| if all > 0.0 { (rates[i] - spare * roots[i] / all).max(0.0) } else { rates[i] };
    let shares: Vec<f64> = (0..rates.len()).map(part).collect();
    let total: f64 = shares.iter().sum();
    shares.iter().map(|p| p / total).collect()
}
