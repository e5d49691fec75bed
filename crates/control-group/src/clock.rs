//! Time on monotonic clocks, and the two periods whose order makes a lease safe.

/// Milliseconds on the node's own monotonic clock. Readings of two nodes' clocks are never compared.
pub type Millis = u64;

/// The largest drift of a monotonic clock against true time, in thousandths.
///
/// Synchronized clocks are slewed by at most half a thousandth; the rest allows for virtual machines whose clock is stretched.
pub const MAX_CLOCK_DRIFT_PER_MILLE: u64 = 100;

/// How long a primary may act after it sent a heartbeat that a majority acknowledged, by the primary's clock, in milliseconds.
///
/// This is the lease period of PacificA (Lin et al. 2008); leases are as in Gray and Cheriton 1989.
pub const LEASE_PERIOD: Millis = 700;

/// How long a voter grants no view to another candidate after it acknowledged a heartbeat, by the voter's clock, in
/// milliseconds.
///
/// This is the grace period of PacificA (Lin et al. 2008).
pub const GRACE_PERIOD: Millis = 900;

/// Whether a lease measured by the slowest clock expires before a grace period measured by the fastest clock.
///
/// `drift` is in thousandths. One millisecond of each period allows for the rounding of the two clocks.
pub const fn lease_ends_first(lease: Millis, grace: Millis, drift: u64) -> bool {
    (lease + 1) * (1_000 + drift) < (grace - 1) * (1_000 - drift)
}
const _: () = assert!(lease_ends_first(LEASE_PERIOD, GRACE_PERIOD, MAX_CLOCK_DRIFT_PER_MILLE));
