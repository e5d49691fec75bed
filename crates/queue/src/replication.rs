//! Replication between stores: which store owns a message, which stores hold its replicas, and how two stores come to
//! agree on both.

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

/// How long a store must be no member and not connected before the stores that hold replicas take over the messages
/// that it owned.
const TAKEOVER_DELAY_MS: Millis = 2000;

/// How long a store waits, after its start or while fenced, for the stores that hold replicas of its messages.
const RECONCILIATION_TIMEOUT_MS: Millis = 3000;

/// How long a message that others may have run waits before it starts here. A store that knows that it has ended, or
/// has a newer owner, objects within that time.
const OBJECTION_WINDOW_MS: Millis = 100;

impl Queue {
    /// Messages to be sent to a store at the end of the turn.
    pub(crate) fn outbox(&mut self, node: Node) -> &mut Outbox {
        &mut self.peers.entry(node).or_default().outbox
    }

    /// Sends a message to all connected stores.
    pub(crate) fn send_to_connected(&mut self, message: &PeerMessage) {
        let connected = self.peers.iter().filter(|(_, peer)| peer.is_connected);
        let connected: Vec<Node> = connected.map(|(node, _)| *node).collect();
        for to in connected {
            self.emit(Effect::Send { to, message: message.clone() });
        }
    }

    /// Sends the batched ends and delivered callbacks.
    pub(crate) fn send_ends(&mut self) {
        self.flush_ends_at = None;
        self.send_from_outboxes(Outbox::take_ends);
    }

    /// Sends everything that was collected in this turn, except the batched ends.
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

    /// The owner of a message; `Node::MAX`, which no node has, stands for an unknown message.
    fn owner_of(&self, key: Key) -> Node {
        self.entries.get(&key).map_or(Node::MAX, |entry| entry.owner)
    }

    /// Number of connected stores before this one in the message's replica list: the first store in the list takes
    /// over at once. A store that is no longer in the list comes last. A store that recovers from the loss of its
    /// disk is not counted, because it has nothing to take over.
    fn takeover_rank(&self, entry: &Entry) -> u64 {
        let may_take_over = |peer: &Peer| peer.is_connected && peer.recovery == PeerRecovery::None;
        let before = entry.replicas.iter().take_while(|node| **node != self.settings.node);
        before.filter(|node| self.peers.get(node).is_some_and(may_take_over)).count() as u64
    }
}
