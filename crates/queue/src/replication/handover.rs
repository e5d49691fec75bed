//! Handover: a draining store transfers its waiting messages to stores that hold replicas.

use crate::entry::{Acceptance, Entry, Stage};
use crate::message::{Key, Millis, Node};
use crate::peer_message::{AcceptedHandover, HandoverOffer, Ownership, PeerMessage};
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

impl Queue {
    /// Begins a graceful shutdown: the store accepts no more messages and transfers its waiting ones to stores that
    /// hold replicas.
    pub fn begin_draining(&mut self, now: Millis) {
        if std::mem::replace(&mut self.is_draining, true) {
            return;
        }
        self.send_to_connected(&PeerMessage::Draining);
        self.refresh_token_holders(now);
        self.send_ends();
        self.offer_all();
    }

    /// Offers each message that this store owns and that is not in flight to a store that holds a replica.
    pub(crate) fn offer_all(&mut self) {
        let can_be_offered = |key: &Key, entry: &Entry| {
            entry.stage == Stage::Waiting || entry.end.is_some() || self.is_offer_unanswered(*key, entry)
        };
        let offered = self.owned_here().filter(|(key, entry)| can_be_offered(key, entry));
        let keys = offered.map(|(key, _)| key).filter(|key| !self.handovers.contains_key(key));
        let keys: Vec<Key> = keys.collect();
        for key in keys {
            self.offer(key);
        }
    }

    /// Whether a retiring store has offered the message to a store whose connection broke before it answered, and all
    /// stores with replicas have reconciled since. None of them has accepted it then, so this store still owns it and
    /// offers it again. A store that only drains does this at its next start.
    fn is_offer_unanswered(&self, key: Key, entry: &Entry) -> bool {
        let has_answered =
            |node: &Node| self.peers.get(node).is_none_or(|peer| peer.is_reconciled || !peer.is_present());
        let is_open = entry.stage == Stage::Suspended && !self.unreleased.contains(&key);
        self.is_retiring() && is_open && entry.replicas.iter().all(has_answered)
    }

    /// Offers a message to a store that holds a confirmed replica. Neither store starts it until that one has
    /// accepted.
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

    /// Handles that another store has accepted messages that were offered to it.
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

    /// Handles that another store does not know messages that were offered to it.
    pub(super) fn handover_rejected(&mut self, now: Millis, from: Node, keys: Vec<Key>) {
        for key in keys {
            self.handovers.remove(&key);
            if self.is_retiring() {
                // That store holds no replica after all: it, or another store, gets one before the message is offered
                // again.
                let entry = self.entries.get_mut(&key);
                if let Some(entry) = entry.filter(|entry| entry.stage == Stage::Suspended) {
                    entry.stage = Stage::Waiting;
                }
                self.replica_lost(now, key, from);
            }
        }
    }
}
