//! Executors in simulated time.

use super::*;

impl Sim<'_> {
    pub(super) fn id(op: usize, push: usize) -> u64 {
        (op as u64) << 16 | push as u64
    }

    pub(super) fn reach(&mut self, op: usize, push: usize) {
        let now = self.now;
        let (node, x) = (self.tries[op].node, self.tries[op].flights[push].executor);
        if self.tries[op].flights[push].called_off {
            return;
        }
        let lat = self.latency(node, x);
        if !self.machines[x].takes() || !self.tries[op].flights[push].open {
            // It died while the push was on its way, and may be back already: the connection broke before the last
            // byte.
            self.close(op, push, false);
            self.push_event(now + lat, node, Coming::Ended(op, push, Outcome::Cut, Vec::new()));
            return;
        }
        let sheet = &self.day.ledger.sheets[op];
        let (job, category) = (sheet.job, sheet.category);
        let own = &self.plan.category[category];
        let whole = self.day.asked[job].work;
        let saved = self.saved.get(&job).copied().unwrap_or(0.0);
        let fails = self.weather.failing(x, category);
        let task = Job {
            id: Sim::id(op, push),
            slots: own.slots,
            memory: own.memory,
            work: whole * (1.0 - saved),
            whole,
            priority: own.priority,
            redeliverable: own.effect == crate::plan::EffectName::Redeliverable,
            fails: fails > 0.0 && self.chance.random_bool(fails),
        };
        self.day.ledger.saw(op, now, Saw::Pushed(x));
        let spoilt = self.weather.spoilt(x, category);
        if spoilt > 0.0 && self.chance.random_bool(spoilt) {
            self.tries[op].flights[push].reset = true;
        }
        if self.tries[op].flights[push].reset {
            // Read whole, and its connection broken before the answer.
            self.push_event(now + lat, node, Coming::Ended(op, push, Outcome::Reset, Vec::new()));
            self.push_event(now + 10, x, Coming::Cancel(op, push));
        }
        let mut out = std::mem::take(&mut self.out);
        self.machines[x].take(now, task, &mut out);
        self.happened(x, out);
    }

    pub(super) fn call_off(&mut self, op: usize, push: usize) {
        let flight = &mut self.tries[op].flights[push];
        flight.called_off = true;
        let x = flight.executor;
        if !flight.open {
            return;
        }
        self.close(op, push, false);
        let mut out = std::mem::take(&mut self.out);
        self.machines[x].cancel(self.now, Sim::id(op, push), &mut out);
        self.day.ledger.saw(op, self.now, Saw::GivenUp(x));
        self.happened(x, out);
    }

    /// Tells nodes and judge what happened at an executor, and sets its next wake-up.
    pub(super) fn happened(&mut self, x: usize, mut out: Vec<ExecutorEvent>) {
        let now = self.now;
        for happening in out.drain(..) {
            if happening.is_handshake() {
                continue;
            }
            let (id, end, outcome) = match happening {
                ExecutorEvent::Fallen => {
                    self.day.ledger.falls.push(Fall { executor: x, at: now });
                    self.lives(x);
                    self.unlist(x);
                    continue;
                }
                ExecutorEvent::Started(id) => {
                    self.day.ledger.saw((id >> 16) as usize, now, Saw::Began(x));
                    if self.plan.fleet.tells_start {
                        self.back(id, None, |op, push| Coming::Note(op, push, true));
                    }
                    continue;
                }
                ExecutorEvent::Progress(id, _) => {
                    self.back(id, None, |op, push| Coming::Note(op, push, false));
                    continue;
                }
                ExecutorEvent::Done(id) => (id, End::Done, Outcome::Acked),
                ExecutorEvent::Failed(id) => (id, End::Failed, Outcome::Error),
                ExecutorEvent::Returned(id) => (id, End::Returned, Outcome::Full),
                ExecutorEvent::Lost(id, done) => {
                    let sheet = &self.day.ledger.sheets[(id >> 16) as usize];
                    let own = &self.plan.category[sheet.category];
                    let step = ms(self.plan.fleet.saved_ms) as f64;
                    if step > 0.0 && own.effect == crate::plan::EffectName::Redeliverable {
                        let whole = self.day.asked[sheet.job].work;
                        let kept = (done * whole / step).floor() * step / whole;
                        self.saved.insert(sheet.job, kept.clamp(0.0, 1.0));
                    }
                    (id, End::Lost, Outcome::Reset)
                }
            };
            let op = (id >> 16) as usize;
            self.day.ledger.saw(op, now, Saw::Ended(x, end));
            let values = self.machines[x].report(&self.plan.fleet.report.gauges);
            self.back(id, Some(outcome), |op, push| Coming::Ended(op, push, outcome, values));
        }
        self.out = out;
        self.wake[x] += 1;
        if let Some(next) = self.machines[x].next() {
            let wake = self.wake[x];
            self.push_event(next.max(self.now + 1), x, Coming::ExecutorModel(wake));
        }
    }

    /// Something goes back from an executor to the node of a push, if anything still passes.
    pub(super) fn back(
        &mut self,
        id: u64,
        outcome: Option<Outcome>,
        what: impl FnOnce(usize, usize) -> Coming,
    ) {
        let (op, push) = ((id >> 16) as usize, (id & 0xffff) as usize);
        let node = self.tries[op].node;
        let flight = &self.tries[op].flights[push];
        let (x, cut) = (flight.executor, flight.reset || flight.called_off || !flight.open);
        let domain = self.machines[x].spec.domain;
        let way = self.weather.way(node, self.nodes[node].domain, x, domain);
        if cut || self.tries[op].life != self.nodes[node].life {
            return;
        }
        if way.shut_back {
            if outcome.is_some() {
                self.stuck.push((op, push));
            }
            return;
        }
        if let Some(outcome) = outcome {
            self.close(op, push, outcome != Outcome::Reset);
        }
        let again = self.sent_again(&way);
        let at = self.now + self.latency(node, x) + way.delay + again;
        self.push_event(at, node, what(op, push));
    }

    /// Enters what an executor is from now on.
    pub(super) fn lives(&mut self, x: usize) {
        let machine = &self.machines[x];
        let (up, started, halted) = (machine.up, machine.started, self.weather.condition(x).halted);
        self.day.ledger.lives[x].push(Life { at: self.now, up, started, halted });
    }

    /// A new connection costs the executor work.
    pub(super) fn open_connection(&mut self, x: usize) {
        let work = ms(self.plan.fleet.handshake_work_ms) as f64;
        if work > 0.0 {
            let mut out = std::mem::take(&mut self.out);
            self.machines[x].open_connection(self.now, work, &mut out);
            self.happened(x, out);
        }
    }
}
