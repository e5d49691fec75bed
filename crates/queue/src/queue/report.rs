//! What the queue tells operators of itself. It goes through all entries: for one who asks now and then, not for the loop.

use super::token_holders::token_holder;
use super::{Queue, Stage};
use crate::message::{End, Key, Millis, Node};
use crate::service_queue::RetryCounts;

#[derive(Clone, Debug)]
pub struct ServiceView {
    pub name: String,
    pub waiting: usize,
    pub in_flight: usize,
    /// By how much the first in the queue is past its due time.
    pub oldest_overdue_ms: Millis,
    /// Executor, its share, and requests that are out there.
    pub executor_shares: Vec<(String, f64, usize)>,
    /// Repeats that wait among these, and what went out so far.
    pub retries_waiting: usize,
    pub retry_counts: RetryCounts,
    /// Rate a second, who hands out the tokens, and whether that is this store.
    pub rate_limit: Option<(f64, Node, bool)>,
}

/// Messages by their stage.
#[derive(Clone, Copy, Debug, Default)]
pub struct StageCounts {
    pub persisting: usize,
    pub suspended: usize,
    pub waiting: usize,
    pub in_flight: usize,
    pub replica: usize,
    pub ended: usize,
    /// Ended ones of this store whose call-back has not been taken.
    pub callbacks_pending: usize,
    /// By how much the oldest one of this store that has not ended is past its due time.
    pub oldest_overdue_ms: Millis,
}

#[derive(Clone, Debug)]
pub struct MessageView {
    pub id: String,
    pub owner: Node,
    pub replicas: Vec<Node>,
    pub term: u32,
    pub stage: Stage,
    pub failed_attempts: u32,
    /// Negative where it is past.
    pub due_in_ms: i64,
    pub expires_in_ms: i64,
    /// Time of day; nought where that is not kept any more.
    pub accepted_at_ms: u64,
    pub config_revision: u64,
    pub bytes: usize,
    pub end: Option<End>,
    pub callback_pending: bool,
}

impl Queue {
    pub fn service_views(&self, now: Millis) -> Vec<ServiceView> {
        let view = |service_queue: &crate::service_queue::ServiceQueue| {
            let rate = self.config.as_ref().and_then(|config| {
                Some(config.services[config.service(&service_queue.name)?].rate_per_s)
                    .filter(|rate| *rate > 0.0)
            });
            ServiceView {
                name: service_queue.name.clone(),
                waiting: service_queue.waiting(),
                in_flight: service_queue.in_flight.len(),
                oldest_overdue_ms: service_queue
                    .ready
                    .iter()
                    .chain(&service_queue.retries)
                    .map(|turn| now.saturating_sub(turn.2))
                    .max()
                    .unwrap_or(0),
                executor_shares: service_queue.shares(),
                retries_waiting: service_queue.retries.len(),
                retry_counts: service_queue.retry_counts,
                rate_limit: rate.map(|rate| {
                    let here = service_queue.token_bucket.as_ref().is_some_and(|bucket| bucket.holds());
                    (rate, token_holder(&service_queue.name, self.settings.node, &self.peers), here)
                }),
            }
        };
        self.service_queues.iter().map(view).collect()
    }

    pub fn stage_counts(&self, now: Millis) -> StageCounts {
        let mut all = StageCounts::default();
        for entry in self.entries.values() {
            let own = entry.owner == self.settings.node;
            match entry.stage {
                Stage::Persisting => all.persisting += 1,
                Stage::Suspended => all.suspended += 1,
                Stage::Waiting => all.waiting += 1,
                Stage::InFlight => all.in_flight += 1,
                Stage::Replica => all.replica += 1,
                Stage::Ended => all.ended += 1,
            }
            all.callbacks_pending += usize::from(own && entry.callback_pending);
            if own && entry.end.is_none() {
                all.oldest_overdue_ms = all.oldest_overdue_ms.max(now.saturating_sub(entry.due_at));
            }
        }
        all
    }

    pub fn message_view(&self, now: Millis, key: Key) -> Option<MessageView> {
        let entry = self.entries.get(&key)?;
        let from_now = |at: Millis| i64::try_from(at).unwrap_or(i64::MAX).saturating_sub(now as i64);
        Some(MessageView {
            id: entry.message.id.clone(),
            owner: entry.owner,
            replicas: entry.replicas.clone(),
            term: entry.term,
            stage: entry.stage,
            failed_attempts: entry.failed_attempts,
            due_in_ms: from_now(entry.due_at),
            expires_in_ms: from_now(entry.expires_at),
            accepted_at_ms: entry.message.accepted_at_ms,
            config_revision: entry.message.config_revision,
            bytes: entry.message.body.len(),
            end: entry.end.clone(),
            callback_pending: entry.callback_pending,
        })
    }

    /// How long past its due time a message is that goes out for the first time here.
    pub fn first_attempt_delay_ms(&self, now: Millis, key: Key) -> Option<Millis> {
        let entry = self.entries.get(&key).filter(|e| e.backoff_steps == 0 && e.failed_attempts == 0)?;
        Some(now.saturating_sub(entry.due_at))
    }

    /// Other stores: whether connected, a member, about to end.
    pub fn peer_views(&self) -> impl Iterator<Item = (Node, bool, bool, bool)> + '_ {
        self.peers.iter().map(|(node, p)| (*node, p.is_connected, p.is_member, p.is_draining()))
    }
}
