//! The event loop: what is due first, and how it is carried out.

use super::network::{index, is_heartbeat, voter};
use super::nodes::ProcessEnd;
use super::trace::{message_text, record_text};
use super::{Activity, Scheduled, Simulation};
use stileroute_control_group_planted::{ControlGroup, Effect, Message, Millis, RoleChange};

/// How long a message takes.
const MESSAGE_DELAY: Millis = 4;
/// How long a disk takes to sync a record.
const SYNC_DELAY: Millis = 3;
/// How soon a process that exits by itself is started again.
const RESTART_AFTER: Millis = 300;

/// What comes next, unless another choice is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The node's next effect.
    CarryOut(usize),
    Scheduled,
    /// The next message from one node to another.
    Deliver(usize, usize),
    /// The node's next record.
    SyncRecord(usize),
    Tick(usize),
}

impl Simulation {
    /// Does this with a node that runs; its effects are carried out by the steps that follow.
    pub(crate) fn with(&mut self, i: usize, what: impl FnOnce(&mut ControlGroup, Millis)) {
        let is_recovering = self.is_recovering();
        let node = &mut self.nodes[i];
        let now = node.local_time(self.now);
        let Some(group) = &mut node.group else { return };
        // At the end random waits are random again: else two candidates could collide for ever.
        if !is_recovering {
            group.set_random_state(self.random_state[i]);
        }
        what(group, now);
        group.tick(now);
        let effects = group.take_effects();
        let is_significant = effects.iter().any(is_significant);
        node.outbox.extend(effects);
        let next = group.next_tick(now);
        node.due = node.true_time(next);
        self.last_activity = Some(Activity { node: i, is_significant });
        self.check_node(i);
    }

    /// What is due first. A frozen node does nothing, and what comes for it waits.
    pub(crate) fn next(&self) -> Option<(Millis, Step)> {
        if let Some(i) = self.nodes.iter().position(|n| !n.is_frozen && !n.outbox.is_empty()) {
            return Some((self.now, Step::CarryOut(i)));
        }
        let mut first: Option<((Millis, u8, usize), Step)> = None;
        let mut offer = |due: Millis, rank: u8, position: usize, step: Step| {
            let key = (due.max(self.now), rank, position);
            if first.as_ref().is_none_or(|(other, _)| key < *other) {
                first = Some((key, step));
            }
        };
        if let Some((due, _)) = self.next_due() {
            offer(*due, 0, 0, Step::Scheduled);
        }
        for (at, direction) in self.in_flight.iter().enumerate() {
            let (from, to) = (at / self.nodes.len(), at % self.nodes.len());
            if let Some((due, _)) = direction.front().filter(|_| self.is_up(to)) {
                offer(*due, 1, at, Step::Deliver(from, to));
            }
        }
        for (i, node) in self.nodes.iter().enumerate().filter(|(i, _)| self.is_up(*i)) {
            if let Some((due, ..)) = node.unsynced.front() {
                offer(*due, 2, i, Step::SyncRecord(i));
            }
            offer(node.due, 3, i, Step::Tick(i));
        }
        first.map(|((at, ..), step)| (at, step))
    }

    /// What is scheduled first. What is for a frozen node waits.
    fn next_due(&self) -> Option<&(Millis, Scheduled)> {
        let can_happen = |due: &Scheduled| match due {
            Scheduled::Link { at, .. }
            | Scheduled::Ask { at, .. }
            | Scheduled::End(at)
            | Scheduled::ShutDown(at) => !self.nodes[*at].is_frozen,
            _ => true,
        };
        self.scheduled.iter().filter(|(_, due)| can_happen(due)).min()
    }

    /// Does the next thing that is due.
    pub fn step(&mut self) {
        let Some((at, step)) = self.next() else { return };
        self.now = at;
        self.last_activity = None;
        match step {
            Step::CarryOut(i) => {
                if let Some(effect) = self.nodes[i].outbox.pop_front() {
                    self.carry_out(i, effect);
                }
            }
            Step::Scheduled => {
                let Some(first) = self.next_due().cloned() else { return };
                // Only one of equal ones: two partitions that end at one moment are two.
                if let Some(at) = self.scheduled.iter().position(|due| *due == first) {
                    self.scheduled.swap_remove(at);
                }
                self.handle_scheduled(first.1);
            }
            Step::Deliver(from, to) => {
                let direction = self.direction(from, to);
                let Some((_, message)) = self.in_flight[direction].pop_front() else { return };
                if !is_heartbeat(&message) {
                    self.note(|| format!("node {to} gets from {from}: {}", message_text(&message)));
                }
                if let Message::ViewReply { view: Some(view) } = &message {
                    self.nodes[to].observed.told_views.insert(from, view.clone());
                }
                self.with(to, |group, now| group.handle_message(now, voter(from), message));
            }
            Step::SyncRecord(i) => self.synced(i, true),
            Step::Tick(i) => self.with(i, |_, _| ()),
        }
        self.check_recovery();
    }

