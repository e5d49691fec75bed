//! What is counted while ops run: retry budgets, places in hand, own running times. Told the time, not reading it.

use crate::limits::Budget;
use hdrhistogram::Histogram;
use std::collections::VecDeque;
use stileroute_dispatch::types::Time;

const SLOTS: usize = 16;

/// First and further pushes over a sliding window, in sixteen parts of it: what is counted is between the window
/// and a sixteenth more.
#[derive(Clone, Debug)]
pub struct Window {
    span: Time,
    slots: [(f64, f64); SLOTS],
    /// The latest part that holds something, counted from the beginning of time.
    at: Time,
}

impl Window {
    pub fn new(span: Time) -> Window {
        Window { span: span.max(SLOTS as Time), slots: [(0.0, 0.0); SLOTS], at: 0 }
    }

    /// A change of the window keeps what is counted, as if it had been spread so all along.
    pub fn resize(&mut self, span: Time) {
        self.span = span.max(SLOTS as Time);
    }

    fn turn(&mut self, now: Time) -> usize {
        let at = now / (self.span / SLOTS as Time).max(1);
        let gone = (at - self.at).clamp(0, SLOTS as Time);
        for step in 0..gone {
            self.slots[((at - step) % SLOTS as Time) as usize] = (0.0, 0.0);
        }
        self.at = self.at.max(at);
        (self.at % SLOTS as Time) as usize
    }

    pub fn first(&mut self, now: Time) {
        let slot = self.turn(now);
        self.slots[slot].0 += 1.0;
    }

    pub fn further(&mut self, now: Time) {
        let slot = self.turn(now);
        self.slots[slot].1 += 1.0;
    }

    /// First and further pushes within the window.
    pub fn counts(&mut self, now: Time) -> (f64, f64) {
        self.turn(now);
        self.slots.iter().fold((0.0, 0.0), |sum, slot| (sum.0 + slot.0, sum.1 + slot.1))
    }

    /// Zero where one more further push is within the budget; else until when it may be again.
    pub fn spent(&mut self, now: Time, budget: &Budget) -> Time {
        let (firsts, furthers) = self.counts(now);
        if furthers + 1.0 <= budget.part * firsts + budget.least {
            return 0;
        }
        // When the oldest further pushes have left the window.
        let part = (self.span / SLOTS as Time).max(1);
        let age = (0..SLOTS as Time)
            .rev()
            .find(|age| self.slots[((self.at - age).rem_euclid(SLOTS as Time)) as usize].1 > 0.0);
        age.map_or(part, |age| (SLOTS as Time - age) * part).max(1)
    }
}

/// Who asked for a place, and until when it waits.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Waiter {
    ticket: u64,
    until: Time,
}

/// What becomes of an op that asks for a place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    In,
    /// It waits until then at the longest.
    Waits(Time),
    /// Come back after this.
    Full(Time),
}

/// Places in hand with a bounded wait, first come, first served.
#[derive(Clone, Debug, Default)]
pub struct Places {
    taken: usize,
    waiters: VecDeque<Waiter>,
    /// A place is free again about so often, in tenths of a millisecond.
    turn: f64,
    left: Option<Time>,
}

impl Places {
    pub fn taken(&self) -> usize {
        self.taken
    }

    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Asks for a place among `most`, with `waiting` who may wait so long.
    pub fn ask(&mut self, now: Time, ticket: u64, most: usize, waiting: usize, wait: Time) -> Place {
        if self.taken < most && self.waiters.is_empty() {
            self.taken += 1;
            return Place::In;
        }
        if wait > 0 && self.waiters.len() < waiting {
            let until = now + wait;
            self.waiters.push_back(Waiter { ticket, until });
            return Place::Waits(until);
        }
        // When all that wait have had their turn.
        Place::Full(((self.waiters.len() + 1) as f64 * self.turn).clamp(100.0, 100_000.0) as Time)
    }

    /// A place is free: whoever has waited longest has it now.
    pub fn leave(&mut self, now: Time, most: usize) -> Option<u64> {
        self.taken = self.taken.saturating_sub(1);
        if let Some(last) = self.left.replace(now) {
            self.turn += 0.1 * ((now - last) as f64 - self.turn);
        }
        self.next(most)
    }

