//! Inputs of the dispatcher: arriving ops, the executor list, progress notes and load reports of pushes, messages of peers.

use super::{estimate::Sample, *};
use crate::peers::PeerUpdate;

const BROADCAST_REPORT_WEIGHT: f64 = 0.6; // weight of a report that all instances get at once, as all would react to it alike
const MESSAGE_INTERVAL: Time = SECOND / 10; // shortest interval between messages to peers
const MESSAGES_PER_OP: f64 = 12.0; // limit of messages to peers per own op
const TENANT_RATE_WINDOW: f64 = 4.0 * SECOND as f64; // time constant in which a tenant's arrival rate decays

impl Dispatcher {
    /// Opens an op for a request; the request's `hint` is its expected work, where the client gives one.
    pub fn arrive(&mut self, now: Time, request: OpRequest) -> Op {
        let mut surplus = false;
        self.decay_tenant_rates(now);
        if let Some(last) = self.last_arrival {
            let gap = (now - last) as f64;
            let gain = if self.mean_gap == 0.0 { 1.0 } else { EWMA_GAIN / 4.0 };
            self.mean_gap += gain * (gap - self.mean_gap);
            self.mean_square_gap += gain * (gap * gap - self.mean_square_gap);
        }
        self.last_arrival = Some(now);
        if let Some(rate) = self.tenant_rates.get_mut(request.tenant) {
            *rate += SECOND as f64 / TENANT_RATE_WINDOW;
            surplus = self.rng.draw() >= self.fraction_within_quota(request.tenant);
        }
        self.slots_per_op += EWMA_GAIN / 4.0 * (request.slots - self.slots_per_op);
        for (category, learned) in self.learned.iter_mut().enumerate() {
            let hit = f64::from(u8::from(category == request.category));
            learned.fraction += EWMA_GAIN / 4.0 * (hit - learned.fraction);
        }
        let work = request.hint.map_or(1.0, |hint| hint.max(1) as f64);
        let learned = &mut self.learned[request.category];
        if request.hint.is_none() && learned.samples == 0.0 {
            learned.mean = self.categories[request.category].target as f64;
        }
        learned.work += if learned.work == 0.0 { work } else { EWMA_GAIN / 4.0 * (work - learned.work) };
        Op {
            category: request.category,
            // An executor has one unit of memory per slot, so the scarcer of the two is the op's width.
            slots: request.slots.max(request.memory),
            work,
            arrived_at: now,
            deadline: request.deadline,
            limits: request.limits,
            key: request.key,
            surplus,
            ..Op::default()
        }
    }

    /// Updates the executor list; `complete` replaces all that was known.
    pub fn list(&mut self, now: Time, complete: bool, entries: &[ListedExecutor]) {
        if std::mem::take(&mut self.consecutive_rejections) > 0 {
            self.log.push("list: subscribed again".to_string());
        }
        self.subscribe_at = if self.subscribe_at > 0 { Time::MAX } else { 0 };
        if complete {
            self.executors.iter_mut().for_each(|e| e.active = false);
        }
        let paces = self.kind_paces();
        entries.iter().for_each(|entry| self.update_executor(now, entry, &paces));
        self.assign_partitions();
        self.solved_at = None;
    }

    /// Updates one executor from its entry in the list.
    fn update_executor(&mut self, now: Time, entry: &ListedExecutor, paces: &[f64]) {
        while self.slots.len() <= entry.kind {
            self.slots.push(self.slots.iter().copied().fold(1.0, f64::max));
        }
        self.domains.resize(self.domains.len().max(entry.domain + 1), (0, 0));
        while self.executors.len() <= entry.executor {
            let turn = self.rng.draw();
            let executor = Executor::new(now, turn, MAX_CREDIT, self.categories.len(), self.terms.keepalive);
            self.executors.push(executor);
        }
        let draw = self.rng.draw();
        let e = &mut self.executors[entry.executor];
        // An older start doesn't count for an executor that an operator enabled again: it counts as cold since then.
        let restarted = entry.started > e.started;
        (e.active, e.domain, e.kind, e.cell) = (entry.active, entry.domain, entry.kind, entry.cell);
        (e.size, e.name_hash) = (e.size.max(entry.weight), entry.name_hash);
        self.peers.add_executor(entry.name_hash, entry.executor);
        if self.gauges.is_empty() && entry.weight > 0.0 {
            // No load report gives the slots, so the listed sizes are the only source.
            let slots = &mut self.slots[entry.kind];
            *slots += EWMA_GAIN * (entry.weight - *slots) * if *slots <= 1.0 { 1.0 / EWMA_GAIN } else { 1.0 };
        }
        if restarted {
            e.restart(now, entry.started, draw);
        }
        e.pace = if e.samples == 0.0 { paces.get(entry.kind).copied().unwrap_or(0.0) } else { e.pace };
        if self.terms.live_weights && entry.weight > 0.0 && !restarted {
            let held = self.slots[e.kind] * (e.size / entry.weight - 1.0);
            self.record_load(now, entry.executor, held, BROADCAST_REPORT_WEIGHT);
        }
    }

