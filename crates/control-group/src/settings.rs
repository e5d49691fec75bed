//! The settings of one node of a control group.

use crate::{Millis, NodeId, GRACE_PERIOD, LEASE_PERIOD};

/// How often a primary sends heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL: Millis = 200;

/// The settings of one node of a control group. All nodes need the same settings, except for their own address, the first start
/// and the random seed.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// The address of this node.
    pub node_id: NodeId,
    /// The nodes that form the group at its first start; the same list on each of them.
    pub seeds: Vec<NodeId>,
    /// Whether the group starts for the first time: the seeds then compute the first view without an election.
    pub is_first_start: bool,
    /// How many nodes may be lost at once. The group keeps one replica more than that.
    pub tolerated_losses: usize,
    /// Whether the loss of a whole failure domain, with all voters in it, has to be survived. Then the group keeps one replica
    /// more than the number of voters that a majority can lose, so it need not know which nodes share a domain.
    pub survives_domain_loss: bool,
    /// How often a primary sends heartbeats, in milliseconds.
    pub heartbeat_interval_ms: Millis,
    /// How long a primary may act on an acknowledged heartbeat: see [`LEASE_PERIOD`].
    pub lease_period_ms: Millis,
    /// How long a voter's vote stays with a primary: see [`GRACE_PERIOD`].
    pub grace_period_ms: Millis,
    /// The seed of the candidates' random waits and of the first write number. It has to differ between two starts of a node.
    pub random_seed: u64,
    /// The fault that the search in `crates/model-check/` has to find, if there is one.
    #[cfg(feature = "planted")]
    pub planted: Option<crate::Planted>,
}

impl GroupSettings {
    /// The settings of a node in production.
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

    /// How many replicas may be lost in a group with this many voters.
    pub(crate) fn tolerated_replica_losses(&self, voters: usize) -> usize {
        if self.survives_domain_loss {
            self.tolerated_losses.max(voters.saturating_sub(1) / 2)
        } else {
            self.tolerated_losses
        }
    }
}
