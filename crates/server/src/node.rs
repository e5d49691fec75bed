//! What every role has: its settings, its loop, its links, its session with a control node, and how it is told to end.

use crate::inquiry::Inquiry;
use crate::links::{LinkEvent, Links};
use crate::net::{Event, Millis, Net, RequestLimits};
use crate::protocol::{
    Frame, Member, MembershipUpdate, NodeRole, PeerInfo, RetirementState, PROTOCOL_VERSION,
};
use crate::settings;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use stileroute_config::{Config, NodeSettings, ZoneDistance};
use stileroute_queue::Node;

/// Time of day in ms.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// A number that no other start of any process has.
pub fn random_seed() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u64(wall_clock_ms());
    hasher.finish()
}

/// A node's number, from its name.
pub fn node_id(name: &str) -> Node {
    (stileroute_dispatch::types::mark(name) >> 32) as Node
}

/// What depends on who is connected is looked at so often, and when somebody comes or goes.
const AROUND: Millis = 250;

pub struct NodeRuntime {
    pub boot: NodeSettings,
    pub net: Net,
    pub links: Links,
    pub waker: Arc<mio::Waker>,
    pub session: Session,
    pub config: Option<Arc<Config>>,
    /// What operators want to know: answered by the role at the end of its turn.
    pub inquiries: Vec<Inquiry>,
    /// The listener for figures, where one is open.
    pub metrics_listener: Option<usize>,
    stirred: bool,
    stirred_at: Millis,
    ready: bool,
    boot_path: PathBuf,
    term: Arc<AtomicBool>,
    hup: Arc<AtomicBool>,
    pub draining_since: Option<Millis>,
}

/// The session with a control node: who it is, and what it has told.
pub struct Session {
    /// Control nodes by address, as far as known.
    pub controls: Vec<(SocketAddrV4, String)>,
    pub control_node: Option<Node>,
    /// The one that answered last, and since when it is this one.
    stands: Option<Node>,
    pub established_at: Millis,
    /// Whether this node, a store, is to be emptied: its control node is told with each question.
    retiring: RetirementState,
    /// One that said that it is cut off, and until when others are asked first.
    shunned: Vec<(Node, Millis)>,
    asked: Option<Millis>,
    /// When one last answered.
    pub last_update_at: Millis,
    /// What was said last of that.
    hears: bool,
    life: u64,
    version: u64,
    pub members: Vec<Member>,
    pub losses: u64,
}

impl NodeRuntime {
    pub fn start(boot: NodeSettings, boot_path: &Path, class: NodeRole) -> miette::Result<NodeRuntime> {
        let most = (boot.resources.max_open_files.saturating_sub(260)).clamp(64, 60_000) as usize;
        let (mut net, waker) = Net::new(most).map_err(|e| miette::miette!("event loop: {e}"))?;
        let (term, hup) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        for (signal, flag) in [(libc::SIGTERM, &term), (libc::SIGINT, &term), (libc::SIGHUP, &hup)] {
            signal_hook::flag::register(signal, Arc::clone(flag))
                .map_err(|e| miette::miette!("signal: {e}"))?;
        }
        let hello = PeerInfo {
            protocol_version: PROTOCOL_VERSION,
            node: node_id(&boot.node_name),
            name: boot.node_name.clone(),
            role: class,
            zone: boot.zone.clone(),
            ip: boot.ip,
            incarnation: random_seed(),
            control_address: boot.control_address,
        };
        let links = Links::new(hello, (boot.internal_ports.first, boot.internal_ports.last));
        let own = links.listen_address(boot.ip, class);
        net.listen_peers(own).map_err(|e| miette::miette!("internal address {own}: {e}"))?;
        let metrics_listener = match boot.metrics_address {
            None => None,
            Some(at) => Some(
                net.listen_http(at, RequestLimits { max_body_bytes: 0, ..RequestLimits::default() })
                    .map_err(|e| miette::miette!("bind_addresses.figures: {at}: {e}"))?,
            ),
        };
        let controls = boot.seeds.iter().map(|seed| (*seed, String::new())).collect();
        let session = Session {
            controls,
            control_node: None,
            stands: None,
            established_at: 0,
            retiring: RetirementState::NotRetiring,
            shunned: Vec::new(),
            asked: None,
            last_update_at: 0,
            hears: false,
            life: 0,
            version: 0,
            members: Vec::new(),
            losses: 0,
        };
        let common = NodeRuntime {
            boot,
            net,
            links,
            waker,
            session,
            config: None,
            inquiries: Vec::new(),
            metrics_listener,
            stirred: true,
            stirred_at: 0,
            ready: false,
            boot_path: boot_path.to_path_buf(),
            term,
            hup,
            draining_since: None,
        };
        Ok(common)
    }

