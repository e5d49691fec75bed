//! Guards against a store that is busy for seconds with the decisions of edges about messages that were offered to two
//! stores. In the case that showed this, each decision was compared with all of some 11,000 waiting messages, and each
//! new connection brought all decisions of the last 120 s again: connections were given up for silence, messages were
//! offered to further stores, and no message of any service was served any more.

mod simulation;
mod support;

use stileroute_queue::*;
use support::*;

const WAITING: u64 = 2000;
const DECISIONS: u64 = 500;

fn waiting_message(id: String) -> Message {
    Message { id, delay_ms: 60_000, ..message("plain") }
}

#[test]
fn a_decision_is_compared_with_the_messages_of_its_id_alone() {
    let mut one = SingleStore::ready(StateTable::default());
    for n in 0..WAITING {
        one.put_and_confirm(waiting_message(format!("m-{n}")));
    }
    for n in 0..DECISIONS {
        one.queue.drop_superseded(&format!("elsewhere-{n}"), n, None);
    }
    assert_eq!(one.queue.metrics.superseded_compared, 0);
    let superseded = waiting_message("m-7".into());
    one.queue.drop_superseded("m-7", superseded.fingerprint(), None);
    assert_eq!((one.queue.metrics.superseded_compared, one.queue.metrics.withdrawn), (1, 1));
    one.queue.drop_superseded("m-7", superseded.fingerprint(), None);
    assert_eq!(one.queue.metrics.superseded_compared, 1, "a message that was dropped is compared no more");
}

#[test]
fn messages_with_the_same_id_are_told_apart() {
    let mut one = SingleStore::ready(StateTable::default());
    let first = waiting_message("same".into());
    let second = Message { body: b"other bytes".to_vec(), ..first.clone() };
    let (first_key, _) = one.put_and_confirm(first.clone());
    let (second_key, _) = one.put_and_confirm(second);
    one.queue.drop_superseded("same", first.fingerprint(), None);
    assert!(one.queue.lookup(first_key).is_none());
    assert!(one.queue.lookup(second_key).is_some());
}
