//! The edge role: accepts messages from clients after a store has accepted them, and looks up the state of messages
//! in the stores.

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

/// Path on the readiness listener that reports whether the edge is ready for client requests.
const READINESS_PATH: &str = "/v1/readiness";
/// Path prefix for looking up the state of a message; the message id follows it.
const MESSAGE_STATE_PATH: &str = "/v1/message/";
/// Path prefix for fetching the body of a message; the message id follows it.
const MESSAGE_BODY_PATH: &str = "/v1/message-body/";
/// Time in ms after which the edge stops waiting for a store's reply to a request, if the store has sent something
/// else since the request.
const STORE_REPLY_TIMEOUT_MS: Millis = 400;
/// Time in ms after which the edge stops waiting for a store that has sent nothing at all since the request.
const STORE_SILENCE_LIMIT_MS: Millis = 200;
/// Time in ms after a shutdown request during which the edge still accepts new connections; the process runs at least
/// that long.
const LISTEN_AFTER_SHUTDOWN_MS: Millis = 2300;
/// Part of the shutdown grace period, in ms, that is reserved for ending the process itself.
const SHUTDOWN_RESERVE_MS: Millis = 1000;

/// Event counters of an edge, exported as metrics.
#[derive(Default)]
struct EdgeCounts {
    accepted: u64,
    without_route: u64,
    /// Submissions answered 503 because the control nodes were out of contact for too long, so the tenant keys known
    /// here may have been revoked.
    without_contact: u64,
    /// Submissions over the tenant's quota, answered 429, or 503 if the quota state could not be determined.
    over_quota: u64,
    /// Submissions and lookups without a tenant key, answered 401.
    without_key: u64,
    /// Submissions and lookups with a key that belongs to no tenant, answered 401.
    with_unknown_key: u64,
    rejected: u64,
    /// Submissions whose client could not be told whether a store kept the message.
    outcome_unknown: u64,
    /// Number of times that a submission was sent to another store after the first.
    resubmitted: u64,
    lookups: u64,
    /// Submissions that carried a tenant key.
    with_key: u64,
    /// Submissions that carried an idempotency key.
    with_idempotency_key: u64,
    /// Lookups answered 404: every store was asked, and none knows the message.
    unknown_lookups: u64,
    /// Lookups answered 503: a store that may know the message could not be asked.
    inconclusive_lookups: u64,
}

/// A frame that tells stores which of several copies of a resubmitted message is kept. It is also sent to stores that
/// connect later.
struct SupersededNotice {
    created_at: Millis,
    frame: Frame,
}

/// An edge process: the shared runtime and the client requests in flight.
pub struct Edge {
    runtime: NodeRuntime,
    /// The listener for client connections.
    front_listener: usize,
    readiness_listener: usize,
    submissions: HashMap<u64, PendingSubmission>,
    lookups: HashMap<u64, PendingLookup>,
    /// Deadlines by request id, earliest first; an outdated deadline of a request has no effect.
    timeouts: BTreeSet<(Millis, u64)>,
    /// Stores that did not answer in time, and when each was found unresponsive.
    unresponsive_since: HashMap<Node, Millis>,
    draining_stores: HashSet<Node>,
    superseded_notices: VecDeque<SupersededNotice>,
    last_request_id: u64,
    /// Counter for rotating among stores in equally near zones.
    round_robin: usize,
    counts: EdgeCounts,
    /// Earliest time at which the next lookup of an unknown message is logged.
    next_unknown_log_at: Millis,
}

impl Edge {
    /// Opens the listeners for clients and for readiness checks.
    ///
    /// # Errors
    ///
    /// Fails if a setting is missing or an address is in use.
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

    /// Runs the event loop until a shutdown was requested and is complete.
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

    /// Whether the process may exit. Once the edge stops listening, it waits until all requests have been answered or
    /// the grace period is over; during shutdown each answer closes its connection.
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

    /// Whether clients may send requests to this edge.
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

    /// Whether requests on routes that need a key may be accepted, that is, whether any revocation that this edge has
    /// not received is still recent enough for the configured bound.
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

    /// Applies the request limits of a new configuration to client connections.
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
        // A change of readiness is logged on any request to the readiness listener, whatever its path.
        self.runtime.set_ready(is_ready);
        let status = match (is_known, is_ready) {
            (false, _) => 404,
            (true, true) => 200,
            (true, false) => 503,
        };
        self.runtime.net.respond(connection, Response::empty(status));
    }

    /// Answers a client. During shutdown the connection is closed after the answer.
    fn answer(&mut self, connection: ConnectionId, response: Response) {
        let close_connection = response.close_connection || self.runtime.draining_since.is_some();
        self.runtime.net.respond(connection, Response { close_connection, ..response });
    }

    /// Answers 401 to a request whose sender could not be authenticated; nothing of the request is stored.
    fn answer_unauthorized(&mut self, connection: ConnectionId, error: AuthenticationError) {
        match error {
            AuthenticationError::MissingKey => self.counts.without_key += 1,
            AuthenticationError::UnknownKey => self.counts.with_unknown_key += 1,
        }
        // RFC 9110, section 15.5.2: a 401 answer must name the authentication scheme.
        let headers = vec![("WWW-Authenticate", "Bearer".to_string())];
        self.answer(connection, Response { status: 401, headers, ..Response::default() });
    }

    /// Returns a new request id; a store's reply carries the id of its request.
    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Handles requests whose store has not answered before its time-out.
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
