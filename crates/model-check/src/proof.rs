//! What `make test-model` goes through, in about a minute on eight cores.

use crate::invariants::Property;
use crate::world::{Bounds, Chance, Drift, Grain, Kinds, Spans};
use stileroute_control_group_planted::Planted;

/// Three nodes that bear one loss, everything as small as it comes.
pub const THREE: Bounds = Bounds {
    nodes: 3,
    spares: 0,
    tolerated_losses: 1,
    troubles: 1,
    delays: 0,
    grain: Grain::Coarse,
    spans: Spans::All,
    kinds: Kinds::All,
    chance: Chance::Rising,
    drift: Drift::None,
    script: 0,
    planted: None,
};
const FIVE: Bounds = Bounds { nodes: 5, tolerated_losses: 2, ..THREE };

/// The primary's clock is slow and the others' are fast, and nobody waits at random before it stands.
const DRIFTING: Bounds = Bounds { drift: Drift::FirstSlow, chance: Chance::Soonest, ..THREE };
/// With clocks that drift further than is allowed for, this must be broken.
pub const TOO_FAR: (Property, Bounds) = (Property::OneActs, Bounds { drift: Drift::TooFar, ..DRIFTING });

/// A fourth node may come.
const GROWING: Bounds = Bounds { spares: 1, troubles: 2, spans: Spans::One, ..THREE };
/// The same, with none but the troubles that come with growth.
const GROWTH: Bounds = Bounds { kinds: Kinds::Growth, ..GROWING };

pub const PLAN: [Bounds; 18] = [
    Bounds { grain: Grain::Fine, ..THREE },
    Bounds { grain: Grain::Fine, chance: Chance::Alike, script: 1, ..THREE },
    Bounds { delays: 1, chance: Chance::Falling, ..THREE },
    Bounds { delays: 1, chance: Chance::Alike, script: 1, ..THREE },
    Bounds { delays: 1, script: 2, ..THREE },
    Bounds { troubles: 0, delays: 2, ..THREE },
    Bounds { troubles: 2, spans: Spans::One, script: 1, ..THREE },
    Bounds { chance: Chance::Alike, script: 1, ..FIVE },
    Bounds { chance: Chance::Falling, script: 2, ..FIVE },
    Bounds { grain: Grain::Fine, ..FIVE },
    Bounds { spans: Spans::Long, ..THREE },
    Bounds { spans: Spans::Long, script: 1, ..FIVE },
    DRIFTING,
    Bounds { delays: 1, ..DRIFTING },
    Bounds { drift: Drift::FirstFast, script: 1, ..THREE },
    GROWING,
    Bounds { chance: Chance::Alike, script: 1, ..GROWTH },
    Bounds { chance: Chance::Falling, grain: Grain::Fine, ..GROWTH },
];

/// Each fault, the property that tells of it first, and the bounds within which it does.
pub const FAULTS: [(Planted, Property, Bounds); 20] = [
    (Planted::LongLease, Property::OneActs, THREE),
    (Planted::LeaseByArrival, Property::OneActs, THREE),
    (Planted::ThinMargin, Property::OneActs, DRIFTING),
    (Planted::EarlyAnswer, Property::NothingOld, THREE),
    (
        Planted::MembershipEpochIgnored,
        Property::NothingOld,
        Bounds { troubles: 2, spans: Spans::One, ..THREE },
    ),
    (Planted::EqualTaken, Property::OneBody, THREE),
    (Planted::DigestUnheeded, Property::OneBody, Bounds { script: 1, ..THREE }),
    (Planted::CommitGoesBack, Property::NeverBack, THREE),
    (Planted::OwnVoteEnough, Property::OneLeads, THREE),
    (Planted::GrantedTwice, Property::OneGrant, THREE),
    (Planted::GrantUnsynced, Property::GrantOnDisk, THREE),
    (Planted::BlankVotes, Property::BlankIsSilent, THREE),
    (Planted::UnfilledCandidate, Property::UnfilledServes, THREE),
    (Planted::BegunForgotten, Property::NotDoneStays, Bounds { troubles: 2, spans: Spans::One, ..THREE }),
    (Planted::NeverAdopts, Property::SoonAgain, THREE),
    (Planted::SwapAtOnce, Property::OneLeads, GROWTH),
    (Planted::LearnersCount, Property::OneActs, GROWTH),
    (Planted::UnfilledNamed, Property::SoonAgain, GROWTH),
    (Planted::BlindChange, Property::SoonAgain, GROWTH),
    (Planted::GoneStays, Property::SoonReplaced, GROWTH),
];
