//! Client requests for which an edge asks one store after another, and what follows from each store's reply. This
//! module does no I/O.
//! A reply belongs to the request whose id it carries. A reply that arrives after another store has been asked still
//! counts, but the edge waits only for the store asked last.

use crate::net::{ConnectionId, Millis};
use crate::protocol::{KnownMessage, MessageStatus};
use stileroute_queue::{Key, Message, Node, PutError};

/// A message that is offered to one store after another until one accepts it.
pub struct PendingSubmission {
    /// The connection of the client that submitted the message.
    pub connection: ConnectionId,
    /// The submitted message.
    pub message: Message,
    /// The stores that the message was sent to, in that order.
    pub tried_stores: Vec<Node>,
    /// When the message was sent to the last store in `tried_stores`.
    pub sent_at: Millis,
    /// When the client stops waiting for an answer.
    pub deadline: Millis,
    /// Whether a store that did not reject the message may have kept it.
    pub may_be_kept: bool,
}

/// The next step after a store has rejected a message.
#[derive(Debug, PartialEq)]
pub enum AfterRejection {
    /// The message is offered to another store.
    TryNextStore,
    /// The message has already been offered to another store, whose reply is awaited.
    KeepWaiting,
}

impl PendingSubmission {
    /// Records that a store rejected the message, and returns the next step.
    pub fn record_rejection(&mut self, store: Node, error: PutError) -> AfterRejection {
        self.may_be_kept |= error == PutError::Uncertain;
        if self.tried_stores.last() == Some(&store) {
            AfterRejection::TryNextStore
        } else {
            AfterRejection::KeepWaiting
        }
    }
}

/// The sender of a lookup.
#[derive(Clone, Debug, PartialEq)]
pub enum Requester {
    /// The configuration names no tenants, so anyone may look up any message.
    Anyone,
    /// The lookup carries no key, so it is answered only for a message of a public route.
    WithoutKey,
    /// A tenant, which may look up its own messages and those that belong to no tenant.
    Tenant(String),
}

/// Whether a lookup may be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// The lookup may be answered.
    Granted,
    /// The message belongs to another tenant, so the sender of the lookup must not learn that it exists.
    OtherTenant,
    /// The lookup needs a tenant key.
    KeyNeeded,
}

impl Requester {
    /// Decides whether this sender may look up a message of the given tenant.
    pub fn access_to(&self, tenant: Option<&str>) -> Access {
        match (self, tenant) {
            (Requester::Anyone, _) | (_, None) => Access::Granted,
            (Requester::Tenant(own), Some(tenant)) if own == tenant => Access::Granted,
            (Requester::Tenant(_), Some(_)) => Access::OtherTenant,
            (Requester::WithoutKey, Some(_)) => Access::KeyNeeded,
        }
    }
}

/// A lookup that a client waits for.
pub struct PendingLookup {
    /// The connection of the client that sent the lookup.
    pub connection: ConnectionId,
    /// The sender of the lookup.
    pub requester: Requester,
    /// The key of the message to look up.
    pub key: Key,
    /// Whether the client asks for the body of the message instead of its state.
    pub include_body: bool,
    /// The stores that have not been asked yet; the next store to ask is last.
    pub remaining_stores: Vec<Node>,
    /// The store that was asked last.
    pub asked_store: Node,
    /// When the store in `asked_store` was asked.
    pub sent_at: Millis,
    /// When the client has to be answered at the latest.
    pub deadline: Millis,
    /// The stores that have replied that they do not know the message.
    pub stores_without_it: Vec<Node>,
    /// The reply of a store that knows the message as pending. Any other reply is preferred to it.
    pub known_as_pending: Option<KnownMessage>,
    /// Whether a store that may know the message could not be asked or has not replied.
    pub is_inconclusive: bool,
}

/// The next step after a store's reply to a lookup.
#[derive(Debug, PartialEq)]
pub enum AfterReply {
    /// The client is answered with what the store knows.
    Answer(KnownMessage),
    /// The lookup goes to another store.
    AskNextStore,
    /// Another store has already been asked, and its reply is awaited.
    KeepWaiting,
}

impl PendingLookup {
    /// Records a store's reply to the lookup, and returns the next step.
    pub fn record_reply(&mut self, store: Node, result: Option<KnownMessage>) -> AfterReply {
        let next = if self.asked_store == store { AfterReply::AskNextStore } else { AfterReply::KeepWaiting };
        match result {
            // Only the store that accepted a message is a reliable source for its pending state: other stores may not
            // have been notified of its end.
            Some(known @ KnownMessage { status: MessageStatus::Pending, .. }) if store != self.key.origin => {
                self.known_as_pending = Some(known);
                next
            }
            Some(known) => AfterReply::Answer(known),
            None => {
                self.stores_without_it.push(store);
                next
            }
        }
    }
}

#[cfg(test)]
mod tests;
