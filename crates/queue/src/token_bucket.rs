//! The rate limit of a service over all stores: a token bucket at one store, the holder, from which each request takes a token.
//!
//! What the holder hands out in any window is at most rate times window and a small burst. A new holder begins with an empty
//! bucket, or with what the former one says that it had left when it stopped. So two holders in a row keep the limit together,
//! whatever the first one has used, as long as it has stopped before the second begins.

use crate::message::Millis;
use crate::settings::QuotaBounds;

/// Tokens from the holder that are not used for so long expire: piled up they would be used beyond the window.
const TOKEN_LIFETIME_MS: Millis = 250;

/// A new holder begins so long after the change, when the former one has stopped. One that stops in order says so, and its
/// successor does not wait ([`TokenBucket::take_over`]).
///
/// On a partition the former holder stops by its own clock, when its session may have lapsed: [`SESSION_GRACE_MS`] after the last
/// answer of a control node, which may have answered for [`CONTROL_CONTACT_MS`] after the others ceased to hear it. The others
/// list the holder no more [`SESSION_REPORT_LIFETIME_MS`] after that. So this is the least wait, see [`holders_overlap_ms`].
const NEW_HOLDER_DELAY_MS: Millis = 1500;

/// A session that is not renewed lapses after so long: `SESSION_GRACE` in `crates/registry/`.
const SESSION_GRACE_MS: Millis = 1500;

/// A control node knows after so long that it is cut off from the others: `ControlGroup::is_in_contact`.
const CONTROL_CONTACT_MS: Millis = 1800;

/// The sessions that a control node reported hold for so long after it was last heard (`PEER_SESSIONS_LIFETIME` in
/// `crates/registry/`), less the interval at which it is noted when it was heard.
const SESSION_REPORT_LIFETIME_MS: Millis = 1800;

/// Clocks that are kept in step are slewed by half a thousandth; this is twenty times as much, in thousandths.
const CLOCK_DRIFT_PER_MILLE: Millis = 10;

/// How long the former holder, on the slowest clock, and its successor, on the fastest, may both hand out tokens.
const fn holders_overlap_ms(delay_ms: Millis) -> Millis {
    let former_stops = (CONTROL_CONTACT_MS + SESSION_GRACE_MS) * (1000 + CLOCK_DRIFT_PER_MILLE);
    let successor_begins = (SESSION_REPORT_LIFETIME_MS + delay_ms) * (1000 - CLOCK_DRIFT_PER_MILLE);
    former_stops.saturating_sub(successor_begins) / 1000
}

/// What both hand out in that time, and the tokens of the former that are used later, have to fit into what the tolerance leaves
/// beside the burst: of a window of five seconds and a tenth to spare that is a third of a second.
const MAX_OVERLAP_MS: Millis = 333 - TOKEN_LIFETIME_MS;
const _: () = assert!(holders_overlap_ms(NEW_HOLDER_DELAY_MS) <= MAX_OVERLAP_MS);

/// A request to the holder that is not answered for so long is repeated.
const REQUEST_RETRY_MS: Millis = 200;

/// Requests allowed beyond rate times window times tolerance, whatever the rate.
const EXTRA_REQUESTS: f64 = 5.0;

/// What the tolerance leaves to spare is divided by this for the burst; the rest is for differing clocks, for the time that messages
/// between stores take, and for tokens that have been handed out and not used yet.
const BURST_DIVISOR: f64 = 3.0;

/// The largest burst.
const MAX_BURST: f64 = 64.0;

/// How many requests a service may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RateLimit {
    pub rate_per_s: f64,
    /// The length of a window over which requests are counted.
    pub window_ms: u64,
    /// By which factor the requests of a window may exceed rate times window.
    pub tolerance: f64,
}

/// Tokens handed out by the holder, and the time at which they expire.
#[derive(Clone, Copy, Debug)]
struct Grant {
    expires_at: Millis,
    count: u32,
}

/// A service's token bucket as one store has it: the bucket itself at the holder, tokens granted by the holder at the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    refill_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Millis,
    /// This store is the holder, and may hand out tokens from then on.
    holder_from: Option<Millis>,
    /// This store's session may have lapsed, and another holder may be about to begin: nothing is handed out.
    pub is_paused: bool,
    grants: Vec<Grant>,
    /// When the holder was asked, if it has not answered.
    requested_at: Option<Millis>,
    /// When the token that was taken last expires.
    last_taken_expires_at: Millis,
}

impl TokenBucket {
    /// An empty bucket of a store that is not the holder.
    pub fn new(now: Millis, limit: RateLimit) -> TokenBucket {
        let mut bucket = TokenBucket { refilled_at: now, ..TokenBucket::default() };
        bucket.set_limit(limit);
        bucket
    }

