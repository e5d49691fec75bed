//! Runs many nodes on one simulated clock and one thread, in steps of a millisecond in which each node that has something to do
//! takes a turn.

mod network;
mod node;

use crate::config_body::configuration;
use crate::control_node::ControlNode;
use crate::heartbeat::{heartbeat_bytes, Executor, HEARTBEAT_INTERVAL};
use crate::layout::{distance, Layout, CONTROL_NODES, REGION_OF_ZONE};
use crate::member_node::MemberNode;
use crate::net::{Action, Millis};
use crate::protocol::NodeRole;
use crate::traffic::{Flow, Role, Traffic};
use network::{delay, Network};
use node::{Delivery, NodeState, RunningNode};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use stileroute_control_group::PersistedState;

/// All processes start within so long of each other.
const START_SPREAD: Millis = 300;

/// What one node has cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time of its turns.
    pub cpu_ns: u64,
    /// How many turns it took.
    pub turns: u64,
    /// Bytes on the heap that it holds.
    pub heap_bytes: i64,
}

/// A fleet that runs.
pub struct Simulation {
    /// Which nodes there are. Wherever a node is named by a number, it is its place in this layout.
    pub layout: Layout,
    /// The simulated clock.
    pub now: Millis,
    /// All executors.
    pub executors: Vec<Executor>,
    /// What was sent since the counters were last reset.
    pub traffic: Traffic,
    /// What each node has cost since then.
    pub costs: Vec<Cost>,
    /// `None`: the node's process does not run.
    nodes: Vec<Option<RunningNode>>,
    /// What a control node keeps over a restart.
    disks: Vec<Option<PersistedState>>,
    network: Network,
    /// What reaches nodes, and when.
    deliveries: BTreeMap<Millis, Vec<(usize, Delivery)>>,
    /// When nodes that run have something to do.
    deadlines: BTreeSet<(Millis, usize)>,
    /// When the processes of nodes start.
    starts: BTreeSet<(Millis, usize)>,
    /// Which executors send a heartbeat, and when.
    heartbeats: BTreeMap<Millis, Vec<usize>>,
    /// How many processes have been started.
    start_count: u64,
    seed: u64,
}

impl Simulation {
    /// A fleet that is about to start. Runs with the same seed are the same but for processor time.
    pub fn new(layout: Layout, seed: u64) -> Simulation {
        let node_count = layout.places.len();
        let mut simulation = Simulation {
            now: 0,
            nodes: (0..node_count).map(|_| None).collect(),
            disks: vec![None; node_count],
            network: Network::new(&layout),
            deliveries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            starts: BTreeSet::new(),
            executors: Vec::new(),
            heartbeats: BTreeMap::new(),
            traffic: Traffic::new(node_count),
            costs: vec![Cost::default(); node_count],
            start_count: 0,
            seed,
            layout,
        };
        for node in 0..node_count {
            let start = simulation.random_below(START_SPREAD);
            simulation.starts.insert((start, node));
        }
        for number in 0..simulation.layout.executors {
            simulation.add_executor(number);
        }
        simulation
    }

    fn add_executor(&mut self, number: usize) {
        let services = self.layout.services;
        let zone = (number / services) % REGION_OF_ZONE.len();
        let executor =
            Executor { number, service: number % services, zone, incarnation: 1, heartbeat_count: 0 };
        self.executors.push(executor);
        let first_heartbeat = START_SPREAD + self.random_below(HEARTBEAT_INTERVAL);
        self.heartbeats.entry(first_heartbeat).or_default().push(number);
    }

    /// A random number below `bound`.
    fn random_below(&mut self, bound: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        (mixed ^ (mixed >> 27)) % bound.max(1)
    }

    /// Resets what was counted, but for the heap that nodes hold.
    pub fn reset_counters(&mut self) {
        self.traffic = Traffic::new(self.nodes.len());
        for cost in &mut self.costs {
            (cost.cpu_ns, cost.turns) = (0, 0);
        }
    }

    /// Lets the fleet run until the clock shows this time.
    pub fn run_until(&mut self, until: Millis) {
        while self.now < until {
            self.step();
            self.now += 1;
        }
    }

    // ---- What is done to the fleet ----

    /// Stops the process of a node; a control node keeps its disk.
    pub fn stop(&mut self, node: usize) {
        if let Some(RunningNode { state: NodeState::Control(control_node), .. }) = self.nodes[node].take() {
            self.disks[node] = Some(control_node.into_disk());
        }
        for connection in self.network.take_connections(node) {
            self.close_connection(node, connection);
        }
        self.costs[node].heap_bytes = 0;
    }

    /// Starts the process of a node at this time.
    pub fn start_at(&mut self, when: Millis, node: usize) {
        self.starts.insert((when, node));
    }

    /// Sends a configuration to the first control node, which leads as long as no node is lost.
    pub fn configure(&mut self, version: u64, bytes: usize) {
        let now = self.now;
        if let Some(RunningNode { state: NodeState::Control(control_node), .. }) = &mut self.nodes[0] {
            control_node.replace_configuration(now, version, configuration(version, bytes));
        }
        self.deadlines.insert((now, 0));
    }

