//! The records of a control node's log on disk.

use stileroute_control_group::{PersistedState, Record};
use stileroute_wal::StateMachine;

/// Encodes a record for the log.
pub fn encode(record: &Record) -> Vec<u8> {
    // Encoding into memory can't fail; if it did, the empty record would be reported as undecodable when the log is
    // read.
    postcard::to_stdvec(record).unwrap_or_default()
}

/// The state that results from replaying all records of the log.
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
