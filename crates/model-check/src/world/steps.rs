//! The step loop: what is due first, and how it is carried out.

use super::connections::{heartbeat, index, voter};
use super::trace::{message_text, record_text};
use super::{Due, World};
use stileroute_control_group_planted::{ControlGroup, Effect, Message, Millis, RoleChange};

/// A message takes so long.
const HOP: Millis = 4;
/// A record is on disk so long after it was handed over.
const SYNC: Millis = 3;

/// What comes next, if nothing takes another choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Carry(usize),
    Due,
    Said(usize, usize),
    Synced(usize),
    Tick(usize),
}

impl World {
    /// Does this with one that runs; what it wants done is carried out by the steps that follow.
    pub(crate) fn with(&mut self, i: usize, what: impl FnOnce(&mut ControlGroup, Millis)) {
        let calm = self.calm.is_some();
        let node = &mut self.nodes[i];
        let now = node.local(self.now);
        let Some(group) = &mut node.group else { return };
        if !calm {
            group.set_random_state(self.random_state[i]);
        }
        what(group, now);
        group.tick(now);
        let weighty = {
            let effects = group.take_effects();
            let weighty =
                effects.iter().any(|e| !matches!(e, Effect::Send { message, .. } if heartbeat(message)));
            node.outbox.extend(effects);
            weighty
        };
        let next = group.next_tick(now);
        node.due = node.when(next);
        self.touched = Some((i, weighty));
        self.look_at(i);
    }

    /// What is due first. Whoever is frozen does nothing, and what comes for it waits.
    pub(crate) fn next(&self) -> Option<(Millis, Step)> {
        if let Some(i) = self.nodes.iter().position(|n| !n.frozen && !n.outbox.is_empty()) {
            return Some((self.now, Step::Carry(i)));
        }
        let mut first: Option<((Millis, u8, usize), Step)> = None;
        let mut offer = |due: Millis, rank: u8, place: usize, step: Step| {
            let key = (due.max(self.now), rank, place);
            if first.as_ref().is_none_or(|(other, _)| key < *other) {
                first = Some((key, step));
            }
        };
        if let Some((due, _)) = self.next_due() {
            offer(*due, 0, 0, Step::Due);
        }
        for (at, wire) in self.wires.iter().enumerate() {
            let (from, to) = (at / self.nodes.len(), at % self.nodes.len());
            if let Some((due, _)) = wire.front().filter(|_| self.up(to)) {
                offer(*due, 1, at, Step::Said(from, to));
            }
        }
        for (i, node) in self.nodes.iter().enumerate().filter(|(i, _)| self.up(*i)) {
            if let Some((due, ..)) = node.writing.front() {
                offer(*due, 2, i, Step::Synced(i));
            }
            offer(node.due, 3, i, Step::Tick(i));
        }
        first.map(|((at, ..), step)| (at, step))
    }

    fn next_due(&self) -> Option<&(Millis, Due)> {
        let open = |due: &Due| match due {
            Due::Link { at, .. } | Due::Ask { at, .. } | Due::End(at) | Due::Retire(at) => {
                !self.nodes[*at].frozen
            }
            _ => true,
        };
        self.agenda.iter().filter(|(_, due)| open(due)).min()
    }

    /// The next thing that is due.
    pub fn step(&mut self) {
        let Some((at, step)) = self.next() else { return };
        self.now = at;
        self.touched = None;
        match step {
            Step::Carry(i) => {
                if let Some(effect) = self.nodes[i].outbox.pop_front() {
                    self.carry(i, effect);
                }
            }
            Step::Due => {
                let Some(first) = self.next_due().cloned() else { return };
                // One of them: two cuts that end at one moment are two.
                if let Some(at) = self.agenda.iter().position(|due| *due == first) {
                    self.agenda.swap_remove(at);
                }
                self.happen(first.1);
            }
            Step::Said(from, to) => {
                let wire = self.wire(from, to);
                let Some((_, message)) = self.wires[wire].pop_front() else { return };
                if !heartbeat(&message) {
                    self.note(|| format!("node {to} hears from {from}: {}", message_text(&message)));
                }
                if let Message::ViewReply { view: Some(view) } = &message {
                    self.nodes[to].seen.told.insert(from, view.clone());
                }
                self.with(to, |group, now| group.handle_message(now, voter(from), message));
            }
            Step::Synced(i) => self.synced(i, true),
            Step::Tick(i) => self.with(i, |_, _| ()),
        }
        self.calm_down();
    }

