//! Manages connections between the system's own processes: redials broken connections and closes connections whose
//! peer is silent.
//!
//! [`Links`] tracks which process is at the other end of each connection and keeps one connection per node. It is a
//! state machine above the event loop: it takes [`Net`] events as input and produces [`LinkEvent`]s.

use crate::keepalive::{Keepalive, PEER_TIMEOUT, PING_INTERVAL};
use crate::net::{ConnectionId, Event, Millis, Net};
use crate::protocol::{Frame, NodeRole, PeerInfo, FRAME_LENGTH_BYTES, PROTOCOL_VERSION};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_queue::Node;

/// Interval between two attempts to dial the same address, in milliseconds.
const REDIAL_INTERVAL_MS: Millis = 100;
/// Number of variants of [`NodeRole`].
const ROLE_COUNT: usize = 4;

/// Key under which sent frames are counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SentFrameKind {
    /// Frame category, from [`Frame::category`].
    pub category: &'static str,
    /// Whether the frames were sent to a peer in another zone.
    pub crosses_zones: bool,
}

/// Number of frames and bytes sent for one [`SentFrameKind`].
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameVolume {
    /// Number of frames sent.
    pub frames: u64,
    /// Number of bytes sent, including the length prefix of each frame.
    pub bytes: u64,
}

/// State of one connection to a peer process.
struct Link {
    /// Peer at the other end; `None` until its `Hello` frame has arrived.
    peer: Option<PeerInfo>,
    /// Address that this process dialed; `None` if the peer opened the connection.
    dialed_address: Option<SocketAddrV4>,
    keepalive: Keepalive,
}

impl Link {
    fn new(now: Millis, dialed_address: Option<SocketAddrV4>) -> Link {
        Link { peer: None, dialed_address, keepalive: Keepalive::new(dialed_address.is_some(), now) }
    }

    /// Time at which the connection is closed unless a frame arrives first. A connection whose peer has not
    /// identified itself always has this time-out, including on the dialing side.
    fn expires_at(&self) -> Millis {
        match self.peer {
            Some(_) => self.keepalive.expires_at(),
            None => self.keepalive.last_received_at() + PEER_TIMEOUT,
        }
    }
}

/// Event of a peer connection for the role that this process runs.
// Most events are `Received` frames, and most frames are of the large variant: boxing would only add an allocation to
// each event.
#[allow(clippy::large_enum_variant)]
pub enum LinkEvent {
    /// A connection with this node was established.
    Up(PeerInfo),
    /// The connection with this node was closed.
    Down(Node, NodeRole),
    /// The node sent a frame.
    Received(Node, NodeRole, Frame),
}

/// Returns the address at which a process listens for its peers. All roles on one machine share the port range
/// `ports` (first and last port, inclusive) and use its first three ports.
pub fn listen_address(ports: (u16, u16), ip: Ipv4Addr, role: NodeRole) -> SocketAddrV4 {
    let offset = match role {
        NodeRole::Control => 0,
        NodeRole::Store => 1,
        NodeRole::Edge | NodeRole::CommandLine => 2,
    };
    let (first, last) = ports;
    SocketAddrV4::new(ip, first.saturating_add(offset).min(last))
}

/// Connections of this process with its peers.
pub struct Links {
    local: PeerInfo,
    links: HashMap<ConnectionId, Link>,
    by_node: HashMap<Node, ConnectionId>,
    /// Connected nodes, indexed by role, so that finding a control node does not require a scan of all edges.
    by_role: [BTreeSet<Node>; ROLE_COUNT],
    /// Addresses to keep a connection with, and the time of the next dial attempt for each.
    dial_targets: HashMap<SocketAddrV4, Millis>,
    /// Addresses that this process has dialed and whose connection is still open, whether or not it is established
    /// yet.
    dialed: HashSet<SocketAddrV4>,
    /// Time of the next scan over all connections. No deadline falls before it, so the event loop does not scan the
    /// connections on every iteration.
    next_scan_at: Millis,
    next_ping_at: Millis,
    ports: (u16, u16),
    /// Number of frames that could not be decoded or arrived in a state where they are not allowed.
    pub undecodable_frames: u64,
    /// Volume of sent frames by category and zone crossing.
    pub sent: BTreeMap<SentFrameKind, FrameVolume>,
    /// Number of scans over all connections.
    pub scan_count: u64,
}

