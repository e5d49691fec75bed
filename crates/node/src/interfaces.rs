//! What stands between the desk and the protocols: jobs, pushes, how they end, answers, list entries, in no protocol's
//! words. A front is where ops come from, an outlet where pushes go; the desk holds both without knowing which
//! protocol they speak, and they know the desk only by its events.

use crate::state::buffer_pool::Bytes;
use crate::state::disabled_executors::DisabledSet;
use crate::state::metrics::InFlightGuard;
use crossbeam_channel::Sender;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use stileroute_dispatch::types::{Letter, Time};
use stileroute_route_limits::table::Table;

/// What a client hands in. Whatever an outlet needs of it to speak its own protocol, it asks for here.
pub trait Job: Send + Sync {
    fn id(&self) -> &str;
    /// Name of the category.
    fn category(&self) -> &str;
    /// The mark by which a repeat is known.
    fn idempotency_key(&self) -> Option<&str>;
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
pub struct JobParameters {
    pub category: usize,
    pub slots: f64,
    pub memory: f64,
    pub hint: Option<Time>,
    pub budget: Time,
}

/// The answer that is owed to a client; its op is in hand until this, or the answer that is given, is dropped.
pub struct PendingReply {
    pub reply_to: Sender<OpReply>,
    /// Where figures are kept.
    pub in_flight: Option<Box<InFlightGuard>>,
}

impl PendingReply {
    /// Gives it; whoever is gone gets none.
    pub fn send(self, outcome: OpOutcome, deadline: Instant) {
        let _ = self.reply_to.try_send(OpReply { outcome, in_flight: self.in_flight, deadline });
    }
}

/// The final answer to an op.
pub struct OpReply {
    pub outcome: OpOutcome,
    /// Under which it is counted, if it is: it stays in hand until then.
    pub in_flight: Option<Box<InFlightGuard>>,
    /// When no one waits for it any more.
    pub deadline: Instant,
}

pub enum OpOutcome {
    /// With the result that an executor gave.
    Acked(Bytes),
    /// A retry is harmless; not before this long, zero for no advice.
    Nacked {
        why: &'static str,
        come_back: Time,
    },
    DeadLettered,
    /// Refused by an executor for what it is, with a status of its own.
    Rejected {
        status: u16,
    },
}

/// How a push ended.
pub enum PushOutcome {
    Done(Bytes),
    Failed,
    Rejected(u16),
    Returned,
    /// No connection, or it broke before the request's last byte was written.
    NotConnected,
    /// It broke under the request, before its last byte was written; whether it had been used before.
    WriteFailed {
        used: bool,
    },
    /// Not tried, for reasons of this node alone.
    NotSent,
    /// All was written, and the connection ended without the last line: it may have run.
    Lost,
    /// The same, on a connection used before and without a word of answer: it may have run, but the connection is
    /// more likely to have ended while it was idle than the executor to have failed.
    StaleConnection,
}

/// One push on its way out.
pub struct Push {
    pub ticket: u64,
    pub push: usize,
    pub job: Arc<dyn Job>,
    /// A repeat is not harmless.
    pub hold_last_byte: bool,
    /// It may go only where it provably is the first to be written.
    pub new_connection: bool,
    /// When the time of the op is out.
    pub deadline: Instant,
    /// Beyond this nothing of it may be written any more.
    pub write_deadline: Instant,
    /// A route's own bound on the time that a new connection may take.
    pub connect_timeout: Option<Duration>,
}

/// What the desk holds of a push that is out.
pub trait PushHandle: Send + Sync {
    /// Gives it up, wherever it is waiting; its end is told as ever.
    fn cancel(&self);
    /// Keeps it back if nothing of it was written yet: its op has its final answer.
    fn withhold_unsent(&self);
}

/// What carries messages to other nodes. It drops what would make the desk wait.
pub trait PeerTransport {
    fn send(&self, letter: &Letter);
    /// Messages of others that were dropped before they came to the desk.
    fn dropped(&self) -> u64;
}

/// Where pushes go: the executors of one protocol. It never waits.
pub trait ExecutorTransport {
    /// Sends a push out; none where this node has no room for it.
    fn push(&mut self, executor: usize, to: SocketAddr, push: Push) -> Option<Arc<dyn PushHandle>>;
    /// A connection's task is over; the executor that it is idle for now, if it is.
    fn release(&mut self, number: u64, is_reusable: bool) -> Option<usize>;
    /// Closes what is idle there.
    fn close_idle(&mut self, executor: usize, why: &'static str);
    /// Closes what has been idle too long.
    fn close_expired(&mut self);
    /// Keeps to half of its places, or to all.
    fn set_half_capacity(&mut self, half: bool);
}

/// Where ops come from: the clients of one protocol.
pub trait ClientFrontend: Send + Sync {
    /// Whether new clients may be sent here.
    fn set_ready(&self, ready: bool);
    /// The node is told to end: no clients are taken any more where another process takes them. True if so.
    fn stop_accepting(&self) -> bool;
    /// The node is about to end: clients are steered off.
    fn close_connections(&self);
    /// Nobody is owed anything any more.
    fn is_idle(&self) -> bool;
    /// From now on these headers of a request are asked for.
    fn set_routed_headers(&self, headers: &[String]);
}

/// A list of executors, whole or changes only.
#[derive(Clone, Debug)]
pub struct ExecutorList {
    pub index: i64,
    pub is_snapshot: bool,
    pub entries: Vec<ExecutorEntry>,
}

#[derive(Clone, Debug)]
pub struct ExecutorEntry {
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
pub enum AdminCommand {
    /// Whether an executor of that name was ever listed.
    IsListed(String, Sender<bool>),
    /// These are out by hand, and no others.
    SetDisabled(DisabledSet, Sender<bool>),
    /// Another process of the node lives, or lives no more.
    SiblingProcess(bool),
}

/// What the desk is told.
pub enum Event {
    Submitted {
        ticket: u64,
        job: Arc<dyn Job>,
        parameters: JobParameters,
        received_at: Instant,
        reply: PendingReply,
    },
    Withdrawn {
        ticket: u64,
    },
    Progress {
        ticket: u64,
        push: usize,
        has_started: bool,
        /// Share of the job that is done; zero where it is not told.
        progress: f64,
    },
    PushEnded {
        ticket: u64,
        push: usize,
        push_outcome: PushOutcome,
        load: Option<Vec<f64>>,
    },
    /// A message of another node.
    PeerMessage {
        from: usize,
        text: Vec<u8>,
    },
    ConnectionReleased {
        number: u64,
        is_reusable: bool,
    },
    /// A list, or changes of it; `anew` if it is the first from its address.
    ExecutorList {
        list: ExecutorList,
        is_first_from_address: bool,
    },
    /// No list came; `turned_away`: there was an answer, but none for this caller now.
    DiscoveryFailed {
        was_rejected: bool,
    },
    /// So many instances are likely to live, and so many may be sending.
    FleetSize {
        live: usize,
        possibly_sending: usize,
    },
    /// New routes, checked.
    Routes(Arc<Table>),
    Shutdown,
}
