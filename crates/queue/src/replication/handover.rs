//! Handover: a store that drains gives what waits to stores that hold replicas.

use crate::entry::{Acceptance, Entry, Stage};
use crate::message::{Key, Millis, Node};
use crate::peer_message::{AcceptedHandover, HandoverOffer, Ownership, PeerMessage};
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

impl Queue {
    /// Begins a graceful shutdown: the store accepts nothing more, and gives what waits to stores that hold replicas.
    pub fn begin_draining(&mut self, now: Millis) {
        if std::mem::replace(&mut self.is_draining, true) {
            return;
        }
        self.send_to_connected(&PeerMessage::Draining);
        self.refresh_token_holders(now);
        self.send_ends();
        self.offer_all();
    }

    /// Offers each message that is owned here and not in flight to a store that holds a replica.
    pub(crate) fn offer_all(&mut self) {
        let can_be_offered = |key: &Key, entry: &Entry| {
            entry.stage == Stage::Waiting || entry.end.is_some() || self.was_offered_in_vain(*key, entry)
        };
        let offered = self.owned_here().filter(|(key, entry)| can_be_offered(key, entry));
        let keys = offered.map(|(key, _)| key).filter(|key| !self.handovers.contains_key(key));
        let keys: Vec<Key> = keys.collect();
        for key in keys {
            self.offer(key);
        }
    }

    /// A retiring store has offered the message to one whose connection broke before it answered, and all stores with replicas
    /// have reconciled since: none has accepted it, so it is this store's still, and is offered again. (A store that only
    /// drains leaves that to its next start.)
    fn was_offered_in_vain(&self, key: Key, entry: &Entry) -> bool {
        let has_answered =
            |node: &Node| self.peers.get(node).is_none_or(|peer| peer.is_reconciled || !peer.is_present());
        let is_open = entry.stage == Stage::Suspended && !self.unreleased.contains(&key);
        self.is_retiring() && is_open && entry.replicas.iter().all(has_answered)
    }

    /// Offers one message to a store that holds a confirmed replica: neither starts it until that one has accepted.
    pub(crate) fn offer(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key).filter(|entry| entry.acceptance == Acceptance::Certain)
        else {
            return;
        };
        let is_able = |node: &Node| {
            let peer = self.peers.get(node);
            peer.is_some_and(|peer| peer.is_connected && peer.is_reconciled && !peer.is_draining())
        };
        let confirmed = entry.replicas.iter().filter(|node| !entry.unconfirmed.contains(node));
        let candidates = confirmed.copied().filter(is_able);
        let offer = HandoverOffer { key, term: entry.term, attempts: entry.failures.total() };
        let count = if self.planted(PlantedFault::HandedTwice) { usize::MAX } else { 1 };
        let receivers: Vec<Node> = candidates.take(count).collect();
        for to in receivers {
            self.unschedule(key);
            if let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.end.is_none()) {
                entry.stage = Stage::Suspended;
            }
            self.handovers.insert(key, to);
            self.outbox(to).handover_offers.push(offer);
        }
    }

    /// Another store has accepted messages that were offered to it.
    pub(super) fn handover_accepted(&mut self, now: Millis, from: Node, accepted: Vec<AcceptedHandover>) {
        for AcceptedHandover { key, term } in accepted {
            self.handovers.remove(&key);
            self.needs_replicas_again(from);
            let Some(entry) = self.entries.get(&key) else { continue };
            self.metrics.handed_over += 1;
            let mut replicas = entry.replicas.clone();
            replicas.retain(|node| *node != from);
            replicas.push(self.settings.node);
            self.apply_ownership(now, Ownership { key, owner: from, term, replicas });
        }
    }

    /// Another store does not know messages that were offered to it.
    pub(super) fn handover_rejected(&mut self, now: Millis, from: Node, keys: Vec<Key>) {
        for key in keys {
            self.handovers.remove(&key);
            if self.is_retiring() {
                // It holds no replica after all: it gets one, or another store does, before the message is offered again.
                let entry = self.entries.get_mut(&key);
                if let Some(entry) = entry.filter(|entry| entry.stage == Stage::Suspended) {
                    entry.stage = Stage::Waiting;
                }
                self.replica_lost(now, key, from);
            }
        }
    }
}
