//! Release: messages that were read from disk, or waited behind a fence, start once the stores with replicas have been heard.

use super::{OBJECTION_WINDOW, RECONCILIATION_LIMIT};
use crate::entry::{Entry, Stage};
use crate::message::{Key, Millis, Node};
use crate::peer::Peer;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

impl Queue {
    /// Releases messages read from disk once all stores with replicas have reconciled, or are not there.
    pub(super) fn release_suspended(&mut self, now: Millis) {
        if self.unreleased.is_empty() {
            return;
        }
        let is_over = now > RECONCILIATION_LIMIT;
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
            self.announce_doubtful(now, key);
            let entry = self.entries.get_mut(&key);
            if let Some(entry) = entry.filter(|entry| entry.stage == Stage::Suspended) {
                entry.stage = Stage::Waiting;
            }
            self.schedule(now, key);
        }
    }

    /// After a fence: announces all that waits to all, so that they can object. Also what lies at stores that have answered: one
    /// that was replaced in the list while the message was being persisted may have it all the same, and may have taken over on the
    /// other side of a partition.
    pub(super) fn announce_all_waiting(&mut self, now: Millis) {
        let waiting = self.owned_here().filter(|(_, entry)| entry.stage == Stage::Waiting);
        let waiting: Vec<Key> = waiting.map(|(key, _)| key).collect();
        let asks_all = !self.planted(PlantedFault::FenceUnannounced);
        for key in waiting {
            if asks_all {
                self.announce_and_wait(now, key);
            } else {
                self.announce_doubtful(now, key);
            }
            self.unschedule(key);
            self.schedule(now, key);
        }
    }

    /// Others may own the message by now. A store that holds a replica is not back, or has yet to confirm it: it may have handed
    /// the message to another and be gone for good, so all are asked. Else only those that are being retired: such a one left the
    /// list when its replica was made anew elsewhere, has it still, and may have taken over.
    fn announce_doubtful(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        let is_reconciled = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.is_reconciled);
        let is_list_settled = entry.repair_at.is_none() && entry.unconfirmed.is_empty();
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

    /// Whoever is connected and knows of an end, or of a newer owner, objects before the message is started here.
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
            entry.not_before = entry.not_before.max(now + OBJECTION_WINDOW);
        }
    }
}
