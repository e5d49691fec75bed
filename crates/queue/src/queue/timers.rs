//! Timers of the queue, and the hand-off of a turn's effects to the program.

use super::{Queue, UPKEEP_INTERVAL_MS};
use crate::effect::Effect;
use crate::message::{Key, Millis};
use crate::pending_writes::PendingWrite;
use crate::record::Record;
use std::collections::BTreeSet;
use stileroute_dispatch::types::Time;

/// Delay of a turn, in milliseconds, beyond which the process is assumed to have been paused.
const PROCESS_PAUSE_LIMIT_MS: Millis = 500;

/// Pause of the process, in milliseconds, after which other stores may have taken over messages owned here.
const TAKEOVER_POSSIBLE_AFTER_MS: Millis = 1200;

impl Queue {
    /// Runs everything that is due. Must be called at the end of each turn, before
    /// [`take_effects`](Queue::take_effects).
    ///
    /// `dispatch_time` is `now` in the dispatcher's unit of a tenth of a millisecond.
    pub fn tick(&mut self, now: Millis, dispatch_time: Time) {
        self.last_tick_at = now;
        self.pause_token_buckets();
        self.refresh_token_holders(now);
        self.detect_process_pause(now);
        self.start_delayed(now);
        self.fail_expired(now);
        self.forget_due(now);
        if now >= self.last_upkeep_at + UPKEEP_INTERVAL_MS {
            self.run_upkeep(now, dispatch_time);
        }
        self.replace_overdue(now);
        self.repair(now);
        self.advance_groups(now);
        if self.shards.are_used {
            self.check_claim(now);
            self.settle_submissions(now);
            self.settle_quotas(now);
        }
        let next_callback_at = self.start_callbacks(now);
        self.start_attempts(now, dispatch_time);
        self.next_dispatch_at = self.next_dispatch_at.min(next_callback_at);
        if self.flush_ends_at.is_some_and(|at| at <= now) {
            self.flush_ends_at = None;
            self.send_ends();
        }
        self.send_gathered();
    }

    fn pause_token_buckets(&mut self) {
        let is_paused = self.control_contact.session_may_have_lapsed;
        for service_queue in &mut self.service_queues {
            if let Some(bucket) = &mut service_queue.token_bucket {
                bucket.is_paused = is_paused;
            }
        }
        for quota in self.quotas.by_name.values_mut() {
            quota.bucket.is_paused = is_paused;
        }
    }

    /// Updates the fence after a pause of the process, because other stores may have taken over without its having
    /// received notice.
    fn detect_process_pause(&mut self, now: Millis) {
        let expected = self.last_upkeep_at + UPKEEP_INTERVAL_MS;
        let was_paused = now > expected + PROCESS_PAUSE_LIMIT_MS;
        let may_be_taken_over = now > expected + TAKEOVER_POSSIBLE_AFTER_MS;
        self.update_fence(now, was_paused, may_be_taken_over);
        if was_paused {
            self.ordering.peers_changed_at = now;
        }
    }

    fn start_delayed(&mut self, now: Millis) {
        while let Some(key) = pop_due(&mut self.delayed, now) {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.delayed_until = None;
            }
            self.schedule(now, key);
        }
    }

    fn run_upkeep(&mut self, now: Millis, dispatch_time: Time) {
        self.last_upkeep_at = now;
        for service_queue in &mut self.service_queues {
            service_queue.run_upkeep(dispatch_time);
        }
        self.check_peers(now);
        if self.shards.are_used {
            self.maintain_shards(now);
        }
        self.log_intake_change(now);
    }

    /// Time at which [`tick`](Queue::tick) has to be called next, if nothing else happens before.
    pub fn next_deadline(&self) -> Millis {
        let first = |index: &BTreeSet<(Millis, Key)>| index.first().map_or(Millis::MAX, |(at, _)| *at);
        let deadlines = [
            first(&self.delayed),
            first(&self.expiring),
            first(&self.persisting),
            self.next_repair_at(),
            self.ordering.next_check_at(),
            self.next_submission_deadline(),
            self.quotas.next_deadline(),
            self.next_claim_check_at(),
            self.flush_ends_at.unwrap_or(Millis::MAX),
            self.last_upkeep_at + UPKEEP_INTERVAL_MS,
            self.next_dispatch_at,
        ];
        deadlines.into_iter().min().unwrap_or(0)
    }

    /// Adds a record to the write of this turn. With `needs_sync` the write is synced at once.
    pub(crate) fn record(&mut self, record: &Record, needs_sync: bool) {
        self.pending_writes.add(record, needs_sync);
    }

    /// Registers an operation that runs once the records of this turn are on disk.
    pub(crate) fn after_write(&mut self, wait: PendingWrite) {
        self.pending_writes.wait(wait);
    }

    /// Takes the effects that the program has to carry out, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.effects);
        effects.extend(self.pending_writes.take(self.last_tick_at));
        effects
    }
}

/// Takes the first key of an index whose time has come.
pub(super) fn pop_due(index: &mut BTreeSet<(Millis, Key)>, now: Millis) -> Option<Key> {
    let (at, key) = index.first().copied()?;
    if at > now {
        return None;
    }
    index.pop_first();
    Some(key)
}
