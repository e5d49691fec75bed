//! Client connections. For each, one thread reads requests and detects a disconnect, and another writes
//! responses.

use crate::interfaces::{ClientFrontend, Event, JobParameters, OpOutcome, OpReply, PendingReply};
use crate::log_info;
use crate::process::budget::Budget;
use crate::process::settings::RequestRules;
use crate::process::spawn;
use crate::state::buffer_pool::{Bytes, Pool};
use crate::state::client_slots::{ClientSlot, ClientSlots};
use crate::state::metrics::{InFlightGuard, Metrics, ResultKind};
use crate::state::request_ids::RequestIds;
use crate::wire::client_request::{answer_head, Request, RequestError, RequestParser, CONTINUE};
use crate::wire::http::is_decimal;
use crate::wire::names;
use crossbeam_channel::{bounded, Receiver, Sender};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};
use stileroute_dispatch::types::Time;

/// A response to a client.
pub struct Reply {
    pub status: u16,
    /// Guard of the op that this response ends; `None` if it ends no op.
    pub in_flight: Option<Box<InFlightGuard>>,
    pub body: Body,
    pub retry_after: Time,
    /// The time after which no client waits for the response.
    pub deadline: Instant,
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

impl From<OpReply> for Reply {
    fn from(answer: OpReply) -> Reply {
        let (status, body, retry_after) = match answer.outcome {
            OpOutcome::Acked(result) => (200, Body::Result(result), 0),
            OpOutcome::Nacked { why, retry_after } => (503, Body::Text(format!("{why}\n")), retry_after),
            OpOutcome::DeadLettered => (500, Body::Text("dead-lettered\n".to_string()), 0),
            OpOutcome::Rejected { status } => {
                (status, Body::Text(format!("refused by an executor: status {status}\n")), 0)
            }
        };
        Reply { status, in_flight: answer.in_flight, body, retry_after, deadline: answer.deadline }
    }
}

impl ClientFrontend for Clients {
    fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    fn stop_accepting(&self) -> bool {
        self.set_ready(false);
        self.shutting_down.store(true, Ordering::Relaxed);
        self.shared
    }

    fn close_connections(&self) {
        self.closing_connections.store(true, Ordering::Relaxed);
        // With a successor there is time to spare: a client that has just connected or got a response may be
        // sending its next request, which would cross the close. Such a connection is closed with its next
        // response.
        self.client_slots
            .close_idle("steered", if self.shared { LAST_RESPONSE_TIMEOUT / 4 } else { Duration::ZERO });
    }

    fn is_idle(&self) -> bool {
        self.client_slots.are_idle()
    }

    fn set_routed_headers(&self, headers: &[String]) {
        if let Some(routed_headers) = &self.routed_headers {
            *routed_headers.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(headers.to_vec());
        }
    }
}

/// State shared by the threads of all client connections.
pub struct Clients {
    pub dispatch_loop: Sender<Event>,
    pub pool: Arc<Pool>,
    pub request_rules: RequestRules,
    pub budget: Budget,
    pub client_slots: ClientSlots,
    pub ids: Arc<RequestIds>,
    pub ready: AtomicBool,
    /// The listener was inherited, so other processes accept on it too.
    pub shared: bool,
    /// The shutdown signal was received.
    pub shutting_down: AtomicBool,
    /// Another process of this node is running.
    pub has_sibling: AtomicBool,
    /// The node is about to exit: client connections are being closed.
    pub closing_connections: AtomicBool,
    pub next_number: AtomicU64,
    pub metrics: Option<Arc<Metrics>>,
    /// Headers that routes match on; `None` if no routes are configured.
    pub routed_headers: Option<RwLock<Arc<Vec<String>>>>,
}

/// Time limit for receiving a request, counted for the first one from the accept, and time limit for a client
/// to read its last response. Clients may take two seconds to send a job, and an invalid client must get its
/// error within three.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2400);
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The reader's handle of the connection's writer thread, which is started with the first op.
struct ResponseWriter {
    replies: Sender<OpReply>,
    written: Receiver<bool>,
}

impl Clients {
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// The connections and requests that this process may hold at present.
    pub fn budget(&self) -> Budget {
        self.budget.share(self.has_sibling.load(Ordering::Relaxed))
    }

    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// Registers a new connection and starts its reader.
    pub fn accept_connection(self: &Arc<Clients>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let slot = ClientSlot::new(number, stream);
        self.client_slots.add(&slot);
        let (reader, shared) = (slot.clone(), self.clone());
        let read = move || {
            let mut writer = None;
            let code = shared.serve_requests(&reader, &mut writer);
            if reader.close_reason().is_some() {
                drain_input(&reader.stream);
            }
            reader.close(code);
            shared.client_slots.remove(number);
            let code = reader.close_reason().unwrap_or(code);
            log_info!(ended { peer = "client", connection = number, code } "client connection {number} ended: {code}");
        };
        if let Err(error) = spawn("client-in", read) {
            // No thread could be started. The request counts as received, so it is rejected here, while the
            // listener waits briefly.
            self.reject(&slot.stream);
            slot.close("no-thread");
            self.client_slots.remove(number);
            let code = "no-thread";
            log_info!(ended { peer = "client", connection = number, code } "client connection {number} ended: no-thread: {error}");
        }
    }

