//! The plain types.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Milliseconds on the steady clock of this process.
pub type Millis = u64;
/// A node of the system, by a hash of its name.
pub type Node = u32;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Class {
    Edge,
    Store,
    Core,
    /// The command line, which asks and goes: no node, and no role is told of it.
    Visitor,
}

/// A node that is there, as its session tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    pub node: Node,
    pub name: String,
    pub class: Class,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub life: u64,
    pub control: Option<SocketAddrV4>,
    /// The version of the configuration that it has.
    pub config: u64,
    pub retiring: Retiring,
}

/// Whether a store is to be emptied, and whether it is empty.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "lowercase")]
pub enum Retiring {
    #[default]
    No,
    Rolling,
    Complete,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Standing {
    Serving,
    Draining,
    /// It said so, or was silent for too long, or another took its address.
    Gone,
}

/// An executor, as it told of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub id: String,
    pub backend: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub capacity: u32,
    pub standing: Standing,
    pub cold_left_ms: u64,
    /// Rises with each call: an older one is late.
    pub call_count: u64,
    /// How long ago it called.
    pub age_ms: u64,
}

/// What a node is told when it asks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Of the control node, in this life of it: others count anew.
    pub life: u64,
    pub version: u64,
    /// The control node hears no primary: what it knows may be old, and another is to be asked.
    pub cut_off: bool,
    /// The list is whole, not only what has changed.
    pub whole: bool,
    #[serde(with = "serde_bytes")]
    pub config: Option<Vec<u8>>,
    pub members: Option<Vec<Member>>,
    pub servers: Vec<Heartbeat>,
}
