//! The store: keeps messages, delivers them, and calls back.

pub mod report;

use crate::links::LinkEvent;
use crate::net::fault_injection::{is_injected, InjectedFault};
use crate::net::{CallError, CallReply, Event, Millis};
use crate::node::{random_seed, wall_clock_ms, NodeRuntime};
use crate::protocol::{
    ExecutorState, Frame, Heartbeat, KnownMessage, MessageState, NodeRole, RetirementState,
};
use crate::report::Told;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddrV4;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use stileroute_queue::{
    first_number, AttemptOutcome, Effect, Executor, Key, Node, Queue, QueueSettings, Record, StateTable,
    ToleratedLosses,
};
use stileroute_wal::{AppendError, Options, Wal};

/// A receiver of call-backs has so long.
const CALL: Millis = 3000;
/// Connections to one receiver.
const CALLS: usize = 6;

enum Out {
    Attempt { attempt: u64, id: String },
    Call(Key),
}

pub struct Store {
    common: NodeRuntime,
    queue: Queue,
    disk: Wal,
    disk_said: Receiver<(u64, Result<(), AppendError>)>,
    servers: HashMap<String, Heartbeat>,
    out: HashMap<u64, Out>,
    next_ticket: u64,
    /// Whose messages wait to be taken: the edge, and its own ticket.
    askers: HashMap<u64, (Node, u64)>,
    disk_trouble: bool,
    flushed: bool,
    tally: report::Tally,
}

impl Store {
    pub fn new(mut common: NodeRuntime) -> miette::Result<Store> {
        let dir = common
            .boot
            .data_dir
            .clone()
            .ok_or_else(|| miette::miette!("settings: data_dir: missing for a store"))?;
        let dir = dir.join("hold");
        std::fs::create_dir_all(&dir).map_err(|e| miette::miette!("{}: {e}", dir.display()))?;
        let (said, disk_said) = std::sync::mpsc::channel();
        let waker = std::sync::Arc::clone(&common.waker);
        let done = move |ticket, result| {
            let _ = said.send((ticket, result));
            let _ = waker.wake();
        };
        let capacity_bytes = common.boot.means.disk_mb << 20;
        let options =
            Options { capacity_bytes, max_sync_delay: Duration::from_millis(200), ..Options::new("hold") };
        let (disk, ledger) = Wal::open::<StateTable>(&dir, options, done)
            .map_err(|e| miette::miette!("{}: {e}", dir.display()))?;
        let (number, first) = (ledger.disk_id.unwrap_or_else(random_seed), first_number(random_seed()));
        let record =
            postcard::to_stdvec(&Record::IncarnationStarted { disk_id: number, first_number: first })
                .unwrap_or_default();
        disk.append(0, vec![record], true);
        let zone = common.boot.zones.keys().position(|zone| *zone == common.boot.zone).unwrap_or(0);
        let boot = &common.boot;
        let terms = QueueSettings {
            node: common.links.local().node,
            zone,
            disk_id: number,
            first_number: first,
            earlier_first_numbers: ledger.incarnation_first_numbers.clone(),
            replica_count: boot.losses.copies(),
            region_of_zone: boot.regions(),
            tolerated_losses: ToleratedLosses { zones: boot.losses.zones, regions: boot.losses.regions },
            rate_window_ms: boot.bounds.ceiling_window_ms,
            rate_tolerance: boot.bounds.origin_overrun,
            status_retention_ms: boot.bounds.status_ms,
            seed: random_seed(),
        };
        tracing::info!(messages = ledger.messages.len(), disk = number, "disk read");
        // Both clocks after the disk was read: with the steady one from before, delayed messages would run early.
        let (now, wall) = (common.net.refresh_now(), wall_clock_ms());
        let queue = Queue::new(terms, ledger, now, wall);
        Ok(Store {
            common,
            queue,
            disk,
            disk_said,
            servers: HashMap::new(),
            out: HashMap::new(),
            next_ticket: 1,
            askers: HashMap::new(),
            disk_trouble: false,
            flushed: false,
            tally: report::Tally::default(),
        })
    }

