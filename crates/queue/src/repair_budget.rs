//! Rate limit for the bytes that repair sends.

use crate::message::Millis;

/// Time whose bytes repair may send at once, in milliseconds.
const BURST_MS: u64 = 100;

/// Token bucket of the bytes that repair may send now.
#[derive(Debug, Default)]
pub(crate) struct RepairBudget {
    available_bytes: i64,
    filled_at: Millis,
}

impl RepairBudget {
    /// Adds the bytes that have become available since the last call, at this rate.
    pub(crate) fn fill(&mut self, now: Millis, bytes_per_second: u64) {
        let added = now.saturating_sub(self.filled_at).saturating_mul(bytes_per_second) / 1000;
        let burst_bytes = (bytes_per_second * BURST_MS / 1000) as i64;
        let available_bytes = self.available_bytes.saturating_add_unsigned(added);
        self.available_bytes = available_bytes.min(burst_bytes);
        self.filled_at = now;
    }

    /// Takes bytes for a replica. A replica larger than the available bytes is sent all the same, and the deficit
    /// delays later ones.
    pub(crate) fn take(&mut self, bytes: u64) {
        self.available_bytes -= bytes as i64;
    }

    /// Whether no bytes may be sent now.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.available_bytes <= 0
    }

    /// Time at which the budget was last refilled.
    pub(crate) fn filled_at(&self) -> Millis {
        self.filled_at
    }
}
