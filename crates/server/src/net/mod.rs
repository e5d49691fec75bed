//! Network layer of a process: one event loop over all sockets.
//!
//! A role polls for [`Event`]s and submits the data to send; this layer does not interpret the content. Output that a
//! role writes between two polls is sent at the next poll with one system call per connection, because wake-ups and
//! system calls dominate the CPU time on the small machines that the system runs on.
//!
//! - [`connection`] and [`listener`] hold the sockets, [`timers`] their deadlines, and [`transfer`] moves bytes.
//! - [`server`] handles incoming HTTP/1.1 requests, and [`client`] sends outgoing ones.
//! - [`peer`] handles connections between the system's own processes, whose frames are delimited by [`framing`].

mod client;
mod connection;
pub mod fault_injection;
mod framing;
mod listener;
mod peer;
#[cfg(test)]
mod random;
mod server;
mod timers;
mod transfer;

pub use client::connection::CallError;
pub use client::reply::CallReply;
pub use client::OutgoingCall;
pub use connection::ConnectionId;
pub use listener::ListenerId;
pub use server::message::{Request, RequestLimits, Response};

use crate::metrics::Histogram;
use client::pool::{Pool, PoolKey};
use connection::{ConnectionTable, Protocol};
use listener::Listener;
use mio::{Events, Poll, Token, Waker};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::{Duration, Instant};
use timers::Timers;

/// Milliseconds on the process's monotonic clock, which starts at 0 when the process starts.
pub type Millis = u64;

/// Poll token of the waker. A listener's token is its number plus [`FIRST_LISTENER_TOKEN`], and a connection's token
/// is its slot index.
const WAKER_TOKEN: Token = Token(usize::MAX);
/// First token value of listeners; smaller tokens are connections.
const FIRST_LISTENER_TOKEN: usize = usize::MAX / 2;
/// Maximum number of I/O events handled per poll.
const MAX_IO_EVENTS: usize = 256;
/// Maximum time that one poll waits, in milliseconds.
const MAX_WAIT_MS: Millis = 60_000;
/// Maximum number of bytes read with one system call.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Event that occurred since the last poll.
#[derive(Debug)]
pub enum Event {
    /// A complete request has arrived; it must be answered exactly once, with [`Net::respond`].
    Request {
        /// Connection that waits for the response.
        connection: ConnectionId,
        /// Listener that accepted the connection.
        listener: ListenerId,
        /// Received request.
        request: Request,
    },
    /// A [`Net::call`] has finished.
    CallCompleted {
        /// Call identifier that the caller chose.
        call_id: u64,
        /// Reply to the call, or the reason why there is none.
        result: Result<CallReply, CallError>,
    },
    /// A connection with another process of the system was established.
    PeerConnected {
        /// Established connection.
        connection: ConnectionId,
    },
    /// A connection with another process of the system was closed or could not be established.
    PeerDisconnected {
        /// Identifier of the closed connection, which is not used again.
        connection: ConnectionId,
    },
    /// Another process of the system has sent a frame.
    PeerFrame {
        /// Connection on which the frame arrived.
        connection: ConnectionId,
        /// Content of the frame.
        bytes: Vec<u8>,
    },
    /// Another thread has called the [`Waker`] because it has work for the event loop.
    WakeUp,
}

/// Event loop with all its sockets.
pub struct Net {
    poll: Poll,
    /// Event buffer for the poll; `None` only while its events are handled.
    io_events: Option<Events>,
    connections: ConnectionTable,
    listeners: Vec<Option<Listener>>,
    pools: HashMap<PoolKey, Pool>,
    timers: Timers,
    /// Events that the next poll returns.
    events: VecDeque<Event>,
    /// Connections with output that was added since the last flush.
    unflushed: Vec<ConnectionId>,
    start: Instant,
    now: Millis,
    read_buffer: Vec<u8>,
    /// Number of polls.
    pub poll_count: u64,
    /// Number of calls that were lost on a connection that had been idle before the call.
    pub idle_connections_lost: u64,
    /// Number of connections that were opened for calls.
    pub connections_opened: u64,
    /// Number of connections that were not accepted or opened because no slot or file descriptor was free.
    pub connections_rejected: u64,
    /// Number of malformed requests and frames.
    pub malformed_inputs: u64,
    /// Number of responses by listener and status.
    pub responses: BTreeMap<(ListenerId, u16), u64>,
    /// Time from a complete request to its response with status 202.
    pub accept_latency: Histogram,
}

