//! Connections between the system's own processes: opened again when they break, and closed when the other side is silent.
//!
//! [`Links`] knows which process is at the other end of each connection and keeps one connection for each node. It is a state
//! machine above the event loop: events of [`Net`] go in, [`LinkEvent`]s come out.

use crate::keepalive::{Keepalive, PEER_SILENCE_LIMIT, PING_INTERVAL};
use crate::net::{ConnectionId, Event, Millis, Net};
use crate::protocol::{Frame, NodeRole, PeerInfo, FRAME_LENGTH_BYTES, PROTOCOL_VERSION};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_queue::Node;

/// Time from one attempt to open a connection to the next.
const REDIAL_INTERVAL: Millis = 100;
/// How many variants [`NodeRole`] has.
const ROLE_COUNT: usize = 4;

/// Which frames are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SentKind {
    /// What they are about: [`Frame::category`].
    pub category: &'static str,
    /// Whether they went to another zone.
    pub crosses_zones: bool,
}

/// How much was sent of one [`SentKind`].
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameVolume {
    /// How many frames.
    pub frames: u64,
    /// How many bytes, with the frames' lengths.
    pub bytes: u64,
}

/// One connection.
struct Link {
    /// Who is at the other end, once it has said so.
    peer: Option<PeerInfo>,
    /// The address to which the connection was opened, if it was opened from here.
    dialed_address: Option<SocketAddrV4>,
    keepalive: Keepalive,
}

impl Link {
    fn new(now: Millis, dialed_address: Option<SocketAddrV4>) -> Link {
        Link { peer: None, dialed_address, keepalive: Keepalive::new(dialed_address.is_some(), now) }
    }

    /// When the connection is closed if nothing is received until then; in any case if the other side never said who it is.
    fn expires_at(&self) -> Millis {
        match self.peer {
            Some(_) => self.keepalive.expires_at(),
            None => self.keepalive.last_received_at() + PEER_SILENCE_LIMIT,
        }
    }
}

/// What a role is told of its peers.
// Most events are frames, and most frames of the large variant: a box would only add an allocation to each.
#[allow(clippy::large_enum_variant)]
pub enum LinkEvent {
    /// There is a connection with this node.
    Up(PeerInfo),
    /// There is no connection with this node any more.
    Down(Node, NodeRole),
    /// A node has sent a frame.
    Received(Node, NodeRole, Frame),
}

/// The address at which a process listens for its peers. The roles on one machine share a range of `ports`, first and last,
/// and take the first three.
pub fn listen_address(ports: (u16, u16), ip: Ipv4Addr, role: NodeRole) -> SocketAddrV4 {
    let offset = match role {
        NodeRole::Control => 0,
        NodeRole::Store => 1,
        NodeRole::Edge | NodeRole::CommandLine => 2,
    };
    let (first, last) = ports;
    SocketAddrV4::new(ip, first.saturating_add(offset).min(last))
}

/// The connections of this process with its peers.
pub struct Links {
    local: PeerInfo,
    links: HashMap<ConnectionId, Link>,
    by_node: HashMap<Node, ConnectionId>,
    /// The connected nodes of each role, so that nobody goes through all edges to find a control node.
    by_role: [BTreeSet<Node>; ROLE_COUNT],
    /// Addresses with which a connection is wanted, and when the next attempt is made.
    dial_targets: HashMap<SocketAddrV4, Millis>,
    /// Addresses to which there is a connection that was opened from here, established or not.
    dialed: HashSet<SocketAddrV4>,
    /// Nothing is due before this time: all connections are gone through only then, and not in every turn of the loop.
    next_scan_at: Millis,
    next_ping_at: Millis,
    ports: (u16, u16),
    /// Frames that could not be decoded, or that came where none was expected.
    pub undecodable_frames: u64,
    /// What was sent.
    pub sent: BTreeMap<SentKind, FrameVolume>,
    /// How often all connections were gone through.
    pub scan_count: u64,
}

