//! Acceptance of messages: stores for the replicas are chosen, and the sender is answered once the message is on all of
//! its disks.

use super::{Queue, RetirementOrder};
use crate::effect::Effect;
use crate::entry::{Entry, Stage};
use crate::message::{Key, Message, Millis, Node, PutError, ReplicatedMessage};
use crate::peer_message::AcceptedHandover;
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::record::Record;

/// Maximum number of messages in the table, including ended ones.
const MAX_ENTRIES: usize = 400_000;

/// Age at which a message is treated as possibly offered to another store as well when it is accepted. An edge offers a
/// message elsewhere after 200 ms without an answer.
const LATE_ACCEPTANCE_MS: Millis = 120;

/// Time for which a message that another store may also have accepted is not started, unless its edge confirms earlier
/// that this copy is kept. If the other copy is kept, the edge says so within this time.
const CONFIRMATION_WINDOW_MS: Millis = 100;

impl Queue {
    /// Accepts a message from an edge. The answer is an [`Effect::PutResult`] with the same `ticket`.
    pub fn put(&mut self, now: Millis, ticket: u64, message: Message) {
        match message.idempotency_digest() {
            Some(digest) => self.submit_once(now, ticket, message, digest),
            None => self.admit(now, ticket, message, false),
        }
    }

    /// Accepts a message that the edge has already offered to another store, which has not answered and may have
    /// accepted it.
    pub fn put_resubmitted(&mut self, now: Millis, ticket: u64, message: Message) {
        match message.idempotency_digest() {
            // The idempotency key identifies it as the same message, wherever the first copy is.
            Some(digest) => self.submit_once(now, ticket, message, digest),
            None => self.admit(now, ticket, message, true),
        }
    }

    pub(crate) fn accept_new(&mut self, now: Millis, ticket: u64, message: Message, is_resubmitted: bool) {
        let replicas = self.choose_replica_stores(now, &[], &[], self.settings.replica_count);
        if self.must_reject(now, replicas.len()) {
            self.metrics.rejected += 1;
            self.emit(Effect::PutResult { ticket, result: Err(PutError::Rejected) });
            return;
        }
        self.next_number += 1;
        let node = self.settings.node;
        let key = Key { origin: node, number: self.next_number };
        let unconfirmed = std::iter::once(node).chain(replicas.iter().copied()).collect();
        let due_in_ms = message.delay_ms;
        let shared = ReplicatedMessage {
            key,
            owner: node,
            replicas,
            message,
            due_in_ms,
            ..ReplicatedMessage::default()
        };
        let mut entry = Entry::from_shared(&shared, now);
        entry.stage = Stage::Persisting;
        entry.ticket = Some(ticket);
        entry.may_be_duplicated = is_resubmitted;
        entry.unconfirmed = unconfirmed;
        let check_at = now + crate::peer::REPLICA_CONFIRM_LIMIT;
        entry.persist_check_at = Some(check_at);
        self.entries.insert(key, entry);
        self.persisting.insert((check_at, key));
        self.reindex(key);
        self.update_expiry(key);
        if self.place_in_group(now, key) {
            self.persist_new_message(now, key);
        }
    }

    /// Whether a message that arrived now would be accepted, as far as replicas, disk and table allow it.
    pub fn accepts_messages(&self, now: Millis) -> bool {
        let replicas = self.choose_replica_stores(now, &[], &[], self.settings.replica_count);
        !self.must_reject(now, replicas.len())
    }

    /// Logs when the store begins or stops accepting messages.
    pub(super) fn log_intake_change(&mut self, now: Millis) {
        let accepts = self.accepts_messages(now);
        if std::mem::replace(&mut self.was_accepting, accepts) == accepts {
            return;
        }
        if accepts {
            tracing::info!("store accepts messages");
        } else {
            tracing::warn!("store accepts no messages: it is draining, its disk is stalled, its table is full, or too few stores can take replicas");
        }
    }

    fn must_reject(&self, now: Millis, replicas: usize) -> bool {
        self.is_draining
            || self.is_disk_stalled(now)
            || replicas < self.settings.replica_count
            || self.entries.len() >= MAX_ENTRIES
    }

    /// Whether the disk does not answer. A message accepted now would wait behind earlier writes, while another store
    /// can accept it in time.
    pub(crate) fn is_disk_stalled(&self, now: Millis) -> bool {
        self.pending_writes.is_disk_stalled(now)
    }

    /// Handles the result of an [`Effect::Persist`]: `is_durable` says whether its records are on disk.
    pub fn write_completed(&mut self, now: Millis, ticket: u64, is_durable: bool) {
        for wait in self.pending_writes.complete(ticket) {
            if is_durable {
                self.write_succeeded(now, wait);
            } else {
                self.write_failed(wait);
            }
        }
    }

    fn write_succeeded(&mut self, now: Millis, wait: PendingWrite) {
        match wait {
            PendingWrite::Ownership(key) => self.confirm_persisted(now, key, self.settings.node),
            PendingWrite::ReplicaFor(owner, key) => self.outbox(owner).replicated.push(key),
            PendingWrite::TakenOverFrom(former_owner, key) => self.confirm_handover(former_owner, key),
            PendingWrite::EndFrom(sender, key) => self.outbox(sender).ends_stored.push(key),
            PendingWrite::Retirement => self.retirement = RetirementOrder::Durable,
            PendingWrite::OwnClaim(id) => self.claim_recorded(now, id),
            PendingWrite::Grant { to, claim_id, shards } => self.grant_recorded(now, to, claim_id, &shards),
            PendingWrite::ShardTerms => self.terms_recorded(),
        }
    }

