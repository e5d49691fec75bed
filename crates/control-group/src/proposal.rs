//! A view that is proposed to the voters, and the nodes that have granted it.

use crate::view::is_majority;
use crate::{Millis, NodeId, View};
use std::collections::BTreeSet;

/// A view proposed by a candidate, or by a primary that changes the membership.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub view: View,
    /// The view that the proposed view replaces. A majority of its voters has to grant the proposed view too.
    pub previous: View,
    /// The nodes that have the proposed view on disk.
    pub grants: BTreeSet<NodeId>,
    /// The nodes that have voted for another view of this epoch.
    pub refusals: BTreeSet<NodeId>,
    pub proposed_at: Millis,
    /// Whether the previous primary has stepped down and named this node.
    pub by_handover: bool,
}

impl Proposal {
    pub fn new(proposed_at: Millis, view: View, previous: View, by_handover: bool) -> Proposal {
        Proposal {
            view,
            previous,
            grants: BTreeSet::new(),
            refusals: BTreeSet::new(),
            proposed_at,
            by_handover,
        }
    }

    /// Whether the proposal can no longer succeed, because the voters that have not refused it are no majority.
    pub fn is_lost(&self) -> bool {
        let open = self.view.voters.iter().filter(|voter| !self.refusals.contains(voter));
        !is_majority(&self.view.voters, open)
    }

    /// Whether a majority of the previous voters and a majority of the proposed voters have granted the view.
    pub fn is_granted(&self) -> bool {
        self.has_majorities(None)
    }

    /// Whether the view would be granted if `node` granted it too.
    pub fn would_be_granted_with(&self, node: NodeId) -> bool {
        self.has_majorities(Some(node))
    }

    fn has_majorities(&self, one_more: Option<NodeId>) -> bool {
        let grants = self.grants.iter().chain(one_more.as_ref());
        is_majority(&self.view.voters, grants.clone()) && is_majority(&self.previous.voters, grants)
    }
}