    /// Reads one request, if any arrives, and rejects it with status 503.
    fn reject(&self, mut stream: &TcpStream) {
        let (mut parser, mut chunk) = (RequestParser::new(self.pool.clone()), [0; super::READ_CHUNK_BYTES]);
        let _ = stream.set_read_timeout(Some(LAST_RESPONSE_TIMEOUT / 20));
        let _ = stream.set_write_timeout(Some(LAST_RESPONSE_TIMEOUT / 20));
        while let Ok(read @ 1..) = stream.read(&mut chunk) {
            let fed = parser.feed(&chunk[..read]);
            if !matches!(fed, Ok(None)) {
                let sent = stream.write_all(answer_head(503, 0, 0, true).as_bytes());
                let parameters =
                    fed.ok().flatten().and_then(|request| self.request_rules.check(&request).ok());
                return self.count_result(
                    parameters.filter(|_| sent.is_ok()).map(|parameters| parameters.category),
                    503,
                );
            }
        }
    }

    /// Reads requests until the connection ends and returns the reason.
    fn serve_requests(
        self: &Arc<Clients>,
        slot: &Arc<ClientSlot>,
        writer: &mut Option<ResponseWriter>,
    ) -> &'static str {
        let (mut parser, mut chunk, mut read) =
            (RequestParser::new(self.pool.clone()), [0; super::READ_CHUNK_BYTES], 0);
        // Arrival time of the first byte of the request being read.
        let (mut received_at, mut has_read_timeout) = (slot.opened, false);
        loop {
            if let Some(routed_headers) = self.routed_headers.as_ref().filter(|_| parser.is_idle()) {
                parser.set_routed_headers(&routed_headers.read().unwrap_or_else(PoisonError::into_inner));
            }
            let fed = parser.feed(&chunk[..read]);
            read = 0;
            let mut open_ticket = None;
            match fed {
                // No request is in flight, so no other thread writes to the socket.
                Ok(None) if parser.take_continue_wanted() => {
                    let _ = slot.stream.set_write_timeout(Some(LAST_RESPONSE_TIMEOUT));
                    if (&slot.stream).write_all(CONTINUE).is_err() {
                        return "unwritten";
                    }
                }
                Ok(None) => {}
                Err(error) => return self.refuse(slot, error, "malformed"),
                Ok(Some(request)) => {
                    if !slot.set_busy(!parser.is_idle()) {
                        return "evicted";
                    }
                    if request.close {
                        slot.set_last();
                    }
                    match self.submit(slot, request, received_at, writer) {
                        Ok(ticket) => open_ticket = Some(ticket),
                        Err(reply) if self.write_reply(slot, &reply, false) => {}
                        Err(_) => return "answered",
                    }
                    if !parser.is_idle() {
                        // The next request has already arrived; it waits until this one is answered.
                        if open_ticket.is_some() && !wait_for_reply(writer) {
                            return "answered";
                        }
                        received_at = Instant::now();
                        continue;
                    }
                }
            }
            loop {
                // A connection without a request, or with a partial one, is closed after the time-out. Only a
                // proven client may stay idle.
                let is_proven = slot.is_proven();
                let deadline_applies = open_ticket.is_none() && !(parser.is_idle() && is_proven);
                let elapsed = if is_proven { received_at } else { slot.opened }.elapsed();
                if deadline_applies && elapsed >= REQUEST_TIMEOUT {
                    if parser.is_idle() {
                        return "silent";
                    }
                    let error =
                        RequestError { status: 408, reason: "request not received in time".to_string() };
                    return self.refuse(slot, error, "slow");
                }
                if deadline_applies || has_read_timeout {
                    let remaining = REQUEST_TIMEOUT.saturating_sub(elapsed).max(Duration::from_millis(1));
                    let _ = slot.stream.set_read_timeout(deadline_applies.then_some(remaining));
                    has_read_timeout = deadline_applies;
                }
                match slot.stream.peek(&mut [0]) {
                    Ok(0) => return self.connection_closed(open_ticket, writer, parser.is_idle()),
                    Ok(_) => {
                        if open_ticket.is_some() && !wait_for_reply(writer) {
                            return "answered";
                        }
                        if !slot.start_reading() {
                            return "answered";
                        }
                        if parser.is_idle() {
                            received_at = Instant::now();
                        }
                        match (&slot.stream).read(&mut chunk) {
                            Ok(bytes) => read = bytes,
                            Err(error) if super::is_transient(&error) => {}
                            Err(_) => return self.connection_closed(None, writer, parser.is_idle()),
                        }
                        break;
                    }
                    Err(error) if super::is_transient(&error) => {}
                    Err(_) => return self.connection_closed(open_ticket, writer, parser.is_idle()),
                }
            }
        }
    }

