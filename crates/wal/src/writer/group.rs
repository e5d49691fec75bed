//! Writes a group of appends: which of it is refused, and the entries of the rest.

use std::time::Instant;

use super::syncs::UnansweredAppend;
use super::{Append, Writer, GROUP_BYTES};
use crate::error::AppendError;
use crate::folder::Folder;
use crate::frame::{self, MAX_APPEND_BYTES, MAX_RECORD_BYTES};
use crate::options::Options;
use crate::segment::Position;
use crate::statistics::add;

/// A group whose entries are in the writer's buffer.
#[derive(Default)]
struct EncodedGroup {
    /// By append, why it is not among the entries.
    refusals: Vec<Option<AppendError>>,
    /// By append, where its entry begins. A failed sync cuts the segment off there: what comes before may have been answered.
    starts: Vec<Position>,
    entries: u32,
    records: u64,
    /// One was refused because the folder may not grow.
    is_out_of_capacity: bool,
}

impl<D: Fn(u64, Result<(), AppendError>)> Writer<D> {
    /// Writes a group at once, or nothing of it, and answers what waits for no sync.
    ///
    /// Returns whether an append was refused because the folder may not grow.
    pub(super) fn write_group(&mut self, group: &mut Vec<Append>) -> bool {
        let start = self.folder.log.end;
        let encoded = self.encode(group, start);
        let result = self.write_entries(&encoded);
        if result.is_ok() {
            add(&self.counters.records, encoded.records);
            add(&self.counters.bytes, self.buffer.len() as u64);
        }
        if self.buffer.capacity() > 2 * GROUP_BYTES {
            self.buffer = Vec::new();
        }
        let appends = group.drain(..).zip(encoded.refusals).zip(encoded.starts);
        for ((append, refusal), start_of_entry) in appends {
            let start = if result.is_ok() { start_of_entry } else { start };
            let result = refusal.map_or_else(|| result.clone(), Err);
            let needs = self.needed_sync(append.sync && result.is_ok());
            self.unanswered.push_back(UnansweredAppend { ticket: append.ticket, result, start, needs });
        }
        self.answer_appends();
        encoded.is_out_of_capacity
    }

    /// Puts the entries of a group, which are to go to `start`, into the buffer.
    fn encode(&mut self, group: &[Append], start: Position) -> EncodedGroup {
        let used_bytes = self.folder.used_bytes();
        let Folder { options, log, .. } = &self.folder;
        self.buffer.clear();
        let mut encoded =
            EncodedGroup { refusals: Vec::with_capacity(group.len()), ..EncodedGroup::default() };
        for append in group {
            let bytes = start.bytes + self.buffer.len() as u64;
            let entries = start.entries.wrapping_add(encoded.entries);
            encoded.starts.push(Position { bytes, entries });
            let refusal = refusal(append, used_bytes + self.buffer.len() as u64, options);
            match &refusal {
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
            encoded.refusals.push(refusal);
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

/// Why these records can't be appended where the folder uses that much.
fn refusal(append: &Append, used_bytes: u64, options: &Options) -> Option<AppendError> {
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

/// Bytes of the folder beyond which an append is refused. What frees space comes without sync, and must not be refused first.
pub(super) fn max_used_bytes(options: &Options, sync: bool) -> u64 {
    if sync {
        options.capacity_bytes / 16 * 7
    } else {
        options.capacity_bytes / 2
    }
}
