//! Three control nodes, their connections and an operator, on one clock that jumps to whatever is due.

use std::collections::BTreeMap;
use std::path::Path;

use stileroute_control_group::{Effect, GroupSettings, Message, Millis, NodeId, Verdict};
use stileroute_wal::Step;

use crate::machine::{Fault, Machine};

const NODES: usize = 3;
/// How long a message travels, an operator waits for one node, and a machine is away, in ms.
const MESSAGE_DELAY_MS: Millis = 2;
const OPERATOR_TIMEOUT_MS: Millis = 500;
const RESTART_DELAY_MS: Millis = 300;

enum Event {
    Received { from: (usize, u64), message: Message },
    Persisted { ticket: u64 },
    LinkChanged { peer: usize, is_up: bool },
    Start,
}

struct Order {
    version: u64,
    body: Vec<u8>,
    at: usize,
    attempt: u64,
    next_attempt_at: Millis,
    is_done: bool,
}

pub struct Group {
    now: Millis,
    machines: Vec<Machine>,
    queue: BTreeMap<(Millis, u64), (usize, u64, Event)>,
    next: u64,
    random: u64,
    order: Option<Order>,
    /// The highest version that was acknowledged.
    acknowledged: u64,
    armed: Option<(usize, Step, Fault, usize)>,
    /// Where faults struck.
    pub strikes: Vec<(Step, Fault)>,
    /// Started, and not yet caught up: since when, and with what.
    behind: Vec<(usize, Millis, u64)>,
}

fn node_id(i: usize) -> NodeId {
    NodeId::new([10, 0, 0, i as u8 + 1].into(), 9000)
}

fn index(node: NodeId) -> usize {
    usize::from(node.ip().octets()[3]) - 1
}

impl Group {
    pub fn new(seed: u64) -> Group {
        // Many thousands of syncs: in memory, where there is such a folder.
        let memory = Path::new("/dev/shm");
        let parent = if memory.is_dir() { memory.to_path_buf() } else { std::env::temp_dir() };
        let dir = |i| parent.join(format!("control-log-{}-{seed}-{i}", std::process::id()));
        let mut group = Group {
            now: 1000,
            machines: (0..NODES).map(|i| Machine::new(dir(i))).collect(),
            queue: BTreeMap::new(),
            next: 0,
            random: seed | 1,
            order: None,
            acknowledged: 0,
            armed: None,
            strikes: Vec::new(),
            behind: Vec::new(),
        };
        (0..NODES).for_each(|i| group.start(i));
        group
    }

    fn draw_random(&mut self, most: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % most
    }

    fn at(&mut self, after: Millis, node: usize, what: Event) {
        self.next += 1;
        self.queue.insert((self.now + after, self.next), (node, self.machines[node].incarnation, what));
    }

    fn connect(&mut self, a: usize, b: usize, is_up: bool) {
        self.at(1, a, Event::LinkChanged { peer: b, is_up });
        self.at(1, b, Event::LinkChanged { peer: a, is_up });
    }

    fn start(&mut self, i: usize) {
        let first = self.machines[i].incarnation == 0;
        let terms = GroupSettings::new(
            node_id(i),
            (0..NODES).map(node_id).collect(),
            first,
            1,
            self.draw_random(u64::MAX),
        );
        self.machines[i].start(terms, self.now);
        if !first {
            self.behind.push((i, self.now, self.acknowledged));
        }
        for peer in (0..NODES).filter(|peer| *peer != i) {
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

    /// Plans a fault at one of the replicas, the first time that it comes to the step.
    pub fn arm(&mut self, step: Step, fault: Fault, which: usize) {
        let views = self.machines.iter_mut().filter_map(|machine| machine.group()?.view().cloned());
        let view = views.max_by_key(|view| view.epoch).expect("a node runs");
        let node = index(view.replicas[which % view.replicas.len()]);
        self.armed = Some((node, step, fault, 0));
        self.machines[node].arm(Some(step));
    }

    fn inject_fault(&mut self, i: usize) {
        let Some((_, step, fault, _)) = self.armed.take() else { return };
        self.strikes.push((step, fault));
        let mut random = self.draw_random(u64::MAX);
        self.machines[i].end(fault, &mut |most| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (random >> 33) % most
        });
        for peer in (0..NODES).filter(|peer| *peer != i) {
            self.at(1, peer, Event::LinkChanged { peer: i, is_up: false });
        }
        self.at(RESTART_DELAY_MS, i, Event::Start);
    }

    // ---- The operator ----

    /// Until it is acknowledged.
    pub fn change(&mut self, version: u64, body: Vec<u8>, most: Millis) {
        let (at, until) = (self.draw_random(NODES as u64) as usize, self.now + most);
        let next_attempt_at = self.now;
        self.order = Some(Order { version, body, at, attempt: 0, next_attempt_at, is_done: false });
        while self.order.as_ref().is_some_and(|order| !order.is_done) {
            assert!(self.now < until, "change {version} was not acknowledged within {most} ms");
            self.step();
        }
        self.acknowledged = version;
        self.move_fault_if_not_reached();
    }

    /// A node that is no replica any more writes too little to come to the step.
    fn move_fault_if_not_reached(&mut self) {
        let Some((node, step, fault, changes)) = self.armed else { return };
        self.armed = Some((node, step, fault, changes + 1));
        if changes > 12 {
            self.machines[node].arm(None);
            self.arm(step, fault, changes);
        }
    }

    fn attempt(&mut self) {
        let now = self.now;
        let Some(order) = self.order.as_mut().filter(|order| !order.is_done && order.next_attempt_at <= now)
        else {
            return;
        };
        order.attempt += 1;
        order.next_attempt_at = now + OPERATOR_TIMEOUT_MS;
        let (at, ticket) = (order.at, order.version * 1000 + order.attempt);
        let (version, body) = (order.version, order.body.clone());
        order.at = (at + 1) % NODES;
        match self.machines[at].group() {
            Some(group) => group.replace_configuration(now, ticket, version, body),
            None => self.order.iter_mut().for_each(|order| order.next_attempt_at = now + 30),
        }
        self.apply_effects(at);
    }

    fn answered(&mut self, ticket: u64, verdict: Verdict) {
        let now = self.now;
        let Some(order) = &mut self.order else { return };
        if ticket != order.version * 1000 + order.attempt || order.is_done {
            return;
        }
        match verdict {
            Verdict::Accepted | Verdict::Unchanged => order.is_done = true,
            Verdict::NotPrimary { primary: Some(primary) } => {
                (order.at, order.next_attempt_at) = (index(primary), now + MESSAGE_DELAY_MS)
            }
            _ => order.next_attempt_at = now + 30,
        }
    }

    // ---- Events ----

    fn apply_effects(&mut self, i: usize) {
        let now = self.now;
        loop {
            let Some(group) = self.machines[i].group() else { return };
            let (effects, due) = (group.take_effects(), group.next_tick(now));
            self.machines[i].due = due;
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.apply_effect(i, effect);
                if self.machines[i].has_struck() {
                    return self.inject_fault(i);
                }
            }
        }
    }

