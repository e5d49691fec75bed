//! What the stand-ins saw. Times are microseconds since the proof began.

use crate::message;
use std::collections::{BTreeMap, HashMap};

pub type Micros = u64;
pub const SECOND: Micros = 1_000_000;

/// What came of one try of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answered {
    Status(u16),
    /// No connection: nothing was sent.
    Never,
    /// The connection ended with no whole answer.
    Cut,
    Late,
}

/// One try of a client: each carries an id of its own, so each is a message.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub prefix: String,
    pub target: String,
    pub at: Micros,
    pub delay: Micros,
    pub callback: bool,
    pub edge: usize,
    /// How long its connection had carried nothing; none where it was opened for this message.
    pub idle: Option<Micros>,
    pub answered: Answered,
    pub answered_at: Micros,
    pub name: Option<String>,
}

/// A further try with the idempotency key of a message, which is the id of its first try.
#[derive(Clone, Debug)]
pub struct Retry {
    /// Its own id: the message has it if it is this try that is accepted.
    pub id: String,
    pub edge: usize,
    pub at: Micros,
    pub answered: Answered,
    pub answered_at: Micros,
    /// The name of the message, where it was accepted.
    pub name: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    Done {
        seal: String,
    },
    /// 500: another attempt may succeed.
    Failed,
    /// 422: it can never be done.
    Refused,
    /// 421, 503 or 429 with `X-Not-Run`.
    NotRun(u16),
    /// The executor ended before it answered.
    Broke,
}

/// A request at an executor.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub target: String,
    /// The body is the one that the client sent.
    pub whole: bool,
    pub service: String,
    pub server: String,
    pub at: Micros,
    pub ended: Micros,
    pub work: Work,
}

impl Arrival {
    pub fn ran(&self) -> bool {
        !matches!(self.work, Work::NotRun(_))
    }
    pub fn seal(&self) -> Option<&str> {
        match &self.work {
            Work::Done { seal } => Some(seal),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    Waiting,
    Complete {
        seal: String,
    },
    Failed,
    /// 404.
    Unknown,
    /// Nothing that can be read came in time.
    Nothing,
}

/// A call-back.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub said: Said,
    pub taken: bool,
}

/// What an edge said of a message once all should have ended.
#[derive(Clone, Debug)]
pub struct Reading {
    pub id: String,
    pub edge: usize,
    pub said: Said,
}

/// A configuration that was sent: its routes, by prefix.
#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    pub sent: Micros,
    pub acked: Option<Micros>,
    /// Service and most tries of each.
    pub routes: BTreeMap<String, (String, u32)>,
    pub body: Vec<u8>,
}

/// What one control node read back: the version that was sent with just these bytes, if there is one.
#[derive(Clone, Debug)]
pub struct Read {
    /// Those of one round are asked with no change between them.
    pub round: u32,
    pub at: Micros,
    pub answered_at: Micros,
    pub control: String,
    pub version: Option<u64>,
    pub content: Content,
}

/// What tells two configurations under one number apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Content(pub u64);

impl Content {
    pub fn of(body: &[u8]) -> Content {
        Content(
            body.iter().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
                (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
            }),
        )
    }
}

/// What a control node was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Ask {
    Replace(Content),
    Read,
    Retire(String),
    RetireRead(String),
    /// An executor says that it drains.
    Draining(String),
}

/// One request to one control node, and what came of it.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Micros,
    pub answered_at: Micros,
    pub control: String,
    pub ask: Ask,
    /// None where no whole answer came.
    pub status: Option<u16>,
    /// Whether an acknowledgement says that just this content is in force; none where it says neither.
    pub applied: Option<bool>,
}

/// A control node had no contact with the other control nodes, in one direction at least, and with all others it had.
#[derive(Clone, Debug)]
pub struct Isolation {
    pub control: String,
    pub from: Micros,
    pub to: Micros,
}

/// An executor whose draining was acknowledged.
#[derive(Clone, Debug)]
pub struct Drain {
    pub server: String,
    pub acked: Micros,
}

/// A span that is bounded.
#[derive(Clone, Debug)]
pub struct Take {
    pub what: String,
    pub took: Option<Micros>,
    pub most: Micros,
}

/// Something seen at once to be so or not.
#[derive(Clone, Debug)]
pub struct Seen {
    pub what: String,
    pub right: bool,
}

#[derive(Clone, Debug, Default)]
pub struct History {
    pub sent: Vec<Sent>,
    pub retries: Vec<Retry>,
    pub arrivals: Vec<Arrival>,
    pub calls: Vec<Call>,
    pub readings: Vec<Reading>,
    pub versions: Vec<Version>,
    /// Rates by service.
    pub ceilings: Vec<(String, f64)>,
    pub drains: Vec<Drain>,
    /// From a fault until the machine was started again.
    pub troubles: Vec<(Micros, Micros)>,
    /// From when a process was stopped where it stood until it went on: what it had in hand it still has.
    pub freezes: Vec<(Micros, Micros)>,
    /// A machine was cut off: it lives, and knows all that it did.
    pub cuts: Vec<(Micros, Micros)>,
    /// All machines of one place had no contact with the others.
    pub halvings: Vec<(Micros, Micros)>,
    pub isolations: Vec<Isolation>,
    /// Writes of the recorder's own that took so long that stores may have turned messages away meanwhile.
    pub slow_writes: Vec<(Micros, Micros)>,
    pub orders: Vec<Order>,
    pub reads: Vec<Read>,
    pub takes: Vec<Take>,
    pub seen: Vec<Seen>,
}

impl History {
    /// The name of each message that was accepted, by the id of its first try: that of the first answer of 202.
    pub fn accepted_names(&self) -> HashMap<&str, &str> {
        let sent = self.sent.iter().map(|sent| (sent.id.as_str(), sent.answered, &sent.name));
        let retries = self.retries.iter().map(|retry| (retry.id.as_str(), retry.answered, &retry.name));
        let mut names = HashMap::new();
        for (id, answered, name) in sent.chain(retries) {
            if answered == Answered::Status(202) {
                names.entry(message::first_id(id)).or_insert(name.as_deref().unwrap_or(id));
            }
        }
        names
    }
}
