//! The protocol-independent interfaces between the dispatch loop and the network: jobs, pushes, their outcomes,
//! replies and executor list entries. Ops come from a client frontend and pushes go to an executor transport.
//! The dispatch loop uses both without knowing their protocol, and they reach the dispatch loop only through
//! its events.

use crate::state::buffer_pool::Bytes;
use crate::state::disabled_executors::DisabledSet;
use crate::state::metrics::InFlightGuard;
use crossbeam_channel::Sender;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use stileroute_dispatch::types::{OutgoingMessage, Time};
use stileroute_route_limits::table::Table;

/// A job submitted by a client, with everything that an executor transport needs to encode it.
pub trait Job: Send + Sync {
    fn id(&self) -> &str;
    fn category(&self) -> &str;
    /// The idempotency key by which a repeated request is recognized.
    fn idempotency_key(&self) -> Option<&str>;
    fn method(&self) -> &str;
    fn path(&self) -> &str;
    /// The client's estimate of the work in microseconds, as the client wrote it.
    fn cost(&self) -> Option<&str>;
    fn content_type(&self) -> Option<&str>;
    /// A header that routes match on, by its lower-case name.
    fn header(&self, name: &str) -> Option<&str>;
    fn body(&self) -> &[u8];
}

/// The validated parameters of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobParameters {
    pub category: usize,
    pub slots: f64,
    pub memory: f64,
    pub hint: Option<Time>,
    pub budget: Time,
}

/// The reply that a client still has to receive. Its op counts as in flight until this, or the reply made from
/// it, is dropped.
pub struct PendingReply {
    pub reply_to: Sender<OpReply>,
    /// Counts the op as in flight; `None` if no metrics are kept.
    pub in_flight: Option<Box<InFlightGuard>>,
}

impl PendingReply {
    /// Sends the reply. A client that has disconnected gets none.
    pub fn send(self, outcome: OpOutcome, deadline: Instant) {
        let _ = self.reply_to.try_send(OpReply { outcome, in_flight: self.in_flight, deadline });
    }
}

/// The final reply to an op.
pub struct OpReply {
    pub outcome: OpOutcome,
    /// The guard that counts the op as in flight until the reply is written; `None` if metrics are off.
    pub in_flight: Option<Box<InFlightGuard>>,
    /// The time after which no client waits for the reply.
    pub deadline: Instant,
}

pub enum OpOutcome {
    /// The op ran; this is the result from the executor.
    Acked(Bytes),
    /// A retry is harmless, but not before `retry_after` (in ticks of 100 µs); zero means no advice.
    Nacked {
        why: &'static str,
        retry_after: Time,
    },
    DeadLettered,
    /// An executor rejected the request as invalid, with this status.
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
    /// No connection could be made, or it broke before the last byte of the request was written.
    NotConnected,
    /// The connection broke before the last byte of the request was written; `used`: it had carried a push
    /// before.
    WriteFailed {
        used: bool,
    },
    /// Not attempted for a reason local to this node, for example a lack of buffers.
    NotSent,
    /// The request was written completely, but the connection ended without a final status line: the job may
    /// have run.
    Lost,
    /// Like `Lost`, but on a reused connection without a single response byte: the job may have run, but it is
    /// more likely that the connection was closed while idle than that the executor failed.
    StaleConnection,
}

/// One push to be sent.
pub struct Push {
    pub ticket: u64,
    pub push: usize,
    pub job: Arc<dyn Job>,
    /// A repeat of the op is not harmless: the last byte is held back until the connection is known to be open.
    pub hold_last_byte: bool,
    /// The push needs a new connection, on which it is provably the first to be written.
    pub new_connection: bool,
    /// The deadline of the op.
    pub deadline: Instant,
    /// No byte of the push may be written after this time.
    pub write_deadline: Instant,
    /// The route's limit on the time for opening a new connection.
    pub connect_timeout: Option<Duration>,
}

/// The dispatch loop's handle of a push that is in flight.
pub trait PushHandle: Send + Sync {
    /// Cancels the push in whatever state it is. Its outcome is still reported as usual.
    fn cancel(&self);
    /// Withholds the push if none of its bytes has been written: its op has its final reply.
    fn withhold_unsent(&self);
}

/// Sends messages to other nodes. Messages that would block the dispatch loop are dropped.
pub trait PeerTransport {
    fn send(&self, letter: &OutgoingMessage);
    /// Number of received messages that were dropped before they reached the dispatch loop.
    fn dropped(&self) -> u64;
}

/// Sends pushes to the executors of one protocol. It never blocks.
pub trait ExecutorTransport {
    /// Starts a push. Returns `None` if this node has no connection available for it.
    fn push(&mut self, executor: usize, to: SocketAddr, push: Push) -> Option<Arc<dyn PushHandle>>;
    /// The push on this connection has ended. Returns the executor to which the connection is now idle, if it
    /// is.
    fn release(&mut self, number: u64, is_reusable: bool) -> Option<usize>;
    /// Closes the idle connections to this executor.
    fn close_idle(&mut self, executor: usize, why: &'static str);
    /// Closes connections that have been idle too long.
    fn close_expired(&mut self);
    /// Limits the transport to half of its connections, or lifts that limit.
    fn set_half_capacity(&mut self, half: bool);
}

/// The clients of one protocol, from which ops come.
pub trait ClientFrontend: Send + Sync {
    /// Sets whether new clients may be sent to this node.
    fn set_ready(&self, ready: bool);
    /// Stops accepting clients at shutdown, if another process accepts them on the same listener. Returns true
    /// if so.
    fn stop_accepting(&self) -> bool;
    /// Closes client connections: the node is about to exit.
    fn close_connections(&self);
    /// Whether no client waits for a response.
    fn is_idle(&self) -> bool;
    /// Sets the headers that are read from each request from now on, because routes match on them.
    fn set_routed_headers(&self, headers: &[String]);
}

/// A list of executors: a complete snapshot or only changes.
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
    /// The executor is still in the list, whether or not it accepts new work.
    pub listed: bool,
    /// The executor accepts new work.
    pub active: bool,
    pub weight: f64,
    /// Time of the executor's latest start; `None` means long ago.
    pub started: Option<Time>,
}

/// Commands of operators. The dispatch loop runs them before all other events.
pub enum AdminCommand {
    /// Asks whether an executor of this name was ever listed.
    IsListed(String, Sender<bool>),
    /// Disables exactly these executors.
    SetDisabled(DisabledSet, Sender<bool>),
    /// Another process of this node has started (true) or has ended (false).
    SiblingProcess(bool),
}

/// The events that the dispatch loop handles.
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
        /// Completed fraction of the job, 0 to 1; zero if it is not reported.
        progress: f64,
    },
    PushEnded {
        ticket: u64,
        push: usize,
        push_outcome: PushOutcome,
        load: Option<Vec<f64>>,
    },
    /// A message from another node.
    PeerMessage {
        from: usize,
        text: Vec<u8>,
    },
    ConnectionReleased {
        number: u64,
        is_reusable: bool,
    },
    /// A list or changes to it. `is_first_from_address`: the first list from this discovery address.
    ExecutorList {
        list: ExecutorList,
        is_first_from_address: bool,
    },
    /// Discovery gave no list. `was_rejected`: it answered, but refused to serve this node now.
    DiscoveryFailed {
        was_rejected: bool,
    },
    /// Numbers of nodes that are likely to be live, and that may be sending.
    FleetSize {
        live: usize,
        possibly_sending: usize,
    },
    /// A new, validated route table.
    Routes(Arc<Table>),
    Shutdown,
}