    /// Returns the reason why the connection ended, from either side.
    fn connection_closed(
        &self,
        open_ticket: Option<u64>,
        writer: &Option<ResponseWriter>,
        idle: bool,
    ) -> &'static str {
        match (open_ticket, writer) {
            (Some(ticket), Some(writer)) => match writer.written.try_recv() {
                Ok(true) => "closed",
                Ok(false) => "answered",
                Err(_) => {
                    // A client that disconnects has withdrawn its op.
                    let _ = self.dispatch_loop.send(Event::Withdrawn { ticket });
                    "withdrawn"
                }
            },
            _ if idle => "closed",
            _ => "cut-short",
        }
    }

    /// Submits a request to the dispatch loop and returns its ticket, or returns the response if it is answered
    /// here.
    fn submit(
        self: &Arc<Clients>,
        slot: &Arc<ClientSlot>,
        mut request: Request,
        received_at: Instant,
        writer: &mut Option<ResponseWriter>,
    ) -> Result<u64, Reply> {
        let path = request.path.split('?').next().unwrap_or_default();
        if path == names::READY || path == names::HEALTHY {
            // Health checks are answered once per connection, so that they hold no slot.
            slot.set_last();
            return Err(match path == names::HEALTHY || self.is_ready() {
                true => local_reply(200, "in service"),
                false => local_reply(503, "not ready"),
            });
        }
        let parameters =
            self.request_rules.check(&request).map_err(|error| local_reply(error.status, &error.reason))?;
        // A rejected op also counts as in flight until its response is written.
        let begin_op = || self.metrics.as_ref().map(|metrics| metrics.begin_op(parameters.category));
        let local_reply = |status, text: &str| Reply { in_flight: begin_op(), ..local_reply(status, text) };
        let id = request.id.as_deref().unwrap_or_default();
        let Some(id_guard) = self.ids.reserve(id) else {
            return Err(local_reply(
                409,
                &format!("{}: is already in use by an open request", names::CALL_ID),
            ));
        };
        request.id_guard = Some(id_guard);
        if self.client_slots.count_busy() > self.budget().requests {
            return Err(Reply {
                retry_after: self.request_rules.retry_after,
                ..local_reply(503, "too many requests in hand")
            });
        }
        let writer = match writer {
            Some(writer) => writer,
            None => writer.insert(self.start_writer(slot).map_err(|error| {
                log_info!("client connection {}: no thread for its answers: {error}", slot.number);
                slot.set_last();
                local_reply(503, "no thread free")
            })?),
        };
        let ticket = self.next_number.fetch_add(1, Ordering::Relaxed);
        let in_flight = begin_op();
        let reply = PendingReply { reply_to: writer.replies.clone(), in_flight };
        let job = Arc::new(request);
        let sent = self.dispatch_loop.send(Event::Submitted { ticket, job, parameters, received_at, reply });
        sent.map(|()| ticket).map_err(|_| local_reply(503, "the node has ended"))
    }

    /// Starts the writer thread of a connection.
    fn start_writer(self: &Arc<Clients>, slot: &Arc<ClientSlot>) -> std::io::Result<ResponseWriter> {
        let (replies, queued_replies) = bounded::<OpReply>(1);
        let (wrote, written) = bounded::<bool>(1);
        let (writer, shared) = (slot.clone(), self.clone());
        spawn("client-out", move || shared.write_replies(&writer, &queued_replies, &wrote))?;
        Ok(ResponseWriter { replies, written })
    }

    /// Writes responses, and after each reports whether the connection stays open.
    fn write_replies(&self, slot: &ClientSlot, replies: &Receiver<OpReply>, wrote: &Sender<bool>) {
        while let Ok(answer) = replies.recv() {
            let reply = Reply::from(answer);
            let stays_open = self.write_reply(slot, &reply, true);
            drop(reply);
            let _ = wrote.send(stays_open);
            if !stays_open {
                // Waits for the reader, which ends as soon as the client closes, but no longer than this
                // time-out.
                let _ = replies.recv_timeout(LAST_RESPONSE_TIMEOUT);
                return slot.close("answered");
            }
        }
    }

    /// Writes one response; `is_proven` is set for a response to an op. Returns true if the connection stays
    /// open.
    fn write_reply(&self, slot: &ClientSlot, reply: &Reply, is_proven: bool) -> bool {
        let close =
            slot.is_last() || self.closing_connections.load(Ordering::Relaxed) || reply.status / 100 == 4;
        let body = reply.body.bytes();
        let head = answer_head(reply.status, body.len(), reply.retry_after, close);
        // A client that does not read must not block this thread forever.
        let remaining = reply.deadline.saturating_duration_since(Instant::now()).max(LAST_RESPONSE_TIMEOUT);
        let _ = slot.stream.set_write_timeout(Some(remaining));
        let mut open_ticket = &slot.stream;
        let sent = open_ticket.write_all(head.as_bytes()).and_then(|()| open_ticket.write_all(body));
        if sent.is_ok() {
            self.count_result(reply.in_flight.as_ref().map(|op| op.category), reply.status);
        }
        if sent.is_err() {
            slot.close("unwritten");
        } else if close {
            slot.close_after_response("answered");
        } else {
            // Must happen before the reader is notified, because the reader may then mark the next request at
            // once.
            slot.finish_request(is_proven);
        }
        sent.is_ok() && !close
    }

    /// Counts the result of an op.
    fn count_result(&self, category: Option<usize>, status: u16) {
        if let (Some(metrics), Some(category)) = (&self.metrics, category) {
            let kind = match status {
                200 => ResultKind::Acked,
                503 => ResultKind::Nacked,
                _ => ResultKind::Failed,
            };
            metrics.count_result(category, kind);
        }
    }

    /// Responds to an invalid request. No further request is read from this connection.
    fn refuse(&self, slot: &ClientSlot, error: RequestError, code: &'static str) -> &'static str {
        slot.set_last();
        self.write_reply(slot, &local_reply(error.status, &error.reason), false);
        code
    }
}

