//! Connections between the system's own processes: opened again when they break, given up when nothing is heard.

use crate::net::{ConnectionId, Event, Millis, Net};
use crate::protocol::{Frame, NodeRole, PeerInfo, PROTOCOL_VERSION};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_queue::Node;

/// Nothing said for so long: a word is said. Nothing heard for so long: nobody is there.
const WORD: Millis = 500;
const SILENCE: Millis = 1600;
/// Whoever opened a connection says the word, and the other answers it where it has said nothing for so long. Each by its own
/// clock, every word was a wake-up of its own: an edge with a dozen and more stores woke for little else. So they are said
/// together, every `WORD`, where nothing was said for half of it.
const ANSWER: Millis = 200;
/// Between two tries to open a connection.
const RETRY: Millis = 100;

/// When a word is due on a connection.
#[derive(Clone, Copy)]
struct Keepalive {
    dialled: bool,
    heard: Millis,
    said: Millis,
    /// Since then a word that was said here has no answer.
    asked: Option<Millis>,
}

impl Keepalive {
    fn new(dialled: bool, now: Millis) -> Keepalive {
        Keepalive { dialled, heard: now, said: now, asked: None }
    }
    fn hears(&mut self, now: Millis) {
        (self.heard, self.asked) = (now, None);
    }
    fn says(&mut self, now: Millis) {
        self.said = now;
        if self.dialled {
            self.asked.get_or_insert(now);
        }
    }
    /// When nobody is there any more, if nothing is heard until then. Who dialled hears answers only: where it has slept, and
    /// asked nothing meanwhile, silence says nothing of the other.
    fn silent(&self) -> Millis {
        match self.dialled {
            true => {
                self.asked.map_or(Millis::MAX, |asked| (asked + SILENCE - WORD).max(self.heard + SILENCE))
            }
            false => self.heard + SILENCE,
        }
    }
    /// Whether a word is due, looked at every `WORD`. Whoever was dialled answers, and speaks by itself only where the other
    /// does not: it may be of an older build, or stuck.
    fn due(&self, now: Millis) -> bool {
        match self.dialled {
            // Where the other has said nothing, too, it is asked.
            true => now >= self.said.min(self.heard) + WORD / 2,
            false => now >= self.said + 2 * WORD,
        }
    }
    fn answers(&self, now: Millis) -> bool {
        !self.dialled && now >= self.said + ANSWER
    }
}

/// Frames and their bytes, with their length prefixes.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameVolume {
    /// How many frames.
    pub frames: u64,
    /// How many bytes.
    pub bytes: u64,
}

struct Link {
    hello: Option<PeerInfo>,
    dialled: Option<SocketAddrV4>,
    keepalive: Keepalive,
}

impl Link {
    fn new(now: Millis, dialled: Option<SocketAddrV4>) -> Link {
        Link { hello: None, dialled, keepalive: Keepalive::new(dialled.is_some(), now) }
    }
    /// One that has said nothing at all yet is given up in any case.
    fn silent(&self) -> Millis {
        self.hello.as_ref().map_or(self.keepalive.heard + SILENCE, |_| self.keepalive.silent())
    }
}

/// What a role is told.
pub enum LinkEvent {
    Up(PeerInfo),
    Down(Node, NodeRole),
    Received(Node, NodeRole, Frame),
}

/// Where a process of a class listens for others: the first three of the ports.
pub fn listen_address(ports: (u16, u16), ip: Ipv4Addr, class: NodeRole) -> SocketAddrV4 {
    let step = match class {
        NodeRole::Control => 0,
        NodeRole::Store => 1,
        NodeRole::Edge | NodeRole::CommandLine => 2,
    };
    SocketAddrV4::new(ip, ports.0.saturating_add(step).min(ports.1))
}

pub struct Links {
    me: PeerInfo,
    links: HashMap<ConnectionId, Link>,
    by_node: HashMap<Node, ConnectionId>,
    /// Who is connected: to find a control node nobody goes through all edges.
    by_class: [BTreeSet<Node>; 4],
    /// Addresses to be connected with, and when to try again.
    wanted: HashMap<SocketAddrV4, Millis>,
    /// Where a connection that was opened from here stands.
    dialled: HashSet<SocketAddrV4>,
    /// Before this nothing is due: all are gone through only then, not in every turn.
    look_at: Millis,
    /// When words are said next.
    word_at: Millis,
    ports: (u16, u16),
    pub undecodable_frames: u64,
    /// What was said, by what it is about and whether to another zone: frames and bytes.
    pub sent: BTreeMap<(&'static str, bool), FrameVolume>,
    /// How often all connections were gone through.
    pub looks: u64,
}

impl Links {
    pub fn new(me: PeerInfo, ports: (u16, u16)) -> Links {
        Links {
            me,
            links: HashMap::new(),
            by_node: HashMap::new(),
            by_class: Default::default(),
            wanted: HashMap::new(),
            dialled: HashSet::new(),
            look_at: 0,
            word_at: 0,
            ports,
            undecodable_frames: 0,
            sent: BTreeMap::new(),
            looks: 0,
        }
    }

