//! Connections of clients: one thread reads requests and notices a client that leaves, one writes answers.

use crate::life::budget::Budget;
use crate::life::spawn;
use crate::life::start::Door;
use crate::port::{Answer, Asked, Event, Fate, Front, Owed};
use crate::say;
use crate::store::figures::{Ended, Figures, InHand};
use crate::store::ids::Ids;
use crate::store::pool::{Bytes, Pool};
use crate::store::seats::{Seat, Seats};
use crate::wire::http::is_decimal;
use crate::wire::names;
use crate::wire::serve::{answer_head, Fault, Inbox, Request, GO_ON};
use crossbeam_channel::{bounded, Receiver, Sender};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};
use stileroute_dispatch::types::Time;

/// An answer on its way to a client.
pub struct Reply {
    pub status: u16,
    /// The op that it ends, if it does end one.
    pub in_hand: Option<Box<InHand>>,
    pub body: Body,
    pub retry_after: Time,
    /// When no one waits for it any more.
    pub until: Instant,
}

pub enum Body {
    Result(Bytes),
    Text(String),
}

impl Body {
    fn bytes(&self) -> &[u8] {
        match self {
            Body::Result(bytes) => bytes,
            Body::Text(text) => text.as_bytes(),
        }
    }
}

impl From<Answer> for Reply {
    fn from(answer: Answer) -> Reply {
        let (status, body, retry_after) = match answer.fate {
            Fate::Acked(result) => (200, Body::Result(result), 0),
            Fate::Nacked { why, retry_after } => (503, Body::Text(format!("{why}\n")), retry_after),
            Fate::DeadLettered => (500, Body::Text("dead-lettered\n".to_string()), 0),
            Fate::Unfit { status } => {
                (status, Body::Text(format!("refused by an executor: status {status}\n")), 0)
            }
        };
        Reply { status, in_hand: answer.in_hand, body, retry_after, until: answer.until }
    }
}

impl Front for Clients {
    fn ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    fn leave(&self) -> bool {
        self.ready(false);
        self.leaving.store(true, Ordering::Relaxed);
        self.shared
    }

    fn steer(&self) {
        self.steer.store(true, Ordering::Relaxed);
        // With a successor there is time: one that was just opened or answered may send a request this moment, which
        // would cross the end; its next answer ends it.
        self.seats.end_idle("steered", if self.shared { BRIEF / 4 } else { Duration::ZERO });
    }

    fn quiet(&self) -> bool {
        self.seats.quiet()
    }

    fn want(&self, headers: &[String]) {
        if let Some(wanted) = &self.wanted {
            *wanted.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(headers.to_vec());
        }
    }
}

/// What all these threads share.
pub struct Clients {
    pub desk: Sender<Event>,
    pub pool: Arc<Pool>,
    pub door: Door,
    pub budget: Budget,
    pub seats: Seats,
    pub ids: Arc<Ids>,
    pub ready: AtomicBool,
    /// The listener was handed in: other processes accept on it too.
    pub shared: bool,
    /// The node is told to end.
    pub leaving: AtomicBool,
    /// Another process of the node lives.
    pub beside: AtomicBool,
    /// The node is about to end: clients are steered off.
    pub steer: AtomicBool,
    pub numbers: AtomicU64,
    pub figures: Option<Arc<Figures>>,
    /// Headers that routes look at; none where there are no routes.
    pub wanted: Option<RwLock<Arc<Vec<String>>>>,
}

/// How long a request may take to come, the first one from the opening on, and how long it may take a client
/// to read its last answer. Jobs may be written over two seconds; an error is owed to a bad client within three.
const SLOW: Duration = Duration::from_millis(2400);
const BRIEF: Duration = Duration::from_secs(1);

/// A connection's writer, as its reader reaches it: there is one from the first op on.
struct Pen {
    replies: Sender<Answer>,
    written: Receiver<bool>,
}

