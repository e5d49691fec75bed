use super::*;
use std::net::Ipv4Addr;

const CALL: u64 = 7;
const NOW: Millis = 1000;

fn voter(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 80)
}

fn acknowledgement() -> Response {
    Response::json(200, "{}".to_string())
}

/// Whether `recorded` of `voters` voters are a majority.
fn is_majority_of(recorded: u8, voters: u8) -> bool {
    let all: Vec<SocketAddrV4> = (0..voters).map(voter).collect();
    is_majority(&all, |address| *address < voter(recorded))
}

#[test]
fn a_majority_is_more_than_half_of_the_voters() {
    assert!(is_majority_of(1, 1), "a lone control node decides by itself");
    assert!(is_majority_of(2, 3) && is_majority_of(3, 4) && is_majority_of(3, 5));
    assert!(!is_majority_of(1, 2) && !is_majority_of(1, 3) && !is_majority_of(2, 4) && !is_majority_of(2, 5));
    assert!(!is_majority(&[], |_| true));
}

#[test]
fn a_control_node_that_confirms_twice_counts_once() {
    let mut departures = PendingDepartures::default();
    departures.insert(NOW, CALL, acknowledgement());
    for _ in 0..2 {
        assert_eq!(departures.record(CALL, voter(1)), Some(&BTreeSet::from([voter(1)])));
    }
    assert_eq!(departures.record(CALL, voter(2)).map(BTreeSet::len), Some(2));
}

#[test]
fn a_call_is_answered_once() {
    let mut departures = PendingDepartures::default();
    departures.insert(NOW, CALL, acknowledgement());
    assert!(departures.complete(CALL).is_some());
    assert!(departures.complete(CALL).is_none());
    assert_eq!(departures.record(CALL, voter(1)), None, "a late confirmation is ignored");
    assert!(departures.take_overdue(NOW + REPLICATION_TIMEOUT_MS).is_empty());
}

#[test]
fn a_departure_without_a_majority_is_rejected_well_before_the_executor_calls_another_node() {
    let mut departures = PendingDepartures::default();
    assert_eq!(departures.next_deadline(), Millis::MAX);
    departures.insert(NOW, CALL, acknowledgement());
    let deadline = departures.next_deadline();
    assert!(deadline <= NOW + 500);
    assert!(departures.take_overdue(deadline - 1).is_empty());
    assert_eq!(departures.take_overdue(deadline), [CALL]);
    assert!(departures.complete(CALL).is_none());
}
