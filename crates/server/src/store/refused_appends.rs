//! Schedules retries of appends that the log refused. Their records are already known outside the store, so they must not be dropped.

use crate::net::Millis;

/// Time, in ms, from the refusal of an append to its retry.
pub(super) const APPEND_RETRY_DELAY_MS: Millis = 200;

/// The refused appends that wait for their retry.
#[derive(Default)]
pub(super) struct RefusedAppends {
    /// The retry time and the ticket of each refused append.
    retry_at: Vec<(Millis, u64)>,
}

impl RefusedAppends {
    /// Schedules the retry of an append that the log has just refused.
    pub(super) fn add(&mut self, now: Millis, ticket: u64) {
        self.retry_at.push((now + APPEND_RETRY_DELAY_MS, ticket));
    }

    /// Removes and returns the tickets of the appends that are due for a retry.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<u64> {
        self.retry_at.extract_if(.., |(at, _)| *at <= now).map(|(_, ticket)| ticket).collect()
    }
}
