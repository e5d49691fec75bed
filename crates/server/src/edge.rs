//! The edge: takes messages from clients, has a store keep them, and answers; asks stores what became of one.

mod pending;
mod report;

use pending::{Find, Heard, Put, Refused};

use crate::links::LinkEvent;
use crate::net::{ConnectionId, Event, Millis, Request, RequestLimits, Response};
use crate::node::{wall_clock_ms, NodeRuntime};
use crate::protocol::{Frame, KnownMessage, MessageState, NodeRole};
use crate::report::Told;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddrV4;
use stileroute_config::RouteKind;
use stileroute_queue::{preferred_store, Key, KeyLocation, Message, Node, PutError};

/// A store that has not answered for so long is taken to be stuck, and another is asked; one of which nothing at all has
/// been heard meanwhile is taken to be gone sooner.
const PATIENCE: Millis = 400;
const SILENCE: Millis = 200;
/// A store that did not answer gets messages only after the others for so long, and none at all until it is heard again.
const SHUN: Millis = 1500;
/// So long a store that is back is told what others keep in its place.
const TELL: Millis = 120_000;
/// Most messages that wait for a store.
const MOST: usize = 4000;
/// One that asks what became of a message waits two seconds.
const ASKER: Millis = 1800;
/// After the order to end: so long new connections are still taken, and at the latest then the process ends.
const LINGER: Millis = 2300;

#[derive(Default)]
struct Figures {
    taken: u64,
    no_route: u64,
    refused: u64,
    uncertain: u64,
    again: u64,
    asked: u64,
}

pub struct Edge {
    common: NodeRuntime,
    front: usize,
    readiness: usize,
    puts: HashMap<u64, Put>,
    finds: HashMap<u64, Find>,
    /// By when each wait is looked at.
    waits: BTreeMap<(Millis, u64), ()>,
    /// Since when.
    shunned: HashMap<Node, Millis>,
    leaving: HashSet<Node>,
    /// Messages offered to several stores, and which one is kept: told again to each store that is back.
    superseded: VecDeque<(Millis, Frame)>,
    next_ticket: u64,
    next_store: usize,
    figures: Figures,
}

impl Edge {
    pub fn new(mut common: NodeRuntime) -> miette::Result<Edge> {
        let missing = |what: &str| miette::miette!("settings: bind_addresses.{what}: missing for this role");
        let front: SocketAddrV4 = common.boot.front.ok_or_else(|| missing("front"))?;
        let ready: SocketAddrV4 = common.boot.readiness.ok_or_else(|| missing("readiness"))?;
        let listen = |net: &mut crate::net::Net, at| net.listen(at, Some(RequestLimits::default()));
        let front = listen(&mut common.net, front).map_err(|e| miette::miette!("front address: {e}"))?;
        let readiness =
            listen(&mut common.net, ready).map_err(|e| miette::miette!("readiness address: {e}"))?;
        Ok(Edge {
            common,
            front,
            readiness,
            puts: HashMap::new(),
            finds: HashMap::new(),
            waits: BTreeMap::new(),
            shunned: HashMap::new(),
            leaving: HashSet::new(),
            superseded: VecDeque::new(),
            next_ticket: 1,
            next_store: 0,
            figures: Figures::default(),
        })
    }

    pub fn run(mut self) -> miette::Result<()> {
        loop {
            let until = self.waits.keys().next().map_or(Millis::MAX, |(at, _)| *at);
            let (link_events, events) = self.common.poll(until);
            link_events.into_iter().for_each(|link_event| self.link_event(link_event));
            events.into_iter().for_each(|event| self.event(event));
            self.inquiries();
            self.look_after();
            self.common.maintain_session();
            self.connect();
            self.common.take_shutdown_request();
            if self.may_end() {
                self.common.net.flush();
                return Ok(());
            }
        }
    }

    fn connect(&mut self) {
        if !self.common.take_topology_change() {
            return;
        }
        let mut wanted = self.common.control_dial_targets();
        let stores = self.common.session.members.iter().filter(|m| m.role == NodeRole::Store);
        wanted.extend(stores.map(|m| self.common.links.listen_address(m.ip, NodeRole::Store)));
        let now = self.common.net.now();
        self.common.links.set_dial_targets(now, wanted);
    }

    /// In order: no new connections after a while, each answer closes its connection, and what is in hand is finished.
    fn may_end(&mut self) -> bool {
        let Some(since) = self.common.draining_since else { return false };
        let now = self.common.net.now();
        if now < since + LINGER {
            return false;
        }
        self.common.net.stop_listening(self.front);
        let quiet = self.common.net.requests_in_flight() == 0;
        if quiet {
            self.common.net.close_idle_connections(self.front);
        }
        quiet || now > since + self.common.boot.bounds.grace_ms.saturating_sub(1000)
    }