    pub fn run(mut self) -> miette::Result<()> {
        loop {
            let (link_events, events) = self.common.poll(self.queue.next_deadline());
            link_events.into_iter().for_each(|link_event| self.link_event(link_event));
            events.into_iter().for_each(|event| self.event(event));
            self.inquiries();
            self.common.maintain_session();
            self.connect();
            self.queue.hears_control_group = self.common.has_fresh_session();
            let now = self.common.net.now();
            // From the last answer on: the session stood then, and is counted for so long after its end.
            self.queue.session_may_have_lapsed =
                now >= self.common.session.last_update_at + stileroute_registry::SESSION_GRACE;
            if self.common.take_shutdown_request() {
                for edge in self.common.links.nodes_with_role(NodeRole::Edge) {
                    self.common.links.send(&mut self.common.net, edge, &Frame::Draining);
                }
                self.queue.begin_draining(now);
            }
            self.carry_out();
            let retirement = match self.queue.retirement_state() {
                stileroute_queue::RetirementState::NotOrdered => RetirementState::NotRetiring,
                stileroute_queue::RetirementState::InProgress => RetirementState::Draining,
                stileroute_queue::RetirementState::Empty => RetirementState::Complete,
            };
            self.common.report_retirement(retirement);
            for line in self.queue.take_dispatch_log() {
                tracing::debug!("{line}");
            }
            if self.may_end(now) {
                self.common.net.flush();
                self.disk.close();
                return Ok(());
            }
        }
    }

    fn may_end(&mut self, now: Millis) -> bool {
        let Some(since) = self.common.draining_since else { return false };
        let grace = self.common.boot.bounds.grace_ms.saturating_sub(1000);
        let done = self.queue.unfinished_count() == 0 && now > since + 150;
        if done && !self.flushed {
            // The last ends go out before the process does: whoever took over must not run them again.
            self.flushed = true;
            self.queue.flush_ends();
            self.carry_out();
            return false;
        }
        (done && now > since + 300) || now > since + grace
    }

    /// Of two stores the one with the lower address opens the connection.
    fn connect(&mut self) {
        if !self.common.take_topology_change() {
            return;
        }
        let mut wanted = self.common.control_dial_targets();
        let me = self.common.boot.ip;
        let stores = self.common.session.members.iter().filter(|m| m.role == NodeRole::Store && m.ip > me);
        wanted.extend(stores.map(|m| self.common.links.listen_address(m.ip, NodeRole::Store)));
        let now = self.common.net.now();
        self.common.links.set_dial_targets(now, wanted);
    }

    fn link_event(&mut self, link_event: LinkEvent) {
        let now = self.common.net.now();
        match link_event {
            LinkEvent::Up(hello) if hello.role == NodeRole::Store => {
                self.queue.peer_connected(now, hello.node)
            }
            LinkEvent::Up(hello) if hello.role == NodeRole::Edge && self.queue.is_draining => {
                self.common.links.send(&mut self.common.net, hello.node, &Frame::Draining);
            }
            LinkEvent::Up(_) => {}
            LinkEvent::Down(node, NodeRole::Store) => self.queue.peer_disconnected(now, node),
            LinkEvent::Down(node, NodeRole::Edge) => {
                let lost: Vec<u64> = self
                    .askers
                    .iter()
                    .filter(|(_, (edge, _))| *edge == node)
                    .map(|(ticket, _)| *ticket)
                    .collect();
                for ticket in lost {
                    self.askers.remove(&ticket);
                    self.queue.drop_abandoned(ticket);
                }
            }
            LinkEvent::Down(..) => {}
            LinkEvent::Received(from, NodeRole::Control, Frame::Update(news)) => {
                let config = self.common.apply_update(from, &news);
                if news.members.is_some() {
                    let zone = |name: &str| {
                        self.common.boot.zones.keys().position(|z| z == name).unwrap_or(usize::MAX >> 1)
                    };
                    let stores: Vec<(Node, usize)> = self
                        .common
                        .session
                        .members
                        .iter()
                        .filter(|m| m.role == NodeRole::Store)
                        .map(|m| (m.node, zone(&m.zone)))
                        .collect();
                    self.queue.set_members(now, &stores);
                }
                if news.is_complete {
                    self.servers.clear();
                }
                let changed = news.is_complete || !news.executors.is_empty();
                for heartbeat in news.executors {
                    match heartbeat.state {
                        ExecutorState::Offline => {
                            if let Some(old) = self.servers.remove(&heartbeat.id) {
                                self.common.net.close_idle_calls_to(old.address);
                            }
                        }
                        _ => {
                            self.servers.insert(heartbeat.id.clone(), heartbeat);
                        }
                    }
                }
                let fine = self.common.net.now_tenths_ms();
                if changed {
                    self.queue.set_executors(now, fine, self.listed());
                }
                if let Some(config) = config {
                    self.queue.configure(now, fine, config);
                }
            }
            LinkEvent::Received(
                _,
                NodeRole::Edge,
                Frame::Superseded { message_id: id, fingerprint: print, kept },
            ) => {
                self.queue.drop_superseded(&id, print, kept);
            }
            LinkEvent::Received(from, NodeRole::Edge, Frame::Submit { request_id: ticket, message }) => {
                self.next_ticket += 1;
                self.askers.insert(self.next_ticket, (from, ticket));
                self.queue.put(now, self.next_ticket, message);
            }
            LinkEvent::Received(
                from,
                NodeRole::Edge,
                Frame::Lookup { request_id: ticket, key, include_body: body },
            ) => {
                let found = self.queue.lookup(key).map(|(state, bytes)| {
                    let body = bytes.filter(|_| body).map(<[u8]>::to_vec);
                    let state = match state {
                        stileroute_queue::MessageState::Waiting => MessageState::Pending,
                        stileroute_queue::MessageState::Complete { seal } => MessageState::Complete { seal },
                        stileroute_queue::MessageState::Failed => MessageState::Failed,
                    };
                    KnownMessage { state, body }
                });
                self.common.links.send(
                    &mut self.common.net,
                    from,
                    &Frame::LookupResult { request_id: ticket, result: found },
                );
            }
            LinkEvent::Received(from, NodeRole::Store, Frame::Queue(note)) => {
                self.queue.handle_peer_message(now, from, note)
            }
            LinkEvent::Received(_, NodeRole::Control, Frame::RetireStore { node })
                if node == self.common.links.local().node =>
            {
                self.queue.retire(now);
                for edge in self.common.links.nodes_with_role(NodeRole::Edge) {
                    self.common.links.send(&mut self.common.net, edge, &Frame::Draining);
                }
            }
            LinkEvent::Received(..) => {}
        }
    }

