//! The entries of all messages that a store knows, by key.

use crate::entry::Entry;
use crate::idempotency::IdempotencyDigest;
use crate::message::Key;
use std::collections::{BTreeSet, HashMap};

/// Entries lie on the heap one by one, and the table holds pointers. A table that grows has the old and the new slots for a moment, and
/// then twice the slots that it needs: with the entries themselves in them that was more memory than all else.
#[derive(Default)]
pub(crate) struct EntryTable {
    entries: HashMap<Key, Box<Entry>>,
    /// Those that have an idempotency key, by its digest.
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

    /// Adds an entry, in place of an earlier one of the same key.
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

    /// The messages whose idempotency key has this digest: one, unless a message was not accepted and then submitted again.
    pub fn with_digest(&self, digest: IdempotencyDigest) -> impl Iterator<Item = Key> + '_ {
        self.with_digests_from(digest).take_while(move |(other, _)| *other == digest).map(|(_, key)| key)
    }

    /// The messages whose digest is this one or a higher one, in order.
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

    /// How many messages are known, those that have ended among them.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
