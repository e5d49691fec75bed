//! Who decides on the control state, and which copies hold it. A state machine: events and a steady clock go in,
//! [`Effect`]s come out.
//!
//! The state is one value: the operators' configuration and the stores that are retired, with a serial that rises with each
//! write. A primary writes it whole to every copy before it answers. A small group of voters keeps only the *watch*: the epoch, who is primary, which nodes are
//! copies, and who votes. A majority of voters, each with it on disk first, grants a new watch; no log is replicated.
//!
//! What keeps it safe:
//! - a candidate is a copy by the newest list of copies that a majority knows, so it holds whatever was answered; the list
//!   is as new as the epoch in which a primary had it written down, not as the epoch in which somebody stood;
//! - a primary acts only on acks of pulses that it sent within the lease, and a voter that acked one grants nothing to
//!   others for longer than that: time on steady clocks, never the time of day;
//! - a node that has lost its disk has forgotten what it granted: it votes again only after a majority of the others has
//!   told it where they stand, and as a copy it is hollow, and does not stand, before it was filled.

mod contact;
mod planted;
mod primary;
mod types;
mod voter;

#[cfg(feature = "planted")]
pub use planted::{Planted, Sounder};
pub use types::*;

use contact::Contact;
#[cfg(not(feature = "planted"))]
use planted::Planted;
use primary::Duty;
use std::collections::{BTreeMap, BTreeSet};
use voter::{Learning, Leaving};

/// Control nodes that are heard at one time and are no voters: far more than ever join together.
const LEARNERS: usize = 64;

/// What is done when the disk has a record.
#[derive(Clone, Debug, Hash)]
enum After {
    Grant { to: Voter, watch: Watch },
    OwnGrant { watch: Watch },
    Adopted { watch: Watch },
    Stored { to: Voter, epoch: u64, serial: u64, chart: Chart },
    OwnStored { serial: u64 },
    First,
}

impl After {
    fn watch(&self) -> Option<&Watch> {
        match self {
            After::Grant { watch, .. } | After::OwnGrant { watch } | After::Adopted { watch } => Some(watch),
            _ => None,
        }
    }
}

/// One control node's part.
#[derive(Clone)]
pub struct Pilotage {
    terms: Terms,
    watch: Option<Watch>,
    /// The highest epoch that is on disk: nothing is acked by a watch that a loss of power would take back.
    safe: u64,
    /// Who pulsed by a watch that this node does not know: it has been granted, or it would not pulse.
    pulsing: Option<(u64, Voter)>,
    /// What this node's disk holds: no more than that, unless it is a copy of the highest watch.
    chart: Chart,
    /// The highest that is known to be in force.
    force: Option<Chart>,
    /// Of that: it goes with each pulse, and a configuration may be long.
    force_digest: u64,
    /// It has lost its disk, or never had one: no vote until it has learned.
    blank: bool,
    /// No chart on disk: it may be named as a copy, but is none until it was filled.
    hollow: bool,
    learning: Learning,
    duty: Duty,
    started: Millis,
    /// When the primary was last heard, and pulses were last asked after.
    heard: Millis,
    /// What was heard last was a pulse: `heard` also stands for grants and starts.
    pulsed: bool,
    contact: Contact,
    /// Who has this node's vote until it has been silent.
    lent: Option<Voter>,
    /// The epoch for which the disk has been told of it.
    lent_told: u64,
    /// A candidate waits a random while, so that two do not go on colliding.
    stand_at: Millis,
    learners: BTreeSet<Voter>,
    links: BTreeMap<Voter, bool>,
    after: BTreeMap<u64, After>,
    next_ticket: u64,
    serial: u64,
    luck: u64,
    released: bool,
    /// Its process ends, and it waits to be taken out of the voters.
    leaving: Option<Leaving>,
    /// The primary that ended and named this node: it leaves, unless it is back.
    left: Option<Voter>,
    effects: Vec<Effect>,
}

