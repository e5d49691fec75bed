//! What was sent, by the sender's role, by kind of message and by how far it went.

use crate::layout::Distance;
use crate::protocol::NodeRole;
use std::collections::BTreeMap;
use std::ops::AddAssign;

/// Who sends; executors are no nodes of the system, yet their calls are part of what a control node bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    Control,
    Store,
    Edge,
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

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Volume {
    pub messages: u64,
    pub bytes: u64,
}

impl AddAssign for Volume {
    fn add_assign(&mut self, other: Volume) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    pub sender: Role,
    pub kind: &'static str,
    pub distance: Distance,
}

/// All that was sent in a span of time, and what each node sent and received.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    pub flows: BTreeMap<Flow, Volume>,
    pub sent: Vec<Volume>,
    pub received: Vec<Volume>,
}

impl Traffic {
    pub fn new(nodes: usize) -> Traffic {
        let none = vec![Volume::default(); nodes];
        Traffic { flows: BTreeMap::new(), sent: none.clone(), received: none }
    }

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

    pub fn total(&self, wanted: impl Fn(&Flow) -> bool) -> Volume {
        let mut total = Volume::default();
        self.flows.iter().filter(|(flow, _)| wanted(flow)).for_each(|(_, volume)| total += *volume);
        total
    }

    /// Bytes in and out of one node.
    pub fn bytes_at(&self, node: usize) -> u64 {
        self.sent[node].bytes + self.received[node].bytes
    }
}
