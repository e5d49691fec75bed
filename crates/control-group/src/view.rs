//! The view: the primary, the replicas and the voters.

use serde::{Deserialize, Serialize};

/// A control node, identified by its control address.
pub type NodeId = std::net::SocketAddrV4;

/// The state that a majority of voters agrees on; nothing else is voted on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// The number of the view; it rises with each view that is proposed. A voter grants an epoch to at most one candidate.
    pub epoch: u64,
    /// The only node that writes the control state while this view is the newest.
    pub primary: NodeId,
    /// The nodes that store the control state. A write is acknowledged once all of them have it on disk.
    pub replicas: Vec<NodeId>,
    /// The nodes of which a majority grants views and renews the lease.
    pub voters: Vec<NodeId>,
    /// The epoch in which a primary chose these replicas and voters.
    ///
    /// A candidate takes the replicas and voters over unchanged. Before it acts as primary it has them granted again under its
    /// own epoch, so that a node that knows only an older membership no longer gets votes.
    pub membership_epoch: u64,
}

/// Whether more than half of `voters` are among `nodes`.
pub(crate) fn is_majority<'a>(voters: &[NodeId], nodes: impl Iterator<Item = &'a NodeId> + Clone) -> bool {
    let present = voters.iter().filter(|voter| nodes.clone().any(|node| node == *voter));
    present.count() * 2 > voters.len()
}
