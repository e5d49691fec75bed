//! Expiry: a message fails once it has waited for as long as its route allows.
//!
//! Only a configuration says how long that is. A store that has just started has none, and one that is behind has a
//! configuration that is older than some messages; these messages do not expire before the configuration has arrived.

use super::timers::pop_due;
use super::Queue;
use crate::entry::{Entry, Stage};
use crate::message::{End, Key, Millis};
use crate::planted_fault::PlantedFault;
use stileroute_config::Route;

/// Margin added to the time that a message may wait, in milliseconds. It allows for clock differences of clients and
/// for their first attempts to submit the message: a message must not be reported as failed while its sender still
/// relies on it.
const EXPIRY_MARGIN_MS: Millis = 1500;

/// Time that a message may wait if the configuration has no route for it, in milliseconds.
const UNROUTED_MAX_WAIT_MS: Millis = 90_000;

impl Queue {
    /// Recomputes when a message has waited too long, by its present route. While that is not known, the message does
    /// not expire.
    pub(crate) fn update_expiry(&mut self, key: Key) {
        let max_wait_ms = self.entries.get(&key).and_then(|entry| self.max_wait_ms(entry));
        let Some(entry) = self.entries.get_mut(&key) else { return };
        self.expiring.remove(&(entry.expires_at, key));
        entry.expires_at = max_wait_ms.map_or(Millis::MAX, |max_wait_ms| {
            let expires_at = entry.accepted_at.saturating_add_unsigned(max_wait_ms + EXPIRY_MARGIN_MS);
            expires_at.max(0) as Millis
        });
        if entry.end.is_none() && max_wait_ms.is_some() {
            self.expiring.insert((entry.expires_at, key));
        }
    }

    /// Time that a message may wait, in milliseconds. `None` if only a configuration that has not arrived can say so:
    /// the store has none yet, or one that is older than the message.
    fn max_wait_ms(&self, entry: &Entry) -> Option<Millis> {
        if self.config.is_none() && self.planted(PlantedFault::UnconfiguredStoreExpires) {
            return Some(UNROUTED_MAX_WAIT_MS);
        }
        let config = self.config.as_ref()?;
        if entry.message.config_revision > config.revision {
            return None;
        }
        let max_wait_ms = self.route_of(entry).map_or(UNROUTED_MAX_WAIT_MS, |route| route.max_wait_ms);
        let is_cut = self.planted(PlantedFault::LongWaitsCut);
        Some(if is_cut { max_wait_ms.min(UNROUTED_MAX_WAIT_MS) } else { max_wait_ms })
    }

    /// The route of a message in the present configuration; `None` without a route or a configuration.
    pub(super) fn route_of(&self, entry: &Entry) -> Option<&Route> {
        let config = self.config.as_ref()?;
        let route = config.route(&entry.message.host, &entry.message.target)?;
        Some(&config.routes[route])
    }

    /// Ends the messages owned here that have waited too long, and schedules the removal of such replicas.
    pub(super) fn fail_expired(&mut self, now: Millis) {
        while let Some(key) = pop_due(&mut self.expiring, now) {
            let Some(entry) = self.entries.get(&key).filter(|entry| entry.end.is_none()) else { continue };
            if entry.owner == self.settings.node && entry.stage != Stage::Persisting {
                self.metrics.expired += 1;
                self.finish(now, key, End::Failed);
            } else {
                // The end of a replica has to come from its owner. The message is kept for it, but only for the
                // retention period.
                self.forget_after_expiry(now, key);
            }
        }
    }
}
