//! Stand-in clients: they send messages over all edges that are ready, and ask what became of them.

use crate::history::{Answered, Micros, Reading, Retry, Said, Sent};
use crate::http::{self, Connection, ExchangeError};
use crate::message;
use crate::operator::HOST;
use crate::receiver;
use crate::recorder::Recorder;
use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Of the messages with idempotency keys each so many-th is sent again.
const SENT_AGAIN_EACH: u64 = 3;
/// Further tries are sent so often.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// They are of so many of the last messages: what was sent within some eight seconds.
const RETRIED_AMONG: usize = 300;
/// A message with no certain answer is tried again so often, with such pauses.
const RETRIES_OF_UNCERTAIN: usize = 5;
const UNCERTAIN_RETRY_PAUSE: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Those who ask wait two seconds for an answer.
const ASKS: Duration = Duration::from_secs(2);

pub struct Clients {
    pub recorder: Arc<Recorder>,
    fronts: Vec<SocketAddrV4>,
    /// Whether new connections go to an edge: two misses take it out, an answer of 200 takes it in again.
    ready: Vec<AtomicBool>,
    receiver: SocketAddrV4,
    lot: u64,
    count: AtomicU64,
    pub over: AtomicBool,
    /// Each message has an idempotency key of its own, and some of those that are accepted are sent again with it.
    pub has_keys: AtomicBool,
    /// Prefixes and their parts of the load.
    mix: Vec<(&'static str, u64)>,
}

#[derive(Clone)]
pub struct Plan {
    pub prefix: String,
    pub delay_ms: u64,
    pub callback: bool,
    pub chunked: bool,
    pub large: bool,
}

impl Plan {
    pub fn to(prefix: &str) -> Plan {
        Plan { prefix: prefix.to_string(), delay_ms: 0, callback: false, chunked: false, large: false }
    }
}

/// What came of one try.
struct Exchange {
    at: Micros,
    answered: Answered,
    answered_at: Micros,
    name: Option<String>,
}

/// Whether a message that was answered so may have been taken and may not.
fn is_uncertain(answered: Answered) -> bool {
    matches!(answered, Answered::Status(502 | 504) | Answered::Cut | Answered::Late)
}

impl Clients {
    pub fn new(
        recorder: &Arc<Recorder>,
        fronts: Vec<SocketAddrV4>,
        readiness: Vec<SocketAddrV4>,
        receiver: SocketAddrV4,
        lot: u64,
        mix: Vec<(&'static str, u64)>,
    ) -> Arc<Clients> {
        let ready = fronts.iter().map(|_| AtomicBool::new(true)).collect();
        let clients = Arc::new(Clients {
            recorder: Arc::clone(recorder),
            fronts,
            ready,
            receiver,
            lot,
            count: AtomicU64::new(0),
            over: AtomicBool::new(false),
            has_keys: AtomicBool::new(false),
            mix,
        });
        for (edge, at) in readiness.into_iter().enumerate() {
            let clients = Arc::clone(&clients);
            std::thread::spawn(move || clients.watch(edge, at));
        }
        clients
    }

    fn watch(&self, edge: usize, at: SocketAddrV4) {
        let mut misses = 0;
        while !self.over.load(Ordering::Relaxed) {
            let said = http::call(at, "GET", "/v1/readiness", b"", Duration::from_secs(1));
            misses = if said.is_ok_and(|message| message.status() == 200) { 0 } else { misses + 1 };
            self.ready[edge].store(misses < 2, Ordering::Relaxed);
            std::thread::sleep(Duration::from_secs(1));
        }
    }

    /// Sends on some threads, so many messages a second from all together, until the flag is up.
    pub fn press(
        self: &Arc<Clients>,
        per_s: u64,
        stop: &Arc<AtomicBool>,
    ) -> Vec<std::thread::JoinHandle<()>> {
        let threads = 24;
        let pause = Duration::from_micros(1_000_000 * threads / per_s);
        let press = |number: u64| {
            let (clients, stop) = (Arc::clone(self), Arc::clone(stop));
            std::thread::spawn(move || {
                std::thread::sleep(pause * number as u32 / threads as u32);
                let mut connections: Vec<Option<Connection>> = clients.fronts.iter().map(|_| None).collect();
                let mut due = Instant::now();
                while !stop.load(Ordering::Relaxed) {
                    clients.send_next(&mut connections);
                    due += pause;
                    match due.checked_duration_since(Instant::now()) {
                        Some(left) => std::thread::sleep(left),
                        // Load that was not sent in time is not made up for.
                        None => due = Instant::now(),
                    }
                }
            })
        };
        (0..threads).map(press).collect()
    }

    /// Sends the next message of the load. One that was turned away goes to other edges.
    fn send_next(&self, connections: &mut [Option<Connection>]) {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let dice = message::mix(self.lot ^ message::mix(number));
        let total: u64 = self.mix.iter().map(|(_, part)| part).sum();
        let mut at = dice % total;
        let prefix = self.mix.iter().find(|(_, part)| {
            let found = at < *part;
            at = at.saturating_sub(*part);
            found
        });
        let plan = Plan {
            prefix: prefix.map_or("/", |(prefix, _)| prefix).to_string(),
            delay_ms: if (dice >> 8).is_multiple_of(12) { 200 + (dice >> 16) % 2300 } else { 0 },
            callback: (dice >> 32).is_multiple_of(7),
            chunked: (dice >> 36).is_multiple_of(3),
            large: false,
        };
        let fresh = (dice >> 40).is_multiple_of(4);
        let mut first = (dice >> 44) as usize % self.fronts.len();
        for (step, _) in (0..3).enumerate() {
            let ready = |edge: &usize| self.ready[*edge].load(Ordering::Relaxed);
            let next = (0..self.fronts.len()).map(|k| (first + k) % self.fronts.len()).find(ready);
            let edge = next.unwrap_or(first);
            if fresh || step > 0 {
                connections[edge] = None;
            }
            let answered = self.send(&plan, edge, &mut connections[edge]);
            // A promise that it was not taken: another try, at another edge, with an id of its own.
            if !matches!(answered, Answered::Status(429 | 503) | Answered::Never) {
                return;
            }
            first = (edge + 1) % self.fronts.len();
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// One message on the connection, or on a new one where there is none; where it has a key, further tries with that.
    pub fn send(&self, plan: &Plan, edge: usize, connection: &mut Option<Connection>) -> Answered {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let id = message::id(self.lot, number);
        let id = if plan.large { message::large(&id) } else { id };
        let target = format!("{}{id}?n={number}", plan.prefix);
        let idle = connection.as_ref().map(|connection| connection.idle().as_micros() as Micros);
        let exchange = self.exchange(&self.request(plan, &id, &target), edge, connection);
        let sent = Sent {
            id,
            prefix: plan.prefix.clone(),
            target,
            at: exchange.at,
            delay: plan.delay_ms * 1000,
            callback: plan.callback,
            edge,
            idle,
            answered: exchange.answered,
            answered_at: exchange.answered_at,
            name: exchange.name,
        };
        self.recorder.write().sent.push(sent.clone());
        if self.has_keys.load(Ordering::Relaxed) {
            match sent.answered {
                Answered::Status(202) if number.is_multiple_of(SENT_AGAIN_EACH) => {
                    self.retry(&sent, edge + 1);
                }
                answered if is_uncertain(answered) => self.retry_until_accepted(&sent),
                _ => {}
            }
        }
        sent.answered
    }

    /// The bytes of a try: the first one's id is the key of all.
    fn request(&self, plan: &Plan, id: &str, target: &str) -> Vec<u8> {
        let body = message::body(id);
        let mut bytes =
            format!("POST {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n").into_bytes();
        bytes.extend_from_slice(b"X-Time-Left-Ms: 4000\r\n");
        if self.has_keys.load(Ordering::Relaxed) {
            bytes.extend_from_slice(format!("X-Idempotency-Key: {}\r\n", message::first_id(id)).as_bytes());
        }
        if plan.delay_ms > 0 {
            bytes.extend_from_slice(format!("X-Delay-Ms: {}\r\n", plan.delay_ms).as_bytes());
        }
        if plan.callback {
            let url = format!("X-Callback-Url: http://{}/done\r\n", self.receiver);
            bytes.extend_from_slice(url.as_bytes());
        }
        if plan.chunked {
            bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
            for part in body.chunks(700) {
                bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                bytes.extend_from_slice(part);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        } else {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
            bytes.extend_from_slice(&body);
        }
        bytes
    }

    /// Sends the bytes of a try and waits for its answer.
    fn exchange(&self, bytes: &[u8], edge: usize, connection: &mut Option<Connection>) -> Exchange {
        let mut at = self.recorder.now();
        let mut name = None;
        let answered = match self.open(edge, connection) {
            Err(_) => Answered::Never,
            Ok(mut open) => {
                at = self.recorder.now();
                match open.exchange(bytes, PATIENCE) {
                    Ok((message, again)) => {
                        name = message.header("X-Queue-Message-Id").map(str::to_string);
                        *connection = again.then_some(open);
                        Answered::Status(message.status())
                    }
                    Err(ExchangeError::TimedOut) => Answered::Late,
                    Err(_) => Answered::Cut,
                }
            }
        };
        Exchange { at, answered, answered_at: self.recorder.now(), name }
    }

    /// The connection that is open, or a new one to this edge.
    fn open(&self, edge: usize, connection: &mut Option<Connection>) -> Result<Connection, ExchangeError> {
        connection.take().map_or_else(|| Connection::connect(self.fronts[edge], CONNECT_TIMEOUT), Ok)
    }

    /// A further try with the key of a message, at this edge.
    fn retry(&self, first: &Sent, edge: usize) -> Answered {
        let edge = edge % self.fronts.len();
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let id = message::retry_id(&first.id, number);
        let plan = Plan { delay_ms: first.delay / 1000, callback: first.callback, ..Plan::to(&first.prefix) };
        let exchange = self.exchange(&self.request(&plan, &id, &first.target), edge, &mut None);
        let Exchange { at, answered, answered_at, name } = exchange;
        self.recorder.write().retries.push(Retry { id, edge, at, answered, answered_at, name });
        answered
    }

    /// Whether a message was taken is not known: its sender tries again with its key, at one edge after another.
    fn retry_until_accepted(&self, first: &Sent) {
        for step in 1..=RETRIES_OF_UNCERTAIN {
            std::thread::sleep(UNCERTAIN_RETRY_PAUSE);
            if self.retry(first, first.edge + step) == Answered::Status(202) {
                return;
            }
        }
    }

    /// Sends further tries of messages that were sent some seconds ago, until the flag is up.
    pub fn keep_retrying(self: &Arc<Clients>, stop: &Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
        let (clients, stop) = (Arc::clone(self), Arc::clone(stop));
        std::thread::spawn(move || {
            let mut drawn = 0;
            while !stop.load(Ordering::Relaxed) {
                drawn += 1;
                clients.retry_recent(message::mix(clients.lot ^ message::mix(drawn)));
                std::thread::sleep(RETRY_INTERVAL);
            }
        })
    }

    /// A further try of one of the last messages, unless that was turned away.
    fn retry_recent(&self, lot: u64) {
        let recent = {
            let history = self.recorder.write();
            let back = lot as usize % RETRIED_AMONG;
            history.sent.len().checked_sub(back + 1).map(|at| history.sent[at].clone())
        };
        let may_be_taken =
            |sent: &Sent| sent.answered == Answered::Status(202) || is_uncertain(sent.answered);
        if let Some(first) = recent.filter(may_be_taken) {
            self.retry(&first, lot as usize / RETRIED_AMONG);
        }
    }

    /// Many at once, on sixteen connections to one edge.
    pub fn burst(self: &Arc<Clients>, plan: &Plan, edge: usize, count: u64) {
        for _ in 0..16 {
            let (clients, plan) = (Arc::clone(self), plan.clone());
            std::thread::spawn(move || {
                let mut connection = None;
                for _ in 0..count / 16 {
                    clients.send(&plan, edge, &mut connection);
                }
            });
        }
    }

    /// Sends one to a route at an edge until it is taken, and gives when.
    pub fn until_taken(&self, prefix: &str, edge: usize, most: Duration) -> Option<Micros> {
        let plan = Plan::to(prefix);
        let until = Instant::now() + most;
        while Instant::now() < until {
            if self.send(&plan, edge, &mut None) == Answered::Status(202) {
                return Some(self.recorder.now());
            }
            std::thread::sleep(Duration::from_millis(40));
        }
        None
    }

    /// Asks some edges what became of every message that was accepted and due before an instant, and was not asked for yet;
    /// those that wait are asked again until the end.
    pub fn ask_all(self: &Arc<Clients>, edges: &[usize], due: Micros, most: Duration) {
        let all: Vec<(String, String)> = {
            let history = self.recorder.write();
            let known: HashSet<&str> = history.readings.iter().map(|reading| reading.id.as_str()).collect();
            let due = |s: &&Sent| s.at + s.delay < due && !known.contains(s.id.as_str());
            let names = history.accepted_names();
            let due = history.sent.iter().filter(due);
            due.filter_map(|s| Some((s.id.clone(), names.get(s.id.as_str())?.to_string()))).collect()
        };
        let all = Arc::new(all);
        let until = Instant::now() + most;
        let ask = |edge: usize| {
            let (clients, all) = (Arc::clone(self), Arc::clone(&all));
            std::thread::spawn(move || clients.ask_edge(edge, &all, until))
        };
        let asking: Vec<_> = edges.iter().copied().map(ask).collect();
        for thread in asking {
            let readings = thread.join().unwrap_or_default();
            self.recorder.write().readings.extend(readings);
        }
    }

    fn ask_edge(&self, edge: usize, all: &[(String, String)], until: Instant) -> Vec<Reading> {
        let mut connection = None;
        let mut readings = Vec::with_capacity(all.len());
        for (id, name) in all {
            let said = loop {
                let said = self.ask(edge, name, &mut connection);
                let final_answer = matches!(said, Said::Complete { .. } | Said::Failed | Said::Unknown);
                if final_answer || Instant::now() > until {
                    break said;
                }
                std::thread::sleep(Duration::from_millis(50));
            };
            readings.push(Reading { id: id.clone(), edge, said });
        }
        readings
    }

    fn ask(&self, edge: usize, name: &str, connection: &mut Option<Connection>) -> Said {
        let bytes = format!("GET /v1/message/{name} HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
        let Ok(mut open) = self.open(edge, connection) else { return Said::Nothing };
        match open.exchange(bytes.as_bytes(), ASKS) {
            Ok((message, again)) => {
                *connection = again.then_some(open);
                match message.status() {
                    200 => receiver::said(&message.body),
                    404 => Said::Unknown,
                    _ => Said::Nothing,
                }
            }
            Err(_) => Said::Nothing,
        }
    }
}
