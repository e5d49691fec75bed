//! Rate limit of a service over all stores: a token bucket at one store, the holder. Each request takes a token from
//! it.
//!
//! In any window the holder hands out at most rate times window plus a small burst. A new holder begins with an empty
//! bucket, or with the tokens that the former holder reports to have left when it stopped. Two successive holders
//! therefore keep to the limit together, whatever the first one has used, provided that it has stopped before the
//! second begins.

use crate::message::Millis;
use crate::settings::QuotaBounds;

/// Time after which unused tokens from the holder expire. Accumulated tokens would be used beyond their window.
const TOKEN_LIFETIME_MS: Millis = 250;

/// Delay before a new holder begins to hand out tokens, so that the former holder has stopped. A holder that stops in
/// an orderly way notifies its successor, which then does not wait ([`TokenBucket::take_over`]).
///
/// During a partition the former holder stops by its own clock, when its session may have lapsed: [`SESSION_GRACE_MS`]
/// after the last answer of a control node, which may have answered for [`CONTROL_CONTACT_MS`] after the others lost
/// contact with it. The others stop listing the holder [`SESSION_REPORT_LIFETIME_MS`] after that. This is the shortest
/// safe delay, see [`holders_overlap_ms`].
const NEW_HOLDER_DELAY_MS: Millis = 1500;

/// Time after which a session that is not renewed lapses: `SESSION_GRACE` in `crates/registry/`.
const SESSION_GRACE_MS: Millis = 1500;

/// Time after which a control node detects that it is partitioned from the others: `ControlGroup::is_in_contact`.
const CONTROL_CONTACT_MS: Millis = 1800;

/// Time for which the sessions that a control node reported stay valid after its last contact (`PEER_SESSIONS_LIFETIME`
/// in `crates/registry/`), less the interval at which the last contact is recorded.
const SESSION_REPORT_LIFETIME_MS: Millis = 1800;

/// Assumed maximum clock drift, in thousandths. Synchronised clocks are slewed by at most half a thousandth; this is
/// twenty times as much.
const CLOCK_DRIFT_PER_MILLE: Millis = 10;

/// Time for which the former holder, on the slowest clock, and its successor, on the fastest, may both hand out tokens.
const fn holders_overlap_ms(delay_ms: Millis) -> Millis {
    let former_stops = (CONTROL_CONTACT_MS + SESSION_GRACE_MS) * (1000 + CLOCK_DRIFT_PER_MILLE);
    let successor_begins = (SESSION_REPORT_LIFETIME_MS + delay_ms) * (1000 - CLOCK_DRIFT_PER_MILLE);
    former_stops.saturating_sub(successor_begins) / 1000
}

/// Maximum overlap of two holders. What both hand out in that time, and the tokens of the former holder that are used
/// later, must fit into what the tolerance leaves beside the burst: for a window of five seconds and a tolerance of a
/// tenth that is a third of a second.
const MAX_OVERLAP_MS: Millis = 333 - TOKEN_LIFETIME_MS;
const _: () = assert!(holders_overlap_ms(NEW_HOLDER_DELAY_MS) <= MAX_OVERLAP_MS);

/// Time after which an unanswered request to the holder is repeated.
const REQUEST_RETRY_MS: Millis = 200;

/// Number of requests allowed beyond rate times window times tolerance, whatever the rate.
const EXTRA_REQUESTS: f64 = 5.0;

/// Divisor of the spare requests that the tolerance allows, which gives the burst. The rest allows for clock
/// differences, for the delay of messages between stores, and for tokens that have been handed out but not used yet.
const BURST_DIVISOR: f64 = 3.0;

/// Maximum burst, in tokens.
const MAX_BURST: f64 = 64.0;

/// Limit on the requests that a service may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RateLimit {
    pub rate_per_s: f64,
    /// Length of the window over which requests are counted, in milliseconds.
    pub window_ms: u64,
    /// Factor by which the requests in one window may exceed rate times window.
    pub tolerance: f64,
}

/// Tokens granted by the holder, and the time at which they expire.
#[derive(Clone, Copy, Debug)]
struct Grant {
    expires_at: Millis,
    count: u32,
}

