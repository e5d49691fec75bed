//! Fingerprints of a node's state, by which the search in `crates/model-check/` recognizes states that it has already visited.

use crate::node_state::{Departure, OnPersisted};
use crate::proposal::Proposal;
use crate::replicated_write::{ReplicatedWrite, QUEUE_TIMEOUT, WRITE_TIMEOUT};
use crate::role::{Leadership, Role, PEER_SILENCE_LIMIT};
use crate::{ControlGroup, Effect, GroupSettings, Heartbeat, HeartbeatAck, Message, Millis, NodeId, View};
use std::hash::{Hash, Hasher};

/// Hashes a state, so that states with the same future behavior have the same fingerprint.
///
/// Times are hashed relative to now, and times that every rule treats alike hash alike. Write numbers are hashed relative to the
/// last write number of the node that issued them.
pub struct Fingerprinter<'a, H> {
    /// The hasher that the state is written to.
    pub hasher: &'a mut H,
    /// The current time by the clock of the node whose times are hashed.
    pub now: Millis,
    /// The last write number that each node has issued.
    pub last_write_ids: &'a [(NodeId, u64)],
}

impl<H: Hasher> Fingerprinter<'_, H> {
    /// Hashes a time for which only two things matter: whether it is more than `limit` milliseconds ago, and how long it takes
    /// until it is.
    fn time(&mut self, at: Millis, limit: Millis) {
        (at as i64 - self.now as i64).max(-1 - limit as i64).hash(self.hasher);
    }

    fn write_id(&mut self, of: NodeId, write_id: u64) {
        let last = self.last_write_ids.iter().find(|(node, _)| *node == of).map_or(0, |(_, last)| *last);
        last.wrapping_sub(write_id).hash(self.hasher);
    }

    /// Hashes a message in flight. For times that another node's clock gave, `now` has to be by that clock.
    pub fn message(&mut self, from: NodeId, to: NodeId, message: &Message) {
        match message {
            // `last_acked` only affects what the node tells clients outside the group, so it is left out.
            Message::Heartbeat(Heartbeat { epoch, sent_at, committed, committed_digest, last_acked: _ }) => {
                (1, epoch, committed, committed_digest).hash(self.hasher);
                self.time(*sent_at, PEER_SILENCE_LIMIT);
            }
            Message::HeartbeatAck(HeartbeatAck { epoch, sent_at, is_voting, has_state }) => {
                (2, epoch, is_voting, has_state).hash(self.hasher);
                self.time(*sent_at, PEER_SILENCE_LIMIT);
            }
            Message::Store { epoch, write_id, state } => {
                (3, epoch, state).hash(self.hasher);
                self.write_id(from, *write_id);
            }
            Message::Stored { epoch, write_id } => {
                (4, epoch).hash(self.hasher);
                self.write_id(to, *write_id);
            }
            message => message.hash(self.hasher),
        }
    }

    /// Hashes an effect that has not been carried out yet.
    pub fn effect(&mut self, from: NodeId, effect: &Effect) {
        match effect {
            Effect::Send { to, message } => {
                (1, to).hash(self.hasher);
                self.message(from, *to, message);
            }
            Effect::Persist { ticket: _, record } => (2, record).hash(self.hasher),
            effect => effect.hash(self.hasher),
        }
    }

    fn on_persisted(&mut self, node_id: NodeId, pending: &OnPersisted) {
        match pending {
            OnPersisted::SendStored { to, epoch, write_id, state } => {
                (1, to, epoch, state).hash(self.hasher);
                self.write_id(*to, *write_id);
            }
            OnPersisted::CountOwnReplica { write_id } => {
                2.hash(self.hasher);
                self.write_id(node_id, *write_id);
            }
            pending => pending.hash(self.hasher),
        }
    }

    fn proposal(&mut self, proposal: &Proposal, limit: Millis) {
        let Proposal { view, previous, grants, refusals, proposed_at, by_handover } = proposal;
        (view, previous, grants, refusals, by_handover).hash(self.hasher);
        self.time(*proposed_at, limit);
    }

    fn write(&mut self, node_id: NodeId, write: &ReplicatedWrite) {
        let ReplicatedWrite { write_id, state, request, missing, began_at, sent_at, replacement } = write;
        (state, request, missing, replacement).hash(self.hasher);
        self.write_id(node_id, *write_id);
        self.time(*began_at, WRITE_TIMEOUT);
        self.time(*sent_at, WRITE_TIMEOUT);
    }

    fn leadership(&mut self, node_id: NodeId, leadership: &Leadership, voters: &[NodeId]) {
        // All fields are destructured by name, so that a new field cannot be forgotten.
        let Leadership {
            began_at,
            next_heartbeat_at,
            acked,
            without_state,
            write,
            queue,
            membership_change,
            membership_proposed_at,
            is_state_replicated,
            exit_deadline,
            departing,
        } = leadership;
        (2, without_state, is_state_replicated, departing).hash(self.hasher);
        self.time(*next_heartbeat_at, 0);
        self.time(exit_deadline.unwrap_or(0), 0);
        // The start of the leadership matters only for voters that have never acknowledged a heartbeat.
        if voters.iter().any(|voter| *voter != node_id && !acked.contains_key(voter)) {
            self.time(*began_at, PEER_SILENCE_LIMIT);
        }
        for (node, sent_at) in acked {
            node.hash(self.hasher);
            self.time(*sent_at, PEER_SILENCE_LIMIT);
        }
        (acked.len(), queue.len(), exit_deadline.is_some()).hash(self.hasher);
        (write.is_some(), membership_change.is_some()).hash(self.hasher);
        if let Some(write) = write {
            self.write(node_id, write);
        }
        if let Some(change) = membership_change {
            self.proposal(change, 0);
            self.time(*membership_proposed_at, WRITE_TIMEOUT);
        }
        for queued in queue {
            (&queued.request, queued.progress).hash(self.hasher);
            self.time(queued.queued_at, QUEUE_TIMEOUT);
        }
    }

    fn role(&mut self, group: &ControlGroup) {
        let GroupSettings { node_id, grace_period_ms, .. } = &group.settings;
        match &group.role {
            Role::Backup => self.time(group.candidacy_at, 0),
            Role::Candidate(proposal) => {
                self.time(group.candidacy_at, 0);
                self.proposal(proposal, *grace_period_ms);
            }
            Role::Primary(leadership) => {
                let voters = group.view.as_ref().map_or(&[][..], |view: &View| &view.voters);
                self.leadership(*node_id, leadership, voters);
            }
        }
    }
}

