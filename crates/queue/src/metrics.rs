//! Counters of the queue since the start of the process.

/// Counts of events in the queue, and gauges of the repair of replicas.
#[derive(Clone, Debug, Default)]
pub struct QueueMetrics {
    /// Messages accepted, with all of their replicas on disk.
    pub accepted: u64,
    /// Messages rejected because the store is draining, its disk is stalled, too few peers can take replicas, or the
    /// table is full.
    pub rejected: u64,
    /// Messages that may run although their sender got no acknowledgement.
    pub outcome_unknown: u64,
    /// Messages that an executor has completed.
    pub completed: u64,
    /// Messages that have failed permanently.
    pub failed: u64,
    /// Messages that failed because the configuration no longer has a route for them.
    pub failed_without_route: u64,
    /// Messages that failed because they had waited too long.
    pub expired: u64,
    /// Delivery attempts started.
    pub attempts: u64,
    /// Delivery attempts started after one that did not complete.
    pub retries: u64,
    /// Callback requests started.
    pub callbacks_started: u64,
    /// Callback requests that their receiver has accepted.
    pub callbacks_delivered: u64,
    /// Messages taken over from another store.
    pub taken_over: u64,
    /// Messages handed over to another store.
    pub handed_over: u64,
    /// Replicas sent again by repair.
    pub replicas_resent: u64,
    /// Messages dropped because another store keeps its copy of the same message.
    pub withdrawn: u64,
    /// Messages that were compared with decisions of edges about copies of a message.
    pub superseded_compared: u64,
    /// Submissions answered with the key of the first message that was submitted with the same idempotency key.
    pub deduplicated: u64,
    /// Submissions rejected because this store did not get hold of the shard of their idempotency key in time.
    pub shard_timeouts: u64,
    /// Submissions rejected because the tenant had used up its quota.
    pub over_quota: u64,
    /// Submissions rejected because the holder of the tenant's quota did not answer in time.
    pub quota_timeouts: u64,
    /// Claims of shards made by this store.
    pub shard_claims: u64,
    /// Claims of shards by this store that were refused, or not granted by enough stores.
    pub shard_claims_failed: u64,
    /// Messages dropped because they may not have been accepted and another message was accepted with the same
    /// idempotency key.
    pub rivals_dropped: u64,
    /// Times that a message was not started because the program had no capacity to keep its end until it is on disk.
    pub attempts_delayed_by_disk: u64,
    /// Writes that failed on disk.
    pub failed_writes: u64,
    /// Ignored claims of former owners of messages or former token holders.
    pub stale_claims: u64,
    /// Times that the token holders of all services were reassigned.
    pub token_holder_assignments: u64,
    /// Times that this store stopped starting attempts because others might have taken over its messages.
    pub fence_activations: u64,
    /// Messages owned by this store that have too few replicas now.
    pub under_replicated: usize,
    /// Duration of the last period in which some messages had too few replicas, in milliseconds.
    pub last_under_replication_ms: u64,
    /// Messages for which repair restored the full number of replicas.
    pub repaired: u64,
    /// Bytes of replicas sent by repair.
    pub repaired_bytes: u64,
    /// Ends sent to other stores because too few stores had them.
    pub ends_transferred: u64,
    /// Ends transferred by other stores that this store recorded for the first time.
    pub ends_received: u64,
    /// Messages removed from the table because their retention period is over.
    pub ends_forgotten: u64,
    /// Comparisons of message digests with other stores.
    pub digest_comparisons: u64,
    /// Message ranges whose digests differed from those of another store.
    pub differing_ranges: u64,
}