/// Token bucket of a service at one store: the bucket itself at the holder, tokens granted by the holder at the other
/// stores.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    refill_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Millis,
    /// Time from which this store, as the holder, may hand out tokens; `None` if it is not the holder.
    holder_from: Option<Millis>,
    /// Whether nothing is handed out, because this store's session may have lapsed and another holder may be about to
    /// begin.
    pub is_paused: bool,
    grants: Vec<Grant>,
    /// Time of the last request to the holder, if it has not been answered.
    requested_at: Option<Millis>,
    /// Time at which the token that was taken last expires.
    last_taken_expires_at: Millis,
}

impl TokenBucket {
    /// Creates an empty bucket for a store that is not the holder.
    pub fn new(now: Millis, limit: RateLimit) -> TokenBucket {
        let mut bucket = TokenBucket { refilled_at: now, ..TokenBucket::default() };
        bucket.set_limit(limit);
        bucket
    }

    /// Changes the rate limit. Tokens beyond the new burst are discarded.
    pub fn set_limit(&mut self, limit: RateLimit) {
        self.refill_per_s = limit.rate_per_s;
        let requests_per_window = limit.rate_per_s * limit.window_ms as f64 / 1000.0;
        let spare = requests_per_window * (limit.tolerance - 1.0).max(0.0) + EXTRA_REQUESTS;
        self.burst = (spare / BURST_DIVISOR).clamp(1.0, MAX_BURST);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Sets the quota of a tenant: `burst` messages at once, and `rate_per_s` after that. A new bucket is empty.
    ///
    /// As for a service, a third of the permitted excess is added to the burst, and the rest covers changes of the
    /// holder.
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

    /// Whether the bucket has a limit at all.
    pub fn has_limit(&self) -> bool {
        self.refill_per_s > 0.0
    }

    fn refill(&mut self, now: Millis) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.refill_per_s).min(self.burst);
    }

    /// Sets whether this store is the holder from now on.
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

    /// Starts this store, the successor, at once with the tokens that the former holder had left, because the former
    /// holder has reported that it stopped. Together the two hand out no more than one holder would have.
    pub fn take_over(&mut self, now: Millis, tokens_left: u32) {
        let Some(holder_from) = &mut self.holder_from else { return };
        *holder_from = now.min(*holder_from);
        let holder_from = *holder_from;
        self.discard_tokens_before(holder_from);
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

    /// Takes up to `wanted` tokens from the bucket and returns their number: 0 unless this store is the holder.
    pub fn hand_out(&mut self, now: Millis, wanted: u32) -> u32 {
        let Some(holder_from) = self.holder_from.filter(|_| !self.is_paused) else { return 0 };
        if now < holder_from {
            self.empty_at(now);
            return 0;
        }
        self.discard_tokens_before(holder_from);
        self.refill(now);
        let count = (self.tokens.floor() as u32).min(wanted);
        self.tokens -= f64::from(count);
        count
    }

    /// Empties the bucket if it was last refilled before this store became the holder, because those tokens do not
    /// count.
    fn discard_tokens_before(&mut self, holder_from: Millis) {
        if self.refilled_at < holder_from {
            self.empty_at(holder_from);
        }
    }

    fn empty_at(&mut self, at: Millis) {
        self.refilled_at = at;
        self.tokens = 0.0;
    }

    /// Handles the holder's answer to a request, with the number of tokens granted.
    pub fn receive(&mut self, now: Millis, count: u32) {
        self.requested_at = None;
        if count > 0 {
            self.grants.push(Grant { expires_at: now + TOKEN_LIFETIME_MS, count });
        }
    }

    /// Takes a token for a request that is sent now. Returns false if there is none.
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

    /// Returns the token that was taken last, because its request was not sent.
    pub fn give_back(&mut self) {
        if self.is_holder() {
            self.tokens = (self.tokens + 1.0).min(self.burst);
        } else {
            // The token keeps its expiry time. Otherwise a token that is returned again and again would be used beyond
            // its window.
            self.grants.push(Grant { expires_at: self.last_taken_expires_at, count: 1 });
        }
    }

    /// Whether to ask the holder for tokens now. If so, the request counts as sent.
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
