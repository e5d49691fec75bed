//! The network of a process: one event loop over all sockets.
//!
//! A role polls for [`Event`]s and hands in what is to be sent; what the bytes mean to a role is not known here. What a role
//! writes between two polls goes out at the next one, with one system call for each connection: wake-ups and system calls
//! are what the small machines that this runs on spend their time with.
//!
//! - [`connection`] and [`listener`] hold the sockets, [`timers`] their deadlines, and [`transfer`] moves bytes.
//! - [`server`] is HTTP/1.1 for requests that come in, [`client`] for those that go out.
//! - [`peer`] is the connections between the system's own processes, whose frames [`framing`] delimits.

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

/// Milliseconds on this process's monotonic clock, which starts at 0 with the process.
pub type Millis = u64;

/// The token of the waker; a listener's is its number above [`FIRST_LISTENER_TOKEN`], and a connection's its place.
const WAKER_TOKEN: Token = Token(usize::MAX);
/// Tokens from here on are listeners.
const FIRST_LISTENER_TOKEN: usize = usize::MAX / 2;
/// Most I/O events taken in one poll.
const MAX_IO_EVENTS: usize = 256;
/// Longest wait in one poll.
const MAX_WAIT_MS: Millis = 60_000;
/// Bytes read with one system call.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// What has happened since the last poll.
#[derive(Debug)]
pub enum Event {
    /// A complete request has come; it is to be answered once, by [`Net::respond`].
    Request {
        /// The connection that waits for the response.
        connection: ConnectionId,
        /// The listener that accepted the connection.
        listener: ListenerId,
        /// The request.
        request: Request,
    },
    /// A [`Net::call`] has its outcome.
    CallCompleted {
        /// The number that the caller gave it.
        call_id: u64,
        /// The reply, or why there is none.
        result: Result<CallReply, CallError>,
    },
    /// A connection with another process of the system is established.
    PeerConnected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection with another process of the system is closed, or could not be established.
    PeerDisconnected {
        /// The connection, whose identifier is not used again.
        connection: ConnectionId,
    },
    /// Another process of the system has sent a frame.
    PeerFrame {
        /// The connection.
        connection: ConnectionId,
        /// The frame's content.
        bytes: Vec<u8>,
    },
    /// Another thread has used the [`Waker`]: it has something for the loop.
    WakeUp,
}

/// The event loop with all its sockets.
pub struct Net {
    poll: Poll,
    /// Space for the poll; `None` only while its events are handled.
    io_events: Option<Events>,
    connections: ConnectionTable,
    listeners: Vec<Option<Listener>>,
    pools: HashMap<PoolKey, Pool>,
    timers: Timers,
    /// What the next poll returns.
    events: VecDeque<Event>,
    /// Connections with output since the last flush.
    unflushed: Vec<ConnectionId>,
    start: Instant,
    now: Millis,
    read_buffer: Vec<u8>,
    /// How often the loop has polled.
    pub poll_count: u64,
    /// Calls that were lost on a connection that had been idle before.
    pub idle_connections_lost: u64,
    /// Connections that were opened for calls.
    pub connections_opened: u64,
    /// Connections that were not accepted or opened for want of room.
    pub connections_rejected: u64,
    /// Malformed requests and frames.
    pub malformed_inputs: u64,
    /// Responses by listener and status.
    pub responses: BTreeMap<(ListenerId, u16), u64>,
    /// Time from a complete request to its response with status 202.
    pub accept_latency: Histogram,
}

impl Net {
    /// An event loop with room for `max_connections`, and the waker by which other threads interrupt its poll.
    ///
    /// # Errors
    ///
    /// The system gives no poll or no waker.
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

    /// The time of the last poll.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// The time at this moment, in tenths of a millisecond, as the dispatch module counts.
    pub fn now_tenths_ms(&self) -> i64 {
        (self.start.elapsed().as_micros() / 100) as i64
    }

    /// Sets [`Net::now`] to the time at this moment, after work that took long, and returns it.
    pub fn refresh_now(&mut self) -> Millis {
        self.now = self.start.elapsed().as_millis() as Millis;
        self.now
    }

    /// Writes what is to be sent, and waits until something happens or `until` has come.
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
            // A signal interrupts the poll, and the role looks whether it was one to shut down.
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

    /// Acts on the connections whose deadlines have come.
    fn expire_deadlines(&mut self) {
        while let Some(id) = self.timers.pop_expired(self.now) {
            let now = self.now;
            let Some(connection) = self.connections.get_mut(id) else { continue };
            if connection.deadline > now {
                // The deadline was put off, and has a timer of its own.
                continue;
            }
            match &connection.protocol {
                Protocol::Server(_) => self.request_timed_out(id),
                Protocol::Client(_) => self.call_timed_out(id),
                Protocol::Peer | Protocol::Lingering => self.close(id),
            }
        }
    }

    /// Sets when the connection is looked at if nothing happens on it until then.
    fn set_deadline(&mut self, id: ConnectionId, deadline: Millis) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.deadline = deadline;
        }
        self.timers.add(id, deadline);
    }

    /// How many connections of all kinds are open.
    pub fn open_connections(&self) -> usize {
        self.connections.open_count()
    }

    /// Closes a connection. Nothing that waits to be written is sent.
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
