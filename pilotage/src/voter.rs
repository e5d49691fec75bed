//! A voter's part: granting watches, hearing the primary, standing for the duty, and learning after a lost disk.

use crate::primary::{Duty, Stand};
use crate::{After, Chart, Effect, Millis, Pilotage, Planted, Pulse, Rank, Record, Signal, Voter, Watch};
use std::collections::BTreeMap;

/// What a node that has lost its disk has been told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Learning {
    pub ask_at: Millis,
    pub told: BTreeMap<Voter, Watch>,
}

const ASK: Millis = 200;

/// How a voter that ends waits to be taken out.
#[derive(Clone, Debug)]
pub(crate) struct Leaving {
    /// It ends all the same.
    pub by: Millis,
    pub ask_at: Millis,
}

impl Leaving {
    pub fn next(&self, now: Millis) -> Millis {
        self.by.min(self.ask_at).max(now + 1)
    }
}

/// More than half of the voters are among these.
pub(crate) fn majority<'a>(voters: &[Voter], among: impl Iterator<Item = &'a Voter> + Clone) -> bool {
    voters.iter().filter(|v| among.clone().any(|a| a == *v)).count() * 2 > voters.len()
}

impl Pilotage {
    /// Until then the vote may be lent: to whoever was heard last, or to whom an earlier life of this process acked.
    pub(crate) fn free_at(&self) -> Millis {
        self.heard.max(self.started) + self.terms.silence_ms
    }

    /// It keeps its own vote for this epoch, for a while: others may grant it that at this moment.
    fn stands_for(&self, now: Millis, epoch: u64) -> bool {
        let Duty::Stand(stand) = &self.duty else { return false };
        epoch <= stand.watch.epoch && now < stand.since + self.terms.silence_ms && !stand.lost()
    }

    pub(crate) fn denied(&mut self, now: Millis, from: Voter, watch: Watch) {
        if let Duty::Stand(stand) = &mut self.duty {
            if watch.epoch == stand.watch.epoch && watch != stand.watch {
                stand.against.insert(from);
            }
        }
        self.adopt(now, watch);
    }

    /// Someone wants to be primary, or the primary wants other copies.
    pub(crate) fn proposed(&mut self, now: Millis, from: Voter, watch: Watch, released: bool) {
        if self.blank || from != watch.primary {
            return;
        }
        let Some(mine) = self.watch.clone() else { return };
        // Only what the one that ended has named counts as released: it may lead again, by a later epoch.
        let released = released && watch.epoch == mine.epoch + 1;
        // A watch may be known by hearsay while the vote is lent to another. Before the first epoch nobody led.
        let lent_to_it = self.lent == Some(from) || watch.epoch == 1;
        let free = released || ((lent_to_it || now >= self.free_at()) && !self.leads(now));
        if watch == mine && free {
            return self.grant(from, watch);
        }
        // By the epoch alone, one that missed a change of copies and stood twice would seem to be the newer.
        let fit = (watch.drawn >= mine.drawn || self.planted(Planted::DrawnUnheeded))
            && watch.copies.contains(&from);
        let twice = self.planted(Planted::GrantedTwice) && watch.epoch == mine.epoch && watch != mine;
        let kept = watch.epoch <= mine.epoch || !free || !fit || self.stands_for(now, watch.epoch);
        if kept && !twice {
            return self.send(from, Signal::Denied { watch: mine });
        }
        (self.heard, self.pulsed) = (now, false);
        self.lent = Some(from);
        self.follow(now, watch.clone());
        self.draw_stand(now);
        self.grant(from, watch);
    }

    /// Said only when it is on disk.
    fn grant(&mut self, to: Voter, watch: Watch) {
        if self.safe >= watch.epoch {
            return self.send(to, Signal::Granted { watch });
        }
        if self.planted(Planted::GrantUnsynced) {
            self.send(to, Signal::Granted { watch: watch.clone() });
        }
        self.keep_watch(watch.clone(), After::Grant { to, watch });
    }

    /// Writes it, unless that is under way. Called again when it is asked for again: the disk may have refused it.
    pub(crate) fn keep_watch(&mut self, watch: Watch, after: After) {
        if !self.after.values().any(|pending| pending.watch() == Some(&watch)) {
            self.keep(Record::Watch(watch), after);
        }
    }

