//! What the node is told at start: read, checked and given defaults here and nowhere else.

use super::budget::{Budget, BudgetError};
use crate::wire::targets::List;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use std::time::Duration;
use stileroute_dispatch::settings::PostedSettings;
use stileroute_dispatch::types::{DispatchSettings, Effect, Time};
use thiserror::Error;

/// All that the node starts with.
pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The descriptor of a listener for clients that was handed in; it goes before `listen`.
    pub inherited: Option<RawFd>,
    /// The folder that all processes of this node share, if there is one.
    pub home: Option<PathBuf>,
    /// Where operators call, if anywhere.
    pub operators: Option<SocketAddr>,
    pub seed: u64,
    pub budget: Budget,
    pub known: List,
    pub tariff: DispatchSettings,
    /// Addresses of all nodes by number, where they send one another messages.
    pub peers: Option<Vec<SocketAddr>>,
    /// The settings allow messages among instances.
    pub may_talk: bool,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Executors set up for what the last part of an op's path names, and keep that a while.
    pub set_up_by_path: bool,
    pub door: Door,
    pub categories: Vec<String>,
    pub domains: Vec<String>,
    pub kinds: Vec<String>,
    pub gauges: Vec<String>,
    /// Longest wait for a connection, and how long an idle one is kept.
    pub dial: Duration,
    pub keep_idle: Duration,
    /// How long after the signal to end all must be answered.
    pub grace: Time,
}

/// What is asked of a request before it is taken.
#[derive(Clone)]
pub struct Door {
    /// Categories by name.
    pub categories: HashMap<String, Kind>,
    /// When to come back if the node itself is full; zero where no such advice may be given.
    pub retry_after: Time,
}

/// What a request of a category must keep to.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    pub at: usize,
    /// It needs a mark against repeats.
    pub marked: bool,
    pub ttl: Time,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin_addr: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    known: Option<List>,
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

/// Times that hold where the settings give none.
const DIAL: Time = 10_000;
const KEEP_IDLE: Time = 600_000;
/// From the signal to the kill: the longest TTL, this at most, and a little more.
const LONGEST_GRACE: Time = 30_000;
const AFTER_GRACE: Time = 7_000;
/// A seat is free again soon.
const COME_BACK: Time = 2_000;

/// Why the node does not start: one line, with the key that is wrong.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("BALANCER_CONFIG is not set")]
    NoConfiguration,
    #[error("BALANCER_CONFIG: {path}: {source}")]
    Unreadable { path: String, source: std::io::Error },
    /// A key is missing, or has a value of another type.
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
    /// What the dispatcher says of its settings.
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

/// Reads the environment and the file that it names. What is wrong is told in one line with its key.
pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Start, StartError> {
    check(&load(&var)?, var, false)
}

/// Reads the file again while the node runs, whole: a file with a fault anywhere is not taken.
pub fn again(var: impl Fn(&str) -> Option<String>) -> Result<Start, StartError> {
    check(&load(&var)?, var, true)
}

fn load(var: impl Fn(&str) -> Option<String>) -> Result<String, StartError> {
    let path = var("BALANCER_CONFIG").ok_or(StartError::NoConfiguration)?;
    std::fs::read_to_string(&path).map_err(|source| StartError::Unreadable { path, source })
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, StartError> {
    text.parse().map_err(|_| StartError::NotAnAddress { key: key.to_string(), text: text.to_string() })
}

/// The nodes' addresses, one for each; the settings must allow messages and tell which one this is.
fn addresses(peers: &Peers, tariff: &DispatchSettings) -> Result<Vec<SocketAddr>, StartError> {
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

/// `again`: the file is newer than the environment, so its address of discovery goes first.
pub fn check(text: &str, var: impl Fn(&str) -> Option<String>, again: bool) -> Result<Start, StartError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let file: File = serde_path_to_error::deserialize(&mut json).map_err(|error| StartError::Malformed {
        key: error.path().to_string(),
        source: error.into_inner(),
    })?;
    let address = |variable: &'static str, key: &'static str, value: Option<String>, file_first: bool| {
        let outer = var(variable).map(|value| (variable, value));
        let inner = value.map(|value| (key, value));
        let found = if file_first { inner.or(outer) } else { outer.or(inner) };
        let (key, value) = found.ok_or(StartError::NoAddress { key, variable })?;
        parse_address(key, &value)
    };
    let listen = address("BALANCER_LISTEN", "listen", file.listen, false)?;
    let operators = match (var("BALANCER_ADMIN_ADDR"), &file.admin_addr) {
        (None, None) => None,
        _ => Some(address("BALANCER_ADMIN_ADDR", "admin_addr", file.admin_addr, false)?),
    };
    // Ports that are drawn differ.
    if operators.is_some_and(|at| at == listen && at.port() != 0) {
        return Err(StartError::SharedAddress(listen));
    }
    let inherited = var("BALANCER_PASSED_SOCKET").map(|text| {
        // The first three are the standard streams.
        let number = text.parse().ok().filter(|number: &RawFd| *number > 2);
        number.ok_or(StartError::NotADescriptor(text))
    });
    let inherited = inherited.transpose()?;
    let discovery = address("BALANCER_DISCOVERY", "discovery", file.discovery, again)?;
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
    // On sockets the list always has to be asked for.
    tariff.terms.subscribe = true;
    let peers = file.peers.map(|peers| addresses(&peers, &tariff)).transpose()?;
    let may_talk = tariff.terms.peers;
    // Without a carrier there is nobody to tell.
    tariff.terms.peers = peers.is_some();
    let (mut categories, ttls) = (HashMap::new(), posted.ttls());
    for (at, name) in posted.categories().into_iter().enumerate() {
        if name.is_empty() {
            return Err(StartError::UnnamedCategory(at));
        }
        let marked = matches!(tariff.categories[at].effect, Effect::Deduplicated { .. });
        // Where none is told, the client's own time is all that counts.
        let ttl = Some(ttls[at]).filter(|ttl| *ttl > 0).unwrap_or(Time::MAX);
        if categories.insert(name.clone(), Kind { at, marked, ttl }).is_some() {
            return Err(StartError::RepeatedCategory { index: at, name });
        }
    }
    if categories.is_empty() {
        return Err(StartError::NoCategories);
    }
    let (dial, keep) = posted.connection_times();
    // An idle connection goes well before the executor would close it under a push.
    let keep = if keep > 0 { keep / 2 } else { KEEP_IDLE / 2 };
    let span = |time: Time| Duration::from_micros(time as u64 * 100);
    Ok(Start {
        name: var("BALANCER_NAME").or(file.name).unwrap_or_else(|| "stileroute".to_string()),
        listen,
        discovery,
        inherited,
        operators,
        home: var("TMPDIR").map(PathBuf::from),
        seed,
        budget: Budget::split(
            file.limits.sockets,
            file.limits.memory_mb,
            operators.is_some(),
            inherited.is_some(),
        )?,
        known: file.known.unwrap_or(List { index: -1, whole: true, endpoints: Vec::new() }),
        peers,
        may_talk,
        tenants: posted.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        set_up_by_path: file.set_up_by_path,
        door: Door { categories, retry_after: tariff.terms.retry_after.min(COME_BACK) },
        categories: posted.categories(),
        domains: posted.failure_domains.clone(),
        kinds: posted.shapes.clone(),
        gauges: posted.gauges(),
        dial: span(if dial > 0 { dial } else { DIAL }),
        keep_idle: span(keep),
        grace: ttls.into_iter().max().unwrap_or(0).min(LONGEST_GRACE) + AFTER_GRACE,
        tariff,
    })
}
