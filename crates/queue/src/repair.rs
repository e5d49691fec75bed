//! Repair of replicas: missing replicas are recreated, at a bounded rate.

use crate::entry::{Entry, Stage};
use crate::message::{Key, Millis, Node};
use crate::peer::ReplicaStatus;
use crate::peer_message::Ownership;
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

/// The replicas of a store that is neither a member nor connected for this time are recreated elsewhere. An orderly
/// restart takes less time.
const WRITE_OFF_DELAY: Millis = 5000;

/// Interval at which replicas are sent while some are missing.
const REPAIR_INTERVAL: Millis = 50;

/// A replica sent by repair that is not confirmed within this time is sent again.
const REPAIR_CONFIRM_LIMIT: Millis = 3000;

/// Delay until a message is examined again if no store can take its replica.
const NO_STORE_RETRY_DELAY: Millis = 1000;

/// Interval at which message digests are compared with each store.
const COMPARISON_INTERVAL: Millis = 10_000;

/// Messages younger than this, in milliseconds, are left out of digest comparisons, because messages still being
/// replicated would always differ.
const COMPARISON_MIN_AGE_MS: u64 = 2000;

/// Estimated size of a replica without its body, in bytes.
const REPLICA_OVERHEAD_BYTES: u64 = 400;

impl Queue {
    fn schedule_repair(&mut self, at: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if let Some(old) = entry.repair_at.replace(at) {
            self.under_replicated.remove(&(old, key));
        }
        self.under_replicated.insert((at, key));
    }

    fn has_enough_replicas(&self, key: Key) -> bool {
        self.entries
            .get(&key)
            .is_some_and(|entry| self.counted_replicas(entry) >= self.settings.replica_count)
    }

    /// Checks a message after a change of its replicas: schedules a repair if it has too few, and cancels the repair if
    /// it has enough.
    pub(crate) fn check_replication(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        let is_owned_here = entry.owner == self.settings.node;
        let has_enough =
            self.counted_replicas(entry) >= self.settings.replica_count && entry.unconfirmed.is_empty();
        if !has_enough && is_owned_here {
            self.under_replicated_since.get_or_insert(now);
            return self.schedule_repair(now, key);
        }
        if let Some(at) = self.entries.get_mut(&key).and_then(|entry| entry.repair_at.take()) {
            self.under_replicated.remove(&(at, key));
        }
        if is_owned_here {
            self.drop_uncounted_replicas(key);
        }
    }

