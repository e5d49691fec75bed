//! Tests of opening a folder after a kill, a torn write, damage, and an exchange of files between folders.

mod support;

use std::fs;

use assert_matches::assert_matches;
use stileroute_wal::{verify, FileState, OpenError, Options, ReadError, StateMachine, Wal};
use support::{append_through_checkpoint, keys, options, Keys, TemporaryFolder, TestLog, LOG};

/// Creates two folders with the same schema and the same history, each with a snapshot and a segment.
fn two_folders() -> (TemporaryFolder, TemporaryFolder) {
    let (one, other) = (TemporaryFolder::new(), TemporaryFolder::new());
    for folder in [&one, &other] {
        drop(append_through_checkpoint(folder, |_| Ok(())));
    }
    (one, other)
}

#[test]
fn acknowledged_records_survive_a_drop_and_a_close() {
    let folder = TemporaryFolder::new();
    let (mut log, state) = TestLog::open(&folder.0, options());
    assert_eq!(state, Keys::default());
    log.append(&["a=1", "b=2"], true).unwrap();
    log.append(&["a=3"], false).unwrap();
    // A copy of the folder made while the process runs has the same state as after a kill: all appends with a reported
    // result are in the file.
    assert_eq!(folder.copy().recover().unwrap(), keys(&["a=3", "b=2"]));
    drop(log);
    let (mut log, state) = TestLog::open(&folder.0, options());
    assert_eq!(state, keys(&["a=3", "b=2"]));
    log.append(&["b="], false).unwrap();
    log.queue(&["c=4"], false);
    log.wal.close();
    assert_eq!(folder.recover().unwrap(), keys(&["a=3", "c=4"]));
}

#[test]
fn a_torn_end_is_truncated_at_every_byte_and_with_garbage_after_it() {
    let folder = TemporaryFolder::new();
    let (mut log, _) = TestLog::open(&folder.0, options());
    log.append(&["a=1"], true).unwrap();
    log.append(&["b=2"], true).unwrap();
    let synced_bytes = folder.files()[LOG].len();
    log.append(&["c=3", "d=4"], true).unwrap();
    drop(log);
    let file_bytes = folder.files()[LOG].len();
    for length in synced_bytes..file_bytes {
        for garbage in [&[][..], &[0; 40], &[0xff; 3]] {
            let torn = folder.copy();
            torn.edit(LOG, |bytes| {
                bytes.truncate(length);
                bytes.extend(garbage);
            });
            let (mut log, state) = TestLog::open(&torn.0, options());
            assert_eq!(state, keys(&["a=1", "b=2"]), "truncated at {length}");
            log.append(&["e=5"], true).unwrap();
            drop(log);
            assert_eq!(torn.recover().unwrap(), keys(&["a=1", "b=2", "e=5"]), "truncated at {length}");
        }
    }
}

#[test]
fn a_gap_is_damage_in_the_synced_part_and_a_torn_end_after_it() {
    let folder = TemporaryFolder::new();
    let (mut log, _) = TestLog::open(&folder.0, options());
    let mut ends = vec![folder.files()[LOG].len()];
    for (n, sync) in [true, true, false, false, false].into_iter().enumerate() {
        log.append(&[&format!("n{n}=1")], sync).unwrap();
        ends.push(folder.files()[LOG].len());
    }
    drop(log);
    for byte in 0..ends[4] {
        let copy = folder.copy();
        copy.edit(LOG, |bytes| bytes[byte] ^= 0x10);
        let report = verify(&copy.0, &mut |_| {}).unwrap();
        if byte < ends[2] {
            assert_matches!(copy.recover(), Err(OpenError::Read(ReadError::Corrupted { file, .. })) if file == LOG, "byte {byte}");
            assert!(!report.opens());
        } else {
            let complete = ends.iter().filter(|end| **end <= byte).count() - 1;
            assert_eq!(copy.recover().unwrap().0.len(), complete, "byte {byte}");
            assert_matches!(&report.files[0].state, FileState::TornTail { offset, .. } if *offset == ends[complete] as u64);
        }
    }
}