    /// Changes the rate limit. Tokens beyond the new burst are lost.
    pub fn set_limit(&mut self, limit: RateLimit) {
        self.refill_per_s = limit.rate_per_s;
        let requests_per_window = limit.rate_per_s * limit.window_ms as f64 / 1000.0;
        let spare = requests_per_window * (limit.tolerance - 1.0).max(0.0) + EXTRA_REQUESTS;
        self.burst = (spare / BURST_DIVISOR).clamp(1.0, MAX_BURST);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Sets the quota of a tenant: `burst` messages at once, and `rate_per_s` from then on. A bucket that is new is empty.
    ///
    /// As with a service a third of what may be exceeded goes into the burst, and the rest is for the change of holders.
    pub fn set_quota(&mut self, now: Millis, rate_per_s: f64, burst: f64, bounds: QuotaBounds) {
        if self.refilled_at == 0 {
            self.refilled_at = now;
        }
        self.refill_per_s = rate_per_s;
        let per_window = rate_per_s * bounds.window_ms as f64 / 1000.0 + burst;
        let spare = per_window * bounds.overrun + bounds.slack as f64;
        self.burst = burst + (spare / BURST_DIVISOR).max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Whether there is a limit at all.
    pub fn has_limit(&self) -> bool {
        self.refill_per_s > 0.0
    }

    fn refill(&mut self, now: Millis) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.refill_per_s).min(self.burst);
    }

    /// Whether this store is the holder from now on.
    pub fn set_holder(&mut self, now: Millis, is_holder: bool) {
        match (is_holder, self.holder_from) {
            (true, None) => self.holder_from = Some(now + NEW_HOLDER_DELAY_MS),
            (false, Some(_)) => {
                self.holder_from = None;
                self.tokens = 0.0;
            }
            _ => {}
        }
    }

    /// The former holder has stopped and says so: this store, its successor, begins at once, with the tokens that the former one
    /// had left. Together they hand out no more than one holder would have.
    pub fn take_over(&mut self, now: Millis, tokens_left: u32) {
        let Some(holder_from) = &mut self.holder_from else { return };
        *holder_from = now.min(*holder_from);
        let holder_from = *holder_from;
        self.begin_empty(holder_from);
        self.refill(now);
        self.tokens = (self.tokens + f64::from(tokens_left)).min(self.burst);
    }

    /// Whether this store is the holder and hands out tokens now.
    pub fn is_handing_out(&self, now: Millis) -> bool {
        !self.is_paused && self.holder_from.is_some_and(|holder_from| now >= holder_from)
    }

    /// Whether this store is the holder, even if it may not hand out tokens yet.
    pub fn is_holder(&self) -> bool {
        self.holder_from.is_some()
    }

    /// Takes up to `wanted` tokens out of the bucket and gives their number: none unless this store is the holder.
    pub fn hand_out(&mut self, now: Millis, wanted: u32) -> u32 {
        let Some(holder_from) = self.holder_from.filter(|_| !self.is_paused) else { return 0 };
        if now < holder_from {
            self.empty_at(now);
            return 0;
        }
        self.begin_empty(holder_from);
        self.refill(now);
        let count = (self.tokens.floor() as u32).min(wanted);
        self.tokens -= f64::from(count);
        count
    }

    /// What lay in the bucket before this store was the holder does not count.
    fn begin_empty(&mut self, holder_from: Millis) {
        if self.refilled_at < holder_from {
            self.empty_at(holder_from);
        }
    }

    fn empty_at(&mut self, at: Millis) {
        self.refilled_at = at;
        self.tokens = 0.0;
    }

    /// The holder has answered with so many tokens.
    pub fn receive(&mut self, now: Millis, count: u32) {
        self.requested_at = None;
        if count > 0 {
            self.grants.push(Grant { expires_at: now + TOKEN_LIFETIME_MS, count });
        }
    }

    /// Takes a token for a request that leaves now. False: there is none.
    pub fn take(&mut self, now: Millis) -> bool {
        if self.is_holder() {
            return self.hand_out(now, 1) == 1;
        }
        self.grants.retain(|grant| grant.expires_at > now && grant.count > 0);
        let Some(grant) = self.grants.first_mut() else { return false };
        grant.count -= 1;
        self.last_taken_expires_at = grant.expires_at;
        true
    }

    /// Gives back the token that was taken last: its request did not leave.
    pub fn give_back(&mut self) {
        if self.is_holder() {
            self.tokens = (self.tokens + 1.0).min(self.burst);
        } else {
            // It still expires when it would have: given back again and again it would else be used beyond the window.
            self.grants.push(Grant { expires_at: self.last_taken_expires_at, count: 1 });
        }
    }

    /// Whether the holder is to be asked for tokens now; if so, the request counts as sent.
    pub fn begin_request(&mut self, now: Millis) -> bool {
        let is_requested = self.requested_at.is_some_and(|at| now < at + REQUEST_RETRY_MS);
        if self.is_holder() || is_requested {
            return false;
        }
        self.requested_at = Some(now);
        true
    }
}

#[cfg(test)]
mod tests;
