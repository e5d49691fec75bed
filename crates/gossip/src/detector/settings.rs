//! How often and how patiently members are probed, and where the others are first looked for.

use crate::wire::Key;
use crate::{Time, SECOND};
use std::net::SocketAddrV4;

/// The settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of any of the others; one that answers is enough.
    pub seeds: Vec<SocketAddrV4>,
    /// The fleet's key; without one, messages are not authenticated.
    pub key: Option<Key>,
    /// One member is probed in each such interval. A tenth of it is the longest that may pass between two ticks.
    pub probe_interval: Time,
    /// After so long without an answer other members are asked to probe it.
    pub probe_timeout: Time,
    /// How many others are asked.
    pub indirect_probes: usize,
    /// A suspicion lasts so many probe intervals, times the logarithm of the number of members, at least.
    pub suspicion_multiplier: f64,
}

impl Settings {
    /// An instance that has just started looks for the others, and asks for all that they hold, so often at first.
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
