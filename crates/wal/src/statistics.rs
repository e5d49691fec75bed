//! Counters of a log's operations since it was opened.

use std::sync::atomic::{AtomicU64, Ordering};

/// The values of a log's counters since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Number of appended records.
    pub records: u64,
    /// Total size, in bytes, of the appended entries, including their headers.
    pub bytes: u64,
    /// Number of syncs of segments.
    pub syncs: u64,
    /// Number of failed writes, syncs and checkpoints; rejected appends are not counted.
    pub failures: u64,
    /// Number of checkpoints that completed with a snapshot.
    pub checkpoints: u64,
}

/// The atomic counters behind [`Statistics`], shared with the log's writer thread.
#[derive(Default)]
pub struct Counters {
    pub records: AtomicU64,
    pub bytes: AtomicU64,
    pub syncs: AtomicU64,
    pub failures: AtomicU64,
    pub checkpoints: AtomicU64,
}

impl Counters {
    /// Reads the current values. Each counter is read separately, so the values may not be consistent with each other.
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

pub fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}
