//! Repeats: attempts after one that ran or may have run. What may go out of them at a service and at one
//! executor, over all stores, without asking anybody.
//!
//! An executor that struggles fails what it is given, and each failed attempt is work that it does in vain. With
//! no bound its queue fills with the same messages again and again, and what is new there fails with them. So
//! repeats that fail are a stated part of first attempts, and at one executor they take a part of its slots.
//! What is held back waits its turn: it is on disk. A store counts its own first attempts, so its part of the
//! bound is its part of the load.

use crate::message::Millis;

/// So many repeats may fail for each first attempt.
const PART: f64 = 0.2;
/// And so many a second at a service of which all first attempts are over, by all stores together: what is left
/// is tried until it ends.
const FLOOR: f64 = 4.0;
/// Of an executor's slots at most this part is taken by repeats, rounded up.
const SLOTS: f64 = 0.5;
/// A store none of whose repeats found room for so long sends them wherever none of its own is out: an executor that
/// is dark keeps its slots until the control nodes know.
pub(crate) const STUCK_RETRY_LIMIT_MS: Millis = 500;

/// What one store may repeat at one service.
#[derive(Debug)]
pub(crate) struct Budget {
    left: f64,
    /// Saved up at the most: what the executors work on together.
    most: f64,
    stores: f64,
    at: Millis,
}

impl Budget {
    pub fn new(now: Millis) -> Budget {
        Budget { left: 8.0, most: 8.0, stores: 1.0, at: now }
    }

    pub fn sized(&mut self, room: f64, stores: usize) {
        (self.most, self.stores) = (room.max(8.0), stores.max(1) as f64);
        self.left = self.left.min(self.most);
    }

    fn fill(&mut self, now: Millis) {
        let gone = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = now;
        self.left = (self.left + gone * FLOOR / self.stores).min(self.most);
    }

    /// Whether one more may go: else when to look again.
    pub fn may(&mut self, now: Millis) -> Result<(), Millis> {
        self.fill(now);
        match self.left >= 1.0 {
            true => Ok(()),
            false => Err(now + 1 + ((1.0 - self.left) * self.stores / FLOOR * 1000.0) as Millis),
        }
    }

    /// So many could go now.
    pub fn whole(&self) -> usize {
        self.left as usize
    }

    pub fn first(&mut self) {
        self.left = (self.left + PART).min(self.most);
    }

    pub fn spent(&mut self) {
        self.left -= 1.0;
    }

    /// It did not fail, or never ran. So a service that is well again gets all that was held back at the pace at
    /// which it is done.
    pub fn back(&mut self) {
        self.left = (self.left + 1.0).min(self.most);
    }
}

/// How many repeats of this store may be out at each executor. Their slots are dealt out in turn, from the same
/// list by the same rule at each store: `me` is its place among `stores`.
pub(crate) fn dealt(capacities: impl Iterator<Item = f64>, me: usize, stores: usize) -> Vec<usize> {
    let stores = stores.max(1);
    let mine =
        |at: usize, slots: usize| (0..slots).filter(|slot| (at + slot) % stores == me % stores).count();
    let slots = |capacity: f64| ((capacity * SLOTS).ceil() as usize).clamp(1, 1024);
    capacities.enumerate().map(|(at, capacity)| mine(at, slots(capacity))).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_stores_together_keep_to_a_part_of_each_executors_slots() {
        for stores in 1..9 {
            let capacities = [1.0, 3.0, 8.0, 2.0, 3.0];
            let all: Vec<Vec<usize>> =
                (0..stores).map(|me| dealt(capacities.into_iter(), me, stores)).collect();
            for (at, most) in [1, 2, 4, 1, 2].into_iter().enumerate() {
                assert_eq!(all.iter().map(|dealt| dealt[at]).sum::<usize>(), most, "{stores} stores");
            }
        }
    }

    #[test]
    fn failed_repeats_are_a_part_of_first_attempts() {
        let mut budget = Budget::new(0);
        budget.sized(20.0, 3);
        let (mut repeats, mut now) = (0, 0);
        for n in 0..1000 {
            now = 10 * n;
            budget.first();
            while budget.may(now).is_ok() {
                budget.spent();
                repeats += 1;
            }
        }
        assert!((200..=8 + 200 + 4 * now / 1000 / 3 + 1).contains(&repeats), "{repeats}");
        // What is done gives its place to the next.
        budget.back();
        assert!(budget.may(now).is_ok());
    }
}
