//! Guards against a message that runs again seconds after its success: the disks of its owner and of its replica
//! stalled, and both processes were killed meanwhile, when the end of the message was only in memory.

mod simulation;

use simulation::{Action, Behavior, Execution, Fault, Simulation};

/// Time at which the disks begin to stall, in milliseconds.
const STALL_AT_MS: u64 = 4000;
/// Length of a run; a stall of this length never ends within it.
const RUN_MS: u64 = 14_000;
/// Lengths of the stalls.
const STALL_LENGTHS_MS: [u64; 5] = [2, 100, 900, 2500, RUN_MS];
/// Time from the beginning of an endless stall to the kill of the processes.
const KILL_IN_ENDLESS_STALL_MS: u64 = 2500;
/// A success that was read at least this long before its store was killed must not be lost.
const GRACE_MS: u64 = 50;
/// Number of messages in a run, alternating with and without idempotency keys.
const MESSAGES: u64 = 120;
/// Time between two messages.
const INTERVAL_MS: u64 = 25;
/// Number of runs of each kind.
const SEEDS: u64 = 12;
/// Number of times within a stall at which the processes are killed, one in each run.
const KILL_TIMES: u64 = 4;

/// The operations that stall.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stall {
    WritesAndSyncs,
    Syncs,
}

/// Messages that ran again although they had succeeded long enough before the kill.
#[derive(Debug, Default)]
struct LostSuccesses {
    successes: usize,
    messages: usize,
    /// Age of the oldest of these successes at the kill.
    oldest_ms: u64,
    /// The executions of the message with the oldest success.
    oldest: Vec<Execution>,
}

/// Three stores that tolerate one loss, and messages that arrive and end before and during the stall.
fn world(seed: u64) -> Simulation {
    let mut world = Simulation::new(3, 1, seed);
    for n in 0..MESSAGES {
        let sent_at = STALL_AT_MS - 2000 + INTERVAL_MS * n;
        let delay_ms = [0, 0, 400, 1700, 3100][((n + seed) % 5) as usize];
        if n % 2 == 0 {
            world.send_with_key(sent_at, None, &format!("k-{n}"), delay_ms);
        } else {
            let behavior = [Behavior::Succeeds, Behavior::Slow(300)][(n / 2 % 2) as usize];
            world.send(sent_at, (n % 3) as usize, "plain", &[behavior], delay_ms);
        }
    }
    world
}

/// When the processes are killed: within the stall, or in its last millisecond.
fn kill_at(stall_ms: u64, seed: u64) -> u64 {
    let last = if stall_ms == RUN_MS { KILL_IN_ENDLESS_STALL_MS } else { stall_ms - 1 };
    STALL_AT_MS + last * (KILL_TIMES - seed % KILL_TIMES) / KILL_TIMES
}

/// Lets the disks of these stores stall and kills their processes meanwhile.
fn play(stores: &[usize], stall: Stall, stall_ms: u64, seed: u64, lost: &mut LostSuccesses) {
    let mut world = world(seed);
    let kill_at = kill_at(stall_ms, seed);
    for store in stores {
        if stall == Stall::WritesAndSyncs {
            world.act(STALL_AT_MS, Action::HoldWrites(*store, stall_ms));
        }
        world.act(STALL_AT_MS, Action::HoldSyncs(*store, stall_ms));
        world.act(kill_at, Action::Inject(*store, Fault::Kill));
    }
    world.run(RUN_MS);
    count_lost(&world, kill_at, lost);
}

fn count_lost(world: &Simulation, kill_at: u64, lost: &mut LostSuccesses) {
    for sent in &world.messages {
        let runs = || world.executions.iter().filter(|run| run.id == sent.message.id);
        let reads = runs().filter_map(|run| run.read_at);
        let Some(read_at) = reads.filter(|read_at| read_at + GRACE_MS < kill_at).min() else { continue };
        lost.successes += 1;
        if runs().any(|run| run.started_at > read_at) {
            lost.messages += 1;
            if kill_at - read_at > lost.oldest_ms {
                lost.oldest_ms = kill_at - read_at;
                lost.oldest = runs().cloned().collect();
            }
        }
    }
}

/// Asserts that no success is lost, however long the disks of these stores stall.
fn assert_successes_are_kept(stores: &[&[usize]], stall: Stall) {
    let mut failed = Vec::new();
    for stall_ms in STALL_LENGTHS_MS {
        let mut lost = LostSuccesses::default();
        for seed in 0..SEEDS {
            for stalled in stores {
                play(stalled, stall, stall_ms, seed, &mut lost);
            }
        }
        if lost.messages > 0 {
            let LostSuccesses { successes, messages, oldest_ms, oldest } = lost;
            failed.push(format!(
                "{stall:?} for {stall_ms} ms: {messages} of {successes} ran again, the oldest {oldest_ms} ms before the kill: {oldest:?}"
            ));
        }
    }
    assert!(failed.is_empty(), "successes were lost:\n{}", failed.join("\n"));
}

const ALL: &[&[usize]] = &[&[0, 1, 2]];
const PAIRS: &[&[usize]] = &[&[0, 1], &[1, 2], &[2, 0]];

#[test]
fn successes_outlive_a_kill_of_all_stores_while_writes_and_syncs_stall() {
    assert_successes_are_kept(ALL, Stall::WritesAndSyncs);
}

#[test]
fn successes_outlive_a_kill_of_owner_and_replica_while_writes_and_syncs_stall() {
    assert_successes_are_kept(PAIRS, Stall::WritesAndSyncs);
}

#[test]
fn successes_outlive_a_kill_of_all_stores_while_syncs_stall() {
    assert_successes_are_kept(ALL, Stall::Syncs);
}

#[test]
fn successes_outlive_a_kill_of_owner_and_replica_while_syncs_stall() {
    assert_successes_are_kept(PAIRS, Stall::Syncs);
}
