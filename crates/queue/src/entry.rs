//! What a store knows of one message.

use crate::failure_count::FailureCount;
use crate::idempotency::IdempotencyDigest;
use crate::message::{End, Message, Millis, Node, ReplicatedMessage};
use crate::service_queue::QueuePosition;

/// Where a message stands at this store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Accepted here and not yet on all of its disks: its sender has no answer.
    Persisting,
    /// Owned here, but not started before the stores that hold replicas have said what became of it: it was read from
    /// disk, or offered to a successor.
    Suspended,
    /// Owned here: it waits for its time, or for an executor.
    Waiting,
    /// An attempt started here has not ended.
    InFlight,
    /// Another store owns and delivers it.
    Replica,
    /// It has completed or failed.
    Ended,
}

impl Stage {
    /// The word for this stage in reports and in the labels of metrics.
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

/// The state of a message as its sender may learn it.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageState {
    /// It has not ended.
    Waiting,
    /// It has been processed.
    Complete {
        /// The executor's proof of completion.
        seal: String,
    },
    /// It has failed for good.
    Failed,
}

/// One executor of one service, by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExecutorRef {
    pub service_queue: usize,
    pub executor: usize,
}

/// Where a message waits for an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServiceQueueSlot {
    pub service_queue: usize,
    pub position: QueuePosition,
}

/// Where a message stands among those of the same ordering key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OrderSlot {
    pub ordering_key: String,
    /// Time of day at which the message was accepted, in milliseconds: the first part of the order.
    pub accepted_at_ms: u64,
}

/// Whether a message with an idempotency key was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Acceptance {
    /// It was accepted here, or handed over by the store that had accepted it; or it has no key.
    Certain,
    /// It was read from disk, or taken over: another may have been accepted with its key instead.
    Unchecked,
    /// No other was accepted; it is being written to all its disks in a new term of its shard.
    Reaccepting,
}

/// What ordered delivery needs to know of a message. Flags alone, so that they lie in the padding of [`Entry`], of which a store
/// has very many.
#[derive(Debug, Default)]
pub(crate) struct OrderState {
    /// It has been announced to other stores, which are notified of its end, too.
    pub is_announced: bool,
    /// Enough of the other stores have said which earlier messages they know.
    pub is_confirmed: bool,
    /// It is not persisted before other stores have answered.
    pub awaits_answers: bool,
}

/// One message in the table of a store.
#[derive(Debug)]
pub struct Entry {
    /// The message; without its content where it has ended.
    pub message: Message,
    /// The store that delivers it.
    pub owner: Node,
    /// Rises with each change of owner: of two claims the higher term holds.
    pub term: u32,
    /// Stores that hold, or are to hold, replicas beside the owner.
    pub replicas: Vec<Node>,
    /// Where it stands here.
    pub stage: Stage,
    /// Not started before this time, as its sender asked.
    pub due_at: Millis,
    /// Not started before this time, for backoff or to hear other stores first. Its position in the queue stays that of
    /// `due_at`.
    pub(crate) not_before: Millis,
    /// Its time in the queue's index of delayed messages.
    pub(crate) delayed_until: Option<Millis>,
    /// When it was accepted, on this process's clock: negative if before its start.
    pub(crate) accepted_at: i64,
    /// When it fails for having waited too long.
    pub expires_at: Millis,
    /// Attempts that the executor said had failed; limited by the route.
    pub(crate) failures: FailureCount,
    /// Attempts from here that did not complete, whatever the reason: the exponent of the backoff.
    pub(crate) backoff_steps: u32,
    /// It ran, or may have run: the next attempt is a retry.
    pub(crate) has_run: bool,
    /// Another store may have accepted it too: its edge says which one is kept.
    pub(crate) may_be_duplicated: bool,
    /// The executor where it last ran in vain: a retry goes elsewhere.
    pub(crate) last_failed_on: Option<ExecutorRef>,
    /// How it ended.
    pub end: Option<End>,
    /// It has ended and the receiver of its callback has not acknowledged it.
    pub callback_pending: bool,
    /// Stores, this one among them, that have not confirmed their replica.
    pub(crate) unconfirmed: Vec<Node>,
    /// The `put` to answer once it is persisted.
    pub(crate) ticket: Option<u64>,
    /// Its time in the queue's index of messages that are being persisted.
    pub(crate) persist_check_at: Option<Millis>,
    /// Its time in the queue's index of under-replicated messages.
    pub(crate) repair_at: Option<Millis>,
    /// The owner under which the index of live messages has it.
    pub(crate) indexed_owner: Option<Node>,
    /// Where the index of ordered messages has it; `None` if it has no ordering key or has ended.
    pub(crate) order_slot: Option<Box<OrderSlot>>,
    /// Its part in ordered delivery.
    pub(crate) order: OrderState,
    /// Where it waits for an executor.
    pub(crate) queue_slot: Option<ServiceQueueSlot>,
    /// The digest of its idempotency key, if it has one.
    pub(crate) digest: Option<IdempotencyDigest>,
    /// Whether it was accepted, as far as its idempotency key goes.
    pub(crate) acceptance: Acceptance,
}

impl Entry {
    /// An entry for a message as another store describes it; the caller sets the stage.
    pub(crate) fn from_shared(shared: &ReplicatedMessage, now: Millis) -> Entry {
        Entry {
            message: shared.message.clone(),
            owner: shared.owner,
            term: shared.term,
            replicas: shared.replicas.clone(),
            stage: Stage::Replica,
            due_at: now + shared.due_in_ms,
            not_before: 0,
            delayed_until: None,
            accepted_at: now as i64 - shared.waited_ms as i64,
            expires_at: Millis::MAX,
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
            repair_at: None,
            indexed_owner: None,
            order_slot: None,
            order: OrderState::default(),
            queue_slot: None,
            digest: shared.message.idempotency_digest(),
            acceptance: Acceptance::Certain,
        }
    }

    /// Frees the content of a message that has ended, but for what is still needed: identity and URL for a pending
    /// callback, the body of a failed message, which operators may ask for, the tenant, who alone may ask, and the idempotency key,
    /// for further tries may come.
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

    /// The stores beside `node` that hold it, as far as `node` knows: the replicas, and the owner where that is another.
    pub(crate) fn other_holders(&self, node: Node) -> impl Iterator<Item = Node> + '_ {
        let owner = Some(self.owner).filter(|owner| !self.replicas.contains(owner));
        self.replicas.iter().copied().chain(owner).filter(move |holder| *holder != node)
    }

    /// How long ago it was accepted, in milliseconds.
    pub(crate) fn age_ms(&self, now: Millis) -> u64 {
        (now as i64 - self.accepted_at).max(0) as u64
    }
}
