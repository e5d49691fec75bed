//! Changes of the voters: lost voters are removed and new nodes are added, one change at a time.

use crate::proposal::Proposal;
use crate::role::{Leadership, Role, PEER_ABSENCE_LIMIT, PEER_SILENCE_LIMIT};
use crate::view::is_majority;
use crate::{ControlGroup, Millis, NodeId, Planted, View};

/// The silence in milliseconds after which a voter is considered lost under the fault `GoneStays`.
const FAULTY_SILENCE_LIMIT: Millis = 3_000;

impl ControlGroup {
    /// Removes or adds one voter, if that is needed.
    ///
    /// Only one voter is changed at a time, so that every majority before the change and every majority after it have a node in
    /// common. A voter that has granted a change that never gained enough grants still needs a majority of the voters that it
    /// knows, and so may the other voters.
    pub(super) fn maintain_voters(&mut self, now: Millis, view: &View) {
        let has_committed = self.committed.as_ref().is_some_and(|committed| committed.serial > 0);
        let Role::Primary(leadership) = &self.role else { return };
        if !has_committed || leadership.write.is_some() || !leadership.is_state_replicated {
            return;
        }
        let Some(voters) = self.next_voters(now, leadership, view) else { return };
        if leadership.exit_deadline.is_some() && !self.is_half_replaced(now, leadership, view) {
            return;
        }
        // A proposed change that is never granted blocks all other changes, so it is begun only if majorities of the old and the
        // new voters are present.
        if self.is_majority_present(now, leadership, &voters)
            && self.is_majority_present(now, leadership, &view.voters)
        {
            self.propose_membership(now, View { voters, ..view.clone() });
        }
    }

    fn is_majority_present(&self, now: Millis, leadership: &Leadership, voters: &[NodeId]) -> bool {
        let is_present = |voter: &&NodeId| {
            **voter == self.settings.node_id
                || self.is_present(now, leadership, voter)
                || self.planted(Planted::BlindChange)
        };
        is_majority(voters, voters.iter().filter(is_present))
    }

    /// The voters after the next change; `None` if no change is needed.
    ///
    /// A lost voter is replaced in two consecutive changes. It is removed first, so that the loss of the joining node during its
    /// arrival blocks nothing. Until another node joins, the lost voter is kept, because it may only be restarting. From an even
    /// number of voters, which tolerates no more losses than one voter fewer, it is removed at once.
    fn next_voters(&self, now: Millis, leadership: &Leadership, view: &View) -> Option<Vec<NodeId>> {
        let voters = &view.voters;
        let others = || voters.iter().filter(|voter| **voter != self.settings.node_id);
        let joining = self.joining_voter(now, leadership, view);
        // A replica is removed from the voters only after another node has replaced it as a replica; if none has, that change
        // comes first.
        let lost = others()
            .find(|voter| !view.replicas.contains(voter) && self.is_lost(now, leadership, view, voter));
        if let Some(lost) = lost.filter(|_| joining.is_some() || voters.len().is_multiple_of(2)) {
            let joins_at_once = self.planted(Planted::SwapAtOnce);
            let next = match joining.filter(|_| joins_at_once) {
                Some(joining) => with_voter(voters, joining),
                None => voters.clone(),
            };
            return Some(next.into_iter().filter(|voter| voter != lost).collect());
        }
        // A voter that has just fallen silent may be lost. Until that is known no node joins, or the group would tolerate fewer
        // losses than before.
        let is_any_in_doubt = others().any(|voter| {
            !self.is_present(now, leadership, voter) && !self.is_lost(now, leadership, view, voter)
        });
        joining.filter(|_| !is_any_in_doubt).map(|joining| with_voter(voters, joining))
    }

    /// A learner that may become a voter.
    fn joining_voter(&self, now: Millis, leadership: &Leadership, view: &View) -> Option<NodeId> {
        let may_join = |node: &NodeId| {
            leadership.is_alive(now, node)
                && !view.voters.contains(node)
                && !leadership.departing.contains(node)
                && !self.is_disconnected(node)
        };
        self.learners.iter().copied().find(may_join)
    }

    /// Whether a lost voter was removed and the node that replaces it has not joined yet. The loss of this primary at this
    /// moment would be the second loss.
    pub(super) fn is_half_replaced(&self, now: Millis, leadership: &Leadership, view: &View) -> bool {
        let adds_voter = |next: Vec<NodeId>| next.len() > view.voters.len();
        view.voters.len().is_multiple_of(2) && self.next_voters(now, leadership, view).is_some_and(adds_voter)
    }

    /// Proposes the current voters again, if other voters were proposed and the nodes that would have to grant them are lost.
    ///
    /// This is safe: a node that has granted the other voters needs a majority of them, and that majority has a node in common
    /// with the one that grants this proposal.
    pub(super) fn revert_stuck_voter_change(&mut self, now: Millis, view: &View) {
        let Role::Primary(leadership) = &self.role else { return };
        let is_stuck = |change: &Proposal| {
            change.view.voters != view.voters && now > change.proposed_at + PEER_SILENCE_LIMIT
        };
        if leadership.membership_change.as_ref().is_some_and(is_stuck) && !self.planted(Planted::BlindChange)
        {
            self.propose_membership(now, view.clone());
        }
    }

    /// Whether the node has acknowledged one of the last three heartbeats.
    fn is_present(&self, now: Millis, leadership: &Leadership, node: &NodeId) -> bool {
        leadership.acked.contains_key(node)
            && !leadership.is_silent(now, node, 3 * self.settings.heartbeat_interval_ms)
            && !self.is_disconnected(node)
    }

    /// Whether the node is leaving for good, has exceeded the silence limit, or did not return soon after its connection broke.
    fn is_lost(&self, now: Millis, leadership: &Leadership, view: &View, node: &NodeId) -> bool {
        if self.planted(Planted::GoneStays) {
            let last = leadership.acked.get(node).unwrap_or(&leadership.began_at);
            return now > last + FAULTY_SILENCE_LIMIT;
        }
        let limit = if self.is_disconnected(node) { PEER_ABSENCE_LIMIT } else { PEER_SILENCE_LIMIT };
        Self::is_leaving_for_good(leadership, view, node) || leadership.is_silent(now, node, limit)
    }

    /// Whether the node's process is shutting down and the group does not need it. In an odd group a shutdown is treated as a
    /// restart.
    pub(super) fn is_leaving_for_good(leadership: &Leadership, view: &View, node: &NodeId) -> bool {
        view.voters.len().is_multiple_of(2) && leadership.departing.contains(node)
    }
}

/// The voters including the joining one, sorted by address.
fn with_voter(voters: &[NodeId], joining: NodeId) -> Vec<NodeId> {
    let mut next: Vec<NodeId> = voters.iter().copied().chain([joining]).collect();
    next.sort();
    next
}
