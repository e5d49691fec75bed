//! Requests to change the control state, and the writes that replicate the changes. One write is under way at a time; other
//! requests are queued.

use crate::node_state::OnPersisted;
use crate::replicated_write::{
    ChangeRequest, QueuedRequest, ReplicaReplacement, ReplicatedWrite, WriteProgress, QUEUE_TIMEOUT,
    WRITE_TIMEOUT,
};
use crate::role::{Role, PEER_SILENCE_LIMIT};
use crate::state_change::{ChangeOutcome, EqualVersion};
use crate::{
    ControlGroup, ControlState, Effect, Message, Millis, NodeId, Planted, Record, RetirementStage,
    StateChange, Verdict, View,
};
use std::collections::BTreeSet;

/// The maximum number of queued requests.
const MAX_QUEUED_REQUESTS: usize = 32;

impl ControlGroup {
    /// Requests a replacement of the operators' configuration. The answer is an [`Effect::Answer`] with this ticket.
    pub fn replace_configuration(&mut self, now: Millis, ticket: u64, version: u64, body: Vec<u8>) {
        let change = StateChange::Configuration { version, body };
        self.accept_request(now, ChangeRequest { ticket: Some(ticket), change });
    }

    /// Requests the retirement of a store. The answer is an [`Effect::Answer`] with this ticket.
    ///
    /// The caller has to check the request against [`readable_state`](ControlGroup::readable_state) and
    /// [`pending_retirements`](ControlGroup::pending_retirements) first.
    pub fn retire_store(&mut self, now: Millis, ticket: u64, node: u32, name: String) {
        let change = StateChange::Retire { node, name };
        self.accept_request(now, ChangeRequest { ticket: Some(ticket), change });
    }

    /// Records that a retirement has reached a later stage.
    ///
    /// Only the primary does this, and no answer is given: call it again until the control state has the new stage.
    pub fn advance_retirement(&mut self, now: Millis, node: u32, stage: RetirementStage) {
        let request = ChangeRequest { ticket: None, change: StateChange::Advance { node, stage } };
        if !self.may_answer(now) || self.requests().any(|pending| *pending == request) {
            return;
        }
        self.accept_request(now, request);
    }

    fn accept_request(&mut self, now: Millis, request: ChangeRequest) {
        let primary = self.other_primary();
        let Role::Primary(leadership) = &mut self.role else {
            return self.effects.extend(request.answer(Verdict::NotPrimary { primary }));
        };
        if leadership.queue.len() >= MAX_QUEUED_REQUESTS || leadership.exit_deadline.is_some() {
            return self.effects.extend(request.answer(Verdict::NotCommitted));
        }
        let progress = WriteProgress::NotBegun;
        leadership.queue.push_back(QueuedRequest { request, queued_at: now, progress });
        self.lead(now);
    }

    /// The requests that are being written or are queued.
    fn requests(&self) -> impl Iterator<Item = &ChangeRequest> {
        let leadership = match &self.role {
            Role::Primary(leadership) => Some(leadership),
            _ => None,
        };
        let under_way = leadership.and_then(|leadership| leadership.write.as_ref()?.request.as_ref());
        let queue = leadership.into_iter().flat_map(|leadership| &leadership.queue);
        under_way.into_iter().chain(queue.map(|queued| &queued.request))
    }

