//! The simulated connections: they keep the order of messages, can break, and can be partitioned.

use super::{voter, Event, Simulation};
use stileroute_control_group::Millis;

/// How soon both nodes notice that a connection is open, in milliseconds.
const CONNECT_NOTICED_AFTER: Millis = 2;

/// The key of a pair of nodes, the same in either order.
fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

// Each test binary uses only some of these methods.
#[allow(dead_code)]
impl Simulation {
    pub(super) fn connect(&mut self, a: usize, b: usize) {
        let runs = |i: usize| self.nodes[i].group.is_some();
        let is_free = !self.partitions.contains(&pair(a, b)) && !self.connections.contains_key(&pair(a, b));
        if a != b && runs(a) && runs(b) && is_free {
            self.connections.insert(pair(a, b), self.last_event_id);
            self.schedule_link(a, b, true, CONNECT_NOTICED_AFTER);
        }
    }

    pub(super) fn disconnect(&mut self, a: usize, b: usize, noticed_after: Millis) {
        if self.connections.remove(&pair(a, b)).is_some() {
            self.schedule_link(a, b, false, noticed_after);
        }
    }

    fn schedule_link(&mut self, a: usize, b: usize, is_up: bool, noticed_after: Millis) {
        self.schedule(noticed_after, a, Event::Link { peer: b, is_up });
        self.schedule(noticed_after, b, Event::Link { peer: a, is_up });
    }

    /// Reports to a node that a connection opened or broke, unless the opposite has happened since.
    pub(super) fn link_event(&mut self, i: usize, peer: usize, is_up: bool) {
        if is_up != self.connections.contains_key(&pair(i, peer)) {
            return;
        }
        self.call_node(i, |group, now| {
            if is_up {
                group.peer_connected(now, voter(peer));
                group.add_learner(voter(peer));
            } else {
                group.peer_disconnected(now, voter(peer));
            }
        });
    }

    /// The id of the open connection between two nodes, if there is one. A new connection gets a new id.
    pub(super) fn connection(&self, a: usize, b: usize) -> Option<u64> {
        self.connections.get(&pair(a, b)).copied()
    }

    /// Whether the connection with this id is still open between the two nodes.
    pub(super) fn is_connection(&self, a: usize, b: usize, connection: u64) -> bool {
        self.connection(a, b) == Some(connection)
    }

    /// Partitions two nodes from each other. They notice it after a delay.
    pub fn partition(&mut self, a: usize, b: usize) {
        self.log(format!("partition {a} {b}"));
        self.partitions.insert(pair(a, b));
        let noticed_after = 100 + self.random_below(2000);
        self.disconnect(a, b, noticed_after);
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        std::mem::take(&mut self.partitions).into_iter().for_each(|(a, b)| self.connect(a, b));
    }
}
