//! Submission of messages: the edge offers each message to one store after another, and acknowledges it to the client
//! only after a store has accepted it.

use super::authentication::{authenticate, AuthenticationError};
use super::pending::{AfterRejection, PendingSubmission};
use super::{Edge, SupersededNotice, STORE_REPLY_TIMEOUT_MS, STORE_SILENCE_LIMIT_MS};
use crate::callback_url::parse_callback_url;
use crate::net::{ConnectionId, Millis, Request, Response};
use crate::node::wall_clock_ms;
use crate::protocol::{Frame, NodeRole, RESUBMISSION_FLAG};
use stileroute_config::{Config, Route, RouteKind, Tenant, ZoneDistance};
use stileroute_queue::{
    preferred_store, preferred_store_of_shard, IdempotencyDigest, Key, Message, Node, PutError,
};

/// Time in ms during which a store that did not answer is tried only after the other stores; while it stays silent it
/// gets no messages at all.
const UNRESPONSIVE_PENALTY_MS: Millis = 1500;
/// Lifetime in ms of a superseded notice: a store that reconnects within this time learns which messages other stores
/// keep in its place.
const SUPERSEDED_NOTICE_LIFETIME_MS: Millis = 120_000;
/// Most messages that may wait for a store at once, and most superseded notices that are kept.
const MAX_PENDING_SUBMISSIONS: usize = 4000;
/// Longest request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 256;
/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 1024;
/// Most stores that are tried for one message with an idempotency key, since each store tried claims the shard of the
/// key for itself.
const MAX_STORES_FOR_KEY: usize = 3;
/// Time in ms that a client is assumed to wait if its request does not state a time-out.
const DEFAULT_CLIENT_TIMEOUT_MS: Millis = 4000;
/// Lower and upper limit in ms for the time-out that a client may state.
const CLIENT_TIMEOUT_RANGE_MS: (Millis, Millis) = (50, 10_000);
/// Value of `Retry-After`, in seconds, for a message that was not accepted.
const RETRY_AFTER_S: u64 = 1;

impl Edge {
    /// Checks a client's request and submits it as a message.
    pub(super) fn accept(&mut self, connection: ConnectionId, request: Request) {
        self.counts.with_key += u64::from(request.authorization.is_some());
        self.counts.with_idempotency_key += u64::from(request.idempotency_key.is_some());
        let Some(config) = self.runtime.config.clone() else {
            self.counts.rejected += 1;
            return self.answer(connection, Response::retry_after(503, RETRY_AFTER_S));
        };
        let route = config.route(&request.host, &request.target).map(|index| &config.routes[index]);
        let Some(route) = route.filter(|route| route.kind == RouteKind::Deferred) else {
            self.counts.without_route += 1;
            return self.answer(connection, Response::empty(404));
        };
        let tenant = match authenticate_on(route, &config, &request) {
            Ok(tenant) => tenant,
            Err(error) => return self.answer_unauthorized(connection, error),
        };
        if !route.is_public && !self.accepts_keys() {
            self.counts.without_contact += 1;
            return self.answer(connection, Response::retry_after(503, RETRY_AFTER_S));
        }
        if !is_valid(&request) {
            return self.answer(connection, Response::empty(400));
        }
        if self.submissions.len() >= MAX_PENDING_SUBMISSIONS {
            self.counts.rejected += 1;
            return self.answer(connection, Response::retry_after(503, RETRY_AFTER_S));
        }
        let now = self.runtime.net.now();
        let (shortest, longest) = CLIENT_TIMEOUT_RANGE_MS;
        let timeout_ms = request.time_left_ms.unwrap_or(DEFAULT_CLIENT_TIMEOUT_MS).clamp(shortest, longest);
        let submission = PendingSubmission {
            connection,
            message: message_of(request, route, &config, tenant),
            tried_stores: Vec::new(),
            sent_at: now,
            deadline: now + timeout_ms,
            may_be_kept: false,
        };
        let request_id = self.next_request_id();
        self.submit(request_id, submission);
    }

    /// Offers a message to the next store, or answers the client if no store is left.
    fn submit(&mut self, request_id: u64, mut submission: PendingSubmission) {
        let now = self.runtime.net.now();
        match self.choose_store(&submission.tried_stores, &submission.message) {
            Some(store) => {
                submission.tried_stores.push(store);
                submission.sent_at = now;
                self.counts.resubmitted += u64::from(submission.tried_stores.len() > 1);
                let flag = if submission.may_be_kept { RESUBMISSION_FLAG } else { 0 };
                let message = submission.message.clone();
                let frame = Frame::Submit { request_id: request_id | flag, message };
                self.runtime.links.send(&mut self.runtime.net, store, &frame);
                let timeout_at = (now + STORE_SILENCE_LIMIT_MS).min(submission.deadline);
                self.timeouts.insert((timeout_at, request_id));
                self.submissions.insert(request_id, submission);
            }
            // No store has kept the message. A 503 assures the client of that, so that it may safely retry.
            None if !submission.may_be_kept => {
                self.counts.rejected += 1;
                self.answer(submission.connection, Response::retry_after(503, RETRY_AFTER_S));
            }
            None => {
                self.counts.outcome_unknown += 1;
                self.answer(submission.connection, Response::empty(502));
                self.notify_superseded(&submission, None);
            }
        }
    }

