//! Removal of messages that need no more work, once their retention period is over.

use super::timers::pop_due;
use super::Queue;
use crate::message::{Key, Millis};
use crate::planted_fault::PlantedFault;
use crate::record::Record;

impl Queue {
    /// Keeps a message that has ended for as long as its end can be looked up, or refers to its idempotency key.
    pub(crate) fn schedule_forget(&mut self, now: Millis, key: Key) {
        self.end_replication.mark_incomplete();
        self.forget_after_end(now, key);
    }

    /// Schedules the removal of a message whose end became known here, or is still of use, at the time `now`. The end
    /// is the record of the message's idempotency key.
    pub(super) fn forget_after_end(&mut self, now: Millis, key: Key) {
        let retention = self.settings.retention;
        let retention_ms =
            if self.has_idempotency_key(key) { retention.end_with_key_ms() } else { retention.end_ms() };
        self.forget_at(now.saturating_add(retention_ms), key);
    }

    /// Schedules the removal of a replica whose message has expired at the time `now`. Until its end is known, the
    /// replica is the record of the message's idempotency key.
    pub(super) fn forget_after_expiry(&mut self, now: Millis, key: Key) {
        let retention = self.settings.retention;
        let retention_ms = if self.has_idempotency_key(key) {
            retention.replica_with_key_ms()
        } else {
            retention.replica_ms()
        };
        self.forget_at(now.saturating_add(retention_ms), key);
    }

    fn has_idempotency_key(&self, key: Key) -> bool {
        let is_counted = !self.planted(PlantedFault::EndsKeptByStatusAlone);
        is_counted && self.entries.get(&key).is_some_and(|entry| entry.digest.is_some())
    }

    /// Schedules a check of a message at the time `at`, in place of an earlier one. The check removes the message if
    /// nothing needs it any more.
    fn forget_at(&mut self, at: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let former = std::mem::replace(&mut entry.forget_at, at);
        self.forgetting.remove(&(former, key));
        self.forgetting.insert((at, key));
    }

    /// Checks the messages whose retention period is over.
    pub(super) fn forget_due(&mut self, now: Millis) {
        while let Some(key) = pop_due(&mut self.forgetting, now) {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.forget_at = Millis::MAX;
            }
            self.forget_or_keep(now, key);
        }
    }

    fn forget_or_keep(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        match (entry.owner == self.settings.node, &entry.end) {
            (true, Some(_)) if entry.callback_pending => self.forget_after_end(now, key),
            // The message was a replica when its removal was scheduled, and has been taken over since.
            (true, None) => {}
            // A configuration that has arrived since allows the message to wait longer.
            (false, None) if entry.expires_at > now => {}
            // The owner never sent an end. If the message stayed on disk, it would be read as live for ever.
            (false, None) => {
                self.record(&Record::Dropped { key }, false);
                self.remove(key);
            }
            _ => {
                self.metrics.ends_forgotten += 1;
                self.remove(key);
            }
        }
    }
}