impl ControlGroup {
    /// Hashes everything that the node's future depends on, except random numbers. Two states with the same fingerprint are
    /// treated as one state.
    pub fn fingerprint<H: Hasher>(&self, to: &mut Fingerprinter<H>) {
        // All fields are destructured by name, so that a new field cannot be forgotten.
        let ControlGroup {
            settings: GroupSettings { node_id, grace_period_ms, .. },
            view,
            durable_epoch,
            unknown_primary,
            state,
            committed,
            committed_digest: _,
            has_state,
            view_recovery,
            role: _,
            started_at,
            heard_at,
            last_heard,
            primary_contact: _,
            voted_for,
            persisted_vote_epoch,
            candidacy_at: _,
            learners,
            connections,
            pending_persists,
            next_ticket: _,
            last_write_id: _,
            random_state: _,
            may_exit,
            departure,
            departed_primary,
            effects,
        } = self;
        (departed_primary, departure.is_some(), last_heard).hash(to.hasher);
        if let Some(Departure { deadline, next_request_at }) = departure {
            to.time(*deadline, 0);
            to.time(*next_request_at, 0);
        }
        // An unknown primary of an older epoch has no effect any more.
        let unknown_primary = unknown_primary.filter(|unknown| unknown.epoch >= self.epoch());
        (view, durable_epoch, unknown_primary, state, committed, has_state).hash(to.hasher);
        (voted_for, persisted_vote_epoch, learners, connections, may_exit, effects.is_empty())
            .hash(to.hasher);
        // Pending writes are hashed in order, because the disk completes them in order.
        pending_persists.len().hash(to.hasher);
        pending_persists.values().for_each(|pending| to.on_persisted(*node_id, pending));
        to.time(*heard_at.max(started_at), *grace_period_ms);
        if self.is_awaiting_view() {
            view_recovery.replies.hash(to.hasher);
            to.time(view_recovery.next_request_at, 0);
        }
        to.role(self);
    }

    /// The last write number that this node issued.
    pub fn last_write_id(&self) -> u64 {
        self.last_write_id
    }

    /// Sets the state of the random number generator, from which later random waits are drawn.
    pub fn set_random_state(&mut self, random_state: u64) {
        self.random_state = random_state;
    }

    /// Whether this node may answer requests about the control state at this time.
    pub fn can_serve(&self, now: Millis) -> bool {
        self.may_answer(now)
    }

    /// Whether there is a control state on the node's disk.
    pub fn has_state(&self) -> bool {
        self.has_state
    }
}