    pub fn local(&self) -> &PeerInfo {
        &self.me
    }

    /// Where a process of a class listens for others: roles on one machine share its ports.
    pub fn listen_address(&self, ip: Ipv4Addr, class: NodeRole) -> SocketAddrV4 {
        listen_address(self.ports, ip, class)
    }

    pub fn ports(&self) -> (u16, u16) {
        self.ports
    }

    /// Is to be connected with these, and dials no others.
    pub fn set_dial_targets(&mut self, now: Millis, all: impl IntoIterator<Item = SocketAddrV4>) {
        let old = std::mem::take(&mut self.wanted);
        for address in all {
            let at = old.get(&address).copied().unwrap_or(now);
            if !self.dialled.contains(&address) {
                self.look_at = self.look_at.min(at);
            }
            self.wanted.insert(address, at);
        }
    }

    pub fn is_up(&self, node: Node) -> bool {
        self.by_node.contains_key(&node)
    }
    /// When anything was last heard of it.
    pub fn last_heard_at(&self, node: Node) -> Option<Millis> {
        self.by_node.get(&node).and_then(|conn| self.links.get(conn)).map(|link| link.keepalive.heard)
    }
    pub fn peer(&self, node: Node) -> Option<&PeerInfo> {
        self.links.get(self.by_node.get(&node)?)?.hello.as_ref()
    }
    pub fn all_peers(&self) -> impl Iterator<Item = &PeerInfo> {
        self.by_node.values().filter_map(|conn| self.links.get(conn)?.hello.as_ref())
    }
    /// Who is connected, of one class.
    pub fn nodes_with_role(&self, class: NodeRole) -> Vec<Node> {
        self.by_class[class as usize].iter().copied().collect()
    }
    /// What those of one class that are connected have said of themselves.
    pub fn peers(&self, class: NodeRole) -> impl Iterator<Item = &PeerInfo> {
        self.by_class[class as usize].iter().filter_map(|node| self.peer(*node))
    }
    pub fn node_at_control_address(&self, control: SocketAddrV4) -> Option<Node> {
        self.peers(NodeRole::Control).find(|h| h.control_address == Some(control)).map(|h| h.node)
    }

    pub fn send(&mut self, net: &mut Net, to: Node, signal: &Frame) -> bool {
        let Some(conn) = self.by_node.get(&to).copied() else { return false };
        self.say_on(net, conn, signal);
        true
    }

    fn say_on(&mut self, net: &mut Net, conn: ConnectionId, signal: &Frame) {
        let mut far = false;
        if let Some(link) = self.links.get_mut(&conn) {
            link.keepalive.says(net.now());
            far = link.hello.as_ref().is_some_and(|hello| hello.zone != self.me.zone);
        }
        match postcard::to_stdvec(signal) {
            Ok(bytes) => {
                let volume = self.sent.entry((signal.category(), far)).or_default();
                volume.frames += 1;
                volume.bytes += bytes.len() as u64 + 4;
                net.send(conn, &bytes);
            }
            Err(error) => tracing::error!(%error, "a signal that can't be written"),
        }
    }

    /// Dials, says a word where nothing is said, and gives up who is silent.
    pub fn tick(&mut self, net: &mut Net) -> Vec<LinkEvent> {
        let now = net.now();
        let mut words = Vec::new();
        if now < self.look_at {
            return words;
        }
        self.looks += 1;
        let mut due: Vec<SocketAddrV4> = Vec::new();
        for (address, at) in &mut self.wanted {
            if *at <= now && !self.dialled.contains(address) {
                *at = now + RETRY;
                due.push(*address);
            }
        }
        for address in due {
            if let Some(conn) = net.dial(address) {
                self.links.insert(conn, Link::new(now, Some(address)));
                self.dialled.insert(address);
            }
        }
        if now >= self.word_at {
            self.word_at = now + WORD;
            let due = |l: &Link| l.hello.is_some() && l.keepalive.due(now);
            let quiet: Vec<ConnectionId> =
                self.links.iter().filter(|(_, l)| due(l)).map(|(conn, _)| *conn).collect();
            quiet.into_iter().for_each(|conn| self.say_on(net, conn, &Frame::Ping));
        }
        let gone: Vec<ConnectionId> =
            self.links.iter().filter(|(_, l)| now >= l.silent()).map(|(conn, _)| *conn).collect();
        for conn in gone {
            words.extend(self.lost(now, conn));
            net.close(conn);
        }
        // What is said or heard from here on puts things off, or is due after the next words: this is never too late.
        let links = self.links.values().map(Link::silent);
        let dial = self.wanted.iter().filter(|(a, _)| !self.dialled.contains(a)).map(|(_, at)| *at);
        self.look_at = links.chain(dial).min().unwrap_or(Millis::MAX).min(self.word_at).max(now + 1);
        words
    }

