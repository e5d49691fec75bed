//! Checks of the properties, after each step of a simulation.

use crate::invariants::Property;
use crate::simulation::{index, voter, Node, Simulation};
use stileroute_control_group_planted::{ControlState, Effect, HeartbeatAck, Message, Millis, NodeId, View};

impl Simulation {
    /// Checks a node at which something happened.
    pub(crate) fn check_node(&mut self, i: usize) {
        if self.nodes[i].group.is_none() {
            return;
        }
        self.check_committed(i);
        self.check_primary(i);
        self.check_all_nodes();
    }

    /// What is committed at a node never goes back.
    fn check_committed(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let committed = node.group.as_ref().and_then(|group| group.committed());
        let Some(state) = committed.filter(|state| node.observed.committed.as_ref() != Some(state)).cloned()
        else {
            return;
        };
        let before = node.observed.committed.replace(state.clone());
        let goes_back =
            |before: &ControlState| state.serial < before.serial || state.version < before.version;
        if let Some(before) = before.filter(goes_back) {
            let describe = |state: &ControlState| format!("{} (serial {})", state.version, state.serial);
            let (before, now) = (describe(&before), describe(&state));
            let evidence = format!("node {i} had {before} committed, and now {now}");
            self.invariants.fail(Property::CommitsNeverGoBack, evidence);
        }
        self.invariants.observe(&state, "committed");
    }

    /// An epoch has one primary.
    fn check_primary(&mut self, i: usize) {
        let node = &self.nodes[i];
        let now = node.local_time(self.now);
        let primary = node.group.as_ref().filter(|group| group.holds_lease(now));
        let Some(view) = primary.and_then(|group| group.view()) else { return };
        let (epoch, primary) = (view.epoch, view.primary);
        let first = *self.invariants.primaries.entry(epoch).or_insert(primary);
        if first != primary {
            let evidence = format!("nodes {} and {i} are primary by epoch {epoch}", index(first));
            self.invariants.fail(Property::OnePrimaryPerEpoch, evidence);
        }
    }

    /// Checks all nodes at one moment: which of them would answer now, and what.
    pub(crate) fn check_all_nodes(&mut self) {
        let mut serving =
            self.nodes.iter().enumerate().filter(|(_, node)| self.can_serve(node)).map(|(i, _)| i);
        let (first, second) = (serving.next(), serving.next());
        if let (Some(one), Some(other)) = (first, second) {
            let evidence = format!("nodes {one} and {other} both answer");
            return self.invariants.fail(Property::OneServingNode, evidence);
        }
        if let Some(serving) = first {
            self.check_read(serving);
            self.note_recovered_disks(serving);
        }
    }

    fn can_serve(&self, node: &Node) -> bool {
        let now = node.local_time(self.now);
        !node.is_frozen && node.group.as_ref().is_some_and(|group| group.can_serve(now))
    }

    /// A read returns nothing older than what was acknowledged or committed before.
    fn check_read(&mut self, i: usize) {
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

    /// A lost disk counts as lost until the node is complete again, or was replaced: by the view of the node that serves.
    fn note_recovered_disks(&mut self, serving: usize) {
        let view = self.nodes[serving].group.as_ref().and_then(|group| group.view());
        let Some(view) = view.cloned() else { return };
        let is_partitioned: Vec<bool> = (0..self.nodes.len()).map(|i| self.is_partitioned(i)).collect();
        // With fewer voters than before, one that was removed is not replaced yet.
        let has_all_voters = view.voters.len() >= self.bounds.nodes;
        for (i, node) in self.nodes.iter_mut().enumerate().filter(|(_, node)| node.observed.is_disk_lost) {
            let is_recovered = if node.is_gone_for_good {
                is_replaced(&view, i)
            } else {
                is_complete(node, &view, i) && !(node.was_replaced_while_isolated && is_partitioned[i])
            };
            node.observed.is_disk_lost = !has_all_voters || !is_recovered;
        }
    }

    fn is_partitioned(&self, i: usize) -> bool {
        (0..self.nodes.len()).any(|peer| peer != i && self.partition_counts[self.pair(i, peer)] > 0)
    }

    /// Checks a message that a node is about to send.
    pub(crate) fn check_message(&mut self, i: usize, message: &Message) {
        let is_vote = matches!(
            message,
            Message::Granted { .. } | Message::HeartbeatAck(HeartbeatAck { is_voting: true, .. })
        );
        if is_vote && self.nodes[i].observed.awaits_view {
            self.check_first_vote(i);
        }
        if let Message::Granted { view } = message {
            self.check_grant(i, view);
        }
    }

    /// A node that has lost its disk has been told their view by a majority before it votes.
    fn check_first_vote(&mut self, i: usize) {
        let observed = &mut self.nodes[i].observed;
        observed.awaits_view = false;
        let told = &observed.told_views;
        let has_told = |voter: &&NodeId| told.contains_key(&index(**voter));
        let is_majority = |view: &View| view.voters.iter().filter(has_told).count() * 2 > view.voters.len();
        let highest = told.values().max_by_key(|view| view.epoch);
        if !highest.is_some_and(is_majority) {
            let evidence = format!("node {i} votes, and {} have told it", told.len());
            self.invariants.fail(Property::NoVoteWithoutView, evidence);
        }
    }

    /// A grant is on disk, and the only one of its epoch.
    fn check_grant(&mut self, i: usize, view: &View) {
        let node = &mut self.nodes[i];
        if node.disk.view.as_ref().is_none_or(|disk| disk.epoch < view.epoch) {
            let evidence = format!("node {i} grants epoch {}", view.epoch);
            self.invariants.fail(Property::GrantIsDurable, evidence);
        }
        // One candidate may get it for an older and a newer membership: the grants count for the one that it proposes last, and
        // it does not act before a membership of its own epoch is granted.
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
            let evidence = format!("node {i} is candidate with no value on its disk");
            self.invariants.fail(Property::NoCandidacyWithoutState, evidence);
        }
    }

    /// Whether all nodes that are there vote, and none that is gone.
    pub(crate) fn are_voters_settled(&self) -> bool {
        if self.bounds.spare_nodes == 0 {
            return true;
        }
        let serving = self.nodes.iter().find(|node| self.can_serve(node));
        let group = serving.and_then(|node| node.group.as_ref());
        let Some(view) = group.and_then(|group| group.view()) else { return false };
        // A lost node with none in its place stays a voter: an odd group takes it for one that restarts.
        let is_odd = !view.voters.len().is_multiple_of(2);
        self.nodes.iter().enumerate().all(|(i, node)| {
            let is_voter = view.voters.contains(&voter(i));
            let is_there = node.group.is_some() && !node.is_gone_for_good;
            is_voter == is_there || (is_voter && node.is_gone_for_good && is_odd)
        })
    }

    pub(crate) fn elapsed_since(&self, at: Millis) -> Millis {
        self.now.saturating_sub(at)
    }
}

/// Whether the node knows the view, and has a value if it is a replica.
fn is_complete(node: &Node, view: &View, i: usize) -> bool {
    let is_replica = view.replicas.contains(&voter(i));
    let has_all = |has_state: bool| !is_replica || has_state;
    node.group.as_ref().is_some_and(|group| !group.is_awaiting_view() && has_all(group.has_state()))
}

/// Whether the node is out of the group.
fn is_replaced(view: &View, i: usize) -> bool {
    !view.replicas.contains(&voter(i)) && !view.voters.contains(&voter(i))
}