    /// Takes a watch over in memory; it is told on only when it is on disk.
    fn follow(&mut self, now: Millis, watch: Watch) {
        self.step_down(now);
        self.left = None;
        if self.primary() != Some(watch.primary) {
            self.contact.other_primary();
        }
        self.safe = self.safe.min(watch.epoch.saturating_sub(1));
        self.watch = Some(watch);
    }

    /// A watch that a majority has granted, or may: a higher epoch counts, and a newer list of copies, each by itself. Who
    /// knows a list that is newer is not voted for by one that does not, and the other way round, so both have to be told.
    pub(crate) fn adopt(&mut self, now: Millis, watch: Watch) {
        let Some(mine) = self.watch.clone().filter(|_| !self.blank) else { return };
        if self.planted(Planted::NeverAdopts) {
            return;
        }
        let (higher, newer) = (watch.epoch > mine.epoch, watch.drawn > mine.drawn);
        // A primary was granted its epoch by more than half: no list that is newer, and not of a later epoch, can have been.
        let asked = matches!(&self.duty, Duty::Lead(lead) if !higher || lead.asks_for(&watch));
        if asked || !(higher || newer) || (!newer && self.stands_for(now, watch.epoch)) {
            return;
        }
        let own = mine.drawn > watch.drawn || self.planted(Planted::DrawnUnheeded);
        let (top, list) = (if higher { &watch } else { &mine }, if own { &mine } else { &watch });
        self.take_up(now, Watch { epoch: top.epoch, primary: top.primary, ..list.clone() });
    }

    fn take_up(&mut self, now: Millis, watch: Watch) {
        self.follow(now, watch.clone());
        // If it was granted, its primary is heard soon: a whole silence more would be too long to wait for one that was not.
        let wait = self.terms.pulse_ms * 2 + self.draw(self.terms.silence_ms / 3);
        self.stand_at = (now + wait).max(self.free_at());
        self.keep_watch(watch.clone(), After::Adopted { watch });
    }

    pub(crate) fn pulsed(&mut self, now: Millis, from: Voter, pulse: Pulse) {
        let Pulse { epoch, sent_at, force, digest, acked } = pulse;
        if self.blank {
            return self.send(from, Signal::PulseAck { epoch, sent_at, votes: false, holds: false });
        }
        let Some(mine) = self.watch.clone() else { return };
        if epoch < mine.epoch {
            if from != mine.primary {
                self.send(from, Signal::Denied { watch: mine });
            }
            // Else it has asked for the later one itself, and will hear that it is granted.
            return;
        }
        if epoch > mine.epoch || from != mine.primary {
            self.pulsing = Some((epoch, from));
            return self.send(from, Signal::WhatWatch);
        }
        (self.heard, self.pulsed) = (now, true);
        self.draw_stand(now);
        if self.safe < mine.epoch {
            return self.keep_watch(mine.clone(), After::Adopted { watch: mine });
        }
        // The own vote is lent from here on: a candidacy that was under way does not count with it any more.
        self.lend(from);
        self.duty = Duty::Follow;
        // One that was taken out as it ends does not join again.
        let votes = !self.released || mine.voters.contains(&self.terms.me);
        acked.into_iter().for_each(|sent_at| self.contact.confirmed(sent_at));
        self.contact.acked(sent_at, now);
        self.send(from, Signal::PulseAck { epoch, sent_at, votes, holds: !self.hollow });
        if self.force.as_ref().map_or(Rank::default(), Chart::rank) < force {
            let same = self.chart.digest() == digest || self.planted(Planted::DigestUnheeded);
            if self.chart.rank() == force && same {
                self.enforce(self.chart.clone());
            } else {
                self.send(from, Signal::AskChart);
            }
        }
    }

    /// The primary wants this written; also to one that is to become a copy.
    pub(crate) fn store(&mut self, from: Voter, epoch: u64, serial: u64, chart: Chart) {
        if self.blank {
            return;
        }
        let Some(mine) = self.watch.clone() else { return };
        if epoch < mine.epoch {
            if from != mine.primary {
                self.send(from, Signal::Denied { watch: mine });
            }
            return;
        }
        if epoch > mine.epoch || from != mine.primary {
            self.pulsing = Some((epoch, from));
            return self.send(from, Signal::WhatWatch);
        }
        let under_way =
            |a: &After| matches!(a, After::Stored { to, serial: s, .. } if *to == from && *s == serial);
        if !self.after.values().any(under_way) {
            let after = After::Stored { to: from, epoch, serial, chart: chart.clone() };
            self.keep(Record::Chart(chart), after);
        }
    }

