//! Requests of clients for which an edge asks stores, one after another, and what the stores' answers lead to. No I/O.
//!
//! An answer belongs to its request by the request id. It may come when another store has been asked meanwhile: what it says
//! counts, but only the store that was asked last is waited for.

use crate::net::{ConnectionId, Millis};
use crate::protocol::{KnownMessage, MessageStatus};
use stileroute_queue::{Key, Message, Node, PutError};

/// A message that is offered to stores until one has accepted it.
pub struct PendingSubmission {
    /// The client's connection.
    pub connection: ConnectionId,
    /// The message.
    pub message: Message,
    /// The stores that it was sent to, in that order.
    pub tried_stores: Vec<Node>,
    /// When it was sent to the last of them.
    pub sent_at: Millis,
    /// When the client gives up.
    pub deadline: Millis,
    /// A store that did not say that it rejects it may have it.
    pub may_be_kept: bool,
}

/// What a store's rejection leads to.
#[derive(Debug, PartialEq)]
pub enum AfterRejection {
    /// Another store gets the message.
    TryNextStore,
    /// Another has got it already, and is waited for.
    KeepWaiting,
}

impl PendingSubmission {
    /// A store has not accepted the message.
    pub fn rejected(&mut self, store: Node, error: PutError) -> AfterRejection {
        self.may_be_kept |= error == PutError::Uncertain;
        if self.tried_stores.last() == Some(&store) {
            AfterRejection::TryNextStore
        } else {
            AfterRejection::KeepWaiting
        }
    }
}

/// Who asks what became of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Asker {
    /// The configuration names no tenants: anybody may ask.
    Anyone,
    /// The question came without a key: it is about a message of a public route, or is not answered.
    WithoutKey,
    /// A tenant, which may ask for its own messages, and for those of nobody.
    Tenant(String),
}

/// Whether a question may be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// It may.
    Granted,
    /// It is about a message of another tenant, of which the asker is not to know that it exists.
    OtherTenant,
    /// It needs a key.
    KeyNeeded,
}

impl Asker {
    /// Whether this asker may be told of a message of this tenant.
    pub fn access_to(&self, tenant: Option<&str>) -> Access {
        match (self, tenant) {
            (Asker::Anyone, _) | (_, None) => Access::Granted,
            (Asker::Tenant(own), Some(tenant)) if own == tenant => Access::Granted,
            (Asker::Tenant(_), Some(_)) => Access::OtherTenant,
            (Asker::WithoutKey, Some(_)) => Access::KeyNeeded,
        }
    }
}

/// A client's question what became of a message.
pub struct PendingLookup {
    /// The client's connection.
    pub connection: ConnectionId,
    /// Who asks.
    pub asker: Asker,
    /// The message.
    pub key: Key,
    /// Whether its body is asked for, and not its state.
    pub include_body: bool,
    /// The stores that have not been asked, the next one last.
    pub remaining_stores: Vec<Node>,
    /// The store that was asked last.
    pub asked_store: Node,
    /// When it was asked.
    pub sent_at: Millis,
    /// When the client is answered at the latest.
    pub deadline: Millis,
    /// The stores that have said that they know nothing of it.
    pub stores_without_it: Vec<Node>,
    /// What a store said that has the message as one without an end: any other answer is better.
    pub known_as_pending: Option<KnownMessage>,
    /// A store that may know the message could not be asked, or has not answered.
    pub is_inconclusive: bool,
}

/// What a store's answer leads to.
#[derive(Debug, PartialEq)]
pub enum AfterReply {
    /// This goes to the client.
    Answer(KnownMessage),
    /// Another store is asked.
    AskNextStore,
    /// Another has been asked already, and is waited for.
    KeepWaiting,
}

impl PendingLookup {
    /// A store says what it knows of the message.
    pub fn replied(&mut self, store: Node, result: Option<KnownMessage>) -> AfterReply {
        let next = if self.asked_store == store { AfterReply::AskNextStore } else { AfterReply::KeepWaiting };
        match result {
            // Only the store that accepted the message is believed that it has not ended: others may not have heard of the end.
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
