//! Reports on the queue for operators. Most functions iterate over all entries, so they are meant for occasional
//! requests and not for each turn.

use super::token_holders::token_holder;
use super::Queue;
use crate::entry::Stage;
use crate::message::{End, Key, Millis, Node};
use crate::service_queue::{ExecutorShare, RetryCounts, ServiceQueue};

/// State of one service at this store.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// The service's name.
    pub name: String,
    /// Number of messages that wait for an executor, including retries.
    pub waiting: usize,
    /// Number of attempts in flight.
    pub in_flight: usize,
    /// Time by which the oldest waiting message is past its due time, in milliseconds.
    pub oldest_overdue_ms: Millis,
    /// Shares of the executors that are serving now.
    pub executor_shares: Vec<ExecutorShare>,
    /// Number of waiting retries.
    pub retries_waiting: usize,
    /// Counts of attempts started since the start of the process.
    pub retry_counts: RetryCounts,
    /// The rate limit, if the service has one.
    pub rate_limit: Option<RateLimitView>,
}

/// The rate limit of a service.
#[derive(Clone, Copy, Debug)]
pub struct RateLimitView {
    /// Requests per second, over all stores.
    pub rate_per_s: f64,
    /// The store that is the token holder of the service.
    pub token_holder: Node,
    /// Whether this store is acting as the token holder.
    pub is_held_here: bool,
}

/// Number of messages in each [`Stage`].
#[derive(Clone, Copy, Debug, Default)]
pub struct StageCounts {
    /// Messages in [`Stage::Persisting`].
    pub persisting: usize,
    /// Messages in [`Stage::Suspended`].
    pub suspended: usize,
    /// Messages in [`Stage::Waiting`].
    pub waiting: usize,
    /// Messages in [`Stage::InFlight`].
    pub in_flight: usize,
    /// Messages in [`Stage::Replica`].
    pub replica: usize,
    /// Messages in [`Stage::Ended`].
    pub ended: usize,
    /// Replicas held here that their owner's replica list, as known here, does not name. This store holds more than its
    /// share of them.
    pub surplus_replicas: usize,
    /// Ended messages that are stored on fewer other disks than the required number of replicas, as far as this store
    /// knows.
    pub under_replicated_ends: usize,
    /// Ended messages owned here whose callback has not been accepted.
    pub callbacks_pending: usize,
    /// Time by which the oldest live message owned here is past its due time, in milliseconds.
    pub oldest_overdue_ms: Millis,
}

/// State of one message, as known to this store.
#[derive(Clone, Debug)]
pub struct MessageView {
    /// Message identifier chosen by the sender.
    pub id: String,
    /// Tenant to which the message belongs.
    pub tenant: Option<String>,
    /// Owner of the message, which delivers it.
    pub owner: Node,
    /// Stores other than the owner that hold replicas of the message.
    pub replicas: Vec<Node>,
    /// Term of the ownership.
    pub term: u32,
    /// Processing stage of the message at this store.
    pub stage: Stage,
    /// Number of attempts that the executor reported as failed.
    pub failed_attempts: u32,
    /// Time until the message is due, in milliseconds; negative if that is past.
    pub due_in_ms: i64,
    /// Time until the message fails because it has waited too long, in milliseconds; negative if that is past, and `None`
    /// while its route is not known.
    pub expires_in_ms: Option<i64>,
    /// Time of day at which the message was accepted, in milliseconds since 1970; 0 if that is no longer kept.
    pub accepted_at_ms: u64,
    /// Revision of the configuration under which the message was accepted.
    pub config_revision: u64,
    /// Length of the body, in bytes.
    pub bytes: usize,
    /// How the message ended, or `None` while it is live.
    pub end: Option<End>,
    /// Whether the callback of the message has not been accepted yet.
    pub callback_pending: bool,
}

/// State of another store, as known to this one.
#[derive(Clone, Copy, Debug)]
pub struct PeerView {
    /// Node identifier of the other store.
    pub node: Node,
    /// Whether a connection to the other store is open.
    pub is_connected: bool,
    /// Whether the control group lists the other store as a member.
    pub is_member: bool,
    /// Whether the other store is draining: it accepts no more messages and will shut down.
    pub is_draining: bool,
}

impl Queue {
    /// Number of shards of idempotency keys that this store holds.
    pub fn held_shard_count(&self) -> usize {
        self.shards.held_count()
    }