impl Clients {
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// What this process may hold now.
    pub fn budget(&self) -> Budget {
        self.budget.part(self.beside.load(Ordering::Relaxed))
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Starts the reader of a new connection.
    pub fn welcome(self: &Arc<Clients>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let seat = Seat::new(number, stream);
        self.seats.add(&seat);
        let (reader, shared) = (seat.clone(), self.clone());
        let read = move || {
            let mut pen = None;
            let code = shared.converse(&reader, &mut pen);
            if reader.ended().is_some() {
                drain(&reader.stream);
            }
            reader.end(code);
            shared.seats.remove(number);
            let code = reader.ended().unwrap_or(code);
            say!(ended { peer = "client", connection = number, code } "client connection {number} ended: {code}");
        };
        if let Err(error) = spawn("client-in", read) {
            // What it sent counts as taken: it is refused from here, for which the listener waits briefly.
            self.turn_away(&seat.stream);
            seat.end("no-thread");
            self.seats.remove(number);
            let code = "no-thread";
            say!(ended { peer = "client", connection = number, code } "client connection {number} ended: no-thread: {error}");
        }
    }

    /// Reads one request, if it is there, and refuses it.
    fn turn_away(&self, mut stream: &TcpStream) {
        let (mut inbox, mut chunk) = (Inbox::new(self.pool.clone()), [0; super::CHUNK]);
        let _ = stream.set_read_timeout(Some(BRIEF / 20));
        let _ = stream.set_write_timeout(Some(BRIEF / 20));
        while let Ok(read @ 1..) = stream.read(&mut chunk) {
            let fed = inbox.feed(&chunk[..read]);
            if !matches!(fed, Ok(None)) {
                let sent = stream.write_all(answer_head(503, 0, 0, true).as_bytes());
                let asked = fed.ok().flatten().and_then(|request| self.door.check(&request).ok());
                return self.count(asked.filter(|_| sent.is_ok()).map(|asked| asked.category), 503);
            }
        }
    }

    /// Reads requests until the connection ends; gives the reason.
    fn converse(self: &Arc<Clients>, seat: &Arc<Seat>, pen: &mut Option<Pen>) -> &'static str {
        let (mut inbox, mut chunk, mut read) = (Inbox::new(self.pool.clone()), [0; super::CHUNK], 0);
        // When the first byte of the request that is being read came.
        let (mut came, mut timed) = (seat.opened, false);
        loop {
            if let Some(wanted) = self.wanted.as_ref().filter(|_| inbox.idle()) {
                inbox.want(&wanted.read().unwrap_or_else(PoisonError::into_inner));
            }
            let fed = inbox.feed(&chunk[..read]);
            read = 0;
            let mut out = None;
            match fed {
                // Nothing is in hand here, so nobody else writes.
                Ok(None) if inbox.waits() => {
                    let _ = seat.stream.set_write_timeout(Some(BRIEF));
                    if (&seat.stream).write_all(GO_ON).is_err() {
                        return "unwritten";
                    }
                }
                Ok(None) => {}
                Err(fault) => return self.refuse(seat, fault, "malformed"),
                Ok(Some(request)) => {
                    if !seat.take(!inbox.idle()) {
                        return "evicted";
                    }
                    if request.close {
                        seat.set_last();
                    }
                    match self.take(seat, request, came, pen) {
                        Ok(ticket) => out = Some(ticket),
                        Err(reply) if self.answer(seat, &reply, false) => {}
                        Err(_) => return "answered",
                    }
                    if !inbox.idle() {
                        // The next request has come already; it waits for this one's answer.
                        if out.is_some() && !next(pen) {
                            return "answered";
                        }
                        came = Instant::now();
                        continue;
                    }
                }
            }
            loop {
                // Nobody is owed a seat for saying nothing, or half of something. A known client may be idle.
                let known = seat.proven();
                let strange = out.is_none() && !(inbox.idle() && known);
                let waited = if known { came } else { seat.opened }.elapsed();
                if strange && waited >= SLOW {
                    if inbox.idle() {
                        return "silent";
                    }
                    let fault = Fault { status: 408, why: "request took too long to come".to_string() };
                    return self.refuse(seat, fault, "slow");
                }
                if strange || timed {
                    let left = SLOW.saturating_sub(waited).max(Duration::from_millis(1));
                    let _ = seat.stream.set_read_timeout(strange.then_some(left));
                    timed = strange;
                }
                match seat.stream.peek(&mut [0]) {
                    Ok(0) => return self.left(out, pen, inbox.idle()),
                    Ok(_) => {
                        if out.is_some() && !next(pen) {
                            return "answered";
                        }
                        if !seat.begin() {
                            return "answered";
                        }
                        if inbox.idle() {
                            came = Instant::now();
                        }
                        match (&seat.stream).read(&mut chunk) {
                            Ok(bytes) => read = bytes,
                            Err(error) if super::passing(&error) => {}
                            Err(_) => return self.left(None, pen, inbox.idle()),
                        }
                        break;
                    }
                    Err(error) if super::passing(&error) => {}
                    Err(_) => return self.left(out, pen, inbox.idle()),
                }
            }
        }
    }

