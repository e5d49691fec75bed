//! What is due at a given time, and the effects of a turn handed to the program.

use super::{Effect, PendingWrite, Queue, Stage, UPKEEP};
use crate::message::{End, Key, Millis};
use crate::record::Record;
use std::collections::BTreeSet;
use stileroute_dispatch::types::Time;

/// A turn that comes so much too late comes after a freeze.
const FROZEN: Millis = 500;

/// And by so much, after one in which others may have taken over what is here.
const MISSED: Millis = 1200;

impl Queue {
    /// What is due. Call it at the end of each turn, then carry out what `take` gives.
    pub fn tick(&mut self, now: Millis, fine: Time) {
        self.last_tick_at = now;
        let lapsed = self.session_may_have_lapsed;
        self.service_queues
            .iter_mut()
            .filter_map(|service_queue| service_queue.token_bucket.as_mut())
            .for_each(|b| b.paused = lapsed);
        let slept = now > self.last_upkeep_at + UPKEEP + FROZEN;
        let long = now > self.last_upkeep_at + UPKEEP + MISSED;
        self.update_fence(now, slept, long);
        if slept {
            // It has slept: others may have taken messages in its place, and it has not heard of that yet.
            self.ordering.peers_changed_at = now;
        }
        while let Some((at, key)) = self.delayed.first().copied().filter(|(at, _)| *at <= now) {
            self.delayed.remove(&(at, key));
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.delayed_until = None;
            }
            self.schedule(now, key);
        }
        while let Some((at, key)) = self.expiring.first().copied().filter(|(at, _)| *at <= now) {
            self.expiring.remove(&(at, key));
            let own =
                self.entries.get(&key).is_some_and(|e| e.owner == self.settings.node && e.end.is_none());
            if own && self.entries.get(&key).is_some_and(|e| e.stage != Stage::Persisting) {
                self.metrics.expired += 1;
                self.finish(now, key, End::Failed);
            } else if self.entries.get(&key).is_some_and(|e| e.end.is_none()) {
                // A copy whose owner has not told an end: kept until the owner is asked, at most so long.
                self.forgetting.push_back((now + self.settings.status_retention_ms, key));
            }
        }
        while let Some((at, key)) = self.forgetting.front().copied() {
            if at > now {
                break;
            }
            self.forgetting.pop_front();
            let Some(entry) = self.entries.get(&key) else { continue };
            match (entry.owner == self.settings.node, &entry.end) {
                // The call-back is owed yet.
                (true, Some(_)) if entry.callback_pending => {
                    self.forgetting.push_back((now + self.settings.status_retention_ms + 60_000, key));
                }
                // It was a copy when it was put here, and has been taken over.
                (true, None) => {}
                // Its owner never told an end. Left on the disk it would be read as live for ever.
                (false, None) => {
                    self.record(&Record::Dropped { key }, false);
                    self.remove(key);
                }
                _ => self.remove(key),
            }
        }
        if now >= self.last_upkeep_at + UPKEEP {
            self.last_upkeep_at = now;
            self.service_queues.iter_mut().for_each(|service_queue| service_queue.upkeep(fine));
            self.assign_token_holders(now);
            self.check_peers(now);
        }
        self.replace_overdue(now);
        self.repair(now);
        self.advance_groups(now);
        let calls = self.start_callbacks(now);
        self.start_attempts(now, fine);
        self.next_dispatch_at = self.next_dispatch_at.min(calls);
        if self.flush_ends_at.is_some_and(|at| at <= now) {
            self.flush_ends_at = None;
            self.send_ends();
        }
        self.send_gathered();
    }

    /// When `tick` is wanted next.
    pub fn next_deadline(&self) -> Millis {
        let first = |set: &BTreeSet<(Millis, Key)>| set.first().map_or(Millis::MAX, |(at, _)| *at);
        let times = [
            first(&self.delayed),
            first(&self.expiring),
            first(&self.persisting),
            self.next_repair_at(),
            self.ordering.next_check_at(),
            self.flush_ends_at.unwrap_or(Millis::MAX),
            self.last_upkeep_at + UPKEEP,
            self.next_dispatch_at,
        ];
        times.into_iter().min().unwrap_or(0)
    }

    pub(crate) fn record(&mut self, record: &Record, sync: bool) {
        if let Ok(bytes) = postcard::to_stdvec(record) {
            self.records.push(bytes);
            self.needs_sync |= sync;
        }
    }

    pub(crate) fn after_write(&mut self, wait: PendingWrite) {
        self.next_pending_writes.push(wait);
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.effects);
        if !self.records.is_empty() {
            let ticket = self.next_ticket;
            self.next_ticket += 1;
            let waits = std::mem::take(&mut self.next_pending_writes);
            if !waits.is_empty() {
                self.pending_writes.insert(ticket, waits);
                self.write_started_at.insert(ticket, self.last_tick_at);
            }
            let records = std::mem::take(&mut self.records);
            effects.push(Effect::Persist { ticket, records, sync: std::mem::take(&mut self.needs_sync) });
        }
        effects
    }
}
