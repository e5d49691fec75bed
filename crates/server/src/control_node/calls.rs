//! The calls of executors and operators. A control node answers at once the calls that it can decide itself; calls
//! that only the primary can decide go to the control group, or are forwarded to the control node that is primary.

use super::pending_calls::Origin;
use super::ControlNode;
use crate::calls::{
    self, ActiveConfig, BeginRetirement, Call, CallHandler, Dispatched, HeartbeatCall, HeartbeatReply,
    LeaveCall, LeaveReply, ReadConfig, ReadConfigReply, ReadRetirement, ReplaceConfig, ReplaceOutcome,
};
use crate::net::{ConnectionId, Millis, Request, Response};
use crate::protocol::{ExecutorState, ForwardedCall, ForwardedCallKind, Frame, Heartbeat, NodeRole};
use std::net::SocketAddrV4;
use stileroute_control_group::{ControlState, Verdict};
use stileroute_queue::Node;

impl ControlNode {
    /// Handles an HTTP request of an executor or an operator.
    pub(super) fn handle_request(&mut self, connection: ConnectionId, request: &Request) {
        let call_id = self.calls.insert(self.runtime.net.now(), Origin::Client(connection));
        let dispatched = calls::dispatch::<HeartbeatCall, _>(self, call_id, request)
            .or_else(|| calls::dispatch::<LeaveCall, _>(self, call_id, request))
            .or_else(|| calls::dispatch::<ReplaceConfig, _>(self, call_id, request))
            .or_else(|| calls::dispatch::<ReadConfig, _>(self, call_id, request))
            .or_else(|| calls::dispatch::<BeginRetirement, _>(self, call_id, request))
            .or_else(|| calls::dispatch::<ReadRetirement, _>(self, call_id, request));
        match dispatched {
            Some(Dispatched::Answered(response)) => self.answer_call(call_id, response),
            Some(Dispatched::Pending) => {}
            None => self.answer_call(call_id, Response::empty(404)),
        }
    }

    /// Handles a call that another control node forwarded. Returns `None` if the answer follows later.
    pub(super) fn handle_forwarded(&mut self, call_id: u64, call: ForwardedCall) -> Option<Response> {
        match call {
            ForwardedCall::ReplaceConfig { body, .. } => match ReplaceConfig::parse("", &body) {
                Ok(call) => self.handle_call(call_id, call).map(Response::from),
                Err(error) => Some(calls::error_response(400, &error)),
            },
            ForwardedCall::ReadConfig => self.handle_call(call_id, ReadConfig).map(Response::from),
            ForwardedCall::BeginRetirement { node } => {
                self.handle_call(call_id, BeginRetirement { node }).map(Response::from)
            }
            ForwardedCall::ReadRetirement { node } => {
                self.handle_call(call_id, ReadRetirement { node }).map(Response::from)
            }
        }
    }

    /// Handles another control node's answer to a forwarded call. Only the first answer of the node that the call was
    /// forwarded to counts.
    pub(super) fn forwarded_call_answered(&mut self, from: Node, call_id: u64, status: u16, body: Vec<u8>) {
        if !self.calls.is_forwarded_to(call_id, from) {
            return;
        }
        let headers = if status == 503 { vec![("Retry-After", "1".to_string())] } else { Vec::new() };
        let response = Response { status, is_json: true, body, headers, close_connection: false };
        self.answer_call(call_id, response);
    }

    /// Sends the answer to the origin of a call, if the call has no answer yet.
    pub(super) fn answer_call(&mut self, call_id: u64, response: Response) {
        match self.calls.remove(call_id) {
            Some(Origin::Client(connection)) => {
                let close_connection = self.runtime.draining_since.is_some();
                self.runtime.net.respond(connection, Response { close_connection, ..response });
            }
            Some(Origin::ControlNode { node, request_id }) => {
                let frame = Frame::ForwardResult { request_id, status: response.status, body: response.body };
                self.runtime.links.send(&mut self.runtime.net, node, &frame);
            }
            None => {}
        }
    }

    /// Forwards a call to the primary, if the primary is known and connected.
    pub(super) fn forward(&mut self, call_id: u64, primary: Option<SocketAddrV4>) {
        let primary = primary.and_then(|address| self.runtime.links.node_at_control_address(address));
        let call = primary.and_then(|node| self.calls.forward(call_id, node));
        let is_sent = primary.zip(call).is_some_and(|(node, call)| {
            let frame = Frame::Forward { request_id: call_id, call };
            self.runtime.links.send(&mut self.runtime.net, node, &frame)
        });
        if let Some(kind) = self.calls.kind(call_id).filter(|_| !is_sent) {
            self.answer_call(call_id, kind.unavailable());
        }
    }

    /// Gives up forwarded calls whose answer from the primary is overdue.
    pub(super) fn answer_overdue_calls(&mut self, now: Millis) {
        for (call_id, kind) in self.calls.overdue(now) {
            self.answer_call(call_id, kind.outcome_unknown());
        }
    }

