//! The nodes of a day as processes: each with its configuration, what it keeps, and where its operators call. They are
//! started side by side, for hundreds come back at the same moment.

use super::keeps::Kept;
use super::machine::{look, Process};
use super::world::locked;
use crate::plan::{Plan, What};
use crate::random::generator;
use crate::settings::settings;
use crate::stand::{NodeProcess, Signal};
use rand::RngExt;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A process, and where its operators call where they may.
pub struct Running {
    pub process: NodeProcess,
    pub admin: Option<SocketAddr>,
}

/// All that a start of a node needs, apart from the stage, so that many start at once.
pub struct Birth {
    binary: PathBuf,
    config: String,
    operator: Option<String>,
    env: Vec<(&'static str, String)>,
    /// The clients' listener, where it is handed in.
    listener: Option<OwnedFd>,
    /// No file of it may be longer than this.
    longest_file: Option<u64>,
    ready: SocketAddr,
    keep: bool,
}

pub struct Nodes {
    plan: Plan,
    seed: u64,
    binary: PathBuf,
    home: Option<PathBuf>,
    pub kept: Vec<Kept>,
    /// Where each finds discovery.
    pub discovery: Vec<SocketAddr>,
    /// By node, the addresses of all where they talk.
    pub peers: Vec<Vec<String>>,
    /// By node, where it hears other members and where they find it.
    pub members: Vec<(SocketAddr, SocketAddr)>,
    /// The clients' listener of each, where processes take each other's place.
    listeners: Vec<TcpListener>,
    /// No room is left for what it keeps.
    full: Vec<bool>,
    pub all: Vec<Option<Running>>,
    /// The process that another has just taken the place of.
    pub before: Vec<Option<Running>>,
    /// Where clients find it.
    pub at: Vec<SocketAddr>,
    /// Lines of processes that are gone.
    pub old_logs: Vec<String>,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.all.clear();
        self.before.clear();
        self.kept.clear();
        if let Some(home) = &self.home {
            let _ = std::fs::remove_dir_all(home);
        }
    }
}

impl Nodes {
    pub fn new(plan: &Plan, seed: u64, binary: &Path) -> Result<Nodes, String> {
        static NUMBER: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let count = plan.nodes.count;
        let (mut home, mut kept) = (None, Vec::new());
        if plan.nodes.keep {
            let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let place = std::env::temp_dir().join(format!("stileroute-day-{}-{number}", std::process::id()));
            std::fs::create_dir(&place).map_err(|error| format!("{}: {error}", place.display()))?;
            kept = (0..count).map(|node| Kept::new(&place, node)).collect::<Result<_, _>>()?;
            home = Some(place);
        }
        let mut listeners = Vec::new();
        if plan.fault.iter().any(|fault| fault.what == What::NodeReplaced) {
            for _ in 0..count {
                listeners
                    .push(TcpListener::bind("127.0.0.1:0").map_err(|error| format!("listener: {error}"))?);
            }
        }
        Ok(Nodes {
            plan: plan.clone(),
            seed,
            binary: binary.to_path_buf(),
            home,
            kept,
            discovery: Vec::new(),
            peers: Vec::new(),
            members: Vec::new(),
            listeners,
            full: vec![false; count],
            all: (0..count).map(|_| None).collect(),
            before: (0..count).map(|_| None).collect(),
            at: Vec::new(),
            old_logs: Vec::new(),
        })
    }

    /// What the next start of a node needs.
    pub fn birth(&self, node: usize) -> Result<Birth, String> {
        let plan = &self.plan;
        let listener = match self.listeners.get(node) {
            Some(listener) => Some(listener.try_clone().map_err(|error| format!("listener: {error}"))?),
            None => None,
        };
        let known = listener.as_ref().and_then(|listener| listener.local_addr().ok());
        let at = known.or(self.at.get(node).copied()).unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let mut config = json!({
            "name": format!("n{node}"),
            "listen": at.to_string(),
            "discovery": self.discovery[node].to_string(),
            "seed": format!("{:016x}", generator(self.seed, 1000 + node as u64).random::<u64>()),
            "limits": {"sockets": plan.nodes.sockets, "memory_mb": plan.nodes.memory_mb},
            "known": {"index": 0, "snapshot": true, "endpoints": []},
            "settings": settings(plan, node),
        });
        if let Some(peers) = self.peers.get(node) {
            config["peers"] = json!({ "nodes": peers });
        }
        let mut env = Vec::new();
        if let Some(kept) = self.kept.get(node) {
            config["admin_addr"] = json!("127.0.0.1:0");
            env.push(("TMPDIR", kept.folder.display().to_string()));
        }
        Ok(Birth {
            binary: self.binary.clone(),
            config: config.to_string(),
            operator: self.operator(node),
            env,
            listener: listener.map(OwnedFd::from),
            longest_file: self.full[node].then_some(0),
            ready: at,
            keep: plan.nodes.keep,
        })
    }

    /// A node's operators' file: the plan's, with a section of its own where it keeps membership.
    fn operator(&self, node: usize) -> Option<String> {
        let own = self.plan.operator.clone();
        let Some((listen, advertise)) = self.members.get(node) else { return own };
        let seeds: Vec<String> = self.members.iter().take(3).map(|(_, at)| format!("\"{at}\"")).collect();
        Some(format!(
            "{}\n[members]\nlisten = \"{listen}\"\nadvertise = \"{advertise}\"\nseeds = [{}]\nevery = \"{}ms\"\nall = true\n",
            own.unwrap_or_default(),
            seeds.join(", "),
            self.plan.nodes.members_ms.round()
        ))
    }

