//! The control node's records on disk.

use stileroute_control_group::{PersistedState, Record};
use stileroute_wal::StateMachine;

/// A record as the log takes it.
pub fn bytes(record: &Record) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap_or_default()
}

/// What all records amount to.
#[derive(Default)]
pub struct Ledger(pub PersistedState);

impl StateMachine for Ledger {
    fn apply(&mut self, record: &[u8]) {
        match postcard::from_bytes(record) {
            Ok(record) => self.0.apply(record),
            Err(error) => tracing::error!(%error, "a record that can't be read"),
        }
    }
    fn snapshot(&self, out: &mut dyn FnMut(&[u8])) {
        for record in self.0.records() {
            out(&bytes(&record));
        }
    }
}
