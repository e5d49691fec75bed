//! Two or three stores, their disks and connections, one edge and one executor, in virtual time.

mod bounds;
mod connections;
mod edge;
mod events;
mod processes;

pub use bounds::{QueueBounds, QueueScript};

use super::invariants::QueueBreach;
use super::stores::Store;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use stileroute_queue::{
    preferred_store_of_shard, AttemptOutcome, IdempotencyDigest, Key, Message, Millis, PeerMessage, PutError,
};

/// Messages are sent from here on, and choices may be taken for so long.
const FIRST_MESSAGE_AT: Millis = 1200;
const CHOICE_WINDOW: Millis = 700;
/// When the tries with one idempotency key are sent, after the first message: densely while a store is back that has lost its disk.
const KEY_TRIES_MS: [Millis; 24] = [
    0, 60, 150, 300, 500, 700, 800, 900, 1000, 1100, 1200, 1300, 1400, 1500, 1600, 1800, 2000, 2300, 2600,
    3000, 4000, 5000, 6000, 8000,
];

/// A message, and what the edge knows of it.
#[derive(Clone, Debug, Default)]
#[allow(clippy::struct_excessive_bools)] // Each is a fact of its own.
pub struct SubmittedMessage {
    /// What the client sends.
    pub message: Message,
    /// The store that the edge asks first.
    first_store: usize,
    /// The executor rejects it.
    pub is_rejected_by_executor: bool,
    /// Its first attempt fails.
    fails_at_first: bool,
    /// Stores that were asked.
    tried_stores: Vec<usize>,
    /// The request that the edge waits for; 0 for none.
    pending_put: u64,
    /// Its key, once it was accepted (answer 202).
    pub key: Option<Key>,
    /// No store has accepted it (answer 503).
    pub is_refused: bool,
    /// A store may have accepted it (answer 502).
    pub is_uncertain: bool,
    /// Its edge has lost power since, and tells stores nothing more of it.
    pub is_forgotten: bool,
}

/// One delivery to the executor.
pub struct Execution {
    /// Index of the message.
    pub message: usize,
    /// When it was started.
    pub started_at: Millis,
    /// When the executor is through.
    pub ended_at: Millis,
    /// The executor has then completed or rejected the message.
    pub ends_message: bool,
    /// When a success was read by the store that had sent it.
    pub read_at: Option<Millis>,
}

/// What is to come at a certain time.
#[derive(Debug)]
#[allow(missing_docs)] // The fields are the indices of stores and messages, and what tells a late event from a present one.
pub enum Event {
    /// A message between two stores arrives.
    PeerMessage { from: usize, to: usize, link: u64 },
    /// A write has reached the disk.
    WriteCompleted { at: usize, life: u64, serial: u64 },
    /// A client sends a message.
    Offer { sent: usize },
    /// The edge's request reaches a store.
    Put { sent: usize, to: usize, asked: u64 },
    /// A store's answer reaches the edge.
    PutAnswered { sent: usize, asked: u64, result: Result<String, PutError> },
    /// The edge gives up a store that has not answered.
    EdgeTimeout { sent: usize, asked: u64 },
    /// A store is told which one of several is kept.
    Superseded { to: usize, sent: usize },
    /// An attempt ends.
    AttemptEnded { at: usize, life: u64, attempt: u64, run: usize, outcome: AttemptOutcome },
    /// A callback was delivered.
    CallbackEnded { at: usize, life: u64, key: Key },
    /// An operator retires a store.
    Retire { at: usize },
    /// A retired store is removed with its disk.
    Remove { at: usize, life: u64 },
    /// A process starts.
    Start { at: usize },
    /// A store receives the configuration.
    ConfigurationTold { at: usize },
    /// Two stores connect, if they can.
    Connect { a: usize, b: usize },
    /// A connection breaks.
    Disconnect { a: usize, b: usize, link: u64 },
    /// A store learns that a connection is lost.
    PeerLost { at: usize, other: usize, life: u64 },
    /// A frozen process goes on.
    Thaw { at: usize, life: u64 },
    /// An isolated store misses the control group.
    ControlLost { at: usize, life: u64, heard: bool },
    /// An isolated store is heard again.
    IsolationEnds { at: usize },
    /// The control group calls a session lapsed.
    SessionLapses { at: usize, life: u64 },
    /// The stores receive the membership.
    MembersTold,
}

/// All stores, what is under way between them, and what is to come.
pub struct Fleet {
    /// What is searched.
    pub bounds: QueueBounds,
    /// Virtual time in milliseconds.
    pub now: Millis,
    serial: u64,
    events: BTreeMap<(Millis, u64), Event>,
    /// The stores.
    pub stores: Vec<Store>,
    /// Open connections, each with a number that tells it from an earlier one.
    pub connections: BTreeMap<(usize, usize), u64>,
    /// Messages between stores that have not arrived.
    in_flight: HashMap<(usize, usize), VecDeque<PeerMessage>>,
    /// From one store to another nothing arrives before then.
    pub partitioned_until: BTreeMap<(usize, usize), Millis>,
    /// From one store to another everything arrives late until then.
    pub delayed_until: BTreeMap<(usize, usize), Millis>,
    /// The messages that clients send.
    pub messages: Vec<SubmittedMessage>,
    /// All executions by the executor.
    pub executions: Vec<Execution>,
    askers: HashMap<(usize, u64), (usize, u64)>,
    /// The store that has just done something others see.
    pub touched: Option<usize>,
    /// Steps so far in which a store did something that others see.
    visible_steps: u32,
    /// From when to when each fault lasts.
    pub fault_periods: Vec<(Millis, Millis)>,
    emptied_stores: BTreeSet<usize>,
    incarnations: u64,
    /// The first property that does not hold.
    pub breach: Option<QueueBreach>,
    /// Nothing more is played.
    pub is_over: bool,
    /// What happens, a line each, if it is wanted.
    pub trace: Option<Vec<String>>,
}

