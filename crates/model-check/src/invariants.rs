//! The properties that have to hold at every step and at the end of a path, and what was seen so far to check them.

use std::collections::BTreeMap;
use stileroute_control_group_planted::{ControlState, NodeId, View};

/// A property of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Property {
    /// No two nodes answer for the control state at one time.
    OneServingNode,
    /// A read returns nothing older than what was acknowledged or committed before.
    NoStaleRead,
    /// A version has one body.
    OneBodyPerVersion,
    /// What is committed at a node does not go back.
    CommitsNeverGoBack,
    /// An epoch has one primary.
    OnePrimaryPerEpoch,
    /// A voter grants an epoch to one candidate.
    OneGrantPerEpoch,
    /// A grant is on disk before it is sent.
    GrantIsDurable,
    /// A node that has lost its disk learns the view before it votes.
    NoVoteWithoutView,
    /// A node that has lost its value is filled before it becomes a candidate.
    NoCandidacyWithoutState,
    /// What was answered as not committed never is.
    NotCommittedStaysSo,
    /// Without faults a write is soon accepted and committed.
    RecoversSoon,
    /// A node that comes soon votes, and the one that it replaces does not.
    ReplacedSoon,
}

impl Property {
    /// All properties.
    pub const ALL: [Property; 12] = [
        Property::OneServingNode,
        Property::NoStaleRead,
        Property::OneBodyPerVersion,
        Property::CommitsNeverGoBack,
        Property::OnePrimaryPerEpoch,
        Property::OneGrantPerEpoch,
        Property::GrantIsDurable,
        Property::NoVoteWithoutView,
        Property::NoCandidacyWithoutState,
        Property::NotCommittedStaysSo,
        Property::RecoversSoon,
        Property::ReplacedSoon,
    ];
    /// The property in one sentence, as the search prints it.
    pub fn sentence(self) -> &'static str {
        match self {
            Property::OneServingNode => "no two nodes answer for the control state at one time",
            Property::NoStaleRead => {
                "what is read is never older than what was acknowledged or committed before"
            }
            Property::OneBodyPerVersion => {
                "two bodies of one version are never both committed, acknowledged or read"
            }
            Property::CommitsNeverGoBack => {
                "the version committed at a node does not go back while its process runs"
            }
            Property::OnePrimaryPerEpoch => "no two nodes are primary by one epoch, at any time",
            Property::OneGrantPerEpoch => "a voter grants an epoch to one candidate, also over restarts",
            Property::GrantIsDurable => "a grant is sent only when it is on disk",
            Property::NoVoteWithoutView => {
                "a node that lost its disk votes only after a majority has sent it their view"
            }
            Property::NoCandidacyWithoutState => {
                "a node that lost its value is no candidate before it is filled"
            }
            Property::NotCommittedStaysSo => "what was answered as not committed is never committed",
            Property::ReplacedSoon => {
                "a node that comes soon votes, and the one that it replaces does not any more"
            }
            Property::RecoversSoon => {
                "after all is healed a write is soon accepted and committed at all nodes"
            }
        }
    }
}

/// A property that was violated.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which one.
    pub property: Property,
    /// What was seen.
    pub evidence: String,
}

/// What was seen of the group from outside, and the first violation.
#[derive(Clone, Default)]
pub struct Invariants {
    /// The body that was acknowledged, read or committed anywhere, by version.
    pub bodies: BTreeMap<u64, Vec<u8>>,
    /// The highest of these versions.
    pub highest_version: u64,
    /// Which node was primary, by epoch.
    pub primaries: BTreeMap<u64, NodeId>,
    /// Submitted, and answered as not committed.
    pub rejected: Vec<ControlState>,
    /// The first violation: the path ends with it.
    pub violation: Option<Violation>,
}

/// What was seen of one node.
#[derive(Clone, Default)]
pub struct Observed {
    /// Committed since its process was started.
    pub committed: Option<ControlState>,
    /// To whom it granted which epoch, with the disk that it has now.
    pub granted: BTreeMap<u64, NodeId>,
    /// Its disk was lost: it has no vote before it has been told enough views.
    pub awaits_view: bool,
    /// The last view that each node has told it.
    pub told_views: BTreeMap<usize, View>,
    /// It has lost its disk once, or ended before anything was on it.
    pub has_ever_lost_disk: bool,
    /// Its disk was lost, and counts as lost until the node is complete or replaced.
    pub is_disk_lost: bool,
}

impl Invariants {
    /// Notes a violation, if it is the first.
    pub fn fail(&mut self, property: Property, evidence: String) {
        if self.violation.is_none() {
            self.violation = Some(Violation { property, evidence });
        }
    }
    /// Somebody outside the group may rely on this value from here on.
    pub fn observe(&mut self, state: &ControlState, how: &str) {
        if self.bodies.entry(state.version).or_insert_with(|| state.body.clone()) != &state.body {
            let body = String::from_utf8_lossy(&state.body).into_owned();
            self.fail(
                Property::OneBodyPerVersion,
                format!("another body of {} is {how}: {body}", state.version),
            );
        }
        if self.rejected.iter().any(|rejected| rejected.same_configuration(state)) {
            self.fail(
                Property::NotCommittedStaysSo,
                format!("{} is {how}, and was answered as not committed", state.version),
            );
        }
        self.highest_version = self.highest_version.max(state.version);
    }
}
