//! Changes of the replicas: a lost replica is replaced by a voter, which receives the control state before it is named as a
//! replica.

use crate::replicated_write::{QueuedRequest, ReplicaReplacement, ReplicatedWrite, WriteProgress};
use crate::role::{Leadership, Role, PEER_SILENCE_LIMIT};
use crate::{ControlGroup, Millis, NodeId, Planted, View};

/// Whether the write under way permits a change of replicas.
enum PendingWriteAction {
    /// The write continues, or there is no voter that could replace the lost replica.
    Continue,
    /// The write can only complete with other replicas.
    Abandon,
    Nothing,
}

impl ControlGroup {
    /// Adds another voter as a replica, if there are too few replicas or one does not answer; otherwise checks the voters.
    pub(super) fn maintain_replicas(&mut self, now: Millis, view: &View) {
        if !self.holds_lease(now) {
            return;
        }
        let Role::Primary(leadership) = &self.role else { return };
        if leadership.membership_change.is_some() {
            return;
        }
        if leadership.exit_deadline.is_some() {
            return self.maintain_voters(now, view);
        }
        if view.membership_epoch != view.epoch {
            return self.propose_membership(now, view.clone());
        }
        let lost = self.lost_replicas(now, leadership, view);
        let spare = self.spare_replica(now, leadership, view);
        match self.pending_write_action(now, leadership, &lost, spare) {
            PendingWriteAction::Continue => return,
            PendingWriteAction::Abandon => self.abandon_write(now),
            PendingWriteAction::Nothing => {}
        }
        let is_replica_missing = view.replicas.len() - lost.len() < self.wanted_replicas(view);
        match spare.filter(|_| is_replica_missing) {
            Some(joining) => self.replace_replicas(now, ReplicaReplacement { joining, lost }),
            None => self.maintain_voters(now, view),
        }
    }

    fn wanted_replicas(&self, view: &View) -> usize {
        let voters = view.voters.len();
        (self.settings.tolerated_replica_losses(voters) + 1).min(voters)
    }

    /// The replicas that are lost, or whose disks do not store the writes sent to them.
    fn lost_replicas(&self, now: Millis, leadership: &Leadership, view: &View) -> Vec<NodeId> {
        let slow_write = leadership.write.as_ref().filter(|write| is_slow(now, write));
        let is_lost = |node: &NodeId| {
            self.is_disconnected(node)
                || Self::is_leaving_for_good(leadership, view, node)
                || leadership.is_silent(now, node, PEER_SILENCE_LIMIT)
                || slow_write.is_some_and(|write| write.missing.contains(node))
        };
        let others = view.replicas.iter().filter(|node| **node != self.settings.node_id);
        others.copied().filter(is_lost).collect()
    }

    /// A voter that is not a replica and may become one.
    fn spare_replica(&self, now: Millis, leadership: &Leadership, view: &View) -> Option<NodeId> {
        let is_able = |node: &NodeId| {
            !view.replicas.contains(node)
                && !leadership.departing.contains(node)
                && leadership.is_alive(now, node)
                && !self.is_disconnected(node)
        };
        view.voters.iter().copied().find(is_able)
    }

    fn pending_write_action(
        &self,
        now: Millis,
        leadership: &Leadership,
        lost: &[NodeId],
        spare: Option<NodeId>,
    ) -> PendingWriteAction {
        let Some(write) = &leadership.write else { return PendingWriteAction::Nothing };
        if let Some(ReplicaReplacement { joining, .. }) = &write.replacement {
            let is_joining_lost =
                is_slow(now, write) || self.is_disconnected(joining) || !leadership.is_alive(now, joining);
            return if is_joining_lost { PendingWriteAction::Abandon } else { PendingWriteAction::Continue };
        }
        let waits_for_lost_only = !lost.is_empty() && write.missing.iter().all(|node| lost.contains(node));
        if waits_for_lost_only && spare.is_some() {
            PendingWriteAction::Abandon
        } else {
            PendingWriteAction::Continue
        }
    }

    /// Abandons a write that waits for a lost replica. It is repeated with the replicas that follow.
    fn abandon_write(&mut self, now: Millis) {
        let Role::Primary(leadership) = &mut self.role else { return };
        let Some(write) = leadership.write.take() else { return };
        if write.replacement.is_some() {
            return;
        }
        if let Some(request) = write.request.filter(|request| request.ticket.is_some()) {
            let progress = WriteProgress::Begun;
            leadership.queue.push_front(QueuedRequest { request, queued_at: now, progress });
        }
        // The remaining replicas have to be synchronized again, because a late write may have reached all of them.
        leadership.is_state_replicated = false;
    }

    /// Sends the control state to the joining node, which is named as a replica once it has stored it.
    fn replace_replicas(&mut self, now: Millis, replacement: ReplicaReplacement) {
        if self.planted(Planted::UnfilledNamed) {
            return self.name_replica(now, &replacement);
        }
        self.fill(now, replacement);
    }

    /// Proposes a view without the lost replicas, and with one that has stored the control state.
    ///
    /// The number of replicas is kept to the wanted one, because each write waits for all of them. A replica that only seemed
    /// lost is removed even if it is back.
    pub(super) fn name_replica(&mut self, now: Millis, replacement: &ReplicaReplacement) {
        let Some(mut membership) = self.view.clone() else { return };
        membership.replicas.retain(|node| !replacement.lost.contains(node));
        membership.replicas.push(replacement.joining);
        self.propose_membership(now, membership);
    }
}

fn is_slow(now: Millis, write: &ReplicatedWrite) -> bool {
    now > write.began_at + PEER_SILENCE_LIMIT
}