#[test]
fn another_format_or_schema_is_rejected_by_file_name_and_left_unchanged() {
    let folder = TemporaryFolder::new();
    TestLog::open(&folder.0, options()).0.append(&["a=1"], true).unwrap();
    let other = Wal::open::<Keys>(&folder.0, Options::new("queue"), |_, _| {}).err().unwrap();
    assert!(other.to_string().contains("\"keys\""), "{other}");
    let edits: [&dyn Fn(&TemporaryFolder); 4] = [
        &|folder| fs::write(folder.0.join("FORMAT"), "stileroute-logbook 2 keys\n").unwrap(),
        &|folder| fs::write(folder.0.join("FORMAT"), "").unwrap(),
        &|folder| fs::remove_file(folder.0.join("FORMAT")).unwrap(),
        &|folder| {
            fs::remove_file(folder.0.join(LOG))
                .and(fs::rename(folder.0.join("FORMAT"), folder.0.join("notes")))
                .unwrap()
        },
    ];
    for edit in edits {
        let copy = folder.copy();
        edit(&copy);
        let before = copy.files();
        assert_matches!(copy.recover(), Err(OpenError::Read(ReadError::UnknownFormat { file, .. })) if file.ends_with("FORMAT"));
        assert_eq!(copy.files(), before);
    }
    // A process that was killed before FORMAT was complete leaves only `FORMAT.tmp`, and the folder counts as new.
    let folder = TemporaryFolder::new();
    fs::create_dir_all(&folder.0).unwrap();
    fs::write(folder.0.join("FORMAT.tmp"), "stiler").unwrap();
    assert_eq!(folder.recover().unwrap(), Keys::default());
    for header_bytes in 0..20 {
        folder.edit(LOG, |bytes| bytes.truncate(header_bytes));
        assert_eq!(folder.recover().unwrap(), Keys::default());
    }
}

#[test]
fn a_missing_or_damaged_file_is_reported_and_verify_changes_nothing() {
    let folder = TemporaryFolder::new();
    let (log, all) = append_through_checkpoint(&folder, |_| Ok(()));
    drop(log);
    let before = folder.files();
    let mut read = Keys::default();
    let report = verify(&folder.0, &mut |record| read.apply(record)).unwrap();
    assert!(report.opens() && report.to_string().starts_with("keys: opens, "), "{report}");
    assert_eq!((read, folder.files()), (all, before.clone()));

    for (name, bytes) in before.iter().filter(|(name, _)| *name != "FORMAT") {
        let copy = folder.copy();
        copy.edit(name, |bytes| bytes[30] ^= 1);
        fs::write(copy.0.join("log-0000000000.tmp"), "x").unwrap();
        let damaged = copy.files();
        let report = verify(&copy.0, &mut |_| {}).unwrap();
        assert!(report.to_string().contains("log-0000000000.tmp: 0 records, 0 bytes, left over"), "{report}");
        assert_eq!(copy.files(), damaged);
        if bytes.len() > 100 {
            assert_matches!(copy.recover(), Err(OpenError::Read(ReadError::Corrupted { file, .. })) if file == *name);
            assert!(!report.opens(), "{report}");
        }
    }
    let copy = folder.copy();
    let log = before.keys().find(|name| name.starts_with("log-")).unwrap();
    fs::remove_file(copy.0.join(log)).unwrap();
    assert_matches!(copy.recover(), Err(OpenError::Read(ReadError::Corrupted { file, .. })) if file == *log);
    assert!(!verify(&copy.0, &mut |_| {}).unwrap().opens());
}

#[test]
fn a_file_of_another_folder_is_rejected_by_name_and_so_is_another_folders_format() {
    let (one, other) = two_folders();
    let other_files = other.files();
    for name in one.files().into_keys() {
        let Some(bytes) = other_files.get(&name) else { continue };
        let copy = one.copy();
        fs::write(copy.0.join(&name), bytes).unwrap();
        let before = copy.files();
        let error = copy.recover().unwrap_err();
        assert_matches!(&error, OpenError::Read(ReadError::WrongFolder { file, .. }) if *file == name || name == "FORMAT");
        let line = error.to_string();
        assert!(line.contains(": folder: it was written in ") && !line.contains('\n'), "{line}");
        assert_eq!(verify(&copy.0, &mut |_| {}).unwrap_err().to_string(), line);
        assert_eq!(copy.files(), before);
    }
    assert!(one.recover().is_ok() && other.recover().is_ok());
}

#[test]
fn a_folder_without_an_identity_opens_and_is_appended_to() {
    let folder = TemporaryFolder::new();
    TestLog::open(&folder.0, options()).0.append(&["a=1"], true).unwrap();
    folder.edit("FORMAT", |bytes| *bytes = b"stileroute-logbook 1 keys\n".to_vec());
    folder.edit(LOG, |bytes| {
        bytes[12..16].fill(0);
        let checksum = crc32fast::hash(&bytes[..16]);
        bytes[16..20].copy_from_slice(&checksum.to_le_bytes());
    });
    for _ in 0..2 {
        let (mut log, state) = TestLog::open(&folder.0, options());
        assert_eq!(state, keys(&["a=1"]));
        log.append(&["a=1"], true).unwrap();
    }
}