    /// The connection has ended from the other side, or was ended from this one.
    fn left(&self, out: Option<u64>, pen: &Option<Pen>, idle: bool) -> &'static str {
        match (out, pen) {
            (Some(ticket), Some(pen)) => match pen.written.try_recv() {
                Ok(true) => "closed",
                Ok(false) => "answered",
                Err(_) => {
                    // A client that closes has withdrawn its op.
                    let _ = self.desk.send(Event::Withdrawn { ticket });
                    "withdrawn"
                }
            },
            _ if idle => "closed",
            _ => "cut-short",
        }
    }

    /// Hands a request to the desk and gives its ticket; or gives the answer that it gets here.
    fn take(
        self: &Arc<Clients>,
        seat: &Arc<Seat>,
        mut request: Request,
        came: Instant,
        pen: &mut Option<Pen>,
    ) -> Result<u64, Reply> {
        let path = request.path.split('?').next().unwrap_or_default();
        if path == names::READY || path == names::HEALTHY {
            // Who asks this needs no seat for longer.
            seat.set_last();
            return Err(match path == names::HEALTHY || self.is_ready() {
                true => own(200, "in service"),
                false => own(503, "not ready"),
            });
        }
        let asked = self.door.check(&request).map_err(|fault| own(fault.status, &fault.why))?;
        // Also one that is refused is in hand until it is counted.
        let take = || self.figures.as_ref().map(|figures| figures.take_in_hand(asked.category));
        let own = |status, text: &str| Reply { in_hand: take(), ..own(status, text) };
        let id = request.id.as_deref().unwrap_or_default();
        let Some(entry) = self.ids.enter(id) else {
            return Err(own(409, &format!("{}: is open here already", names::CALL_ID)));
        };
        request.entry = Some(entry);
        if self.seats.busy() > self.budget().requests {
            return Err(Reply {
                retry_after: self.door.retry_after,
                ..own(503, "too many requests in hand")
            });
        }
        let pen = match pen {
            Some(pen) => pen,
            None => pen.insert(self.pen(seat).map_err(|error| {
                say!("client connection {}: no thread for its answers: {error}", seat.number);
                seat.set_last();
                own(503, "no thread free")
            })?),
        };
        let ticket = self.numbers.fetch_add(1, Ordering::Relaxed);
        let in_hand = take();
        let reply = Owed { to: pen.replies.clone(), in_hand };
        let job = Arc::new(request);
        let sent = self.desk.send(Event::Asked { ticket, job, asked, came, reply });
        sent.map(|()| ticket).map_err(|_| own(503, "the node has ended"))
    }

    /// Starts the writer of a connection.
    fn pen(self: &Arc<Clients>, seat: &Arc<Seat>) -> std::io::Result<Pen> {
        let (replies, to_write) = bounded::<Answer>(1);
        let (wrote, written) = bounded::<bool>(1);
        let (writer, shared) = (seat.clone(), self.clone());
        spawn("client-out", move || shared.write(&writer, &to_write, &wrote))?;
        Ok(Pen { replies, written })
    }

    /// Writes answers; tells after each whether the connection goes on.
    fn write(&self, seat: &Seat, replies: &Receiver<Answer>, wrote: &Sender<bool>) {
        while let Ok(answer) = replies.recv() {
            let reply = Reply::from(answer);
            let goes_on = self.answer(seat, &reply, true);
            drop(reply);
            let _ = wrote.send(goes_on);
            if !goes_on {
                // The reader goes as soon as the client closes; it is not waited for longer than this.
                let _ = replies.recv_timeout(BRIEF);
                return seat.end("answered");
            }
        }
    }

    /// Writes one answer, to an op of a known client or to a stranger; true if the connection goes on.
    fn answer(&self, seat: &Seat, reply: &Reply, known: bool) -> bool {
        let close = seat.last() || self.steer.load(Ordering::Relaxed) || reply.status / 100 == 4;
        let body = reply.body.bytes();
        let head = answer_head(reply.status, body.len(), reply.retry_after, close);
        // A client that takes nothing in must not hold this thread for good.
        let left = reply.until.saturating_duration_since(Instant::now()).max(BRIEF);
        let _ = seat.stream.set_write_timeout(Some(left));
        let mut out = &seat.stream;
        let sent = out.write_all(head.as_bytes()).and_then(|()| out.write_all(body));
        if sent.is_ok() {
            self.count(reply.in_hand.as_ref().map(|op| op.category), reply.status);
        }
        if sent.is_err() {
            seat.end("unwritten");
        } else if close {
            seat.finish("answered");
        } else {
            // Before the reader is told: it may mark the next request at once.
            seat.rest(known);
        }
        sent.is_ok() && !close
    }

    /// An op has its answer.
    fn count(&self, category: Option<usize>, status: u16) {
        if let (Some(figures), Some(category)) = (&self.figures, category) {
            let how = match status {
                200 => Ended::Acked,
                503 => Ended::Nacked,
                _ => Ended::Failed,
            };
            figures.ended(category, how);
        }
    }

    /// Answers what can't be taken; nothing more is read as a request here.
    fn refuse(&self, seat: &Seat, fault: Fault, code: &'static str) -> &'static str {
        seat.set_last();
        self.answer(seat, &own(fault.status, &fault.why), false);
        code
    }
}

