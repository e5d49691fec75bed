//! A control node: the real registry and the real control group, joined as `crates/server/src/control_node.rs` joins them.

use crate::layout::Layout;
use crate::links::{LinkEvent, Links};
use crate::net::{Millis, Net};
use crate::protocol::{Frame, Heartbeat, Member, NodeRole, PeerInfo, RetirementState};
use std::net::SocketAddrV4;
use stileroute_control_group::{ControlGroup, Effect, GroupSettings, PersistedState};
use stileroute_queue::Node;
use stileroute_registry::{Registry, RegistryEffect};

/// Losses that the fleet has to bear.
const LOSSES: usize = 1;
/// How often it is looked when other control nodes were heard.
const HEARD_EVERY: Millis = 200;
/// A write is on the disk after so long.
const DISK: Millis = 1;

pub struct ControlNode {
    pub registry: Registry,
    group: ControlGroup,
    seeds: Vec<SocketAddrV4>,
    /// Writes that the disk has, and when it has done with them.
    writing: Vec<(Millis, u64)>,
    heard_at: Millis,
    next_ticket: u64,
    disk: PersistedState,
}

fn member_of(hello: &PeerInfo, config: u64) -> Member {
    Member {
        node: hello.node,
        name: hello.name.clone(),
        role: hello.role,
        zone: hello.zone.clone(),
        ip: hello.ip,
        incarnation: hello.incarnation,
        control_address: hello.control_address,
        config_version: config,
        retirement: RetirementState::NotRetiring,
    }
}

impl ControlNode {
    /// `disk`: what an earlier life has kept; none at the first start.
    pub fn new(hello: &PeerInfo, layout: &Layout, disk: Option<PersistedState>, now: Millis) -> ControlNode {
        let seeds = layout.seeds();
        let me = hello.control_address.unwrap_or(SocketAddrV4::new(hello.ip, 0));
        let settings = GroupSettings::new(me, seeds.clone(), disk.is_none(), LOSSES, hello.incarnation);
        let disk = disk.unwrap_or_default();
        ControlNode {
            registry: Registry::new(member_of(hello, 0), hello.incarnation, crate::heartbeat::INTERVAL, now),
            group: ControlGroup::new(settings, disk.clone(), now),
            seeds,
            writing: Vec::new(),
            heard_at: 0,
            next_ticket: 1,
            disk,
        }
    }

    pub fn disk(self) -> PersistedState {
        self.disk
    }

    pub fn version_in_force(&self) -> u64 {
        self.group.committed().map_or(0, |state| state.version)
    }

    /// An operator's configuration.
    pub fn replace(&mut self, now: Millis, version: u64, body: Vec<u8>) {
        self.next_ticket += 1;
        self.group.replace_configuration(now, self.next_ticket, version, body);
    }

