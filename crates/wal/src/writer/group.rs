//! Writes a group of appends: decides which of them are rejected, and encodes the entries of the others.

use std::time::Instant;

use super::syncs::PendingAppend;
use super::{Append, Writer, GROUP_CLOSE_BYTES};
use crate::error::AppendError;
use crate::folder::Folder;
use crate::frame::{self, MAX_APPEND_BYTES, MAX_RECORD_BYTES};
use crate::options::Options;
use crate::segment::Position;
use crate::statistics::add;

/// A group of appends whose encoded entries are in the writer's buffer.
#[derive(Default)]
struct EncodedGroup {
    /// For each append, the error with which it is rejected, or `None` if its entry is in the buffer.
    rejections: Vec<Option<AppendError>>,
    /// For each append, the start of its entry. A failed sync truncates the segment at the start of the first append
    /// without a reported result, because earlier entries may already have been acknowledged.
    starts: Vec<Position>,
    entries: u32,
    records: u64,
    /// Whether an append of the group was rejected for lack of capacity.
    is_out_of_capacity: bool,
}

impl<D: Fn(u64, Result<(), AppendError>)> Writer<D> {
    /// Writes the entries of a group, either all or none, and reports the results of the appends that do not wait for
    /// a sync.
    ///
    /// Returns whether an append of the group was rejected for lack of capacity.
    pub(super) fn write_group(&mut self, group: &mut Vec<Append>) -> bool {
        let start = self.folder.log.end;
        let encoded = self.encode(group, start);
        let result = self.write_entries(&encoded);
        if result.is_ok() {
            add(&self.counters.records, encoded.records);
            add(&self.counters.bytes, self.buffer.len() as u64);
        }
        if self.buffer.capacity() > 2 * GROUP_CLOSE_BYTES {
            self.buffer = Vec::new();
        }
        let appends = group.drain(..).zip(encoded.rejections).zip(encoded.starts);
        for ((append, rejection), entry_start) in appends {
            let start = if result.is_ok() { entry_start } else { start };
            let result = rejection.map_or_else(|| result.clone(), Err);
            let required_sync = self.required_sync(append.sync && result.is_ok());
            self.pending.push_back(PendingAppend { ticket: append.ticket, result, start, required_sync });
        }
        self.report_results();
        encoded.is_out_of_capacity
    }

    /// Encodes the entries of a group, which will be written at the position `start`, into the buffer.
    fn encode(&mut self, group: &[Append], start: Position) -> EncodedGroup {
        let used_bytes = self.folder.used_bytes();
        let Folder { options, log, .. } = &self.folder;
        self.buffer.clear();
        let mut encoded =
            EncodedGroup { rejections: Vec::with_capacity(group.len()), ..EncodedGroup::default() };
        for append in group {
            let bytes = start.bytes + self.buffer.len() as u64;
            let entries = start.entries.wrapping_add(encoded.entries);
            encoded.starts.push(Position { bytes, entries });
            let rejection = rejection(append, used_bytes + self.buffer.len() as u64, options);
            match &rejection {
                Some(error) => encoded.is_out_of_capacity |= matches!(error, AppendError::DiskFull),
                None => {
                    if !append.records.is_empty() {
                        let number = start.entries.wrapping_add(encoded.entries);
                        put_entry(&append.records, number, log.synced.bytes, &mut self.buffer);
                        encoded.entries += 1;
                        encoded.records += append.records.len() as u64;
                    }
                }
            }
            encoded.rejections.push(rejection);
        }
        encoded
    }

    fn write_entries(&mut self, encoded: &EncodedGroup) -> Result<(), AppendError> {
        if encoded.entries == 0 {
            return Ok(());
        }
        let Folder { options, log, .. } = &mut self.folder;
        if let Err(error) = log.write(&self.buffer, encoded.entries, options) {
            add(&self.counters.failures, 1);
            return Err(AppendError::from_write(error));
        }
        let max_sync_delay = self.folder.options.max_sync_delay;
        self.sync_deadline.get_or_insert_with(|| Instant::now() + max_sync_delay);
        Ok(())
    }
}

fn put_entry(records: &[Vec<u8>], number: u32, synced: u64, out: &mut Vec<u8>) {
    let start = frame::begin_entry(out);
    records.iter().for_each(|record| frame::put_record(record, out));
    frame::finish_entry(out, start, number, synced);
}

/// Returns the error with which an append is rejected, if any, when the folder uses `used_bytes`.
fn rejection(append: &Append, used_bytes: u64, options: &Options) -> Option<AppendError> {
    let entry_bytes = frame::entry_bytes(&append.records);
    let longest = append.records.iter().map(Vec::len).max().unwrap_or(0);
    if longest > MAX_RECORD_BYTES {
        return Some(AppendError::RecordTooLarge { bytes: longest });
    }
    if entry_bytes > MAX_APPEND_BYTES {
        return Some(AppendError::AppendTooLarge { bytes: entry_bytes });
    }
    let is_limited = options.capacity_bytes > 0 && !append.records.is_empty();
    let is_too_much = used_bytes + entry_bytes as u64 > max_used_bytes(options, append.sync);
    (is_limited && is_too_much).then_some(AppendError::DiskFull)
}

/// Returns the total size of the folder's files, in bytes, beyond which an append is rejected. The limit is higher for
/// appends without sync, because they are the ones that free space and must not be rejected first.
pub(super) fn max_used_bytes(options: &Options, sync: bool) -> u64 {
    if sync {
        options.capacity_bytes / 16 * 7
    } else {
        options.capacity_bytes / 2
    }
}
