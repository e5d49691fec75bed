//! A simulation of several stores: clocks, disks, connections, edges, executors and callback receivers, all in one thread and
//! in virtual time. What is checked is what the simulated clients and executors have seen, and what lies on the disks.
#![allow(dead_code)]

mod actions;
mod checks;
mod configuration;
mod disk;
mod edge;
mod events;
mod key_checks;
pub mod key_loss_scenarios;
pub mod key_scenarios;
pub mod loss_scenarios;
mod processes;
pub mod retirement_scenarios;
mod turns;

pub use configuration::config;
pub use disk::{AppendAnswer, DiskCut, SimulatedDisk};

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use stileroute_config::Config;
use stileroute_queue::*;

/// Time of day when the simulation begins, in milliseconds.
pub const WALL: u64 = 1_700_000_000_000;
/// The control group calls the session of a store lapsed so long after its process has ended.
const SESSION_LAPSE_DELAY_MS: u64 = 2500;
/// A store that shuts down waits at most so long for what is in flight.
const SHUTDOWN_GRACE_MS: u64 = 5000;
/// An edge that is not answered by then asks another store, unless a day sets another time.
const EDGE_PATIENCE_MS: u64 = 400;
/// Between an edge and a store a message takes so long.
const EDGE_DELAY_MS: u64 = 2;
/// After a fault a message that was completed may run again for so long.
pub const REDELIVERY_TOLERANCE_MS: u64 = 4000;

/// How the executors treat a message: the first attempts in turn, then the last of them again and again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    Succeeds,
    Fails,
    Refuses,
    /// It runs to its end, and the answer is lost.
    LosesAnswer,
    NeverAnswers,
    Unreachable,
    Slow(u64),
}

/// A fault of one store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Kill,
    /// Back after longer than others wait for it.
    KillLong,
    PowerLoss,
    DiskLoss,
    Shutdown,
    /// Back at once, before anybody has missed it.
    QuickRestart,
    /// It stands still for four seconds, and wakes with all that it knew.
    Freeze,
}

/// What happens at a given time.
#[derive(Debug)]
enum Event {
    PeerMessage { from: usize, to: usize, link: u64, note: PeerMessage },
    DiskDue { at: usize },
    ClientSends { sent: usize },
    Put { sent: usize, to: usize, ticket: u64 },
    PutAnswered { sent: usize, from: usize, ticket: u64, result: Result<String, PutError> },
    EdgeTimeout { sent: usize, ticket: u64 },
    Superseded { sent: usize, to: usize },
    AttemptEnded { at: usize, life: u64, attempt: u64, id: String, outcome: AttemptOutcome },
    CallbackEnded { at: usize, life: u64, key: Key, taken: bool },
    Start { at: usize },
    Connect { a: usize, b: usize },
    Disconnect { a: usize, b: usize, link: u64 },
    MembersTold,
    ConfigurationTold { at: usize },
    SessionLapses { at: usize, life: u64 },
    PeerLost { at: usize, other: usize, life: u64 },
    Thaw { at: usize, life: u64 },
    ControlLost { at: usize, life: u64, contact: ControlContact },
    IsolationEnds { at: usize, life: u64 },
    Act(Action),
}

