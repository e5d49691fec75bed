//! Guards against messages with idempotency keys that wait until they expire, because their store could not write them again
//! after a restart: its disk was full for synced records.
//!
//! In the case that showed this, 178 to 221 of some 685 accepted messages never reached an executor, though the other
//! messages had run since and the disk had room again.

mod simulation;

use simulation::{without_fault, Action, Fault, Simulation};

const KEYS: u64 = 30;
/// Size of a message, which the full disk does not take. It takes the records of claims and ends.
const BODY_BYTES: usize = 20_000;
const RESTART_MS: u64 = 5000;
/// When the messages are due.
const DUE_MS: u64 = 14_000;

/// Plays a store whose disk takes no synced messages from before a fault until `room_at`.
fn check_all_run(fault: Action, full: usize, room_at: u64) {
    let mut world = Simulation::new(3, 1, room_at);
    world.prepare(&without_fault());
    world.act(200, Action::Configure("quota"));
    for n in 0..KEYS {
        let at = 3000 + 10 * n;
        let sent = world.send_with_key(at, None, &format!("k-{n}"), DUE_MS - at);
        world.messages[sent].message.body = vec![n as u8; BODY_BYTES];
    }
    world.act(RESTART_MS - 100, Action::DiskTakesAtMost(full, BODY_BYTES));
    world.act(RESTART_MS, fault);
    world.act(room_at, Action::DiskFull(full, false));
    world.run(30_000);
    world.check_keys(true);
}

#[test]
fn messages_run_though_their_store_restarted_with_a_full_disk() {
    for full in 0..3 {
        for room_at in [6000, 9000, DUE_MS + 2000] {
            check_all_run(Action::Inject(full, Fault::Kill), full, room_at);
        }
    }
}

#[test]
fn messages_run_though_the_store_that_took_them_over_had_a_full_disk() {
    for lost in 0..3 {
        for full in (0..3).filter(|full| *full != lost) {
            for room_at in [9000, DUE_MS + 2000] {
                check_all_run(Action::Remove(lost), full, room_at);
            }
        }
    }
}
