//! A hollow edge or store: its connections and its session with a control node, and no messages of clients. It follows
//! `crates/server/src/node.rs` in whom it asks, and `edge.rs` and `store.rs` there in whom it connects with.

use crate::layout::{distance, zone_number, Layout, Place};
use crate::links::{LinkEvent, Links};
use crate::net::{Millis, Net};
use crate::protocol::{ExecutorState, Frame, Heartbeat, Member, MembershipUpdate, NodeRole, RetirementState};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use stileroute_queue::Node;

/// A control node that has not answered for so long is given up.
const PATIENCE: Millis = 2000;
/// With whom it is to be connected is looked at so often, and when somebody comes or goes.
const AROUND: Millis = 250;

pub struct MemberNode {
    class: NodeRole,
    zone: usize,
    /// Control nodes by address, and their zone as far as known.
    controls: Vec<(SocketAddrV4, Option<usize>)>,
    session: Option<Node>,
    asked: Option<Millis>,
    life: u64,
    version: u64,
    config: u64,
    members: Vec<Member>,
    /// Of a store: the executors that it has been told of.
    pub executors: HashMap<String, Heartbeat>,
    /// The whole configuration, as a node keeps it.
    body: Vec<u8>,
    stirred: bool,
    stirred_at: Millis,
}

impl MemberNode {
    pub fn new(place: &Place, layout: &Layout) -> MemberNode {
        MemberNode {
            class: place.class,
            zone: place.zone,
            controls: layout.seeds().into_iter().map(|seed| (seed, None)).collect(),
            session: None,
            asked: None,
            life: 0,
            version: 0,
            config: 0,
            members: Vec::new(),
            executors: HashMap::new(),
            body: Vec::new(),
            stirred: true,
            stirred_at: 0,
        }
    }

    /// The version of the configuration that it has, and the bytes of that.
    pub fn configuration(&self) -> (u64, usize) {
        (self.config, self.body.len())
    }

    pub fn next(&self, now: Millis) -> Millis {
        let session = self.asked.map_or(now + 100, |at| at + PATIENCE + 1);
        session.min(self.stirred_at.max(now + 1))
    }

    pub fn link_event(&mut self, links: &mut Links, net: &mut Net, link_event: LinkEvent) {
        match link_event {
            LinkEvent::Up(_) | LinkEvent::Down(..) => self.stirred = true,
            LinkEvent::Received(from, NodeRole::Control, Frame::Update(news)) => {
                self.heard(links, net, from, news)
            }
            LinkEvent::Received(..) => {}
        }
    }

    pub fn tick(&mut self, links: &mut Links, net: &mut Net) {
        self.keep_session(links, net);
        self.connect(links, net.now());
    }

    fn keep_session(&mut self, links: &mut Links, net: &mut Net) {
        let late = self.asked.is_some_and(|at| net.now() > at + PATIENCE);
        if self.session.is_some_and(|with| late || !links.is_up(with)) {
            (self.session, self.asked) = (None, None);
        }
        if self.session.is_none() {
            let turn = links.local().node & 31;
            let near = |zone: &str| zone_number(zone).map(|zone| distance(self.zone, zone));
            let known = links.peers(NodeRole::Control);
            let first = known.map(|h| (near(&h.zone), h.node.rotate_left(turn), h.node)).min();
            self.session = first.map(|(.., node)| node);
            self.ask(links, net);
        }
    }

    fn ask(&mut self, links: &mut Links, net: &mut Net) {
        let Some(with) = self.session else { return };
        let ask = Frame::UpdateRequest {
            incarnation: self.life,
            version: self.version,
            config_version: self.config,
            retirement: RetirementState::NotRetiring,
        };
        if links.send(net, with, &ask) {
            self.asked = Some(net.now());
        }
    }

    fn heard(&mut self, links: &mut Links, net: &mut Net, from: Node, news: MembershipUpdate) {
        if self.session != Some(from) {
            return;
        }
        self.stirred = true;
        if news.is_partitioned {
            (self.session, self.asked) = (None, None);
            return;
        }
        (self.life, self.version) = (news.incarnation, news.version);
        if let Some(members) = news.members {
            self.learn_controls(&members);
            self.members = members;
        }
        if let Some(body) = news.config {
            // The bodies of the simulation carry nothing but their version.
            self.config = crate::simulation::version_of(&body);
            self.body = body;
        }
        if news.is_complete {
            self.executors.clear();
        }
        for heartbeat in news.executors {
            match heartbeat.state {
                ExecutorState::Offline => self.executors.remove(&heartbeat.id),
                _ => self.executors.insert(heartbeat.id.clone(), heartbeat),
            };
        }
        self.ask(links, net);
    }

    fn learn_controls(&mut self, members: &[Member]) {
        for member in members.iter().filter(|m| m.role == NodeRole::Control) {
            let Some(control) = member.control_address else { continue };
            self.controls.retain(|(known, _)| *known != control);
            self.controls.push((control, zone_number(&member.zone)));
        }
    }

    /// Control nodes to be connected with: those of the own zone while one of them is there, else all that are known.
    fn cores(&self, links: &Links) -> Vec<SocketAddrV4> {
        let near = self.controls.iter().filter(|(_, zone)| *zone == Some(self.zone)).map(|(c, _)| *c);
        let near: Vec<SocketAddrV4> = near.collect();
        let near_up = near.iter().any(|control| links.node_at_control_address(*control).is_some());
        let all = || self.controls.iter().map(|(control, _)| *control).collect();
        let chosen = if near_up { near } else { all() };
        chosen.into_iter().map(|control| links.listen_address(*control.ip(), NodeRole::Control)).collect()
    }

    /// An edge opens connections with all stores; of two stores the one with the lower address opens it.
    fn connect(&mut self, links: &mut Links, now: Millis) {
        if !std::mem::take(&mut self.stirred) && now < self.stirred_at {
            return;
        }
        self.stirred_at = now + AROUND;
        let mut wanted = self.cores(links);
        let me = links.local().ip;
        let dials = |m: &&Member| m.role == NodeRole::Store && (self.class == NodeRole::Edge || m.ip > me);
        wanted.extend(self.members.iter().filter(dials).map(|m| links.listen_address(m.ip, NodeRole::Store)));
        links.set_dial_targets(now, wanted);
    }
}
