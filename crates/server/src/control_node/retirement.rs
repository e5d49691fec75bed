//! Retirements: which orders are accepted, which stores are notified, and how far each one is. The replicated state remembers
//! them; this node remembers only whom it has notified.

use super::ControlNode;
use crate::calls::{BeginRetirement, BeginRetirementReply, CallHandler, ReadRetirement, RetirementProgress};
use crate::net::Millis;
use crate::node::store_id;
use crate::protocol::{ForwardedCall, Frame, NodeRole, RetirementState};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_control_group::{ControlState, Retirement, RetirementStage};
use stileroute_queue::Node;
use stileroute_registry::Registry;

/// An order that its store has not confirmed by then is answered with 503, in ms: an operator turns to another control node
/// after a second without an answer.
const CONFIRMATION_TIMEOUT_MS: Millis = 900;
/// A store that has not said that it retires is notified again after so long, in ms.
const NOTICE_INTERVAL_MS: Millis = 500;

/// What the primary decides on an order to retire a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDecision {
    /// The order is proposed to the control group.
    Propose,
    /// It was committed before: only the store's confirmation is awaited.
    AlreadyCommitted,
    /// There is no such store.
    UnknownStore,
    /// Too few stores would remain to bear the losses that the settings name.
    TooFewRemaining,
    /// It can't be decided yet.
    NotNow,
}

/// Decides on an order to retire the store of this name.
///
/// `pending` are the stores whose orders are being committed; `suffices` says whether stores in these zones bear the losses that
/// the settings name.
pub fn decide(
    name: &str,
    state: &ControlState,
    pending: &[Node],
    registry: &Registry,
    suffices: impl Fn(&[&str]) -> bool,
) -> OrderDecision {
    let node = store_id(name);
    if state.retirement(node).is_some() {
        return OrderDecision::AlreadyCommitted;
    }
    // A node that does not know all members yet must not reject an order for good.
    let reject = |decision| if registry.is_ready() { decision } else { OrderDecision::NotNow };
    let Some(store) = registry.store_named(name) else { return reject(OrderDecision::UnknownStore) };
    if store.retirement != RetirementState::NotRetiring {
        return OrderDecision::Propose;
    }
    let is_committed = |other: Node| other == node || state.retirement(other).is_some();
    let suffices_without = |retires: &dyn Fn(Node) -> bool| {
        let remaining = registry.stores_remaining_without(retires);
        suffices(&remaining.map(|member| member.zone.as_str()).collect::<Vec<_>>())
    };
    // Every message lies on so many stores: with just as many left, none could be accepted while one of them is away.
    if !suffices_without(&is_committed) {
        return reject(OrderDecision::TooFewRemaining);
    }
    // Orders that are being committed may yet fail.
    if !suffices_without(&|other| is_committed(other) || pending.contains(&other)) {
        return OrderDecision::NotNow;
    }
    OrderDecision::Propose
}

/// How far a retirement is, by the replicated state and by what the store itself says. It is complete only when both say so: a
/// new machine of the same name, which is told to retire as well, may hold messages.
pub fn progress(
    name: &str,
    committed: Option<&ControlState>,
    registry: &Registry,
) -> Option<RetirementProgress> {
    let retirement = committed.and_then(|state| state.retirement(store_id(name)))?;
    let reported = registry.store_named(name).map(|store| store.retirement);
    Some(match (retirement.stage, reported) {
        (RetirementStage::Complete, None | Some(RetirementState::Complete)) => RetirementProgress::Complete,
        _ => RetirementProgress::Draining,
    })
}

/// The stage that a store's own word stands for.
fn reported_stage(reported: RetirementState) -> Option<RetirementStage> {
    match reported {
        RetirementState::NotRetiring => None,
        RetirementState::Draining => Some(RetirementStage::Draining),
        RetirementState::Complete => Some(RetirementStage::Complete),
    }
}

