//! Nodes, disks, connections and operators. Left alone it does the next thing that is due, by a fixed order.

mod bounds;
mod calm;
mod connections;
mod digest;
mod nodes;
mod operators;
mod steps;
mod trace;

pub use bounds::{Bounds, Chance, Drift, Grain, Kinds, Spans, SCRIPTS};
pub(crate) use connections::{index, voter};
pub(crate) use nodes::Node;
pub(crate) use operators::Call;
pub(crate) use steps::Step;

use crate::invariants::Invariants;
use nodes::random_state;
use std::collections::VecDeque;
use stileroute_control_group_planted::{Message, Millis};

/// Troubles end at multiples of this.
pub(crate) const ROUND: Millis = 50;

/// What is to come at a certain time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Due {
    Thaw(usize),
    End(usize),
    Start(usize),
    /// SIGTERM, to be taken away.
    Retire(usize),
    Heal(usize, usize),
    /// What the first sends reaches the second again.
    Hears(usize, usize),
    Link {
        at: usize,
        peer: usize,
        up: bool,
    },
    Ask {
        at: usize,
        call: usize,
        attempt: u64,
    },
    /// Without an answer to this attempt, the next one; at the node that was named.
    Next {
        call: usize,
        attempt: u64,
        at: Option<usize>,
    },
    Stage,
    /// The last call of all.
    Last,
}

/// All nodes, what is under way between them, and what is to come.
#[derive(Clone)]
pub struct World {
    pub bounds: Bounds,
    pub now: Millis,
    pub(crate) nodes: Vec<Node>,
    /// From one to another, in order.
    pub(crate) wires: Vec<VecDeque<(Millis, Message)>>,
    pub(crate) joined: Vec<bool>,
    pub(crate) cuts: Vec<u8>,
    /// Nothing arrives this way before then; what is sent meanwhile waits.
    pub(crate) held: Vec<Millis>,
    pub(crate) agenda: Vec<(Millis, Due)>,
    pub(crate) calls: Vec<Call>,
    stage: usize,
    ended: Option<Millis>,
    /// The last write, and since when it is waited for; then since when it has been accepted.
    calm: Option<(usize, Millis)>,
    accepted: Option<Millis>,
    pub over: bool,
    /// The node where something happened last, and whether more than a heartbeat.
    pub(crate) touched: Option<(usize, bool)>,
    pub invariants: Invariants,
    /// What happened, where it is wanted.
    pub trace: Option<Vec<String>>,
    /// How long the write waited after all was healed.
    pub waited: Millis,
    random_state: Vec<u64>,
}

impl World {
    pub fn new(bounds: Bounds) -> World {
        let n = bounds.nodes + bounds.spares;
        let share = |i: usize| match bounds.chance {
            Chance::Rising => i,
            Chance::Falling => n - 1 - i,
            Chance::Alike => n / 2,
            Chance::Soonest => 0,
        };
        let new = |i: usize| Node {
            clock: 100_000 + 7_777 * i as Millis,
            rate: bounds.drift.rate(i),
            ..Node::default()
        };
        let mut world = World {
            bounds,
            now: 0,
            nodes: (0..n).map(new).collect(),
            wires: vec![VecDeque::new(); n * n],
            joined: vec![false; n * n],
            cuts: vec![0; n * n],
            held: vec![0; n * n],
            agenda: vec![(20, Due::Stage)],
            calls: Vec::new(),
            stage: 0,
            ended: None,
            calm: None,
            accepted: None,
            over: false,
            touched: None,
            invariants: Invariants::default(),
            trace: None,
            waited: 0,
            random_state: (0..n).map(|i| random_state(share(i) as u64, n as u64)).collect(),
        };
        (0..bounds.nodes).for_each(|i| world.start(i));
        world
    }

    pub(crate) fn note(&mut self, what: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:5} ms  {}", self.now, what()));
        }
    }

    pub(crate) fn at(&mut self, after: Millis, what: Due) {
        self.agenda.push((self.now + after, what));
    }

    /// Troubles end at round times: those that begin shortly after each other come to the same.
    pub(crate) fn at_least(&mut self, after: Millis, what: Due) {
        self.agenda.push(((self.now + after).next_multiple_of(ROUND), what));
    }

    pub(crate) fn up(&self, i: usize) -> bool {
        self.nodes[i].group.is_some() && !self.nodes[i].frozen
    }
}
