//! Counters of the queue, since the start of the process.

/// Events that the queue has counted, and the gauges of repair.
#[derive(Clone, Debug, Default)]
pub struct QueueMetrics {
    /// Messages accepted: all of their replicas are on disk.
    pub accepted: u64,
    /// Messages not accepted: draining, a stalled disk, too few peers for the replicas, or a full table.
    pub rejected: u64,
    /// Messages that may run although their sender got no acknowledgement.
    pub outcome_unknown: u64,
    /// Messages that ended completed.
    pub completed: u64,
    /// Messages that ended failed.
    pub failed: u64,
    /// Messages that failed because the configuration has no route for them any more.
    pub failed_without_route: u64,
    /// Messages that failed because they had waited too long.
    pub expired: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts started after one that did not complete.
    pub retries: u64,
    /// Callbacks started.
    pub callbacks_started: u64,
    /// Callbacks that their receiver has accepted.
    pub callbacks_delivered: u64,
    /// Messages taken over from another store.
    pub taken_over: u64,
    /// Messages handed over to another store.
    pub handed_over: u64,
    /// Replicas sent once more, by repair.
    pub replicas_resent: u64,
    /// Messages dropped because another store keeps the same one.
    pub withdrawn: u64,
    /// Submissions that were answered with the name of the first message with their idempotency key.
    pub deduplicated: u64,
    /// Submissions rejected because the shard of their key was not held in time.
    pub shard_timeouts: u64,
    /// Submissions rejected because the tenant had used up its quota.
    pub over_quota: u64,
    /// Submissions rejected because the holder of the tenant's quota did not answer in time.
    pub quota_timeouts: u64,
    /// Claims of shards that were made.
    pub shard_claims: u64,
    /// Claims of shards that were refused, or not granted by enough stores.
    pub shard_claims_failed: u64,
    /// Messages that may not have been accepted, and were dropped because another was accepted with their key.
    pub rivals_dropped: u64,
    /// Times that a message was not started because its end could not be kept until the disk has it.
    pub attempts_delayed_by_disk: u64,
    /// Writes that the disk refused.
    pub failed_writes: u64,
    /// Claims of former owners or token holders that were ignored.
    pub stale_claims: u64,
    /// Times that the token holders of all services were settled anew.
    pub token_holder_assignments: u64,
    /// Times that this store stopped starting attempts because others might have taken over.
    pub fence_activations: u64,
    /// Messages owned here that have too few replicas now.
    pub under_replicated: usize,
    /// How long the last period lasted in which some messages had too few replicas.
    pub last_under_replication_ms: u64,
    /// Messages that repair brought back to the full number of replicas.
    pub repaired: u64,
    /// Bytes sent by repair.
    pub repaired_bytes: u64,
    /// Ends sent to other stores because too few had them.
    pub ends_transferred: u64,
    /// Ends that other stores have transferred, recorded here for the first time.
    pub ends_received: u64,
    /// Messages removed from the table because the time for which their end can be looked up is over.
    pub ends_forgotten: u64,
    /// Comparisons of digests with other stores.
    pub digest_comparisons: u64,
    /// Ranges of messages whose digests differed.
    pub differing_ranges: u64,
}
