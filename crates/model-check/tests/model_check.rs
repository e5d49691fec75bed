//! The search finds each planted fault, counts the same on any number of threads, and follows a found path again.

use std::sync::atomic::AtomicBool;
use stileroute_model_check::{
    explore, find, replay, Bounds, ExpectedViolation, Property, RandomWaits, Statistics, EXCESSIVE_DRIFT,
    PLAN, PLANTED_FAULTS, THREE_NODES,
};

#[test]
fn each_planted_fault_is_found_by_its_property() {
    for ExpectedViolation { property, bounds } in PLANTED_FAULTS {
        let planted = bounds.planted;
        let sum = find(bounds, 8, &AtomicBool::new(false));
        let found = sum.found.unwrap_or_else(|| panic!("{planted:?} was not found in {} states", sum.states));
        assert_eq!(found.violation.property, property, "{planted:?}: {}", found.violation.evidence);
        let path = replay(&found);
        let last = path.last().map_or("", String::as_str);
        assert!(
            last.contains(property.sentence()),
            "{planted:?} is not found on the same path again: {last}"
        );
        assert!(found.path.len() <= usize::from(bounds.max_faults), "{planted:?}: {:?}", found.path);
    }
}

#[test]
fn each_property_has_a_fault_and_each_kind_of_bounds_a_place_in_the_plan() {
    for property in Property::ALL {
        assert!(PLANTED_FAULTS.iter().any(|expected| expected.property == property), "{property:?}");
    }
    for nodes in [3, 5] {
        let of = |b: &&Bounds| b.nodes == nodes;
        assert!(PLAN.iter().filter(of).any(|b| b.random_waits == RandomWaits::Alike));
    }
}

#[test]
fn counts_are_the_same_on_one_thread_and_on_three() {
    let bounds = Bounds { max_faults: 0, max_delays: 1, ..THREE_NODES };
    let [one, three] = [1, 3].map(|threads| explore(bounds, threads, &AtomicBool::new(false)));
    assert!(one.found.is_none() && one.finished_parts == one.parts && one.distinct > 1_000 && one.paths > 10);
    let counts = |s: &Statistics| {
        (s.states, s.distinct, s.pruned, s.transitions, s.paths, s.deepest, s.longest_recovery_ms)
    };
    assert_eq!(counts(&one), counts(&three));
}

/// The bound on the drift of clocks matters: twice and a half of it breaks the lease, and the search sees that.
#[test]
fn clocks_that_drift_further_than_allowed_break_the_lease() {
    let ExpectedViolation { property, bounds } = EXCESSIVE_DRIFT;
    let found = find(bounds, 8, &AtomicBool::new(false)).found.expect("found nothing");
    assert_eq!(found.violation.property, property, "{}", found.violation.evidence);
}
