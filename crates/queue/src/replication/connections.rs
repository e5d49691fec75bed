//! Membership and connections: what is sent to a store that connects, and what is done when a store disconnects.

use crate::effect::Effect;
use crate::message::{Key, Millis, Node};
use crate::outbox::Outbox;
use crate::peer::{FailureNotices, KeyHolder, Peer, PeerRecovery, Peers, ServiceState};
use crate::peer_message::{EndNotice, PeerMessage};
use crate::queue::Queue;
use crate::record::Record;

fn members_of(peers: &Peers) -> Vec<Node> {
    peers.iter().filter(|(_, peer)| peer.is_member).map(|(node, _)| *node).collect()
}

impl Queue {
    /// Sets the member stores, each with the index of its zone, as announced by the control group.
    pub fn set_members(&mut self, now: Millis, stores: &[(Node, usize)]) {
        self.knows_members = true;
        let before = members_of(&self.peers);
        for peer in self.peers.values_mut() {
            peer.is_member = false;
        }
        for (node, zone) in stores.iter().filter(|(node, _)| *node != self.settings.node) {
            let peer = self.peers.entry(*node).or_insert_with(|| Peer::listed(now));
            peer.zone = *zone;
            peer.is_member = true;
        }
        if members_of(&self.peers) != before {
            self.ordering.peers_changed_at = now;
            self.shards_may_move(now);
        }
        self.invalidate_token_holders();
    }

    /// Handles a new connection to another store: both send what they know of the messages that they share.
    pub fn peer_connected(&mut self, now: Millis, node: Node) {
        let peer = self.peers.entry(node).or_default();
        peer.is_connected = true;
        let former_holder = std::mem::replace(&mut peer.key_holder, KeyHolder::Counts);
        peer.is_reconciled = false;
        peer.recovery = PeerRecovery::None;
        peer.failure_notices = FailureNotices::default();
        peer.connection_changed_at = now;
        peer.record_contact(now);
        peer.rejects_replicas_until = 0;
        // A store that is still retiring announces it again. If a power loss has erased its order to retire, the
        // order no longer holds.
        peer.service = ServiceState::InService;
        peer.outbox = Outbox::default();
        if former_holder != KeyHolder::Counts {
            self.record(&Record::MessageHolderGone { node, is_gone: false }, true);
        }
        self.invalidate_token_holders();
        self.repair_deadline.store_connected(now);
        self.end_replication.deadline.store_connected(now);
        self.ordering.peers_changed_at = now;
        self.shards_may_move(now);
        self.emit(Effect::Send { to: node, message: PeerMessage::DiskId(self.settings.disk_id) });
        self.emit(Effect::Send { to: node, message: PeerMessage::CallbacksDelivered(Vec::new()) });
        self.announce_recovery(node);
        self.deliver_handovers(now, node);
        // Only one of the two stores starts the comparison; the other answers with the differences.
        if self.settings.node < node {
            self.send_digests(now, node, 0);
        }
        self.send_known_ends(now, node);
        if self.is_draining {
            self.emit(Effect::Send { to: node, message: PeerMessage::Draining });
        }
        if self.is_retiring() {
            self.emit(Effect::Send { to: node, message: PeerMessage::Retiring });
        }
    }

    /// Sends the ends that were sent while the store was disconnected, or were lost with the connection.
    fn send_known_ends(&mut self, now: Millis, node: Node) {
        let shared = self.owned_here().filter(|(_, entry)| entry.replicas.contains(&node));
        let ends = shared.filter_map(|(key, entry)| {
            let end = entry.end.clone()?;
            Some(EndNotice { key, end, callback_pending: entry.callback_pending })
        });
        let ends: Vec<EndNotice> = ends.collect();
        self.outbox(node).ends.extend(ends);
        self.flush_ends_at.get_or_insert(now);
    }

    /// Handles the loss of the connection to another store.
    pub fn peer_disconnected(&mut self, now: Millis, node: Node) {
        let peer = self.peers.entry(node).or_default();
        peer.is_connected = false;
        peer.is_reconciled = false;
        peer.connection_changed_at = now;
        peer.outbox = Outbox::default();
        self.released_by.remove(&node);
        self.end_replication.forget_store(node);
        let persisting = self.persisting.iter().map(|(_, key)| *key);
        let is_unconfirmed =
            |key: &Key| self.entries.get(key).is_some_and(|entry| entry.unconfirmed.contains(&node));
        let unconfirmed: Vec<Key> = persisting.filter(is_unconfirmed).collect();
        for key in unconfirmed {
            self.replace_unconfirmed(now, key, Some(node));
        }
        // The store may or may not have accepted the messages that were offered to it. They stay suspended until it
        // says so, after it reconnects or after this store's next start, but its answer is no longer awaited.
        self.handovers.retain(|_, to| *to != node);
        self.drop_repairs_in_flight_to(now, node);
        self.stop_awaiting_answers_of(now, node);
        self.discard_recovery_report(node);
        self.stop_awaiting_claim_answer(now, node);
        self.shards_may_move(now);
    }

    /// Handles that another store has sent everything it knows about the messages that both hold.
    pub(super) fn peer_reconciled(&mut self, now: Millis, from: Node) {
        let peer = self.peers.entry(from).or_default();
        let was_reconciled = std::mem::replace(&mut peer.is_reconciled, true);
        self.release_suspended(now);
        if self.is_draining && !was_reconciled {
            self.offer_all();
        }
    }
}
