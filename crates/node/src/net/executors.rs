//! Connections to executors: one thread each, which carries one push after another.

use crate::interfaces::{self, Event, How, Job};
use crate::say;
use crate::state::buffer_pool::Pool;
use crate::state::metrics::Figures;
use crate::wire::push::{push_head, Answer, Heard, Told};
use crossbeam_channel::{Receiver, Sender};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a connection is to carry next.
pub struct Task {
    pub ticket: u64,
    pub push: usize,
    pub job: Arc<dyn Job>,
    /// A repeat is not harmless.
    pub wary: bool,
    pub to: SocketAddr,
    /// When the time of the op is out.
    pub until: Instant,
    /// Beyond this nothing of it may be written any more.
    pub leave_by: Instant,
    /// A route's own bound on the time that a new connection may take.
    pub connect: Option<Duration>,
}

/// What the desk holds of a connection, to end it from outside.
#[derive(Default)]
pub struct Link {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    stream: Option<Arc<TcpStream>>,
    /// The first byte of the push may be written from now on.
    begun: bool,
    off: bool,
    end: Option<&'static str>,
}

impl Link {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A new push is about to be carried.
    pub fn renew(&self) {
        let mut state = self.state();
        (state.off, state.begun) = (false, false);
    }

    /// Names the reason why it is closed while idle.
    pub fn end(&self, why: &'static str) {
        self.state().end.get_or_insert(why);
    }

    /// Enters the connection; false if the push was given up meanwhile.
    pub fn enter(&self, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        state.stream = Some(stream.clone());
        state.begun = !state.off;
        state.begun
    }

    fn off(&self) -> bool {
        self.state().off
    }

    fn drop_stream(&self) {
        self.state().stream = None;
    }
}

impl interfaces::Link for Link {
    fn call_off(&self) {
        let mut state = self.state();
        state.off = true;
        if let Some(stream) = &state.stream {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn keep_back(&self) {
        let mut state = self.state();
        // A kept connection has its stream from the push before: that one is there says nothing of this push.
        state.off |= !state.begun;
    }
}

/// What all these threads share.
pub struct Executors {
    pub desk: Sender<Event>,
    pub pool: Arc<Pool>,
    pub gauges: Arc<Vec<String>>,
    pub figures: Option<Arc<Figures>>,
    pub dial: Duration,
}

/// How long the end of an answer may come after its last line, for the connection to be kept.
const TAIL: Duration = Duration::from_millis(250);

/// The life of one connection.
pub fn run(number: u64, tasks: Receiver<Task>, link: &Link, shared: &Executors) {
    let mut stream = None;
    let mut to = String::new();
    while let Ok(task) = tasks.recv() {
        to = task.to.to_string();
        let mut carried =
            Carried { number, task: &task, link, shared, code: "closed", told: false, used: false };
        let keep = carried.push(&*task.job, task.wary, &mut stream);
        let code = carried.code;
        drop(task);
        if !keep {
            link.drop_stream();
            say!(ended { peer = "executor", at = %to, connection = number, code } "executor {to}: connection {number} ended: {code}");
        }
        let gone = shared.desk.send(Event::Free { number, keep }).is_err();
        if gone || !keep {
            return;
        }
    }
    let why = link.state().end.unwrap_or("stopped");
    say!(ended { peer = "executor", at = %to, connection = number, code = why } "executor {to}: connection {number} ended: {why}");
}

struct Carried<'a> {
    number: u64,
    task: &'a Task,
    link: &'a Link,
    shared: &'a Executors,
    /// Why the connection ends, if it does.
    code: &'static str,
    told: bool,
    /// The connection has carried something before.
    used: bool,
}

impl Carried<'_> {
    /// Carries a push; true if the connection may carry another task.
    fn push(&mut self, job: &dyn Job, wary: bool, held: &mut Option<Arc<TcpStream>>) -> bool {
        let Some(answer) = Answer::new(&self.shared.pool, job.id(), self.shared.gauges.clone()) else {
            self.code = "no-buffer";
            return self.end(held.take(), How::Untried);
        };
        let stream = match self.open(held) {
            Ok(stream) => stream,
            Err(how) => return self.end(None, how),
        };
        let left = self.task.until.saturating_duration_since(Instant::now());
        let head = push_head(job, &self.task.to.to_string(), left.as_millis() as i64);
        match self.write(&stream, &[head.as_bytes(), job.body()].concat(), wary) {
            Ok(()) => self.hear(answer, stream, held),
            Err(how) => self.end(Some(stream), how),
        }
    }

    /// Writes the request. No executor begins before the last byte has come: where a repeat is not harmless that
    /// byte is held back for a moment, in which a connection that will not stand mostly shows it. What breaks
    /// then provably never ran; a moment later nothing would tell.
    fn write(&mut self, stream: &TcpStream, text: &[u8], wary: bool) -> Result<(), How> {
        let mut out = stream;
        let (most, last) = text.split_at(text.len() - usize::from(wary));
        let mut sent = out.write_all(most);
        if wary && sent.is_ok() {
            sent = stands(stream);
            if self.link.off() || Instant::now() >= self.task.leave_by {
                self.code = "called-off";
                return Err(How::Untried);
            }
            sent = sent.and_then(|()| out.write_all(last));
        }
        if let Some(figures) = self.shared.figures.as_ref().filter(|_| sent.is_ok()) {
            figures.pushed();
        }
        sent.map_err(|_| {
            self.code = if self.link.off() { "called-off" } else { "unwritten" };
            How::Cut { used: self.used }
        })
    }

