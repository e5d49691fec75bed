//! What a store is configured with at its start: its identity, how many losses to survive, and the limits it keeps to.

use crate::message::Node;

/// How many whole failure domains may be lost at once without the loss of a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ToleratedLosses {
    /// Zones that may be lost at once: replicas lie in at least one more.
    pub zones: usize,
    /// Regions that may be lost at once: replicas lie in at least one more.
    pub regions: usize,
}

/// How far a tenant's quota may be exceeded within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
    /// The part of what the quota allows within a window by which it may be exceeded; 0.1 is a tenth.
    pub overrun: f64,
    /// Messages by which it may be exceeded besides.
    pub slack: u64,
}

/// Settings of a [`Queue`](crate::Queue), fixed for the life of the process.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// This store.
    pub node: Node,
    /// The zone that this store runs in, an index into `region_of_zone`.
    pub zone: usize,
    /// Random identifier of the disk, drawn when it was empty: another one means that the former content is lost.
    pub disk_id: u64,
    /// The first message number of this incarnation, from [`first_number`](crate::first_number).
    pub first_number: u64,
    /// The first message numbers of earlier incarnations on the same disk.
    pub earlier_first_numbers: Vec<u64>,
    /// How many replicas a message has beside the owner's own.
    pub replica_count: usize,
    /// The region of each zone.
    pub region_of_zone: Vec<usize>,
    /// Failure domains that may be lost at once.
    pub tolerated_losses: ToleratedLosses,
    /// Length of the window over which a service's rate limit is measured, in milliseconds.
    pub rate_window_ms: u64,
    /// By which factor the requests in one window may exceed rate times window; 1.1 allows a tenth more.
    pub rate_tolerance: f64,
    /// For how long the end of a message can be looked up, in milliseconds.
    pub status_retention_ms: u64,
    /// For how long an idempotency key stands for its first message, in milliseconds after that was sent.
    pub idempotency_window_ms: u64,
    /// How far the quotas of tenants may be exceeded.
    pub quota: QuotaBounds,
    /// The disk is empty, and the system does not start for the first time: what lay on it is lost.
    pub has_lost_disk: bool,
    /// Seed of the dispatchers' random choices.
    pub seed: u64,
}