impl Pilotage {
    pub fn new(terms: Terms, kept: Kept, now: Millis) -> Pilotage {
        let mut seeds = terms.seeds.clone();
        seeds.sort();
        seeds.dedup();
        let epoch = kept.watch.as_ref().map_or(0, |w| w.epoch);
        let lent = kept.lent.filter(|(lent, _)| *lent == epoch).map(|(_, to)| to);
        let mut pilotage = Pilotage {
            blank: kept.watch.is_none(),
            hollow: kept.chart.is_none(),
            safe: kept.watch.as_ref().map_or(0, |w| w.epoch),
            pulsing: None,
            watch: kept.watch,
            chart: kept.chart.unwrap_or_default(),
            force: None,
            force_digest: 0,
            learning: Learning::default(),
            duty: Duty::Follow,
            started: now,
            heard: now,
            pulsed: false,
            contact: Contact::default(),
            lent,
            lent_told: lent.map_or(0, |_| epoch),
            stand_at: 0,
            learners: BTreeSet::new(),
            links: BTreeMap::new(),
            after: BTreeMap::new(),
            next_ticket: 1,
            serial: terms.seed | 1,
            luck: terms.seed,
            released: false,
            leaving: None,
            left: None,
            effects: Vec::new(),
            terms,
        };
        let first = pilotage.terms.first_start || pilotage.planted(Planted::BlankVotes);
        if pilotage.watch.is_none() && first && seeds.contains(&pilotage.terms.me) {
            // Reckoned alike by all that begin: nothing has to be elected, and nobody waits for anybody.
            let copies = seeds.iter().take(pilotage.terms.bears(seeds.len()) + 1).copied().collect();
            let watch = Watch { epoch: 1, primary: seeds[0], copies, voters: seeds, drawn: 1 };
            pilotage.blank = false;
            if watch.copies.contains(&pilotage.terms.me) {
                // That there is none yet is known too: a copy without a chart counts as one that lost it.
                pilotage.hollow = false;
                pilotage.keep(Record::Chart(Chart::default()), After::First);
            }
            pilotage.watch = Some(watch.clone());
            if watch.primary == pilotage.terms.me {
                pilotage.stand_first(now, watch);
                return pilotage;
            }
            pilotage.keep_watch(watch.clone(), After::Adopted { watch });
        }
        pilotage.draw_stand(now);
        if pilotage.lent == Some(pilotage.terms.me) {
            // It led, and lent its own vote to nobody else: nothing has to run out before it asks the others again.
            pilotage.stand_at = now;
        }
        pilotage
    }

    /// The vote is with the primary of the present epoch.
    fn lend(&mut self, to: Voter) {
        self.lent = Some(to);
        let epoch = self.epoch();
        if std::mem::replace(&mut self.lent_told, epoch) != epoch {
            self.keep(Record::Lent { epoch, to }, After::First);
        }
    }