/// Waits until the op in flight is answered. Returns false if that was the last response on this connection.
fn wait_for_reply(writer: &Option<ResponseWriter>) -> bool {
    writer.as_ref().is_none_or(|writer| writer.written.recv() == Ok(true))
}

/// Reads and discards what a client still sends after its last response, until it closes or has had time to
/// read that response. Closing with unread bytes would reset the connection and could lose the response.
fn drain_input(mut stream: &TcpStream) {
    let (start, mut chunk) = (Instant::now(), [0; super::READ_CHUNK_BYTES]);
    let _ = stream.set_read_timeout(Some(LAST_RESPONSE_TIMEOUT));
    while start.elapsed() < LAST_RESPONSE_TIMEOUT {
        match stream.read(&mut chunk) {
            Ok(1..) => {}
            Err(error) if super::is_transient(&error) => {}
            _ => return,
        }
    }
}

/// A response that is made without the dispatch loop.
fn local_reply(status: u16, text: &str) -> Reply {
    let body = Body::Text(format!("{text}\n"));
    Reply { status, in_flight: None, body, retry_after: 0, deadline: Instant::now() + LAST_RESPONSE_TIMEOUT }
}

/// The longest accepted time budget, in milliseconds.
const MAX_BUDGET_MS: i64 = 3_600_000;

