//! The ends that are stored on too few disks, the smallest first.
//!
//! The record of an end without a body is also the only record of the message's idempotency key. Such records are small
//! and are copied before the bodies of failed messages, which would hold them up.

use crate::message::Key;
use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;

/// Position of an end in the order of copying: its size in bytes, then its key.
pub(crate) type CopyPosition = (u64, Key);

/// Ends that may be stored on too few disks, with their sizes.
#[derive(Debug, Default)]
pub(crate) struct UnderReplicatedEnds {
    by_size: BTreeSet<CopyPosition>,
    size_of: HashMap<Key, u64>,
    total_bytes: u64,
}

impl UnderReplicatedEnds {
    /// Adds an end of this size, unless it is contained already.
    pub(crate) fn insert(&mut self, key: Key, bytes: u64) {
        if self.size_of.contains_key(&key) {
            return;
        }
        self.size_of.insert(key, bytes);
        self.by_size.insert((bytes, key));
        self.total_bytes += bytes;
    }

    /// Removes an end that is stored on enough disks, or is not kept any more.
    pub(crate) fn remove(&mut self, key: Key) {
        let Some(bytes) = self.size_of.remove(&key) else { return };
        self.by_size.remove(&(bytes, key));
        self.total_bytes -= bytes;
    }

    /// At most `count` ends in the order of copying, from this position on or from the first one.
    pub(crate) fn from(&self, position: Option<CopyPosition>, count: usize) -> Vec<CopyPosition> {
        let start = position.map_or(Bound::Unbounded, Bound::Included);
        self.by_size.range((start, Bound::Unbounded)).take(count).copied().collect()
    }

    /// Number of ends.
    pub(crate) fn len(&self) -> usize {
        self.by_size.len()
    }

    /// Whether there are no ends.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_size.is_empty()
    }

    /// Size of all ends together, in bytes.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.total_bytes
    }
}
