//! The view: who is primary, which nodes are replicas, and who votes.

use serde::{Deserialize, Serialize};

/// A control node, named by its control address.
pub type NodeId = std::net::SocketAddrV4;

/// What a majority of voters agrees on; the only thing that is voted for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// Rises with each view that is proposed. A voter grants an epoch to one candidate at most.
    pub epoch: u64,
    /// The only node that writes while this view is the newest.
    pub primary: NodeId,
    /// The nodes that store the control state. A write is acknowledged when all of them have it on disk.
    pub replicas: Vec<NodeId>,
    /// The nodes whose majority grants views and renews the lease.
    pub voters: Vec<NodeId>,
    /// The epoch in which a primary chose these replicas and voters.
    ///
    /// A candidate takes them over unchanged. Before it acts it has them granted again under its own epoch, so that a node
    /// that knows only an older membership is not voted for any more.
    pub membership_epoch: u64,
}

/// Whether more than half of `voters` are among `nodes`.
pub(crate) fn is_majority<'a>(voters: &[NodeId], nodes: impl Iterator<Item = &'a NodeId> + Clone) -> bool {
    let present = voters.iter().filter(|voter| nodes.clone().any(|node| node == *voter));
    present.count() * 2 > voters.len()
}