/// A message of the one route.
fn message(number: usize) -> Message {
    Message {
        id: format!("id{number}"),
        host: "h".to_string(),
        method: "POST".to_string(),
        target: format!("/{number}"),
        config_revision: 1,
        body: vec![number as u8; 8],
        ..Message::default()
    }
}

impl Fleet {
    /// A fleet at its start.
    pub fn new(bounds: QueueBounds) -> Fleet {
        let mut fleet = Fleet {
            bounds,
            now: 0,
            serial: 0,
            events: BTreeMap::new(),
            stores: (0..bounds.stores).map(Store::new).collect(),
            connections: BTreeMap::new(),
            in_flight: HashMap::new(),
            partitioned_until: BTreeMap::new(),
            delayed_until: BTreeMap::new(),
            messages: Vec::new(),
            executions: Vec::new(),
            askers: HashMap::new(),
            touched: None,
            visible_steps: 0,
            fault_periods: Vec::new(),
            emptied_stores: BTreeSet::new(),
            incarnations: 0,
            breach: None,
            is_over: false,
            trace: None,
        };
        (0..bounds.stores).for_each(|at| fleet.start(at));
        fleet.script();
        fleet
    }

    fn script(&mut self) {
        match self.bounds.script {
            QueueScript::Taking => self.send_plain_messages(false),
            QueueScript::Emptying => {
                self.send_plain_messages(true);
                self.at(FIRST_MESSAGE_AT + 60, Event::Retire { at: 0 });
            }
            QueueScript::Keys => self.send_tries_of_one_key(),
        }
    }

    /// Messages without keys. `fails_first`: the first attempt of the first one fails.
    fn send_plain_messages(&mut self, fails_first: bool) {
        let stores = self.bounds.stores;
        for (at, delay_ms) in [(0, 0), (1, 2500), (2, 0)] {
            let message = Message {
                callback_url: (at == 2).then(|| "http://10.0.1.1:80/".to_string()),
                delay_ms,
                ..message(at)
            };
            // The delayed one lies on the store that is emptied.
            let first = if at == 1 { stores - 1 } else { at % 2 };
            self.messages.push(SubmittedMessage {
                message,
                first_store: first,
                is_rejected_by_executor: at == 2,
                fails_at_first: fails_first && at == 0,
                ..SubmittedMessage::default()
            });
            self.at(FIRST_MESSAGE_AT + 10 * at as u64, Event::Offer { sent: at });
        }
    }

    /// The store to which edges send the messages of a key.
    fn preferred_store(&self, message: &Message) -> usize {
        let shard = message.idempotency_digest().map(IdempotencyDigest::shard).unwrap_or_default();
        let nodes = || self.stores.iter().map(|store| store.node);
        let preferred = preferred_store_of_shard(shard, nodes());
        nodes().position(|node| Some(node) == preferred).unwrap_or(0)
    }

    fn send_tries_of_one_key(&mut self) {
        for (at, after_ms) in KEY_TRIES_MS.into_iter().enumerate() {
            let message = message(at);
            // Edges that hear all stores send it to the store of its shard; every third one does not hear that.
            let message = Message { idempotency_key: Some("k".to_string()), ..message };
            let preferred = self.preferred_store(&message);
            let first_store = if at % 3 == 2 { (preferred + 1) % self.bounds.stores } else { preferred };
            self.messages.push(SubmittedMessage { message, first_store, ..SubmittedMessage::default() });
            self.at(FIRST_MESSAGE_AT + after_ms, Event::Offer { sent: at });
        }
    }

    /// Plans an event.
    pub fn at(&mut self, after: Millis, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
    }

    /// Adds a line to the trace, if there is one.
    pub fn trace_line(&mut self, line: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{now:6} ms  {}", line()));
        }
    }

    /// Notes that a fault lasts so long from now on.
    pub fn note_fault(&mut self, span: Millis) {
        self.fault_periods.push((self.now, self.now + span));
    }

    /// Whether choices may be taken now.
    pub fn may_choose(&self) -> bool {
        (FIRST_MESSAGE_AT..FIRST_MESSAGE_AT + CHOICE_WINDOW).contains(&self.now)
            && self.visible_steps.is_multiple_of(self.bounds.every)
    }

    /// Something is in flight from one store to another.
    pub fn has_messages_in_flight(&self, from: usize, to: usize) -> bool {
        self.in_flight.get(&(from, to)).is_some_and(|wire| !wire.is_empty())
    }
}