/// Parses a decimal number of at most 12 digits.
fn number(text: &str) -> Option<i64> {
    (text.len() <= 12 && is_decimal(text)).then(|| text.parse().ok())?
}

impl RequestRules {
    /// Validates a request and extracts its parameters. The error names what is missing or invalid.
    pub fn check(&self, request: &Request) -> Result<JobParameters, RequestError> {
        let bad_request = |reason: String| RequestError { status: 400, reason };
        let missing = |name: &str| bad_request(format!("{name} is missing"));
        if request.method != "POST" {
            return Err(RequestError {
                status: 405,
                reason: format!("{} is not served, only POST", request.method),
            });
        }
        if request.id.is_none() {
            return Err(missing(names::CALL_ID));
        }
        // Both go on as they are: what an executor can't read would cost the connection there.
        for (name, text) in
            [(names::CALL_ID, &request.id), (names::IDEMPOTENCY_KEY, &request.idempotency_key)]
        {
            let is_plain = |text: &String| text.len() <= 128 && text.bytes().all(|b| b.is_ascii_graphic());
            if !text.as_ref().is_none_or(is_plain) {
                return Err(bad_request(format!("{name}: not printable ASCII of at most 128 characters")));
            }
        }
        let name = request.category.as_ref().ok_or_else(|| missing(names::CATEGORY))?;
        let found = self.categories.get(name);
        let rules = found.ok_or_else(|| bad_request(format!("{}: unknown: {name}", names::CATEGORY)))?;
        let budget = request.budget.as_ref().ok_or_else(|| missing(names::BUDGET))?;
        let budget_ms = number(budget).filter(|ms| *ms <= MAX_BUDGET_MS);
        let budget_ms = budget_ms
            .ok_or_else(|| bad_request(format!("{}: not a number of ms up to 3600000", names::BUDGET)))?;
        if rules.requires_key && request.idempotency_key.is_none() {
            return Err(missing(names::IDEMPOTENCY_KEY));
        }
        // No op is kept beyond its category's TTL, whatever its client would wait.
        let budget = (budget_ms * 10).min(rules.ttl);
        let mut parameters =
            JobParameters { category: rules.position, slots: 1.0, memory: 0.0, hint: None, budget };
        if let Some(cost) = &request.cost {
            let us =
                number(cost).ok_or_else(|| bad_request(format!("{}: not a number of us", names::COST)))?;
            parameters.hint = Some(us / 100).filter(|hint| *hint > 0);
        }
        for pair in request.call_info.iter().flat_map(|text| text.split(',')) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let (target, minimum) = match name.trim() {
                names::SLOTS => (&mut parameters.slots, 1e-3),
                names::MEMORY => (&mut parameters.memory, 0.0),
                _ => continue,
            };
            let is_plain = value.trim().bytes().all(|b| b.is_ascii_digit() || b == b'.');
            let value = value.trim().parse::<f64>().ok().filter(|v| is_plain && (minimum..1e4).contains(v));
            *target = value
                .ok_or_else(|| bad_request(format!("{}: {name}: not a usable number", names::CALL_INFO)))?;
        }
        Ok(parameters)
    }
}
