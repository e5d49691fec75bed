use super::super::kept_records::SLOTS_PER_FILE;
use super::super::kept_test_support::{data_dir, key, table_with_live_messages};
use super::super::refused_appends::APPEND_RETRY_DELAY_MS;
use super::super::START_TICKET;
use super::*;

const TICKET: u64 = 7;

fn count(number: u64, failed_attempts: u32) -> Vec<u8> {
    postcard::to_stdvec(&Record::AttemptFailed { key: key(number), failed_attempts }).unwrap()
}

fn failed_attempts(table: &StateTable, number: u64) -> u32 {
    table.messages[&key(number)].replica.as_ref().unwrap().attempts
}

fn open_empty(data_dir: &Path) -> KeptFailures {
    let (kept, left) = KeptFailures::open(data_dir, &mut StateTable::default());
    assert!(left.is_empty());
    kept
}

#[test]
fn unwritten_counts_survive_a_kill() {
    let data_dir = data_dir("failures-kill");
    let mut before = open_empty(&data_dir);
    before.keep(TICKET, key(1), count(1, 2));
    before.keep(TICKET, key(2), count(2, 1));
    std::mem::forget(before);
    let mut table = table_with_live_messages(&[1, 2, 3]);
    let (mut reopened, records) = KeptFailures::open(&data_dir, &mut table);
    assert_eq!([1, 2, 3].map(|number| failed_attempts(&table, number)), [2, 1, 0]);
    assert_eq!((records.len(), reopened.unwritten_count()), (2, 2));
    // The counts stay in the crash buffer until the first append after the start is written: a second kill before that loses none.
    assert_eq!(KeptFailures::open(&data_dir, &mut table_with_live_messages(&[1, 2])).1.len(), 2);
    reopened.write_completed(0, START_TICKET, true);
    assert_eq!(reopened.unwritten_count(), 0);
    drop(reopened);
    assert!(KeptFailures::open(&data_dir, &mut table_with_live_messages(&[1, 2])).1.is_empty());
}

/// A message uses one slot of the crash buffer, however often it fails while the disk stalls.
#[test]
fn a_later_count_replaces_the_earlier_one() {
    let data_dir = data_dir("failures-later");
    let mut kept = open_empty(&data_dir);
    let capacity = kept.capacity();
    for failed_attempts in 1..=5 {
        kept.keep(TICKET + u64::from(failed_attempts), key(1), count(1, failed_attempts));
    }
    assert_eq!((kept.unwritten_count(), kept.capacity()), (1, capacity - 1));
    // The log has written the first four counts, but not yet the fifth and last one.
    kept.write_completed(0, TICKET + 4, true);
    assert_eq!(kept.unwritten_count(), 1);
    std::mem::forget(kept);
    let mut table = table_with_live_messages(&[1]);
    KeptFailures::open(&data_dir, &mut table);
    assert_eq!(failed_attempts(&table, 1), 5);
}

#[test]
fn refused_counts_are_kept_and_the_last_of_each_message_is_appended_again() {
    let data_dir = data_dir("failures-refused");
    let mut kept = open_empty(&data_dir);
    kept.keep(TICKET, key(1), count(1, 1));
    kept.keep(TICKET, key(2), count(2, 1));
    kept.write_completed(0, TICKET, false);
    kept.keep(TICKET + 1, key(1), count(1, 2));
    assert!(kept.take_due(APPEND_RETRY_DELAY_MS - 1).is_empty());
    assert_eq!(kept.take_due(APPEND_RETRY_DELAY_MS), [(TICKET, vec![count(2, 1)])]);
    kept.write_completed(APPEND_RETRY_DELAY_MS, TICKET, true);
    assert_eq!(kept.unwritten_count(), 1);
    kept.write_completed(APPEND_RETRY_DELAY_MS, TICKET + 1, true);
    assert_eq!(kept.unwritten_count(), 0);
}

#[test]
fn counts_beyond_the_buffer_capacity_are_counted_and_still_appended_again() {
    let data_dir = data_dir("failures-full");
    let mut kept = open_empty(&data_dir);
    for number in 0..SLOTS_PER_FILE as u64 + 3 {
        kept.keep(TICKET, key(number), count(number, 1));
    }
    assert_eq!((kept.unbuffered_count(), kept.capacity()), (3, 0));
    kept.write_completed(0, TICKET, false);
    assert_eq!(kept.take_due(APPEND_RETRY_DELAY_MS)[0].1.len(), SLOTS_PER_FILE + 3);
}

#[test]
fn an_unusable_file_does_not_prevent_the_start() {
    let data_dir = data_dir("failures-unusable");
    std::fs::write(data_dir.join(FILE_NAME), b"something else").unwrap();
    let mut kept = open_empty(&data_dir);
    kept.keep(TICKET, key(1), count(1, 1));
    assert_eq!((kept.unbuffered_count(), kept.unwritten_count(), kept.capacity()), (1, 1, usize::MAX));
    kept.write_completed(0, TICKET, true);
    assert_eq!(kept.unwritten_count(), 0);
}
