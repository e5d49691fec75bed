//! Troubles in simulated time: what they do to whom they meet.

use super::*;

impl Sim<'_> {
    pub(super) fn trouble(&mut self, change: Change) {
        let now = self.now;
        self.weather.turn(change);
        let trouble = self.weather.troubles[change.trouble].clone();
        self.day.ledger.weather.push((now, change.on, trouble.title.clone()));
        let met: Vec<usize> = (0..self.machines.len()).filter(|x| trouble.meets[*x]).collect();
        let nodes: Vec<usize> = (0..self.nodes.len()).filter(|node| trouble.nodes[*node]).collect();
        match (trouble.what, change.on) {
            (What::Slow | What::Hang, _) => {
                for x in met {
                    let condition = self.weather.condition(x);
                    let mut out = std::mem::take(&mut self.out);
                    self.machines[x].set(now, condition, &mut out);
                    self.happened(x, out);
                    self.lives(x);
                }
            }
            (What::SiteLost, on) => {
                for x in met {
                    if on {
                        self.kill(x);
                        self.unlist(x);
                    } else {
                        self.start(x);
                    }
                }
                nodes.into_iter().for_each(|node| self.node_trouble(node, What::NodeKilled, on));
            }
            (What::Killed | What::DomainLost, true) => {
                for x in met {
                    self.kill(x);
                    self.unlist(x);
                }
            }
            (What::Killed | What::DomainLost, false) => met.into_iter().for_each(|x| self.start(x)),
            (What::Release, true) => {
                for x in met {
                    if self.machines[x].up != Availability::Serving {
                        continue;
                    }
                    self.listed[x].active = false;
                    self.tell(false, vec![self.listed[x]]);
                    let mut out = std::mem::take(&mut self.out);
                    self.machines[x].drain(now, &mut out);
                    self.happened(x, out);
                    self.lives(x);
                }
            }
            (What::Release, false) => {
                for x in met {
                    self.kill(x);
                    self.start(x);
                }
            }
            (What::ListBackward, on) => {
                let past =
                    self.before.iter().rfind(|(at, _)| *at <= now - trouble.delay).or(self.before.first());
                let lines = if on { past.map(|p| p.1.clone()) } else { None };
                self.tell(true, lines.unwrap_or_else(|| self.listed.clone()));
            }
            (What::ListEmpty | What::ListOld, false) => {
                let then = (trouble.what == What::ListOld).then_some(now - trouble.delay);
                for replica in 0..self.replicas.len() {
                    if trouble.replica.is_none_or(|own| own == replica) {
                        self.back_with(replica, then);
                    }
                }
            }
            (What::NodeKilled | What::NodeStopped | What::NodePaused | What::NodeStarved, on) => {
                for node in nodes {
                    self.part = trouble.part;
                    self.node_trouble(node, trouble.what, on);
                }
            }
            _ => {}
        }
        if trouble.what.of_network() {
            // What was silent is reset as soon as anything passes again.
            let stuck = std::mem::take(&mut self.stuck);
            for (op, push) in stuck {
                let (node, x) = (self.tries[op].node, self.tries[op].flights[push].executor);
                let way = self.weather.way(node, self.nodes[node].domain, x, self.machines[x].spec.domain);
                if way.silent() || way.half_open {
                    self.stuck.push((op, push));
                } else {
                    self.close(op, push, false);
                    self.push_event(now + 1, node, Coming::Ended(op, push, Outcome::Reset, Vec::new()));
                }
            }
        }
    }

    pub(super) fn kill(&mut self, x: usize) {
        let mut out = std::mem::take(&mut self.out);
        self.machines[x].kill(self.now, &mut out);
        self.happened(x, out);
        self.lives(x);
        for node in 0..self.nodes.len() {
            self.idle.remove(&(node, x));
        }
        // Idle ones went with it; those of pushes are counted until they are noticed.
        self.connections[x] = 0;
        for attempt in &mut self.tries {
            attempt
                .flights
                .iter_mut()
                .filter(|flight| flight.executor == x)
                .for_each(|flight| flight.open = false);
        }
    }

    pub(super) fn start(&mut self, x: usize) {
        if self.weather.keeps_down(x)
            || self.machines[x].up == Availability::Serving
            || !self.machines[x].start(self.now)
        {
            return;
        }
        self.lives(x);
        self.day.ledger.back.push(self.now);
        (self.listed[x].active, self.listed[x].started) = (true, Some(self.now));
        self.tell(false, vec![self.listed[x]]);
    }

    pub(super) fn node_trouble(&mut self, node: usize, what: What, on: bool) {
        match (what, on) {
            (What::NodeStarved, on) => {
                let (now, part) = (self.now, self.part);
                let own = &mut self.nodes[node];
                (own.starved, own.still_until) = (on.then_some((now, part)), now);
                let spans = self.day.ledger.starved.entry(node).or_default();
                if on {
                    spans.push((now, Time::MAX));
                } else if let Some(last) = spans.last_mut() {
                    last.1 = now;
                }
            }
            (What::NodePaused, true) => self.nodes[node].held_up = Some(Vec::new()),
            (What::NodePaused, false) => {
                let held = self.nodes[node].held_up.take().unwrap_or_default();
                // Ops whose time ran out while it stood still could not be answered by anyone.
                for (op, sheet) in self.day.ledger.sheets.iter_mut().enumerate() {
                    let late = sheet.deadline <= self.now + 200 && sheet.node == node;
                    if late && self.tries[op].life == self.nodes[node].life {
                        sheet.seen.push((self.now, Saw::Released));
                    }
                }
                for event in held {
                    self.handle(Event { at: self.now, ..event });
                }
            }
            (What::NodeStopped | What::NodeKilled, true) if !self.nodes[node].up => {}
            (What::NodeStopped, true) => {
                self.front_finds_out(node);
                self.nodes[node].takes = false;
                let by = self.now + 3 * SECOND;
                self.nodes[node].ops.values_mut().for_each(|held| held.op.limit_deadline(by));
                let mut all: Vec<usize> = self.nodes[node].ops.keys().copied().collect();
                all.sort_unstable();
                for op in all {
                    if let Some(held) = self.nodes[node].ops.remove(&op) {
                        self.carry(node, op, held, None);
                    }
                }
            }
            (What::NodeKilled, true) => {
                self.front_finds_out(node);
                self.node_ends(node, true);
            }
            (_, false) => {
                if what == What::NodeStopped && self.nodes[node].up {
                    self.node_ends(node, false);
                }
                if self.weather.node_down(node) || self.nodes[node].up {
                    return;
                }
                let seed = self.chance.random();
                let policy = (self.make)(node, self.tariff(node), seed);
                let own = &mut self.nodes[node];
                own.policy = policy;
                own.gate = self.routes.clone().map(AdmissionControl::new);
                (own.up, own.starting, own.version) = (true, true, 0);
                (own.held_up, own.starved) = (None, None);
                self.boot(node);
            }
            _ => {}
        }
    }

    /// The front goes on sending clients to a node that is gone, for a while.
    fn front_finds_out(&mut self, node: usize) {
        self.nodes[node].seen_until = self.now + ms(self.plan.nodes.front_ms);
    }

    /// A node is gone: what it held is its clients' to retry, if it was killed.
    pub(super) fn node_ends(&mut self, node: usize, killed: bool) {
        let own = &mut self.nodes[node];
        (own.up, own.takes) = (false, false);
        own.life += 1;
        own.due.clear();
        own.looks.clear();
        own.timer = None;
        own.watch = None;
        let mut all: Vec<(usize, Held)> = own.ops.drain().collect();
        let mut waited: Vec<usize> = own.waiting.drain().map(|(op, _)| op).collect();
        waited.sort_unstable();
        all.sort_unstable_by_key(|(op, _)| *op);
        for op in waited {
            if killed {
                self.day.ledger.saw(op, self.now, Saw::Released);
            }
        }
        for (op, held) in all {
            if killed {
                self.day.ledger.saw(op, self.now, Saw::Released);
            }
            for (push, p) in held.op.pushes.iter().enumerate().filter(|(_, p)| p.outcome.is_none()) {
                let at = self.now + self.latency(node, p.executor);
                self.push_event(at, p.executor, Coming::Cancel(op, push));
            }
        }
        for x in 0..self.machines.len() {
            let idle = self.idle.remove(&(node, x)).map_or(0, |idle| idle.len());
            self.connections[x] = self.connections[x].saturating_sub(idle);
        }
    }
}
