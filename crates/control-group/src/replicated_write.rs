//! Writes of the control state to all replicas, and the queue of requests.

use crate::{ControlState, Effect, Millis, NodeId, StateChange, Verdict};
use std::collections::BTreeSet;

/// How long a request may wait in the queue, in milliseconds.
pub(crate) const QUEUE_TIMEOUT: Millis = 1500;
/// The longest time from the start of a request's write to its answer, in milliseconds.
pub(crate) const WRITE_TIMEOUT: Millis = 2500;

/// A requested change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ChangeRequest {
    /// The ticket of the waiting caller. `None` if the primary makes the change itself, or the caller has been answered.
    pub ticket: Option<u64>,
    pub change: StateChange,
}

impl ChangeRequest {
    pub fn answer(&self, verdict: Verdict) -> Option<Effect> {
        self.ticket.map(|ticket| Effect::Answer { ticket, verdict })
    }
}

/// A write of the control state that has not been stored by all its receivers yet.
#[derive(Clone, Debug)]
pub(crate) struct ReplicatedWrite {
    pub write_id: u64,
    pub state: ControlState,
    /// The request that caused the write. `None` if the write repeats the current control state or sends it to a joining
    /// replica.
    pub request: Option<ChangeRequest>,
    /// The nodes that have not confirmed yet that they have stored the control state.
    pub missing: BTreeSet<NodeId>,
    pub began_at: Millis,
    pub sent_at: Millis,
    /// The replacement to propose once the joining replica has stored the control state.
    pub replacement: Option<ReplicaReplacement>,
}

/// The replacement of lost replicas by another node.
#[derive(Clone, Debug, Hash)]
pub(crate) struct ReplicaReplacement {
    pub joining: NodeId,
    pub lost: Vec<NodeId>,
}

/// Whether a replica may have stored a request's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum WriteProgress {
    NotBegun,
    /// A replica may have stored the change, so it can no longer be answered as not committed.
    Begun,
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub request: ChangeRequest,
    pub queued_at: Millis,
    pub progress: WriteProgress,
}
