//! What must hold at every step, and after a calm.

use crate::sea::{index, Sea};
use std::collections::BTreeMap;
use stileroute_pilotage_planted::{Chart, Effect, Millis, Signal, Voter, Watch};

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
    HollowSits,
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
        Property::HollowSits,
        Property::NotDoneStays,
        Property::SoonAgain,
        Property::SoonReplaced,
    ];
    pub fn sentence(self) -> &'static str {
        match self {
            Property::OneActs => "no two nodes answer for the control state at one time",
            Property::NothingOld => {
                "what is read is never older than what was acknowledged or in force before"
            }
            Property::OneBody => "two bodies of one version are never both in force, acknowledged or read",
            Property::NeverBack => "the version in force at a node does not go back within its life",
            Property::OneLeads => "no two nodes lead by one epoch, whenever",
            Property::OneGrant => "a voter grants an epoch to one candidate, also over its ends and restarts",
            Property::GrantOnDisk => "a grant is told only when it is on disk",
            Property::BlankIsSilent => "a node that lost its disk votes only after more than half told it",
            Property::HollowSits => "a node that lost its chart does not stand before it was filled",
            Property::NotDoneStays => "what was answered as not done is never in force",
            Property::SoonReplaced => "whoever comes soon votes, and whoever it came for does not any more",
            Property::SoonAgain => "after all is healed a write is soon accepted and in force at all nodes",
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
pub struct Lookout {
    /// Acknowledged, read or in force anywhere, by version.
    pub known: BTreeMap<u64, Vec<u8>>,
    /// The highest of it.
    pub highest: u64,
    /// Who led by which epoch.
    pub led: BTreeMap<u64, Voter>,
    /// Answered as not done.
    pub never: Vec<Chart>,
    pub breach: Option<Breach>,
}

/// What was seen of one node.
#[derive(Clone, Default)]
pub struct Seen {
    /// In force in this life.
    pub force: Option<Chart>,
    /// By the disk that it has now.
    pub granted: BTreeMap<u64, Voter>,
    /// Its disk was lost: it has no vote before these have told it enough.
    pub blank: bool,
    pub told: BTreeMap<usize, Watch>,
    /// Its disk was lost, and counts as lost until it is whole again.
    pub lost: bool,
}

impl Lookout {
    pub fn fail(&mut self, property: Property, evidence: String) {
        if self.breach.is_none() {
            self.breach = Some(Breach { property, evidence });
        }
    }
    /// Somebody outside may go by this.
    pub fn learn(&mut self, chart: &Chart, how: &str) {
        if self.known.entry(chart.version).or_insert_with(|| chart.body.clone()) != &chart.body {
            let body = String::from_utf8_lossy(&chart.body).into_owned();
            self.fail(Property::OneBody, format!("another body of {} is {how}: {body}", chart.version));
        }
        if self.never.iter().any(|never| never.same_configuration(chart)) {
            self.fail(
                Property::NotDoneStays,
                format!("{} is {how}, and was answered as not done", chart.version),
            );
        }
        self.highest = self.highest.max(chart.version);
    }
}

impl Sea {
    /// After something happened at a node.
    pub(crate) fn look_at(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let Some(pilot) = &node.pilot else { return };
        let now = node.local(self.now);
        if let Some(chart) = pilot.in_force().filter(|chart| node.seen.force.as_ref() != Some(chart)) {
            let before = node.seen.force.replace(chart.clone());
            let chart = chart.clone();
            let back = |before: &Chart| chart.serial < before.serial || chart.version < before.version;
            if let Some(before) = before.filter(back) {
                let told = |chart: &Chart| format!("{} (serial {})", chart.version, chart.serial);
                let evidence = format!("node {i} had {} in force, and now {}", told(&before), told(&chart));
                self.lookout.fail(Property::NeverBack, evidence);
            }
            self.lookout.learn(&chart, "in force");
        }
        let pilot = self.nodes[i].pilot.as_ref();
        let led = pilot.filter(|p| p.leads(now)).and_then(|p| p.watch()).map(|w| (w.epoch, w.primary));
        if let Some((epoch, primary)) = led {
            let first = *self.lookout.led.entry(epoch).or_insert(primary);
            if first != primary {
                let evidence = format!("nodes {} and {i} lead by epoch {epoch}", index(first));
                self.lookout.fail(Property::OneLeads, evidence);
            }
        }
        self.look_around();
    }

    /// All nodes at one moment: who would answer now, and what?
    pub(crate) fn look_around(&mut self) {
        let answers = |(i, node): (usize, &crate::sea::Node)| {
            let pilot = node.pilot.as_ref().filter(|_| !node.frozen)?;
            pilot.answers(node.local(self.now)).then_some(i)
        };
        let mut acting = self.nodes.iter().enumerate().filter_map(answers);
        let (acts, other) = (acting.next(), acting.next());
        if let (Some(one), Some(other)) = (acts, other) {
            let evidence = format!("nodes {one} and {other} both answer");
            return self.lookout.fail(Property::OneActs, evidence);
        }
        let Some(acts) = acts else { return };
        self.read(acts);
        let watch = self.nodes[acts].pilot.as_ref().and_then(|p| p.watch()).cloned();
        let (copies, voters) = watch.map(|w| (w.copies, w.voters)).unzip();
        let cut_off: Vec<bool> = (0..self.nodes.len())
            .map(|i| (0..self.nodes.len()).any(|peer| peer != i && self.cuts[self.way(i, peer)] > 0))
            .collect();
        // While as many vote as did before; else one that was left out is not replaced yet.
        let complete = voters.as_ref().is_some_and(|v: &Vec<Voter>| v.len() >= self.bounds.nodes);
        for (i, node) in self.nodes.iter_mut().enumerate().filter(|(_, n)| n.seen.lost) {
            let named = copies.iter().flatten().any(|copy| index(*copy) == i);
            let votes = voters.iter().flatten().any(|voter| index(*voter) == i);
            let whole = node.pilot.as_ref().is_some_and(|p| !p.blank() && (!named || !p.hollow()));
            let replaced = !named && !votes;
            node.seen.lost =
                !complete || if node.gone { !replaced } else { !whole || (node.presumed && cut_off[i]) };
        }
    }

    fn read(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let now = node.local(self.now);
        let Some(pilot) = &mut node.pilot else { return };
        pilot.read(now, 0);
        let Some(Effect::Chart { chart, .. }) = pilot.take().pop() else { return };
        let (chart, highest) = (chart.unwrap_or_default(), self.lookout.highest);
        if chart.version < highest {
            let evidence = format!("node {i} answers {} after {highest}", chart.version);
            self.lookout.fail(Property::NothingOld, evidence);
        }
        if chart.version > 0 {
            self.lookout.learn(&chart, "read");
        }
    }

    /// Before it is sent.
    pub(crate) fn look_at_signal(&mut self, i: usize, signal: &Signal) {
        let node = &mut self.nodes[i];
        let votes = matches!(signal, Signal::Granted { .. } | Signal::PulseAck { votes: true, .. });
        if votes && node.seen.blank {
            let highest = node.seen.told.values().max_by_key(|w| w.epoch);
            let told =
                |w: &Watch| w.voters.iter().filter(|v| node.seen.told.contains_key(&index(**v))).count();
            if highest.is_none_or(|w| told(w) * 2 <= w.voters.len()) {
                let evidence = format!("node {i} votes, and {} have told it", node.seen.told.len());
                self.lookout.fail(Property::BlankIsSilent, evidence);
            }
            self.nodes[i].seen.blank = false;
        }
        let Signal::Granted { watch } = signal else { return };
        let node = &mut self.nodes[i];
        if node.disk.watch.as_ref().is_none_or(|disk| disk.epoch < watch.epoch) {
            self.lookout.fail(Property::GrantOnDisk, format!("node {i} grants epoch {}", watch.epoch));
        }
        let node = &mut self.nodes[i];
        // To one candidate with an older and a newer list is well: its grants count for the one that it asks for last, and it
        // does not act before a list of its own is granted.
        let first = *node.seen.granted.entry(watch.epoch).or_insert(watch.primary);
        if first != watch.primary {
            let (epoch, one, other) = (watch.epoch, index(first), index(watch.primary));
            let evidence = format!("node {i} grants epoch {epoch} to {one} and {other}");
            self.lookout.fail(Property::OneGrant, evidence);
        }
    }

    /// A chart lost with the disk is no reason to stand.
    pub(crate) fn look_at_candidate(&mut self, i: usize) {
        let node = &self.nodes[i];
        if node.wiped && node.disk.chart.is_none() {
            self.lookout.fail(Property::HollowSits, format!("node {i} stands with no chart on its disk"));
        }
    }

    /// Of those that are there all vote, and of those that are gone none.
    pub(crate) fn voters_settled(&self) -> bool {
        if self.bounds.spares == 0 {
            return true;
        }
        let acts = |node: &&crate::sea::Node| {
            !node.frozen && node.pilot.as_ref().is_some_and(|p| p.answers(node.local(self.now)))
        };
        let watch = self.nodes.iter().find(acts).and_then(|n| n.pilot.as_ref()).and_then(|p| p.watch());
        let Some(watch) = watch else { return false };
        // One that is gone with nobody in its place stays: an odd group takes it for one that may come back.
        let odd = !watch.voters.len().is_multiple_of(2);
        self.nodes.iter().enumerate().all(|(i, node)| {
            let votes = watch.voters.contains(&crate::sea::voter(i));
            votes == (node.pilot.is_some() && !node.gone) || (votes && node.gone && odd)
        })
    }

    pub(crate) fn since(&self, at: Millis) -> Millis {
        self.now.saturating_sub(at)
    }
}