impl Net {
    /// Creates an event loop with capacity for `max_connections` connections, and the waker with which other threads
    /// interrupt its poll.
    ///
    /// # Errors
    ///
    /// The operating system can't create a poll or a waker.
    pub fn new(max_connections: usize) -> std::io::Result<(Net, Arc<Waker>)> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER_TOKEN)?);
        let net = Net {
            poll,
            io_events: Some(Events::with_capacity(MAX_IO_EVENTS)),
            connections: ConnectionTable::new(max_connections),
            listeners: Vec::new(),
            pools: HashMap::new(),
            timers: Timers::default(),
            events: VecDeque::new(),
            unflushed: Vec::new(),
            start: Instant::now(),
            now: 0,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            poll_count: 0,
            idle_connections_lost: 0,
            connections_opened: 0,
            connections_rejected: 0,
            malformed_inputs: 0,
            responses: BTreeMap::new(),
            accept_latency: Histogram::default(),
        };
        Ok((net, waker))
    }

    /// Returns the time of the last poll.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Returns the current time in tenths of a millisecond, the time unit of the dispatch module.
    pub fn now_tenths_ms(&self) -> i64 {
        (self.start.elapsed().as_micros() / 100) as i64
    }

    /// Sets [`Net::now`] to the current time, for use after long-running work, and returns it.
    pub fn refresh_now(&mut self) -> Millis {
        self.now = self.start.elapsed().as_millis() as Millis;
        self.now
    }

    /// Writes pending output, then waits until an event occurs or the time `until` is reached.
    pub fn poll(&mut self, until: Millis) -> VecDeque<Event> {
        self.flush();
        self.poll_count += 1;
        if self.events.is_empty() {
            self.wait_for_io(until);
            self.expire_deadlines();
        }
        std::mem::take(&mut self.events)
    }

    fn wait_for_io(&mut self, until: Millis) {
        let now = self.refresh_now();
        let wake_at = until.min(self.timers.next_deadline());
        let wait_ms = wake_at.saturating_sub(now).min(MAX_WAIT_MS);
        let Some(mut io_events) = self.io_events.take() else { return };
        if let Err(error) = self.poll.poll(&mut io_events, Some(Duration::from_millis(wait_ms))) {
            // A signal interrupts the poll; the role then checks whether it was a request to shut down.
            if error.kind() != ErrorKind::Interrupted {
                tracing::error!(%error, "poll");
            }
            io_events.clear();
        }
        self.refresh_now();
        for io_event in io_events.iter() {
            match io_event.token() {
                WAKER_TOKEN => self.events.push_back(Event::WakeUp),
                Token(token) if token >= FIRST_LISTENER_TOKEN => self.accept(token - FIRST_LISTENER_TOKEN),
                Token(index) => {
                    let is_readable = io_event.is_readable() || io_event.is_read_closed();
                    self.connection_ready(index, is_readable, io_event.is_writable());
                }
            }
        }
        self.io_events = Some(io_events);
    }

    /// Handles the connections whose deadlines have passed.
    fn expire_deadlines(&mut self) {
        while let Some(id) = self.timers.pop_expired(self.now) {
            let now = self.now;
            let Some(connection) = self.connections.get_mut(id) else { continue };
            if connection.deadline > now {
                // The connection's deadline was postponed and has a timer of its own.
                continue;
            }
            match &connection.protocol {
                Protocol::Server(_) => self.request_timed_out(id),
                Protocol::Client(_) => self.call_timed_out(id),
                Protocol::Peer | Protocol::Lingering => self.close(id),
            }
        }
    }

    /// Sets the time at which the connection's time-out handler runs if there is no activity before.
    fn set_deadline(&mut self, id: ConnectionId, deadline: Millis) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.deadline = deadline;
        }
        self.timers.add(id, deadline);
    }

    /// Returns the number of open connections of all kinds.
    pub fn open_connections(&self) -> usize {
        self.connections.open_count()
    }

    /// Closes a connection. Unwritten output is discarded.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(mut connection) = self.connections.remove(id) else { return };
        let _ = self.poll.registry().deregister(&mut connection.stream);
        match connection.protocol {
            Protocol::Peer => self.events.push_back(Event::PeerDisconnected { connection: id }),
            Protocol::Client(client) => self.remove_from_pool(id, client.pool),
            Protocol::Server(_) | Protocol::Lingering => {}
        }
    }
}
