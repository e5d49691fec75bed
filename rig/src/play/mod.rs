//! A day on sockets: the real program as processes, and the model behind real executors, discovery and clients.

pub mod clients;
pub mod discovery;
pub mod executors;
pub mod http;
pub mod middleman;
pub mod world;

use crate::faults::{Change, Weather};
use crate::fleet::{chance, ms, seconds, specs, Machine, Spec};
use crate::judge::Broken;
use crate::load::Source;
use crate::plan::{Plan, What};
use crate::report::{figures, Played};
use crate::settings::{domain_of_node, settings};
use crate::stand::NodeProcess;
use clients::Front;
use discovery::{Agent, Entry, Status};
use executors::Executor;
use middleman::Middleman;
use nix::sys::signal::Signal;
use rand::RngExt;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use stileroute::tariff::Time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, timeout};
use world::{locked, World};

/// What clocks and scheduling add to the limits of the rules on sockets.
pub const SLACK_MS: f64 = 50.0;

struct Stage {
    plan: Plan,
    seed: u64,
    binary: PathBuf,
    world: Arc<World>,
    specs: Vec<Spec>,
    executors: Vec<Arc<Executor>>,
    /// What the list says of each executor, and what it said before.
    listed: Vec<(Status, i64)>,
    before: Vec<(Time, Vec<(Status, i64)>)>,
    agents: Vec<Arc<Agent>>,
    discovery: Vec<SocketAddr>,
    nodes: Vec<Option<NodeProcess>>,
    front: Option<Arc<Front>>,
    faults: Vec<String>,
}

/// Plays one day with this build of the program, on half of the machine's cores.
pub fn play(plan: &Plan, seed: u64, binary: &Path) -> Result<Played, String> {
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads((cores / 2).max(1))
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let played = runtime.block_on(day(plan, seed, binary));
    runtime.shutdown_timeout(Duration::from_millis(200));
    played
}

