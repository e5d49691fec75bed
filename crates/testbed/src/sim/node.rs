//! A node in simulated time: what it takes, decides and sends.

use super::*;

impl Sim<'_> {
    pub(super) fn arrive(&mut self, node: usize, op: usize) {
        if !self.nodes[node].up || self.tries[op].life != self.nodes[node].life {
            self.day.ledger.saw(op, self.now, Saw::Released);
            return;
        }
        let sheet = &self.day.ledger.sheets[op];
        let (category, job) = (sheet.category, sheet.job);
        let (now, tenant) = (self.now, self.day.asked[job].tenant);
        let tenant = self.plan.tenant.get(tenant).map(|tenant| tenant.name.as_str());
        let own = &mut self.nodes[node];
        let Some(gate) = &mut own.gate else { return self.open(node, op, None) };
        let path = self.plan.category[category].path.as_deref().unwrap_or("/api/job");
        let header = |name: &str| (name == "x-tenant").then_some(tenant)?;
        let request = Request { path, method: "POST", category, tenant, header: &header };
        match gate.admit(now, op as u64, &request) {
            Admission::Admitted(pass) => self.open(node, op, Some(Box::new(pass))),
            Admission::Queued(pass, until) => {
                own.waiting.insert(op, Box::new(pass));
                self.push_event(until, node, Coming::WaitOver(op));
            }
            Admission::Rejected(back) => self.turn_away(op, back),
        }
    }

    pub(super) fn turn_away(&mut self, op: usize, back: Time) {
        let back = back.min(ms(self.plan.fleet.come_back_ms));
        self.push_event(self.now + DOOR, 0, Coming::Answer(op, Answer::Nacked(back)));
    }

    pub(super) fn wait_over(&mut self, node: usize, op: usize) {
        if let Some(mut pass) = self.nodes[node].waiting.remove(&op) {
            self.free(node, op, &mut pass);
            self.turn_away(op, SECOND / 5);
            self.admit(node);
        }
    }

    pub(super) fn free(&mut self, node: usize, op: usize, pass: &mut Permit) {
        let next = pass.release(self.now, op as u64);
        self.nodes[node].admitted.extend(next.map(|op| op as usize));
    }

    /// Ops that have a place now are asked of the policy.
    pub(super) fn admit(&mut self, node: usize) {
        while let Some(op) = self.nodes[node].admitted.pop_front() {
            if let Some(pass) = self.nodes[node].waiting.remove(&op) {
                self.open(node, op, Some(pass));
            }
        }
    }

    pub(super) fn turn_routes(&mut self) {
        let table = self.next_routes[self.turned % self.next_routes.len()].clone();
        self.turned += 1;
        self.nodes
            .iter_mut()
            .filter_map(|node| node.gate.as_mut())
            .for_each(|gate| gate.replace_table(table.clone()));
        if self.now < seconds(self.plan.seconds) {
            self.push_event(self.now + self.reload_every(), 0, Coming::Routes);
        }
    }

    pub(super) fn open(&mut self, node: usize, op: usize, pass: Option<Box<Permit>>) {
        let sheet = &self.day.ledger.sheets[op];
        let own = &self.plan.category[sheet.category];
        let mut deadline = sheet.deadline;
        let mut limits = Limits::default();
        if let Some(pass) = &pass {
            limits = pass.limits;
            deadline = deadline.min(sheet.asked.saturating_add(pass.op_timeout));
        }
        let hint = self.day.asked[sheet.job].hint;
        let ask = OpRequest {
            category: sheet.category,
            slots: own.slots,
            memory: own.memory,
            hint,
            deadline,
            limits,
            tenant: 0,
            key: 0,
        };
        let held = Held { op: self.nodes[node].policy.arrive(self.now, ask), pass };
        self.push_event(deadline + 100, node, Coming::Overdue(op));
        self.carry(node, op, held, None);
    }

    /// Carries out steps until there is nothing left to do for the op now, and keeps it.
    pub(super) fn carry(&mut self, node: usize, op: usize, mut held: Held, first: Option<Step>) {
        let now = self.now;
        held.budget(now);
        let mut step = first.unwrap_or_else(|| self.place(node, &mut held.op));
        loop {
            match step {
                Step::Push { executor } => {
                    let category = &self.tariff(node).categories[held.op.category];
                    let effect = held.op.limits.effect.unwrap_or(category.effect);
                    let leave_by = self.nodes[node].policy.leave_by(&held.op, effect);
                    if let Some(pass) = &mut held.pass {
                        pass.record_push(now);
                    }
                    self.send(node, op, executor, leave_by);
                }
                Step::Cancel { push } => {
                    self.stop(op, push);
                    held.budget(now);
                    step = self.settle(node, &mut held.op, push, Outcome::Cancelled, &[]);
                    continue;
                }
                Step::Nack { retry_after } => {
                    self.push_event(now + DOOR, 0, Coming::Answer(op, Answer::Nacked(retry_after)))
                }
                Step::DeadLetter => self.push_event(now + DOOR, 0, Coming::Answer(op, Answer::DeadLettered)),
                Step::Wait => break,
            }
            held.budget(now);
            step = self.place(node, &mut held.op);
        }
        self.take_log(node);
        self.post(node);
        let own = &mut self.nodes[node];
        if let Some(old) = own.looks.remove(&op) {
            own.due.remove(&(old, op));
        }
        if !held.op.closed {
            let look = own.policy.wait(now, &held.op);
            own.looks.insert(op, look);
            own.due.insert((look, op));
        }
        if !held.op.closed || held.op.out() {
            own.ops.insert(op, held);
        } else if let Some(mut pass) = held.pass {
            self.free(node, op, &mut pass);
            self.push_event(now, node, Coming::Due);
        }
        self.arm(node);
    }

    /// Sees to it that the node is woken at its next due time.
    pub(super) fn arm(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        let Some((at, _)) = own.due.first().copied() else { return };
        if own.timer.is_none_or(|timer| at < timer) {
            own.timer = Some(at);
            self.push_event(at, node, Coming::Due);
        }
    }

    pub(super) fn due(&mut self, node: usize) {
        self.nodes[node].timer = None;
        self.admit(node);
        while let Some((at, op)) = self.nodes[node].due.first().copied().filter(|due| due.0 <= self.now) {
            self.nodes[node].due.remove(&(at, op));
            self.nodes[node].looks.remove(&op);
            if let Some(held) = self.nodes[node].ops.remove(&op) {
                self.carry(node, op, held, None);
            }
        }
        self.arm(node);
    }

    pub(super) fn place(&mut self, node: usize, held: &mut Op) -> Step {
        let truth = truth(self.plan, &self.machines, &self.weather, node);
        self.nodes[node].policy.place(self.now, held, &truth)
    }

    pub(super) fn settle(
        &mut self,
        node: usize,
        held: &mut Op,
        push: usize,
        outcome: Outcome,
        values: &[f64],
    ) -> Step {
        let truth = truth(self.plan, &self.machines, &self.weather, node);
        self.nodes[node].policy.settle(self.now, held, push, outcome, values, &truth)
    }

    pub(super) fn take_log(&mut self, node: usize) {
        for line in self.nodes[node].policy.log() {
            if self.day.log.len() < 1000 {
                self.day.log.push(format!("{:.1} ms, node {node}: {line}", self.now as f64 / 10.0));
            }
        }
    }

    pub(super) fn ended(&mut self, node: usize, op: usize, push: usize, outcome: Outcome, values: &[f64]) {
        let Some(mut held) = self.nodes[node].ops.remove(&op) else { return };
        if held.op.pushes.get(push).is_none_or(|p| p.outcome.is_some()) {
            self.nodes[node].ops.insert(op, held);
            return;
        }
        if let Some(pass) = held.pass.as_ref().filter(|_| outcome == Outcome::Acked) {
            pass.record_run_time(self.now - self.tries[op].flights[push].sent);
        }
        held.budget(self.now);
        if outcome == Outcome::Acked && !held.op.closed {
            self.push_event(self.now + DOOR, 0, Coming::Answer(op, Answer::Acked));
        }
        let step = self.settle(node, &mut held.op, push, outcome, values);
        self.carry(node, op, held, Some(step));
    }

    /// Nobody waits any more; what is still out has timed out.
    pub(super) fn overdue(&mut self, op: usize) {
        let node = self.tries[op].node;
        if let Some(held) = self.nodes[node].ops.get(&op) {
            let out: Vec<usize> =
                (0..held.op.pushes.len()).filter(|push| held.op.pushes[*push].outcome.is_none()).collect();
            for push in out {
                self.ended(node, op, push, Outcome::TimedOut, &[]);
            }
        }
    }

    pub(super) fn hear_list(&mut self, node: usize, version: u64, whole: bool, lines: &[ListedExecutor]) {
        let own = &mut self.nodes[node];
        // A node that is down hears nothing; an older version than it knows is left out.
        if !own.up || version < own.version {
            return;
        }
        own.version = version;
        own.policy.list(self.now, whole, lines);
        if own.starting && lines.iter().any(|line| line.active) {
            (own.starting, own.takes, own.seen_until) = (false, true, Time::MAX);
            self.day.ledger.back.push(self.now);
            self.day.ledger.starts.entry(node).or_default().push(self.now);
        }
        for line in lines {
            self.day.ledger.told(node, line.executor, self.now, line.active);
            if let Some(started) = line.started {
                self.day.ledger.told_start(node, line.executor, self.now, started);
            }
        }
    }

    /// Until when a node that gets only a part of its time stands still, if it does. Short spells: from a fiftieth to a
    /// twelfth of a second, with so much between them that it gets its part.
    pub(super) fn stands_still(&mut self, node: usize) -> Option<Time> {
        let (from, part) = self.nodes[node].starved?;
        let now = self.now;
        if now < from {
            return None;
        }
        if now >= self.nodes[node].still_until {
            let still: Time = self.chance.random_range(200..800);
            let runs = (still as f64 * part / (1.0 - part).max(0.01)).max(1.0) as Time;
            let own = &mut self.nodes[node];
            own.still_until = now + still;
            own.starved = Some((now + still + runs, part));
        }
        let own = &self.nodes[node];
        (now < own.still_until).then_some(own.still_until)
    }

    /// Carries the messages that a node has for others.
    pub(super) fn post(&mut self, node: usize) {
        for letter in self.nodes[node].policy.letters() {
            let text = Rc::new(letter.text);
            for to in (0..self.nodes.len()).filter(|to| *to != node && letter.to.is_none_or(|own| own == *to))
            {
                let (at, there) = (self.nodes[node].domain, self.nodes[to].domain);
                let way = self.weather.between_nodes((node, at), (to, there));
                if way.shut_there || (way.loss > 0.0 && self.chance.random_bool(way.loss)) {
                    continue;
                }
                let lat = if at == there { self.plan.fleet.near_ms } else { self.plan.fleet.far_ms };
                let arrives = self.now + ms(lat).max(1) + way.delay;
                self.push_event(arrives, to, Coming::Letter(node, text.clone()));
            }
        }
    }
}
