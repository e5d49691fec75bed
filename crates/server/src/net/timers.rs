//! The deadlines of connections, the next one first.

use super::{ConnectionId, Millis};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers of connections. One that was set is never taken back: whoever handles it compares it with the connection's current
/// deadline.
#[derive(Default)]
pub(super) struct Timers(BinaryHeap<Reverse<(Millis, ConnectionId)>>);

impl Timers {
    /// Has the connection looked at when `deadline` comes; [`Millis::MAX`] stands for never.
    pub fn add(&mut self, id: ConnectionId, deadline: Millis) {
        if deadline != Millis::MAX {
            self.0.push(Reverse((deadline, id)));
        }
    }

    /// When the next timer is due; [`Millis::MAX`] if there is none.
    pub fn next_deadline(&self) -> Millis {
        self.0.peek().map_or(Millis::MAX, |Reverse((deadline, _))| *deadline)
    }

    /// Takes out the next timer if it is due.
    pub fn pop_expired(&mut self, now: Millis) -> Option<ConnectionId> {
        if self.next_deadline() > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, id))| id)
    }
}