    /// Who comes in next, while there are places: also after there have become more of them.
    pub fn next(&mut self, most: usize) -> Option<u64> {
        if self.taken >= most {
            return None;
        }
        let waiter = self.waiters.pop_front()?;
        self.taken += 1;
        Some(waiter.ticket)
    }

    /// It waits no longer; false if it has a place, or never waited.
    pub fn quit(&mut self, ticket: u64) -> bool {
        let before = self.waiters.len();
        self.waiters.retain(|waiter| waiter.ticket != ticket);
        self.waiters.len() < before
    }
}

/// Own running times, older ones fading: those of the last whole span and of the one that is being filled.
#[derive(Clone, Debug)]
pub struct Times {
    both: Histogram<u32>,
    new: Histogram<u32>,
}

/// So many times make a span, and fewer tell nothing about a quantile.
const SPAN: u64 = 512;
const ENOUGH: u64 = 32;

impl Default for Times {
    fn default() -> Times {
        // From a tenth of a millisecond to a day at two digits; the bounds are right by construction.
        let empty = || Histogram::new_with_bounds(1, 864_000_000, 2).unwrap_or_else(|_| unreachable!());
        Times { both: empty(), new: empty() }
    }
}

impl Times {
    pub fn add(&mut self, time: Time) {
        let time = time.max(1) as u64;
        self.new.saturating_record(time);
        self.both.saturating_record(time);
        if self.new.len() >= SPAN {
            std::mem::swap(&mut self.both, &mut self.new);
            self.new.reset();
        }
    }

    /// The running time that such a part of the ops stays under; none as long as too few are known. It is asked for
    /// with each op, so nothing is added up here.
    pub fn quantile(&self, part: f64) -> Option<Time> {
        (self.both.len() >= ENOUGH).then(|| self.both.value_at_quantile(part) as Time)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 10_000;

    #[test]
    fn a_budget_holds_over_any_window_and_says_when_to_come_back() {
        let budget = Budget { part: 0.2, window: 16 * S, least: 2.0 };
        let mut window = Window::new(budget.window);
        (0..100).for_each(|n| window.first(n * S / 20));
        // 100 first pushes within five seconds: 20 further ones and two free.
        let mut sent = 0;
        while window.spent(5 * S, &budget) == 0 && sent < 1000 {
            window.further(5 * S);
            sent += 1;
        }
        assert_eq!(sent, 22);
        let back = window.spent(5 * S, &budget);
        assert!((10 * S..=16 * S).contains(&back), "{back}");
        // When that time has passed there is room again; and no sooner than the further ones have left.
        assert!(window.spent(5 * S + back - 2 * S, &budget) > 0);
        assert_eq!(window.spent(5 * S + back, &budget), 0);
        assert_eq!(window.counts(60 * S), (0.0, 0.0));
    }

    #[test]
    fn places_are_given_first_come_and_waits_are_bounded() {
        let mut places = Places::default();
        assert_eq!((places.ask(0, 1, 2, 1, S), places.ask(0, 2, 2, 1, S)), (Place::In, Place::In));
        assert_eq!(places.ask(0, 3, 2, 1, S), Place::Waits(S));
        assert!(matches!(places.ask(0, 4, 2, 1, S), Place::Full(back) if back > 0));
        assert_eq!(places.leave(5, 2), Some(3));
        assert_eq!((places.leave(6, 2), places.taken(), places.waiting()), (None, 1, 0));
        // One that has waited in vain leaves no gap, and a smaller number of places is reached by leaving.
        assert_eq!((places.ask(7, 5, 2, 1, S), places.ask(7, 6, 1, 1, S)), (Place::In, Place::Waits(7 + S)));
        assert!(places.quit(6) && !places.quit(6));
        assert_eq!((places.leave(8, 1), places.leave(9, 1), places.taken()), (None, None, 0));
    }

    #[test]
    fn quantiles_follow_what_ran_lately() {
        let mut times = Times::default();
        assert_eq!(times.quantile(0.9), None);
        (1..=100).for_each(|n| times.add(n * 10));
        let before = times.quantile(0.9).unwrap();
        assert!((880..=920).contains(&before), "{before}");
        (0..2000).for_each(|_| times.add(50));
        assert!(times.quantile(0.99).unwrap() <= 51);
    }
}
