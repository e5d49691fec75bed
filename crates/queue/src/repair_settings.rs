//! How fast lost replicas are recreated: the spans and rates that follow from the deployment's bounds.

use crate::message::Millis;

/// Longest time until the connection to a store that has become silent is given up: `PEER_TIMEOUT` in
/// `crates/server/src/keepalive.rs`.
const SILENCE_DETECTION_MS: Millis = 1600;

/// Time reserved for the upkeep that notices an absence, and for the confirmation of the last replica.
const UPKEEP_AND_CONFIRMATION_MS: Millis = 550;

/// Part of the remaining time for which an absent store may return before its replicas are recreated.
const RETURN_FRACTION: u64 = 3;

/// Lowest rate of repair, in bytes a second.
pub(crate) const MIN_BYTES_PER_SECOND: u64 = 1_000_000;

/// Highest rate of repair, in bytes a second, whatever the link allows. A store has half a processor.
const MAX_BYTES_PER_SECOND: u64 = 10_000_000;

/// The part of a link that the repair of messages may use, and again that of ends. The rest is left to deliveries and
/// heartbeats.
const LINK_FRACTION: f64 = 0.25;

/// Bytes a second that a link of 1 Mbit/s carries.
const BYTES_PER_SECOND_PER_MBPS: f64 = 125_000.0;

/// How soon, and at which rate, a store recreates lost replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairSettings {
    /// Time after which another store may be lost, in milliseconds: counted from the return of a store that was lost,
    /// or from the start of the empty store that replaces it.
    pub catch_up_ms: u64,
    /// Highest rate at which this store sends lost replicas, and again lost ends, in bytes a second.
    pub max_bytes_per_second: u64,
}

impl RepairSettings {
    /// The shortest `catch_up_ms` that a store can keep: a silent store is noticed and its messages are taken over, and
    /// the remaining time suffices to copy some of them.
    pub const MIN_CATCH_UP_MS: u64 = 4200;

    /// The settings of a store whose link carries `bandwidth_mbps` megabits a second.
    pub fn new(catch_up_ms: u64, bandwidth_mbps: f64) -> RepairSettings {
        let link_bytes_per_second = (bandwidth_mbps * BYTES_PER_SECOND_PER_MBPS * LINK_FRACTION) as u64;
        let max_bytes_per_second = link_bytes_per_second.clamp(MIN_BYTES_PER_SECOND, MAX_BYTES_PER_SECOND);
        RepairSettings { catch_up_ms, max_bytes_per_second }
    }

    /// How long after the loss of its connection a store is waited for before its replicas are recreated elsewhere. The
    /// loss of a silent store may be followed at once by the start of its replacement, so the whole repair has to fit
    /// into `catch_up_ms` after that loss.
    pub(crate) fn suspicion_delay_ms(self) -> Millis {
        self.time_after_detection_ms() / RETURN_FRACTION
    }

    /// Time in which the replicas that are missing are copied.
    pub(crate) fn copy_time_ms(self) -> Millis {
        self.time_after_detection_ms() - self.suspicion_delay_ms()
    }

    fn time_after_detection_ms(self) -> Millis {
        self.catch_up_ms.saturating_sub(SILENCE_DETECTION_MS + UPKEEP_AND_CONFIRMATION_MS)
    }
}
