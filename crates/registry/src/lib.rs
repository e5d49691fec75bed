//! Tracks which nodes and executors are present, as one control node knows it, and which updates have to be sent to
//! which node.
//!
//! The registry is a state machine without I/O: its inputs are heartbeats, polls, connections and a monotonic clock, its
//! outputs are [`RegistryEffect`]s.
//!
//! - **Executors** send heartbeats to any control node, which forwards them to its peers, so each control node has the
//!   complete executor table. Records are merged by the sequence number of the heartbeat, so a delayed or repeated heartbeat
//!   changes nothing. This is anti-entropy by version, as in Scuttlebutt (van Renesse et al., *Efficient Reconciliation and
//!   Flow Control for Anti-Entropy Protocols*, 2008), over direct connections between all control nodes.
//! - **Nodes** poll one control node and thereby hold a session with it. A store is a member while it has a session with any
//!   control node, and for a short grace period afterwards, because most nodes that disconnect reconnect at once. A connected
//!   control node is a member too; nodes of other roles never are.
//! - **Updates** answer the polls. A node names the version that it has and is answered as soon as there is a newer one, or
//!   after a time-out: a long poll (RFC 6202, section 2).
//!
//! An executor without a heartbeat and a node without a session for longer than a limit are considered offline. There is no
//! separate state of suspicion as in SWIM (Das et al., 2002), but a control node that is partitioned from the others sets no
//! executor offline for missing heartbeats.
//!
//! Nothing is stored on disk. After a start the executor table fills within one heartbeat interval. Until then a node that
//! already has an executor list is not sent a new one, which could be shorter.

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
