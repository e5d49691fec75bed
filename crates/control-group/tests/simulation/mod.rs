//! A simulation of a control group: clocks that differ, connections that keep the order of messages, disks that keep what was
//! synced, machines that fail, freeze and come back, and clients. The seed determines the whole run. The invariants are checked
//! at every answer, and every few milliseconds by a query of all nodes.

mod client;
mod network;
mod node;

pub use client::Call;
pub use node::{Fault, Fault::*, Node};

use std::collections::{BTreeMap, BTreeSet};
use stileroute_control_group::*;

/// How often all nodes are queried, in milliseconds.
const CHECK_INTERVAL: Millis = 10;
/// How long a node stays frozen or down after an armed fault, in milliseconds.
const FREEZE_SPAN: Millis = 1500;
const RESTART_AFTER: Millis = 300;
/// The number of trace lines that a failure prints.
const TRACE_LINES: usize = 80;

enum Event {
    Message {
        from: usize,
        connection: u64,
        message: Message,
    },
    Synced,
    Link {
        peer: usize,
        is_up: bool,
    },
    Start,
    Unfreeze,
    /// The next attempt of a call, unless the current attempt was answered.
    Attempt {
        call: usize,
        attempt: u64,
        at: Option<usize>,
    },
}

/// The node, the incarnation of its process that the event is for, and the event.
type ScheduledEvent = (usize, u64, Event);

#[derive(Default)]
pub struct Simulation {
    survives_domain_loss: bool,
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub calls: Vec<Call>,
    /// The number of effects carried out so far.
    pub effects: usize,
    /// The number of an effect, and the fault to inject into the node that carries it out.
    pub armed_fault: Option<(usize, Fault)>,
    /// All messages sent, including lost ones.
    pub sent: Vec<Message>,
    pub trace: Vec<String>,
    /// The maximum delay of a disk write and of a message, in milliseconds.
    pub disk_delay: Millis,
    pub message_delay: Millis,
    seeds: usize,
    tolerated_losses: usize,
    queue: BTreeMap<(Millis, u64), ScheduledEvent>,
    last_event_id: u64,
    random_state: u64,
    connections: BTreeMap<(usize, usize), u64>,
    partitions: BTreeSet<(usize, usize)>,
    /// When the last message arrives in each direction of a connection, and (for a node paired with itself) when its last disk
    /// write completes.
    last_arrival: BTreeMap<(usize, usize), Millis>,
    next_check_at: Millis,
    /// The stores whose retirement was acknowledged. Every control state that is committed later contains them.
    acknowledged_retirements: BTreeSet<u32>,
    /// The configurations that were answered, by version.
    bodies: BTreeMap<u64, Vec<u8>>,
    /// The highest version that was answered.
    acknowledged: u64,
}

/// The address of the node with this index.
pub fn voter(i: usize) -> NodeId {
    NodeId::new([10, 0, 0, i as u8 + 1].into(), 9000)
}

/// The index of the node with this address.
fn index(voter: NodeId) -> usize {
    usize::from(voter.ip().octets()[3]) - 1
}

// Each test binary uses only some of these methods.
#[allow(dead_code)]
impl Simulation {
    pub fn new(seeds: usize, tolerated_losses: usize, seed: u64) -> Simulation {
        let random_state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut simulation = Simulation {
            seeds,
            tolerated_losses,
            random_state,
            disk_delay: 2,
            message_delay: 4,
            ..Simulation::default()
        };
        (0..seeds).for_each(|_| simulation.add_node());
        simulation
    }

    /// A group that tolerates the loss of a whole failure domain: any two of five nodes.
    pub fn with_failure_domains(seeds: usize, tolerated_losses: usize, seed: u64) -> Simulation {
        let empty = Simulation::new(0, tolerated_losses, seed);
        let mut simulation = Simulation { seeds, survives_domain_loss: true, ..empty };
        (0..seeds).for_each(|_| simulation.add_node());
        simulation
    }

