//! One loop over all sockets. The roles hand bytes in and take events out; nothing here knows what is said.
//!
//! What is written in a turn of the loop goes out at its end, one call to the system for each connection: wake-ups and
//! calls are charged on the small machines this runs on.

mod client;
pub mod fault_injection;
mod framing;
#[cfg(test)]
mod random;
mod server;

pub use client::connection::{CallError, CallReply};
pub use server::connection::{Request, RequestLimits, Response};

use crate::metrics::Histogram;
use client::{Outward, Pool, PoolKey};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use server::Inward;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection: its place, and which in that place.
pub type ConnectionId = u64;
/// Milliseconds on this process's steady clock.
pub type Millis = u64;

const WAKE: Token = Token(usize::MAX);
const LISTENERS: usize = usize::MAX / 2;
/// What may wait to be written to one connection between own processes before it is closed.
const BACKLOG: usize = 32 << 20;
/// How long a connection may take to open; between own processes, which try again at once: a machine without power says
/// nothing, and one that has it back would not be met for as long as an old try hangs.
const CONNECT: Millis = 700;
const DIAL: Millis = 200;
/// A buffer that grew beyond this is given back when it is empty.
const KEEP: usize = 16 << 10;

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A whole request; it wants one `answer`.
    Request {
        connection: ConnectionId,
        listener: usize,
        request: Request,
    },
    /// How a `call` ended.
    CallCompleted {
        call_id: u64,
        result: Result<CallReply, CallError>,
    },
    /// A connection between own processes is open.
    PeerConnected {
        connection: ConnectionId,
    },
    PeerDisconnected {
        connection: ConnectionId,
    },
    PeerFrame {
        connection: ConnectionId,
        bytes: Vec<u8>,
    },
    /// Another thread has something for the loop.
    WakeUp,
}

enum Side {
    Inward(Inward),
    Outward(Outward),
    Peer,
    /// Its last answer is out; what still comes is thrown away, for closing with unread bytes would reset it.
    Lingering,
}

struct Conn {
    stream: TcpStream,
    side: Side,
    input: Vec<u8>,
    out: Vec<u8>,
    sent: usize,
    open: bool,
    deadline: Millis,
    close_after: bool,
    dirty: bool,
    ended: bool,
}

struct Listener {
    socket: TcpListener,
    /// Requests, or frames of own processes.
    http: Option<RequestLimits>,
}

pub struct Net {
    poll: Poll,
    events: Option<Events>,
    conns: Vec<(u32, Option<Conn>)>,
    free: Vec<usize>,
    listeners: Vec<Option<Listener>>,
    pools: HashMap<PoolKey, Pool>,
    timers: BinaryHeap<Reverse<(Millis, ConnectionId)>>,
    happened: VecDeque<Event>,
    dirty: Vec<ConnectionId>,
    most: usize,
    start: Instant,
    now: Millis,
    scratch: Vec<u8>,
    pub poll_count: u64,
    pub idle_connections_lost: u64,
    pub connections_opened: u64,
    pub connections_rejected: u64,
    pub malformed_inputs: u64,
    /// Answers by listener and status, and how long the 202s took.
    pub responses: BTreeMap<(usize, u16), u64>,
    pub accept_latency: Histogram,
}

