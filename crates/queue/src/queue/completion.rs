//! The end of a message: recorded, told to those that hold copies, and forgotten in time.

use super::{Queue, Stage};
use crate::message::{End, Key, Millis};
use crate::peer_message::EndNotice;
use crate::planted::PlantedFault;
use crate::record::Record;

/// Ends are told to the copies in batches, at the latest after so long.
pub(super) const TELL: Millis = 40;

impl Queue {
    /// The message has ended.
    pub(crate) fn finish(&mut self, now: Millis, key: Key, end: End) {
        self.unschedule(key);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let owed = entry.message.callback_url.is_some();
        (entry.stage, entry.end, entry.owed) = (Stage::Ended, Some(end.clone()), owed);
        entry.strip();
        self.expiring.remove(&(entry.expires, key));
        let mut told = entry.copies.clone();
        // Its run came to an end here, though another store owns it by now: that one calls back.
        told.extend(
            Some(entry.owner).filter(|owner| *owner != self.terms.me && !entry.copies.contains(owner)),
        );
        match end {
            End::Complete { .. } => self.figures.done += 1,
            End::Failed => self.figures.failed += 1,
        }
        self.forget_later(now, key);
        if !self.planted(PlantedFault::EndUnkept) {
            self.record(
                &Record::Ended {
                    key,
                    end: end.clone(),
                    callback_pending: owed,
                    ended_at_ms: self.wall_of(now),
                },
                false,
            );
        }
        for to in told {
            self.to(to).ends.push(EndNotice { key, end: end.clone(), callback_pending: owed });
        }
        self.ends_at.get_or_insert(now + TELL);
        self.handing.remove(&key);
        self.file(key);
        if owed {
            self.owe(key);
        }
    }

    /// Those who ask are told of it for so long.
    pub(crate) fn forget_later(&mut self, now: Millis, key: Key) {
        self.passing.again();
        self.forget.push_back((now + self.terms.status_ms + 60_000, key));
    }

    pub(crate) fn wall_of(&self, now: Millis) -> u64 {
        self.wall + now
    }

    /// A message that this store does not deliver has ended, or one that another has ended for it.
    pub(crate) fn close_copy(&mut self, now: Millis, key: Key, end: End, owed: bool) {
        self.unschedule(key);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        (entry.stage, entry.end, entry.owed) = (Stage::Ended, Some(end), owed);
        entry.strip();
        self.expiring.remove(&(entry.expires, key));
        entry.landing.take().map(|at| self.landing.remove(&(at, key)));
        let (ticket, own) = (entry.ticket.take(), entry.owner == self.terms.me);
        self.held.remove(&key);
        self.handing.remove(&key);
        self.file(key);
        self.forget_later(now, key);
        self.uncertain(ticket);
        if own && owed {
            self.owe(key);
        }
    }

    /// Tells all ends now.
    pub fn flush(&mut self) {
        self.tell_ends();
    }
}
