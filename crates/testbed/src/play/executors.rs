//! Executors behind sockets: the model's machine, a listener, and a task for each connection.

use super::http::{Message, Reader};
use super::world::{locked, span, World};
use crate::executor::{Availability, ExecutorEvent, ExecutorModel, Job};
use crate::judge::{End, Fall, Life, Saw};
use crate::plan::{EffectName, GaugeName};
use crate::time::ms;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use stileroute_dispatch::types::Time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch, Notify};

/// What a job's connection is told to write, and whether that is the last of it.
struct Line {
    text: String,
    last: bool,
    /// Not a line but the end of the connection.
    dies: bool,
}

struct Out {
    op: usize,
    lines: mpsc::UnboundedSender<Line>,
}

struct Inner {
    machine: ExecutorModel,
    jobs: HashMap<u64, Out>,
    next: u64,
}

/// One executor.
pub struct Executor {
    pub number: usize,
    pub at: SocketAddr,
    world: Arc<World>,
    inner: Mutex<Inner>,
    wake: Notify,
    /// Counts its lives: whoever holds a connection of an older one resets it.
    life: watch::Sender<u64>,
    connections: AtomicUsize,
    /// Called with what the list should say of it from then on.
    fell: mpsc::UnboundedSender<usize>,
}

/// A listener that can be opened anew at the same address at once.
pub fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(1024)
}

impl Executor {
    /// Opens its listener on a host of the executors' own, so that no outgoing connection takes its port while it
    /// is down.
    pub fn start(
        world: &Arc<World>,
        number: usize,
        machine: ExecutorModel,
        fell: mpsc::UnboundedSender<usize>,
    ) -> Result<Arc<Executor>, String> {
        let listener =
            listen(SocketAddr::from(([127, 0, 77, 1], 0))).map_err(|e| format!("listener: {e}"))?;
        let executor = Arc::new(Executor {
            number,
            at: listener.local_addr().map_err(|error| error.to_string())?,
            world: world.clone(),
            inner: Mutex::new(Inner { machine, jobs: HashMap::new(), next: 0 }),
            wake: Notify::new(),
            life: watch::channel(0).0,
            connections: AtomicUsize::new(0),
            fell,
        });
        tokio::spawn(executor.clone().serve(listener, 0));
        tokio::spawn(executor.clone().run());
        Ok(executor)
    }

