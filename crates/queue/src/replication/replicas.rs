//! Replicas: how they are sent, stored and confirmed, and how a slow store's replica is requested from another store.

use super::ownership::claim;
use crate::effect::Effect;
use crate::entry::{Acceptance, Stage};
use crate::message::{Key, Millis, Node, ReplicatedMessage};
use crate::peer::REPLICA_CONFIRM_LIMIT;
use crate::peer_message::{Ownership, PeerMessage};
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;

/// Time by which a new message must be persisted; after that it is rolled back. Its edge gives up at 400 ms and asks
/// another store, and a message that two stores have accepted runs twice.
const PERSIST_TIMEOUT_MS: Millis = 360;

/// How long a store that did not confirm a replica in time is avoided.
const SLOW_STORE_AVOIDANCE_MS: Millis = 1500;

/// How long a store whose disk was full is avoided.
const FULL_STORE_AVOIDANCE_MS: Millis = 2000;

/// Minimum time before a store that has rejected a replica is offered the next one, even if there is no other store.
const REJECTION_RETRY_DELAY_MS: Millis = 200;

impl Queue {
    /// Queues a replica to be sent at the end of the turn.
    pub(crate) fn send_replica(&mut self, to: Node, replica: ReplicatedMessage) {
        let entry = self.entries.get(&replica.key);
        let is_new = entry.is_some_and(|entry| {
            let is_being_accepted =
                entry.stage == Stage::Persisting || entry.acceptance == Acceptance::Reaccepting;
            entry.digest.is_some() && is_being_accepted
        });
        let outbox = self.outbox(to);
        // A replica of a message that is about to be accepted is stored by the receiver only while this store holds
        // the shard of its key.
        let replicas = if is_new { &mut outbox.new_replicas } else { &mut outbox.replicas };
        let key = replica.key;
        replicas.push(replica);
        self.send_failed_attempts(to, key);
    }

    /// A message with its ownership, in the form in which it is sent to other stores and written to disk.
    pub(crate) fn replicated_message(&self, now: Millis, key: Key) -> Option<ReplicatedMessage> {
        let entry = self.entries.get(&key)?;
        Some(ReplicatedMessage {
            key,
            owner: entry.owner,
            term: entry.term,
            replicas: entry.replicas.clone(),
            due_in_ms: entry.due_at.saturating_sub(now),
            waited_ms: entry.age_ms(now),
            attempts: entry.failures.total(),
            message: entry.message.clone(),
        })
    }

    /// Sends a replica of an unsettled message that this store owns; if the message has ended, its end follows it.
    pub(crate) fn resend_replica(&mut self, now: Millis, key: Key, to: Node) {
        let Some(entry) = self.entries.get(&key) else { return };
        if entry.owner != self.settings.node || entry.is_settled() {
            return;
        }
        let notice = self.end_notice(key);
        if let Some(mut replica) = self.replicated_message(now, key) {
            // The receiver must not count on a store that is absent now and whose replica may be dropped when it returns.
            replica.replicas.retain(|node| !self.is_suspected(*node));
            self.metrics.replicas_resent += 1;
            self.send_replica(to, replica);
        }
        if let Some(notice) = notice {
            self.outbox(to).ends.push(notice);
            self.flush_ends_at.get_or_insert(now + REPLICA_CONFIRM_LIMIT);
        }
    }

    /// Replaces the replicas of new messages that were not confirmed in time.
    pub(crate) fn replace_overdue(&mut self, now: Millis) {
        while let Some((at, key)) = self.persisting.first().copied().filter(|(at, _)| *at <= now) {
            self.persisting.remove(&(at, key));
            self.replace_unconfirmed(now, key, None);
        }
    }

