//! Which choices a simulation offers, and what each does.

use crate::budget::Budget;
use crate::choice::Choice;
use crate::simulation::{
    is_heartbeat, Activity, FaultDurations, FaultKinds, Granularity, ProcessEnd, Scheduled, Simulation, Step,
    FAULT_END_GRID,
};
use stileroute_control_group_planted::{Millis, Record};

/// Less than the grace period after which others become candidates, about as long, and until another replica has been named.
const RESTART_SPANS: [Millis; 3] = [20, 1_100, 2_200];
const FREEZE_SPANS: [Millis; 3] = [300, 1_000, 2_200];
const PARTITION_SPANS: [Millis; 2] = [500, 1_600];
/// Longer than whatever the group waits for.
const LONG_SPANS: [Millis; 1] = [20_000];
/// After whatever else is due now; longer than the lease.
const MESSAGE_DELAYS: [Millis; 3] = [1, 150, 950];
const DISK_DELAYS: [Millis; 2] = [60, 1_150];
/// How soon a lost node is replaced, and how long after the new node came one that is replaced by plan is told to end.
const REPLACEMENT_DELAY: Millis = 300;
const PLANNED_SHUTDOWN_DELAY: Millis = 600;
/// How late both ends notice a partition.
const PARTITION_NOTICED_AFTER: Millis = 200;

impl Simulation {
    /// All choices that the budget allows here.
    ///
    /// A fault strikes a node where it has just done something: between two steps of one node, what others do does not depend on
    /// when the fault strikes.
    pub(crate) fn choices(&self, budget: Budget) -> Vec<Choice> {
        let mut choices = Vec::new();
        let is_fine = self.bounds.granularity == Granularity::Fine;
        let strikes = |activity: &Activity| (activity.is_significant || is_fine) && self.is_up(activity.node);
        if let Some(Activity { node, .. }) = self.last_activity.filter(strikes) {
            if budget.faults > 0 {
                self.add_faults(node, &mut choices);
            }
        }
        if budget.delays > 0 {
            self.add_delays(is_fine, &mut choices);
        }
        choices
    }

