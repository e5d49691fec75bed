//! Retirements: which orders are taken, which stores are told, and what is said of one. The agreed value remembers them; here
//! is only what has been told.

use super::Core;
use crate::calls::{BeginRetirement, BeginRetirementReply, CallHandler, ReadRetirement, RetirementProgress};
use crate::net::Millis;
use crate::node::node_id;
use crate::protocol::{ForwardedCall, Frame, NodeRole, RetirementState};
use std::collections::BTreeMap;
use stileroute_control_group::{ControlState, RetirementStage};
use stileroute_queue::Node;
use stileroute_registry::Registry;

/// An order to retire a store is confirmed by then, or the operator sends it again: he goes elsewhere after a second of silence.
const CONFIRMED: Millis = 900;
/// A store that has not said that it retires is told again after so long.
const AGAIN: Millis = 500;

/// What becomes of an order at the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It is written down.
    Take,
    /// It was before: only the store is waited for.
    Known,
    Unknown,
    TooFew,
    NotNow,
}

/// `held` is the agreed value; `soon` are the stores whose orders are being written; `suffice` says whether the stores that
/// stay, by their zones, bear the losses that are named.
pub fn judge(
    name: &str,
    held: &ControlState,
    soon: &[Node],
    registry: &Registry,
    suffice: impl Fn(&[&str]) -> bool,
) -> Judgement {
    let node = node_id(name);
    if held.retirement(node).is_some() {
        return Judgement::Known;
    }
    // While it does not know yet who is there, none is refused for good.
    let refused = |judgement| if registry.is_ready { judgement } else { Judgement::NotNow };
    let Some(store) = registry.store_named(name) else { return refused(Judgement::Unknown) };
    if store.retirement != RetirementState::NotRetiring {
        return Judgement::Take;
    }
    let agreed = |other: Node| other == node || held.retirement(other).is_some();
    let zones = |goes: &dyn Fn(Node) -> bool| {
        let stay = registry.stores_remaining_without(goes);
        suffice(&stay.map(|member| member.zone.as_str()).collect::<Vec<_>>())
    };
    // Every message lies on so many stores. With just as many left none can be taken while one is away.
    if !zones(&agreed) {
        return refused(Judgement::TooFew);
    }
    // Those that are being written may yet come to nothing.
    if !zones(&|other| agreed(other) || soon.contains(&other)) {
        return Judgement::NotNow;
    }
    Judgement::Take
}

/// What is said of a retirement, by the agreed value and by what the store itself says. It is complete only when both say so:
/// a new machine of the same name, which is told to retire as well, may hold something.
pub fn standing(
    name: &str,
    agreed: Option<&ControlState>,
    registry: &Registry,
) -> Option<RetirementProgress> {
    let stage = agreed.and_then(|state| state.retirement(node_id(name))).map(|retirement| retirement.stage);
    let says = registry.store_named(name).map(|store| store.retirement);
    match (stage, says) {
        (Some(RetirementStage::Complete), None | Some(RetirementState::Complete)) => {
            Some(RetirementProgress::Complete)
        }
        (Some(_), _) => Some(RetirementProgress::Draining),
        (None, _) => None,
    }
}

fn stage(retiring: RetirementState) -> Option<RetirementStage> {
    match retiring {
        RetirementState::NotRetiring => None,
        RetirementState::Draining => Some(RetirementStage::Draining),
        RetirementState::Complete => Some(RetirementStage::Complete),
    }
}

/// When each store was last told.
#[derive(Default)]
pub struct Told(BTreeMap<Node, Millis>);

impl Told {
    /// Stores with sessions here that are to retire, have not said that they do, and were not told just now.
    pub fn due(&mut self, now: Millis, agreed: &ControlState, registry: &Registry) -> Vec<Node> {
        self.0.retain(|node, _| agreed.retirement(*node).is_some());
        let lacks = |node: &Node| {
            let session = registry.sessions.get(node).filter(|session| session.is_connected);
            session.is_some_and(|s| {
                s.member.role == NodeRole::Store && s.member.retirement == RetirementState::NotRetiring
            })
        };
        let mut due: Vec<Node> = agreed.retirements.iter().map(|r| r.node).filter(lacks).collect();
        due.retain(|node| self.0.get(node).is_none_or(|at| now >= at + AGAIN));
        due.iter().for_each(|node| {
            self.0.insert(*node, now);
        });
        due
    }
}

