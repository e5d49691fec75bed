//! Faults for the search in `crates/model-check/` to find.
//!
//! Only the search's own build of these sources has the feature `planted`. Without it no fault can be set, and the compiler
//! removes the branches.

#[cfg(not(feature = "planted"))]
use crate::ControlGroup;

/// A fault that undoes one rule of the protocol. The name is the one to give to the search on its command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// The lease outlasts the grace period, after which others are voted for.
    LongLease,
    /// The lease counts from when an acknowledgement arrived, not from when its heartbeat was sent.
    LeaseByArrival,
    /// The lease is as long as the grace period, but for 20 ms: clocks that drift make it outlast that.
    ThinMargin,
    /// A write is acknowledged when the first replica has it.
    EarlyAnswer,
    /// Another body of the present version is accepted.
    EqualTaken,
    /// A value that is reported as committed is taken for that, whatever was committed before.
    CommitGoesBack,
    /// A value with the right rank is taken for the committed one, whatever its digest.
    DigestUnheeded,
    /// A candidate becomes primary with its own vote alone.
    OwnVoteEnough,
    /// A voter grants a second view of one epoch.
    GrantedTwice,
    /// A grant is sent before it is on disk.
    GrantUnsynced,
    /// A node that has lost its disk takes itself for one of a new group.
    BlankVotes,
    /// A replica that has lost its value becomes a candidate.
    UnfilledCandidate,
    /// A membership is taken for as new as the epoch that goes with it.
    MembershipEpochIgnored,
    /// A write that a replica may have is answered as not committed.
    BegunForgotten,
    /// No node adopts a view that it is told.
    NeverAdopts,
    /// One voter takes the place of another in one change: majorities of before and after need not meet.
    SwapAtOnce,
    /// A voter is taken for lost after 3 s of silence, and not sooner.
    GoneStays,
    /// A replica is named in place of another before it is filled.
    UnfilledNamed,
    /// A change of voters is begun whoever is present, and never reverted.
    BlindChange,
    /// Any node that acknowledges a heartbeat counts for the lease, also one that is no voter.
    LearnersCount,
}

#[cfg(feature = "planted")]
impl Planted {
    /// All faults.
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
