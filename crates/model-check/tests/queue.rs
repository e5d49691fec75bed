//! The search of the queue finds what it has to, and counts the same on any number of threads.

use std::sync::atomic::AtomicBool;
use stileroute_model_check::queue::{
    find_in_queue, retrace_queue, search_queue, QueueBounds, QueueScript, QUEUE_FAULTS, QUEUE_PLAN,
};

#[test]
fn each_planted_fault_is_found_by_its_property() {
    for (fault, property, bounds) in QUEUE_FAULTS {
        let counts =
            find_in_queue(QueueBounds { planted: Some(fault), ..bounds }, 3, &AtomicBool::new(false));
        let found =
            counts.found.unwrap_or_else(|| panic!("{fault:?} was not found in {} states", counts.states));
        assert_eq!(found.breach.property, property, "{fault:?}: {}", found.breach.evidence);
        let way = retrace_queue(&found);
        let last = way.last().map_or("", String::as_str);
        assert!(last.contains(property.sentence()), "{fault:?} is not found on the same way again: {last}");
    }
}

#[test]
fn counts_are_the_same_on_one_thread_and_on_three() {
    for bounds in QUEUE_PLAN.into_iter().filter(|b| b.troubles + b.delays == 1) {
        let search = |threads| search_queue(bounds, threads, &AtomicBool::new(false));
        let [one, three] = [search(1), search(3)];
        assert!(one.found.is_none() && one.whole && one.ways > 300, "{:?}", one.found);
        assert_eq!((one.states, one.ways, one.deepest), (three.states, three.ways, three.deepest));
    }
}

#[test]
fn both_scripts_are_gone_through_with_two_troubles_and_with_late_words() {
    for script in [QueueScript::Taking, QueueScript::Emptying] {
        let of = || QUEUE_PLAN.iter().filter(move |b| b.script == script && b.stores == 3);
        assert!(of().any(|b| b.troubles == 2) && of().any(|b| b.delays == 1), "{script:?}");
    }
}
