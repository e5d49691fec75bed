//! Voter: decides which proposed views to grant, and which views of other nodes to adopt.

use crate::node_state::{LastHeard, OnPersisted};
use crate::role::Role;
use crate::{ControlGroup, Message, Millis, NodeId, Planted, View};

impl ControlGroup {
    /// When this node's vote is free. Before that it may belong to the primary that was last heard from, or to one that an
    /// earlier incarnation of this process acknowledged.
    pub(crate) fn vote_free_at(&self) -> Millis {
        self.heard_at.max(self.started_at) + self.settings.grace_period_ms
    }

    /// Whether this node reserves its vote in this epoch for itself. For one grace period other voters may still grant its own
    /// view.
    fn is_candidate_for(&self, now: Millis, epoch: u64) -> bool {
        let Role::Candidate(proposal) = &self.role else { return false };
        epoch <= proposal.view.epoch
            && now < proposal.proposed_at + self.settings.grace_period_ms
            && !proposal.is_lost()
    }

    pub(crate) fn denied(&mut self, now: Millis, from: NodeId, view: View) {
        if let Role::Candidate(proposal) = &mut self.role {
            if view.epoch == proposal.view.epoch && view != proposal.view {
                proposal.refusals.insert(from);
            }
        }
        self.adopt(now, view);
    }

    /// Handles the proposal of a view by a candidate, or by a primary that changes the membership.
    pub(crate) fn proposed(&mut self, now: Millis, from: NodeId, view: View, by_handover: bool) {
        if from != view.primary {
            return;
        }
        let Some(own) = self.view.clone() else { return };
        let is_vote_free = self.is_vote_free_for(now, from, &view, &own, by_handover);
        if view == own && is_vote_free {
            return self.grant(from, view);
        }
        let may_grant = view.epoch > own.epoch
            && is_vote_free
            && self.is_eligible(from, &view, &own)
            && !self.is_candidate_for(now, view.epoch);
        let is_second_grant = self.planted(Planted::GrantedTwice) && view.epoch == own.epoch && view != own;
        if !may_grant && !is_second_grant {
            return self.send(from, Message::Denied { view: own });
        }
        self.heard_at = now;
        self.last_heard = LastHeard::GrantOrStart;
        self.voted_for = Some(from);
        self.replace_view(now, view.clone());
        self.schedule_candidacy(now);
        self.grant(from, view);
    }

    /// Whether no commitment to another primary prevents this node from granting the view.
    fn is_vote_free_for(
        &self,
        now: Millis,
        from: NodeId,
        view: &View,
        own: &View,
        by_handover: bool,
    ) -> bool {
        // A handover is valid only for the epoch right after that of the primary that stepped down, because that node may have
        // become primary again in a later epoch.
        if by_handover && view.epoch == own.epoch + 1 {
            return true;
        }
        // This node may have learned of a view from others while its vote belongs to another primary. Before the first epoch
        // there was no primary.
        let has_vote = self.voted_for == Some(from) || view.epoch == 1;
        (has_vote || now >= self.vote_free_at()) && !self.holds_lease(now)
    }

    /// Whether the candidate is a replica under a membership at least as new as this node's own.
    ///
    /// A comparison of epochs alone would be wrong: a candidate that missed a change of replicas and then was candidate twice
    /// would seem newer.
    fn is_eligible(&self, candidate: NodeId, view: &View, own: &View) -> bool {
        let is_membership_current =
            view.membership_epoch >= own.membership_epoch || self.planted(Planted::MembershipEpochIgnored);
        is_membership_current && view.replicas.contains(&candidate)
    }

    /// Grants a view. The grant is sent only once the view is on disk.
    fn grant(&mut self, to: NodeId, view: View) {
        if self.durable_epoch >= view.epoch {
            return self.send(to, Message::Granted { view });
        }
        if self.planted(Planted::GrantUnsynced) {
            self.send(to, Message::Granted { view: view.clone() });
        }
        self.persist_view(view.clone(), OnPersisted::SendGrant { to, view });
    }

    /// Replaces the view in memory. Nothing is acknowledged under it until it is on disk.
    fn replace_view(&mut self, now: Millis, view: View) {
        self.step_down(now);
        self.departed_primary = None;
        if self.primary() != Some(view.primary) {
            self.primary_contact.primary_changed();
        }
        self.durable_epoch = self.durable_epoch.min(view.epoch.saturating_sub(1));
        self.view = Some(view);
    }

    /// Adopts a view that a majority has granted or may grant.
    ///
    /// A higher epoch and a newer membership are each adopted independently of the other. A node that knows a newer membership
    /// gets no votes from a node that does not know it, and the reverse, so both have to learn it.
    pub(crate) fn adopt(&mut self, now: Millis, view: View) {
        let Some(own) = self.view.clone() else { return };
        if self.planted(Planted::NeverAdopts) {
            return;
        }
        let has_higher_epoch = view.epoch > own.epoch;
        let has_newer_membership = view.membership_epoch > own.membership_epoch;
        if !has_higher_epoch && !has_newer_membership {
            return;
        }
        if let Role::Primary(leadership) = &self.role {
            // A majority granted this primary's epoch, so no newer membership can have been granted in an epoch that is not
            // later.
            if !has_higher_epoch || leadership.has_proposed(&view) {
                return;
            }
        }
        if !has_newer_membership && self.is_candidate_for(now, view.epoch) {
            return;
        }
        let keeps_own_membership =
            own.membership_epoch > view.membership_epoch || self.planted(Planted::MembershipEpochIgnored);
        let membership = if keeps_own_membership { &own } else { &view };
        let leader = if has_higher_epoch { &view } else { &own };
        let merged = View { epoch: leader.epoch, primary: leader.primary, ..membership.clone() };
        self.follow_proposed(now, merged);
    }

    /// Follows a view that may or may not have been granted.
    pub(crate) fn follow_proposed(&mut self, now: Millis, view: View) {
        self.replace_view(now, view.clone());
        // If the view was granted, its primary sends a heartbeat soon. If it was not, waiting a full grace period more would be
        // too long.
        let random_wait = self.random_below(self.settings.grace_period_ms / 3);
        let wait = self.settings.heartbeat_interval_ms * 2 + random_wait;
        self.candidacy_at = (now + wait).max(self.vote_free_at());
        self.persist_view(view.clone(), OnPersisted::ConfirmView { view });
    }
}
