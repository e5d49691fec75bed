//! What became of a message: one store after another is asked until one knows it.

use super::authentication::{authenticate, AuthenticationError};
use super::pending::{Access, AfterReply, Asker, PendingLookup};
use super::{Edge, STORE_REPLY_TIMEOUT_MS};
use crate::net::{ConnectionId, Millis, Request, Response};
use crate::protocol::{Frame, KnownMessage, MessageStatus, NodeRole};
use stileroute_queue::{Key, KeyLocation, Node};

/// For all stores together, in ms: a client waits two seconds.
const LOOKUP_TIMEOUT_MS: Millis = 1800;
/// Lookups that find nothing are logged no more often, in ms: clients may ask for what never was.
const UNKNOWN_LOG_INTERVAL_MS: Millis = 1000;
/// A client whose question could not be answered may come back after so long.
const RETRY_AFTER_S: u64 = 1;

impl Edge {
    /// A client asks for the state of a message, or for its body.
    pub(super) fn start_lookup(
        &mut self,
        connection: ConnectionId,
        request: &Request,
        message_id: &str,
        include_body: bool,
    ) {
        self.counts.lookups += 1;
        let now = self.runtime.net.now();
        let asker = match self.asker(request.authorization.as_deref()) {
            Ok(asker) => asker,
            Err(error) => return self.answer_unauthorized(connection, error),
        };
        let Some(KeyLocation { key, stores: likely_stores }) = Key::parse(message_id) else {
            return self.answer(connection, Response::empty(404));
        };
        let connected = self.runtime.links.nodes_with_role(NodeRole::Store);
        let mut remaining_stores: Vec<Node> =
            likely_stores.into_iter().filter(|store| connected.contains(store)).collect();
        let others: Vec<Node> =
            connected.iter().filter(|store| !remaining_stores.contains(store)).copied().collect();
        remaining_stores.extend(others);
        remaining_stores.dedup();
        // The next one is taken from the end.
        remaining_stores.reverse();
        let members = self.runtime.session.members.iter();
        let mut stores = members.filter(|member| member.role == NodeRole::Store);
        // The store that accepted the message may be so new that it is no member here yet.
        let is_store_missing =
            !connected.contains(&key.origin) || stores.any(|store| !connected.contains(&store.node));
        let lookup = PendingLookup {
            connection,
            asker,
            key,
            include_body,
            remaining_stores,
            asked_store: 0,
            sent_at: now,
            deadline: now + LOOKUP_TIMEOUT_MS,
            stores_without_it: Vec::new(),
            known_as_pending: None,
            is_inconclusive: is_store_missing,
        };
        let request_id = self.next_request_id();
        self.lookups.insert(request_id, lookup);
        self.ask_next_store(request_id);
    }

    /// Who asks, by the request's `Authorization`. Without a key it depends on the message whether there is an answer.
    fn asker(&self, authorization: Option<&str>) -> Result<Asker, AuthenticationError> {
        let tenants = self.runtime.config.as_ref().and_then(|config| config.tenants.as_ref());
        let Some(tenants) = tenants else { return Ok(Asker::Anyone) };
        match authenticate(tenants, authorization) {
            Ok(tenant) => Ok(Asker::Tenant(tenant.name.to_string())),
            Err(AuthenticationError::MissingKey) => Ok(Asker::WithoutKey),
            Err(error) => Err(error),
        }
    }

    /// A store has answered, or nothing better will come.
    fn answer_known(&mut self, lookup: &PendingLookup, known: KnownMessage) {
        match lookup.asker.access_to(known.tenant.as_deref()) {
            Access::Granted => self.answer(lookup.connection, response_to(known, lookup.include_body)),
            Access::OtherTenant => self.answer(lookup.connection, Response::empty(404)),
            Access::KeyNeeded => self.answer_unauthorized(lookup.connection, AuthenticationError::MissingKey),
        }
    }

    /// The store that was asked is gone or silent: it may know the message.
    fn store_gave_no_answer(&mut self, request_id: u64) {
        if let Some(lookup) = self.lookups.get_mut(&request_id) {
            lookup.is_inconclusive = true;
        }
        self.ask_next_store(request_id);
    }

