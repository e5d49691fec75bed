//! A day in simulated time: many nodes and executors in one process, one event after the other. The same plan and
//! seed give the same day, whatever else runs beside it.

use crate::faults::{Change, Weather};
use crate::fleet::{chance, ms, seconds, specs, Happening, Job, Machine, Up};
use crate::judge::{Answer, End, Fall, Ledger, Saw};
use crate::load::{Asked, Source};
use crate::plan::{Plan, What};
use crate::policy::{Policy, Truth};
use crate::settings::{domain_of_node, settings};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use stileroute::choice::UPKEEP;
use stileroute::posted::Posted;
use stileroute::tariff::{Ask, Limits, Listed, Op, Outcome, Step, Tariff, Time, SECOND};
use stileroute_routes::gate::{Entry, Gate, Pass};
use stileroute_routes::pattern::Request;
use stileroute_routes::table::Table;

/// Who decides at a node, made anew at each start of it, from its settings and a seed.
pub type Maker<'a> = &'a dyn Fn(usize, &Tariff, u64) -> Box<dyn Policy>;

/// What a day leaves behind.
pub struct Day {
    pub ledger: Ledger,
    pub asked: Vec<Asked>,
    /// Pushes that the solved fractions would have given each executor; all zero for who solves none.
    pub meant: Vec<f64>,
    /// Pushes to executors that were cold, or that did not serve at all.
    pub to_cold: u64,
    pub to_gone: u64,
    pub crossed: u64,
    pub events: u64,
    /// Lines that the policies logged, in order, the first thousand.
    pub log: Vec<String>,
}

/// Between a client and its node.
const DOOR: Time = 1;
/// A request's bytes, for resets and dribbling.
const REQUEST: usize = 400;

enum Coming {
    Arrival,
    Retry(usize),
    /// At a node.
    Ask(usize),
    Note(usize, usize, bool),
    Ended(usize, usize, Outcome, Vec<f64>),
    News(u64, bool, Rc<Vec<Listed>>),
    Due,
    Upkeep,
    /// An op has waited for a place as long as it may.
    WaitOver(usize),
    /// The operators' file is replaced.
    Routes,
    /// At an executor.
    Push(usize, usize),
    Cancel(usize, usize),
    Machine(u64),
    Answer(usize, Answer),
    Overdue(usize),
    Trouble(Change),
    Weights,
    Second,
}

struct Event {
    at: Time,
    order: u64,
    /// Node or executor, where there is one.
    who: usize,
    what: Coming,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        self.order == other.order
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// An op in hand with what routes let it do.
struct Held {
    op: Op,
    pass: Option<Box<Pass>>,
}

impl Held {
    fn budget(&mut self, now: Time) {
        if let Some(pass) = &self.pass {
            self.op.limits.over_budget = pass.over_budget(now);
        }
    }
}

struct Node {
    policy: Box<dyn Policy>,
    domain: usize,
    gate: Option<Gate>,
    waiting: HashMap<usize, Box<Pass>>,
    admitted: VecDeque<usize>,
    ops: HashMap<usize, Held>,
    due: BTreeSet<(Time, usize)>,
    looks: HashMap<usize, Time>,
    timer: Option<Time>,
    version: u64,
    news_by: Time,
    up: bool,
    takes: bool,
    /// What has come while it stands still.
    held_up: Option<Vec<Event>>,
    life: u64,
    /// Pushes in this second.
    pushed: f64,
}

/// One push on its way or at its executor.
struct Flight {
    executor: usize,
    sent: Time,
    arrives: Time,
    called_off: bool,
    /// Its connection, while it counts at the executor.
    open: bool,
    reset: bool,
}

#[derive(Default)]
struct Try {
    node: usize,
    life: u64,
    flights: Vec<Flight>,
}

pub struct Sim<'a> {
    plan: &'a Plan,
    make: Maker<'a>,
    now: Time,
    order: u64,
    events: BinaryHeap<Reverse<Event>>,
    nodes: Vec<Node>,
    tariffs: Vec<Tariff>,
    machines: Vec<Machine>,
    /// Of each executor: the latest wake-up that counts, connections, what the list says of it.
    wake: Vec<u64>,
    connections: Vec<usize>,
    listed: Vec<Listed>,
    before: Vec<(Time, Vec<Listed>)>,
    version: u64,
    idle: HashMap<(usize, usize), Vec<Time>>,
    tries: Vec<Try>,
    /// Work saved of a job, by its number.
    saved: HashMap<usize, f64>,
    stuck: Vec<(usize, usize)>,
    weather: Weather,
    source: Source,
    chance: Pcg64Mcg,
    out: Vec<Happening>,
    /// Routes in force, and those that replace them, turn by turn.
    routes: Option<Arc<Table>>,
    next_routes: Vec<Arc<Table>>,
    turned: usize,
    day: Day,
}

