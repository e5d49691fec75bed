//! Index of the live messages by the ids that their clients gave them.

use crate::message::Key;
use std::collections::{BTreeSet, HashMap};
use stileroute_dispatch::types::name_hash;

/// Keys of the live messages, by a hash of their ids. Clients may use an id for several messages.
#[derive(Debug, Default)]
pub(crate) struct LiveIds {
    by_hash: BTreeSet<(u64, Key)>,
    hash_of: HashMap<Key, u64>,
}

impl LiveIds {
    /// Adds a message with this id, unless it is contained already.
    pub(crate) fn insert(&mut self, key: Key, id: &str) {
        if self.hash_of.contains_key(&key) {
            return;
        }
        let hash = name_hash(id);
        self.hash_of.insert(key, hash);
        self.by_hash.insert((hash, key));
    }

    /// Removes a message that is not live any more.
    pub(crate) fn remove(&mut self, key: Key) {
        if let Some(hash) = self.hash_of.remove(&key) {
            self.by_hash.remove(&(hash, key));
        }
    }

    /// The messages that may have this id: those whose ids have the same hash.
    pub(crate) fn candidates(&self, id: &str) -> impl Iterator<Item = Key> + '_ {
        let hash = name_hash(id);
        let from_hash = self.by_hash.range((hash, Key::default())..);
        from_hash.take_while(move |(other, _)| *other == hash).map(|(_, key)| *key)
    }
}
