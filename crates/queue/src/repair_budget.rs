//! The bound on the bytes that repair sends.

use crate::message::Millis;

/// Bytes of repaired replicas a second. Three times what a store takes in at the busiest hour that is known
/// (130 messages of 1.2 KB a second, twice), so the messages of some seconds are safe again in a second or
/// two; and a fiftieth of the narrowest link, so no delivery waits for it.
pub(crate) const REPAIR_BYTES_PER_SECOND: u64 = 1_000_000;

/// Bytes that may be sent at once: a tenth of a second's.
const REPAIR_BURST_BYTES: u64 = REPAIR_BYTES_PER_SECOND / 10;

/// Bytes that repair may send now: a token bucket.
#[derive(Debug, Default)]
pub(crate) struct RepairBudget {
    available_bytes: i64,
    filled_at: Millis,
}

impl RepairBudget {
    /// Adds what has become available since the last call.
    pub(crate) fn fill(&mut self, now: Millis) {
        let added = now.saturating_sub(self.filled_at) * REPAIR_BYTES_PER_SECOND / 1000;
        self.available_bytes = (self.available_bytes + added as i64).min(REPAIR_BURST_BYTES as i64);
        self.filled_at = now;
    }

    /// Takes bytes. A replica larger than what is left goes all the same, and is paid for afterwards.
    pub(crate) fn take(&mut self, bytes: u64) {
        self.available_bytes -= bytes as i64;
    }

    /// Nothing may be sent now.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.available_bytes <= 0
    }

    /// When it was last filled.
    pub(crate) fn filled_at(&self) -> Millis {
        self.filled_at
    }
}
