//! A message that fails on each run is answered with `max_tries` failures and no more, whatever happens to the stores
//! meanwhile (known failure `failed-attempts-behind-a-stalled-write`).

mod simulation;
mod support;

use simulation::{Action, Behavior, Execution, Fault, Simulation};
use stileroute_queue::*;
use support::*;

/// Failed attempts that the route of the messages allows.
const MAX_TRIES: usize = 3;
/// Number of runs of each scenario, each with its own seed.
const SEEDS_PER_SCENARIO: u64 = 12;
/// Number of messages in a run, all of which fail on each attempt.
const MESSAGES: u64 = 120;
/// Time at which the first message is sent, in milliseconds.
const FIRST_MESSAGE_AT_MS: u64 = 2000;
/// Time between two messages.
const INTERVAL_MS: u64 = 25;
/// Time at which the first round begins, in milliseconds.
const FIRST_ROUND_AT_MS: u64 = 4000;
/// Time after the last round by which all messages have ended. Messages for whose retries the budget does not suffice
/// have exceeded their longest wait by then.
const END_MS: u64 = 66_000;
const ALL: &[usize] = &[0, 1, 2];
/// The number that a store gives to its first attempt after a start.
const FIRST_ATTEMPT: u64 = 1;

/// The faults of the stores, in rounds of equal length.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// The stores whose disks stall, both writes and syncs, from the beginning of each round.
    stalled: &'static [usize],
    stall_ms: u64,
    /// The fault in each round.
    fault: Fault,
    fault_after_ms: u64,
    /// The stores that the fault hits.
    stores: &'static [usize],
    /// The fault hits only one of these stores in each round, in turn.
    rotates: bool,
    rounds: u64,
    round_ms: u64,
}

