//! The stage of a day on sockets: what stands there, and what each fault does to it.

use super::clients::Front;
use super::discovery::{Entry, Service, Status};
use super::executors::Executor;
use super::keeps;
use super::nodes::{operators_call, Nodes, Running};
use super::starve;
use super::ways::{host_of, Letters, Middleman};
use super::world::{locked, World};
use crate::executor::{Availability, ExecutorSpec};
use crate::faults::{Change, Trouble};
use crate::plan::{Between, Plan, What};
use crate::random::generator;
use crate::stand::Signal;
use crate::time::ms;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use stileroute_dispatch::types::Time;
use tokio::sync::mpsc;

/// A node that was started, or why it does not serve.
pub type Born = (usize, Result<Running, String>);

pub struct Stage {
    pub plan: Plan,
    pub world: Arc<World>,
    pub specs: Vec<ExecutorSpec>,
    pub executors: Vec<Arc<Executor>>,
    /// What the list says of each executor, and what it said before.
    listed: Vec<(Status, i64)>,
    before: Vec<(Time, Vec<(Status, i64)>)>,
    service: Arc<Service>,
    pub nodes: Nodes,
    pub front: Option<Arc<Front>>,
    starver: mpsc::UnboundedSender<starve::Order>,
    /// By node, the part of its time that it gets, where that is not all.
    starved: Vec<Option<f64>>,
    born: mpsc::UnboundedSender<Born>,
    /// Nodes that are being started.
    pub coming: HashSet<usize>,
    pub faults: Vec<String>,
    /// What this machine could not do.
    pub short: Vec<String>,
}

impl Stage {
    pub async fn open(
        world: &Arc<World>,
        seed: u64,
        binary: &Path,
        specs: Vec<ExecutorSpec>,
        executors: Vec<Arc<Executor>>,
        born: mpsc::UnboundedSender<Born>,
    ) -> Result<Stage, String> {
        let plan = world.plan.clone();
        let since = if plan.fleet.cold.at_start { world.unix_ms(world.now()) } else { 0 };
        let mut entries = Vec::with_capacity(specs.len());
        let troubled = plan.troubles(Between::Executors);
        for (x, (spec, executor)) in specs.iter().zip(&executors).enumerate() {
            let (at, domain) = (executor.at, spec.domain);
            let domains = plan.fleet.domains.len();
            let address = if troubled {
                let look = move |weather: &crate::faults::Weather, node: usize| {
                    weather.way(node, node % domains, x, domain)
                };
                Err(Middleman::start(world, Arc::new(look), Box::new(move |_| at))?)
            } else {
                Ok(at)
            };
            let (zone, kind) = (&plan.fleet.domains[domain], &plan.fleet.kind[spec.kind].name);
            let (name, zone, kind) = (spec.name.clone(), zone.clone(), kind.clone());
            entries.push(Entry { name, zone, kind, cell: spec.cell, domain, address });
        }
        // A replica for each node hears as the agent of that node.
        let late = |replica: usize| generator(seed, 50 + replica as u64);
        let (service, port) = Service::start(world, entries, since, late)?;
        let mut nodes = Nodes::new(&plan, seed, binary)?;
        let port = Stage::way_to_discovery(world, port)?;
        nodes.discovery = (0..plan.nodes.count).map(|node| (host_of(node), port).into()).collect();
        let kept = plan.nodes.members_ms > 0.0;
        if plan.nodes.talk || kept {
            let letters = Letters::open(world, plan.troubles(Between::Nodes)).await?;
            let all = 0..plan.nodes.count;
            if kept {
                nodes.members = all.map(|node| letters.at(node)).collect();
            } else {
                nodes.peers = all.map(|node| letters.of(node)).collect();
            }
        }
        let listed = vec![(Status::Ready, since); specs.len()];
        let stage = Stage {
            world: world.clone(),
            specs,
            executors,
            before: vec![(0, listed.clone())],
            listed,
            service,
            nodes,
            front: None,
            starver: starve::start(world, seed),
            starved: vec![None; plan.nodes.count],
            born,
            coming: HashSet::new(),
            faults: Vec::new(),
            short: Vec::new(),
            plan,
        };
        Ok(stage)
    }

