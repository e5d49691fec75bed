//! How a backup whose process ends has itself removed from the voters.

use crate::node_state::{Departure, LastHeard};
use crate::role::Role;
use crate::{ControlGroup, Effect, Message, Millis, NodeId};

impl ControlGroup {
    /// Starts to have this node removed, if it is a voter of an even group; else returns false.
    ///
    /// In an even group the node that comes in its place has come before this one goes. The group tolerates no more losses
    /// with it than without it, and as a voter that is gone it would count as lost. In an odd group its end is taken for a
    /// restart.
    pub(crate) fn begin_departure(&mut self, now: Millis, deadline: Millis) -> bool {
        if !self.is_surplus_voter() || !self.has_recent_heartbeat(now) {
            return false;
        }
        self.departure = Some(Departure::new(now, deadline));
        self.continue_departure(now);
        true
    }

    fn is_surplus_voter(&self) -> bool {
        let node_id = &self.settings.node_id;
        self.view
            .as_ref()
            .is_some_and(|view| view.voters.len().is_multiple_of(2) && view.voters.contains(node_id))
    }

    fn has_recent_heartbeat(&self, now: Millis) -> bool {
        self.last_heard == LastHeard::Heartbeat && now < self.heard_at + self.settings.grace_period_ms
    }

    /// Asks again to be removed. The process may exit when the node is out of the voters by a view on its disk, or at the
    /// deadline. Until then it votes as ever.
    pub(crate) fn continue_departure(&mut self, now: Millis) {
        let Some(view) = &self.view else { return };
        let Some(departure) = &mut self.departure else { return };
        let is_removed = !view.voters.contains(&self.settings.node_id) && self.durable_epoch >= view.epoch;
        if is_removed || now >= departure.deadline {
            return self.exit();
        }
        if now >= departure.next_request_at {
            departure.next_request_at = now + self.settings.heartbeat_interval_ms / 4;
            let (primary, epoch) = (view.primary, view.epoch);
            self.send(primary, Message::Leave { epoch });
        }
    }

    /// Nothing holds the process back any more.
    pub(crate) fn exit(&mut self) {
        self.departure = None;
        self.may_exit = true;
        self.effects.push(Effect::ReadyToExit);
    }

    /// A node that was to end is connected again: it does not leave.
    pub(crate) fn cancel_departure(&mut self, node: NodeId) {
        self.departed_primary = self.departed_primary.filter(|departed| *departed != node);
        if let Role::Primary(leadership) = &mut self.role {
            leadership.departing.remove(&node);
        }
    }
}
