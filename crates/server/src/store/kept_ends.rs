//! Ends of messages that the log has been given and has not written yet: kept in a mapped file, so that they outlive the process
//! whatever the disk does.
//!
//! An executor has run the message, and other stores know its end. While a write or a sync stalls the log holds the end in memory alone,
//! here and at the replicas; where all these processes are killed then, the message would run again.

use super::refused_appends::RefusedAppends;
use crate::net::Millis;
use std::collections::HashMap;
use std::path::Path;
use stileroute_crash_buffer::{CrashBuffer, LeftRecord, Slot};
use stileroute_queue::StateTable;

/// The file in the data folder, beside the log.
pub(crate) const FILE_NAME: &str = "hold.ends";
/// As many ends may be unwritten, which is 2 MiB.
const SLOT_COUNT: usize = 8192;
/// Of these slots so many are for ends that other stores send: each of two may send as many as it has attempts in flight.
const SLOTS_FOR_NOTICES: usize = SLOT_COUNT / 4 * 3;

/// An end that the log has not written.
struct UnwrittenEnd {
    record: Vec<u8>,
    /// Where it outlives the process; `None` where the buffer did not take it.
    slot: Option<Slot>,
}

/// The ends that the log has not written.
pub(super) struct KeptEnds {
    /// `None` where the file can't be used: then ends are only in the log.
    buffer: Option<CrashBuffer>,
    /// By the ticket of their append.
    unwritten: HashMap<u64, Vec<UnwrittenEnd>>,
    refused: RefusedAppends,
    unkept: u64,
}

impl KeptEnds {
    /// Opens the file, and applies the ends that the process before left there to what the log held. Also gives their records,
    /// which have to be part of the append of the start.
    pub(super) fn open(data_dir: &Path, table: &mut StateTable) -> (KeptEnds, Vec<Vec<u8>>) {
        match CrashBuffer::open(&data_dir.join(FILE_NAME), SLOT_COUNT) {
            Ok((buffer, left)) => KeptEnds::begin(buffer, left, table),
            Err(error) => {
                tracing::error!(%error, "ends do not outlive a killed process before the disk has written them");
                (KeptEnds::new(None), Vec::new())
            }
        }
    }

    fn new(buffer: Option<CrashBuffer>) -> KeptEnds {
        KeptEnds { buffer, unwritten: HashMap::new(), refused: RefusedAppends::default(), unkept: 0 }
    }

    fn begin(
        mut buffer: CrashBuffer,
        left: Vec<LeftRecord>,
        table: &mut StateTable,
    ) -> (KeptEnds, Vec<Vec<u8>>) {
        let mut unwritten = Vec::new();
        for LeftRecord { slot, bytes } in left {
            if table.apply_kept_end(&bytes) {
                unwritten.push(UnwrittenEnd { record: bytes, slot: Some(slot) });
            } else {
                buffer.remove(slot);
            }
        }
        if !unwritten.is_empty() {
            tracing::info!(ends = unwritten.len(), "ends outlived the process that had not written them");
        }
        let records = unwritten.iter().map(|end| end.record.clone()).collect();
        let mut kept = KeptEnds::new(Some(buffer));
        if !unwritten.is_empty() {
            kept.unwritten.insert(super::START_TICKET, unwritten);
        }
        (kept, records)
    }

    /// Keeps ends that are appended under this ticket.
    pub(super) fn keep(&mut self, ticket: u64, records: impl Iterator<Item = Vec<u8>>) {
        let mut ends = Vec::new();
        for record in records {
            let slot = self.buffer.as_mut().and_then(|buffer| buffer.insert(&record).ok());
            self.unkept += u64::from(slot.is_none());
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
        let Some(buffer) = &mut self.buffer else { return };
        written.into_iter().filter_map(|end| end.slot).for_each(|slot| buffer.remove(slot));
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
        self.buffer
            .as_ref()
            .map_or(usize::MAX, |buffer| buffer.free_slots().saturating_sub(SLOTS_FOR_NOTICES))
    }

    /// Ends that the log has not written.
    pub(super) fn unwritten(&self) -> usize {
        self.unwritten.values().map(Vec::len).sum()
    }

    /// Ends so far that the buffer did not take.
    pub(super) fn unkept(&self) -> u64 {
        self.unkept
    }
}

#[cfg(test)]
mod tests;
