//! Connects the control group and the registry of one control node with its links: frames from peers go into these
//! two state machines, and their outgoing messages are sent to the peers.

use crate::links::{LinkEvent, Links};
use crate::net::{Millis, Net};
use crate::protocol::{Frame, Member, NodeRole, PeerInfo, RetirementState};
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_control_group::{ControlGroup, Effect};
use stileroute_queue::Node;
use stileroute_registry::{CommittedConfig, GroupContact, Registry, RegistryEffect};

/// Interval in ms at which the registry is updated with the time each other control node was last heard.
const PEER_CONTACT_INTERVAL: Millis = 200;

/// The two state machines of one control node.
pub struct ControlPlane {
    /// The control group: the replicated configuration and retirements, and the election of the primary that decides
    /// on them.
    pub group: ControlGroup,
    /// The registry of nodes and executors.
    pub registry: Registry,
    seeds: Vec<SocketAddrV4>,
    next_contact_check: Millis,
}

impl ControlPlane {
    /// Creates the control plane. `seeds` are the control addresses in the settings.
    pub fn new(group: ControlGroup, registry: Registry, seeds: Vec<SocketAddrV4>) -> ControlPlane {
        ControlPlane { group, registry, seeds, next_contact_check: 0 }
    }

    /// The latest time at which one of the two state machines has to run, if no event comes first.
    pub fn next_deadline(&self, now: Millis) -> Millis {
        self.group.next_tick(now).min(self.registry.next_deadline())
    }

    /// Passes a link event on to the control group and the registry. Frames that are for neither are ignored.
    pub fn link_event(&mut self, links: &Links, now: Millis, link_event: LinkEvent) {
        match link_event {
            LinkEvent::Up(peer) if peer.role == NodeRole::Control => {
                if let Some(address) = peer.control_address {
                    self.group.peer_connected(now, address);
                    self.group.add_learner(address);
                }
                self.registry.peer_connected(now, member_of(&peer, 0));
            }
            LinkEvent::Up(_) => {}
            LinkEvent::Down(node, NodeRole::Control) => {
                let member = self.registry.members().iter().find(|member| member.node == node);
                if let Some(address) = member.and_then(|member| member.control_address) {
                    self.group.peer_disconnected(now, address);
                }
                self.registry.peer_disconnected(now, node);
            }
            LinkEvent::Down(node, _) => self.registry.session_disconnected(now, node),
            LinkEvent::Received(from, NodeRole::Control, frame) => {
                self.frame_from_control_node(links, now, from, frame);
            }
            LinkEvent::Received(from, _, frame) => self.frame_from_member(links, now, from, frame),
        }
    }

    fn frame_from_control_node(&mut self, links: &Links, now: Millis, from: Node, frame: Frame) {
        match frame {
            Frame::ControlGroup(message) => {
                if let Some(address) = links.peer(from).and_then(|peer| peer.control_address) {
                    self.group.handle_message(now, address, message);
                }
            }
            Frame::Sessions(members) => self.registry.record_peer_sessions(now, from, members),
            // An empty list of heartbeats tells that the sender relies on this node's account of the executors that
            // it holds (`HeldExecutors`); a control node of an earlier version ignores an empty list.
            Frame::Heartbeats(heartbeats) if heartbeats.is_empty() => {
                self.registry.peer_is_holder_aware(now, from);
            }
            Frame::Heartbeats(heartbeats) => self.registry.merge_peer_heartbeats(now, heartbeats),
            Frame::HeldExecutors(heartbeats) => self.registry.merge_held_executors(now, from, heartbeats),
            _ => {}
        }
    }

    /// Handles the poll of an edge or a store, which also reports the node's state.
    fn frame_from_member(&mut self, links: &Links, now: Millis, from: Node, frame: Frame) {
        let Frame::UpdateRequest { incarnation, version, config_version, retirement } = frame else { return };
        if let Some(peer) = links.peer(from) {
            let member = Member { retirement, ..member_of(peer, config_version) };
            self.registry.record_poll(now, member, incarnation, version);
        }
    }

