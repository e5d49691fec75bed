//! What the tests of kept ends and of kept counts of failed attempts have in common.

use std::path::PathBuf;
use stileroute_queue::{Key, Record, ReplicatedMessage, StateTable};

/// An empty folder for a test, by a name that no other test has.
pub(super) fn data_dir(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("kept-{}-{test}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// A message by its number.
pub(super) fn key(number: u64) -> Key {
    Key { origin: 1, number }
}

/// What the log holds of these messages: all are live, and no attempt is known to have failed.
pub(super) fn live(numbers: &[u64]) -> StateTable {
    let mut table = StateTable::default();
    for number in numbers {
        let replica = ReplicatedMessage { key: key(*number), ..ReplicatedMessage::default() };
        table.apply_record(Record::Put { replica });
    }
    table
}
