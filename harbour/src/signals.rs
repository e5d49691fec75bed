//! What the system's own processes say to one another, as `postcard` frames.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_hold::{Cargo, Key, Node, Note, Refusal};

/// A version of the protocol: others are turned away by name.
pub const PROTOCOL: u16 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Class {
    Edge,
    Store,
    Core,
    /// The command line, which asks and goes: no node, and no role is told of it.
    Visitor,
}

/// The first thing said on a connection, by both sides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub protocol: u16,
    pub node: Node,
    pub name: String,
    pub class: Class,
    pub zone: String,
    pub ip: Ipv4Addr,
    /// Another start is another life.
    pub life: u64,
    pub control: Option<SocketAddrV4>,
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
pub struct Beat {
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
    pub config: Option<Vec<u8>>,
    pub members: Option<Vec<Member>>,
    pub servers: Vec<Beat>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Found {
    Waiting,
    Complete { seal: String },
    Failed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Signal {
    Hello(Hello),
    Ping,
    /// An edge or a store to its control node: what it has.
    Ask {
        life: u64,
        version: u64,
        config: u64,
    },
    News(News),
    Put {
        ticket: u64,
        cargo: Cargo,
    },
    Taken {
        ticket: u64,
        result: Result<String, Refusal>,
    },
    /// A store takes nothing more.
    Leaving,
    Find {
        ticket: u64,
        key: Key,
        body: bool,
    },
    Found {
        ticket: u64,
        found: Option<(Found, Option<Vec<u8>>)>,
    },
    Note(Note),
    Pilot(stileroute_pilotage::Signal),
    /// Between control nodes: the sessions here, and the executors that called.
    Sessions(Vec<Member>),
    Beats(Vec<Beat>),
    /// A call that only the primary can settle.
    Pass {
        ticket: u64,
        call: Passed,
    },
    Settled {
        ticket: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// For operators: all that this process can say of itself.
    Report {
        ticket: u64,
    },
    Reported {
        ticket: u64,
        text: String,
    },
    /// What is known here of one message, and the counters; both are answered with `Reported`.
    Trace {
        ticket: u64,
        key: Key,
    },
    Count {
        ticket: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Passed {
    Replace { body: Vec<u8> },
    Read,
}
