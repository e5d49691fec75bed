//! What is about to be sent to another store, gathered into few messages.

use crate::message::{Key, ReplicatedMessage};
use crate::peer_message::{
    AcceptedHandover, EndNotice, FailureNotice, HandoverOffer, Ownership, PeerMessage,
};

/// Entries of one message at the most: frames are bounded.
const MAX_ENTRIES_PER_MESSAGE: usize = 4000;

/// Bytes of replicas in one message at the most, unless a single one is larger.
const MAX_REPLICA_BYTES_PER_MESSAGE: usize = 1 << 20;

/// Estimated bytes of a replica beside its body.
const REPLICA_OVERHEAD_BYTES: usize = 512;

/// What is sent to another store at the end of the turn; ends and callbacks go with the next batch of ends.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Replicas that it is to store.
    pub(crate) replicas: Vec<ReplicatedMessage>,
    /// Replicas of messages with idempotency keys that are about to be accepted here.
    pub(crate) new_replicas: Vec<ReplicatedMessage>,
    /// Replicas of its messages that are on disk here.
    pub(crate) replicated: Vec<Key>,
    /// Replicas of its messages that could not be stored here.
    pub(crate) replication_rejected: Vec<Key>,
    /// Messages that were accepted from it in a handover.
    pub(crate) handover_accepted: Vec<AcceptedHandover>,
    /// Messages that it has offered and that are not known here.
    pub(crate) handover_rejected: Vec<Key>,
    /// Messages that are offered to it in a handover.
    pub(crate) handover_offers: Vec<HandoverOffer>,
    /// Owners that it should know.
    pub(crate) ownership: Vec<Ownership>,
    /// Messages that it is to discard.
    pub(crate) drops: Vec<Key>,
    /// Failed attempts that it should know.
    pub(crate) failures: Vec<FailureNotice>,
    /// Ends that it should know.
    pub(crate) ends: Vec<EndNotice>,
    /// Ends that it has transferred and that are on disk here.
    pub(crate) ends_stored: Vec<Key>,
    /// Messages whose callbacks were delivered.
    pub(crate) callbacks_delivered: Vec<Key>,
}

/// The messages that carry `keys`: one, or none if there are none.
fn message_of<Item>(items: &mut Vec<Item>, message: fn(Vec<Item>) -> PeerMessage) -> Option<PeerMessage> {
    (!items.is_empty()).then(|| message(std::mem::take(items)))
}

/// Takes replicas, in as many messages as their bytes need.
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
    /// Takes the batch of ends and of delivered callbacks.
    pub(crate) fn take_ends(&mut self) -> Vec<PeerMessage> {
        let ends = std::mem::take(&mut self.ends);
        let batches = ends.chunks(MAX_ENTRIES_PER_MESSAGE);
        let mut messages: Vec<PeerMessage> =
            batches.map(|batch| PeerMessage::Ended(batch.to_vec())).collect();
        messages.extend(message_of(&mut self.callbacks_delivered, PeerMessage::CallbacksDelivered));
        messages
    }

    /// Takes everything but the batch of ends, which goes along only where a handover depends on it.
    pub(crate) fn take_messages(&mut self) -> Vec<PeerMessage> {
        let mut messages = batches_of(&mut self.replicas, PeerMessage::Replicate);
        messages.extend(batches_of(&mut self.new_replicas, PeerMessage::ReplicateNew));
        messages.extend(message_of(&mut self.replicated, PeerMessage::Replicated));
        messages.extend(message_of(&mut self.replication_rejected, PeerMessage::ReplicationRejected));
        // After the replicas that they are of.
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
            // Ends first: what has ended must not be run by the new owner.
            messages.extend(message_of(&mut self.ends, PeerMessage::Ended));
            messages.extend(message_of(&mut self.handover_offers, PeerMessage::Handover));
        }
        messages
    }
}
