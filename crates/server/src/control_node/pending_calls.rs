//! Calls that have no answer yet: the origin of each, and whose answer it waits for. This table does no I/O. A call
//! is entered once and removed with its answer, so that no call is answered twice or by a node that was not asked.

use crate::calls::{BeginRetirementReply, ReadConfigReply, ReplaceOutcome, RetirementProgress};
use crate::net::{ConnectionId, Millis, Response};
use crate::protocol::{ForwardedCall, ForwardedCallKind};
use std::collections::HashMap;
use stileroute_queue::Node;

/// Time in ms after which a forwarded call without an answer is given up. The primary answers within 2.5 s, so an
/// answer that takes longer is lost.
const FORWARD_TIMEOUT_MS: Millis = 4000;

/// The origin of a call, to which its answer is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Origin {
    /// A client, on the given connection.
    Client(ConnectionId),
    /// Another control node, which forwarded the call.
    ControlNode {
        /// The control node that forwarded the call.
        node: Node,
        /// The id under which the forwarding node waits for the answer.
        request_id: u64,
    },
}

/// The party whose answer a call waits for.
#[derive(Debug, PartialEq)]
enum Awaited {
    /// This control node itself.
    Here,
    /// The control node to which the call was forwarded.
    ControlNode(Node),
    /// The store of this name, which has to record its retirement order on its disk.
    Store(String),
}

struct PendingCall {
    origin: Origin,
    /// The content of the call, kept until the call is forwarded.
    content: Option<ForwardedCall>,
    kind: Option<ForwardedCallKind>,
    awaited: Awaited,
    since: Millis,
}

/// An order to retire a store that the store has not confirmed yet.
#[derive(Debug, PartialEq)]
pub struct UnconfirmedOrder {
    /// Id of the call that brought the order.
    pub call_id: u64,
    /// Name of the store.
    pub store: String,
    /// When the call was received.
    pub since: Millis,
}

/// All calls that have no answer yet.
pub struct PendingCalls {
    last_id: u64,
    calls: HashMap<u64, PendingCall>,
}

impl PendingCalls {
    /// Creates an empty table. Call ids start after `first_id`.
    pub fn new(first_id: u64) -> PendingCalls {
        PendingCalls { last_id: first_id, calls: HashMap::new() }
    }

    /// Number of calls that have no answer yet.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether all calls have been answered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Enters a new call and returns its id.
    pub fn insert(&mut self, now: Millis, origin: Origin) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        let call = PendingCall { origin, content: None, kind: None, awaited: Awaited::Here, since: now };
        self.calls.insert(self.last_id, call);
        self.last_id
    }

    /// Stores the content of a call that can't be answered at once.
    pub fn set_content(&mut self, call_id: u64, content: ForwardedCall) {
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.kind = Some(ForwardedCallKind::from(&content));
            call.content = Some(content);
        }
    }

    /// The kind of a call, if its content was stored.
    pub fn kind(&self, call_id: u64) -> Option<ForwardedCallKind> {
        self.calls.get(&call_id)?.kind
    }

    /// The version and the body of the configuration that a call submitted.
    pub fn submitted_configuration(&self, call_id: u64) -> Option<(u64, &[u8])> {
        match self.calls.get(&call_id)?.content.as_ref()? {
            ForwardedCall::ReplaceConfig { version, body } => Some((*version, body)),
            _ => None,
        }
    }

    /// Removes a call that is about to be answered. Returns `None` if it has already been answered.
    pub fn remove(&mut self, call_id: u64) -> Option<Origin> {
        self.calls.remove(&call_id).map(|call| call.origin)
    }

    /// Takes the content of a call that is to be sent to another control node. Returns `None` for a call that was
    /// already forwarded, by this node or to it: a call is forwarded only once, to prevent forwarding loops.
    pub fn forward(&mut self, call_id: u64, to: Node) -> Option<ForwardedCall> {
        let call = self.calls.get_mut(&call_id)?;
        if !matches!((call.origin, &call.awaited), (Origin::Client(_), Awaited::Here)) {
            return None;
        }
        let content = call.content.take()?;
        call.awaited = Awaited::ControlNode(to);
        Some(content)
    }

    /// Whether a call was forwarded to the given node and waits for its answer.
    pub fn is_forwarded_to(&self, call_id: u64, node: Node) -> bool {
        self.calls.get(&call_id).is_some_and(|call| call.awaited == Awaited::ControlNode(node))
    }

    /// Handles the loss of the connection to a control node. Calls that it forwarded are dropped, since nobody waits
    /// for their answers. Calls that were forwarded to it are returned, because it may have carried them out.
    pub fn control_node_lost(&mut self, lost: Node) -> Vec<(u64, ForwardedCallKind)> {
        self.calls.retain(|_, call| !matches!(call.origin, Origin::ControlNode { node, .. } if node == lost));
        self.calls_where(|call| call.awaited == Awaited::ControlNode(lost))
    }

    /// Forwarded calls whose answer is overdue.
    pub fn overdue(&self, now: Millis) -> Vec<(u64, ForwardedCallKind)> {
        self.calls_where(|call| {
            matches!(call.awaited, Awaited::ControlNode(_)) && now > call.since + FORWARD_TIMEOUT_MS
        })
    }

    fn calls_where(&self, test: impl Fn(&PendingCall) -> bool) -> Vec<(u64, ForwardedCallKind)> {
        let calls = self.calls.iter().filter(|(_, call)| test(call));
        calls.filter_map(|(call_id, call)| Some((*call_id, call.kind?))).collect()
    }

    /// Makes a call wait for its store, after the control group has committed the order to retire it. The order is
    /// acknowledged when the store has recorded it on its disk.
    pub fn await_store(&mut self, call_id: u64) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        if let Some(ForwardedCall::BeginRetirement { node }) = &call.content {
            call.awaited = Awaited::Store(node.clone());
        }
    }

    /// Retirement orders that wait for confirmation by their store.
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
    /// The answer to a call that nobody can decide now and that has not been carried out.
    pub fn unavailable(self) -> Response {
        match self {
            ForwardedCallKind::ReplaceConfig => ReplaceOutcome::Unavailable.into(),
            ForwardedCallKind::ReadConfig => ReadConfigReply::Unavailable.into(),
            ForwardedCallKind::BeginRetirement => BeginRetirementReply::Unavailable.into(),
            ForwardedCallKind::ReadRetirement => RetirementProgress::Unavailable.into(),
        }
    }

    /// The answer to a call that may or may not have been carried out.
    pub fn outcome_unknown(self) -> Response {
        match self {
            ForwardedCallKind::ReplaceConfig => ReplaceOutcome::Uncertain.into(),
            other => other.unavailable(),
        }
    }
}

#[cfg(test)]
mod tests;
