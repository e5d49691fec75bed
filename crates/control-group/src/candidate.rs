//! Candidate: proposes itself as primary when no primary is heard from, and counts the grants.

use crate::node_state::OnPersisted;
use crate::proposal::Proposal;
use crate::role::Role;
use crate::{ControlGroup, Message, Millis, NodeId, Planted, RoleChange, View};

impl ControlGroup {
    /// Starts a candidacy on a replica that has heard from no primary until its candidacy time, and repeats the proposal of a
    /// node that is already a candidate.
    pub(crate) fn seek_leadership(&mut self, now: Millis) {
        let Some(view) = self.view.clone() else { return };
        if now < self.candidacy_at || self.may_exit || self.departure.is_some() {
            return;
        }
        if let Role::Candidate(proposal) = &self.role {
            let (proposed, by_handover) = (proposal.view.clone(), proposal.by_handover);
            return self.repeat_candidacy(now, &view, proposed, by_handover);
        }
        self.schedule_candidacy(now);
        if now < self.vote_free_at() && self.voted_for != Some(self.settings.node_id) {
            return;
        }
        let may_be_primary = self.has_state || self.planted(Planted::UnfilledCandidate);
        if view.replicas.contains(&self.settings.node_id) && may_be_primary {
            return self.become_candidate(now, false);
        }
        // A node that is no replica may know of a newer membership, but only replicas can become candidates under it, so they
        // are sent the view.
        for replica in view.replicas.clone() {
            self.send(replica, Message::ViewReply { view: Some(view.clone()) });
        }
    }

    /// Repeats a proposal that was lost or whose answer was lost. The same view is proposed again, because it may already have
    /// been granted.
    fn repeat_candidacy(&mut self, now: Millis, view: &View, proposed: View, by_handover: bool) {
        self.candidacy_at = now + self.settings.heartbeat_interval_ms;
        if proposed == *view && self.durable_epoch < proposed.epoch {
            let then = OnPersisted::CountOwnGrant { view: proposed.clone() };
            self.persist_view(proposed.clone(), then);
        }
        self.propose(&proposed, &[], by_handover);
    }

    /// Proposes a view to the other voters. This node grants its own view only once their grants suffice, so a partitioned node
    /// does not raise the epoch.
    fn become_candidate(&mut self, now: Millis, by_handover: bool) {
        let Some(previous) = self.view.clone() else { return };
        // The replicas stay unchanged, including a lost one: it may come back and become a candidate if this node fails.
        let view = View { epoch: previous.epoch + 1, primary: self.settings.node_id, ..previous.clone() };
        self.role = Role::Candidate(Proposal::new(now, view.clone(), previous, by_handover));
        self.candidacy_at = now + self.settings.heartbeat_interval_ms;
        self.role_changed(view.epoch, RoleChange::BecameCandidate);
        self.propose(&view, &[], by_handover);
        self.count_grants(now);
    }

    /// Sends a proposal to the voters of the proposed view, and to the voters of the previous view that the proposal removes.
    pub(crate) fn propose(&mut self, view: &View, previous_voters: &[NodeId], by_handover: bool) {
        let leaving = previous_voters.iter().filter(|voter| !view.voters.contains(voter));
        for voter in view.voters.iter().chain(leaving).copied() {
            self.send(voter, Message::Propose { view: view.clone(), by_handover });
        }
    }

    /// Grants the candidate's own view once the other voters' grants suffice, and makes this node primary once that view is on
    /// its disk.
    pub(crate) fn count_grants(&mut self, now: Millis) {
        let Role::Candidate(proposal) = &self.role else { return };
        let needs_no_others = self.planted(Planted::OwnVoteEnough);
        if !needs_no_others && !proposal.would_be_granted_with(self.settings.node_id) {
            return;
        }
        let is_granted = needs_no_others || proposal.is_granted();
        if is_granted && self.durable_epoch >= proposal.view.epoch {
            self.begin_leadership(now);
            return self.lead(now);
        }
        let view = proposal.view.clone();
        if self.view.as_ref() != Some(&view) {
            self.view = Some(view.clone());
            self.persist_view(view.clone(), OnPersisted::CountOwnGrant { view });
        }
    }

    /// Handles a handover: the primary has stepped down and named this node as its successor.
    pub(crate) fn handover_received(
        &mut self,
        now: Millis,
        from: NodeId,
        epoch: u64,
        is_shutting_down: bool,
    ) {
        let node_id = self.settings.node_id;
        let is_successor = from != node_id
            && self.view.as_ref().is_some_and(|view| {
                view.epoch == epoch && view.primary == from && view.replicas.contains(&node_id)
            });
        if is_successor && self.has_state && !self.may_exit {
            self.departed_primary = Some(from).filter(|_| is_shutting_down);
            self.become_candidate(now, true);
        }
    }
}
