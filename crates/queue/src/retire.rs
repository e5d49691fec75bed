//! Emptying a store for good: it takes nothing more, gives what it owns to those that hold the copies, and the others make
//! the copies that lie here anew elsewhere. It is empty when all of them have said that they count on it no longer.

use crate::copies::Peer;
use crate::effect::Effect;
use crate::message::{Key, Millis, Node};
use crate::peer_message::PeerMessage;
use crate::pending_writes::PendingWrite;
use crate::planted::PlantedFault;
use crate::queue::{Queue, RetirementOrder};
use crate::record::Record;

/// How often one that retires is told that nobody counts on it: a word lost with a connection comes again.
const TELL: Millis = 500;

/// How far the retirement of a store has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetirementState {
    /// The store is in service, or the order is not on disk yet.
    NotOrdered,
    /// The order is on disk; messages or ends that lie here do not all lie elsewhere yet.
    InProgress,
    /// No other store relies on anything here: the store may be removed with its disk.
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
    /// Ordered by an operator. It holds over restarts: the order is on disk before it is confirmed.
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
        let peers: Vec<Node> =
            self.peers.iter().filter(|(_, p)| p.connected).map(|(node, _)| *node).collect();
        for to in peers {
            self.emit(Effect::Send { to, message: PeerMessage::Retiring });
        }
        self.begin_draining(now);
    }

    /// Whether it retires, and the order is on disk, and if so whether every copy lies elsewhere.
    pub fn retirement_state(&self) -> RetirementState {
        if self.retirement != RetirementOrder::Durable {
            return RetirementState::NotOrdered;
        }
        let empty = self.owned_here().next().is_none()
            && self.unfinished_count() == 0
            && self.flush_ends_at.is_none();
        if self.planted(PlantedFault::RetiredEarly) {
            return RetirementState::ordered(empty);
        }
        let empty = empty && self.owners_count_on_nothing() && self.ends_lie_elsewhere();
        let mut others = self.peers.iter().filter(|(_, p)| p.listed).peekable();
        // Cut off, or before it knows them, it can't speak for the others.
        let known = others.peek().is_some() && self.control_contact.is_heard && self.knows_members;
        let others_agree = others.all(|(node, p)| p.connected && self.released_by.contains(node));
        RetirementState::ordered(empty && known && others_agree)
    }

    fn ends_lie_elsewhere(&self) -> bool {
        self.end_replication.done() || self.planted(PlantedFault::EndsGoAlong)
    }

    /// Of every copy that lies here the owner has said that it counts on none. One whose owner is gone may be the only one
    /// that is left: it is taken over, and given away, first.
    fn owners_count_on_nothing(&self) -> bool {
        let free = |node: Node| {
            self.released_by.contains(&node) && self.peers.get(&node).is_some_and(|peer| peer.connected)
        };
        self.owners().all(free) || self.planted(PlantedFault::OrphansUnheeded)
    }

    /// A store names this one as holder of a copy: what it said before, that it counts on none, holds no longer.
    pub(crate) fn counted_on_by(&mut self, node: Node) {
        if !self.planted(PlantedFault::RelievedForever) {
            self.released_by.remove(&node);
        }
    }

    /// It is to be emptied: no copy that lies there is counted on.
    pub(crate) fn is_emptied(&self, node: Node) -> bool {
        self.peers.get(&node).is_some_and(|peer| peer.retiring)
    }

    /// Another store retires: what it holds for this one is copied elsewhere, at the rate of repair.
    pub(crate) fn look_after_retiring(&mut self, now: Millis) {
        if self.is_retiring() {
            self.hand_all_over();
        }
        if self.fenced_since.is_some() {
            // Those that hold copies may have taken over, and are asked first.
            return;
        }
        let told = |p: &Peer| p.retiring && p.stood && now >= p.relieved_at + TELL;
        let retiring = self.peers.iter().filter(|(_, p)| told(p));
        let retiring: Vec<Node> = retiring.map(|(node, _)| *node).collect();
        for node in retiring {
            let counted = self.owned_here().filter(|(_, e)| e.replicas.contains(&node)).map(|(key, _)| key);
            let counted: Vec<Key> = counted.collect();
            let free = counted.is_empty() && self.under_replicated.is_empty();
            let free = free && self.owned_here().all(|(_, entry)| self.is_confirmed(entry));
            counted.into_iter().for_each(|key| self.not_on(now, key, node));
            if free {
                self.peers.entry(node).or_default().relieved_at = now;
                self.emit(Effect::Send { to: node, message: PeerMessage::NoReplicasNeeded });
            }
        }
    }
}
