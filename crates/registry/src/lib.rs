//! Which nodes and executors are present, as one control node knows it, and which changes have to be sent to whom.
//!
//! A state machine without I/O: heartbeats, polls, connections and a monotonic clock go in, [`RegistryEffect`]s come out.
//!
//! - **Executors** send heartbeats to any control node, which passes them on to its peers: each control node has the whole
//!   table. Records are merged by the sequence number of the heartbeat, so a late or repeated one changes nothing. This is
//!   anti-entropy by version, as in Scuttlebutt (van Renesse et al., *Efficient Reconciliation and Flow Control for
//!   Anti-Entropy Protocols*, 2008), over direct connections between all control nodes.
//! - **Nodes** poll one control node and thereby hold a session with it. A node is a member while it has a session with any
//!   control node, and for a short grace period afterwards, because most that disconnect are back at once.
//! - **Updates** answer the polls. A node names the version that it has and is answered as soon as there is a newer one, or
//!   after a time-out: a long poll (RFC 6202, section 2).
//!
//! An executor or node that is silent for too long is considered offline; there is no separate state of suspicion as in SWIM
//! (Das et al., 2002), but a control node that is partitioned from the others declares nobody offline.
//!
//! Nothing is kept on disk. After a start the table fills within one interval of heartbeats, and until then no node that has a
//! list is sent a shorter one.

mod effect;
mod executors;
mod group_contact;
mod membership;
mod messages;
mod polls;
mod registry;
mod version;

pub use effect::RegistryEffect;
pub use executors::{ExecutorRecord, FINAL_SEQUENCE, HEARTBEAT_GOSSIP_INTERVAL, HOLDER_REFRESH_INTERVAL};
pub use group_contact::GroupContact;
pub use membership::{Session, SESSION_GRACE};
pub use messages::{
    ExecutorState, Heartbeat, Member, MembershipUpdate, Millis, NodeId, NodeRole, RetirementState,
};
pub use polls::{LONG_POLL_TIMEOUT, PARTITIONED_POLL_TIMEOUT};
pub use registry::{CommittedConfig, Registry};
