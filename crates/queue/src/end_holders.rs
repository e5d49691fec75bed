//! Tracks which other stores hold the end of a message for which no work is left.
//!
//! Every store that knows an end keeps a list of the other stores that have it, whichever store owned the message. The
//! list starts as the message's replica list when it ends, and is updated by confirmations from other stores. When one
//! of the holders loses its disk, each other holder sees which ends are now stored on too few disks, and copies them
//! again.

use crate::end_transfer::end_bytes;
use crate::entry::Entry;
use crate::message::{Key, Node};
use crate::queue::Queue;
use crate::record::Record;

impl Queue {
    /// Starts tracking the end of a message that has ended and for which nothing is left to do. From now on only its
    /// end is kept, on as many disks as the message was. Stores that may not hold it are removed from its holder list,
    /// on disk too.
    pub(crate) fn track_end(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key).filter(|entry| entry.is_settled()) else { return };
        let holders = entry.other_holders(self.settings.node);
        let uncertain: Vec<Node> = holders.filter(|node| self.is_holder_uncertain(entry, *node)).collect();
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.unconfirmed = Vec::new();
        }
        for node in uncertain {
            self.remove_end_holder(key, node);
        }
        self.mark_if_under_replicated(key);
        self.end_replication.mark_incomplete();
    }

    /// Removes a store from all holder lists, because its disk is lost, or because it was away for so long that its
    /// replicas are recreated elsewhere.
    pub(crate) fn holder_lost(&mut self, node: Node) {
        self.end_replication.forget_store(node);
        self.end_replication.lost_stores.insert(node);
        let held = self
            .settled_entries()
            .filter(|(_, entry)| entry.other_holders(self.settings.node).any(|n| n == node));
        let held: Vec<Key> = held.map(|(key, _)| key).collect();
        for key in held {
            self.remove_end_holder(key, node);
            self.mark_if_under_replicated(key);
        }
    }

    /// Whether a store is on the holder list of any end.
    pub(crate) fn is_end_holder(&self, node: Node) -> bool {
        let own_node = self.settings.node;
        self.settled_entries().any(|(_, entry)| entry.other_holders(own_node).any(|holder| holder == node))
    }

    /// Finds the ends that are stored on too few disks. Called after a start and when another store begins to retire.
    pub(crate) fn find_under_replicated_ends(&mut self) {
        let keys: Vec<Key> = self.settled_entries().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.mark_if_under_replicated(key));
    }

    /// Adds a store that has confirmed the end of a message on its disk to the end's holder list.
    pub(crate) fn add_end_holder(&mut self, key: Key, node: Node) {
        let own_node = self.settings.node;
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.is_settled()) else { return };
        if node == own_node || entry.other_holders(own_node).any(|holder| holder == node) {
            return;
        }
        entry.replicas.push(node);
        self.record_end_holders(key);
    }

    fn remove_end_holder(&mut self, key: Key, node: Node) {
        let own_node = self.settings.node;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.replicas.retain(|holder| *holder != node);
        if entry.owner == node {
            entry.owner = own_node;
        }
        self.record_end_holders(key);
    }

    /// Records the holder list of an end, without a sync. If a crash loses the record, the loss of the disk is detected
    /// again, because the previous disk of the other store stays on record until all ends are on enough disks again.
    fn record_end_holders(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        let (owner, term, replicas) = (entry.owner, entry.term, entry.replicas.clone());
        self.record(&Record::OwnerChanged { key, owner, term, replicas }, false);
    }

    /// Finds the ends that are stored on too few disks now that those of `node` do not count.
    pub(crate) fn find_under_replicated_ends_at(&mut self, node: Node) {
        let own_node = self.settings.node;
        let is_held_there = |entry: &Entry| entry.other_holders(own_node).any(|holder| holder == node);
        let held = self.settled_entries().filter(|(_, entry)| is_held_there(entry));
        let held: Vec<Key> = held.map(|(key, _)| key).collect();
        held.into_iter().for_each(|key| self.mark_if_under_replicated(key));
    }

    fn mark_if_under_replicated(&mut self, key: Key) {
        let under_replicated = self.entries.get(&key).filter(|entry| self.is_end_under_replicated(entry));
        if let Some(bytes) = under_replicated.map(end_bytes) {
            self.end_replication.under_replicated.insert(key, bytes);
        }
    }

    fn settled_entries(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.entries.iter().filter(|(_, entry)| entry.is_settled()).map(|(key, entry)| (*key, entry))
    }
}
