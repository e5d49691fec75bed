//! Retirement of stores: which orders are accepted, which stores are notified, and how far each retirement has
//! progressed. The replicated state holds the retirements; this node alone keeps only which stores it has notified.

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

/// Time in ms after which an order that its store has not confirmed is answered with 503. It is below one second,
/// because an operator without an answer for a second turns to another control node.
const STORE_CONFIRMATION_TIMEOUT_MS: Millis = 900;
/// Interval in ms at which a store is notified again until it reports that it is retiring.
const RETIREMENT_NOTICE_INTERVAL_MS: Millis = 500;

/// The primary's decision on an order to retire a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDecision {
    /// The order is valid and is proposed to the control group.
    Propose,
    /// The order was committed earlier, and only the store's confirmation is awaited.
    AlreadyCommitted,
    /// No store of this name exists.
    UnknownStore,
    /// Too few stores would remain to tolerate the losses that the settings name.
    TooFewRemaining,
    /// The order can't be decided yet.
    NotNow,
}

/// Decides on an order to retire the store with the given name.
///
/// `pending` are the stores whose orders are being committed; `suffices` tells whether stores in the given zones can
/// tolerate the losses that the settings name.
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
    // A control node that does not know all members yet must not reject an order permanently.
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
    // Every message is replicated to a fixed number of stores. If only that many stores remained, no message could be
    // accepted while one of them is down.
    if !suffices_without(&is_committed) {
        return reject(OrderDecision::TooFewRemaining);
    }
    // Orders that are being committed may still fail, so they only postpone the decision.
    if !suffices_without(&|other| is_committed(other) || pending.contains(&other)) {
        return OrderDecision::NotNow;
    }
    OrderDecision::Propose
}

/// The progress of a retirement, by the replicated state and the store's own report. The retirement is complete only
/// when both say so, because a new machine of the same name, which is notified to retire as well, may hold messages.
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

/// The retirement stage that corresponds to a store's own report.
fn reported_stage(reported: RetirementState) -> Option<RetirementStage> {
    match reported {
        RetirementState::NotRetiring => None,
        RetirementState::Draining => Some(RetirementStage::Draining),
        RetirementState::Complete => Some(RetirementStage::Complete),
    }
}

/// Whether losing a machine would leave the control group with a lower fault tolerance than intended: this is so if
/// one of an even number of voters runs on the machine. The group removes that voter by its next change; with an odd
/// number of voters it can spare one.
fn is_voter_needed(voters: &[SocketAddrV4], machine: Ipv4Addr) -> bool {
    voters.len().is_multiple_of(2) && voters.iter().any(|voter| *voter.ip() == machine)
}

/// Whether the voters that remain without a machine would still have a majority after `tolerated_losses` further
/// losses.
fn are_voters_sufficient(voters: &[SocketAddrV4], machine: Ipv4Addr, tolerated_losses: usize) -> bool {
    let remaining = voters.iter().filter(|voter| *voter.ip() != machine).count();
    remaining == voters.len() || remaining > 2 * tolerated_losses
}

/// The time at which each store was last notified of its retirement.
#[derive(Default)]
pub struct RetirementNotices(BTreeMap<Node, Millis>);

impl RetirementNotices {
    /// Stores that have to be notified now: those with a session on this node that are to retire, have not reported
    /// that they are retiring, and were not notified within the last notice interval.
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
        due.retain(|node| self.0.get(node).is_none_or(|at| now >= at + RETIREMENT_NOTICE_INTERVAL_MS));
        self.0.extend(due.iter().map(|node| (*node, now)));
        due
    }
}

impl ControlNode {
    /// Notifies stores of their retirement, records their progress, and answers the orders that they have confirmed.
    pub(super) fn advance_retirements(&mut self, now: Millis) {
        self.leave_group_with_machine(now);
        self.notify_stores(now);
        self.record_stages(now);
        self.answer_orders(now);
    }

    /// Ends this control node's membership in the group if the store on this machine is being retired. The machine is
    /// removed when the store is empty, and the control node has to leave the group before that.
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

    /// On the primary, records the progress that stores report in the replicated state.
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

    /// Answers retirement orders: an order is acknowledged when its store has recorded it on disk.
    fn answer_orders(&mut self, now: Millis) {
        for order in self.calls.unconfirmed_orders() {
            if self.is_confirmed(&order.store) {
                let reply = self.accepted_order();
                self.answer_call(order.call_id, reply.into());
            } else if now > order.since + STORE_CONFIRMATION_TIMEOUT_MS {
                self.answer_call(order.call_id, BeginRetirementReply::Unavailable.into());
            }
        }
    }

    /// The answer to an order that its store has confirmed.
    fn accepted_order(&self) -> BeginRetirementReply {
        BeginRetirementReply::Accepted { spare_stores: self.stores_in_service().spare }
    }

    /// Whether the store has confirmed the order, by its present report or an earlier one.
    fn is_confirmed(&self, name: &str) -> bool {
        let committed = self.plane.group.committed().and_then(|state| state.retirement(store_id(name)));
        let store = self.plane.registry.store_named(name);
        let is_retiring = store.is_some_and(|store| store.retirement != RetirementState::NotRetiring);
        committed.is_some_and(|retirement| is_retiring || retirement.stage != RetirementStage::Ordered)
    }

    /// Decides on an order to retire a store. Returns `None` if this node is not the primary.
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

    /// Whether the control group can do without the store's machine: a control node on that machine is removed with
    /// it, so the remaining ones have to be enough.
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
        // Only the primary can tell that no such order exists.
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
