//! Parts of a node's state that several modules use.

use crate::{ControlState, Millis, NodeId, View};
use std::collections::BTreeMap;

/// The state of the connection to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Connection {
    Open,
    Broken,
}

/// The kind of event that last bound a node's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LastHeard {
    Heartbeat,
    /// The node granted a view, or has just started.
    GrantOrStart,
}

/// A primary that sends heartbeats under a view that this node does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct UnknownPrimary {
    pub epoch: u64,
    pub node: NodeId,
}

/// The action to take when a record is on disk.
#[derive(Clone, Debug, Hash)]
pub(crate) enum OnPersisted {
    /// Tell the proposer that this node has granted its view.
    SendGrant { to: NodeId, view: View },
    /// Count this node's own grant of the view that it proposes.
    CountOwnGrant { view: View },
    /// Act under a view that another node has proposed.
    ConfirmView { view: View },
    /// Tell the primary that its control state is on this node's disk.
    SendStored { to: NodeId, epoch: u64, write_id: u64, state: ControlState },
    /// Count this node as a replica that has stored the primary's write.
    CountOwnReplica { write_id: u64 },
    /// Take no action: the record is only read after a restart.
    Nothing,
}

impl OnPersisted {
    /// The view that is being written to disk, if the record is a view.
    pub fn view(&self) -> Option<&View> {
        match self {
            OnPersisted::SendGrant { view, .. }
            | OnPersisted::CountOwnGrant { view }
            | OnPersisted::ConfirmView { view } => Some(view),
            _ => None,
        }
    }
}

/// The replies that a node without a view has received to its view requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViewRecovery {
    pub next_request_at: Millis,
    /// The last view that each node has sent.
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

/// A shutdown during which this node waits to be removed from the voters.
#[derive(Clone, Debug)]
pub(crate) struct Departure {
    /// The process exits at this time, whether or not the node has been removed.
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
