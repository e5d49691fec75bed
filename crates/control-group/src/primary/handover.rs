//! Handing leadership over to another replica, and the orderly end of a process.

use crate::role::Role;
use crate::{ControlGroup, Message, Millis, NodeId, View};

/// How long a node that is told to end waits at most for its leadership or its vote to be taken from it.
const SHUTDOWN_TIMEOUT: Millis = 500;

impl ControlGroup {
    /// The process is to end: leadership goes to a replica that is alive. [`ReadyToExit`](crate::Effect::ReadyToExit) follows
    /// after half a second at the latest.
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

    /// Whether the process is to end, and nothing is under way any more or the time for it is over.
    pub(super) fn should_hand_over(&self, now: Millis, view: &View) -> bool {
        let Role::Primary(leadership) = &self.role else { return false };
        let Some(deadline) = leadership.exit_deadline else { return false };
        let is_idle = leadership.write.is_none()
            && leadership.membership_change.is_none()
            && !self.is_half_replaced(now, leadership, view);
        is_idle || now >= deadline
    }

    /// Steps down, names a successor if there is one, and lets the process end.
    pub(super) fn hand_over_and_exit(&mut self, now: Millis) {
        let (successor, epoch) = (self.successor(now), self.epoch());
        self.step_down(now);
        if let Some(successor) = successor {
            self.send(successor, Message::Handover { epoch, is_shutting_down: true });
        }
        self.exit();
    }

    /// Steps down and names a successor; stays primary if there is none.
    pub(super) fn hand_over_if_possible(&mut self, now: Millis) {
        let Some(successor) = self.successor(now) else { return };
        let epoch = self.epoch();
        self.step_down(now);
        self.send(successor, Message::Handover { epoch, is_shutting_down: false });
    }

    /// A replica that is alive. It has whatever was acknowledged, committed or not.
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

    /// A voter's process ends.
    pub(crate) fn leave_requested(&mut self, now: Millis, from: NodeId, epoch: u64) {
        let own_epoch = self.epoch();
        let Role::Primary(leadership) = &mut self.role else { return };
        if epoch == own_epoch {
            leadership.departing.insert(from);
            self.lead(now);
        }
    }
}
