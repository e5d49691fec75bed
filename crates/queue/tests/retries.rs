//! Three stores and nine executors of one service, some of which fail: limits how many retries meet at one of them.

mod simulation;

use simulation::{config, START_WALL_CLOCK_MS};
use std::collections::{BTreeMap, HashMap};
use stileroute_queue::*;

const STORES: usize = 3;
const EXECUTORS: usize = 9;
const SLOTS: usize = 3;

struct SentMessage {
    store: usize,
    attempt: u64,
    executor: usize,
    is_retry: bool,
    outcome: AttemptOutcome,
}

/// Results of a run; counts for one executor are over all stores.
#[derive(Debug, Default)]
struct RunStats {
    first_attempts: usize,
    /// Retries in all; per executor; at the executor that had just failed the same message; and those that failed.
    retries: usize,
    retries_at: [usize; EXECUTORS],
    retries_at_failed_executor: usize,
    failed_retries: usize,
    /// Most retries at one executor at the same time.
    max_retries_at_once: usize,
    completed: usize,
    failed: usize,
    /// Longest time from the put of a message to its completion, in milliseconds.
    slowest_ms: u64,
}

/// The queue of one store that knows all others and all executors.
fn store_of(at: usize, members: &[(Node, usize)]) -> Queue {
    let settings = QueueSettings {
        node: members[at].0,
        zone: at,
        disk_id: 1,
        first_number: 1,
        earlier_first_numbers: Vec::new(),
        replica_count: 0,
        region_of_zone: Vec::new(),
        tolerated_losses: ToleratedLosses::default(),
        rate_window_ms: 5000,
        rate_tolerance: 1.1,
        repair: RepairSettings::new(4200, 1000.0),
        retention: Retention { status_ms: 120_000, idempotency_window_ms: 60_000 },
        quota: QuotaBounds { window_ms: 5000, overrun: 0.1, slack: 20 },
        has_lost_disk: false,
        seed: at as u64,
    };
    let mut queue = Queue::new(settings, StateTable::default(), 0, START_WALL_CLOCK_MS);
    queue.set_members(0, members);
    members
        .iter()
        .filter(|(node, _)| *node != members[at].0)
        .for_each(|(node, _)| queue.peer_connected(0, *node));
    let executors = (0..EXECUTORS).map(|n| Executor {
        id: format!("e{n}"),
        address: format!("10.0.0.{n}:80").parse().unwrap(),
        zone: n % 3,
        capacity: SLOTS as f64,
        is_serving: true,
        warm_up_left_ms: 0,
    });
    queue.set_executors(0, 0, HashMap::from([("works".to_string(), executors.collect())]));
    queue.configure(0, 0, config(1, "", 6, 60.0));
    queue
}

/// Puts one message every `gap` ms for `length` ms. `respond` decides how long an executor takes for a message and
/// with which outcome, from the time, the executor, the number of the message and the executor's attempts in flight.
fn play(
    gap_ms: u64,
    length_ms: u64,
    respond: impl Fn(u64, usize, usize, usize) -> (u64, AttemptOutcome),
) -> RunStats {
    let mut stores = Vec::new();
    let members: Vec<(Node, usize)> = (0..STORES).map(|at| (10 + at as Node, at)).collect();
    for at in 0..STORES {
        stores.push(store_of(at, &members));
    }
    let (mut stats, mut out) = (RunStats::default(), BTreeMap::<(u64, u64), SentMessage>::new());
    let mut attempts: HashMap<String, Vec<(usize, bool)>> = HashMap::new();
    let mut sent_at: HashMap<String, u64> = HashMap::new();
    let (mut seq, mut now, mut n) = (0, 0, 0);
    let mut next_put = 2000;
    while now < length_ms + 70_000 {
        while next_put <= now && now < length_ms {
            let (id, at) = (format!("id{n}"), n % STORES);
            let message = Message {
                id: id.clone(),
                host: "h".into(),
                method: "POST".into(),
                target: format!("/plain/{n}"),
                accepted_at_ms: START_WALL_CLOCK_MS + now,
                ..Message::default()
            };
            sent_at.insert(id, now);
            stores[at].put(now, n as u64 + 1, message);
            (n, next_put) = (n + 1, next_put + gap_ms);
        }
        while let Some(entry) = out.first_entry().filter(|e| e.key().0 <= now) {
            let SentMessage { store, attempt, outcome, .. } = entry.remove();
            stores[store].attempt_ended(now, now as i64 * 10, attempt, outcome, None);
        }
        for (at, store) in stores.iter_mut().enumerate() {
            for _ in 0..8 {
                store.tick(now, now as i64 * 10);
                for effect in store.take_effects() {
                    match effect {
                        Effect::Persist { ticket, .. } => store.write_completed(now, ticket, true),
                        Effect::StartAttempt { attempt, key, to, .. } => {
                            let id = store.message(key).unwrap().id.clone();
                            let executor = usize::from(to.ip().octets()[3]);
                            let before = attempts.entry(id.clone()).or_default();
                            let is_retry = before.iter().any(|(_, ran)| *ran);
                            let in_flight = out.values().filter(|s| s.executor == executor).count();
                            let number = id[2..].parse().unwrap();
                            let (ms, mut outcome) = respond(now, executor, number, in_flight);
                            let ran = !matches!(
                                outcome,
                                AttemptOutcome::ExecutorFull | AttemptOutcome::NotConnected
                            );
                            match is_retry {
                                false => stats.first_attempts += 1,
                                true => {
                                    stats.retries += 1;
                                    stats.retries_at[executor] += 1;
                                    stats.retries_at_failed_executor +=
                                        usize::from(before.last().is_some_and(|l| l.0 == executor));
                                    let fails = ran && !matches!(outcome, AttemptOutcome::Completed { .. });
                                    stats.failed_retries += usize::from(fails);
                                }
                            }
                            before.push((executor, ran));
                            if let AttemptOutcome::Completed { seal } = &mut outcome {
                                *seal = id.clone();
                                let took = now + ms - sent_at[&id];
                                (stats.completed, stats.slowest_ms) =
                                    (stats.completed + 1, stats.slowest_ms.max(took));
                            }
                            seq += 1;
                            let sent = SentMessage { store: at, attempt, executor, is_retry, outcome };
                            out.insert((now + ms, seq), sent);
                            let repeats =
                                out.values().filter(|s| s.executor == executor && s.is_retry).count();
                            stats.max_retries_at_once = stats.max_retries_at_once.max(repeats);
                        }
                        _ => {}
                    }
                }
            }
        }
        let timers = stores.iter().map(Queue::next_deadline).min().unwrap();
        let next = out.first_key_value().map_or(u64::MAX, |((at, _), _)| *at);
        let put = if next_put < length_ms { next_put } else { u64::MAX };
        now = timers.min(next).min(put).max(now + 1);
    }
    stats.failed = n - stats.completed;
    stats
}

