//! A simulated edge or store: its connections and its session with a control node, without clients and messages.
//!
//! It follows `crates/server/src/node/session.rs` in which control node it polls, and `edge.rs` and `store.rs` there in which
//! nodes it connects with.

use crate::config_body::version_of;
use crate::layout::{distance, zone_number, Layout, Place};
use crate::links::{LinkEvent, Links};
use crate::net::{Millis, Net};
use crate::protocol::{ExecutorState, Frame, Heartbeat, Member, MembershipUpdate, NodeRole, RetirementState};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use stileroute_queue::Node;

/// A control node that has not answered a poll for so long is given up.
const CONTROL_REPLY_TIMEOUT: Millis = 2000;
/// How soon a control node is looked for while there is none.
const CHOICE_RETRY_INTERVAL: Millis = 100;
/// How often the node works out with which peers it should be connected, beside every time that one comes or goes.
const TOPOLOGY_CHECK_INTERVAL: Millis = 250;

/// A control node, connected or not.
struct KnownControlNode {
    address: SocketAddrV4,
    /// `None` for a seed of which nothing else is known.
    zone: Option<usize>,
}

/// An edge or a store.
pub struct MemberNode {
    role: NodeRole,
    zone: usize,
    known_control_nodes: Vec<KnownControlNode>,
    /// The control node that is polled.
    control_node: Option<Node>,
    /// When the poll was sent that has no answer yet.
    polled_at: Option<Millis>,
    /// The control node's incarnation and the version of its last update, repeated in each poll.
    incarnation: u64,
    version: u64,
    config_version: u64,
    /// The configuration's bytes, as a node keeps them.
    config_body: Vec<u8>,
    members: Vec<Member>,
    /// The executors that a store has been told of.
    pub executors: HashMap<String, Heartbeat>,
    has_topology_changed: bool,
    next_topology_check_at: Millis,
}

impl MemberNode {
    /// A process that has just been started, and knows only the seeds.
    pub fn new(place: &Place, layout: &Layout) -> MemberNode {
        let seeds = layout.seeds().into_iter();
        MemberNode {
            role: place.role,
            zone: place.zone,
            known_control_nodes: seeds.map(|address| KnownControlNode { address, zone: None }).collect(),
            control_node: None,
            polled_at: None,
            incarnation: 0,
            version: 0,
            config_version: 0,
            config_body: Vec::new(),
            members: Vec::new(),
            executors: HashMap::new(),
            has_topology_changed: true,
            next_topology_check_at: 0,
        }
    }

    /// The version of the configuration that the node has; 0 if it has none.
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// When the node has something to do if nothing happens before.
    pub fn next_deadline(&self, now: Millis) -> Millis {
        let session = match self.polled_at {
            Some(polled_at) => polled_at + CONTROL_REPLY_TIMEOUT + 1,
            None => now + CHOICE_RETRY_INTERVAL,
        };
        session.min(self.next_topology_check_at.max(now + 1))
    }

    /// Handles what happened to a connection.
    pub fn handle_link_event(&mut self, links: &mut Links, net: &mut Net, link_event: LinkEvent) {
        match link_event {
            LinkEvent::Up(_) | LinkEvent::Down(..) => self.has_topology_changed = true,
            LinkEvent::Received(from, NodeRole::Control, Frame::Update(update)) => {
                self.apply_update(links, net, from, update);
            }
            LinkEvent::Received(..) => {}
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, links: &mut Links, net: &mut Net) {
        self.maintain_session(links, net);
        self.choose_dial_targets(links, net.now());
    }

    fn maintain_session(&mut self, links: &mut Links, net: &mut Net) {
        let is_late = self.polled_at.is_some_and(|at| net.now() > at + CONTROL_REPLY_TIMEOUT);
        if self.control_node.is_some_and(|node| is_late || !links.is_up(node)) {
            self.end_session();
        }
        if self.control_node.is_none() {
            self.control_node = self.nearest_control_node(links);
            self.poll_control_node(links, net);
        }
    }

    fn end_session(&mut self) {
        self.control_node = None;
        self.polled_at = None;
    }

    fn nearest_control_node(&self, links: &Links) -> Option<Node> {
        let rotation = links.local().node & 31;
        let candidates = links.peers(NodeRole::Control).map(|peer| {
            let far = zone_number(&peer.zone).map(|zone| distance(self.zone, zone));
            (far, peer.node.rotate_left(rotation), peer.node)
        });
        candidates.min().map(|(.., node)| node)
    }

    fn poll_control_node(&mut self, links: &mut Links, net: &mut Net) {
        let Some(control_node) = self.control_node else { return };
        let request = Frame::UpdateRequest {
            incarnation: self.incarnation,
            version: self.version,
            config_version: self.config_version,
            retirement: RetirementState::NotRetiring,
        };
        if links.send(net, control_node, &request) {
            self.polled_at = Some(net.now());
        }
    }

    fn apply_update(&mut self, links: &mut Links, net: &mut Net, from: Node, update: MembershipUpdate) {
        if self.control_node != Some(from) {
            return;
        }
        self.has_topology_changed = true;
        if update.is_partitioned {
            self.end_session();
            return;
        }
        (self.incarnation, self.version) = (update.incarnation, update.version);
        if let Some(members) = update.members {
            self.learn_control_nodes(&members);
            self.members = members;
        }
        if let Some(body) = update.config {
            self.config_version = version_of(&body);
            self.config_body = body;
        }
        if update.is_complete {
            self.executors.clear();
        }
        for heartbeat in update.executors {
            match heartbeat.state {
                ExecutorState::Offline => self.executors.remove(&heartbeat.id),
                _ => self.executors.insert(heartbeat.id.clone(), heartbeat),
            };
        }
        self.poll_control_node(links, net);
    }

    fn learn_control_nodes(&mut self, members: &[Member]) {
        for member in members.iter().filter(|member| member.role == NodeRole::Control) {
            let Some(address) = member.control_address else { continue };
            self.known_control_nodes.retain(|known| known.address != address);
            self.known_control_nodes.push(KnownControlNode { address, zone: zone_number(&member.zone) });
        }
    }

    /// The addresses of the control nodes to be connected with: those in this node's own zone while one of them is connected,
    /// otherwise all.
    fn control_dial_targets(&self, links: &Links) -> Vec<SocketAddrV4> {
        let is_near = |control: &&KnownControlNode| control.zone == Some(self.zone);
        let known = &self.known_control_nodes;
        let has_connected_near = known
            .iter()
            .filter(is_near)
            .any(|control| links.node_at_control_address(control.address).is_some());
        let chosen = known.iter().filter(|control| !has_connected_near || is_near(control));
        chosen.map(|control| links.listen_address(*control.address.ip(), NodeRole::Control)).collect()
    }

    /// An edge opens connections with all stores; of two stores the one with the lower address does.
    fn choose_dial_targets(&mut self, links: &mut Links, now: Millis) {
        if !std::mem::take(&mut self.has_topology_changed) && now < self.next_topology_check_at {
            return;
        }
        self.next_topology_check_at = now + TOPOLOGY_CHECK_INTERVAL;
        let mut targets = self.control_dial_targets(links);
        let own_ip = links.local().ip;
        let stores = self.members.iter().filter(|member| member.role == NodeRole::Store);
        let dialed = stores.filter(|member| self.role == NodeRole::Edge || member.ip > own_ip);
        targets.extend(dialed.map(|member| links.listen_address(member.ip, NodeRole::Store)));
        links.set_dial_targets(now, targets);
    }
}