    fn listed(&self) -> HashMap<String, Vec<Executor>> {
        let mut all: HashMap<String, Vec<Executor>> = HashMap::new();
        let mut heartbeats: Vec<&Heartbeat> = self.servers.values().collect();
        heartbeats.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        for heartbeat in heartbeats {
            let zone = self.common.boot.zones.keys().position(|zone| *zone == heartbeat.zone);
            all.entry(heartbeat.backend.clone()).or_default().push(Executor {
                id: heartbeat.id.clone(),
                address: heartbeat.address,
                zone: zone.unwrap_or(self.common.boot.zones.len()),
                capacity: f64::from(heartbeat.capacity),
                is_serving: heartbeat.state == ExecutorState::Serving,
                warm_up_left_ms: heartbeat.warmup_left_ms,
            });
        }
        all
    }

    fn event(&mut self, event: Event) {
        let now = self.common.net.now();
        match event {
            Event::WakeUp => {
                while let Ok((ticket, result)) = self.disk_said.try_recv() {
                    let trouble = result.is_err();
                    if std::mem::replace(&mut self.disk_trouble, trouble) != trouble {
                        match &result {
                            Err(error) => tracing::error!(%error, "disk refuses"),
                            Ok(()) => tracing::info!("disk takes again"),
                        }
                    }
                    self.queue.write_completed(now, ticket, result.is_ok());
                }
            }
            Event::CallCompleted { call_id: ticket, result } => self.replied(ticket, result),
            _ => {}
        }
    }

    fn replied(&mut self, ticket: u64, result: Result<CallReply, CallError>) {
        let now = self.common.net.now();
        match self.out.remove(&ticket) {
            Some(Out::Attempt { attempt, id }) => {
                let load = result.as_ref().ok().and_then(|reply| load(reply.server_load.as_deref()?));
                self.tally.failed(result.as_ref().err());
                let outcome = judge(&id, result);
                self.tally.ended(&outcome);
                let fine = self.common.net.now_tenths_ms();
                self.queue.attempt_ended(now, fine, attempt, outcome, load);
            }
            Some(Out::Call(key)) => {
                self.queue.callback_ended(now, key, result.is_ok_and(|reply| reply.status == 200))
            }
            None => {}
        }
    }

    fn carry_out(&mut self) {
        for _ in 0..8 {
            let (now, fine) = (self.common.net.now(), self.common.net.now_tenths_ms());
            self.queue.tick(now, fine);
            let effects = self.queue.take_effects();
            if effects.is_empty() {
                return;
            }
            effects.into_iter().for_each(|effect| self.effect(effect));
        }
    }

