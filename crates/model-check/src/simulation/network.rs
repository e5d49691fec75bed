//! The connections between nodes: which are open, and what is in flight on them.

use super::{Scheduled, Simulation};
use stileroute_control_group_planted::{Message, Millis, NodeId};

/// Both ends notice a new connection after so long.
const CONNECT_NOTICED_AFTER: Millis = 2;

/// The address of this node.
pub(crate) fn voter(i: usize) -> NodeId {
    NodeId::new([10, 0, 0, i as u8 + 1].into(), 9000)
}

/// The node at this address.
pub(crate) fn index(voter: NodeId) -> usize {
    usize::from(voter.ip().octets()[3]) - 1
}

/// Whether the message is a heartbeat, or the answer to one.
pub(crate) fn is_heartbeat(message: &Message) -> bool {
    matches!(message, Message::Heartbeat(_) | Message::HeartbeatAck(_))
}

impl Simulation {
    /// The index of what two nodes share.
    pub(crate) fn pair(&self, a: usize, b: usize) -> usize {
        a.min(b) * self.nodes.len() + a.max(b)
    }

    /// The index of what goes from one node to another.
    pub(crate) fn direction(&self, from: usize, to: usize) -> usize {
        from * self.nodes.len() + to
    }

    /// Connects two nodes, unless a partition, a hold or a process that does not run keeps them apart.
    pub(crate) fn connect_if_possible(&mut self, a: usize, b: usize) {
        let pair = self.pair(a, b);
        let runs = |i: usize| self.nodes[i].group.is_some();
        let (there, back) = (self.direction(a, b), self.direction(b, a));
        let is_held = self.held_until[there].max(self.held_until[back]) > self.now;
        if a != b
            && runs(a)
            && runs(b)
            && !is_held
            && self.partition_counts[pair] == 0
            && !self.is_connected[pair]
        {
            self.is_connected[pair] = true;
            self.in_flight[there].clear();
            self.in_flight[back].clear();
            self.schedule_link(a, b, true, CONNECT_NOTICED_AFTER);
        }
    }

    fn schedule_link(&mut self, a: usize, b: usize, is_up: bool, noticed_after: Millis) {
        for (at, peer) in [(a, b), (b, a)] {
            self.scheduled.retain(
                |(_, due)| !matches!(due, Scheduled::Link { at: x, peer: y, .. } if (*x, *y) == (at, peer)),
            );
            self.schedule(noticed_after, Scheduled::Link { at, peer, is_up });
        }
    }

    /// Breaks the connection of two nodes. What `draining` has sent still arrives; the rest that is in flight is lost.
    pub(crate) fn disconnect(&mut self, a: usize, b: usize, noticed_after: Millis, draining: Option<usize>) {
        let pair = self.pair(a, b);
        if !std::mem::take(&mut self.is_connected[pair]) {
            return;
        }
        let mut last = 0;
        for (from, to) in [(a, b), (b, a)] {
            let direction = self.direction(from, to);
            if draining == Some(from) {
                last = self.in_flight[direction].back().map_or(0, |(due, _)| due.saturating_sub(self.now));
            } else {
                self.in_flight[direction].clear();
            }
        }
        self.schedule_link(a, b, false, noticed_after.max(last));
    }
}
