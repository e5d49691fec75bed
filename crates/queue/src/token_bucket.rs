//! The ceiling of a service over all stores: one store hands out tokens, and each request takes one.
//!
//! The holder paces itself: what it hands out in any window is the rate times the window and a small burst,
//! and one that has just become the holder begins with none. So two holders in a row keep the ceiling
//! together, whatever the first one has used, as long as it has stopped before the second begins.

use crate::message::Millis;

/// Tokens that are not used for so long are worth nothing: they would pile up beyond the window.
const LIFE: Millis = 250;
/// So long after the change of holder the new one begins.
pub const SETTLE: Millis = 1500;

#[derive(Clone, Debug, Default)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    held: f64,
    at: Millis,
    since: Option<Millis>,
    /// The control nodes may call this store's session lapsed, and another may be about to begin: nothing is handed out.
    pub paused: bool,
    /// Tokens got from the holder, and until when each lot holds.
    got: Vec<(Millis, u32)>,
    asked: Option<Millis>,
    /// Until when the token that was taken last holds.
    last: Millis,
}

impl Bucket {
    pub fn new(now: Millis, rate: f64, window_ms: u64, overrun: f64) -> Bucket {
        let mut bucket = Bucket { at: now, ..Bucket::default() };
        bucket.rated(rate, window_ms, overrun);
        bucket
    }

    pub fn rated(&mut self, rate: f64, window_ms: u64, overrun: f64) {
        self.rate = rate;
        // Over the bound there are rate x window x (overrun - 1) + 5 to spare: a third of that is the burst,
        // the rest is for clocks, ways that differ, and tokens that lie about.
        let spare = rate * window_ms as f64 / 1000.0 * (overrun - 1.0).max(0.0) + 5.0;
        self.burst = (spare / 3.0).clamp(1.0, 64.0);
        self.held = self.held.min(self.burst);
    }

    fn fill(&mut self, now: Millis) {
        let gone = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = now;
        self.held = (self.held + gone * self.rate).min(self.burst);
    }

    /// This store is the holder, or not (any more).
    pub fn holder(&mut self, now: Millis, holds: bool) {
        match (holds, self.since) {
            (true, None) => self.since = Some(now + SETTLE),
            (false, Some(_)) => {
                self.since = None;
                self.held = 0.0;
            }
            _ => {}
        }
    }

    pub fn holds(&self) -> bool {
        self.since.is_some()
    }

    /// Hands out up to so many.
    pub fn hand_out(&mut self, now: Millis, wanted: u32) -> u32 {
        let Some(since) = self.since.filter(|_| !self.paused) else { return 0 };
        if now < since {
            (self.at, self.held) = (now, 0.0);
            return 0;
        }
        if self.at < since {
            (self.at, self.held) = (since, 0.0);
        }
        self.fill(now);
        let some = (self.held.floor() as u32).min(wanted);
        self.held -= f64::from(some);
        some
    }

    /// Tokens came.
    pub fn got(&mut self, now: Millis, count: u32) {
        self.asked = None;
        if count > 0 {
            self.got.push((now + LIFE, count));
        }
    }

    /// Takes one for a request that leaves now.
    pub fn take(&mut self, now: Millis) -> bool {
        if self.holds() {
            return self.hand_out(now, 1) == 1;
        }
        self.got.retain(|(until, count)| *until > now && *count > 0);
        match self.got.first_mut() {
            Some((until, count)) => {
                *count -= 1;
                self.last = *until;
                true
            }
            None => false,
        }
    }

    /// The one that was taken last was not used.
    pub fn give_back(&mut self) {
        if self.holds() {
            self.held = (self.held + 1.0).min(self.burst);
        } else {
            // For the rest of its own life: given back again and again it would else be used beyond the
            // window.
            self.got.push((self.last, 1));
        }
    }

    /// Whether to ask the holder now; asked again where no answer came.
    pub fn ask(&mut self, now: Millis) -> bool {
        if self.holds() || self.asked.is_some_and(|at| now < at + 200) {
            return false;
        }
        self.asked = Some(now);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_token_that_is_given_back_again_and_again_lives_no_longer() {
        let mut bucket = Bucket::new(0, 20.0, 5000, 1.1);
        bucket.got(0, 1);
        for now in (0..LIFE).step_by(10) {
            assert!(bucket.take(now), "{now}");
            bucket.give_back();
        }
        assert!(!bucket.take(LIFE));
    }
}