/// Whether the loss of a machine would leave the control group with less than it is meant to tolerate: one of an even number of
/// voters runs on it. The group removes that voter by the next change; an odd number has a voter to spare.
fn is_voter_needed(voters: &[SocketAddrV4], machine: Ipv4Addr) -> bool {
    voters.len().is_multiple_of(2) && voters.iter().any(|voter| *voter.ip() == machine)
}

/// Whether the voters that stay without a machine still have a majority after so many losses.
fn are_voters_sufficient(voters: &[SocketAddrV4], machine: Ipv4Addr, tolerated_losses: usize) -> bool {
    let remaining = voters.iter().filter(|voter| *voter.ip() != machine).count();
    remaining == voters.len() || remaining > 2 * tolerated_losses
}

/// When each store was last notified of its retirement.
#[derive(Default)]
pub struct RetirementNotices(BTreeMap<Node, Millis>);

impl RetirementNotices {
    /// Stores to notify now: they have sessions here, are to retire, have not said that they do, and were not notified just
    /// before.
    pub fn due(&mut self, now: Millis, committed: &ControlState, registry: &Registry) -> Vec<Node> {
        self.0.retain(|node, _| committed.retirement(*node).is_some());
        let is_unaware = |node: &Node| {
            let session = registry.session(*node).filter(|session| session.is_connected);
            session.is_some_and(|session| {
                session.member.role == NodeRole::Store
                    && session.member.retirement == RetirementState::NotRetiring
            })
        };
        let nodes = committed.retirements.iter().map(|retirement| retirement.node);
        let mut due: Vec<Node> = nodes.filter(is_unaware).collect();
        due.retain(|node| self.0.get(node).is_none_or(|at| now >= at + NOTICE_INTERVAL_MS));
        self.0.extend(due.iter().map(|node| (*node, now)));
        due
    }
}

impl ControlNode {
    /// Notifies stores, records how far they are, and answers orders that they have confirmed.
    pub(super) fn advance_retirements(&mut self, now: Millis) {
        self.leave_group_with_machine(now);
        self.notify_stores(now);
        self.record_stages(now);
        self.answer_orders(now);
    }

    /// A store on this machine is being retired, and the machine is taken away when it is empty: this control node's part in the
    /// group ends before that.
    fn leave_group_with_machine(&mut self, now: Millis) {
        let own_store = store_id(&self.runtime.boot.node_name);
        let is_retired =
            self.plane.group.committed().is_some_and(|state| state.retirement(own_store).is_some());
        if is_retired && !std::mem::replace(&mut self.has_left_group, true) {
            tracing::info!("this machine is being retired: the control role is given up");
            self.plane.group.shut_down(now);
            self.apply_group_effects();
        }
    }

    fn notify_stores(&mut self, now: Millis) {
        let Some(committed) = self.plane.group.committed() else { return };
        for node in self.notices.due(now, committed, &self.plane.registry) {
            self.runtime.links.send(&mut self.runtime.net, node, &Frame::RetireStore { node });
        }
    }

    /// At the primary: what stores say goes into the replicated state.
    fn record_stages(&mut self, now: Millis) {
        let Some(state) = self.plane.group.readable_state(now) else { return };
        let voters = self.plane.group.view().map_or(&[][..], |view| &view.voters);
        let advanced = |retirement: &Retirement| {
            let store = self.plane.registry.store_named(&retirement.name)?;
            let stage = match reported_stage(store.retirement)? {
                RetirementStage::Complete if is_voter_needed(voters, store.ip) => RetirementStage::Draining,
                stage => stage,
            };
            (stage > retirement.stage).then_some((retirement.node, stage))
        };
        let steps: Vec<(Node, RetirementStage)> = state.retirements.iter().filter_map(advanced).collect();
        if steps.is_empty() {
            return;
        }
        for (node, stage) in steps {
            self.plane.group.advance_retirement(now, node, stage);
        }
        self.apply_group_effects();
    }

    /// Orders are acknowledged when the store has them on its disk.
    fn answer_orders(&mut self, now: Millis) {
        for order in self.calls.unconfirmed_orders() {
            if self.is_confirmed(&order.store) {
                let reply = self.accepted_order();
                self.answer_call(order.call_id, reply.into());
            } else if now > order.since + CONFIRMATION_TIMEOUT_MS {
                self.answer_call(order.call_id, BeginRetirementReply::Unavailable.into());
            }
        }
    }

