//! Release: messages that were read from disk, or were held back by the fence, start once the stores with replicas
//! have been heard.

use super::{OBJECTION_WINDOW_MS, RECONCILIATION_TIMEOUT_MS};
use crate::entry::{Entry, Stage};
use crate::message::{Key, Millis, Node};
use crate::peer::Peer;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

impl Queue {
    /// Releases messages that were read from disk once all stores with replicas have reconciled, or are known to be
    /// absent.
    pub(super) fn release_suspended(&mut self, now: Millis) {
        if self.unreleased.is_empty() {
            return;
        }
        let is_over = now > RECONCILIATION_TIMEOUT_MS;
        let is_heard = |node: &Node| match self.peers.get(node) {
            Some(peer) => peer.is_reconciled || (!peer.is_connected && is_over),
            None => is_over,
        };
        let is_early = self.planted(PlantedFault::ReleasedEarly);
        let is_ready = |key: &Key| {
            is_early || self.entries.get(key).is_none_or(|entry| entry.replicas.iter().all(is_heard))
        };
        let ready: Vec<Key> = self.unreleased.iter().copied().filter(is_ready).collect();
        for key in ready {
            self.unreleased.remove(&key);
            self.announce_if_uncertain(now, key);
            let entry = self.entries.get_mut(&key);
            if let Some(entry) = entry.filter(|entry| entry.stage == Stage::Suspended) {
                entry.stage = Stage::Waiting;
            }
            self.schedule(now, key);
        }
    }

    /// After the fence was lowered, announces all waiting messages to all stores, so that they can object. This
    /// includes messages whose listed stores have all answered: a store that was replaced in the list while the
    /// message was being persisted may hold a replica all the same, and may have taken the message over on the other
    /// side of a network partition.
    pub(super) fn announce_all_waiting(&mut self, now: Millis) {
        let waiting = self.owned_here().filter(|(_, entry)| entry.stage == Stage::Waiting);
        let waiting: Vec<Key> = waiting.map(|(key, _)| key).collect();
        let asks_all = !self.planted(PlantedFault::FenceUnannounced);
        for key in waiting {
            if asks_all {
                self.announce_and_wait(now, key);
            } else {
                self.announce_if_uncertain(now, key);
            }
            self.unschedule(key);
            self.schedule(now, key);
        }
    }

    /// Announces a message that another store may own by now. If a store with a replica has not reconnected, or has
    /// yet to confirm its replica, it may have handed the message to another store and be gone for good, so all
    /// stores are asked. Otherwise only retiring stores are asked that are not in the list: such a store was removed
    /// from the list when its replica was repaired elsewhere, still has it, and may have taken over.
    fn announce_if_uncertain(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        let is_reconciled = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.is_reconciled);
        let is_list_settled = !self.under_replicated.contains(key) && entry.unconfirmed.is_empty();
        if !is_list_settled || !entry.replicas.iter().all(is_reconciled) {
            return self.announce_and_wait(now, key);
        }
        let is_asked = |node: &Node, peer: &Peer| {
            peer.is_connected && peer.is_retiring() && !entry.replicas.contains(node)
        };
        let asked = self.peers.iter().filter(|(node, peer)| is_asked(node, peer)).map(|(node, _)| *node);
        let asked: Vec<Node> = asked.collect();
        if !asked.is_empty() && !self.planted(PlantedFault::RetiringUnasked) {
            self.announce_to(now, key, &asked);
        }
    }

    /// Announces the message to all connected stores; any that knows of its end, or of a newer owner, objects before
    /// it is started here.
    pub(super) fn announce_and_wait(&mut self, now: Millis, key: Key) {
        let connected = self.peers.iter().filter(|(_, peer)| peer.is_connected).map(|(node, _)| *node);
        let connected: Vec<Node> = connected.collect();
        self.announce_to(now, key, &connected);
    }

    fn announce_to(&mut self, now: Millis, key: Key, receivers: &[Node]) {
        let is_open = |entry: &&Entry| matches!(entry.stage, Stage::Suspended | Stage::Waiting);
        let is_unasked =
            self.planted(PlantedFault::TakenUnasked) || self.planted(PlantedFault::ReleasedEarly);
        if is_unasked || self.entries.get(&key).filter(is_open).is_none() {
            return;
        }
        if let Some(ownership) = self.ownership(key) {
            for node in receivers {
                self.outbox(*node).ownership.push(ownership.clone());
            }
        }
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.not_before = entry.not_before.max(now + OBJECTION_WINDOW_MS);
        }
    }
}