    /// The stores whose retirement is being written to the replicas or is queued.
    pub fn pending_retirements(&self) -> impl Iterator<Item = u32> + '_ {
        self.requests().filter_map(|request| match request.change {
            StateChange::Retire { node, .. } => Some(node),
            _ => None,
        })
    }

    /// Reads the newest configuration. The answer is an [`Effect::ReadAnswer`] with this ticket, or an [`Effect::Answer`] if
    /// this node is not the primary or may not answer now.
    pub fn read_configuration(&mut self, now: Millis, ticket: u64) {
        let effect = match self.readable_state(now) {
            Some(state) => {
                let state = Some(state.clone()).filter(|state| state.version > 0);
                Effect::ReadAnswer { ticket, state }
            }
            None => Effect::Answer { ticket, verdict: Verdict::NotPrimary { primary: self.other_primary() } },
        };
        self.effects.push(effect);
    }

    /// Answers the requests that have timed out. The write under way continues.
    pub(super) fn expire_requests(&mut self, now: Millis) {
        let Role::Primary(leadership) = &mut self.role else { return };
        if let Some(write) = leadership.write.as_mut().filter(|write| now > write.began_at + WRITE_TIMEOUT) {
            let ticket = write.request.as_mut().and_then(|request| request.ticket.take());
            let verdict = Verdict::Uncertain;
            self.effects.extend(ticket.map(|ticket| Effect::Answer { ticket, verdict }));
        }
        while let Some(queued) = self.take_expired(now) {
            self.abandon(queued);
        }
    }

    fn take_expired(&mut self, now: Millis) -> Option<QueuedRequest> {
        let Role::Primary(leadership) = &mut self.role else { return None };
        let first = leadership.queue.front()?;
        if now > first.queued_at + QUEUE_TIMEOUT {
            leadership.queue.pop_front()
        } else {
            None
        }
    }

    /// Answers a request that is no longer carried out.
    pub(super) fn abandon(&mut self, queued: QueuedRequest) {
        let is_begun = queued.progress == WriteProgress::Begun && !self.planted(Planted::BegunForgotten);
        let verdict = if is_begun { Verdict::Uncertain } else { Verdict::NotCommitted };
        self.effects.extend(queued.request.answer(verdict));
    }

    /// Begins the next write, if none is under way.
    pub(super) fn begin_next_write(&mut self, now: Millis, view: &View) {
        if !self.holds_lease(now) || view.membership_epoch != view.epoch {
            return;
        }
        let has_enough_replicas = self.has_enough_replicas(view);
        let Role::Primary(leadership) = &self.role else { return };
        if leadership.write.is_some() || leadership.membership_change.is_some() {
            return;
        }
        let has_lost_state =
            |node: &NodeId| leadership.without_state.contains(node) && leadership.acked.contains_key(node);
        if !leadership.is_state_replicated || view.replicas.iter().any(has_lost_state) {
            // The primary's control state may be on no other replica, or a replica may have the value of an abandoned write or
            // have lost its disk. All replicas are synchronized first.
            return self.write(now, self.state.clone(), None, &view.replicas, None);
        }
        if has_enough_replicas && leadership.exit_deadline.is_none() {
            self.begin_queued_write(now, view);
        }
    }

    /// Answers queued requests that change nothing, and begins a write for the first one that changes the control state.
    fn begin_queued_write(&mut self, now: Millis, view: &View) {
        let equal_version =
            if self.planted(Planted::EqualTaken) { EqualVersion::Accepted } else { EqualVersion::Ignored };
        loop {
            let Role::Primary(leadership) = &mut self.role else { return };
            let Some(QueuedRequest { request, .. }) = leadership.queue.pop_front() else { return };
            match request.change.apply(&self.state, equal_version) {
                ChangeOutcome::Unchanged => self.effects.extend(request.answer(Verdict::Unchanged)),
                ChangeOutcome::NoCapacity => self.effects.extend(request.answer(Verdict::NotCommitted)),
                ChangeOutcome::Changed(state) => {
                    return self.write(now, state, Some(request), &view.replicas, None);
                }
            }
        }
    }

    /// Sends the current control state to a node that is about to become a replica.
    pub(super) fn fill(&mut self, now: Millis, replacement: ReplicaReplacement) {
        self.write(now, self.state.clone(), None, &[replacement.joining], Some(replacement));
    }

    fn write(
        &mut self,
        now: Millis,
        state: ControlState,
        request: Option<ChangeRequest>,
        receivers: &[NodeId],
        replacement: Option<ReplicaReplacement>,
    ) {
        self.last_write_id = self.last_write_id.wrapping_add(1);
        let (write_id, epoch) = (self.last_write_id, self.epoch());
        let missing: BTreeSet<NodeId> = receivers.iter().copied().collect();
        for node in &missing {
            self.send(*node, Message::Store { epoch, write_id, state: state.clone() });
        }
        if missing.contains(&self.settings.node_id) {
            self.persist(Record::ControlState(state.clone()), OnPersisted::CountOwnReplica { write_id });
        }
        if let Role::Primary(leadership) = &mut self.role {
            leadership.write = Some(ReplicatedWrite {
                write_id,
                state,
                request,
                missing,
                began_at: now,
                sent_at: now,
                replacement,
            });
        }
    }

    /// Sends the control state again to the nodes that have not stored it, because a message or its answer may have been lost.
    pub(super) fn repeat_write(&mut self, now: Millis, view: &View) {
        let interval = self.settings.heartbeat_interval_ms;
        let Role::Primary(leadership) = &mut self.role else { return };
        let Some(write) = leadership.write.as_mut().filter(|write| now >= write.sent_at + interval) else {
            return;
        };
        write.sent_at = now;
        let (missing, write_id, state) = (write.missing.clone(), write.write_id, write.state.clone());
        for node in missing {
            self.send(node, Message::Store { epoch: view.epoch, write_id, state: state.clone() });
        }
    }

    /// Whether this node's own disk has left a write incomplete for longer than the silence limit.
    pub(super) fn is_own_disk_stuck(&self, now: Millis) -> bool {
        let Role::Primary(leadership) = &self.role else { return false };
        leadership.write.as_ref().is_some_and(|write| {
            write.missing.contains(&self.settings.node_id) && now > write.began_at + PEER_SILENCE_LIMIT
        })
    }

    /// Hands leadership over if possible, because this node's disk refused a record or hangs. Whether the replicas have stored
    /// the write under way is unknown.
    pub(crate) fn own_disk_failed(&mut self, now: Millis) {
        let Role::Primary(leadership) = &mut self.role else { return };
        let under_way = leadership.write.take().and_then(|write| write.request);
        leadership.is_state_replicated = false;
        self.effects.extend(under_way.and_then(|request| request.answer(Verdict::Uncertain)));
        self.hand_over_if_possible(now);
    }

    /// Handles the confirmation that a node has stored the control state of a write.
    pub(crate) fn stored(&mut self, now: Millis, from: NodeId, epoch: u64, write_id: u64) {
        if epoch != self.epoch() {
            return;
        }
        let first_is_enough = self.planted(Planted::EarlyAnswer);
        let Role::Primary(leadership) = &mut self.role else { return };
        let Some(write) = leadership.write.as_mut().filter(|write| write.write_id == write_id) else {
            return;
        };
        write.missing.remove(&from);
        leadership.without_state.remove(&from);
        let is_answered_early = first_is_enough && write.request.is_some();
        if !write.missing.is_empty() && !is_answered_early {
            return;
        }
        if let Some(write) = leadership.write.take() {
            self.finish_write(now, write);
        }
        self.lead(now);
    }

    /// Completes a write that all its receivers have stored.
    fn finish_write(&mut self, now: Millis, write: ReplicatedWrite) {
        if let Some(replacement) = write.replacement {
            return self.name_replica(now, &replacement);
        }
        let holds_lease = self.holds_lease(now);
        let has_enough_replicas = self.view.as_ref().is_some_and(|view| self.has_enough_replicas(view));
        self.state = write.state;
        let verdict = if holds_lease { Verdict::Accepted } else { Verdict::Uncertain };
        self.effects.extend(write.request.and_then(|request| request.answer(verdict)));
        let Role::Primary(leadership) = &mut self.role else { return };
        leadership.is_state_replicated = true;
        if has_enough_replicas && holds_lease {
            // The next heartbeat tells the other nodes of the commit. It is sent at once because the data plane waits for it.
            leadership.next_heartbeat_at = now;
        }
    }
}
