//! Members and connections: what is said to a store that comes, and done about one that is gone.

use super::{Outbox, Peer};
use crate::effect::Effect;
use crate::message::{Key, Millis, Node};
use crate::peer_message::{EndNotice, PeerMessage};
use crate::queue::Queue;

impl Queue {
    /// The stores that are members, as the control nodes tell.
    pub fn set_members(&mut self, now: Millis, stores: &[(Node, usize)]) {
        self.knows_members = true;
        let listed = |peers: &std::collections::BTreeMap<Node, Peer>| -> Vec<Node> {
            peers.iter().filter(|(_, p)| p.listed).map(|(node, _)| *node).collect()
        };
        let before = listed(&self.peers);
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for (node, zone) in stores.iter().filter(|(node, _)| *node != self.settings.node) {
            let peer = self.peers.entry(*node).or_insert_with(|| Peer::new(now));
            (peer.zone, peer.listed) = (*zone, true);
        }
        if listed(&self.peers) != before {
            self.ordering.changed = now;
        }
        self.assign_token_holders(now);
    }

    /// A connection to another store is open: each says what it holds in common with the other.
    pub fn peer_connected(&mut self, now: Millis, node: Node) {
        let peer = self.peers.entry(node).or_default();
        (peer.connected, peer.leaving, peer.stood, peer.since) = (true, false, false, now);
        // One that is to be emptied yet says so again: an order that was lost with its power is none.
        peer.retiring = false;
        peer.out = Outbox::default();
        self.ordering.changed = now;
        self.emit(Effect::Send { to: node, message: PeerMessage::DiskId(self.settings.disk_id) });
        // One of the two begins: the other answers with what differs.
        if self.settings.node < node {
            self.compare(now, node, 0);
        }
        // Ends that were told while it was away, or got lost with the connection.
        let mine = self.owned_here().filter(|(_, e)| e.replicas.contains(&node));
        let owed: Vec<EndNotice> = mine
            .filter_map(|(key, e)| {
                Some(EndNotice { key, end: e.end.clone()?, callback_pending: e.callback_pending })
            })
            .collect();
        self.to(node).ends.extend(owed);
        self.flush_ends_at.get_or_insert(now);
        if self.is_draining {
            self.emit(Effect::Send { to: node, message: PeerMessage::Draining });
        }
        if self.is_retiring() {
            self.emit(Effect::Send { to: node, message: PeerMessage::Retiring });
        }
    }

    pub fn peer_disconnected(&mut self, now: Millis, node: Node) {
        let peer = self.peers.entry(node).or_default();
        (peer.connected, peer.stood, peer.since) = (false, false, now);
        peer.out = Outbox::default();
        self.released_by.remove(&node);
        self.end_replication.gone(node);
        let waiting: Vec<Key> = self
            .persisting
            .iter()
            .map(|(_, key)| *key)
            .filter(|key| self.entries.get(key).is_some_and(|e| e.unconfirmed.contains(&node)))
            .collect();
        for key in waiting {
            self.copy_elsewhere(now, key, Some(node));
        }
        // It may have taken these or not. They stay as they are until it says so, here or after the next
        // start; but nobody waits for its answer any more.
        self.handovers.retain(|_, to| *to != node);
        self.lost_on_the_way(now, node);
        self.row_lost(now, node);
    }

    pub(crate) fn seen_disk(&mut self, from: Node, disk: u64) {
        let peer = self.peers.entry(from).or_default();
        if peer.disk.replace(disk).is_some_and(|old| old != disk) {
            tracing::info!(node = from, "a store is back with another disk");
            self.end_replication.lost(from);
        }
    }

    /// All that another store had to say about what both hold has been said.
    pub(crate) fn stood(&mut self, now: Millis, from: Node) {
        let first = !std::mem::replace(&mut self.peers.entry(from).or_default().stood, true);
        self.release(now);
        if self.is_draining && first {
            self.hand_all_over();
        }
    }
}
