//! Progress of copying ends to other stores: which ends are stored on too few disks, and which stores have which of the
//! transferred ends.

use crate::end_transfer::transferred_bytes;
use crate::message::{Key, Millis, Node};
use crate::peer_message::TransferredEnd;
use crate::repair_deadline::RepairDeadline;
use crate::under_replicated_ends::{CopyPosition, UnderReplicatedEnds};
use std::collections::{BTreeSet, HashMap, HashSet};

/// A transferred end that is not confirmed within this time is sent again.
const END_CONFIRM_LIMIT: Millis = 3000;

/// An end that was sent to another store.
#[derive(Clone, Copy, Debug)]
struct SentEnd {
    at: Millis,
    bytes: u64,
}

impl SentEnd {
    fn may_be_confirmed(&self, now: Millis) -> bool {
        now < self.at + END_CONFIRM_LIMIT
    }
}

/// Progress of the transfer of ends to other stores.
#[derive(Debug, Default)]
pub(crate) struct EndReplication {
    /// Ends that may be stored on too few disks. They are checked a few times a second.
    pub(crate) under_replicated: UnderReplicatedEnds,
    /// Where the next check begins, if the last one examined as many ends as it may.
    pub(crate) next_check_from: Option<CopyPosition>,
    /// Time by which the ends that are stored on too few disks have to be copied.
    pub(crate) deadline: RepairDeadline,
    /// Time since which some ends are stored on too few disks.
    pub(crate) under_replicated_since: Option<Millis>,
    /// Stores whose disk is lost. Their new disk is recorded once all ends are on enough disks again.
    pub(crate) lost_stores: BTreeSet<Node>,
    /// Ends that each other store has confirmed to this one, while this store is retiring.
    confirmed: HashMap<Node, HashSet<Key>>,
    sent: HashMap<(Node, Key), SentEnd>,
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
        self.sent.retain(|(to, _), _| *to != node);
    }

    /// Notes that a store has confirmed these ends as being on its disk.
    pub(crate) fn confirm(&mut self, node: Node, keys: &[Key]) {
        self.confirmed.entry(node).or_default().extend(keys);
    }

    /// Notes that these ends are being sent to a store.
    pub(crate) fn mark_sent(&mut self, now: Millis, to: Node, ends: &[TransferredEnd]) {
        let sent = |end: &TransferredEnd| SentEnd { at: now, bytes: transferred_bytes(end) };
        self.sent.extend(ends.iter().map(|end| ((to, end.key), sent(end))));
    }

    /// Notes that a store has confirmed the end of this message, or that its confirmation is no longer needed.
    pub(crate) fn clear_in_flight(&mut self, node: Node, key: Key) {
        self.sent.remove(&(node, key));
    }

    /// Whether a store has confirmed the end of this message.
    pub(crate) fn is_confirmed(&self, node: Node, key: Key) -> bool {
        self.confirmed.get(&node).is_some_and(|keys| keys.contains(&key))
    }

    /// Whether the end of this message was sent to a store that may still confirm it.
    pub(crate) fn is_in_flight(&self, now: Millis, node: Node, key: Key) -> bool {
        self.sent.get(&(node, key)).is_some_and(|sent| sent.may_be_confirmed(now))
    }

    /// Bytes of the ends that were sent to stores that may still confirm them.
    pub(crate) fn bytes_in_flight(&self, now: Millis) -> u64 {
        self.sent.values().filter(|sent| sent.may_be_confirmed(now)).map(|sent| sent.bytes).sum()
    }
}
