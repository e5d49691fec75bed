//! Plays one fleet and measures it: it forms, runs without any change for a while, and then has one change of each kind.

use crate::layout::{Distance, Layout, CONTROL_NODES};
use crate::net::Millis;
use crate::protocol::NodeRole;
use crate::simulation::Simulation;
use crate::traffic::{Flow, Role, Traffic, Volume};
use std::collections::BTreeMap;
use strum::IntoEnumIterator;

/// By then all sessions are established and all executors have sent heartbeats.
const FORMED_AT: Millis = 12_000;
/// Bytes of the configuration that is sent, at every size.
pub const CONFIGURATION_BYTES: usize = 20_000;
/// How long a change is watched.
const CHANGE_SPAN: Millis = 8_000;
/// How long the process of a restarted node is down.
const RESTART_DOWNTIME: Millis = 500;
/// Executors that are replaced for [`Change::Executor`], one after the other.
const REPLACED_EXECUTORS: usize = 10;
/// Time from the replacement of one executor to the next.
const REPLACEMENT_INTERVAL: Millis = 200;

/// How a fleet is played.
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    /// How many nodes it has.
    pub nodes: usize,
    /// How many executors it has for each node.
    pub executors_per_node: usize,
    /// How long it runs without a change, in milliseconds.
    pub calm_ms: Millis,
    /// Whether changes are played as well.
    pub has_changes: bool,
    /// Fixes all random choices.
    pub seed: u64,
}

/// What the nodes of one role cost while nothing changes: each figure is that of the node where it is greatest.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleLoad {
    /// How many nodes have the role.
    pub nodes: usize,
    /// Bytes sent and received a second.
    pub bytes_per_s: f64,
    /// Frames and heartbeats sent and received a second.
    pub messages_per_s: f64,
    /// Processor time, as a share of one core.
    pub cpu_share: f64,
    /// Turns of the event loop a second.
    pub turns_per_s: f64,
    /// Bytes on the heap.
    pub heap_bytes: f64,
    /// Connections with other nodes.
    pub connections: f64,
}

/// How much of something is sent a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// Bytes a second.
    pub bytes_per_s: f64,
    /// Frames or calls a second.
    pub messages_per_s: f64,
}

/// Bytes of a span of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpanBytes {
    /// Sent in the whole fleet.
    pub fleet: f64,
    /// Sent and received by the control node that has most.
    pub busiest_control_node: f64,
}

/// A change that is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
pub enum Change {
    /// An executor ends without deregistering, and another is there at once.
    #[strum(serialize = "an executor replaced")]
    Executor,
    /// The process of a store ends and is started again.
    #[strum(serialize = "a store restarted")]
    Store,
    /// The process of a control node ends and is started again.
    #[strum(serialize = "a control node restarted")]
    ControlNode,
    /// Another configuration is put in force.
    #[strum(serialize = "a configuration of 20 kB")]
    Configuration,
}

impl Change {
    /// How many of it are made, so that the cost of one can be told from the rest.
    fn repetitions(self) -> f64 {
        match self {
            Change::Executor => REPLACED_EXECUTORS as f64,
            _ => 1.0,
        }
    }
}

/// All that one run has measured.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// How many nodes the fleet has.
    pub nodes: usize,
    /// What the nodes of each role cost while nothing changes.
    pub roles: BTreeMap<Role, RoleLoad>,
    /// What is sent in the whole fleet while nothing changes.
    pub flows: BTreeMap<Flow, Rate>,
    /// What each change cost beyond a span without one.
    pub changes: BTreeMap<Change, SpanBytes>,
    /// Whether all stores knew all executors, and all nodes had the configuration.
    pub is_complete: bool,
}

impl Measured {
    /// What is sent of one kind, at one distance or at all of them.
    pub fn flow(&self, kind: &str, distance: Option<Distance>) -> Rate {
        let is_wanted = |flow: &Flow| flow.kind == kind && distance.is_none_or(|far| flow.distance == far);
        let mut total = Rate::default();
        for (_, rate) in self.flows.iter().filter(|(flow, _)| is_wanted(flow)) {
            total.bytes_per_s += rate.bytes_per_s;
            total.messages_per_s += rate.messages_per_s;
        }
        total
    }
}

fn measure_roles(simulation: &Simulation, span_s: f64) -> BTreeMap<Role, RoleLoad> {
    let mut roles: BTreeMap<Role, RoleLoad> = BTreeMap::new();
    for (node, place) in simulation.layout.places.iter().enumerate() {
        let load = roles.entry(Role::from(place.role)).or_default();
        let (cost, traffic) = (simulation.costs[node], &simulation.traffic);
        let messages = traffic.sent[node].messages + traffic.received[node].messages;
        load.nodes += 1;
        load.bytes_per_s = load.bytes_per_s.max(traffic.bytes_at(node) as f64 / span_s);
        load.messages_per_s = load.messages_per_s.max(messages as f64 / span_s);
        load.cpu_share = load.cpu_share.max(cost.cpu_ns as f64 / 1e9 / span_s);
        load.turns_per_s = load.turns_per_s.max(cost.turns as f64 / span_s);
        load.heap_bytes = load.heap_bytes.max(cost.heap_bytes as f64);
        load.connections = load.connections.max(simulation.connection_count(node) as f64);
    }
    roles
}

