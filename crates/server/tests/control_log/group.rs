//! Simulates three control nodes, their connections and an operator, on a simulated clock that jumps to the next due event.

use std::collections::BTreeMap;
use std::path::Path;

use stileroute_control_group::{Effect, GroupSettings, Message, Millis, NodeId, Verdict};
use stileroute_wal::Step;

use crate::machine::{Fault, Machine};

const NODE_COUNT: usize = 3;
/// Delivery time of a message between two nodes, in ms.
const MESSAGE_DELAY_MS: Millis = 2;
/// Time, in ms, after which the operator sends a change to the next node.
const OPERATOR_TIMEOUT_MS: Millis = 500;
/// Time, in ms, from a fault until the machine starts again.
const RESTART_DELAY_MS: Millis = 300;

enum Event {
    Received { from: (usize, u64), message: Message },
    Persisted { ticket: u64 },
    LinkChanged { peer: usize, is_up: bool },
    Start,
}

struct PendingChange {
    version: u64,
    body: Vec<u8>,
    target: usize,
    attempt: u64,
    next_attempt_at: Millis,
    is_done: bool,
}

pub struct Group {
    now: Millis,
    machines: Vec<Machine>,
    queue: BTreeMap<(Millis, u64), (usize, u64, Event)>,
    last_event_number: u64,
    random: u64,
    pending_change: Option<PendingChange>,
    /// The highest configuration version that was acknowledged.
    acknowledged: u64,
    /// The planned fault: node, step, kind, and the number of changes since it was planned.
    armed: Option<(usize, Step, Fault, usize)>,
    /// Step and kind of each fault that was injected.
    pub injected_faults: Vec<(Step, Fault)>,
    /// Restarted nodes that have not caught up yet: node, start time in ms, and the version that the node has to reach.
    catching_up: Vec<(usize, Millis, u64)>,
}

fn node_id(i: usize) -> NodeId {
    NodeId::new([10, 0, 0, i as u8 + 1].into(), 9000)
}

fn node_index(node: NodeId) -> usize {
    usize::from(node.ip().octets()[3]) - 1
}

impl Group {
    pub fn new(seed: u64) -> Group {
        // The test does many thousands of syncs, so it uses a RAM-backed folder where one exists.
        let shared_memory = Path::new("/dev/shm");
        let parent = if shared_memory.is_dir() { shared_memory.to_path_buf() } else { std::env::temp_dir() };
        let dir = |i| parent.join(format!("control-log-{}-{seed}-{i}", std::process::id()));
        let mut group = Group {
            now: 1000,
            machines: (0..NODE_COUNT).map(|i| Machine::new(dir(i))).collect(),
            queue: BTreeMap::new(),
            last_event_number: 0,
            random: seed | 1,
            pending_change: None,
            acknowledged: 0,
            armed: None,
            injected_faults: Vec::new(),
            catching_up: Vec::new(),
        };
        (0..NODE_COUNT).for_each(|i| group.start(i));
        group
    }

    fn draw_random(&mut self, upper_bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % upper_bound
    }

    fn schedule(&mut self, delay: Millis, node: usize, event: Event) {
        self.last_event_number += 1;
        self.queue.insert(
            (self.now + delay, self.last_event_number),
            (node, self.machines[node].incarnation, event),
        );
    }

    fn connect(&mut self, a: usize, b: usize, is_up: bool) {
        self.schedule(1, a, Event::LinkChanged { peer: b, is_up });
        self.schedule(1, b, Event::LinkChanged { peer: a, is_up });
    }

    fn start(&mut self, i: usize) {
        let is_first_start = self.machines[i].incarnation == 0;
        let settings = GroupSettings::new(
            node_id(i),
            (0..NODE_COUNT).map(node_id).collect(),
            is_first_start,
            1,
            self.draw_random(u64::MAX),
        );
        self.machines[i].start(settings, self.now);
        if !is_first_start {
            self.catching_up.push((i, self.now, self.acknowledged));
        }
        for peer in (0..NODE_COUNT).filter(|peer| *peer != i) {
            if self.machines[peer].group().is_some() {
                self.connect(i, peer, true);
            }
        }
        self.apply_effects(i);
    }

    // ---- Faults ----

    pub fn is_armed(&self) -> bool {
        self.armed.is_some()
    }

    /// Plans a fault that is injected when the selected replica next reaches the step.
    pub fn arm(&mut self, step: Step, fault: Fault, replica_index: usize) {
        let views = self.machines.iter_mut().filter_map(|machine| machine.group()?.view().cloned());
        let view = views.max_by_key(|view| view.epoch).expect("a node runs");
        let node = node_index(view.replicas[replica_index % view.replicas.len()]);
        self.armed = Some((node, step, fault, 0));
        self.machines[node].arm(Some(step));
    }

