//! Stand-in clients: they send messages over all edges that are ready, and ask what became of them.

use crate::history::{Answered, Micros, Reading, Said, Seen, Sent};
use crate::message;
use crate::operator::HOST;
use crate::receiver;
use crate::recorder::Recorder;
use crate::wire::{self, Cut, Wire};
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
const PATIENCE: Duration = Duration::from_secs(4);
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
            let said = wire::call(at, "GET", "/v1/readiness", b"", Duration::from_secs(1));
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
                let mut wires: Vec<Option<Wire>> = clients.fronts.iter().map(|_| None).collect();
                let mut due = Instant::now();
                while !stop.load(Ordering::Relaxed) {
                    clients.one(&mut wires);
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

    fn one(&self, wires: &mut [Option<Wire>]) {
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
                wires[edge] = None;
            }
            let answered = self.send(&plan, edge, &mut wires[edge]);
            // A promise that it was not taken: another try, at another edge, with an id of its own.
            if !matches!(answered, Answered::Status(429 | 503) | Answered::Never) {
                return;
            }
            first = (edge + 1) % self.fronts.len();
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// One message on the connection, or on a new one where there is none.
    pub fn send(&self, plan: &Plan, edge: usize, wire: &mut Option<Wire>) -> Answered {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let id = message::id(self.lot, number);
        let id = if plan.large { message::large(&id) } else { id };
        let target = format!("{}{id}?n={number}", plan.prefix);
        let body = message::body(&id);
        let has_keys = self.has_keys.load(Ordering::Relaxed);
        let mut bytes =
            format!("POST {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n").into_bytes();
        bytes.extend_from_slice(b"X-Time-Left-Ms: 4000\r\n");
        if has_keys {
            bytes.extend_from_slice(format!("X-Idempotency-Key: {id}\r\n").as_bytes());
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
        let reused = wire.is_some();
        let mut at = self.recorder.now();
        let mut name = None;
        let opened = match wire.take() {
            Some(wire) => Ok(wire),
            None => Wire::connect(self.fronts[edge], Duration::from_secs(1)),
        };
        let answered = match opened {
            Err(_) => Answered::Never,
            Ok(mut open) => {
                at = self.recorder.now();
                match open.ask(&bytes, PATIENCE) {
                    Ok((message, again)) => {
                        name = message.header("X-Queue-Message-Id").map(str::to_string);
                        *wire = again.then_some(open);
                        Answered::Status(message.status())
                    }
                    Err(Cut::Late) => Answered::Late,
                    Err(_) => Answered::Cut,
                }
            }
        };
        let sent = Sent {
            id,
            prefix: plan.prefix.clone(),
            target,
            at,
            delay: plan.delay_ms * 1000,
            callback: plan.callback,
            edge,
            reused,
            answered,
            answered_at: self.recorder.now(),
            name,
        };
        let again = sent.name.clone().filter(|_| has_keys && number.is_multiple_of(SENT_AGAIN_EACH));
        let (id, target) = (sent.id.clone(), sent.target.clone());
        self.recorder.write().sent.push(sent);
        if let Some(name) = again {
            self.send_again(&id, &target, &name, edge + 1);
        }
        answered
    }

    /// A further try with the key of a message that was accepted under this name, at another edge: if that accepts it, it says the
    /// same name. The try's own id never reaches an executor: the judge knows of nobody who sent it.
    fn send_again(&self, key: &str, target: &str, name: &str, edge: usize) {
        let front = self.fronts[edge % self.fronts.len()];
        let bytes = format!(
            "POST {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: again-{key}\r\nX-Idempotency-Key: {key}\r\n\
             X-Time-Left-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
        );
        let Ok(mut open) = Wire::connect(front, Duration::from_secs(1)) else { return };
        let Ok((message, _)) = open.ask(bytes.as_bytes(), PATIENCE) else { return };
        let other = message.header("X-Queue-Message-Id").filter(|other| *other != name);
        if let (202, Some(other)) = (message.status(), other) {
            let what = format!("{key} was accepted as {name}, and again as {other}");
            self.recorder.write().seen.push(Seen { what, right: false });
        }
    }

    /// Until the load is over, sends further tries of messages that were accepted some seconds ago.
    pub fn keep_retrying(self: &Arc<Clients>) {
        let clients = Arc::clone(self);
        std::thread::spawn(move || {
            let mut drawn = 0;
            while !clients.over.load(Ordering::Relaxed) {
                drawn += 1;
                clients.retry_recent(message::mix(clients.lot ^ message::mix(drawn)));
                std::thread::sleep(RETRY_INTERVAL);
            }
        });
    }

    /// A further try of one of the last messages, if that was accepted.
    fn retry_recent(&self, lot: u64) {
        let recent = {
            let history = self.recorder.write();
            let back = lot as usize % RETRIED_AMONG;
            let sent = history.sent.len().checked_sub(back + 1).map(|at| &history.sent[at]);
            let accepted = sent.filter(|sent| sent.answered == Answered::Status(202));
            accepted.and_then(|sent| Some((sent.id.clone(), sent.target.clone(), sent.name.clone()?)))
        };
        if let Some((id, target, name)) = recent {
            self.send_again(&id, &target, &name, lot as usize / RETRIED_AMONG);
        }
    }

    /// Many at once, on sixteen connections to one edge.
    pub fn burst(self: &Arc<Clients>, plan: &Plan, edge: usize, count: u64) {
        for _ in 0..16 {
            let (clients, plan) = (Arc::clone(self), plan.clone());
            std::thread::spawn(move || {
                let mut wire = None;
                for _ in 0..count / 16 {
                    clients.send(&plan, edge, &mut wire);
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
            let accepted = history.sent.iter().filter(|s| s.answered == Answered::Status(202));
            let accepted = accepted.filter(|s| s.at + s.delay < due && !known.contains(s.id.as_str()));
            accepted.map(|s| (s.id.clone(), s.name.clone().unwrap_or_else(|| s.id.clone()))).collect()
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
        let mut wire = None;
        let mut readings = Vec::with_capacity(all.len());
        for (id, name) in all {
            let said = loop {
                let said = self.ask(edge, name, &mut wire);
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

    fn ask(&self, edge: usize, name: &str, wire: &mut Option<Wire>) -> Said {
        let bytes = format!("GET /v1/message/{name} HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
        let opened = match wire.take() {
            Some(wire) => Ok(wire),
            None => Wire::connect(self.fronts[edge], Duration::from_secs(1)),
        };
        let Ok(mut open) = opened else { return Said::Nothing };
        match open.ask(bytes.as_bytes(), ASKS) {
            Ok((message, again)) => {
                *wire = again.then_some(open);
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
