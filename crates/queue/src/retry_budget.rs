//! The retry budget: how many attempts of messages that ran before, or may have run, a store may start at one service and at one
//! executor, over all stores and without asking anybody.
//!
//! An executor that struggles fails what it is given, and each failed attempt is work done in vain. Without a bound its queue
//! fills with the same messages again and again, and new ones fail with them. So failed retries are limited to a part of first
//! attempts, and at one executor all retries to a part of its slots. Retries beyond that wait; they are on disk. A store counts
//! its own first attempts, so its part of the bound is its part of the load.

use crate::message::Millis;

/// How many retries may fail for each first attempt.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.2;

/// How many retries all stores together may start in a second at a service with no first attempts: what is left is tried until
/// it ends.
const MIN_RETRIES_PER_S: f64 = 4.0;

/// The part of an executor's slots, rounded up, that retries may take.
const RETRY_SLOT_FRACTION: f64 = 0.5;

/// Most retry slots of one executor.
const MAX_RETRY_SLOTS: usize = 1024;

/// The smallest upper limit of the budget, which is also what it begins with.
const MIN_BUDGET_LIMIT: f64 = 8.0;

/// A store whose retries have found no executor for so long sends them wherever it has none in flight: an executor that does not
/// answer keeps its slots until the control nodes remove it.
pub(crate) const STUCK_RETRY_LIMIT_MS: Millis = 500;

/// How many retries one store may start at one service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    available: f64,
    /// Most that can be saved up: what the executors work on together.
    limit: f64,
    stores: f64,
    refilled_at: Millis,
}

impl RetryBudget {
    /// A budget as it stands before the executors and the other stores are known.
    pub fn new(now: Millis) -> RetryBudget {
        RetryBudget { available: MIN_BUDGET_LIMIT, limit: MIN_BUDGET_LIMIT, stores: 1.0, refilled_at: now }
    }

    /// The capacity of the service's executors, or the number of stores, has changed.
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

    /// The time at which a retry may start, `None` if it may start now.
    pub fn next_retry_at(&mut self, now: Millis) -> Option<Millis> {
        self.refill(now);
        if self.available >= 1.0 {
            return None;
        }
        let wait_ms = (1.0 - self.available) * self.stores / MIN_RETRIES_PER_S * 1000.0;
        Some(now + 1 + wait_ms as Millis)
    }

    /// How many retries could start now.
    pub fn whole_retries(&self) -> usize {
        self.available as usize
    }

    /// A first attempt has started.
    pub fn add_first_attempt(&mut self) {
        self.available = (self.available + RETRIES_PER_FIRST_ATTEMPT).min(self.limit);
    }

    /// A retry has started.
    pub fn spend(&mut self) {
        self.available -= 1.0;
    }

    /// A retry did not fail, or never ran. So a service that has recovered gets all retries that waited, at the pace at which it
    /// completes them.
    pub fn refund(&mut self) {
        self.available = (self.available + 1.0).min(self.limit);
    }
}

/// How many retries this store may have in flight at each executor. The retry slots are dealt out in turn, at each store from the
/// same list by the same rule: `own_index` is this store's position among `stores`.
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
