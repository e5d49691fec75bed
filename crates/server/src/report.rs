//! What a process tells of itself: to the command line over the internal protocol, and as figures.

use crate::links::LinkEvent;
use crate::metrics::Exposition;
use crate::net::{ConnectionId, Event, Response};
use crate::node::NodeRuntime;
use crate::protocol::{Frame, NodeRole, PROTOCOL_VERSION};
use jzon::JsonValue;
use stileroute_queue::{Key, Node};

/// What somebody wants to know.
pub enum Inquiry {
    Report(Node, u64),
    Trace(Node, u64, Key),
    Count(Node, u64),
    /// Over the listener for figures.
    Scrape(ConnectionId, bool),
}

impl NodeRuntime {
    /// Takes out what is for operators; of visitors the role hears nothing.
    pub fn sort_out(&mut self, link_events: &mut Vec<LinkEvent>, events: &mut Vec<Event>) {
        let inquiries = &mut self.inquiries;
        link_events.retain(|link_event| {
            match link_event {
                LinkEvent::Received(
                    from,
                    NodeRole::CommandLine,
                    Frame::ReportRequest { request_id: ticket },
                ) => {
                    inquiries.push(Inquiry::Report(*from, *ticket));
                }
                LinkEvent::Received(
                    from,
                    NodeRole::CommandLine,
                    Frame::TraceRequest { request_id: ticket, key },
                ) => {
                    inquiries.push(Inquiry::Trace(*from, *ticket, *key));
                }
                LinkEvent::Received(
                    from,
                    NodeRole::CommandLine,
                    Frame::MetricsRequest { request_id: ticket },
                ) => {
                    inquiries.push(Inquiry::Count(*from, *ticket));
                }
                LinkEvent::Received(_, class, _) | LinkEvent::Down(_, class) => {
                    return *class != NodeRole::CommandLine
                }
                LinkEvent::Up(hello) => return hello.role != NodeRole::CommandLine,
            }
            false
        });
        let Some(scraped) = self.metrics_listener else { return };
        events.retain(|event| match event {
            Event::Request { connection: conn, listener: port, request } if *port == scraped => {
                let known = request.method == "GET" && request.target == "/metrics";
                inquiries.push(Inquiry::Scrape(*conn, known));
                false
            }
            _ => true,
        });
    }

    pub fn name(&self, node: Node) -> String {
        let members = self.session.members.iter().map(|m| (m.node, &m.name));
        let up = self.links.all_peers().map(|h| (h.node, &h.name));
        let me = self.links.local();
        let mut all = members.chain(up).chain(std::iter::once((me.node, &me.name)));
        all.find(|(n, _)| *n == node).map_or_else(|| format!("{node:x}"), |(_, name)| name.clone())
    }

    /// What all roles tell.
    pub fn report(&self) -> JsonValue {
        let (now, me) = (self.net.now(), self.links.local());
        let since = |at: u64| if at == 0 { JsonValue::Null } else { now.saturating_sub(at).into() };
        let known: Vec<JsonValue> = self.session.members.iter().map(member).collect();
        let links: Vec<JsonValue> = self
            .links
            .all_peers()
            .filter(|h| h.role != NodeRole::CommandLine)
            .map(|h| {
                let class = h.role.to_string();
                jzon::object! { "node" => h.name.clone(), "class" => class, "ip" => h.ip.to_string() }
            })
            .collect();
        let ports: Vec<JsonValue> = vec![self.links.ports().0.into(), self.links.ports().1.into()];
        jzon::object! {
            "node" => me.name.clone(),
            "class" => me.role.to_string(),
            "zone" => me.zone.clone(),
            "ip" => me.ip.to_string(),
            "ports" => ports,
            "program" => env!("CARGO_PKG_VERSION"),
            "protocol" => PROTOCOL_VERSION,
            "up_ms" => now,
            "leaving" => self.draining_since.is_some(),
            "version" => self.config.as_ref().map_or(0, |c| c.revision),
            "control" => jzon::object! {
                "heard" => me.role == NodeRole::Control || self.has_fresh_session(),
                "session" => self.session.control_node.map(|with| self.name(with)),
                "session_ms" => since(self.session.established_at),
                "news_ms" => since(self.session.last_update_at),
            },
            "links" => links,
            "known" => known,
        }
    }