    fn write_failed(&mut self, wait: PendingWrite) {
        match wait {
            PendingWrite::Ownership(key) => {
                self.metrics.failed_writes += 1;
                self.roll_back(key);
                self.note_failed_reacceptance(key);
            }
            PendingWrite::ReplicaFor(owner, key) => {
                self.metrics.failed_writes += 1;
                self.refuse_replica(owner, key);
            }
            // The handover is confirmed in spite of the failed write: the message is on both disks, and after a restart
            // of either store the former owner reports who owns it. Without a confirmation the former owner would wait
            // until the message expires.
            PendingWrite::TakenOverFrom(former_owner, key) => {
                self.metrics.failed_writes += 1;
                self.confirm_handover(former_owner, key);
            }
            // The sender transfers the end again.
            PendingWrite::EndFrom(..) => self.metrics.failed_writes += 1,
            // A restart would lose the order, so the operator has to repeat it.
            PendingWrite::Retirement => self.retirement = RetirementOrder::None,
            PendingWrite::Grant { to, claim_id, .. } => self.grant_failed(to, claim_id),
            // A claim that is not recorded ends by its time-out, and shard terms are requested again.
            PendingWrite::OwnClaim(_) => self.metrics.failed_writes += 1,
            PendingWrite::ShardTerms => {
                self.metrics.failed_writes += 1;
                self.terms_not_recorded();
            }
        }
    }

    fn confirm_handover(&mut self, former_owner: Node, key: Key) {
        let entry = self.entries.get(&key).filter(|entry| entry.owner == self.settings.node);
        if let Some(term) = entry.map(|entry| entry.term) {
            self.outbox(former_owner).handover_accepted.push(AcceptedHandover { key, term });
        }
    }

    /// Drops a replica that could not be written, unless the message has a different owner by now.
    fn refuse_replica(&mut self, owner: Node, key: Key) {
        let is_replica = |entry: &Entry| entry.stage == Stage::Replica && entry.owner == owner;
        if self.entries.get(&key).is_some_and(is_replica) {
            self.record(&Record::Dropped { key }, false);
            self.remove(key);
            self.outbox(owner).replication_rejected.push(key);
        }
    }

    /// Rolls back a message that could not be persisted: its replicas are dropped, and its sender learns that the
    /// outcome is unknown.
    pub(crate) fn roll_back(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key).filter(|entry| entry.stage == Stage::Persisting) else {
            return;
        };
        let (ticket, replicas) = (entry.ticket, entry.replicas.clone());
        self.note_rolled_back_submission(key);
        self.record(&Record::Dropped { key }, false);
        for replica in replicas {
            self.outbox(replica).drops.push(key);
        }
        self.remove(key);
        self.report_unknown_outcome(ticket);
    }

    /// Records that a store, possibly this one, has a message on its disk. With the last confirmation a new message is
    /// accepted, or the repair of an older one is complete.
    pub(crate) fn confirm_persisted(&mut self, now: Millis, key: Key, node: Node) {
        let accepts_early = self.planted(PlantedFault::EarlyAnswer) && node == self.settings.node;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let unconfirmed_before = entry.unconfirmed.len();
        entry.unconfirmed.retain(|unconfirmed| *unconfirmed != node && !accepts_early);
        let is_new = entry.stage == Stage::Persisting;
        let is_confirmed_by_all = entry.unconfirmed.is_empty();
        let is_repaired = unconfirmed_before > 0
            && self.entries.get(&key).is_some_and(|entry| !self.awaits_replicas(entry));
        if is_new && is_confirmed_by_all {
            self.accept(now, key);
        } else if !is_new && is_repaired {
            self.metrics.repaired += 1;
            self.check_replication(now, key);
        }
    }

    /// Accepts a new message that is on all of its disks: its sender is answered, and it is scheduled.
    fn accept(&mut self, now: Millis, key: Key) {
        let wall_clock_ms = self.wall_clock_ms(now);
        let skips_confirmation = self.planted(PlantedFault::ResubmittedUnasked);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.stage = Stage::Waiting;
        // Both clocks are used, because the process may have read the message late, or been paused since.
        let is_late = entry.age_ms(now) >= LATE_ACCEPTANCE_MS
            || wall_clock_ms >= entry.message.accepted_at_ms + LATE_ACCEPTANCE_MS;
        // A message with an idempotency key has no copy elsewhere, and its edge sends no decision about it.
        entry.may_be_duplicated |= is_late && entry.message.accepted_at_ms > 0 && entry.digest.is_none();
        if entry.may_be_duplicated && !skips_confirmation {
            entry.not_before = entry.not_before.max(now + CONFIRMATION_WINDOW_MS);
        }
        let ticket = entry.ticket.take();
        // The text key of a message with an idempotency key has to be the same for every submission, wherever its
        // replicas are by then, so it names no replica.
        let first_replica = entry.replicas.first().copied().filter(|_| entry.digest.is_none());
        if let Some(at) = entry.persist_check_at.take() {
            self.persisting.remove(&(at, key));
        }
        if let Some(ticket) = ticket {
            self.metrics.accepted += 1;
            self.emit(Effect::PutResult { ticket, result: Ok(key.to_text(first_replica)) });
        }
        self.schedule(now, key);
    }

    /// Answers a `put` whose message may or may not run, if a client waits for the answer.
    pub(crate) fn report_unknown_outcome(&mut self, ticket: Option<u64>) {
        if let Some(ticket) = ticket {
            self.metrics.outcome_unknown += 1;
            self.emit(Effect::PutResult { ticket, result: Err(PutError::Uncertain) });
        }
    }
}
