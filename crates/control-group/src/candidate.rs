//! A candidate's part: proposing itself as primary when none is heard, and counting the grants.

use crate::node_state::OnPersisted;
use crate::proposal::Proposal;
use crate::role::Role;
use crate::{ControlGroup, Message, Millis, NodeId, Planted, RoleChange, View};

impl ControlGroup {
    /// If nobody has been heard for long enough, a replica becomes a candidate, and a candidate proposes its view again.
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
        // Others than the replicas may know of a change of replicas, but only the replicas can be candidates by it.
        for replica in view.replicas.clone() {
            self.send(replica, Message::ViewReply { view: Some(view.clone()) });
        }
    }

    /// A proposal, or its answer, was lost. The same view is proposed again, for it may have been granted.
    fn repeat_candidacy(&mut self, now: Millis, view: &View, proposed: View, by_handover: bool) {
        self.candidacy_at = now + self.settings.heartbeat_interval_ms;
        if proposed == *view && self.durable_epoch < proposed.epoch {
            let then = OnPersisted::CountOwnGrant { view: proposed.clone() };
            self.persist_view(proposed.clone(), then);
        }
        self.propose(&proposed, &[], by_handover);
    }

    /// Asks the others first. This node grants its own view when theirs suffice, so one that is partitioned raises no epochs.
    fn become_candidate(&mut self, now: Millis, by_handover: bool) {
        let Some(previous) = self.view.clone() else { return };
        // The replicas stay as before, a lost one too: it may yet come back and be candidate, should this node end.
        let view = View { epoch: previous.epoch + 1, primary: self.settings.node_id, ..previous.clone() };
        self.role = Role::Candidate(Proposal::new(now, view.clone(), previous, by_handover));
        self.candidacy_at = now + self.settings.heartbeat_interval_ms;
        self.role_changed(view.epoch, RoleChange::BecameCandidate);
        self.propose(&view, &[], by_handover);
        self.count_grants(now);
    }

    /// Sends a proposal to its voters, and to those who vote until it is granted.
    pub(crate) fn propose(&mut self, view: &View, previous_voters: &[NodeId], by_handover: bool) {
        let leaving = previous_voters.iter().filter(|voter| !view.voters.contains(voter));
        for voter in view.voters.iter().chain(leaving).copied() {
            self.send(voter, Message::Propose { view: view.clone(), by_handover });
        }
    }

    /// With enough grants of others a candidate grants its view itself, and with that on disk it is primary.
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

    /// The primary has stepped down and named this node.
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
