//! The clients' connections: who is there, who waits for an answer, and who may be closed.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One client's connection.
pub struct Seat {
    pub number: u64,
    pub stream: TcpStream,
    pub opened: Instant,
    state: Mutex<State>,
}

#[derive(Clone, Copy, PartialEq)]
enum At {
    /// No request is here.
    Rest,
    /// Part of one has come.
    Reading,
    /// One is in hand.
    Busy,
    /// The last answer is written; the other side is left a moment to read it.
    Leaving,
}

struct State {
    at: At,
    since: Instant,
    /// An op was answered here: a client that is known to mean well.
    proven: bool,
    /// A further request was read together with the one in hand.
    more: bool,
    /// The request in hand is the last one here.
    last: bool,
    ending: Ending,
}

/// Whether this side ends the connection.
#[derive(Clone, Copy, PartialEq)]
enum Ending {
    /// It does not.
    Open,
    /// It does, for this reason, when the other side has read the last answer.
    Decided(&'static str),
    /// It has, for this reason.
    Cut(&'static str),
}

impl Ending {
    fn reason(self) -> Option<&'static str> {
        match self {
            Ending::Open => None,
            Ending::Decided(reason) | Ending::Cut(reason) => Some(reason),
        }
    }

    /// The reason stays the first one that was given.
    fn decide(&mut self, reason: &'static str) {
        if *self == Ending::Open {
            *self = Ending::Decided(reason);
        }
    }

    fn cut(&mut self, reason: &'static str) {
        *self = Ending::Cut(self.reason().unwrap_or(reason));
    }

    fn is_open(self) -> bool {
        self == Ending::Open
    }

    fn is_cut(self) -> bool {
        matches!(self, Ending::Cut(_))
    }
}

/// How long one that has said nothing, or not all, or has had its last answer, is left alone while others want
/// its place. A client that means well sends its request as soon as it is connected.
const PATIENCE: Duration = Duration::from_millis(40);
const HALF_SENT: Duration = Duration::from_millis(250);

impl Seat {
    pub fn new(number: u64, stream: TcpStream) -> Arc<Seat> {
        let opened = Instant::now();
        let (at, since) = (At::Rest, opened);
        let state = State { at, since, proven: false, more: false, last: false, ending: Ending::Open };
        Arc::new(Seat { number, stream, opened, state: Mutex::new(state) })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes of a request are here; false if the connection was ended before. Asked before they are read: a
    /// request that was read can't be left to the client to send again.
    pub fn begin(&self) -> bool {
        let mut state = self.state();
        if state.ending.is_open() {
            (state.at, state.since) = (At::Reading, Instant::now());
        }
        state.ending.is_open()
    }

    /// The request is whole. `more`: part of a further one has come with it.
    pub fn take(&self, more: bool) -> bool {
        let mut state = self.state();
        if state.ending.is_open() {
            (state.at, state.since, state.more) = (At::Busy, Instant::now(), more);
        }
        state.ending.is_open()
    }

    /// What was in hand is answered; `known`: it was an op.
    pub fn rest(&self, known: bool) {
        let mut state = self.state();
        let at = if state.more { At::Reading } else { At::Rest };
        (state.at, state.since) = (at, Instant::now());
        state.proven |= known;
    }

    /// An op was answered here before.
    pub fn proven(&self) -> bool {
        self.state().proven
    }

    pub fn set_last(&self) {
        self.state().last = true;
    }

    pub fn last(&self) -> bool {
        self.state().last
    }

    /// Ends the connection for this reason; an earlier one stays.
    pub fn end(&self, why: &'static str) {
        self.cut(&mut self.state(), why);
    }

    fn cut(&self, state: &mut State, why: &'static str) {
        state.ending.cut(why);
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// The last answer is written: nothing more will be. The other side is left a moment to read it; ending
    /// all at once while it is still sending would reset the connection, and the answer with it.
    pub fn finish(&self, why: &'static str) {
        let mut state = self.state();
        state.ending.decide(why);
        (state.at, state.since) = (At::Leaving, Instant::now());
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    pub fn ended(&self) -> Option<&'static str> {
        self.state().ending.reason()
    }

    /// No request is in hand, and nothing has come that was not read yet.
    fn idle(&self, state: &State) -> bool {
        state.at == At::Rest && state.ending.is_open() && self.empty()
    }

    /// Nothing is here to be read. Only asked while nothing is in hand: nobody writes here then, so the socket
    /// may be switched for a moment.
    fn empty(&self) -> bool {
        look(&self.stream).is_some_and(|seen| seen.is_err())
    }

    /// May be closed for another one's sake: when it could at the earliest, and whether it is proven.
    fn spare(&self, state: &State) -> Option<(Instant, bool)> {
        match state.at {
            _ if state.ending.is_cut() => None,
            At::Leaving => Some((state.since + PATIENCE, false)),
            // What a known client has begun may become whole while it is closed, and would be lost.
            At::Reading if !state.more && !state.proven => Some((state.since + HALF_SENT, false)),
            At::Rest if state.proven => Some((state.since, true)),
            At::Rest => Some((state.since + PATIENCE, false)),
            At::Busy | At::Reading => None,
        }
    }

    /// Ends it, unless a request is in hand or here by now. One that crosses this is the client's to send again.
    fn give_way(&self) -> bool {
        let mut state = self.state();
        let may = self.spare(&state).is_some() && (state.at == At::Leaving || self.empty());
        if may {
            self.cut(&mut state, "evicted");
        }
        may
    }
}

/// All of them.
#[derive(Default)]
pub struct Seats {
    seats: Mutex<HashMap<u64, Arc<Seat>>>,
    left: Condvar,
}

/// How long to wait for a seat at a time.
const WAIT: Duration = Duration::from_millis(5);

impl Seats {
    fn all(&self) -> MutexGuard<'_, HashMap<u64, Arc<Seat>>> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn add(&self, seat: &Arc<Seat>) {
        self.all().insert(seat.number, seat.clone());
    }

    pub fn remove(&self, number: u64) {
        self.all().remove(&number);
        self.left.notify_one();
    }

    /// Requests in hand.
    pub fn busy(&self) -> usize {
        self.all().values().filter(|seat| seat.state().at == At::Busy).count()
    }

    /// No request is in hand at any of them.
    pub fn quiet(&self) -> bool {
        self.all().values().all(|seat| {
            let state = seat.state();
            !state.ending.is_open() || seat.idle(&state)
        })
    }

    /// Waits until there is a seat free of so many, and sees to it. One that is asked to go needs a moment.
    pub fn room(&self, most: impl Fn() -> usize) {
        let mut all = self.all();
        while all.len() >= most() {
            let most = most();
            let going = all.values().filter(|seat| seat.state().ending.is_cut()).count();
            if all.len() - going >= most {
                Seats::evict(&all, Instant::now());
            }
            all = self.left.wait_timeout(all, WAIT).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Closes one. Those go first that have not yet sent a request that could be taken, however many they are,
    /// or a crowd that says nothing would take the place of all others; only where there are none, the client
    /// idle longest goes, whose next request will come on a new connection.
    fn evict(all: &HashMap<u64, Arc<Seat>>, now: Instant) -> bool {
        let mut spare: Vec<(bool, Instant, &Arc<Seat>)> = Vec::new();
        for seat in all.values() {
            if let Some((when, proven)) = seat.spare(&seat.state()) {
                spare.push((proven, when, seat));
            }
        }
        spare.sort_unstable_by_key(|(proven, when, seat)| (*proven, *when, seat.number));
        let strangers = spare.iter().any(|(proven, ..)| !proven);
        spare.into_iter().any(|(proven, when, seat)| when <= now && proven != strangers && seat.give_way())
    }

    /// Ends those that have been idle for so long.
    pub fn end_idle(&self, why: &'static str, rested: Duration) {
        for seat in self.all().values() {
            let mut state = seat.state();
            if state.since.elapsed() >= rested && seat.idle(&state) {
                seat.cut(&mut state, why);
            }
        }
    }

    #[cfg(test)]
    pub fn evict_at(&self, now: Instant) -> bool {
        Seats::evict(&self.all(), now)
    }
}

/// What a read would give now, without waiting and without taking anything; none if it can't be told.
pub fn look(stream: &TcpStream) -> Option<std::io::Result<usize>> {
    stream.set_nonblocking(true).ok()?;
    let seen = stream.peek(&mut [0]);
    stream.set_nonblocking(false).ok()?;
    Some(seen)
}