/// What a scenario does beside sending messages.
#[derive(Clone, Debug)]
pub enum Action {
    Inject(usize, Fault),
    Cut(usize, usize),
    Reconnect(usize, usize),
    /// Off from all other stores and from the control nodes for so long, and both ends are told so at once.
    Isolate(usize, u64),
    /// The same together with a control node, which answers until it knows that it is cut off itself.
    IsolateWithControlNode(usize, u64),
    DiskFull(usize, bool),
    DiskSlow(usize, u64),
    /// No write of a store's disk ends for so long.
    HoldWrites(usize, u64),
    /// No sync of a store's disk ends for so long.
    HoldSyncs(usize, u64),
    PowerLossOfAll,
    Remove(usize),
    /// A store that was not there before, with an empty disk.
    Add,
    /// A store loses its disk while all others lose power.
    DiskLossInBlackout(usize),
    /// An operator orders a store to be emptied.
    Retire(usize),
    Endpoint(bool),
    Configure(&'static str),
}

/// A graceful shutdown that goes on.
struct Shutdown {
    /// When it was begun.
    since: u64,
    /// All ends were sent before the process ends.
    has_flushed: bool,
}

/// How the control group sees a store.
#[derive(Default)]
struct ControlView {
    /// It is listed as a member.
    is_member: bool,
    /// It is cut off from the control group and from all other stores.
    is_isolated: bool,
}

/// A simulated store: its process, its disk, and how others see it.
pub struct Store {
    /// Its identifier.
    pub node: Node,
    /// Its queue, while its process runs.
    pub queue: Option<Queue>,
    /// Counts the starts of its process.
    incarnation: u64,
    /// When its process was started.
    started_at: u64,
    /// Its disk.
    pub disk: SimulatedDisk,
    /// When its disk is looked at next.
    disk_due_at: Option<u64>,
    disk_id: u64,
    /// By the ticket of a put at the store: the message, and its ticket at the edge.
    put_tickets: HashMap<u64, (usize, u64)>,
    /// It never comes back.
    is_removed: bool,
    /// Until then its process does nothing.
    frozen_until: u64,
    /// Its graceful shutdown, while that goes on.
    shutdown: Option<Shutdown>,
    /// How the control group sees it.
    control: ControlView,
}

/// A message that a client sends, and what its edge knows of it.
#[derive(Clone, Debug, Default)]
pub struct SentMessage {
    /// What the client sends.
    pub message: Message,
    /// How the executors treat its attempts, the last one from then on.
    pub behaviors: Vec<Behavior>,
    /// The store that its edge would choose first.
    first_store: usize,
    /// A store that its edge can't reach.
    unreachable_store: Option<usize>,
    /// Stores that were asked.
    tried_stores: Vec<usize>,
    /// The put that the edge waits for; 0 for none.
    ticket: u64,
    /// A store that was asked may have accepted it.
    is_uncertain: bool,
    /// When the client sent it.
    pub sent_at: u64,
    /// When it was accepted.
    pub answered_at: u64,
    /// The key that the client got.
    pub name: Option<String>,
    /// All stores have rejected it.
    pub is_refused: bool,
}

/// One execution of a message by an executor.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Which message.
    pub id: String,
    /// When it was started.
    pub started_at: u64,
    /// When it was completed; `None` if it was not.
    pub completed_at: Option<u64>,
    /// How the executor treats it.
    pub behavior: Behavior,
    /// When the executor was through with it, completed or not.
    pub ended_at: u64,
    /// When the store that sent it had read the answer.
    pub read_at: Option<u64>,
    /// When the store that sent it had read that it failed, or was refused.
    pub failure_read_at: Option<u64>,
}

/// The simulated site.
pub struct Simulation {
    /// Virtual time in milliseconds.
    pub now: u64,
    event_count: u64,
    seed: u64,
    /// Replicas of each message beside the one of its owner.
    pub replica_count: usize,
    /// What is to happen, by time and by the order of its entry.
    events: BTreeMap<(u64, u64), Event>,
    pub stores: Vec<Store>,
    /// Open connections, with a number that tells it from an earlier one.
    connections: BTreeMap<(usize, usize), u64>,
    /// Pairs of stores that can't connect.
    partitions: BTreeSet<(usize, usize)>,
    /// Messages between two stores arrive in order.
    last_arrival_at: HashMap<(usize, usize), u64>,
    next_connection: u64,
    pub messages: Vec<SentMessage>,
    pub executions: Vec<Execution>,
    /// Callbacks: the id of the message, the body, and whether it was taken.
    pub callbacks: Vec<(String, String, bool)>,
    /// So many callbacks of each message are not taken.
    pub callback_failures: usize,
    /// No callback is taken before.
    pub callbacks_fail_until: u64,
    /// An edge that is not answered by then asks another store.
    pub edge_patience_ms: u64,
    /// What an edge says of the copies of a message takes so long to reach a store.
    pub superseded_delay_ms: u64,
    /// Queries about FIFO groups that were sent.
    pub group_queries: usize,
    /// Notices of ends get lost until then: no fault that occurs by itself, so that there is something to repair.
    pub ends_lost_until: u64,
    /// When requests came to the rate-limited service.
    pub paid_requests_at: Vec<u64>,
    is_endpoint_up: bool,
    /// Effects of all stores so far.
    pub effect_count: u64,
    /// Turns that a store's own timer has caused.
    pub turns: u64,
    /// This fault hits the store that has this effect.
    pub fault_at_effect: Option<(u64, Fault)>,
    /// From when to when a fault lasted; that of a machine that is down lasts until it is back.
    pub fault_periods: Vec<(u64, u64)>,
    next_disk: u64,
    next_incarnation: u64,
    pub max_tries: u32,
    max_wait_s: f64,
    config: Arc<Config>,
    next_ticket: u64,
    /// Bytes of all messages between stores.
    pub sent_bytes: u64,
    /// Bytes of replicas in each tenth of a second.
    pub replica_bytes: BTreeMap<u64, u64>,
    prepare: Prepare,
}

