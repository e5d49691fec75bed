//! The edge: accepts messages from clients once a store has them, and asks stores what became of a message.

mod authentication;
mod lookups;
mod pending;
mod report;
mod revocation;
mod submissions;

use crate::inspection::Inspect;
use crate::links::LinkEvent;
use crate::net::{ConnectionId, Event, Millis, Net, Request, RequestLimits, Response};
use crate::node::{NodeRuntime, Polled};
use crate::protocol::{Frame, NodeRole, RESUBMISSION_FLAG};
use crate::start_error::StartError;
use authentication::AuthenticationError;
use pending::{PendingLookup, PendingSubmission};
use revocation::are_keys_current;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddrV4;
use stileroute_config::Config;
use stileroute_queue::Node;

/// Path at which the readiness listener says whether the edge is ready.
const READINESS_PATH: &str = "/v1/readiness";
/// Where clients ask for the state of a message; its id follows.
const MESSAGE_STATE_PATH: &str = "/v1/message/";
/// Where clients ask for the body of a message; its id follows.
const MESSAGE_BODY_PATH: &str = "/v1/message-body/";
/// A store that has been sent a request, and has been heard since, is given up for it after so long, in ms.
const STORE_REPLY_TIMEOUT_MS: Millis = 400;
/// One of which nothing at all has been heard since is given up sooner, in ms.
const STORE_SILENCE_LIMIT_MS: Millis = 200;
/// After the order to shut down, new connections are accepted for so long, in ms; the process runs at least until then.
const LISTEN_AFTER_SHUTDOWN_MS: Millis = 2300;
/// Of the grace period, what ending the process itself may take, in ms.
const SHUTDOWN_RESERVE_MS: Millis = 1000;

/// Counts for the metrics.
#[derive(Default)]
struct EdgeCounts {
    accepted: u64,
    without_route: u64,
    /// Submissions with keys that may have been taken away, answered 503: the control nodes were not heard for too long.
    without_contact: u64,
    /// Submissions that the tenant's quota did not allow, answered 429; or 503, where that could not be known.
    over_quota: u64,
    /// Submissions and lookups without a key, answered 401.
    without_key: u64,
    /// Submissions and lookups with a key of no tenant, answered 401.
    with_unknown_key: u64,
    rejected: u64,
    /// Submissions whose client could not be told whether the message is kept.
    outcome_unknown: u64,
    /// Times that a submission was sent to a further store.
    resubmitted: u64,
    lookups: u64,
    /// Submissions that carried a tenant's key.
    with_key: u64,
    /// Submissions that carried an idempotency key.
    with_idempotency_key: u64,
    /// Lookups answered 404: all stores were asked, and none knows the message.
    unknown_lookups: u64,
    /// Lookups answered 503: a store that may know the message could not be asked.
    inconclusive_lookups: u64,
}

/// A frame that says which of several copies of a message is kept. Stores that connect later get it as well.
struct SupersededNotice {
    since: Millis,
    frame: Frame,
}

/// An edge.
pub struct Edge {
    runtime: NodeRuntime,
    /// The listener for clients.
    front_listener: usize,
    readiness_listener: usize,
    submissions: HashMap<u64, PendingSubmission>,
    lookups: HashMap<u64, PendingLookup>,
    /// When which request is looked at again; old entries of a request are passed over.
    timeouts: BTreeSet<(Millis, u64)>,
    /// Stores that did not answer, and when that was.
    unresponsive_since: HashMap<Node, Millis>,
    draining_stores: HashSet<Node>,
    superseded_notices: VecDeque<SupersededNotice>,
    last_request_id: u64,
    /// Counts up, so that stores that are equally near take turns.
    round_robin: usize,
    counts: EdgeCounts,
    /// The next lookup that finds nothing is logged no sooner.
    next_unknown_log_at: Millis,
}

