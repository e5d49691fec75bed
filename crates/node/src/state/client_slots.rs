//! The client connections: which exist, which have a request in flight, and which may be evicted.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One client connection, with the phase of its current request and the reason for closing it.
pub struct ClientSlot {
    pub number: u64,
    pub stream: TcpStream,
    pub opened: Instant,
    state: Mutex<SlotState>,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// The connection is idle: no part of a request has arrived.
    Idle,
    /// Part of a request has arrived.
    Reading,
    /// A complete request is in flight on this connection.
    Busy,
    /// The last response has been written; the client gets a moment to read it.
    Closing,
}

struct SlotState {
    phase: Phase,
    since: Instant,
    /// An op was answered on this connection, so the client is known to send valid requests.
    is_proven: bool,
    /// Bytes of the next request were read together with the current one.
    has_more: bool,
    /// The request in flight is the last one on this connection.
    is_last: bool,
    close_state: CloseState,
}

/// Whether and why this side closes the connection.
#[derive(Clone, Copy, PartialEq)]
enum CloseState {
    /// This side keeps the connection open.
    Open,
    /// The connection closes for this reason once the client has read the last response.
    AfterResponse(&'static str),
    /// The connection was closed for this reason.
    Closed(&'static str),
}

impl CloseState {
    fn reason(self) -> Option<&'static str> {
        match self {
            CloseState::Open => None,
            CloseState::AfterResponse(reason) | CloseState::Closed(reason) => Some(reason),
        }
    }

    /// Sets the reason for closing, unless one is already set.
    fn close_after_response(&mut self, reason: &'static str) {
        if *self == CloseState::Open {
            *self = CloseState::AfterResponse(reason);
        }
    }

    fn close(&mut self, reason: &'static str) {
        *self = CloseState::Closed(self.reason().unwrap_or(reason));
    }

    fn is_open(self) -> bool {
        self == CloseState::Open
    }

    fn is_closed(self) -> bool {
        matches!(self, CloseState::Closed(_))
    }
}

/// Minimum age before eviction of a connection that has sent no request or has received its last response (40
/// ms), and of one that has sent part of a request (250 ms). Well-behaved clients send their request right
/// after connecting.
const IDLE_GRACE: Duration = Duration::from_millis(40);
const PARTIAL_REQUEST_GRACE: Duration = Duration::from_millis(250);

impl ClientSlot {
    pub fn new(number: u64, stream: TcpStream) -> Arc<ClientSlot> {
        let opened = Instant::now();
        let (phase, since) = (Phase::Idle, opened);
        let state = SlotState {
            phase,
            since,
            is_proven: false,
            has_more: false,
            is_last: false,
            close_state: CloseState::Open,
        };
        Arc::new(ClientSlot { number, stream, opened, state: Mutex::new(state) })
    }

