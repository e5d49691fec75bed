//! Tests that records outlive the buffer that took them, and that files of other formats are left unchanged.

use std::path::PathBuf;

use assert_matches::assert_matches;
use stileroute_crash_buffer::{CrashBuffer, InsertError, OpenError, MAX_RECORD_BYTES};

const SLOTS: usize = 8;
const HEADER_BYTES: usize = 4096;

/// Returns the path of a buffer file in a new directory for each test.
fn buffer_path(test: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("crash-buffer-{}-{test}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).unwrap();
    directory.join("records")
}

fn records_in(file: &std::path::Path) -> Vec<Vec<u8>> {
    let (_, recovered) = CrashBuffer::open(file, SLOTS).unwrap();
    let mut records: Vec<Vec<u8>> = recovered.into_iter().map(|record| record.bytes).collect();
    records.sort();
    records
}

#[test]
fn records_survive_without_sync_or_close() {
    let file = buffer_path("outlives");
    let (mut buffer, recovered) = CrashBuffer::open(&file, SLOTS).unwrap();
    assert!(recovered.is_empty());
    buffer.insert(b"one").unwrap();
    let removed = buffer.insert(b"two").unwrap();
    buffer.insert(&[7; MAX_RECORD_BYTES]).unwrap();
    buffer.remove(removed);
    // This is how a killed process ends: the mapping goes away without any call by this program.
    std::mem::forget(buffer);
    let mut read = stileroute_crash_buffer::read(&file).unwrap();
    read.sort();
    assert_eq!(read, [vec![7; MAX_RECORD_BYTES], b"one".to_vec()]);
    assert_eq!(records_in(&file), read);
}

#[test]
fn recovered_records_stay_until_they_are_removed() {
    let file = buffer_path("left");
    let (mut buffer, _) = CrashBuffer::open(&file, SLOTS).unwrap();
    buffer.insert(b"left").unwrap();
    drop(buffer);
    let (mut buffer, recovered) = CrashBuffer::open(&file, SLOTS).unwrap();
    assert_eq!(buffer.free_slots(), SLOTS - 1);
    buffer.insert(b"new").unwrap();
    drop(buffer);
    assert_eq!(records_in(&file), [b"left".to_vec(), b"new".to_vec()]);
    let (mut buffer, recovered_again) = CrashBuffer::open(&file, SLOTS).unwrap();
    assert_eq!(recovered.len(), 1);
    for record in recovered_again {
        buffer.remove(record.slot);
    }
    assert_eq!(buffer.free_slots(), SLOTS);
    drop(buffer);
    assert!(records_in(&file).is_empty());
}

#[test]
fn insert_rejects_a_full_buffer_and_records_of_invalid_length() {
    let (mut buffer, _) = CrashBuffer::open(&buffer_path("full"), SLOTS).unwrap();
    let bytes = MAX_RECORD_BYTES + 1;
    assert_eq!(buffer.insert(&vec![1; bytes]), Err(InsertError::UnfitRecord { bytes }));
    assert_eq!(buffer.insert(b""), Err(InsertError::UnfitRecord { bytes: 0 }));
    for number in 0..SLOTS as u8 {
        buffer.insert(&[number]).unwrap();
    }
    assert_eq!(buffer.insert(b"one more"), Err(InsertError::Full));
    assert_eq!(buffer.free_slots(), 0);
}

#[test]
fn a_partly_written_slot_is_free() {
    let file = buffer_path("torn");
    let (mut buffer, _) = CrashBuffer::open(&file, SLOTS).unwrap();
    buffer.insert(b"a record").unwrap();
    buffer.insert(b"another").unwrap();
    drop(buffer);
    // A power failure may leave any byte of the first slot unwritten: sets each of them to zero in turn.
    let complete = std::fs::read(&file).unwrap();
    for offset in 0..8 + b"a record".len() {
        let mut torn = complete.clone();
        if torn[HEADER_BYTES + offset] == 0 {
            continue;
        }
        torn[HEADER_BYTES + offset] = 0;
        std::fs::write(&file, &torn).unwrap();
        assert_eq!(records_in(&file), [b"another".to_vec()], "byte {offset}");
    }
}

#[test]
fn a_file_of_another_format_is_rejected_and_left_unchanged() {
    let file = buffer_path("format");
    drop(CrashBuffer::open(&file, SLOTS - 1).unwrap());
    let other_slot_count = std::fs::read(&file).unwrap();
    let truncated = other_slot_count[..other_slot_count.len() - 1].to_vec();
    let header_only = other_slot_count[..HEADER_BYTES].to_vec();
    for content in
        [b"something else".to_vec(), vec![0; 2 * HEADER_BYTES], header_only, truncated, other_slot_count]
    {
        std::fs::write(&file, &content).unwrap();
        assert_matches!(CrashBuffer::open(&file, SLOTS).err(), Some(OpenError::UnknownFormat { .. }));
        assert_eq!(std::fs::read(&file).unwrap(), content);
    }
}

#[test]
fn an_incomplete_temporary_file_is_replaced() {
    let file = buffer_path("unfinished");
    std::fs::write(file.with_file_name("records.tmp"), b"stilero").unwrap();
    let (buffer, recovered) = CrashBuffer::open(&file, SLOTS).unwrap();
    assert!(recovered.is_empty());
    assert_eq!(buffer.free_slots(), SLOTS);
}