    fn inject_fault(&mut self, i: usize) {
        let Some((_, step, fault, _)) = self.armed.take() else { return };
        self.injected_faults.push((step, fault));
        let mut random = self.draw_random(u64::MAX);
        self.machines[i].end(fault, &mut |upper_bound| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (random >> 33) % upper_bound
        });
        for peer in (0..NODE_COUNT).filter(|peer| *peer != i) {
            self.schedule(1, peer, Event::LinkChanged { peer: i, is_up: false });
        }
        self.schedule(RESTART_DELAY_MS, i, Event::Start);
    }

    // ---- The operator ----

    /// Changes the configuration, and runs the simulation until the change is acknowledged.
    pub fn change_configuration(&mut self, version: u64, body: Vec<u8>, limit_ms: Millis) {
        let (target, until) = (self.draw_random(NODE_COUNT as u64) as usize, self.now + limit_ms);
        let next_attempt_at = self.now;
        self.pending_change =
            Some(PendingChange { version, body, target, attempt: 0, next_attempt_at, is_done: false });
        while self.pending_change.as_ref().is_some_and(|pending_change| !pending_change.is_done) {
            assert!(self.now < until, "change {version} was not acknowledged within {limit_ms} ms");
            self.step();
        }
        self.acknowledged = version;
        self.move_fault_if_not_reached();
    }

    /// Moves the planned fault to another replica if its step was not reached for more than 12 changes: a node that is no longer a replica
    /// writes too little to reach the step.
    fn move_fault_if_not_reached(&mut self) {
        let Some((node, step, fault, changes)) = self.armed else { return };
        self.armed = Some((node, step, fault, changes + 1));
        if changes > 12 {
            self.machines[node].arm(None);
            self.arm(step, fault, changes);
        }
    }

    fn send_change(&mut self) {
        let now = self.now;
        let Some(pending_change) = self
            .pending_change
            .as_mut()
            .filter(|pending_change| !pending_change.is_done && pending_change.next_attempt_at <= now)
        else {
            return;
        };
        pending_change.attempt += 1;
        pending_change.next_attempt_at = now + OPERATOR_TIMEOUT_MS;
        let (target, ticket) =
            (pending_change.target, pending_change.version * 1000 + pending_change.attempt);
        let (version, body) = (pending_change.version, pending_change.body.clone());
        pending_change.target = (target + 1) % NODE_COUNT;
        match self.machines[target].group() {
            Some(group) => group.replace_configuration(now, ticket, version, body),
            None => self
                .pending_change
                .iter_mut()
                .for_each(|pending_change| pending_change.next_attempt_at = now + 30),
        }
        self.apply_effects(target);
    }

    fn handle_answer(&mut self, ticket: u64, verdict: Verdict) {
        let now = self.now;
        let Some(pending_change) = &mut self.pending_change else { return };
        if ticket != pending_change.version * 1000 + pending_change.attempt || pending_change.is_done {
            return;
        }
        match verdict {
            Verdict::Accepted | Verdict::Unchanged => pending_change.is_done = true,
            Verdict::NotPrimary { primary: Some(primary) } => {
                (pending_change.target, pending_change.next_attempt_at) =
                    (node_index(primary), now + MESSAGE_DELAY_MS)
            }
            _ => pending_change.next_attempt_at = now + 30,
        }
    }

    // ---- Events ----

    fn apply_effects(&mut self, i: usize) {
        let now = self.now;
        loop {
            let Some(group) = self.machines[i].group() else { return };
            let (effects, due) = (group.take_effects(), group.next_tick(now));
            self.machines[i].next_tick_at = due;
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.apply_effect(i, effect);
                if self.machines[i].has_reached_fault() {
                    return self.inject_fault(i);
                }
            }
        }
    }

    fn apply_effect(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let from = (i, self.machines[i].incarnation);
                self.schedule(MESSAGE_DELAY_MS, node_index(to), Event::Received { from, message });
            }
            Effect::Persist { ticket, record } => {
                self.machines[i].write(&record);
                self.schedule(1, i, Event::Persisted { ticket });
            }
            Effect::Answer { ticket, verdict } => self.handle_answer(ticket, verdict),
            _ => {}
        }
    }

    fn handle_event(&mut self, (i, incarnation, event): (usize, u64, Event)) {
        let now = self.now;
        if incarnation != self.machines[i].incarnation {
            return;
        }
        if matches!(event, Event::Start) {
            return self.start(i);
        }
        if let Event::Received { from: (from, incarnation), .. } = &event {
            // The message is lost if its sender has been killed or restarted, because the connection ended with that process.
            if self.machines[*from].incarnation != *incarnation || self.machines[*from].group().is_none() {
                return;
            }
        }
        let Some(group) = self.machines[i].group() else { return };
        match event {
            Event::Received { from: (from, _), message } => group.handle_message(now, node_id(from), message),
            Event::Persisted { ticket } => group.persisted(now, ticket, true),
            Event::LinkChanged { peer, is_up } => {
                if is_up {
                    group.peer_connected(now, node_id(peer));
                    group.add_learner(node_id(peer));
                } else {
                    group.peer_disconnected(now, node_id(peer));
                }
            }
            Event::Start => {}
        }
        self.apply_effects(i);
    }

    /// Advances the clock to the next due event, operator attempt or tick, and runs what is due then.
    fn step(&mut self) {
        let now = self.now;
        let next_tick_at = |machine: &mut Machine| machine.group().is_some().then_some(machine.next_tick_at);
        let due = self.machines.iter_mut().filter_map(next_tick_at).min().unwrap_or(Millis::MAX);
        let next_event_at = self.queue.keys().next().map_or(Millis::MAX, |(at, _)| *at);
        let attempt_at = self
            .pending_change
            .as_ref()
            .filter(|pending_change| !pending_change.is_done)
            .map_or(Millis::MAX, |pending_change| pending_change.next_attempt_at);
        self.now = due.min(next_event_at).min(attempt_at).max(now);
        if next_event_at <= self.now {
            let (_, event) = self.queue.pop_first().expect("the queue is not empty");
            self.handle_event(event);
        }
        self.send_change();
        let now = self.now;
        for i in 0..NODE_COUNT {
            if self.machines[i].next_tick_at <= now {
                if let Some(group) = self.machines[i].group() {
                    group.tick(now);
                }
                self.apply_effects(i);
            }
        }
        self.check_invariants();
    }

    /// Checks that at most one node serves reads as the leader, and that its state is not older than the acknowledged version.
    fn check_invariants(&mut self) {
        let now = self.now;
        let readable =
            |machine: &mut Machine| machine.group()?.readable_state(now).map(|state| state.version);
        let readable_versions: Vec<u64> = self.machines.iter_mut().filter_map(readable).collect();
        assert!(readable_versions.len() <= 1, "more than one node leads at {now} ms");
        let stale_version = readable_versions.iter().find(|version| **version < self.acknowledged);
        assert_eq!(
            stale_version, None,
            "a node leads with stale state at {now} ms: version {} was acknowledged",
            self.acknowledged
        );
    }

    // ---- Catching up ----

    /// Runs the simulation until all nodes run and the restarted ones have caught up. Returns the longest catch-up time, in ms.
    pub fn run_until_all_caught_up(&mut self, limit_ms: Millis) -> Millis {
        let mut slowest_ms = 0;
        while !self.all_caught_up(&mut slowest_ms) {
            for (node, since, _) in &self.catching_up {
                assert!(
                    self.now <= since + limit_ms,
                    "node {node} has not caught up {limit_ms} ms after its start"
                );
            }
            self.step();
        }
        slowest_ms
    }

    fn all_caught_up(&mut self, slowest_ms: &mut Millis) -> bool {
        let mut catching_up = std::mem::take(&mut self.catching_up);
        catching_up.retain(|(node, since, target_version)| {
            let caught_up = self.has_caught_up(*node, *target_version);
            if caught_up {
                *slowest_ms = (*slowest_ms).max(self.now - since);
            }
            !caught_up
        });
        self.catching_up = catching_up;
        self.catching_up.is_empty() && self.machines.iter_mut().all(|machine| machine.group().is_some())
    }

    fn has_caught_up(&mut self, node: usize, target_version: u64) -> bool {
        let version_on_disk = self.machines[node].version_on_disk;
        let Some(group) = self.machines[node].group() else { return true };
        let is_replica = group.view().is_some_and(|view| view.replicas.contains(&node_id(node)));
        let committed_version = group.committed().map_or(0, |state| state.version);
        !group.is_awaiting_view()
            && committed_version >= target_version
            && (!is_replica || version_on_disk >= target_version)
    }

    pub fn peak_disk_bytes(&self) -> u64 {
        self.machines.iter().map(Machine::peak_disk_bytes).max().unwrap_or(0)
    }
}
