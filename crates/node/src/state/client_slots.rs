//! The clients' connections: who is there, who waits for an answer, and who may be closed.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One client's connection.
pub struct ClientSlot {
    pub number: u64,
    pub stream: TcpStream,
    pub opened: Instant,
    state: Mutex<SlotState>,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// No request is here.
    Idle,
    /// Part of one has come.
    Reading,
    /// One is in hand.
    Busy,
    /// The last answer is written; the other side is left a moment to read it.
    Closing,
}

struct SlotState {
    phase: Phase,
    since: Instant,
    /// An op was answered here: a client that is known to mean well.
    is_proven: bool,
    /// A further request was read together with the one in hand.
    has_more: bool,
    /// The request in hand is the last one here.
    is_last: bool,
    close_state: CloseState,
}

/// Whether this side ends the connection.
#[derive(Clone, Copy, PartialEq)]
enum CloseState {
    /// It does not.
    Open,
    /// It does, for this reason, when the other side has read the last answer.
    AfterResponse(&'static str),
    /// It has, for this reason.
    Closed(&'static str),
}

impl CloseState {
    fn reason(self) -> Option<&'static str> {
        match self {
            CloseState::Open => None,
            CloseState::AfterResponse(reason) | CloseState::Closed(reason) => Some(reason),
        }
    }

    /// The reason stays the first one that was given.
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

/// How long one that has said nothing, or not all, or has had its last answer, is left alone while others want
/// its place. A client that means well sends its request as soon as it is connected.
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

    /// Bytes of a request are here; false if the connection was ended before. Asked before they are read: a
    /// request that was read can't be left to the client to send again.
    pub fn start_reading(&self) -> bool {
        let mut state = self.state();
        if state.close_state.is_open() {
            (state.phase, state.since) = (Phase::Reading, Instant::now());
        }
        state.close_state.is_open()
    }

    /// The request is whole. `more`: part of a further one has come with it.
    pub fn set_busy(&self, has_more: bool) -> bool {
        let mut state = self.state();
        if state.close_state.is_open() {
            (state.phase, state.since, state.has_more) = (Phase::Busy, Instant::now(), has_more);
        }
        state.close_state.is_open()
    }

    /// What was in hand is answered; `known`: it was an op.
    pub fn finish_request(&self, op_answered: bool) {
        let mut state = self.state();
        let phase = if state.has_more { Phase::Reading } else { Phase::Idle };
        (state.phase, state.since) = (phase, Instant::now());
        state.is_proven |= op_answered;
    }

    /// An op was answered here before.
    pub fn is_proven(&self) -> bool {
        self.state().is_proven
    }

    pub fn set_last(&self) {
        self.state().is_last = true;
    }

    pub fn is_last(&self) -> bool {
        self.state().is_last
    }

    /// Ends the connection for this reason; an earlier one stays.
    pub fn close(&self, reason: &'static str) {
        self.close_now(&mut self.state(), reason);
    }

    fn close_now(&self, state: &mut SlotState, reason: &'static str) {
        state.close_state.close(reason);
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// The last answer is written: nothing more will be. The other side is left a moment to read it; ending
    /// all at once while it is still sending would reset the connection, and the answer with it.
    pub fn close_after_response(&self, reason: &'static str) {
        let mut state = self.state();
        state.close_state.close_after_response(reason);
        (state.phase, state.since) = (Phase::Closing, Instant::now());
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    pub fn close_reason(&self) -> Option<&'static str> {
        self.state().close_state.reason()
    }

    /// No request is in hand, and nothing has come that was not read yet.
    fn is_idle(&self, state: &SlotState) -> bool {
        state.phase == Phase::Idle && state.close_state.is_open() && self.has_no_input()
    }

    /// Nothing is here to be read. Only asked while nothing is in hand: nobody writes here then, so the socket
    /// may be switched for a moment.
    fn has_no_input(&self) -> bool {
        peek_nonblocking(&self.stream).is_some_and(|result| result.is_err())
    }

    /// May be closed for another one's sake: when it could at the earliest, and whether it is proven.
    fn eviction_rank(&self, state: &SlotState) -> Option<(Instant, bool)> {
        match state.phase {
            _ if state.close_state.is_closed() => None,
            Phase::Closing => Some((state.since + IDLE_GRACE, false)),
            // What a known client has begun may become whole while it is closed, and would be lost.
            Phase::Reading if !state.has_more && !state.is_proven => {
                Some((state.since + PARTIAL_REQUEST_GRACE, false))
            }
            Phase::Idle if state.is_proven => Some((state.since, true)),
            Phase::Idle => Some((state.since + IDLE_GRACE, false)),
            Phase::Busy | Phase::Reading => None,
        }
    }

    /// Ends it, unless a request is in hand or here by now. One that crosses this is the client's to send again.
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

/// All of them.
#[derive(Default)]
pub struct ClientSlots {
    client_slots: Mutex<HashMap<u64, Arc<ClientSlot>>>,
    removed: Condvar,
}

/// How long to wait for a seat at a time.
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

    /// Requests in hand.
    pub fn count_busy(&self) -> usize {
        self.all().values().filter(|slot| slot.state().phase == Phase::Busy).count()
    }

    /// No request is in hand at any of them.
    pub fn are_idle(&self) -> bool {
        self.all().values().all(|slot| {
            let state = slot.state();
            !state.close_state.is_open() || slot.is_idle(&state)
        })
    }

    /// Waits until there is a seat free of so many, and sees to it. One that is asked to go needs a moment.
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

    /// Closes one. Those go first that have not yet sent a request that could be taken, however many they are,
    /// or a crowd that says nothing would take the place of all others; only where there are none, the client
    /// idle longest goes, whose next request will come on a new connection.
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

    /// Ends those that have been idle for so long.
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

/// What a read would give now, without waiting and without taking anything; none if it can't be told.
pub fn peek_nonblocking(stream: &TcpStream) -> Option<std::io::Result<usize>> {
    stream.set_nonblocking(true).ok()?;
    let result = stream.peek(&mut [0]);
    stream.set_nonblocking(false).ok()?;
    Some(result)
}