    /// The port by which nodes get to discovery, where something may happen on the way.
    fn way_to_discovery(world: &Arc<World>, port: u16) -> Result<u16, String> {
        let plan = world.plan.clone();
        if !plan.troubles(Between::Discovery) {
            return Ok(port);
        }
        let look = move |weather: &crate::faults::Weather, node: usize| {
            weather.to_discovery(node, plan.replica_of(node))
        };
        Middleman::start(world, Arc::new(look), Box::new(move |node| (host_of(node), port).into()))
    }

    /// Starts all nodes side by side, so many at once, and waits for them.
    pub async fn begin(&mut self) -> Result<(), String> {
        const AT_ONCE: usize = 32;
        let mut births = Vec::new();
        for node in 0..self.plan.nodes.count {
            births.push((node, self.nodes.birth(node)?));
        }
        let mut waiting = births.into_iter();
        let mut running = tokio::task::JoinSet::new();
        let mut born: Vec<Option<Running>> = (0..self.plan.nodes.count).map(|_| None).collect();
        loop {
            while running.len() < AT_ONCE {
                let Some((node, birth)) = waiting.next() else { break };
                running.spawn(async move { (node, birth.born().await) });
            }
            match running.join_next().await {
                Some(Ok((node, process))) => {
                    born[node] = Some(process.map_err(|why| format!("node n{node}: {why}"))?)
                }
                Some(Err(error)) => return Err(error.to_string()),
                None => break,
            }
        }
        self.nodes.at = born.iter().flatten().map(|running| running.process.at).collect();
        self.nodes.all = born;
        // Only for the fault that puts them back: on a busy disk each file that is made and removed takes its time.
        if self.plan.fault.iter().any(|fault| fault.what == What::StateOld) {
            self.nodes.kept.iter().try_for_each(|kept| kept.copy())?;
        }
        Ok(())
    }

    pub fn list(&mut self, x: usize, status: Status) {
        let since = self.listed[x].1;
        self.list_since(x, status, since);
    }

    fn list_since(&mut self, x: usize, status: Status, since: i64) {
        self.listed[x] = (status, since);
        self.before.push((self.world.now(), self.listed.clone()));
        self.service.tell(x, status, since);
    }

    fn start(&mut self, x: usize) {
        if !self.world.weather(|weather| weather.keeps_down(x)) && self.executors[x].revive() {
            let since = self.world.unix_ms(self.world.now());
            self.list_since(x, Status::Ready, since);
        }
    }