async fn day(plan: &Plan, seed: u64, binary: &Path) -> Result<Played, String> {
    let specs = specs(plan, seed);
    let (weather, changes) = Weather::new(plan, &specs, seed);
    let groups = specs.iter().map(|spec| (spec.domain, spec.cell)).collect();
    let world = Arc::new(World::new(plan, weather, groups)?);
    let (fell, mut fallen) = mpsc::unbounded_channel();
    let mut draw = chance(seed, 2);
    let [least, most] = plan.fleet.report.refresh_ms;
    let cold = plan.fleet.cold.at_start;
    let mut executors = Vec::new();
    for (number, spec) in specs.iter().enumerate() {
        let refresh = ms(draw.random_range(least..=most));
        let machine = Machine::new(plan, spec.clone(), refresh, cold.then_some(world.now()));
        executors.push(Executor::start(&world, number, machine, fell.clone())?);
    }
    let since = if cold { world.unix_ms(world.now()) } else { 0 };
    let listed = vec![(Status::Ready, since); specs.len()];
    let mut stage = Stage {
        plan: plan.clone(),
        seed,
        binary: binary.to_path_buf(),
        world: world.clone(),
        executors,
        before: vec![(0, listed.clone())],
        listed,
        specs,
        agents: Vec::new(),
        discovery: Vec::new(),
        nodes: Vec::new(),
        front: None,
        faults: Vec::new(),
    };
    stage.open()?;
    let source = Source::new(plan, &stage.specs, seed);
    let ats = stage
        .nodes
        .iter()
        .enumerate()
        .filter_map(|(n, node)| node.as_ref().map(|node| (node.at, domain_of_node(plan, n))));
    let front = Arc::new(Front::new(ats.collect(), source));
    stage.front = Some(front.clone());
    for node in 0..plan.nodes.count {
        ready(front.node(node, |seen| seen.at)).await?;
    }
    let offset = world.now();
    let end = offset + seconds(plan.seconds);
    let jobs = tokio::spawn(load(world.clone(), front.clone(), offset, end));
    let rude: Vec<_> = (0..plan.load.rude)
        .map(|number| tokio::spawn(clients::rude(world.clone(), front.clone(), number, end)))
        .collect();
    let mut reload = offset + ms(plan.reload_every_ms);
    let mut turned = 0;
    let reloads = !plan.operator_next.is_empty() && plan.reload_every_ms > 0.0;
    let mut changes = changes.into_iter().peekable();
    loop {
        let next = changes.peek().map_or(end, |change| offset + change.at);
        tokio::select! {
            () = sleep_until(world.instant(next)) => match changes.next() {
                Some(change) => stage.turn(change).await,
                None => break,
            },
            () = sleep_until(world.instant(reload)), if reloads && reload < end => {
                let text = &plan.operator_next[turned % plan.operator_next.len()];
                for node in stage.nodes.iter().flatten() {
                    node.replace_operator(text)?;
                }
                turned += 1;
                reload += ms(plan.reload_every_ms);
            }
            Some(x) = fallen.recv() => stage.list(x, Status::Gone),
        }
    }
    let running = jobs.await.map_err(|error| error.to_string())?;
    let ttl = plan.category.iter().map(|category| category.ttl_ms).fold(0.0, f64::max);
    let most = (ttl + plan.load.retry_wait_ms) * (1.0 + plan.load.retries as f64) + 2_000.0;
    let all = async {
        for job in running {
            let _ = job.await;
        }
    };
    let done = timeout(Duration::from_millis(most as u64), all).await.is_ok();
    let (mut sent, mut left) = (0, 0);
    for client in rude {
        let (own_sent, own_left) = client.await.map_err(|error| error.to_string())?;
        (sent, left) = (sent + own_sent, left + own_left);
    }
    stage.end();
    let mut played = {
        let (ledger, asked) = (locked(&world.ledger), locked(&world.asked));
        figures(plan, &ledger, &asked, &[], SLACK_MS, offset)
    };
    played.seed = seed;
    for foreign in locked(&world.foreign).iter().take(3) {
        let what = format!("pushed under an id that no client sent: '{foreign}'");
        played.broken.push(Broken { rule: 2, op: 0, what, line: Vec::new() });
    }
    for fault in &stage.faults {
        played.broken.push(Broken { rule: 1, op: 0, what: fault.clone(), line: Vec::new() });
    }
    let (p99, worst, late) = world.lateness();
    if late {
        played.no_verdict = Some(format!("the rig was late: {p99:.1} ms at 99 %, {worst:.1} ms at worst"));
    } else if !done {
        played.no_verdict = Some("clients were left waiting beyond any deadline".to_string());
    }
    played.log = stage.logs();
    if plan.load.rude > 0 {
        played.log.push(format!("rude: {sent} requests, {left} left with neither an error nor a close"));
    }
    played.log.push(format!("rig: requests left {p99:.2} ms late at 99 %, {worst:.2} ms at worst"));
    Ok(played)
}

