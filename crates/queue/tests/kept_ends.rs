//! Ends that survive the process before the disk has them: which ends these are, how they are applied after a
//! restart, and that no more messages run than there is space for their ends. Without this, a message that has
//! succeeded runs again if all stores are killed while their disks stall (known failure `soak-with-keys-seed-16`).

mod simulation;
mod support;

use stileroute_queue::*;
use support::*;

fn success() -> AttemptOutcome {
    AttemptOutcome::Completed { seal: "s".into() }
}

fn ended(key: Key) -> Record {
    Record::Ended {
        key,
        end: End::Complete { seal: "s".into() },
        callback_pending: true,
        ended_at_ms: simulation::START_WALL_CLOCK_MS,
    }
}

fn key_of(record: &Record) -> Option<Key> {
    match record {
        Record::Ended { key, .. } => Some(*key),
        _ => None,
    }
}

/// The store that has run the message keeps its end in the turn in which it reads the answer, although the disk does
/// not answer.
#[test]
fn an_end_is_kept_in_the_turn_in_which_it_is_known() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, effects) = one.put_and_confirm(message("plain"));
    one.is_disk_stalled = true;
    one.end_attempt(attempts(&effects)[0], success());
    assert_eq!(one.kept_ends.iter().map(key_of).collect::<Vec<_>>(), [Some(key)]);
}

/// The store with the replica keeps the end as well: the owner may lose its disk together with its process.
#[test]
fn an_end_that_another_store_has_sent_is_kept() {
    let replica = replicated_message(B, vec![ME]);
    let mut one = SingleStore::ready(state_with(&replica));
    one.is_disk_stalled = true;
    let end = End::Complete { seal: "s".into() };
    one.receive(B, PeerMessage::Ended(vec![EndNotice { key: replica.key, end, callback_pending: false }]));
    assert_eq!(one.kept_ends.iter().map(key_of).collect::<Vec<_>>(), [Some(replica.key)]);
}

#[test]
fn a_kept_end_closes_a_message_once() {
    let replica = replicated_message(ME, vec![B]);
    let record = postcard::to_stdvec(&ended(replica.key)).unwrap();
    let mut table = state_with(&replica);
    assert!(table.apply_kept_end(&record));
    let stored = |table: &StateTable| table.messages[&replica.key].end.clone();
    assert!(stored(&table).is_some_and(|end| end.callback_pending));
    // The callback was delivered: a second start must not make it pending again.
    table.apply_record(Record::CallbackDelivered { key: replica.key });
    assert!(!table.apply_kept_end(&record));
    assert!(stored(&table).is_some_and(|end| !end.callback_pending));
    // The record is not one of an end.
    let put = postcard::to_stdvec(&Record::Put { replica: replica.clone() }).unwrap();
    assert!(!state_with(&replica).apply_kept_end(&put));
    assert!(!state_with(&replica).apply_kept_end(b"\xff"));
}

/// A replica whose record is still in the log's memory is taken over and run, and then all stores are killed. The
/// former owner returns with the message live and has to be notified of its end.
#[test]
fn the_end_of_a_message_that_was_never_written_is_known_after_a_kill() {
    let replica = replicated_message(B, vec![ME]);
    let mut one = SingleStore::ready(StateTable::default());
    one.is_disk_stalled = true;
    one.receive(B, PeerMessage::Replicate(vec![replica.clone()]));
    one.queue.peer_disconnected(one.now, B);
    one.queue.set_members(one.now, &[(ME, 0), (C, 2)]);
    let started = attempts(&one.pass(8000));
    assert_eq!(started.len(), 1);
    one.end_attempt(started[0], success());
    let mut table = StateTable::default();
    table.apply_record(Record::IncarnationStarted { disk_id: 7, first_number: 1 });
    assert!(table.apply_kept_end(&postcard::to_stdvec(&one.kept_ends[0]).unwrap()));
    let mut after = SingleStore::ready(table);
    let claimed = Ownership { key: replica.key, owner: B, term: 0, replicas: vec![ME] };
    let answer = after.receive(B, PeerMessage::OwnershipChanged(vec![claimed]));
    assert!(was_sent(&answer, B, |peer_message| matches!(peer_message, PeerMessage::Ended(_))));
}

#[test]
fn a_message_whose_end_was_kept_does_not_run_again() {
    let replica = replicated_message(ME, vec![B]);
    let mut table = state_with(&replica);
    table.apply_kept_end(&postcard::to_stdvec(&ended(replica.key)).unwrap());
    let mut one = SingleStore::ready(table);
    assert!(attempts(&one.pass(10_000)).is_empty());
    let state = one.queue.lookup(replica.key).map(|(state, _)| state);
    assert_eq!(state, Some(MessageState::Complete { seal: "s".into() }));
}

/// A stalled disk takes no ends: as many messages run as there is space for ends, and the next one starts when space
/// is free.
#[test]
fn no_more_messages_run_than_ends_can_be_kept() {
    const CAPACITY: usize = 3;
    let mut one = SingleStore::ready(StateTable::default());
    one.queue.end_capacity = CAPACITY;
    let mut started = Vec::new();
    for _ in 0..2 * CAPACITY {
        let (_, effects) = one.put_and_confirm(message("plain"));
        started.extend(attempts(&effects));
    }
    started.extend(attempts(&one.pass(1000)));
    assert_eq!(started.len(), CAPACITY);
    assert!(one.queue.metrics.attempts_delayed_by_disk > 0);
    // The end takes the space of its attempt until the disk has it.
    one.is_disk_stalled = true;
    one.queue.end_capacity = CAPACITY - 1;
    let more = one.end_attempt(started[0], success());
    assert!(attempts(&more).is_empty());
    assert!(attempts(&one.pass(1000)).is_empty());
    one.queue.end_capacity = CAPACITY;
    assert_eq!(attempts(&one.pass(1000)).len(), 1);
}

/// An end of the same turn has no space of its own yet when the next message is considered.
#[test]
fn an_end_of_this_turn_counts_before_the_program_has_it() {
    let mut one = SingleStore::ready(StateTable::default());
    one.queue.end_capacity = 1;
    let (_, effects) = one.put_and_confirm(message("plain"));
    let (_, waiting) = one.put_and_confirm(message("plain"));
    assert!(attempts(&waiting).is_empty());
    one.queue.attempt_ended(one.now, one.now as i64 * 10, attempts(&effects)[0], success(), None);
    one.queue.tick(one.now, one.now as i64 * 10);
    assert!(attempts(&one.queue.take_effects()).is_empty());
}