    fn ready(&self) -> bool {
        self.common.draining_since.is_none()
            && self.common.config.is_some()
            && self.common.links.peers(NodeRole::Store).any(|h| !self.leaving.contains(&h.node))
    }

    fn link_event(&mut self, link_event: LinkEvent) {
        match link_event {
            LinkEvent::Up(hello) if hello.role == NodeRole::Store => {
                self.leaving.remove(&hello.node);
                self.shunned.remove(&hello.node);
                for (_, signal) in &self.superseded {
                    self.common.links.send(&mut self.common.net, hello.node, signal);
                }
            }
            LinkEvent::Up(_) => {}
            LinkEvent::Down(node, NodeRole::Store) => self.store_lost(node),
            LinkEvent::Down(..) => {}
            LinkEvent::Received(from, NodeRole::Control, Frame::Update(news)) => {
                if let Some(config) = self.common.apply_update(from, &news) {
                    let limits = &config.limits;
                    let bounds = RequestLimits {
                        max_head_bytes: limits.max_header_bytes,
                        max_body_bytes: limits.max_body_bytes,
                        request_timeout_ms: limits.header_timeout_ms,
                        idle_timeout_ms: limits.idle_timeout_ms,
                    };
                    self.common.net.set_limits(self.front, bounds);
                }
            }
            LinkEvent::Received(
                from,
                NodeRole::Store,
                Frame::SubmitResult { request_id: ticket, result },
            ) => self.taken(from, ticket, result),
            LinkEvent::Received(
                from,
                NodeRole::Store,
                Frame::LookupResult { request_id: ticket, result: found },
            ) => self.found(from, ticket, found),
            LinkEvent::Received(from, NodeRole::Store, Frame::Draining) => {
                self.leaving.insert(from);
            }
            LinkEvent::Received(..) => {}
        }
    }

    fn event(&mut self, event: Event) {
        let Event::Request { connection: conn, listener: port, request } = event else { return };
        if port == self.readiness {
            let known = request.target.split('?').next() == Some("/v1/readiness");
            let ready = self.ready();
            let status = match (known, self.common.set_ready(ready)) {
                (false, _) => 404,
                (true, true) => 200,
                (true, false) => 503,
            };
            return self.common.net.respond(conn, Response::empty(status));
        }
        let asks = |prefix: &str| request.target.strip_prefix(prefix).filter(|_| request.method == "GET");
        if let Some(name) = asks("/v1/message/") {
            self.find(conn, name, false);
        } else if let Some(name) = asks("/v1/message-body/") {
            self.find(conn, name, true);
        } else {
            self.take(conn, request);
        }
    }

    fn answer(&mut self, conn: ConnectionId, answer: Response) {
        let close = answer.close_connection || self.common.draining_since.is_some();
        self.common.net.respond(conn, Response { close_connection: close, ..answer });
    }

    fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    // ---- Taking ----

    fn take(&mut self, conn: ConnectionId, request: Request) {
        let Some(config) = self.common.config.clone() else {
            self.figures.refused += 1;
            return self.answer(conn, Response::retry_after(503, 1));
        };
        let route = config.route(&request.host, &request.target).map(|at| &config.routes[at]);
        let Some(route) = route.filter(|r| r.kind == RouteKind::Deferred) else {
            self.figures.no_route += 1;
            return self.answer(conn, Response::empty(404));
        };
        let bad_url = request.callback_url.as_deref().is_some_and(|url| crate::store::url(url).is_none());
        if request.request_id.is_empty() || request.request_id.len() > 256 || bad_url {
            return self.answer(conn, Response::empty(400));
        }
        if self.puts.len() >= MOST {
            self.figures.refused += 1;
            return self.answer(conn, Response::retry_after(503, 1));
        }
        let now = self.common.net.now();
        let until = now + request.time_left_ms.unwrap_or(4000).clamp(50, 10_000);
        let message = Message {
            id: request.request_id,
            host: request.host,
            method: request.method,
            target: request.target,
            content_type: request.content_type,
            callback_url: request.callback_url.filter(|_| route.callback),
            ordering_key: request
                .order_key
                .filter(|_| route.in_order)
                .map(|key| format!("{}\0{key}", route.name)),
            delay_ms: request.delay_ms.unwrap_or(0),
            accepted_at_ms: wall_clock_ms(),
            config_revision: config.revision,
            body: request.body,
        };
        let ticket = self.ticket();
        let put = Put { conn, message, tried: Vec::new(), sent: now, until, uncertain: false };
        self.send(ticket, put);
    }

