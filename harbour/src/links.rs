//! Connections between the system's own processes: opened again when they break, given up when nothing is heard.

use crate::net::{ConnId, Event, Millis, Net};
use crate::signals::{Class, Hello, Signal, PROTOCOL};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_hold::Node;

/// Nothing said for so long: a word is said. Nothing heard for so long: nobody is there.
const WORD: Millis = 500;
const SILENCE: Millis = 1600;
/// Between two tries to open a connection.
const RETRY: Millis = 100;

struct Link {
    hello: Option<Hello>,
    dialled: Option<SocketAddrV4>,
    heard: Millis,
    said: Millis,
}

/// What a role is told.
pub enum Word {
    Up(Hello),
    Down(Node, Class),
    Said(Node, Class, Signal),
}

/// Where a process of a class listens for others: the first three of the ports.
pub fn address(ports: (u16, u16), ip: Ipv4Addr, class: Class) -> SocketAddrV4 {
    let step = match class {
        Class::Core => 0,
        Class::Store => 1,
        Class::Edge | Class::Visitor => 2,
    };
    SocketAddrV4::new(ip, ports.0.saturating_add(step).min(ports.1))
}

pub struct Links {
    me: Hello,
    links: HashMap<ConnId, Link>,
    by_node: HashMap<Node, ConnId>,
    /// Addresses to be connected with, and when to try again.
    wanted: HashMap<SocketAddrV4, Millis>,
    ports: (u16, u16),
    pub unread: u64,
}

impl Links {
    pub fn new(me: Hello, ports: (u16, u16)) -> Links {
        Links { me, links: HashMap::new(), by_node: HashMap::new(), wanted: HashMap::new(), ports, unread: 0 }
    }

    pub fn me(&self) -> &Hello {
        &self.me
    }

    /// Where a process of a class listens for others: roles on one machine share its ports.
    pub fn address(&self, ip: Ipv4Addr, class: Class) -> SocketAddrV4 {
        address(self.ports, ip, class)
    }

    pub fn ports(&self) -> (u16, u16) {
        self.ports
    }

    /// Is to be connected with these, and dials no others.
    pub fn want(&mut self, now: Millis, all: impl IntoIterator<Item = SocketAddrV4>) {
        let old = std::mem::take(&mut self.wanted);
        for address in all {
            self.wanted.insert(address, old.get(&address).copied().unwrap_or(now));
        }
    }

    pub fn is_up(&self, node: Node) -> bool {
        self.by_node.contains_key(&node)
    }
    /// When anything was last heard of it.
    pub fn heard(&self, node: Node) -> Option<Millis> {
        self.by_node.get(&node).and_then(|conn| self.links.get(conn)).map(|link| link.heard)
    }
    pub fn hello(&self, node: Node) -> Option<&Hello> {
        self.links.get(self.by_node.get(&node)?)?.hello.as_ref()
    }
    pub fn up(&self) -> impl Iterator<Item = &Hello> {
        self.by_node.values().filter_map(|conn| self.links.get(conn)?.hello.as_ref())
    }
    /// Who is connected, of one class.
    pub fn class(&self, class: Class) -> Vec<Node> {
        let mut all: Vec<Node> = self.up().filter(|h| h.class == class).map(|h| h.node).collect();
        all.sort_unstable();
        all
    }
    pub fn by_control(&self, control: SocketAddrV4) -> Option<Node> {
        self.up().find(|h| h.control == Some(control)).map(|h| h.node)
    }

    pub fn say(&mut self, net: &mut Net, to: Node, signal: &Signal) -> bool {
        let Some(conn) = self.by_node.get(&to).copied() else { return false };
        self.say_on(net, conn, signal);
        true
    }

    fn say_on(&mut self, net: &mut Net, conn: ConnId, signal: &Signal) {
        if let Some(link) = self.links.get_mut(&conn) {
            link.said = net.now();
        }
        match postcard::to_stdvec(signal) {
            Ok(bytes) => net.send(conn, &bytes),
            Err(error) => tracing::error!(%error, "a signal that can't be written"),
        }
    }