    /// Handles a failed call to the list service: subscribes again after a random wait, longer with more instances. Where the service
    /// rejected the call for lack of capacity (`turned_away`) the wait doubles each time in a row, until all instances together call about
    /// twice a second: rejected calls take capacity too, and without that limit no call would get through.
    pub fn list_call_failed(&mut self, now: Time, turned_away: bool) {
        self.consecutive_rejections = if turned_away { (self.consecutive_rejections + 1).min(8) } else { 0 };
        let nodes = self.terms.nodes as Time;
        let least = SECOND * (100 + nodes) / 100;
        let spread = (least << self.consecutive_rejections).min(least.max(SECOND * nodes / 2)) as f64;
        self.subscribe_at = now + SECOND / 4 + (self.rng.draw() * spread) as Time;
        self.log.push("list: call refused, will subscribe again".to_string());
    }

    /// Records that a push has started or made progress; `done` is the fraction of its work done, where that is reported.
    pub fn note(&mut self, now: Time, op: &mut Op, push: usize, start: bool, done: f64) {
        let Some(p) = op.pushes.get_mut(push).filter(|p| p.outcome.is_none()) else { return };
        let first = p.started == Some(p.noted_at);
        p.noted_at = now;
        if let Some(started) = p.started.filter(|_| !start && first && done > 0.0) {
            // The first progress note gives the pace long before the end, so a slowed executor shows at once.
            let (x, ran) = (p.executor, (now - started) as f64 / done);
            self.record_running_time(x, op, ran, Sample::Projected);
        }
        let p = &mut op.pushes[push];
        if !start || p.started.replace(now).is_some() {
            return;
        }
        let learned = &mut self.learned[op.category];
        learned.expected_wait += EWMA_GAIN * (p.expected_wait - learned.expected_wait);
        learned.observed_wait += EWMA_GAIN * ((now - p.sent) as f64 - learned.observed_wait);
        let e = &mut self.executors[p.executor];
        e.unstarted[op.category] /= 2; // halved, not cleared: one start among several missed ones does not prove recovery
        e.running += op.slots;
        // The executor had a free slot just now, so others can't use the rest of its slots and have a queue as well.
        let slots = self.slots[e.kind].max(e.running);
        self.slots[e.kind] = slots;
        if now - p.sent < self.terms.tick * 4 {
            (e.other_slots, e.reported_at) = (e.other_slots.min(slots - e.running), now);
        }
    }

    /// Takes in a load report of an executor.
    pub fn report(&mut self, now: Time, executor: usize, values: &[f64]) {
        if values.is_empty() || values.len() != self.gauges.len() {
            return;
        }
        let gauge = |what| self.gauges.iter().position(|g| *g == what).map(|at| values[at]);
        let kind = self.executors[executor].kind;
        if let Some(free) = gauge(Gauge::FreeSlots) {
            // Running and free slots add up to all slots. Else the most ever free count: raised fast, lowered only from near the top.
            let slots = self.slots[kind];
            let (seen, gain) = match (gauge(Gauge::Held), gauge(Gauge::Waiting)) {
                (Some(h), Some(w)) => ((free + h - w).max(1.0), if slots > 1.0 { EWMA_GAIN } else { 1.0 }),
                _ if free > slots => (free, 3.0 * EWMA_GAIN),
                _ => (free, if free > 0.8 * slots { EWMA_GAIN / 4.0 } else { 0.0 }),
            };
            self.slots[kind] += gain * (seen - slots);
        }
        let slots = self.slots[kind];
        let held = match (gauge(Gauge::FreeSlots), gauge(Gauge::Waiting), gauge(Gauge::Held)) {
            // A queue behind free slots waits for a wide op at its head, so other ops can't start either.
            (Some(_), Some(waiting), _) if waiting >= 0.5 => slots + waiting * self.slots_per_op,
            (_, _, Some(held)) => held * self.slots_per_op,
            (Some(free), _, _) => slots - free,
            _ => gauge(Gauge::Busy).map_or(0.0, |busy| busy * slots),
        };
        self.record_load(now, executor, held, 1.0);
    }

