//! How many attempts of a message have failed, as long as the log has not written it: kept in a mapped file, like the ends in
//! [`kept_ends`](super::kept_ends), and in a file of its own, so that ends never lack a place for it.
//!
//! A message has one place at the most: a later count makes the one before it needless.

use super::kept_records::KeptRecords;
use super::refused_appends::RefusedAppends;
use crate::net::Millis;
use std::collections::HashMap;
use std::path::Path;
use stileroute_crash_buffer::{LeftRecord, Slot};
use stileroute_queue::{Key, Record, StateTable};

/// The file in the data folder, beside the log.
pub(crate) const FILE_NAME: &str = "hold.failures";

/// A count that the log has not written.
struct UnwrittenFailure {
    /// The append that has it.
    ticket: u64,
    record: Vec<u8>,
    /// Where it outlives the process; `None` where the buffer did not take it.
    slot: Option<Slot>,
}

/// The counts of failed attempts that the log has not written.
pub(super) struct KeptFailures {
    kept: KeptRecords,
    unwritten: HashMap<Key, UnwrittenFailure>,
    keys_by_ticket: HashMap<u64, Vec<Key>>,
    refused: RefusedAppends,
}

impl KeptFailures {
    /// Opens the file, and applies the counts that the process before left there to what the log held. Also gives their records,
    /// which have to be part of the append of the start.
    pub(super) fn open(data_dir: &Path, table: &mut StateTable) -> (KeptFailures, Vec<Vec<u8>>) {
        let unusable =
            "failed attempts may be forgotten by a killed process before the disk has written them";
        let (kept, left) = KeptRecords::open(&data_dir.join(FILE_NAME), unusable);
        let mut failures = KeptFailures {
            kept,
            unwritten: HashMap::new(),
            keys_by_ticket: HashMap::new(),
            refused: RefusedAppends::default(),
        };
        let mut records = Vec::new();
        for LeftRecord { slot, bytes } in left {
            let slot = Some(slot);
            let key = if table.apply_kept_failure(&bytes) { counted_message(&bytes) } else { None };
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

    /// Keeps a count that is appended under this ticket, in place of an earlier one of the same message.
    pub(super) fn keep(&mut self, ticket: u64, key: Key, record: Vec<u8>) {
        let slot = self.kept.insert(&record);
        self.replace(key, UnwrittenFailure { ticket, record, slot });
    }

    /// The later count is in its slot before the earlier one leaves its own: a kill between finds both.
    fn replace(&mut self, key: Key, failure: UnwrittenFailure) {
        self.keys_by_ticket.entry(failure.ticket).or_default().push(key);
        if let Some(earlier) = self.unwritten.insert(key, failure) {
            self.kept.remove(earlier.slot);
        }
    }

    /// The log has answered: what it has written need not be kept here, and what it refused is appended again.
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

    /// Counts that the log refused, and that are to be appended once more now: the records by their ticket.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<(u64, Vec<Vec<u8>>)> {
        let due = self.refused.take_due(now);
        due.into_iter().map(|ticket| (ticket, self.records_of(ticket))).collect()
    }

    fn records_of(&self, ticket: u64) -> Vec<Vec<u8>> {
        let keys = self.keys_by_ticket.get(&ticket).into_iter().flatten();
        let failures = keys.filter_map(|key| self.unwritten.get(key));
        failures.filter(|failure| failure.ticket == ticket).map(|failure| failure.record.clone()).collect()
    }

    /// How many more attempts may be in flight.
    pub(super) fn capacity(&self) -> usize {
        self.kept.capacity()
    }

    /// Messages with a count that the log has not written.
    pub(super) fn unwritten(&self) -> usize {
        self.unwritten.len()
    }

    /// Counts so far that the buffer did not take.
    pub(super) fn unkept(&self) -> u64 {
        self.kept.unkept()
    }
}

/// The message of a record that counts failed attempts.
fn counted_message(record: &[u8]) -> Option<Key> {
    match postcard::from_bytes(record) {
        Ok(Record::AttemptFailed { key, .. }) => Some(key),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
