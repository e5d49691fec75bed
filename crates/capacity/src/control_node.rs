//! A control node: the real registry and the real control group, joined as `crates/server/src/core.rs` joins them.

use crate::layout::Layout;
use crate::links::{LinkEvent, Links};
use crate::net::{Millis, Net};
use crate::protocol::{Class, Heartbeat, Hello, Member, Retiring, Signal};
use std::net::SocketAddrV4;
use stileroute_control_group::{ControlGroup, Effect, GroupSettings, Persisted};
use stileroute_queue::Node;
use stileroute_registry::{Effect as Notice, Registry};

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
    disk: Persisted,
}

fn member_of(hello: &Hello, config: u64) -> Member {
    Member {
        node: hello.node,
        name: hello.name.clone(),
        class: hello.class,
        zone: hello.zone.clone(),
        ip: hello.ip,
        life: hello.life,
        control: hello.control,
        config,
        retiring: Retiring::No,
    }
}

impl ControlNode {
    /// `disk`: what an earlier life has kept; none at the first start.
    pub fn new(hello: &Hello, layout: &Layout, disk: Option<Persisted>, now: Millis) -> ControlNode {
        let seeds = layout.seeds();
        let me = hello.control.unwrap_or(SocketAddrV4::new(hello.ip, 0));
        let settings = GroupSettings::new(me, seeds.clone(), disk.is_none(), LOSSES, hello.life);
        let disk = disk.unwrap_or_default();
        ControlNode {
            registry: Registry::new(member_of(hello, 0), hello.life, crate::heartbeat::INTERVAL, now),
            group: ControlGroup::new(settings, disk.clone(), now),
            seeds,
            writing: Vec::new(),
            heard_at: 0,
            next_ticket: 1,
            disk,
        }
    }

    pub fn disk(self) -> Persisted {
        self.disk
    }

    pub fn version_in_force(&self) -> u64 {
        self.group.committed().map_or(0, |state| state.version)
    }

    /// An operator's configuration.
    pub fn replace(&mut self, now: Millis, version: u64, body: Vec<u8>) {
        self.next_ticket += 1;
        self.group.replace(now, self.next_ticket, version, body);
    }

    pub fn heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) {
        self.registry.heartbeat(now, heartbeat);
    }

    pub fn next(&self, now: Millis) -> Millis {
        let disk = self.writing.iter().map(|(at, _)| *at).min().unwrap_or(Millis::MAX);
        self.group.next(now).min(self.registry.next()).min(disk)
    }

    pub fn link_event(&mut self, links: &Links, now: Millis, link_event: LinkEvent) {
        match link_event {
            LinkEvent::Up(hello) if hello.class == Class::Core => {
                if let Some(control) = hello.control {
                    self.group.link(now, control, true);
                    self.group.learn(control);
                }
                self.registry.core_up(now, member_of(&hello, 0));
            }
            LinkEvent::Up(_) => {}
            LinkEvent::Down(node, Class::Core) => {
                let control = self.registry.members.iter().find(|m| m.node == node).and_then(|m| m.control);
                if let Some(control) = control {
                    self.group.link(now, control, false);
                }
                self.registry.core_down(node);
            }
            LinkEvent::Down(node, _) => self.registry.session_down(now, node),
            LinkEvent::Said(from, class, signal) => self.said(links, now, from, class, signal),
        }
    }

    fn said(&mut self, links: &Links, now: Millis, from: Node, class: Class, signal: Signal) {
        match (class, signal) {
            (Class::Core, Signal::Control(signal)) => {
                if let Some(voter) = links.hello(from).and_then(|hello| hello.control) {
                    self.group.signal(now, voter, signal);
                }
            }
            (Class::Core, Signal::Sessions(members)) => self.registry.told_sessions(now, from, members),
            (Class::Core, Signal::Heartbeats(heartbeats)) => self.registry.told_heartbeats(now, heartbeats),
            (_, Signal::Ask { life, version, config, retiring }) if class != Class::Core => {
                if let Some(hello) = links.hello(from) {
                    let member = Member { retiring, ..member_of(hello, config) };
                    self.registry.asked(now, member, life, version);
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
            let effects = self.group.take();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Send { to, signal } => {
                        if let Some(node) = links.by_control(to) {
                            links.say(net, node, &Signal::Control(signal));
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
        let me = links.me().ip;
        let mut all: Vec<std::net::Ipv4Addr> = self.seeds.iter().map(|seed| *seed.ip()).collect();
        all.extend(self.group.view().iter().flat_map(|watch| watch.voters.iter().map(|voter| *voter.ip())));
        all.extend(self.registry.members.iter().filter(|m| m.class == Class::Core).map(|m| m.ip));
        let seed = self.seeds.iter().any(|seed| *seed.ip() == me);
        let opens = |ip: &std::net::Ipv4Addr| {
            *ip > me || (!seed && *ip != me && links.hellos(Class::Core).all(|hello| hello.ip != *ip))
        };
        let wanted: Vec<SocketAddrV4> =
            all.into_iter().filter(opens).map(|ip| links.address(ip, Class::Core)).collect();
        links.want(now, wanted);
    }

    /// Who is there, and who is told of it.
    fn tell(&mut self, links: &mut Links, net: &mut Net) {
        let now = net.now();
        let in_touch = self.group.in_touch(now);
        if now >= self.heard_at {
            self.heard_at = now + HEARD_EVERY;
            for core in links.class(Class::Core) {
                if let Some(at) = links.heard(core) {
                    self.registry.core_heard(core, at);
                }
            }
        }
        let committed = self.group.committed().map(|state| (state.version, state.body.as_slice()));
        self.registry.tick(now, in_touch, committed);
        for notice in self.registry.take() {
            let (to, signal) = match notice {
                Notice::News { to, news } => (vec![to], Signal::News(news)),
                Notice::AllHeartbeats { to, heartbeats } => (vec![to], Signal::Heartbeats(heartbeats)),
                Notice::TellHeartbeats(heartbeats) => {
                    (links.class(Class::Core), Signal::Heartbeats(heartbeats))
                }
                Notice::TellSessions(all) => (links.class(Class::Core), Signal::Sessions(all)),
            };
            for node in to {
                links.say(net, node, &signal);
            }
        }
    }
}
