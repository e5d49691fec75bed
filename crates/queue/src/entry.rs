//! The entry of one message in the table of a store.

use crate::failure_count::FailureCount;
use crate::idempotency::IdempotencyDigest;
use crate::message::{End, Message, Millis, Node, ReplicatedMessage};
use crate::service_queue::QueuePosition;

/// Processing stage of a message at this store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Accepted by this store but not yet on all of its disks; the sender has no answer yet.
    Persisting,
    /// Owned by this store, but not started before the stores that hold replicas have reported its state: it was read
    /// from disk, or offered to a successor.
    Suspended,
    /// Owned by this store, and waiting for its due time or for an executor.
    Waiting,
    /// An attempt that this store started has not ended.
    InFlight,
    /// Another store owns and delivers the message; this store holds a replica.
    Replica,
    /// The message has completed or failed.
    Ended,
}

impl Stage {
    /// Label of this stage in reports and in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Stage::Persisting => "landing",
            Stage::Suspended => "held",
            Stage::Waiting => "waiting",
            Stage::InFlight => "out",
            Stage::Replica => "copy",
            Stage::Ended => "ended",
        }
    }
}

/// The state of a message, as reported to its sender.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageState {
    /// The message has not ended.
    Waiting,
    /// An executor has processed the message.
    Complete {
        /// The executor's proof that it completed the message.
        seal: String,
    },
    /// The message has failed permanently.
    Failed,
}

/// One executor of one service, identified by the index of the service queue and the index of the executor within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExecutorRef {
    pub service_queue: usize,
    pub executor: usize,
}

/// Position of a message that waits for an executor: the service queue and the place in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServiceQueueSlot {
    pub service_queue: usize,
    pub position: QueuePosition,
}

/// Position of a message among the messages with the same ordering key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OrderSlot {
    pub ordering_key: String,
    /// Time of day at which the message was accepted, in milliseconds since 1970. The order goes by this time first.
    pub accepted_at_ms: u64,
}

/// Whether a message with an idempotency key is known to be the accepted one for that key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Acceptance {
    /// The message was accepted here or handed over by the store that had accepted it, or it has no idempotency key.
    Certain,
    /// The message was read from disk or taken over; another message may have been accepted with its key instead.
    Unchecked,
    /// No other message was accepted with this key. The message is being written to all its disks in a new term of its
    /// shard.
    Reaccepting,
}

/// Flags of a message for ordered delivery. They are plain booleans so that they fit into the padding of [`Entry`], of
/// which a store holds very many.
#[derive(Debug, Default)]
pub(crate) struct OrderState {
    /// The message was announced to other stores, which are therefore notified of its end.
    pub is_announced: bool,
    /// Enough of the other stores have reported which earlier messages of the group they know.
    pub is_confirmed: bool,
    /// The message is not persisted before other stores have answered the group query.
    pub awaits_answers: bool,
}

