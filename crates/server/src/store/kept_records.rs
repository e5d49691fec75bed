//! Records that outlive the process before the log has written them, in a mapped file of their own.

use std::path::Path;
use stileroute_crash_buffer::{CrashBuffer, LeftRecord, Slot};

/// As many records of a file may be unwritten, which is 2 MiB.
pub(super) const SLOT_COUNT: usize = 8192;
/// Of these slots so many are for what other stores send: each of two may send as many as it has attempts in flight.
const SLOTS_FOR_NOTICES: usize = SLOT_COUNT / 4 * 3;

/// The slots of one file, or none where it can't be used: then records are only in the log.
pub(super) struct KeptRecords {
    buffer: Option<CrashBuffer>,
    unkept: u64,
}

impl KeptRecords {
    /// Opens the file, and gives what the process before left there. `unusable` is logged where that fails.
    pub(super) fn open(path: &Path, unusable: &'static str) -> (KeptRecords, Vec<LeftRecord>) {
        let (buffer, left) = match CrashBuffer::open(path, SLOT_COUNT) {
            Ok((buffer, left)) => (Some(buffer), left),
            Err(error) => {
                tracing::error!(%error, "{unusable}");
                (None, Vec::new())
            }
        };
        (KeptRecords { buffer, unkept: 0 }, left)
    }

    /// Keeps a record, and gives its slot; `None` where the file did not take it.
    pub(super) fn insert(&mut self, record: &[u8]) -> Option<Slot> {
        let slot = self.buffer.as_mut().and_then(|buffer| buffer.insert(record).ok());
        self.unkept += u64::from(slot.is_none());
        slot
    }

    /// A record, if it was kept, need not be kept any longer.
    pub(super) fn remove(&mut self, slot: Option<Slot>) {
        if let Some((buffer, slot)) = self.buffer.as_mut().zip(slot) {
            buffer.remove(slot);
        }
    }

    /// How many more attempts may be in flight.
    pub(super) fn capacity(&self) -> usize {
        self.buffer
            .as_ref()
            .map_or(usize::MAX, |buffer| buffer.free_slots().saturating_sub(SLOTS_FOR_NOTICES))
    }

    /// Records so far that the file did not take.
    pub(super) fn unkept(&self) -> u64 {
        self.unkept
    }
}