    /// Requests the unconfirmed replicas of a new message from other stores. With `lost_at`, only the replica at that
    /// store is replaced, because it is known to have none.
    pub(super) fn replace_unconfirmed(&mut self, now: Millis, key: Key, lost_at: Option<Node>) {
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.stage == Stage::Persisting) else {
            return;
        };
        if let Some(at) = entry.persist_check_at.take() {
            self.persisting.remove(&(at, key));
        }
        let age_ms = entry.age_ms(now);
        if age_ms >= PERSIST_TIMEOUT_MS {
            return self.roll_back(key);
        }
        let next_check_at =
            (now + REPLICA_CONFIRM_LIMIT).min(now + (PERSIST_TIMEOUT_MS - age_ms)).max(now + 1);
        entry.persist_check_at = Some(next_check_at);
        self.persisting.insert((next_check_at, key));
        if entry.order.awaits_answers {
            // No replica has been sent yet; stores that have disconnected are replaced at the next check.
            return;
        }
        let node = self.settings.node;
        let is_slow = |store: &Node| *store != node && lost_at.is_none_or(|lost_at| lost_at == *store);
        let slow: Vec<Node> = entry.unconfirmed.iter().copied().filter(is_slow).collect();
        let before = entry.replicas.clone();
        for store in slow {
            self.replace_replica(now, key, store, &before);
        }
    }

    /// Requests one replica of a new message from another store. The slow store may have received its replica all the
    /// same and is asked to drop it; otherwise both could take the message over. `before` is the replica list before
    /// any store was replaced.
    fn replace_replica(&mut self, now: Millis, key: Key, slow: Node, before: &[Node]) {
        // The replicas of the next messages go to other stores, since each message would wait for this store as long
        // as this one has.
        let Some(accepted_at) = self.entries.get(&key).map(|entry| entry.accepted_at) else { return };
        let peer = self.peers.entry(slow).or_default();
        peer.avoided_until = now + SLOW_STORE_AVOIDANCE_MS;
        peer.replica_overdue(accepted_at);
        // The current list is excluded as well: another slow store may just have been replaced by a store that must
        // not be chosen twice.
        let mut excluded = before.to_vec();
        if !self.planted(PlantedFault::ReplicaChosenTwice) {
            excluded.extend(self.entries.get(&key).into_iter().flat_map(|entry| &entry.replicas));
        }
        let present: Vec<Node> = excluded.iter().copied().filter(|node| *node != slow).collect();
        let Some(to) = self.choose_replica_stores(now, &present, &excluded, 1).first().copied() else {
            return;
        };
        let is_list_recorded = !self.planted(PlantedFault::OldCopyList);
        let node = self.settings.node;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        replace_in(&mut entry.unconfirmed, slow, to);
        replace_in(&mut entry.replicas, slow, to);
        // The list is on disk before the message is acknowledged, because after a restart this store waits for
        // exactly the listed stores.
        if is_list_recorded {
            entry.unconfirmed.push(node);
            let ownership =
                Ownership { key, owner: node, term: entry.term, replicas: entry.replicas.clone() };
            self.record_ownership(&ownership);
            self.after_write(PendingWrite::Ownership(key));
        }
        if !self.planted(PlantedFault::DropUnsent) {
            self.outbox(slow).drops.push(key);
        }
        if let Some(replica) = self.replicated_message(now, key) {
            self.send_replica(to, replica);
        }
    }

    /// Handles that another store could not store replicas.
    pub(super) fn replication_rejected(&mut self, now: Millis, from: Node, keys: Vec<Key>) {
        let peer = self.peers.entry(from).or_default();
        peer.avoided_until = now + FULL_STORE_AVOIDANCE_MS;
        peer.rejects_replicas_until = now + REJECTION_RETRY_DELAY_MS;
        for key in keys {
            self.replace_unconfirmed(now, key, Some(from));
            self.replica_lost(now, key, from);
        }
    }

    /// Stores a replica for another store and confirms it once it is on disk.
    pub(crate) fn store_replica(&mut self, now: Millis, from: Node, replica: ReplicatedMessage) {
        let key = replica.key;
        self.needs_replicas_again(from);
        let Some(entry) = self.entries.get(&key) else {
            if self.is_disk_stalled(now) {
                return self.outbox(from).replication_rejected.push(key);
            }
            return self.write_replica(now, from, replica);
        };
        if entry.end.is_some() {
            let notice = self.end_notice(key);
            self.outbox(from).ends.extend(notice);
            self.outbox(from).replicated.push(key);
            self.flush_ends_at.get_or_insert(now);
        } else if claim(entry.term, entry.owner) > replica.rank() {
            self.metrics.stale_claims += 1;
            if let Some(ownership) = self.ownership(key) {
                let message = PeerMessage::OwnershipChanged(vec![ownership]);
                self.emit(Effect::Send { to: from, message });
            }
        } else {
            self.write_replica(now, from, replica);
        }
    }

    fn write_replica(&mut self, now: Millis, from: Node, replica: ReplicatedMessage) {
        let key = replica.key;
        self.note_superseded_replica(key, &replica.message);
        self.record(&Record::Put { replica: replica.clone() }, true);
        if self.planted(PlantedFault::CopyUnsynced) {
            self.outbox(from).replicated.push(key);
        } else {
            self.after_write(PendingWrite::ReplicaFor(from, key));
        }
        self.insert_replica_of(now, &replica, Stage::Replica);
    }
}

/// Replaces every occurrence of one store by another.
fn replace_in(stores: &mut [Node], from: Node, to: Node) {
    for store in stores.iter_mut().filter(|store| **store == from) {
        *store = to;
    }
}
