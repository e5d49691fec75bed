use super::*;

const A: Node = 1;
const B: Node = 2;

#[test]
fn responses_read_by_two_stores_add_up() {
    let mut at_a = FailureCount::at_least(1);
    let mut at_b = FailureCount::at_least(1);
    at_a.add_read_by(A);
    at_b.add_read_by(B);
    assert_eq!((at_a.total(), at_b.total()), (2, 2));
    // Both totals are 2. Beyond the failure that both stores knew, each has seen one that the other has not.
    assert!(!at_b.raise(at_a.total()));
    assert!(!at_b.raise_read_by(A, at_a.read_by(A)), "one of each may be all that is known");
    at_a.add_read_by(A);
    assert!(at_b.raise(at_a.total()));
    at_b.add_read_by(B);
    assert!(!at_b.raise_read_by(A, at_a.read_by(A)));
    assert_eq!(at_b.total(), 4);
}

#[test]
fn a_repeated_or_late_notice_counts_once() {
    let mut count = FailureCount::default();
    count.add_read_by(B);
    assert!(count.raise_read_by(A, 2));
    assert!(!count.raise_read_by(A, 2));
    assert!(!count.raise_read_by(A, 1));
    assert!(!count.raise(2));
    assert_eq!((count.total(), count.read_by(A), count.read_by(B)), (3, 2, 1));
}

/// A restarted store does not know which responses it had read before, but its total includes them.
#[test]
fn a_total_without_readers_is_never_lowered() {
    let mut count = FailureCount::at_least(2);
    count.add_read_by(A);
    assert_eq!((count.total(), count.read_by(A)), (3, 1));
    count.discard_readers();
    assert_eq!((count.total(), count.read_by(A)), (3, 0));
}