    fn effect(&mut self, effect: Effect) {
        let now = self.common.net.now();
        match effect {
            Effect::Persist { ticket, records, sync } => {
                self.disk.append(ticket, records, sync);
                if is_injected(InjectedFault::AnswerBeforeDisk) {
                    self.queue.write_completed(now, ticket, true);
                }
            }
            Effect::Send { to, message: note } => {
                self.common.links.send(&mut self.common.net, to, &Frame::Queue(note));
            }
            Effect::PutResult { ticket, result } => {
                if let Some((edge, ticket)) = self.askers.remove(&ticket) {
                    self.common.links.send(
                        &mut self.common.net,
                        edge,
                        &Frame::SubmitResult { request_id: ticket, result },
                    );
                }
            }
            Effect::StartAttempt {
                attempt,
                key,
                to,
                expected_server: expect,
                timeout_ms,
                max_connections: conns,
            } => {
                self.tally.began(self.queue.first_attempt_delay_ms(now, key));
                let Some(message) = self.queue.message(key) else { return };
                let mut bytes = Vec::with_capacity(message.body.len() + 320);
                let _ = write!(
                    bytes,
                    "{} {} HTTP/1.1\r\nHost: {}\r\n",
                    message.method, message.target, message.host
                );
                let _ = write!(bytes, "X-Request-Id: {}\r\nX-Time-Left-Ms: {timeout_ms}\r\n", message.id);
                if let Some(expect) = expect {
                    let _ = write!(bytes, "X-Expect-Server: {expect}\r\n");
                }
                if let Some(kind) = &message.content_type {
                    let _ = write!(bytes, "Content-Type: {kind}\r\n");
                }
                let _ = write!(bytes, "Content-Length: {}\r\n\r\n", message.body.len());
                bytes.extend_from_slice(&message.body);
                let id = message.id.clone();
                self.next_ticket += 1;
                let until = now + timeout_ms;
                match self.common.net.call(to, &bytes, self.next_ticket, until, conns, Some(&id)) {
                    Ok(()) => {
                        self.out.insert(self.next_ticket, Out::Attempt { attempt, id });
                    }
                    Err(failure) => {
                        let fine = self.common.net.now_tenths_ms();
                        let outcome = judge(&id, Err(failure));
                        self.tally.ended(&outcome);
                        self.queue.attempt_ended(now, fine, attempt, outcome, None);
                    }
                }
            }
            Effect::CallBack { key, url: text, body } => {
                let Some((to, path)) = url(&text) else { return self.queue.callback_ended(now, key, false) };
                let bytes = format!(
                    "POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                self.next_ticket += 1;
                match self.common.net.call(to, bytes.as_bytes(), self.next_ticket, now + CALL, CALLS, None) {
                    Ok(()) => {
                        self.out.insert(self.next_ticket, Out::Call(key));
                    }
                    Err(_) => self.queue.callback_ended(now, key, false),
                }
            }
        }
    }
}

/// `http://10.0.0.4:8080/path`: an address and a path; names are not looked up.
pub fn url(text: &str) -> Option<(SocketAddrV4, &str)> {
    let rest = text.strip_prefix("http://")?;
    let at = rest.find('/').unwrap_or(rest.len());
    let clean = !rest.bytes().any(|b| b.is_ascii_control() || b == b' ');
    let to = rest[..at].parse().ok().filter(|_| clean)?;
    Some((to, if at == rest.len() { "/" } else { &rest[at..] }))
}

/// `X-Server-Load`: running, waiting, slots.
fn load(text: &str) -> Option<[f64; 3]> {
    let mut parts =
        text.split(',').map(|part| part.trim().parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0));
    let (running, waiting, slots) = (parts.next()??, parts.next()??, parts.next()??);
    Some([running + waiting, waiting, (slots - running).max(0.0)])
}

/// What an answer says of the attempt. One that names another request, or no seal, is no success.
fn judge(id: &str, result: Result<CallReply, CallError>) -> AttemptOutcome {
    let reply = match result {
        Ok(reply) => reply,
        Err(CallError::NotConnected) => return AttemptOutcome::NotConnected,
        Err(CallError::NoCapacity) => return AttemptOutcome::NoFreeConnection,
        Err(CallError::ConnectionLost) => return AttemptOutcome::ConnectionBroken,
        Err(CallError::TimedOut) => return AttemptOutcome::NoResponse,
        Err(CallError::InvalidReply) => return AttemptOutcome::MalformedResponse,
    };
    if reply.request_id.as_deref() != Some(id) {
        return AttemptOutcome::MalformedResponse;
    }
    match (reply.status, reply.seal) {
        (200..=299, Some(seal)) => AttemptOutcome::Completed { seal },
        (200..=299, None) => AttemptOutcome::MalformedResponse,
        (422, _) => AttemptOutcome::Rejected,
        (421, _) => AttemptOutcome::WrongServer,
        (409, _) => AttemptOutcome::AlreadyRunning,
        (429, _) => AttemptOutcome::RateLimited,
        (503, _) => AttemptOutcome::ExecutorFull,
        (504, _) => AttemptOutcome::TimedOut,
        (500, _) if !reply.was_not_run => AttemptOutcome::Failed,
        _ if reply.was_not_run => AttemptOutcome::NotRun,
        _ => AttemptOutcome::MalformedResponse,
    }
}

#[cfg(test)]
mod tests;
