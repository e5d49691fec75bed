//! What must hold at every step, and after a calm.

use crate::world::{index, World};
use std::collections::BTreeMap;
use stileroute_control_group_planted::{ControlState, Effect, HeartbeatAck, Message, Millis, NodeId, View};

/// Each in one sentence: its text is what the search prints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Property {
    OneActs,
    NothingOld,
    OneBody,
    NeverBack,
    OneLeads,
    OneGrant,
    GrantOnDisk,
    BlankIsSilent,
    UnfilledServes,
    NotDoneStays,
    SoonAgain,
    SoonReplaced,
}

impl Property {
    pub const ALL: [Property; 12] = [
        Property::OneActs,
        Property::NothingOld,
        Property::OneBody,
        Property::NeverBack,
        Property::OneLeads,
        Property::OneGrant,
        Property::GrantOnDisk,
        Property::BlankIsSilent,
        Property::UnfilledServes,
        Property::NotDoneStays,
        Property::SoonAgain,
        Property::SoonReplaced,
    ];
    pub fn sentence(self) -> &'static str {
        match self {
            Property::OneActs => "no two nodes answer for the control state at one time",
            Property::NothingOld => {
                "what is read is never older than what was acknowledged or committed before"
            }
            Property::OneBody => "two bodies of one version are never both committed, acknowledged or read",
            Property::NeverBack => "the version committed at a node does not go back within its life",
            Property::OneLeads => "no two nodes lead by one epoch, whenever",
            Property::OneGrant => "a voter grants an epoch to one candidate, also over its ends and restarts",
            Property::GrantOnDisk => "a grant is told only when it is on disk",
            Property::BlankIsSilent => "a node that lost its disk votes only after more than half told it",
            Property::UnfilledServes => "a node that lost its state does not stand before it was filled",
            Property::NotDoneStays => "what was answered as not done is never committed",
            Property::SoonReplaced => "whoever comes soon votes, and whoever it came for does not any more",
            Property::SoonAgain => "after all is healed a write is soon accepted and committed at all nodes",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Breach {
    pub property: Property,
    pub evidence: String,
}

/// What was seen from outside.
#[derive(Clone, Default)]
pub struct Invariants {
    /// Acknowledged, read or committed anywhere, by version.
    pub known: BTreeMap<u64, Vec<u8>>,
    /// The highest of it.
    pub highest: u64,
    /// Who led by which epoch.
    pub led: BTreeMap<u64, NodeId>,
    /// Answered as not done.
    pub never: Vec<ControlState>,
    pub breach: Option<Breach>,
}

/// What was seen of one node.
#[derive(Clone, Default)]
pub struct Seen {
    /// Committed in this life.
    pub committed: Option<ControlState>,
    /// By the disk that it has now.
    pub granted: BTreeMap<u64, NodeId>,
    /// Its disk was lost: it has no vote before these have told it enough.
    pub blank: bool,
    pub told: BTreeMap<usize, View>,
    /// Its disk was lost, and counts as lost until it is whole again.
    pub lost: bool,
}

impl Invariants {
    pub fn fail(&mut self, property: Property, evidence: String) {
        if self.breach.is_none() {
            self.breach = Some(Breach { property, evidence });
        }
    }
    /// Somebody outside may go by this.
    pub fn learn(&mut self, state: &ControlState, how: &str) {
        if self.known.entry(state.version).or_insert_with(|| state.body.clone()) != &state.body {
            let body = String::from_utf8_lossy(&state.body).into_owned();
            self.fail(Property::OneBody, format!("another body of {} is {how}: {body}", state.version));
        }
        if self.never.iter().any(|never| never.same_configuration(state)) {
            self.fail(
                Property::NotDoneStays,
                format!("{} is {how}, and was answered as not done", state.version),
            );
        }
        self.highest = self.highest.max(state.version);
    }
}

impl World {
    /// After something happened at a node.
    pub(crate) fn look_at(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let Some(group) = &node.group else { return };
        let now = node.local(self.now);
        if let Some(state) = group.committed().filter(|state| node.seen.committed.as_ref() != Some(state)) {
            let before = node.seen.committed.replace(state.clone());
            let state = state.clone();
            let back = |before: &ControlState| state.serial < before.serial || state.version < before.version;
            if let Some(before) = before.filter(back) {
                let told = |state: &ControlState| format!("{} (serial {})", state.version, state.serial);
                let evidence = format!("node {i} had {} committed, and now {}", told(&before), told(&state));
                self.invariants.fail(Property::NeverBack, evidence);
            }
            self.invariants.learn(&state, "committed");
        }
        let group = self.nodes[i].group.as_ref();
        let led = group.filter(|p| p.holds_lease(now)).and_then(|p| p.view()).map(|w| (w.epoch, w.primary));
        if let Some((epoch, primary)) = led {
            let first = *self.invariants.led.entry(epoch).or_insert(primary);
            if first != primary {
                let evidence = format!("nodes {} and {i} lead by epoch {epoch}", index(first));
                self.invariants.fail(Property::OneLeads, evidence);
            }
        }
        self.look_around();
    }

    /// All nodes at one moment: who would answer now, and what?
    pub(crate) fn look_around(&mut self) {
        let answers = |(i, node): (usize, &crate::world::Node)| {
            let group = node.group.as_ref().filter(|_| !node.frozen)?;
            group.can_serve(node.local(self.now)).then_some(i)
        };
        let mut acting = self.nodes.iter().enumerate().filter_map(answers);
        let (may_answer, other) = (acting.next(), acting.next());
        if let (Some(one), Some(other)) = (may_answer, other) {
            let evidence = format!("nodes {one} and {other} both answer");
            return self.invariants.fail(Property::OneActs, evidence);
        }
        let Some(may_answer) = may_answer else { return };
        self.read(may_answer);
        let view = self.nodes[may_answer].group.as_ref().and_then(|p| p.view()).cloned();
        let (replicas, voters) = view.map(|w| (w.replicas, w.voters)).unzip();
        let cut_off: Vec<bool> = (0..self.nodes.len())
            .map(|i| (0..self.nodes.len()).any(|peer| peer != i && self.cuts[self.way(i, peer)] > 0))
            .collect();
        // While as many vote as did before; else one that was left out is not replaced yet.
        let complete = voters.as_ref().is_some_and(|v: &Vec<NodeId>| v.len() >= self.bounds.nodes);
        for (i, node) in self.nodes.iter_mut().enumerate().filter(|(_, n)| n.seen.lost) {
            let named = replicas.iter().flatten().any(|replica| index(*replica) == i);
            let votes = voters.iter().flatten().any(|voter| index(*voter) == i);
            let whole =
                node.group.as_ref().is_some_and(|p| !p.is_awaiting_view() && (!named || p.has_state()));
            let replaced = !named && !votes;
            node.seen.lost =
                !complete || if node.gone { !replaced } else { !whole || (node.presumed && cut_off[i]) };
        }
    }

    fn read(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let now = node.local(self.now);
        let Some(group) = &mut node.group else { return };
        group.read_configuration(now, 0);
        let Some(Effect::ReadAnswer { state, .. }) = group.take_effects().pop() else { return };
        let (state, highest) = (state.unwrap_or_default(), self.invariants.highest);
        if state.version < highest {
            let evidence = format!("node {i} answers {} after {highest}", state.version);
            self.invariants.fail(Property::NothingOld, evidence);
        }
        if state.version > 0 {
            self.invariants.learn(&state, "read");
        }
    }

    /// Before it is sent.
    pub(crate) fn look_at_message(&mut self, i: usize, message: &Message) {
        let node = &mut self.nodes[i];
        let votes = matches!(
            message,
            Message::Granted { .. } | Message::HeartbeatAck(HeartbeatAck { is_voting: true, .. })
        );
        if votes && node.seen.blank {
            let highest = node.seen.told.values().max_by_key(|w| w.epoch);
            let told =
                |w: &View| w.voters.iter().filter(|v| node.seen.told.contains_key(&index(**v))).count();
            if highest.is_none_or(|w| told(w) * 2 <= w.voters.len()) {
                let evidence = format!("node {i} votes, and {} have told it", node.seen.told.len());
                self.invariants.fail(Property::BlankIsSilent, evidence);
            }
            self.nodes[i].seen.blank = false;
        }
        let Message::Granted { view } = message else { return };
        let node = &mut self.nodes[i];
        if node.disk.view.as_ref().is_none_or(|disk| disk.epoch < view.epoch) {
            self.invariants.fail(Property::GrantOnDisk, format!("node {i} grants epoch {}", view.epoch));
        }
        let node = &mut self.nodes[i];
        // To one candidate with an older and a newer list is well: its grants count for the one that it asks for last, and it
        // does not act before a list of its own is granted.
        let first = *node.seen.granted.entry(view.epoch).or_insert(view.primary);
        if first != view.primary {
            let (epoch, one, other) = (view.epoch, index(first), index(view.primary));
            let evidence = format!("node {i} grants epoch {epoch} to {one} and {other}");
            self.invariants.fail(Property::OneGrant, evidence);
        }
    }

    /// A state lost with the disk is no reason to stand.
    pub(crate) fn look_at_candidate(&mut self, i: usize) {
        let node = &self.nodes[i];
        if node.wiped && node.disk.state.is_none() {
            self.invariants
                .fail(Property::UnfilledServes, format!("node {i} stands with no state on its disk"));
        }
    }

    /// Of those that are there all vote, and of those that are gone none.
    pub(crate) fn voters_settled(&self) -> bool {
        if self.bounds.spares == 0 {
            return true;
        }
        let may_answer = |node: &&crate::world::Node| {
            !node.frozen && node.group.as_ref().is_some_and(|p| p.can_serve(node.local(self.now)))
        };
        let view = self.nodes.iter().find(may_answer).and_then(|n| n.group.as_ref()).and_then(|p| p.view());
        let Some(view) = view else { return false };
        // One that is gone with nobody in its place stays: an odd group takes it for one that may come back.
        let odd = !view.voters.len().is_multiple_of(2);
        self.nodes.iter().enumerate().all(|(i, node)| {
            let votes = view.voters.contains(&crate::world::voter(i));
            votes == (node.group.is_some() && !node.gone) || (votes && node.gone && odd)
        })
    }

    pub(crate) fn since(&self, at: Millis) -> Millis {
        self.now.saturating_sub(at)
    }
}
