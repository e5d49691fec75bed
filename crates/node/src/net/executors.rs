//! Connections to executors. Each has one thread and carries one push at a time.

use crate::interfaces::{self, Event, Job, PushOutcome};
use crate::log_info;
use crate::state::buffer_pool::Pool;
use crate::state::metrics::Metrics;
use crate::wire::push::{push_head, ResponseEvent, ResponseOutcome, ResponseParser};
use crossbeam_channel::{Receiver, Sender};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A push to be carried by a connection.
pub struct Task {
    pub ticket: u64,
    pub push: usize,
    pub job: Arc<dyn Job>,
    /// Repeating the op is not harmless, so the last byte of the push is held back briefly.
    pub hold_last_byte: bool,
    pub to: SocketAddr,
    /// The deadline of the op.
    pub deadline: Instant,
    /// No byte of the push may be written after this time.
    pub write_deadline: Instant,
    /// The route's limit on the time for opening a new connection.
    pub connect_timeout: Option<Duration>,
}

/// The dispatch loop's handle of a connection, used to close it or to withhold its push.
#[derive(Default)]
pub struct ConnectionHandle {
    state: Mutex<HandleState>,
}

#[derive(Default)]
struct HandleState {
    stream: Option<Arc<TcpStream>>,
    /// Set once the first byte of the push may be written.
    write_allowed: bool,
    is_cancelled: bool,
    close_reason: Option<&'static str>,
}

impl ConnectionHandle {
    fn state(&self) -> MutexGuard<'_, HandleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resets the handle for a new push.
    pub fn reset(&self) {
        let mut state = self.state();
        (state.is_cancelled, state.write_allowed) = (false, false);
    }

    /// Sets the reason for closing the connection while it is idle.
    pub fn set_close_reason(&self, reason: &'static str) {
        self.state().close_reason.get_or_insert(reason);
    }

    /// Registers the stream of the connection. Returns false if the push was cancelled in the meantime.
    pub fn register_stream(&self, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        state.stream = Some(stream.clone());
        state.write_allowed = !state.is_cancelled;
        state.write_allowed
    }

    fn is_cancelled(&self) -> bool {
        self.state().is_cancelled
    }

    fn clear_stream(&self) {
        self.state().stream = None;
    }
}

impl interfaces::PushHandle for ConnectionHandle {
    fn cancel(&self) {
        let mut state = self.state();
        state.is_cancelled = true;
        if let Some(stream) = &state.stream {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn withhold_unsent(&self) {
        let mut state = self.state();
        // A reused connection still has its stream from the previous push, so the presence of a stream says
        // nothing about this push.
        state.is_cancelled |= !state.write_allowed;
    }
}

/// State shared by the threads of all executor connections.
pub struct Executors {
    pub dispatch_loop: Sender<Event>,
    pub pool: Arc<Pool>,
    pub gauges: Arc<Vec<String>>,
    pub metrics: Option<Arc<Metrics>>,
    pub connect_timeout: Duration,
}

/// How long the end of a response may lag behind its final status line if the connection is to be reused.
const RESPONSE_END_TIMEOUT: Duration = Duration::from_millis(250);

/// Runs one connection until it is closed.
pub fn run(number: u64, tasks: Receiver<Task>, handle: &ConnectionHandle, shared: &Executors) {
    let mut stream = None;
    let mut to = String::new();
    while let Ok(task) = tasks.recv() {
        to = task.to.to_string();
        let mut active_push = ActivePush {
            number,
            task: &task,
            handle,
            shared,
            code: "closed",
            outcome_sent: false,
            is_reused: false,
        };
        let is_reusable = active_push.push(&*task.job, task.hold_last_byte, &mut stream);
        let code = active_push.code;
        drop(task);
        if !is_reusable {
            handle.clear_stream();
            log_info!(ended { peer = "executor", at = %to, connection = number, code } "executor {to}: connection {number} ended: {code}");
        }
        let dispatch_loop_ended =
            shared.dispatch_loop.send(Event::ConnectionReleased { number, is_reusable }).is_err();
        if dispatch_loop_ended || !is_reusable {
            return;
        }
    }
    let reason = handle.state().close_reason.unwrap_or("stopped");
    log_info!(ended { peer = "executor", at = %to, connection = number, code = reason } "executor {to}: connection {number} ended: {reason}");
}

struct ActivePush<'a> {
    number: u64,
    task: &'a Task,
    handle: &'a ConnectionHandle,
    shared: &'a Executors,
    /// Why the connection is closed, if it is.
    code: &'static str,
    outcome_sent: bool,
    /// The connection carried another push before, so it may have been closed while idle.
    is_reused: bool,
}

impl ActivePush<'_> {
    /// Carries a push. Returns true if the connection can be reused.
    fn push(
        &mut self,
        job: &dyn Job,
        hold_last_byte: bool,
        idle_stream: &mut Option<Arc<TcpStream>>,
    ) -> bool {
        let Some(response) = ResponseParser::new(&self.shared.pool, job.id(), self.shared.gauges.clone())
        else {
            self.code = "no-buffer";
            return self.fail(idle_stream.take(), PushOutcome::NotSent);
        };
        let stream = match self.connection(idle_stream) {
            Ok(stream) => stream,
            Err(push_outcome) => return self.fail(None, push_outcome),
        };
        let remaining = self.task.deadline.saturating_duration_since(Instant::now());
        let head = push_head(job, &self.task.to.to_string(), remaining.as_millis() as i64);
        match self.write(&stream, &[head.as_bytes(), job.body()].concat(), hold_last_byte) {
            Ok(()) => self.read_response(response, stream, idle_stream),
            Err(push_outcome) => self.fail(Some(stream), push_outcome),
        }
    }

