use super::super::kept_records::SLOTS_PER_FILE;
use super::super::kept_test_support::{data_dir, key, table_with_live_messages};
use super::super::refused_appends::APPEND_RETRY_DELAY_MS;
use super::*;
use stileroute_queue::{End, Record};

const TICKET: u64 = 7;

fn end(number: u64) -> Vec<u8> {
    let end = End::Complete { seal: format!("s{number}") };
    let record = Record::Ended { key: key(number), end, callback_pending: false, ended_at_ms: 1 };
    postcard::to_stdvec(&record).unwrap()
}

fn open_with_ends(data_dir: &Path, ends: &[u64]) -> KeptEnds {
    let (mut kept, left) = KeptEnds::open(data_dir, &mut StateTable::default());
    assert!(left.is_empty());
    kept.keep(TICKET, ends.iter().map(|number| end(*number)));
    kept
}

#[test]
fn unwritten_ends_survive_a_kill() {
    let data_dir = data_dir("ends-kill");
    std::mem::forget(open_with_ends(&data_dir, &[1, 2]));
    let mut table = table_with_live_messages(&[1, 2, 3]);
    let (mut reopened, records) = KeptEnds::open(&data_dir, &mut table);
    let ended = |number| table.messages[&key(number)].end.is_some();
    assert_eq!([ended(1), ended(2), ended(3)], [true, true, false]);
    assert_eq!((records.len(), reopened.unwritten_count()), (2, 2));
    // The ends stay in the crash buffer until the first append after the start is written: a second kill before that loses none.
    let (_, again) = KeptEnds::open(&data_dir, &mut table_with_live_messages(&[1, 2]));
    assert_eq!(again.len(), 2);
    reopened.write_completed(0, super::super::START_TICKET, true);
    assert_eq!(reopened.unwritten_count(), 0);
    drop(reopened);
    let (_, none) = KeptEnds::open(&data_dir, &mut table_with_live_messages(&[1, 2]));
    assert!(none.is_empty());
}

#[test]
fn written_ends_are_removed_from_the_crash_buffer() {
    let data_dir = data_dir("ends-written");
    let mut kept = open_with_ends(&data_dir, &[1]);
    let capacity = kept.capacity();
    kept.write_completed(0, TICKET, true);
    assert_eq!((kept.unwritten_count(), kept.capacity()), (0, capacity + 1));
    drop(kept);
    let mut table = table_with_live_messages(&[1]);
    assert!(KeptEnds::open(&data_dir, &mut table).1.is_empty());
    assert!(table.messages[&key(1)].end.is_none());
}

/// A failed sync discards all appends that it has not answered, including ends of messages that other stores already know.
#[test]
fn refused_ends_are_kept_and_appended_again() {
    let data_dir = data_dir("ends-refused");
    let mut kept = open_with_ends(&data_dir, &[1, 2]);
    kept.write_completed(0, TICKET, false);
    kept.write_completed(0, TICKET + 1, false);
    assert!(kept.take_due(APPEND_RETRY_DELAY_MS - 1).is_empty());
    assert_eq!(kept.take_due(APPEND_RETRY_DELAY_MS), [(TICKET, vec![end(1), end(2)])]);
    assert!(kept.take_due(10 * APPEND_RETRY_DELAY_MS).is_empty(), "one retry for each refusal");
    assert_eq!(kept.unwritten_count(), 2);
    kept.write_completed(APPEND_RETRY_DELAY_MS, TICKET, false);
    assert_eq!(kept.take_due(2 * APPEND_RETRY_DELAY_MS).len(), 1);
    kept.write_completed(2 * APPEND_RETRY_DELAY_MS, TICKET, true);
    assert_eq!(kept.unwritten_count(), 0);
}

#[test]
fn ends_beyond_the_buffer_capacity_are_counted_and_still_appended_again() {
    let data_dir = data_dir("ends-full");
    let numbers: Vec<u64> = (0..SLOTS_PER_FILE as u64 + 3).collect();
    let mut kept = open_with_ends(&data_dir, &numbers);
    assert_eq!((kept.unbuffered_count(), kept.capacity()), (3, 0));
    kept.write_completed(0, TICKET, false);
    assert_eq!(kept.take_due(APPEND_RETRY_DELAY_MS)[0].1.len(), numbers.len());
}

#[test]
fn an_unusable_file_does_not_prevent_the_start() {
    let data_dir = data_dir("ends-unusable");
    std::fs::write(data_dir.join(FILE_NAME), b"something else").unwrap();
    let mut kept = open_with_ends(&data_dir, &[1]);
    assert_eq!((kept.unbuffered_count(), kept.unwritten_count(), kept.capacity()), (1, 1, usize::MAX));
    kept.write_completed(0, TICKET, true);
    assert_eq!(kept.unwritten_count(), 0);
}