impl Net {
    pub fn new(most: usize) -> std::io::Result<(Net, Arc<Waker>)> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let net = Net {
            poll,
            events: Some(Events::with_capacity(256)),
            conns: Vec::new(),
            free: Vec::new(),
            listeners: Vec::new(),
            pools: HashMap::new(),
            timers: BinaryHeap::new(),
            happened: VecDeque::new(),
            dirty: Vec::new(),
            most,
            start: Instant::now(),
            now: 0,
            scratch: vec![0; 64 << 10],
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

    /// Listens for requests (with their bounds) or for own processes. Gives the listener's number.
    pub fn listen(&mut self, at: SocketAddrV4, http: Option<RequestLimits>) -> std::io::Result<usize> {
        let mut socket = TcpListener::bind(SocketAddr::V4(at))?;
        let number = self.listeners.len();
        self.poll.registry().register(&mut socket, Token(LISTENERS + number), Interest::READABLE)?;
        self.listeners.push(Some(Listener { socket, http }));
        Ok(number)
    }

    pub fn stop_listening(&mut self, number: usize) {
        if let Some(mut listener) = self.listeners.get_mut(number).and_then(Option::take) {
            let _ = self.poll.registry().deregister(&mut listener.socket);
        }
    }

    /// New bounds for the requests of one listener.
    pub fn set_limits(&mut self, number: usize, bounds: RequestLimits) {
        if let Some(Some(listener)) = self.listeners.get_mut(number) {
            listener.http = Some(bounds);
        }
    }

    fn bounds(&self, number: usize) -> RequestLimits {
        self.listeners.get(number).and_then(Option::as_ref).and_then(|l| l.http).unwrap_or_default()
    }

    pub fn now(&self) -> Millis {
        self.now
    }
    /// Tenths of a millisecond, as the module counts.
    pub fn now_tenths_ms(&self) -> i64 {
        (self.start.elapsed().as_micros() / 100) as i64
    }
    /// The time now, and not that of the last turn: after work that took long.
    pub fn refresh_now(&mut self) -> Millis {
        self.look_at_clock();
        self.now
    }
    fn look_at_clock(&mut self) {
        self.now = self.start.elapsed().as_millis() as Millis;
    }

    /// Waits until something happens or `until` has come; writes out first what the turn before left.
    pub fn poll(&mut self, until: Millis) -> VecDeque<Event> {
        self.flush();
        self.poll_count += 1;
        if self.happened.is_empty() {
            self.look_at_clock();
            let timer = self.timers.peek().map_or(u64::MAX, |t| t.0 .0);
            let wait = until.min(timer).saturating_sub(self.now).min(60_000);
            let Some(mut events) = self.events.take() else { return VecDeque::new() };
            if let Err(error) = self.poll.poll(&mut events, Some(Duration::from_millis(wait))) {
                if error.kind() != ErrorKind::Interrupted {
                    tracing::error!(%error, "poll");
                }
                events.clear();
            }
            self.look_at_clock();
            for event in events.iter() {
                match event.token() {
                    WAKE => self.happened.push_back(Event::WakeUp),
                    Token(at) if at >= LISTENERS => self.accept(at - LISTENERS),
                    Token(at) => {
                        self.ready(at, event.is_readable() || event.is_read_closed(), event.is_writable())
                    }
                }
            }
            self.events = Some(events);
            self.expire();
        }
        std::mem::take(&mut self.happened)
    }

    fn id(&self, at: usize) -> ConnectionId {
        (u64::from(self.conns[at].0) << 32) | at as u64
    }

    fn get(&mut self, id: ConnectionId) -> Option<&mut Conn> {
        let (life, conn) = self.conns.get_mut((id & 0xFFFF_FFFF) as usize)?;
        if *life == (id >> 32) as u32 {
            conn.as_mut()
        } else {
            None
        }
    }

    fn enter(
        &mut self,
        mut stream: TcpStream,
        side: Side,
        open: bool,
        deadline: Millis,
    ) -> Option<ConnectionId> {
        let at = self.free.pop().unwrap_or(self.conns.len());
        if at >= self.most {
            self.free.push(at);
            self.connections_rejected += 1;
            return None;
        }
        let _ = stream.set_nodelay(true);
        let both = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(at), both).is_err() {
            if at < self.conns.len() {
                self.free.push(at);
            }
            return None;
        }
        if at == self.conns.len() {
            self.conns.push((0, None));
        }
        let conn = Conn {
            stream,
            side,
            input: Vec::new(),
            out: Vec::new(),
            sent: 0,
            open,
            deadline,
            close_after: false,
            dirty: false,
            ended: false,
        };
        self.conns[at].1 = Some(conn);
        let id = self.id(at);
        self.watch(id, deadline);
        Some(id)
    }

    /// Has the connection looked at when its deadline comes.
    fn watch(&mut self, id: ConnectionId, deadline: Millis) {
        if deadline != Millis::MAX {
            self.timers.push(Reverse((deadline, id)));
        }
    }

