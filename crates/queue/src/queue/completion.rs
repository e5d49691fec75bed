//! The end of a message: recorded, told to those that hold copies, and forgotten in time.

use super::{Queue, Stage};
use crate::message::{End, Key, Millis};
use crate::peer_message::EndNotice;
use crate::planted_fault::PlantedFault;
use crate::record::Record;

/// Ends are told to the copies in batches, at the latest after so long.
pub(super) const TELL: Millis = 40;

impl Queue {
    /// The message has ended.
    pub(crate) fn finish(&mut self, now: Millis, key: Key, end: End) {
        self.unschedule(key);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let owed = entry.message.callback_url.is_some();
        (entry.stage, entry.end, entry.callback_pending) = (Stage::Ended, Some(end.clone()), owed);
        entry.discard_content();
        self.expiring.remove(&(entry.expires_at, key));
        let mut told = entry.replicas.clone();
        // Its run came to an end here, though another store owns it by now: that one calls back.
        told.extend(
            Some(entry.owner).filter(|owner| *owner != self.settings.node && !entry.replicas.contains(owner)),
        );
        match end {
            End::Complete { .. } => self.metrics.completed += 1,
            End::Failed => self.metrics.failed += 1,
        }
        self.schedule_forget(now, key);
        if !self.planted(PlantedFault::EndUnkept) {
            self.record(
                &Record::Ended {
                    key,
                    end: end.clone(),
                    callback_pending: owed,
                    ended_at_ms: self.wall_clock_ms(now),
                },
                false,
            );
        }
        for to in told {
            self.outbox(to).ends.push(EndNotice { key, end: end.clone(), callback_pending: owed });
        }
        self.flush_ends_at.get_or_insert(now + TELL);
        self.handovers.remove(&key);
        self.reindex(key);
        if owed {
            self.queue_callback(key);
        }
    }

    /// Those who ask are told of it for so long.
    pub(crate) fn schedule_forget(&mut self, now: Millis, key: Key) {
        self.end_replication.mark_incomplete();
        self.forgetting.push_back((now + self.settings.status_retention_ms + 60_000, key));
    }

    pub(crate) fn wall_clock_ms(&self, now: Millis) -> u64 {
        self.wall_clock_offset_ms + now
    }

    /// A message that this store does not deliver has ended, or one that another has ended for it.
    pub(crate) fn close_entry(&mut self, now: Millis, key: Key, end: End, owed: bool) {
        self.unschedule(key);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        (entry.stage, entry.end, entry.callback_pending) = (Stage::Ended, Some(end), owed);
        entry.discard_content();
        self.expiring.remove(&(entry.expires_at, key));
        entry.persist_check_at.take().map(|at| self.persisting.remove(&(at, key)));
        let (ticket, own) = (entry.ticket.take(), entry.owner == self.settings.node);
        self.unreleased.remove(&key);
        self.handovers.remove(&key);
        self.reindex(key);
        self.schedule_forget(now, key);
        self.report_unknown_outcome(ticket);
        if own && owed {
            self.queue_callback(key);
        }
    }

    /// Tells all ends now.
    pub fn flush_ends(&mut self) {
        self.send_ends();
    }
}
