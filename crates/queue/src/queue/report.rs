//! What the queue reports to operators. Most of it goes through all entries: for occasional questions, not for each turn.

use super::token_holders::token_holder;
use super::Queue;
use crate::entry::Stage;
use crate::message::{End, Key, Millis, Node};
use crate::service_queue::{ExecutorShare, RetryCounts, ServiceQueue};

/// One service as this store sees it.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// The service's name.
    pub name: String,
    /// Messages that wait for an executor, retries among them.
    pub waiting: usize,
    /// Attempts that have not ended.
    pub in_flight: usize,
    /// How far the oldest waiting message is past its due time, in milliseconds.
    pub oldest_overdue_ms: Millis,
    /// The executors that serve now.
    pub executor_shares: Vec<ExecutorShare>,
    /// Retries that wait.
    pub retries_waiting: usize,
    /// Attempts started since the start of the process.
    pub retry_counts: RetryCounts,
    /// The rate limit, if the service has one.
    pub rate_limit: Option<RateLimitView>,
}

/// The rate limit of a service.
#[derive(Clone, Copy, Debug)]
pub struct RateLimitView {
    /// Requests a second, over all stores.
    pub rate_per_s: f64,
    /// The store that should hand out the tokens.
    pub token_holder: Node,
    /// This store hands them out.
    pub is_held_here: bool,
}

/// How many messages are in each [`Stage`].
#[derive(Clone, Copy, Debug, Default)]
pub struct StageCounts {
    /// In [`Stage::Persisting`].
    pub persisting: usize,
    /// In [`Stage::Suspended`].
    pub suspended: usize,
    /// In [`Stage::Waiting`].
    pub waiting: usize,
    /// In [`Stage::InFlight`].
    pub in_flight: usize,
    /// In [`Stage::Replica`].
    pub replica: usize,
    /// In [`Stage::Ended`].
    pub ended: usize,
    /// Replicas that the list of their owner, as it is known here, does not name: this store holds more than its share.
    pub surplus_replicas: usize,
    /// Ended messages that, for all that this store knows, lie on fewer other disks than replicas are wanted.
    pub under_replicated_ends: usize,
    /// Ended messages owned here whose callback has not been accepted.
    pub callbacks_pending: usize,
    /// How far the oldest message owned here that has not ended is past its due time, in milliseconds.
    pub oldest_overdue_ms: Millis,
}

/// One message as this store knows it.
#[derive(Clone, Debug)]
pub struct MessageView {
    /// The identity that its sender gave it.
    pub id: String,
    /// The tenant whose message it is.
    pub tenant: Option<String>,
    /// The store that delivers it.
    pub owner: Node,
    /// Stores with replicas beside the owner.
    pub replicas: Vec<Node>,
    /// The term of the owner.
    pub term: u32,
    /// Where it stands at this store.
    pub stage: Stage,
    /// Attempts that the executor said had failed.
    pub failed_attempts: u32,
    /// Milliseconds until it is due; negative if that is past.
    pub due_in_ms: i64,
    /// Milliseconds until it fails for having waited too long; negative if that is past.
    pub expires_in_ms: i64,
    /// Time of day at which it was accepted, in milliseconds; 0 if that is not kept any more.
    pub accepted_at_ms: u64,
    /// Revision of the configuration under which it was accepted.
    pub config_revision: u64,
    /// Length of the body.
    pub bytes: usize,
    /// How it ended.
    pub end: Option<End>,
    /// Its callback has not been accepted.
    pub callback_pending: bool,
}

/// Another store as this one sees it.
#[derive(Clone, Copy, Debug)]
pub struct PeerView {
    /// The other store.
    pub node: Node,
    /// A connection is open.
    pub is_connected: bool,
    /// It is a member, as the control group says.
    pub is_member: bool,
    /// It accepts no more messages and is about to end.
    pub is_draining: bool,
}

impl Queue {
    /// How many shards of idempotency keys this store holds.
    pub fn held_shard_count(&self) -> usize {
        self.shards.held_count()
    }

    /// Whether this store has lost its disk, and the idempotency keys that lay there are not known to lie on enough others.
    pub fn is_key_recovery_pending(&self) -> bool {
        self.shards.is_recovery_pending()
    }

    /// All services.
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

    /// The messages here, by stage.
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

    /// All that this store knows of a message, or `None` if it knows nothing.
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
            expires_in_ms: from_now(entry.expires_at),
            accepted_at_ms: entry.message.accepted_at_ms,
            config_revision: entry.message.config_revision,
            bytes: entry.message.body.len(),
            end: entry.end.clone(),
            callback_pending: entry.callback_pending,
        })
    }

    /// How long past its due time a message is, in milliseconds; `None` unless this is its first attempt here.
    pub fn first_attempt_delay_ms(&self, now: Millis, key: Key) -> Option<Millis> {
        let entry = self.entries.get(&key)?;
        let is_first = entry.backoff_steps == 0 && entry.failures.total() == 0;
        is_first.then(|| now.saturating_sub(entry.due_at))
    }

    /// The other stores that this one knows.
    pub fn peer_views(&self) -> impl Iterator<Item = PeerView> + '_ {
        self.peers.iter().map(|(node, peer)| PeerView {
            node: *node,
            is_connected: peer.is_connected,
            is_member: peer.is_member,
            is_draining: peer.is_draining(),
        })
    }
}
