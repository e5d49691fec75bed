//! The end of a path: when everything is healed one more write is submitted, and it has to be accepted and committed soon.

use super::{Recovery, Scheduled, Simulation};
use crate::invariants::Property;
use stileroute_control_group_planted::Millis;

/// Choices may be taken so long after the last call of the script has ended.
const CHOICE_TIME_AFTER_CALLS: Millis = 500;
/// The same, where nodes are replaced: until a lost one is removed from the group.
const CHOICE_TIME_AFTER_CALLS_WITH_GROWTH: Millis = 2_000;
/// No choices are taken later than this.
const MAX_CHOICE_TIME: Millis = 6_000;
/// The last write is submitted so long after the last fault: nodes that are back have got a heartbeat by then.
const LAST_CALL_DELAY: Millis = 250;
/// How long the last write may take to be accepted, and then to be committed at all nodes.
const ACCEPT_TIMEOUT: Millis = 4_000;
const COMMIT_TIMEOUT: Millis = 1_500;
/// How long it may then take until all nodes that are there vote, and no others.
const REPLACE_TIMEOUT: Millis = 2_000;

impl Simulation {
    /// Whether a fault has not ended yet.
    pub(crate) fn has_ongoing_fault(&self) -> bool {
        let is_fault = |due: &Scheduled| {
            matches!(
                due,
                Scheduled::Thaw(_)
                    | Scheduled::End(_)
                    | Scheduled::Start(_)
                    | Scheduled::ShutDown(_)
                    | Scheduled::Heal(..)
                    | Scheduled::EndHold(..)
            )
        };
        self.nodes
            .iter()
            .any(|n| (n.group.is_none() && !n.is_gone_for_good && n.incarnation > 0) || n.is_frozen)
            || self.scheduled.iter().any(|(_, due)| is_fault(due))
    }

    /// How long choices may still be taken.
    pub(crate) fn choice_time_left(&self) -> Millis {
        if self.recovery.is_some() {
            return 0;
        }
        let after = if self.bounds.spare_nodes > 0 {
            CHOICE_TIME_AFTER_CALLS_WITH_GROWTH
        } else {
            CHOICE_TIME_AFTER_CALLS
        };
        let until =
            self.calls_ended_at.map_or(MAX_CHOICE_TIME, |ended_at| (ended_at + after).min(MAX_CHOICE_TIME));
        until.saturating_sub(self.now)
    }

    /// Whether no choices are taken any more, and the last write is awaited.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Submits the last write, if everything is healed and the calls of the script have ended. No choices are taken from then on.
    pub(crate) fn begin_recovery(&mut self) {
        if self.recovery.is_some() || self.calls_ended_at.is_none() || self.has_ongoing_fault() {
            return;
        }
        self.note(|| "all is healed".to_string());
        self.recovery = Some(Recovery { call: self.calls.len(), began_at: self.now });
        self.schedule(LAST_CALL_DELAY, Scheduled::LastCall);
    }

    pub(super) fn last_call(&mut self) {
        let version = self.calls.iter().map(|c| c.state.version).max().unwrap_or(0) + 1;
        self.call(self.invariants.highest_version as usize % self.nodes.len(), version, u64::MAX);
    }

    pub(super) fn check_recovery(&mut self) {
        let Some(Recovery { call, began_at }) = self.recovery.filter(|_| !self.is_over) else { return };
        let Some(accepted_at) = self.recovery_accepted_at else {
            if self.elapsed_since(began_at) > ACCEPT_TIMEOUT {
                let evidence = format!("no answer {} ms after all was healed", self.elapsed_since(began_at));
                self.invariants.fail(Property::RecoversSoon, evidence);
            }
            return;
        };
        let state = &self.calls[call].state;
        if self.invariants.highest_version > state.version
            || self.invariants.bodies.get(&state.version) != Some(&state.body)
        {
            let evidence = format!("the last write, {}, came to {:?}", state.version, self.calls[call].done);
            return self.invariants.fail(Property::RecoversSoon, evidence);
        }
        let has_committed = |i: &usize| {
            self.nodes[*i]
                .observed
                .committed
                .as_ref()
                .is_some_and(|committed| committed.same_configuration(state))
        };
        match (0..self.nodes.len()).filter(|i| self.is_up(*i)).find(|i| !has_committed(i)) {
            None if !self.are_voters_settled() => {
                if self.elapsed_since(accepted_at) > REPLACE_TIMEOUT {
                    let evidence =
                        format!("{} ms after a write was accepted", self.elapsed_since(accepted_at));
                    self.invariants.fail(Property::ReplacedSoon, evidence);
                }
            }
            None => {
                self.recovery_ms = accepted_at - began_at;
                self.is_over = true;
            }
            Some(i) if self.elapsed_since(accepted_at) > COMMIT_TIMEOUT => {
                let evidence = format!("node {i} has not the last write committed");
                self.invariants.fail(Property::RecoversSoon, evidence);
            }
            Some(_) => {}
        }
    }
}
