//! What a process tells of itself: to the command line over the internal protocol, and as figures.

use crate::figures::Sheet;
use crate::links::LinkEvent;
use crate::net::{Answer, ConnId, Event};
use crate::node::Common;
use crate::signals::{NodeRole, Signal, PROTOCOL};
use jzon::JsonValue;
use stileroute_queue::{Key, Node};

/// What somebody wants to know.
pub enum Inquiry {
    Report(Node, u64),
    Trace(Node, u64, Key),
    Count(Node, u64),
    /// Over the listener for figures.
    Scrape(ConnId, bool),
}

impl Common {
    /// Takes out what is for operators; of visitors the role hears nothing.
    pub fn sort_out(&mut self, link_events: &mut Vec<LinkEvent>, events: &mut Vec<Event>) {
        let inquiries = &mut self.inquiries;
        link_events.retain(|link_event| {
            match link_event {
                LinkEvent::Said(from, NodeRole::CommandLine, Signal::Report { ticket }) => {
                    inquiries.push(Inquiry::Report(*from, *ticket));
                }
                LinkEvent::Said(from, NodeRole::CommandLine, Signal::Trace { ticket, key }) => {
                    inquiries.push(Inquiry::Trace(*from, *ticket, *key));
                }
                LinkEvent::Said(from, NodeRole::CommandLine, Signal::Count { ticket }) => {
                    inquiries.push(Inquiry::Count(*from, *ticket));
                }
                LinkEvent::Said(_, class, _) | LinkEvent::Down(_, class) => {
                    return *class != NodeRole::CommandLine
                }
                LinkEvent::Up(hello) => return hello.class != NodeRole::CommandLine,
            }
            false
        });
        let Some(scraped) = self.scraped else { return };
        events.retain(|event| match event {
            Event::Request { conn, port, request } if *port == scraped => {
                let known = request.method == "GET" && request.target == "/metrics";
                inquiries.push(Inquiry::Scrape(*conn, known));
                false
            }
            _ => true,
        });
    }

    pub fn name(&self, node: Node) -> String {
        let members = self.session.members.iter().map(|m| (m.node, &m.name));
        let up = self.links.up().map(|h| (h.node, &h.name));
        let me = self.links.me();
        let mut all = members.chain(up).chain(std::iter::once((me.node, &me.name)));
        all.find(|(n, _)| *n == node).map_or_else(|| format!("{node:x}"), |(_, name)| name.clone())
    }

    /// What all roles tell.
    pub fn report(&self) -> JsonValue {
        let (now, me) = (self.net.now(), self.links.me());
        let since = |at: u64| if at == 0 { JsonValue::Null } else { now.saturating_sub(at).into() };
        let known: Vec<JsonValue> = self.session.members.iter().map(member).collect();
        let links: Vec<JsonValue> = self
            .links
            .up()
            .filter(|h| h.class != NodeRole::CommandLine)
            .map(|h| {
                let class = h.class.to_string();
                jzon::object! { "node" => h.name.clone(), "class" => class, "ip" => h.ip.to_string() }
            })
            .collect();
        let ports: Vec<JsonValue> = vec![self.links.ports().0.into(), self.links.ports().1.into()];
        jzon::object! {
            "node" => me.name.clone(),
            "class" => me.class.to_string(),
            "zone" => me.zone.clone(),
            "ip" => me.ip.to_string(),
            "ports" => ports,
            "program" => env!("CARGO_PKG_VERSION"),
            "protocol" => PROTOCOL,
            "up_ms" => now,
            "leaving" => self.leaving_since.is_some(),
            "version" => self.config.as_ref().map_or(0, |c| c.revision),
            "control" => jzon::object! {
                "heard" => me.class == NodeRole::Control || self.fresh(),
                "session" => self.session.with.map(|with| self.name(with)),
                "session_ms" => since(self.session.since),
                "news_ms" => since(self.session.heard),
            },
            "links" => links,
            "known" => known,
        }
    }

