//! The calls of the clients: which node each attempt asks, and what the answers mean.

use super::bounds::{ScriptedCall, SCRIPTS};
use super::network::index;
use super::{Scheduled, Simulation};
use crate::invariants::Property;
use stileroute_control_group_planted::{ControlState, Millis, Verdict};

/// How long an attempt waits for its answer.
const ATTEMPT_TIMEOUT: Millis = 500;
/// How soon a client notices that a node does not run.
const CONNECTION_REFUSED_AFTER: Millis = 30;
/// How soon a client asks the primary that it was sent to, the first time and then.
const FIRST_REDIRECT_AFTER: Millis = 5;
const REDIRECT_AFTER: Millis = 150;
/// How soon it asks the next node after another answer.
const RETRY_AFTER: Millis = 150;
/// How soon the next stage of the script begins after one has ended.
const NEXT_STAGE_AFTER: Millis = 10;

/// A client's call to replace the configuration, through all its attempts.
#[derive(Clone, Hash)]
pub(crate) struct Call {
    /// The version and body that it submits.
    pub state: ControlState,
    /// The node that was asked last.
    pub at: usize,
    pub attempt: u64,
    /// After so many the client gives up.
    pub max_attempts: u64,
    /// An attempt had no clear answer: it may have been carried out.
    pub is_uncertain: bool,
    pub done: Option<Verdict>,
    /// Given up, without a clear answer.
    pub is_given_up: bool,
}

impl Call {
    pub fn has_ended(&self) -> bool {
        self.done.is_some() || self.is_given_up
    }
}

impl Simulation {
    pub(super) fn begin_stage(&mut self) {
        let script = SCRIPTS[self.bounds.script];
        let Some(calls) = script.get(self.next_stage) else { return };
        self.next_stage += 1;
        for ScriptedCall { node, version, max_attempts } in calls.iter() {
            self.call(*node, *version, *max_attempts);
        }
    }

    pub(super) fn call(&mut self, at: usize, version: u64, max_attempts: u64) {
        let call = self.calls.len();
        let body = format!("v{version} of call {call}").into_bytes();
        let state = ControlState { version, body, ..ControlState::default() };
        self.calls.push(Call {
            state,
            at,
            attempt: 0,
            max_attempts,
            is_uncertain: false,
            done: None,
            is_given_up: false,
        });
        self.attempt(call, 0, Some(at));
    }

    /// The next attempt after this one, at the node that was named or at the next.
    pub(super) fn attempt(&mut self, id: usize, attempt: u64, at: Option<usize>) {
        let is_last_write = self.is_last_write(id);
        let call = &mut self.calls[id];
        if call.has_ended() || call.attempt != attempt {
            return;
        }
        // Where there was no answer it is not known what becomes of the call.
        call.is_uncertain |= at.is_none() && attempt > 0;
        if attempt == call.max_attempts && !is_last_write {
            call.is_given_up = true;
            return self.call_ended(id);
        }
        self.cancel_next_attempt(id);
        let call = &mut self.calls[id];
        call.attempt += 1;
        call.at = at.unwrap_or((call.at + 1) % self.nodes.len());
        let (at, attempt) = (call.at, call.attempt);
        if self.nodes[at].group.is_none() {
            let next = Some((at + 1) % self.nodes.len());
            let retry = Scheduled::NextAttempt { call: id, attempt, at: next };
            return self.schedule(CONNECTION_REFUSED_AFTER, retry);
        }
        self.schedule(ATTEMPT_TIMEOUT, Scheduled::NextAttempt { call: id, attempt, at: None });
        self.schedule(0, Scheduled::Ask { at, call: id, attempt });
    }

    fn is_last_write(&self, id: usize) -> bool {
        self.recovery.is_some_and(|recovery| recovery.call == id)
    }

    fn cancel_next_attempt(&mut self, id: usize) {
        self.scheduled.retain(|(_, due)| !matches!(due, Scheduled::NextAttempt { call, .. } if *call == id));
    }

    pub(super) fn ask(&mut self, at: usize, call: usize, attempt: u64) {
        let ControlState { version, body, .. } = self.calls[call].state.clone();
        self.note(|| format!("node {at} is asked for {version}, call {call}"));
        self.with(at, |group, now| {
            group.replace_configuration(now, call as u64 * 1_000 + attempt, version, body)
        });
    }

    /// A node answers an attempt.
    pub(super) fn answered(&mut self, i: usize, ticket: u64, verdict: Verdict) {
        let (id, attempt) = ((ticket / 1_000) as usize, ticket % 1_000);
        self.note(|| format!("node {i} answers call {id}: {verdict:?}"));
        self.check_verdict(id, verdict);
        let call = &self.calls[id];
        if call.attempt != attempt || call.has_ended() {
            return;
        }
        let (after, next) = match verdict {
            Verdict::Accepted | Verdict::Unchanged => {
                self.calls[id].done = Some(verdict);
                return self.call_ended(id);
            }
            Verdict::NotCommitted if !call.is_uncertain && !self.is_last_write(id) => {
                self.calls[id].done = Some(verdict);
                self.reject(id);
                return self.call_ended(id);
            }
            // A client that was sent on once waits a little before it asks the next time.
            Verdict::NotPrimary { primary: Some(primary) } => {
                (if attempt < 2 { FIRST_REDIRECT_AFTER } else { REDIRECT_AFTER }, index(primary))
            }
            _ => (RETRY_AFTER, (i + 1) % self.bounds.nodes),
        };
        self.calls[id].is_uncertain |= verdict == Verdict::Uncertain;
        self.cancel_next_attempt(id);
        self.schedule(after, Scheduled::NextAttempt { call: id, attempt, at: Some(next) });
    }

    /// What an answer says has to be true also where nobody waits for it any more.
    fn check_verdict(&mut self, id: usize, verdict: Verdict) {
        let state = &self.calls[id].state;
        match verdict {
            Verdict::Accepted => self.invariants.observe(state, "acknowledged"),
            Verdict::Unchanged if self.invariants.highest_version < state.version => {
                let evidence = format!("{} is acknowledged, and none as high is committed", state.version);
                self.invariants.fail(Property::NoStaleRead, evidence);
            }
            _ => {}
        }
    }

    /// The client was told that its write is not committed: it must never be.
    fn reject(&mut self, id: usize) {
        let state = self.calls[id].state.clone();
        if self.invariants.bodies.get(&state.version) == Some(&state.body) {
            let evidence = format!("{} was committed before", state.version);
            self.invariants.fail(Property::NotCommittedStaysSo, evidence);
        }
        self.invariants.rejected.push(state);
    }

    fn call_ended(&mut self, id: usize) {
        self.cancel_next_attempt(id);
        if self.is_last_write(id) {
            self.recovery_accepted_at = Some(self.now);
        } else if self.calls.iter().all(Call::has_ended) {
            if self.next_stage < SCRIPTS[self.bounds.script].len() {
                self.schedule(NEXT_STAGE_AFTER, Scheduled::ScriptStage);
            } else {
                self.calls_ended_at = Some(self.now);
            }
        }
    }
}
