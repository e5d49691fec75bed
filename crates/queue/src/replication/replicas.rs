//! Replicas: how they are sent, stored, confirmed, and requested from another store when one is slow.

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

/// A message that is not safe by then is rolled back: its edge gives up soon (400 ms) and asks another store, and a
/// message that two stores have accepted runs twice.
const PERSIST_LIMIT: Millis = 360;

/// A store that did not confirm a replica in time is avoided for so long.
const SLOW_STORE_AVOIDANCE: Millis = 1500;

/// A store whose disk had no room is avoided for so long.
const FULL_STORE_AVOIDANCE: Millis = 2000;

/// A store that has refused a replica is offered the next one no sooner, even where there is no other store.
const REFUSAL_RETRY_DELAY: Millis = 200;

impl Queue {
    /// Sends a replica at the end of the turn.
    pub(crate) fn send_replica(&mut self, to: Node, replica: ReplicatedMessage) {
        let entry = self.entries.get(&replica.key);
        let is_new = entry.is_some_and(|entry| {
            let is_being_accepted =
                entry.stage == Stage::Persisting || entry.acceptance == Acceptance::Reaccepting;
            entry.digest.is_some() && is_being_accepted
        });
        let outbox = self.outbox(to);
        // One that is about to be accepted is kept only as long as this store holds the shard of its key.
        let replicas = if is_new { &mut outbox.new_replicas } else { &mut outbox.replicas };
        let key = replica.key;
        replicas.push(replica);
        self.send_failed_attempts(to, key);
    }

    /// A message with its ownership, as it is sent to other stores and kept on disk.
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

    /// Sends a replica of a message that is owned here and not settled; if it has ended, the end follows the message.
    pub(crate) fn resend_replica(&mut self, now: Millis, key: Key, to: Node) {
        let Some(entry) = self.entries.get(&key) else { return };
        if entry.owner != self.settings.node || entry.is_settled() {
            return;
        }
        let notice = self.end_notice(key);
        if let Some(replica) = self.replicated_message(now, key) {
            self.metrics.replicas_resent += 1;
            self.send_replica(to, replica);
        }
        if let Some(notice) = notice {
            self.outbox(to).ends.push(notice);
            self.flush_ends_at.get_or_insert(now + REPLICA_CONFIRM_LIMIT);
        }
    }

    /// Looks for replicas of new messages that are not confirmed in time.
    pub(crate) fn replace_overdue(&mut self, now: Millis) {
        while let Some((at, key)) = self.persisting.first().copied().filter(|(at, _)| *at <= now) {
            self.persisting.remove(&(at, key));
            self.replace_unconfirmed(now, key, None);
        }
    }

    /// Requests the replicas of a new message that are not confirmed from other stores. `lost_at`: of all stores only this one
    /// is known to have none.
    pub(super) fn replace_unconfirmed(&mut self, now: Millis, key: Key, lost_at: Option<Node>) {
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.stage == Stage::Persisting) else {
            return;
        };
        if let Some(at) = entry.persist_check_at.take() {
            self.persisting.remove(&(at, key));
        }
        let age_ms = entry.age_ms(now);
        if age_ms >= PERSIST_LIMIT {
            return self.roll_back(key);
        }
        let next_check_at = (now + REPLICA_CONFIRM_LIMIT).min(now + (PERSIST_LIMIT - age_ms)).max(now + 1);
        entry.persist_check_at = Some(next_check_at);
        self.persisting.insert((next_check_at, key));
        if entry.order.awaits_answers {
            // Nothing has been sent yet: stores that are gone by then are replaced at the next check.
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

    /// Requests one replica of a new message from another store. The slow store may have it all the same and is asked to drop
    /// it: else both would take over. `before`: the list of replicas before any was replaced.
    fn replace_replica(&mut self, now: Millis, key: Key, slow: Node, before: &[Node]) {
        // Others get the replicas of the next messages: each would wait here as long as this one has.
        let Some(accepted_at) = self.entries.get(&key).map(|entry| entry.accepted_at) else { return };
        let peer = self.peers.entry(slow).or_default();
        peer.avoided_until = now + SLOW_STORE_AVOIDANCE;
        peer.replica_overdue(accepted_at);
        // The list as it is now, too: another slow store may just have been replaced by one that is not to be chosen twice.
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
        // On disk before the message is acknowledged: after a restart the stores in the list are waited for, and no others.
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

    /// Another store could not keep replicas.
    pub(super) fn replication_rejected(&mut self, now: Millis, from: Node, keys: Vec<Key>) {
        let peer = self.peers.entry(from).or_default();
        peer.avoided_until = now + FULL_STORE_AVOIDANCE;
        peer.rejects_replicas_until = now + REFUSAL_RETRY_DELAY;
        for key in keys {
            self.replace_unconfirmed(now, key, Some(from));
            self.replica_lost(now, key, from);
        }
    }

    /// Stores a replica for another store, and confirms it once it is on disk.
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

/// Puts one store in the place of another.
fn replace_in(stores: &mut [Node], from: Node, to: Node) {
    for store in stores.iter_mut().filter(|store| **store == from) {
        *store = to;
    }
}
