//! The lease of the primary: while it holds, no other node can lead, and the control state may be answered.

use super::Role;
use crate::voter::majority;
use crate::{ControlGroup, ControlState, Millis, Planted, View};

impl ControlGroup {
    /// The lease holds: more than half of the voters, this one among them, acked a heartbeat sent since then.
    pub fn holds_lease(&self, now: Millis) -> bool {
        let (Role::Lead(lead), Some(view)) = (&self.role, &self.view) else { return false };
        let mut long = if self.planted(Planted::LongLease) { 3 * self.settings.grace_period_ms } else { 0 };
        if self.planted(Planted::ThinMargin) {
            long = self.settings.grace_period_ms - self.settings.lease_period_ms - 20;
        }
        let fresh = |at: &Millis| now <= at + self.settings.lease_period_ms + long;
        let acked = lead.acks.iter().filter(|(_, at)| fresh(at)).map(|(v, _)| v);
        if self.planted(Planted::LearnersCount) && (acked.clone().count() + 1) * 2 > view.voters.len() {
            return true;
        }
        majority(&view.voters, acked.chain(std::iter::once(&self.settings.node_id))) && !self.released
    }

    pub(super) fn enough(&self, view: &View) -> bool {
        view.replicas.len() > self.settings.tolerated(view.voters.len()).min(view.voters.len() - 1)
    }

    /// May answer: the lease holds, and enough replicas hold all there is.
    pub(crate) fn may_answer(&self, now: Millis) -> bool {
        let settled = matches!(&self.role, Role::Lead(lead) if lead.settled && lead.leave_by.is_none());
        settled
            && self.holds_lease(now)
            && self.view.as_ref().is_some_and(|w| self.enough(w) && w.membership_epoch == w.epoch)
    }

    /// The newest value, if this is the primary and nobody else can be.
    pub fn readable_state(&self, now: Millis) -> Option<&ControlState> {
        self.may_answer(now).then_some(&self.state)
    }
}
