//! Membership changes by a primary: the same view with other replicas or voters, under the next epoch.

use crate::node_state::OnPersisted;
use crate::proposal::Proposal;
use crate::role::Role;
use crate::{ControlGroup, Message, Millis, NodeId, RoleChange, View};

impl ControlGroup {
    /// Proposes a view with this membership, under an epoch that this node has not proposed before.
    pub(super) fn propose_membership(&mut self, now: Millis, membership: View) {
        let Some(previous) = self.view.clone() else { return };
        let Role::Primary(leadership) = &mut self.role else { return };
        let last_epoch = leadership.proposed_view().map_or(previous.epoch, |proposed| proposed.epoch);
        let epoch = last_epoch + 1;
        let next = View { epoch, membership_epoch: epoch, ..membership };
        let previous_voters = previous.voters.clone();
        leadership.membership_change = Some(Proposal::new(now, next.clone(), previous, false));
        leadership.membership_proposed_at = now;
        self.persist_view(next.clone(), OnPersisted::CountOwnGrant { view: next.clone() });
        self.propose(&next, &previous_voters, false);
    }

    /// Repeats the proposed membership change until it is granted, because a proposal or its answer may have been lost.
    pub(super) fn repeat_membership_proposal(&mut self, now: Millis) {
        let interval = self.settings.heartbeat_interval_ms;
        let Role::Primary(leadership) = &mut self.role else { return };
        let Some(change) = &leadership.membership_change else { return };
        if now < leadership.membership_proposed_at + interval {
            return;
        }
        let (view, previous_voters) = (change.view.clone(), change.previous.voters.clone());
        let is_own_grant_missing = !change.grants.contains(&self.settings.node_id);
        leadership.membership_proposed_at = now;
        if is_own_grant_missing {
            self.persist_view(view.clone(), OnPersisted::CountOwnGrant { view: view.clone() });
        }
        self.propose(&view, &previous_voters, false);
    }

    /// Handles a grant: a voter has written a view to disk that this node proposed.
    pub(crate) fn granted(&mut self, now: Millis, from: NodeId, view: View) {
        match &mut self.role {
            Role::Candidate(proposal) if proposal.view == view => {
                proposal.grants.insert(from);
                self.count_grants(now);
            }
            Role::Primary(_) => self.membership_granted(now, from, view),
            _ => {}
        }
    }

    fn membership_granted(&mut self, now: Millis, from: NodeId, view: View) {
        let Role::Primary(leadership) = &mut self.role else { return };
        let Some(change) = leadership.membership_change.as_mut().filter(|change| change.view == view) else {
            return;
        };
        change.grants.insert(from);
        if !change.is_granted() || !change.grants.contains(&self.settings.node_id) {
            return;
        }
        let previous_voters = std::mem::take(&mut change.previous.voters);
        leadership.membership_change = None;
        // Acknowledgements of a removed voter are discarded, so that it counts as new if it joins again.
        leadership.acked.retain(|node, _| view.voters.contains(node) || !previous_voters.contains(node));
        leadership.next_heartbeat_at = now;
        self.durable_epoch = self.durable_epoch.max(view.epoch);
        self.role_changed(view.epoch, RoleChange::MembershipChanged);
        self.view = Some(view.clone());
        self.vote_for(self.settings.node_id);
        self.notify_removed_voters(&previous_voters, &view);
        self.lead(now);
    }

    /// Sends the new view to removed voters, which get no more heartbeats and may be waiting for their removal.
    fn notify_removed_voters(&mut self, previous_voters: &[NodeId], view: &View) {
        for voter in previous_voters.iter().filter(|voter| !view.voters.contains(voter)) {
            self.send(*voter, Message::ViewReply { view: Some(view.clone()) });
        }
    }
}