    /// Writes the request. An executor starts a job only after the last byte has arrived. If a repeat is not
    /// harmless, that byte is held back for a moment in which a dying connection usually shows its failure. A
    /// push that fails before the last byte has provably not run; after it, that would stay unknown.
    fn write(&mut self, stream: &TcpStream, text: &[u8], hold_last_byte: bool) -> Result<(), PushOutcome> {
        let mut out = stream;
        let (head, last_byte) = text.split_at(text.len() - usize::from(hold_last_byte));
        let mut sent = out.write_all(head);
        if hold_last_byte && sent.is_ok() {
            sent = check_still_open(stream);
            if self.handle.is_cancelled() || Instant::now() >= self.task.write_deadline {
                self.code = "called-off";
                return Err(PushOutcome::NotSent);
            }
            sent = sent.and_then(|()| out.write_all(last_byte));
        }
        if let Some(metrics) = self.shared.metrics.as_ref().filter(|_| sent.is_ok()) {
            metrics.count_push();
        }
        sent.map_err(|_| {
            self.code = if self.handle.is_cancelled() { "called-off" } else { "unwritten" };
            PushOutcome::WriteFailed { used: self.is_reused }
        })
    }

    /// The stream for this push: the idle one or a new one.
    fn connection(
        &mut self,
        idle_stream: &mut Option<Arc<TcpStream>>,
    ) -> Result<Arc<TcpStream>, PushOutcome> {
        if idle_stream.as_ref().is_some_and(|stream| !is_usable(stream)) {
            // The connection was closed while idle. Nothing of this push was written, so a new connection can
            // carry it.
            let (to, number) = (self.task.to, self.number);
            log_info!(ended { peer = "executor", at = %to, connection = number, code = "stale" } "executor {to}: connection {number} ended: stale");
            self.handle.clear_stream();
            *idle_stream = None;
        }
        let stream = match idle_stream.take() {
            Some(stream) => {
                self.is_reused = true;
                stream
            }
            None => Arc::new(self.connect()?),
        };
        if !self.handle.register_stream(&stream) || Instant::now() >= self.task.write_deadline {
            self.code = "called-off";
            self.handle.clear_stream();
            return Err(PushOutcome::NotSent);
        }
        Ok(stream)
    }

