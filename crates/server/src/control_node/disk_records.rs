//! The control node's records on disk.

use stileroute_control_group::{PersistedState, Record};
use stileroute_wal::StateMachine;

/// A record as the log takes it.
pub fn encode(record: &Record) -> Vec<u8> {
    // Encoding into memory has no way to fail; a record without bytes would be reported when it is read.
    postcard::to_stdvec(record).unwrap_or_default()
}

/// What all records of the log amount to.
#[derive(Default)]
pub struct DiskRecords(pub PersistedState);

impl StateMachine for DiskRecords {
    fn apply(&mut self, record: &[u8]) {
        match postcard::from_bytes(record) {
            Ok(record) => self.0.apply(record),
            Err(error) => tracing::error!(%error, "a record on disk can't be decoded"),
        }
    }

    fn snapshot(&self, emit: &mut dyn FnMut(&[u8])) {
        for record in self.0.records() {
            emit(&encode(&record));
        }
    }
}

#[cfg(test)]
mod tests;