/// One message in the table of a store, with its delivery state.
#[derive(Debug)]
pub struct Entry {
    /// The message. Most of its content is discarded when it has ended.
    pub message: Message,
    /// The store that delivers the message.
    pub owner: Node,
    /// Term of the ownership, raised with each change of owner. Of two claims the one with the higher term is valid.
    pub term: u32,
    /// Stores other than the owner that hold, or are to hold, replicas of the message.
    pub replicas: Vec<Node>,
    /// Processing stage of the message at this store.
    pub stage: Stage,
    /// Earliest start of the message, as requested by its sender.
    pub due_at: Millis,
    /// Earliest start of the next attempt, set for backoff or to wait for reports of other stores. The position in the
    /// queue is still determined by `due_at`.
    pub(crate) not_before: Millis,
    /// Time under which the message is entered in the queue's index of delayed messages.
    pub(crate) delayed_until: Option<Millis>,
    /// Time of acceptance on this process's steady clock, in milliseconds; negative if before the start of the process.
    pub(crate) accepted_at: i64,
    /// Time at which the message fails because it has waited too long; `Millis::MAX` while its route is not known.
    pub expires_at: Millis,
    /// Time under which the message is entered in the queue's index of messages to be removed; `Millis::MAX` if it is
    /// not.
    pub(crate) forget_at: Millis,
    /// Attempts that the executor reported as failed. The route limits their number.
    pub(crate) failures: FailureCount,
    /// Number of attempts by this store that did not complete, for whatever reason. It is the exponent of the backoff.
    pub(crate) backoff_steps: u32,
    /// The message ran, or may have run, so that the next attempt is a retry.
    pub(crate) has_run: bool,
    /// Another store may have accepted the message too; the edge decides which copy is kept.
    pub(crate) may_be_duplicated: bool,
    /// The executor on which the message last ran without completing. A retry avoids it.
    pub(crate) last_failed_on: Option<ExecutorRef>,
    /// How the message ended, or `None` while it has not ended.
    pub end: Option<End>,
    /// The message has ended, and the receiver of its callback has not acknowledged it.
    pub callback_pending: bool,
    /// Stores that have not confirmed their replica of the message, possibly including this store.
    pub(crate) unconfirmed: Vec<Node>,
    /// Ticket of the `put` call that is answered once the message is persisted.
    pub(crate) ticket: Option<u64>,
    /// Time under which the message is entered in the queue's index of messages being persisted.
    pub(crate) persist_check_at: Option<Millis>,
    /// The owner under which the message is entered in the index of live messages.
    pub(crate) indexed_owner: Option<Node>,
    /// Position of the message in the index of ordered messages; `None` if it has no ordering key or has ended.
    pub(crate) order_slot: Option<Box<OrderSlot>>,
    /// State of the message in ordered delivery.
    pub(crate) order: OrderState,
    /// Position at which the message waits for an executor; `None` while it does not wait for one.
    pub(crate) queue_slot: Option<ServiceQueueSlot>,
    /// Digest of the message's idempotency key, if it has one.
    pub(crate) digest: Option<IdempotencyDigest>,
    /// Whether the message is known to be the accepted one for its idempotency key.
    pub(crate) acceptance: Acceptance,
}

impl Entry {
    /// Creates an entry for a message that another store describes; the caller sets the stage.
    pub(crate) fn from_shared(shared: &ReplicatedMessage, now: Millis) -> Entry {
        Entry {
            message: shared.message.clone(),
            owner: shared.owner,
            term: shared.term,
            replicas: shared.replicas.clone(),
            stage: Stage::Replica,
            due_at: now.saturating_add(shared.due_in_ms),
            not_before: 0,
            delayed_until: None,
            accepted_at: now as i64 - shared.waited_ms as i64,
            expires_at: Millis::MAX,
            forget_at: Millis::MAX,
            failures: FailureCount::at_least(shared.attempts),
            backoff_steps: 0,
            has_run: shared.attempts > 0,
            may_be_duplicated: false,
            last_failed_on: None,
            end: None,
            callback_pending: false,
            unconfirmed: Vec::new(),
            ticket: None,
            persist_check_at: None,
            indexed_owner: None,
            order_slot: None,
            order: OrderState::default(),
            queue_slot: None,
            digest: shared.message.idempotency_digest(),
            acceptance: Acceptance::Certain,
        }
    }

    /// Frees the content of a message that has ended, except what is still needed: the id and URL for a pending
    /// callback, the body of a failed message, which operators may request, the tenant, which alone may look the
    /// message up, and the idempotency key, because more submissions with the same key may arrive.
    pub(crate) fn discard_content(&mut self) {
        self.failures.discard_readers();
        let mut message = std::mem::take(&mut self.message);
        let (tenant, idempotency_key) = (message.tenant.take(), message.idempotency_key.take());
        if self.callback_pending {
            self.message =
                Message { id: message.id, callback_url: message.callback_url, ..Message::default() };
        }
        if matches!(self.end, Some(End::Failed)) {
            (self.message.body, self.message.accepted_at_ms) = (message.body, message.accepted_at_ms);
        }
        (self.message.tenant, self.message.idempotency_key) = (tenant, idempotency_key);
    }

    /// The stores other than `node` that hold the message, as far as `node` knows: the stores with replicas, and the
    /// owner if it is another store.
    pub(crate) fn other_holders(&self, node: Node) -> impl Iterator<Item = Node> + '_ {
        let owner = Some(self.owner).filter(|owner| !self.replicas.contains(owner));
        self.replicas.iter().copied().chain(owner).filter(move |holder| *holder != node)
    }

    /// Time since the message was accepted, in milliseconds.
    pub(crate) fn age_ms(&self, now: Millis) -> u64 {
        (now as i64 - self.accepted_at).max(0) as u64
    }
}
