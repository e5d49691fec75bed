//! The connections between nodes: which are there, and what is under way on them.

use super::{Due, World};
use stileroute_control_group_planted::{Message, Millis, NodeId};

/// Both ends notice a new connection after so long.
const NOTICED: Millis = 2;

/// The address of this node.
pub(crate) fn voter(i: usize) -> NodeId {
    NodeId::new([10, 0, 0, i as u8 + 1].into(), 9000)
}

/// The node at this address.
pub(crate) fn index(voter: NodeId) -> usize {
    usize::from(voter.ip().octets()[3]) - 1
}

/// A heartbeat, or the answer to one.
pub(super) fn heartbeat(message: &Message) -> bool {
    matches!(message, Message::Heartbeat(_) | Message::HeartbeatAck(_))
}

impl World {
    pub(crate) fn way(&self, a: usize, b: usize) -> usize {
        a.min(b) * self.nodes.len() + a.max(b)
    }

    pub(crate) fn wire(&self, from: usize, to: usize) -> usize {
        from * self.nodes.len() + to
    }

    pub(crate) fn join(&mut self, a: usize, b: usize) {
        let way = self.way(a, b);
        let able = |i: usize| self.nodes[i].group.is_some();
        let (to, fro) = (self.wire(a, b), self.wire(b, a));
        let heard = self.held[to].max(self.held[fro]) <= self.now;
        if a != b && able(a) && able(b) && heard && self.cuts[way] == 0 && !self.joined[way] {
            self.joined[way] = true;
            self.wires[to].clear();
            self.wires[fro].clear();
            self.linked(a, b, true, NOTICED);
        }
    }

    fn linked(&mut self, a: usize, b: usize, up: bool, noticed: Millis) {
        for (at, peer) in [(a, b), (b, a)] {
            self.agenda.retain(
                |(_, due)| !matches!(due, Due::Link { at: x, peer: y, .. } if (*x, *y) == (at, peer)),
            );
            self.at(noticed, Due::Link { at, peer, up });
        }
    }

    /// What `drains` has sent still arrives.
    pub(crate) fn part(&mut self, a: usize, b: usize, noticed: Millis, drains: Option<usize>) {
        let way = self.way(a, b);
        if !std::mem::take(&mut self.joined[way]) {
            return;
        }
        let mut last = 0;
        for (from, to) in [(a, b), (b, a)] {
            let wire = self.wire(from, to);
            if drains == Some(from) {
                last = self.wires[wire].back().map_or(0, |(due, _)| self.since_now(*due));
            } else {
                self.wires[wire].clear();
            }
        }
        self.linked(a, b, false, noticed.max(last));
    }

    fn since_now(&self, due: Millis) -> Millis {
        due.saturating_sub(self.now)
    }
}