    pub(crate) fn synced(&mut self, i: usize, ok: bool) {
        let node = &mut self.nodes[i];
        let Some((_, ticket, record)) = node.writing.pop_front() else { return };
        if ok {
            node.disk.apply(record);
        }
        self.with(i, |group, now| group.persisted(now, ticket, ok));
        self.touched = Some((i, true));
    }

    fn carry(&mut self, i: usize, effect: Effect) {
        self.touched = Some((i, !matches!(&effect, Effect::Send { message, .. } if heartbeat(message))));
        match effect {
            Effect::Send { to, message } => {
                let to = index(to);
                self.look_at_message(i, &message);
                if self.joined[self.way(i, to)] {
                    let wire = self.wire(i, to);
                    let last = self.wires[wire].back().map_or(0, |(due, _)| *due);
                    let due = (self.now + HOP).max(last).max(self.held[wire]);
                    self.wires[wire].push_back((due, message));
                }
            }
            Effect::Persist { ticket, record } => {
                self.note(|| format!("node {i} writes {}", record_text(&record)));
                let node = &mut self.nodes[i];
                let due = (self.now + SYNC).max(node.writing.back().map_or(0, |(due, ..)| *due));
                node.writing.push_back((due, ticket, record));
            }
            Effect::Answer { ticket, verdict } => self.answered(i, ticket, verdict),
            Effect::ReadAnswer { .. } => {}
            Effect::Committed { serial } => {
                self.note(|| format!("node {i} has the value {serial} committed"))
            }
            Effect::RoleChanged { epoch, change } => {
                self.note(|| format!("node {i} {} by {epoch}", change.as_str()));
                if change == RoleChange::BecameCandidate {
                    self.look_at_candidate(i);
                }
            }
            Effect::ReadyToExit => {
                self.note(|| format!("node {i} may end"));
                self.at(1, Due::End(i));
            }
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Thaw(i) => {
                self.nodes[i].frozen = false;
                self.note(|| format!("node {i} wakes"));
                self.touched = Some((i, true));
                self.look_around();
            }
            Due::End(i) => {
                self.note(|| format!("node {i} has ended"));
                let all = self.nodes[i].writing.len();
                self.end(i, all, true, false);
                if !self.nodes[i].gone {
                    self.at(300, Due::Start(i));
                }
            }
            Due::Start(i) => self.start(i),
            Due::Retire(i) => {
                self.note(|| format!("node {i} is told to end"));
                self.with(i, |group, now| group.shut_down(now));
            }
            Due::Heal(a, b) => {
                self.note(|| format!("{a} and {b} meet again"));
                let way = self.way(a, b);
                self.cuts[way] -= 1;
                self.join(a, b);
            }
            Due::Hears(from, to) => {
                self.note(|| format!("{to} hears {from} again"));
                self.join(from, to);
            }
            Due::Link { at, peer, up } => {
                if self.joined[self.way(at, peer)] == up {
                    self.with(at, |group, now| {
                        if up {
                            group.peer_connected(now, voter(peer));
                            group.add_learner(voter(peer));
                        } else {
                            group.peer_disconnected(now, voter(peer));
                        }
                    });
                }
            }
            Due::Ask { at, call, attempt } => self.ask(at, call, attempt),
            Due::Next { call, attempt, at } => self.attempt(call, attempt, at),
            Due::Stage => self.begin_stage(),
            Due::Last => self.last_call(),
        }
    }
}
