//! The parts of a node's state that several modules share.

use crate::{ControlState, Millis, NodeId, View};
use std::collections::BTreeMap;

/// Whether there is a connection to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Connection {
    Open,
    Broken,
}

/// What a node last heard from, or promised to, a primary or candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LastHeard {
    Heartbeat,
    /// It granted a view, or has just started.
    GrantOrStart,
}

/// A node that sends heartbeats by a view that this node does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct UnknownPrimary {
    pub epoch: u64,
    pub node: NodeId,
}

/// What is done when a record is on disk.
#[derive(Clone, Debug, Hash)]
pub(crate) enum OnPersisted {
    /// Tell the proposer that its view is granted.
    SendGrant { to: NodeId, view: View },
    /// Count this node's own grant of the view that it proposes.
    CountOwnGrant { view: View },
    /// Act by a view that another has proposed.
    ConfirmView { view: View },
    /// Tell the primary that its value is stored.
    SendStored { to: NodeId, epoch: u64, write_id: u64, state: ControlState },
    /// Count this node's own replica.
    CountOwnReplica { write_id: u64 },
    /// The record is written for a restart only.
    Nothing,
}

impl OnPersisted {
    /// The view that is written.
    pub fn view(&self) -> Option<&View> {
        match self {
            OnPersisted::SendGrant { view, .. }
            | OnPersisted::CountOwnGrant { view }
            | OnPersisted::ConfirmView { view } => Some(view),
            _ => None,
        }
    }
}

/// What a node without a view has been told.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViewRecovery {
    pub next_request_at: Millis,
    /// The last view that each node has replied.
    pub replies: BTreeMap<NodeId, View>,
}

impl ViewRecovery {
    pub fn highest_epoch(&self) -> Option<&View> {
        self.replies.values().max_by_key(|view| view.epoch)
    }

    pub fn newest_membership(&self) -> Option<&View> {
        self.replies.values().max_by_key(|view| view.membership_epoch)
    }
}

/// A node that ends, and waits to be removed from the voters.
#[derive(Clone, Debug)]
pub(crate) struct Departure {
    /// It ends then, removed or not.
    pub deadline: Millis,
    pub next_request_at: Millis,
}

impl Departure {
    pub fn new(now: Millis, deadline: Millis) -> Departure {
        Departure { deadline, next_request_at: now }
    }

    pub fn next_tick(&self, now: Millis) -> Millis {
        self.deadline.min(self.next_request_at).max(now + 1)
    }
}