    /// Removes the stores whose replicas do not count from the replica list of a message, on disk too, once the
    /// replicas that replace theirs are confirmed. If they were removed earlier and the owner restarted, it would ask
    /// only the stores in the list about the message, and those might not know it.
    fn drop_uncounted_replicas(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key).filter(|entry| !entry.is_settled()) else { return };
        let lasting = entry.replicas.iter().copied().filter(|node| self.counts_replicas_at(*node));
        let lasting: Vec<Node> = lasting.collect();
        if lasting.len() == entry.replicas.len() {
            return;
        }
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.replicas.clone_from(&lasting);
        let ownership = Ownership { key, owner: entry.owner, term: entry.term, replicas: lasting };
        self.record_ownership(&ownership);
    }

    /// Whether all stores with replicas of a message have reported what they hold since they last connected. A replica
    /// that was in transit when this store ended is read from disk as if it had been stored.
    pub(crate) fn are_replicas_confirmed(&self, entry: &Entry) -> bool {
        let is_reconciled = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.is_reconciled);
        entry.replicas.iter().all(is_reconciled) || self.planted(PlantedFault::CopiesUnconfirmed)
    }

    /// Entry of a message that is owned here, is persisted, and for which work is left.
    fn owned_entry_mut(&mut self, key: Key) -> Option<&mut Entry> {
        let node = self.settings.node;
        let entry = self.entries.get_mut(&key);
        entry.filter(|entry| entry.owner == node && entry.stage != Stage::Persisting && !entry.is_settled())
    }

    /// Schedules the repair of a replica that a store should hold and does not.
    pub(crate) fn replica_missing(&mut self, now: Millis, key: Key, node: Node) {
        if self.is_peer_retiring(node) {
            return self.replica_lost(now, key, node);
        }
        let Some(entry) = self.owned_entry_mut(key) else { return };
        if !entry.replicas.contains(&node) {
            entry.replicas.push(node);
        }
        if !entry.unconfirmed.contains(&node) {
            entry.unconfirmed.push(node);
        }
        self.check_replication(now, key);
    }

    /// Removes a replica whose store has no capacity for it or is gone.
    pub(crate) fn replica_lost(&mut self, now: Millis, key: Key, node: Node) {
        let Some(entry) = self.owned_entry_mut(key) else { return };
        entry.replicas.retain(|replica| *replica != node);
        entry.unconfirmed.retain(|replica| *replica != node);
        self.check_replication(now, key);
    }

    /// Adds an uncounted replica that a store holds to the replica list, because the message has too few.
    pub(crate) fn adopt_replica(&mut self, now: Millis, key: Key, node: Node) {
        if self.is_peer_retiring(node) {
            return;
        }
        let Some(entry) = self.owned_entry_mut(key) else { return };
        entry.replicas.push(node);
        let ownership =
            Ownership { key, owner: entry.owner, term: entry.term, replicas: entry.replicas.clone() };
        self.record_ownership(&ownership);
        self.check_replication(now, key);
    }

    /// Handles the loss of a connection, and with it of the repaired replicas that were in transit.
    pub(crate) fn drop_repairs_in_flight_to(&mut self, now: Millis, node: Node) {
        let keys = self.under_replicated.iter().map(|(_, key)| *key);
        let is_in_flight =
            |key: &Key| self.entries.get(key).is_some_and(|entry| entry.unconfirmed.contains(&node));
        let lost: Vec<Key> = keys.filter(is_in_flight).collect();
        for key in lost {
            self.replica_lost(now, key, node);
        }
    }

    /// Writes off the replicas of stores that are gone for good, and compares digests with the other stores when that
    /// is due.
    pub(crate) fn check_replica_holders(&mut self, now: Millis) {
        for node in self.write_off_absent_peers(now) {
            self.holder_lost(node);
            let replicated = self.owned_here().filter(|(_, entry)| entry.replicas.contains(&node));
            let replicated: Vec<Key> = replicated.map(|(key, _)| key).collect();
            for key in replicated {
                self.replica_lost(now, key, node);
            }
        }
        let node = self.settings.node;
        let due = self.peers.iter().filter(|(other, peer)| {
            // Of two stores, the one with the lower node identifier starts the comparison.
            node < **other
                && peer.is_connected
                && peer.is_reconciled
                && now >= peer.compared_at + COMPARISON_INTERVAL
        });
        let due: Vec<Node> = due.map(|(node, _)| *node).collect();
        for node in due {
            self.send_digests(now, node, COMPARISON_MIN_AGE_MS);
        }
    }

    /// Marks the absent stores whose replicas no longer count from now on, and returns them.
    fn write_off_absent_peers(&mut self, now: Millis) -> Vec<Node> {
        let may_write_off = self.control_contact.is_reachable && self.knows_members;
        let mut written_off = Vec::new();
        for (node, peer) in &mut self.peers {
            if peer.is_present() {
                peer.replica_status = ReplicaStatus::CountedOn;
            } else if may_write_off
                && !peer.is_written_off()
                && now > peer.connection_changed_at + WRITE_OFF_DELAY
            {
                peer.replica_status = ReplicaStatus::WrittenOff;
                written_off.push(*node);
            }
        }
        written_off
    }

    /// Time at which [`Queue::repair`] has work to do.
    pub(crate) fn next_repair_at(&self) -> Millis {
        let first = self.under_replicated.first();
        first.map_or(Millis::MAX, |(at, _)| (*at).max(self.repair_budget.filled_at() + REPAIR_INTERVAL))
    }

    /// Sends missing replicas, as many as the repair budget allows.
    pub(crate) fn repair(&mut self, now: Millis) {
        self.metrics.under_replicated = self.missing_replicas().messages;
        if self.metrics.under_replicated == 0 {
            return self.finish_repair(now);
        }
        if now < self.next_repair_at() {
            return;
        }
        self.repair_budget.fill(now);
        while let Some((_, key)) = self.under_replicated.first().copied().filter(|(at, _)| *at <= now) {
            if self.repair_budget.is_exhausted() {
                break;
            }
            self.repair_message(now, key);
        }
    }

    fn finish_repair(&mut self, now: Millis) {
        if let Some(since) = self.under_replicated_since.take() {
            self.metrics.last_under_replication_ms = now.saturating_sub(since);
            let ms = self.metrics.last_under_replication_ms;
            tracing::info!(ms, "all messages are stored on enough disks again");
        }
    }

    /// Sends the missing replicas of one message, and chooses stores for new ones.
    fn repair_message(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.owned_entry_mut(key) else {
            self.under_replicated.pop_first();
            return;
        };
        if entry.unconfirmed.is_empty() && self.has_enough_replicas(key) {
            // A store that had been written off has returned: its confirmation arrived before its replicas counted
            // again.
            self.check_replication(now, key);
            return self.replicas_confirmed(now, key);
        }
        let Some(entry) = self.entries.get(&key) else { return };
        let replica_bytes = entry.message.body.len() as u64 + REPLICA_OVERHEAD_BYTES;
        let present = entry.replicas.clone();
        let lasting = self.entries.get(&key).map_or(0, |entry| self.counted_replicas(entry));
        let lacking = self.settings.replica_count.saturating_sub(lasting);
        let added = self.choose_replica_stores(now, &present, &present, lacking);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.unconfirmed.extend(&added);
        entry.replicas.extend(&added);
        let ownership =
            Ownership { key, owner: self.settings.node, term: entry.term, replicas: entry.replicas.clone() };
        let is_connected = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.is_connected);
        let receivers: Vec<Node> = entry.unconfirmed.iter().copied().filter(is_connected).collect();
        if receivers.is_empty() {
            return self.schedule_repair(now + NO_STORE_RETRY_DELAY, key);
        }
        let bytes = replica_bytes * receivers.len() as u64;
        self.repair_budget.take(bytes);
        self.metrics.repaired_bytes += bytes;
        // The new replica list is recorded before the replica is sent, so that a restarted owner waits for the stores
        // in the list.
        if !added.is_empty() {
            self.record_ownership(&ownership);
            self.after_write(PendingWrite::Ownership(key));
        }
        for to in receivers {
            self.resend_replica(now, key, to);
        }
        self.schedule_repair(now + REPAIR_CONFIRM_LIMIT, key);
    }
}
