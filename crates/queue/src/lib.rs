//! The durable message queue of one store: messages and their replicas, delivery attempts, completion, callbacks and
//! rate limits.
//!
//! The queue is a state machine without I/O: the program feeds in events with the current time and carries out the
//! [`Effect`]s that come out. Sockets, disk access and clocks belong to the program.

mod absence;
mod attempt_outcome;
mod control_contact;
mod duplicates;
mod durability;
mod effect;
mod end_holders;
mod end_replication;
mod end_transfer;
mod entry;
mod entry_table;
mod failure_count;
mod fault_injection;
mod fifo_groups;
mod hashing;
mod idempotency;
mod live_ids;
mod live_index;
mod message;
mod message_encoding;
mod metrics;
mod ordering;
mod outbox;
mod peer;
mod peer_disks;
mod peer_message;
mod pending_writes;
mod planted_fault;
mod queue;
mod record;
mod repair;
mod repair_budget;
mod repair_deadline;
mod repair_queue;
mod repair_settings;
mod replication;
mod retention;
mod retirement;
mod retry_budget;
mod service_queue;
mod settings;
mod state_table;
mod tenant_quotas;
mod token_bucket;
mod under_replicated_ends;

pub use attempt_outcome::AttemptOutcome;
pub use control_contact::ControlContact;
pub use durability::MissingReplicas;
pub use effect::{Effect, KeptFailure};
pub use entry::{Entry, MessageState, Stage};
pub use idempotency::{preferred_store_of_shard, IdempotencyDigest, Shard, ShardTerm, SHARD_COUNT};
pub use message::{End, Key, KeyLocation, Message, Millis, Node, PutError, ReplicatedMessage};
pub use metrics::QueueMetrics;
pub use ordering::preferred_store;
pub use peer_message::{
    AcceptedHandover, ClaimAnswer, EndNotice, EntrySummary, FailureNotice, GroupMessage, GroupPosition,
    HandoverOffer, KeyRange, KnownSubmission, Ownership, PeerMessage, RangeDigest, RecoveryReport,
    TransferredEnd,
};
#[cfg(feature = "planted")]
pub use planted_fault::PlantedFault;
pub use queue::{first_number, MessageView, PeerView, Queue, RateLimitView, ServiceView, StageCounts};
pub use record::Record;
pub use repair_settings::RepairSettings;
pub use retention::Retention;
pub use retirement::RetirementState;
pub use service_queue::{Executor, ExecutorShare, RetryCounts};
pub use settings::{QueueSettings, QuotaBounds, ToleratedLosses};
pub use state_table::{StateTable, StoredEnd, StoredMessage};
