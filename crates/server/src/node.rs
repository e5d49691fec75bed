//! The runtime that every role has: the node's settings, the event loop, the connections with peers, the session with
//! a control node, and the signals by which operators control the process.

mod process_signals;
mod session;

pub use session::{log_configuration, Session};

use crate::inquiry::Inquiry;
use crate::links::{LinkEvent, Links};
use crate::net::{Event, ListenerId, Millis, Net, RequestLimits};
use crate::protocol::{Frame, NodeRole, PeerInfo, PROTOCOL_VERSION};
use crate::settings;
use process_signals::ProcessSignals;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use stileroute_config::{Config, NodeSettings};
use stileroute_queue::Node;

/// Interval at which [`NodeRuntime::take_topology_change`] returns true even without a change, for conditions that
/// depend on time alone.
const TOPOLOGY_CHECK_INTERVAL: Millis = 250;
/// Longest wait in one poll. A signal interrupts the wait; a signal that arrives just before the wait starts is
/// noticed after this time at the latest.
const MAX_POLL_WAIT: Millis = 250;
/// File descriptors that are reserved for uses other than connections: files, listeners and the poll.
const RESERVED_FILE_DESCRIPTORS: u64 = 260;
/// Lower and upper limit for the number of connections that the event loop has capacity for.
const CONNECTION_LIMIT_RANGE: (u64, u64) = (64, 60_000);

/// The wall-clock time in milliseconds since 1970.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Returns a random number that differs between starts of any process.
pub fn random_seed() -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u64(wall_clock_ms());
    hasher.finish()
}

/// A store's identifier, a hash of its name. Messages and records on disk refer to the store by it.
pub fn store_id(name: &str) -> Node {
    (stileroute_dispatch::types::name_hash(name) >> 32) as Node
}

/// A process's identifier. Two roles on one machine share the node name, so the role is part of the identifier of
/// every role but the store.
pub fn process_id(name: &str, role: NodeRole) -> Node {
    match role {
        NodeRole::Store => store_id(name),
        other => store_id(&format!("{name}/{other}")),
    }
}