    pub fn next(&self) -> Millis {
        self.look_at
    }

    fn lost(&mut self, now: Millis, conn: ConnectionId) -> Option<LinkEvent> {
        let link = self.links.remove(&conn)?;
        if let Some(address) = link.dialled {
            self.dialled.remove(&address);
            let again = self.wanted.get(&address).copied().unwrap_or(Millis::MAX);
            self.look_at = self.look_at.min(again.max(now));
        }
        let hello = link.hello?;
        if self.by_node.get(&hello.node) != Some(&conn) {
            return None;
        }
        self.by_node.remove(&hello.node);
        self.by_class[hello.role as usize].remove(&hello.node);
        if hello.role != NodeRole::CommandLine {
            tracing::info!(node = hello.name, "link down");
        }
        Some(LinkEvent::Down(hello.node, hello.role))
    }

    /// Who says this of itself may be talked to on a connection that was opened to `dialled`, if it was opened from here.
    fn is_welcome(&self, dialled: Option<SocketAddrV4>, hello: &PeerInfo) -> bool {
        let is_at = |ip| dialled.is_none_or(|dialled| self.listen_address(ip, hello.role) == dialled);
        // Another process may have the address by now: what is meant for the one would be said to the other.
        let is_dialled = is_at(hello.ip) || hello.control_address.is_some_and(|control| is_at(*control.ip()));
        let is_other = |held: &PeerInfo| held.name != hello.name;
        let is_new = hello.node != self.me.node && !self.peer(hello.node).is_some_and(is_other);
        hello.protocol_version == PROTOCOL_VERSION && is_dialled && is_new
    }

    /// What an event of the net means here; events that are not of links come back.
    pub fn event(&mut self, net: &mut Net, event: Event, words: &mut Vec<LinkEvent>) -> Option<Event> {
        let now = net.now();
        match event {
            Event::PeerConnected { connection: conn } => {
                let link = self.links.entry(conn).or_insert(Link::new(now, None));
                link.keepalive.hears(now);
                self.look_at = self.look_at.min(now + SILENCE);
                let hello = Frame::Hello(self.me.clone());
                self.say_on(net, conn, &hello);
            }
            Event::PeerDisconnected { connection: conn } => words.extend(self.lost(now, conn)),
            Event::PeerFrame { connection: conn, bytes } => {
                let link = self.links.get_mut(&conn)?;
                link.keepalive.hears(now);
                let (known, dialled) = (link.hello.as_ref().map(|h| (h.node, h.role)), link.dialled);
                let answers = link.keepalive.answers(now);
                match (postcard::from_bytes(&bytes), known) {
                    (Ok(Frame::Hello(hello)), None) if self.is_welcome(dialled, &hello) => {
                        let link = self.links.get_mut(&conn)?;
                        link.hello = Some(hello.clone());
                        self.by_class[hello.role as usize].insert(hello.node);
                        // A newer connection of the same node: the old one is dead, though nothing has said so.
                        if let Some(old) = self.by_node.insert(hello.node, conn) {
                            // (Not `lost`: the node has its new connection already.)
                            if let Some(address) = self.links.remove(&old).and_then(|link| link.dialled) {
                                self.dialled.remove(&address);
                                self.look_at = now;
                            }
                            net.close(old);
                            words.push(LinkEvent::Down(hello.node, hello.role));
                        }
                        if hello.role != NodeRole::CommandLine {
                            tracing::debug!(node = hello.name, "link up");
                        }
                        words.push(LinkEvent::Up(hello));
                    }
                    (Ok(Frame::Ping), Some(_)) => {
                        if answers {
                            self.say_on(net, conn, &Frame::Ping);
                        }
                    }
                    (Ok(signal), Some((node, class))) if !matches!(signal, Frame::Hello(_)) => {
                        words.push(LinkEvent::Received(node, class, signal));
                    }
                    _ => {
                        self.undecodable_frames += 1;
                        words.extend(self.lost(now, conn));
                        net.close_malformed(conn);
                    }
                }
            }
            other => return Some(other),
        }
        None
    }
}

#[cfg(test)]
mod tests;