impl Scenario {
    /// One round in which no disk stalls.
    const fn new(name: &'static str, stores: &'static [usize], fault: Fault) -> Scenario {
        Scenario {
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

    /// Lets the disks of these stores stall; the fault comes during the stall.
    const fn stalled(self, stalled: &'static [usize], stall_ms: u64, fault_after_ms: u64) -> Scenario {
        Scenario { stalled, stall_ms, fault_after_ms, ..self }
    }

    /// Six rounds, each with the fault at another store.
    const fn in_turn(self, round_ms: u64) -> Scenario {
        Scenario { rotates: true, ..self.repeated(round_ms) }
    }

    const fn repeated(self, round_ms: u64) -> Scenario {
        Scenario { rounds: 6, round_ms, ..self }
    }

    fn play(&self, seed: u64) -> Simulation {
        let mut world = Simulation::new(3, 1, seed);
        for n in 0..MESSAGES {
            let delay_ms = [0, 0, 400, 1700, 3100][((n + seed) % 5) as usize];
            let sent_at = FIRST_MESSAGE_AT_MS + INTERVAL_MS * n;
            world.send(sent_at, (n % 3) as usize, "plain", &[Behavior::Fails], delay_ms);
        }
        for round in 0..self.rounds {
            let begin = FIRST_ROUND_AT_MS + self.round_ms * round;
            for store in self.stalled {
                world.act(begin, Action::HoldWrites(*store, self.stall_ms));
                world.act(begin, Action::HoldSyncs(*store, self.stall_ms));
            }
            for store in self.stores.iter().filter(|store| !self.rotates || **store as u64 == round % 3) {
                world.act(begin + self.fault_after_ms, Action::Inject(*store, self.fault));
            }
        }
        world.run(FIRST_ROUND_AT_MS + self.round_ms * self.rounds + END_MS);
        world
    }
}

/// Asserts that no message is answered with a failure more than `max_tries` times.
fn assert_attempts_are_counted(scenarios: &[Scenario]) {
    let mut failed = Vec::new();
    for scenario in scenarios {
        let mut excess: Vec<String> = Vec::new();
        for seed in 0..SEEDS_PER_SCENARIO {
            let world = scenario.play(seed);
            world.check(true);
            for sent in &world.messages {
                let runs = world.executions.iter().filter(|run| run.id == sent.message.id);
                let failures: Vec<&Execution> = runs.filter(|run| run.failure_read_at.is_some()).collect();
                if failures.len() > MAX_TRIES {
                    excess.push(format!("seed {seed}, {failures:?}"));
                }
            }
        }
        if let Some(first) = excess.first() {
            let of = SEEDS_PER_SCENARIO * MESSAGES;
            failed.push(format!("{}: {} of {of} failed too often: {first}", scenario.name, excess.len()));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn failed_attempts_are_counted_over_a_kill_while_writes_stall() {
    let all_killed = Scenario::new("all stalled, all killed", ALL, Fault::Kill);
    let one_killed = Scenario::new("all stalled, one killed", &[0], Fault::Kill);
    assert_attempts_are_counted(&[
        all_killed.stalled(ALL, 2500, 1000),
        all_killed.stalled(ALL, 2500, 2400),
        all_killed.stalled(&[0], 2500, 2400),
        one_killed.stalled(ALL, 2500, 2400),
        all_killed.stalled(ALL, 9000, 8000),
        all_killed.stalled(ALL, 2000, 1900).repeated(3000),
    ]);
}

/// Neither a stall nor a second kill is needed: a replica that takes a message over has to know how often it has
/// failed.
#[test]
fn failed_attempts_are_counted_over_a_takeover() {
    assert_attempts_are_counted(&[
        Scenario::new("one killed, back late", &[0], Fault::KillLong),
        Scenario::new("one disk lost", &[0], Fault::DiskLoss),
        Scenario::new("killed in turn, back late", ALL, Fault::KillLong).in_turn(7000),
        Scenario::new("disks lost in turn", ALL, Fault::DiskLoss).in_turn(8000),
    ]);
}

#[test]
fn failed_attempts_are_counted_over_a_freeze() {
    assert_attempts_are_counted(&[
        Scenario::new("one frozen", &[0], Fault::Freeze),
        Scenario::new("frozen in turn", ALL, Fault::Freeze).in_turn(6000),
    ]);
}

/// The counts of failed attempts in the records.
fn counts(records: &[Record]) -> Vec<(Key, u32)> {
    let count = |record: &Record| match record {
        Record::AttemptFailed { key, failed_attempts } => Some((*key, *failed_attempts)),
        _ => None,
    };
    records.iter().filter_map(count).collect()
}

/// The disk does not answer; the count still survives the process from the turn in which the answer is read.
#[test]
fn a_failed_attempt_is_kept_in_the_turn_in_which_it_is_known() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, effects) = one.put_and_confirm(message("plain"));
    one.is_disk_stalled = true;
    one.end_attempt(attempts(&effects)[0], AttemptOutcome::Failed);
    assert_eq!(counts(&one.kept_failures), [(key, 1)]);
    let again = attempts(&one.pass(1000));
    one.end_attempt(again[0], AttemptOutcome::Failed);
    assert_eq!(counts(&one.kept_failures), [(key, 1), (key, 2)]);
    // The last failure leads to an end: the end is kept, and the count is only written.
    let again = attempts(&one.pass(1000));
    one.end_attempt(again[0], AttemptOutcome::Failed);
    assert_eq!((one.kept_failures.len(), one.kept_ends.len()), (2, 1));
    assert_eq!(counts(&one.records), [(key, 1), (key, 2), (key, 3)]);
}

#[test]
fn a_kept_count_is_applied_to_a_live_message_once() {
    let replica = replicated_message(ME, vec![B]);
    let key = replica.key;
    let record = |failed_attempts| {
        postcard::to_stdvec(&Record::AttemptFailed { key, failed_attempts }).expect("a record can be written")
    };
    let mut table = state_with(&replica);
    assert!(table.apply_kept_failure(&record(2)));
    assert!(!table.apply_kept_failure(&record(2)));
    assert!(!table.apply_kept_failure(&record(1)), "an earlier count is out of date");
    assert_eq!(table.messages[&key].replica.as_ref().map(|replica| replica.attempts), Some(2));
    // Nothing is counted for a message that has ended or is unknown.
    let end = Record::Ended { key, end: End::Failed, callback_pending: false, ended_at_ms: 1 };
    table.apply_record(end);
    assert!(!table.apply_kept_failure(&record(3)));
    assert!(!StateTable::default().apply_kept_failure(&record(1)));
    assert!(!table.apply_kept_failure(b"\xff"));
}

/// Asserts that this attempt of a message fails and no other one follows.
fn assert_last_attempt(one: &mut SingleStore, attempt: u64, key: Key) {
    one.end_attempt(attempt, AttemptOutcome::Failed);
    assert!(attempts(&one.pass(10_000)).is_empty());
    let state = one.queue.lookup(key).map(|(state, _)| state);
    assert_eq!(state, Some(MessageState::Failed));
}

/// Failures that were counted before the process was killed are not granted again after its start.
#[test]
fn a_message_whose_count_was_kept_has_so_many_attempts_less() {
    let replica = replicated_message(ME, vec![B]);
    let kept = Record::AttemptFailed { key: replica.key, failed_attempts: 2 };
    let mut table = state_with(&replica);
    assert!(table.apply_kept_failure(&postcard::to_stdvec(&kept).expect("a record can be written")));
    let mut one = SingleStore::ready(table);
    assert_eq!(one.queue.metrics.attempts, 1);
    assert_last_attempt(&mut one, FIRST_ATTEMPT, replica.key);
}

/// A failed attempt of the same turn has no space of its own yet when the next message is considered.
#[test]
fn a_failed_attempt_of_this_turn_counts_before_the_program_has_it() {
    let mut one = SingleStore::ready(StateTable::default());
    one.queue.end_capacity = 1;
    let (_, effects) = one.put_and_confirm(message("plain"));
    let (_, waiting) = one.put_and_confirm(message("plain"));
    assert!(attempts(&waiting).is_empty());
    let first = attempts(&effects)[0];
    one.queue.attempt_ended(one.now, one.now as i64 * 10, first, AttemptOutcome::Failed, None);
    one.queue.tick(one.now, one.now as i64 * 10);
    assert!(attempts(&one.queue.take_effects()).is_empty());
}

fn notice(key: Key, failed_attempts: u32) -> PeerMessage {
    PeerMessage::AttemptsFailed(vec![FailureNotice { key, failed_attempts, read_by_sender: 0 }])
}

/// The message by which a store announces on each connection that it accepts notices of failed attempts.
fn accepts_notices() -> PeerMessage {
    PeerMessage::CallbacksDelivered(Vec::new())
}

#[test]
fn the_replica_is_notified_in_the_turn_in_which_an_attempt_fails() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, effects) = one.put_and_confirm(message("plain"));
    let (_, replica) = replicas_sent(&one.put(2, message("plain")))[0];
    for other in [B, C] {
        one.receive(other, accepts_notices());
    }
    let effects = one.end_attempt(attempts(&effects)[0], AttemptOutcome::Failed);
    let expected = FailureNotice { key, failed_attempts: 1, read_by_sender: 1 };
    let expected = PeerMessage::AttemptsFailed(vec![expected]);
    assert!(was_sent(&effects, replica, |peer_message| *peer_message == expected), "{effects:?}");
}

/// A store of an earlier version closes a connection on which it cannot decode a message.
#[test]
fn a_store_that_has_not_announced_that_it_accepts_notices_gets_none() {
    let mut one = SingleStore::new(StateTable::default(), 1);
    one.queue.peer_connected(0, B);
    let effects = one.pass(0);
    assert!(
        was_sent(&effects, B, |peer_message| *peer_message == accepts_notices()),
        "this store announces that it accepts notices"
    );
    let mut one = SingleStore::ready(StateTable::default());
    let (_, effects) = one.put_and_confirm(message("plain"));
    let effects = one.end_attempt(attempts(&effects)[0], AttemptOutcome::Failed);
    let is_notice = |peer_message: &PeerMessage| matches!(peer_message, PeerMessage::AttemptsFailed(_));
    assert!(!was_sent(&effects, B, is_notice) && !was_sent(&effects, C, is_notice));
}

/// Notices that were sent before the connection broke may be lost.
#[test]
fn a_store_that_reconnects_is_notified_of_all_failed_attempts() {
    let mut one =
        SingleStore::ready(state_with(&ReplicatedMessage { attempts: 2, ..replicated_message(ME, vec![B]) }));
    one.queue.peer_disconnected(one.now, B);
    one.queue.peer_connected(one.now, B);
    let effects = one.receive(B, accepts_notices());
    assert!(
        was_sent(&effects, B, |peer_message| *peer_message == notice(replicated_message(ME, vec![B]).key, 2)),
        "{effects:?}"
    );
}

/// The owner is gone. Its replica has been notified of two failures, allows one more attempt, and then ends the
/// message.
#[test]
fn a_message_that_is_taken_over_has_so_many_attempts_less() {
    let replica = replicated_message(B, vec![ME]);
    let mut one = SingleStore::ready(state_with(&replica));
    one.receive(B, notice(replica.key, 2));
    // The notice may be repeated, and arrive late.
    one.receive(B, notice(replica.key, 1));
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
    let (key, _) = one.put_and_confirm(Message { delay_ms: 1000, ..message("plain") });
    one.receive(B, notice(key, 3));
    assert!(attempts(&one.pass(10_000)).is_empty());
    assert_eq!(one.queue.lookup(key).map(|(state, _)| state), Some(MessageState::Failed));
}

/// A store that takes a message over is notified by any store that knows of more failures, before it starts the
/// message.
#[test]
fn a_claimant_is_notified_of_failures_that_it_may_not_know() {
    let replica = ReplicatedMessage { attempts: 2, ..replicated_message(B, vec![ME, C]) };
    let mut one = SingleStore::ready(state_with(&replica));
    one.receive(C, accepts_notices());
    let claimed = Ownership { key: replica.key, owner: C, term: 1, replicas: vec![ME] };
    let effects = one.receive(C, PeerMessage::OwnershipChanged(vec![claimed]));
    assert!(was_sent(&effects, C, |peer_message| *peer_message == notice(replica.key, 2)), "{effects:?}");
}
