//! Primary: its actions when leadership begins, at each event, and when leadership ends. Each submodule covers one concern.

mod handover;
mod heartbeats;
mod lease;
mod replica_changes;
mod view_change;
mod voter_changes;
mod writes;

use crate::node_state::Departure;
use crate::role::{Leadership, Role};
use crate::{ControlGroup, Millis, RoleChange, Verdict};

impl ControlGroup {
    pub(crate) fn begin_leadership(&mut self, now: Millis) {
        let departing = self.departed_primary.take().into_iter().collect();
        let leadership =
            Leadership { next_heartbeat_at: now, began_at: now, departing, ..Leadership::default() };
        self.role = Role::Primary(Box::new(leadership));
        self.vote_for(self.settings.node_id);
        self.role_changed(self.epoch(), RoleChange::BecamePrimary);
    }

    /// Makes this node a backup, and answers all callers whose requests are pending.
    pub(crate) fn step_down(&mut self, now: Millis) {
        self.schedule_candidacy(now);
        let Role::Primary(leadership) = std::mem::replace(&mut self.role, Role::Backup) else { return };
        // If this primary was shutting down and another node took over before the handover, it leaves as a backup does.
        self.departure = leadership.exit_deadline.map(|deadline| Departure::new(now, deadline));
        let under_way = leadership.write.and_then(|write| write.request);
        self.effects.extend(under_way.and_then(|request| request.answer(Verdict::Uncertain)));
        for queued in leadership.queue {
            self.abandon(queued);
        }
        self.role_changed(self.epoch(), RoleChange::SteppedDown);
    }

    /// Carries out the primary's due work. Each step uses the state that the previous step left.
    pub(crate) fn lead(&mut self, now: Millis) {
        if self.may_answer(now) && self.committed.as_ref() != Some(&self.state) {
            // This also commits a control state that all replicas stored while the lease had expired.
            self.commit(self.state.clone());
        }
        let Some(view) = self.view.clone() else { return };
        self.send_heartbeats(now, &view);
        if self.should_hand_over(now, &view) {
            return self.hand_over_and_exit(now);
        }
        self.expire_requests(now);
        if self.is_own_disk_stuck(now) {
            return self.own_disk_failed(now);
        }
        self.revert_stuck_voter_change(now, &view);
        self.maintain_replicas(now, &view);
        self.begin_next_write(now, &view);
        self.repeat_membership_proposal(now);
        self.repeat_write(now, &view);
    }
}
