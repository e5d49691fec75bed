//! Tests that the bounds of retries hold over all stores together.

use super::*;

#[test]
fn all_stores_together_use_a_fraction_of_each_executors_slots() {
    for stores in 1..9 {
        let capacities = [1.0, 3.0, 8.0, 2.0, 3.0];
        let shares: Vec<Vec<usize>> =
            (0..stores).map(|index| share_retry_slots(capacities.into_iter(), index, stores)).collect();
        for (executor, slots) in [1, 2, 4, 1, 2].into_iter().enumerate() {
            assert_eq!(shares.iter().map(|share| share[executor]).sum::<usize>(), slots, "{stores} stores");
        }
    }
}

#[test]
fn failed_retries_are_a_fraction_of_first_attempts() {
    let mut budget = RetryBudget::new(0);
    budget.resize(20.0, 3);
    let (mut retries, mut now) = (0, 0);
    for n in 0..1000 {
        now = 10 * n;
        budget.add_first_attempt();
        while budget.next_retry_at(now).is_none() {
            budget.spend();
            retries += 1;
        }
    }
    assert!((200..=8 + 200 + 4 * now / 1000 / 3 + 1).contains(&retries), "{retries}");
    // A retry that completes makes room for another one.
    budget.refund();
    assert!(budget.next_retry_at(now).is_none());
}
