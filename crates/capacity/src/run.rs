//! One run of a fleet: it forms, stands calmly, and then each kind of change comes once.

use crate::layout::{Distance, Layout};
use crate::net::Millis;
use crate::protocol::NodeRole;
use crate::simulation::Simulation;
use crate::traffic::{Role, Traffic, Volume};
use std::collections::BTreeMap;
use strum::IntoEnumIterator;

/// Until then all sessions stand and all executors have called.
const FORMED: Millis = 12_000;
/// Bytes of the configuration that is sent, at every size.
pub const CONFIGURATION: usize = 20_000;
/// How long a change is watched.
const WATCHED: Millis = 8_000;
/// A node that is restarted is away for so long.
const AWAY: Millis = 500;
/// Executors that are replaced at once, each at another time within two seconds.
const RENEWED: usize = 10;

#[derive(Clone, Copy, Debug)]
pub struct GroupSettings {
    pub nodes: usize,
    pub executors_per_node: usize,
    pub calm: Millis,
    /// Whether changes are played as well.
    pub changes: bool,
    pub seed: u64,
}

/// What the nodes of one role cost in the calm span.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleLoad {
    pub nodes: usize,
    /// Of the busiest node: bytes and messages in and out a second, processor share of one core, heap, connections.
    pub bytes: f64,
    pub messages: f64,
    pub cpu: f64,
    pub turns: f64,
    pub state: f64,
    pub connections: f64,
}

/// A flow over the whole fleet: bytes and messages a second.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    pub sender: Role,
    pub kind: &'static str,
    pub distance: Distance,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
pub enum Change {
    #[strum(serialize = "an executor replaced")]
    Executor,
    #[strum(serialize = "a store restarted")]
    Store,
    #[strum(serialize = "a control node restarted")]
    ControlNode,
    #[strum(serialize = "a configuration of 20 kB")]
    Configuration,
}

/// All that one run has measured.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    pub nodes: usize,
    pub roles: BTreeMap<Role, RoleLoad>,
    pub flows: BTreeMap<Line, (f64, f64)>,
    /// Bytes over the whole fleet beyond those of a calm span, and at the busiest control node.
    pub changes: BTreeMap<Change, (f64, f64)>,
    /// All stores know all executors, and all nodes have the configuration.
    pub complete: bool,
}

impl Measured {
    pub fn flow(&self, kind: &str, distance: Option<Distance>) -> (f64, f64) {
        let wanted = |line: &&Line| line.kind == kind && distance.is_none_or(|far| line.distance == far);
        let lines = self.flows.iter().filter(|(line, _)| wanted(line));
        lines.fold((0.0, 0.0), |sum, (_, one)| (sum.0 + one.0, sum.1 + one.1))
    }
}

fn roles_of(simulation: &Simulation, span: f64) -> BTreeMap<Role, RoleLoad> {
    let mut roles: BTreeMap<Role, RoleLoad> = BTreeMap::new();
    for (at, place) in simulation.layout.places.iter().enumerate() {
        let load = roles.entry(Role::from(place.class)).or_default();
        let (cost, traffic) = (simulation.costs[at], &simulation.traffic);
        let messages = traffic.sent[at].messages + traffic.received[at].messages;
        load.nodes += 1;
        load.bytes = load.bytes.max(traffic.bytes_at(at) as f64 / span);
        load.messages = load.messages.max(messages as f64 / span);
        load.cpu = load.cpu.max(cost.cpu_ns as f64 / 1e9 / span);
        load.turns = load.turns.max(cost.turns as f64 / span);
        load.state = load.state.max(cost.state as f64);
        load.connections = load.connections.max(simulation.connections(at) as f64);
    }
    roles
}

fn flows_of(traffic: &Traffic, span: f64) -> BTreeMap<Line, (f64, f64)> {
    let line = |(flow, volume): (&crate::traffic::Flow, &Volume)| {
        let line = Line { sender: flow.sender, kind: flow.kind, distance: flow.distance };
        (line, (volume.bytes as f64 / span, volume.messages as f64 / span))
    };
    traffic.flows.iter().map(line).collect()
}

/// Bytes of the whole fleet and of its busiest control node.
fn bytes(simulation: &Simulation) -> (f64, f64) {
    let places = simulation.layout.places.iter().enumerate();
    let control = places.filter(|(_, place)| place.class == NodeRole::Control);
    let busiest = control.map(|(at, _)| simulation.traffic.bytes_at(at)).max().unwrap_or(0);
    (simulation.traffic.total(|_| true).bytes as f64, busiest as f64)
}

/// Whether all stores know all executors, and all nodes have this version of the configuration.
pub fn is_complete(simulation: &Simulation, version: u64) -> bool {
    let executors = simulation.layout.executors;
    let informed = simulation.members(NodeRole::Store).all(|(_, store)| store.executors.len() == executors);
    let classes = [NodeRole::Store, NodeRole::Edge];
    let mut members = classes.into_iter().flat_map(|class| simulation.members(class));
    informed && members.all(|(_, member)| member.configuration().0 == version)
}

fn make(simulation: &mut Simulation, change: Change) {
    let start = simulation.now;
    match change {
        Change::Executor => {
            for number in 0..RENEWED.min(simulation.executors.len()) {
                simulation.run_until(start + 200 * number as Millis);
                simulation.renew_executor(number);
            }
        }
        Change::Store => restart(simulation, NodeRole::Store),
        Change::ControlNode => restart(simulation, NodeRole::Control),
        Change::Configuration => simulation.configure(2, CONFIGURATION),
    }
}

/// Of control nodes the last, which neither leads nor votes: what its restart costs is that of a witness.
fn restart(simulation: &mut Simulation, class: NodeRole) {
    let Some(first) = simulation.layout.first(class) else { return };
    let at = if class == NodeRole::Control { crate::layout::CONTROL_NODES - 1 } else { first };
    simulation.stop(at);
    let back = simulation.now + AWAY;
    simulation.start_at(back, at);
}

/// How many of a kind are made at once, so that one of them can be told.
fn times(change: Change) -> f64 {
    if change == Change::Executor {
        RENEWED as f64
    } else {
        1.0
    }
}

pub fn run(settings: GroupSettings) -> Measured {
    let layout = Layout::new(settings.nodes, settings.executors_per_node);
    let mut simulation = Simulation::new(layout, settings.seed);
    simulation.run_until(FORMED / 3);
    simulation.configure(1, CONFIGURATION);
    simulation.run_until(FORMED);
    let complete = is_complete(&simulation, 1);
    simulation.reset_counters();
    let until = simulation.now + settings.calm;
    simulation.run_until(until);
    let span = settings.calm as f64 / 1000.0;
    let calm = bytes(&simulation);
    let mut measured = Measured {
        nodes: settings.nodes,
        roles: roles_of(&simulation, span),
        flows: flows_of(&simulation.traffic, span),
        changes: BTreeMap::new(),
        complete,
    };
    if !settings.changes {
        return measured;
    }
    let share = WATCHED as f64 / settings.calm as f64;
    for change in Change::iter() {
        simulation.reset_counters();
        let until = simulation.now + WATCHED;
        make(&mut simulation, change);
        simulation.run_until(until);
        let (all, busiest) = bytes(&simulation);
        let beyond = |changed: f64, calm: f64| (changed - calm * share).max(0.0) / times(change);
        measured.changes.insert(change, (beyond(all, calm.0), beyond(busiest, calm.1)));
    }
    measured.complete &= is_complete(&simulation, 2);
    measured
}
