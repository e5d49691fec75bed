//! A simulation of several stores, with clocks, disks, connections, edges, executors and callback receivers, in one
//! thread and in virtual time. The checks use only what the simulated clients and executors have seen and what is on
//! the disks.
#![allow(dead_code)]

mod actions;
mod checks;
mod configuration;
mod disk;
pub mod drawn;
mod drawn_judge;
mod edge;
mod events;
mod key_checks;
pub mod key_loss_scenarios;
pub mod key_scenarios;
pub mod loss_scenarios;
mod processes;
pub mod retirement_scenarios;
mod turns;

pub use configuration::{config, config_with_quota};
pub use disk::{AppendAnswer, DiskCut, SimulatedDisk};

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use stileroute_config::Config;
use stileroute_queue::*;

/// Wall-clock time at which the simulation begins, in milliseconds.
pub const START_WALL_CLOCK_MS: u64 = 1_700_000_000_000;
/// Delay after the end of a store's process until the control group declares its session expired.
const SESSION_EXPIRY_DELAY_MS: u64 = 2500;
/// Time after which the other stores give up the connection to a silent store.
const SILENCE_DETECTION_MS: u64 = 1600;
/// Time after which another store may be lost, unless a scenario sets another value.
pub const DEFAULT_CATCH_UP_MS: u64 = 4200;
/// A `catch_up_ms` with which a store may be away for some seconds before its replicas are recreated.
pub const LONG_CATCH_UP_MS: u64 = 60_000;
/// Bandwidth of a store's link.
const BANDWIDTH_MBPS: f64 = 1000.0;
/// Longest time for which a store that shuts down waits for its attempts in flight.
const SHUTDOWN_GRACE_MS: u64 = 5000;
/// Time after which an edge without an answer asks another store, unless a scenario sets another value.
const EDGE_TIMEOUT_MS: u64 = 400;
/// Time that a message takes between an edge and a store.
const EDGE_DELAY_MS: u64 = 2;
/// Time after a store's start at which it gets the configuration, unless a scenario sets another value.
const CONFIGURATION_DELAY_MS: u64 = 40;
/// How long after a fault a message that was completed may run again.
pub const REDELIVERY_TOLERANCE_MS: u64 = 4000;

/// How the executors treat a message: each attempt takes the next behavior, and further attempts repeat the last one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    Succeeds,
    Fails,
    Rejects,
    /// The message runs to completion, and the answer is lost.
    LosesAnswer,
    NeverAnswers,
    Unreachable,
    Slow(u64),
}

/// A fault of one store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Kill,
    /// The process is killed and returns only after the others have stopped waiting for it.
    KillLong,
    PowerLoss,
    DiskLoss,
    Shutdown,
    /// The process is back at once, before any other store has noticed.
    QuickRestart,
    /// The process stops for four seconds and then continues with its old state.
    Freeze,
}

impl Fault {
    /// Faults after which the store's process has to be started again.
    pub const ENDS: [Fault; 6] = [
        Fault::Kill,
        Fault::KillLong,
        Fault::PowerLoss,
        Fault::DiskLoss,
        Fault::Shutdown,
        Fault::QuickRestart,
    ];

    /// All faults of one store.
    pub fn all() -> impl Iterator<Item = Fault> {
        Fault::ENDS.into_iter().chain([Fault::Freeze])
    }
}

/// A scheduled event of the simulation.
#[derive(Debug)]
enum Event {
    PeerMessage { from: usize, to: usize, link: u64, payload: PeerMessage },
    DiskDue { at: usize },
    ClientSends { sent: usize },
    Put { sent: usize, to: usize, ticket: u64 },
    PutAnswered { sent: usize, from: usize, ticket: u64, result: Result<String, PutError> },
    EdgeTimeout { sent: usize, ticket: u64 },
    Superseded { sent: usize, to: usize },
    AttemptEnded { at: usize, incarnation: u64, attempt: u64, id: String, outcome: AttemptOutcome },
    CallbackEnded { at: usize, incarnation: u64, key: Key, is_delivered: bool },
    Start { at: usize },
    Connect { a: usize, b: usize },
    Disconnect { a: usize, b: usize, link: u64 },
    MembersAnnounced,
    ConfigurationAnnounced { at: usize },
    SessionExpires { at: usize, incarnation: u64 },
    PeerLost { at: usize, other: usize, incarnation: u64 },
    Thaw { at: usize, incarnation: u64 },
    ControlLost { at: usize, incarnation: u64, contact: ControlContact },
    IsolationEnds { at: usize, incarnation: u64 },
    Act(Action),
}

