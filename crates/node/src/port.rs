//! What stands between the desk and the protocols: jobs, pushes, how they end, answers, list entries, in no protocol's
//! words. A front is where ops come from, an outlet where pushes go; the desk holds both without knowing which
//! protocol they speak, and they know the desk only by its events.

use crate::store::figures::InHand;
use crate::store::outs::State;
use crate::store::pool::Bytes;
use crossbeam_channel::Sender;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use stileroute_dispatch::types::{OutgoingMessage, Time};
use stileroute_route_limits::table::Table;

/// What a client hands in. Whatever an outlet needs of it to speak its own protocol, it asks for here.
pub trait Job: Send + Sync {
    fn id(&self) -> &str;
    /// Name of the category.
    fn category(&self) -> &str;
    /// The mark by which a repeat is known.
    fn mark(&self) -> Option<&str>;
    fn method(&self) -> &str;
    fn path(&self) -> &str;
    /// A guess at the work, in microseconds, as the client wrote it.
    fn cost(&self) -> Option<&str>;
    fn content_type(&self) -> Option<&str>;
    /// A header that routes look at, by its name in lower case.
    fn header(&self, name: &str) -> Option<&str>;
    fn body(&self) -> &[u8];
}

/// The figures of a job that may be taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked {
    pub category: usize,
    pub slots: f64,
    pub memory: f64,
    pub hint: Option<Time>,
    pub budget: Time,
}

/// The answer that is owed to a client; its op is in hand until this, or the answer that is given, is dropped.
pub struct Owed {
    pub to: Sender<Answer>,
    /// Where figures are kept.
    pub in_hand: Option<Box<InHand>>,
}

impl Owed {
    /// Gives it; whoever is gone gets none.
    pub fn give(self, fate: Fate, until: Instant) {
        let _ = self.to.try_send(Answer { fate, in_hand: self.in_hand, until });
    }
}

/// The final answer to an op.
pub struct Answer {
    pub fate: Fate,
    /// Under which it is counted, if it is: it stays in hand until then.
    pub in_hand: Option<Box<InHand>>,
    /// When no one waits for it any more.
    pub until: Instant,
}

pub enum Fate {
    /// With the result that an executor gave.
    Acked(Bytes),
    /// A retry is harmless; not before this long, zero for no advice.
    Nacked {
        why: &'static str,
        retry_after: Time,
    },
    DeadLettered,
    /// Refused by an executor for what it is, with a status of its own.
    Unfit {
        status: u16,
    },
}

/// How a push ended.
pub enum How {
    Done(Bytes),
    Failed,
    Unfit(u16),
    Returned,
    /// No connection, or it broke before the request's last byte was written.
    Unconnected,
    /// It broke under the request, before its last byte was written; whether it had been used before.
    Cut {
        used: bool,
    },
    /// Not tried, for reasons of this node alone.
    Untried,
    /// All was written, and the connection ended without the last line: it may have run.
    Lost,
    /// The same, on a connection used before and without a word of answer: it may have run, but the connection is
    /// more likely to have ended while it was idle than the executor to have failed.
    Broken,
}

/// One push on its way out.
pub struct Push {
    pub ticket: u64,
    pub push: usize,
    pub job: Arc<dyn Job>,
    /// A repeat is not harmless.
    pub wary: bool,
    /// It may go only where it provably is the first to be written.
    pub anew: bool,
    /// When the time of the op is out.
    pub until: Instant,
    /// Beyond this nothing of it may be written any more.
    pub leave_by: Instant,
    /// A route's own bound on the time that a new connection may take.
    pub connect: Option<Duration>,
}

/// What the desk holds of a push that is out.
pub trait Link: Send + Sync {
    /// Gives it up, wherever it is waiting; its end is told as ever.
    fn call_off(&self);
    /// Keeps it back if nothing of it was written yet: its op has its final answer.
    fn keep_back(&self);
}

/// What carries messages to other nodes. It drops what would make the desk wait.
pub trait Carrier {
    fn send(&self, letter: &OutgoingMessage);
    /// Messages of others that were dropped before they came to the desk.
    fn dropped(&self) -> u64;
}

/// Where pushes go: the executors of one protocol. It never waits.
pub trait Outlet {
    /// Sends a push out; none where this node has no room for it.
    fn push(&mut self, executor: usize, to: SocketAddr, push: Push) -> Option<Arc<dyn Link>>;
    /// A connection's task is over; the executor that it is idle for now, if it is.
    fn back(&mut self, number: u64, keep: bool) -> Option<usize>;
    /// Closes what is idle there.
    fn leave(&mut self, executor: usize, why: &'static str);
    /// Closes what has been idle too long.
    fn retire(&mut self);
    /// Keeps to half of its places, or to all.
    fn halve(&mut self, half: bool);
}

/// Where ops come from: the clients of one protocol.
pub trait Front: Send + Sync {
    /// Whether new clients may be sent here.
    fn ready(&self, ready: bool);
    /// The node is told to end: no clients are taken any more where another process takes them. True if so.
    fn leave(&self) -> bool;
    /// The node is about to end: clients are steered off.
    fn steer(&self);
    /// Nobody is owed anything any more.
    fn quiet(&self) -> bool;
    /// From now on these headers of a request are asked for.
    fn want(&self, headers: &[String]);
}

/// A list of executors, whole or changes only.
#[derive(Clone, Debug)]
pub struct List {
    pub index: i64,
    pub whole: bool,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: Option<SocketAddr>,
    pub domain: String,
    pub kind: String,
    pub cell: usize,
    /// It is still in the list, whether or not it takes new work.
    pub listed: bool,
    /// It takes new work.
    pub active: bool,
    pub weight: f64,
    /// Latest start; `None` means long past.
    pub started: Option<Time>,
}

/// What operators want of the desk, which it looks at before all else.
pub enum Order {
    /// Whether an executor of that name was ever listed.
    Known(String, Sender<bool>),
    /// These are out by hand, and no others.
    Outs(State, Sender<bool>),
    /// Another process of the node lives, or lives no more.
    Beside(bool),
}

/// What the desk is told.
pub enum Event {
    Asked {
        ticket: u64,
        job: Arc<dyn Job>,
        asked: Asked,
        came: Instant,
        reply: Owed,
    },
    Withdrawn {
        ticket: u64,
    },
    Note {
        ticket: u64,
        push: usize,
        start: bool,
        /// Share of the job that is done; zero where it is not told.
        done: f64,
    },
    Ended {
        ticket: u64,
        push: usize,
        how: How,
        load: Option<Vec<f64>>,
    },
    /// A message of another node.
    Heard {
        from: usize,
        text: Vec<u8>,
    },
    Free {
        number: u64,
        keep: bool,
    },
    /// A list, or changes of it; `anew` if it is the first from its address.
    List {
        list: List,
        anew: bool,
    },
    /// No list came; `turned_away`: there was an answer, but none for this caller now.
    ListSilent {
        turned_away: bool,
    },
    /// So many instances are likely to live, and so many may be sending.
    Fleet {
        likely: usize,
        safe: usize,
    },
    /// New routes, checked.
    Routes(Arc<Table>),
    End,
}
