//! A node with its clock and its disk, and how its process starts and ends.

use super::network::voter;
use super::{Scheduled, Simulation};
use crate::invariants::Observed;
use std::collections::VecDeque;
use stileroute_control_group_planted::{ControlGroup, Effect, GroupSettings, Millis, PersistedState, Record};

/// One node: its process, if it runs, its clock and its disk.
#[derive(Clone, Default)]
pub(crate) struct Node {
    /// None: the process does not run.
    pub group: Option<ControlGroup>,
    /// How often the process was started.
    pub incarnation: u64,
    /// What its clock shows at the start of the simulation.
    pub clock_offset: Millis,
    /// What its clock gains on true time, in thousandths.
    pub drift_per_mille: i64,
    pub disk: PersistedState,
    /// Records on their way to the disk: when they are on it, their tickets, and what they are.
    pub unsynced: VecDeque<(Millis, u64, Record)>,
    pub is_frozen: bool,
    /// It does not come back: it was lost for good, or removed by plan.
    pub is_gone_for_good: bool,
    /// It was replaced while it was isolated.
    pub was_replaced_while_isolated: bool,
    pub outbox: VecDeque<Effect>,
    /// When it is to be called, in true time.
    pub due: Millis,
    pub observed: Observed,
}

impl Node {
    /// What its clock shows.
    pub fn local_time(&self, now: Millis) -> Millis {
        self.clock_offset + now * self.speed() / 1_000
    }
    /// The true time when its clock shows this.
    pub(super) fn true_time(&self, local: Millis) -> Millis {
        (local.saturating_sub(self.clock_offset) * 1_000).div_ceil(self.speed())
    }
    /// How many thousandths of a true millisecond's worth its clock shows in one: 1,000 without drift.
    pub(super) fn speed(&self) -> u64 {
        (1_000 + self.drift_per_mille) as u64
    }
}

/// How a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessEnd {
    /// The others notice it at once, and what was sent still arrives.
    Exit,
    /// The others notice it late.
    PowerLoss,
    /// As a loss of power, and the disk is lost with it.
    DiskLoss,
}

/// How soon the others notice that a process has ended.
const EXIT_NOTICED_AFTER: Millis = 1;
const POWER_LOSS_NOTICED_AFTER: Millis = 3_000;
/// How soon a client asks the next node when its connection broke.
const RETRY_AFTER: Millis = 30;

impl Simulation {
    pub(crate) fn start(&mut self, i: usize) {
        let bounds = self.bounds;
        let node = &mut self.nodes[i];
        // Write numbers of one incarnation don't follow those of another.
        let seed = (i as u64 + 1) * 1_000_000 + node.incarnation * 10_000;
        let seeds = (0..bounds.nodes).map(voter).collect();
        let mut settings = GroupSettings::new(
            voter(i),
            seeds,
            node.incarnation == 0 && i < bounds.nodes,
            bounds.tolerated_losses,
            seed,
        );
        settings.planted = bounds.planted;
        node.group = Some(ControlGroup::new(settings, node.disk.clone(), node.local_time(self.now)));
        node.incarnation += 1;
        node.observed.awaits_view = (node.incarnation > 1 || i >= bounds.nodes) && node.disk.view.is_none();
        self.note(|| format!("node {i} starts"));
        (0..self.nodes.len()).for_each(|peer| self.connect_if_possible(i, peer));
        self.with(i, |_, _| ());
    }

    /// The process ends. The first `synced` of the records that were on their way have reached the disk.
    pub(crate) fn end(&mut self, i: usize, synced: usize, end: ProcessEnd) {
        let node = &mut self.nodes[i];
        for (_, _, record) in std::mem::take(&mut node.unsynced).into_iter().take(synced) {
            node.disk.apply(record);
        }
        node.group = None;
        node.is_frozen = false;
        node.outbox.clear();
        node.observed.committed = None;
        node.observed.told_views.clear();
        if end == ProcessEnd::DiskLoss {
            node.disk = PersistedState::default();
        }
        if node.disk.view.is_none() {
            // Nothing was synced yet: that is no different from a disk that was lost.
            node.observed.has_ever_lost_disk = true;
            node.observed.is_disk_lost = true;
            node.observed.granted.clear();
        }
        self.scheduled.retain(|(_, due)| match due {
            Scheduled::Thaw(at) | Scheduled::End(at) | Scheduled::ShutDown(at) => *at != i,
            Scheduled::Ask { at, .. } | Scheduled::Link { at, .. } => *at != i,
            _ => true,
        });
        let is_exit = end == ProcessEnd::Exit;
        let noticed_after = if is_exit { EXIT_NOTICED_AFTER } else { POWER_LOSS_NOTICED_AFTER };
        for peer in (0..self.nodes.len()).filter(|peer| *peer != i) {
            self.disconnect(i, peer, noticed_after, Some(i).filter(|_| is_exit));
            self.scheduled.retain(|(_, due)| !matches!(due, Scheduled::Link { at, .. } if *at == i));
        }
        self.interrupt_calls(i, is_exit);
    }

    /// The clients' connections end with the process; after a loss of power they hear nothing more.
    fn interrupt_calls(&mut self, i: usize, is_noticed: bool) {
        for id in 0..self.calls.len() {
            let call = &mut self.calls[id];
            if call.at != i || call.has_ended() {
                continue;
            }
            call.is_uncertain = true;
            let attempt = call.attempt;
            if is_noticed {
                self.schedule(RETRY_AFTER, Scheduled::NextAttempt { call: id, attempt, at: None });
            }
        }
    }
}

/// A state of the group's random generator from which the next number below a limit is about this share of the limit.
pub(super) fn random_state(share: u64, of: u64) -> u64 {
    // Found by trying, once for each node: the next number as `ControlGroup` draws it, below 300.
    let wanted = share * 300 / of.max(1);
    let step = |random_state: u64| {
        random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407)
    };
    (0..).find(|random_state| (step(*random_state) >> 33) % 300 == wanted).unwrap_or(0)
}
