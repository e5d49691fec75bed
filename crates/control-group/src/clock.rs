//! Time on steady clocks, and the two periods whose order makes a lease safe.

/// Milliseconds on the node's own steady clock; clocks of two nodes are never compared.
pub type Millis = u64;

/// The most that a steady clock gains or loses against true time, in thousandths.
///
/// Clocks that are kept in step are slewed by half a thousandth; the rest is for virtual machines whose clock is stretched.
pub const MAX_CLOCK_DRIFT_PER_MILLE: u64 = 100;

/// How long a primary may act after it sent the heartbeat that a majority acknowledged, by its own clock.
///
/// The lease period of PacificA (Lin et al. 2008); leases as in Gray and Cheriton 1989.
pub const LEASE_PERIOD: Millis = 700;

/// How long a voter grants nothing to another candidate after it acknowledged a heartbeat, by its own clock.
///
/// The grace period of PacificA.
pub const GRACE_PERIOD: Millis = 900;

/// Whether the lease has run out by the slowest clock before the grace period has by the fastest.
///
/// `drift` is in thousandths. One millisecond of each period is for the rounding of the two clocks.
pub const fn lease_ends_first(lease: Millis, grace: Millis, drift: u64) -> bool {
    (lease + 1) * (1_000 + drift) < (grace - 1) * (1_000 - drift)
}
const _: () = assert!(lease_ends_first(LEASE_PERIOD, GRACE_PERIOD, MAX_CLOCK_DRIFT_PER_MILLE));
