use super::*;

const A: Node = 1;
const B: Node = 2;

#[test]
fn answers_that_two_stores_have_read_add_up() {
    let mut at_a = FailureCount::at_least(1);
    let mut at_b = FailureCount::at_least(1);
    at_a.add_read_by(A);
    at_b.add_read_by(B);
    assert_eq!((at_a.total(), at_b.total()), (2, 2));
    // The higher of the totals is 2: one of the first store and one of the second are beyond the one that both knew.
    assert!(!at_b.raise(at_a.total()));
    assert!(!at_b.raise_read_by(A, at_a.read_by(A)), "one of each may be all that is known");
    at_a.add_read_by(A);
    assert!(at_b.raise(at_a.total()));
    at_b.add_read_by(B);
    assert!(!at_b.raise_read_by(A, at_a.read_by(A)));
    assert_eq!(at_b.total(), 4);
}

#[test]
fn a_notice_that_comes_twice_or_late_counts_once() {
    let mut count = FailureCount::default();
    count.add_read_by(B);
    assert!(count.raise_read_by(A, 2));
    assert!(!count.raise_read_by(A, 2));
    assert!(!count.raise_read_by(A, 1));
    assert!(!count.raise(2));
    assert_eq!((count.total(), count.read_by(A), count.read_by(B)), (3, 2, 1));
}

/// A store that was started anew does not know what it had read before: its total does.
#[test]
fn a_total_that_came_without_readers_is_never_lowered() {
    let mut count = FailureCount::at_least(2);
    count.add_read_by(A);
    assert_eq!((count.total(), count.read_by(A)), (3, 1));
    count.discard_readers();
    assert_eq!((count.total(), count.read_by(A)), (3, 0));
}