/// Each executor processes `SLOTS` messages at once, and more of them more slowly.
fn serve(in_flight: usize) -> (u64, AttemptOutcome) {
    let ms = 60 * (1 + in_flight.saturating_sub(SLOTS) as u64);
    (ms, AttemptOutcome::Completed { seal: String::new() })
}

/// One executor has trouble for ten seconds: seven of ten attempts fail, with the given duration and outcome.
fn run_with_failing_executor(gap_ms: u64, ms: u64, outcome: AttemptOutcome) -> RunStats {
    let turn = std::cell::Cell::new(0);
    play(gap_ms, 20_000, |now, executor, _, in_flight| match executor {
        4 if (4000..14_000).contains(&now) && turn.replace(turn.get() + 1) % 10 < 7 => (ms, outcome.clone()),
        _ => serve(in_flight),
    })
}

/// A message retried at the executor that has just failed it meets the same trouble: 33 of 48 such retries failed,
/// and some messages that were in time had to wait 1.5 s.
#[test]
fn a_retry_goes_to_another_executor_than_the_one_that_failed() {
    for outcome in [AttemptOutcome::MalformedResponse, AttemptOutcome::Failed] {
        let stats = run_with_failing_executor(3, 60, outcome);
        assert_eq!(
            (stats.retries_at_failed_executor, stats.retries_at[4], stats.failed_retries),
            (0, 0, 0),
            "{stats:?}"
        );
        assert!(stats.slowest_ms < 400 && stats.failed == 0, "{stats:?}");
    }
}

/// Without the retry budget 3395 of 4145 retries failed, and 11 were at one executor with three slots at once.
#[test]
fn a_struggling_service_gets_a_share_of_retries_and_then_all_of_them() {
    let stats = play(8, 20_000, |now, _, _, in_flight| match (4000..10_000).contains(&now) {
        true => (30, AttemptOutcome::ConnectionBroken),
        false => serve(in_flight),
    });
    // Bound on failed retries: a share of the 750 first attempts of that time, a few retries per second, and the
    // saved-up budget.
    assert!(stats.failed_retries < 150 + 24 + 3 * 27, "{stats:?}");
    assert!(stats.max_retries_at_once <= 2, "{stats:?}");
    // The delayed messages complete as fast as the service allows.
    assert!(stats.failed == 0 && stats.slowest_ms < 8000, "{stats:?}");
}

/// Each message ends after the attempts that its route allows, and first attempts do not wait for that.
#[test]
fn messages_that_always_fail_end_and_delay_no_others() {
    let stats = play(8, 20_000, |_, _, n, in_flight| match n % 20 {
        0 => (30, AttemptOutcome::Failed),
        _ => serve(in_flight),
    });
    assert_eq!((stats.completed + stats.failed, stats.failed), (2250, 113), "{stats:?}");
    assert!(stats.slowest_ms < 400 && stats.first_attempts == 2250, "{stats:?}");
}
