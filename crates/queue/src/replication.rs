//! Replication between stores: who owns a message, where its replicas lie, and how two stores come to agree on both.

mod connections;
mod fence;
mod handover;
mod ownership;
mod peer_messages;
mod placement;
mod reconciliation;
mod release;
mod replicas;
mod takeover;

use crate::effect::Effect;
use crate::entry::Entry;
use crate::message::{Key, Millis, Node};
use crate::outbox::Outbox;
use crate::peer::{Peer, PeerRecovery};
use crate::peer_message::PeerMessage;
use crate::queue::Queue;

/// A store that is no member and not connected for so long has lost what it owned to the stores that hold replicas.
const TAKEOVER_DELAY: Millis = 2000;

/// After its start, or a fence, a store waits so long for those that hold replicas of what it owned.
const RECONCILIATION_LIMIT: Millis = 3000;

/// A message that others may have run waits so long before it starts here: whoever knows that it has ended, or has a newer
/// owner, objects in that time.
const OBJECTION_WINDOW: Millis = 100;

impl Queue {
    /// What is sent to that store at the end of the turn.
    pub(crate) fn outbox(&mut self, node: Node) -> &mut Outbox {
        &mut self.peers.entry(node).or_default().outbox
    }

    /// Sends a message to all stores that are connected.
    pub(crate) fn send_to_connected(&mut self, message: &PeerMessage) {
        let connected = self.peers.iter().filter(|(_, peer)| peer.is_connected);
        let connected: Vec<Node> = connected.map(|(node, _)| *node).collect();
        for to in connected {
            self.emit(Effect::Send { to, message: message.clone() });
        }
    }

    /// Sends the batches of ends and of delivered callbacks.
    pub(crate) fn send_ends(&mut self) {
        self.flush_ends_at = None;
        self.send_from_outboxes(Outbox::take_ends);
    }

    /// Sends what has gathered in this turn, but for the batches of ends.
    pub(crate) fn send_gathered(&mut self) {
        self.send_from_outboxes(Outbox::take_messages);
    }

    fn send_from_outboxes(&mut self, take: fn(&mut Outbox) -> Vec<PeerMessage>) {
        let mut messages = Vec::new();
        for (node, peer) in self.peers.iter_mut().filter(|(_, peer)| peer.is_connected) {
            messages.extend(take(&mut peer.outbox).into_iter().map(|message| (*node, message)));
        }
        for (to, message) in messages {
            self.emit(Effect::Send { to, message });
        }
    }

    /// The owner of a message; no node has the identifier that stands for an unknown message.
    fn owner_of(&self, key: Key) -> Node {
        self.entries.get(&key).map_or(Node::MAX, |entry| entry.owner)
    }

    /// How many connected stores come before this one in the list of replicas: the first takes over at once. A store that the
    /// list no longer names comes last. One that recovers from the loss of its disk has nothing to take over.
    fn takeover_rank(&self, entry: &Entry) -> u64 {
        let may_take_over = |peer: &Peer| peer.is_connected && peer.recovery == PeerRecovery::None;
        let before = entry.replicas.iter().take_while(|node| **node != self.settings.node);
        before.filter(|node| self.peers.get(node).is_some_and(may_take_over)).count() as u64
    }
}
