//! Absence of other stores: from when on their replicas are recreated elsewhere, and from when on they are gone for good.
//!
//! The two are separate. Replicas are recreated early, so that the next store may be lost `catch_up_s` after an empty store
//! has replaced the absent one. The absent store stays in the replica lists and counts in all questions to other stores
//! until it is written off, because it may return with its disk; replicas that are then not needed are dropped.

use crate::message::{Key, Millis, Node};
use crate::peer::{Peer, ReplicaStatus};
use crate::queue::Queue;

/// A store that is neither a member nor connected for this time is gone for good. An orderly restart takes less time.
const WRITE_OFF_DELAY: Millis = 5000;

/// Interval at which message digests are compared with each store.
const COMPARISON_INTERVAL: Millis = 10_000;

/// Messages younger than this, in milliseconds, are left out of digest comparisons, because messages still being
/// replicated would always differ.
const COMPARISON_MIN_AGE_MS: u64 = 2000;

impl Queue {
    /// Checks which stores are absent or have returned, and compares digests with the others when that is due.
    pub(crate) fn check_replica_holders(&mut self, now: Millis) {
        self.count_on_returned_peers(now);
        self.suspect_absent_peers(now);
        self.write_off_absent_peers(now);
        self.compare_with_peers(now);
    }

    /// The peers for which `condition` holds.
    fn peers_with(&self, condition: impl Fn(&Peer) -> bool) -> Vec<Node> {
        self.peers.iter().filter(|(_, peer)| condition(peer)).map(|(node, _)| *node).collect()
    }

    /// Counts again on the replicas of stores that have returned. That of a suspected store counts once both stores have
    /// reported what they hold: it may have returned with another disk.
    fn count_on_returned_peers(&mut self, now: Millis) {
        let has_returned = |peer: &Peer| match peer.replica_status {
            ReplicaStatus::CountedOn => false,
            ReplicaStatus::Suspected => peer.is_reconciled,
            ReplicaStatus::WrittenOff => peer.is_present(),
        };
        for node in self.peers_with(has_returned) {
            self.peers.entry(node).or_default().replica_status = ReplicaStatus::CountedOn;
            self.check_replicas_at(now, node);
        }
    }

    /// Begins to recreate the replicas of stores that have been disconnected for too long.
    fn suspect_absent_peers(&mut self, now: Millis) {
        if !self.knows_members {
            return;
        }
        let delay_ms = self.settings.repair.suspicion_delay_ms();
        let is_absent = |peer: &Peer| {
            peer.replica_status == ReplicaStatus::CountedOn
                && !peer.is_connected
                && now > peer.connection_changed_at + delay_ms
        };
        for node in self.peers_with(is_absent) {
            self.peers.entry(node).or_default().replica_status = ReplicaStatus::Suspected;
            self.check_replicas_at(now, node);
            self.find_under_replicated_ends_at(node);
        }
    }

    /// Removes the stores that are gone for good from all replica lists.
    fn write_off_absent_peers(&mut self, now: Millis) {
        if !self.control_contact.is_reachable || !self.knows_members {
            return;
        }
        let is_gone = |peer: &Peer| {
            !peer.is_present() && !peer.is_written_off() && now > peer.connection_changed_at + WRITE_OFF_DELAY
        };
        for node in self.peers_with(is_gone) {
            self.peers.entry(node).or_default().replica_status = ReplicaStatus::WrittenOff;
            self.holder_lost(node);
            let replicated = self.owned_here().filter(|(_, entry)| entry.replicas.contains(&node));
            let replicated: Vec<Key> = replicated.map(|(key, _)| key).collect();
            for key in replicated {
                self.remove_written_off_replica(now, key, node);
            }
        }
    }

    fn compare_with_peers(&mut self, now: Millis) {
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
}
