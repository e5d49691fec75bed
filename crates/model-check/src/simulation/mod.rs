//! The simulated world of one search: nodes, disks, connections and clients. Left alone it does the next thing that is due, in a
//! fixed order.

mod bounds;
mod clients;
mod digest;
mod events;
mod network;
mod nodes;
mod recovery;
mod trace;

pub use bounds::{
    Bounds, Drift, FaultDurations, FaultKinds, Granularity, RandomWaits, ScriptedCall, SCRIPTS,
};
pub(crate) use clients::Call;
pub(crate) use events::Step;
pub(crate) use network::{index, is_heartbeat, voter};
pub(crate) use nodes::{Node, ProcessEnd};

use crate::invariants::Invariants;
use nodes::random_state;
use std::collections::VecDeque;
use stileroute_control_group_planted::{Message, Millis};

/// Faults end at multiples of this.
pub(crate) const FAULT_END_GRID: Millis = 50;

/// What happens at a certain time. The order of the variants decides what comes first at one moment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Scheduled {
    /// A frozen node continues.
    Thaw(usize),
    /// The process exits by itself.
    End(usize),
    Start(usize),
    /// The process is told to end, for good.
    ShutDown(usize),
    /// One partition of these two ends.
    Heal(usize, usize),
    /// What the first sends reaches the second again, without a break of the connection.
    EndHold(usize, usize),
    /// A node notices that a connection opened or broke.
    Link {
        at: usize,
        peer: usize,
        is_up: bool,
    },
    /// A client's call reaches a node.
    Ask {
        at: usize,
        call: usize,
        attempt: u64,
    },
    /// The next attempt of a call, if this one had no answer; at the node that was named, else at the next.
    NextAttempt {
        call: usize,
        attempt: u64,
        at: Option<usize>,
    },
    /// The calls of the next stage of the script.
    ScriptStage,
    /// The call that has to be accepted after everything is healed.
    LastCall,
}

/// The write that has to be accepted and committed after everything is healed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Recovery {
    pub call: usize,
    pub began_at: Millis,
}

/// Where something happened last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Activity {
    pub node: usize,
    /// More than a heartbeat, its acknowledgement or a look at the clock.
    pub is_significant: bool,
}

/// All nodes, what is in flight between them, and what is to come.
#[derive(Clone)]
pub struct Simulation {
    /// What it may go through.
    pub bounds: Bounds,
    /// True time, in milliseconds since the start.
    pub now: Millis,
    pub(crate) nodes: Vec<Node>,
    /// Messages from one node to another with their arrival, in order; by `direction`.
    pub(crate) in_flight: Vec<VecDeque<(Millis, Message)>>,
    /// By `pair`.
    pub(crate) is_connected: Vec<bool>,
    /// How many partitions keep two nodes apart; by `pair`.
    pub(crate) partition_counts: Vec<u8>,
    /// Nothing arrives in this direction before then; what is sent meanwhile waits.
    pub(crate) held_until: Vec<Millis>,
    /// In no order: what is due first is searched for.
    pub(crate) scheduled: Vec<(Millis, Scheduled)>,
    pub(crate) calls: Vec<Call>,
    next_stage: usize,
    /// When the last call of the script ended.
    calls_ended_at: Option<Millis>,
    recovery: Option<Recovery>,
    /// When the last write was accepted.
    recovery_accepted_at: Option<Millis>,
    /// The last write is committed at all nodes.
    pub is_over: bool,
    pub(crate) last_activity: Option<Activity>,
    /// The properties, and what was seen so far.
    pub invariants: Invariants,
    /// What happened, a line each; none: it is not recorded.
    pub trace: Option<Vec<String>>,
    /// How long the last write waited to be accepted after everything was healed.
    pub recovery_ms: Millis,
    /// From where each node draws its random waits.
    random_state: Vec<u64>,
}

impl Simulation {
    /// All seeds have just started for the first time.
    pub fn new(bounds: Bounds) -> Simulation {
        let count = bounds.nodes + bounds.spare_nodes;
        let share = |i: usize| match bounds.random_waits {
            RandomWaits::Rising => i,
            RandomWaits::Falling => count - 1 - i,
            RandomWaits::Alike => count / 2,
            RandomWaits::Soonest => 0,
        };
        let new = |i: usize| Node {
            clock_offset: 100_000 + 7_777 * i as Millis,
            drift_per_mille: bounds.drift.per_mille(i),
            ..Node::default()
        };
        let mut simulation = Simulation {
            bounds,
            now: 0,
            nodes: (0..count).map(new).collect(),
            in_flight: vec![VecDeque::new(); count * count],
            is_connected: vec![false; count * count],
            partition_counts: vec![0; count * count],
            held_until: vec![0; count * count],
            scheduled: vec![(20, Scheduled::ScriptStage)],
            calls: Vec::new(),
            next_stage: 0,
            calls_ended_at: None,
            recovery: None,
            recovery_accepted_at: None,
            is_over: false,
            last_activity: None,
            invariants: Invariants::default(),
            trace: None,
            recovery_ms: 0,
            random_state: (0..count).map(|i| random_state(share(i) as u64, count as u64)).collect(),
        };
        (0..bounds.nodes).for_each(|i| simulation.start(i));
        simulation
    }

    /// Adds a line to the trace, if one is recorded.
    pub(crate) fn note(&mut self, what: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:5} ms  {}", self.now, what()));
        }
    }

    pub(crate) fn schedule(&mut self, after: Millis, what: Scheduled) {
        self.scheduled.push((self.now + after, what));
    }

    /// Faults end at round times: those that begin shortly after each other come to the same.
    pub(crate) fn schedule_rounded(&mut self, after: Millis, what: Scheduled) {
        self.scheduled.push(((self.now + after).next_multiple_of(FAULT_END_GRID), what));
    }

    pub(crate) fn is_up(&self, i: usize) -> bool {
        self.nodes[i].group.is_some() && !self.nodes[i].is_frozen
    }
}
