//! The messages and identifiers that control nodes, other nodes and executors exchange about who is present.
//!
//! Everything here that is `Serialize` travels as postcard, which encodes by the order of fields and variants: never reorder,
//! add or remove one. Only a frame's last field may be added, if it can be absent: earlier releases don't read it.
//! `tests/wire_bytes.rs` fixes the bytes.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A point or span of time in milliseconds; points are on the monotonic clock of this process.
pub type Millis = u64;

/// Identifies a node by a hash of its name.
pub type NodeId = u32;

/// What a process of the system does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum NodeRole {
    /// Accepts clients' requests and hands them to stores.
    Edge,
    /// Keeps messages and delivers them to executors; it alone is sent the list of executors.
    Store,
    /// Keeps the configuration and this registry.
    #[strum(serialize = "core")]
    Control,
    /// The operators' command line: it connects, requests a report and disconnects, and never becomes a member.
    #[strum(serialize = "visitor")]
    CommandLine,
}

/// A node that is present, as it described itself when its session began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The node's identifier.
    pub node: NodeId,
    /// The name in the node's settings file.
    pub name: String,
    /// What the node does.
    pub role: NodeRole,
    /// The failure domain that the node runs in.
    pub zone: String,
    /// The address of its machine.
    pub ip: Ipv4Addr,
    /// Distinguishes this start of the node's process from earlier and later ones; 0 in a membership list.
    pub incarnation: u64,
    /// Where a control node takes heartbeats and operators' calls; `None` for other roles.
    pub control_address: Option<SocketAddrV4>,
    /// The version of the configuration that the node has; 0 in a membership list, or if it has none.
    pub config_version: u64,
    /// How far the node's retirement has come.
    pub retirement: RetirementState,
}

/// How far a store has come in handing its messages to others, after operators ordered its retirement. It never goes back:
/// the greater of two reports is the newer one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "lowercase")]
pub enum RetirementState {
    /// No retirement is ordered, or the store does not know of it yet.
    #[default]
    #[strum(serialize = "no")]
    NotRetiring,
    /// The store is handing over its messages.
    #[strum(serialize = "rolling")]
    Draining,
    /// The store holds nothing any more and may be switched off.
    Complete,
}

/// Whether an executor takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum ExecutorState {
    /// It takes new work.
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It deregistered, missed its heartbeats for too long, or another executor registered at its address.
    #[strum(serialize = "gone")]
    Offline,
}

/// What an executor reports of itself with each heartbeat, and what nodes are sent about it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Unique to one start of the executor.
    pub id: String,
    /// The service that it executes requests of.
    pub backend: String,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// The failure domain that it runs in.
    pub zone: String,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// Whether it takes work.
    pub state: ExecutorState,
    /// For so long from now it is still warming up, and is to get less work (slow start).
    pub warmup_left_ms: u64,
    /// Rises with each heartbeat of this executor, so that a delayed or repeated one is recognised.
    pub sequence: u64,
    /// How long ago the executor sent it; 0 as it arrives.
    pub age_ms: u64,
}

/// The answer to a node's poll: what changed since the version that it named.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// The control node's incarnation, to which `version` belongs: another process counts from the start.
    pub incarnation: u64,
    /// What to name in the next poll.
    pub version: u64,
    /// The control node does not hear the primary: its view may be stale, and the node should poll another. All else is empty.
    pub is_partitioned: bool,
    /// `executors` is the full list and replaces the one before; otherwise it holds only those that changed.
    pub is_complete: bool,
    /// The bytes of the configuration in force, if it is newer than the node's.
    #[serde(with = "serde_bytes")]
    pub config: Option<Vec<u8>>,
    /// All members, if there was any change among them.
    pub members: Option<Vec<Member>>,
    /// Executors; empty for nodes that are not stores.
    pub executors: Vec<Heartbeat>,
    /// How long ago the control node last knew that it is not cut off from the others, in milliseconds. Control nodes of earlier
    /// releases don't say: then 0.
    #[serde(deserialize_with = "zero_if_absent")]
    pub contact_age_ms: u64,
}

/// Reads the last field of a frame, which earlier releases don't send.
fn zero_if_absent<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    Ok(u64::deserialize(deserializer).unwrap_or_default())
}
