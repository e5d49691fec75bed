//! A write of the control state to all replicas, and the requests that wait for their turn.

use crate::{ControlState, Effect, Millis, NodeId, StateChange, Verdict};
use std::collections::BTreeSet;

/// How long a request waits for its turn.
pub(crate) const QUEUE_TIMEOUT: Millis = 1500;
/// How long after its turn came a request is answered at the latest.
pub(crate) const WRITE_TIMEOUT: Millis = 2500;

/// A change that was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ChangeRequest {
    /// Who waits for the answer. None: the primary makes the change by itself, or the answer was given.
    pub ticket: Option<u64>,
    pub change: StateChange,
}

impl ChangeRequest {
    pub fn answer(&self, verdict: Verdict) -> Option<Effect> {
        self.ticket.map(|ticket| Effect::Answer { ticket, verdict })
    }
}

/// A write under way.
#[derive(Clone, Debug)]
pub(crate) struct ReplicatedWrite {
    pub write_id: u64,
    pub state: ControlState,
    /// None where the present value is stored again, or a node is filled.
    pub request: Option<ChangeRequest>,
    /// They have not said yet that they have stored it.
    pub missing: BTreeSet<NodeId>,
    pub began_at: Millis,
    pub sent_at: Millis,
    /// What to do when the node that is filled has it.
    pub replacement: Option<ReplicaReplacement>,
}

/// A node becomes a replica in the place of others.
#[derive(Clone, Debug, Hash)]
pub(crate) struct ReplicaReplacement {
    pub joining: NodeId,
    pub lost: Vec<NodeId>,
}

/// Whether a replica may have stored the change of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum WriteProgress {
    NotBegun,
    /// It cannot be answered any more that the change was not made.
    Begun,
}

/// A request that waits for its turn.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub request: ChangeRequest,
    pub queued_at: Millis,
    pub progress: WriteProgress,
}
