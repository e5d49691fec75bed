//! Keeps the number of failed attempts of each message until the log has written it. The counts are kept in a memory-mapped file, like
//! the message ends in [`kept_ends`](super::kept_ends), but in a separate one, so that they never take a slot that an end needs.
//!
//! A message uses at most one slot, because a later count supersedes the earlier one.

use super::kept_records::KeptRecords;
use super::refused_appends::RefusedAppends;
use crate::net::Millis;
use std::collections::HashMap;
use std::path::Path;
use stileroute_crash_buffer::{LeftRecord, Slot};
use stileroute_queue::{Key, Record, StateTable};

/// Name of the crash-buffer file for counts of failed attempts, in the data folder beside the log.
pub(crate) const FILE_NAME: &str = "hold.failures";

/// The count of failed attempts of one message that the log has not written yet.
struct UnwrittenFailure {
    /// Ticket of the append that contains the count.
    ticket: u64,
    record: Vec<u8>,
    /// The slot of the record in the crash buffer; `None` if the buffer could not store it.
    slot: Option<Slot>,
}

/// All counts of failed attempts that the log has not written yet.
pub(super) struct KeptFailures {
    kept: KeptRecords,
    unwritten: HashMap<Key, UnwrittenFailure>,
    keys_by_ticket: HashMap<u64, Vec<Key>>,
    refused: RefusedAppends,
}

impl KeptFailures {
    /// Opens the crash-buffer file and applies the counts that the previous process left there to the state that was read from the log.
    /// Also returns the records of these counts, which have to be part of the first append after the start.
    pub(super) fn open(data_dir: &Path, table: &mut StateTable) -> (KeptFailures, Vec<Vec<u8>>) {
        let open_failure =
            "counts of failed attempts are lost if the process is killed before the disk has written them";
        let (kept, left) = KeptRecords::open(&data_dir.join(FILE_NAME), open_failure);
        let mut failures = KeptFailures {
            kept,
            unwritten: HashMap::new(),
            keys_by_ticket: HashMap::new(),
            refused: RefusedAppends::default(),
        };
        let mut records = Vec::new();
        for LeftRecord { slot, bytes } in left {
            let slot = Some(slot);
            let key = if table.apply_kept_failure(&bytes) { failed_message_key(&bytes) } else { None };
            match key {
                Some(key) => {
                    records.push(bytes.clone());
                    let failure = UnwrittenFailure { ticket: super::START_TICKET, record: bytes, slot };
                    failures.replace(key, failure);
                }
                None => failures.kept.remove(slot),
            }
        }
        (failures, records)
    }

    /// Keeps a count of failed attempts that is appended under this ticket; it replaces an earlier count of the same message.
    pub(super) fn keep(&mut self, ticket: u64, key: Key, record: Vec<u8>) {
        let slot = self.kept.insert(&record);
        self.replace(key, UnwrittenFailure { ticket, record, slot });
    }

    /// Replaces the count of a message. The new count is already in its slot when the slot of the earlier one is freed: after a kill in
    /// between, the file contains both counts.
    fn replace(&mut self, key: Key, failure: UnwrittenFailure) {
        self.keys_by_ticket.entry(failure.ticket).or_default().push(key);
        if let Some(earlier) = self.unwritten.insert(key, failure) {
            self.kept.remove(earlier.slot);
        }
    }

    /// Handles the log's answer to an append: written counts are removed from the crash buffer, refused counts are appended again later.
    pub(super) fn write_completed(&mut self, now: Millis, ticket: u64, is_written: bool) {
        if !is_written {
            if self.keys_by_ticket.contains_key(&ticket) {
                self.refused.add(now, ticket);
            }
            return;
        }
        for key in self.keys_by_ticket.remove(&ticket).unwrap_or_default() {
            if self.unwritten.get(&key).is_some_and(|failure| failure.ticket == ticket) {
                let slot = self.unwritten.remove(&key).and_then(|failure| failure.slot);
                self.kept.remove(slot);
            }
        }
    }

    /// Returns the counts whose refused append is due for a retry, as records by ticket.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<(u64, Vec<Vec<u8>>)> {
        let due = self.refused.take_due(now);
        due.into_iter().map(|ticket| (ticket, self.records_of(ticket))).collect()
    }

    fn records_of(&self, ticket: u64) -> Vec<Vec<u8>> {
        let keys = self.keys_by_ticket.get(&ticket).into_iter().flatten();
        let failures = keys.filter_map(|key| self.unwritten.get(key));
        failures.filter(|failure| failure.ticket == ticket).map(|failure| failure.record.clone()).collect()
    }

    /// Number of further delivery attempts that may be in flight with a free slot for their failure.
    pub(super) fn capacity(&self) -> usize {
        self.kept.capacity()
    }

    /// Number of messages with a count that the log has not written yet.
    pub(super) fn unwritten_count(&self) -> usize {
        self.unwritten.len()
    }

    /// Number of counts so far that the crash buffer could not store.
    pub(super) fn unbuffered_count(&self) -> u64 {
        self.kept.unbuffered_count()
    }
}

/// The key of the message in a record that counts failed attempts; `None` for records of other kinds.
fn failed_message_key(record: &[u8]) -> Option<Key> {
    match postcard::from_bytes(record) {
        Ok(Record::AttemptFailed { key, .. }) => Some(key),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