    /// Whether this store has lost its disk and it is not known yet that the idempotency keys on it are stored on
    /// enough other disks.
    pub fn is_key_recovery_pending(&self) -> bool {
        self.shards.is_recovery_pending()
    }

    /// State of all services.
    pub fn service_views(&self, now: Millis) -> Vec<ServiceView> {
        self.service_queues.iter().map(|service_queue| self.service_view(now, service_queue)).collect()
    }

    fn service_view(&self, now: Millis, service_queue: &ServiceQueue) -> ServiceView {
        ServiceView {
            name: service_queue.name.clone(),
            waiting: service_queue.waiting_count(),
            in_flight: service_queue.in_flight.len(),
            oldest_overdue_ms: service_queue.oldest_overdue_ms(now),
            executor_shares: service_queue.executor_shares(),
            retries_waiting: service_queue.retries.len(),
            retry_counts: service_queue.retry_counts,
            rate_limit: self.rate_limit_view(service_queue),
        }
    }

    fn rate_limit_view(&self, service_queue: &ServiceQueue) -> Option<RateLimitView> {
        let config = self.config.as_ref()?;
        let rate_per_s = config.services[config.service(&service_queue.name)?].rate_limit_per_s;
        (rate_per_s > 0.0).then(|| RateLimitView {
            rate_per_s,
            token_holder: token_holder(&service_queue.name, self.settings.node, &self.peers),
            is_held_here: service_queue.token_bucket.as_ref().is_some_and(|bucket| bucket.is_holder()),
        })
    }

    /// Numbers of messages at this store, by stage.
    pub fn stage_counts(&self, now: Millis) -> StageCounts {
        let mut counts = StageCounts::default();
        for entry in self.entries.values() {
            match entry.stage {
                Stage::Persisting => counts.persisting += 1,
                Stage::Suspended => counts.suspended += 1,
                Stage::Waiting => counts.waiting += 1,
                Stage::InFlight => counts.in_flight += 1,
                Stage::Replica => {
                    counts.replica += 1;
                    counts.surplus_replicas += usize::from(!entry.replicas.contains(&self.settings.node));
                }
                Stage::Ended => {
                    counts.ended += 1;
                    counts.under_replicated_ends += usize::from(self.is_end_under_replicated(entry));
                }
            }
            let is_owned_here = entry.owner == self.settings.node;
            counts.callbacks_pending += usize::from(is_owned_here && entry.callback_pending);
            if is_owned_here && entry.end.is_none() {
                let overdue_ms = now.saturating_sub(entry.due_at);
                counts.oldest_overdue_ms = counts.oldest_overdue_ms.max(overdue_ms);
            }
        }
        counts
    }

    /// State of a message, or `None` if this store does not know it.
    pub fn message_view(&self, now: Millis, key: Key) -> Option<MessageView> {
        let entry = self.entries.get(&key)?;
        let from_now = |at: Millis| i64::try_from(at).unwrap_or(i64::MAX).saturating_sub(now as i64);
        Some(MessageView {
            id: entry.message.id.clone(),
            tenant: entry.message.tenant.clone(),
            owner: entry.owner,
            replicas: entry.replicas.clone(),
            term: entry.term,
            stage: entry.stage,
            failed_attempts: entry.failures.total(),
            due_in_ms: from_now(entry.due_at),
            expires_in_ms: (entry.expires_at < Millis::MAX).then(|| from_now(entry.expires_at)),
            accepted_at_ms: entry.message.accepted_at_ms,
            config_revision: entry.message.config_revision,
            bytes: entry.message.body.len(),
            end: entry.end.clone(),
            callback_pending: entry.callback_pending,
        })
    }

    /// Time by which a message is past its due time, in milliseconds; `None` unless this is its first attempt here.
    pub fn first_attempt_delay_ms(&self, now: Millis, key: Key) -> Option<Millis> {
        let entry = self.entries.get(&key)?;
        let is_first = entry.backoff_steps == 0 && entry.failures.total() == 0;
        is_first.then(|| now.saturating_sub(entry.due_at))
    }

    /// State of the other stores that this one knows.
    pub fn peer_views(&self) -> impl Iterator<Item = PeerView> + '_ {
        self.peers.iter().map(|(node, peer)| PeerView {
            node: *node,
            is_connected: peer.is_connected,
            is_member: peer.is_member,
            is_draining: peer.is_draining(),
        })
    }
}