    /// One turn of the loop; words of links and events of the net are told apart.
    pub fn poll(&mut self, until: Millis) -> (Vec<LinkEvent>, Vec<Event>) {
        let until = until.min(self.links.next_deadline()).min(self.session_next());
        // A signal interrupts the wait; one that came just before it is seen at the latest then.
        let until = until.min(self.net.now() + 250);
        let happened = self.net.poll(until);
        let (mut link_events, mut events) = (Vec::new(), Vec::new());
        for event in happened {
            events.extend(self.links.handle_event(&mut self.net, event, &mut link_events));
        }
        link_events.extend(self.links.tick(&mut self.net));
        let moved = |link_event: &LinkEvent| {
            matches!(
                link_event,
                LinkEvent::Up(_)
                    | LinkEvent::Down(..)
                    | LinkEvent::Received(_, NodeRole::Control, Frame::Update(_))
            )
        };
        self.stirred |= link_events.iter().any(moved);
        self.extract_inquiries(&mut link_events, &mut events);
        if self.hup.swap(false, Ordering::Relaxed) {
            self.reread();
        }
        (link_events, events)
    }

    /// Whether it may have changed with whom this node is to be connected: somebody came or went, or a control node said
    /// something. Now and then all the same, for what is due by time alone. Reckoned anew in every turn it was a fifth of an
    /// edge's work.
    pub fn take_topology_change(&mut self) -> bool {
        let now = self.net.now();
        let due = now >= self.stirred_at;
        let stirred = std::mem::take(&mut self.stirred) || due;
        if stirred {
            self.stirred_at = now + AROUND;
        }
        stirred
    }

    /// The process has been told to end; true once.
    pub fn take_shutdown_request(&mut self) -> bool {
        if self.draining_since.is_none() && self.term.load(Ordering::Relaxed) {
            self.draining_since = Some(self.net.now());
            tracing::info!("told to end");
            return true;
        }
        false
    }

    /// An edge was asked whether it is ready; what has changed is logged.
    pub fn set_ready(&mut self, ready: bool) -> bool {
        if self.ready != ready {
            tracing::info!(ready, "readiness");
        }
        self.ready = ready;
        ready
    }

    /// The settings file has changed: what can change while a process lives is taken, whole or not at all.
    fn reread(&mut self) {
        match settings::read(&self.boot_path, self.links.local().role) {
            Ok(boot) if boot.ip == self.boot.ip && boot.node_name == self.boot.node_name => {
                for seed in &boot.seeds {
                    if !self.session.controls.iter().any(|(c, _)| c == seed) {
                        self.session.controls.push((*seed, String::new()));
                    }
                }
                self.boot.bounds = boot.bounds;
                self.boot.fault_tolerance = boot.fault_tolerance;
                tracing::info!("settings read again");
            }
            Ok(_) => tracing::warn!("settings name another node: not taken"),
            Err(faults) => {
                for fault in &faults.faults {
                    tracing::warn!("{fault}");
                }
            }
        }
    }

    // ---- The session ----

    fn session_next(&self) -> Millis {
        self.session.asked.map_or(self.net.now() + 100, |at| at + 2000)
    }

