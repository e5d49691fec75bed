//! A day in simulated time: many nodes and executors in one process, one event after the other. The same plan and
//! seed give the same day, whatever else runs beside it.

mod executor;
mod list;
mod node;
mod trouble;
mod way;

use crate::executor::{specs, Availability, ExecutorEvent, ExecutorModel, Job};
use crate::faults::{Change, Way, Weather};
use crate::judge::{Answer, End, Fall, Ledger, Life, Saw};
use crate::load::{Asked, Source};
use crate::plan::{Between, Plan, What};
use crate::policy::{Policy, Truth};
use crate::random::generator;
use crate::settings::settings;
use crate::time::{ms, seconds};
pub use list::Bears;
use list::Replica;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use stileroute_dispatch::policy::UPKEEP_INTERVAL;
use stileroute_dispatch::settings::PostedSettings;
use stileroute_dispatch::types::{
    DispatchSettings, Limits, ListedExecutor, Op, OpRequest, Outcome, Step, Time, SECOND,
};
use stileroute_route_limits::admission::{Admission, AdmissionControl, Permit};
use stileroute_route_limits::pattern::Request;
use stileroute_route_limits::table::Table;

/// Who decides at a node, made anew at each start of it, from its settings and a seed.
pub type Maker<'a> = &'a dyn Fn(usize, &DispatchSettings, u64) -> Box<dyn Policy>;

/// What a day leaves behind.
pub struct Day {
    pub ledger: Ledger,
    pub asked: Vec<Asked>,
    /// Pushes that the solved fractions would have given each executor; all zero for who solves none.
    pub meant: Vec<f64>,
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
    News(u64, bool, Rc<Vec<ListedExecutor>>),
    /// Its watch of the list has ended, by the number of the call; or a call of it comes to discovery.
    WatchOver(u64),
    Call,
    Turned(bool),
    /// A message of another node.
    Letter(usize, Rc<Vec<u8>>),
    /// At a replica of discovery.
    Reported(bool, Rc<Vec<ListedExecutor>>),
    Due,
    Upkeep,
    /// An op has waited for a place as long as it may.
    WaitOver(usize),
    /// The operators' file is replaced.
    Routes,
    /// At an executor.
    Push(usize, usize),
    Cancel(usize, usize),
    ExecutorModel(u64),
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
    pass: Option<Box<Permit>>,
}

impl Held {
    fn budget(&mut self, now: Time) {
        if let Some(pass) = &self.pass {
            self.op.limits.over_budget = pass.retry_delay(now);
        }
    }
}

