//! Messages and identifiers that control nodes, other nodes and executors exchange about the nodes and
//! executors that are present.
//!
//! Every `Serialize` type in this module is sent as postcard, which encodes fields and variants by position:
//! never reorder, add or remove one. The only exception is a new last field of a frame that may be absent,
//! because earlier releases do not send or read it. `tests/wire_bytes.rs` checks the encoded bytes.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A point in time or a duration, in milliseconds. Points in time are on the monotonic clock of this process.
pub type Millis = u64;

/// Identifies a node by a hash of its name.
pub type NodeId = u32;

/// The role of a process in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum NodeRole {
    /// Accepts requests from clients and forwards them to stores.
    Edge,
    /// Stores messages and delivers them to executors. It is the only role that is sent the executor table.
    Store,
    /// Stores the configuration and runs this registry.
    #[strum(serialize = "core")]
    Control,
    /// The operators' command line. It connects, requests a report and disconnects, and never becomes a member.
    #[strum(serialize = "visitor")]
    CommandLine,
}

/// A node that is present, as it described itself in its latest poll or connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The node's identifier.
    pub node: NodeId,
    /// The name in the node's settings file.
    pub name: String,
    /// The node's role.
    pub role: NodeRole,
    /// The failure domain in which the node runs.
    pub zone: String,
    /// The IP address of the node's machine.
    pub ip: Ipv4Addr,
    /// Distinguishes this start of the node's process from earlier and later ones; 0 in a member list.
    pub incarnation: u64,
    /// The address at which a control node accepts heartbeats and operators' requests; `None` for other roles.
    pub control_address: Option<SocketAddrV4>,
    /// The version of the configuration that the node has; 0 if it has none, and always 0 in a member list.
    pub config_version: u64,
    /// The progress of the node's retirement.
    pub retirement: RetirementState,
}

/// How far a store has handed over its messages to other stores after operators ordered its retirement. The
/// state never goes back, so the greater of two reported states is the newer one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "lowercase")]
pub enum RetirementState {
    /// No retirement is ordered, or the store does not know of it yet.
    #[default]
    #[strum(serialize = "no")]
    NotRetiring,
    /// The store is handing over its messages to other stores.
    #[strum(serialize = "rolling")]
    Draining,
    /// The store has no messages left and may be switched off.
    Complete,
}

/// Whether an executor accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum ExecutorState {
    /// The executor accepts new requests.
    Serving,
    /// The executor finishes its current requests and accepts no new ones.
    Draining,
    /// The executor deregistered, its heartbeat time-out passed, or another executor registered at its address.
    #[strum(serialize = "gone")]
    Offline,
}

/// The state that an executor reports in each heartbeat; control nodes forward it to their peers and to stores.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identifier that is unique to one start of the executor.
    pub id: String,
    /// The service whose requests the executor handles.
    pub backend: String,
    /// The address at which the executor accepts requests.
    pub address: SocketAddrV4,
    /// The failure domain in which the executor runs.
    pub zone: String,
    /// The number of requests that the executor handles at the same time.
    pub capacity: u32,
    /// Whether the executor accepts requests.
    pub state: ExecutorState,
    /// Remaining warm-up time in milliseconds, during which the executor should get fewer requests (slow
    /// start).
    pub warmup_left_ms: u64,
    /// Sequence number that increases with each heartbeat of the executor, so that a delayed or repeated
    /// heartbeat is recognised.
    pub sequence: u64,
    /// Milliseconds since the executor sent this heartbeat; 0 on arrival from the executor.
    pub age_ms: u64,
}

/// The answer to a node's poll: everything that has changed since the version that the poll named.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// The incarnation of the control node that counts `version`. Each process counts its versions from the
    /// start, so versions of different incarnations cannot be compared.
    pub incarnation: u64,
    /// The version for the node to name in its next poll.
    pub version: u64,
    /// The control node does not hear the primary, so its view may be stale and the node should poll another
    /// control node. All other fields are empty.
    pub is_partitioned: bool,
    /// Whether `executors` is the complete list, which replaces the node's previous one; otherwise it holds
    /// only executors that have changed.
    pub is_complete: bool,
    /// The encoded configuration in force, if it is newer than the node's.
    #[serde(with = "serde_bytes")]
    pub config: Option<Vec<u8>>,
    /// The complete member list, if it has changed.
    pub members: Option<Vec<Member>>,
    /// Executors that are new or changed; empty for nodes that are not stores.
    pub executors: Vec<Heartbeat>,
    /// Milliseconds since the control node last knew that it was not partitioned from the other control nodes;
    /// 0 if absent, because control nodes of earlier releases do not send it.
    #[serde(deserialize_with = "zero_if_absent")]
    pub contact_age_ms: u64,
}

/// Reads the last field of a frame as 0 if it is absent, because earlier releases do not send it.
fn zero_if_absent<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    Ok(u64::deserialize(deserializer).unwrap_or_default())
}
