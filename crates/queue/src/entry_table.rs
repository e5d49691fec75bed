//! Table of the entries of all messages that a store knows, by key.

use crate::entry::Entry;
use crate::idempotency::IdempotencyDigest;
use crate::message::Key;
use std::collections::{BTreeSet, HashMap};

/// Maps keys to entries. Each entry is allocated separately on the heap and the map holds pointers: while a hash map
/// grows, the old and the new slots exist at once, and afterwards it has up to twice the slots it needs. With the
/// entries stored in the slots this took more memory than everything else.
#[derive(Default)]
pub(crate) struct EntryTable {
    entries: HashMap<Key, Box<Entry>>,
    /// Keys of the messages with an idempotency key, by the digest of that key.
    by_digest: BTreeSet<(IdempotencyDigest, Key)>,
}

impl EntryTable {
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key).map(Box::as_ref)
    }

    pub fn get_mut(&mut self, key: &Key) -> Option<&mut Entry> {
        self.entries.get_mut(key).map(Box::as_mut)
    }

    pub fn contains_key(&self, key: &Key) -> bool {
        self.entries.contains_key(key)
    }

    /// Inserts an entry, replacing an earlier one with the same key.
    pub fn insert(&mut self, key: Key, entry: Entry) {
        self.by_digest.extend(entry.digest.map(|digest| (digest, key)));
        self.entries.insert(key, Box::new(entry));
    }

    pub fn remove(&mut self, key: &Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        if let Some(digest) = entry.digest {
            self.by_digest.remove(&(digest, *key));
        }
        Some(*entry)
    }

    /// The messages whose idempotency key has this digest. There is one, unless a message was not accepted and then
    /// submitted again.
    pub fn with_digest(&self, digest: IdempotencyDigest) -> impl Iterator<Item = Key> + '_ {
        self.with_digests_from(digest).take_while(move |(other, _)| *other == digest).map(|(_, key)| key)
    }

    /// The messages whose digest is this one or a higher one, in the order of digests.
    pub fn with_digests_from(
        &self,
        digest: IdempotencyDigest,
    ) -> impl Iterator<Item = (IdempotencyDigest, Key)> + '_ {
        self.by_digest.range((digest, Key::default())..).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter().map(|(key, entry)| (key, entry.as_ref()))
    }

    pub fn values(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(Box::as_ref)
    }

    /// Number of messages in the table, including ended ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
