//! Guards against keys that run twice, and bodies of failed messages that are lost, after two stores have lost their disks,
//! the second `catch_up_s` after the first was back.
//!
//! In the case that showed this, the ends of done messages, which are the only records of their keys, were copied behind
//! 25 MB of bodies of failed messages at 1 MB a second. 58 to 74 of 475 keys ran a second time.

mod simulation;
mod support;

use simulation::{without_fault, Action, Behavior, Fault, Simulation, StoreBounds, START_WALL_CLOCK_MS};
use std::collections::BTreeMap;
use stileroute_queue::*;
use support::*;

/// Time of the first loss: all messages have ended.
const FIRST_LOSS_MS: u64 = 7000;
/// Time after which a store that has lost its disk is back.
const BACK_AFTER_MS: u64 = 1500;
/// Messages of each play. Every third one has a large body and is rejected by its executor.
const MESSAGES: u64 = 300;
const BODY_BYTES: usize = 250_000;

fn is_rejected(n: u64) -> bool {
    n.is_multiple_of(3)
}

/// Plays the loss of two disks; afterwards the keys of the done messages are sent again.
fn two_disks_are_lost(catch_up_ms: u64, first: usize, second: usize) -> Simulation {
    let mut world = Simulation::with_bounds(3, 1, 5, StoreBounds::with_catch_up(catch_up_ms));
    world.prepare(&without_fault());
    world.act(200, Action::Configure("quota"));
    for n in 0..MESSAGES {
        let key = format!("k-{n}");
        let sent = world.send_with_key(3000 + 8 * n, None, &key, 0);
        if is_rejected(n) {
            world.messages[sent].behaviors = vec![Behavior::Rejects];
            world.messages[sent].message.body = vec![n as u8; BODY_BYTES];
        }
    }
    let second_loss_ms = FIRST_LOSS_MS + BACK_AFTER_MS + catch_up_ms;
    world.act(FIRST_LOSS_MS, Action::Inject(first, Fault::DiskLoss));
    world.act(second_loss_ms, Action::Inject(second, Fault::DiskLoss));
    for n in (0..MESSAGES).filter(|n| !is_rejected(*n)) {
        for round in 0..5 {
            world.send_with_key(second_loss_ms + 3000 + 800 * round, None, &format!("k-{n}"), 0);
        }
    }
    world.run(second_loss_ms + 15_000);
    world
}

#[test]
fn ends_and_bodies_are_copied_before_the_next_disk_may_be_lost() {
    let mut failed = Vec::new();
    for catch_up_ms in [4200, 6000] {
        for (first, second) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
            let world = two_disks_are_lost(catch_up_ms, first, second);
            world.check_keys_run_once();
            let is_known = |n: &u64| match world.lookup(*n as usize) {
                Some((MessageState::Failed, body)) => {
                    is_rejected(*n) && body.is_some_and(|body| body.len() == BODY_BYTES)
                }
                Some((MessageState::Complete { .. }, _)) => !is_rejected(*n),
                _ => false,
            };
            let lost = (0..MESSAGES).filter(|n| !is_known(n)).count();
            if lost > 0 {
                failed.push(format!("{lost} of {MESSAGES} lost: {catch_up_ms} ms, {first} then {second}"));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// A store with ends of which another store has copies: those with low numbers have large bodies, the others have none.
fn store_with_ends(bodies: u64, records: u64) -> SingleStore {
    let mut table = StateTable::default();
    for number in 0..bodies + records {
        let mut replica = replicated_message(ME, vec![B]);
        replica.key.number = number;
        let end = if number < bodies {
            replica.message.body = vec![7; BODY_BYTES];
            End::Failed
        } else {
            End::Complete { seal: "s".into() }
        };
        let key = replica.key;
        table.apply_record(Record::Put { replica });
        let ended_at_ms = START_WALL_CLOCK_MS;
        table.apply_record(Record::Ended { key, end, callback_pending: false, ended_at_ms });
    }
    table.apply_record(Record::PeerDiskKnown { node: B, disk_id: Some(1) });
    SingleStore::ready(table)
}

#[test]
fn records_of_keys_are_copied_before_the_bodies_of_failed_messages() {
    let (bodies, records) = (60, 200);
    let mut one = store_with_ends(bodies, records);
    let mut effects = one.receive(B, PeerMessage::DiskId(2));
    effects.extend(one.pass(3000));
    let mut sent: BTreeMap<Node, Vec<u64>> = BTreeMap::new();
    for effect in effects {
        if let Effect::Send { to, message: PeerMessage::TransferEnds(ends) } = effect {
            sent.entry(to).or_default().extend(ends.into_iter().map(|end| end.key.number));
        }
    }
    let total: usize = sent.values().map(Vec::len).sum();
    assert!(total > records as usize, "records and bodies were sent: {total}");
    for (to, numbers) in sent {
        let first_body = numbers.iter().position(|number| *number < bodies).unwrap_or(numbers.len());
        let late = numbers[first_body..].iter().filter(|number| **number >= bodies).count();
        assert_eq!(late, 0, "{late} records were sent to {to} behind a body");
    }
}