    /// Chooses the next store for a message. Responsive stores come before unresponsive ones; among them, stores in the
    /// edge's own zone come before those in its region, and those before others. Equal stores are used in rotation, but
    /// messages with the same ordering key, and those with idempotency keys of the same shard, go to the same store
    /// while it is connected.
    fn choose_store(&mut self, tried: &[Node], message: &Message) -> Option<Node> {
        let shard = message.idempotency_digest().map(IdempotencyDigest::shard);
        if shard.is_some() && tried.len() >= MAX_STORES_FOR_KEY {
            return None;
        }
        let now = self.runtime.net.now();
        let boot = &self.runtime.boot;
        let mut stores: Vec<(bool, ZoneDistance, Node)> = self
            .runtime
            .links
            .peers(NodeRole::Store)
            .filter(|store| !tried.contains(&store.node) && !self.draining_stores.contains(&store.node))
            .filter(|store| !self.is_silent(store.node))
            .map(|store| {
                let since = self.unresponsive_since.get(&store.node);
                let is_penalised = since.is_some_and(|since| now < since + UNRESPONSIVE_PENALTY_MS);
                (is_penalised, boot.distance_to(&store.zone), store.node)
            })
            .collect();
        stores.sort_unstable();
        let (is_penalised, distance, _) = *stores.first()?;
        let mut alike = stores.iter().filter(|store| store.0 == is_penalised).map(|store| store.2);
        if let Some(ordering_key) = &message.ordering_key {
            return preferred_store(ordering_key, alike);
        }
        if let Some(shard) = shard {
            return preferred_store_of_shard(shard, &mut alike);
        }
        let alike = stores.iter().take_while(|store| (store.0, store.1) == (is_penalised, distance)).count();
        self.round_robin = self.round_robin.wrapping_add(1);
        Some(stores[self.round_robin % alike].2)
    }

    /// Whether a store has been silent since it failed to answer. The outcome of a message sent to such a store would
    /// only become unknown.
    fn is_silent(&self, store: Node) -> bool {
        let last_heard_at = self.runtime.links.last_heard_at(store);
        self.unresponsive_since
            .get(&store)
            .is_some_and(|since| last_heard_at.is_none_or(|heard_at| heard_at <= *since))
    }

    /// Notifies all stores which of several copies of a resubmitted message is kept, or that none is. A message with
    /// an idempotency key has at most one copy, which may have been accepted, so the edge sends no notice for it and
    /// leaves it to the stores.
    fn notify_superseded(&mut self, submission: &PendingSubmission, kept: Option<Key>) {
        if submission.message.idempotency_key.is_some() {
            return;
        }
        let now = self.runtime.net.now();
        let message = &submission.message;
        let (message_id, fingerprint) = (message.id.clone(), message.fingerprint());
        let frame = Frame::Superseded { message_id, fingerprint, kept };
        for store in self.runtime.links.nodes_with_role(NodeRole::Store) {
            self.runtime.links.send(&mut self.runtime.net, store, &frame);
        }
        let notices = &mut self.superseded_notices;
        notices.push_back(SupersededNotice { created_at: now, frame });
        let is_expired = |notice: &SupersededNotice| now > notice.created_at + SUPERSEDED_NOTICE_LIFETIME_MS;
        while notices.front().is_some_and(is_expired) || notices.len() > MAX_PENDING_SUBMISSIONS {
            notices.pop_front();
        }
    }

    /// Handles a store's reply to a submission.
    pub(super) fn submission_answered(
        &mut self,
        store: Node,
        request_id: u64,
        result: Result<String, PutError>,
    ) {
        match result {
            Ok(message_id) => self.submission_accepted(request_id, message_id),
            // The quota is the same at every store, so no other store is tried.
            Err(PutError::QuotaExceeded) => self.answer_over_quota(request_id, 429),
            Err(PutError::QuotaUnknown) => self.answer_over_quota(request_id, 503),
            Err(error) => {
                let Some(submission) = self.submissions.get_mut(&request_id) else { return };
                if submission.record_rejection(store, error) == AfterRejection::TryNextStore {
                    self.resubmit(request_id);
                }
            }
        }
    }

