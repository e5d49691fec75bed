//! The node's settings: read, checked and given defaults only in this module.

use super::budget::{Budget, BudgetError};
use crate::wire::discovery::EndpointList;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use std::time::Duration;
use stileroute_dispatch::settings::PostedSettings;
use stileroute_dispatch::types::{DispatchSettings, Effect, Time};
use thiserror::Error;

/// All settings with which the node starts.
pub struct NodeSettings {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The descriptor of an inherited listener for clients; it takes precedence over `listen`.
    pub inherited_descriptor: Option<RawFd>,
    /// The folder shared by all processes of this node, if there is one.
    pub state_dir: Option<PathBuf>,
    /// The address of the admin server, if it is enabled.
    pub admin_address: Option<SocketAddr>,
    pub seed: u64,
    pub budget: Budget,
    pub known: EndpointList,
    pub tariff: DispatchSettings,
    /// Addresses of all nodes by number; `None` if they exchange no messages.
    pub peers: Option<Vec<SocketAddr>>,
    /// The settings permit messages among instances.
    pub peers_allowed: bool,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Executors prepare themselves for the name in the last path segment of an op, and keep it for a
    /// while.
    pub set_up_by_path: bool,
    pub request_rules: RequestRules,
    pub categories: Vec<String>,
    pub domains: Vec<String>,
    pub kinds: Vec<String>,
    pub gauges: Vec<String>,
    /// Time limit for opening a connection, and for keeping an idle one.
    pub connect_timeout: Duration,
    pub idle_timeout: Duration,
    /// Time from the shutdown signal until all ops must be answered, in ticks of 100 µs.
    pub grace: Time,
}

/// What a request is checked against before it is accepted.
#[derive(Clone)]
pub struct RequestRules {
    /// The categories by name.
    pub categories: HashMap<String, CategoryRules>,
    /// Retry-after time if the node itself is full, in ticks of 100 µs; zero if no such advice may be given.
    pub retry_after: Time,
}

/// The requirements on requests of one category.
#[derive(Clone, Debug, PartialEq)]
pub struct CategoryRules {
    pub position: usize,
    /// The request needs an idempotency key.
    pub requires_key: bool,
    pub ttl: Time,
}

