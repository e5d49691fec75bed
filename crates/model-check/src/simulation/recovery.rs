//! The end of a way: when all is healed one more call is made, and it has to be accepted and committed soon.

use super::{Due, World};
use crate::invariants::Property;
use stileroute_control_group_planted::Millis;

/// Choices may be taken so long after the last call has ended, and no longer than that after the start.
const AFTER: Millis = 500;
/// The same, where nodes are replaced: until one that is lost is out of the group.
const AFTER_GROWTH: Millis = 2_000;
const LONGEST: Millis = 6_000;
/// The last call is made so long after the last trouble: whoever is back has heard a heartbeat by then.
const SETTLED: Millis = 250;
/// After the last trouble it has so long to be accepted, and then to be committed at all nodes.
const ACCEPTED: Millis = 4_000;
const EVERYWHERE: Millis = 1_500;
/// And then so long until whoever is there votes, and nobody else.
const REPLACED: Millis = 2_000;

impl World {
    /// Trouble goes on somewhere.
    pub(crate) fn troubled(&self) -> bool {
        let trouble = |due: &Due| {
            matches!(
                due,
                Due::Thaw(_) | Due::End(_) | Due::Start(_) | Due::Retire(_) | Due::Heal(..) | Due::Hears(..)
            )
        };
        self.nodes.iter().any(|n| (n.group.is_none() && !n.gone && n.life > 0) || n.frozen)
            || self.agenda.iter().any(|(_, due)| trouble(due))
    }

    /// Choices may still be taken so long.
    pub(crate) fn left(&self) -> Millis {
        if self.calm.is_some() {
            return 0;
        }
        let after = if self.bounds.spares > 0 { AFTER_GROWTH } else { AFTER };
        let until = self.ended.map_or(LONGEST, |ended| (ended + after).min(LONGEST));
        until.saturating_sub(self.now)
    }

    pub fn calm(&self) -> bool {
        self.calm.is_some()
    }

    /// Nobody takes a choice any more: when all is healed and the calls have ended, one more is made.
    pub(crate) fn begin_calm(&mut self) {
        if self.calm.is_some() || self.ended.is_none() || self.troubled() {
            return;
        }
        self.note(|| "all is healed".to_string());
        self.calm = Some((self.calls.len(), self.now));
        self.at(SETTLED, Due::Last);
    }

    pub(super) fn last_call(&mut self) {
        let version = self.calls.iter().map(|c| c.state.version).max().unwrap_or(0) + 1;
        self.call(self.invariants.highest as usize % self.nodes.len(), version, u64::MAX);
    }

    pub(super) fn calm_down(&mut self) {
        let Some((call, since)) = self.calm.filter(|_| !self.over) else { return };
        let Some(accepted) = self.accepted else {
            if self.since(since) > ACCEPTED {
                let evidence = format!("no answer {} ms after all was healed", self.since(since));
                self.invariants.fail(Property::SoonAgain, evidence);
            }
            return;
        };
        let state = &self.calls[call].state;
        if self.invariants.highest > state.version
            || self.invariants.known.get(&state.version) != Some(&state.body)
        {
            let evidence = format!("the last write, {}, came to {:?}", state.version, self.calls[call].done);
            return self.invariants.fail(Property::SoonAgain, evidence);
        }
        let has = |i: &usize| {
            self.nodes[*i]
                .seen
                .committed
                .as_ref()
                .is_some_and(|committed| committed.same_configuration(state))
        };
        match (0..self.nodes.len()).filter(|i| self.up(*i)).find(|i| !has(i)) {
            None if !self.voters_settled() => {
                if self.since(accepted) > REPLACED {
                    let evidence = format!("{} ms after a write was accepted", self.since(accepted));
                    self.invariants.fail(Property::SoonReplaced, evidence);
                }
            }
            None => {
                self.waited = accepted - since;
                self.over = true;
            }
            Some(i) if self.since(accepted) > EVERYWHERE => {
                let evidence = format!("node {i} has not the last write committed");
                self.invariants.fail(Property::SoonAgain, evidence);
            }
            Some(_) => {}
        }
    }
}