impl Core {
    /// Tells stores, writes down how far they have come, and answers orders that they have confirmed.
    pub(super) fn look_after_retirements(&mut self, now: Millis) {
        self.tell_stores(now);
        self.note_stages(now);
        self.confirm(now);
    }

    fn tell_stores(&mut self, now: Millis) {
        let Some(agreed) = self.group.committed() else { return };
        for node in self.told.due(now, agreed, &self.registry) {
            self.common.links.send(&mut self.common.net, node, &Frame::RetireStore { node });
        }
    }

    /// At the primary.
    fn note_stages(&mut self, now: Millis) {
        let Some(held) = self.group.readable_state(now).filter(|held| !held.retirements.is_empty()) else {
            return;
        };
        let further = |retirement: &stileroute_control_group::Retirement| {
            let says = stage(self.registry.store_named(&retirement.name)?.retirement)?;
            (says > retirement.stage).then_some((retirement.node, says))
        };
        let steps: Vec<(Node, RetirementStage)> = held.retirements.iter().filter_map(further).collect();
        if steps.is_empty() {
            return;
        }
        for (node, stage) in steps {
            self.group.advance_retirement(now, node, stage);
        }
        self.carry_out();
    }

    /// Orders are acknowledged when the store has them on its disk.
    fn confirm(&mut self, now: Millis) {
        for (place, name, since) in self.in_hand.awaiting_stores() {
            if self.confirmed(&name) {
                self.said(place, BeginRetirementReply::Accepted.into());
            } else if now > since + CONFIRMED {
                self.said(place, BeginRetirementReply::Unavailable.into());
            }
        }
    }

    /// The store has said that it has the order, now or before.
    fn confirmed(&self, name: &str) -> bool {
        let agreed = self.group.committed().and_then(|state| state.retirement(node_id(name)));
        let says = self
            .registry
            .store_named(name)
            .is_some_and(|store| store.retirement != RetirementState::NotRetiring);
        agreed.is_some_and(|retirement| says || retirement.stage != RetirementStage::Ordered)
    }

    fn judge(&self, now: Millis, name: &str) -> Option<Judgement> {
        let held = self.group.readable_state(now)?;
        let soon: Vec<Node> = self.group.pending_retirements().collect();
        let suffice = |zones: &[&str]| self.common.boot.suffice(zones.iter().copied());
        Some(judge(name, held, &soon, &self.registry, suffice))
    }
}

impl CallHandler<BeginRetirement> for Core {
    fn handle_call(
        &mut self,
        place: u64,
        BeginRetirement { node: name }: BeginRetirement,
    ) -> Option<BeginRetirementReply> {
        let now = self.common.net.now();
        if self.confirmed(&name) {
            return Some(BeginRetirementReply::Accepted);
        }
        self.in_hand.keep(place, ForwardedCall::BeginRetirement { node: name.clone() });
        let Some(judgement) = self.judge(now, &name) else {
            self.pass(place, self.group.primary());
            return None;
        };
        match judgement {
            Judgement::Unknown => return Some(BeginRetirementReply::UnknownStore),
            Judgement::TooFew => return Some(BeginRetirementReply::TooFewStores),
            Judgement::NotNow => return Some(BeginRetirementReply::Unavailable),
            Judgement::Known => self.in_hand.await_store(place),
            Judgement::Take => {
                self.group.retire_store(now, place, node_id(&name), name);
                self.carry_out();
            }
        }
        None
    }
}

impl CallHandler<ReadRetirement> for Core {
    fn handle_call(
        &mut self,
        place: u64,
        ReadRetirement { node: name }: ReadRetirement,
    ) -> Option<RetirementProgress> {
        let now = self.common.net.now();
        if let Some(standing) = standing(&name, self.group.committed(), &self.registry) {
            return Some(standing);
        }
        self.in_hand.keep(place, ForwardedCall::ReadRetirement { node: name.clone() });
        // Only who decides can say that there is no such order.
        if self.group.readable_state(now).is_none() {
            self.pass(place, self.group.primary());
            return None;
        }
        let says = self.registry.store_named(&name).and_then(|store| stage(store.retirement));
        Some(match says {
            Some(RetirementStage::Complete) => RetirementProgress::Complete,
            Some(_) => RetirementProgress::Draining,
            None if self.registry.is_ready => RetirementProgress::UnknownStore,
            None => RetirementProgress::Unavailable,
        })
    }
}