    /// Sends a control group effect that is a message for another control node. Returns any other effect to the
    /// caller.
    pub fn send(&self, links: &mut Links, net: &mut Net, effect: Effect) -> Option<Effect> {
        let Effect::Send { to, message } = effect else { return Some(effect) };
        if let Some(node) = links.node_at_control_address(to) {
            links.send(net, node, &Frame::ControlGroup(message));
        }
        None
    }

    /// Sets the control nodes to which this node opens connections. Of two control nodes, the one with the lower
    /// address opens the connection.
    pub fn set_dial_targets(&self, links: &mut Links, now: Millis) {
        let own_ip = links.local().ip;
        let mut peers: Vec<Ipv4Addr> = self.seeds.iter().map(|seed| *seed.ip()).collect();
        peers.extend(self.group.view().iter().flat_map(|view| view.voters.iter().map(|voter| *voter.ip())));
        let members = self.registry.members().iter().filter(|member| member.role == NodeRole::Control);
        peers.extend(members.map(|member| member.ip));
        let is_seed = self.seeds.iter().any(|seed| *seed.ip() == own_ip);
        let is_connected = |ip: &Ipv4Addr| links.peers(NodeRole::Control).any(|peer| peer.ip == *ip);
        // The other control nodes do not know the address of a node that is not a seed, so that node opens all
        // connections itself.
        let dials = |ip: &Ipv4Addr| *ip > own_ip || (!is_seed && *ip != own_ip && !is_connected(ip));
        let targets: Vec<SocketAddrV4> =
            peers.into_iter().filter(dials).map(|ip| links.listen_address(ip, NodeRole::Control)).collect();
        links.set_dial_targets(now, targets);
    }

    /// Runs the registry's due work, and sends its outgoing frames to other nodes.
    pub fn publish(&mut self, links: &mut Links, net: &mut Net, now: Millis) {
        let contact = GroupContact::since(self.group.last_contact(now), now);
        if now >= self.next_contact_check {
            self.next_contact_check = now + PEER_CONTACT_INTERVAL;
            for node in links.nodes_with_role(NodeRole::Control) {
                if let Some(heard_at) = links.last_heard_at(node) {
                    self.registry.peer_heard(node, heard_at);
                }
            }
        }
        let in_force = self.group.committed().filter(|state| state.version > 0);
        let in_force = in_force.map(|state| CommittedConfig { version: state.version, body: &state.body });
        self.registry.tick(now, contact, in_force);
        for effect in self.registry.take_effects() {
            let (receivers, frame) = match effect {
                RegistryEffect::SendUpdate { to, update } => (vec![to], Frame::Update(update)),
                RegistryEffect::SendHeartbeats { to, heartbeats } => (to, Frame::Heartbeats(heartbeats)),
                RegistryEffect::SendHeldExecutors { to, heartbeats } => {
                    (to, Frame::HeldExecutors(heartbeats))
                }
                RegistryEffect::SayHolderAware { to } => (vec![to], Frame::Heartbeats(Vec::new())),
                RegistryEffect::BroadcastSessions(members) => {
                    (links.nodes_with_role(NodeRole::Control), Frame::Sessions(members))
                }
            };
            for node in receivers {
                links.send(net, node, &frame);
            }
        }
    }
}

/// Builds the membership entry of a peer that has the given version of the configuration.
pub fn member_of(peer: &PeerInfo, config_version: u64) -> Member {
    Member {
        node: peer.node,
        name: peer.name.clone(),
        role: peer.role,
        zone: peer.zone.clone(),
        ip: peer.ip,
        incarnation: peer.incarnation,
        control_address: peer.control_address,
        config_version,
        retirement: RetirementState::NotRetiring,
    }
}