    fn ask_next_store(&mut self, request_id: u64) {
        let now = self.runtime.net.now();
        let Some(lookup) = self.lookups.get_mut(&request_id) else { return };
        let Some(store) = lookup.remaining_stores.pop().filter(|_| now < lookup.deadline) else {
            return self.finish_lookup(request_id);
        };
        (lookup.asked_store, lookup.sent_at) = (store, now);
        let frame = Frame::Lookup { request_id, key: lookup.key, include_body: lookup.include_body };
        self.timeouts.insert((now + STORE_REPLY_TIMEOUT_MS, request_id));
        if !self.runtime.links.send(&mut self.runtime.net, store, &frame) {
            self.ask_next_store(request_id);
        }
    }

    /// No store is left to be asked, or there is no more time.
    fn finish_lookup(&mut self, request_id: u64) {
        let Some(lookup) = self.lookups.remove(&request_id) else { return };
        let is_late = self.runtime.net.now() >= lookup.deadline;
        if let Some(known) = lookup.known_as_pending.clone() {
            return self.answer_known(&lookup, known);
        }
        // A store that knows nothing of a message says so. One that could not be asked may know it: with a 404, an accepted message would
        // be taken for lost.
        if lookup.is_inconclusive || is_late {
            self.counts.inconclusive_lookups += 1;
            return self.answer(lookup.connection, Response::retry_after(503, RETRY_AFTER_S));
        }
        self.log_unknown(&lookup);
        self.answer(lookup.connection, Response::empty(404));
    }

    /// Every store was asked, and none knows the message. Those that were asked stand in the log: a store that should have known it
    /// is among them, or none ever did.
    fn log_unknown(&mut self, lookup: &PendingLookup) {
        self.counts.unknown_lookups += 1;
        let now = self.runtime.net.now();
        if now < self.next_unknown_log_at {
            return;
        }
        self.next_unknown_log_at = now + UNKNOWN_LOG_INTERVAL_MS;
        let asked: Vec<String> =
            lookup.stores_without_it.iter().map(|store| self.runtime.node_name(*store)).collect();
        let origin = self.runtime.node_name(lookup.key.origin);
        let (number, so_far) = (lookup.key.number, self.counts.unknown_lookups);
        tracing::info!(
            origin,
            number = format!("{number:x}"),
            ?asked,
            so_far,
            "no store knows a message that was asked for"
        );
    }

    /// A store says what it knows of a message.
    pub(super) fn lookup_answered(&mut self, store: Node, request_id: u64, result: Option<KnownMessage>) {
        let Some(lookup) = self.lookups.get_mut(&request_id) else { return };
        match lookup.replied(store, result) {
            AfterReply::Answer(known) => {
                if let Some(lookup) = self.lookups.remove(&request_id) {
                    self.answer_known(&lookup, known);
                }
            }
            AfterReply::AskNextStore => self.ask_next_store(request_id),
            AfterReply::KeepWaiting => {}
        }
    }

    /// A store is gone: what it was asked last, the next one is asked.
    pub(super) fn look_up_after_loss(&mut self, lost: Node) {
        let affected = self.lookups.iter().filter(|(_, lookup)| lookup.asked_store == lost);
        let request_ids: Vec<u64> = affected.map(|(request_id, _)| *request_id).collect();
        request_ids.into_iter().for_each(|request_id| self.store_gave_no_answer(request_id));
    }

    /// A time-out of a lookup is over: perhaps the one of the store that is asked now.
    pub(super) fn lookup_timeout(&mut self, request_id: u64) {
        let now = self.runtime.net.now();
        let Some(lookup) = self.lookups.get(&request_id) else { return };
        // Otherwise it is the time-out of a store that was asked before: the one that is asked now has its own.
        if now >= lookup.sent_at + STORE_REPLY_TIMEOUT_MS || now >= lookup.deadline {
            self.store_gave_no_answer(request_id);
        }
    }
}

fn response_to(known: KnownMessage, include_body: bool) -> Response {
    if include_body {
        return match known.body {
            Some(body) => Response { status: 200, body, ..Response::default() },
            None => Response::empty(404),
        };
    }
    let object = match known.status {
        MessageStatus::Pending => jzon::object! { "state" => "waiting" },
        MessageStatus::Complete { seal } => jzon::object! { "state" => "complete", "seal" => seal },
        MessageStatus::Failed => jzon::object! { "state" => "failed" },
    };
    Response::json(200, object.dump())
}