impl Links {
    /// No connections yet. `local` is what is said to each peer, and `ports` the range of [`listen_address`].
    pub fn new(local: PeerInfo, ports: (u16, u16)) -> Links {
        Links {
            local,
            links: HashMap::new(),
            by_node: HashMap::new(),
            by_role: Default::default(),
            dial_targets: HashMap::new(),
            dialed: HashSet::new(),
            next_scan_at: 0,
            next_ping_at: 0,
            ports,
            undecodable_frames: 0,
            sent: BTreeMap::new(),
            scan_count: 0,
        }
    }

    /// This process.
    pub fn local(&self) -> &PeerInfo {
        &self.local
    }

    /// The address at which a process with this role listens on a machine.
    pub fn listen_address(&self, ip: Ipv4Addr, role: NodeRole) -> SocketAddrV4 {
        listen_address(self.ports, ip, role)
    }

    /// The range of ports, first and last, that all machines use.
    pub fn ports(&self) -> (u16, u16) {
        self.ports
    }

    /// Sets the addresses to which connections are opened and opened again. Others that are open stay so.
    pub fn set_dial_targets(&mut self, now: Millis, targets: impl IntoIterator<Item = SocketAddrV4>) {
        let old = std::mem::take(&mut self.dial_targets);
        for address in targets {
            let next_attempt_at = old.get(&address).copied().unwrap_or(now);
            if !self.dialed.contains(&address) {
                self.next_scan_at = self.next_scan_at.min(next_attempt_at);
            }
            self.dial_targets.insert(address, next_attempt_at);
        }
    }

    /// Whether there is a connection with the node.
    pub fn is_up(&self, node: Node) -> bool {
        self.by_node.contains_key(&node)
    }

    fn link_with(&self, node: Node) -> Option<&Link> {
        self.links.get(self.by_node.get(&node)?)
    }

    /// When something was last received from the node, if there is a connection with it.
    pub fn last_heard_at(&self, node: Node) -> Option<Millis> {
        Some(self.link_with(node)?.keepalive.last_received_at())
    }

    /// What the node said of itself, if there is a connection with it.
    pub fn peer(&self, node: Node) -> Option<&PeerInfo> {
        self.link_with(node)?.peer.as_ref()
    }

    /// All nodes with which there is a connection.
    pub fn all_peers(&self) -> impl Iterator<Item = &PeerInfo> {
        self.by_node.values().filter_map(|connection| self.links.get(connection)?.peer.as_ref())
    }

    /// The connected nodes of a role.
    pub fn nodes_with_role(&self, role: NodeRole) -> Vec<Node> {
        self.by_role[role as usize].iter().copied().collect()
    }

    /// The connected nodes of a role, with what they said of themselves.
    pub fn peers(&self, role: NodeRole) -> impl Iterator<Item = &PeerInfo> {
        self.by_role[role as usize].iter().filter_map(|node| self.peer(*node))
    }

    /// The connected control node that takes calls at this address.
    pub fn node_at_control_address(&self, address: SocketAddrV4) -> Option<Node> {
        self.peers(NodeRole::Control).find(|peer| peer.control_address == Some(address)).map(|peer| peer.node)
    }

    /// Sends a frame to a node. Returns `false` if there is no connection with it.
    pub fn send(&mut self, net: &mut Net, to: Node, frame: &Frame) -> bool {
        let Some(connection) = self.by_node.get(&to).copied() else { return false };
        self.send_on(net, connection, frame);
        true
    }

    fn send_on(&mut self, net: &mut Net, connection: ConnectionId, frame: &Frame) {
        let mut crosses_zones = false;
        if let Some(link) = self.links.get_mut(&connection) {
            link.keepalive.record_sent(net.now());
            crosses_zones = link.peer.as_ref().is_some_and(|peer| peer.zone != self.local.zone);
        }
        match postcard::to_stdvec(frame) {
            Ok(bytes) => {
                let kind = SentKind { category: frame.category(), crosses_zones };
                let volume = self.sent.entry(kind).or_default();
                volume.frames += 1;
                volume.bytes += (bytes.len() + FRAME_LENGTH_BYTES) as u64;
                net.send(connection, &bytes);
            }
            Err(error) => tracing::error!(%error, "frame not encoded"),
        }
    }

