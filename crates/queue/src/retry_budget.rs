//! Retry budget: how many retries a store may start at one service and at one executor. A retry is an attempt of a
//! message that ran before or may have run. The bounds hold over all stores without communication between them.
//!
//! Each attempt that an overloaded executor fails is wasted work. Without a bound its queue fills with the same
//! messages again and again, and new messages fail with them. Failed retries are therefore limited to a fraction of
//! first attempts, and all retries at one executor to a fraction of its slots. Further retries wait on disk. A store
//! counts its own first attempts, so its share of the bound matches its share of the load.

use crate::message::Millis;

/// Number of retries that may fail per first attempt.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.2;

/// Retries per second that all stores together may start at a service without first attempts, so that the remaining
/// messages are tried until they end.
const MIN_RETRIES_PER_S: f64 = 4.0;

/// Fraction of an executor's slots, rounded up, that retries may take.
const RETRY_SLOT_FRACTION: f64 = 0.5;

/// Maximum number of retry slots of one executor.
const MAX_RETRY_SLOTS: usize = 1024;

/// Smallest upper limit of the budget, in retries; also its initial value.
const MIN_BUDGET_LIMIT: f64 = 8.0;

/// A store whose retries have found no executor for this time sends them to any executor at which it has no retry in
/// flight. Otherwise an executor that does not answer would keep its retry slots until the control nodes remove it.
pub(crate) const STUCK_RETRY_LIMIT_MS: Millis = 500;

/// Budget of the retries that one store may start at one service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    available: f64,
    /// Maximum number of retries that can accumulate: the total capacity of the executors.
    limit: f64,
    stores: f64,
    refilled_at: Millis,
}

impl RetryBudget {
    /// Creates a budget before the executors and the other stores are known.
    pub fn new(now: Millis) -> RetryBudget {
        RetryBudget { available: MIN_BUDGET_LIMIT, limit: MIN_BUDGET_LIMIT, stores: 1.0, refilled_at: now }
    }

    /// Adjusts the budget to the total capacity of the service's executors and the number of stores.
    pub fn resize(&mut self, capacity: f64, stores: usize) {
        self.limit = capacity.max(MIN_BUDGET_LIMIT);
        self.stores = stores.max(1) as f64;
        self.available = self.available.min(self.limit);
    }

    fn refill(&mut self, now: Millis) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now;
        self.available = (self.available + elapsed_s * MIN_RETRIES_PER_S / self.stores).min(self.limit);
    }

    /// Earliest time at which a retry may start; `None` if it may start now.
    pub fn next_retry_at(&mut self, now: Millis) -> Option<Millis> {
        self.refill(now);
        if self.available >= 1.0 {
            return None;
        }
        let wait_ms = (1.0 - self.available) * self.stores / MIN_RETRIES_PER_S * 1000.0;
        Some(now + 1 + wait_ms as Millis)
    }

    /// Number of retries that could start now.
    pub fn available_retries(&self) -> usize {
        self.available as usize
    }

    /// Adds to the budget for a first attempt that has started.
    pub fn add_first_attempt(&mut self) {
        self.available = (self.available + RETRIES_PER_FIRST_ATTEMPT).min(self.limit);
    }

    /// Takes one retry that has started from the budget.
    pub fn spend(&mut self) {
        self.available -= 1.0;
    }

    /// Returns one retry to the budget, because it did not fail or never ran. A service that has recovered thereby gets
    /// all waiting retries, at the rate at which it completes them.
    pub fn refund(&mut self) {
        self.available = (self.available + 1.0).min(self.limit);
    }
}

/// Number of retries that this store may have in flight at each executor. Each store assigns the retry slots
/// round-robin from the same list by the same rule, where `own_index` is this store's position among `stores`.
pub(crate) fn share_retry_slots(
    capacities: impl Iterator<Item = f64>,
    own_index: usize,
    stores: usize,
) -> Vec<usize> {
    let stores = stores.max(1);
    let is_own = |executor: usize, slot: usize| (executor + slot) % stores == own_index % stores;
    let share = |(executor, capacity): (usize, f64)| {
        let slots = ((capacity * RETRY_SLOT_FRACTION).ceil() as usize).clamp(1, MAX_RETRY_SLOTS);
        (0..slots).filter(|slot| is_own(executor, *slot)).count()
    };
    capacities.enumerate().map(share).collect()
}

#[cfg(test)]
mod tests;