    /// Nobody has been heard for long enough: a copy stands for the duty.
    pub(crate) fn stand(&mut self, now: Millis) {
        let Some(mine) = self.watch.clone() else { return };
        if now < self.stand_at || self.released || self.leaving.is_some() {
            return;
        }
        if let Duty::Stand(stand) = &self.duty {
            // Asked again: a proposal, or its answer, was lost. The same one, for it may have been granted.
            let (watch, released) = (stand.watch.clone(), stand.released);
            self.stand_at = now + self.terms.pulse_ms;
            if watch == mine && self.safe < watch.epoch {
                self.keep_watch(watch.clone(), After::OwnGrant { watch: watch.clone() });
            }
            return self.propose(&watch, &[], released);
        }
        self.draw_stand(now);
        if now < self.free_at() && self.lent != Some(self.terms.me) {
            return;
        }
        if mine.copies.contains(&self.terms.me) && (!self.hollow || self.planted(Planted::HollowStands)) {
            return self.stand_for(now, false);
        }
        // A change of copies may be known to others than those that it names: only these can stand by it.
        for copy in mine.copies.clone() {
            self.send(copy, Signal::ThisWatch { watch: Some(mine.clone()) });
        }
    }

    /// Asks the others first: the own vote is given when theirs suffice, so one that is cut off raises no epochs.
    fn stand_for(&mut self, now: Millis, released: bool) {
        let Some(mine) = self.watch.clone() else { return };
        let me = self.terms.me;
        // The copies stay those of before, the lost one too: it may yet come back and stand, should this one end.
        let watch = Watch { epoch: mine.epoch + 1, primary: me, ..mine.clone() };
        self.duty = Duty::Stand(Stand::new(now, watch.clone(), mine, released));
        self.stand_at = now + self.terms.pulse_ms;
        self.effects.push(Effect::Turn { epoch: watch.epoch, what: "stands" });
        self.propose(&watch, &[], released);
        self.count_grants(now);
    }

    /// The first watch, which all reckon alike.
    pub(crate) fn stand_first(&mut self, now: Millis, watch: Watch) {
        self.duty = Duty::Stand(Stand::new(now, watch.clone(), watch.clone(), false));
        self.stand_at = now + self.terms.pulse_ms;
        self.propose(&watch, &[], false);
        self.keep_watch(watch.clone(), After::OwnGrant { watch });
    }

    /// Also to those who vote until then: a majority of them has to grant it too.
    pub(crate) fn propose(&mut self, watch: &Watch, before: &[Voter], released: bool) {
        let until_then = before.iter().filter(|v| !watch.voters.contains(v));
        for voter in watch.voters.iter().chain(until_then).copied() {
            self.send(voter, Signal::Propose { watch: watch.clone(), released });
        }
    }

    /// A candidate's grants: with enough of the others' it gives its own, and with that on disk it leads.
    pub(crate) fn count_grants(&mut self, now: Millis) {
        let me = self.terms.me;
        let Duty::Stand(stand) = &self.duty else { return };
        let alone = self.planted(Planted::OwnVoteEnough);
        if !alone && !stand.won(Some(me)) {
            return;
        }
        if (alone || stand.won(None)) && self.safe >= stand.watch.epoch {
            self.begin_duty(now);
            return self.lead(now);
        }
        let watch = stand.watch.clone();
        if self.watch.as_ref() != Some(&watch) {
            self.watch = Some(watch.clone());
            self.keep_watch(watch.clone(), After::OwnGrant { watch });
        }
    }

    /// The primary that ends has named this one.
    pub(crate) fn handed(&mut self, now: Millis, from: Voter, epoch: u64, ends: bool) {
        let me = self.terms.me;
        let by_it = |w: &Watch| w.epoch == epoch && w.primary == from && w.copies.contains(&me) && from != me;
        if self.watch.as_ref().is_some_and(by_it) && !self.blank && !self.hollow && !self.released {
            self.left = Some(from).filter(|_| ends);
            self.stand_for(now, true);
        }
    }