impl Links {
    /// Creates an empty connection set. `local` is sent to each peer in the `Hello` frame, and `ports` is the port
    /// range for [`listen_address`].
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

    /// Returns the description of this process that it sends to its peers.
    pub fn local(&self) -> &PeerInfo {
        &self.local
    }

    /// Returns the address at which a process with this role listens on the machine with this IP address.
    pub fn listen_address(&self, ip: Ipv4Addr, role: NodeRole) -> SocketAddrV4 {
        listen_address(self.ports, ip, role)
    }

    /// Returns the first and last port of the range that all machines use.
    pub fn ports(&self) -> (u16, u16) {
        self.ports
    }

    /// Sets the addresses that are dialed, and redialed when their connection breaks. Open connections to other
    /// addresses stay open.
    pub fn set_dial_targets(&mut self, now: Millis, targets: impl IntoIterator<Item = SocketAddrV4>) {
        let previous_targets = std::mem::take(&mut self.dial_targets);
        for address in targets {
            let next_attempt_at = previous_targets.get(&address).copied().unwrap_or(now);
            if !self.dialed.contains(&address) {
                self.next_scan_at = self.next_scan_at.min(next_attempt_at);
            }
            self.dial_targets.insert(address, next_attempt_at);
        }
    }

    /// Returns whether there is a connection with the node.
    pub fn is_up(&self, node: Node) -> bool {
        self.by_node.contains_key(&node)
    }

    fn link_with(&self, node: Node) -> Option<&Link> {
        self.links.get(self.by_node.get(&node)?)
    }

    /// Returns the time at which a frame last arrived from the node, or `None` without a connection.
    pub fn last_heard_at(&self, node: Node) -> Option<Millis> {
        Some(self.link_with(node)?.keepalive.last_received_at())
    }

    /// Returns the node's description of itself from its `Hello` frame, or `None` without a connection.
    pub fn peer(&self, node: Node) -> Option<&PeerInfo> {
        self.link_with(node)?.peer.as_ref()
    }

    /// Iterates over all nodes that have a connection with this process.
    pub fn all_peers(&self) -> impl Iterator<Item = &PeerInfo> {
        self.by_node.values().filter_map(|connection| self.links.get(connection)?.peer.as_ref())
    }

    /// Returns the connected nodes with this role.
    pub fn nodes_with_role(&self, role: NodeRole) -> Vec<Node> {
        self.by_role[role as usize].iter().copied().collect()
    }

    /// Iterates over the connected nodes with this role, with the description that each sent in its `Hello` frame.
    pub fn peers(&self, role: NodeRole) -> impl Iterator<Item = &PeerInfo> {
        self.by_role[role as usize].iter().filter_map(|node| self.peer(*node))
    }

    /// Returns the connected control node that accepts operators' calls at this address.
    pub fn node_at_control_address(&self, address: SocketAddrV4) -> Option<Node> {
        self.peers(NodeRole::Control).find(|peer| peer.control_address == Some(address)).map(|peer| peer.node)
    }

