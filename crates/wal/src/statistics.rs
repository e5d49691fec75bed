//! What a log has done since it was opened.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counted since the opening.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Records that were appended.
    pub records: u64,
    /// Bytes of the entries that were appended, with their headers.
    pub bytes: u64,
    /// Syncs of segments.
    pub syncs: u64,
    /// Writes, syncs and checkpoints that failed; refused appends are not counted.
    pub failures: u64,
    /// Checkpoints that ended with a snapshot.
    pub checkpoints: u64,
}

/// The counters behind [`Statistics`], shared with the writer's thread.
#[derive(Default)]
pub struct Counters {
    pub records: AtomicU64,
    pub bytes: AtomicU64,
    pub syncs: AtomicU64,
    pub failures: AtomicU64,
    pub checkpoints: AtomicU64,
}

impl Counters {
    /// The counts at this moment, each by itself.
    pub fn read(&self) -> Statistics {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Statistics {
            records: read(&self.records),
            bytes: read(&self.bytes),
            syncs: read(&self.syncs),
            failures: read(&self.failures),
            checkpoints: read(&self.checkpoints),
        }
    }
}

/// Counts up.
pub fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}
