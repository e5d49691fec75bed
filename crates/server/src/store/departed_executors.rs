//! Executors that have left. A heartbeat that was on its way when its executor left may reach control nodes that were all started
//! since, and know nothing of it: they would name the executor as one that serves, and the store must not send to it.

use crate::net::Millis;
use crate::protocol::{ExecutorState, Heartbeat};
use std::collections::HashMap;
use stileroute_registry::FINAL_SEQUENCE;

/// An executor that has left is remembered for so long, in ms: far longer than a heartbeat takes.
const RETENTION_MS: Millis = 300_000;
/// Executors that are remembered at the most.
const MAX_EXECUTORS: usize = 20_000;

/// The executors that have left, each with the time at which this store learned of it.
#[derive(Default)]
pub struct DepartedExecutors(HashMap<String, Millis>);

impl DepartedExecutors {
    /// Whether what a control node says of an executor counts. It does not where the executor has left before.
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
        if self.0.len() >= MAX_EXECUTORS {
            self.0.retain(|_, since| now < *since + RETENTION_MS);
        }
        if self.0.len() < MAX_EXECUTORS {
            self.0.entry(id.to_string()).or_insert(now);
        }
    }
}

#[cfg(test)]
mod tests;
