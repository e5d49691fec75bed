//! Settings of a store at its start: its identity, the losses it must tolerate, and its limits.

use crate::message::Node;
use crate::repair_settings::RepairSettings;
use crate::retention::Retention;

/// Numbers of complete failure domains that may be lost at once without losing a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ToleratedLosses {
    /// Number of zones that may be lost at once. Replicas are placed in at least one more zone.
    pub zones: usize,
    /// Number of regions that may be lost at once. Replicas are placed in at least one more region.
    pub regions: usize,
}

/// How far a tenant's quota may be exceeded within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Fraction of a window's quota by which the quota may be exceeded; 0.1 is a tenth.
    pub overrun: f64,
    /// Number of messages by which the quota may be exceeded in addition.
    pub slack: u64,
}

/// Settings of a [`Queue`](crate::Queue), fixed for the lifetime of the process.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Node identifier of this store.
    pub node: Node,
    /// Zone that this store runs in, an index into `region_of_zone`.
    pub zone: usize,
    /// Random identifier of the disk, drawn when the disk was empty. A different one means that the former content is
    /// lost.
    pub disk_id: u64,
    /// The first message number of this incarnation, from [`first_number`](crate::first_number).
    pub first_number: u64,
    /// The first message numbers of earlier incarnations on the same disk.
    pub earlier_first_numbers: Vec<u64>,
    /// Number of replicas of a message in addition to the owner's own copy.
    pub replica_count: usize,
    /// The region of each zone.
    pub region_of_zone: Vec<usize>,
    /// Number of failure domains that may be lost at once.
    pub tolerated_losses: ToleratedLosses,
    /// Length of the window over which a service's rate limit is measured, in milliseconds.
    pub rate_window_ms: u64,
    /// Factor by which the requests in one window may exceed rate times window; 1.1 allows a tenth more.
    pub rate_tolerance: f64,
    /// How soon, and at which rate, lost replicas are recreated.
    pub repair: RepairSettings,
    /// How long ended messages are of use.
    pub retention: Retention,
    /// How far the quotas of tenants may be exceeded.
    pub quota: QuotaBounds,
    /// Whether the disk is empty although this is not the first start of the system, so that the disk's former content
    /// is lost.
    pub has_lost_disk: bool,
    /// Seed of the dispatchers' random choices.
    pub seed: u64,
}