    /// The answer to an order that its store has confirmed.
    fn accepted_order(&self) -> BeginRetirementReply {
        BeginRetirementReply::Accepted { spare_stores: self.stores_in_service().spare }
    }

    /// Whether the store has said that it has the order, now or before.
    fn is_confirmed(&self, name: &str) -> bool {
        let committed = self.plane.group.committed().and_then(|state| state.retirement(store_id(name)));
        let store = self.plane.registry.store_named(name);
        let is_retiring = store.is_some_and(|store| store.retirement != RetirementState::NotRetiring);
        committed.is_some_and(|retirement| is_retiring || retirement.stage != RetirementStage::Ordered)
    }

    /// `None` where this node is not the primary.
    fn decide_order(&self, now: Millis, name: &str) -> Option<OrderDecision> {
        let state = self.plane.group.readable_state(now)?;
        let pending: Vec<Node> = self.plane.group.pending_retirements().collect();
        let suffices = |zones: &[&str]| self.runtime.boot.are_stores_sufficient(zones.iter().copied());
        let decision = decide(name, state, &pending, &self.plane.registry, suffices);
        if decision != OrderDecision::Propose || self.may_lose_machine_of(name) {
            return Some(decision);
        }
        Some(OrderDecision::TooFewRemaining)
    }

    /// Where a control node runs on the store's machine, it is taken away too: the others have to be enough.
    fn may_lose_machine_of(&self, name: &str) -> bool {
        let Some((store, view)) = self.plane.registry.store_named(name).zip(self.plane.group.view()) else {
            return true;
        };
        are_voters_sufficient(&view.voters, store.ip, self.runtime.boot.fault_tolerance.machines)
    }
}

impl CallHandler<BeginRetirement> for ControlNode {
    fn handle_call(
        &mut self,
        call_id: u64,
        BeginRetirement { node: name }: BeginRetirement,
    ) -> Option<BeginRetirementReply> {
        let now = self.runtime.net.now();
        if self.is_confirmed(&name) {
            return Some(self.accepted_order());
        }
        self.calls.set_content(call_id, ForwardedCall::BeginRetirement { node: name.clone() });
        let Some(decision) = self.decide_order(now, &name) else {
            self.forward(call_id, self.plane.group.primary());
            return None;
        };
        match decision {
            OrderDecision::UnknownStore => return Some(BeginRetirementReply::UnknownStore),
            OrderDecision::TooFewRemaining => return Some(BeginRetirementReply::TooFewStores),
            OrderDecision::NotNow => return Some(BeginRetirementReply::Unavailable),
            OrderDecision::AlreadyCommitted => self.calls.await_store(call_id),
            OrderDecision::Propose => {
                self.plane.group.retire_store(now, call_id, store_id(&name), name);
                self.apply_group_effects();
            }
        }
        None
    }
}

impl CallHandler<ReadRetirement> for ControlNode {
    fn handle_call(
        &mut self,
        call_id: u64,
        ReadRetirement { node: name }: ReadRetirement,
    ) -> Option<RetirementProgress> {
        let now = self.runtime.net.now();
        if let Some(progress) = progress(&name, self.plane.group.committed(), &self.plane.registry) {
            return Some(progress);
        }
        self.calls.set_content(call_id, ForwardedCall::ReadRetirement { node: name.clone() });
        // Only the primary can say that there is no such order.
        if self.plane.group.readable_state(now).is_none() {
            self.forward(call_id, self.plane.group.primary());
            return None;
        }
        let store = self.plane.registry.store_named(&name);
        Some(match store.and_then(|store| reported_stage(store.retirement)) {
            Some(RetirementStage::Complete) => RetirementProgress::Complete,
            Some(_) => RetirementProgress::Draining,
            None if self.plane.registry.is_ready() => RetirementProgress::UnknownStore,
            None => RetirementProgress::Unavailable,
        })
    }
}

#[cfg(test)]
mod tests;