    /// The counters that all roles have. `door` names the listeners for requests.
    pub fn figures(&self, sheet: &mut Sheet, door: impl Fn(usize) -> &'static str) {
        let (now, me) = (self.net.now(), self.links.me());
        let seconds = |ms: u64| ms as f64 / 1000.0;
        let class = me.class.to_string();
        let labels = [("node", me.name.as_str()), ("class", &class), ("zone", &me.zone)];
        sheet.gauge("stileroute_node", "Always 1: which process this is.", &labels, 1);
        sheet.gauge("stileroute_up_seconds", "Since the process began.", &[], seconds(now));
        let version = self.config.as_ref().map_or(0, |c| c.revision);
        sheet.gauge("stileroute_config_version", "Version in force here; 0: none yet.", &[], version);
        if me.class != NodeRole::Control {
            let session = if self.fresh() { now.saturating_sub(self.session.since) } else { 0 };
            let heard = u8::from(self.fresh());
            let news = if self.session.heard == 0 { now } else { now.saturating_sub(self.session.heard) };
            sheet.gauge(
                "stileroute_control_heard",
                "1: control nodes answer; 0: nothing is heard.",
                &[],
                heard,
            );
            sheet.gauge(
                "stileroute_session_seconds",
                "Age of the session with a control node.",
                &[],
                seconds(session),
            );
            sheet.gauge("stileroute_news_age_seconds", "Since a control node answered.", &[], seconds(news));
            let lost = self.session.lost;
            sheet.count("stileroute_sessions_lost_total", "Sessions that ended unasked.", &[], lost);
        }
        for class in [NodeRole::Control, NodeRole::Store, NodeRole::Edge] {
            let (name, count) = (class.to_string(), self.links.class(class).len());
            sheet.gauge(
                "stileroute_links",
                "Connections with other processes, by class.",
                &[("class", &name)],
                count,
            );
        }
        sheet.count(
            "stileroute_links_unread_total",
            "Frames that could not be read.",
            &[],
            self.links.unread,
        );
        let (frames, bytes) = ("stileroute_said_total", "stileroute_said_bytes_total");
        for ((about, far), said) in &self.links.told {
            let labels = [("about", *about), ("zone", if *far { "other" } else { "own" })];
            sheet.count(frames, "Frames to other processes, by what they are about.", &labels, said.0);
        }
        for ((about, far), said) in &self.links.told {
            let labels = [("about", *about), ("zone", if *far { "other" } else { "own" })];
            sheet.count(bytes, "Bytes to other processes, by what they are about.", &labels, said.1);
        }
        sheet.count("stileroute_turns_total", "Turns of the loop: wake-ups.", &[], self.net.turns);
        sheet.gauge("stileroute_connections", "Open connections of all kinds.", &[], self.net.open());
        sheet.count(
            "stileroute_connections_opened_total",
            "Connections opened to executors and receivers.",
            &[],
            self.net.opened,
        );
        sheet.count(
            "stileroute_connections_lost_total",
            "Requests lost on a connection that had been idle.",
            &[],
            self.net.lost_at_rest,
        );
        sheet.count(
            "stileroute_connections_refused_total",
            "Connections for which there was no room.",
            &[],
            self.net.refused,
        );
        sheet.count(
            "stileroute_garbled_total",
            "Requests and frames that made no sense.",
            &[],
            self.net.garbled,
        );
        for ((port, status), count) in &self.net.answers {
            let door = if Some(*port) == self.scraped { "figures" } else { door(*port) };
            let labels = [("door", door), ("status", &*status.to_string())];
            sheet.count("stileroute_answers_total", "Answers by door and status.", &labels, *count);
        }
    }
}

pub fn member(member: &crate::signals::Member) -> JsonValue {
    jzon::object! {
        "node" => member.name.clone(),
        "class" => member.role.to_string(),
        "zone" => member.zone.clone(),
        "ip" => member.ip.to_string(),
        "version" => member.config_version,
    }
}

/// A role, asked by operators.
pub trait Told {
    fn common(&mut self) -> &mut Common;
    fn report(&self) -> JsonValue;
    fn figures(&self, sheet: &mut Sheet);
    /// What is known here of a message.
    fn trace(&self, _: Key) -> JsonValue {
        JsonValue::Null
    }

    fn inquiries(&mut self) {
        for inquiry in std::mem::take(&mut self.common().inquiries) {
            let sheet = |role: &Self| {
                let mut sheet = Sheet::default();
                role.figures(&mut sheet);
                sheet.text
            };
            let (to, ticket, text) = match inquiry {
                Inquiry::Report(to, ticket) => (to, ticket, self.report().dump()),
                Inquiry::Trace(to, ticket, key) => (to, ticket, self.trace(key).dump()),
                Inquiry::Count(to, ticket) => (to, ticket, sheet(self)),
                Inquiry::Scrape(conn, known) => {
                    let kind = ("Content-Type", "text/plain; version=0.0.4".to_string());
                    let body = if known { sheet(self).into_bytes() } else { Vec::new() };
                    let status = if known { 200 } else { 404 };
                    let answer = Answer { status, headers: vec![kind], body, ..Answer::default() };
                    self.common().net.answer(conn, answer);
                    continue;
                }
            };
            let common = self.common();
            common.links.say(&mut common.net, to, &Signal::Reported { ticket, text });
        }
    }
}
