//! Keeps the ends of messages that were appended to the log but are not written yet. They are kept in a memory-mapped file, so that
//! they survive the process even while the disk stalls.
//!
//! An executor has run such a message, and other stores know its end. While a write or a sync stalls, the log holds the end only in
//! memory, at this store and at the replicas; if all these processes were killed then, the message would run again.

use super::kept_records::KeptRecords;
use super::refused_appends::RefusedAppends;
use crate::net::Millis;
use std::collections::HashMap;
use std::path::Path;
use stileroute_crash_buffer::{LeftRecord, Slot};
use stileroute_queue::StateTable;

/// Name of the crash-buffer file for message ends, in the data folder beside the log.
pub(crate) const FILE_NAME: &str = "hold.ends";

/// The end of a message that the log has not written yet.
struct UnwrittenEnd {
    record: Vec<u8>,
    /// The slot of the record in the crash buffer; `None` if the buffer could not store it.
    slot: Option<Slot>,
}

/// All message ends that the log has not written yet.
pub(super) struct KeptEnds {
    kept: KeptRecords,
    /// The unwritten ends by the ticket of their append.
    unwritten: HashMap<u64, Vec<UnwrittenEnd>>,
    refused: RefusedAppends,
}

impl KeptEnds {
    /// Opens the crash-buffer file and applies the ends that the previous process left there to the state that was read from the log.
    /// Also returns the records of these ends, which have to be part of the first append after the start.
    pub(super) fn open(data_dir: &Path, table: &mut StateTable) -> (KeptEnds, Vec<Vec<u8>>) {
        let open_failure = "message ends are lost if the process is killed before the disk has written them";
        let (mut kept, left) = KeptRecords::open(&data_dir.join(FILE_NAME), open_failure);
        let mut ends = Vec::new();
        for LeftRecord { slot, bytes } in left {
            if table.apply_kept_end(&bytes) {
                ends.push(UnwrittenEnd { record: bytes, slot: Some(slot) });
            } else {
                kept.remove(Some(slot));
            }
        }
        if !ends.is_empty() {
            tracing::info!(
                ends = ends.len(),
                "recovered message ends that the previous process had not written to the log"
            );
        }
        let records = ends.iter().map(|end| end.record.clone()).collect();
        let mut unwritten = HashMap::new();
        if !ends.is_empty() {
            unwritten.insert(super::START_TICKET, ends);
        }
        (KeptEnds { kept, unwritten, refused: RefusedAppends::default() }, records)
    }

    /// Keeps the message ends that are appended under this ticket.
    pub(super) fn keep(&mut self, ticket: u64, records: impl Iterator<Item = Vec<u8>>) {
        let mut ends = Vec::new();
        for record in records {
            let slot = self.kept.insert(&record);
            ends.push(UnwrittenEnd { record, slot });
        }
        if !ends.is_empty() {
            self.unwritten.insert(ticket, ends);
        }
    }

    /// Handles the log's answer to an append: written ends are removed from the crash buffer, refused ends are appended again later.
    pub(super) fn write_completed(&mut self, now: Millis, ticket: u64, is_written: bool) {
        if !is_written {
            if self.unwritten.contains_key(&ticket) {
                self.refused.add(now, ticket);
            }
            return;
        }
        let written = self.unwritten.remove(&ticket).unwrap_or_default();
        written.into_iter().for_each(|end| self.kept.remove(end.slot));
    }

    /// Returns the message ends whose refused append is due for a retry, as records by ticket.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<(u64, Vec<Vec<u8>>)> {
        let due = self.refused.take_due(now);
        let records = |ticket| {
            let ends = self.unwritten.get(&ticket).into_iter().flatten();
            (ticket, ends.map(|end| end.record.clone()).collect())
        };
        due.into_iter().map(records).collect()
    }

    /// Number of further delivery attempts that may be in flight with a free slot for their end.
    pub(super) fn capacity(&self) -> usize {
        self.kept.capacity()
    }

    /// Number of message ends that the log has not written yet.
    pub(super) fn unwritten_count(&self) -> usize {
        self.unwritten.values().map(Vec::len).sum()
    }

    /// Number of message ends so far that the crash buffer could not store.
    pub(super) fn unbuffered_count(&self) -> u64 {
        self.kept.unbuffered_count()
    }
}

#[cfg(test)]
mod tests;