/// Why a process can't start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum NodeStartError {
    /// The operating system does not provide a poll.
    #[error("event loop: {0}")]
    EventLoop(#[source] std::io::Error),
    /// A signal handler can't be installed.
    #[error("signal: {0}")]
    Signal(#[source] std::io::Error),
    /// The listen address for other processes of the system can't be bound.
    #[error("internal address {address}: {source}")]
    InternalAddress {
        /// The address that can't be bound.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// The result of [`NodeRuntime::poll`].
pub struct Polled {
    /// Changes of connections with peers, and the frames received from them.
    pub link_events: Vec<LinkEvent>,
    /// All other events of the event loop.
    pub events: Vec<Event>,
}

/// The parts of a process that are common to all roles.
pub struct NodeRuntime {
    /// The settings of this node.
    pub boot: NodeSettings,
    /// The event loop.
    pub net: Net,
    /// The connections with peers.
    pub links: Links,
    /// Wakes the event loop's poll from other threads.
    pub waker: Arc<mio::Waker>,
    /// The session with a control node.
    pub session: Session,
    /// The operators' configuration, once one has been received.
    pub config: Option<Arc<Config>>,
    /// Inquiries of operators that the role answers at the end of the current turn of its event loop.
    pub inquiries: Vec<Inquiry>,
    /// The listener for metrics, if there is one.
    pub metrics_listener: Option<ListenerId>,
    /// When the graceful shutdown began; `None` if no shutdown was requested.
    pub draining_since: Option<Millis>,
    has_topology_changed: bool,
    next_topology_check_at: Millis,
    /// The last result of an edge's readiness check.
    was_ready: bool,
    settings_path: PathBuf,
    signals: ProcessSignals,
}

impl NodeRuntime {
    /// Opens the listeners that all roles have, and installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound, or the operating system provides no poll or no signal handler.
    pub fn start(
        boot: NodeSettings,
        settings_path: &Path,
        role: NodeRole,
    ) -> Result<NodeRuntime, NodeStartError> {
        let (least, most) = CONNECTION_LIMIT_RANGE;
        let max_connections = boot.resources.max_open_files.saturating_sub(RESERVED_FILE_DESCRIPTORS);
        let max_connections = max_connections.clamp(least, most) as usize;
        let (mut net, waker) = Net::new(max_connections).map_err(NodeStartError::EventLoop)?;
        let signals = ProcessSignals::register().map_err(NodeStartError::Signal)?;
        let links =
            Links::new(local_peer_info(&boot, role), (boot.internal_ports.first, boot.internal_ports.last));
        let address = links.listen_address(boot.ip, role);
        net.listen_peers(address).map_err(|source| NodeStartError::InternalAddress { address, source })?;
        let metrics_listener = listen_for_metrics(&mut net, &boot);
        Ok(NodeRuntime {
            session: Session::new(&boot.seeds),
            boot,
            net,
            links,
            waker,
            config: None,
            inquiries: Vec::new(),
            metrics_listener,
            draining_since: None,
            has_topology_changed: true,
            next_topology_check_at: 0,
            was_ready: false,
            settings_path: settings_path.to_path_buf(),
            signals,
        })
    }

    /// Waits for an event or until the time `until`, and handles the events that are common to all roles.
    pub fn poll(&mut self, until: Millis) -> Polled {
        let until = until.min(self.links.next_deadline()).min(self.next_session_deadline());
        let until = until.min(self.net.now() + MAX_POLL_WAIT);
        let all_events = self.net.poll(until);
        let (mut link_events, mut events) = (Vec::new(), Vec::new());
        for event in all_events {
            events.extend(self.links.handle_event(&mut self.net, event, &mut link_events));
        }
        link_events.extend(self.links.tick(&mut self.net));
        self.has_topology_changed |= link_events.iter().any(may_change_topology);
        self.extract_inquiries(&mut link_events, &mut events);
        if self.signals.take_reload_request() {
            self.reload_settings();
        }
        Polled { link_events, events }
    }

    /// Whether the set of peers that this node should be connected with may have changed since the last call: a peer
    /// connected or disconnected, or a control node sent an update. It also returns true at regular intervals without
    /// a change. Computing that set in every turn of the event loop took a fifth of an edge's processor time.
    pub fn take_topology_change(&mut self) -> bool {
        let now = self.net.now();
        let is_check_due = now >= self.next_topology_check_at;
        let has_changed = std::mem::take(&mut self.has_topology_changed) || is_check_due;
        if has_changed {
            self.next_topology_check_at = now + TOPOLOGY_CHECK_INTERVAL;
        }
        has_changed
    }

    /// Whether a signal has requested a shutdown since the last call; returns true only once.
    pub fn take_shutdown_request(&mut self) -> bool {
        if self.draining_since.is_some() || !self.signals.is_shutdown_requested() {
            return false;
        }
        self.draining_since = Some(self.net.now());
        tracing::info!("shutdown requested");
        true
    }

    /// Logs a change of the readiness check's result, and returns the result.
    pub fn set_ready(&mut self, is_ready: bool) -> bool {
        if self.was_ready != is_ready {
            tracing::info!(ready = is_ready, "readiness");
        }
        self.was_ready = is_ready;
        is_ready
    }

    /// Reads the settings file again and applies the settings that can change while a process runs. If the file has
    /// any fault, none of it is applied.
    fn reload_settings(&mut self) {
        match settings::read(&self.settings_path, self.links.local().role) {
            Ok(boot) if boot.ip == self.boot.ip && boot.node_name == self.boot.node_name => {
                self.session.add_seeds(&boot.seeds);
                self.boot.bounds = boot.bounds;
                self.boot.fault_tolerance = boot.fault_tolerance;
                tracing::info!("settings reloaded");
            }
            Ok(_) => tracing::warn!("settings name another node: not reloaded"),
            Err(faults) => {
                for fault in &faults.faults {
                    tracing::warn!("{fault}");
                }
            }
        }
    }
}

fn local_peer_info(boot: &NodeSettings, role: NodeRole) -> PeerInfo {
    PeerInfo {
        protocol_version: PROTOCOL_VERSION,
        node: process_id(&boot.node_name, role),
        name: boot.node_name.clone(),
        role,
        zone: boot.zone.clone(),
        ip: boot.ip,
        incarnation: random_seed(),
        control_address: boot.control_address,
        confirms_departures: role == NodeRole::Control,
    }
}

/// Opens the listener for metrics if the settings name an address. If that fails the process runs without metrics,
/// since a node without metrics is better than no node.
fn listen_for_metrics(net: &mut Net, boot: &NodeSettings) -> Option<ListenerId> {
    let address = boot.metrics_address?;
    if let Some(key) = boot.key_of_address(address) {
        tracing::error!(%address, "no listener for metrics: the address is also that of {key}");
        return None;
    }
    let limits = RequestLimits { max_body_bytes: 0, ..RequestLimits::default() };
    match net.listen_http(address, limits) {
        Ok(listener) => Some(listener),
        Err(error) => {
            tracing::error!(%address, %error, "listener for metrics could not be opened; running without metrics");
            None
        }
    }
}

fn may_change_topology(link_event: &LinkEvent) -> bool {
    matches!(
        link_event,
        LinkEvent::Up(_) | LinkEvent::Down(..) | LinkEvent::Received(_, NodeRole::Control, Frame::Update(_))
    )
}
