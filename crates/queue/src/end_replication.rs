//! Which ends lie on too few disks, and which other stores have which of the ends that are transferred from here.

use crate::message::{Key, Millis, Node};
use crate::peer_message::TransferredEnd;
use std::collections::{BTreeSet, HashMap, HashSet};

/// A transferred end that is not confirmed for so long is sent again.
const END_CONFIRM_LIMIT: Millis = 3000;

/// The progress of the transfer of ends to other stores.
#[derive(Debug, Default)]
pub(crate) struct EndReplication {
    /// Ends that may lie on too few disks: they are looked at a few times a second.
    pub(crate) under_replicated: BTreeSet<Key>,
    /// Where the next look begins, if the last one did not reach the end.
    pub(crate) next_look_from: Option<Key>,
    /// Since when some ends lie on too few disks.
    pub(crate) under_replicated_since: Option<Millis>,
    /// Stores whose disk is lost, and whose new disk is recorded once all ends are on enough disks again.
    pub(crate) lost_stores: BTreeSet<Node>,
    /// Which other stores have confirmed which ends to this one, while it is being retired.
    confirmed: HashMap<Node, HashSet<Key>>,
    sent_at: HashMap<(Node, Key), Millis>,
    /// While this store is being retired: nothing has ended, and no store has gone, since all ends were transferred.
    is_complete: bool,
}

impl EndReplication {
    /// All ends that are known here lie on enough other disks, as far as a store that is being retired has to know.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// There may be something new to transfer.
    pub(crate) fn mark_incomplete(&mut self) {
        self.is_complete = false;
    }

    /// All ends lie on enough other disks, and this store may be taken away.
    pub(crate) fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// What that store has confirmed, or was sent, may be gone with its disk or its connection.
    pub(crate) fn forget_store(&mut self, node: Node) {
        self.is_complete = false;
        self.confirmed.remove(&node);
        self.sent_at.retain(|(to, _), _| *to != node);
    }

    /// A store has these ends on disk.
    pub(crate) fn confirm(&mut self, node: Node, keys: &[Key]) {
        self.confirmed.entry(node).or_default().extend(keys);
    }

    /// These ends are being sent to a store.
    pub(crate) fn mark_sent(&mut self, now: Millis, to: Node, ends: &[TransferredEnd]) {
        self.sent_at.extend(ends.iter().map(|end| ((to, end.key), now)));
    }

    /// A store has answered for the end of this message, or need not answer any more.
    pub(crate) fn sent_end_settled(&mut self, node: Node, key: Key) {
        self.sent_at.remove(&(node, key));
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