#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin_addr: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    known: Option<EndpointList>,
    peers: Option<Peers>,
    #[serde(default)]
    set_up_by_path: bool,
    settings: PostedSettings,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Peers {
    nodes: Vec<String>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

/// Defaults for times that the settings omit, in ticks of 100 µs.
const DEFAULT_CONNECT_TIMEOUT: Time = 10_000;
const DEFAULT_IDLE_TIMEOUT: Time = 600_000;
/// The grace period from the shutdown signal to the kill is the longest TTL, at most MAX_GRACE_TTL, plus
/// GRACE_MARGIN.
const MAX_GRACE_TTL: Time = 30_000;
const GRACE_MARGIN: Time = 7_000;
/// Upper limit of the retry-after time if the node is full: a client slot is free again soon.
const MAX_RETRY_AFTER: Time = 2_000;

/// Why the node does not start: one line that names the invalid key.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("BALANCER_CONFIG is not set")]
    NoConfiguration,
    #[error("BALANCER_CONFIG: {path}: {source}")]
    Unreadable { path: String, source: std::io::Error },
    /// A key of the configuration file is missing or has a value of the wrong type.
    #[error("{key}: {source}")]
    Malformed { key: String, source: serde_json::Error },
    #[error("{key}: missing, and {variable} is not set")]
    NoAddress { key: &'static str, variable: &'static str },
    #[error("{key}: not an address with a port: {text}")]
    NotAnAddress { key: String, text: String },
    #[error("admin_addr: {0} is the address of 'listen'")]
    SharedAddress(SocketAddr),
    #[error("BALANCER_PASSED_SOCKET: not the number of a descriptor: {0}")]
    NotADescriptor(String),
    #[error("seed: not hex digits: {0}")]
    SeedNotHexadecimal(String),
    /// A message from the dispatcher about its settings.
    #[error("settings.{0}")]
    Settings(String),
    #[error("peers: settings.caps.peers does not allow messages")]
    PeersNotAllowed,
    #[error("peers.nodes: {given} addresses where settings.balancers says {expected}")]
    PeerCount { given: usize, expected: usize },
    #[error("peers.nodes[{index}]: '{text}' is given twice")]
    RepeatedPeer { index: usize, text: String },
    #[error("settings.categories[{0}].name: missing")]
    UnnamedCategory(usize),
    #[error("settings.categories[{index}].name: '{name}' is given twice")]
    RepeatedCategory { index: usize, name: String },
    #[error("settings.categories: empty")]
    NoCategories,
    #[error(transparent)]
    Budget(#[from] BudgetError),
}

/// Reads the environment and the file that it names. An error is one line with the invalid key.
pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<NodeSettings, StartError> {
    check(&load(&var)?, var, false)
}

/// Reads the file again while the node runs. A file with any fault is rejected as a whole.
pub fn reload(var: impl Fn(&str) -> Option<String>) -> Result<NodeSettings, StartError> {
    check(&load(&var)?, var, true)
}

fn load(var: impl Fn(&str) -> Option<String>) -> Result<String, StartError> {
    let path = var("BALANCER_CONFIG").ok_or(StartError::NoConfiguration)?;
    std::fs::read_to_string(&path).map_err(|source| StartError::Unreadable { path, source })
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, StartError> {
    text.parse().map_err(|_| StartError::NotAnAddress { key: key.to_string(), text: text.to_string() })
}

/// Parses one address per node. The settings must permit messages and say which node this is.
fn parse_peers(peers: &Peers, tariff: &DispatchSettings) -> Result<Vec<SocketAddr>, StartError> {
    if !tariff.terms.peers {
        return Err(StartError::PeersNotAllowed);
    }
    if peers.nodes.len() != tariff.terms.nodes {
        return Err(StartError::PeerCount { given: peers.nodes.len(), expected: tariff.terms.nodes });
    }
    let mut nodes = Vec::with_capacity(peers.nodes.len());
    for (index, text) in peers.nodes.iter().enumerate() {
        let node = parse_address(&format!("peers.nodes[{index}]"), text)?;
        if nodes.contains(&node) {
            return Err(StartError::RepeatedPeer { index, text: text.clone() });
        }
        nodes.push(node);
    }
    Ok(nodes)
}

/// Parses and checks the settings. `is_reload`: the file is newer than the environment, so its discovery
/// address takes precedence.
pub fn check(
    text: &str,
    var: impl Fn(&str) -> Option<String>,
    is_reload: bool,
) -> Result<NodeSettings, StartError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let file: ConfigFile = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        StartError::Malformed { key: error.path().to_string(), source: error.into_inner() }
    })?;
    let address = |variable: &'static str, key: &'static str, value: Option<String>, file_first: bool| {
        let from_environment = var(variable).map(|value| (variable, value));
        let from_file = value.map(|value| (key, value));
        let found = if file_first { from_file.or(from_environment) } else { from_environment.or(from_file) };
        let (key, value) = found.ok_or(StartError::NoAddress { key, variable })?;
        parse_address(key, &value)
    };
    let listen = address("BALANCER_LISTEN", "listen", file.listen, false)?;
    let admin_address = match (var("BALANCER_ADMIN_ADDR"), &file.admin_addr) {
        (None, None) => None,
        _ => Some(address("BALANCER_ADMIN_ADDR", "admin_addr", file.admin_addr, false)?),
    };
    // With port 0 the system chooses the port, so two such addresses differ.
    if admin_address.is_some_and(|address| address == listen && address.port() != 0) {
        return Err(StartError::SharedAddress(listen));
    }
    let inherited_descriptor = var("BALANCER_PASSED_SOCKET").map(|text| {
        // Descriptors 0 to 2 are the standard streams.
        let number = text.parse().ok().filter(|number: &RawFd| *number > 2);
        number.ok_or(StartError::NotADescriptor(text))
    });
    let inherited_descriptor = inherited_descriptor.transpose()?;
    let discovery = address("BALANCER_DISCOVERY", "discovery", file.discovery, is_reload)?;
    let seed = match &file.seed {
        Some(text) => {
            u64::from_str_radix(text, 16).map_err(|_| StartError::SeedNotHexadecimal(text.clone()))?
        }
        None => std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(1, |since| since.as_nanos() as u64),
    };
    let posted = file.settings;
    let mut tariff = posted.dispatch_settings().map_err(StartError::Settings)?;
    // On sockets the executor list always has to be requested.
    tariff.terms.subscribe = true;
    let peers = file.peers.map(|peers| parse_peers(&peers, &tariff)).transpose()?;
    let peers_allowed = tariff.terms.peers;
    // Without addresses of peers there are no nodes to send messages to.
    tariff.terms.peers = peers.is_some();
    let (mut categories, ttls) = (HashMap::new(), posted.ttls());
    for (position, name) in posted.categories().into_iter().enumerate() {
        if name.is_empty() {
            return Err(StartError::UnnamedCategory(position));
        }
        let requires_key = matches!(tariff.categories[position].effect, Effect::Deduplicated { .. });
        // If no TTL is set, only the client's time budget counts.
        let ttl = Some(ttls[position]).filter(|ttl| *ttl > 0).unwrap_or(Time::MAX);
        if categories.insert(name.clone(), CategoryRules { position, requires_key, ttl }).is_some() {
            return Err(StartError::RepeatedCategory { index: position, name });
        }
    }
    if categories.is_empty() {
        return Err(StartError::NoCategories);
    }
    let (connect_timeout, idle_limit) = posted.connection_times();
    // An idle connection is closed well before the executor would close it, possibly during a push.
    let idle_limit = if idle_limit > 0 { idle_limit / 2 } else { DEFAULT_IDLE_TIMEOUT / 2 };
    let to_duration = |time: Time| Duration::from_micros(time as u64 * 100);
    Ok(NodeSettings {
        name: var("BALANCER_NAME").or(file.name).unwrap_or_else(|| "stileroute".to_string()),
        listen,
        discovery,
        inherited_descriptor,
        admin_address,
        state_dir: var("TMPDIR").map(PathBuf::from),
        seed,
        budget: Budget::split(
            file.limits.sockets,
            file.limits.memory_mb,
            admin_address.is_some(),
            inherited_descriptor.is_some(),
        )?,
        known: file.known.unwrap_or(EndpointList { index: -1, is_snapshot: true, endpoints: Vec::new() }),
        peers,
        peers_allowed,
        tenants: posted.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        set_up_by_path: file.set_up_by_path,
        request_rules: RequestRules {
            categories,
            retry_after: tariff.terms.retry_after.min(MAX_RETRY_AFTER),
        },
        categories: posted.categories(),
        domains: posted.failure_domains.clone(),
        kinds: posted.shapes.clone(),
        gauges: posted.gauges(),
        connect_timeout: to_duration(if connect_timeout > 0 {
            connect_timeout
        } else {
            DEFAULT_CONNECT_TIMEOUT
        }),
        idle_timeout: to_duration(idle_limit),
        grace: ttls.into_iter().max().unwrap_or(0).min(MAX_GRACE_TTL) + GRACE_MARGIN,
        tariff,
    })
}
