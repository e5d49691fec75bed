//! The bounds of a search: how many nodes and troubles, how long these last, how clocks run, and what operators ask for.

use stileroute_control_group_planted::{Planted, MAX_CLOCK_DRIFT_PER_MILLE};

/// At which steps a choice is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Grain {
    /// Where a node did more than heartbeat, ack a heartbeat, or look at the clock.
    Coarse,
    /// At each step.
    Fine,
}

/// How long a trouble lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Spans {
    /// Each span that a trouble of its kind may last.
    All,
    /// Only the one after which others have stood.
    One,
    /// Twenty seconds.
    Long,
}

/// Which troubles strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kinds {
    All,
    /// Only those that make the group grow, and that come with it: replacements, losses for good, splits.
    Growth,
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
    /// As `FirstSlow`, and two and a half times as far as is allowed for: the lease outlasts the silence.
    TooFar,
}

impl Drift {
    /// By how much the clock of node `i` gains on true time, in thousandths.
    pub(super) fn rate(self, i: usize) -> i64 {
        let (slow, bound) = (i == 0, MAX_CLOCK_DRIFT_PER_MILLE as i64);
        match self {
            Drift::None => 0,
            Drift::FirstSlow => {
                if slow {
                    -bound
                } else {
                    bound
                }
            }
            Drift::FirstFast => {
                if slow {
                    bound
                } else {
                    -bound
                }
            }
            Drift::TooFar => {
                if slow {
                    -bound * 5 / 2
                } else {
                    bound * 5 / 2
                }
            }
        }
    }
}

/// How long the nodes wait at random: always the same share of what they may, so that states can be told to be the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Chance {
    Rising,
    Falling,
    /// Two that stand do so at one time, until the calm, where chance is chance again.
    Alike,
    /// Nobody waits at all, until the calm.
    Soonest,
}

/// What a search goes through.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Control nodes that start first, and those that may come later, empty, at addresses of their own.
    pub nodes: usize,
    pub spares: usize,
    pub tolerated_losses: usize,
    /// Most troubles: an end, a loss of power or disk, a freeze, a cut, an orderly end.
    pub troubles: u8,
    /// Most delays: a message or disk late, a message lost, a record refused.
    pub delays: u8,
    pub grain: Grain,
    pub spans: Spans,
    pub kinds: Kinds,
    pub chance: Chance,
    pub drift: Drift,
    /// Which calls the operators make: an index into [`SCRIPTS`].
    pub script: usize,
    pub planted: Option<Planted>,
}

/// A call: at which node, which version, and how often it is tried until the operator gives up.
type Asked = (usize, u64, u64);
/// Stages: the calls of one are made at one moment, when all of the one before have ended. No two bodies are alike.
pub const SCRIPTS: [&[&[Asked]]; 3] = [
    // One version with two bodies, at two nodes.
    &[&[(1, 1, 8)], &[(0, 2, 8), (1, 2, 8)]],
    // The same, and one of them gives up at once.
    &[&[(2, 1, 8)], &[(0, 2, 1), (1, 2, 30)]],
    // Two versions at two nodes.
    &[&[(2, 1, 8)], &[(1, 3, 8), (0, 2, 8)]],
];
