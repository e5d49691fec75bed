//! Retirement of a store: it accepts nothing more and hands over the messages it owns to stores that hold their
//! replicas, while the other stores recreate elsewhere the replicas it holds. It is empty when all of them have
//! reported that they need no replica here.

use crate::effect::Effect;
use crate::message::{Key, Millis, Node};
use crate::peer::Peer;
use crate::peer_message::PeerMessage;
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::{Queue, RetirementOrder};
use crate::record::Record;

/// Interval at which a retiring store is notified again that none of its replicas is needed, in case a notice is lost
/// with its connection.
const RELEASE_INTERVAL: Millis = 500;

/// Progress of the retirement of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetirementState {
    /// The store is in service, or the order to retire is not on disk yet.
    NotOrdered,
    /// The order to retire is on disk, but not all messages and ends on this store are stored elsewhere yet.
    InProgress,
    /// No other store relies on anything stored here: the store may be removed with its disk.
    Empty,
}

impl RetirementState {
    fn ordered(is_empty: bool) -> RetirementState {
        if is_empty {
            RetirementState::Empty
        } else {
            RetirementState::InProgress
        }
    }
}

impl Queue {
    /// Retires the store, as ordered by an operator. The order survives restarts, because it is on disk before it is
    /// confirmed.
    pub fn retire(&mut self, now: Millis) {
        if self.is_retiring() {
            return;
        }
        self.retirement = RetirementOrder::Pending;
        self.record(&Record::RetirementOrdered, true);
        self.after_write(PendingWrite::Retirement);
        self.begin_retiring(now);
    }

    pub(crate) fn begin_retiring(&mut self, now: Millis) {
        self.send_to_connected(&PeerMessage::Retiring);
        self.begin_draining(now);
    }

    /// Progress of the retirement of this store.
    pub fn retirement_state(&self) -> RetirementState {
        if self.retirement != RetirementOrder::Durable {
            return RetirementState::NotOrdered;
        }
        let owns_nothing = self.owned_here().next().is_none()
            && self.unfinished_count() == 0
            && self.flush_ends_at.is_none();
        if self.planted(PlantedFault::RetiredEarly) {
            return RetirementState::ordered(owns_nothing);
        }
        let is_empty = owns_nothing
            && self.is_released_by_owners()
            && self.are_ends_transferred()
            && self.is_released_by_members();
        RetirementState::ordered(is_empty)
    }

    fn are_ends_transferred(&self) -> bool {
        self.end_replication.is_complete() || self.planted(PlantedFault::EndsGoAlong)
    }

    /// Whether every member has reported that it needs no replica here. A store that is partitioned, or does not know
    /// the members yet, cannot tell.
    fn is_released_by_members(&self) -> bool {
        let mut members = self.peers.iter().filter(|(_, peer)| peer.is_member).peekable();
        let are_members_known =
            members.peek().is_some() && self.control_contact.is_reachable && self.knows_members;
        are_members_known && members.all(|(node, peer)| peer.is_connected && self.released_by.contains(node))
    }

    /// Whether the owner of each replica held here has reported that it needs no replica here. A replica whose owner is
    /// gone may be the only copy left: the message is first taken over and handed over.
    fn is_released_by_owners(&self) -> bool {
        let has_released = |node: Node| {
            let is_connected = self.peers.get(&node).is_some_and(|peer| peer.is_connected);
            is_connected && self.released_by.contains(&node)
        };
        self.owners().all(has_released) || self.planted(PlantedFault::OrphansUnheeded)
    }

    /// Cancels a peer's earlier report that it needs no replica here, because it relies on one again.
    pub(crate) fn needs_replicas_again(&mut self, node: Node) {
        if !self.planted(PlantedFault::RelievedForever) {
            self.released_by.remove(&node);
        }
    }

    /// Whether the other store is retiring, so that no replica there is relied on.
    pub(crate) fn is_peer_retiring(&self, node: Node) -> bool {
        self.peers.get(&node).is_some_and(Peer::is_retiring)
    }

    /// Continues this store's retirement and that of peers: the replicas at retiring peers are recreated elsewhere, at
    /// the rate of repair, and the peers are notified once none of them is needed.
    pub(crate) fn check_retirements(&mut self, now: Millis) {
        if self.is_retiring() {
            self.offer_all();
        }
        if self.fenced_since.is_some() {
            // The stores that hold replicas may have taken over, so their reports are awaited first.
            return;
        }
        let is_due = |peer: &Peer| {
            peer.is_retiring() && peer.is_reconciled && now >= peer.released_at + RELEASE_INTERVAL
        };
        let due = self.peers.iter().filter(|(_, peer)| is_due(peer));
        let due: Vec<Node> = due.map(|(node, _)| *node).collect();
        for node in due {
            self.release_peer(now, node);
        }
    }

    /// Recreates elsewhere the replicas at a retiring store, or notifies it that none of them is needed.
    fn release_peer(&mut self, now: Millis, node: Node) {
        let replicated = self.owned_here().filter(|(_, entry)| entry.replicas.contains(&node));
        let replicated: Vec<Key> = replicated.map(|(key, _)| key).collect();
        let is_unneeded = replicated.is_empty()
            && self.under_replicated.is_empty()
            && self.owned_here().all(|(_, entry)| self.are_replicas_confirmed(entry));
        for key in replicated {
            if self.planted(PlantedFault::ListShortenedEarly) {
                self.replica_lost(now, key, node);
            } else {
                self.check_replication(now, key);
            }
        }
        if is_unneeded {
            self.peers.entry(node).or_default().released_at = now;
            self.emit(Effect::Send { to: node, message: PeerMessage::NoReplicasNeeded });
        }
    }
}