    pub fn heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) {
        self.registry.record_heartbeat(now, heartbeat);
    }

    pub fn next(&self, now: Millis) -> Millis {
        let disk = self.writing.iter().map(|(at, _)| *at).min().unwrap_or(Millis::MAX);
        self.group.next_tick(now).min(self.registry.next_deadline()).min(disk)
    }

    pub fn link_event(&mut self, links: &Links, now: Millis, link_event: LinkEvent) {
        match link_event {
            LinkEvent::Up(hello) if hello.role == NodeRole::Control => {
                if let Some(control) = hello.control_address {
                    self.group.peer_connected(now, control);
                    self.group.add_learner(control);
                }
                self.registry.peer_connected(now, member_of(&hello, 0));
            }
            LinkEvent::Up(_) => {}
            LinkEvent::Down(node, NodeRole::Control) => {
                let control =
                    self.registry.members.iter().find(|m| m.node == node).and_then(|m| m.control_address);
                if let Some(control) = control {
                    self.group.peer_disconnected(now, control);
                }
                self.registry.peer_disconnected(node);
            }
            LinkEvent::Down(node, _) => self.registry.session_disconnected(now, node),
            LinkEvent::Received(from, class, signal) => self.said(links, now, from, class, signal),
        }
    }

    fn said(&mut self, links: &Links, now: Millis, from: Node, class: NodeRole, signal: Frame) {
        match (class, signal) {
            (NodeRole::Control, Frame::ControlGroup(signal)) => {
                if let Some(voter) = links.peer(from).and_then(|hello| hello.control_address) {
                    self.group.handle_message(now, voter, signal);
                }
            }
            (NodeRole::Control, Frame::Sessions(members)) => {
                self.registry.record_peer_sessions(now, from, members)
            }
            (NodeRole::Control, Frame::Heartbeats(heartbeats)) => {
                self.registry.merge_peer_heartbeats(now, heartbeats)
            }
            (
                _,
                Frame::UpdateRequest {
                    incarnation: life,
                    version,
                    config_version: config,
                    retirement: retiring,
                },
            ) if class != NodeRole::Control => {
                if let Some(hello) = links.peer(from) {
                    let member = Member { retirement: retiring, ..member_of(hello, config) };
                    self.registry.record_poll(now, member, life, version);
                }
            }
            _ => {}
        }
    }

    /// What is due, and what there is to say.
    pub fn tick(&mut self, links: &mut Links, net: &mut Net) {
        let now = net.now();
        let (done, writing) = std::mem::take(&mut self.writing).into_iter().partition(|(at, _)| *at <= now);
        self.writing = writing;
        let done: Vec<(Millis, u64)> = done;
        done.into_iter().for_each(|(_, ticket)| self.group.persisted(now, ticket, true));
        self.group.tick(now);
        self.carry_out(links, net);
        self.connect(links, now);
        self.tell(links, net);
    }

    fn carry_out(&mut self, links: &mut Links, net: &mut Net) {
        loop {
            let effects = self.group.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => {
                        if let Some(node) = links.node_at_control_address(to) {
                            links.send(net, node, &Frame::ControlGroup(message));
                        }
                    }
                    Effect::Persist { ticket, record } => {
                        self.disk.apply(record);
                        self.writing.push((net.now() + DISK, ticket));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Of two control nodes the one with the lower address opens the connection; one that is no seed opens all.
    fn connect(&mut self, links: &mut Links, now: Millis) {
        let me = links.local().ip;
        let mut all: Vec<std::net::Ipv4Addr> = self.seeds.iter().map(|seed| *seed.ip()).collect();
        all.extend(self.group.view().iter().flat_map(|watch| watch.voters.iter().map(|voter| *voter.ip())));
        all.extend(self.registry.members.iter().filter(|m| m.role == NodeRole::Control).map(|m| m.ip));
        let seed = self.seeds.iter().any(|seed| *seed.ip() == me);
        let opens = |ip: &std::net::Ipv4Addr| {
            *ip > me || (!seed && *ip != me && links.peers(NodeRole::Control).all(|hello| hello.ip != *ip))
        };
        let wanted: Vec<SocketAddrV4> =
            all.into_iter().filter(opens).map(|ip| links.listen_address(ip, NodeRole::Control)).collect();
        links.set_dial_targets(now, wanted);
    }

    /// Who is there, and who is told of it.
    fn tell(&mut self, links: &mut Links, net: &mut Net) {
        let now = net.now();
        let in_touch = self.group.is_in_contact(now);
        if now >= self.heard_at {
            self.heard_at = now + HEARD_EVERY;
            for core in links.nodes_with_role(NodeRole::Control) {
                if let Some(at) = links.last_heard_at(core) {
                    self.registry.peer_heard(core, at);
                }
            }
        }
        let committed = self.group.committed().map(|state| (state.version, state.body.as_slice()));
        self.registry.tick(now, in_touch, committed);
        for notice in self.registry.take_effects() {
            let (to, signal) = match notice {
                RegistryEffect::SendUpdate { to, update } => (vec![to], Frame::Update(update)),
                RegistryEffect::SendHeartbeats { to, heartbeats } => {
                    (vec![to], Frame::Heartbeats(heartbeats))
                }
                RegistryEffect::BroadcastHeartbeats(heartbeats) => {
                    (links.nodes_with_role(NodeRole::Control), Frame::Heartbeats(heartbeats))
                }
                RegistryEffect::BroadcastSessions(all) => {
                    (links.nodes_with_role(NodeRole::Control), Frame::Sessions(all))
                }
            };
            for node in to {
                links.send(net, node, &signal);
            }
        }
    }
}
