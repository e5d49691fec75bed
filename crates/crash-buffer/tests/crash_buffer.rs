//! Records outlive the buffer that took them; files of other formats are left alone.

use std::path::PathBuf;

use assert_matches::assert_matches;
use stileroute_crash_buffer::{CrashBuffer, InsertError, OpenError, MAX_RECORD_BYTES};

const SLOTS: usize = 8;
const HEADER_BYTES: usize = 4096;

/// A folder of its own for each test.
fn file_of(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("crash-buffer-{}-{test}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder.join("records")
}

fn records_in(file: &std::path::Path) -> Vec<Vec<u8>> {
    let (_, left) = CrashBuffer::open(file, SLOTS).unwrap();
    let mut records: Vec<Vec<u8>> = left.into_iter().map(|record| record.bytes).collect();
    records.sort();
    records
}

#[test]
fn a_record_is_there_again_though_nothing_was_synced_or_closed() {
    let file = file_of("outlives");
    let (mut buffer, left) = CrashBuffer::open(&file, SLOTS).unwrap();
    assert!(left.is_empty());
    buffer.insert(b"one").unwrap();
    let removed = buffer.insert(b"two").unwrap();
    buffer.insert(&[7; MAX_RECORD_BYTES]).unwrap();
    buffer.remove(removed);
    // As a killed process: the mapping goes without any call of this program.
    std::mem::forget(buffer);
    let mut read = stileroute_crash_buffer::read(&file).unwrap();
    read.sort();
    assert_eq!(read, [vec![7; MAX_RECORD_BYTES], b"one".to_vec()]);
    assert_eq!(records_in(&file), read);
}

#[test]
fn records_that_were_left_stay_until_they_are_removed() {
    let file = file_of("left");
    let (mut buffer, _) = CrashBuffer::open(&file, SLOTS).unwrap();
    buffer.insert(b"left").unwrap();
    drop(buffer);
    let (mut buffer, left) = CrashBuffer::open(&file, SLOTS).unwrap();
    assert_eq!(buffer.free_slots(), SLOTS - 1);
    buffer.insert(b"new").unwrap();
    drop(buffer);
    assert_eq!(records_in(&file), [b"left".to_vec(), b"new".to_vec()]);
    let (mut buffer, again) = CrashBuffer::open(&file, SLOTS).unwrap();
    assert_eq!(left.len(), 1);
    for record in again {
        buffer.remove(record.slot);
    }
    assert_eq!(buffer.free_slots(), SLOTS);
    drop(buffer);
    assert!(records_in(&file).is_empty());
}

#[test]
fn a_full_buffer_and_a_long_record_are_refused() {
    let (mut buffer, _) = CrashBuffer::open(&file_of("full"), SLOTS).unwrap();
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
fn a_slot_that_was_written_in_part_is_free() {
    let file = file_of("torn");
    let (mut buffer, _) = CrashBuffer::open(&file, SLOTS).unwrap();
    buffer.insert(b"a record").unwrap();
    buffer.insert(b"another").unwrap();
    drop(buffer);
    // Each byte of the first slot that a loss of power may have left as it was before.
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
fn a_file_of_another_format_is_refused_and_left_as_it_is() {
    let file = file_of("format");
    drop(CrashBuffer::open(&file, SLOTS - 1).unwrap());
    let of_other_size = std::fs::read(&file).unwrap();
    let cut_short = of_other_size[..of_other_size.len() - 1].to_vec();
    let header_alone = of_other_size[..HEADER_BYTES].to_vec();
    for content in
        [b"something else".to_vec(), vec![0; 2 * HEADER_BYTES], header_alone, cut_short, of_other_size]
    {
        std::fs::write(&file, &content).unwrap();
        assert_matches!(CrashBuffer::open(&file, SLOTS).err(), Some(OpenError::UnknownFormat { .. }));
        assert_eq!(std::fs::read(&file).unwrap(), content);
    }
}

#[test]
fn an_unfinished_file_is_made_anew() {
    let file = file_of("unfinished");
    std::fs::write(file.with_file_name("records.tmp"), b"stilero").unwrap();
    let (buffer, left) = CrashBuffer::open(&file, SLOTS).unwrap();
    assert!(left.is_empty());
    assert_eq!(buffer.free_slots(), SLOTS);
}
