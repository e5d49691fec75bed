//! Rate limit for the bytes that repair sends.

use crate::message::Millis;

/// Bytes of repaired replicas per second. This is three times what a store receives in the busiest known hour (130
/// messages of 1.2 KB a second, twice), so the messages of some seconds are fully replicated again within a second or
/// two. It is a fiftieth of the narrowest link, so repair does not delay deliveries.
pub(crate) const REPAIR_BYTES_PER_SECOND: u64 = 1_000_000;

/// Bytes that repair may send at once: a tenth of the bytes per second.
const REPAIR_BURST_BYTES: u64 = REPAIR_BYTES_PER_SECOND / 10;

/// Token bucket of the bytes that repair may send now.
#[derive(Debug, Default)]
pub(crate) struct RepairBudget {
    available_bytes: i64,
    filled_at: Millis,
}

impl RepairBudget {
    /// Adds the bytes that have become available since the last call.
    pub(crate) fn fill(&mut self, now: Millis) {
        let added = now.saturating_sub(self.filled_at) * REPAIR_BYTES_PER_SECOND / 1000;
        self.available_bytes = (self.available_bytes + added as i64).min(REPAIR_BURST_BYTES as i64);
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