    fn connect(&mut self) -> Result<TcpStream, PushOutcome> {
        let remaining = self.task.write_deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() || self.handle.is_cancelled() {
            self.code = "called-off";
            return Err(PushOutcome::NotSent);
        }
        match TcpStream::connect_timeout(
            &self.task.to,
            self.task.connect_timeout.unwrap_or(self.shared.connect_timeout).min(remaining),
        ) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                Ok(stream)
            }
            Err(error) if is_local_failure(&error) => {
                self.code = "no-descriptor";
                Err(PushOutcome::NotSent)
            }
            Err(error) => {
                let refused = error.kind() == ErrorKind::ConnectionRefused;
                self.code = if refused { "refused" } else { "unreached" };
                Err(PushOutcome::NotConnected)
            }
        }
    }

    /// Reads the response to its end. The dispatch loop closes the connection at the op's deadline.
    fn read_response(
        &mut self,
        mut response: ResponseParser,
        stream: Arc<TcpStream>,
        idle_stream: &mut Option<Arc<TcpStream>>,
    ) -> bool {
        let (task, shared) = (self.task, self.shared);
        let (ticket, push) = (task.ticket, task.push);
        let (mut chunk, mut ended, mut nothing_received) = ([0; super::READ_CHUNK_BYTES], None, true);
        let mut input = &*stream;
        loop {
            let mut report = |event| {
                let (has_started, progress) = match event {
                    ResponseEvent::Started => (true, 0.0),
                    ResponseEvent::Running(share) => (false, share),
                    ResponseEvent::Final(outcome_sent, load) => return ended = Some((outcome_sent, load)),
                };
                let _ = shared.dispatch_loop.send(Event::Progress { ticket, push, has_started, progress });
            };
            let read = input.read(&mut chunk);
            if matches!(&read, Err(error) if error.kind() == ErrorKind::Interrupted) {
                continue;
            }
            match &read {
                Ok(0) | Err(_) => response.end(&mut report),
                Ok(bytes) => {
                    nothing_received = false;
                    response.feed(&chunk[..*bytes], &mut report);
                }
            }
            if let Some((outcome_sent, load)) = ended.take() {
                let push_outcome = match outcome_sent {
                    ResponseOutcome::Done(result) => PushOutcome::Done(result),
                    ResponseOutcome::Failed => PushOutcome::Failed,
                    ResponseOutcome::Rejected(status) => PushOutcome::Rejected(status),
                    ResponseOutcome::Returned => PushOutcome::Returned,
                    ResponseOutcome::Lost | ResponseOutcome::Malformed => {
                        // A complete response without a final line is as uncertain as a malformed one: the job
                        // may still be running. The connection is closed before the outcome is reported;
                        // otherwise the dispatch loop would push the op again while the first push is open, and
                        // would even reuse the connection.
                        self.code =
                            if matches!(outcome_sent, ResponseOutcome::Lost) { "lost" } else { "garbled" };
                        return self.fail(Some(stream), PushOutcome::Lost);
                    }
                };
                self.report(push_outcome, load);
                let _ = stream.set_read_timeout(Some(RESPONSE_END_TIMEOUT));
            }
            if self.outcome_sent && response.reusable() && stream.set_read_timeout(None).is_ok() {
                *idle_stream = Some(stream);
                return true;
            }
            match read {
                Ok(1..) => {}
                _ if self.outcome_sent => return false,
                read => {
                    let (code, push_outcome) = match (self.handle.is_cancelled(), read) {
                        (true, _) => ("called-off", PushOutcome::Lost),
                        _ if self.is_reused && nothing_received => ("broken", PushOutcome::StaleConnection),
                        (false, Ok(_)) => ("ended", PushOutcome::Lost),
                        (false, Err(_)) => ("reset", PushOutcome::Lost),
                    };
                    self.code = code;
                    return self.fail(Some(stream), push_outcome);
                }
            }
        }
    }

    /// Closes the connection and then reports the outcome, so that the next push never overlaps with this one.
    fn fail(&mut self, stream: Option<Arc<TcpStream>>, push_outcome: PushOutcome) -> bool {
        drop(stream);
        self.handle.clear_stream();
        self.report(push_outcome, None);
        false
    }

    fn report(&mut self, push_outcome: PushOutcome, load: Option<Vec<f64>>) {
        self.outcome_sent = true;
        let (ticket, push) = (self.task.ticket, self.task.push);
        let _ = self.shared.dispatch_loop.send(Event::PushEnded { ticket, push, push_outcome, load });
    }
}

/// Whether the connection is open and has no bytes to read, as far as the local socket shows.
fn is_usable(stream: &TcpStream) -> bool {
    super::peek_nonblocking(stream)
        .is_some_and(|seen| matches!(seen, Err(error) if error.kind() == ErrorKind::WouldBlock))
}

/// How long the last byte of a push is held back if a repeat is not harmless.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);

/// Fails if the executor closes the connection within the delay.
fn check_still_open(stream: &TcpStream) -> std::io::Result<()> {
    // Sleeps instead of reading with a time-out: the kernel rounds such a short time-out up to two ticks.
    std::thread::sleep(LAST_BYTE_DELAY);
    match super::peek_nonblocking(stream) {
        Some(Ok(0)) => Err(ErrorKind::ConnectionAborted.into()),
        Some(Err(error)) if !super::is_transient(&error) => Err(error),
        _ => Ok(()),
    }
}

/// Whether the failure is local to this machine: out of descriptors, ports or buffers.
fn is_local_failure(error: &std::io::Error) -> bool {
    const LOCAL_ERRNOS: [i32; 5] = [12, 23, 24, 99, 105];
    error.raw_os_error().is_some_and(|code| LOCAL_ERRNOS.contains(&code))
}