    /// Wakes the machine when something happens by itself.
    async fn run(self: Arc<Self>) {
        loop {
            let next = locked(&self.inner).machine.next();
            let wait = async {
                match next {
                    Some(at) => tokio::time::sleep_until(self.world.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = wait => self.with(|machine, now, out| machine.advance(now, out)),
                () = self.wake.notified() => {}
            }
        }
    }

    /// Does something with the machine, and tells whoever it concerns what came of it.
    fn with<T>(&self, work: impl FnOnce(&mut ExecutorModel, Time, &mut Vec<ExecutorEvent>) -> T) -> T {
        let now = self.world.now();
        let mut out = Vec::new();
        let mut inner = locked(&self.inner);
        let result = work(&mut inner.machine, now, &mut out);
        let load = self.load(&inner.machine);
        for happening in out {
            self.tell(&mut inner.jobs, now, happening, &load);
        }
        drop(inner);
        self.wake.notify_one();
        result
    }

    fn load(&self, machine: &ExecutorModel) -> String {
        let gauges = &self.world.plan.fleet.report.gauges;
        let name = |gauge: &GaugeName| match gauge {
            GaugeName::Held => "rif",
            GaugeName::Waiting => "q",
            GaugeName::Busy => "busy",
            GaugeName::Free => "x0",
        };
        let values = machine.report(gauges);
        let pairs = gauges.iter().zip(values).map(|(gauge, value)| format!("\"{}\":{value}", name(gauge)));
        pairs.collect::<Vec<_>>().join(",")
    }

    fn tell(&self, jobs: &mut HashMap<u64, Out>, now: Time, happening: ExecutorEvent, load: &str) {
        let world = &self.world;
        let x = self.number;
        if happening.is_handshake() {
            return;
        }
        let (id, end, state) = match happening {
            ExecutorEvent::Fallen => {
                locked(&world.ledger).falls.push(Fall { executor: x, at: now });
                // Its machine is held by the caller; what it is now is known all the same.
                locked(&world.ledger).lives[x].push(Life {
                    at: now,
                    up: Availability::Fallen,
                    started: None,
                    halted: false,
                });
                let _ = self.fell.send(x);
                return;
            }
            ExecutorEvent::Started(id) => {
                if let Some(out) = jobs.get(&id) {
                    world.saw(out.op, now, Saw::Began(x));
                    if world.plan.fleet.tells_start {
                        let text = "{\"state\":\"started\"}\n".to_string();
                        let _ = out.lines.send(Line { text, last: false, dies: false });
                    }
                }
                return;
            }
            ExecutorEvent::Progress(id, share) => {
                if let Some(out) = jobs.get(&id) {
                    let text = format!("{{\"state\":\"running\",\"share\":{share:.3}}}\n");
                    let _ = out.lines.send(Line { text, last: false, dies: false });
                }
                return;
            }
            ExecutorEvent::Done(id) => (id, End::Done, "done"),
            ExecutorEvent::Failed(id) => (id, End::Failed, "failed"),
            ExecutorEvent::Returned(id) => (id, End::Returned, "returned"),
            ExecutorEvent::Lost(id, done) => {
                if let Some(out) = jobs.get(&id) {
                    self.save(out.op, done);
                }
                (id, End::Lost, "lost")
            }
        };
        if let Some(Out { op, lines }) = jobs.remove(&id) {
            world.saw(op, now, Saw::Ended(x, end));
            let result =
                if end == End::Done { format!(",\"result\":\"{}\"", result_of(op)) } else { String::new() };
            let text = format!("{{\"state\":\"{state}\"{result},\"load\":{{{load}}}}}\n");
            let _ = lines.send(Line { text, last: true, dies: end == End::Lost });
        }
    }

    /// A redeliverable job that is lost goes on from its last saved state wherever it is pushed next.
    fn save(&self, op: usize, done: f64) {
        let plan = &self.world.plan;
        let (job, category) = {
            let ledger = locked(&self.world.ledger);
            (ledger.sheets[op].job, ledger.sheets[op].category)
        };
        let step = ms(plan.fleet.saved_ms) as f64;
        if step > 0.0 && plan.category[category].effect == EffectName::Redeliverable {
            let whole = locked(&self.world.asked)[job].work;
            let kept = (done * whole / step).floor() * step / whole;
            locked(&self.world.saved).insert(job, kept.clamp(0.0, 1.0));
        }
    }

    async fn serve(self: Arc<Self>, listener: TcpListener, life: u64) {
        let mut lives = self.life.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let limit = locked(&self.inner).machine.spec.connections;
                    if self.connections.load(Ordering::SeqCst) >= limit {
                        let _ = stream.set_zero_linger();
                        continue;
                    }
                    self.connections.fetch_add(1, Ordering::SeqCst);
                    locked(&self.world.ledger).connected[self.number].push(self.world.now());
                    let work = ms(self.world.plan.fleet.handshake_work_ms) as f64;
                    if work > 0.0 {
                        self.with(|machine, now, out| machine.open_connection(now, work, out));
                    }
                    let own = self.clone();
                    tokio::spawn(async move {
                        own.connection(stream).await;
                        own.connections.fetch_sub(1, Ordering::SeqCst);
                    });
                }
                _ = lives.wait_for(|now| *now > life) => return,
            }
        }
    }

    /// One connection, a request at a time.
    async fn connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut lives = self.life.subscribe();
        let idle = span(locked(&self.inner).machine.spec.idle_close);
        let mut reader = Reader::default();
        let mut bytes = [0; 8192];
        let mut first = 0;
        loop {
            let message = match reader.next(false) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    let read = tokio::select! {
                        read = stream.read(&mut bytes) => read,
                        () = tokio::time::sleep(idle) => return,
                        _ = lives.changed() => {
                            let _ = stream.set_zero_linger();
                            return;
                        }
                    };
                    match read {
                        Ok(read) if read > 0 => {
                            if reader.is_empty() {
                                first = self.world.now();
                            }
                            reader.feed(&bytes[..read]);
                        }
                        _ => return,
                    }
                    continue;
                }
                Err(_) => {
                    let _ = stream.write_all(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").await;
                    return;
                }
            };
            if !self.push(&mut stream, &message, first, &mut reader, &mut lives).await {
                return;
            }
        }
    }

    /// One push; tells whether the connection may be used again.
    async fn push(
        &self,
        stream: &mut TcpStream,
        message: &Message,
        first: Time,
        reader: &mut Reader,
        lives: &mut watch::Receiver<u64>,
    ) -> bool {
        let world = &self.world;
        let Some((op, job, category, node)) = self.known(message) else {
            let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
            return true;
        };
        let near = world.plan.domain_of_node(node) == locked(&self.inner).machine.spec.domain;
        let lat = span(ms(if near { world.plan.fleet.near_ms } else { world.plan.fleet.far_ms }));
        // A way shorter than the timer's grain is not worth a timer.
        if lat.as_micros() >= 1000 {
            tokio::time::sleep(lat).await;
        }
        world.saw(op, first, Saw::Pushed(self.number));
        world.saw(op, world.now(), Saw::Whole(self.number));
        let (sender, mut lines) = mpsc::unbounded_channel();
        let id = {
            let mut inner = locked(&self.inner);
            inner.next += 1;
            let id = inner.next;
            inner.jobs.insert(id, Out { op, lines: sender });
            id
        };
        let work = locked(&world.asked)[job].work;
        let saved = locked(&world.saved).get(&job).copied().unwrap_or(0.0);
        let own = &world.plan.category[category];
        let (fails, spoilt) = world.weather(|weather| {
            (weather.failing(self.number, category), weather.spoilt(self.number, category))
        });
        let spoilt = spoilt > 0.0 && part_of(op as u64, self.number as u64 + 5000) < spoilt;
        let task = Job {
            id,
            slots: own.slots,
            memory: own.memory,
            work: work * (1.0 - saved),
            whole: work,
            priority: own.priority,
            redeliverable: own.effect == EffectName::Redeliverable,
            // Of the op alone, so that a day does not depend on which task comes first.
            fails: fails > 0.0 && part_of(op as u64, self.number as u64) < fails,
        };
        self.with(|machine, now, out| machine.take(now, task, out));
        let mut headed = false;
        let mut bytes = [0; 1024];
        if spoilt {
            let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
            if stream.write_all(text.as_bytes()).await.is_err() {
                self.give_up(op, id);
                return false;
            }
            headed = true;
        }
        loop {
            tokio::select! {
                line = lines.recv() => {
                    let Some(mut line) = line else { return false };
                    let mut text = String::new();
                    // What has come meanwhile goes out with one write.
                    while !line.last {
                        text.push_str(&chunk(&line.text));
                        match lines.try_recv() {
                            Ok(next) => line = next,
                            Err(_) => break,
                        }
                    }
                    if line.dies {
                        let _ = stream.set_zero_linger();
                        return false;
                    }
                    if spoilt {
                        // Nobody hears how it ends.
                        if line.last {
                            return true;
                        }
                        continue;
                    }
                    if line.last && !headed && text.is_empty() && line.text.starts_with("{\"state\":\"returned\"") {
                        let text = "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
                        return stream.write_all(text.as_bytes()).await.is_ok();
                    }
                    if !std::mem::replace(&mut headed, true) {
                        text.insert_str(0, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    }
                    if line.last {
                        text.push_str(&chunk(&line.text));
                        text.push_str("0\r\n\r\n");
                    }
                    if lat.as_micros() >= 1000 {
                        tokio::time::sleep(lat).await;
                    }
                    let written = stream.write_all(text.as_bytes()).await.is_ok();
                    if line.last {
                        return written;
                    }
                    if !written {
                        self.give_up(op, id);
                        return false;
                    }
                }
                read = stream.read(&mut bytes) => match read {
                    // A node that sends on before its answer is held to what it sent.
                    Ok(read) if read > 0 => reader.feed(&bytes[..read]),
                    _ => {
                        self.give_up(op, id);
                        return false;
                    }
                },
                _ = lives.changed() => {
                    let _ = stream.set_zero_linger();
                    return false;
                }
            }
        }
    }

    /// Op, job, category and node of a push, by its id.
    fn known(&self, message: &Message) -> Option<(usize, usize, usize, usize)> {
        let id = message.header("x-call-id").unwrap_or_default();
        let ledger = locked(&self.world.ledger);
        let op = usize::from_str_radix(id, 16).ok().filter(|op| *op < ledger.sheets.len());
        match op {
            Some(op) => {
                let sheet = &ledger.sheets[op];
                Some((op, sheet.job, sheet.category, sheet.node))
            }
            None => {
                // What is asked under no id at all is a probe, not a push.
                let foreign = message.method != "GET" || !id.is_empty();
                if foreign {
                    locked(&self.world.foreign).push(id.to_string());
                } else {
                    drop(ledger);
                    let now = self.world.now();
                    locked(&self.world.ledger).probed[self.number].push(now);
                }
                None
            }
        }
    }

    /// The node has ended the connection of a push.
    fn give_up(&self, op: usize, id: u64) {
        locked(&self.inner).jobs.remove(&id);
        let now = self.world.now();
        self.with(|machine, now, out| machine.cancel(now, id, out));
        self.world.saw(op, now, Saw::GivenUp(self.number));
    }

    /// What the weather makes of it now.
    pub fn feel(&self) {
        let condition = self.world.weather(|weather| weather.condition(self.number));
        self.with(|machine, now, out| machine.set(now, condition, out));
        self.lives();
    }

    /// Enters what it is from now on.
    fn lives(&self) {
        let (up, started) = {
            let inner = locked(&self.inner);
            (inner.machine.up, inner.machine.started)
        };
        let halted = self.world.weather(|weather| weather.condition(self.number)).halted;
        let life = Life { at: self.world.now(), up, started, halted };
        locked(&self.world.ledger).lives[self.number].push(life);
    }

    pub fn drain(&self) {
        self.with(|machine, now, out| machine.drain(now, out));
        self.lives();
    }

    pub fn kill(&self) {
        self.with(|machine, now, out| machine.kill(now, out));
        self.lives();
        self.life.send_modify(|life| *life += 1);
    }

    /// It comes back at its address, cold; false if it stays down.
    pub fn revive(self: &Arc<Self>) -> bool {
        if !self.with(|machine, now, _| machine.start(now)) {
            return false;
        }
        self.lives();
        locked(&self.world.ledger).back.push(self.world.now());
        let life = *self.life.borrow();
        let own = self.clone();
        tokio::spawn(async move {
            for _ in 0..200 {
                if let Ok(listener) = listen(own.at) {
                    return own.serve(listener, life).await;
                }
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
        });
        true
    }

    pub fn up(&self) -> Availability {
        locked(&self.inner).machine.up
    }
}

/// The result that an executor makes for an op; only an executor knows how.
pub fn result_of(op: usize) -> String {
    format!("r{:016x}", (op as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0x5851_F42D_4C95_7F2D)
}

/// A number from 0 up to 1 that belongs to a pair.
pub fn part_of(a: u64, b: u64) -> f64 {
    let mut x = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_mul(0xD1B5_4A32_D192_ED03);
    x = (x ^ (x >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    ((x ^ (x >> 29)) >> 11) as f64 / (1u64 << 53) as f64
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\r\n", line.len())
}