    /// The connection for this task: the one at rest, or a new one.
    fn open(&mut self, held: &mut Option<Arc<TcpStream>>) -> Result<Arc<TcpStream>, How> {
        if held.as_ref().is_some_and(|stream| !fresh(stream)) {
            // It ended while it was idle. Nothing of this task was written, so a new one may carry it.
            let (to, number) = (self.task.to, self.number);
            say!(ended { peer = "executor", at = %to, connection = number, code = "stale" } "executor {to}: connection {number} ended: stale");
            self.link.drop_stream();
            *held = None;
        }
        let stream = match held.take() {
            Some(stream) => {
                self.used = true;
                stream
            }
            None => Arc::new(self.connect()?),
        };
        if !self.link.enter(&stream) || Instant::now() >= self.task.leave_by {
            self.code = "called-off";
            self.link.drop_stream();
            return Err(How::Untried);
        }
        Ok(stream)
    }

    fn connect(&mut self) -> Result<TcpStream, How> {
        let left = self.task.leave_by.saturating_duration_since(Instant::now());
        if left.is_zero() || self.link.off() {
            self.code = "called-off";
            return Err(How::Untried);
        }
        match TcpStream::connect_timeout(
            &self.task.to,
            self.task.connect.unwrap_or(self.shared.dial).min(left),
        ) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                Ok(stream)
            }
            Err(error) if local(&error) => {
                self.code = "no-descriptor";
                Err(How::Untried)
            }
            Err(error) => {
                let refused = error.kind() == ErrorKind::ConnectionRefused;
                self.code = if refused { "refused" } else { "unreached" };
                Err(How::Unconnected)
            }
        }
    }

    /// Reads the answer to its end. The desk ends the connection when the op's time is out.
    fn hear(
        &mut self,
        mut answer: Answer,
        stream: Arc<TcpStream>,
        held: &mut Option<Arc<TcpStream>>,
    ) -> bool {
        let (task, shared) = (self.task, self.shared);
        let (ticket, push) = (task.ticket, task.push);
        let (mut chunk, mut ended, mut silent) = ([0; super::CHUNK], None, true);
        let mut input = &*stream;
        loop {
            let mut tell = |heard| {
                let (start, done) = match heard {
                    Heard::Started => (true, 0.0),
                    Heard::Running(share) => (false, share),
                    Heard::Ended(told, load) => return ended = Some((told, load)),
                };
                let _ = shared.desk.send(Event::Note { ticket, push, start, done });
            };
            let read = input.read(&mut chunk);
            if matches!(&read, Err(error) if error.kind() == ErrorKind::Interrupted) {
                continue;
            }
            match &read {
                Ok(0) | Err(_) => answer.end(&mut tell),
                Ok(bytes) => {
                    silent = false;
                    answer.feed(&chunk[..*bytes], &mut tell);
                }
            }
            if let Some((told, load)) = ended.take() {
                let how = match told {
                    Told::Done(result) => How::Done(result),
                    Told::Failed => How::Failed,
                    Told::Unfit(status) => How::Unfit(status),
                    Told::Returned => How::Returned,
                    Told::Lost | Told::Garbled => {
                        // An answer that is whole without a last line says no more than a garbled one: it may still
                        // be at work on it. Told before this connection is closed, the desk pushes the op again
                        // while the first push is out, and the connection would even be kept.
                        self.code = if matches!(told, Told::Lost) { "lost" } else { "garbled" };
                        return self.end(Some(stream), How::Lost);
                    }
                };
                self.tell(how, load);
                let _ = stream.set_read_timeout(Some(TAIL));
            }
            if self.told && answer.reusable() && stream.set_read_timeout(None).is_ok() {
                *held = Some(stream);
                return true;
            }
            match read {
                Ok(1..) => {}
                _ if self.told => return false,
                read => {
                    let (code, how) = match (self.link.off(), read) {
                        (true, _) => ("called-off", How::Lost),
                        _ if self.used && silent => ("broken", How::Broken),
                        (false, Ok(_)) => ("ended", How::Lost),
                        (false, Err(_)) => ("reset", How::Lost),
                    };
                    self.code = code;
                    return self.end(Some(stream), how);
                }
            }
        }
    }

    /// Tells the desk only after the connection is closed, so that the next push is no second copy.
    fn end(&mut self, stream: Option<Arc<TcpStream>>, how: How) -> bool {
        drop(stream);
        self.link.drop_stream();
        self.tell(how, None);
        false
    }

    fn tell(&mut self, how: How, load: Option<Vec<f64>>) {
        self.told = true;
        let (ticket, push) = (self.task.ticket, self.task.push);
        let _ = self.shared.desk.send(Event::Ended { ticket, push, how, load });
    }
}

/// The connection is still up, with nothing to read, as far as this machine knows.
fn fresh(stream: &TcpStream) -> bool {
    super::look(stream)
        .is_some_and(|seen| matches!(seen, Err(error) if error.kind() == ErrorKind::WouldBlock))
}

/// How long the last byte of a wary push is held back.
const HELD_BACK: Duration = Duration::from_millis(2);

/// The other side has not ended the connection within a moment.
fn stands(stream: &TcpStream) -> std::io::Result<()> {
    // Slept, not read with a time limit: the kernel would make two of its ticks of so short a one.
    std::thread::sleep(HELD_BACK);
    match super::look(stream) {
        Some(Ok(0)) => Err(ErrorKind::ConnectionAborted.into()),
        Some(Err(error)) if !super::passing(&error) => Err(error),
        _ => Ok(()),
    }
}

/// The failure is this machine's own: out of descriptors, ports or buffers.
fn local(error: &std::io::Error) -> bool {
    const OWN: [i32; 5] = [12, 23, 24, 99, 105];
    error.raw_os_error().is_some_and(|code| OWN.contains(&code))
}
