//! How long a store keeps what it knows of messages for which no work is left.

use crate::message::Millis;

/// Time for which the end of a message is kept after it can no longer be looked up, in milliseconds, so that late
/// replicas of the message are recognised.
const LATE_REPLICA_MARGIN_MS: Millis = 60_000;

/// Margin added to the idempotency window, in milliseconds. It allows for the clock differences of the stores.
const IDEMPOTENCY_WINDOW_MARGIN_MS: Millis = 10_000;

/// Minimum time for which ends are kept on disk, in milliseconds.
const MIN_END_ON_DISK_MS: Millis = 240_000;

/// Times for which ended messages are of use, from the settings of the store, and the retention periods that follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Time for which the end of a message can be looked up, in milliseconds.
    pub status_ms: Millis,
    /// Time for which an idempotency key refers to its first message, in milliseconds after that was sent.
    pub idempotency_window_ms: Millis,
}

impl Retention {
    /// Whether ends are kept longer for their idempotency keys than so that they can be looked up.
    pub fn is_extended_by_keys(self) -> bool {
        self.idempotency_key_ms() > self.end_ms()
    }

    /// Age above which a message no longer counts for its idempotency key, in milliseconds.
    pub(crate) fn idempotency_key_ms(self) -> Millis {
        self.idempotency_window_ms.saturating_add(IDEMPOTENCY_WINDOW_MARGIN_MS)
    }

    /// Time for which the end of a message without an idempotency key is kept in memory, in milliseconds after the
    /// message has ended.
    pub(crate) fn end_ms(self) -> Millis {
        self.status_ms.saturating_add(LATE_REPLICA_MARGIN_MS)
    }

    /// Time for which the end of a message with an idempotency key is kept in memory, in milliseconds after the message
    /// has ended. The key counts from the first sending, which is earlier.
    pub(crate) fn end_with_key_ms(self) -> Millis {
        self.end_ms().max(self.idempotency_key_ms())
    }

    /// Time for which an end is kept on disk, in milliseconds, if the disk does not record another.
    pub(crate) const fn default_end_on_disk_ms() -> Millis {
        MIN_END_ON_DISK_MS
    }

    /// Time for which an end is kept on disk, in milliseconds after the message has ended, with an idempotency key or
    /// without.
    pub(crate) fn end_on_disk_ms(self) -> Millis {
        self.end_with_key_ms().max(MIN_END_ON_DISK_MS)
    }

    /// Time for which the replica of a message without an idempotency key is kept, in milliseconds after the message has
    /// expired, if its owner never sends an end.
    pub(crate) fn replica_ms(self) -> Millis {
        self.status_ms
    }

    /// Time for which the replica of a message with an idempotency key is kept, in milliseconds after the message has
    /// expired, if its owner never sends an end.
    pub(crate) fn replica_with_key_ms(self) -> Millis {
        self.replica_ms().max(self.idempotency_key_ms())
    }

    /// Time for which a message that another store has reported for its idempotency key is kept, in milliseconds after
    /// the report. The report does not say when the message was sent, but that was before it.
    pub(crate) fn reported_submission_ms(self) -> Millis {
        self.idempotency_key_ms()
    }
}
