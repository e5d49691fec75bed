//! What the system's own processes say to one another, as `postcard` frames.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_queue::{Key, Message, Node, PeerMessage, PutError};
pub use stileroute_registry::{
    ExecutorState, Heartbeat, Member, MembershipUpdate, NodeRole, RetirementProgress,
};

/// A version of the protocol: others are turned away by name.
pub const PROTOCOL: u16 = 1;

/// The first thing said on a connection, by both sides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub protocol: u16,
    pub node: Node,
    pub name: String,
    pub class: NodeRole,
    pub zone: String,
    pub ip: Ipv4Addr,
    /// Another start is another life.
    pub life: u64,
    pub control: Option<SocketAddrV4>,
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
        retiring: RetirementProgress,
    },
    News(MembershipUpdate),
    Put {
        ticket: u64,
        message: Message,
    },
    Taken {
        ticket: u64,
        result: Result<String, PutError>,
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
    PeerMessage(PeerMessage),
    Control(stileroute_control_group::Message),
    /// Between control nodes: the sessions here, and the executors that called.
    Sessions(Vec<Member>),
    Heartbeats(Vec<Heartbeat>),
    /// A call that only the primary can settle.
    Pass {
        ticket: u64,
        call: Passed,
    },
    Settled {
        ticket: u64,
        status: u16,
        #[serde(with = "serde_bytes")]
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
    /// A store is to be emptied: from the control node with its session to the store.
    Retire {
        node: Node,
    },
    /// An edge to all stores: of a message that it offered to several, this one is kept, or none.
    Superseded {
        id: String,
        print: u64,
        kept: Option<Key>,
    },
}

impl Signal {
    /// What it is about, for the counters: which part is of messages, and which is news of the fleet.
    pub fn about(&self) -> &'static str {
        match self {
            Signal::Hello(_) | Signal::Ping => "link",
            Signal::Ask { .. } | Signal::News(_) => "session",
            Signal::Sessions(_) => "sessions",
            Signal::Heartbeats(_) => "executors",
            Signal::Control(_) | Signal::Pass { .. } | Signal::Settled { .. } => "control",
            Signal::Put { .. } | Signal::Taken { .. } => "taking",
            Signal::Find { .. } | Signal::Found { .. } => "asking",
            Signal::Superseded { .. } => "twice",
            Signal::Leaving | Signal::Retire { .. } => "leaving",
            Signal::Report { .. } | Signal::Reported { .. } | Signal::Trace { .. } | Signal::Count { .. } => {
                "operators"
            }
            Signal::PeerMessage(note) => match note {
                PeerMessage::Replicate(_)
                | PeerMessage::Replicated(_)
                | PeerMessage::ReplicationRejected(_) => "copies",
                PeerMessage::Ended(_)
                | PeerMessage::CallbacksDelivered(_)
                | PeerMessage::TransferEnds(_)
                | PeerMessage::EndsStored(_) => "ends",
                PeerMessage::Digests { .. }
                | PeerMessage::DiskId(_)
                | PeerMessage::RangeContents { .. }
                | PeerMessage::Reconciled => "comparing",
                PeerMessage::OwnershipChanged(_)
                | PeerMessage::Drop(_)
                | PeerMessage::LostWithDisk(_)
                | PeerMessage::RequestReplicas(_) => "owners",
                PeerMessage::Handover(_)
                | PeerMessage::HandoverAccepted(_)
                | PeerMessage::HandoverRejected(_) => "handover",
                PeerMessage::GroupQuery { .. }
                | PeerMessage::GroupQueryReply { .. }
                | PeerMessage::GroupMessagesEnded(_) => "rows",
                PeerMessage::RequestTokens { .. } | PeerMessage::GrantTokens { .. } => "tokens",
                PeerMessage::Draining | PeerMessage::Retiring | PeerMessage::NoReplicasNeeded => "leaving",
            },
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::EnumDiscriminants)]
#[strum_discriminants(name(PassedKind), doc = "Which call it is.")]
pub enum Passed {
    Replace {
        version: u64,
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    Read,
    RetireBegin {
        node: String,
    },
    RetireRead {
        node: String,
    },
}

#[cfg(test)]
mod tests;
