//! The durable queue of one store: messages, their replicas, attempts, ends, callbacks and rate limits. A state
//! machine: events and a clock go in, [`Effect`]s come out; sockets, disk and time are the program's.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::struct_excessive_bools, clippy::too_many_lines, missing_docs)]
mod duplicates;
mod end_replication;
mod end_transfer;
mod fault_injection;
mod fifo_groups;
mod live_index;
mod message;
mod ordering;
mod outbox;
mod peer;
mod peer_message;
mod planted_fault;
mod queue;
mod record;
mod repair;
mod repair_budget;
mod repeats;
mod replication;
mod retirement;
mod service_queue;
mod state_table;
mod tokens;

pub use message::{End, Key, KeyLocation, Message, Millis, Node, PutError, ReplicatedMessage};
pub use ordering::preferred_store;
pub use peer_message::{
    AcceptedHandover, EndNotice, EntrySummary, GroupMessage, GroupPosition, HandoverOffer, KeyRange,
    Ownership, PeerMessage, RangeDigest, TransferredEnd,
};
#[cfg(feature = "planted")]
pub use planted_fault::PlantedFault;
pub use queue::{
    first_number, AttemptOutcome, Effect, Entry, MessageState, Queue, QueueMetrics, QueueSettings, Stage,
    ToleratedLosses,
};
pub use queue::{MessageView, ServiceView, StageCounts};
pub use record::Record;
pub use retirement::RetirementState;
pub use service_queue::{Executor, RetryCounts};
pub use state_table::{StateTable, StoredEnd, StoredMessage};