    fn draw(&mut self, most: u64) -> u64 {
        self.luck = self.luck.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.luck >> 33) % most.max(1)
    }

    fn draw_stand(&mut self, now: Millis) {
        // After a start of all, the one that was primary before is the first to stand.
        let wait =
            if self.primary() == Some(self.terms.me) { 0 } else { self.draw(self.terms.silence_ms / 3) };
        self.stand_at = now + self.terms.silence_ms + wait;
    }

    fn send(&mut self, to: Voter, signal: Signal) {
        if to != self.terms.me {
            self.effects.push(Effect::Send { to, signal });
        }
    }

    fn keep(&mut self, record: Record, after: After) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.after.insert(ticket, after);
        self.effects.push(Effect::Keep { ticket, record });
    }

    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn watch(&self) -> Option<&Watch> {
        self.watch.as_ref()
    }
    pub fn blank(&self) -> bool {
        self.blank
    }
    pub fn in_force(&self) -> Option<&Chart> {
        self.force.as_ref()
    }
    /// What this node's disk holds. At the primary, what it decides by.
    pub fn held(&self) -> &Chart {
        &self.chart
    }
    /// It leads, or a primary that held the lease has heard it, and it that primary, not long ago: what it tells others is
    /// not of yesterday.
    pub fn in_touch(&self, now: Millis) -> bool {
        !self.blank && (self.leads(now) || self.contact.within(now, 2 * self.terms.silence_ms))
    }
    /// Who decides, as far as is known here.
    pub fn primary(&self) -> Option<Voter> {
        self.watch.as_ref().map(|w| w.primary)
    }
    fn epoch(&self) -> u64 {
        self.watch.as_ref().map_or(0, |w| w.epoch)
    }

    /// A connection to another control node is open, or broke.
    pub fn link(&mut self, now: Millis, voter: Voter, up: bool) {
        self.links.insert(voter, up);
        if up {
            self.is_back(voter);
        } else {
            self.learners.remove(&voter);
        }
        if up && self.blank {
            self.learning.ask_at = now;
        }
        // The primary's process ended: no pulse will come. A short wait is left for one that starts again at once.
        if !up && self.primary() == Some(voter) && matches!(self.duty, Duty::Follow) {
            self.stand_at = self.stand_at.min(now.max(self.free_at()) + self.terms.pulse_ms / 2);
        }
    }

    /// A control node that is no voter has a session: it hears the pulses, and may become one.
    pub fn learn(&mut self, voter: Voter) {
        if voter != self.terms.me && self.links.get(&voter) != Some(&false) && self.learners.len() < LEARNERS
        {
            self.learners.insert(voter);
        }
    }

    /// A chart is in force: never one below what was in force here before.
    fn enforce(&mut self, chart: Chart) {
        let newer = self.force.as_ref().is_none_or(|old| chart.rank() > old.rank());
        if (newer || self.planted(Planted::ForceBlind) && self.force.as_ref() != Some(&chart))
            && chart.serial > 0
        {
            self.effects.push(Effect::InForce { serial: chart.serial });
            self.force_digest = chart.digest();
            self.force = Some(chart);
        }
    }

    /// The disk has a record, or could not take it.
    pub fn kept(&mut self, now: Millis, ticket: u64, ok: bool) {
        let Some(after) = self.after.remove(&ticket) else { return };
        match (after, ok) {
            // One that was overtaken in the meantime is not told on.
            (After::Grant { to, watch }, true) if self.watch.as_ref() == Some(&watch) => {
                self.safe = self.safe.max(watch.epoch);
                self.send(to, Signal::Granted { watch });
            }
            (After::OwnGrant { watch }, true) => {
                if self.watch.as_ref() == Some(&watch) {
                    self.safe = self.safe.max(watch.epoch);
                }
                self.granted(now, self.terms.me, watch);
            }
            (After::Adopted { watch }, true) if self.watch.as_ref() == Some(&watch) => {
                self.safe = self.safe.max(watch.epoch);
            }
            (After::Stored { to, epoch, serial, chart }, true) if epoch == self.epoch() => {
                self.chart = chart;
                self.hollow = false;
                self.send(to, Signal::Stored { epoch, serial });
            }
            (After::OwnStored { serial }, true) => self.stored(now, self.terms.me, self.epoch(), serial),
            (After::OwnStored { .. } | After::OwnGrant { .. }, false) => self.own_disk_failed(now),
            _ => {}
        }
    }

    pub fn signal(&mut self, now: Millis, from: Voter, signal: Signal) {
        match signal {
            Signal::Propose { watch, released } => self.proposed(now, from, watch, released),
            Signal::Granted { watch } => self.granted(now, from, watch),
            Signal::Denied { watch } => self.denied(now, from, watch),
            Signal::Store { epoch, serial, chart } => self.store(from, epoch, serial, chart),
            Signal::Stored { epoch, serial } => self.stored(now, from, epoch, serial),
            Signal::Pulse(pulse) => self.pulsed(now, from, pulse),
            Signal::PulseAck { epoch, sent_at, votes, holds } => {
                self.acked(now, from, epoch, sent_at, (votes, holds))
            }
            Signal::Handover { epoch, ends } => self.handed(now, from, epoch, ends),
            Signal::Leave { epoch } => self.leaves(now, from, epoch),
            Signal::WhatWatch => self.tell_watch(from),
            Signal::ThisWatch { watch } => self.told_watch(now, from, watch),
            Signal::AskChart => {
                if let Some(chart) = self.force.clone() {
                    self.send(from, Signal::ThisChart { chart });
                }
            }
            Signal::ThisChart { chart } => self.enforce(chart),
        }
    }

    /// What is due; call it at `next`, and after each event.
    pub fn tick(&mut self, now: Millis) {
        if self.blank {
            self.ask_around(now);
            return;
        }
        self.take_leave(now);
        match self.duty {
            Duty::Lead(_) => self.lead(now),
            Duty::Stand(_) | Duty::Follow => self.stand(now),
        }
    }

    pub fn next(&self, now: Millis) -> Millis {
        if self.blank {
            return self.learning.ask_at.max(now + 1);
        }
        match &self.duty {
            Duty::Lead(lead) => lead.next(now, &self.terms),
            _ if self.leaving.is_some() => self.leaving.as_ref().map_or(now + 1, |l| l.next(now)),
            // It stands no more: nothing is due but what comes in.
            _ if self.released => now + self.terms.silence_ms,
            Duty::Stand(_) | Duty::Follow => self.stand_at.max(now + 1),
        }
    }
}
