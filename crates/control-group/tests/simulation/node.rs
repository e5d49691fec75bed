//! A simulated machine: its clock, disk and process, and the faults injected into it.

use super::{voter, Event, ScheduledEvent, Simulation};
use std::collections::VecDeque;
use stileroute_control_group::*;

/// A fault of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process is killed; its written data survives.
    Kill,
    /// The machine loses power; data that is not synced is lost in part.
    PowerLoss,
    /// The machine and its disk are lost.
    DiskLoss,
    /// The process is stopped for a while and then continues.
    Freeze,
}
pub use Fault::*;

#[derive(Default)]
pub struct Node {
    /// The state machine of the process; `None` while the process is down.
    pub group: Option<ControlGroup>,
    /// The number of times the process has been started.
    pub(super) incarnation: u64,
    /// The reading of the node's clock at the start of the simulation.
    pub(super) clock_offset: Millis,
    disk: PersistedState,
    pub(super) unsynced: VecDeque<(u64, Record)>,
    /// Whether the disk refuses records.
    pub is_disk_full: bool,
    pub(super) is_frozen: bool,
    /// The events that arrived while the node was frozen.
    deferred: Vec<ScheduledEvent>,
    pub(super) outbox: VecDeque<Effect>,
    pub(super) due: Millis,
    /// The control state that the node committed last.
    pub committed: ControlState,
    pub is_ready_to_exit: bool,
}

impl Node {
    pub(super) fn runs(&self) -> bool {
        self.group.is_some() && !self.is_frozen
    }
}

// Each test binary uses only some of these methods.
#[allow(dead_code)]
impl Simulation {
    /// Adds a control node with an empty disk. After the initial nodes it is not a seed.
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
        self.log(format!("{i} starts"));
        (0..self.nodes.len()).for_each(|peer| self.connect(i, peer));
        self.carry_out(i);
    }

    /// Injects a fault into a node. After `back_after` milliseconds, if given, the node continues or starts again.
    pub fn inject(&mut self, i: usize, fault: Fault, back_after: Option<Millis>) {
        self.log(format!("{fault:?} {i}"));
        if !self.is_up(i) && (fault == Freeze || !self.nodes[i].is_frozen) {
            return;
        }
        if fault == Freeze {
            self.nodes[i].is_frozen = true;
            return self.schedule(back_after.unwrap_or(1500), i, Event::Unfreeze);
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

    /// The disk contents after a fault. A prefix of the unsynced records survives; some power losses lose all of them.
    fn disk_after(&mut self, i: usize, fault: Fault) -> PersistedState {
        let unsynced = self.nodes[i].unsynced.len() as u64;
        let surviving_records =
            self.random_below(unsynced + 1) * u64::from(fault == Kill || self.random_below(2) == 0);
        let node = &mut self.nodes[i];
        let mut disk = std::mem::take(&mut node.disk);
        let unsynced = std::mem::take(&mut node.unsynced);
        unsynced.into_iter().take(surviving_records as usize).for_each(|(_, record)| disk.apply(record));
        if fault == DiskLoss {
            disk = PersistedState::default();
        }
        disk
    }

    /// Begins a graceful shutdown of a node's process.
    pub fn shut_down(&mut self, i: usize) {
        self.log(format!("{i} shuts down"));
        self.call_node(i, |group, now| group.shut_down(now));
    }

    pub(super) fn handle_event(&mut self, (i, incarnation, event): ScheduledEvent) {
        let node = &mut self.nodes[i];
        match event {
            Event::Attempt { call, attempt, at } => return self.attempt(call, attempt, at),
            _ if incarnation != node.incarnation => {}
            Event::Start if node.group.is_none() => return self.start(i),
            Event::Unfreeze if node.is_frozen => {
                node.is_frozen = false;
                let deferred = std::mem::take(&mut node.deferred);
                self.log(format!("{i} continues"));
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
                self.call_node(i, |group, now| group.persisted(now, ticket, is_durable));
            }
            Event::Link { peer, is_up } => self.link_event(i, peer, is_up),
            _ => {}
        }
        self.call_node(i, |group, now| group.tick(now));
    }

    /// Delivers a message, unless the connection has broken since it was sent.
    fn message_event(&mut self, i: usize, from: usize, connection: u64, message: Message) {
        if self.is_connection(from, i, connection) {
            self.call_node(i, |group, now| group.handle_message(now, voter(from), message));
        }
    }
}