    pub fn random_below(&mut self, limit: u64) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % limit.max(1)
    }

    /// Schedules an event for the current incarnation of a node.
    fn schedule(&mut self, after: Millis, node: usize, event: Event) {
        self.last_event_id += 1;
        let incarnation = self.nodes[node].incarnation;
        self.queue.insert((self.now + after, self.last_event_id), (node, incarnation, event));
    }

    fn log(&mut self, line: String) {
        self.trace.push(format!("{:6} {line}", self.now));
    }

    #[track_caller]
    pub fn fail(&self, why: &str) -> ! {
        let from = self.trace.len().saturating_sub(TRACE_LINES);
        panic!("{why} at {}\n{}", self.now, self.trace[from..].join("\n"));
    }

    /// Reports to all nodes that a retirement has reached a stage; the primary records it.
    pub fn advance(&mut self, node: u32, stage: RetirementStage) {
        (0..self.nodes.len())
            .for_each(|i| self.call_node(i, |group, now| group.advance_retirement(now, node, stage)));
    }

    /// The retirements that node `i` has committed, in order.
    pub fn retired(&self, i: usize) -> Vec<(u32, RetirementStage)> {
        self.nodes[i].committed.retirements.iter().map(|r| (r.node, r.stage)).collect()
    }

    /// Queries all nodes at one moment. At most one may answer, with nothing older than an earlier answer.
    fn check_answers(&mut self) {
        self.next_check_at = self.now + CHECK_INTERVAL;
        let mut answers = Vec::new();
        for i in 0..self.nodes.len() {
            self.check_retirements(i);
            let node = &mut self.nodes[i];
            let Some(group) = node.group.as_mut().filter(|_| !node.is_frozen) else { continue };
            group.read_configuration(self.now + node.clock_offset, 0);
            if let Some(Effect::ReadAnswer { state, .. }) = group.take_effects().pop() {
                answers.push(state.unwrap_or_default());
            }
        }
        if let Some(state) = answers.pop() {
            self.observe(&state, self.acknowledged);
        }
        if !answers.is_empty() {
            self.fail("two nodes answered as primary");
        }
    }

    /// Checks that a primary's control state has all acknowledged retirements.
    fn check_retirements(&self, i: usize) {
        let node = &self.nodes[i];
        let Some(group) = node.group.as_ref().filter(|_| !node.is_frozen) else { return };
        let state = group.readable_state(self.now + node.clock_offset);
        // The oldest complete retirement may be removed from a full list, so a full list is not checked.
        let Some(state) = state.filter(|state| state.retirements.len() < MAX_RETIREMENTS) else { return };
        if self.acknowledged_retirements.iter().any(|node| state.retirement(*node).is_none()) {
            self.fail("an acknowledged retirement of a store is lost");
        }
    }

    /// Calls a function on a node that is running, and carries out the resulting effects.
    fn call_node(&mut self, i: usize, function: impl FnOnce(&mut ControlGroup, Millis)) {
        let node = &mut self.nodes[i];
        let now = self.now + node.clock_offset;
        if let Some(group) = node.group.as_mut().filter(|_| !node.is_frozen) {
            function(group, now);
        }
        self.carry_out(i);
    }

    fn carry_out(&mut self, i: usize) {
        loop {
            let node = &mut self.nodes[i];
            let Some(group) = &mut node.group else { return };
            node.outbox.extend(group.take_effects());
            let now = self.now + node.clock_offset;
            node.due = group.next_tick(now) - node.clock_offset;
            if node.is_frozen {
                return;
            }
            let Some(effect) = node.outbox.pop_front() else { return };
            self.carry_out_effect(i, effect);
            self.effects += 1;
            if let Some((_, fault)) = self.armed_fault.filter(|(at, _)| *at == self.effects) {
                self.inject(i, fault, Some(if fault == Freeze { FREEZE_SPAN } else { RESTART_AFTER }));
            }
        }
    }

    /// A random delay of at most `limit` milliseconds, but not shorter than that of anything sent earlier on the same path.
    fn delay_in_order(&mut self, path: (usize, usize), limit: Millis) -> Millis {
        let at = self.now + 1 + self.random_below(limit);
        let last = self.last_arrival.entry(path).or_default();
        *last = at.max(*last);
        *last - self.now
    }

    fn carry_out_effect(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let to = index(to);
                self.sent.push(message.clone());
                if let Some(connection) = self.connection(i, to) {
                    let after = self.delay_in_order((i, to), self.message_delay);
                    self.schedule(after, to, Event::Message { from: i, connection, message });
                }
            }
            Effect::Persist { ticket, record } => {
                self.nodes[i].unsynced.push_back((ticket, record));
                let after = self.delay_in_order((i, i), self.disk_delay);
                self.schedule(after, i, Event::Synced);
            }
            Effect::Answer { ticket, verdict } => self.answered(ticket, verdict, None),
            Effect::ReadAnswer { ticket, state } => self.answered(ticket, Verdict::Unchanged, state),
            Effect::Committed { serial } => self.committed(i, serial),
            Effect::RoleChanged { epoch, change } => self.log(format!("{i} {} by {epoch}", change.as_str())),
            Effect::ReadyToExit => self.nodes[i].is_ready_to_exit = true,
        }
    }

    /// Checks that the committed control state of a node never goes back to an older one.
    fn committed(&mut self, i: usize, serial: u64) {
        let group = self.nodes[i].group.as_ref();
        let state = group.and_then(|group| group.committed()).cloned().unwrap_or_default();
        let before = std::mem::replace(&mut self.nodes[i].committed, state.clone());
        if serial != state.serial || serial <= before.serial || state.version < before.version {
            self.fail(&format!("node {i} committed serial {} after serial {}", state.serial, before.serial));
        }
        self.observe(&state, 0);
    }

    pub fn run(&mut self, span: Millis) {
        let until = self.now + span;
        while self.step(until) {}
    }

    /// Processes one more event that is due by `until`. Returns false if there is none.
    fn step(&mut self, until: Millis) -> bool {
        let due = self.nodes.iter().filter(|node| node.runs()).map(|node| node.due).min();
        let due = due.unwrap_or(Millis::MAX);
        let first = self.queue.keys().next().map_or(Millis::MAX, |(at, _)| *at);
        let at = due.min(first).min(self.next_check_at);
        if at > until {
            self.now = until;
            return false;
        }
        self.now = self.now.max(at);
        if first <= at {
            let next = self.queue.pop_first();
            next.into_iter().for_each(|(_, event)| self.handle_event(event));
        } else if self.next_check_at <= at {
            self.check_answers();
        } else if let Some(i) = self.nodes.iter().position(|node| node.runs() && node.due <= at) {
            self.call_node(i, |group, now| group.tick(now));
        }
        true
    }

    /// Asserts that the group recovers without further faults: a write is answered within 3 s, is read back, and is committed on
    /// all nodes.
    #[track_caller]
    pub fn assert_recovers(&mut self) {
        let max_submitted = self.calls.iter().filter_map(|call| call.version).max().unwrap_or(0);
        let version = self.acknowledged.max(max_submitted) + 1;
        let at = self.random_below(self.nodes.len() as u64) as usize;
        (self.disk_delay, self.message_delay) = (2, 4);
        let write = self.replace(at, version);
        self.wait(write, 3000);
        self.read(at, 500);
        self.run(1200);
        let is_behind = |node: &Node| node.group.is_some() && node.committed.version != version;
        let behind = self.nodes.iter().position(is_behind);
        if behind.is_some() || self.acknowledged != version {
            self.fail(&format!("node {behind:?} has not committed the last version"));
        }
    }

    pub fn primary(&self) -> usize {
        let leads = |node: &Node| {
            node.group.as_ref().is_some_and(|group| group.holds_lease(self.now + node.clock_offset))
        };
        self.nodes.iter().position(leads).unwrap_or_else(|| self.fail("there is no primary"))
    }

    /// The view of the node that holds the lease.
    pub fn view(&self) -> View {
        let group = self.nodes[self.primary()].group.as_ref();
        group.and_then(|group| group.view()).cloned().unwrap_or_else(|| self.fail("no view"))
    }

    pub fn voters(&self) -> Vec<usize> {
        self.view().voters.into_iter().map(index).collect()
    }

    /// A replica other than the primary.
    pub fn replica(&self) -> usize {
        let others = self.view().replicas.into_iter().map(index);
        others.filter(|i| *i != self.primary()).min().unwrap_or_else(|| self.fail("no replica"))
    }

    pub fn is_in_contact(&self, i: usize) -> bool {
        let node = &self.nodes[i];
        node.group.as_ref().is_some_and(|group| group.is_in_contact(self.now + node.clock_offset))
    }

    pub fn is_up(&self, i: usize) -> bool {
        self.nodes[i].runs()
    }
}
