//! The settings of one node of a control group.

use crate::{Millis, NodeId, GRACE_PERIOD, LEASE_PERIOD};

/// How often a primary sends heartbeats.
const HEARTBEAT_INTERVAL: Millis = 200;

/// The settings of one node of a control group. All nodes need the same, but for their own address, the first start and the
/// random seed.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// This node.
    pub node_id: NodeId,
    /// The nodes that form the group at its first start, the same on each of them.
    pub seeds: Vec<NodeId>,
    /// The group starts for the first time: the seeds compute the first view, and elect nobody.
    pub is_first_start: bool,
    /// How many nodes may be lost at once: one replica more than that is kept.
    pub tolerated_losses: usize,
    /// Whole failure domains may be lost, with every voter in them: then as many replicas are kept as a majority may lose,
    /// and one more. For that it need not be known which nodes are in one domain.
    pub survives_domain_loss: bool,
    /// How often a primary sends heartbeats.
    pub heartbeat_interval_ms: Millis,
    /// How long a primary may act on an acknowledged heartbeat: see [`LEASE_PERIOD`].
    pub lease_period_ms: Millis,
    /// How long a voter keeps its vote to a primary: see [`GRACE_PERIOD`].
    pub grace_period_ms: Millis,
    /// For the random waits of candidates, and the start of the write numbers. Has to differ between two starts of a node.
    pub random_seed: u64,
    /// A fault for the search in `crates/model-check/` to find.
    #[cfg(feature = "planted")]
    pub planted: Option<crate::Planted>,
}

impl GroupSettings {
    /// The settings of a node in service.
    pub fn new(
        node_id: NodeId,
        seeds: Vec<NodeId>,
        is_first_start: bool,
        tolerated_losses: usize,
        random_seed: u64,
    ) -> GroupSettings {
        GroupSettings {
            node_id,
            seeds,
            is_first_start,
            tolerated_losses,
            survives_domain_loss: false,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL,
            lease_period_ms: LEASE_PERIOD,
            grace_period_ms: GRACE_PERIOD,
            random_seed,
            #[cfg(feature = "planted")]
            planted: None,
        }
    }

    /// How many replicas may be lost among so many voters.
    pub(crate) fn tolerated_replica_losses(&self, voters: usize) -> usize {
        if self.survives_domain_loss {
            self.tolerated_losses.max(voters.saturating_sub(1) / 2)
        } else {
            self.tolerated_losses
        }
    }
}
