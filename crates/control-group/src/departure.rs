//! Removal of a backup from the voters when its process shuts down.

use crate::node_state::{Departure, LastHeard};
use crate::role::Role;
use crate::{ControlGroup, Effect, Message, Millis, NodeId};

impl ControlGroup {
    /// Begins the removal of this node from the voters, if it is a voter of an even group; otherwise returns false.
    ///
    /// In an even group the node that replaces this one has already joined. The group tolerates no more losses with this node
    /// than without it, and after its exit it would count as a lost voter. In an odd group a shutdown is treated as a restart.
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

    /// Repeats the request to be removed. The process may exit once a view without this voter is on the node's disk, or at the
    /// deadline. Until then the node votes as usual.
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

    /// Reports that the process may exit.
    pub(crate) fn exit(&mut self) {
        self.departure = None;
        self.may_exit = true;
        self.effects.push(Effect::ReadyToExit);
    }

    /// Cancels the departure of a node that was shutting down and has reconnected.
    pub(crate) fn cancel_departure(&mut self, node: NodeId) {
        self.departed_primary = self.departed_primary.filter(|departed| *departed != node);
        if let Role::Primary(leadership) = &mut self.role {
            leadership.departing.remove(&node);
        }
    }
}
