//! Settings of the failure detector: probe timing and seeds.

use crate::wire::Key;
use crate::{Time, SECOND};
use std::net::SocketAddrV4;

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of any other members, which are asked for the membership at the start; one that answers is enough.
    pub seeds: Vec<SocketAddrV4>,
    /// The fleet's key; without it, messages are not authenticated.
    pub key: Option<Key>,
    /// Interval at which members are probed, one in each interval. At most a tenth of it may pass between two ticks.
    pub probe_interval: Time,
    /// Time without an answer after which other members are asked to probe the member.
    pub probe_timeout: Time,
    /// Number of other members that are asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Minimum duration of a suspicion, as a number of probe intervals that is multiplied by the logarithm of the number of
    /// members.
    pub suspicion_multiplier: f64,
}

impl Settings {
    /// Returns the initial interval at which an instance that has just started asks seeds and requests the tables of other
    /// members.
    pub(super) fn startup_interval(&self) -> Time {
        self.probe_interval.min(SECOND)
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            seeds: Vec::new(),
            key: None,
            probe_interval: SECOND,
            probe_timeout: SECOND * 3 / 10,
            indirect_probes: 3,
            suspicion_multiplier: 3.0,
        }
    }
}
