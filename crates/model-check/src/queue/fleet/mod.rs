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
use stileroute_queue::{AttemptOutcome, Key, Message, Millis, PeerMessage, PutError};

/// Messages are sent from here on, and choices may be taken for so long.
const BEGIN: Millis = 1200;
const WINDOW: Millis = 700;

/// A message, and what the edge knows of it.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    message: Message,
    first: usize,
    /// The executor refuses it; its first attempt fails.
    pub refuses: bool,
    fails_first: bool,
    tried: Vec<usize>,
    asked: u64,
    /// It was answered with 202, with 503, or with 502.
    pub key: Option<Key>,
    pub refused: bool,
    pub unclear: bool,
}

/// One delivery to the executor.
pub struct Run {
    pub sent: usize,
    pub at: Millis,
    /// When the executor is through, and whether that ends the message.
    pub over: Millis,
    pub ends: bool,
    /// When a success was read by the store that had sent it.
    pub read: Option<Millis>,
}

/// What is to come at a certain time.
#[derive(Debug)]
pub enum Event {
    PeerMessage { from: usize, to: usize, link: u64 },
    Synced { at: usize, life: u64, serial: u64 },
    Offer { sent: usize },
    Put { sent: usize, to: usize, asked: u64 },
    Said { sent: usize, asked: u64, result: Result<String, PutError> },
    Impatient { sent: usize, asked: u64 },
    Superseded { to: usize, sent: usize },
    Done { at: usize, life: u64, attempt: u64, run: usize, outcome: AttemptOutcome },
    Called { at: usize, life: u64, key: Key },
    Retire { at: usize },
    Vanish { at: usize, life: u64 },
    Start { at: usize },
    Listen { at: usize },
    Up { a: usize, b: usize },
    Broken { a: usize, b: usize, link: u64 },
    Down { at: usize, other: usize, life: u64 },
    Thaw { at: usize, life: u64 },
    Deaf { at: usize, life: u64, heard: bool },
    Heard { at: usize },
    Lapse { at: usize, life: u64 },
    Members,
}

/// All stores, what is under way between them, and what is to come.
pub struct Fleet {
    pub bounds: QueueBounds,
    pub now: Millis,
    serial: u64,
    events: BTreeMap<(Millis, u64), Event>,
    pub stores: Vec<Store>,
    pub links: BTreeMap<(usize, usize), u64>,
    wires: HashMap<(usize, usize), VecDeque<PeerMessage>>,
    /// From one to another nothing comes through until then, or everything late.
    pub cuts: BTreeMap<(usize, usize), Millis>,
    pub late: BTreeMap<(usize, usize), Millis>,
    pub messages: Vec<Sent>,
    pub runs: Vec<Run>,
    askers: HashMap<(usize, u64), (usize, u64)>,
    /// The store that has just done something others see.
    pub touched: Option<usize>,
    busy: u32,
    pub troubles: Vec<(Millis, Millis)>,
    /// Who is away until when, where that is longer than others wait.
    pub away: Vec<(usize, Millis)>,
    emptied: BTreeSet<usize>,
    lives: u64,
    pub breach: Option<QueueBreach>,
    pub over: bool,
    pub trace: Option<Vec<String>>,
}

impl Fleet {
    pub fn new(bounds: QueueBounds) -> Fleet {
        let mut fleet = Fleet {
            bounds,
            now: 0,
            serial: 0,
            events: BTreeMap::new(),
            stores: (0..bounds.stores).map(Store::new).collect(),
            links: BTreeMap::new(),
            wires: HashMap::new(),
            cuts: BTreeMap::new(),
            late: BTreeMap::new(),
            messages: Vec::new(),
            runs: Vec::new(),
            askers: HashMap::new(),
            touched: None,
            busy: 0,
            troubles: Vec::new(),
            away: Vec::new(),
            emptied: BTreeSet::new(),
            lives: 0,
            breach: None,
            over: false,
            trace: None,
        };
        (0..bounds.stores).for_each(|at| fleet.start(at));
        fleet.script();
        fleet
    }

    fn script(&mut self) {
        let emptying = self.bounds.script == QueueScript::Emptying;
        let stores = self.bounds.stores;
        for (at, delay_ms) in [(0, 0), (1, 2500), (2, 0)] {
            let message = Message {
                id: format!("id{at}"),
                host: "h".to_string(),
                method: "POST".to_string(),
                target: format!("/{at}"),
                callback_url: (at == 2).then(|| "http://10.0.1.1:80/".to_string()),
                delay_ms,
                config_revision: 1,
                body: vec![at as u8; 8],
                ..Message::default()
            };
            // The delayed one lies on the store that is emptied.
            let first = if at == 1 { stores - 1 } else { at % 2 };
            let (refuses, fails_first) = (at == 2, emptying && at == 0);
            self.messages.push(Sent { message, first, refuses, fails_first, ..Sent::default() });
            self.at(BEGIN + 10 * at as u64, Event::Offer { sent: at });
        }
        if emptying {
            self.at(BEGIN + 60, Event::Retire { at: 0 });
        }
    }

    pub fn at(&mut self, after: Millis, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
    }

    pub fn told(&mut self, line: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{now:6} ms  {}", line()));
        }
    }

    pub fn trouble(&mut self, span: Millis) {
        self.troubles.push((self.now, self.now + span));
    }

    /// Whether choices may be taken now.
    pub fn open(&self) -> bool {
        (BEGIN..BEGIN + WINDOW).contains(&self.now) && self.busy.is_multiple_of(self.bounds.every)
    }

    pub fn on_its_way(&self, from: usize, to: usize) -> bool {
        self.wires.get(&(from, to)).is_some_and(|wire| !wire.is_empty())
    }
}
