//! Outbox: items to be sent to another store, collected into few messages.

use crate::message::{Key, ReplicatedMessage};
use crate::peer_message::{
    AcceptedHandover, EndNotice, FailureNotice, HandoverOffer, Ownership, PeerMessage,
};

/// Maximum number of entries in one message, because frames are bounded.
const MAX_ENTRIES_PER_MESSAGE: usize = 4000;

/// Maximum bytes of replicas in one message, unless a single replica is larger.
const MAX_REPLICA_BYTES_PER_MESSAGE: usize = 1 << 20;

/// Estimated size of a replica without its body, in bytes.
const REPLICA_OVERHEAD_BYTES: usize = 512;

/// Items for another store, sent at the end of the turn. Ends and delivered callbacks are sent with the next batch of
/// ends.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Replicas that the other store is to store.
    pub(crate) replicas: Vec<ReplicatedMessage>,
    /// Replicas of messages with idempotency keys that this store is about to accept.
    pub(crate) new_replicas: Vec<ReplicatedMessage>,
    /// Keys of the other store's messages whose replicas are on disk at this store.
    pub(crate) replicated: Vec<Key>,
    /// Keys of the other store's messages whose replicas could not be stored here.
    pub(crate) replication_rejected: Vec<Key>,
    /// Messages that this store accepted from the other store in a handover.
    pub(crate) handover_accepted: Vec<AcceptedHandover>,
    /// Keys of messages that the other store has offered and that this store does not know.
    pub(crate) handover_rejected: Vec<Key>,
    /// Messages offered to the other store in a handover.
    pub(crate) handover_offers: Vec<HandoverOffer>,
    /// Changes of ownership that the other store should know.
    pub(crate) ownership: Vec<Ownership>,
    /// Keys of messages that the other store is to discard.
    pub(crate) drops: Vec<Key>,
    /// Failed attempts that the other store should know.
    pub(crate) failures: Vec<FailureNotice>,
    /// Ends of messages that the other store should know.
    pub(crate) ends: Vec<EndNotice>,
    /// Keys of ended messages that the other store has transferred and whose ends are on disk here.
    pub(crate) ends_stored: Vec<Key>,
    /// Keys of messages whose callbacks were delivered.
    pub(crate) callbacks_delivered: Vec<Key>,
}

/// Takes `items` and wraps them in one message; `None` if there are none.
fn message_of<Item>(items: &mut Vec<Item>, message: fn(Vec<Item>) -> PeerMessage) -> Option<PeerMessage> {
    (!items.is_empty()).then(|| message(std::mem::take(items)))
}

/// Takes replicas and splits them into as many messages as their size requires.
fn batches_of(
    replicas: &mut Vec<ReplicatedMessage>,
    message: fn(Vec<ReplicatedMessage>) -> PeerMessage,
) -> Vec<PeerMessage> {
    let mut messages = Vec::new();
    while !replicas.is_empty() {
        let mut bytes = 0;
        let fits = |replica: &&ReplicatedMessage| {
            bytes += replica.message.body.len() + REPLICA_OVERHEAD_BYTES;
            bytes < MAX_REPLICA_BYTES_PER_MESSAGE
        };
        let count = replicas.iter().take_while(fits).count().max(1);
        messages.push(message(replicas.drain(..count).collect()));
    }
    messages
}

impl Outbox {
    /// Takes the collected ends and delivered callbacks, as messages.
    pub(crate) fn take_ends(&mut self) -> Vec<PeerMessage> {
        let ends = std::mem::take(&mut self.ends);
        let batches = ends.chunks(MAX_ENTRIES_PER_MESSAGE);
        let mut messages: Vec<PeerMessage> =
            batches.map(|batch| PeerMessage::Ended(batch.to_vec())).collect();
        messages.extend(message_of(&mut self.callbacks_delivered, PeerMessage::CallbacksDelivered));
        messages
    }

    /// Takes everything except the ends, which are included only if a handover depends on them.
    pub(crate) fn take_messages(&mut self) -> Vec<PeerMessage> {
        let mut messages = batches_of(&mut self.replicas, PeerMessage::Replicate);
        messages.extend(batches_of(&mut self.new_replicas, PeerMessage::ReplicateNew));
        messages.extend(message_of(&mut self.replicated, PeerMessage::Replicated));
        messages.extend(message_of(&mut self.replication_rejected, PeerMessage::ReplicationRejected));
        // Notices of failed attempts are sent after the replicas to which they refer.
        let failures = std::mem::take(&mut self.failures);
        let batches = failures.chunks(MAX_ENTRIES_PER_MESSAGE);
        messages.extend(batches.map(|batch| PeerMessage::AttemptsFailed(batch.to_vec())));
        messages.extend(message_of(&mut self.drops, PeerMessage::Drop));
        let ownership = std::mem::take(&mut self.ownership);
        let batches = ownership.chunks(MAX_ENTRIES_PER_MESSAGE);
        messages.extend(batches.map(|batch| PeerMessage::OwnershipChanged(batch.to_vec())));
        messages.extend(message_of(&mut self.ends_stored, PeerMessage::EndsStored));
        messages.extend(message_of(&mut self.handover_rejected, PeerMessage::HandoverRejected));
        messages.extend(message_of(&mut self.handover_accepted, PeerMessage::HandoverAccepted));
        if !self.handover_offers.is_empty() {
            // Ends are sent before handover offers, so that the new owner does not run a message that has ended.
            messages.extend(message_of(&mut self.ends, PeerMessage::Ended));
            messages.extend(message_of(&mut self.handover_offers, PeerMessage::Handover));
        }
        messages
    }
}
