//! Backup: acknowledges the primary's heartbeats and stores the control states that the primary sends.

use crate::node_state::{LastHeard, OnPersisted, UnknownPrimary};
use crate::role::Role;
use crate::{
    ControlGroup, ControlState, Heartbeat, HeartbeatAck, Message, Millis, NodeId, Planted, Rank, Record, View,
};

impl ControlGroup {
    pub(crate) fn heartbeat_received(&mut self, now: Millis, from: NodeId, heartbeat: Heartbeat) {
        let Some(view) = self.view.clone() else {
            return self.acknowledge(from, &heartbeat, false, false);
        };
        if !self.is_from_primary(from, heartbeat.epoch, &view) {
            return;
        }
        self.heard_at = now;
        self.last_heard = LastHeard::Heartbeat;
        self.schedule_candidacy(now);
        if self.durable_epoch < view.epoch {
            return self.persist_view(view.clone(), OnPersisted::ConfirmView { view });
        }
        // From here on this node's vote belongs to the primary, so a candidacy of its own that was under way is abandoned.
        self.vote_for(from);
        self.role = Role::Backup;
        // A node that was removed from the voters because its process is shutting down does not join again.
        let is_voting = !self.may_exit || view.voters.contains(&self.settings.node_id);
        if let Some(sent_at) = heartbeat.last_acked {
            self.primary_contact.ack_confirmed(sent_at);
        }
        self.primary_contact.ack_sent(heartbeat.sent_at, now);
        self.acknowledge(from, &heartbeat, is_voting, self.has_state);
        self.catch_up(from, &heartbeat);
    }

    fn acknowledge(&mut self, to: NodeId, heartbeat: &Heartbeat, is_voting: bool, has_state: bool) {
        let Heartbeat { epoch, sent_at, .. } = *heartbeat;
        self.send(to, Message::HeartbeatAck(HeartbeatAck { epoch, sent_at, is_voting, has_state }));
    }

    /// Commits the control state that the primary has committed, or requests it if this node's disk holds a different one.
    fn catch_up(&mut self, primary: NodeId, heartbeat: &Heartbeat) {
        let committed = self.committed.as_ref().map_or(Rank::default(), ControlState::rank);
        if committed >= heartbeat.committed {
            return;
        }
        let is_same = self.state.rank() == heartbeat.committed
            && (self.state.digest() == heartbeat.committed_digest || self.planted(Planted::DigestUnheeded));
        if is_same {
            self.commit(self.state.clone());
        } else {
            self.send(primary, Message::StateRequest);
        }
    }

    /// Writes a control state that the primary sent to disk. The receiver may also be a node that is about to become a replica.
    pub(crate) fn store(&mut self, from: NodeId, epoch: u64, write_id: u64, state: ControlState) {
        let Some(view) = self.view.clone() else { return };
        if !self.is_from_primary(from, epoch, &view) || self.is_storing(from, write_id) {
            return;
        }
        let then = OnPersisted::SendStored { to: from, epoch, write_id, state: state.clone() };
        self.persist(Record::ControlState(state), then);
    }

    fn is_storing(&self, from: NodeId, id: u64) -> bool {
        self.pending_persists.values().any(|pending| {
            matches!(pending, OnPersisted::SendStored { to, write_id, .. } if *to == from && *write_id == id)
        })
    }

    /// Whether the sender is the primary of this node's view. If it is not, the node with the older view is sent, or requests,
    /// the newer one.
    fn is_from_primary(&mut self, from: NodeId, epoch: u64, view: &View) -> bool {
        if epoch < view.epoch {
            // The primary of the later view is not sent that view: it proposed the view itself, and learns from the grants that
            // it is in force.
            if from != view.primary {
                self.send(from, Message::Denied { view: view.clone() });
            }
            return false;
        }
        if epoch > view.epoch || from != view.primary {
            self.unknown_primary = Some(UnknownPrimary { epoch, node: from });
            self.send(from, Message::ViewRequest);
            return false;
        }
        true
    }
}
