//! Ends of messages that the log has been given and has not written yet: kept in a mapped file, so that they outlive the process
//! whatever the disk does.
//!
//! An executor has run the message, and other stores know its end. While a write or a sync stalls the log holds the end in memory alone,
//! here and at the replicas; where all these processes are killed then, the message would run again.

use super::kept_records::KeptRecords;
use super::refused_appends::RefusedAppends;
use crate::net::Millis;
use std::collections::HashMap;
use std::path::Path;
use stileroute_crash_buffer::{LeftRecord, Slot};
use stileroute_queue::StateTable;

/// The file in the data folder, beside the log.
pub(crate) const FILE_NAME: &str = "hold.ends";

/// An end that the log has not written.
struct UnwrittenEnd {
    record: Vec<u8>,
    /// Where it outlives the process; `None` where the buffer did not take it.
    slot: Option<Slot>,
}

/// The ends that the log has not written.
pub(super) struct KeptEnds {
    kept: KeptRecords,
    /// By the ticket of their append.
    unwritten: HashMap<u64, Vec<UnwrittenEnd>>,
    refused: RefusedAppends,
}

impl KeptEnds {
    /// Opens the file, and applies the ends that the process before left there to what the log held. Also gives their records,
    /// which have to be part of the append of the start.
    pub(super) fn open(data_dir: &Path, table: &mut StateTable) -> (KeptEnds, Vec<Vec<u8>>) {
        let unusable = "ends do not outlive a killed process before the disk has written them";
        let (mut kept, left) = KeptRecords::open(&data_dir.join(FILE_NAME), unusable);
        let mut ends = Vec::new();
        for LeftRecord { slot, bytes } in left {
            if table.apply_kept_end(&bytes) {
                ends.push(UnwrittenEnd { record: bytes, slot: Some(slot) });
            } else {
                kept.remove(Some(slot));
            }
        }
        if !ends.is_empty() {
            tracing::info!(ends = ends.len(), "ends outlived the process that had not written them");
        }
        let records = ends.iter().map(|end| end.record.clone()).collect();
        let mut unwritten = HashMap::new();
        if !ends.is_empty() {
            unwritten.insert(super::START_TICKET, ends);
        }
        (KeptEnds { kept, unwritten, refused: RefusedAppends::default() }, records)
    }

    /// Keeps ends that are appended under this ticket.
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

    /// The log has answered: what it has written need not be kept here, and what it refused is appended again.
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

    /// Ends that the log refused, and that are to be appended once more now: the records by their ticket.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<(u64, Vec<Vec<u8>>)> {
        let due = self.refused.take_due(now);
        let records = |ticket| {
            let ends = self.unwritten.get(&ticket).into_iter().flatten();
            (ticket, ends.map(|end| end.record.clone()).collect())
        };
        due.into_iter().map(records).collect()
    }

    /// How many more attempts may be in flight.
    pub(super) fn capacity(&self) -> usize {
        self.kept.capacity()
    }

    /// Ends that the log has not written.
    pub(super) fn unwritten(&self) -> usize {
        self.unwritten.values().map(Vec::len).sum()
    }

    /// Ends so far that the buffer did not take.
    pub(super) fn unkept(&self) -> u64 {
        self.kept.unkept()
    }
}

#[cfg(test)]
mod tests;