/// What is done with each store when it starts: a fault is planted in it, where the sources were built for that.
pub type Prepare = Rc<dyn Fn(&mut Queue)>;

/// Stores as they are, without a planted fault.
pub fn without_fault() -> Prepare {
    Rc::new(|_| ())
}

impl Simulation {
    pub fn new(stores: usize, losses: usize, seed: u64) -> Simulation {
        let mut world = Simulation {
            now: 0,
            event_count: 0,
            seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            replica_count: losses,
            events: BTreeMap::new(),
            stores: Vec::new(),
            connections: BTreeMap::new(),
            partitions: BTreeSet::new(),
            last_arrival_at: HashMap::new(),
            next_connection: 1,
            messages: Vec::new(),
            executions: Vec::new(),
            callbacks: Vec::new(),
            callback_failures: 0,
            callbacks_fail_until: 0,
            edge_patience_ms: EDGE_PATIENCE_MS,
            superseded_delay_ms: EDGE_DELAY_MS,
            group_queries: 0,
            ends_lost_until: 0,
            paid_requests_at: Vec::new(),
            is_endpoint_up: true,
            effect_count: 0,
            turns: 0,
            fault_at_effect: None,
            fault_periods: Vec::new(),
            next_disk: 100,
            next_incarnation: 0,
            max_tries: 3,
            max_wait_s: 60.0,
            config: config(1, "", 3, 60.0),
            next_ticket: 0,
            sent_bytes: 0,
            replica_bytes: BTreeMap::new(),
            prepare: without_fault(),
        };
        (0..stores).for_each(|_| world.add_store());
        world
    }

    fn add_store(&mut self) {
        let at = self.stores.len();
        self.stores.push(Store {
            node: 0x1000 + 7 * at as Node,
            queue: None,
            incarnation: 0,
            started_at: 0,
            disk: SimulatedDisk::default(),
            disk_due_at: None,
            disk_id: 0,
            put_tickets: HashMap::new(),
            shutdown: None,
            control: ControlView::default(),
            is_removed: false,
            frozen_until: 0,
        });
        self.start(at);
    }

    /// The stores that have not been removed.
    pub fn present_stores(&self) -> Vec<usize> {
        (0..self.stores.len()).filter(|at| !self.stores[*at].is_removed).collect()
    }

    /// Every store that has not been removed runs, and says that the loss of one more is tolerated.
    pub fn says_fully_replicated(&self) -> bool {
        let says = |at: &usize| self.stores[*at].queue.as_ref().is_some_and(Queue::is_fully_replicated);
        self.present_stores().iter().all(says)
    }

    /// All stores, from here on.
    pub fn prepare(&mut self, prepare: &Prepare) {
        self.prepare = Rc::clone(prepare);
        self.stores.iter_mut().filter_map(|s| s.queue.as_mut()).for_each(|queue| prepare(queue));
    }

    fn random(&mut self, below: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 20) % below
    }

    fn at(&mut self, after: u64, what: Event) {
        self.event_count += 1;
        self.events.insert((self.now + after, self.event_count), what);
    }

    pub fn act(&mut self, at: u64, act: Action) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), Event::Act(act));
    }

    fn time(&self, at: usize) -> u64 {
        self.now - self.stores[at].started_at
    }

    fn queue(&mut self, at: usize) -> Option<(&mut Queue, u64)> {
        let now = self.time(at);
        self.stores[at].queue.as_mut().map(|queue| (queue, now))
    }

    fn note_fault(&mut self, until: u64) {
        self.fault_periods.push((self.now, until));
    }

    fn open(&self, a: usize, b: usize) -> bool {
        !self.partitions.contains(&(a.min(b), a.max(b)))
    }
}