/// Asks for readiness until it is told.
async fn ready(at: SocketAddr) -> Result<(), String> {
    for _ in 0..1000 {
        if let Ok(mut stream) = TcpStream::connect(at).await {
            let mut bytes = [0; 64];
            let asked =
                stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n").await;
            if asked.is_ok() {
                let read = stream.read(&mut bytes).await.unwrap_or(0);
                if bytes[..read].starts_with(b"HTTP/1.1 200") {
                    return Ok(());
                }
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    Err(format!("the node at {at} is not ready after 10 s"))
}

/// Hands in each job when it is due.
async fn load(
    world: Arc<World>,
    front: Arc<Front>,
    from: Time,
    end: Time,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut running = Vec::new();
    let mut due = from;
    while due < end {
        sleep_until(world.instant(due)).await;
        let now = world.now();
        while due <= now && due < end {
            let (asked, next) = front.draw(due, &world);
            let number = {
                let mut all = locked(&world.asked);
                all.push(asked.clone());
                all.len() - 1
            };
            world.left(world.now() - due);
            running.push(tokio::spawn(clients::job(world.clone(), front.clone(), number, asked)));
            due = next;
        }
    }
    running
}

impl Stage {
    /// Ways to the executors, agents, and the nodes themselves.
    fn open(&mut self) -> Result<(), String> {
        let plan = &self.plan;
        let domains = plan.fleet.domains.len();
        let troubled = plan.fault.iter().any(|fault| fault.what.of_network());
        let mut ways = vec![Vec::new(); domains];
        for (from, ways) in ways.iter_mut().enumerate() {
            for (x, executor) in self.executors.iter().enumerate() {
                let at = if troubled {
                    Middleman::start(&self.world, from, x, self.specs[x].domain, executor.at)?
                } else {
                    executor.at
                };
                ways.push(at);
            }
        }
        for node in 0..plan.nodes.count {
            let domain = domain_of_node(plan, node);
            let entries = self
                .specs
                .iter()
                .zip(&ways[domain])
                .zip(&self.listed)
                .map(|((spec, at), (_, since))| {
                    let (zone, kind) = (&plan.fleet.domains[spec.domain], &plan.fleet.kind[spec.kind].name);
                    let mut entry = Entry::new(&spec.name, zone, kind, spec.cell, *at);
                    entry.since_ms = *since;
                    entry
                })
                .collect();
            let (agent, at) = Agent::start(&self.world, node, entries, chance(self.seed, 50 + node as u64))?;
            self.agents.push(agent);
            self.discovery.push(at);
            let process = self.node(node, "127.0.0.1:0")?;
            self.nodes.push(Some(process));
        }
        Ok(())
    }

    fn node(&self, node: usize, listen: &str) -> Result<NodeProcess, String> {
        let plan = &self.plan;
        let config = json!({
            "name": format!("n{node}"),
            "listen": listen,
            "discovery": self.discovery[node].to_string(),
            "seed": format!("{:016x}", chance(self.seed, 1000 + node as u64).random::<u64>()),
            "limits": {"sockets": plan.nodes.sockets, "memory_mb": plan.nodes.memory_mb},
            "known": {"index": 0, "snapshot": true, "endpoints": []},
            "settings": settings(plan, node),
        });
        match &plan.operator {
            Some(operator) => NodeProcess::start_with(&self.binary, &config.to_string(), operator),
            None => NodeProcess::start(&self.binary, &config.to_string(), &[]),
        }
    }

    fn list(&mut self, x: usize, status: Status) {
        let since = self.listed[x].1;
        self.list_since(x, status, since);
    }

    fn list_since(&mut self, x: usize, status: Status, since: i64) {
        self.listed[x] = (status, since);
        self.before.push((self.world.now(), self.listed.clone()));
        self.agents.iter().for_each(|agent| agent.tell(x, status, since));
    }

    fn start(&mut self, x: usize) {
        let lost = self.world.weather(|w| w.meets(What::Killed, x) || w.meets(What::DomainLost, x));
        if !lost && self.executors[x].revive() {
            let since = self.world.unix_ms(self.world.now());
            self.list_since(x, Status::Ready, since);
        }
    }

    async fn turn(&mut self, change: Change) {
        let trouble = {
            let mut weather = self.world.weather.write().unwrap_or_else(|poisoned| poisoned.into_inner());
            weather.turn(change);
            weather.troubles[change.trouble].clone()
        };
        self.world.changed.send_modify(|count| *count += 1);
        let met: Vec<usize> = (0..self.specs.len()).filter(|x| trouble.meets[*x]).collect();
        match (trouble.what, change.on) {
            (What::Slow | What::Hang, _) => met.into_iter().for_each(|x| self.executors[x].feel()),
            (What::Killed | What::DomainLost, true) => {
                for x in met {
                    self.executors[x].kill();
                    self.list(x, Status::Gone);
                }
            }
            (What::Killed | What::DomainLost, false) => met.into_iter().for_each(|x| self.start(x)),
            (What::Release, true) => {
                for x in met {
                    if self.executors[x].up() == crate::fleet::Up::Serving {
                        self.list(x, Status::Terminating);
                        self.executors[x].drain();
                    }
                }
            }
            (What::Release, false) => {
                for x in met {
                    self.executors[x].kill();
                    self.start(x);
                }
            }
            (What::ListBackward, on) => {
                let then = self.world.now() - trouble.delay;
                let past = self.before.iter().rfind(|(at, _)| *at <= then).or(self.before.first());
                let all = if on { past.map(|p| p.1.clone()) } else { None };
                let all = all.unwrap_or_else(|| self.listed.clone());
                self.agents.iter().for_each(|agent| agent.tell_all(all.clone()));
            }
            (what, on) if what.of_node() => {
                if let Some(node) = trouble.node {
                    if let Err(reason) = self.node_trouble(node, what, on).await {
                        self.faults.push(format!("node {node}: {reason}"));
                    }
                }
            }
            _ => {}
        }
    }

    async fn node_trouble(&mut self, node: usize, what: What, on: bool) -> Result<(), String> {
        let Some(front) = self.front.clone() else { return Ok(()) };
        let now = self.world.now();
        match (what, on) {
            (What::NodePaused, true) => {
                front.node(node, |seen| seen.paused = Some(now));
                self.signal(node, Signal::SIGSTOP)?;
            }
            (What::NodePaused, false) => {
                self.signal(node, Signal::SIGCONT)?;
                front.node(node, |seen| seen.stood = (seen.paused.take().unwrap_or(now), now));
            }
            (What::NodeKilled, true) => {
                front.node(node, |seen| (seen.takes, seen.killed) = (false, seen.killed + 1));
                self.nodes[node] = None;
            }
            (What::NodeStopped, true) => {
                front.node(node, |seen| seen.takes = false);
                self.signal(node, Signal::SIGTERM)?;
            }
            (What::NodeReload, _) => {
                let old = self.discovery[node].to_string();
                let new = self.agents[node].open()?;
                self.discovery[node] = new;
                if let Some(process) = &self.nodes[node] {
                    process.reload(&old, &new.to_string())?;
                }
            }
            (_, false) => {
                if what == What::NodeStopped {
                    let mut process = self.nodes[node].take().ok_or("is gone already")?;
                    let ended = process.wait(Duration::from_millis(500));
                    if ended.and_then(|status| status.code()) != Some(0) {
                        self.faults.push(format!("node {node}: asked to end it did not: {ended:?}"));
                    }
                }
                let at = front.node(node, |seen| seen.at);
                let process = self.node(node, &at.to_string())?;
                self.nodes[node] = Some(process);
                front.node(node, |seen| seen.life += 1);
                ready(at).await?;
                front.node(node, |seen| seen.takes = true);
            }
            _ => {}
        }
        Ok(())
    }

    fn signal(&self, node: usize, signal: Signal) -> Result<(), String> {
        self.nodes[node].as_ref().ok_or("is gone already")?.signal(signal)
    }

    /// Ends the nodes; one that was gone before that has crashed.
    fn end(&mut self) {
        for (number, node) in self.nodes.iter_mut().enumerate() {
            if let Some(status) = node.as_mut().and_then(NodeProcess::ended) {
                self.faults.push(format!("node {number} ended by itself: {status}"));
            }
        }
    }

    /// What the nodes logged, a thousand lines of them.
    fn logs(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for node in self.nodes.iter().flatten() {
            lines.extend(locked(&node.log).iter().take(1000 / self.nodes.len().max(1)).cloned());
        }
        lines
    }
}
