//! Tests of the disk format: a folder that was written by an earlier build opens with all of its records, and the same
//! appends produce the same bytes.

mod support;

use std::fs;
use std::path::{Path, PathBuf};

use stileroute_wal::{verify, Options, Step, Wal};
use support::{files, hook_options, options, signal_at, Keys, TemporaryFolder, TestLog, TIMEOUT};

const FORMAT: &str = "FORMAT";
const SNAPSHOT: &str = "snapshot-0000000002";
const LOG: &str = "log-0000000002";
/// Size limit of the first segment, in bytes. It is small so that the first appends trigger a checkpoint that writes a
/// snapshot.
const FIRST_SEGMENT_BYTES: u64 = 150;

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/keys")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Appends one after another and waits for each result, so that the synced offset stored in each entry does not depend
/// on timing.
fn append_all(log: &mut TestLog, appends: &[(&[&str], bool)]) {
    for (records, sync) in appends {
        log.append(records, *sync).unwrap();
    }
}

/// Writes the contents of the fixture. The file FORMAT is written in advance, because it is the only file that would
/// differ between new folders: it contains a randomly generated identity.
fn write_fixture(folder: &Path) {
    fs::write(folder.join(FORMAT), "stileroute-logbook 1 keys 0badf00d\n").unwrap();

    let (hook, checkpoint_ended) = signal_at(Step::CheckpointEnded);
    let small_segment = Options { checkpoint_after_bytes: FIRST_SEGMENT_BYTES, ..hook_options(hook) };
    let (mut log, _) = TestLog::open(folder, small_segment);
    let first_appends: [(&[&str], bool); 4] = [
        (&["a=1", "b=2"], true),
        (&["gone=1"], false),
        (&["gone="], true),
        (&["long=0123456789abcdefghijklmnopqrstuvwxyz"], true),
    ];
    append_all(&mut log, &first_appends);
    checkpoint_ended.recv_timeout(TIMEOUT).unwrap();
    drop(log);

    let (mut log, _) = TestLog::open(folder, options());
    let second_appends: [(&[&str], bool); 4] =
        [(&["c=3"], true), (&["d=4", "a=5"], false), (&["b="], false), (&["e=6"], false)];
    append_all(&mut log, &second_appends);
    // The log is dropped rather than closed, so that the last three appends stay unsynced.
    drop(log);
}

fn expected_keys() -> Keys {
    let pairs =
        [("a", "5"), ("c", "3"), ("d", "4"), ("e", "6"), ("long", "0123456789abcdefghijklmnopqrstuvwxyz")];
    Keys(pairs.into_iter().map(|(key, value)| (key.to_string(), value.to_string())).collect())
}

#[test]
fn the_stored_folder_verifies_with_each_record_in_order() {
    let mut records = Vec::new();
    let report = verify(&fixture(), &mut |record| records.push(String::from_utf8(record.to_vec()).unwrap()));
    let expected =
        ["a=1", "b=2", "long=0123456789abcdefghijklmnopqrstuvwxyz", "c=3", "d=4", "a=5", "b=", "e=6"];
    assert_eq!(records, expected);
    let report = report.unwrap();
    assert_eq!(report.identity, "0badf00d");
    assert_eq!(
        report.to_string(),
        "keys: opens, 8 records, 277 bytes\
         \n  snapshot-0000000002: 3 records, 127 bytes, whole\
         \n  log-0000000002: 5 records, 150 bytes, whole"
    );
}

#[test]
fn the_stored_folder_opens_with_all_its_records_and_is_not_rewritten() {
    let folder = TemporaryFolder::copy_of(&fixture());
    for _ in 0..2 {
        let (_, keys) = Wal::open::<Keys>(&folder.0, options(), |_, _| {}).unwrap();
        assert_eq!(keys, expected_keys());
        assert_eq!(files(&folder.0), files(&fixture()));
    }
}

#[test]
fn the_same_appends_write_the_bytes_of_the_stored_folder() {
    let folder = TemporaryFolder::new();
    fs::create_dir_all(&folder.0).unwrap();
    write_fixture(&folder.0);
    let (written, stored) = (files(&folder.0), files(&fixture()));
    let names: Vec<&str> = written.keys().map(String::as_str).collect();
    assert_eq!(names, [FORMAT, LOG, SNAPSHOT]);
    for (name, bytes) in &written {
        assert_eq!(hex(bytes), hex(&stored[name]), "{name}");
    }
}

#[test]
fn a_new_folder_names_its_format_version_kind_and_identity() {
    let folder = TemporaryFolder::new();
    drop(Wal::open::<Keys>(&folder.0, options(), |_, _| {}).unwrap());
    let format = fs::read_to_string(folder.0.join(FORMAT)).unwrap();
    let identity = format.strip_prefix("stileroute-logbook 1 keys ").and_then(|rest| rest.strip_suffix('\n'));
    let identity = identity.unwrap_or_else(|| panic!("{format:?}"));
    assert!(
        identity.len() == 8 && u32::from_str_radix(identity, 16).is_ok_and(|number| number > 0),
        "{format:?}"
    );
    // The first 20 bytes of a segment are its file header: the magic bytes, `l`, version 1, number 1, the folder
    // identity, and the checksum of these fields.
    let log = fs::read(folder.0.join("log-0000000001")).unwrap();
    let mut expected_header = b"slbookl\x01\x01\0\0\0".to_vec();
    expected_header.extend_from_slice(&u32::from_str_radix(identity, 16).unwrap().to_le_bytes());
    expected_header.extend_from_slice(&crc32fast::hash(&expected_header).to_le_bytes());
    assert_eq!(hex(&log), hex(&expected_header));
}