    // ---- Leaving for good ----

    /// Told to end, as a voter of an even group: one that comes in its place has come before it goes. An even group bears no
    /// more losses without it, and as a voter that is gone it would count as lost. In an odd one it is taken for a restart.
    pub(crate) fn leave(&mut self, now: Millis, by: Millis) -> bool {
        let surplus = |w: &Watch| w.voters.len().is_multiple_of(2) && w.voters.contains(&self.terms.me);
        let heard = self.pulsed && now < self.heard + self.terms.silence_ms;
        if self.blank || !heard || !self.watch.as_ref().is_some_and(surplus) {
            return false;
        }
        self.leaving = Some(Leaving { by, ask_at: now });
        self.take_leave(now);
        true
    }

    /// Out of the voters, and with that on disk, or not in time: the process may end. Until then it votes as ever.
    pub(crate) fn take_leave(&mut self, now: Millis) {
        let Some(watch) = self.watch.clone() else { return };
        let Some(leaving) = &mut self.leaving else { return };
        let out = !watch.voters.contains(&self.terms.me) && self.safe >= watch.epoch;
        if out || now >= leaving.by {
            self.leaving = None;
            self.released = true;
            return self.effects.push(Effect::Released);
        }
        if now >= leaving.ask_at {
            leaving.ask_at = now + self.terms.pulse_ms / 4;
            self.send(watch.primary, Signal::Leave { epoch: watch.epoch });
        }
    }

    /// A process that was to end is there again.
    pub(crate) fn is_back(&mut self, voter: Voter) {
        self.left = self.left.filter(|left| *left != voter);
        if let Duty::Lead(lead) = &mut self.duty {
            lead.leaving.remove(&voter);
        }
    }

    // ---- After a lost disk ----

    pub(crate) fn ask_around(&mut self, now: Millis) {
        if now < self.learning.ask_at {
            return;
        }
        self.learning.ask_at = now + ASK;
        let mut all = self.terms.seeds.clone();
        all.extend(self.learning.told.values().flat_map(|w| w.voters.iter().copied()));
        all.extend(self.links.iter().filter(|(_, up)| **up).map(|(voter, _)| *voter));
        all.sort();
        all.dedup();
        for voter in all {
            self.send(voter, Signal::WhatWatch);
        }
    }

    /// What is asked for counts too: the asker may have granted it, and lost its disk.
    pub(crate) fn tell_watch(&mut self, to: Voter) {
        let asked = match &self.duty {
            Duty::Lead(lead) => lead.asked_for(),
            Duty::Stand(stand) => Some(&stand.watch),
            Duty::Follow => None,
        };
        let watch = asked.or(self.watch.as_ref()).filter(|_| !self.blank).cloned();
        self.send(to, Signal::ThisWatch { watch });
    }

    pub(crate) fn told_watch(&mut self, now: Millis, from: Voter, watch: Option<Watch>) {
        let Some(watch) = watch else { return };
        if !self.blank {
            // Two have stood for the same epoch, and the other was granted it: this one's can't be any more.
            let won = self.pulsing == Some((watch.epoch, from)) && watch.primary == from;
            if won && watch.epoch == self.epoch() && self.watch.as_ref() != Some(&watch) {
                return self.take_up(now, watch);
            }
            return self.adopt(now, watch);
        }
        self.learning.told.insert(from, watch);
        let Some(highest) = self.learning.told.values().max_by_key(|w| w.epoch).cloned() else { return };
        let others = self.learning.told.keys().filter(|v| **v != self.terms.me);
        if !majority(&highest.voters, others) {
            return;
        }
        // What this node has granted and forgotten, some of them know, or it was never granted by enough.
        // Named as a copy it is hollow: it votes, but does not stand before the primary has filled it.
        let newest = self.learning.told.values().max_by_key(|w| w.drawn).cloned().unwrap_or(highest.clone());
        self.blank = false;
        self.started = now;
        self.heard = now;
        self.take_up(now, Watch { epoch: highest.epoch, primary: highest.primary, ..newest });
    }
}