/// Waits until the op in hand is answered; false if that was the last answer here.
fn next(pen: &Option<Pen>) -> bool {
    pen.as_ref().is_none_or(|pen| pen.written.recv() == Ok(true))
}

/// Takes in what a client still sends behind its last answer, until it closes or has had time to read that. A
/// connection ended under what was not read is reset, and the answer may be lost with it.
fn drain(mut stream: &TcpStream) {
    let (start, mut chunk) = (Instant::now(), [0; super::CHUNK]);
    let _ = stream.set_read_timeout(Some(BRIEF));
    while start.elapsed() < BRIEF {
        match stream.read(&mut chunk) {
            Ok(1..) => {}
            Err(error) if super::passing(&error) => {}
            _ => return,
        }
    }
}

/// An answer that the node gives without the desk.
fn own(status: u16, text: &str) -> Reply {
    let body = Body::Text(format!("{text}\n"));
    Reply { status, in_hand: None, body, retry_after: 0, until: Instant::now() + BRIEF }
}

/// The longest budget that is believed.
const MOST_MS: i64 = 3_600_000;

/// A plain number, of no more digits than are ever needed.
fn number(text: &str) -> Option<i64> {
    (text.len() <= 12 && is_decimal(text)).then(|| text.parse().ok())?
}

impl Door {
    /// What the node must know of a request before it takes it; what is missing or wrong is named.
    pub fn check(&self, request: &Request) -> Result<Asked, Fault> {
        let wrong = |why: String| Fault { status: 400, why };
        let missing = |name: &str| wrong(format!("{name} is missing"));
        if request.method != "POST" {
            return Err(Fault { status: 405, why: format!("{} is not served, only POST", request.method) });
        }
        if request.id.is_none() {
            return Err(missing(names::CALL_ID));
        }
        // Both go on as they are: what an executor can't read would cost the connection there.
        for (name, text) in [(names::CALL_ID, &request.id), (names::MARK, &request.mark)] {
            let plain = |text: &String| text.len() <= 128 && text.bytes().all(|b| b.is_ascii_graphic());
            if !text.as_ref().is_none_or(plain) {
                return Err(wrong(format!("{name}: no usable text")));
            }
        }
        let name = request.category.as_ref().ok_or_else(|| missing(names::CATEGORY))?;
        let found = self.categories.get(name);
        let kind = found.ok_or_else(|| wrong(format!("{}: unknown: {name}", names::CATEGORY)))?;
        let budget = request.budget.as_ref().ok_or_else(|| missing(names::BUDGET))?;
        let budget_ms = number(budget).filter(|ms| *ms <= MOST_MS);
        let budget_ms =
            budget_ms.ok_or_else(|| wrong(format!("{}: no usable number of ms", names::BUDGET)))?;
        if kind.marked && request.mark.is_none() {
            return Err(missing(names::MARK));
        }
        // No op is kept beyond its category's TTL, whatever its client would wait.
        let budget = (budget_ms * 10).min(kind.ttl);
        let mut asked = Asked { category: kind.at, slots: 1.0, memory: 0.0, hint: None, budget };
        if let Some(cost) = &request.cost {
            let us = number(cost).ok_or_else(|| wrong(format!("{}: not a number of us", names::COST)))?;
            asked.hint = Some(us / 100).filter(|hint| *hint > 0);
        }
        for pair in request.figures.iter().flat_map(|text| text.split(',')) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let (to, least) = match name.trim() {
                names::SLOTS => (&mut asked.slots, 1e-3),
                names::MEMORY => (&mut asked.memory, 0.0),
                _ => continue,
            };
            let plain = value.trim().bytes().all(|b| b.is_ascii_digit() || b == b'.');
            let value = value.trim().parse::<f64>().ok().filter(|v| plain && (least..1e4).contains(v));
            *to = value.ok_or_else(|| wrong(format!("{}: {name}: not a usable number", names::FIGURES)))?;
        }
        Ok(asked)
    }
}