    /// A fault begins or ends.
    pub fn turn(&mut self, change: Change) {
        // Before anyone who waits for it is told that it is back: it must not answer once more with what it has lost.
        self.come_back(change);
        let trouble = {
            let mut weather = self.world.weather.write().unwrap_or_else(|poisoned| poisoned.into_inner());
            weather.turn(change);
            weather.troubles[change.trouble].clone()
        };
        let now = self.world.now();
        locked(&self.world.ledger).weather.push((now, change.on, trouble.title.clone()));
        self.world.changed.send_modify(|count| *count += 1);
        let met: Vec<usize> = (0..self.specs.len()).filter(|x| trouble.meets[*x]).collect();
        match (trouble.what, change.on) {
            (What::Slow | What::Hang, _) => met.into_iter().for_each(|x| self.executors[x].feel()),
            (What::Killed | What::DomainLost | What::SiteLost, true) => {
                for x in met {
                    self.executors[x].kill();
                    self.list(x, Status::Gone);
                }
            }
            (What::Killed | What::DomainLost | What::SiteLost, false) => {
                met.into_iter().for_each(|x| self.start(x))
            }
            (What::Release, true) => {
                for x in met {
                    if self.executors[x].up() == Availability::Serving {
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
                let then = self.then(now - trouble.delay).1;
                self.service.tell_all(if on { &then } else { &self.listed });
            }
            (What::Disabled, on) => self.by_hand(&trouble, on),
            _ => {}
        }
        if trouble.what.of_node() || trouble.what == What::SiteLost {
            self.nodes_meet(&trouble, change.on);
        }
    }

    /// Discovery that was lost is back with nothing, or with what it knew some time ago.
    fn come_back(&self, change: Change) {
        let trouble = self.world.weather(|weather| weather.troubles[change.trouble].clone());
        if change.on || !matches!(trouble.what, What::ListEmpty | What::ListOld) {
            return;
        }
        let old = trouble.what == What::ListOld;
        let then = old.then(|| self.then(self.world.now() - trouble.delay));
        for replica in (0..self.plan.replicas()).filter(|r| trouble.replica.is_none_or(|own| own == *r)) {
            self.service.back_with(replica, &self.listed, then.clone());
        }
    }

    /// What the list said at a time, and the version that it had then.
    fn then(&self, at: Time) -> (u64, Vec<(Status, i64)>) {
        let past = self.before.iter().rposition(|(then, _)| *then <= at).unwrap_or(0);
        (1 + past as u64, self.before[past].1.clone())
    }

    /// Operators take the executors out at the nodes, or put them back; all nodes are called at once.
    fn by_hand(&mut self, trouble: &Trouble, on: bool) {
        for node in (0..self.plan.nodes.count).filter(|node| trouble.nodes[*node]) {
            let Some(at) = self.nodes.all[node].as_ref().and_then(|running| running.admin) else { continue };
            for x in (0..self.specs.len()).filter(|x| trouble.meets[*x]) {
                let world = self.world.clone();
                let path =
                    format!("/executors/{}/{}", if on { "disable" } else { "enable" }, self.specs[x].name);
                tokio::spawn(async move {
                    let tell = |at: Time, out: bool| {
                        let mut ledger = locked(&world.ledger);
                        ledger.disabled.entry((node, x)).or_default().push((at, out));
                    };
                    if !on {
                        // From the call on it may be used again.
                        tell(world.now(), false);
                    }
                    let yes = operators_call(at, &path).await;
                    locked(&world.ledger).by_hand[usize::from(!yes)] += 1;
                    if on && yes {
                        tell(world.now(), true);
                    }
                });
            }
        }
    }

    fn nodes_meet(&mut self, trouble: &Trouble, on: bool) {
        let nodes: Vec<usize> = (0..self.plan.nodes.count).filter(|node| trouble.nodes[*node]).collect();
        if trouble.what.of_state() {
            return self.state_meets(trouble, &nodes, on);
        }
        if trouble.what == What::NodeReload {
            return self.reload(&nodes);
        }
        if on && matches!(trouble.what, What::NodeKilled | What::SiteLost) {
            // All at the same moment: what is left of each is cleared away afterwards.
            nodes.iter().for_each(|node| self.kill_now(*node));
        }
        for node in nodes {
            if let Err(reason) = self.node_meets(node, trouble, on) {
                self.faults.push(format!("node n{node}: {reason}"));
            }
        }
    }

    fn state_meets(&mut self, trouble: &Trouble, nodes: &[usize], on: bool) {
        let now = self.world.now();
        let mut short = Vec::new();
        if trouble.what == What::StateSwapped {
            if on {
                short.extend(keeps::swap(&mut self.nodes.kept, nodes).err());
            }
        } else {
            for node in nodes {
                let met = match trouble.what {
                    What::StateFull => self.nodes.fill(*node, on),
                    what => self.nodes.kept[*node].meet(what, trouble.bytes, on),
                };
                short.extend(met.err());
            }
        }
        self.short.extend(short);
        if on {
            let mut ledger = locked(&self.world.ledger);
            nodes.iter().for_each(|node| ledger.forgot.entry(*node).or_default().push(now));
        }
    }

    /// Discovery moves for these nodes, and they are told so.
    fn reload(&mut self, nodes: &[usize]) {
        let moved =
            self.service.move_nodes(nodes).and_then(|port| Stage::way_to_discovery(&self.world, port));
        let port = match moved {
            Ok(port) => port,
            Err(reason) => return self.short.push(reason),
        };
        for node in nodes {
            let old = self.nodes.discovery[*node].to_string();
            self.nodes.discovery[*node] = (host_of(*node), port).into();
            let new = self.nodes.discovery[*node].to_string();
            let told = self.nodes.all[*node].as_ref().map(|running| running.process.reload(&old, &new));
            if let Some(Err(reason)) = told {
                self.faults.push(format!("node n{node}: {reason}"));
            }
        }
    }

    /// Ends a process here and now. Its count is odd from before the signal until it has been waited for: an op that begins
    /// in between reaches a process that still takes it and is gone a moment later, and is as much the kill's as one from
    /// before. On a busy machine that moment is milliseconds.
    fn kill_now(&mut self, node: usize) {
        let Some(front) = &self.front else { return };
        let finds_out = self.world.now() + ms(self.plan.nodes.front_ms);
        front.node(node, |seen| {
            (seen.takes, seen.seen_until, seen.killed) = (false, finds_out, seen.killed + 1)
        });
        let _ = self.nodes.signal(node, Signal::SIGKILL);
    }

    fn node_meets(&mut self, node: usize, trouble: &Trouble, on: bool) -> Result<(), String> {
        let Some(front) = self.front.clone() else { return Ok(()) };
        let now = self.world.now();
        let lives = self.nodes.all[node].is_some();
        let finds_out = now + ms(self.plan.nodes.front_ms);
        match (trouble.what, on) {
            (What::NodeStarved, on) => {
                self.starved[node] = on.then_some(trouble.part);
                let mut ledger = locked(&self.world.ledger);
                let spans = ledger.starved.entry(node).or_default();
                match spans.last_mut() {
                    Some(last) if !on => last.1 = now,
                    _ => spans.push((now, Time::MAX)),
                }
                drop(ledger);
                self.starve(node);
            }
            (What::NodePaused, true) if lives => {
                front.node(node, |seen| seen.paused = Some(now));
                self.nodes.signal(node, Signal::SIGSTOP)?;
            }
            (What::NodePaused, false) if lives => {
                self.nodes.signal(node, Signal::SIGCONT)?;
                front.node(node, |seen| seen.stood = (seen.paused.take().unwrap_or(now), now));
            }
            (What::NodeKilled | What::SiteLost, true) => {
                self.feed(node);
                // From here on nothing answers there.
                self.nodes.kill(node, move || front.node(node, |seen| seen.killed += 1));
            }
            (What::NodeStopped, true) if lives => {
                front.node(node, |seen| (seen.takes, seen.seen_until) = (false, finds_out));
                self.nodes.signal(node, Signal::SIGTERM)?;
            }
            (What::NodeReplaced, true) if lives => {
                // The new process is asked to take clients before the old one is asked to end.
                self.bear(node)?;
            }
            (What::NodeReplaced, false) => {
                if let Some(mut old) = self.nodes.before[node].take() {
                    let ended = old.process.ended();
                    self.nodes.bury(old);
                    if ended.and_then(|status| status.code()) != Some(0) {
                        return Err(format!("its place was taken, and it did not end: {ended:?}"));
                    }
                }
            }
            (What::NodeStopped, false) => {
                if let Some(mut gone) = self.nodes.all[node].take() {
                    let ended = gone.process.wait(Duration::from_millis(500));
                    self.nodes.bury(gone);
                    if ended.and_then(|status| status.code()) != Some(0) {
                        self.faults.push(format!("node n{node}: asked to end it did not: {ended:?}"));
                    }
                }
                self.back(node)?;
            }
            (What::NodeKilled | What::SiteLost, false) => self.back(node)?,
            _ => {}
        }
        Ok(())
    }

    /// Has a node run for a part of its time only, or all of it.
    fn starve(&self, node: usize) {
        if let Some(running) = &self.nodes.all[node] {
            let _ = self.starver.send((running.process.id(), self.starved[node]));
        }
    }

    /// Whatever stops and continues it leaves it alone from now on.
    fn feed(&self, node: usize) {
        if let Some(running) = &self.nodes.all[node] {
            let _ = self.starver.send((running.process.id(), None));
        }
    }

    /// A node is started anew, unless something else still keeps it down.
    fn back(&mut self, node: usize) -> Result<(), String> {
        let down = self.world.weather(|weather| weather.node_down(node));
        if down || self.nodes.all[node].is_some() {
            return Ok(());
        }
        self.bear(node)
    }

    /// Starts a process for a node, beside all that is going on.
    fn bear(&mut self, node: usize) -> Result<(), String> {
        if self.coming.insert(node) {
            let (birth, born) = (self.nodes.birth(node)?, self.born.clone());
            tokio::spawn(async move {
                let _ = born.send((node, birth.born().await));
            });
        }
        Ok(())
    }

    /// A node that was started takes clients.
    pub fn is_born(&mut self, (node, running): Born) {
        self.coming.remove(&node);
        let running = match running {
            Ok(running) => running,
            Err(reason) => {
                // Within the same seconds as hundreds of others it may just not have got there; the day tells.
                return self.faults.push(format!("node n{node}: {reason}"));
            }
        };
        if self.world.weather(|weather| weather.node_down(node)) {
            // It was lost again before it served.
            return self.nodes.bury(running);
        }
        let now = self.world.now();
        let before = self.nodes.all[node].replace(running);
        if let Some(before) = before {
            if let Err(reason) = before.process.signal(Signal::SIGTERM) {
                self.faults.push(format!("node n{node}: {reason}"));
            }
            self.nodes.before[node] = Some(before);
        }
        self.starve(node);
        {
            let mut ledger = locked(&self.world.ledger);
            ledger.starts.entry(node).or_default().push(now);
            ledger.back.push(now);
        }
        if let Some(front) = &self.front {
            front.node(node, |seen| {
                (seen.takes, seen.life, seen.paused) = (true, seen.life + 1, None);
                seen.forget_idle();
            });
        }
    }

    /// Replaces the operators' file of every node.
    pub fn replace_operator(&self, text: &str) -> Result<(), String> {
        self.nodes.all.iter().flatten().try_for_each(|running| running.process.replace_operator(text))
    }

    /// Ends the day: a node that is gone without having been ended has crashed.
    pub fn end(&mut self) {
        for node in 0..self.nodes.all.len() {
            self.feed(node);
            if let Some(status) = self.nodes.all[node].as_mut().and_then(|running| running.process.ended()) {
                self.faults.push(format!("node n{node} ended by itself: {status}"));
            }
        }
    }

    /// Processes of nodes that no fault of the day keeps from running: what these wait for a core tells of the machine.
    pub fn pids_that_run(&self) -> Vec<u32> {
        let kept = |node: usize| {
            let stops = |trouble: &Trouble| matches!(trouble.what, What::NodeStarved | What::NodePaused);
            self.world.weather(|weather| weather.troubles.iter().any(|t| stops(t) && t.nodes[node]))
        };
        let all = self.nodes.all.iter().enumerate().filter(|(node, _)| !kept(*node));
        all.filter_map(|(_, running)| Some(running.as_ref()?.process.id())).collect()
    }

    /// Where clients find each node, and its domain.
    pub fn addresses(&self) -> Vec<(SocketAddr, usize)> {
        self.nodes.at.iter().enumerate().map(|(node, at)| (*at, self.plan.domain_of_node(node))).collect()
    }
}
