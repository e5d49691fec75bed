//! Leaving in order: what waits is given to those that hold the copies.

use crate::effect::Effect;
use crate::entry::{Entry, Stage};
use crate::message::{Key, Millis, Node};
use crate::peer_message::{HandoverOffer, PeerMessage};
use crate::planted::PlantedFault;
use crate::queue::Queue;

impl Queue {
    /// Takes nothing more, and gives what waits to those that hold the copies.
    pub fn begin_draining(&mut self, now: Millis) {
        if std::mem::replace(&mut self.is_draining, true) {
            return;
        }
        let peers: Vec<Node> =
            self.peers.iter().filter(|(_, p)| p.connected).map(|(node, _)| *node).collect();
        for to in peers {
            self.emit(Effect::Send { to, message: PeerMessage::Draining });
        }
        self.assign_token_holders(now);
        self.tell_ends();
        self.hand_all_over();
    }

    pub(crate) fn hand_all_over(&mut self) {
        // Offered to one whose connection broke before it answered: once all that hold copies have spoken and none has taken
        // it, it is this store's still, and is offered again. (One that ends leaves that to its next start.)
        let settled =
            |node: &Node| self.peers.get(node).is_none_or(|p| p.stood || !(p.listed || p.connected));
        let refused = |key: &Key, e: &Entry| {
            let open = e.stage == Stage::Suspended && !self.unreleased.contains(key);
            self.is_retiring() && open && e.replicas.iter().all(settled)
        };
        let waiting: Vec<Key> = self
            .owned_here()
            .filter(|(key, e)| e.stage == Stage::Waiting || e.end.is_some() || refused(key, e))
            .map(|(key, _)| key)
            .filter(|key| !self.handovers.contains_key(key))
            .collect();
        for key in waiting {
            self.hand_over(key);
        }
    }

    /// Names the successor of one message: it is nobody's until the successor has said yes.
    pub(crate) fn hand_over(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        let able = |node: &&Node| self.peers.get(node).is_some_and(|p| p.connected && p.stood && !p.leaving);
        let safe = entry.replicas.iter().filter(|node| !entry.unconfirmed.contains(node));
        let (term, tries) = (entry.term, entry.failed_attempts);
        let successors = safe.copied().filter(|node| able(&node));
        let most = if self.planted(PlantedFault::HandedTwice) { usize::MAX } else { 1 };
        for to in successors.take(most).collect::<Vec<Node>>() {
            self.unschedule(key);
            if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.end.is_none()) {
                entry.stage = Stage::Suspended;
            }
            self.handovers.insert(key, to);
            self.to(to).handover.push(HandoverOffer { key, term, attempts: tries });
        }
    }
}
