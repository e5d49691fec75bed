//! A voter's part: which proposed views it grants, and which views of others it takes over.

use crate::node_state::{LastHeard, OnPersisted};
use crate::role::Role;
use crate::{ControlGroup, Message, Millis, NodeId, Planted, View};

impl ControlGroup {
    /// Until then the vote may be bound: to the primary that was heard last, or to one that an earlier incarnation of this
    /// process acknowledged.
    pub(crate) fn vote_free_at(&self) -> Millis {
        self.heard_at.max(self.started_at) + self.settings.grace_period_ms
    }

    /// Whether this node keeps its vote in this epoch for itself: for a while others may grant its own view.
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

    /// A candidate wants to be primary, or the primary wants another membership.
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

    /// Whether no promise to another primary keeps this node from granting the view.
    fn is_vote_free_for(
        &self,
        now: Millis,
        from: NodeId,
        view: &View,
        own: &View,
        by_handover: bool,
    ) -> bool {
        // Only the direct successor of the primary that ended: that node may have become primary again in a later epoch.
        if by_handover && view.epoch == own.epoch + 1 {
            return true;
        }
        // A view may be known by hearsay while the vote is with another primary. Before the first epoch nobody led.
        let has_vote = self.voted_for == Some(from) || view.epoch == 1;
        (has_vote || now >= self.vote_free_at()) && !self.holds_lease(now)
    }

    /// Whether the candidate is a replica by a membership that is as new as the own one.
    ///
    /// By the epoch alone, a candidate that missed a change of replicas and was candidate twice would seem the newer.
    fn is_eligible(&self, candidate: NodeId, view: &View, own: &View) -> bool {
        let is_membership_current =
            view.membership_epoch >= own.membership_epoch || self.planted(Planted::MembershipEpochIgnored);
        is_membership_current && view.replicas.contains(&candidate)
    }

    /// Grants a view. The grant is sent only when the view is on disk.
    fn grant(&mut self, to: NodeId, view: View) {
        if self.durable_epoch >= view.epoch {
            return self.send(to, Message::Granted { view });
        }
        if self.planted(Planted::GrantUnsynced) {
            self.send(to, Message::Granted { view: view.clone() });
        }
        self.persist_view(view.clone(), OnPersisted::SendGrant { to, view });
    }

    /// Takes a view over in memory. Nothing is acknowledged by it before it is on disk.
    fn replace_view(&mut self, now: Millis, view: View) {
        self.step_down(now);
        self.departed_primary = None;
        if self.primary() != Some(view.primary) {
            self.primary_contact.primary_changed();
        }
        self.durable_epoch = self.durable_epoch.min(view.epoch.saturating_sub(1));
        self.view = Some(view);
    }

    /// Learns of a view that a majority has granted, or may grant.
    ///
    /// A higher epoch counts, and a newer membership, each by itself: a node that knows a newer membership is not voted for by
    /// one that does not know it, and the other way round, so both have to learn it.
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
            // The own epoch was granted by a majority: no newer membership of an epoch that is not later can have been.
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
        // If it was granted, its primary is heard soon: a whole grace period more would be too long a wait if it was not.
        let random_wait = self.random_below(self.settings.grace_period_ms / 3);
        let wait = self.settings.heartbeat_interval_ms * 2 + random_wait;
        self.candidacy_at = (now + wait).max(self.vote_free_at());
        self.persist_view(view.clone(), OnPersisted::ConfirmView { view });
    }
}