    /// Dials, says a word where nothing is said, and gives up who is silent.
    pub fn tick(&mut self, net: &mut Net) -> Vec<Word> {
        let now = net.now();
        let dialled: Vec<SocketAddrV4> = self.links.values().filter_map(|l| l.dialled).collect();
        let mut due: Vec<SocketAddrV4> = Vec::new();
        for (address, at) in &mut self.wanted {
            if *at <= now && !dialled.contains(address) {
                *at = now + RETRY;
                due.push(*address);
            }
        }
        for address in due {
            if let Some(conn) = net.dial(address) {
                let link = Link { hello: None, dialled: Some(address), heard: now, said: now };
                self.links.insert(conn, link);
            }
        }
        let quiet: Vec<ConnId> = self
            .links
            .iter()
            .filter(|(_, l)| l.hello.is_some() && now >= l.said + WORD)
            .map(|(conn, _)| *conn)
            .collect();
        quiet.into_iter().for_each(|conn| self.say_on(net, conn, &Signal::Ping));
        let gone: Vec<ConnId> =
            self.links.iter().filter(|(_, l)| now >= l.heard + SILENCE).map(|(conn, _)| *conn).collect();
        let mut words = Vec::new();
        for conn in gone {
            words.extend(self.lost(conn));
            net.close(conn);
        }
        words
    }

    pub fn next(&self) -> Millis {
        let quiet = self.links.values().filter(|l| l.hello.is_some()).map(|l| l.said + WORD).min();
        let dialled: Vec<SocketAddrV4> = self.links.values().filter_map(|l| l.dialled).collect();
        let dial = self.wanted.iter().filter(|(a, _)| !dialled.contains(a)).map(|(_, at)| *at).min();
        quiet.into_iter().chain(dial).min().unwrap_or(Millis::MAX)
    }

    fn lost(&mut self, conn: ConnId) -> Option<Word> {
        let link = self.links.remove(&conn)?;
        let hello = link.hello?;
        if self.by_node.get(&hello.node) != Some(&conn) {
            return None;
        }
        self.by_node.remove(&hello.node);
        if hello.class != Class::Visitor {
            tracing::info!(node = hello.name, "link down");
        }
        Some(Word::Down(hello.node, hello.class))
    }

    /// What an event of the net means here; events that are not of links come back.
    pub fn event(&mut self, net: &mut Net, event: Event, words: &mut Vec<Word>) -> Option<Event> {
        let now = net.now();
        match event {
            Event::PeerUp { conn } => {
                let link = self.links.entry(conn).or_insert(Link {
                    hello: None,
                    dialled: None,
                    heard: now,
                    said: now,
                });
                link.heard = now;
                let hello = Signal::Hello(self.me.clone());
                self.say_on(net, conn, &hello);
            }
            Event::PeerDown { conn } => words.extend(self.lost(conn)),
            Event::Frame { conn, bytes } => {
                let link = self.links.get_mut(&conn)?;
                link.heard = now;
                match (postcard::from_bytes(&bytes), link.hello.as_ref().map(|h| (h.node, h.class))) {
                    (Ok(Signal::Hello(hello)), None)
                        if hello.protocol == PROTOCOL && hello.node != self.me.node =>
                    {
                        link.hello = Some(hello.clone());
                        // A newer connection of the same node: the old one is dead, though nothing has said so.
                        if let Some(old) = self.by_node.insert(hello.node, conn) {
                            self.links.remove(&old);
                            net.close(old);
                            words.push(Word::Down(hello.node, hello.class));
                        }
                        if hello.class != Class::Visitor {
                            tracing::debug!(node = hello.name, "link up");
                        }
                        words.push(Word::Up(hello));
                    }
                    (Ok(Signal::Ping), Some(_)) => {}
                    (Ok(signal), Some((node, class))) if !matches!(signal, Signal::Hello(_)) => {
                        words.push(Word::Said(node, class, signal));
                    }
                    _ => {
                        self.unread += 1;
                        words.extend(self.lost(conn));
                        net.garble(conn);
                    }
                }
            }
            other => return Some(other),
        }
        None
    }
}
