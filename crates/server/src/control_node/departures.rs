//! Replication of departures: an executor that is draining or has deregistered is acknowledged only once a majority of
//! the control group's voters has recorded it.
//!
//! The acknowledgement promises that no process sends the executor any more requests soon after. If this control node is
//! partitioned from the others, they serve the stores without it, so they have to know of the departure by themselves.
//! Each control node that records a departure sends it on, because this node may lose its connections before it has
//! reached all of them.

use super::ControlNode;
use crate::calls::HeartbeatReply;
use crate::net::{Millis, Response};
use crate::protocol::{Frame, Heartbeat, NodeRole};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use stileroute_queue::Node;

/// Time after which a departure that no majority has recorded is rejected. The executor waits one second for an answer
/// before it calls another control node.
const REPLICATION_TIMEOUT_MS: Millis = 500;

/// A departure that no majority of the voters has recorded yet.
struct PendingDeparture {
    /// Control addresses of the other control nodes that have recorded the departure.
    recorded_by: BTreeSet<SocketAddrV4>,
    deadline: Millis,
    /// The answer to the call once a majority has recorded the departure.
    acknowledgement: Response,
}

/// The departures that no majority of the voters has recorded yet, by the id of the executor's call.
#[derive(Default)]
pub(super) struct PendingDepartures {
    by_call: HashMap<u64, PendingDeparture>,
}

impl PendingDepartures {
    fn insert(&mut self, now: Millis, call_id: u64, acknowledgement: Response) {
        let deadline = now + REPLICATION_TIMEOUT_MS;
        let departure = PendingDeparture { recorded_by: BTreeSet::new(), deadline, acknowledgement };
        self.by_call.insert(call_id, departure);
    }

    /// Notes that another control node has recorded a departure, and returns all that have; `None` if the call has been
    /// answered.
    fn record(&mut self, call_id: u64, address: SocketAddrV4) -> Option<&BTreeSet<SocketAddrV4>> {
        let departure = self.by_call.get_mut(&call_id)?;
        departure.recorded_by.insert(address);
        Some(&departure.recorded_by)
    }

    /// Takes a departure that a majority has recorded, and returns the answer to its call.
    fn complete(&mut self, call_id: u64) -> Option<Response> {
        self.by_call.remove(&call_id).map(|departure| departure.acknowledgement)
    }

    /// Takes the departures whose time-out has passed, and returns the ids of their calls.
    fn take_overdue(&mut self, now: Millis) -> Vec<u64> {
        let is_overdue = |departure: &PendingDeparture| departure.deadline <= now;
        let overdue = self.by_call.iter().filter(|(_, departure)| is_overdue(departure));
        let overdue: Vec<u64> = overdue.map(|(call_id, _)| *call_id).collect();
        overdue.iter().for_each(|call_id| drop(self.by_call.remove(call_id)));
        overdue
    }

    /// Time at which the next time-out passes.
    pub(super) fn next_deadline(&self) -> Millis {
        self.by_call.values().map(|departure| departure.deadline).min().unwrap_or(Millis::MAX)
    }
}

/// Whether more than half of the voters have recorded a departure.
fn is_majority(voters: &[SocketAddrV4], has_recorded: impl Fn(&SocketAddrV4) -> bool) -> bool {
    voters.iter().filter(|voter| has_recorded(voter)).count() > voters.len() / 2
}

impl ControlNode {
    /// Sends the departure of an executor, which the registry has recorded, to the other control nodes. Returns the reply
    /// to its call, or `None` while a majority has not confirmed: the call is then answered later.
    pub(super) fn replicate_departure<Reply: Clone + Into<Response>>(
        &mut self,
        call_id: u64,
        id: &str,
        recorded: Reply,
        partitioned: Reply,
    ) -> Option<Reply> {
        let now = self.runtime.net.now();
        let departure = self.plane.registry.departure(now, id);
        let Some(heartbeat) = departure.filter(|_| self.plane.group.is_in_contact(now)) else {
            return Some(partitioned);
        };
        // Sent in any case: control nodes that are no voters or that confirm nothing need it as well.
        self.send_departure(Some(call_id), &heartbeat, None);
        if self.is_recorded_by_majority(&BTreeSet::new()) {
            return Some(recorded);
        }
        self.departures.insert(now, call_id, recorded.into());
        None
    }

    /// Whether a majority of the voters has recorded a departure: this node, the control nodes in `recorded_by`, and
    /// connected control nodes of an earlier release, which confirm nothing.
    fn is_recorded_by_majority(&self, recorded_by: &BTreeSet<SocketAddrV4>) -> bool {
        let links = &self.runtime.links;
        let Some(view) = self.plane.group.view() else { return false };
        is_majority(&view.voters, |voter| {
            let peer = links.node_at_control_address(*voter).and_then(|node| links.peer(node));
            links.local().control_address == Some(*voter)
                || recorded_by.contains(voter)
                || peer.is_some_and(|peer| !peer.confirms_departures)
        })
    }

    /// Sends a departure to all connected control nodes except the one that it came from.
    fn send_departure(&mut self, request_id: Option<u64>, heartbeat: &Heartbeat, except: Option<Node>) {
        let peers = self.runtime.links.peers(NodeRole::Control).filter(|peer| Some(peer.node) != except);
        let peers: Vec<(Node, bool)> = peers.map(|peer| (peer.node, peer.confirms_departures)).collect();
        for (node, confirms_departures) in peers {
            let heartbeat = heartbeat.clone();
            let frame = if confirms_departures {
                Frame::Departure { request_id, heartbeat }
            } else {
                Frame::Heartbeats(vec![heartbeat])
            };
            self.runtime.links.send(&mut self.runtime.net, node, &frame);
        }
    }

    /// Handles a departure that another control node reports.
    pub(super) fn departure_received(&mut self, from: Node, request_id: Option<u64>, heartbeat: Heartbeat) {
        let now = self.runtime.net.now();
        let is_news = self.plane.registry.merge_departure(now, heartbeat.clone());
        if is_news || request_id.is_some() {
            self.send_departure(None, &heartbeat, Some(from));
        }
        let is_recorded = self.plane.registry.departure(now, &heartbeat.id).is_some();
        if let Some(request_id) = request_id.filter(|_| is_recorded) {
            let frame = Frame::DepartureRecorded { request_id };
            self.runtime.links.send(&mut self.runtime.net, from, &frame);
        }
    }

    /// Handles another control node's confirmation that it has recorded a departure.
    pub(super) fn departure_recorded(&mut self, from: Node, call_id: u64) {
        let Some(address) = self.runtime.links.peer(from).and_then(|peer| peer.control_address) else {
            return;
        };
        let Some(recorded_by) = self.departures.record(call_id, address).cloned() else { return };
        if !self.is_recorded_by_majority(&recorded_by) {
            return;
        }
        if let Some(acknowledgement) = self.departures.complete(call_id) {
            self.answer_call(call_id, acknowledgement);
        }
    }

    /// Rejects the departures that no majority has recorded in time.
    pub(super) fn reject_overdue_departures(&mut self, now: Millis) {
        for call_id in self.departures.take_overdue(now) {
            tracing::warn!(
                "departure of an executor rejected: no majority of the control nodes has recorded it"
            );
            self.answer_call(call_id, HeartbeatReply::Partitioned.into());
        }
    }
}

#[cfg(test)]
mod tests;
