//! Starting what was read from disk, or waited behind a fence, once those that hold copies have spoken.

use super::{ASK, PATIENCE};
use crate::entry::{Entry, Stage};
use crate::message::{Key, Millis, Node};
use crate::planted::PlantedFault;
use crate::queue::Queue;

impl Queue {
    /// Messages read from disk go on once all that hold copies have spoken, or are not there.
    pub(super) fn release(&mut self, now: Millis) {
        if self.unreleased.is_empty() {
            return;
        }
        let spoken = |node: &Node| match self.peers.get(node) {
            Some(peer) => peer.stood || (!peer.connected && now > PATIENCE),
            None => now > PATIENCE,
        };
        let early = self.planted(PlantedFault::ReleasedEarly);
        let ready = |key: &Key| early || self.entries.get(key).is_none_or(|e| e.replicas.iter().all(spoken));
        let free: Vec<Key> = self.unreleased.iter().copied().filter(ready).collect();
        for key in free {
            self.unreleased.remove(&key);
            self.ask_before_start(now, key);
            if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.stage == Stage::Suspended) {
                entry.stage = Stage::Waiting;
            }
            self.schedule(now, key);
        }
    }

    /// After a fence: what waited meanwhile.
    pub(super) fn ask_before_all(&mut self, now: Millis) {
        let waiting = self.owned_here().filter(|(_, e)| e.stage == Stage::Waiting);
        let waiting: Vec<Key> = waiting.map(|(key, _)| key).collect();
        for key in waiting {
            self.ask_before_start(now, key);
            self.unschedule(key);
            self.schedule(now, key);
        }
    }

    /// One that holds a copy is not back, and may have given it to another and be gone for good: whoever knows of an end, or
    /// of a newer owner, says so before it is started here.
    fn ask_before_start(&mut self, now: Millis, key: Key) {
        let open = |e: &&Entry| matches!(e.stage, Stage::Suspended | Stage::Waiting);
        let Some(entry) = self.entries.get(&key).filter(open) else { return };
        let spoken = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.stood);
        let unasked = self.planted(PlantedFault::TakenUnasked) || self.planted(PlantedFault::ReleasedEarly);
        if entry.replicas.iter().all(spoken) || unasked {
            return;
        }
        let owned = self.owned(key);
        let all = self.peers.values_mut().filter(|p| p.connected);
        all.for_each(|p| p.out.own.extend(owned.clone()));
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.not_before = entry.not_before.max(now + ASK);
        }
    }
}
