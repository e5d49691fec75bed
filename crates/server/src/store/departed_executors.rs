//! Remembers executors that have left. A heartbeat that was in flight when its executor left may reach control nodes that were all
//! started afterwards and do not know of the departure. They would list the executor as serving, but the store must not send to it.

use crate::net::Millis;
use crate::protocol::{ExecutorState, Heartbeat};
use std::collections::HashMap;
use stileroute_registry::FINAL_SEQUENCE;

/// Time, in ms, for which a departed executor is remembered: far longer than a heartbeat is in flight.
const DEPARTURE_RETENTION_MS: Millis = 300_000;
/// Maximum number of departed executors that are remembered.
const MAX_DEPARTED_EXECUTORS: usize = 20_000;

/// The departed executors by id, each with the time at which this store learned of its departure.
#[derive(Default)]
pub struct DepartedExecutors(HashMap<String, Millis>);

impl DepartedExecutors {
    /// Whether a heartbeat from a control node is to be applied; it is ignored if the executor has already left.
    pub fn admits(&mut self, now: Millis, heartbeat: &Heartbeat) -> bool {
        if heartbeat.state != ExecutorState::Offline {
            return !self.0.contains_key(&heartbeat.id);
        }
        if heartbeat.sequence == FINAL_SEQUENCE {
            self.remember(now, &heartbeat.id);
        }
        true
    }

    fn remember(&mut self, now: Millis, id: &str) {
        if self.0.len() >= MAX_DEPARTED_EXECUTORS {
            self.0.retain(|_, since| now < *since + DEPARTURE_RETENTION_MS);
        }
        if self.0.len() < MAX_DEPARTED_EXECUTORS {
            self.0.entry(id.to_string()).or_insert(now);
        }
    }
}

#[cfg(test)]
mod tests;
