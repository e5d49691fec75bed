//! A message that fails at each run is answered with a failure `max_tries` times and no more, whatever becomes of the stores meanwhile
//! (known failure `failed-attempts-behind-a-stalled-write`).

mod simulation;
mod support;

use simulation::{Action, Behavior, Execution, Fault, Simulation};
use stileroute_queue::*;
use support::*;

/// Failed attempts that the route of the messages allows.
const MAX_TRIES: usize = 3;
/// Days of each kind.
const SEEDS: u64 = 12;
/// Messages of a day, all of which fail at each run.
const MESSAGES: u64 = 120;
/// When the first of them is sent.
const FIRST_MESSAGE_AT: u64 = 2000;
/// Between two messages.
const INTERVAL_MS: u64 = 25;
/// When the first round begins.
const FIRST_ROUND_AT: u64 = 4000;
/// After the last round all messages come to their end within this time: those for whose retries the budget does not suffice have
/// waited too long by then.
const END_MS: u64 = 66_000;
const ALL: &[usize] = &[0, 1, 2];
/// The number that a store gives to the first attempt after its start.
const FIRST_ATTEMPT: u64 = 1;

/// What becomes of the stores, in rounds of equal length.
#[derive(Clone, Copy)]
struct Day {
    name: &'static str,
    /// The stores whose disks stall, both writes and syncs, from the beginning of each round.
    stalled: &'static [usize],
    stall_ms: u64,
    /// What happens to stores in each round.
    fault: Fault,
    fault_after_ms: u64,
    /// The stores that it happens to.
    stores: &'static [usize],
    /// Only to one of them in each round, in turn.
    rotates: bool,
    rounds: u64,
    round_ms: u64,
}

impl Day {
    /// One round in which nothing stalls.
    const fn of(name: &'static str, stores: &'static [usize], fault: Fault) -> Day {
        Day {
            name,
            stalled: &[],
            stall_ms: 0,
            fault,
            fault_after_ms: 1000,
            stores,
            rotates: false,
            rounds: 1,
            round_ms: 0,
        }
    }

    /// The disks of these stores stall, and the fault comes meanwhile.
    const fn stalled(self, stalled: &'static [usize], stall_ms: u64, fault_after_ms: u64) -> Day {
        Day { stalled, stall_ms, fault_after_ms, ..self }
    }

    /// Six rounds, each with the fault at another store.
    const fn in_turn(self, round_ms: u64) -> Day {
        Day { rotates: true, ..self.repeated(round_ms) }
    }

    const fn repeated(self, round_ms: u64) -> Day {
        Day { rounds: 6, round_ms, ..self }
    }

    fn play(&self, seed: u64) -> Simulation {
        let mut world = Simulation::new(3, 1, seed);
        for n in 0..MESSAGES {
            let delay_ms = [0, 0, 400, 1700, 3100][((n + seed) % 5) as usize];
            let sent_at = FIRST_MESSAGE_AT + INTERVAL_MS * n;
            world.send(sent_at, (n % 3) as usize, "plain", &[Behavior::Fails], delay_ms);
        }
        for round in 0..self.rounds {
            let begin = FIRST_ROUND_AT + self.round_ms * round;
            for store in self.stalled {
                world.act(begin, Action::HoldWrites(*store, self.stall_ms));
                world.act(begin, Action::HoldSyncs(*store, self.stall_ms));
            }
            for store in self.stores.iter().filter(|store| !self.rotates || **store as u64 == round % 3) {
                world.act(begin + self.fault_after_ms, Action::Inject(*store, self.fault));
            }
        }
        world.run(FIRST_ROUND_AT + self.round_ms * self.rounds + END_MS);
        world
    }
}