impl Edge {
    /// Opens the addresses for clients and for the question whether the edge is ready.
    ///
    /// # Errors
    ///
    /// Where a setting is missing or an address is taken.
    pub fn new(mut runtime: NodeRuntime) -> Result<Edge, StartError> {
        let missing = |key| StartError::MissingSetting { key, role: "this role" };
        let front = runtime.boot.front_address.ok_or(missing("bind_addresses.front"))?;
        let readiness = runtime.boot.readiness_address.ok_or(missing("bind_addresses.readiness"))?;
        let front_listener = listen(&mut runtime.net, front, "front")?;
        let readiness_listener = listen(&mut runtime.net, readiness, "readiness")?;
        Ok(Edge {
            runtime,
            front_listener,
            readiness_listener,
            submissions: HashMap::new(),
            lookups: HashMap::new(),
            timeouts: BTreeSet::new(),
            unresponsive_since: HashMap::new(),
            draining_stores: HashSet::new(),
            superseded_notices: VecDeque::new(),
            last_request_id: 1,
            round_robin: 0,
            counts: EdgeCounts::default(),
            next_unknown_log_at: 0,
        })
    }

    /// Runs until the process is told to end and is done.
    pub fn run(mut self) {
        loop {
            let until = self.timeouts.first().map_or(Millis::MAX, |(at, _)| *at);
            let Polled { link_events, events } = self.runtime.poll(until);
            link_events.into_iter().for_each(|link_event| self.link_event(link_event));
            events.into_iter().for_each(|event| self.event(event));
            self.answer_inquiries();
            self.handle_timeouts();
            self.runtime.maintain_session();
            self.runtime.update_dial_targets(|_| true);
            self.runtime.take_shutdown_request();
            if self.is_shutdown_complete() {
                return self.runtime.net.flush();
            }
        }
    }

    /// After a while no connections are accepted any more, and every answer closes its own; the process ends when all requests
    /// have been answered, or there is no more time.
    fn is_shutdown_complete(&mut self) -> bool {
        let Some(since) = self.runtime.draining_since else { return false };
        if self.runtime.net.now() < since + LISTEN_AFTER_SHUTDOWN_MS {
            return false;
        }
        self.runtime.net.stop_listening(self.front_listener);
        let is_idle = self.runtime.net.requests_in_flight() == 0;
        if is_idle {
            self.runtime.net.close_idle_connections(self.front_listener);
        }
        is_idle || self.runtime.is_grace_period_over(SHUTDOWN_RESERVE_MS)
    }

    /// Whether clients may be sent here.
    fn is_ready(&self) -> bool {
        self.runtime.draining_since.is_none()
            && self.runtime.config.is_some()
            && self.accepts_keys()
            && self
                .runtime
                .links
                .peers(NodeRole::Store)
                .any(|store| !self.draining_stores.contains(&store.node))
    }

    /// Whether requests on routes that need a key may be accepted: none of the keys that are known here was taken away too long ago.
    fn accepts_keys(&self) -> bool {
        let has_tenants = self.runtime.config.as_ref().is_some_and(|config| config.tenants.is_some());
        let contact_at = self.runtime.group_contact_at();
        !has_tenants || are_keys_current(&self.runtime.boot.bounds, contact_at, self.runtime.net.now())
    }

    fn link_event(&mut self, link_event: LinkEvent) {
        match link_event {
            LinkEvent::Up(peer) if peer.role == NodeRole::Store => self.store_connected(peer.node),
            LinkEvent::Up(_) => {}
            LinkEvent::Down(node, NodeRole::Store) => self.store_lost(node),
            LinkEvent::Down(..) => {}
            LinkEvent::Received(from, NodeRole::Control, Frame::Update(update)) => {
                if let Some(config) = self.runtime.apply_update(from, &update) {
                    self.apply_limits(&config);
                }
            }
            LinkEvent::Received(from, NodeRole::Store, frame) => self.store_frame(from, frame),
            LinkEvent::Received(..) => {}
        }
    }

