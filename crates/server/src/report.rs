//! The report that a process of any role gives about itself: as JSON for the command line, and as metrics.

use crate::metrics::Exposition;
use crate::net::Millis;
use crate::node::NodeRuntime;
use crate::protocol::{Member, NodeRole, PROTOCOL_VERSION};
use jzon::JsonValue;
use stileroute_queue::Node;
use stileroute_wal::Statistics;

/// Converts milliseconds to seconds, the unit of durations in metrics.
pub fn seconds(ms: Millis) -> f64 {
    ms as f64 / 1000.0
}

impl NodeRuntime {
    /// The name of a node, or its id in hexadecimal if the name is not known.
    pub fn node_name(&self, node: Node) -> String {
        let local = self.links.local();
        let members = self.session.members.iter().map(|member| (member.node, &member.name));
        let peers = self.links.all_peers().map(|peer| (peer.node, &peer.name));
        let mut names = members.chain(peers).chain(std::iter::once((local.node, &local.name)));
        names.find(|(id, _)| *id == node).map_or_else(|| format!("{node:x}"), |(_, name)| name.clone())
    }

    /// The part of the report that processes of all roles have in common.
    pub fn report(&self) -> JsonValue {
        let local = self.links.local();
        let (first_port, last_port) = self.links.ports();
        let members: Vec<JsonValue> = self.session.members.iter().map(member_as_json).collect();
        jzon::object! {
            "node" => local.name.clone(),
            "class" => local.role.to_string(),
            "zone" => local.zone.clone(),
            "ip" => local.ip.to_string(),
            "ports" => vec![first_port, last_port],
            "program" => env!("CARGO_PKG_VERSION"),
            "protocol" => PROTOCOL_VERSION,
            "up_ms" => self.net.now(),
            "leaving" => self.draining_since.is_some(),
            "version" => self.config_revision(),
            "control" => self.session_as_json(),
            "links" => self.links_as_json(),
            "known" => members,
        }
    }

    /// Revision of the configuration that this process uses; 0 if it has none yet.
    fn config_revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    fn session_as_json(&self) -> JsonValue {
        let now = self.net.now();
        let since = |at: Millis| if at == 0 { JsonValue::Null } else { now.saturating_sub(at).into() };
        jzon::object! {
            "heard" => self.links.local().role == NodeRole::Control || self.has_fresh_session(),
            "session" => self.session.control_node.map(|node| self.node_name(node)),
            "session_ms" => since(self.session.established_at),
            "news_ms" => since(self.session.last_update_at),
        }
    }

    fn links_as_json(&self) -> JsonValue {
        let peers = self.links.all_peers().filter(|peer| peer.role != NodeRole::CommandLine);
        let links = peers.map(|peer| {
            let class = peer.role.to_string();
            jzon::object! { "node" => peer.name.clone(), "class" => class, "ip" => peer.ip.to_string() }
        });
        links.collect::<Vec<_>>().into()
    }

    /// Writes the metrics that all roles have in common. `listener_name` gives the names of the request listeners.
    pub fn write_metrics(&self, metrics: &mut Exposition, listener_name: impl Fn(usize) -> &'static str) {
        let local = self.links.local();
        let class = local.role.to_string();
        let labels = [("node", local.name.as_str()), ("class", &class), ("zone", &local.zone)];
        metrics.gauge("stileroute_node", "Always 1: which process this is.", &labels, 1u8);
        let up = seconds(self.net.now());
        metrics.gauge("stileroute_up_seconds", "Since the process began.", &[], up);
        let help = "Version in force here; 0: none yet.";
        metrics.gauge("stileroute_config_version", help, &[], self.config_revision());
        let unread = self.config.as_ref().map_or(0, |config| config.unread_keys.len());
        let help =
            "Keys of that configuration that nothing here reads: what they ask for is not carried out.";
        metrics.gauge("stileroute_config_unread_keys", help, &[], unread);
        let unserved = self.config.as_ref().map_or(0, |config| config.unserved_keys().len());
        let help = "Keys of that configuration that ask for what this program does not do.";
        metrics.gauge("stileroute_config_unserved_keys", help, &[], unserved);
        if local.role != NodeRole::Control {
            self.write_session_metrics(metrics);
        }
        self.write_link_metrics(metrics);
        self.write_connection_metrics(metrics);
        for ((listener, status), count) in &self.net.responses {
            let is_for_metrics = Some(*listener) == self.metrics_listener;
            let door = if is_for_metrics { "figures" } else { listener_name(*listener) };
            let labels = [("door", door), ("status", &*status.to_string())];
            metrics.counter("stileroute_answers_total", "Answers by door and status.", &labels, *count);
        }
    }

