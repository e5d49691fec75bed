//! Handover of leadership to another replica, and graceful shutdown.

use crate::role::Role;
use crate::{ControlGroup, Message, Millis, NodeId, View};

/// The longest time in milliseconds that a shutdown waits for the handover of leadership or the removal of this voter.
const SHUTDOWN_TIMEOUT: Millis = 500;

impl ControlGroup {
    /// Begins a graceful shutdown: leadership is handed over to a live replica. [`ReadyToExit`](crate::Effect::ReadyToExit)
    /// follows after half a second at the latest.
    pub fn shut_down(&mut self, now: Millis) {
        let deadline = now + SHUTDOWN_TIMEOUT;
        if let Role::Primary(leadership) = &mut self.role {
            leadership.exit_deadline = Some(deadline);
            return self.lead(now);
        }
        if self.departure.is_some() {
            return;
        }
        self.step_down(now);
        if !self.begin_departure(now, deadline) {
            self.exit();
        }
    }

    /// Whether a shutdown was requested, and either no work is under way any more or the deadline has passed.
    pub(super) fn should_hand_over(&self, now: Millis, view: &View) -> bool {
        let Role::Primary(leadership) = &self.role else { return false };
        let Some(deadline) = leadership.exit_deadline else { return false };
        let is_idle = leadership.write.is_none()
            && leadership.membership_change.is_none()
            && !self.is_half_replaced(now, leadership, view);
        is_idle || now >= deadline
    }

    /// Steps down, names a successor if there is one, and lets the process exit.
    pub(super) fn hand_over_and_exit(&mut self, now: Millis) {
        let (successor, epoch) = (self.successor(now), self.epoch());
        self.step_down(now);
        if let Some(successor) = successor {
            self.send(successor, Message::Handover { epoch, is_shutting_down: true });
        }
        self.exit();
    }

    /// Steps down and names a successor. Without a possible successor the node stays primary.
    pub(super) fn hand_over_if_possible(&mut self, now: Millis) {
        let Some(successor) = self.successor(now) else { return };
        let epoch = self.epoch();
        self.step_down(now);
        self.send(successor, Message::Handover { epoch, is_shutting_down: false });
    }

    /// A live replica to hand over to. It has every acknowledged write, committed or not.
    fn successor(&self, now: Millis) -> Option<NodeId> {
        let Role::Primary(leadership) = &self.role else { return None };
        let is_able = |node: &NodeId| {
            *node != self.settings.node_id
                && leadership.is_alive(now, node)
                && !leadership.without_state.contains(node)
                && !self.is_disconnected(node)
        };
        self.view.as_ref()?.replicas.iter().copied().find(is_able)
    }

    /// Handles a voter's request to be removed because its process is shutting down.
    pub(crate) fn leave_requested(&mut self, now: Millis, from: NodeId, epoch: u64) {
        let own_epoch = self.epoch();
        let Role::Primary(leadership) = &mut self.role else { return };
        if epoch == own_epoch {
            leadership.departing.insert(from);
            self.lead(now);
        }
    }
}