    fn store_frame(&mut self, store: Node, frame: Frame) {
        match frame {
            Frame::SubmitResult { request_id, result } => {
                self.submission_answered(store, request_id & !RESUBMISSION_FLAG, result);
            }
            Frame::LookupResult { request_id, result } => self.lookup_answered(store, request_id, result),
            Frame::Draining => {
                self.draining_stores.insert(store);
            }
            _ => {}
        }
    }

    fn store_connected(&mut self, store: Node) {
        self.draining_stores.remove(&store);
        self.unresponsive_since.remove(&store);
        for notice in &self.superseded_notices {
            self.runtime.links.send(&mut self.runtime.net, store, &notice.frame);
        }
    }

    fn store_lost(&mut self, store: Node) {
        self.draining_stores.remove(&store);
        self.resubmit_after_loss(store);
        self.look_up_after_loss(store);
    }

    /// Applies the limits of a new configuration to the requests of clients.
    fn apply_limits(&mut self, config: &Config) {
        let limits = RequestLimits {
            max_head_bytes: config.limits.max_header_bytes,
            max_body_bytes: config.limits.max_body_bytes,
            request_timeout_ms: config.limits.header_timeout_ms,
            idle_timeout_ms: config.limits.idle_timeout_ms,
        };
        self.runtime.net.set_limits(self.front_listener, limits);
    }

    fn event(&mut self, event: Event) {
        let Event::Request { connection, listener, request } = event else { return };
        if listener == self.readiness_listener {
            self.answer_readiness(connection, &request);
            return;
        }
        let message_id = |path: &str| request.target.strip_prefix(path).filter(|_| request.method == "GET");
        if let Some(id) = message_id(MESSAGE_STATE_PATH) {
            self.start_lookup(connection, &request, id, false);
        } else if let Some(id) = message_id(MESSAGE_BODY_PATH) {
            self.start_lookup(connection, &request, id, true);
        } else {
            self.accept(connection, request);
        }
    }

    fn answer_readiness(&mut self, connection: ConnectionId, request: &Request) {
        let is_known = request.target.split('?').next() == Some(READINESS_PATH);
        let is_ready = self.is_ready();
        // Logged where it has changed, whatever was asked for.
        self.runtime.set_ready(is_ready);
        let status = match (is_known, is_ready) {
            (false, _) => 404,
            (true, true) => 200,
            (true, false) => 503,
        };
        self.runtime.net.respond(connection, Response::empty(status));
    }

    /// Answers a client; while the edge shuts down the connection is closed after it.
    fn answer(&mut self, connection: ConnectionId, response: Response) {
        let close_connection = response.close_connection || self.runtime.draining_since.is_some();
        self.runtime.net.respond(connection, Response { close_connection, ..response });
    }

    /// A request whose sender is not known: nothing of it is kept.
    fn answer_unauthorized(&mut self, connection: ConnectionId, error: AuthenticationError) {
        match error {
            AuthenticationError::MissingKey => self.counts.without_key += 1,
            AuthenticationError::UnknownKey => self.counts.with_unknown_key += 1,
        }
        // RFC 9110, 15.5.2: the answer names the scheme.
        let headers = vec![("WWW-Authenticate", "Bearer".to_string())];
        self.answer(connection, Response { status: 401, headers, ..Response::default() });
    }

    /// A new id, under which a store answers.
    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Deals with requests whose store has not answered in time.
    fn handle_timeouts(&mut self) {
        let now = self.runtime.net.now();
        while let Some((at, request_id)) = self.timeouts.first().copied() {
            if at > now {
                break;
            }
            self.timeouts.remove(&(at, request_id));
            if self.lookups.contains_key(&request_id) {
                self.lookup_timeout(request_id);
            } else {
                self.submission_timeout(request_id);
            }
        }
    }
}

fn listen(net: &mut Net, address: SocketAddrV4, purpose: &'static str) -> Result<usize, StartError> {
    net.listen_http(address, RequestLimits::default())
        .map_err(|source| StartError::Listen { purpose, source })
}