struct Node {
    policy: Box<dyn Policy>,
    domain: usize,
    gate: Option<AdmissionControl>,
    waiting: HashMap<usize, Box<Permit>>,
    admitted: VecDeque<usize>,
    ops: HashMap<usize, Held>,
    due: BTreeSet<(Time, usize)>,
    looks: HashMap<usize, Time>,
    timer: Option<Time>,
    version: u64,
    news_by: Time,
    up: bool,
    takes: bool,
    /// It was started, and takes clients as soon as it knows of an executor.
    starting: bool,
    /// Until when the front sends clients to it.
    seen_until: Time,
    /// What has come while it stands still.
    held_up: Option<Vec<Event>>,
    /// It stands still until then, for it gets a part of its time only; from when on, and which part.
    starved: Option<(Time, f64)>,
    still_until: Time,
    /// The call for the list that is open, if any.
    watch: Option<u64>,
    calls: u64,
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
    tariffs: Vec<DispatchSettings>,
    machines: Vec<ExecutorModel>,
    /// Of each executor: the latest wake-up that counts, connections, what the list says of it.
    wake: Vec<u64>,
    connections: Vec<usize>,
    listed: Vec<ListedExecutor>,
    before: Vec<(Time, Vec<ListedExecutor>)>,
    version: u64,
    /// Where discovery is asked and may turn callers away; empty where each node is told by itself.
    replicas: Vec<Replica>,
    idle: HashMap<(usize, usize), Vec<Time>>,
    tries: Vec<Try>,
    /// Work saved of a job, by its number.
    saved: HashMap<usize, f64>,
    stuck: Vec<(usize, usize)>,
    weather: Weather,
    /// Of its time that a node gets which the trouble at hand starves.
    part: f64,
    source: Source,
    chance: Pcg64Mcg,
    out: Vec<ExecutorEvent>,
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
        let mut chance = generator(seed, 2);
        let [least, most] = plan.fleet.report.refresh_ms;
        let cold = plan.fleet.cold.at_start;
        let started = cold.then_some(0);
        let mut machines = Vec::new();
        for spec in &specs {
            let refresh = ms(chance.random_range(least..=most));
            machines.push(ExecutorModel::new(plan, spec.clone(), refresh, started));
        }
        let mut day_lives = vec![Vec::new(); specs.len()];
        if cold {
            day_lives.fill(vec![Life { at: 0, up: Availability::Serving, started, halted: false }]);
        }
        let line = |x: usize| ListedExecutor {
            name_hash: 0,
            executor: x,
            domain: specs[x].domain,
            kind: specs[x].kind,
            cell: specs[x].cell,
            active: true,
            weight: 1.0,
            started,
        };
        let listed: Vec<ListedExecutor> = (0..specs.len()).map(line).collect();
        let mut tariffs = Vec::new();
        // Nodes of a domain have the same settings, but for their numbers where they talk.
        let alike = if plan.nodes.talk { plan.nodes.count } else { plan.fleet.domains.len() };
        for node in 0..alike {
            let posted: PostedSettings =
                serde_json::from_value(settings(plan, node)).map_err(|e| e.to_string())?;
            let mut tariff = posted.dispatch_settings()?;
            tariff.terms.peers = plan.nodes.talk;
            // On sockets the list always has to be asked for.
            tariff.terms.subscribe |= asks(plan);
            tariffs.push(tariff);
        }
        let (routes, next_routes) = crate::settings::routes(plan)?;
        let day = Day {
            ledger: Ledger::new(specs.iter().map(|spec| (spec.domain, spec.cell)).collect(), plan.replicas()),
            asked: Vec::new(),
            meant: vec![0.0; specs.len()],
            events: 0,
            log: Vec::new(),
        };
        let mut day = day;
        day.ledger.lives = day_lives;
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
            replicas: Vec::new(),
            idle: HashMap::new(),
            tries: Vec::new(),
            saved: HashMap::new(),
            stuck: Vec::new(),
            weather,
            part: 1.0,
            source,
            chance,
            out: Vec::new(),
            routes,
            next_routes,
            turned: 0,
            day,
        };
        if asks(plan) {
            sim.replicas = (0..plan.replicas()).map(|_| Replica::new(&sim.listed)).collect();
        }
        for node in 0..plan.nodes.count {
            let domain = plan.domain_of_node(node);
            let seed = sim.chance.random();
            sim.nodes.push(Node {
                policy: make(node, sim.tariff(node), seed),
                domain,
                gate: sim.routes.clone().map(AdmissionControl::new),
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
                starting: false,
                seen_until: Time::MAX,
                held_up: None,
                starved: None,
                still_until: 0,
                watch: None,
                calls: 0,
                life: 0,
                pushed: 0.0,
            });
            sim.boot(node);
            let phase = sim.chance.random_range(0..UPKEEP_INTERVAL);
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

    fn tariff(&self, node: usize) -> &DispatchSettings {
        &self.tariffs[node % self.tariffs.len()]
    }

    fn reload_every(&self) -> Time {
        ms(self.plan.reload_every_ms.max(1.0))
    }

    /// What a node knows as it starts: the list as it is told first, or nothing at all.
    fn boot(&mut self, node: usize) {
        let all = Rc::new(self.listed.clone());
        self.nodes[node].watch = None;
        if !self.replicas.is_empty() {
            // All that serve when the day begins have been told before; one that starts later has to ask.
            if self.now == 0 && !self.plan.fleet.cold.at_start {
                self.hear_list(node, 1, true, &all);
            }
        } else if self.plan.fleet.cold.at_start && self.now == 0 {
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
        use Coming::{Ask, Due, Ended, Letter, News, Note, Overdue, Turned, Upkeep, WaitOver};
        let asked = matches!(what, Overdue(_) | WaitOver(_) | Ask(_) | Due | Upkeep);
        asked || matches!(what, Note(..) | Ended(..) | News(..) | Turned(_) | Letter(..))
    }

    fn handle(&mut self, event: Event) {
        let (now, who) = (self.now, event.who);
        if Sim::at_node(&event.what) {
            if let Some(held) = &mut self.nodes[who].held_up {
                held.push(event);
                return;
            }
            if let Some(until) = self.stands_still(who) {
                self.push_event(until, who, event.what);
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
                let replica = self.plan.replica_of(who);
                match self.weather.list_late(replica) {
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
                    let asks = self.nodes[who].policy.upkeep(now);
                    if asks && !self.replicas.is_empty() && self.nodes[who].watch.is_none() {
                        self.call(who);
                    }
                    self.take_log(who);
                    self.post(who);
                }
                if now < seconds(self.plan.seconds) + 30 * SECOND {
                    self.push_event(now + UPKEEP_INTERVAL, who, Coming::Upkeep);
                }
            }
            Coming::Call => self.called(who),
            Coming::WatchOver(call) => {
                if self.nodes[who].watch == Some(call) {
                    self.answer_watch(who);
                }
            }
            Coming::Turned(away) => {
                self.nodes[who].watch = None;
                self.nodes[who].policy.refused(now, away);
            }
            Coming::Reported(whole, lines) => self.reported(who, whole, lines),
            Coming::Letter(from, text) => {
                if self.nodes[who].up {
                    self.nodes[who].policy.heard(now, from, &text);
                }
            }
            Coming::Push(op, push) => self.reach(op, push),
            Coming::Cancel(op, push) => self.call_off(op, push),
            Coming::ExecutorModel(wake) => {
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
        let now = self.now;
        let ready: Vec<usize> = (0..self.nodes.len()).filter(|n| self.nodes[*n].seen_until > now).collect();
        let near: Vec<usize> = ready.iter().copied().filter(|n| self.nodes[*n].domain == domain).collect();
        let among = if near.is_empty() { &ready } else { &near };
        if among.is_empty() {
            return;
        }
        let node = among[self.source.pick(among.len())];
        if !self.nodes[node].takes {
            // Its front has not found out yet: the client finds nobody there, and tries again at once.
            let due = self.day.asked[job].due;
            if now < due + ms(self.plan.category[category].ttl_ms) {
                self.push_event(now + 200, 0, Coming::Retry(job));
            }
            return;
        }
        let deadline = self.now + ms(self.plan.category[category].ttl_ms);
        let op = self.day.ledger.open(job, node, category, self.now, deadline);
        self.tries.push(Try { node, life: self.nodes[node].life, flights: Vec::new() });
        self.push_event(self.now + DOOR, node, Coming::Ask(op));
    }

    fn answered(&mut self, op: usize, answer: Answer) {
        self.day.ledger.saw(op, self.now, Saw::Answered(answer));
        let job = self.day.ledger.sheets[op].job;
        if let Answer::Nacked(retry_after) = answer {
            let asked = &mut self.day.asked[job];
            if asked.tries < self.plan.load.retries {
                asked.tries += 1;
                let wait = retry_after.max(ms(self.plan.load.retry_wait_ms)).max(1);
                self.push_event(self.now + wait, 0, Coming::Retry(job));
            }
        }
    }
}

/// Discovery is asked, as on sockets: where it has replicas or bounds, or something happens to it or to the ways there.
fn asks(plan: &Plan) -> bool {
    let list = &plan.fleet.list;
    let bounded = list.replicas > 0 || list.calls_per_s > 0.0 || list.lines_per_s > 0.0;
    let own =
        |what: What| matches!(what, What::ListEmpty | What::ListOld | What::ListOverbooked | What::SiteCut);
    bounded || plan.fault.iter().any(|fault| own(fault.what) || fault.between == Between::Discovery)
}

/// What the seeing baseline sees from a domain. It borrows no more than that, for the node itself is asked meanwhile.
fn truth<'t>(plan: &Plan, machines: &'t [ExecutorModel], weather: &'t Weather, node: usize) -> Truth<'t> {
    let (near, far) = (ms(plan.fleet.near_ms), ms(plan.fleet.far_ms));
    Truth { machines, weather, node, domain: plan.domain_of_node(node), near, far }
}