    /// Nothing has been heard of it since it did not answer: what is sent there now would only be uncertain later.
    fn gone(&self, node: Node) -> bool {
        let since = self.shunned.get(&node);
        since.is_some_and(|since| self.common.links.last_heard_at(node).is_none_or(|heard| heard <= *since))
    }

    /// The stores to choose from: of the own zone first, then of the region, in turn; of a row always the same one, as long as it is there.
    fn store(&mut self, not: &[Node], row: Option<&str>) -> Option<Node> {
        let now = self.common.net.now();
        let boot = &self.common.boot;
        let mut all: Vec<(bool, u8, Node)> = self
            .common
            .links
            .peers(NodeRole::Store)
            .filter(|h| !not.contains(&h.node) && !self.leaving.contains(&h.node))
            .filter(|h| !self.gone(h.node))
            .map(|h| {
                let slow = self.shunned.get(&h.node).is_some_and(|since| now < since + SHUN);
                (slow, boot.far(&h.zone), h.node)
            })
            .collect();
        all.sort_unstable();
        let first = *all.first()?;
        if let Some(row) = row {
            return preferred_store(row, all.iter().filter(|s| s.0 == first.0).map(|s| s.2));
        }
        let alike = all.iter().take_while(|s| (s.0, s.1) == (first.0, first.1)).count();
        self.next_store = self.next_store.wrapping_add(1);
        Some(all[self.next_store % alike].2)
    }

    fn send(&mut self, ticket: u64, mut put: Put) {
        let now = self.common.net.now();
        match self.store(&put.tried, put.message.ordering_key.as_deref()) {
            Some(store) => {
                put.tried.push(store);
                put.sent = now;
                self.figures.again += u64::from(put.tried.len() > 1);
                let signal = Frame::Submit { request_id: ticket, message: put.message.clone() };
                self.common.links.send(&mut self.common.net, store, &signal);
                self.waits.insert(((now + SILENCE).min(put.until), ticket), ());
                self.puts.insert(ticket, put);
            }
            // Nobody has it: that is a promise, and the client may come back. Else nothing is promised.
            None if !put.uncertain => {
                self.figures.refused += 1;
                self.answer(put.conn, Response::retry_after(503, 1));
            }
            None => {
                self.figures.uncertain += 1;
                self.answer(put.conn, Response::empty(502));
                self.supersede(&put, None);
            }
        }
    }

    /// Tells all stores which of several is kept.
    fn supersede(&mut self, put: &Put, kept: Option<Key>) {
        let now = self.common.net.now();
        let signal = Frame::Superseded {
            message_id: put.message.id.clone(),
            fingerprint: put.message.fingerprint(),
            kept,
        };
        for store in self.common.links.nodes_with_role(NodeRole::Store) {
            self.common.links.send(&mut self.common.net, store, &signal);
        }
        self.superseded.push_back((now, signal));
        while self.superseded.front().is_some_and(|(at, _)| now > at + TELL) || self.superseded.len() > MOST {
            self.superseded.pop_front();
        }
    }

    fn taken(&mut self, from: Node, ticket: u64, result: Result<String, PutError>) {
        match result {
            Ok(name) => {
                let Some(put) = self.puts.remove(&ticket) else { return };
                self.figures.taken += 1;
                if put.tried.len() > 1 {
                    self.supersede(&put, Key::parse(&name).map(|location| location.key));
                }
                let headers = vec![("X-Queue-Message-Id", name)];
                self.answer(put.conn, Response { status: 202, headers, ..Response::default() });
            }
            Err(refusal) => {
                let Some(put) = self.puts.get_mut(&ticket) else { return };
                if put.refused(from, refusal) == Refused::Next {
                    let put = self.puts.remove(&ticket);
                    put.into_iter().for_each(|put| self.send(ticket, put));
                }
            }
        }
    }

    fn store_lost(&mut self, node: Node) {
        self.leaving.remove(&node);
        let lost: Vec<u64> = self
            .puts
            .iter()
            .filter(|(_, p)| p.tried.last() == Some(&node))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in lost {
            if let Some(mut put) = self.puts.remove(&ticket) {
                put.uncertain = true;
                self.send(ticket, put);
            }
        }
        let asked: Vec<u64> =
            self.finds.iter().filter(|(_, f)| f.asked == node).map(|(ticket, _)| *ticket).collect();
        asked.into_iter().for_each(|ticket| self.not_answered(ticket));
    }