    fn state(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks that bytes of a request have arrived. Returns false if the connection was already closed. Must be
    /// called before reading the bytes: once a request has been read, the client cannot be left to send it
    /// again.
    pub fn start_reading(&self) -> bool {
        let mut state = self.state();
        if state.close_state.is_open() {
            (state.phase, state.since) = (Phase::Reading, Instant::now());
        }
        state.close_state.is_open()
    }

    /// Marks that a complete request was read. `has_more`: bytes of the next request came with it.
    pub fn set_busy(&self, has_more: bool) -> bool {
        let mut state = self.state();
        if state.close_state.is_open() {
            (state.phase, state.since, state.has_more) = (Phase::Busy, Instant::now(), has_more);
        }
        state.close_state.is_open()
    }

    /// Marks that the response was written. `op_answered`: the request was an op.
    pub fn finish_request(&self, op_answered: bool) {
        let mut state = self.state();
        let phase = if state.has_more { Phase::Reading } else { Phase::Idle };
        (state.phase, state.since) = (phase, Instant::now());
        state.is_proven |= op_answered;
    }

    /// Whether an op was answered on this connection.
    pub fn is_proven(&self) -> bool {
        self.state().is_proven
    }

    pub fn set_last(&self) {
        self.state().is_last = true;
    }

    pub fn is_last(&self) -> bool {
        self.state().is_last
    }

    /// Closes the connection. The first reason that was given is kept.
    pub fn close(&self, reason: &'static str) {
        self.close_now(&mut self.state(), reason);
    }

    fn close_now(&self, state: &mut SlotState, reason: &'static str) {
        state.close_state.close(reason);
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Shuts down the write side after the last response and gives the client a moment to read it. Closing at
    /// once while the client is still sending would reset the connection and could lose the response.
    pub fn close_after_response(&self, reason: &'static str) {
        let mut state = self.state();
        state.close_state.close_after_response(reason);
        (state.phase, state.since) = (Phase::Closing, Instant::now());
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    pub fn close_reason(&self) -> Option<&'static str> {
        self.state().close_state.reason()
    }

    /// No request is in flight and no unread bytes have arrived.
    fn is_idle(&self, state: &SlotState) -> bool {
        state.phase == Phase::Idle && state.close_state.is_open() && self.has_no_input()
    }

    /// No bytes are waiting to be read. Only called while no request is in flight: then no thread writes to the
    /// socket, so it can be switched to non-blocking mode for a moment.
    fn has_no_input(&self) -> bool {
        peek_nonblocking(&self.stream).is_some_and(|result| result.is_err())
    }

    /// Whether the connection can be evicted: the earliest time for it, and whether the client is proven.
    /// `None` if it cannot.
    fn eviction_rank(&self, state: &SlotState) -> Option<(Instant, bool)> {
        match state.phase {
            _ if state.close_state.is_closed() => None,
            Phase::Closing => Some((state.since + IDLE_GRACE, false)),
            // A request that a proven client has begun may be completed while the connection is being closed,
            // and would be lost.
            Phase::Reading if !state.has_more && !state.is_proven => {
                Some((state.since + PARTIAL_REQUEST_GRACE, false))
            }
            Phase::Idle if state.is_proven => Some((state.since, true)),
            Phase::Idle => Some((state.since + IDLE_GRACE, false)),
            Phase::Busy | Phase::Reading => None,
        }
    }

    /// Closes the connection unless a request is in flight or has arrived. A client whose request crosses the
    /// close has to send it again.
    fn try_evict(&self) -> bool {
        let mut state = self.state();
        let can_close =
            self.eviction_rank(&state).is_some() && (state.phase == Phase::Closing || self.has_no_input());
        if can_close {
            self.close_now(&mut state, "evicted");
        }
        can_close
    }
}

/// All client connections.
#[derive(Default)]
pub struct ClientSlots {
    client_slots: Mutex<HashMap<u64, Arc<ClientSlot>>>,
    removed: Condvar,
}

/// How long one wait for a free slot lasts before eviction is tried again.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl ClientSlots {
    fn all(&self) -> MutexGuard<'_, HashMap<u64, Arc<ClientSlot>>> {
        self.client_slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn add(&self, slot: &Arc<ClientSlot>) {
        self.all().insert(slot.number, slot.clone());
    }

    pub fn remove(&self, number: u64) {
        self.all().remove(&number);
        self.removed.notify_one();
    }

    /// Number of requests in flight.
    pub fn count_busy(&self) -> usize {
        self.all().values().filter(|slot| slot.state().phase == Phase::Busy).count()
    }

    /// Whether no connection has a request in flight.
    pub fn are_idle(&self) -> bool {
        self.all().values().all(|slot| {
            let state = slot.state();
            !state.close_state.is_open() || slot.is_idle(&state)
        })
    }

    /// Waits until fewer than `limit` connections exist, evicting connections as needed. A closed connection
    /// takes a moment to go.
    pub fn wait_for_capacity(&self, limit: impl Fn() -> usize) {
        let mut all = self.all();
        while all.len() >= limit() {
            let limit = limit();
            let closing = all.values().filter(|slot| slot.state().close_state.is_closed()).count();
            if all.len() - closing >= limit {
                ClientSlots::evict(&all, Instant::now());
            }
            all = self
                .removed
                .wait_timeout(all, CAPACITY_POLL_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Evicts one connection. Connections without a valid request go first, however many there are; otherwise a
    /// crowd of silent clients would displace all others. If there are none, the proven client that has been
    /// idle longest goes; its next request comes on a new connection.
    fn evict(all: &HashMap<u64, Arc<ClientSlot>>, now: Instant) -> bool {
        let mut candidates: Vec<(bool, Instant, &Arc<ClientSlot>)> = Vec::new();
        for slot in all.values() {
            if let Some((earliest, is_proven)) = slot.eviction_rank(&slot.state()) {
                candidates.push((is_proven, earliest, slot));
            }
        }
        candidates.sort_unstable_by_key(|(is_proven, earliest, slot)| (*is_proven, *earliest, slot.number));
        let has_unproven = candidates.iter().any(|(is_proven, ..)| !is_proven);
        candidates.into_iter().any(|(is_proven, earliest, slot)| {
            earliest <= now && is_proven != has_unproven && slot.try_evict()
        })
    }

    /// Closes the connections that have been idle for this long.
    pub fn close_idle(&self, reason: &'static str, idle_for: Duration) {
        for slot in self.all().values() {
            let mut state = slot.state();
            if state.since.elapsed() >= idle_for && slot.is_idle(&state) {
                slot.close_now(&mut state, reason);
            }
        }
    }

    #[cfg(test)]
    pub fn evict_at(&self, now: Instant) -> bool {
        ClientSlots::evict(&self.all(), now)
    }
}

/// Peeks at the socket without blocking or consuming bytes. `None` if the socket's mode cannot be changed.
pub fn peek_nonblocking(stream: &TcpStream) -> Option<std::io::Result<usize>> {
    stream.set_nonblocking(true).ok()?;
    let result = stream.peek(&mut [0]);
    stream.set_nonblocking(false).ok()?;
    Some(result)
}
