//! The durable queue of one store: messages, their replicas, attempts, ends, callbacks and rate limits. A state
//! machine: events and a clock go in, [`Effect`]s come out; sockets, disk and time are the program's.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::struct_excessive_bools, clippy::too_many_lines, missing_docs)]
mod attempt_outcome;
mod control_contact;
mod copies;
mod duplicates;
mod effect;
mod ends;
mod entry;
mod message;
mod metrics;
mod ordering;
mod peer_message;
mod pending_writes;
mod planted;
mod queue;
mod record;
mod repair;
mod retire;
mod retry_budget;
mod service_queue;
mod settings;
mod state_table;
mod token_bucket;

pub use attempt_outcome::AttemptOutcome;
pub use control_contact::ControlContact;
pub use effect::Effect;
pub use entry::{Entry, MessageState, Stage};
pub use message::{End, Key, KeyLocation, Message, Millis, Node, PutError, ReplicatedMessage};
pub use metrics::QueueMetrics;
pub use ordering::preferred_store;
pub use peer_message::{
    AcceptedHandover, EndNotice, EntrySummary, GroupMessage, GroupPosition, HandoverOffer, KeyRange,
    Ownership, PeerMessage, RangeDigest, TransferredEnd,
};
#[cfg(feature = "planted")]
pub use planted::PlantedFault;
pub use queue::{first_number, MessageView, PeerView, Queue, RateLimitView, ServiceView, StageCounts};
pub use record::Record;
pub use retire::RetirementState;
pub use service_queue::{Executor, ExecutorShare, RetryCounts};
pub use settings::{QueueSettings, ToleratedLosses};
pub use state_table::{StateTable, StoredEnd, StoredMessage};
