//! Message lookups: the edge asks one store after another until one knows the message.

use super::authentication::{authenticate, AuthenticationError};
use super::pending::{Access, AfterReply, PendingLookup, Requester};
use super::{Edge, STORE_REPLY_TIMEOUT_MS};
use crate::net::{ConnectionId, Millis, Request, Response};
use crate::protocol::{Frame, KnownMessage, MessageStatus, NodeRole};
use stileroute_queue::{Key, KeyLocation, Node};

/// Time limit in ms for asking all stores together about a message; clients wait two seconds for the answer.
const LOOKUP_TIMEOUT_MS: Millis = 1800;
/// Shortest interval in ms between log lines about unknown messages, since clients may ask for any number of ids that
/// never existed.
const UNKNOWN_MESSAGE_LOG_INTERVAL_MS: Millis = 1000;
/// Value of `Retry-After`, in seconds, for a lookup that could not be answered.
const RETRY_AFTER_S: u64 = 1;

impl Edge {
    /// Starts looking up the state or the body of a message for a client.
    pub(super) fn start_lookup(
        &mut self,
        connection: ConnectionId,
        request: &Request,
        message_id: &str,
        include_body: bool,
    ) {
        self.counts.lookups += 1;
        let now = self.runtime.net.now();
        let requester = match self.authenticate_requester(request.authorization.as_deref()) {
            Ok(requester) => requester,
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
        // Stores are popped from the end of the list, so the first to be asked has to be last.
        remaining_stores.reverse();
        let members = self.runtime.session.members.iter();
        let mut stores = members.filter(|member| member.role == NodeRole::Store);
        // The store that accepted the message may have joined so recently that the membership known here lacks it.
        let is_store_missing =
            !connected.contains(&key.origin) || stores.any(|store| !connected.contains(&store.node));
        let lookup = PendingLookup {
            connection,
            requester,
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

    /// Identifies the sender of a lookup by its `Authorization` header. Whether a lookup without a key is answered
    /// depends on the message.
    fn authenticate_requester(&self, authorization: Option<&str>) -> Result<Requester, AuthenticationError> {
        let tenants = self.runtime.config.as_ref().and_then(|config| config.tenants.as_ref());
        let Some(tenants) = tenants else { return Ok(Requester::Anyone) };
        match authenticate(tenants, authorization) {
            Ok(tenant) => Ok(Requester::Tenant(tenant.name.to_string())),
            Err(AuthenticationError::MissingKey) => Ok(Requester::WithoutKey),
            Err(error) => Err(error),
        }
    }

    /// Answers a lookup with what a store knows, because the store has answered or no better answer can come.
    fn answer_known(&mut self, lookup: &PendingLookup, known: KnownMessage) {
        match lookup.requester.access_to(known.tenant.as_deref()) {
            Access::Granted => self.answer(lookup.connection, response_to(known, lookup.include_body)),
            Access::OtherTenant => self.answer(lookup.connection, Response::empty(404)),
            Access::KeyNeeded => self.answer_unauthorized(lookup.connection, AuthenticationError::MissingKey),
        }
    }

    /// The store that was asked is disconnected or silent, so the lookup is inconclusive: this store may know the
    /// message.
    fn handle_missing_reply(&mut self, request_id: u64) {
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

    /// Answers a lookup when no store is left to be asked or its time limit is over.
    fn finish_lookup(&mut self, request_id: u64) {
        let Some(lookup) = self.lookups.remove(&request_id) else { return };
        let is_late = self.runtime.net.now() >= lookup.deadline;
        if let Some(known) = lookup.known_as_pending.clone() {
            return self.answer_known(&lookup, known);
        }
        // A store that does not know a message says so, but a store that could not be asked may know it. A 404 would
        // make the client take an accepted message for lost.
        if lookup.is_inconclusive || is_late {
            self.counts.inconclusive_lookups += 1;
            return self.answer(lookup.connection, Response::retry_after(503, RETRY_AFTER_S));
        }
        self.log_unknown(&lookup);
        self.answer(lookup.connection, Response::empty(404));
    }

    /// Logs a lookup for which every store was asked and none knows the message. The line names the stores asked,
    /// because either one of them should have known the message, or no store ever did.
    fn log_unknown(&mut self, lookup: &PendingLookup) {
        self.counts.unknown_lookups += 1;
        let now = self.runtime.net.now();
        if now < self.next_unknown_log_at {
            return;
        }
        self.next_unknown_log_at = now + UNKNOWN_MESSAGE_LOG_INTERVAL_MS;
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

    /// Handles a store's reply to a lookup.
    pub(super) fn lookup_answered(&mut self, store: Node, request_id: u64, result: Option<KnownMessage>) {
        let Some(lookup) = self.lookups.get_mut(&request_id) else { return };
        match lookup.record_reply(store, result) {
            AfterReply::Answer(known) => {
                if let Some(lookup) = self.lookups.remove(&request_id) {
                    self.answer_known(&lookup, known);
                }
            }
            AfterReply::AskNextStore => self.ask_next_store(request_id),
            AfterReply::KeepWaiting => {}
        }
    }

    /// Moves on to the next store for each lookup that waits for a store whose connection was lost.
    pub(super) fn look_up_after_loss(&mut self, lost: Node) {
        let affected = self.lookups.iter().filter(|(_, lookup)| lookup.asked_store == lost);
        let request_ids: Vec<u64> = affected.map(|(request_id, _)| *request_id).collect();
        request_ids.into_iter().for_each(|request_id| self.handle_missing_reply(request_id));
    }

    /// Handles a time-out of a lookup; it may belong to the store that is being asked now, or to an earlier one.
    pub(super) fn lookup_timeout(&mut self, request_id: u64) {
        let now = self.runtime.net.now();
        let Some(lookup) = self.lookups.get(&request_id) else { return };
        // If neither limit has passed, the time-out belongs to a store asked earlier; the store being asked now has
        // its own.
        if now >= lookup.sent_at + STORE_REPLY_TIMEOUT_MS || now >= lookup.deadline {
            self.handle_missing_reply(request_id);
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
