//! Counters that a node keeps while requests run: pushes per retry budget, requests in flight, run times. The caller passes
//! in the current time; no clock is read here.

use crate::limits::RetryBudget;
use hdrhistogram::Histogram;
use std::collections::VecDeque;
use stileroute_dispatch::types::Time;

/// A sliding window is counted in this many buckets of equal length.
const WINDOW_BUCKETS: usize = 16;

/// Counts first pushes and retries over a sliding window. The window has 16 buckets that expire whole, so the time that is
/// counted lies between the window's length and 1/16 more.
#[derive(Clone, Debug)]
pub struct PushWindow {
    length: Time,
    buckets: [(f64, f64); WINDOW_BUCKETS],
    /// Number of the newest bucket in use, counted in bucket lengths from time 0.
    latest_bucket: Time,
}

impl PushWindow {
    pub fn new(length: Time) -> PushWindow {
        PushWindow {
            length: length.max(WINDOW_BUCKETS as Time),
            buckets: [(0.0, 0.0); WINDOW_BUCKETS],
            latest_bucket: 0,
        }
    }

    /// Changes the length of the window. The counts stay in their buckets, as if the window had always had the new length.
    pub fn resize(&mut self, length: Time) {
        self.length = length.max(WINDOW_BUCKETS as Time);
    }

    /// Clears the buckets of the window that have expired by `now`, and returns the index of the newest bucket.
    fn advance(&mut self, now: Time) -> usize {
        let current_bucket = now / (self.length / WINDOW_BUCKETS as Time).max(1);
        let expired = (current_bucket - self.latest_bucket).clamp(0, WINDOW_BUCKETS as Time);
        for step in 0..expired {
            self.buckets[((current_bucket - step) % WINDOW_BUCKETS as Time) as usize] = (0.0, 0.0);
        }
        self.latest_bucket = self.latest_bucket.max(current_bucket);
        (self.latest_bucket % WINDOW_BUCKETS as Time) as usize
    }

    pub fn record_first(&mut self, now: Time) {
        let bucket = self.advance(now);
        self.buckets[bucket].0 += 1.0;
    }

    pub fn record_retry(&mut self, now: Time) {
        let bucket = self.advance(now);
        self.buckets[bucket].1 += 1.0;
    }

    /// The numbers of first pushes and of retries within the window.
    pub fn counts(&mut self, now: Time) -> (f64, f64) {
        self.advance(now);
        self.buckets.iter().fold((0.0, 0.0), |sum, bucket| (sum.0 + bucket.0, sum.1 + bucket.1))
    }

    /// How long until the budget allows one more retry; zero if it allows it now.
    pub fn retry_delay(&mut self, now: Time, budget: &RetryBudget) -> Time {
        let (first_pushes, retries) = self.counts(now);
        if retries + 1.0 <= budget.ratio * first_pushes + budget.min_retries {
            return 0;
        }
        // The delay ends when the bucket with the oldest retries leaves the window.
        let bucket_length = (self.length / WINDOW_BUCKETS as Time).max(1);
        let age = (0..WINDOW_BUCKETS as Time).rev().find(|age| {
            self.buckets[((self.latest_bucket - age).rem_euclid(WINDOW_BUCKETS as Time)) as usize].1 > 0.0
        });
        age.map_or(bucket_length, |age| (WINDOW_BUCKETS as Time - age) * bucket_length).max(1)
    }
}

/// A queued request for an in-flight slot, and the time at which its wait ends.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Waiter {
    ticket: u64,
    until: Time,
}

/// The result of asking for an in-flight slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SlotOutcome {
    Acquired,
    /// No slot is free: the request is queued until this time at the latest.
    Queued(Time),
    /// No slot is free and the queue is full: the caller may retry after this delay.
    Rejected(Time),
}

/// Limits the requests in flight. Those beyond the limit wait in a bounded FIFO queue.
#[derive(Clone, Debug, Default)]
pub struct InFlightSlots {
    taken: usize,
    waiters: VecDeque<Waiter>,
    /// Moving average of the time between two releases of a slot, in tenths of a millisecond.
    release_interval: f64,
    last_release: Option<Time>,
}

impl InFlightSlots {
    pub fn taken(&self) -> usize {
        self.taken
    }

    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Takes one of `max_in_flight` slots. With none free, it queues the request for up to `max_wait`, if fewer than
    /// `max_queued` are queued.
    pub fn acquire(
        &mut self,
        now: Time,
        ticket: u64,
        max_in_flight: usize,
        max_queued: usize,
        max_wait: Time,
    ) -> SlotOutcome {
        if self.taken < max_in_flight && self.waiters.is_empty() {
            self.taken += 1;
            return SlotOutcome::Acquired;
        }
        if max_wait > 0 && self.waiters.len() < max_queued {
            let until = now + max_wait;
            self.waiters.push_back(Waiter { ticket, until });
            return SlotOutcome::Queued(until);
        }
        // The retry delay estimates when all queued requests and this one will have got a slot, bounded to 10 ms to 10 s.
        SlotOutcome::Rejected(
            ((self.waiters.len() + 1) as f64 * self.release_interval).clamp(100.0, 100_000.0) as Time,
        )
    }

    /// Releases a slot, and returns the ticket of the request that gets it: the longest-queued one.
    pub fn release(&mut self, now: Time, max_in_flight: usize) -> Option<u64> {
        self.taken = self.taken.saturating_sub(1);
        if let Some(last) = self.last_release.replace(now) {
            self.release_interval += 0.1 * ((now - last) as f64 - self.release_interval);
        }
        self.admit_next(max_in_flight)
    }