    /// Records the slots in use at an executor as just reported, less this instance's own, which it knows more exactly.
    fn record_load(&mut self, now: Time, executor: usize, held: f64, report_weight: f64) {
        let e = &mut self.executors[executor];
        let mean = if e.mean_others < 0.0 { self.other_load * self.slots[e.kind] } else { e.mean_others };
        (e.other_slots, e.reported_at, e.report_weight) = ((held - e.in_use()).max(0.0), now, report_weight);
        e.mean_others = mean + 2.0 * EWMA_GAIN * (e.other_slots - mean);
        self.other_load += EWMA_GAIN / 4.0 * (e.other_slots / self.slots[e.kind].max(1.0) - self.other_load);
    }

    /// Periodic work, to be called every `UPKEEP_INTERVAL`; returns whether to subscribe to the executor list now.
    pub fn upkeep(&mut self, now: Time) -> bool {
        let observe = self.terms.subscribe && now >= self.subscribe_at;
        if observe {
            self.subscribe_at = now + 5 * SECOND; // next attempt if no answer comes: a lost call must not leave the list stale
        }
        let expired = self.peers.expire_silent_peers(now);
        self.apply_peer_updates(now, expired);
        self.decay_tenant_rates(now);
        self.queue_peer_messages(now);
        observe
    }

    /// Queues messages to peers: slots that this instance uses where that changed, categories that it blocked, and its tenants' rates. They
    /// hold only what it did or saw itself; each receiver decides on its own, and no rule depends on a message.
    pub(super) fn queue_peer_messages(&mut self, now: Time) {
        let of = |x: usize| (self.executors[x].name_hash, self.executors[x].in_use());
        // With a message per push, hundreds of instances with few ops each would get more messages than ops.
        let peers = (self.terms.nodes / self.partitions) as f64;
        let period = (peers * self.mean_gap / MESSAGES_PER_OP).clamp(MESSAGE_INTERVAL as f64, SECOND as f64);
        self.outgoing.extend(self.peers.due_messages(now, period as Time, &self.tenant_rates, of));
    }

    /// Takes in a message of a peer.
    pub fn receive_message(&mut self, now: Time, from: usize, message: &[u8]) {
        let updates = self.peers.receive(now, from, message);
        self.apply_peer_updates(now, updates);
    }

    /// Sets how many instances are likely alive and how many may be sending. The warm-up budget of a cold executor is divided by the second
    /// number, as an unreachable instance still uses its part.
    pub fn set_fleet_size(&mut self, likely: usize, safe: usize) {
        self.terms.nodes = likely.max(1);
        self.warmup_budget_period = self.terms.tip_after * safe.max(likely).max(1) as Time;
    }

    fn apply_peer_updates(&mut self, now: Time, updates: Vec<PeerUpdate>) {
        for update in updates {
            match update {
                PeerUpdate::Blocked(x, category) => self.block(now, x, category, false),
                PeerUpdate::Held(x, more) => {
                    self.executors[x].peer_load += more;
                    let held = self.executors[x].peer_load + self.executors[x].in_use();
                    self.record_load(now, x, held, 1.0);
                }
            }
        }
    }

    /// Decays tenants' rates also while nothing arrives; otherwise peers would keep counting the old rates.
    fn decay_tenant_rates(&mut self, now: Time) {
        let gap = (now - std::mem::replace(&mut self.rates_decayed_at, now)) as f64;
        self.tenant_rates.iter_mut().for_each(|rate| *rate *= (-gap / TENANT_RATE_WINDOW).exp());
    }

    /// The fraction of a tenant's ops that is within its quota, by the rates known here and from peers.
    fn fraction_within_quota(&self, tenant: usize) -> f64 {
        let all = self.peers.rate(tenant, self.tenant_rates[tenant]).filter(|_| self.terms.surplus < 1.0);
        all.map_or(1.0, |all| self.quotas[tenant] / all.max(1e-9))
    }
}
