//! Heartbeats and their acknowledgements.

use crate::role::Role;
use crate::{
    ControlGroup, ControlState, Heartbeat, HeartbeatAck, Message, Millis, NodeId, Planted, Rank, View,
};
use std::collections::BTreeMap;

impl ControlGroup {
    /// Sends heartbeats to all voters and learners, if they are due.
    pub(super) fn send_heartbeats(&mut self, now: Millis, view: &View) {
        let holds_lease = self.holds_lease(now);
        let Role::Primary(leadership) = &mut self.role else { return };
        if now < leadership.next_heartbeat_at {
            return;
        }
        leadership.next_heartbeat_at = now + self.settings.heartbeat_interval_ms;
        let acked = if holds_lease { leadership.acked.clone() } else { BTreeMap::new() };
        let committed = self.committed.as_ref().map_or(Rank::default(), ControlState::rank);
        let heartbeat = Heartbeat {
            epoch: view.epoch,
            sent_at: now,
            committed,
            committed_digest: self.committed_digest,
            last_acked: None,
        };
        let learners = self.learners.iter().filter(|learner| !view.voters.contains(learner));
        let receivers: Vec<NodeId> = view.voters.iter().chain(learners).copied().collect();
        for receiver in receivers {
            let last_acked = acked.get(&receiver).copied();
            self.send(receiver, Message::Heartbeat(Heartbeat { last_acked, ..heartbeat.clone() }));
        }
    }

    pub(crate) fn heartbeat_acked(&mut self, now: Millis, from: NodeId, ack: HeartbeatAck) {
        let own_epoch = self.epoch();
        let counts_arrival = self.planted(Planted::LeaseByArrival);
        let Role::Primary(leadership) = &mut self.role else { return };
        if ack.epoch != own_epoch || ack.sent_at > now {
            return;
        }
        if ack.has_state {
            leadership.without_state.remove(&from);
        } else {
            leadership.without_state.insert(from);
        }
        if ack.is_voting {
            let acked_at = if counts_arrival { now } else { ack.sent_at };
            let last = leadership.acked.entry(from).or_default();
            *last = (*last).max(acked_at);
        }
        self.lead(now);
    }
}