    /// Keeps up a session with one control node, of the own zone where one is there, and asks it for news.
    pub fn maintain_session(&mut self) {
        let now = self.net.now();
        let late = self.session.asked.is_some_and(|at| now > at + 2000);
        if self.session.control_node.is_some_and(|with| late || !self.links.is_up(with)) {
            self.session.control_node = None;
            self.session.asked = None;
            self.session.losses += 1;
            if self.session.stands.take().is_some() {
                tracing::warn!("the control node does not answer");
            }
        }
        if self.session.control_node.is_none() {
            self.session.shunned.retain(|(_, until)| now < *until);
            let shunned = |node: Node| {
                self.session.shunned.iter().find(|(n, _)| *n == node).map_or(0, |(_, until)| *until)
            };
            let mut all: Vec<(Millis, ZoneDistance, u32, Node)> = self
                .links
                .peers(NodeRole::Control)
                .map(|h| {
                    let lot = h.node.rotate_left(self.links.local().node & 31);
                    (shunned(h.node), self.boot.distance_to(&h.zone), lot, h.node)
                })
                .collect();
            all.sort_unstable();
            self.session.control_node = all.first().map(|(.., node)| *node);
            if self.session.control_node.is_some() {
                self.ask();
            }
        }
        let hears = self.has_fresh_session();
        if hears != std::mem::replace(&mut self.session.hears, hears) {
            match hears {
                true => tracing::info!("hears the control nodes"),
                false => tracing::warn!("hears nothing of the control nodes: goes on with what it knows"),
            }
        }
    }

    /// Control nodes to be connected with: those of the own zone while one of them is there, else all that are known.
    pub fn control_dial_targets(&self) -> Vec<SocketAddrV4> {
        let zone = &self.boot.zone;
        let known = &self.session.controls;
        let near: Vec<SocketAddrV4> = known.iter().filter(|(_, z)| z == zone).map(|(c, _)| *c).collect();
        let good = |node: &Node| !self.session.shunned.iter().any(|(shunned, _)| shunned == node);
        let near_up =
            near.iter().any(|c| self.links.node_at_control_address(*c).is_some_and(|node| good(&node)));
        let chosen = if near_up { near } else { known.iter().map(|(c, _)| *c).collect() };
        chosen.into_iter().map(|c| self.links.listen_address(*c.ip(), NodeRole::Control)).collect()
    }

    /// Tells its control node at once.
    pub fn report_retirement(&mut self, retiring: RetirementState) {
        if std::mem::replace(&mut self.session.retiring, retiring) != retiring {
            tracing::info!(%retiring, "retirement");
            self.ask();
        }
    }

    fn ask(&mut self) {
        let Some(with) = self.session.control_node else { return };
        let config = self.config.as_ref().map_or(0, |c| c.revision);
        let retiring = self.session.retiring;
        let ask = Frame::UpdateRequest {
            incarnation: self.session.life,
            version: self.session.version,
            config_version: config,
            retirement: retiring,
        };
        if self.links.send(&mut self.net, with, &ask) {
            self.session.asked = Some(self.net.now());
        }
    }

    /// News came: a new configuration, if there is one, is read and given back.
    pub fn apply_update(&mut self, from: Node, news: &MembershipUpdate) -> Option<Arc<Config>> {
        if self.session.control_node != Some(from) {
            return None;
        }
        let now = self.net.now();
        if news.is_partitioned {
            // It may be the only one that can be reached: then it is asked again, but nothing counts as heard.
            self.session.shunned.push((from, now + 1500));
            self.session.control_node = None;
            self.session.asked = None;
            return None;
        }
        self.session.last_update_at = now;
        if self.session.stands.replace(from) != Some(from) {
            self.session.established_at = now;
            let node = self.links.peer(from).map_or("", |hello| hello.name.as_str());
            tracing::info!(node, "session with a control node");
        }
        (self.session.life, self.session.version) = (news.incarnation, news.version);
        if let Some(members) = &news.members {
            self.session.members = members.clone();
            for member in members.iter().filter(|m| m.role == NodeRole::Control) {
                let Some(control) = member.control_address else { continue };
                self.session.controls.retain(|(c, _)| *c != control);
                self.session.controls.push((control, member.zone.clone()));
            }
        }
        let mut new = None;
        if let Some(body) = &news.config {
            match Config::parse(body) {
                // Never back to an older one within a life.
                Ok(config) if self.config.as_ref().is_none_or(|old| config.revision > old.revision) => {
                    let config = Arc::new(config);
                    self.config = Some(Arc::clone(&config));
                    tracing::info!(version = config.revision, "configuration in force");
                    new = Some(config);
                }
                Ok(_) => {}
                Err(faults) => tracing::error!(%faults, "a configuration that can't be read"),
            }
        }
        self.ask();
        new
    }

    /// The session stands: a control node answered not long ago.
    pub fn has_fresh_session(&self) -> bool {
        self.session.last_update_at > 0 && self.net.now() < self.session.last_update_at + 2500
    }
}