    pub fn signal(&self, node: usize, signal: Signal) -> Result<(), String> {
        self.all[node].as_ref().ok_or("is gone already")?.process.signal(signal)
    }

    /// Ends a process at once; what it logged is kept. `then` is done when it is gone.
    pub fn kill(&mut self, node: usize, then: impl FnOnce() + Send + 'static) {
        let gone = [self.all[node].take(), self.before[node].take()];
        gone.iter().flatten().for_each(|running| self.remember(running));
        Nodes::clear_away(gone.into(), then);
    }

    pub fn bury(&mut self, running: Running) {
        self.remember(&running);
        Nodes::clear_away(vec![Some(running)], || {});
    }

    /// Waiting for its end and removing its files takes a busy machine long, and the day goes on meanwhile.
    fn clear_away(gone: Vec<Option<Running>>, then: impl FnOnce() + Send + 'static) {
        gone.iter().flatten().for_each(|running| drop(running.process.signal(Signal::SIGKILL)));
        std::thread::spawn(move || {
            drop(gone);
            then();
        });
    }

    fn remember(&mut self, running: &Running) {
        let room = 20_000usize.saturating_sub(self.old_logs.len());
        self.old_logs.extend(locked(&running.process.log).iter().take(room).cloned());
    }

    /// No room is left for what it keeps, or there is again; holds for what runs and for what is started.
    pub fn fill(&mut self, node: usize, full: bool) -> Result<(), String> {
        self.full[node] = full;
        match &self.all[node] {
            Some(running) => running.process.bound_files(full.then_some(0)),
            None => Ok(()),
        }
    }

    /// Every line that a process of this day has logged.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = self.old_logs.clone();
        for running in self.all.iter().chain(&self.before).flatten() {
            lines.extend(locked(&running.process.log).iter().cloned());
        }
        lines
    }
}

/// Looks at some processes.
pub fn look_at(pids: &[u32]) -> Vec<Process> {
    pids.iter().filter_map(|pid| look(*pid)).collect()
}

impl Birth {
    /// Starts the process and waits until it takes clients.
    pub async fn born(self) -> Result<Running, String> {
        let (mut ready, keep) = (self.ready, self.keep);
        let started =
            tokio::task::spawn_blocking(move || self.start()).await.map_err(|error| error.to_string())?;
        let process = started?;
        let mut admin = None;
        if keep {
            for _ in 0..400 {
                admin = process.said(" call at ").and_then(|at| at.parse().ok());
                if admin.is_some() {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        if ready.port() == 0 {
            ready = process.at;
        }
        // Where a listener is handed in another process may answer there: only its own operators' address tells.
        match admin {
            Some(at) => until_ready(at, "/ready").await?,
            None => until_ready(ready, "/-/ready").await?,
        }
        Ok(Running { process, admin })
    }

    fn start(self) -> Result<NodeProcess, String> {
        let file = self.listener;
        NodeProcess::with(
            &self.binary,
            &self.config,
            self.operator.as_deref(),
            &self.env,
            file,
            self.longest_file,
        )
    }
}

/// Asks for readiness until it is told.
async fn until_ready(at: SocketAddr, path: &str) -> Result<(), String> {
    let text = format!("GET {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n");
    for _ in 0..2000 {
        if let Ok(mut stream) = TcpStream::connect(at).await {
            let mut bytes = [0; 64];
            if stream.write_all(text.as_bytes()).await.is_ok() {
                let read = stream.read(&mut bytes).await.unwrap_or(0);
                if bytes[..read].starts_with(b"HTTP/1.1 200") {
                    return Ok(());
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Err(format!("the node at {at} is not ready after 20 s"))
}

/// What nodes say of membership at the end of a day: of each figure the sum, the least and the most over those that answer.
pub async fn members_say(calls: Vec<SocketAddr>) -> BTreeMap<String, (u64, u64, u64)> {
    let mut all: BTreeMap<String, (u64, u64, u64)> = BTreeMap::new();
    for at in calls {
        let call = async {
            let mut stream = TcpStream::connect(at).await.ok()?;
            stream
                .write_all(b"GET /metrics HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n")
                .await
                .ok()?;
            let mut text = String::new();
            stream.read_to_string(&mut text).await.ok()?;
            Some(text)
        };
        let Ok(Some(text)) = tokio::time::timeout(Duration::from_secs(2), call).await else { continue };
        for line in text.lines() {
            let figure = line.strip_prefix("svc_members_").and_then(|line| line.split_once(' '));
            let Some((name, value)) = figure.and_then(|(name, value)| Some((name, value.parse().ok()?)))
            else {
                continue;
            };
            let sum = all.entry(name.to_string()).or_insert((0, u64::MAX, 0));
            *sum = (sum.0 + value, sum.1.min(value), sum.2.max(value));
        }
    }
    all
}

/// An operators' call; whether the answer was a yes.
pub async fn operators_call(at: SocketAddr, path: &str) -> bool {
    let call = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        let text =
            format!("PUT {path} HTTP/1.1\r\nHost: rig\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut bytes = [0; 64];
        let read = stream.read(&mut bytes).await.ok()?;
        bytes[..read].starts_with(b"HTTP/1.1 200").then_some(())
    };
    tokio::time::timeout(Duration::from_secs(2), call).await.ok().flatten().is_some()
}
