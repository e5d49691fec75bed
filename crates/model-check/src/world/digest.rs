//! The digest of a world: two worlds with the same one have the same future.

use super::connections::voter;
use super::nodes::Node;
use super::{Due, World};
use std::hash::{Hash, Hasher};
use stileroute_control_group_planted::{Fingerprinter, Message, Millis, NodeId};

impl World {
    /// Whatever decides what may follow, with all times counted from now.
    pub fn digest(&self) -> u64 {
        let mut hasher = Mixer::default();
        let now = self.now;
        let away = |at: Millis| at as i64 - now as i64;
        let last_write_id =
            |(i, node): (usize, &Node)| (voter(i), node.group.as_ref().map_or(0, |p| p.last_write_id()));
        let last_write_ids: Vec<(NodeId, u64)> = self.nodes.iter().enumerate().map(last_write_id).collect();
        for (i, node) in self.nodes.iter().enumerate() {
            (node.frozen, node.gone, node.presumed, &node.disk, node.wiped, node.group.is_some())
                .hash(&mut hasher);
            // Clocks tick in whole milliseconds: where between two of them.
            (now * node.speed() % 1_000).hash(&mut hasher);
            (node.seen.lost, node.seen.blank, node.outbox.len(), node.writing.len()).hash(&mut hasher);
            let epoch = node.group.as_ref().and_then(|p| p.view()).map_or(0, |w| w.epoch);
            // An older one is granted no more.
            node.seen.granted.range(epoch..).for_each(|granted| granted.hash(&mut hasher));
            if node.seen.blank {
                node.seen.told.hash(&mut hasher);
            }
            for (due, _, record) in &node.writing {
                (away(*due).max(0), record).hash(&mut hasher);
            }
            let mut to =
                Fingerprinter { hasher: &mut hasher, now: node.local(now), last_write_ids: &last_write_ids };
            node.outbox.iter().for_each(|effect| to.effect(voter(i), effect));
            // Not which life of it this is: all lives are alike.
            if let Some(group) = &node.group {
                group.fingerprint(&mut to);
                away(node.due).max(0).hash(&mut hasher);
            }
        }
        for (at, wire) in self.wires.iter().enumerate() {
            let (from, to) = (at / self.nodes.len(), at % self.nodes.len());
            (wire.len(), self.held[at].saturating_sub(now)).hash(&mut hasher);
            for (due, message) in wire {
                away(*due).max(0).hash(&mut hasher);
                // An ack tells the time of the clock that it goes to.
                let clock = &self.nodes[if matches!(message, Message::HeartbeatAck(_)) { to } else { from }];
                let mut fingerprinter = Fingerprinter {
                    hasher: &mut hasher,
                    now: clock.local(now),
                    last_write_ids: &last_write_ids,
                };
                fingerprinter.message(voter(from), voter(to), message);
            }
        }
        for call in &self.calls {
            // How it came to its end does not count any more.
            let open = Some(call).filter(|c| c.done.is_none() && !c.left);
            (&call.state, open).hash(&mut hasher);
        }
        (&self.joined, &self.cuts, self.stage, &self.invariants.known).hash(&mut hasher);
        (self.invariants.highest, &self.invariants.never).hash(&mut hasher);
        let lowest = self.nodes.iter().filter_map(|n| n.disk.view.as_ref()).map(|w| w.epoch).min();
        self.invariants.led.range(lowest.unwrap_or(0)..).for_each(|led| led.hash(&mut hasher));
        let mut agenda: Vec<(i64, &Due)> = self.agenda.iter().map(|(at, due)| (away(*at), due)).collect();
        agenda.sort();
        agenda.hash(&mut hasher);
        let calm = self.calm.map(|(call, since)| (call, away(since)));
        (calm, self.accepted.map(away), self.ended.is_some()).hash(&mut hasher);
        hasher.finish()
    }
}

/// A fast hash of 64 bits, the same on every run.
#[derive(Default)]
pub(crate) struct Mixer(u64);

impl Mixer {
    fn mix(&mut self, word: u64) {
        let wide = u128::from(self.0 ^ word ^ 0x9E37_79B9_7F4A_7C15) * 0xD6E8_FEB8_6659_FD93;
        self.0 = (wide as u64 ^ (wide >> 64) as u64).rotate_left(23).wrapping_add(word);
    }
}

impl Hasher for Mixer {
    fn finish(&self) -> u64 {
        let mut end = Mixer(self.0);
        end.mix(0x5851_F42D_4C95_7F2D);
        end.0
    }
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.mix(u64::from_le_bytes(word) ^ (chunk.len() as u64) << 56);
        }
    }
    fn write_u8(&mut self, v: u8) {
        self.mix(u64::from(v));
    }
    fn write_u32(&mut self, v: u32) {
        self.mix(u64::from(v));
    }
    fn write_u64(&mut self, v: u64) {
        self.mix(v);
    }
    fn write_i64(&mut self, v: i64) {
        self.mix(v as u64);
    }
    fn write_usize(&mut self, v: usize) {
        self.mix(v as u64);
    }
}
