//! Stand-in executors, each with a life of its own: they announce themselves, work, fail, drain, leave and crash.

use crate::fleet::{Controls, BEAT_MS};
use crate::history::{Arrival, Drain, Work};
use crate::http::{self, Connection, Message};
use crate::message::{self, Fate};
use crate::operator;
use crate::recorder::Recorder;
use serde_json::json;
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Runs by id: all executors know which run of a message it is.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

const HEARTBEAT: &str = "heartbeat";

#[derive(Clone)]
pub struct Kind {
    pub service: String,
    pub capacity: usize,
    /// Shortest and longest run.
    pub work_ms: (u64, u64),
    pub tells_load: bool,
    /// Some messages fail, as their ids say.
    pub fails: bool,
    /// It announces itself so long after its start.
    pub beats_after_ms: u64,
    /// It is on no list: its address is in the configuration.
    pub endpoint: bool,
}

pub struct Executor {
    pub id: String,
    pub address: SocketAddrV4,
    kind: Kind,
    controls: Controls,
    recorder: Arc<Recorder>,
    runs: Runs,
    running: AtomicUsize,
    seals: AtomicU64,
    dead: AtomicBool,
    draining: AtomicBool,
    drained: AtomicBool,
    calls: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

impl Executor {
    pub fn start(
        id: &str,
        address: SocketAddrV4,
        kind: Kind,
        controls: Controls,
        recorder: &Arc<Recorder>,
        runs: &Runs,
    ) -> Result<Arc<Executor>, String> {
        let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
        let executor = Arc::new(Executor {
            id: id.to_string(),
            address,
            kind,
            controls,
            recorder: Arc::clone(recorder),
            runs: Arc::clone(runs),
            running: AtomicUsize::new(0),
            seals: AtomicU64::new(0),
            dead: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drained: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        let here = Arc::clone(&executor);
        std::thread::spawn(move || here.listen(&listener));
        if !executor.kind.endpoint {
            let here = Arc::clone(&executor);
            std::thread::spawn(move || here.beat());
        }
        Ok(executor)
    }

    fn gone(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }

    fn listen(self: Arc<Executor>, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            if self.gone() {
                return;
            }
            let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
            streams.extend(stream.try_clone());
            drop(streams);
            let here = Arc::clone(&self);
            std::thread::spawn(move || here.serve(Connection::from_stream(stream)));
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_message(Instant::now() + Duration::from_secs(5)) {
            let at = self.recorder.now();
            if self.gone() {
                return;
            }
            let (answer, arrival) = self.work(&request, at);
            let mut arrival = arrival;
            let said = !self.gone() && connection.write(answer.as_bytes());
            arrival.ended = self.recorder.now();
            if !said && arrival.ran() {
                arrival.work = Work::Broke;
            }
            self.recorder.write().arrivals.push(arrival);
            if !said {
                return;
            }
        }
    }

    fn work(&self, request: &Message, at: u64) -> (String, Arrival) {
        let id = request.header("X-Request-Id").unwrap_or_default().to_string();
        let expected = request.header("X-Expect-Server");
        let running = self.running.fetch_add(1, Ordering::Relaxed);
        let (status, work) = if expected.is_some_and(|name| name != self.id) {
            (421, Work::NotRun(421))
        } else if running > self.kind.capacity {
            (503, Work::NotRun(503))
        } else {
            self.run(&id)
        };
        self.running.fetch_sub(1, Ordering::Relaxed);
        let mut answer = format!("HTTP/1.1 {status} Said\r\nX-Request-Id: {id}\r\nKeep-Alive: timeout=5\r\n");
        match &work {
            Work::Done { seal } => answer.push_str(&format!("X-Server-Seal: {seal}\r\n")),
            Work::NotRun(_) => answer.push_str("X-Not-Run: 1\r\n"),
            _ => {}
        }
        if self.kind.tells_load {
            let running = self.running.load(Ordering::Relaxed);
            answer.push_str(&format!("X-Server-Load: {running},0,{}\r\n", self.kind.capacity));
        }
        answer.push_str("Content-Length: 2\r\n\r\nok");
        let arrival = Arrival {
            target: request.target.clone(),
            whole: request.start == "POST" && request.body == message::body(&id),
            service: self.kind.service.clone(),
            server: self.id.clone(),
            at,
            ended: at,
            work,
            id,
        };
        (answer, arrival)
    }

    fn run(&self, id: &str) -> (u16, Work) {
        let run = {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            let run = runs.entry(id.to_string()).or_default();
            *run += 1;
            *run
        };
        let (least, most) = self.kind.work_ms;
        let seal = self.seals.fetch_add(1, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(least + message::mix(seal) % (most - least + 1)));
        let fate = if self.kind.fails { message::fate(id) } else { Fate::Fine };
        match fate {
            Fate::Impossible => (422, Work::Refused),
            Fate::Fails => (500, Work::Failed),
            Fate::FailsOnce if run == 1 => (500, Work::Failed),
            _ => (200, Work::Done { seal: format!("{}.{seal:x}", self.id) }),
        }
    }

    /// One call to the control nodes, from one to the next until one acknowledges.
    fn call(&self, what: &str, body: &str) -> bool {
        let drains = what == HEARTBEAT && self.draining.load(Ordering::Relaxed);
        let count = self.calls.fetch_add(1, Ordering::Relaxed) as usize;
        let target = format!("/v1/servers/{}/{what}", self.id);
        let controls = self.controls.lock().unwrap_or_else(PoisonError::into_inner).clone();
        (0..controls.len()).any(|step| {
            let to = controls[(count + step) % controls.len()];
            let said = if drains {
                operator::ask(&self.recorder, to, "POST", &target, body.as_bytes())
            } else {
                http::call(to, "POST", &target, body.as_bytes(), Duration::from_secs(1)).ok()
            };
            !self.gone() && said.is_some_and(|message| (200..300).contains(&message.status()))
        })
    }

    fn beat(&self) {
        std::thread::sleep(Duration::from_millis(self.kind.beats_after_ms));
        while !self.gone() {
            let draining = self.draining.load(Ordering::Relaxed);
            let body = json!({
                "backend": self.kind.service,
                "address": self.address.to_string(),
                "zone": "quay-1",
                "revision": "v1",
                "capacity": self.kind.capacity,
                "state": if draining { "draining" } else { "serving" },
                "cold_left_ms": 0,
                "call_count": self.calls.load(Ordering::Relaxed) + 1,
            });
            let heard = self.call(HEARTBEAT, &body.to_string());
            if heard && draining && !self.drained.swap(true, Ordering::Relaxed) {
                let acked = self.recorder.now();
                self.recorder.write().drains.push(Drain { server: self.id.clone(), acked });
            }
            let until = Instant::now() + Duration::from_millis(if heard { BEAT_MS } else { 200 });
            while Instant::now() < until && !self.gone() && self.draining.load(Ordering::Relaxed) == draining
            {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Ends in order: it drains, serves on for three seconds and a little after that was heard, leaves and ends.
    pub fn leave(&self) {
        self.draining.store(true, Ordering::Relaxed);
        let begun = Instant::now();
        while !self.drained.load(Ordering::Relaxed) && begun.elapsed() < Duration::from_secs(6) {
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_millis(4500));
        self.call("leave", "{}");
        self.crash();
    }

    /// Ends at once, and says nothing.
    pub fn crash(&self) {
        self.dead.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect_timeout(&self.address.into(), Duration::from_millis(200));
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