    /// Gives a free slot to the longest-queued request and returns its ticket. Also to be called after `max_in_flight` has
    /// grown.
    pub fn admit_next(&mut self, max_in_flight: usize) -> Option<u64> {
        if self.taken >= max_in_flight {
            return None;
        }
        let waiter = self.waiters.pop_front()?;
        self.taken += 1;
        Some(waiter.ticket)
    }

    /// Removes a request from the queue; false if it is not queued, because it has a slot or never waited.
    pub fn cancel_wait(&mut self, ticket: u64) -> bool {
        let before = self.waiters.len();
        self.waiters.retain(|waiter| waiter.ticket != ticket);
        self.waiters.len() < before
    }
}

/// Histograms of recent run times. `recent` has the last complete period and the current one, so that older run times are
/// forgotten; `current` has the current period alone.
#[derive(Clone, Debug)]
pub struct RunTimes {
    recent: Histogram<u32>,
    current: Histogram<u32>,
}

/// The number of run times after which a new period begins.
const RUN_TIMES_PER_PERIOD: u64 = 512;
/// A quantile of fewer run times than this is not meaningful, and not returned.
const MIN_RUN_TIMES: u64 = 32;

impl Default for RunTimes {
    fn default() -> RunTimes {
        // From 0.1 ms to 24 h with two significant digits. These constants are valid bounds, so `new_with_bounds` cannot fail.
        let empty = || Histogram::new_with_bounds(1, 864_000_000, 2).unwrap_or_else(|_| unreachable!());
        RunTimes { recent: empty(), current: empty() }
    }
}

impl RunTimes {
    pub fn record(&mut self, run_time: Time) {
        let run_time = run_time.max(1) as u64;
        self.current.saturating_record(run_time);
        self.recent.saturating_record(run_time);
        if self.current.len() >= RUN_TIMES_PER_PERIOD {
            std::mem::swap(&mut self.recent, &mut self.current);
            self.current.reset();
        }
    }

    /// The run time that this fraction of requests does not exceed; `None` while fewer than `MIN_RUN_TIMES` are known. It is
    /// called for each request, so it reads one histogram and merges none.
    pub fn quantile(&self, fraction: f64) -> Option<Time> {
        (self.recent.len() >= MIN_RUN_TIMES).then(|| self.recent.value_at_quantile(fraction) as Time)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Time = 10_000;

    #[test]
    fn retry_budget_holds_over_the_window_and_returns_the_delay() {
        let budget = RetryBudget { ratio: 0.2, window: 16 * SECOND, min_retries: 2.0 };
        let mut window = PushWindow::new(budget.window);
        (0..100).for_each(|n| window.record_first(n * SECOND / 20));
        // 100 first pushes within 5 s allow 20 retries by the ratio of 0.2, and the minimum of two.
        let mut sent = 0;
        while window.retry_delay(5 * SECOND, &budget) == 0 && sent < 1000 {
            window.record_retry(5 * SECOND);
            sent += 1;
        }
        assert_eq!(sent, 22);
        let retry_after = window.retry_delay(5 * SECOND, &budget);
        assert!((10 * SECOND..=16 * SECOND).contains(&retry_after), "{retry_after}");
        // The budget allows a retry again after that delay, and not before the earlier retries have left the window.
        assert!(window.retry_delay(5 * SECOND + retry_after - 2 * SECOND, &budget) > 0);
        assert_eq!(window.retry_delay(5 * SECOND + retry_after, &budget), 0);
        assert_eq!(window.counts(60 * SECOND), (0.0, 0.0));
    }

    #[test]
    fn slots_are_granted_in_fifo_order_and_the_queue_is_bounded() {
        let mut slots = InFlightSlots::default();
        assert_eq!(
            (slots.acquire(0, 1, 2, 1, SECOND), slots.acquire(0, 2, 2, 1, SECOND)),
            (SlotOutcome::Acquired, SlotOutcome::Acquired)
        );
        assert_eq!(slots.acquire(0, 3, 2, 1, SECOND), SlotOutcome::Queued(SECOND));
        assert!(
            matches!(slots.acquire(0, 4, 2, 1, SECOND), SlotOutcome::Rejected(retry_after) if retry_after > 0)
        );
        assert_eq!(slots.release(5, 2), Some(3));
        assert_eq!((slots.release(6, 2), slots.taken(), slots.waiting()), (None, 1, 0));
        // A cancelled wait takes up no slot, and a lowered limit is reached as slots are released.
        assert_eq!(
            (slots.acquire(7, 5, 2, 1, SECOND), slots.acquire(7, 6, 1, 1, SECOND)),
            (SlotOutcome::Acquired, SlotOutcome::Queued(7 + SECOND))
        );
        assert!(slots.cancel_wait(6) && !slots.cancel_wait(6));
        assert_eq!((slots.release(8, 1), slots.release(9, 1), slots.taken()), (None, None, 0));
    }

    #[test]
    fn quantiles_follow_recent_run_times() {
        let mut run_times = RunTimes::default();
        assert_eq!(run_times.quantile(0.9), None);
        (1..=100).for_each(|n| run_times.record(n * 10));
        let before = run_times.quantile(0.9).unwrap();
        assert!((880..=920).contains(&before), "{before}");
        (0..2000).for_each(|_| run_times.record(50));
        assert!(run_times.quantile(0.99).unwrap() <= 51);
    }
}
