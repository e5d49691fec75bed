use super::*;
use crate::member::tests::entry;

#[test]
fn a_later_incarnation_replaces_and_of_one_incarnation_the_worse_state() {
    use State::{Alive, Dead, Left, Suspect};
    // Each case: the entry in the table, the reported entry, and whether the report replaces it.
    let cases = [
        ((5, Alive), (5, Alive), false),
        ((5, Alive), (5, Suspect), true),
        ((5, Suspect), (5, Alive), false),
        ((5, Suspect), (6, Alive), true),
        ((5, Dead), (5, Alive), false),
        ((5, Dead), (6, Alive), true),
        ((5, Left), (5, Dead), false),
        ((6, Alive), (5, Dead), false),
        ((5, Dead), (5, Left), true),
    ];
    for ((incarnation, state), (reported_incarnation, reported_state), is_newer) in cases {
        let mut table = Table::default();
        assert!(table.apply(1, entry(1, incarnation, state), Evidence::Itself));
        assert_eq!(
            table.apply(2, entry(1, reported_incarnation, reported_state), Evidence::ReportedBy(9)),
            is_newer,
            "{incarnation} {state:?} {reported_incarnation} {reported_state:?}"
        );
        let current = table.members[&1].entry;
        assert_eq!(
            (current.incarnation, current.state),
            if is_newer { (reported_incarnation, reported_state) } else { (incarnation, state) }
        );
    }
}

#[test]
fn a_dead_member_may_still_send_and_is_counted_so() {
    let mut table = Table::default();
    for (id, state) in [(1, State::Alive), (2, State::Suspect), (3, State::Dead), (4, State::Left)] {
        table.apply(0, entry(id, 1, state), Evidence::Itself);
    }
    let count = table.count(SECOND, 1);
    assert_eq!((count.likely, count.possibly_sending), (3, 5));
    assert_eq!(count.by_domain, [(0, 1), (1, 2)].into());
    assert_eq!(
        table.count(DEPARTURE_ALLOWANCE, 0).possibly_sending,
        4,
        "a member that has left sends nothing more"
    );
    assert_eq!(table.count(PARTITION_ALLOWANCE, 0).possibly_sending, 3);
    table.remove_expired(RETENTION);
    assert_eq!(table.members.len(), 2);
}

#[test]
fn members_beyond_the_limit_are_rejected_and_counted() {
    let mut table = Table::default();
    (0..MAX_MEMBERS as u64 + 5).for_each(|id| {
        table.apply(0, entry(id, 1, State::Alive), Evidence::ReportedBy(1));
    });
    assert_eq!((table.members.len(), table.rejected), (MAX_MEMBERS, 5));
}
