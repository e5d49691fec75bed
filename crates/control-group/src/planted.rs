//! Deliberate protocol faults that the search in `crates/model-check/` has to find.
//!
//! Only the build of these sources for the search enables the feature `planted`. In other builds no fault can be set, and the
//! compiler removes the branches.

#[cfg(not(feature = "planted"))]
use crate::ControlGroup;

/// A fault that disables one rule of the protocol. The variant's name is also its name on the command line of the search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// The lease outlasts the grace period, after which voters may vote for other candidates.
    LongLease,
    /// The lease is counted from the arrival of an acknowledgement instead of from the sending of its heartbeat.
    LeaseByArrival,
    /// The lease is only 20 ms shorter than the grace period, so that drifting clocks make it outlast the grace period.
    ThinMargin,
    /// A write is acknowledged as soon as the first replica has stored it.
    EarlyAnswer,
    /// A configuration with the current version and a different body is accepted.
    EqualTaken,
    /// A control state that is reported as committed replaces the committed one, even if it is older.
    CommitGoesBack,
    /// A control state with the rank of the committed one is taken for it without a comparison of digests.
    DigestUnheeded,
    /// A candidate becomes primary with only its own vote.
    OwnVoteEnough,
    /// A voter grants a second view of the same epoch.
    GrantedTwice,
    /// A grant is sent before the view is on disk.
    GrantUnsynced,
    /// A node that has lost its disk acts as a node of a new group.
    BlankVotes,
    /// A replica that has lost its control state becomes a candidate.
    UnfilledCandidate,
    /// A membership is considered as new as the epoch of the view that contains it.
    MembershipEpochIgnored,
    /// A write that a replica may have stored is answered as not committed.
    BegunForgotten,
    /// Nodes do not adopt views that other nodes send them.
    NeverAdopts,
    /// One voter replaces another in a single change, so that majorities before and after the change need not intersect.
    SwapAtOnce,
    /// A voter is considered lost only after 3 s of silence.
    GoneStays,
    /// A node is named as a replica in place of another before it has the control state.
    UnfilledNamed,
    /// A change of voters is begun even if the voters needed to grant it are absent, and is never reverted.
    BlindChange,
    /// Every node that acknowledges a heartbeat counts for the lease, even one that is not a voter.
    LearnersCount,
}

#[cfg(feature = "planted")]
impl Planted {
    /// All faults that the search can be started with.
    pub const ALL: [Planted; 20] = [
        Planted::OwnVoteEnough,
        Planted::LongLease,
        Planted::LeaseByArrival,
        Planted::ThinMargin,
        Planted::EarlyAnswer,
        Planted::EqualTaken,
        Planted::CommitGoesBack,
        Planted::DigestUnheeded,
        Planted::GrantedTwice,
        Planted::GrantUnsynced,
        Planted::BlankVotes,
        Planted::UnfilledCandidate,
        Planted::MembershipEpochIgnored,
        Planted::BegunForgotten,
        Planted::NeverAdopts,
        Planted::SwapAtOnce,
        Planted::GoneStays,
        Planted::UnfilledNamed,
        Planted::LearnersCount,
        Planted::BlindChange,
    ];
}

#[cfg(not(feature = "planted"))]
impl ControlGroup {
    #[inline(always)]
    pub(crate) const fn planted(&self, _: Planted) -> bool {
        false
    }
}

#[cfg(feature = "planted")]
impl crate::ControlGroup {
    pub(crate) fn planted(&self, fault: Planted) -> bool {
        self.settings.planted == Some(fault)
    }
}
