//! A node with its clock and its disk, and how its process starts and ends.

use super::connections::voter;
use super::{Due, World};
use crate::invariants::Seen;
use std::collections::VecDeque;
use stileroute_control_group_planted::{ControlGroup, Effect, GroupSettings, Millis, PersistedState, Record};

/// One node: its process, if it runs, its clock and its disk.
#[derive(Clone, Default)]
pub(crate) struct Node {
    pub group: Option<ControlGroup>,
    pub life: u64,
    /// What its clock shows at the start of all, and what it gains from then on, in thousandths.
    pub clock: Millis,
    pub rate: i64,
    pub disk: PersistedState,
    pub writing: VecDeque<(Millis, u64, Record)>,
    pub wiped: bool,
    pub frozen: bool,
    /// It comes not back: lost for good, or taken away by plan.
    pub gone: bool,
    /// It was replaced while it was cut off.
    pub presumed: bool,
    pub outbox: VecDeque<Effect>,
    pub due: Millis,
    pub seen: Seen,
}

impl Node {
    /// What its clock shows.
    pub fn local(&self, now: Millis) -> Millis {
        self.clock + now * self.speed() / 1_000
    }
    /// When its clock shows that.
    pub(super) fn when(&self, local: Millis) -> Millis {
        (local.saturating_sub(self.clock) * 1_000).div_ceil(self.speed())
    }
    pub(super) fn speed(&self) -> u64 {
        (1_000 + self.rate) as u64
    }
}

impl World {
    pub(crate) fn start(&mut self, i: usize) {
        let bounds = self.bounds;
        let node = &mut self.nodes[i];
        // Serials of one life don't follow those of another.
        let seed = (i as u64 + 1) * 1_000_000 + node.life * 10_000;
        let seeds = (0..bounds.nodes).map(voter).collect();
        let mut settings = GroupSettings::new(
            voter(i),
            seeds,
            node.life == 0 && i < bounds.nodes,
            bounds.tolerated_losses,
            seed,
        );
        settings.planted = bounds.planted;
        node.group = Some(ControlGroup::new(settings, node.disk.clone(), node.local(self.now)));
        node.life += 1;
        node.seen.blank = (node.life > 1 || i >= bounds.nodes) && node.disk.view.is_none();
        self.note(|| format!("node {i} starts"));
        (0..self.nodes.len()).for_each(|peer| self.join(i, peer));
        self.with(i, |_, _| ());
    }

    /// The process is gone, with what it had not written. So many records of those under way have reached the disk.
    pub(crate) fn end(&mut self, i: usize, reached: usize, kill: bool, wipe: bool) {
        let node = &mut self.nodes[i];
        for (_, _, record) in std::mem::take(&mut node.writing).into_iter().take(reached) {
            node.disk.apply(record);
        }
        node.group = None;
        node.frozen = false;
        node.outbox.clear();
        node.seen.committed = None;
        node.seen.told.clear();
        if wipe {
            node.disk = PersistedState::default();
        }
        if node.disk.view.is_none() {
            // Nothing was synced yet: that is no other than a disk that was lost.
            (node.wiped, node.seen.lost) = (true, true);
            node.seen.granted.clear();
        }
        self.agenda.retain(|(_, due)| match due {
            Due::Thaw(at) | Due::End(at) | Due::Retire(at) => *at != i,
            Due::Ask { at, .. } | Due::Link { at, .. } => *at != i,
            _ => true,
        });
        for peer in (0..self.nodes.len()).filter(|peer| *peer != i) {
            self.part(i, peer, if kill { 1 } else { 3_000 }, Some(i).filter(|_| kill));
            self.agenda.retain(|(_, due)| !matches!(due, Due::Link { at, .. } if *at == i));
        }
        for call in 0..self.calls.len() {
            // The connection to the operator ends with the process, or it hears nothing more.
            let c = &mut self.calls[call];
            if c.at == i && c.done.is_none() && !c.left {
                c.unclear = true;
                let attempt = c.attempt;
                if kill {
                    self.at(30, Due::Next { call, attempt, at: None });
                }
            }
        }
    }
}

/// From here a draw comes to about this share of the most.
pub(super) fn random_state(share: u64, of: u64) -> u64 {
    // The next of the generator, shifted as `draw` does, modulo 300: found by trying, once for each node.
    let wanted = share * 300 / of.max(1);
    let step = |random_state: u64| {
        random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407)
    };
    (0..).find(|random_state| (step(*random_state) >> 33) % 300 == wanted).unwrap_or(0)
}
