//! Taking a message: its copies are chosen, and it is answered for once all of its disks have it.

use super::{Effect, Entry, PendingWrite, Queue, Stage};
use crate::message::{Key, Message, Millis, Node, PutError, ReplicatedMessage};
use crate::peer_message::AcceptedHandover;
use crate::planted_fault::PlantedFault;
use crate::record::Record;

/// Messages that are kept for others to pick up at the most.
const MOST: usize = 400_000;

/// A disk that has not answered for so long stands still, for all that is known.
const STALLED: Millis = 120;

impl Queue {
    /// A message from an edge.
    pub fn put(&mut self, now: Millis, ticket: u64, message: Message) {
        let copies = self.choose_replica_stores(now, &[], &[], self.settings.replica_count);
        if self.is_draining
            || self.is_disk_stalled(now)
            || copies.len() < self.settings.replica_count
            || self.entries.len() >= MOST
        {
            self.metrics.rejected += 1;
            self.effects.push(Effect::PutResult { ticket, result: Err(PutError::Rejected) });
            return;
        }
        self.next_number += 1;
        let key = Key { origin: self.settings.node, number: self.next_number };
        let due_in = message.delay_ms;
        let shared = ReplicatedMessage {
            key,
            owner: self.settings.node,
            replicas: copies.clone(),
            due_in_ms: due_in,
            message,
            ..ReplicatedMessage::default()
        };
        let mut entry = Entry::from_shared(&shared, now);
        entry.stage = Stage::Persisting;
        entry.ticket = Some(ticket);
        entry.unconfirmed = std::iter::once(self.settings.node).chain(copies.iter().copied()).collect();
        let look = now + crate::peer::REPLICA_CONFIRM_LIMIT;
        entry.persist_check_at = Some(look);
        self.entries.insert(key, entry);
        self.persisting.insert((look, key));
        self.reindex(key);
        self.update_expiry(key);
        if self.place_in_group(now, key) {
            self.persist_new_message(now, key);
        }
    }

    /// The disk does not answer: what is taken now would wait behind what it has. Another store takes it in time.
    pub(crate) fn is_disk_stalled(&self, now: Millis) -> bool {
        self.write_started_at.first_key_value().is_some_and(|(_, since)| now > since + STALLED)
    }

    /// The disk has answered.
    pub fn write_completed(&mut self, now: Millis, ticket: u64, ok: bool) {
        self.write_started_at.remove(&ticket);
        for wait in self.pending_writes.remove(&ticket).unwrap_or_default() {
            match (wait, ok) {
                (PendingWrite::Retirement, ok) => {
                    self.is_retirement_durable = ok;
                    // Not on disk it would be forgotten: the operator asks again.
                    self.is_retiring = ok;
                }
                (PendingWrite::EndFrom(from, key), true) => self.outbox(from).ends_stored.push(key),
                // It is sent again.
                (PendingWrite::EndFrom(..), false) => self.metrics.failed_writes += 1,
                (PendingWrite::Ownership(key), true) => self.confirm_persisted(now, key, self.settings.node),
                (PendingWrite::Ownership(key), false) => {
                    self.metrics.failed_writes += 1;
                    self.roll_back(key);
                }
                (PendingWrite::ReplicaFor(from, key), true) => self.outbox(from).replicated.push(key),
                (PendingWrite::ReplicaFor(from, key), false) => {
                    self.metrics.failed_writes += 1;
                    // Only what it wrote for the sender: it may own the message by now.
                    if self.entries.get(&key).is_some_and(|e| e.stage == Stage::Replica && e.owner == from) {
                        self.record(&Record::Dropped { key }, false);
                        self.remove(key);
                        self.outbox(from).replication_rejected.push(key);
                    }
                }
                // With a disk that refuses, too: the message lies on both disks, and the one that gave it
                // away says on both restarts who owns it. Without a word the other would wait until its time
                // is over.
                (PendingWrite::TakenOverFrom(from, key), ok) => {
                    self.metrics.failed_writes += u64::from(!ok);
                    let term =
                        self.entries.get(&key).filter(|e| e.owner == self.settings.node).map(|e| e.term);
                    if let Some(term) = term {
                        self.outbox(from).handover_accepted.push(AcceptedHandover { key, term });
                    }
                }
            }
        }
    }

    /// Not safe here: it is taken back everywhere, and its client is told that nothing is known.
    pub(crate) fn roll_back(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key).filter(|e| e.stage == Stage::Persisting) else { return };
        let (ticket, copies) = (entry.ticket, entry.replicas.clone());
        self.record(&Record::Dropped { key }, false);
        copies.into_iter().for_each(|to| self.outbox(to).drops.push(key));
        self.remove(key);
        self.report_unknown_outcome(ticket);
    }

    pub(crate) fn confirm_persisted(&mut self, now: Millis, key: Key, node: Node) {
        let early = self.planted(PlantedFault::EarlyAnswer) && node == self.settings.node;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let was = entry.unconfirmed.len();
        entry.unconfirmed.retain(|missing| *missing != node && !early);
        if entry.stage != Stage::Persisting && was > entry.unconfirmed.len() && entry.unconfirmed.is_empty() {
            self.metrics.repaired += 1;
            return self.check_replication(now, key);
        }
        if entry.stage != Stage::Persisting || !entry.unconfirmed.is_empty() {
            return;
        }
        entry.stage = Stage::Waiting;
        let (ticket, copy, look) =
            (entry.ticket.take(), entry.replicas.first().copied(), entry.persist_check_at.take());
        look.map(|at| self.persisting.remove(&(at, key)));
        if let Some(ticket) = ticket {
            self.metrics.accepted += 1;
            self.effects.push(Effect::PutResult { ticket, result: Ok(key.to_text(copy)) });
        }
        self.schedule(now, key);
    }

    /// It may run or not: its edge is told so, for nothing better can be said.
    pub(crate) fn report_unknown_outcome(&mut self, ticket: Option<u64>) {
        if let Some(ticket) = ticket {
            self.metrics.outcome_unknown += 1;
            self.effects.push(Effect::PutResult { ticket, result: Err(PutError::Uncertain) });
        }
    }
}