    /// The counters that all roles have. `door` names the listeners for requests.
    pub fn figures(&self, sheet: &mut Exposition, door: impl Fn(usize) -> &'static str) {
        let (now, me) = (self.net.now(), self.links.local());
        let seconds = |ms: u64| ms as f64 / 1000.0;
        let class = me.role.to_string();
        let labels = [("node", me.name.as_str()), ("class", &class), ("zone", &me.zone)];
        sheet.gauge("stileroute_node", "Always 1: which process this is.", &labels, 1);
        sheet.gauge("stileroute_up_seconds", "Since the process began.", &[], seconds(now));
        let version = self.config.as_ref().map_or(0, |c| c.revision);
        sheet.gauge("stileroute_config_version", "Version in force here; 0: none yet.", &[], version);
        if me.role != NodeRole::Control {
            let session =
                if self.has_fresh_session() { now.saturating_sub(self.session.established_at) } else { 0 };
            let heard = u8::from(self.has_fresh_session());
            let news = if self.session.last_update_at == 0 {
                now
            } else {
                now.saturating_sub(self.session.last_update_at)
            };
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
            let lost = self.session.losses;
            sheet.counter("stileroute_sessions_lost_total", "Sessions that ended unasked.", &[], lost);
        }
        for class in [NodeRole::Control, NodeRole::Store, NodeRole::Edge] {
            let (name, count) = (class.to_string(), self.links.nodes_with_role(class).len());
            sheet.gauge(
                "stileroute_links",
                "Connections with other processes, by class.",
                &[("class", &name)],
                count,
            );
        }
        sheet.counter(
            "stileroute_links_unread_total",
            "Frames that could not be read.",
            &[],
            self.links.undecodable_frames,
        );
        let (frames, bytes) = ("stileroute_said_total", "stileroute_said_bytes_total");
        for ((about, far), said) in &self.links.sent {
            let labels = [("about", *about), ("zone", if *far { "other" } else { "own" })];
            sheet.counter(frames, "Frames to other processes, by what they are about.", &labels, said.frames);
        }
        for ((about, far), said) in &self.links.sent {
            let labels = [("about", *about), ("zone", if *far { "other" } else { "own" })];
            sheet.counter(bytes, "Bytes to other processes, by what they are about.", &labels, said.bytes);
        }
        sheet.counter("stileroute_turns_total", "Turns of the loop: wake-ups.", &[], self.net.poll_count);
        sheet.gauge(
            "stileroute_connections",
            "Open connections of all kinds.",
            &[],
            self.net.open_connections(),
        );
        sheet.counter(
            "stileroute_connections_opened_total",
            "Connections opened to executors and receivers.",
            &[],
            self.net.connections_opened,
        );
        sheet.counter(
            "stileroute_connections_lost_total",
            "Requests lost on a connection that had been idle.",
            &[],
            self.net.idle_connections_lost,
        );
        sheet.counter(
            "stileroute_connections_refused_total",
            "Connections for which there was no room.",
            &[],
            self.net.connections_rejected,
        );
        sheet.counter(
            "stileroute_garbled_total",
            "Requests and frames that made no sense.",
            &[],
            self.net.malformed_inputs,
        );
        for ((port, status), count) in &self.net.responses {
            let door = if Some(*port) == self.metrics_listener { "figures" } else { door(*port) };
            let labels = [("door", door), ("status", &*status.to_string())];
            sheet.counter("stileroute_answers_total", "Answers by door and status.", &labels, *count);
        }
    }
}

pub fn member(member: &crate::protocol::Member) -> JsonValue {
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
    fn common(&mut self) -> &mut NodeRuntime;
    fn report(&self) -> JsonValue;
    fn figures(&self, sheet: &mut Exposition);
    /// What is known here of a message.
    fn trace(&self, _: Key) -> JsonValue {
        JsonValue::Null
    }

    fn inquiries(&mut self) {
        for inquiry in std::mem::take(&mut self.common().inquiries) {
            let sheet = |role: &Self| {
                let mut sheet = Exposition::default();
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
                    let answer = Response { status, headers: vec![kind], body, ..Response::default() };
                    self.common().net.respond(conn, answer);
                    continue;
                }
            };
            let common = self.common();
            common.links.send(&mut common.net, to, &Frame::InspectionReply { request_id: ticket, text });
        }
    }
}
