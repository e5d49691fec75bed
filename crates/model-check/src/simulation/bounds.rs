//! The bounds of a search: how many nodes and faults, how long these last, how clocks run, and what the clients submit.

use stileroute_control_group_planted::{Planted, MAX_CLOCK_DRIFT_PER_MILLE};

/// At which steps a choice is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Granularity {
    /// Where a node did more than send or acknowledge a heartbeat, or look at the clock.
    Coarse,
    /// At each step.
    Fine,
}

/// How long a fault lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultDurations {
    /// Each of the durations of its kind.
    All,
    /// Only the one after which others have become candidates.
    One,
    /// Twenty seconds.
    Long,
}

/// Which faults strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKinds {
    /// Each of them.
    All,
    /// Only those that add nodes, and that come with that: replacements, losses for good, splits.
    Growth,
    /// Each of them but those with new nodes, and those that strike all at once: a cut into two halves, and a lost disk while all
    /// others lose power.
    FleetWide,
}

/// How fast the clocks of the nodes run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Drift {
    /// All alike.
    None,
    /// That of the first primary is slow, the others are fast, by as much as is allowed for.
    FirstSlow,
    /// The other way round.
    FirstFast,
    /// As `FirstSlow`, and two and a half times as far as is allowed for: the lease outlasts the grace period.
    TooFar,
}

impl Drift {
    /// By how much the clock of node `i` gains on true time, in thousandths.
    pub(super) fn per_mille(self, i: usize) -> i64 {
        let most = MAX_CLOCK_DRIFT_PER_MILLE as i64;
        let of_first = match self {
            Drift::None => 0,
            Drift::FirstSlow => -most,
            Drift::FirstFast => most,
            Drift::TooFar => -most * 5 / 2,
        };
        if i == 0 {
            of_first
        } else {
            -of_first
        }
    }
}

/// How long the nodes wait at random before they become candidates.
///
/// A node always waits the same share of the longest wait, so that states can be recognised as the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RandomWaits {
    /// The first node the least.
    Rising,
    /// The first node the most.
    Falling,
    /// All the same, so two become candidates at one time. Waits are random again when the last write is awaited.
    Alike,
    /// Not at all, until the last write is awaited.
    Soonest,
}

/// What a search goes through.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The seeds of the group.
    pub nodes: usize,
    /// Nodes that may come later, empty, at addresses of their own.
    pub spare_nodes: usize,
    /// The losses that the group is set to tolerate.
    pub tolerated_losses: usize,
    /// The most faults on one path: a kill, a loss of power or disk, a freeze, a partition, a graceful shutdown.
    pub max_faults: u8,
    /// The most delays on one path: a message or disk that is late, a message lost, a record refused.
    pub max_delays: u8,
    /// At which steps a choice is offered.
    pub granularity: Granularity,
    /// How long a fault lasts.
    pub fault_durations: FaultDurations,
    /// Which faults strike.
    pub fault_kinds: FaultKinds,
    /// How long the nodes wait at random.
    pub random_waits: RandomWaits,
    /// How fast the clocks run.
    pub drift: Drift,
    /// Which calls the clients make: an index into [`SCRIPTS`].
    pub script: usize,
    /// A fault in the protocol that the search has to find.
    pub planted: Option<Planted>,
}

/// A call to replace the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ScriptedCall {
    /// The node that is asked first.
    pub node: usize,
    /// Of the configuration. No two calls have the same body.
    pub version: u64,
    /// How often it is tried until the client gives up.
    pub max_attempts: u64,
}

const fn call(node: usize, version: u64, max_attempts: u64) -> ScriptedCall {
    ScriptedCall { node, version, max_attempts }
}

/// The calls of the clients, in stages: those of one are made at one moment, when all of the stage before have ended.
pub const SCRIPTS: [&[&[ScriptedCall]]; 3] = [
    // One version with two bodies, at two nodes.
    &[&[call(1, 1, 8)], &[call(0, 2, 8), call(1, 2, 8)]],
    // The same, and one of them gives up at once.
    &[&[call(2, 1, 8)], &[call(0, 2, 1), call(1, 2, 30)]],
    // Two versions at two nodes.
    &[&[call(2, 1, 8)], &[call(1, 3, 8), call(0, 2, 8)]],
];