/// An action of a scenario besides sending messages.
#[derive(Clone, Debug)]
pub enum Action {
    Inject(usize, Fault),
    Cut(usize, usize),
    Reconnect(usize, usize),
    /// Cuts a store off from all other stores and from the control nodes for this many milliseconds; both sides are
    /// notified at once.
    Isolate(usize, u64),
    /// Cuts a store off together with a control node, which keeps answering the store until it knows that it is cut
    /// off itself.
    IsolateWithControlNode(usize, u64),
    DiskFull(usize, bool),
    /// The store's disk is nearly full: it takes synced writes of at most this many bytes.
    DiskTakesAtMost(usize, usize),
    DiskSlow(usize, u64),
    /// No write of the store's disk ends for this many milliseconds.
    HoldWrites(usize, u64),
    /// No sync of the store's disk ends for this many milliseconds.
    HoldSyncs(usize, u64),
    PowerLossOfAll,
    Remove(usize),
    /// A store is gone for good without a word: the others learn of it by its silence alone.
    RemoveSilently(usize),
    /// Adds a new store with an empty disk.
    Add,
    /// A store loses its disk while all others lose power.
    DiskLossInBlackout(usize),
    /// An operator orders a store to retire.
    Retire(usize),
    Endpoint(bool),
    Configure(&'static str),
    /// The process of a store is killed and returns with its disk after this many milliseconds.
    Absent(usize, u64),
    /// The log of a store writes a checkpoint as soon as its disk is at rest.
    Checkpoint(usize),
}

/// A graceful shutdown in progress.
struct Shutdown {
    /// When the shutdown began.
    since: u64,
    /// All ends were sent before the process ends.
    has_flushed: bool,
}

/// How the control group sees a store.
#[derive(Default)]
struct ControlView {
    /// The store is listed as a member.
    is_member: bool,
    /// The store is cut off from the control group and from all other stores.
    is_isolated: bool,
}

/// A simulated store: its process, its disk, and how others see it.
pub struct Store {
    /// The store's node number.
    pub node: Node,
    /// The store's queue while its process runs.
    pub queue: Option<Queue>,
    /// Number of starts of the process.
    incarnation: u64,
    /// When the process was started.
    started_at: u64,
    /// The store's disk.
    pub disk: SimulatedDisk,
    /// When the disk is advanced next.
    disk_due_at: Option<u64>,
    disk_id: u64,
    /// For the ticket of each put at the store, the message and its ticket at the edge.
    put_tickets: HashMap<u64, (usize, u64)>,
    /// The store never returns.
    is_removed: bool,
    /// The process does nothing until this time.
    frozen_until: u64,
    /// The graceful shutdown in progress, if any.
    shutdown: Option<Shutdown>,
    /// How the control group sees the store.
    control: ControlView,
}

/// A message that a client sends, with the state that its edge keeps of it.
#[derive(Clone, Debug, Default)]
pub struct SentMessage {
    /// The message that the client sends.
    pub message: Message,
    /// How the executors treat the attempts; the last behavior repeats.
    pub behaviors: Vec<Behavior>,
    /// The store that the edge would choose first.
    first_store: usize,
    /// A store that the edge cannot reach.
    unreachable_store: Option<usize>,
    /// Stores that the edge has asked.
    tried_stores: Vec<usize>,
    /// Ticket of the put that the edge waits for; 0 for none.
    ticket: u64,
    /// A store that was asked may have accepted the message.
    is_uncertain: bool,
    /// When the client sent the message.
    pub sent_at: u64,
    /// When the message was accepted.
    pub answered_at: u64,
    /// The key of the message as returned to the client.
    pub name: Option<String>,
    /// All stores have rejected the message.
    pub is_rejected: bool,
}

/// One execution of a message by an executor.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Id of the message.
    pub id: String,
    /// When the execution started.
    pub started_at: u64,
    /// When the execution completed; `None` if it did not.
    pub completed_at: Option<u64>,
    /// How the executor treats the message.
    pub behavior: Behavior,
    /// When the execution ended, completed or not.
    pub ended_at: u64,
    /// When the store that sent the message had read the success.
    pub read_at: Option<u64>,
    /// When the store that sent the message had read the failure or the rejection.
    pub failure_read_at: Option<u64>,
}