    fn accept(&mut self, number: usize) {
        for _ in 0..256 {
            let Some(Some(listener)) = self.listeners.get(number) else { return };
            let http = listener.http;
            match listener.socket.accept() {
                Ok((stream, _)) => {
                    let (side, deadline) = match http {
                        Some(bounds) => {
                            (Side::Inward(Inward::new(number)), self.now + bounds.idle_timeout_ms)
                        }
                        None => (Side::Peer, Millis::MAX),
                    };
                    let peer = matches!(side, Side::Peer);
                    if let Some(conn) = self.enter(stream, side, true, deadline).filter(|_| peer) {
                        self.silence_bound(conn);
                        self.happened.push_back(Event::PeerConnected { connection: conn });
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    // A connection that ended before it was taken, or no descriptor left: the next may do.
                    self.connections_rejected += 1;
                }
            }
        }
    }

    /// A machine without power says nothing: what was sent and not confirmed ends the connection.
    fn silence_bound(&mut self, id: ConnectionId) {
        if let Some(conn) = self.get(id) {
            let socket = socket2::SockRef::from(&conn.stream);
            let _ = socket.set_tcp_user_timeout(Some(Duration::from_millis(1500)));
        }
    }

    /// Opens a connection to another process of the system.
    pub fn dial(&mut self, to: SocketAddrV4) -> Option<ConnectionId> {
        let stream = TcpStream::connect(SocketAddr::V4(to)).ok()?;
        let id = self.enter(stream, Side::Peer, false, self.now + DIAL)?;
        self.silence_bound(id);
        Some(id)
    }

    /// Puts a frame into a peer's queue.
    pub fn send(&mut self, id: ConnectionId, frame: &[u8]) {
        let Some(conn) = self.get(id) else { return };
        if conn.out.len() + frame.len() > BACKLOG {
            self.close(id);
            return;
        }
        framing::append(&mut conn.out, frame);
        self.soil(id);
    }

    fn soil(&mut self, id: ConnectionId) {
        if let Some(conn) = self.get(id) {
            if !std::mem::replace(&mut conn.dirty, true) {
                self.dirty.push(id);
            }
        }
    }

    /// Writes out all that is waiting now; for a process that is about to end.
    pub fn flush(&mut self) {
        for id in std::mem::take(&mut self.dirty) {
            self.write(id);
        }
    }

    fn write(&mut self, id: ConnectionId) {
        let Some(conn) = self.get(id) else { return };
        conn.dirty = false;
        if !conn.open {
            return;
        }
        while conn.sent < conn.out.len() {
            match conn.stream.write(&conn.out[conn.sent..]) {
                Ok(0) => return self.fail(id),
                Ok(some) => conn.sent += some,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.fail(id),
            }
        }
        conn.sent = 0;
        conn.out.clear();
        if conn.out.capacity() > KEEP {
            conn.out = Vec::new();
        }
        if conn.close_after {
            conn.side = Side::Lingering;
            conn.input = Vec::new();
            let _ = conn.stream.shutdown(Shutdown::Write);
            if conn.ended {
                return self.close(id);
            }
            let deadline = self.now + 1000;
            if let Some(conn) = self.get(id) {
                conn.deadline = deadline;
            }
            self.watch(id, deadline);
        }
    }

    fn ready(&mut self, at: usize, readable: bool, writable: bool) {
        if self.conns.get(at).is_none_or(|c| c.1.is_none()) {
            return;
        }
        let id = self.id(at);
        if writable {
            let Some(conn) = self.get(id) else { return };
            if !conn.open {
                if conn.stream.take_error().ok().flatten().is_some() || conn.stream.peer_addr().is_err() {
                    return self.fail(id);
                }
                conn.open = true;
                if let Side::Peer = conn.side {
                    conn.deadline = Millis::MAX;
                    self.happened.push_back(Event::PeerConnected { connection: id });
                }
                self.write(id);
            } else if !conn.out.is_empty() {
                self.write(id);
            }
        }
        if readable {
            self.read(id);
        }
    }

    fn read(&mut self, id: ConnectionId) {
        let mut scratch = std::mem::take(&mut self.scratch);
        let mut broken = false;
        while let Some(conn) = self.get(id) {
            if !conn.open {
                // Refused: the reset shows as readable before it shows as open.
                broken = conn.stream.take_error().ok().flatten().is_some();
                break;
            }
            match conn.stream.read(&mut scratch) {
                Ok(0) => {
                    conn.ended = true;
                    break;
                }
                Ok(some) => {
                    // After its last answer nothing is wanted of it, but what is left unread would reset it.
                    if matches!(conn.side, Side::Lingering) || conn.close_after {
                        continue;
                    }
                    conn.input.extend_from_slice(&scratch[..some]);
                    let (length, port) = match &conn.side {
                        Side::Inward(inward) => (conn.input.len(), Some(inward.port)),
                        _ => (conn.input.len(), None),
                    };
                    let most = match (&conn.side, port) {
                        (Side::Peer, _) => framing::LONGEST + 8,
                        (_, Some(port)) => self.bounds(port).most().max(1 << 20),
                        _ => client::connection::MOST,
                    };
                    if length > most {
                        match self.get(id).map(|conn| &conn.side) {
                            Some(Side::Peer) => self.take_frames(id),
                            Some(Side::Inward(inward)) if !inward.dialogue.is_busy() => self.too_much(id),
                            _ => {
                                broken = true;
                                break;
                            }
                        }
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    broken = true;
                    break;
                }
            }
        }
        self.scratch = scratch;
        self.digest(id);
        let Some(conn) = self.get(id) else { return };
        if broken {
            self.fail(id);
        } else if conn.ended {
            self.end_of_input(id);
        }
    }

    /// Looks at what has been read.
    fn digest(&mut self, id: ConnectionId) {
        match self.get(id).map(|conn| &conn.side) {
            Some(Side::Peer) => self.take_frames(id),
            Some(Side::Inward(_)) => self.take_request(id),
            Some(Side::Outward(_)) => self.take_reply(id),
            _ => {}
        }
    }

    /// The other side will send no more.
    fn end_of_input(&mut self, id: ConnectionId) {
        let Some(conn) = self.get(id) else { return };
        match &conn.side {
            // It may still read the answer it waits for.
            Side::Inward(inward) if inward.dialogue.is_busy() => {}
            Side::Inward(_) if !conn.out.is_empty() => {
                conn.close_after = true;
                self.soil(id);
            }
            Side::Outward(_) => self.reply_to_end(id),
            _ => self.close(id),
        }
    }

    fn take_frames(&mut self, id: ConnectionId) {
        let Some(conn) = self.get(id) else { return };
        let (frames, end) = framing::take(&mut conn.input);
        if conn.input.is_empty() && conn.input.capacity() > KEEP {
            conn.input = Vec::new();
        }
        self.happened.extend(frames.into_iter().map(|bytes| Event::PeerFrame { connection: id, bytes }));
        if end.is_err() {
            self.close_malformed(id);
        }
    }

    /// A peer says what can't be read: its connection ends, and that is counted.
    pub fn close_malformed(&mut self, id: ConnectionId) {
        self.malformed_inputs += 1;
        self.close(id);
    }

    /// The connection broke.
    fn fail(&mut self, id: ConnectionId) {
        match self.get(id).map(|conn| &conn.side) {
            Some(Side::Outward(_)) => self.broke(id),
            Some(_) => self.close(id),
            None => {}
        }
    }

    pub fn close(&mut self, id: ConnectionId) {
        if self.get(id).is_none() {
            return;
        }
        let at = (id & 0xFFFF_FFFF) as usize;
        if let Some(mut conn) = self.conns[at].1.take() {
            self.conns[at].0 = self.conns[at].0.wrapping_add(1);
            self.free.push(at);
            let _ = self.poll.registry().deregister(&mut conn.stream);
            match conn.side {
                Side::Peer => self.happened.push_back(Event::PeerDisconnected { connection: id }),
                Side::Outward(outward) => self.left(id, outward.pool),
                Side::Inward(_) | Side::Lingering => {}
            }
        }
    }

    fn expire(&mut self) {
        while let Some(Reverse((at, id))) = self.timers.peek().copied() {
            if at > self.now {
                break;
            }
            self.timers.pop();
            let now = self.now;
            let Some(conn) = self.get(id) else { continue };
            if conn.deadline > now {
                // Put off meanwhile; whoever put it off by a new timer has set that.
                continue;
            }
            match &conn.side {
                Side::Inward(_) => self.slow_request(id),
                Side::Outward(_) => self.late(id),
                _ => self.close(id),
            }
        }
    }

    pub fn open_connections(&self) -> usize {
        self.conns.len() - self.free.len()
    }

    /// Requests that are being read or answered.
    pub fn requests_in_flight(&self) -> usize {
        let busy = |conn: &Conn| match &conn.side {
            Side::Inward(inward) => {
                inward.dialogue.is_busy() || !conn.out.is_empty() || !conn.input.is_empty()
            }
            _ => false,
        };
        self.conns.iter().filter(|c| c.1.as_ref().is_some_and(busy)).count()
    }
}
