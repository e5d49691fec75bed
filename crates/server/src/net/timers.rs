//! Deadlines of connections, ordered by time.

use super::{ConnectionId, Millis};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Queue of connection timers. Timers are never cancelled: the caller that handles an expired timer compares it with
/// the connection's current deadline.
#[derive(Default)]
pub(super) struct Timers(BinaryHeap<Reverse<(Millis, ConnectionId)>>);

impl Timers {
    /// Schedules a timer for the connection at `deadline`; [`Millis::MAX`] means never.
    pub fn add(&mut self, id: ConnectionId, deadline: Millis) {
        if deadline != Millis::MAX {
            self.0.push(Reverse((deadline, id)));
        }
    }

    /// Returns the time at which the next timer expires, or [`Millis::MAX`] if there is none.
    pub fn next_deadline(&self) -> Millis {
        self.0.peek().map_or(Millis::MAX, |Reverse((deadline, _))| *deadline)
    }

    /// Removes the next timer if it has expired, and returns its connection.
    pub fn pop_expired(&mut self, now: Millis) -> Option<ConnectionId> {
        if self.next_deadline() > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, id))| id)
    }
}