/// The bounds of a deployment that the stores act on.
#[derive(Clone, Copy, Debug)]
pub struct StoreBounds {
    pub repair: RepairSettings,
    pub retention: Retention,
    pub quota: QuotaBounds,
    /// What the program of a store records on its disk about the retention of ends.
    pub disk_retention: DiskRetention,
}

/// What the program of a store records on its disk about the retention of ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskRetention {
    /// The span that the settings ask for.
    Recorded,
    /// Nothing, so that checkpoints heed a fixed span. A planted fault.
    Unrecorded,
    /// The span for look-ups, without regard to idempotency keys. A planted fault.
    RecordedForLookups,
}

impl Default for StoreBounds {
    fn default() -> StoreBounds {
        StoreBounds {
            repair: RepairSettings::new(DEFAULT_CATCH_UP_MS, BANDWIDTH_MBPS),
            retention: Retention { status_ms: 120_000, idempotency_window_ms: 60_000 },
            quota: QuotaBounds { window_ms: 5000, overrun: 0.1, slack: 20 },
            disk_retention: DiskRetention::Recorded,
        }
    }
}

impl StoreBounds {
    /// Default bounds but for `catch_up_ms`. With [`LONG_CATCH_UP_MS`] nothing is copied while a store is away for some
    /// seconds, so that a play shows what happens once it is back.
    pub fn with_catch_up(catch_up_ms: u64) -> StoreBounds {
        StoreBounds { repair: RepairSettings::new(catch_up_ms, BANDWIDTH_MBPS), ..StoreBounds::default() }
    }

    /// Settings of a store on a disk with this content, in a deployment that tolerates the loss of a zone.
    pub fn store_settings(&self, table: &StateTable, replica_count: usize) -> QueueSettings {
        QueueSettings {
            node: 1,
            zone: 0,
            disk_id: 7,
            first_number: 1,
            earlier_first_numbers: table.incarnation_first_numbers.clone(),
            replica_count,
            region_of_zone: vec![0; 8],
            tolerated_losses: ToleratedLosses { zones: 1, regions: 0 },
            rate_window_ms: 5000,
            rate_tolerance: 1.1,
            repair: self.repair,
            retention: self.retention,
            quota: self.quota,
            has_lost_disk: false,
            seed: 5,
        }
    }

    /// The record about the retention of ends that a store appends when it starts on a disk with this content.
    fn end_retention_change(&self, table: &StateTable) -> Option<Record> {
        match self.disk_retention {
            DiskRetention::Recorded => table.end_retention_change(self.retention),
            DiskRetention::Unrecorded => None,
            DiskRetention::RecordedForLookups => {
                table.end_retention_change(Retention { idempotency_window_ms: 0, ..self.retention })
            }
        }
    }
}