fn measure_flows(traffic: &Traffic, span_s: f64) -> BTreeMap<Flow, Rate> {
    let rate = |volume: &Volume| Rate {
        bytes_per_s: volume.bytes as f64 / span_s,
        messages_per_s: volume.messages as f64 / span_s,
    };
    traffic.flows.iter().map(|(flow, volume)| (*flow, rate(volume))).collect()
}

fn measure_bytes(simulation: &Simulation) -> SpanBytes {
    let places = simulation.layout.places.iter().enumerate();
    let control_nodes = places.filter(|(_, place)| place.role == NodeRole::Control);
    let busiest = control_nodes.map(|(node, _)| simulation.traffic.bytes_at(node)).max().unwrap_or(0);
    SpanBytes { fleet: simulation.traffic.total(|_| true).bytes as f64, busiest_control_node: busiest as f64 }
}

/// Whether all stores know all executors, and all nodes have this version of the configuration.
pub fn is_complete(simulation: &Simulation, version: u64) -> bool {
    let executors = simulation.layout.executors;
    let knows_all = simulation.members(NodeRole::Store).all(|store| store.executors.len() == executors);
    let roles = [NodeRole::Store, NodeRole::Edge];
    let mut members = roles.into_iter().flat_map(|role| simulation.members(role));
    knows_all && members.all(|member| member.config_version() == version)
}

fn make_change(simulation: &mut Simulation, change: Change) {
    let start = simulation.now;
    match change {
        Change::Executor => {
            for number in 0..REPLACED_EXECUTORS.min(simulation.executors.len()) {
                simulation.run_until(start + REPLACEMENT_INTERVAL * number as Millis);
                simulation.restart_executor(number);
            }
        }
        Change::Store => {
            if let Some(store) = simulation.layout.first(NodeRole::Store) {
                restart(simulation, store);
            }
        }
        // The last one neither leads nor votes: what its restart costs is that of a witness.
        Change::ControlNode => restart(simulation, CONTROL_NODES - 1),
        Change::Configuration => simulation.configure(2, CONFIGURATION_BYTES),
    }
}

fn restart(simulation: &mut Simulation, node: usize) {
    simulation.stop(node);
    let start = simulation.now + RESTART_DOWNTIME;
    simulation.start_at(start, node);
}

/// Makes a change, and returns what it cost beyond `calm`, which `calm_share` of a span like that of the change took.
fn measure_change(
    simulation: &mut Simulation,
    change: Change,
    calm: SpanBytes,
    calm_share: f64,
) -> SpanBytes {
    simulation.reset_counters();
    let until = simulation.now + CHANGE_SPAN;
    make_change(simulation, change);
    simulation.run_until(until);
    let changed = measure_bytes(simulation);
    let beyond = |changed: f64, calm: f64| (changed - calm * calm_share).max(0.0) / change.repetitions();
    SpanBytes {
        fleet: beyond(changed.fleet, calm.fleet),
        busiest_control_node: beyond(changed.busiest_control_node, calm.busiest_control_node),
    }
}

/// Plays a fleet and measures it.
pub fn run(settings: FleetSettings) -> Measured {
    let layout = Layout::new(settings.nodes, settings.executors_per_node);
    let mut simulation = Simulation::new(layout, settings.seed);
    simulation.run_until(FORMED_AT / 3);
    simulation.configure(1, CONFIGURATION_BYTES);
    simulation.run_until(FORMED_AT);
    let was_complete = is_complete(&simulation, 1);
    simulation.reset_counters();
    let until = simulation.now + settings.calm_ms;
    simulation.run_until(until);
    let calm_s = settings.calm_ms as f64 / 1000.0;
    let calm = measure_bytes(&simulation);
    let mut measured = Measured {
        nodes: settings.nodes,
        roles: measure_roles(&simulation, calm_s),
        flows: measure_flows(&simulation.traffic, calm_s),
        changes: BTreeMap::new(),
        is_complete: was_complete,
    };
    if !settings.has_changes {
        return measured;
    }
    let calm_share = CHANGE_SPAN as f64 / settings.calm_ms as f64;
    for change in Change::iter() {
        let cost = measure_change(&mut simulation, change, calm, calm_share);
        measured.changes.insert(change, cost);
    }
    measured.is_complete &= is_complete(&simulation, 2);
    measured
}
