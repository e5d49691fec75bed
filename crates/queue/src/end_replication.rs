//! Progress of copying ends to other stores: which ends are stored on too few disks, and which stores have which of the
//! transferred ends.

use crate::message::{Key, Millis, Node};
use crate::peer_message::TransferredEnd;
use std::collections::{BTreeSet, HashMap, HashSet};

/// A transferred end that is not confirmed within this time is sent again.
const END_CONFIRM_LIMIT: Millis = 3000;

/// Progress of the transfer of ends to other stores.
#[derive(Debug, Default)]
pub(crate) struct EndReplication {
    /// Ends that may be stored on too few disks. They are checked a few times a second.
    pub(crate) under_replicated: BTreeSet<Key>,
    /// First key of the next check, if the last one did not get through all ends.
    pub(crate) next_check_from: Option<Key>,
    /// Time since which some ends are stored on too few disks.
    pub(crate) under_replicated_since: Option<Millis>,
    /// Stores whose disk is lost. Their new disk is recorded once all ends are on enough disks again.
    pub(crate) lost_stores: BTreeSet<Node>,
    /// Ends that each other store has confirmed to this one, while this store is retiring.
    confirmed: HashMap<Node, HashSet<Key>>,
    sent_at: HashMap<(Node, Key), Millis>,
    /// Set while this store is retiring, if no message has ended and no store has left since all ends were transferred.
    is_complete: bool,
}

impl EndReplication {
    /// Whether all ends known here are stored on enough other disks for a retiring store to be removed.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Notes that there may be new ends to transfer.
    pub(crate) fn mark_incomplete(&mut self) {
        self.is_complete = false;
    }

    /// Notes that all ends are stored on enough other disks, so that this store may be removed.
    pub(crate) fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// Discards the confirmations of a store and the ends sent to it, which may be lost with its disk or its
    /// connection.
    pub(crate) fn forget_store(&mut self, node: Node) {
        self.is_complete = false;
        self.confirmed.remove(&node);
        self.sent_at.retain(|(to, _), _| *to != node);
    }

    /// Notes that a store has confirmed these ends as being on its disk.
    pub(crate) fn confirm(&mut self, node: Node, keys: &[Key]) {
        self.confirmed.entry(node).or_default().extend(keys);
    }

    /// Notes that these ends are being sent to a store.
    pub(crate) fn mark_sent(&mut self, now: Millis, to: Node, ends: &[TransferredEnd]) {
        self.sent_at.extend(ends.iter().map(|end| ((to, end.key), now)));
    }

    /// Notes that a store has confirmed the end of this message, or that its confirmation is no longer needed.
    pub(crate) fn clear_in_flight(&mut self, node: Node, key: Key) {
        self.sent_at.remove(&(node, key));
    }

    /// Whether a store has confirmed the end of this message.
    pub(crate) fn is_confirmed(&self, node: Node, key: Key) -> bool {
        self.confirmed.get(&node).is_some_and(|keys| keys.contains(&key))
    }

    /// Whether the end of this message was sent to a store that may still confirm it.
    pub(crate) fn is_in_flight(&self, now: Millis, node: Node, key: Key) -> bool {
        self.sent_at.get(&(node, key)).is_some_and(|sent_at| now < sent_at + END_CONFIRM_LIMIT)
    }
}
