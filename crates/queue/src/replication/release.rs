//! Release: messages that were read from disk, or waited behind a fence, start once the stores with replicas have been heard.

use super::{OBJECTION_WINDOW, RECONCILIATION_LIMIT};
use crate::entry::{Entry, Stage};
use crate::message::{Key, Millis, Node};
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
            self.announce_before_start(now, key);
            let entry = self.entries.get_mut(&key);
            if let Some(entry) = entry.filter(|entry| entry.stage == Stage::Suspended) {
                entry.stage = Stage::Waiting;
            }
            self.schedule(now, key);
        }
    }

    /// After a fence: announces all that waits, so that others can object.
    pub(super) fn announce_all_waiting(&mut self, now: Millis) {
        let waiting = self.owned_here().filter(|(_, entry)| entry.stage == Stage::Waiting);
        let waiting: Vec<Key> = waiting.map(|(key, _)| key).collect();
        for key in waiting {
            self.announce_before_start(now, key);
            self.unschedule(key);
            self.schedule(now, key);
        }
    }

    /// A store that holds a replica is not back, and may have handed the message to another and be gone for good: whoever knows
    /// of an end, or of a newer owner, objects before it is started here.
    fn announce_before_start(&mut self, now: Millis, key: Key) {
        let is_open = |entry: &&Entry| matches!(entry.stage, Stage::Suspended | Stage::Waiting);
        let Some(entry) = self.entries.get(&key).filter(is_open) else { return };
        let is_reconciled = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.is_reconciled);
        let is_unasked =
            self.planted(PlantedFault::TakenUnasked) || self.planted(PlantedFault::ReleasedEarly);
        if is_unasked || entry.replicas.iter().all(is_reconciled) {
            return;
        }
        if let Some(ownership) = self.ownership(key) {
            self.announce_ownership(&ownership);
        }
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.not_before = entry.not_before.max(now + OBJECTION_WINDOW);
        }
    }
}