/// Asserts that no message is answered with a failure more than `max_tries` times.
fn assert_attempts_are_counted(days: &[Day]) {
    let mut failed = Vec::new();
    for day in days {
        let mut beyond: Vec<String> = Vec::new();
        for seed in 0..SEEDS {
            let world = day.play(seed);
            world.check(true);
            for sent in &world.messages {
                let runs = world.executions.iter().filter(|run| run.id == sent.message.id);
                let failures: Vec<&Execution> = runs.filter(|run| run.failure_read_at.is_some()).collect();
                if failures.len() > MAX_TRIES {
                    beyond.push(format!("seed {seed}, {failures:?}"));
                }
            }
        }
        if let Some(first) = beyond.first() {
            let of = SEEDS * MESSAGES;
            failed.push(format!("{}: {} of {of} failed too often: {first}", day.name, beyond.len()));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn failed_attempts_are_counted_over_a_kill_while_writes_stall() {
    let all_killed = Day::of("all stalled, all killed", ALL, Fault::Kill);
    let one_killed = Day::of("all stalled, one killed", &[0], Fault::Kill);
    assert_attempts_are_counted(&[
        all_killed.stalled(ALL, 2500, 1000),
        all_killed.stalled(ALL, 2500, 2400),
        all_killed.stalled(&[0], 2500, 2400),
        one_killed.stalled(ALL, 2500, 2400),
        all_killed.stalled(ALL, 9000, 8000),
        all_killed.stalled(ALL, 2000, 1900).repeated(3000),
    ]);
}

/// Neither a stall nor a second kill is needed: a replica that takes a message over has to know how often it has failed.
#[test]
fn failed_attempts_are_counted_over_a_takeover() {
    assert_attempts_are_counted(&[
        Day::of("one killed, back late", &[0], Fault::KillLong),
        Day::of("one disk lost", &[0], Fault::DiskLoss),
        Day::of("killed in turn, back late", ALL, Fault::KillLong).in_turn(7000),
        Day::of("disks lost in turn", ALL, Fault::DiskLoss).in_turn(8000),
    ]);
}

#[test]
fn failed_attempts_are_counted_over_a_freeze() {
    assert_attempts_are_counted(&[
        Day::of("one frozen", &[0], Fault::Freeze),
        Day::of("frozen in turn", ALL, Fault::Freeze).in_turn(6000),
    ]);
}

/// How many attempts of a message have failed, as the records say.
fn counts(records: &[Record]) -> Vec<(Key, u32)> {
    let count = |record: &Record| match record {
        Record::AttemptFailed { key, failed_attempts } => Some((*key, *failed_attempts)),
        _ => None,
    };
    records.iter().filter_map(count).collect()
}

/// The disk does not answer: the count outlives the process all the same, from the turn in which the answer is read.
#[test]
fn a_failed_attempt_is_kept_in_the_turn_in_which_it_is_known() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, effects) = one.taken(message("plain"));
    one.disk_silent = true;
    one.answered(attempts(&effects)[0], AttemptOutcome::Failed);
    assert_eq!(counts(&one.kept_failures), [(key, 1)]);
    let again = attempts(&one.pass(1000));
    one.answered(again[0], AttemptOutcome::Failed);
    assert_eq!(counts(&one.kept_failures), [(key, 1), (key, 2)]);
    // The last one leads to an end: that is kept, and the count is only written.
    let again = attempts(&one.pass(1000));
    one.answered(again[0], AttemptOutcome::Failed);
    assert_eq!((one.kept_failures.len(), one.kept_ends.len()), (2, 1));
    assert_eq!(counts(&one.records), [(key, 1), (key, 2), (key, 3)]);
}

#[test]
fn a_kept_count_is_applied_to_a_live_message_once() {
    let replica = shared(ME, vec![B]);
    let key = replica.key;
    let record = |failed_attempts| {
        postcard::to_stdvec(&Record::AttemptFailed { key, failed_attempts }).expect("a record can be written")
    };
    let mut table = ledger(&replica);
    assert!(table.apply_kept_failure(&record(2)));
    assert!(!table.apply_kept_failure(&record(2)));
    assert!(!table.apply_kept_failure(&record(1)), "an earlier count is out of date");
    assert_eq!(table.messages[&key].replica.as_ref().map(|replica| replica.attempts), Some(2));
    // Of a message that has ended, or that is not known, nothing is to be counted.
    let end = Record::Ended { key, end: End::Failed, callback_pending: false, ended_at_ms: 1 };
    table.apply_record(end);
    assert!(!table.apply_kept_failure(&record(3)));
    assert!(!StateTable::default().apply_kept_failure(&record(1)));
    assert!(!table.apply_kept_failure(b"\xff"));
}

/// This attempt of a message fails, and no other one follows.
fn assert_last_attempt(one: &mut SingleStore, attempt: u64, key: Key) {
    one.answered(attempt, AttemptOutcome::Failed);
    assert!(attempts(&one.pass(10_000)).is_empty());
    let state = one.queue.lookup(key).map(|(state, _)| state);
    assert_eq!(state, Some(MessageState::Failed));
}

/// What was counted before the process was killed is not granted again after its start.
#[test]
fn a_message_whose_count_was_kept_has_so_many_attempts_less() {
    let replica = shared(ME, vec![B]);
    let kept = Record::AttemptFailed { key: replica.key, failed_attempts: 2 };
    let mut table = ledger(&replica);
    assert!(table.apply_kept_failure(&postcard::to_stdvec(&kept).expect("a record can be written")));
    let mut one = SingleStore::ready(table);
    assert_eq!(one.queue.metrics.attempts, 1);
    assert_last_attempt(&mut one, FIRST_ATTEMPT, replica.key);
}

/// A failed attempt of this turn has no place of its own yet when the next message is looked at.
#[test]
fn a_failed_attempt_of_this_turn_counts_before_the_program_has_it() {
    let mut one = SingleStore::ready(StateTable::default());
    one.queue.end_capacity = 1;
    let (_, effects) = one.taken(message("plain"));
    let (_, waiting) = one.taken(message("plain"));
    assert!(attempts(&waiting).is_empty());
    let first = attempts(&effects)[0];
    one.queue.attempt_ended(one.now, one.now as i64 * 10, first, AttemptOutcome::Failed, None);
    one.queue.tick(one.now, one.now as i64 * 10);
    assert!(attempts(&one.queue.take_effects()).is_empty());
}

fn notice(key: Key, failed_attempts: u32) -> PeerMessage {
    PeerMessage::AttemptsFailed(vec![FailureNotice { key, failed_attempts, read_by_sender: 0 }])
}

/// What a store sends on each connection if it takes notices of failed attempts.
fn takes_notices() -> PeerMessage {
    PeerMessage::CallbacksDelivered(Vec::new())
}

#[test]
fn the_replica_is_told_in_the_turn_in_which_an_attempt_fails() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, effects) = one.taken(message("plain"));
    let (_, replica) = copies(&one.put(2, message("plain")))[0];
    for other in [B, C] {
        one.note(other, takes_notices());
    }
    let effects = one.answered(attempts(&effects)[0], AttemptOutcome::Failed);
    let expected = FailureNotice { key, failed_attempts: 1, read_by_sender: 1 };
    let expected = PeerMessage::AttemptsFailed(vec![expected]);
    assert!(said(&effects, replica, |note| *note == expected), "{effects:?}");
}