    /// Waits that are over.
    fn look_after(&mut self) {
        let now = self.common.net.now();
        while let Some((at, ticket)) = self.waits.keys().next().copied() {
            if at > now {
                break;
            }
            self.waits.remove(&(at, ticket));
            if let Some(find) = self.finds.get(&ticket) {
                // A wait of the store before: the one that is asked now has its own.
                if now >= find.sent + PATIENCE || now >= find.until {
                    self.not_answered(ticket);
                }
                continue;
            }
            let Some(put) = self.puts.get(&ticket) else { continue };
            let heard =
                |node: &Node| self.common.links.last_heard_at(*node).is_some_and(|heard| heard > put.sent);
            let speaks = put.tried.last().is_some_and(heard);
            if now < put.until && now < put.sent + if speaks { PATIENCE } else { SILENCE } {
                self.waits.insert(((put.sent + PATIENCE).min(put.until), ticket), ());
                continue;
            }
            let Some(mut put) = self.puts.remove(&ticket) else { continue };
            if let Some(store) = put.tried.last() {
                // Of when it was sent: what has been heard since counts.
                self.shunned.insert(*store, if speaks { now } else { put.sent });
            }
            put.uncertain = true;
            if now >= put.until {
                self.figures.uncertain += 1;
                self.answer(put.conn, Response::empty(504));
                self.supersede(&put, None);
            } else {
                self.send(ticket, put);
            }
        }
    }

    // ---- Asking ----

    fn find(&mut self, conn: ConnectionId, name: &str, body: bool) {
        self.figures.asked += 1;
        let now = self.common.net.now();
        let Some(KeyLocation { key, stores: first }) = Key::parse(name) else {
            return self.answer(conn, Response::empty(404));
        };
        let up = self.common.links.nodes_with_role(NodeRole::Store);
        let mut left: Vec<Node> = first.into_iter().filter(|n| up.contains(n)).collect();
        left.extend(up.iter().filter(|n| !left.contains(n)).copied().collect::<Vec<_>>());
        left.dedup();
        left.reverse();
        let ticket = self.ticket();
        let until = now + ASKER;
        let mut stores = self.common.session.members.iter().filter(|m| m.role == NodeRole::Store);
        // The store that took it may be so new that it is no member here yet.
        let unsure = !up.contains(&key.origin) || stores.any(|m| !up.contains(&m.node));
        let find = Find { conn, key, body, left, asked: 0, sent: now, until, waiting: None, unsure };
        self.finds.insert(ticket, find);
        self.ask_next(ticket);
    }

    /// The store that was asked is gone, or silent.
    fn not_answered(&mut self, ticket: u64) {
        if let Some(find) = self.finds.get_mut(&ticket) {
            find.unsure = true;
        }
        self.ask_next(ticket);
    }

    fn ask_next(&mut self, ticket: u64) {
        let now = self.common.net.now();
        let Some(find) = self.finds.get_mut(&ticket) else { return };
        match find.left.pop().filter(|_| now < find.until) {
            Some(store) => {
                (find.asked, find.sent) = (store, now);
                let signal = Frame::Lookup { request_id: ticket, key: find.key, include_body: find.body };
                self.waits.insert((now + PATIENCE, ticket), ());
                if !self.common.links.send(&mut self.common.net, store, &signal) {
                    self.ask_next(ticket);
                }
            }
            None => {
                if let Some(find) = self.finds.remove(&ticket) {
                    // One that knows nothing of it says so; one that could not be asked may know: said to be unknown, an
                    // accepted message would be taken for lost.
                    let answer = match find.waiting {
                        Some(found) => said(found, find.body),
                        None if find.unsure || now >= find.until => Response::retry_after(503, 1),
                        None => Response::empty(404),
                    };
                    self.answer(find.conn, answer);
                }
            }
        }
    }

    fn found(&mut self, from: Node, ticket: u64, found: Option<KnownMessage>) {
        let Some(find) = self.finds.get_mut(&ticket) else { return };
        match find.heard(from, found) {
            Heard::Answer(found) => {
                if let Some(find) = self.finds.remove(&ticket) {
                    self.answer(find.conn, said(found, find.body));
                }
            }
            Heard::Next => self.ask_next(ticket),
            Heard::Wait => {}
        }
    }
}

fn said(found: KnownMessage, body: bool) -> Response {
    if body {
        return match found.body {
            Some(bytes) => Response { status: 200, body: bytes, ..Response::default() },
            None => Response::empty(404),
        };
    }
    let object = match found.state {
        MessageState::Pending => jzon::object! { "state" => "waiting" },
        MessageState::Complete { seal } => jzon::object! { "state" => "complete", "seal" => seal },
        MessageState::Failed => jzon::object! { "state" => "failed" },
    };
    Response::json(200, object.dump())
}
