//! The simulated clients: their calls, the attempts of each call, and the checks on each answer.

use super::{index, Event, Simulation};
use stileroute_control_group::*;

/// How long a client waits for an answer before it asks the next node, in milliseconds.
const ATTEMPT_TIMEOUT: Millis = 500;
/// How soon a client notices that a node is down, or retries after an inconclusive answer, in milliseconds.
const RETRY_AFTER: Millis = 30;
/// How soon a client asks the primary that it was redirected to, in milliseconds.
const REDIRECT_AFTER: Millis = 5;

fn body(version: u64) -> Vec<u8> {
    format!("configuration {version}").into_bytes()
}

/// A client's call with all its attempts.
#[derive(Clone, Default)]
pub struct Call {
    /// The version of the submitted configuration. `None` if the call is a read or retires a store.
    pub version: Option<u64>,
    /// The store that the call retired_store, if it is a retirement.
    retired_store: Option<u32>,
    body: Vec<u8>,
    /// The node that was asked last.
    at: usize,
    attempt: u64,
    /// The highest version that was acknowledged before the attempt. A read must not return an older one.
    min_version: u64,
    pub done: Option<Verdict>,
}

// Each test binary uses only some of these methods.
#[allow(dead_code)]
impl Simulation {
    /// Begins a call that replaces or reads the configuration, with the first attempt at this node.
    pub fn call(&mut self, at: usize, version: Option<u64>, body: Vec<u8>) -> usize {
        self.begin_call(Call { version, body, at, ..Call::default() })
    }

    pub fn replace(&mut self, at: usize, version: u64) -> usize {
        self.call(at, Some(version), body(version))
    }

    /// Begins a call that retires a store, with the first attempt at this node.
    pub fn retire(&mut self, at: usize, node: u32) -> usize {
        self.begin_call(Call { retired_store: Some(node), at, ..Call::default() })
    }

    /// Reads the configuration and waits for the answer.
    #[track_caller]
    pub fn read(&mut self, at: usize, limit: Millis) {
        let read = self.call(at, None, Vec::new());
        self.wait(read, limit);
    }

    /// Runs the simulation until the call is answered, for at most `limit` milliseconds.
    #[track_caller]
    pub fn wait(&mut self, call: usize, limit: Millis) -> Verdict {
        let until = self.now + limit;
        while self.calls[call].done.is_none() && self.step(until) {}
        self.calls[call].done.unwrap_or_else(|| self.fail(&format!("call {call} was not answered in time")))
    }

    fn begin_call(&mut self, call: Call) -> usize {
        let at = call.at;
        self.calls.push(call);
        let call = self.calls.len() - 1;
        self.attempt(call, 0, Some(at));
        call
    }

    /// Makes the next attempt after this one, at the named node or else at the next node.
    pub(super) fn attempt(&mut self, id: usize, attempt: u64, at: Option<usize>) {
        let nodes = self.nodes.len();
        let call = &mut self.calls[id];
        if call.done.is_some() || call.attempt != attempt {
            return;
        }
        call.attempt += 1;
        call.min_version = self.acknowledged;
        call.at = at.unwrap_or((call.at + 1) % nodes);
        let Call { at, attempt, version, retired_store, body, .. } = call.clone();
        let ticket = id as u64 * 1000 + attempt;
        // A client notices at once that a node is down, and soon that a node fails during the attempt.
        let timeout = if self.is_up(at) { ATTEMPT_TIMEOUT } else { RETRY_AFTER };
        self.schedule(timeout, at, Event::Attempt { call: id, attempt, at: None });
        self.call_node(at, |group, now| match (version, retired_store) {
            (_, Some(node)) => group.retire_store(now, ticket, node, format!("storage-{node}")),
            (Some(version), _) => group.replace_configuration(now, ticket, version, body),
            (None, None) => group.read_configuration(now, ticket),
        });
    }

    pub(super) fn answered(&mut self, ticket: u64, verdict: Verdict, state: Option<ControlState>) {
        let (id, attempt) = ((ticket / 1000) as usize, ticket % 1000);
        let call = &self.calls[id];
        if call.attempt != attempt || call.done.is_some() {
            return;
        }
        let at = call.at;
        let (after, next) = match verdict {
            Verdict::Accepted | Verdict::Unchanged => return self.call_succeeded(id, verdict, state),
            Verdict::NotPrimary { primary: Some(primary) } => (REDIRECT_AFTER, index(primary)),
            _ => (RETRY_AFTER, (at + 1) % self.nodes.len()),
        };
        self.schedule(after, at, Event::Attempt { call: id, attempt, at: Some(next) });
    }

    fn call_succeeded(&mut self, id: usize, verdict: Verdict, state: Option<ControlState>) {
        let call = &mut self.calls[id];
        call.done = Some(verdict);
        if let Some(node) = call.retired_store {
            self.acknowledged_retirements.insert(node);
            return;
        }
        let Call { version, body, min_version, .. } = call.clone();
        let min_version = if version.is_some() { 0 } else { min_version };
        self.log(format!("call {id} {version:?} {verdict:?} {state:?}"));
        let version = version.unwrap_or(0);
        let written = Some(ControlState { version, body, ..ControlState::default() })
            .filter(|_| verdict == Verdict::Accepted);
        self.observe(&written.or(state).unwrap_or_default(), min_version);
        assert!(self.acknowledged >= version, "a version was acknowledged but not committed");
    }

    /// Checks a control state that was answered: it is not older than any state that was answered before the request, and all
    /// answers with one version have the same body.
    pub(super) fn observe(&mut self, state: &ControlState, min_version: u64) {
        if state.version < min_version {
            self.fail(&format!(
                "read version {} after version {min_version} was acknowledged",
                state.version
            ));
        }
        let known = self.bodies.entry(state.version).or_insert_with(|| state.body.clone());
        if known != &state.body {
            self.fail(&format!("two configurations with version {}", state.version));
        }
        self.acknowledged = self.acknowledged.max(state.version);
    }
}
