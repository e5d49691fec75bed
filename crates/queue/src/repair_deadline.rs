//! The time by which everything that is stored on too few disks has to be copied, and the rate that this takes.

use crate::message::Millis;
use crate::repair_settings::{RepairSettings, MIN_BYTES_PER_SECOND};

/// Shortest time for which a rate is computed. It bounds the rate when the deadline is near or past.
const MIN_TIME_LEFT_MS: Millis = 250;

/// Deadline of the repair in progress, if there is one, and the rate that it needs.
#[derive(Debug, Default)]
pub(crate) struct RepairDeadline {
    due_at: Option<Millis>,
    /// The highest rate that was needed so far, in bytes a second. A rate that fell with what is left would never end.
    bytes_per_second: u64,
}

impl RepairDeadline {
    /// Rate, in bytes a second, at which the missing bytes are copied by the deadline. The first call after a repair has
    /// ended sets the deadline. What is found missing later has to be copied by the same time.
    pub(crate) fn bytes_per_second(
        &mut self,
        now: Millis,
        missing_bytes: u64,
        settings: RepairSettings,
    ) -> u64 {
        let due_at = *self.due_at.get_or_insert(now + settings.copy_time_ms());
        let time_left_ms = due_at.saturating_sub(now).max(MIN_TIME_LEFT_MS);
        let needed = missing_bytes.saturating_mul(1000) / time_left_ms;
        let highest = settings.max_bytes_per_second.max(MIN_BYTES_PER_SECOND);
        self.bytes_per_second = self.bytes_per_second.max(needed).clamp(MIN_BYTES_PER_SECOND, highest);
        self.bytes_per_second
    }

    /// Notes that nothing is missing.
    pub(crate) fn repair_finished(&mut self) {
        *self = RepairDeadline::default();
    }

    /// Notes that another store has connected. What could not be copied for lack of a store gets a new deadline.
    pub(crate) fn store_connected(&mut self, now: Millis) {
        if self.due_at.is_some_and(|due_at| due_at < now) {
            *self = RepairDeadline::default();
        }
    }
}
