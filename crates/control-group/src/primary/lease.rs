//! The primary's lease. While the lease is valid, no other node can be primary, and this node may serve reads of the control
//! state.

use crate::role::Role;
use crate::view::is_majority;
use crate::{ControlGroup, ControlState, Millis, Planted, View};

/// How long before the grace period the lease ends under the fault `ThinMargin`, in milliseconds.
const FAULTY_MARGIN: Millis = 20;

impl ControlGroup {
    /// Whether this node is primary and holds the lease: a majority of the voters, including this node, has acknowledged a
    /// heartbeat that it sent within the last lease period.
    pub fn holds_lease(&self, now: Millis) -> bool {
        let (Role::Primary(leadership), Some(view)) = (&self.role, &self.view) else { return false };
        let period = self.lease_period();
        let is_fresh = |sent_at: &Millis| now <= sent_at + period;
        let fresh = leadership.acked.iter().filter(|(_, sent_at)| is_fresh(sent_at)).map(|(node, _)| node);
        if self.planted(Planted::LearnersCount) && (fresh.clone().count() + 1) * 2 > view.voters.len() {
            return true;
        }
        let with_own = fresh.chain(std::iter::once(&self.settings.node_id));
        is_majority(&view.voters, with_own) && !self.may_exit
    }

    /// When this node, as a primary that holds the lease, sent the newest heartbeat that a majority has acknowledged.
    pub(crate) fn majority_heard_at(&self, now: Millis) -> Option<Millis> {
        let (Role::Primary(leadership), Some(view)) = (&self.role, &self.view) else { return None };
        if !self.holds_lease(now) {
            return None;
        }
        let voters = view.voters.iter().filter(|voter| **voter != self.settings.node_id);
        let mut acked: Vec<Millis> =
            voters.filter_map(|voter| leadership.acked.get(voter).copied()).collect();
        acked.sort_unstable_by(|left, right| right.cmp(left));
        // This node counts towards the majority itself. If no other voter is needed, it is always in contact.
        let others_needed = view.voters.len() / 2;
        let Some(last_needed) = others_needed.checked_sub(1) else { return Some(now) };
        acked.get(last_needed).copied()
    }

    fn lease_period(&self) -> Millis {
        if self.planted(Planted::ThinMargin) {
            return self.settings.grace_period_ms - FAULTY_MARGIN;
        }
        if self.planted(Planted::LongLease) {
            return self.settings.lease_period_ms + 3 * self.settings.grace_period_ms;
        }
        self.settings.lease_period_ms
    }

    /// Whether the view has enough replicas for the number of tolerated losses.
    pub(super) fn has_enough_replicas(&self, view: &View) -> bool {
        let voters = view.voters.len();
        view.replicas.len() > self.settings.tolerated_replica_losses(voters).min(voters - 1)
    }

    /// Whether this node may answer requests about the control state: it holds the lease, and enough replicas have the current
    /// control state.
    pub(crate) fn may_answer(&self, now: Millis) -> bool {
        let Role::Primary(leadership) = &self.role else { return false };
        if !leadership.is_state_replicated || leadership.exit_deadline.is_some() || !self.holds_lease(now) {
            return false;
        }
        let is_complete = |view: &View| self.has_enough_replicas(view) && view.membership_epoch == view.epoch;
        self.view.as_ref().is_some_and(is_complete)
    }

    /// The newest control state, if this node is primary and no other node can be.
    pub fn readable_state(&self, now: Millis) -> Option<&ControlState> {
        self.may_answer(now).then_some(&self.state)
    }
}
