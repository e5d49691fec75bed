//! A memory-mapped file for records that have to survive the process before the log has written them.

use std::path::Path;
use stileroute_crash_buffer::{CrashBuffer, LeftRecord, Slot};

/// Number of records that one file can hold, which makes it 2 MiB large.
pub(super) const SLOTS_PER_FILE: usize = 8192;
/// Number of slots that are reserved for records sent by other stores: each of two stores may send as many as it has attempts in flight.
const SLOTS_RESERVED_FOR_PEERS: usize = SLOTS_PER_FILE / 4 * 3;

/// The slots of one crash-buffer file. If the file cannot be used there are none, and records are kept in the log only.
pub(super) struct KeptRecords {
    buffer: Option<CrashBuffer>,
    unbuffered_count: u64,
}

impl KeptRecords {
    /// Opens the file and returns the records that the previous process left there. `open_failure` is logged if the file cannot be opened.
    pub(super) fn open(path: &Path, open_failure: &'static str) -> (KeptRecords, Vec<LeftRecord>) {
        let (buffer, left) = match CrashBuffer::open(path, SLOTS_PER_FILE) {
            Ok((buffer, left)) => (Some(buffer), left),
            Err(error) => {
                tracing::error!(%error, "{open_failure}");
                (None, Vec::new())
            }
        };
        (KeptRecords { buffer, unbuffered_count: 0 }, left)
    }

    /// Stores a record in the file and returns its slot, or `None` if the file could not store it.
    pub(super) fn insert(&mut self, record: &[u8]) -> Option<Slot> {
        let slot = self.buffer.as_mut().and_then(|buffer| buffer.insert(record).ok());
        self.unbuffered_count += u64::from(slot.is_none());
        slot
    }

    /// Frees the slot of a record, if the record was stored.
    pub(super) fn remove(&mut self, slot: Option<Slot>) {
        if let Some((buffer, slot)) = self.buffer.as_mut().zip(slot) {
            buffer.remove(slot);
        }
    }

    /// Number of further delivery attempts that may be in flight: the free slots without those reserved for other stores.
    pub(super) fn capacity(&self) -> usize {
        self.buffer
            .as_ref()
            .map_or(usize::MAX, |buffer| buffer.free_slots().saturating_sub(SLOTS_RESERVED_FOR_PEERS))
    }

    /// Number of records so far that the file could not store.
    pub(super) fn unbuffered_count(&self) -> u64 {
        self.unbuffered_count
    }
}
