//! The simulated clients: their calls, the attempts of each, and what an answer must never say.

use super::{index, Event, Simulation};
use stileroute_control_group::*;

/// How long a client waits for an answer before it asks the next node.
const ATTEMPT_TIMEOUT: Millis = 500;
/// How soon a client notices that nobody is there, or asks again after an answer that settles nothing.
const RETRY_AFTER: Millis = 30;
/// How soon a client asks the primary that it was sent to.
const REDIRECT_AFTER: Millis = 5;

fn body(version: u64) -> Vec<u8> {
    format!("configuration {version}").into_bytes()
}

/// A client's call, through all its attempts.
#[derive(Clone, Default)]
pub struct Call {
    /// Of the configuration that it submits; none: it reads, or retires a store.
    pub version: Option<u64>,
    /// The store that it retires.
    retires: Option<u32>,
    body: Vec<u8>,
    /// The node that was asked last.
    at: usize,
    attempt: u64,
    /// The highest version that was acknowledged before the attempt: no older one may be read.
    floor: u64,
    pub done: Option<Verdict>,
}

// Each file of tests uses its part of it.
#[allow(dead_code)]
impl Simulation {
    /// A call to replace the configuration, or to read it, first at this node.
    pub fn call(&mut self, at: usize, version: Option<u64>, body: Vec<u8>) -> usize {
        self.begin_call(Call { version, body, at, ..Call::default() })
    }

    pub fn replace(&mut self, at: usize, version: u64) -> usize {
        self.call(at, Some(version), body(version))
    }

    /// A call to retire a store, first at this node.
    pub fn retire(&mut self, at: usize, node: u32) -> usize {
        self.begin_call(Call { retires: Some(node), at, ..Call::default() })
    }

    /// Reads, and waits for the answer.
    #[track_caller]
    pub fn read(&mut self, at: usize, limit: Millis) {
        let read = self.call(at, None, Vec::new());
        self.wait(read, limit);
    }

    /// Until a call is answered; it has so long.
    #[track_caller]
    pub fn wait(&mut self, call: usize, limit: Millis) -> Verdict {
        let until = self.now + limit;
        while self.calls[call].done.is_none() && self.step(until) {}
        self.calls[call].done.unwrap_or_else(|| self.fail(&format!("call {call} has no answer")))
    }

    fn begin_call(&mut self, call: Call) -> usize {
        let at = call.at;
        self.calls.push(call);
        let call = self.calls.len() - 1;
        self.attempt(call, 0, Some(at));
        call
    }

    /// The next attempt after this one, at the node that was named or at the next.
    pub(super) fn attempt(&mut self, id: usize, attempt: u64, at: Option<usize>) {
        let nodes = self.nodes.len();
        let call = &mut self.calls[id];
        if call.done.is_some() || call.attempt != attempt {
            return;
        }
        call.attempt += 1;
        call.floor = self.acknowledged;
        call.at = at.unwrap_or((call.at + 1) % nodes);
        let Call { at, attempt, version, retires, body, .. } = call.clone();
        let ticket = id as u64 * 1000 + attempt;
        // Where nobody is it is noticed at once, and at a machine that ends meanwhile, soon.
        let timeout = if self.is_up(at) { ATTEMPT_TIMEOUT } else { RETRY_AFTER };
        self.schedule(timeout, at, Event::Attempt { call: id, attempt, at: None });
        self.with(at, |group, now| match (version, retires) {
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
        if let Some(node) = call.retires {
            self.acknowledged_retirements.insert(node);
            return;
        }
        let Call { version, body, floor, .. } = call.clone();
        let floor = if version.is_some() { 0 } else { floor };
        self.note(format!("call {id} {version:?} {verdict:?} {state:?}"));
        let version = version.unwrap_or(0);
        let written = Some(ControlState { version, body, ..ControlState::default() })
            .filter(|_| verdict == Verdict::Accepted);
        self.observe(&written.or(state).unwrap_or_default(), floor);
        assert!(self.acknowledged >= version, "acknowledged, and not committed");
    }

    /// A value that was answered: nothing older than what was answered before it was asked for, and always the same by one
    /// number.
    pub(super) fn observe(&mut self, state: &ControlState, floor: u64) {
        if state.version < floor {
            self.fail(&format!("answered {} after {floor}", state.version));
        }
        let known = self.bodies.entry(state.version).or_insert_with(|| state.body.clone());
        if known != &state.body {
            self.fail(&format!("two contents of {}", state.version));
        }
        self.acknowledged = self.acknowledged.max(state.version);
    }
}
