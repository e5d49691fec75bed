//! A voter's part: granting watches, hearing the primary, standing for the duty, and learning after a lost disk.

use crate::primary::{Duty, Stand};
use crate::{After, Chart, Effect, Millis, Pilotage, Record, Signal, Voter, Watch};
use std::collections::BTreeMap;

/// What a node that has lost its disk has been told.
#[derive(Debug, Default)]
pub(crate) struct Learning {
    pub ask_at: Millis,
    told: BTreeMap<Voter, Watch>,
}

const ASK: Millis = 200;

/// More than half of the voters are among these.
pub(crate) fn majority<'a>(voters: &[Voter], among: impl Iterator<Item = &'a Voter> + Clone) -> bool {
    voters.iter().filter(|v| among.clone().any(|a| a == *v)).count() * 2 > voters.len()
}

impl Pilotage {
    /// Someone wants to be primary, or the primary wants other copies.
    pub(crate) fn proposed(&mut self, now: Millis, from: Voter, watch: Watch, released: bool) {
        if self.blank || from != watch.primary {
            return;
        }
        let Some(mine) = self.watch.clone() else { return };
        if watch == mine {
            // Known in memory is not enough: a loss of power would take the vote back. It is asked for again.
            if self.safe >= watch.epoch {
                self.send(from, Signal::Granted { epoch: watch.epoch });
            }
            return;
        }
        let quiet = now >= self.heard + self.terms.silence_ms && now >= self.started + self.terms.silence_ms;
        // Whoever acked a pulse has lent the primary its vote for a while; and after a start nobody knows what it acked.
        let free = from == mine.primary || released || (quiet && !self.leads(now));
        let fit = watch.epoch > mine.epoch + 1 || from == mine.primary || mine.copies.contains(&from);
        if watch.epoch <= mine.epoch || !free || !fit {
            return self.send(from, Signal::Denied { watch: mine });
        }
        self.heard = now;
        self.draw_stand(now);
        self.follow(now, watch.clone());
        let epoch = watch.epoch;
        self.keep(Record::Watch(watch), After::Grant { to: from, epoch });
    }

    /// Takes a watch over in memory; it is told on only when it is on disk.
    pub(crate) fn follow(&mut self, now: Millis, watch: Watch) {
        if watch.primary != self.terms.me {
            self.step_down(now);
        }
        self.watch = Some(watch);
    }

    /// A higher watch than the own one: a majority has granted it, or may.
    pub(crate) fn adopt(&mut self, now: Millis, watch: Watch) {
        let asked = matches!(&self.duty, Duty::Lead(lead) if lead.asks_for(&watch));
        if self.blank || asked || watch.epoch <= self.epoch() {
            return;
        }
        self.take_up(now, watch);
    }

    fn take_up(&mut self, now: Millis, watch: Watch) {
        let epoch = watch.epoch;
        self.follow(now, watch.clone());
        self.draw_stand(now);
        self.keep(Record::Watch(watch), After::Adopted { epoch });
        self.resume(now);
    }

    pub(crate) fn pulsed(
        &mut self,
        now: Millis,
        from: Voter,
        epoch: u64,
        sent_at: Millis,
        version: u64,
        digest: u64,
    ) {
        if self.blank {
            return self.send(from, Signal::PulseAck { epoch, sent_at, blank: true });
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
        self.heard = now;
        self.draw_stand(now);
        if self.safe < mine.epoch {
            return;
        }
        self.send(from, Signal::PulseAck { epoch, sent_at, blank: false });
        if self.force.as_ref().map_or(0, |c| c.version) < version {
            if self.chart.version == version && self.chart.digest() == digest {
                self.enforce(self.chart.clone());
            } else {
                self.send(from, Signal::AskChart);
            }
        }
    }

    /// The primary wants this written; also to one that is to become a copy.
    pub(crate) fn store(&mut self, _now: Millis, from: Voter, epoch: u64, serial: u64, chart: Chart) {
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
            return self.send(from, Signal::WhatWatch);
        }
        let after = After::Stored { to: from, epoch, serial, chart: chart.clone() };
        self.keep(Record::Chart(chart), after);
    }

    /// Nobody has been heard for long enough: a copy stands for the duty.
    pub(crate) fn stand(&mut self, now: Millis) {
        let Some(mine) = self.watch.clone() else { return };
        if now < self.stand_at || self.released {
            return;
        }
        if let Duty::Stand(stand) = &self.duty {
            // Asked again: a proposal, or its answer, was lost. The same one, for it may have been granted.
            let (watch, released) = (stand.watch.clone(), stand.released);
            if watch.epoch == mine.epoch {
                self.stand_at = now + self.terms.pulse_ms;
                return self.propose(&watch, released);
            }
        }
        self.draw_stand(now);
        if mine.copies.contains(&self.terms.me) && mine.primary != self.terms.me {
            self.stand_for(now, false);
        }
    }

    pub(crate) fn stand_for(&mut self, now: Millis, released: bool) {
        let Some(mine) = self.watch.clone() else { return };
        let me = self.terms.me;
        // The copies stay those of before, the lost one too: it may yet come back and stand, should this one end.
        let watch = Watch { epoch: mine.epoch + 1, primary: me, ..mine.clone() };
        self.duty = Duty::Stand(Stand::new(watch.clone(), mine, released));
        self.watch = Some(watch.clone());
        self.draw_stand(now);
        self.keep(Record::Watch(watch.clone()), After::OwnGrant { epoch: watch.epoch });
        self.propose(&watch, released);
        self.effects.push(Effect::Turn { epoch: watch.epoch, what: "stands" });
    }

    /// Asks for the watch that is on disk already.
    pub(crate) fn stand_again(&mut self, now: Millis, watch: Watch) {
        self.duty = Duty::Stand(Stand::new(watch.clone(), watch.clone(), false));
        self.stand_at = now + self.terms.pulse_ms;
        self.propose(&watch, false);
        if self.safe >= watch.epoch {
            self.granted(now, self.terms.me, watch.epoch);
        } else {
            self.keep(Record::Watch(watch.clone()), After::OwnGrant { epoch: watch.epoch });
        }
    }

    pub(crate) fn propose(&mut self, watch: &Watch, released: bool) {
        for voter in watch.voters.clone() {
            self.send(voter, Signal::Propose { watch: watch.clone(), released });
        }
    }

    /// The primary that ends has named this one.
    pub(crate) fn handed(&mut self, now: Millis, from: Voter, epoch: u64) {
        let named = self.watch.as_ref().is_some_and(|w| {
            w.epoch == epoch
                && w.primary == from
                && w.copies.contains(&self.terms.me)
                && from != self.terms.me
        });
        if named && !self.blank && !self.released {
            self.stand_for(now, true);
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
        self.blank = false;
        self.started = now;
        self.heard = now;
        self.draw_stand(now);
        let was_copy = highest.copies.contains(&self.terms.me);
        self.watch = Some(highest.clone());
        if !was_copy {
            let epoch = highest.epoch;
            self.keep(Record::Watch(highest), After::Adopted { epoch });
        } else {
            // It is named as a copy and holds nothing: until a watch names it anew it must not stand for the duty.
            self.hollow(highest);
        }
    }

    /// Named as a copy, but empty: tells the primary so by its acks.
    fn hollow(&mut self, watch: Watch) {
        self.blank = true;
        self.watch = Some(watch);
    }
}
