//! A view that is proposed to the voters, and who has granted it.

use crate::view::is_majority;
use crate::{Millis, NodeId, View};
use std::collections::BTreeSet;

/// A view that a candidate, or a primary that changes the membership, has proposed.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub view: View,
    /// The view that it takes the place of: a majority of its voters has to grant the new one too.
    pub previous: View,
    /// Nodes that have it on their disk.
    pub grants: BTreeSet<NodeId>,
    /// Nodes that have given their vote in this epoch to another.
    pub refusals: BTreeSet<NodeId>,
    pub proposed_at: Millis,
    /// The primary before has stepped down and named this node.
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

    /// Whether those who have not refused it are no majority.
    pub fn is_lost(&self) -> bool {
        let open = self.view.voters.iter().filter(|voter| !self.refusals.contains(voter));
        !is_majority(&self.view.voters, open)
    }

    /// Whether a majority of the present voters and one of the proposed voters has granted it.
    pub fn is_granted(&self) -> bool {
        self.has_majorities(None)
    }

    /// The same, if `node` granted it too.
    pub fn would_be_granted_with(&self, node: NodeId) -> bool {
        self.has_majorities(Some(node))
    }

    fn has_majorities(&self, one_more: Option<NodeId>) -> bool {
        let grants = self.grants.iter().chain(one_more.as_ref());
        is_majority(&self.view.voters, grants.clone()) && is_majority(&self.previous.voters, grants)
    }
}
