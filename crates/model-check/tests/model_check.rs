//! The search finds what it has to, counts the same on any number of threads, and goes a found way again.

use std::sync::atomic::AtomicBool;
use stileroute_model_check::{
    explore, find, retrace, Bounds, Chance, Property, FAULTS, PLAN, THREE, TOO_FAR,
};

#[test]
fn each_planted_fault_is_found_by_its_property() {
    for (planted, property, bounds) in FAULTS {
        let sum = find(Bounds { planted: Some(planted), ..bounds }, 8, &AtomicBool::new(false));
        let found = sum.found.unwrap_or_else(|| panic!("{planted:?} was not found in {} states", sum.states));
        assert_eq!(found.breach.property, property, "{planted:?}: {}", found.breach.evidence);
        let way = retrace(&found);
        let last = way.last().map_or("", String::as_str);
        assert!(last.contains(property.sentence()), "{planted:?} is not found on the same way again: {last}");
        assert!(found.course.len() <= usize::from(bounds.troubles), "{planted:?}: {:?}", found.course);
    }
}

#[test]
fn each_property_has_a_fault_and_each_kind_of_bounds_a_place_in_the_plan() {
    for property in Property::ALL {
        assert!(FAULTS.iter().any(|(_, p, _)| *p == property), "{property:?}");
    }
    for nodes in [3, 5] {
        let of = |b: &&Bounds| b.nodes == nodes;
        assert!(PLAN.iter().filter(of).any(|b| b.chance == Chance::Alike));
    }
}

#[test]
fn counts_are_the_same_on_one_thread_and_on_three() {
    let bounds = Bounds { troubles: 0, delays: 1, ..THREE };
    let [one, three] = [1, 3].map(|threads| explore(bounds, threads, &AtomicBool::new(false)));
    assert!(one.found.is_none() && one.whole.0 == one.whole.1 && one.distinct > 1_000 && one.ways > 10);
    let counts = |s: &stileroute_model_check::Statistics| {
        (s.states, s.distinct, s.pruned, s.transitions, s.ways, s.deepest, s.waited)
    };
    assert_eq!(counts(&one), counts(&three));
}

/// The bound on the drift of clocks matters: twice and a half of it breaks the lease, and the search sees that.
#[test]
fn clocks_that_drift_further_than_allowed_break_the_lease() {
    let (property, bounds) = TOO_FAR;
    let found = find(bounds, 8, &AtomicBool::new(false)).found.expect("found nothing");
    assert_eq!(found.breach.property, property, "{}", found.breach.evidence);
}
