//! What was sent in a fleet, by the role of the sender, the kind of frame and the distance.

use crate::layout::Distance;
use crate::protocol::NodeRole;
use std::collections::BTreeMap;
use std::ops::AddAssign;

/// Who sends. Executors are no nodes of the system, yet their heartbeats are part of the load of a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// A control node.
    Control,
    /// A store.
    Store,
    /// An edge.
    Edge,
    /// An executor of the operators.
    Executor,
}

impl From<NodeRole> for Role {
    fn from(class: NodeRole) -> Role {
        match class {
            NodeRole::Control => Role::Control,
            NodeRole::Store => Role::Store,
            NodeRole::Edge | NodeRole::CommandLine => Role::Edge,
        }
    }
}

/// How much was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Volume {
    /// How many frames, calls or records.
    pub messages: u64,
    /// How many bytes in all.
    pub bytes: u64,
}

impl AddAssign for Volume {
    fn add_assign(&mut self, other: Volume) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

/// What is counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// Who sent it.
    pub sender: Role,
    /// What it is about: the frame's category.
    pub kind: &'static str,
    /// How far it went.
    pub distance: Distance,
}

/// All that was sent in a span of time.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// What was sent in the whole fleet.
    pub flows: BTreeMap<Flow, Volume>,
    /// What each node sent, by its place in the layout.
    pub sent: Vec<Volume>,
    /// What each node received, by its place in the layout.
    pub received: Vec<Volume>,
}

impl Traffic {
    /// Nothing yet, for so many nodes.
    pub fn new(nodes: usize) -> Traffic {
        let none = vec![Volume::default(); nodes];
        Traffic { flows: BTreeMap::new(), sent: none.clone(), received: none }
    }

    /// Counts one message. `from` and `to` are the nodes at its ends; executors are none.
    pub fn count(&mut self, flow: Flow, bytes: usize, from: Option<usize>, to: Option<usize>) {
        let volume = Volume { messages: 1, bytes: bytes as u64 };
        *self.flows.entry(flow).or_default() += volume;
        if let Some(from) = from {
            self.sent[from] += volume;
        }
        if let Some(to) = to {
            self.received[to] += volume;
        }
    }

    /// All flows together that `is_wanted` accepts.
    pub fn total(&self, is_wanted: impl Fn(&Flow) -> bool) -> Volume {
        let mut total = Volume::default();
        self.flows.iter().filter(|(flow, _)| is_wanted(flow)).for_each(|(_, volume)| total += *volume);
        total
    }

    /// Bytes that a node has sent and received.
    pub fn bytes_at(&self, node: usize) -> u64 {
        self.sent[node].bytes + self.received[node].bytes
    }
}
