//! A simulated machine: its clock, its disk and its process, and the faults that strike it.

use super::{voter, Event, ScheduledEvent, Simulation};
use std::collections::VecDeque;
use stileroute_control_group::*;

/// What may happen to a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process is killed; what it has written survives.
    Kill,
    /// The machine loses power: what is not synced is lost in part.
    PowerLoss,
    /// The machine and its disk are lost.
    DiskLoss,
    /// The process is stopped for a while, and continues.
    Freeze,
}
pub use Fault::*;

#[derive(Default)]
pub struct Node {
    /// The process, if it runs.
    pub group: Option<ControlGroup>,
    /// How often the process has been started.
    pub(super) incarnation: u64,
    /// What the node's clock shows at the start of the simulation.
    pub(super) clock_offset: Millis,
    disk: PersistedState,
    pub(super) unsynced: VecDeque<(u64, Record)>,
    /// The disk refuses records.
    pub is_disk_full: bool,
    pub(super) is_frozen: bool,
    /// Events that arrived while the node was frozen.
    deferred: Vec<ScheduledEvent>,
    pub(super) outbox: VecDeque<Effect>,
    pub(super) due: Millis,
    /// The value that was committed here last.
    pub committed: ControlState,
    pub is_ready_to_exit: bool,
}

impl Node {
    pub(super) fn runs(&self) -> bool {
        self.group.is_some() && !self.is_frozen
    }
}

// Each file of tests uses its part of it.
#[allow(dead_code)]
impl Simulation {
    /// Another control node, empty, and no seed after the first ones.
    pub fn add_node(&mut self) {
        let clock_offset = 1_000 + self.random_below(1_000_000);
        self.nodes.push(Node { clock_offset, ..Node::default() });
        self.start(self.nodes.len() - 1);
    }

    pub(super) fn start(&mut self, i: usize) {
        let seeds = (0..self.seeds).map(voter).collect();
        let random_seed = self.random_below(u64::MAX);
        let node = &mut self.nodes[i];
        let is_first_start = node.incarnation == 0;
        let settings =
            GroupSettings::new(voter(i), seeds, is_first_start, self.tolerated_losses, random_seed);
        let settings = GroupSettings { survives_domain_loss: self.survives_domain_loss, ..settings };
        node.group = Some(ControlGroup::new(settings, node.disk.clone(), self.now + node.clock_offset));
        node.incarnation += 1;
        self.note(format!("{i} starts"));
        (0..self.nodes.len()).for_each(|peer| self.connect(i, peer));
        self.carry_out(i);
    }

    /// A fault strikes; what it ends is back after so long.
    pub fn inject(&mut self, i: usize, fault: Fault, back_after: Option<Millis>) {
        self.note(format!("{fault:?} {i}"));
        if !self.is_up(i) && (fault == Freeze || !self.nodes[i].is_frozen) {
            return;
        }
        if fault == Freeze {
            self.nodes[i].is_frozen = true;
            return self.schedule(back_after.unwrap_or(1500), i, Event::Thaw);
        }
        self.last_arrival.retain(|(from, _), _| *from != i);
        let disk = self.disk_after(i, fault);
        let Node { clock_offset, incarnation, .. } = std::mem::take(&mut self.nodes[i]);
        self.nodes[i] = Node { clock_offset, incarnation, disk, ..Node::default() };
        let noticed_after = if fault == Kill { 1 } else { 3000 };
        (0..self.nodes.len()).for_each(|peer| self.disconnect(i, peer, noticed_after));
        if let Some(back_after) = back_after {
            self.schedule(back_after, i, Event::Start);
        }
    }

    /// What was being written is there in part, in its order; some losses of power take all of it.
    fn disk_after(&mut self, i: usize, fault: Fault) -> PersistedState {
        let unsynced = self.nodes[i].unsynced.len() as u64;
        let survives =
            self.random_below(unsynced + 1) * u64::from(fault == Kill || self.random_below(2) == 0);
        let node = &mut self.nodes[i];
        let mut disk = std::mem::take(&mut node.disk);
        let unsynced = std::mem::take(&mut node.unsynced);
        unsynced.into_iter().take(survives as usize).for_each(|(_, record)| disk.apply(record));
        if fault == DiskLoss {
            disk = PersistedState::default();
        }
        disk
    }

    /// Tells a node's process to end.
    pub fn shut_down(&mut self, i: usize) {
        self.note(format!("{i} is told to end"));
        self.with(i, |group, now| group.shut_down(now));
    }

    pub(super) fn handle_event(&mut self, (i, incarnation, event): ScheduledEvent) {
        let node = &mut self.nodes[i];
        match event {
            Event::Attempt { call, attempt, at } => return self.attempt(call, attempt, at),
            _ if incarnation != node.incarnation => {}
            Event::Start if node.group.is_none() => return self.start(i),
            Event::Thaw if node.is_frozen => {
                node.is_frozen = false;
                let deferred = std::mem::take(&mut node.deferred);
                self.note(format!("{i} thaws"));
                self.carry_out(i);
                return deferred.into_iter().for_each(|event| self.handle_event(event));
            }
            event if node.is_frozen => node.deferred.push((i, incarnation, event)),
            Event::Message { from, connection, message } => self.message_event(i, from, connection, message),
            Event::Synced => {
                let Some((ticket, record)) = node.unsynced.pop_front() else { return };
                let is_durable = !node.is_disk_full;
                if is_durable {
                    node.disk.apply(record);
                }
                self.with(i, |group, now| group.persisted(now, ticket, is_durable));
            }
            Event::Link { peer, is_up } => self.link_event(i, peer, is_up),
            _ => {}
        }
        self.with(i, |group, now| group.tick(now));
    }

    /// A message arrives, unless the connection has broken since it was sent.
    fn message_event(&mut self, i: usize, from: usize, connection: u64, message: Message) {
        if self.is_connection(from, i, connection) {
            self.with(i, |group, now| group.handle_message(now, voter(from), message));
        }
    }
}
