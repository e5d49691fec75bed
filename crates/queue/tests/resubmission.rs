//! A message that an edge has offered to two stores is started by only one of them, whichever answer the edge reads
//! first.

mod simulation;
mod support;

use simulation::START_WALL_CLOCK_MS;
use stileroute_queue::*;
use support::*;

const OTHER_KEY: Key = Key { origin: C, number: 77 };

fn resubmitted(one: &mut SingleStore, ticket: u64) -> (Key, Vec<Effect>) {
    one.queue.put_resubmitted(one.now, ticket, message("plain"));
    let (key, to) = replicas_sent(&one.pass(0))[0];
    (key, one.receive(to, PeerMessage::Replicated(vec![key])))
}

fn accepted(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::PutResult { result: Ok(_), .. }))
}

fn fingerprint() -> u64 {
    message("plain").fingerprint()
}

#[test]
fn a_resubmitted_message_waits_until_its_edge_keeps_it() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, effects) = resubmitted(&mut one, 1);
    assert!(accepted(&effects) && attempts(&effects).is_empty());
    assert!(attempts(&one.pass(50)).is_empty());
    one.queue.drop_superseded("m", fingerprint(), Some(key));
    assert_eq!(attempts(&one.pass(1)).len(), 1, "kept here, it starts at once");
}

#[test]
fn a_resubmitted_message_that_the_first_store_keeps_never_starts() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, _) = resubmitted(&mut one, 1);
    one.pass(20);
    one.queue.drop_superseded("m", fingerprint(), Some(OTHER_KEY));
    assert!(attempts(&one.pass(5000)).is_empty());
    assert!(one.queue.lookup(key).is_none());
}

#[test]
fn a_resubmitted_message_starts_though_its_edge_is_gone() {
    let mut one = SingleStore::ready(StateTable::default());
    let (_, effects) = resubmitted(&mut one, 1);
    assert!(accepted(&effects));
    assert_eq!(attempts(&one.pass(110)).len(), 1);
}

/// The edge gave this store up 200 ms after it had offered the message, and has offered the message to another store.
#[test]
fn a_message_that_is_accepted_late_waits_for_what_its_edge_says() {
    let mut one = SingleStore::ready(StateTable::default());
    let late = Message { accepted_at_ms: START_WALL_CLOCK_MS + one.now, ..message("plain") };
    let (key, to) = replicas_sent(&one.put(1, late.clone()))[0];
    one.is_disk_stalled = true;
    one.pass(118);
    one.is_disk_stalled = false;
    one.pass(10);
    let effects = one.receive(to, PeerMessage::Replicated(vec![key]));
    assert!(attempts(&effects).is_empty());
    one.queue.drop_superseded("m", late.fingerprint(), Some(OTHER_KEY));
    assert!(attempts(&one.pass(5000)).is_empty());
}

/// The put was read late because the process was frozen; only the wall-clock time shows it.
#[test]
fn a_message_that_is_read_late_waits_for_what_its_edge_says() {
    let mut one = SingleStore::ready(StateTable::default());
    one.pass(1000);
    let before = Message { accepted_at_ms: START_WALL_CLOCK_MS + one.now - 250, ..message("plain") };
    let (_, effects) = one.put_and_confirm(before);
    assert!(attempts(&effects).is_empty());
    assert_eq!(attempts(&one.pass(110)).len(), 1);
}

#[test]
fn a_message_that_is_accepted_in_time_starts_at_once() {
    let mut one = SingleStore::ready(StateTable::default());
    one.pass(1000);
    let timely = Message { accepted_at_ms: START_WALL_CLOCK_MS + one.now - 20, ..message("plain") };
    let (_, effects) = one.put_and_confirm(timely);
    assert_eq!(attempts(&effects).len(), 1);
}

/// The replica of a superseded message arrives after the edge's notice, and its owner is lost before it can pass the
/// notice on.
#[test]
fn a_late_replica_of_a_superseded_message_is_not_started_after_a_takeover() {
    let mut one = SingleStore::ready(StateTable::default());
    let replica = replicated_message(B, vec![ME]);
    one.queue.drop_superseded(&replica.message.id, replica.message.fingerprint(), Some(OTHER_KEY));
    one.receive(B, PeerMessage::Replicate(vec![replica.clone()]));
    one.queue.set_members(one.now, &[(ME, 0), (C, 2)]);
    one.queue.peer_disconnected(one.now, B);
    assert!(attempts(&one.pass(9000)).is_empty());
    assert!(one.queue.lookup(replica.key).is_none(), "taken over, it is withdrawn");
}
