//! Which other stores have which of the ends that are transferred from here.

use crate::message::{Key, Millis, Node};
use crate::peer_message::TransferredEnd;
use std::collections::{BTreeSet, HashMap, HashSet};

/// A transferred end that is not confirmed for so long is sent again.
const END_CONFIRM_LIMIT: Millis = 3000;

/// The progress of the transfer of ends to other stores.
#[derive(Debug, Default)]
pub(crate) struct EndReplication {
    confirmed: HashMap<Node, HashSet<Key>>,
    sent_at: HashMap<(Node, Key), Millis>,
    /// Stores whose disk is lost: the ends that they knew are transferred too.
    lost_stores: BTreeSet<Node>,
    /// Nothing has ended, and no store has gone, since all ends were transferred.
    is_complete: bool,
}

impl EndReplication {
    /// All ends that are known here lie on enough other disks.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Some store's disk is lost, and the ends that it knew have yet to be replaced.
    pub(crate) fn has_lost_stores(&self) -> bool {
        !self.lost_stores.is_empty()
    }

    /// There may be something new to transfer.
    pub(crate) fn mark_incomplete(&mut self) {
        self.is_complete = false;
    }

    /// All ends lie on enough other disks. Unless this store retires, what is known of its peers is not needed any more. Gives
    /// the stores that had lost ends.
    pub(crate) fn complete(&mut self, is_retiring: bool) -> BTreeSet<Node> {
        let restored = self.lost_stores.clone();
        if !is_retiring {
            *self = EndReplication::default();
        }
        self.is_complete = true;
        restored
    }

    /// What that store had may be gone with its disk.
    pub(crate) fn forget_store(&mut self, node: Node) {
        self.is_complete = false;
        self.confirmed.remove(&node);
        self.sent_at.retain(|(to, _), _| *to != node);
    }

    /// A store's disk is lost: what it knew is known on one disk less.
    pub(crate) fn store_lost(&mut self, node: Node) {
        self.forget_store(node);
        self.lost_stores.insert(node);
    }

    /// The ends of a message with this owner and these replicas were known to a store that is lost.
    pub(crate) fn concerns(&self, owner: Node, replicas: &[Node]) -> bool {
        self.lost_stores.contains(&owner) || replicas.iter().any(|node| self.lost_stores.contains(node))
    }

    /// A store has these ends on disk.
    pub(crate) fn confirm(&mut self, node: Node, keys: Vec<Key>) {
        self.confirmed.entry(node).or_default().extend(keys);
    }

    /// These ends are being sent to a store.
    pub(crate) fn mark_sent(&mut self, now: Millis, to: Node, ends: &[TransferredEnd]) {
        self.sent_at.extend(ends.iter().map(|end| ((to, end.key), now)));
    }

    /// A store has confirmed the end of this message.
    pub(crate) fn is_confirmed(&self, node: Node, key: Key) -> bool {
        self.confirmed.get(&node).is_some_and(|keys| keys.contains(&key))
    }

    /// The end of this message was sent to a store that may yet confirm it.
    pub(crate) fn is_in_flight(&self, now: Millis, node: Node, key: Key) -> bool {
        self.sent_at.get(&(node, key)).is_some_and(|sent_at| now < sent_at + END_CONFIRM_LIMIT)
    }
}