/// An earlier version closes a connection on which it can't read a message.
#[test]
fn a_store_that_has_not_said_that_it_takes_notices_gets_none() {
    let mut one = SingleStore::new(StateTable::default(), 1);
    one.queue.peer_connected(0, B);
    let effects = one.pass(0);
    assert!(said(&effects, B, |note| *note == takes_notices()), "it is told that this store takes them");
    let mut one = SingleStore::ready(StateTable::default());
    let (_, effects) = one.taken(message("plain"));
    let effects = one.answered(attempts(&effects)[0], AttemptOutcome::Failed);
    let is_notice = |note: &PeerMessage| matches!(note, PeerMessage::AttemptsFailed(_));
    assert!(!said(&effects, B, is_notice) && !said(&effects, C, is_notice));
}

/// What was sent before the connection broke may be lost.
#[test]
fn a_store_that_connects_again_is_told_all_that_has_failed() {
    let mut one = SingleStore::ready(ledger(&ReplicatedMessage { attempts: 2, ..shared(ME, vec![B]) }));
    one.queue.peer_disconnected(one.now, B);
    one.queue.peer_connected(one.now, B);
    let effects = one.note(B, takes_notices());
    assert!(said(&effects, B, |note| *note == notice(shared(ME, vec![B]).key, 2)), "{effects:?}");
}

/// The owner is gone: its replica has been told of two failures, grants one more attempt, and ends the message then.
#[test]
fn a_message_that_is_taken_over_has_so_many_attempts_less() {
    let replica = shared(B, vec![ME]);
    let mut one = SingleStore::ready(ledger(&replica));
    one.note(B, notice(replica.key, 2));
    // It may come again, and late.
    one.note(B, notice(replica.key, 1));
    assert_eq!(counts(&one.records), [(replica.key, 2)]);
    assert_eq!(counts(&one.kept_failures), [(replica.key, 2)]);
    one.queue.peer_disconnected(one.now, B);
    one.queue.set_members(one.now, &[(ME, 0), (C, 2)]);
    let started = attempts(&one.pass(8000));
    assert_eq!(started.len(), 1);
    assert_last_attempt(&mut one, started[0], replica.key);
}

/// A former owner reads an answer late: the last attempt was used up there.
#[test]
fn a_message_that_waits_ends_when_its_last_attempt_has_failed_elsewhere() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, _) = one.taken(Message { delay_ms: 1000, ..message("plain") });
    one.note(B, notice(key, 3));
    assert!(attempts(&one.pass(10_000)).is_empty());
    assert_eq!(one.queue.lookup(key).map(|(state, _)| state), Some(MessageState::Failed));
}

/// A store that takes a message over is told by whoever knows of more failures, before it starts the message.
#[test]
fn a_claimant_is_told_of_failures_that_it_may_not_know() {
    let replica = ReplicatedMessage { attempts: 2, ..shared(B, vec![ME, C]) };
    let mut one = SingleStore::ready(ledger(&replica));
    one.note(C, takes_notices());
    let claimed = Ownership { key: replica.key, owner: C, term: 1, replicas: vec![ME] };
    let effects = one.note(C, PeerMessage::OwnershipChanged(vec![claimed]));
    assert!(said(&effects, C, |note| *note == notice(replica.key, 2)), "{effects:?}");
}