    fn add_faults(&self, node: usize, choices: &mut Vec<Choice>) {
        let at = &self.nodes[node];
        if at.is_gone_for_good {
            return;
        }
        let lost =
            self.nodes.iter().enumerate().filter(|(i, n)| *i != node && n.observed.is_disk_lost).count();
        let is_loss_tolerated = lost < self.bounds.tolerated_losses;
        if self.bounds.fault_kinds == FaultKinds::Growth {
            return self.add_growth(node, is_loss_tolerated, choices);
        }
        let of = |spans: &'static [Millis], one: usize| match self.bounds.fault_durations {
            FaultDurations::All => spans,
            FaultDurations::One => &spans[one..=one],
            FaultDurations::Long => &LONG_SPANS,
        };
        for back in of(&RESTART_SPANS, 1).iter().copied() {
            for synced in 0..=at.unsynced.len() {
                // A disk that has nothing yet counts as lost.
                let view = |(_, _, record): &(Millis, u64, Record)| matches!(record, Record::View(_));
                let has_view = at.disk.view.is_some() || at.unsynced.iter().take(synced).any(view);
                if is_loss_tolerated || has_view {
                    choices.push(Choice::Kill { node, synced, back });
                    choices.push(Choice::PowerLoss { node, synced, back });
                }
            }
            if is_loss_tolerated {
                choices.push(Choice::DiskLoss { node, back });
            }
        }
        choices.extend(of(&FREEZE_SPANS, 1).iter().map(|span| Choice::Freeze { node, span: *span }));
        for span in of(&PARTITION_SPANS, 1).iter().copied() {
            choices.push(Choice::Isolate { node, span });
            // Of three nodes one that hears one of the others hears the rest: with five that is not gone through.
            let others =
                (0..self.nodes.len()).filter(|b| *b != node && self.is_connected[self.pair(node, *b)]);
            for b in others {
                choices.push(Choice::Partition { a: node, b, span });
                choices.push(Choice::HoldOneWay { from: node, to: b, span });
            }
            choices.push(Choice::HoldIncoming { node, span });
            choices.push(Choice::HoldOutgoing { node, span });
        }
        choices.push(Choice::ShutDown { node });
        if self.bounds.fault_kinds == FaultKinds::FleetWide {
            self.add_halves(node, of(&PARTITION_SPANS, 1), choices);
            if is_loss_tolerated {
                self.add_blackouts(node, of(&RESTART_SPANS, 1), choices);
            }
        } else {
            self.add_growth(node, is_loss_tolerated, choices);
        }
    }

    /// The node and another against the rest. Of three nodes that is an isolated one.
    fn add_halves(&self, node: usize, spans: &[Millis], choices: &mut Vec<Choice>) {
        if self.nodes.len() > 3 {
            let others = (0..self.nodes.len()).filter(|other| *other != node);
            choices
                .extend(others.flat_map(|with| {
                    spans.iter().map(move |span| Choice::Split { node, with, span: *span })
                }));
        }
    }

    /// Where every other disk has a view: one that has nothing yet counts as lost.
    fn add_blackouts(&self, node: usize, spans: &[Millis], choices: &mut Vec<Choice>) {
        let has_view = |other: &usize| self.nodes[*other].disk.view.is_some();
        if !(0..self.nodes.len()).filter(|other| *other != node).all(|other| has_view(&other)) {
            return;
        }
        for back in spans.iter().copied() {
            choices.extend([false, true].map(|are_synced| Choice::Blackout { node, are_synced, back }));
        }
    }

    fn add_growth(&self, node: usize, is_loss_tolerated: bool, choices: &mut Vec<Choice>) {
        let spare = (self.bounds.nodes..self.nodes.len()).find(|i| self.nodes[*i].incarnation == 0);
        // Before the first configuration nobody joins, and none is replaced.
        if let Some(with) = spare.filter(|_| self.invariants.highest_version > 0) {
            choices.push(Choice::Join { node: with });
            if is_loss_tolerated {
                choices.push(Choice::Replace { node, with });
                choices.push(Choice::PlannedReplacement { node, with });
                choices.push(Choice::ReplaceWhileIsolated { node, with });
            }
        }
        let joined = (self.bounds.nodes..self.nodes.len()).filter(|i| self.nodes[*i].incarnation > 0);
        for with in joined {
            if is_loss_tolerated {
                choices.push(Choice::Lose { node });
            }
            if with != node && self.is_up(with) {
                choices.push(Choice::Split { node, with, span: PARTITION_SPANS[1] });
            }
        }
    }

    fn add_delays(&self, is_fine: bool, choices: &mut Vec<Choice>) {
        match self.next() {
            Some((_, Step::Deliver(from, to))) => {
                let first = self.in_flight[self.direction(from, to)].front();
                if first.is_some_and(|(_, message)| is_fine || !is_heartbeat(message)) {
                    choices.extend(MESSAGE_DELAYS.map(|by| Choice::DelayMessages { from, to, by }));
                    choices.push(Choice::ResetConnection { from, to });
                }
            }
            Some((_, Step::SyncRecord(node))) => {
                choices.extend(DISK_DELAYS.map(|by| Choice::DelayDisk { node, by }));
                // Where there is nothing on disk yet, one that refuses would be a disk that was lost.
                if self.nodes[node].disk.view.is_some() {
                    choices.push(Choice::RefuseRecord { node });
                }
            }
            _ => {}
        }
    }

    /// Takes a choice.
    pub fn take(&mut self, choice: Choice) {
        self.note(|| format!("== {choice:?}"));
        self.last_activity = None;
        match choice {
            Choice::Kill { node, synced, back } => {
                self.end(node, synced, ProcessEnd::Exit);
                self.schedule_rounded(back, Scheduled::Start(node));
            }
            Choice::PowerLoss { node, synced, back } => {
                self.end(node, synced, ProcessEnd::PowerLoss);
                self.schedule_rounded(back, Scheduled::Start(node));
            }
            Choice::DiskLoss { node, back } => {
                self.end(node, 0, ProcessEnd::DiskLoss);
                self.schedule_rounded(back, Scheduled::Start(node));
            }
            Choice::Freeze { node, span } => {
                self.nodes[node].is_frozen = true;
                self.schedule_rounded(span, Scheduled::Thaw(node));
            }
            Choice::Partition { a, b, span } => self.partition(a, b, span),
            Choice::Isolate { node, span } => self.isolate(node, span),
            Choice::HoldOneWay { from, to, span } => self.hold_messages(from, to, span),
            Choice::HoldIncoming { node, span } => {
                (0..self.nodes.len()).filter(|b| *b != node).for_each(|b| self.hold_messages(b, node, span));
            }
            Choice::HoldOutgoing { node, span } => {
                (0..self.nodes.len()).filter(|b| *b != node).for_each(|b| self.hold_messages(node, b, span));
            }
            Choice::Join { node } => self.start(node),
            Choice::Replace { node, with } => {
                self.lose(node);
                self.schedule_rounded(REPLACEMENT_DELAY, Scheduled::Start(with));
            }
            Choice::ReplaceWhileIsolated { node, with } => {
                self.isolate(node, PARTITION_SPANS[1]);
                self.nodes[node].was_replaced_while_isolated = true;
                self.nodes[node].observed.is_disk_lost = true;
                self.schedule_rounded(REPLACEMENT_DELAY, Scheduled::Start(with));
            }
            Choice::PlannedReplacement { node, with } => {
                self.start(with);
                self.nodes[node].is_gone_for_good = true;
                self.nodes[node].observed.is_disk_lost = true;
                self.schedule_rounded(PLANNED_SHUTDOWN_DELAY, Scheduled::ShutDown(node));
            }
            Choice::Lose { node } => self.lose(node),
            Choice::Split { node, with, span } => {
                for other in (0..self.nodes.len()).filter(|i| ![node, with].contains(i)) {
                    self.partition(node, other, span);
                    self.partition(with, other, span);
                }
            }
            Choice::Blackout { node, are_synced, back } => self.black_out(node, are_synced, back),
            Choice::ShutDown { node } => self.with(node, |group, now| group.shut_down(now)),
            Choice::DelayMessages { from, to, by } => {
                let (until, direction) =
                    (self.next().map_or(self.now, |(at, _)| at) + by, self.direction(from, to));
                self.in_flight[direction].iter_mut().for_each(|(due, _)| *due = (*due).max(until));
            }
            Choice::ResetConnection { from, to } => {
                self.disconnect(from, to, 1, None);
                // Opened again a moment later, when both have noticed.
                let pair = self.pair(from, to);
                self.partition_counts[pair] += 1;
                self.schedule(3, Scheduled::Heal(from, to));
            }
            Choice::DelayDisk { node, by } => {
                let until = self.next().map_or(self.now, |(at, _)| at) + by;
                self.nodes[node].unsynced.iter_mut().for_each(|(due, ..)| *due = (*due).max(until));
            }
            Choice::RefuseRecord { node } => {
                self.now = self.next().map_or(self.now, |(at, _)| at);
                self.synced(node, false);
            }
        }
    }

    fn black_out(&mut self, wiped: usize, are_synced: bool, back: Millis) {
        for node in 0..self.nodes.len() {
            let unsynced = self.nodes[node].unsynced.len();
            let synced = if are_synced { unsynced } else { 0 };
            let end = if node == wiped { ProcessEnd::DiskLoss } else { ProcessEnd::PowerLoss };
            if self.nodes[node].group.is_some() || node == wiped {
                self.end(node, if node == wiped { 0 } else { synced }, end);
                self.schedule_rounded(back, Scheduled::Start(node));
            }
        }
    }

    fn lose(&mut self, node: usize) {
        self.end(node, 0, ProcessEnd::PowerLoss);
        self.nodes[node].is_gone_for_good = true;
        self.nodes[node].observed.is_disk_lost = true;
    }

    fn isolate(&mut self, node: usize, span: Millis) {
        (0..self.nodes.len()).filter(|b| *b != node).for_each(|b| self.partition(node, b, span));
    }
    fn partition(&mut self, a: usize, b: usize, span: Millis) {
        let pair = self.pair(a, b);
        self.partition_counts[pair] += 1;
        self.disconnect(a, b, PARTITION_NOTICED_AFTER, None);
        self.schedule_rounded(span, Scheduled::Heal(a, b));
    }

    /// What is in flight, and what is sent from here on, arrives when the span is over, in its order: no connection breaks.
    fn hold_messages(&mut self, from: usize, to: usize, span: Millis) {
        let (until, direction) =
            ((self.now + span).next_multiple_of(FAULT_END_GRID), self.direction(from, to));
        self.held_until[direction] = self.held_until[direction].max(until);
        self.in_flight[direction].iter_mut().for_each(|(due, _)| *due = (*due).max(until));
        self.schedule_rounded(span, Scheduled::EndHold(from, to));
    }
}