/// The simulated site.
pub struct Simulation {
    /// Virtual time in milliseconds.
    pub now: u64,
    event_count: u64,
    seed: u64,
    /// Replicas of each message besides its owner's own.
    pub replica_count: usize,
    bounds: StoreBounds,
    /// Time after a store's start at which it gets the configuration.
    pub configuration_delay_ms: u64,
    /// Scheduled events by time and by the order of scheduling.
    events: BTreeMap<(u64, u64), Event>,
    pub stores: Vec<Store>,
    /// Open connections, each with a number that distinguishes it from an earlier one of the same pair.
    connections: BTreeMap<(usize, usize), u64>,
    /// Pairs of stores that cannot connect.
    partitions: BTreeSet<(usize, usize)>,
    /// Last arrival time for each pair of stores, so that messages between two stores arrive in order.
    last_arrival_at: HashMap<(usize, usize), u64>,
    next_connection: u64,
    pub messages: Vec<SentMessage>,
    pub executions: Vec<Execution>,
    /// Callbacks: the message id, the body, and whether the callback was delivered.
    pub callbacks: Vec<(String, String, bool)>,
    /// Number of callbacks of each message that fail before one is delivered.
    pub callback_failures: usize,
    /// No callback is delivered before this time.
    pub callbacks_fail_until: u64,
    /// Time after which an edge without an answer asks another store.
    pub edge_patience_ms: u64,
    /// Time that an edge's notice of superseded submissions takes to reach a store.
    pub superseded_delay_ms: u64,
    /// Number of queries about FIFO groups that were sent.
    pub group_queries: usize,
    /// Notices of ends are lost until this time. No fault causes this by itself; it gives repair something to do.
    pub ends_lost_until: u64,
    /// When requests reached the rate-limited service.
    pub rate_limited_requests_at: Vec<u64>,
    is_endpoint_up: bool,
    /// Number of effects of all stores so far.
    pub effect_count: u64,
    /// Number of turns that were caused by a store's own timer.
    pub turns: u64,
    /// The fault hits the store that emits the effect with this number.
    pub fault_at_effect: Option<(u64, Fault)>,
    /// Start and end of each fault; for a machine that is down, the end is its return.
    pub fault_periods: Vec<(u64, u64)>,
    next_disk: u64,
    next_incarnation: u64,
    pub max_tries: u32,
    pub max_wait_s: f64,
    pub config: Arc<Config>,
    next_ticket: u64,
    /// Bytes of all messages between stores.
    pub sent_bytes: u64,
    /// Bytes of replicas in each tenth of a second.
    pub replica_bytes: BTreeMap<u64, u64>,
    prepare: Prepare,
}

/// Prepares each store when it starts: plants a fault in it if the sources were built with planted faults.
pub type Prepare = Rc<dyn Fn(&mut Queue)>;

/// Leaves the stores unchanged, without a planted fault.
pub fn without_fault() -> Prepare {
    Rc::new(|_| ())
}

impl Simulation {
    pub fn new(stores: usize, replicas: usize, seed: u64) -> Simulation {
        Simulation::with_bounds(stores, replicas, seed, StoreBounds::default())
    }

    /// A site whose stores have these bounds in their settings.
    pub fn with_bounds(stores: usize, replicas: usize, seed: u64, bounds: StoreBounds) -> Simulation {
        let mut world = Simulation {
            now: 0,
            event_count: 0,
            seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            replica_count: replicas,
            bounds,
            configuration_delay_ms: CONFIGURATION_DELAY_MS,
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
            edge_patience_ms: EDGE_TIMEOUT_MS,
            superseded_delay_ms: EDGE_DELAY_MS,
            group_queries: 0,
            ends_lost_until: 0,
            rate_limited_requests_at: Vec::new(),
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

    /// Whether every store that has not been removed runs and reports that the loss of one more store is tolerated.
    pub fn says_fully_replicated(&self) -> bool {
        let reports_replicated =
            |at: &usize| self.stores[*at].queue.as_ref().is_some_and(Queue::is_fully_replicated);
        self.present_stores().iter().all(reports_replicated)
    }

    /// Prepares all stores, and every store that starts later.
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

    fn schedule(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + after, self.event_count), event);
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

    fn record_fault(&mut self, until: u64) {
        self.fault_periods.push((self.now, until));
    }

    fn is_reachable(&self, a: usize, b: usize) -> bool {
        !self.partitions.contains(&(a.min(b), a.max(b)))
    }
}
