//! Appends that the log refused, and that are tried again: what they hold is known outside the store.

use crate::net::Millis;

/// A refused append is tried again after so long.
pub(super) const RETRY_INTERVAL_MS: Millis = 200;

/// The appends that the log refused.
#[derive(Default)]
pub(super) struct RefusedAppends {
    /// When each is tried again, by its ticket.
    retry_at: Vec<(Millis, u64)>,
}

impl RefusedAppends {
    /// The log has refused an append.
    pub(super) fn add(&mut self, now: Millis, ticket: u64) {
        self.retry_at.push((now + RETRY_INTERVAL_MS, ticket));
    }

    /// The appends that are to be tried again now.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<u64> {
        self.retry_at.extract_if(.., |(at, _)| *at <= now).map(|(_, ticket)| ticket).collect()
    }
}
