//! Calls that have no answer yet: where each came from, and who settles it. One table, without I/O: a call is entered once
//! and leaves it with its answer, so none is answered twice and none by somebody who was not asked.

use crate::calls::{BeginRetirementReply, ReadConfigReply, ReplaceOutcome, RetirementProgress};
use crate::net::{ConnectionId, Millis, Response};
use crate::protocol::{ForwardedCall, ForwardedCallKind};
use std::collections::HashMap;
use stileroute_queue::Node;

/// The primary answers within 2.5 s: a call that was passed on and has no answer by then has lost it.
const PASSED: Millis = 4000;

/// Where a call came from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Origin {
    Client(ConnectionId),
    /// Another control node passed it on, under its ticket.
    Core(Node, u64),
}

/// Who is to settle a call.
#[derive(Debug, PartialEq)]
enum Settler {
    Here,
    /// The control node to which it was passed.
    Core(Node),
    /// The store that is to have its order on its disk.
    Store(String),
}

struct Open {
    origin: Origin,
    call: Option<ForwardedCall>,
    kind: Option<ForwardedCallKind>,
    settler: Settler,
    since: Millis,
}

pub struct InHand {
    next: u64,
    open: HashMap<u64, Open>,
}

impl InHand {
    /// `first` is drawn: an answer to an earlier life of this process finds no call.
    pub fn new(first: u64) -> InHand {
        InHand { next: first, open: HashMap::new() }
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// A new call, and the number that stands for it.
    pub fn open(&mut self, now: Millis, origin: Origin) -> u64 {
        self.next = self.next.wrapping_add(1);
        let open = Open { origin, call: None, kind: None, settler: Settler::Here, since: now };
        self.open.insert(self.next, open);
        self.next
    }

    /// What it asks for, where it can't be answered at once.
    pub fn keep(&mut self, place: u64, call: ForwardedCall) {
        if let Some(open) = self.open.get_mut(&place) {
            open.kind = Some(ForwardedCallKind::from(&call));
            open.call = Some(call);
        }
    }

    pub fn kind(&self, place: u64) -> Option<ForwardedCallKind> {
        self.open.get(&place)?.kind
    }

    /// The configuration that a call brought, and its version.
    pub fn configuration(&self, place: u64) -> Option<(u64, &[u8])> {
        match self.open.get(&place)?.call.as_ref()? {
            ForwardedCall::ReplaceConfig { version, body } => Some((*version, body)),
            _ => None,
        }
    }

    /// It is answered.
    pub fn close(&mut self, place: u64) -> Option<Origin> {
        self.open.remove(&place).map(|open| open.origin)
    }

    /// Another control node is to settle it: a call goes on once, not round and round.
    pub fn pass(&mut self, place: u64, to: Node) -> Option<ForwardedCall> {
        let open = self.open.get_mut(&place)?;
        if !matches!((open.origin, &open.settler), (Origin::Client(_), Settler::Here)) {
            return None;
        }
        let call = open.call.take()?;
        open.settler = Settler::Core(to);
        Some(call)
    }

    /// Whether an answer from this node is the one that is waited for.
    pub fn waits_for(&self, place: u64, from: Node) -> bool {
        self.open.get(&place).is_some_and(|open| open.settler == Settler::Core(from))
    }

    /// A control node is gone: nobody waits for what it passed here. Those that were passed to it are given back, for it may
    /// have settled them.
    pub fn lost(&mut self, node: Node) -> Vec<(u64, ForwardedCallKind)> {
        self.open.retain(|_, open| !matches!(open.origin, Origin::Core(from, _) if from == node));
        self.unsettled(|open| open.settler == Settler::Core(node))
    }

    /// Those that were passed on and got no answer.
    pub fn overdue(&self, now: Millis) -> Vec<(u64, ForwardedCallKind)> {
        self.unsettled(|open| matches!(open.settler, Settler::Core(_)) && now > open.since + PASSED)
    }

    fn unsettled(&self, test: impl Fn(&Open) -> bool) -> Vec<(u64, ForwardedCallKind)> {
        let those = self.open.iter().filter(|(_, open)| test(open));
        those.filter_map(|(place, open)| Some((*place, open.kind?))).collect()
    }

    /// The order to retire a store is agreed on: it is acknowledged when the store has it.
    pub fn await_store(&mut self, place: u64) {
        let Some(open) = self.open.get_mut(&place) else { return };
        if let Some(ForwardedCall::BeginRetirement { node }) = &open.call {
            open.settler = Settler::Store(node.clone());
        }
    }

    /// Orders that a store has not confirmed: place, store, and since when.
    pub fn awaiting_stores(&self) -> Vec<(u64, String, Millis)> {
        let store = |(place, open): (&u64, &Open)| match &open.settler {
            Settler::Store(name) => Some((*place, name.clone(), open.since)),
            _ => None,
        };
        self.open.iter().filter_map(store).collect()
    }
}

impl ForwardedCallKind {
    /// Nobody can settle it now, and it has not been done.
    pub fn not_now(self) -> Response {
        match self {
            ForwardedCallKind::ReplaceConfig => ReplaceOutcome::Unavailable.into(),
            ForwardedCallKind::ReadConfig => ReadConfigReply::Unavailable.into(),
            ForwardedCallKind::BeginRetirement => BeginRetirementReply::Unavailable.into(),
            ForwardedCallKind::ReadRetirement => RetirementProgress::Unavailable.into(),
        }
    }
    /// Whether it has been done is not known.
    pub fn uncertain(self) -> Response {
        match self {
            ForwardedCallKind::ReplaceConfig => ReplaceOutcome::Uncertain.into(),
            other => other.not_now(),
        }
    }
}
