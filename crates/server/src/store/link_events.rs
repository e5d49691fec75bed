//! Handles the events of a store's links: frames from edges, other stores and control nodes, and connections that open or break.

use super::{Store, Submitter};
use crate::links::LinkEvent;
use crate::net::Millis;
use crate::protocol::{
    ExecutorState, Frame, Heartbeat, KnownMessage, MembershipUpdate, MessageStatus, NodeRole,
    RESUBMISSION_FLAG,
};
use std::collections::HashMap;
use stileroute_queue::{Executor, Key, Message, Node};

/// Zone number of member stores whose zone is not in the settings; it differs from the numbers of all configured zones.
const UNKNOWN_ZONE_NUMBER: usize = usize::MAX >> 1;

impl Store {
    /// Handles one event of a link.
    pub(super) fn handle_link_event(&mut self, link_event: LinkEvent) {
        let now = self.runtime.net.now();
        match link_event {
            LinkEvent::Up(peer) if peer.role == NodeRole::Store => {
                self.queue.peer_connected(now, peer.node);
            }
            LinkEvent::Up(peer) if peer.role == NodeRole::Edge && self.queue.is_draining => {
                self.runtime.links.send(&mut self.runtime.net, peer.node, &Frame::Draining);
            }
            LinkEvent::Up(_) => {}
            LinkEvent::Down(node, NodeRole::Store) => self.queue.peer_disconnected(now, node),
            LinkEvent::Down(node, NodeRole::Edge) => self.handle_edge_disconnected(node),
            LinkEvent::Down(..) => {}
            LinkEvent::Received(from, NodeRole::Control, frame) => self.handle_control_frame(from, frame),
            LinkEvent::Received(from, NodeRole::Edge, frame) => self.handle_edge_frame(from, frame),
            LinkEvent::Received(from, NodeRole::Store, Frame::Queue(message)) => {
                self.queue.handle_peer_message(now, from, message);
            }
            LinkEvent::Received(..) => {}
        }
    }

    /// Abandons the submissions of an edge whose connection was lost, because their answers can no longer be sent.
    fn handle_edge_disconnected(&mut self, edge: Node) {
        let submissions = self.submitters.iter().filter(|(_, submitter)| submitter.edge == edge);
        let abandoned: Vec<u64> = submissions.map(|(id, _)| *id).collect();
        for id in abandoned {
            self.submitters.remove(&id);
            self.queue.drop_abandoned(id);
        }
    }

    fn handle_edge_frame(&mut self, edge: Node, frame: Frame) {
        match frame {
            Frame::Submit { request_id, message } => self.handle_submission(edge, request_id, message),
            Frame::Lookup { request_id, key, include_body } => {
                let result = self.look_up(key, include_body);
                self.unknown_lookups += u64::from(result.is_none());
                let frame = Frame::LookupResult { request_id, result };
                self.runtime.links.send(&mut self.runtime.net, edge, &frame);
            }
            Frame::Superseded { message_id, fingerprint, kept } => {
                self.queue.drop_superseded(&message_id, fingerprint, kept);
            }
            _ => {}
        }
    }

    fn handle_submission(&mut self, edge: Node, request_id: u64, message: Message) {
        let now = self.runtime.net.now();
        let id = self.next_id();
        self.submitters.insert(id, Submitter { edge, request_id });
        if request_id & RESUBMISSION_FLAG == 0 {
            self.queue.put(now, id, message);
        } else {
            self.queue.put_resubmitted(now, id, message);
        }
    }

    /// Looks up the status of a message, and its body if requested; `None` if this store does not know the message.
    fn look_up(&self, key: Key, include_body: bool) -> Option<KnownMessage> {
        let (state, body) = self.queue.lookup(key)?;
        let body = body.filter(|_| include_body).map(<[u8]>::to_vec);
        let status = match state {
            stileroute_queue::MessageState::Waiting => MessageStatus::Pending,
            stileroute_queue::MessageState::Complete { seal } => MessageStatus::Complete { seal },
            stileroute_queue::MessageState::Failed => MessageStatus::Failed,
        };
        let tenant = self.queue.message(key).and_then(|message| message.tenant.clone());
        Some(KnownMessage { status, body, tenant })
    }

    fn handle_control_frame(&mut self, from: Node, frame: Frame) {
        match frame {
            Frame::Update(update) => self.apply_update(from, update),
            Frame::RetireStore { node } if node == self.runtime.links.local().node => {
                self.queue.retire(self.runtime.net.now());
                self.notify_edges_of_draining();
            }
            _ => {}
        }
    }

    /// Applies an update from a control node: members, executors and possibly a new configuration.
    fn apply_update(&mut self, from: Node, update: MembershipUpdate) {
        let now = self.runtime.net.now();
        let new_config = self.runtime.apply_update(from, &update);
        if update.members.is_some() {
            let stores = self.stores_with_zones();
            self.queue.set_members(now, &stores);
        }
        let has_changed = update.is_complete || !update.executors.is_empty();
        if update.is_complete {
            self.executors.clear();
        }
        update.executors.into_iter().for_each(|heartbeat| self.apply_heartbeat(now, heartbeat));
        let now_tenths_ms = self.runtime.net.now_tenths_ms();
        if has_changed {
            self.queue.set_executors(now, now_tenths_ms, self.executors_by_service());
        }
        if let Some(config) = new_config {
            self.queue.configure(now, now_tenths_ms, config);
        }
    }

    fn apply_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) {
        if !self.departed_executors.admits(now, &heartbeat) {
            return;
        }
        if heartbeat.state != ExecutorState::Offline {
            self.executors.insert(heartbeat.id.clone(), heartbeat);
        } else if let Some(executor) = self.executors.remove(&heartbeat.id) {
            self.runtime.net.close_idle_calls_to(executor.address);
        }
    }

    /// All stores in the membership, each with its zone number.
    fn stores_with_zones(&self) -> Vec<(Node, usize)> {
        let members = self.runtime.session.members.iter();
        let stores = members.filter(|member| member.role == NodeRole::Store);
        stores
            .map(|store| (store.node, self.zone_number(&store.zone).unwrap_or(UNKNOWN_ZONE_NUMBER)))
            .collect()
    }

    /// The index of a zone among the zones in the settings; `None` if the settings do not contain it.
    fn zone_number(&self, zone: &str) -> Option<usize> {
        self.runtime.boot.zone_regions.keys().position(|name| name == zone)
    }

    /// The executors of each service in the queue's format, ordered by executor id.
    fn executors_by_service(&self) -> HashMap<String, Vec<Executor>> {
        let mut services: HashMap<String, Vec<Executor>> = HashMap::new();
        let mut heartbeats: Vec<&Heartbeat> = self.executors.values().collect();
        heartbeats.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        for heartbeat in heartbeats {
            let executor = Executor {
                id: heartbeat.id.clone(),
                address: heartbeat.address,
                zone: self.zone_number(&heartbeat.zone).unwrap_or(self.runtime.boot.zone_regions.len()),
                capacity: f64::from(heartbeat.capacity),
                is_serving: heartbeat.state == ExecutorState::Serving,
                warm_up_left_ms: heartbeat.warmup_left_ms,
            };
            services.entry(heartbeat.backend.clone()).or_default().push(executor);
        }
        services
    }
}