    /// Sends a frame to a node. Returns `false` if there is no connection with the node.
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
                let kind = SentFrameKind { category: frame.category(), crosses_zones };
                let volume = self.sent.entry(kind).or_default();
                volume.frames += 1;
                volume.bytes += (bytes.len() + FRAME_LENGTH_BYTES) as u64;
                net.send(connection, &bytes);
            }
            Err(error) => tracing::error!(%error, "frame could not be encoded and was not sent"),
        }
    }

    // ---- Deadlines ----

    /// Returns the time at which [`Links::tick`] next has work to do.
    pub fn next_deadline(&self) -> Millis {
        self.next_scan_at
    }

    /// Dials missing connections, sends due pings, and closes connections whose peer is silent.
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
        let link_events = self.close_timed_out(net);
        self.schedule_scan(now);
        link_events
    }

    fn dial_missing(&mut self, net: &mut Net) {
        let now = net.now();
        let mut due: Vec<SocketAddrV4> = Vec::new();
        for (address, next_attempt_at) in &mut self.dial_targets {
            if *next_attempt_at <= now && !self.dialed.contains(address) {
                *next_attempt_at = now + REDIAL_INTERVAL_MS;
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

    fn close_timed_out(&mut self, net: &mut Net) -> Vec<LinkEvent> {
        let now = net.now();
        let timed_out = self.links.iter().filter(|(_, link)| now >= link.expires_at());
        let timed_out: Vec<ConnectionId> = timed_out.map(|(connection, _)| *connection).collect();
        let mut link_events = Vec::new();
        for connection in timed_out {
            link_events.extend(self.remove_link(now, connection));
            net.close(connection);
        }
        link_events
    }

    /// Schedules the next scan over all connections. Traffic before that scan either postpones a connection's
    /// deadline or creates a deadline that falls after the next ping time, so the scan never runs too late.
    fn schedule_scan(&mut self, now: Millis) {
        let expiries = self.links.values().map(Link::expires_at);
        let missing = self.dial_targets.iter().filter(|(address, _)| !self.dialed.contains(address));
        let attempts = missing.map(|(_, next_attempt_at)| *next_attempt_at);
        let next = expiries.chain(attempts).min().unwrap_or(Millis::MAX);
        self.next_scan_at = next.min(self.next_ping_at).max(now + 1);
    }

    // ---- Connection events ----

    /// Handles an event of the event loop. Appends the events for the role to `link_events`, and returns the input
    /// event if it does not concern a connection between processes.
    pub fn handle_event(
        &mut self,
        net: &mut Net,
        event: Event,
        link_events: &mut Vec<LinkEvent>,
    ) -> Option<Event> {
        let now = net.now();
        match event {
            Event::PeerConnected { connection } => self.handle_connected(net, connection),
            Event::PeerDisconnected { connection } => link_events.extend(self.remove_link(now, connection)),
            Event::PeerFrame { connection, bytes } => self.handle_frame(net, connection, &bytes, link_events),
            other => return Some(other),
        }
        None
    }

    fn handle_connected(&mut self, net: &mut Net, connection: ConnectionId) {
        let now = net.now();
        let link = self.links.entry(connection).or_insert(Link::new(now, None));
        link.keepalive.record_received(now);
        self.next_scan_at = self.next_scan_at.min(now + PEER_TIMEOUT);
        let hello = Frame::Hello(self.local.clone());
        self.send_on(net, connection, &hello);
    }

    fn handle_frame(
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
            (Ok(Frame::Hello(peer)), None) if self.accepts_peer(dialed_address, &peer) => {
                self.register_peer(net, connection, peer, link_events);
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

    /// Returns whether a process with this `Hello` description is accepted on a connection. `dialed_address` is the
    /// address that this process dialed, or `None` if the peer opened the connection.
    fn accepts_peer(&self, dialed_address: Option<SocketAddrV4>, peer: &PeerInfo) -> bool {
        let listens_at_dialed_address =
            |ip| dialed_address.is_none_or(|dialed| self.listen_address(ip, peer.role) == dialed);
        // By now another process may own the dialed address; it would receive frames meant for the process that was
        // dialed.
        let is_dialed_process = listens_at_dialed_address(peer.ip)
            || peer.control_address.is_some_and(|control| listens_at_dialed_address(*control.ip()));
        let has_other_known_name = self.peer(peer.node).is_some_and(|known| known.name != peer.name);
        let has_unique_id = peer.node != self.local.node && !has_other_known_name;
        peer.protocol_version == PROTOCOL_VERSION && is_dialed_process && has_unique_id
    }

    /// Registers the peer of a connection once its `Hello` frame has arrived.
    fn register_peer(
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
            tracing::debug!(node = peer.name, "peer connection established");
        }
        link_events.push(LinkEvent::Up(peer));
    }

    /// Closes the old connection of a node that has opened a newer one: the old connection is dead even though no
    /// error was reported. [`Links::remove_link`] can't be used, because it would unregister the node, which already
    /// has its new connection.
    fn close_replaced(&mut self, net: &mut Net, connection: ConnectionId) {
        if let Some(address) = self.links.remove(&connection).and_then(|link| link.dialed_address) {
            self.dialed.remove(&address);
            self.next_scan_at = net.now();
        }
        net.close(connection);
    }

    /// Removes a connection. Returns a `Down` event for the role if it was the current connection of a node.
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
            tracing::info!(node = peer.name, "peer connection closed");
        }
        Some(LinkEvent::Down(peer.node, peer.role))
    }
}

#[cfg(test)]
mod tests;
