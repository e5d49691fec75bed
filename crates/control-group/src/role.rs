//! The role of a node by the newest view that it knows, and what a primary keeps while it leads.

use crate::proposal::Proposal;
use crate::replicated_write::{QueuedRequest, ReplicatedWrite};
use crate::{GroupSettings, Millis, NodeId, View};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A node that was heard, and has been silent for so long, is taken for lost: as a replica or voter it is replaced.
pub(crate) const PEER_SILENCE_LIMIT: Millis = 1000;
/// The same for one that was not heard at all since leadership began, mostly the primary before, and for one whose connection
/// broke.
pub(crate) const PEER_ABSENCE_LIMIT: Millis = 400;

/// What this node is by the newest view that it knows.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// It acknowledges heartbeats, and stores what the primary sends if it is a replica.
    Backup,
    /// It asks the voters to grant a view by which it is primary.
    Candidate(Proposal),
    /// A majority has granted its view.
    Primary(Box<Leadership>),
}

/// What a primary keeps for as long as it leads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leadership {
    /// When the view was granted.
    pub began_at: Millis,
    pub next_heartbeat_at: Millis,
    /// When the last heartbeat was sent that each node has acknowledged.
    pub acked: BTreeMap<NodeId, Millis>,
    /// Nodes that have said that their disk holds no value.
    pub without_state: BTreeSet<NodeId>,
    /// The write under way: one at a time.
    pub write: Option<ReplicatedWrite>,
    /// Requests that wait for the write under way.
    pub queue: VecDeque<QueuedRequest>,
    /// Another membership that is asked for.
    pub membership_change: Option<Proposal>,
    /// When it was last sent.
    pub membership_proposed_at: Millis,
    /// All replicas of this epoch hold the primary's own value.
    pub is_state_replicated: bool,
    /// The process ends, at the latest then.
    pub exit_deadline: Option<Millis>,
    /// Nodes whose processes end.
    pub departing: BTreeSet<NodeId>,
}

impl Leadership {
    /// The membership that is asked for.
    pub fn proposed_view(&self) -> Option<&View> {
        self.membership_change.as_ref().map(|change| &change.view)
    }

    /// Whether this node asks for the view, or did so before it asked for the previous voters again.
    pub fn has_proposed(&self, view: &View) -> bool {
        self.proposed_view().is_some_and(|proposed| {
            proposed == view || (proposed.primary == view.primary && proposed.epoch > view.epoch)
        })
    }

    /// Whether the node has acknowledged nothing for longer than `limit`.
    pub fn is_silent(&self, now: Millis, node: &NodeId, limit: Millis) -> bool {
        match self.acked.get(node) {
            Some(at) => now > at + limit,
            None => now > self.began_at + limit.min(PEER_ABSENCE_LIMIT),
        }
    }

    /// Whether the node has acknowledged a heartbeat, and not long ago.
    pub fn is_alive(&self, now: Millis, node: &NodeId) -> bool {
        self.acked.contains_key(node) && !self.is_silent(now, node, PEER_SILENCE_LIMIT)
    }

    /// When the primary has something to do next.
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
