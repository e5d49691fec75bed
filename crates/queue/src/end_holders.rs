//! Which other stores hold the end of a message that is done with.
//!
//! Every store that knows an end keeps a list of the others that have it, whoever owned the message: from the message's own list
//! when it ends, and from then on from what the others confirm. When one of them loses its disk, each of the others sees which
//! ends lie on too few disks now, and copies them once more.

use crate::entry::Entry;
use crate::message::{Key, Node};
use crate::queue::Queue;
use crate::record::Record;

impl Queue {
    /// A message has ended, and nothing else is left to do for it: only its end is kept from now on, on as many disks as the
    /// message was. Stores that may not hold it are taken off its list, on disk too.
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
        self.note_under_replicated_end(key);
        self.end_replication.mark_incomplete();
    }

    /// The disk of a store is lost, or the store was away for so long that what it holds is made anew elsewhere.
    pub(crate) fn holder_lost(&mut self, node: Node) {
        self.end_replication.forget_store(node);
        self.end_replication.lost_stores.insert(node);
        let held = self
            .settled_entries()
            .filter(|(_, entry)| entry.other_holders(self.settings.node).any(|n| n == node));
        let held: Vec<Key> = held.map(|(key, _)| key).collect();
        for key in held {
            self.remove_end_holder(key, node);
            self.note_under_replicated_end(key);
        }
    }

    /// Whether a store is on the list of those that hold some end.
    pub(crate) fn is_end_holder(&self, node: Node) -> bool {
        let own_node = self.settings.node;
        self.settled_entries().any(|(_, entry)| entry.other_holders(own_node).any(|holder| holder == node))
    }

    /// Looks through all ends for those on too few disks: after a start, and when another store is to be emptied.
    pub(crate) fn find_under_replicated_ends(&mut self) {
        let keys: Vec<Key> = self.settled_entries().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.note_under_replicated_end(key));
    }

    /// Another store has the end of a message on its disk.
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

    /// Not synced: after a crash that loses the record the loss of the disk is found once more, for the disk that the other store
    /// had before is recorded until all ends are on enough disks again.
    fn record_end_holders(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        let (owner, term, replicas) = (entry.owner, entry.term, entry.replicas.clone());
        self.record(&Record::OwnerChanged { key, owner, term, replicas }, false);
    }

    fn note_under_replicated_end(&mut self, key: Key) {
        let is_under_replicated = |entry: &Entry| self.is_end_under_replicated(entry);
        if self.entries.get(&key).is_some_and(is_under_replicated) {
            self.end_replication.under_replicated.insert(key);
        }
    }

    fn settled_entries(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.entries.iter().filter(|(_, entry)| entry.is_settled()).map(|(key, entry)| (*key, entry))
    }
}