    /// An executor ends without deregistering, and is started again at once.
    pub fn restart_executor(&mut self, number: usize) {
        let executor = &mut self.executors[number];
        executor.incarnation += 1;
        executor.heartbeat_count = 0;
    }

    // ---- What is asked of the fleet ----

    /// The edges or stores that run.
    pub fn members(&self, role: NodeRole) -> impl Iterator<Item = &MemberNode> {
        let nodes = self.layout.places.iter().zip(&self.nodes);
        let with_role = nodes.filter(move |(place, _)| place.role == role);
        with_role.filter_map(|(_, node)| match &node.as_ref()?.state {
            NodeState::Member(member) => Some(member.as_ref()),
            NodeState::Control(_) => None,
        })
    }

    /// The control nodes that run.
    pub fn control_nodes(&self) -> impl Iterator<Item = &ControlNode> {
        self.nodes.iter().flatten().filter_map(|running| match &running.state {
            NodeState::Control(node) => Some(node.as_ref()),
            NodeState::Member(_) => None,
        })
    }

    /// How many connections a node has with others.
    pub fn connection_count(&self, node: usize) -> usize {
        self.network.connection_count(node)
    }

    // ---- A step of the clock ----

    /// Lets each node that has something to do at this time take a turn.
    fn step(&mut self) {
        let mut active: BTreeMap<usize, Vec<Delivery>> = BTreeMap::new();
        while let Some(node) = pop_due(&mut self.starts, self.now) {
            self.start(node);
            active.entry(node).or_default();
        }
        for number in self.heartbeats.remove(&self.now).unwrap_or_default() {
            self.send_heartbeat(number);
            self.heartbeats.entry(self.now + HEARTBEAT_INTERVAL).or_default().push(number);
        }
        while let Some(entry) = self.deliveries.first_entry().filter(|entry| *entry.key() <= self.now) {
            for (node, delivery) in entry.remove() {
                active.entry(node).or_default().push(delivery);
            }
        }
        while let Some(node) = pop_due(&mut self.deadlines, self.now) {
            active.entry(node).or_default();
        }
        for (node, deliveries) in active {
            self.take_turn(node, deliveries);
        }
    }

    fn start(&mut self, node: usize) {
        self.start_count += 1;
        let incarnation = self.seed ^ (self.start_count << 32);
        let disk = self.disks[node].take();
        let (running, heap_bytes) =
            RunningNode::start(&self.layout, node, disk, incarnation, self.start_count, self.now);
        self.nodes[node] = Some(running);
        self.costs[node].heap_bytes = heap_bytes;
    }

    /// An executor sends a heartbeat to the nearest control node that runs.
    fn send_heartbeat(&mut self, number: usize) {
        let executor = &mut self.executors[number];
        executor.heartbeat_count += 1;
        let (zone, heartbeat) = (executor.zone, executor.heartbeat());
        let Some((node, control_address)) = self.nearest_control_node(zone, number) else { return };
        let distance = distance(zone, self.layout.places[node].zone);
        let bytes = heartbeat_bytes(&heartbeat, control_address);
        let flow = |sender| Flow { sender, kind: "heartbeats", distance };
        self.traffic.count(flow(Role::Executor), bytes.request, None, Some(node));
        self.traffic.count(flow(Role::Control), bytes.response, Some(node), None);
        self.deliver(self.now + delay(distance), node, Delivery::Heartbeat(heartbeat));
    }

    /// The control node nearest to a zone, and where it takes heartbeats. Among equals each executor has an order of its own.
    fn nearest_control_node(&self, zone: usize, executor: usize) -> Option<(usize, SocketAddrV4)> {
        let places = self.layout.places.iter().enumerate();
        let running =
            places.filter(|(node, place)| place.role == NodeRole::Control && self.nodes[*node].is_some());
        let (node, place) = running
            .min_by_key(|(node, place)| (distance(zone, place.zone), (node + executor) % CONTROL_NODES))?;
        Some((node, place.control_address()?))
    }

    fn deliver(&mut self, when: Millis, node: usize, delivery: Delivery) {
        self.deliveries.entry(when).or_default().push((node, delivery));
    }

    fn take_turn(&mut self, node: usize, deliveries: Vec<Delivery>) {
        let Some(mut running) = self.nodes[node].take() else { return };
        self.deadlines.remove(&(running.deadline, node));
        let actions = running.take_turn(self.now, deliveries, &mut self.costs[node]);
        self.deadlines.insert((running.deadline, node));
        self.nodes[node] = Some(running);
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Dial { connection, to } => self.dial(node, connection, to),
            Action::Send { connection, bytes } => self.send_frame(node, connection, bytes),
            Action::Close { connection } => self.close_connection(node, connection),
        }
    }
}

/// Takes out the next node whose time has come.
fn pop_due(times: &mut BTreeSet<(Millis, usize)>, now: Millis) -> Option<usize> {
    let (when, node) = *times.first()?;
    if when > now {
        return None;
    }
    times.pop_first();
    Some(node)
}
