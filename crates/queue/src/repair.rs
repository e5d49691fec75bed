//! Repair of replicas: missing replicas are recreated, at a bounded rate.

use crate::entry::{Entry, Stage};
use crate::message::{Key, Millis, Node};
use crate::peer_message::Ownership;
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

/// Interval at which replicas are sent while some are missing.
const REPAIR_INTERVAL: Millis = 50;

/// A replica sent by repair that is not confirmed within this time is sent again.
const REPAIR_CONFIRM_LIMIT: Millis = 3000;

/// Delay until a message is examined again if no store can take its replica.
const NO_STORE_RETRY_DELAY: Millis = 1000;

/// Estimated size of a replica without its body, in bytes.
const REPLICA_OVERHEAD_BYTES: u64 = 400;

impl Queue {
    fn schedule_repair(&mut self, at: Millis, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        self.under_replicated.schedule(at, key, replica_bytes(entry));
    }

    /// Checks a message after a change of its replicas: schedules a repair if it has too few, and cancels the repair if
    /// it has enough. A message that was being re-accepted goes on then, whatever it was that completed its replicas.
    pub(crate) fn check_replication(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        let is_owned_here = entry.owner == self.settings.node;
        if is_owned_here && !self.has_enough_replicas(entry) {
            self.under_replicated_since.get_or_insert(now);
            return self.schedule_repair(now, key);
        }
        self.under_replicated.cancel(key);
        if is_owned_here {
            self.drop_uncounted_replicas(key);
            self.replicas_confirmed(now, key);
        }
    }

    /// Removes the stores whose replicas will not count again from the replica list of a message, on disk too, once the
    /// replicas that replace theirs are confirmed. If they were removed earlier and the owner restarted, it would ask
    /// only the stores in the list about the message, and those might not know it. For the same reason a store stays in
    /// the list while it may return.
    fn drop_uncounted_replicas(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key).filter(|entry| !entry.is_settled()) else { return };
        let lasting = entry.replicas.iter().copied().filter(|node| self.may_count_replicas_at(*node));
        let lasting: Vec<Node> = lasting.collect();
        if lasting.len() == entry.replicas.len() {
            return;
        }
        self.set_replica_list(key, lasting);
    }

    fn set_replica_list(&mut self, key: Key, replicas: Vec<Node>) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.replicas.clone_from(&replicas);
        let ownership = Ownership { key, owner: entry.owner, term: entry.term, replicas };
        self.record_ownership(&ownership);
    }

    /// Checks all messages owned here that have a replica at `node`, after the replicas there have begun or ceased to
    /// count.
    pub(crate) fn check_replicas_at(&mut self, now: Millis, node: Node) {
        let is_replicated_there = |entry: &Entry| {
            entry.stage != Stage::Persisting && !entry.is_settled() && entry.replicas.contains(&node)
        };
        let replicated = self.owned_here().filter(|(_, entry)| is_replicated_there(entry));
        let replicated: Vec<Key> = replicated.map(|(key, _)| key).collect();
        for key in replicated {
            self.check_replication(now, key);
            self.release_surplus_replicas(key);
        }
    }

    /// Drops the replicas of a message that are no longer needed, because a store that had been suspected has returned
    /// with its replica.
    fn release_surplus_replicas(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        let is_settled_list = !self.under_replicated.contains(key) && entry.unconfirmed.is_empty();
        if !is_settled_list || !self.are_replicas_confirmed(entry) {
            return;
        }
        let needed = self.needed_replicas(&entry.replicas);
        let surplus: Vec<Node> =
            entry.replicas.iter().copied().filter(|node| !needed.contains(node)).collect();
        if surplus.is_empty() {
            return;
        }
        self.set_replica_list(key, needed);
        for node in surplus {
            self.outbox(node).drops.push(key);
        }
    }

    /// Whether a message is on enough disks without the replica at `node`.
    fn is_replica_dispensable(&self, key: Key, node: Node) -> bool {
        let Some(entry) = self.entries.get(&key) else { return false };
        let others = entry.replicas.iter().filter(|replica| **replica != node);
        let is_confirmed =
            |replica: &&Node| self.counts_replicas_at(**replica) && !entry.unconfirmed.contains(replica);
        others.filter(is_confirmed).count() >= self.settings.replica_count
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
        if self.is_peer_retiring(node) || self.is_replica_dispensable(key, node) {
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

    /// Removes a replica at a store that is written off, on disk too if the message is on enough other disks.
    pub(crate) fn remove_written_off_replica(&mut self, now: Millis, key: Key, node: Node) {
        let Some(entry) = self.owned_entry_mut(key) else { return };
        entry.unconfirmed.retain(|replica| *replica != node);
        if self.entries.get(&key).is_some_and(|entry| self.has_enough_replicas(entry)) {
            self.check_replication(now, key);
        } else {
            self.replica_lost(now, key, node);
        }
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
        let is_in_flight =
            |key: &Key| self.entries.get(key).is_some_and(|entry| entry.unconfirmed.contains(&node));
        let lost: Vec<Key> = self.under_replicated.keys().filter(is_in_flight).collect();
        for key in lost {
            self.replica_lost(now, key, node);
        }
    }

    /// Time at which [`Queue::repair`] has work to do.
    pub(crate) fn next_repair_at(&self) -> Millis {
        let first = self.under_replicated.first();
        first.map_or(Millis::MAX, |(at, _)| at.max(self.repair_budget.filled_at() + REPAIR_INTERVAL))
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
        let missing_bytes = self.under_replicated.missing_bytes();
        let rate = self.repair_deadline.bytes_per_second(now, missing_bytes, self.settings.repair);
        self.repair_budget.fill(now, rate);
        while let Some((_, key)) = self.under_replicated.first().filter(|(at, _)| *at <= now) {
            if self.repair_budget.is_exhausted() {
                break;
            }
            self.repair_message(now, key);
        }
    }

    fn finish_repair(&mut self, now: Millis) {
        self.repair_deadline.repair_finished();
        if let Some(since) = self.under_replicated_since.take() {
            self.metrics.last_under_replication_ms = now.saturating_sub(since);
            let ms = self.metrics.last_under_replication_ms;
            tracing::info!(ms, "all messages are stored on enough disks again");
        }
    }

    /// Sends the missing replicas of one message, and chooses stores for new ones.
    fn repair_message(&mut self, now: Millis, key: Key) {
        if self.pending_writes.take_failed_own_write(key) {
            self.write_reaccepted_again(now, key);
        }
        let Some(entry) = self.owned_entry_mut(key) else {
            self.under_replicated.cancel(key);
            return;
        };
        let listed = entry.replicas.clone();
        let Some(entry) = self.entries.get(&key) else { return };
        if self.has_enough_replicas(entry) {
            // A store that had been absent has returned: its confirmation arrived before its replicas counted again.
            return self.check_replication(now, key);
        }
        let replica_bytes = replica_bytes(entry);
        let counted: Vec<Node> =
            listed.iter().copied().filter(|node| self.counts_replicas_at(*node)).collect();
        let lacking = self.settings.replica_count.saturating_sub(counted.len());
        let added = self.choose_replica_stores(now, &counted, &listed, lacking);
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

/// Estimated size of a replica of a message.
fn replica_bytes(entry: &Entry) -> u64 {
    entry.message.body.len() as u64 + REPLICA_OVERHEAD_BYTES
}