    // ---- What is due by time ----

    /// When [`Links::tick`] has something to do.
    pub fn next_deadline(&self) -> Millis {
        self.next_scan_at
    }

    /// Opens connections, pings, and closes connections whose other side is silent.
    pub fn tick(&mut self, net: &mut Net) -> Vec<LinkEvent> {
        let now = net.now();
        if now < self.next_scan_at {
            return Vec::new();
        }
        self.scan_count += 1;
        self.dial_missing(net);
        if now >= self.next_ping_at {
            self.next_ping_at = now + PING_INTERVAL;
            self.send_pings(net);
        }
        let link_events = self.close_silent(net);
        self.schedule_scan(now);
        link_events
    }

    fn dial_missing(&mut self, net: &mut Net) {
        let now = net.now();
        let mut due: Vec<SocketAddrV4> = Vec::new();
        for (address, next_attempt_at) in &mut self.dial_targets {
            if *next_attempt_at <= now && !self.dialed.contains(address) {
                *next_attempt_at = now + REDIAL_INTERVAL;
                due.push(*address);
            }
        }
        for address in due {
            if let Some(connection) = net.dial(address) {
                self.links.insert(connection, Link::new(now, Some(address)));
                self.dialed.insert(address);
            }
        }
    }

    fn send_pings(&mut self, net: &mut Net) {
        let now = net.now();
        let is_due = |link: &Link| link.peer.is_some() && link.keepalive.is_ping_due(now);
        let due: Vec<ConnectionId> =
            self.links.iter().filter(|(_, link)| is_due(link)).map(|(connection, _)| *connection).collect();
        for connection in due {
            self.send_on(net, connection, &Frame::Ping);
        }
    }

    fn close_silent(&mut self, net: &mut Net) -> Vec<LinkEvent> {
        let now = net.now();
        let silent = self.links.iter().filter(|(_, link)| now >= link.expires_at());
        let silent: Vec<ConnectionId> = silent.map(|(connection, _)| *connection).collect();
        let mut link_events = Vec::new();
        for connection in silent {
            link_events.extend(self.remove_link(now, connection));
            net.close(connection);
        }
        link_events
    }

    /// Sets when all connections are gone through next. Whatever is sent or received until then puts its deadline off, or is
    /// due after the next pings: so this is never too late.
    fn schedule_scan(&mut self, now: Millis) {
        let expiries = self.links.values().map(Link::expires_at);
        let missing = self.dial_targets.iter().filter(|(address, _)| !self.dialed.contains(address));
        let attempts = missing.map(|(_, next_attempt_at)| *next_attempt_at);
        let next = expiries.chain(attempts).min().unwrap_or(Millis::MAX);
        self.next_scan_at = next.min(self.next_ping_at).max(now + 1);
    }

    // ---- Events of connections ----

    /// Handles an event of the event loop. Adds what the role is to be told to `link_events`, and gives the event back if it is
    /// not about connections between processes.
    pub fn handle_event(
        &mut self,
        net: &mut Net,
        event: Event,
        link_events: &mut Vec<LinkEvent>,
    ) -> Option<Event> {
        let now = net.now();
        match event {
            Event::PeerConnected { connection } => self.connected(net, connection),
            Event::PeerDisconnected { connection } => link_events.extend(self.remove_link(now, connection)),
            Event::PeerFrame { connection, bytes } => self.received(net, connection, &bytes, link_events),
            other => return Some(other),
        }
        None
    }

    fn connected(&mut self, net: &mut Net, connection: ConnectionId) {
        let now = net.now();
        let link = self.links.entry(connection).or_insert(Link::new(now, None));
        link.keepalive.record_received(now);
        self.next_scan_at = self.next_scan_at.min(now + PEER_SILENCE_LIMIT);
        let hello = Frame::Hello(self.local.clone());
        self.send_on(net, connection, &hello);
    }

