//! The role of a node under the newest view that it knows, and the state of a primary during its leadership.

use crate::proposal::Proposal;
use crate::replicated_write::{QueuedRequest, ReplicatedWrite};
use crate::{GroupSettings, Millis, NodeId, View};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long in milliseconds a replica or voter may be silent, after it has acknowledged a heartbeat, before it is considered
/// lost and is replaced.
pub(crate) const PEER_SILENCE_LIMIT: Millis = 1000;
/// The silence limit in milliseconds for a node that has not acknowledged any heartbeat since the leadership began (usually the
/// previous primary), and for one whose connection broke.
pub(crate) const PEER_ABSENCE_LIMIT: Millis = 400;

/// The role of this node under the newest view that it knows.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// The node acknowledges heartbeats and, if it is a replica, stores the control states that the primary sends.
    Backup,
    /// The node asks the voters to grant a view in which it is the primary.
    Candidate(Proposal),
    /// A majority has granted the node's view.
    Primary(Box<Leadership>),
}

/// The state that a primary keeps during its leadership.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leadership {
    /// When the primary's view was granted.
    pub began_at: Millis,
    pub next_heartbeat_at: Millis,
    /// For each node, when the last heartbeat that it has acknowledged was sent.
    pub acked: BTreeMap<NodeId, Millis>,
    /// The nodes that have reported that there is no control state on their disk.
    pub without_state: BTreeSet<NodeId>,
    /// The write under way; there is at most one at a time.
    pub write: Option<ReplicatedWrite>,
    /// The requests that wait for the write under way.
    pub queue: VecDeque<QueuedRequest>,
    /// The proposed change of replicas or voters, if there is one.
    pub membership_change: Option<Proposal>,
    /// When the membership change was last sent to the voters.
    pub membership_proposed_at: Millis,
    /// Whether all replicas of this epoch hold the primary's own control state.
    pub is_state_replicated: bool,
    /// The latest time at which the process exits; set when a shutdown was requested.
    pub exit_deadline: Option<Millis>,
    /// The nodes whose processes are shutting down.
    pub departing: BTreeSet<NodeId>,
}

impl Leadership {
    /// The view of the membership change that is proposed, if there is one.
    pub fn proposed_view(&self) -> Option<&View> {
        self.membership_change.as_ref().map(|change| &change.view)
    }

    /// Whether this node is proposing the view, or proposed it before it proposed the previous voters again.
    pub fn has_proposed(&self, view: &View) -> bool {
        self.proposed_view().is_some_and(|proposed| {
            proposed == view || (proposed.primary == view.primary && proposed.epoch > view.epoch)
        })
    }

    /// Whether the node has acknowledged no heartbeat for longer than `limit`.
    pub fn is_silent(&self, now: Millis, node: &NodeId, limit: Millis) -> bool {
        match self.acked.get(node) {
            Some(at) => now > at + limit,
            None => now > self.began_at + limit.min(PEER_ABSENCE_LIMIT),
        }
    }

    /// Whether the node has acknowledged a heartbeat within the silence limit.
    pub fn is_alive(&self, now: Millis, node: &NodeId) -> bool {
        self.acked.contains_key(node) && !self.is_silent(now, node, PEER_SILENCE_LIMIT)
    }

    /// When the primary next has work to do.
    pub fn next_tick(&self, now: Millis, settings: &GroupSettings) -> Millis {
        let is_busy = self.write.is_some()
            || !self.queue.is_empty()
            || self.membership_change.is_some()
            || self.exit_deadline.is_some();
        let poll_at = now + settings.heartbeat_interval_ms / 4;
        let due = if is_busy { self.next_heartbeat_at.min(poll_at) } else { self.next_heartbeat_at };
        due.max(now + 1)
    }
}