    /// Handles the control group's verdict on an order.
    pub(super) fn order_decided(&mut self, call_id: u64, verdict: Verdict) {
        let Some(kind) = self.calls.kind(call_id) else { return };
        match verdict {
            Verdict::NotPrimary { primary } => self.forward(call_id, primary),
            Verdict::Uncertain => self.answer_call(call_id, kind.outcome_unknown()),
            Verdict::NotCommitted => self.answer_call(call_id, kind.unavailable()),
            Verdict::Accepted | Verdict::Unchanged if kind == ForwardedCallKind::BeginRetirement => {
                self.calls.await_store(call_id);
            }
            Verdict::Accepted | Verdict::Unchanged => {
                let outcome = self.replacement_outcome(call_id, verdict);
                let response = outcome.map_or_else(|| kind.outcome_unknown(), Response::from);
                self.answer_call(call_id, response);
            }
        }
    }

    /// The configuration in force when a change is acknowledged: the one that was sent or, if the change had no
    /// effect, the one that was already in force.
    fn replacement_outcome(&self, call_id: u64, verdict: Verdict) -> Option<ReplaceOutcome> {
        let (version, body) = self.calls.submitted_configuration(call_id)?;
        if verdict == Verdict::Accepted {
            return Some(ReplaceOutcome::Active(ActiveConfig::new(version, body, true)));
        }
        let state = self.plane.group.state();
        Some(ReplaceOutcome::Active(ActiveConfig::new(state.version, &state.body, body == state.body)))
    }

    /// Answers a call with the configuration that the control group has read for it.
    pub(super) fn configuration_read(&mut self, call_id: u64, state: Option<ControlState>) {
        let reply = state.map_or(ReadConfigReply::Missing, |state| ReadConfigReply::Active(state.body));
        self.answer_call(call_id, reply.into());
    }

    /// Returns a control node in the executor's zone if this node is in another zone, so that heartbeats need not
    /// cross zones. It is an address and a port only, because executors do not follow a URL.
    fn heartbeat_url(&self, zone: &str) -> Option<String> {
        if self.runtime.boot.zone == zone {
            return None;
        }
        let near = self.runtime.links.peers(NodeRole::Control).find(|peer| peer.zone == zone)?;
        near.control_address.map(|address| address.to_string())
    }
}

impl CallHandler<HeartbeatCall> for ControlNode {
    fn handle_call(&mut self, call_id: u64, call: HeartbeatCall) -> Option<HeartbeatReply> {
        let now = self.runtime.net.now();
        let id = call.id.clone();
        let heartbeat_url = self.heartbeat_url(&call.zone);
        let heartbeat = Heartbeat {
            id: call.id,
            backend: call.backend,
            address: call.address,
            zone: call.zone,
            capacity: call.capacity,
            state: if call.is_draining { ExecutorState::Draining } else { ExecutorState::Serving },
            warmup_left_ms: call.warmup_left_ms,
            sequence: call.sequence,
            age_ms: 0,
        };
        self.plane.registry.record_heartbeat(now, heartbeat);
        let recorded = HeartbeatReply::Recorded { heartbeat_url };
        if call.is_draining {
            return self.replicate_departure(call_id, &id, recorded, HeartbeatReply::Partitioned);
        }
        // A control node that is partitioned from its peers can't pass the heartbeat on, so the executor has to call
        // another one as well. A node that has just started still accepts it.
        let is_recorded = self.plane.group.is_in_contact(now) || !self.plane.registry.is_ready();
        Some(if is_recorded { recorded } else { HeartbeatReply::Partitioned })
    }
}

impl CallHandler<LeaveCall> for ControlNode {
    fn handle_call(&mut self, call_id: u64, call: LeaveCall) -> Option<LeaveReply> {
        let now = self.runtime.net.now();
        self.plane.registry.deregister_executor(now, &call.id);
        self.replicate_departure(call_id, &call.id, LeaveReply::Recorded, LeaveReply::Partitioned)
    }
}

impl CallHandler<ReplaceConfig> for ControlNode {
    fn handle_call(&mut self, call_id: u64, call: ReplaceConfig) -> Option<ReplaceOutcome> {
        let now = self.runtime.net.now();
        let forwarded = ForwardedCall::ReplaceConfig { version: call.version, body: call.body.clone() };
        self.calls.set_content(call_id, forwarded);
        self.plane.group.replace_configuration(now, call_id, call.version, call.body);
        self.apply_group_effects();
        None
    }
}

impl CallHandler<ReadConfig> for ControlNode {
    fn handle_call(&mut self, call_id: u64, _: ReadConfig) -> Option<ReadConfigReply> {
        let now = self.runtime.net.now();
        self.calls.set_content(call_id, ForwardedCall::ReadConfig);
        self.plane.group.read_configuration(now, call_id);
        self.apply_group_effects();
        None
    }
}