    fn received(
        &mut self,
        net: &mut Net,
        connection: ConnectionId,
        bytes: &[u8],
        link_events: &mut Vec<LinkEvent>,
    ) {
        let now = net.now();
        let Some(link) = self.links.get_mut(&connection) else { return };
        link.keepalive.record_received(now);
        let sender = link.peer.as_ref().map(|peer| (peer.node, peer.role));
        let dialed_address = link.dialed_address;
        let needs_ping_reply = link.keepalive.needs_ping_reply(now);
        match (postcard::from_bytes(bytes), sender) {
            (Ok(Frame::Hello(peer)), None) if self.accepts(dialed_address, &peer) => {
                self.identified(net, connection, peer, link_events);
            }
            (Ok(Frame::Ping), Some(_)) => {
                if needs_ping_reply {
                    self.send_on(net, connection, &Frame::Ping);
                }
            }
            (Ok(frame), Some((node, role))) if !matches!(frame, Frame::Hello(_)) => {
                link_events.push(LinkEvent::Received(node, role, frame));
            }
            _ => {
                self.undecodable_frames += 1;
                link_events.extend(self.remove_link(now, connection));
                net.close_malformed(connection);
            }
        }
    }

    /// Whether a process that says this of itself is accepted on a connection that was opened to `dialed_address`, if it was
    /// opened from here.
    fn accepts(&self, dialed_address: Option<SocketAddrV4>, peer: &PeerInfo) -> bool {
        let listens_there =
            |ip| dialed_address.is_none_or(|dialed| self.listen_address(ip, peer.role) == dialed);
        // Another process may have the address by now, and would be sent what is meant for the one that was dialled.
        let is_dialed_one = listens_there(peer.ip)
            || peer.control_address.is_some_and(|control| listens_there(*control.ip()));
        let is_known_by_other_name = self.peer(peer.node).is_some_and(|known| known.name != peer.name);
        let has_own_id = peer.node != self.local.node && !is_known_by_other_name;
        peer.protocol_version == PROTOCOL_VERSION && is_dialed_one && has_own_id
    }

    /// The other side has said who it is.
    fn identified(
        &mut self,
        net: &mut Net,
        connection: ConnectionId,
        peer: PeerInfo,
        link_events: &mut Vec<LinkEvent>,
    ) {
        let Some(link) = self.links.get_mut(&connection) else { return };
        link.peer = Some(peer.clone());
        self.by_role[peer.role as usize].insert(peer.node);
        if let Some(replaced) = self.by_node.insert(peer.node, connection) {
            self.close_replaced(net, replaced);
            link_events.push(LinkEvent::Down(peer.node, peer.role));
        }
        if peer.role != NodeRole::CommandLine {
            tracing::debug!(node = peer.name, "link up");
        }
        link_events.push(LinkEvent::Up(peer));
    }

    /// The node has opened a newer connection: this one is dead, though nothing has said so. ([`Links::remove_link`] would
    /// forget the node, which has its new connection already.)
    fn close_replaced(&mut self, net: &mut Net, connection: ConnectionId) {
        if let Some(address) = self.links.remove(&connection).and_then(|link| link.dialed_address) {
            self.dialed.remove(&address);
            self.next_scan_at = net.now();
        }
        net.close(connection);
    }

    /// Forgets a connection. Returns what the role is to be told, if it was the connection of a node.
    fn remove_link(&mut self, now: Millis, connection: ConnectionId) -> Option<LinkEvent> {
        let link = self.links.remove(&connection)?;
        if let Some(address) = link.dialed_address {
            self.dialed.remove(&address);
            let next_attempt_at = self.dial_targets.get(&address).copied().unwrap_or(Millis::MAX);
            self.next_scan_at = self.next_scan_at.min(next_attempt_at.max(now));
        }
        let peer = link.peer?;
        if self.by_node.get(&peer.node) != Some(&connection) {
            return None;
        }
        self.by_node.remove(&peer.node);
        self.by_role[peer.role as usize].remove(&peer.node);
        if peer.role != NodeRole::CommandLine {
            tracing::info!(node = peer.name, "link down");
        }
        Some(LinkEvent::Down(peer.node, peer.role))
    }
}

#[cfg(test)]
mod tests;
