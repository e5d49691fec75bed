//! The digest of a simulation: two with the same digest have the same future.

use super::network::voter;
use super::nodes::Node;
use super::{Scheduled, Simulation};
use std::hash::{Hash, Hasher};
use stileroute_control_group_planted::{Fingerprinter, Message, Millis, NodeId};

impl Simulation {
    /// A hash of whatever decides what may follow, with all times counted from now.
    pub fn digest(&self) -> u64 {
        let mut hasher = Mixer::default();
        let now = self.now;
        let away = |at: Millis| at as i64 - now as i64;
        let last_write_id =
            |(i, node): (usize, &Node)| (voter(i), node.group.as_ref().map_or(0, |p| p.last_write_id()));
        let last_write_ids: Vec<(NodeId, u64)> = self.nodes.iter().enumerate().map(last_write_id).collect();
        for (i, node) in self.nodes.iter().enumerate() {
            (
                node.is_frozen,
                node.is_gone_for_good,
                node.was_replaced_while_isolated,
                &node.disk,
                node.observed.has_ever_lost_disk,
                node.group.is_some(),
            )
                .hash(&mut hasher);
            // Clocks tick in whole milliseconds: where between two of them.
            (now * node.speed() % 1_000).hash(&mut hasher);
            (node.observed.is_disk_lost, node.observed.awaits_view, node.outbox.len(), node.unsynced.len())
                .hash(&mut hasher);
            let epoch = node.group.as_ref().and_then(|p| p.view()).map_or(0, |w| w.epoch);
            // An older one is granted no more.
            node.observed.granted.range(epoch..).for_each(|granted| granted.hash(&mut hasher));
            if node.observed.awaits_view {
                node.observed.told_views.hash(&mut hasher);
            }
            for (due, _, record) in &node.unsynced {
                (away(*due).max(0), record).hash(&mut hasher);
            }
            let mut to = Fingerprinter {
                hasher: &mut hasher,
                now: node.local_time(now),
                last_write_ids: &last_write_ids,
            };
            node.outbox.iter().for_each(|effect| to.effect(voter(i), effect));
            // Not which incarnation this is: all are alike.
            if let Some(group) = &node.group {
                group.fingerprint(&mut to);
                away(node.due).max(0).hash(&mut hasher);
            }
        }
        for (at, direction) in self.in_flight.iter().enumerate() {
            let (from, to) = (at / self.nodes.len(), at % self.nodes.len());
            (direction.len(), self.held_until[at].saturating_sub(now)).hash(&mut hasher);
            for (due, message) in direction {
                away(*due).max(0).hash(&mut hasher);
                // An ack tells the time of the clock that it goes to.
                let clock = &self.nodes[if matches!(message, Message::HeartbeatAck(_)) { to } else { from }];
                let mut fingerprinter = Fingerprinter {
                    hasher: &mut hasher,
                    now: clock.local_time(now),
                    last_write_ids: &last_write_ids,
                };
                fingerprinter.message(voter(from), voter(to), message);
            }
        }
        for call in &self.calls {
            // How it came to its end does not count any more.
            let open = Some(call).filter(|c| c.done.is_none() && !c.is_given_up);
            (&call.state, open).hash(&mut hasher);
        }
        (&self.is_connected, &self.partition_counts, self.next_stage, &self.invariants.bodies)
            .hash(&mut hasher);
        (self.invariants.highest_version, &self.invariants.rejected).hash(&mut hasher);
        let lowest = self.nodes.iter().filter_map(|n| n.disk.view.as_ref()).map(|w| w.epoch).min();
        self.invariants.primaries.range(lowest.unwrap_or(0)..).for_each(|led| led.hash(&mut hasher));
        let mut scheduled: Vec<(i64, &Scheduled)> =
            self.scheduled.iter().map(|(at, due)| (away(*at), due)).collect();
        scheduled.sort();
        scheduled.hash(&mut hasher);
        let recovery = self.recovery.map(|recovery| (recovery.call, away(recovery.began_at)));
        (recovery, self.recovery_accepted_at.map(away), self.calls_ended_at.is_some()).hash(&mut hasher);
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
