//! The messages that repair has to send again, in the order of their times, and how many bytes they have.

use crate::message::{Key, Millis};
use std::collections::{BTreeSet, HashMap};

/// A message that is scheduled for repair.
#[derive(Clone, Copy, Debug)]
struct ScheduledRepair {
    at: Millis,
    bytes: u64,
}

/// Messages with too few replicas, by the time at which repair checks them.
#[derive(Debug, Default)]
pub(crate) struct RepairQueue {
    by_time: BTreeSet<(Millis, Key)>,
    by_key: HashMap<Key, ScheduledRepair>,
    missing_bytes: u64,
}

impl RepairQueue {
    /// Schedules a message, in place of an earlier time if it has one. `bytes` is the size of one replica.
    pub(crate) fn schedule(&mut self, at: Millis, key: Key, bytes: u64) {
        self.cancel(key);
        self.by_time.insert((at, key));
        self.by_key.insert(key, ScheduledRepair { at, bytes });
        self.missing_bytes += bytes;
    }

    /// Removes a message that needs no repair.
    pub(crate) fn cancel(&mut self, key: Key) {
        let Some(ScheduledRepair { at, bytes }) = self.by_key.remove(&key) else { return };
        self.by_time.remove(&(at, key));
        self.missing_bytes -= bytes;
    }

    /// Whether a message is scheduled.
    pub(crate) fn contains(&self, key: Key) -> bool {
        self.by_key.contains_key(&key)
    }

    /// The message that is checked first, with its time.
    pub(crate) fn first(&self) -> Option<(Millis, Key)> {
        self.by_time.first().copied()
    }

    /// All scheduled messages, in the order of their times.
    pub(crate) fn keys(&self) -> impl Iterator<Item = Key> + '_ {
        self.by_time.iter().map(|(_, key)| *key)
    }

    /// Number of scheduled messages.
    pub(crate) fn len(&self) -> usize {
        self.by_time.len()
    }

    /// Whether no message is scheduled.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_time.is_empty()
    }

    /// Bytes of one replica of each scheduled message.
    pub(crate) fn missing_bytes(&self) -> u64 {
        self.missing_bytes
    }
}