impl<'a> Sim<'a> {
    pub fn new(plan: &'a Plan, seed: u64, make: Maker<'a>) -> Result<Sim<'a>, String> {
        let specs = specs(plan, seed);
        let (weather, changes) = Weather::new(plan, &specs, seed);
        let source = Source::new(plan, &specs, seed);
        let mut chance = chance(seed, 2);
        let [least, most] = plan.fleet.report.refresh_ms;
        let cold = plan.fleet.cold.at_start;
        let started = cold.then_some(0);
        let mut machines = Vec::new();
        for spec in &specs {
            let refresh = ms(chance.random_range(least..=most));
            machines.push(Machine::new(plan, spec.clone(), refresh, started));
        }
        let line = |x: usize| Listed {
            mark: 0,
            executor: x,
            domain: specs[x].domain,
            kind: specs[x].kind,
            cell: specs[x].cell,
            active: true,
            weight: 1.0,
            started,
        };
        let listed: Vec<Listed> = (0..specs.len()).map(line).collect();
        let mut tariffs = Vec::new();
        for domain in 0..plan.fleet.domains.len() {
            let posted: Posted = serde_json::from_value(settings(plan, domain)).map_err(|e| e.to_string())?;
            tariffs.push(posted.tariff()?);
        }
        let (routes, next_routes) = crate::settings::routes(plan)?;
        let day = Day {
            ledger: Ledger {
                groups: specs.iter().map(|spec| (spec.domain, spec.cell)).collect(),
                ..Ledger::default()
            },
            asked: Vec::new(),
            meant: vec![0.0; specs.len()],
            to_cold: 0,
            to_gone: 0,
            crossed: 0,
            events: 0,
            log: Vec::new(),
        };
        let mut sim = Sim {
            plan,
            make,
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            nodes: Vec::new(),
            tariffs,
            wake: vec![0; machines.len()],
            connections: vec![0; machines.len()],
            machines,
            before: vec![(0, listed.clone())],
            listed,
            version: 1,
            idle: HashMap::new(),
            tries: Vec::new(),
            saved: HashMap::new(),
            stuck: Vec::new(),
            weather,
            source,
            chance,
            out: Vec::new(),
            routes,
            next_routes,
            turned: 0,
            day,
        };
        for node in 0..plan.nodes.count {
            let domain = domain_of_node(plan, node);
            let seed = sim.chance.random();
            sim.nodes.push(Node {
                policy: make(node, &sim.tariffs[domain], seed),
                domain,
                gate: sim.routes.clone().map(Gate::new),
                waiting: HashMap::new(),
                admitted: VecDeque::new(),
                ops: HashMap::new(),
                due: BTreeSet::new(),
                looks: HashMap::new(),
                timer: None,
                version: 0,
                news_by: 0,
                up: true,
                takes: true,
                held_up: None,
                life: 0,
                pushed: 0.0,
            });
            sim.boot(node);
            let phase = sim.chance.random_range(0..UPKEEP);
            sim.push_event(phase, node, Coming::Upkeep);
        }
        for change in changes {
            sim.push_event(change.at, 0, Coming::Trouble(change));
        }
        if plan.fleet.list.live_weights_s > 0.0 {
            sim.push_event(0, 0, Coming::Weights);
        }
        if !sim.next_routes.is_empty() {
            sim.push_event(sim.reload_every(), 0, Coming::Routes);
        }
        sim.push_event(SECOND, 0, Coming::Second);
        sim.push_event(0, 0, Coming::Arrival);
        Ok(sim)
    }

    fn reload_every(&self) -> Time {
        ms(self.plan.reload_every_ms.max(1.0))
    }

    /// What a node knows as it starts: the list as it is told first, or nothing at all.
    fn boot(&mut self, node: usize) {
        let all = Rc::new(self.listed.clone());
        if self.plan.fleet.cold.at_start && self.now == 0 {
            self.news(node, true, all);
        } else {
            self.hear_list(node, self.version, true, &all);
        }
    }

    fn push_event(&mut self, at: Time, who: usize, what: Coming) {
        self.order += 1;
        self.events.push(Reverse(Event { at: at.max(self.now), order: self.order, who, what }));
    }

    /// Plays the day to its end: until the last op is over.
    pub fn play(mut self) -> Day {
        let last = self.plan.category.iter().map(|category| ms(category.ttl_ms)).max().unwrap_or(0);
        let retries = self.plan.load.retries as Time;
        let end =
            seconds(self.plan.seconds) + (last + ms(self.plan.load.retry_wait_ms)) * (1 + retries) + SECOND;
        while let Some(Reverse(event)) = self.events.pop() {
            if event.at > end {
                break;
            }
            self.now = event.at;
            self.day.events += 1;
            self.handle(event);
        }
        self.day
    }

    fn at_node(what: &Coming) -> bool {
        use Coming::{Ask, Due, Ended, News, Note, Overdue, Upkeep, WaitOver};
        matches!(what, Overdue(_) | WaitOver(_) | Ask(_) | Note(..) | Ended(..) | News(..) | Due | Upkeep)
    }

    fn handle(&mut self, event: Event) {
        let (now, who) = (self.now, event.who);
        if Sim::at_node(&event.what) {
            if let Some(held) = &mut self.nodes[who].held_up {
                held.push(event);
                return;
            }
        }
        match event.what {
            Coming::Arrival => {
                if now < seconds(self.plan.seconds) {
                    let asked = self.source.draw(now, &self.weather);
                    let job = self.day.asked.len();
                    self.day.asked.push(asked);
                    self.ask(job);
                    let next = now + self.source.gap(&self.weather);
                    self.push_event(next, 0, Coming::Arrival);
                }
            }
            Coming::Retry(job) => self.ask(job),
            Coming::Ask(op) => self.arrive(who, op),
            Coming::WaitOver(op) => self.wait_over(who, op),
            Coming::Routes => self.turn_routes(),
            Coming::Note(op, push, start) => {
                let node = &mut self.nodes[who];
                if let Some(held) = node.ops.get_mut(&op) {
                    node.policy.note(now, &mut held.op, push, start);
                }
            }
            Coming::Ended(op, push, outcome, values) => self.ended(who, op, push, outcome, &values),
            Coming::News(version, whole, lines) => {
                match self.weather.list_late() {
                    // What is held back comes when the service is up again.
                    None => {
                        self.push_event(now + SECOND / 5, who, Coming::News(version, whole, lines));
                    }
                    Some(_) => self.hear_list(who, version, whole, &lines),
                }
            }
            Coming::Due => self.due(who),
            Coming::Upkeep => {
                if self.nodes[who].up {
                    self.nodes[who].policy.upkeep(now);
                    self.take_log(who);
                }
                if now < seconds(self.plan.seconds) + 30 * SECOND {
                    self.push_event(now + UPKEEP, who, Coming::Upkeep);
                }
            }
            Coming::Push(op, push) => self.reach(op, push),
            Coming::Cancel(op, push) => self.call_off(op, push),
            Coming::Machine(wake) => {
                if self.wake[who] == wake {
                    let mut out = std::mem::take(&mut self.out);
                    self.machines[who].advance(now, &mut out);
                    self.happened(who, out);
                }
            }
            Coming::Answer(op, answer) => self.answered(op, answer),
            Coming::Overdue(op) => self.overdue(op),
            Coming::Trouble(change) => self.trouble(change),
            Coming::Weights => self.weights(),
            Coming::Second => {
                for node in &mut self.nodes {
                    let pushed = std::mem::take(&mut node.pushed);
                    if pushed > 0.0 {
                        node.policy.add_shares(pushed, &mut self.day.meant);
                    }
                }
                if now < seconds(self.plan.seconds) {
                    self.push_event(now + SECOND, 0, Coming::Second);
                }
            }
        }
    }

    // ---- Clients ----

    /// A client hands in a try of its job, at a node that takes some.
    fn ask(&mut self, job: usize) {
        let asked = &self.day.asked[job];
        let (category, domain) = (asked.category, asked.domain);
        let ready: Vec<usize> = (0..self.nodes.len()).filter(|n| self.nodes[*n].takes).collect();
        let near: Vec<usize> = ready.iter().copied().filter(|n| self.nodes[*n].domain == domain).collect();
        let among = if near.is_empty() { &ready } else { &near };
        if among.is_empty() {
            return;
        }
        let node = among[self.source.pick(among.len())];
        let deadline = self.now + ms(self.plan.category[category].ttl_ms);
        let op = self.day.ledger.open(job, node, category, self.now, deadline);
        self.tries.push(Try { node, life: self.nodes[node].life, flights: Vec::new() });
        self.push_event(self.now + DOOR, node, Coming::Ask(op));
    }

    fn answered(&mut self, op: usize, answer: Answer) {
        self.day.ledger.saw(op, self.now, Saw::Answered(answer));
        let job = self.day.ledger.sheets[op].job;
        if let Answer::Nacked(come_back) = answer {
            let asked = &mut self.day.asked[job];
            if asked.tries < self.plan.load.retries {
                asked.tries += 1;
                let wait = come_back.max(ms(self.plan.load.retry_wait_ms)).max(1);
                self.push_event(self.now + wait, 0, Coming::Retry(job));
            }
        }
    }

    // ---- Nodes ----

    fn arrive(&mut self, node: usize, op: usize) {
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
        match gate.enter(now, op as u64, &request) {
            Entry::In(pass) => self.open(node, op, Some(Box::new(pass))),
            Entry::Waits(pass, until) => {
                own.waiting.insert(op, Box::new(pass));
                self.push_event(until, node, Coming::WaitOver(op));
            }
            Entry::Full(back) => self.turn_away(op, back),
        }
    }

    fn turn_away(&mut self, op: usize, back: Time) {
        let back = back.min(ms(self.plan.fleet.come_back_ms));
        self.push_event(self.now + DOOR, 0, Coming::Answer(op, Answer::Nacked(back)));
    }

    fn wait_over(&mut self, node: usize, op: usize) {
        if let Some(mut pass) = self.nodes[node].waiting.remove(&op) {
            self.free(node, op, &mut pass);
            self.turn_away(op, SECOND / 5);
            self.admit(node);
        }
    }

    fn free(&mut self, node: usize, op: usize, pass: &mut Pass) {
        let next = pass.leave(self.now, op as u64);
        self.nodes[node].admitted.extend(next.map(|op| op as usize));
    }

    /// Ops that have a place now are asked of the policy.
    fn admit(&mut self, node: usize) {
        while let Some(op) = self.nodes[node].admitted.pop_front() {
            if let Some(pass) = self.nodes[node].waiting.remove(&op) {
                self.open(node, op, Some(pass));
            }
        }
    }

    fn turn_routes(&mut self) {
        let table = self.next_routes[self.turned % self.next_routes.len()].clone();
        self.turned += 1;
        self.nodes.iter_mut().filter_map(|node| node.gate.as_mut()).for_each(|gate| gate.turn(table.clone()));
        if self.now < seconds(self.plan.seconds) {
            self.push_event(self.now + self.reload_every(), 0, Coming::Routes);
        }
    }

    fn open(&mut self, node: usize, op: usize, pass: Option<Box<Pass>>) {
        let sheet = &self.day.ledger.sheets[op];
        let own = &self.plan.category[sheet.category];
        let mut deadline = sheet.deadline;
        let mut limits = Limits::default();
        if let Some(pass) = &pass {
            limits = pass.limits;
            deadline = deadline.min(sheet.asked.saturating_add(pass.op));
        }
        let hint = self.day.asked[sheet.job].hint;
        let ask = Ask {
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
    fn carry(&mut self, node: usize, op: usize, mut held: Held, first: Option<Step>) {
        let now = self.now;
        held.budget(now);
        let mut step = first.unwrap_or_else(|| self.place(node, &mut held.op));
        loop {
            match step {
                Step::Push { executor } => {
                    let category = &self.tariffs[self.nodes[node].domain].categories[held.op.category];
                    let effect = held.op.limits.effect.unwrap_or(category.effect);
                    let leave_by = self.nodes[node].policy.leave_by(&held.op, effect);
                    if let Some(pass) = &mut held.pass {
                        pass.pushed(now);
                    }
                    self.send(node, op, executor, leave_by);
                }
                Step::Stop { push } => {
                    self.stop(op, push);
                    held.budget(now);
                    step = self.settle(node, &mut held.op, push, Outcome::Cancelled, &[]);
                    continue;
                }
                Step::Nack { come_back } => {
                    self.push_event(now + DOOR, 0, Coming::Answer(op, Answer::Nacked(come_back)))
                }
                Step::DeadLetter => self.push_event(now + DOOR, 0, Coming::Answer(op, Answer::DeadLettered)),
                Step::Hold => break,
            }
            held.budget(now);
            step = self.place(node, &mut held.op);
        }
        self.take_log(node);
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
    fn arm(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        let Some((at, _)) = own.due.first().copied() else { return };
        if own.timer.is_none_or(|timer| at < timer) {
            own.timer = Some(at);
            self.push_event(at, node, Coming::Due);
        }
    }

    fn due(&mut self, node: usize) {
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

    fn place(&mut self, node: usize, held: &mut Op) -> Step {
        let truth = truth(self.plan, &self.machines, &self.weather, self.nodes[node].domain);
        self.nodes[node].policy.place(self.now, held, &truth)
    }

    fn settle(&mut self, node: usize, held: &mut Op, push: usize, outcome: Outcome, values: &[f64]) -> Step {
        let truth = truth(self.plan, &self.machines, &self.weather, self.nodes[node].domain);
        self.nodes[node].policy.settle(self.now, held, push, outcome, values, &truth)
    }

    fn take_log(&mut self, node: usize) {
        for line in self.nodes[node].policy.log() {
            if self.day.log.len() < 1000 {
                self.day.log.push(format!("{:.1} ms, node {node}: {line}", self.now as f64 / 10.0));
            }
        }
    }

    fn ended(&mut self, node: usize, op: usize, push: usize, outcome: Outcome, values: &[f64]) {
        let Some(mut held) = self.nodes[node].ops.remove(&op) else { return };
        if held.op.pushes.get(push).is_none_or(|p| p.outcome.is_some()) {
            self.nodes[node].ops.insert(op, held);
            return;
        }
        if let Some(pass) = held.pass.as_ref().filter(|_| outcome == Outcome::Acked) {
            pass.ran(self.now - self.tries[op].flights[push].sent);
        }
        held.budget(self.now);
        if outcome == Outcome::Acked && !held.op.closed {
            self.push_event(self.now + DOOR, 0, Coming::Answer(op, Answer::Acked));
        }
        let step = self.settle(node, &mut held.op, push, outcome, values);
        self.carry(node, op, held, Some(step));
    }

    /// Nobody waits any more; what is still out has timed out.
    fn overdue(&mut self, op: usize) {
        let node = self.tries[op].node;
        if let Some(held) = self.nodes[node].ops.get(&op) {
            let out: Vec<usize> =
                (0..held.op.pushes.len()).filter(|push| held.op.pushes[*push].outcome.is_none()).collect();
            for push in out {
                self.ended(node, op, push, Outcome::TimedOut, &[]);
            }
        }
    }

    fn hear_list(&mut self, node: usize, version: u64, whole: bool, lines: &[Listed]) {
        let own = &mut self.nodes[node];
        // A node that is down hears nothing; an older version than it knows is left out.
        if !own.up || version < own.version {
            return;
        }
        own.version = version;
        own.policy.list(self.now, whole, lines);
        for line in lines {
            self.day.ledger.told(node, line.executor, self.now, line.active);
        }
    }

    // ---- The way there and back ----

    fn latency(&self, node: usize, x: usize) -> Time {
        let near = self.nodes[node].domain == self.machines[x].spec.domain;
        ms(if near { self.plan.fleet.near_ms } else { self.plan.fleet.far_ms }).max(1)
    }

    fn send(&mut self, node: usize, op: usize, x: usize, leave_by: Time) {
        let now = self.now;
        let push = self.tries[op].flights.len();
        let spec = &self.machines[x].spec;
        let (limit, idle_close) = (spec.connections, spec.idle_close);
        let way = self.weather.way(self.nodes[node].domain, x, spec.domain);
        let lat = self.latency(node, x) + way.delay;
        self.nodes[node].pushed += 1.0;
        self.day.crossed += u64::from(self.nodes[node].domain != spec.domain);
        self.day.to_cold += u64::from(self.machines[x].cold(now));
        self.day.to_gone += u64::from(self.machines[x].up != Up::Serving);
        let mut flight = Flight {
            executor: x,
            sent: now,
            arrives: now + lat,
            called_off: false,
            open: false,
            reset: false,
        };
        let idle = self.idle.entry((node, x)).or_default();
        let before = idle.len();
        idle.retain(|since| now - since < idle_close);
        self.connections[x] -= before - idle.len();
        let old = idle.pop().is_some();
        let refused = !old && (way.refused || !self.machines[x].takes() || self.connections[x] >= limit);
        let outcome = if way.silent && !old {
            Some((now + ms(self.plan.fleet.dial_ms), Outcome::NotConnected))
        } else if refused {
            Some((now + 2 * lat, Outcome::NotConnected))
        } else {
            None
        };
        if let Some((at, outcome)) = outcome {
            self.tries[op].flights.push(flight);
            self.push_event(at, node, Coming::Ended(op, push, outcome, Vec::new()));
            return;
        }
        if !old {
            self.connections[x] += 1;
            // A handshake goes there and back before the first byte.
            flight.arrives += 2 * lat + ms(self.plan.fleet.handshake_ms);
        }
        if flight.arrives - lat > leave_by {
            // Its connection came up too late: it never leaves.
            self.connections[x] -= 1;
            let at = flight.arrives - lat;
            self.tries[op].flights.push(flight);
            self.push_event(at, node, Coming::Ended(op, push, Outcome::Moot, Vec::new()));
            return;
        }
        if way.dribble {
            flight.arrives += REQUEST as Time;
        }
        flight.open = true;
        let arrives = flight.arrives;
        let broken = way.reset > 0.0 && self.chance.random_bool(way.reset);
        if way.silent || way.half_open {
            self.stuck.push((op, push));
        } else if broken && !way.back && way.bytes < REQUEST {
            flight.open = false;
            self.connections[x] -= 1;
            self.push_event(now + 2 * lat, node, Coming::Ended(op, push, Outcome::Cut, Vec::new()));
        } else {
            flight.reset = broken;
            self.push_event(arrives, x, Coming::Push(op, push));
        }
        self.tries[op].flights.push(flight);
    }

    /// The node closes the connection of a push.
    fn stop(&mut self, op: usize, push: usize) {
        let (node, flight) = (self.tries[op].node, &self.tries[op].flights[push]);
        let (x, arrives, domain) = (flight.executor, flight.arrives, self.nodes[node].domain);
        let way = self.weather.way(domain, x, self.machines[x].spec.domain);
        // Whether or not anything still passes, the node sends no more on it.
        self.stuck.retain(|stuck| *stuck != (op, push));
        let there = self.now + self.latency(node, x) + way.delay;
        if there < arrives {
            // Its connection is not up yet: nothing of it was sent.
            self.tries[op].flights[push].called_off = true;
            self.close(op, push, false);
        } else if !way.silent {
            let at = there.max(arrives);
            self.push_event(at, x, Coming::Cancel(op, push));
        } else {
            self.day.ledger.saw(op, self.now, Saw::GivenUp(x));
        }
    }

    fn close(&mut self, op: usize, push: usize, keep: bool) {
        let node = self.tries[op].node;
        let flight = &mut self.tries[op].flights[push];
        if std::mem::take(&mut flight.open) {
            let x = flight.executor;
            if keep && self.tries[op].life == self.nodes[node].life && self.nodes[node].up {
                self.idle.entry((node, x)).or_default().push(self.now);
            } else {
                self.connections[x] -= 1;
            }
        }
    }

    // ---- Executors ----

    fn id(op: usize, push: usize) -> u64 {
        (op as u64) << 16 | push as u64
    }

    fn reach(&mut self, op: usize, push: usize) {
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
        if self.tries[op].flights[push].reset {
            // Read whole, and its connection broken before the answer.
            self.push_event(now + lat, node, Coming::Ended(op, push, Outcome::Reset, Vec::new()));
            self.push_event(now + 10, x, Coming::Cancel(op, push));
        }
        let mut out = std::mem::take(&mut self.out);
        self.machines[x].take(now, task, &mut out);
        self.happened(x, out);
    }

    fn call_off(&mut self, op: usize, push: usize) {
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
    fn happened(&mut self, x: usize, mut out: Vec<Happening>) {
        let now = self.now;
        for happening in out.drain(..) {
            let (id, end, outcome) = match happening {
                Happening::Fallen => {
                    self.day.ledger.falls.push(Fall { executor: x, at: now });
                    self.unlist(x);
                    continue;
                }
                Happening::Started(id) => {
                    self.day.ledger.saw((id >> 16) as usize, now, Saw::Began(x));
                    if self.plan.fleet.tells_start {
                        self.back(id, None, |op, push| Coming::Note(op, push, true));
                    }
                    continue;
                }
                Happening::Progress(id, _) => {
                    self.back(id, None, |op, push| Coming::Note(op, push, false));
                    continue;
                }
                Happening::Done(id) => (id, End::Done, Outcome::Acked),
                Happening::Failed(id) => (id, End::Failed, Outcome::Error),
                Happening::Returned(id) => (id, End::Returned, Outcome::Full),
                Happening::Lost(id, done) => {
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
            self.push_event(next.max(self.now + 1), x, Coming::Machine(wake));
        }
    }

    /// Something goes back from an executor to the node of a push, if anything still passes.
    fn back(&mut self, id: u64, outcome: Option<Outcome>, what: impl FnOnce(usize, usize) -> Coming) {
        let (op, push) = ((id >> 16) as usize, (id & 0xffff) as usize);
        let node = self.tries[op].node;
        let flight = &self.tries[op].flights[push];
        let (x, cut) = (flight.executor, flight.reset || flight.called_off || !flight.open);
        let domain = self.machines[x].spec.domain;
        let way = self.weather.way(self.nodes[node].domain, x, domain);
        if cut || self.tries[op].life != self.nodes[node].life {
            return;
        }
        if way.silent {
            if outcome.is_some() {
                self.stuck.push((op, push));
            }
            return;
        }
        if let Some(outcome) = outcome {
            self.close(op, push, outcome != Outcome::Reset);
        }
        let at = self.now + self.latency(node, x) + way.delay;
        self.push_event(at, node, what(op, push));
    }

    // ---- The list ----

    /// Tells every node, late as the list is.
    fn tell(&mut self, whole: bool, lines: Vec<Listed>) {
        self.version += 1;
        self.before.push((self.now, self.listed.clone()));
        let lines = Rc::new(lines);
        for node in 0..self.nodes.len() {
            self.news(node, whole, lines.clone());
        }
    }

    fn news(&mut self, node: usize, whole: bool, lines: Rc<Vec<Listed>>) {
        let [least, most] = self.plan.fleet.list.late_s;
        let late = seconds(self.chance.random_range(least..=most)) + self.weather.list_late().unwrap_or(0);
        // News doesn't overtake older news.
        let own = &mut self.nodes[node];
        own.news_by = own.news_by.max(self.now + late);
        let at = own.news_by;
        self.push_event(at, node, Coming::News(self.version, whole, lines));
    }

    fn unlist(&mut self, x: usize) {
        if self.listed[x].active {
            self.listed[x].active = false;
            self.tell(false, vec![self.listed[x]]);
        }
    }

    fn weights(&mut self) {
        let every = seconds(self.plan.fleet.list.live_weights_s);
        for x in 0..self.machines.len() {
            let (held, _) = self.machines[x].load();
            self.listed[x].weight = 1.0 / (1.0 + held as f64 / self.machines[x].spec.slots);
        }
        let lines: Vec<Listed> = self.listed.iter().filter(|line| line.active).copied().collect();
        let lines = Rc::new(lines);
        for node in 0..self.nodes.len() {
            let at = self.nodes[node].news_by.max(self.now + every);
            self.push_event(at, node, Coming::News(self.version, false, lines.clone()));
        }
        if self.now < seconds(self.plan.seconds) {
            self.push_event(self.now + every, 0, Coming::Weights);
        }
    }

    // ---- Troubles ----

    fn trouble(&mut self, change: Change) {
        let now = self.now;
        self.weather.turn(change);
        let trouble = self.weather.troubles[change.trouble].clone();
        let met: Vec<usize> = (0..self.machines.len()).filter(|x| trouble.meets[*x]).collect();
        match (trouble.what, change.on) {
            (What::Slow | What::Hang, _) => {
                for x in met {
                    let condition = self.weather.condition(x);
                    let mut out = std::mem::take(&mut self.out);
                    self.machines[x].set(now, condition, &mut out);
                    self.happened(x, out);
                }
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
                    if self.machines[x].up != Up::Serving {
                        continue;
                    }
                    self.listed[x].active = false;
                    self.tell(false, vec![self.listed[x]]);
                    let mut out = std::mem::take(&mut self.out);
                    self.machines[x].drain(now, &mut out);
                    self.happened(x, out);
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
            (What::NodeKilled | What::NodeStopped | What::NodePaused, _) => {
                if let Some(node) = trouble.node {
                    self.node_trouble(node, trouble.what, change.on);
                }
            }
            _ => {}
        }
        if trouble.what.of_network() {
            // What was silent is reset as soon as anything passes again.
            let stuck = std::mem::take(&mut self.stuck);
            for (op, push) in stuck {
                let (node, x) = (self.tries[op].node, self.tries[op].flights[push].executor);
                let way = self.weather.way(self.nodes[node].domain, x, self.machines[x].spec.domain);
                if way.silent || way.half_open {
                    self.stuck.push((op, push));
                } else {
                    self.close(op, push, false);
                    self.push_event(now + 1, node, Coming::Ended(op, push, Outcome::Reset, Vec::new()));
                }
            }
        }
    }

    fn kill(&mut self, x: usize) {
        let mut out = std::mem::take(&mut self.out);
        self.machines[x].kill(self.now, &mut out);
        self.happened(x, out);
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

    fn start(&mut self, x: usize) {
        let lost = self.weather.meets(What::Killed, x) || self.weather.meets(What::DomainLost, x);
        if lost || self.machines[x].up == Up::Serving || !self.machines[x].start(self.now) {
            return;
        }
        (self.listed[x].active, self.listed[x].started) = (true, Some(self.now));
        self.tell(false, vec![self.listed[x]]);
    }

    fn node_trouble(&mut self, node: usize, what: What, on: bool) {
        match (what, on) {
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
            (What::NodeStopped, true) => {
                self.nodes[node].takes = false;
                let by = self.now + 3 * SECOND;
                self.nodes[node].ops.values_mut().for_each(|held| held.op.end_by(by));
                let mut all: Vec<usize> = self.nodes[node].ops.keys().copied().collect();
                all.sort_unstable();
                for op in all {
                    if let Some(held) = self.nodes[node].ops.remove(&op) {
                        self.carry(node, op, held, None);
                    }
                }
            }
            (What::NodeKilled, true) => self.node_ends(node, true),
            (_, false) => {
                if what == What::NodeStopped {
                    self.node_ends(node, false);
                }
                let (domain, seed) = (self.nodes[node].domain, self.chance.random());
                let own = &mut self.nodes[node];
                own.policy = (self.make)(node, &self.tariffs[domain], seed);
                own.gate = self.routes.clone().map(Gate::new);
                (own.up, own.takes, own.version) = (true, true, 0);
                self.boot(node);
            }
            _ => {}
        }
    }

    /// A node is gone: what it held is its clients' to retry, if it was killed.
    fn node_ends(&mut self, node: usize, killed: bool) {
        let own = &mut self.nodes[node];
        (own.up, own.takes) = (false, false);
        own.life += 1;
        own.due.clear();
        own.looks.clear();
        own.timer = None;
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

/// What the seeing baseline sees from a domain. It borrows no more than that, for the node itself is asked meanwhile.
fn truth<'t>(plan: &Plan, machines: &'t [Machine], weather: &'t Weather, domain: usize) -> Truth<'t> {
    let (near, far) = (ms(plan.fleet.near_ms), ms(plan.fleet.far_ms));
    Truth { machines, weather, domain, near, far }
}