    fn write_session_metrics(&self, metrics: &mut Exposition) {
        let (now, session) = (self.net.now(), &self.session);
        let is_fresh = self.has_fresh_session();
        let session_age = if is_fresh { now.saturating_sub(session.established_at) } else { 0 };
        // Without any update so far, the age counts from the start of the process.
        let update_age =
            if session.last_update_at == 0 { now } else { now.saturating_sub(session.last_update_at) };
        let help = "1: control nodes answer; 0: nothing is heard.";
        metrics.gauge("stileroute_control_heard", help, &[], u8::from(is_fresh));
        let help = "Age of the session with a control node.";
        metrics.gauge("stileroute_session_seconds", help, &[], seconds(session_age));
        let help = "Since a control node answered.";
        metrics.gauge("stileroute_news_age_seconds", help, &[], seconds(update_age));
        let help = "Sessions that ended unasked.";
        metrics.counter("stileroute_sessions_lost_total", help, &[], session.losses);
    }

    fn write_link_metrics(&self, metrics: &mut Exposition) {
        for role in [NodeRole::Control, NodeRole::Store, NodeRole::Edge] {
            let (class, count) = (role.to_string(), self.links.nodes_with_role(role).len());
            let help = "Connections with other processes, by class.";
            metrics.gauge("stileroute_links", help, &[("class", &class)], count);
        }
        let help = "Frames that could not be read.";
        metrics.counter("stileroute_links_unread_total", help, &[], self.links.undecodable_frames);
        let zone = |is_far: bool| if is_far { "other" } else { "own" };
        for (kind, sent) in &self.links.sent {
            let labels = [("about", kind.category), ("zone", zone(kind.crosses_zones))];
            let help = "Frames to other processes, by what they are about.";
            metrics.counter("stileroute_said_total", help, &labels, sent.frames);
        }
        for (kind, sent) in &self.links.sent {
            let labels = [("about", kind.category), ("zone", zone(kind.crosses_zones))];
            let help = "Bytes to other processes, by what they are about.";
            metrics.counter("stileroute_said_bytes_total", help, &labels, sent.bytes);
        }
    }

    fn write_connection_metrics(&self, metrics: &mut Exposition) {
        let net = &self.net;
        metrics.counter("stileroute_turns_total", "Turns of the loop: wake-ups.", &[], net.poll_count);
        let help = "Open connections of all kinds.";
        metrics.gauge("stileroute_connections", help, &[], net.open_connections());
        let help = "Connections opened to executors and receivers.";
        metrics.counter("stileroute_connections_opened_total", help, &[], net.connections_opened);
        let help = "Requests lost on a connection that had been idle.";
        metrics.counter("stileroute_connections_lost_total", help, &[], net.idle_connections_lost);
        let help = "Connections for which there was no room.";
        metrics.counter("stileroute_connections_refused_total", help, &[], net.connections_rejected);
        let help = "Requests and frames that made no sense.";
        metrics.counter("stileroute_garbled_total", help, &[], net.malformed_inputs);
    }
}

/// A member of the system as it appears in reports.
pub fn member_as_json(member: &Member) -> JsonValue {
    jzon::object! {
        "node" => member.name.clone(),
        "class" => member.role.to_string(),
        "zone" => member.zone.clone(),
        "ip" => member.ip.to_string(),
        "version" => member.config_version,
    }
}

/// Writes the disk metrics, for roles that have a disk.
pub fn disk_metrics(metrics: &mut Exposition, statistics: &Statistics) {
    let counts = [
        ("records", statistics.records),
        ("bytes", statistics.bytes),
        ("syncs", statistics.syncs),
        ("failures", statistics.failures),
        ("checkpoints", statistics.checkpoints),
    ];
    for (what, count) in counts {
        metrics.counter("stileroute_disk_total", "What was done on the disk.", &[("what", what)], count);
    }
}
