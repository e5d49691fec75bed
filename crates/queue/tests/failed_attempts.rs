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
/// After the last round all messages come to their end within this time.
const END_MS: u64 = 26_000;
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
    rounds: u64,
    round_ms: u64,
}

impl Day {
    /// One round in which nothing stalls.
    const fn of(name: &'static str, stores: &'static [usize], fault: Fault) -> Day {
        Day { name, stalled: &[], stall_ms: 0, fault, fault_after_ms: 1000, stores, rounds: 1, round_ms: 0 }
    }

    /// The disks of these stores stall, and the fault comes meanwhile.
    const fn stalled(self, stalled: &'static [usize], stall_ms: u64, fault_after_ms: u64) -> Day {
        Day { stalled, stall_ms, fault_after_ms, ..self }
    }

    /// Six rounds.
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
            for store in self.stores {
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
            world.check(false);
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

/// What was counted before the process was killed is not granted again after its start.
#[test]
fn a_message_whose_count_was_kept_has_so_many_attempts_less() {
    let replica = shared(ME, vec![B]);
    let kept = Record::AttemptFailed { key: replica.key, failed_attempts: 2 };
    let mut table = ledger(&replica);
    assert!(table.apply_kept_failure(&postcard::to_stdvec(&kept).expect("a record can be written")));
    let mut one = SingleStore::ready(table);
    assert_eq!(one.queue.metrics.attempts, 1);
    one.answered(FIRST_ATTEMPT, AttemptOutcome::Failed);
    assert!(attempts(&one.pass(10_000)).is_empty());
    let state = one.queue.lookup(replica.key).map(|(state, _)| state);
    assert_eq!(state, Some(MessageState::Failed));
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