    /// Answers that the tenant's quota does not allow a message now. If an earlier store may have accepted the
    /// message, the answer leaves the outcome open.
    fn answer_over_quota(&mut self, request_id: u64, status: u16) {
        let Some(submission) = self.submissions.remove(&request_id) else { return };
        if submission.may_be_kept {
            self.counts.outcome_unknown += 1;
            return self.answer(submission.connection, Response::empty(502));
        }
        self.counts.over_quota += 1;
        self.answer(submission.connection, Response::retry_after(status, RETRY_AFTER_S));
    }

    fn submission_accepted(&mut self, request_id: u64, message_id: String) {
        let Some(submission) = self.submissions.remove(&request_id) else { return };
        self.counts.accepted += 1;
        if submission.tried_stores.len() > 1 {
            self.notify_superseded(&submission, Key::parse(&message_id).map(|location| location.key));
        }
        let headers = vec![("X-Queue-Message-Id", message_id)];
        self.answer(submission.connection, Response { status: 202, headers, ..Response::default() });
    }

    fn resubmit(&mut self, request_id: u64) {
        if let Some(submission) = self.submissions.remove(&request_id) {
            self.submit(request_id, submission);
        }
    }

    /// Offers the messages last sent to a store whose connection was lost to the next store.
    pub(super) fn resubmit_after_loss(&mut self, lost: Node) {
        let submissions = self.submissions.iter();
        let affected = submissions.filter(|(_, submission)| submission.tried_stores.last() == Some(&lost));
        let request_ids: Vec<u64> = affected.map(|(request_id, _)| *request_id).collect();
        for request_id in request_ids {
            if let Some(mut submission) = self.submissions.remove(&request_id) {
                submission.may_be_kept = true;
                self.submit(request_id, submission);
            }
        }
    }

    /// Handles a time-out of a submission: a store that has been heard since the message was sent may get more time;
    /// otherwise the next store is tried.
    pub(super) fn submission_timeout(&mut self, request_id: u64) {
        let now = self.runtime.net.now();
        let Some(submission) = self.submissions.get(&request_id) else { return };
        let (sent_at, deadline) = (submission.sent_at, submission.deadline);
        let store = submission.tried_stores.last().copied();
        let last_heard_at = store.and_then(|store| self.runtime.links.last_heard_at(store));
        let is_heard = last_heard_at.is_some_and(|heard_at| heard_at > sent_at);
        let patience_ms = if is_heard { STORE_REPLY_TIMEOUT_MS } else { STORE_SILENCE_LIMIT_MS };
        if now < deadline && now < sent_at + patience_ms {
            self.timeouts.insert(((sent_at + STORE_REPLY_TIMEOUT_MS).min(deadline), request_id));
            return;
        }
        let Some(mut submission) = self.submissions.remove(&request_id) else { return };
        if let Some(store) = store {
            // A silent store is marked from the time at which the message was sent, so that anything it sends later
            // counts as a sign of life.
            self.unresponsive_since.insert(store, if is_heard { now } else { sent_at });
        }
        submission.may_be_kept = true;
        if now < deadline {
            return self.submit(request_id, submission);
        }
        self.counts.outcome_unknown += 1;
        self.answer(submission.connection, Response::empty(504));
        self.notify_superseded(&submission, None);
    }
}

/// Whether a request has everything that a message needs.
fn is_valid(request: &Request) -> bool {
    let id_length = request.request_id.len();
    let has_valid_url = request.callback_url.as_deref().is_none_or(|url| parse_callback_url(url).is_some());
    let key_length = request.idempotency_key.as_ref().map_or(1, String::len);
    let has_valid_key = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key_length);
    (1..=MAX_REQUEST_ID_BYTES).contains(&id_length) && has_valid_key && has_valid_url
}

/// Authenticates a request on a route. Returns no tenant if the configuration names none or the route is public.
fn authenticate_on<'config>(
    route: &Route,
    config: &'config Config,
    request: &Request,
) -> Result<Option<&'config Tenant>, AuthenticationError> {
    let Some(tenants) = &config.tenants else { return Ok(None) };
    let tenant = authenticate(tenants, request.authorization.as_deref());
    if route.is_public {
        return Ok(tenant.ok());
    }
    tenant.map(Some)
}

fn message_of(request: Request, route: &Route, config: &Config, tenant: Option<&Tenant>) -> Message {
    let ordering_key = request.order_key.filter(|_| route.is_ordered);
    Message {
        id: request.request_id,
        host: request.host,
        method: request.method,
        target: request.target,
        content_type: request.content_type,
        callback_url: request.callback_url.filter(|_| route.allows_callback),
        ordering_key: ordering_key.map(|key| format!("{}\0{key}", route.name)),
        delay_ms: request.delay_ms.unwrap_or(0),
        accepted_at_ms: wall_clock_ms(),
        config_revision: config.revision,
        body: request.body,
        tenant: tenant.map(|tenant| tenant.name.to_string()),
        idempotency_key: request.idempotency_key,
        shard_term: 0,
    }
}
