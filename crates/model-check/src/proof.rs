//! The bounds and the planted faults of the proof, `make test-model`: about a minute on eight cores.

use crate::invariants::Property;
use crate::simulation::{Bounds, Drift, FaultDurations, FaultKinds, Granularity, RandomWaits};
use stileroute_control_group_planted::Planted;

/// Three nodes that tolerate one loss, everything else as small as it comes.
pub const THREE_NODES: Bounds = Bounds {
    nodes: 3,
    spare_nodes: 0,
    tolerated_losses: 1,
    max_faults: 1,
    max_delays: 0,
    granularity: Granularity::Coarse,
    fault_durations: FaultDurations::All,
    fault_kinds: FaultKinds::All,
    random_waits: RandomWaits::Rising,
    drift: Drift::None,
    script: 0,
    planted: None,
};
const FIVE_NODES: Bounds = Bounds { nodes: 5, tolerated_losses: 2, ..THREE_NODES };

/// The primary's clock is slow and the others' are fast, and no node waits at random before it becomes a candidate.
const DRIFTING: Bounds =
    Bounds { drift: Drift::FirstSlow, random_waits: RandomWaits::Soonest, ..THREE_NODES };
/// With clocks that drift further than is allowed for, this must be violated.
pub const EXCESSIVE_DRIFT: ExpectedViolation = ExpectedViolation {
    property: Property::OneServingNode,
    bounds: Bounds { drift: Drift::TooFar, ..DRIFTING },
};

/// A fourth node may come.
const GROWING: Bounds =
    Bounds { spare_nodes: 1, max_faults: 2, fault_durations: FaultDurations::One, ..THREE_NODES };
/// The same, with none but the faults that come with growth.
const GROWTH: Bounds = Bounds { fault_kinds: FaultKinds::Growth, ..GROWING };

/// With cuts into halves, and lost disks while all others lose power.
const FLEET_WIDE: Bounds = Bounds { fault_kinds: FaultKinds::FleetWide, ..THREE_NODES };

/// The bounds that the proof goes through.
pub const PLAN: [Bounds; 22] = [
    Bounds { granularity: Granularity::Fine, ..THREE_NODES },
    Bounds { granularity: Granularity::Fine, random_waits: RandomWaits::Alike, script: 1, ..THREE_NODES },
    Bounds { max_delays: 1, random_waits: RandomWaits::Falling, ..THREE_NODES },
    Bounds { max_delays: 1, random_waits: RandomWaits::Alike, script: 1, ..THREE_NODES },
    Bounds { max_delays: 1, script: 2, ..THREE_NODES },
    Bounds { max_faults: 0, max_delays: 2, ..THREE_NODES },
    Bounds { max_faults: 2, fault_durations: FaultDurations::One, script: 1, ..THREE_NODES },
    Bounds { random_waits: RandomWaits::Alike, script: 1, ..FIVE_NODES },
    Bounds { random_waits: RandomWaits::Falling, script: 2, ..FIVE_NODES },
    Bounds { granularity: Granularity::Fine, ..FIVE_NODES },
    Bounds { fault_durations: FaultDurations::Long, ..THREE_NODES },
    Bounds { fault_durations: FaultDurations::Long, script: 1, ..FIVE_NODES },
    DRIFTING,
    Bounds { max_delays: 1, ..DRIFTING },
    Bounds { drift: Drift::FirstFast, script: 1, ..THREE_NODES },
    GROWING,
    Bounds { random_waits: RandomWaits::Alike, script: 1, ..GROWTH },
    Bounds { random_waits: RandomWaits::Falling, granularity: Granularity::Fine, ..GROWTH },
    Bounds { granularity: Granularity::Fine, script: 2, ..FLEET_WIDE },
    Bounds { max_delays: 1, ..FLEET_WIDE },
    Bounds { max_faults: 2, fault_durations: FaultDurations::One, ..FLEET_WIDE },
    Bounds { nodes: 5, tolerated_losses: 2, random_waits: RandomWaits::Alike, script: 1, ..FLEET_WIDE },
];

/// A violation that a search has to find.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedViolation {
    /// The property that is violated first.
    pub property: Property,
    /// Within these bounds, with the planted fault.
    pub bounds: Bounds,
}

const fn expect(planted: Planted, property: Property, bounds: Bounds) -> ExpectedViolation {
    ExpectedViolation { property, bounds: Bounds { planted: Some(planted), ..bounds } }
}

/// For each planted fault the violation by which it is found.
pub const PLANTED_FAULTS: [ExpectedViolation; 20] = [
    expect(Planted::LongLease, Property::OneServingNode, THREE_NODES),
    expect(Planted::LeaseByArrival, Property::OneServingNode, THREE_NODES),
    expect(Planted::ThinMargin, Property::OneServingNode, DRIFTING),
    expect(Planted::EarlyAnswer, Property::NoStaleRead, THREE_NODES),
    expect(
        Planted::MembershipEpochIgnored,
        Property::NoStaleRead,
        Bounds { max_faults: 2, fault_durations: FaultDurations::One, ..THREE_NODES },
    ),
    expect(Planted::EqualTaken, Property::OneBodyPerVersion, THREE_NODES),
    expect(Planted::DigestUnheeded, Property::OneBodyPerVersion, Bounds { script: 1, ..THREE_NODES }),
    expect(Planted::CommitGoesBack, Property::CommitsNeverGoBack, THREE_NODES),
    expect(Planted::OwnVoteEnough, Property::OnePrimaryPerEpoch, THREE_NODES),
    expect(Planted::GrantedTwice, Property::OneGrantPerEpoch, THREE_NODES),
    expect(Planted::GrantUnsynced, Property::GrantIsDurable, THREE_NODES),
    expect(Planted::BlankVotes, Property::NoVoteWithoutView, THREE_NODES),
    expect(Planted::UnfilledCandidate, Property::NoCandidacyWithoutState, THREE_NODES),
    expect(
        Planted::BegunForgotten,
        Property::NotCommittedStaysSo,
        Bounds { max_faults: 2, fault_durations: FaultDurations::One, ..THREE_NODES },
    ),
    expect(Planted::NeverAdopts, Property::RecoversSoon, THREE_NODES),
    expect(Planted::SwapAtOnce, Property::OnePrimaryPerEpoch, GROWTH),
    expect(Planted::LearnersCount, Property::OneServingNode, GROWTH),
    expect(Planted::UnfilledNamed, Property::RecoversSoon, GROWTH),
    expect(Planted::BlindChange, Property::RecoversSoon, GROWTH),
    expect(Planted::GoneStays, Property::ReplacedSoon, GROWTH),
];
