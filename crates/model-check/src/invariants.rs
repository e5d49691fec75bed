//! The properties that have to hold at every step and at the end of a path, and what was seen of a simulation to check them.

use crate::simulation::{index, Simulation};
use std::collections::BTreeMap;
use stileroute_control_group_planted::{ControlState, Effect, HeartbeatAck, Message, Millis, NodeId, View};

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

impl Simulation {
    /// Checks a node at which something happened.
    pub(crate) fn check_node(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let Some(group) = &node.group else { return };
        let now = node.local_time(self.now);
        if let Some(state) = group.committed().filter(|state| node.observed.committed.as_ref() != Some(state))
        {
            let before = node.observed.committed.replace(state.clone());
            let state = state.clone();
            let back = |before: &ControlState| state.serial < before.serial || state.version < before.version;
            if let Some(before) = before.filter(back) {
                let told = |state: &ControlState| format!("{} (serial {})", state.version, state.serial);
                let evidence = format!("node {i} had {} committed, and now {}", told(&before), told(&state));
                self.invariants.fail(Property::CommitsNeverGoBack, evidence);
            }
            self.invariants.observe(&state, "committed");
        }
        let group = self.nodes[i].group.as_ref();
        let led = group
            .filter(|group| group.holds_lease(now))
            .and_then(|group| group.view())
            .map(|w| (w.epoch, w.primary));
        if let Some((epoch, primary)) = led {
            let first = *self.invariants.primaries.entry(epoch).or_insert(primary);
            if first != primary {
                let evidence = format!("nodes {} and {i} are primary by epoch {epoch}", index(first));
                self.invariants.fail(Property::OnePrimaryPerEpoch, evidence);
            }
        }
        self.check_all_nodes();
    }

    /// Checks all nodes at one moment: which of them would answer now, and what.
    pub(crate) fn check_all_nodes(&mut self) {
        let answers = |(i, node): (usize, &crate::simulation::Node)| {
            let group = node.group.as_ref().filter(|_| !node.is_frozen)?;
            group.can_serve(node.local_time(self.now)).then_some(i)
        };
        let mut acting = self.nodes.iter().enumerate().filter_map(answers);
        let (may_answer, other) = (acting.next(), acting.next());
        if let (Some(one), Some(other)) = (may_answer, other) {
            let evidence = format!("nodes {one} and {other} both answer");
            return self.invariants.fail(Property::OneServingNode, evidence);
        }
        let Some(may_answer) = may_answer else { return };
        self.read(may_answer);
        let view = self.nodes[may_answer].group.as_ref().and_then(|group| group.view()).cloned();
        let (replicas, voters) = view.map(|w| (w.replicas, w.voters)).unzip();
        let is_partitioned: Vec<bool> = (0..self.nodes.len())
            .map(|i| {
                (0..self.nodes.len()).any(|peer| peer != i && self.partition_counts[self.pair(i, peer)] > 0)
            })
            .collect();
        // With fewer voters than before, one that was removed is not replaced yet.
        let has_all_voters = voters.as_ref().is_some_and(|v: &Vec<NodeId>| v.len() >= self.bounds.nodes);
        for (i, node) in self.nodes.iter_mut().enumerate().filter(|(_, n)| n.observed.is_disk_lost) {
            let is_replica = replicas.iter().flatten().any(|replica| index(*replica) == i);
            let is_voter = voters.iter().flatten().any(|voter| index(*voter) == i);
            let is_complete = node
                .group
                .as_ref()
                .is_some_and(|group| !group.is_awaiting_view() && (!is_replica || group.has_state()));
            let is_replaced = !is_replica && !is_voter;
            node.observed.is_disk_lost = !has_all_voters
                || if node.is_gone_for_good {
                    !is_replaced
                } else {
                    !is_complete || (node.was_replaced_while_isolated && is_partitioned[i])
                };
        }
    }

    fn read(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let now = node.local_time(self.now);
        let Some(group) = &mut node.group else { return };
        group.read_configuration(now, 0);
        let Some(Effect::ReadAnswer { state, .. }) = group.take_effects().pop() else { return };
        let (state, highest) = (state.unwrap_or_default(), self.invariants.highest_version);
        if state.version < highest {
            let evidence = format!("node {i} answers {} after {highest}", state.version);
            self.invariants.fail(Property::NoStaleRead, evidence);
        }
        if state.version > 0 {
            self.invariants.observe(&state, "read");
        }
    }

    /// Checks a message that a node is about to send.
    pub(crate) fn check_message(&mut self, i: usize, message: &Message) {
        let node = &mut self.nodes[i];
        let votes = matches!(
            message,
            Message::Granted { .. } | Message::HeartbeatAck(HeartbeatAck { is_voting: true, .. })
        );
        if votes && node.observed.awaits_view {
            let highest = node.observed.told_views.values().max_by_key(|w| w.epoch);
            let told = |w: &View| {
                w.voters.iter().filter(|v| node.observed.told_views.contains_key(&index(**v))).count()
            };
            if highest.is_none_or(|w| told(w) * 2 <= w.voters.len()) {
                let evidence = format!("node {i} votes, and {} have told it", node.observed.told_views.len());
                self.invariants.fail(Property::NoVoteWithoutView, evidence);
            }
            self.nodes[i].observed.awaits_view = false;
        }
        let Message::Granted { view } = message else { return };
        let node = &mut self.nodes[i];
        if node.disk.view.as_ref().is_none_or(|disk| disk.epoch < view.epoch) {
            self.invariants.fail(Property::GrantIsDurable, format!("node {i} grants epoch {}", view.epoch));
        }
        let node = &mut self.nodes[i];
        // One candidate may get it for an older and a newer membership: the grants count for the one that it proposes last, and it
        // does not act before a membership of its own epoch is granted.
        let first = *node.observed.granted.entry(view.epoch).or_insert(view.primary);
        if first != view.primary {
            let (epoch, one, other) = (view.epoch, index(first), index(view.primary));
            let evidence = format!("node {i} grants epoch {epoch} to {one} and {other}");
            self.invariants.fail(Property::OneGrantPerEpoch, evidence);
        }
    }

    /// Checks a node that has become a candidate.
    pub(crate) fn check_candidate(&mut self, i: usize) {
        let node = &self.nodes[i];
        if node.observed.has_ever_lost_disk && node.disk.state.is_none() {
            self.invariants.fail(
                Property::NoCandidacyWithoutState,
                format!("node {i} is candidate with no value on its disk"),
            );
        }
    }

    /// Whether all nodes that are there vote, and none that is gone.
    pub(crate) fn are_voters_settled(&self) -> bool {
        if self.bounds.spare_nodes == 0 {
            return true;
        }
        let may_answer = |node: &&crate::simulation::Node| {
            !node.is_frozen
                && node.group.as_ref().is_some_and(|group| group.can_serve(node.local_time(self.now)))
        };
        let view =
            self.nodes.iter().find(may_answer).and_then(|n| n.group.as_ref()).and_then(|group| group.view());
        let Some(view) = view else { return false };
        // A lost node with none in its place stays a voter: an odd group takes it for one that restarts.
        let is_odd = !view.voters.len().is_multiple_of(2);
        self.nodes.iter().enumerate().all(|(i, node)| {
            let votes = view.voters.contains(&crate::simulation::voter(i));
            votes == (node.group.is_some() && !node.is_gone_for_good)
                || (votes && node.is_gone_for_good && is_odd)
        })
    }

    pub(crate) fn elapsed_since(&self, at: Millis) -> Millis {
        self.now.saturating_sub(at)
    }
}
