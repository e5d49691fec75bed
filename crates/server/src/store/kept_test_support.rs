//! Helpers shared by the tests of kept message ends and of kept counts of failed attempts.

use std::path::PathBuf;
use stileroute_queue::{Key, Record, ReplicatedMessage, StateTable};

/// Creates an empty data folder for a test; `test` has to be unique among the tests.
pub(super) fn data_dir(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("kept-{}-{test}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// The key of the test message with this number.
pub(super) fn key(number: u64) -> Key {
    Key { origin: 1, number }
}

/// A state table in which the messages with these numbers have not ended and have no failed attempts.
pub(super) fn table_with_live_messages(numbers: &[u64]) -> StateTable {
    let mut table = StateTable::default();
    for number in numbers {
        let replica = ReplicatedMessage { key: key(*number), ..ReplicatedMessage::default() };
        table.apply_record(Record::Put { replica });
    }
    table
}
