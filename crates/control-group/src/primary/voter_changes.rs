//! Changes of the voters: a node that is lost is removed, and one that comes is added, one change at a time.

use crate::proposal::Proposal;
use crate::role::{Leadership, Role, PEER_ABSENCE_LIMIT, PEER_SILENCE_LIMIT};
use crate::view::is_majority;
use crate::{ControlGroup, Millis, NodeId, Planted, View};

/// By the fault `GoneStays` a voter is taken for lost after so long, and not sooner.
const FAULTY_SILENCE_LIMIT: Millis = 3_000;

impl ControlGroup {
    /// Removes or adds one voter, if that is called for.
    ///
    /// One at a time, so that any majority of before and any of after have a node in common: a voter that has granted a change
    /// which was never granted by enough still needs a majority of the voters that it knows, and so may the others.
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
        // A change that is proposed and never granted holds up everything: it is not begun without both majorities in sight.
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

    /// The voters by the next change; none if the voters are as they should be.
    ///
    /// A lost voter is replaced in two changes, one right after the other. It is removed first: so the loss of the node that
    /// comes, as it comes, holds nothing up. While none comes it stays, for it may only be restarting; but from an even number
    /// of voters, which tolerates no more losses than one voter less, it is removed at once.
    fn next_voters(&self, now: Millis, leadership: &Leadership, view: &View) -> Option<Vec<NodeId>> {
        let voters = &view.voters;
        let others = || voters.iter().filter(|voter| **voter != self.settings.node_id);
        let joining = self.joining_voter(now, leadership, view);
        // A replica is removed only when another was filled in its place; where there is none yet, that comes first.
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
        // A voter that has just fallen silent may be lost: until that is known none joins, or the group would tolerate less
        // than before.
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

    /// Whether a lost voter was removed, and the node that comes in its place is yet to join: the end of this primary now would
    /// be the second loss.
    pub(super) fn is_half_replaced(&self, now: Millis, leadership: &Leadership, view: &View) -> bool {
        let adds_voter = |next: Vec<NodeId>| next.len() > view.voters.len();
        view.voters.len().is_multiple_of(2) && self.next_voters(now, leadership, view).is_some_and(adds_voter)
    }

    /// Proposes the present voters again, if others were proposed and those who would have to grant them are lost.
    ///
    /// A node that has granted the other voters needs a majority of them, and that has a node in common with the majority that
    /// grants this.
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

    /// Whether the node leaves for good, has been silent for long, or its connection broke and it was not back soon.
    fn is_lost(&self, now: Millis, leadership: &Leadership, view: &View, node: &NodeId) -> bool {
        if self.planted(Planted::GoneStays) {
            let last = leadership.acked.get(node).unwrap_or(&leadership.began_at);
            return now > last + FAULTY_SILENCE_LIMIT;
        }
        let limit = if self.is_disconnected(node) { PEER_ABSENCE_LIMIT } else { PEER_SILENCE_LIMIT };
        Self::is_leaving_for_good(leadership, view, node) || leadership.is_silent(now, node, limit)
    }

    /// Whether the node's process ends and the group does not need it. In an odd group an end is taken for a restart.
    pub(super) fn is_leaving_for_good(leadership: &Leadership, view: &View, node: &NodeId) -> bool {
        view.voters.len().is_multiple_of(2) && leadership.departing.contains(node)
    }
}

/// In the order of addresses.
fn with_voter(voters: &[NodeId], joining: NodeId) -> Vec<NodeId> {
    let mut next: Vec<NodeId> = voters.iter().copied().chain([joining]).collect();
    next.sort();
    next
}