    /// The disk has the next record, or refuses it.
    pub(crate) fn synced(&mut self, i: usize, is_durable: bool) {
        let node = &mut self.nodes[i];
        let Some((_, ticket, record)) = node.unsynced.pop_front() else { return };
        if is_durable {
            node.disk.apply(record);
        }
        self.with(i, |group, now| group.persisted(now, ticket, is_durable));
        self.last_activity = Some(Activity { node: i, is_significant: true });
    }

    fn carry_out(&mut self, i: usize, effect: Effect) {
        self.last_activity = Some(Activity { node: i, is_significant: is_significant(&effect) });
        match effect {
            Effect::Send { to, message } => {
                let to = index(to);
                self.check_message(i, &message);
                if self.is_connected[self.pair(i, to)] {
                    let direction = self.direction(i, to);
                    let last = self.in_flight[direction].back().map_or(0, |(due, _)| *due);
                    let due = (self.now + MESSAGE_DELAY).max(last).max(self.held_until[direction]);
                    self.in_flight[direction].push_back((due, message));
                }
            }
            Effect::Persist { ticket, record } => {
                self.note(|| format!("node {i} writes {}", record_text(&record)));
                let node = &mut self.nodes[i];
                let due = (self.now + SYNC_DELAY).max(node.unsynced.back().map_or(0, |(due, ..)| *due));
                node.unsynced.push_back((due, ticket, record));
            }
            Effect::Answer { ticket, verdict } => self.answered(i, ticket, verdict),
            Effect::ReadAnswer { .. } => {}
            Effect::Committed { serial } => {
                self.note(|| format!("node {i} has committed the value {serial}"))
            }
            Effect::RoleChanged { epoch, change } => {
                self.note(|| format!("node {i} {} by {epoch}", change.as_str()));
                if change == RoleChange::BecameCandidate {
                    self.check_candidate(i);
                }
            }
            Effect::ReadyToExit => {
                self.note(|| format!("node {i} may end"));
                self.schedule(1, Scheduled::End(i));
            }
        }
    }

    fn handle_scheduled(&mut self, due: Scheduled) {
        match due {
            Scheduled::Thaw(i) => {
                self.nodes[i].is_frozen = false;
                self.note(|| format!("node {i} continues"));
                self.last_activity = Some(Activity { node: i, is_significant: true });
                self.check_all_nodes();
            }
            Scheduled::End(i) => {
                self.note(|| format!("node {i} has ended"));
                let all = self.nodes[i].unsynced.len();
                self.end(i, all, ProcessEnd::Exit);
                if !self.nodes[i].is_gone_for_good {
                    self.schedule(RESTART_AFTER, Scheduled::Start(i));
                }
            }
            Scheduled::Start(i) => self.start(i),
            Scheduled::ShutDown(i) => {
                self.note(|| format!("node {i} is told to end"));
                self.with(i, |group, now| group.shut_down(now));
            }
            Scheduled::Heal(a, b) => {
                self.note(|| format!("the partition of {a} and {b} ends"));
                let pair = self.pair(a, b);
                self.partition_counts[pair] -= 1;
                self.connect_if_possible(a, b);
            }
            Scheduled::EndHold(from, to) => {
                self.note(|| format!("{to} hears {from} again"));
                self.connect_if_possible(from, to);
            }
            Scheduled::Link { at, peer, is_up } => {
                if self.is_connected[self.pair(at, peer)] == is_up {
                    self.with(at, |group, now| {
                        if is_up {
                            group.peer_connected(now, voter(peer));
                            group.add_learner(voter(peer));
                        } else {
                            group.peer_disconnected(now, voter(peer));
                        }
                    });
                }
            }
            Scheduled::Ask { at, call, attempt } => self.ask(at, call, attempt),
            Scheduled::NextAttempt { call, attempt, at } => self.attempt(call, attempt, at),
            Scheduled::ScriptStage => self.begin_stage(),
            Scheduled::LastCall => self.last_call(),
        }
    }
}

/// Whether an effect is more than a heartbeat or its acknowledgement.
fn is_significant(effect: &Effect) -> bool {
    !matches!(effect, Effect::Send { message, .. } if is_heartbeat(message))
}
