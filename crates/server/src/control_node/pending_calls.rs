//! Calls that have no answer yet: where each came from, and whose answer it waits for. A table without I/O: a call is entered
//! once and leaves with its answer, so that none is answered twice, and none by a node that was not asked.

use crate::calls::{BeginRetirementReply, ReadConfigReply, ReplaceOutcome, RetirementProgress};
use crate::net::{ConnectionId, Millis, Response};
use crate::protocol::{ForwardedCall, ForwardedCallKind};
use std::collections::HashMap;
use stileroute_queue::Node;

/// A forwarded call without an answer is given up after so long, in ms: the primary answers within 2.5 s, so it has lost it.
const FORWARD_TIMEOUT_MS: Millis = 4000;

/// Where a call came from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Origin {
    /// A client, on this connection.
    Client(ConnectionId),
    /// Another control node forwarded it.
    ControlNode {
        /// That node.
        node: Node,
        /// Under which id it waits for the answer.
        request_id: u64,
    },
}

/// Whose answer a call waits for.
#[derive(Debug, PartialEq)]
enum Awaited {
    /// This node's own.
    Here,
    /// That of the control node to which it was forwarded.
    ControlNode(Node),
    /// That of the store of this name, which has to have its order on its disk.
    Store(String),
}

struct PendingCall {
    origin: Origin,
    /// What it asks for, until it is forwarded.
    content: Option<ForwardedCall>,
    kind: Option<ForwardedCallKind>,
    awaited: Awaited,
    since: Millis,
}

/// An order to retire a store that the store has not confirmed.
#[derive(Debug, PartialEq)]
pub struct UnconfirmedOrder {
    /// The call.
    pub call_id: u64,
    /// Name of the store.
    pub store: String,
    /// When the call came.
    pub since: Millis,
}

/// All calls without an answer.
pub struct PendingCalls {
    last_id: u64,
    calls: HashMap<u64, PendingCall>,
}

impl PendingCalls {
    /// No calls; their ids come after `first_id`.
    pub fn new(first_id: u64) -> PendingCalls {
        PendingCalls { last_id: first_id, calls: HashMap::new() }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether all calls have been answered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Enters a new call, and gives its id.
    pub fn insert(&mut self, now: Millis, origin: Origin) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        let call = PendingCall { origin, content: None, kind: None, awaited: Awaited::Here, since: now };
        self.calls.insert(self.last_id, call);
        self.last_id
    }

    /// Keeps what a call asks for, if it can't be answered at once.
    pub fn set_content(&mut self, call_id: u64, content: ForwardedCall) {
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.kind = Some(ForwardedCallKind::from(&content));
            call.content = Some(content);
        }
    }

    /// Which kind of call it is, if what it asks for was kept.
    pub fn kind(&self, call_id: u64) -> Option<ForwardedCallKind> {
        self.calls.get(&call_id)?.kind
    }

    /// The version and the body of the configuration that a call brought.
    pub fn submitted_configuration(&self, call_id: u64) -> Option<(u64, &[u8])> {
        match self.calls.get(&call_id)?.content.as_ref()? {
            ForwardedCall::ReplaceConfig { version, body } => Some((*version, body)),
            _ => None,
        }
    }

    /// Takes a call out to be answered. `None`: it has been answered.
    pub fn remove(&mut self, call_id: u64) -> Option<Origin> {
        self.calls.remove(&call_id).map(|call| call.origin)
    }

    /// Takes what a call asks for, to be sent to another control node. `None` for a call that was forwarded before, by this node
    /// or to it: a call is forwarded once, so that it can't go round in circles.
    pub fn forward(&mut self, call_id: u64, to: Node) -> Option<ForwardedCall> {
        let call = self.calls.get_mut(&call_id)?;
        if !matches!((call.origin, &call.awaited), (Origin::Client(_), Awaited::Here)) {
            return None;
        }
        let content = call.content.take()?;
        call.awaited = Awaited::ControlNode(to);
        Some(content)
    }

    /// Whether a call was forwarded to this node and waits for its answer.
    pub fn is_forwarded_to(&self, call_id: u64, node: Node) -> bool {
        self.calls.get(&call_id).is_some_and(|call| call.awaited == Awaited::ControlNode(node))
    }

    /// The connection to a control node is lost. Calls that it forwarded are forgotten, for nobody waits for them. Those that
    /// were forwarded to it are given back: it may have carried them out.
    pub fn control_node_lost(&mut self, lost: Node) -> Vec<(u64, ForwardedCallKind)> {
        self.calls.retain(|_, call| !matches!(call.origin, Origin::ControlNode { node, .. } if node == lost));
        self.calls_where(|call| call.awaited == Awaited::ControlNode(lost))
    }

    /// Forwarded calls whose answer has not come in time.
    pub fn overdue(&self, now: Millis) -> Vec<(u64, ForwardedCallKind)> {
        self.calls_where(|call| {
            matches!(call.awaited, Awaited::ControlNode(_)) && now > call.since + FORWARD_TIMEOUT_MS
        })
    }

    fn calls_where(&self, test: impl Fn(&PendingCall) -> bool) -> Vec<(u64, ForwardedCallKind)> {
        let calls = self.calls.iter().filter(|(_, call)| test(call));
        calls.filter_map(|(call_id, call)| Some((*call_id, call.kind?))).collect()
    }

    /// The control group has committed the order to retire a store: it is acknowledged once the store has it on its disk.
    pub fn await_store(&mut self, call_id: u64) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        if let Some(ForwardedCall::BeginRetirement { node }) = &call.content {
            call.awaited = Awaited::Store(node.clone());
        }
    }

    /// Orders that wait for their store.
    pub fn unconfirmed_orders(&self) -> Vec<UnconfirmedOrder> {
        let order = |(call_id, call): (&u64, &PendingCall)| match &call.awaited {
            Awaited::Store(name) => {
                Some(UnconfirmedOrder { call_id: *call_id, store: name.clone(), since: call.since })
            }
            _ => None,
        };
        self.calls.iter().filter_map(order).collect()
    }
}

impl ForwardedCallKind {
    /// The answer where nobody can decide the call now, and it has not been carried out.
    pub fn unavailable(self) -> Response {
        match self {
            ForwardedCallKind::ReplaceConfig => ReplaceOutcome::Unavailable.into(),
            ForwardedCallKind::ReadConfig => ReadConfigReply::Unavailable.into(),
            ForwardedCallKind::BeginRetirement => BeginRetirementReply::Unavailable.into(),
            ForwardedCallKind::ReadRetirement => RetirementProgress::Unavailable.into(),
        }
    }

    /// The answer where the call may have been carried out or not.
    pub fn outcome_unknown(self) -> Response {
        match self {
            ForwardedCallKind::ReplaceConfig => ReplaceOutcome::Uncertain.into(),
            other => other.unavailable(),
        }
    }
}

#[cfg(test)]
mod tests;
