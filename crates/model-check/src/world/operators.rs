//! The calls of the operators: at which node each is tried, and what its answers mean.

use super::bounds::SCRIPTS;
use super::connections::index;
use super::{Due, World};
use crate::invariants::Property;
use stileroute_control_group_planted::{ControlState, Millis, Verdict};

/// An attempt of a call waits so long for its answer.
const PATIENCE: Millis = 500;

/// A call of an operator, through all its attempts.
#[derive(Clone, Hash)]
pub(crate) struct Call {
    pub state: ControlState,
    pub at: usize,
    pub attempt: u64,
    pub attempts: u64,
    /// An attempt has had no clear answer.
    pub unclear: bool,
    pub done: Option<Verdict>,
    /// Given up, without a clear answer.
    pub left: bool,
}

impl World {
    pub(super) fn begin_stage(&mut self) {
        let script = SCRIPTS[self.bounds.script];
        let Some(calls) = script.get(self.stage) else { return };
        self.stage += 1;
        for (at, version, attempts) in calls.iter() {
            self.call(*at, *version, *attempts);
        }
    }

    pub(super) fn call(&mut self, at: usize, version: u64, attempts: u64) {
        let call = self.calls.len();
        let body = format!("v{version} of call {call}").into_bytes();
        let state = ControlState { version, body, ..ControlState::default() };
        self.calls.push(Call { state, at, attempt: 0, attempts, unclear: false, done: None, left: false });
        self.attempt(call, 0, Some(at));
    }

    pub(super) fn attempt(&mut self, call: usize, attempt: u64, at: Option<usize>) {
        let calm = self.calm.is_some_and(|(calm, _)| calm == call);
        let c = &mut self.calls[call];
        if c.done.is_some() || c.left || c.attempt != attempt {
            return;
        }
        // Where there was no answer it is not known what becomes of it.
        c.unclear |= at.is_none() && attempt > 0;
        if attempt == c.attempts && !calm {
            c.left = true;
            return self.ended_call(call);
        }
        self.agenda.retain(|(_, due)| !matches!(due, Due::Next { call: c, .. } if *c == call));
        let c = &mut self.calls[call];
        c.attempt += 1;
        c.at = at.unwrap_or((c.at + 1) % self.nodes.len());
        let (at, attempt) = (c.at, c.attempt);
        if self.nodes[at].group.is_none() {
            let next = (at + 1) % self.nodes.len();
            return self.at(30, Due::Next { call, attempt, at: Some(next) });
        }
        self.at(PATIENCE, Due::Next { call, attempt, at: None });
        self.at(0, Due::Ask { at, call, attempt });
    }

    pub(super) fn ask(&mut self, at: usize, call: usize, attempt: u64) {
        let ControlState { version, body, .. } = self.calls[call].state.clone();
        self.note(|| format!("node {at} is asked for {version}, call {call}"));
        self.with(at, |group, now| {
            group.replace_configuration(now, call as u64 * 1_000 + attempt, version, body)
        });
    }

    pub(super) fn answered(&mut self, i: usize, ticket: u64, verdict: Verdict) {
        let (call, attempt) = ((ticket / 1_000) as usize, ticket % 1_000);
        self.note(|| format!("node {i} answers call {call}: {verdict:?}"));
        let calm = self.calm.is_some_and(|(calm, _)| calm == call);
        let c = &mut self.calls[call];
        let (state, open) = (c.state.clone(), c.attempt == attempt && c.done.is_none() && !c.left);
        match verdict {
            // Whoever hears it, and also where nobody waits for it any more: it is said.
            Verdict::Accepted => self.invariants.learn(&state, "acknowledged"),
            Verdict::Unchanged if self.invariants.highest < state.version => {
                let evidence = format!("{} is acknowledged, and none as high is committed", state.version);
                self.invariants.fail(Property::NothingOld, evidence);
            }
            _ => {}
        }
        if !open {
            return;
        }
        let c = &mut self.calls[call];
        let next = match verdict {
            Verdict::Accepted | Verdict::Unchanged => {
                c.done = Some(verdict);
                return self.ended_call(call);
            }
            Verdict::NotCommitted if !c.unclear && !calm => {
                c.done = Some(verdict);
                self.invariants.never.push(state.clone());
                if self.invariants.known.get(&state.version) == Some(&state.body) {
                    let evidence = format!("{} was committed before", state.version);
                    self.invariants.fail(Property::NotDoneStays, evidence);
                }
                return self.ended_call(call);
            }
            // Whoever was sent on once waits a little before it asks on.
            Verdict::NotPrimary { primary: Some(primary) } => {
                (if attempt < 2 { 5 } else { 150 }, index(primary))
            }
            _ => (150, (i + 1) % self.bounds.nodes),
        };
        c.unclear |= verdict == Verdict::Uncertain;
        self.agenda.retain(|(_, due)| !matches!(due, Due::Next { call: c, .. } if *c == call));
        self.at(next.0, Due::Next { call, attempt, at: Some(next.1) });
    }

    fn ended_call(&mut self, call: usize) {
        self.agenda.retain(|(_, due)| !matches!(due, Due::Next { call: c, .. } if *c == call));
        if self.calm.is_some_and(|(calm, _)| calm == call) {
            self.accepted = Some(self.now);
        } else if self.calls.iter().all(|c| c.done.is_some() || c.left) {
            if self.stage < SCRIPTS[self.bounds.script].len() {
                self.at(10, Due::Stage);
            } else {
                self.ended = Some(self.now);
            }
        }
    }
}
