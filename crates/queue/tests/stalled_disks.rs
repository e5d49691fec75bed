//! A message that had succeeded ran again, seconds after its success: the disks of its owner and of its replica stalled, and the
//! processes were killed meanwhile, with the end of the message in memory alone.

mod simulation;

use simulation::{Action, Behavior, Execution, Fault, Simulation};

/// When the disks begin to stall.
const STALL_AT: u64 = 4000;
/// The end of a day; a stall of this length never ends in it.
const DAY_MS: u64 = 14_000;
/// How long disks stall.
const STALL_LENGTHS_MS: [u64; 5] = [2, 100, 900, 2500, DAY_MS];
/// The processes are killed so long after the beginning of a stall that never ends.
const KILL_IN_ENDLESS_STALL_MS: u64 = 2500;
/// A success that was read so long before its store was killed is kept.
const UNREAD_MS: u64 = 50;
/// Messages of a day, with and without idempotency keys in turn.
const MESSAGES: u64 = 120;
/// Between two messages.
const INTERVAL_MS: u64 = 25;
/// Days of each kind.
const SEEDS: u64 = 12;
/// So many parts of a stall end with a kill, one on each day.
const KILL_TIMES: u64 = 4;

/// What is held on the disks that stall.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Held {
    WritesAndSyncs,
    Syncs,
}

/// What ran again though it had succeeded long enough before the kill.
#[derive(Debug, Default)]
struct Forgotten {
    successes: usize,
    messages: usize,
    /// Age of the oldest of these successes at the kill.
    oldest_ms: u64,
    /// The runs of the message with that one.
    oldest: Vec<Execution>,
}

/// Three stores that tolerate one loss, and messages that come and end before the stall and during it.
fn world(seed: u64) -> Simulation {
    let mut world = Simulation::new(3, 1, seed);
    for n in 0..MESSAGES {
        let sent_at = STALL_AT - 2000 + INTERVAL_MS * n;
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

/// When the processes are killed: somewhere in the stall, or at its last millisecond.
fn kill_at(stall_ms: u64, seed: u64) -> u64 {
    let last = if stall_ms == DAY_MS { KILL_IN_ENDLESS_STALL_MS } else { stall_ms - 1 };
    STALL_AT + last * (KILL_TIMES - seed % KILL_TIMES) / KILL_TIMES
}

/// The disks of these stores stall, and their processes are killed meanwhile.
fn play(stores: &[usize], held: Held, stall_ms: u64, seed: u64, forgotten: &mut Forgotten) {
    let mut world = world(seed);
    let kill_at = kill_at(stall_ms, seed);
    for store in stores {
        if held == Held::WritesAndSyncs {
            world.act(STALL_AT, Action::HoldWrites(*store, stall_ms));
        }
        world.act(STALL_AT, Action::HoldSyncs(*store, stall_ms));
        world.act(kill_at, Action::Inject(*store, Fault::Kill));
    }
    world.run(DAY_MS);
    count_forgotten(&world, kill_at, forgotten);
}

fn count_forgotten(world: &Simulation, kill_at: u64, forgotten: &mut Forgotten) {
    for sent in &world.messages {
        let runs = || world.executions.iter().filter(|run| run.id == sent.message.id);
        let reads = runs().filter_map(|run| run.read_at);
        let Some(read_at) = reads.filter(|read_at| read_at + UNREAD_MS < kill_at).min() else { continue };
        forgotten.successes += 1;
        if runs().any(|run| run.started_at > read_at) {
            forgotten.messages += 1;
            if kill_at - read_at > forgotten.oldest_ms {
                forgotten.oldest_ms = kill_at - read_at;
                forgotten.oldest = runs().cloned().collect();
            }
        }
    }
}

/// Asserts that no success is forgotten, however long these stores' disks stall.
fn assert_successes_are_kept(stores: &[&[usize]], held: Held) {
    let mut failed = Vec::new();
    for stall_ms in STALL_LENGTHS_MS {
        let mut forgotten = Forgotten::default();
        for seed in 0..SEEDS {
            for stalled in stores {
                play(stalled, held, stall_ms, seed, &mut forgotten);
            }
        }
        if forgotten.messages > 0 {
            let Forgotten { successes, messages, oldest_ms, oldest } = forgotten;
            failed.push(format!(
                "{held:?} for {stall_ms} ms: {messages} of {successes} ran again, the oldest {oldest_ms} ms before the kill: {oldest:?}"
            ));
        }
    }
    assert!(failed.is_empty(), "successes were forgotten:\n{}", failed.join("\n"));
}

const ALL: &[&[usize]] = &[&[0, 1, 2]];
const PAIRS: &[&[usize]] = &[&[0, 1], &[1, 2], &[2, 0]];

#[test]
fn successes_outlive_a_kill_of_all_stores_while_writes_and_syncs_stall() {
    assert_successes_are_kept(ALL, Held::WritesAndSyncs);
}

#[test]
fn successes_outlive_a_kill_of_owner_and_replica_while_writes_and_syncs_stall() {
    assert_successes_are_kept(PAIRS, Held::WritesAndSyncs);
}

#[test]
fn successes_outlive_a_kill_of_all_stores_while_syncs_stall() {
    assert_successes_are_kept(ALL, Held::Syncs);
}

#[test]
fn successes_outlive_a_kill_of_owner_and_replica_while_syncs_stall() {
    assert_successes_are_kept(PAIRS, Held::Syncs);
}