    fn apply_effect(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let from = (i, self.machines[i].incarnation);
                self.at(MESSAGE_DELAY_MS, index(to), Event::Received { from, message });
            }
            Effect::Persist { ticket, record } => {
                self.machines[i].write(&record);
                self.at(1, i, Event::Persisted { ticket });
            }
            Effect::Answer { ticket, verdict } => self.answered(ticket, verdict),
            _ => {}
        }
    }

    fn handle_event(&mut self, (i, incarnation, what): (usize, u64, Event)) {
        let now = self.now;
        if incarnation != self.machines[i].incarnation {
            return;
        }
        if matches!(what, Event::Start) {
            return self.start(i);
        }
        if let Event::Received { from: (from, incarnation), .. } = &what {
            // The connection ended with the process that spoke.
            if self.machines[*from].incarnation != *incarnation || self.machines[*from].group().is_none() {
                return;
            }
        }
        let Some(group) = self.machines[i].group() else { return };
        match what {
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

    /// Advances to whatever is due next.
    fn step(&mut self) {
        let now = self.now;
        let runs = |machine: &mut Machine| machine.group().is_some().then_some(machine.due);
        let due = self.machines.iter_mut().filter_map(runs).min().unwrap_or(Millis::MAX);
        let first = self.queue.keys().next().map_or(Millis::MAX, |(at, _)| *at);
        let attempt_at = self
            .order
            .as_ref()
            .filter(|order| !order.is_done)
            .map_or(Millis::MAX, |order| order.next_attempt_at);
        self.now = due.min(first).min(attempt_at).max(now);
        if first <= self.now {
            let (_, what) = self.queue.pop_first().expect("it is the first");
            self.handle_event(what);
        }
        self.attempt();
        let now = self.now;
        for i in 0..NODES {
            if self.machines[i].due <= now {
                if let Some(group) = self.machines[i].group() {
                    group.tick(now);
                }
                self.apply_effects(i);
            }
        }
        self.check();
    }

    /// No more than one leads, and with nothing older than what was acknowledged.
    fn check(&mut self) {
        let now = self.now;
        let readable =
            |machine: &mut Machine| machine.group()?.readable_state(now).map(|state| state.version);
        let readable_versions: Vec<u64> = self.machines.iter_mut().filter_map(readable).collect();
        assert!(readable_versions.len() <= 1, "two lead at {now}");
        let old = readable_versions.iter().find(|version| **version < self.acknowledged);
        assert_eq!(old, None, "leads with old state at {now}: {} was acknowledged", self.acknowledged);
    }

    // ---- Catching up ----

    /// Until all run, and those that came back have caught up. The longest that one of them took.
    pub fn until_all_caught_up(&mut self, most: Millis) -> Millis {
        let mut slowest = 0;
        while !self.all_caught_up(&mut slowest) {
            for (node, since, _) in &self.behind {
                assert!(self.now <= since + most, "{node} has not caught up {most} ms after its start");
            }
            self.step();
        }
        slowest
    }

    fn all_caught_up(&mut self, slowest: &mut Millis) -> bool {
        let mut behind = std::mem::take(&mut self.behind);
        behind.retain(|(node, since, wanted)| {
            let caught_up = self.has_caught_up(*node, *wanted);
            if caught_up {
                *slowest = (*slowest).max(self.now - since);
            }
            !caught_up
        });
        self.behind = behind;
        self.behind.is_empty() && self.machines.iter_mut().all(|machine| machine.group().is_some())
    }

    fn has_caught_up(&mut self, node: usize, wanted: u64) -> bool {
        let version_on_disk = self.machines[node].version_on_disk;
        let Some(group) = self.machines[node].group() else { return true };
        let is_replica = group.view().is_some_and(|view| view.replicas.contains(&node_id(node)));
        let in_force = group.committed().map_or(0, |state| state.version);
        !group.is_awaiting_view() && in_force >= wanted && (!is_replica || version_on_disk >= wanted)
    }

    pub fn largest_disk(&self) -> u64 {
        self.machines.iter().map(Machine::peak).max().unwrap_or(0)
    }
}
