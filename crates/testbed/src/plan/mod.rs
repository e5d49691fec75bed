//! The experiment file: fleet, load, faults, seeds, what is varied and what is held against what. `experiment` reads it.

mod check;
mod fault;

pub use fault::{Between, Fault, On, Only, Set, What};
use serde::Deserialize;
use std::collections::BTreeMap;
use toml::Table;

/// One play: what a seed and one point of the grid make of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    pub name: String,
    /// Length of the load in seconds; the play goes on until the last op is over.
    pub seconds: f64,
    pub seeds: Vec<u64>,
    #[serde(default)]
    pub policy: PolicyName,
    pub fleet: Fleet,
    pub nodes: Nodes,
    pub load: Load,
    pub category: Vec<Category>,
    #[serde(default)]
    pub tenant: Vec<Tenant>,
    /// An operators' file for the nodes, as text.
    pub operator: Option<String>,
    /// Texts that replace it in turn, so often; one with faults must change nothing.
    #[serde(default)]
    pub operator_next: Vec<String>,
    #[serde(default)]
    pub reload_every_ms: f64,
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// For `hunt` only: how days are drawn, and when one has failed.
    #[serde(default)]
    pub hunt: Option<Hunt>,
    /// Path of a key to the values it takes, one after the other; all combinations are played.
    #[serde(default)]
    pub vary: Table,
    /// Path of a key to the value that the rest is held against.
    #[serde(default)]
    pub against: Table,
    /// For `play` and for `sim`: the least and the most that a figure of the module may be, by its name.
    #[serde(default)]
    pub expect: BTreeMap<String, BTreeMap<String, [f64; 2]>>,
}

/// Who decides: the module, or a baseline that lives only here.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    #[default]
    Stileroute,
    Random,
    TurnByTurn,
    LeastInFlight,
    TwoChoices,
    /// Sees the true state of every executor.
    Seeing,
}

impl PolicyName {
    pub const BASELINES: [&str; 5] = ["random", "turn-by-turn", "least-in-flight", "two-choices", "seeing"];
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Fleet {
    pub domains: Vec<String>,
    /// One way between a node and an executor of its own and of another domain, in milliseconds.
    pub near_ms: f64,
    pub far_ms: f64,
    pub kind: Vec<Kind>,
    /// Executors of one domain in a cell.
    pub cell: usize,
    pub cold: Cold,
    pub list: List,
    pub report: Report,
    /// Executors tell that a job starts.
    pub tells_start: bool,
    /// Between two progress notes; zero for none.
    pub progress_ms: f64,
    /// Between two saved states of a redeliverable job, from which it goes on after a loss; zero for none.
    pub saved_ms: f64,
    /// A push can be called off; a job that waits is dropped then, one that runs only if `cancel-stops`.
    pub cancel: bool,
    pub cancel_stops: bool,
    pub second_copies: bool,
    pub max_pushes: usize,
    pub dial_ms: f64,
    /// What a new connection costs the first job on it.
    pub handshake_ms: f64,
    /// What a new connection costs the executor, in milliseconds of one of its slots at speed one.
    pub handshake_work_ms: f64,
    pub come_back_ms: f64,
    /// Price of crossing failure domains, in parts of an op, as the settings tell it.
    pub cross: f64,
    /// How long after it was told of a drain a node may still send there.
    pub grace_ms: f64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            domains: vec!["one".to_string()],
            near_ms: 0.2,
            far_ms: 2.0,
            kind: Vec::new(),
            cell: 4,
            cold: Cold::default(),
            list: List::default(),
            report: Report::default(),
            tells_start: true,
            progress_ms: 0.0,
            saved_ms: 0.0,
            cancel: true,
            cancel_stops: true,
            second_copies: false,
            max_pushes: 5,
            dial_ms: 400.0,
            handshake_ms: 1.0,
            handshake_work_ms: 0.0,
            come_back_ms: 3000.0,
            cross: 0.05,
            grace_ms: 1200.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Kind {
    pub name: String,
    pub count: usize,
    pub slots: f64,
    /// Units of memory; one for each slot if not given.
    #[serde(default)]
    pub memory: f64,
    /// Speed of a slot, drawn between the two.
    pub speed: [f64; 2],
    #[serde(default)]
    pub queue: Order,
    /// Jobs that may wait; the next is turned away.
    #[serde(default = "many")]
    pub queue_limit: usize,
    /// Connections it holds; the next is refused.
    #[serde(default = "many")]
    pub connections: usize,
    /// After so long it closes an idle one.
    #[serde(default = "minute")]
    pub idle_close_s: f64,
}

fn many() -> usize {
    4096
}

fn minute() -> f64 {
    60.0
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    #[default]
    FirstCome,
    /// The highest priority first; it may suspend a redeliverable job of a lower one.
    Priority,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Cold {
    pub start_share: f64,
    pub warm_within_s: f64,
    pub overload_factor: f64,
    pub tip_after_s: f64,
    /// Nothing is known and everything is cold when the day begins.
    pub at_start: bool,
}

impl Default for Cold {
    fn default() -> Cold {
        Cold {
            start_share: 0.35,
            warm_within_s: 8.0,
            overload_factor: 3.5,
            tip_after_s: 1.2,
            at_start: false,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct List {
    /// Between a change and its news at a node, drawn between the two.
    pub late_s: [f64; 2],
    /// Replicas of discovery, which nodes are dealt out to; zero for one at each node, as on the first platform.
    pub replicas: usize,
    /// By how much later than the others each replica hears, in seconds, in turn; empty for alike.
    pub lag_s: Vec<f64>,
    /// What each replica bears in calls and in lines of the list a second, a second's worth at once; beyond that it
    /// answers 429. Zero for no bound.
    pub calls_per_s: f64,
    pub lines_per_s: f64,
    /// Weights fall with what is held, and are told anew so often; zero for fixed weights.
    pub live_weights_s: f64,
}

impl Default for List {
    fn default() -> List {
        List {
            late_s: [0.4, 2.0],
            replicas: 0,
            lag_s: Vec::new(),
            calls_per_s: 0.0,
            lines_per_s: 0.0,
            live_weights_s: 0.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Report {
    pub gauges: Vec<GaugeName>,
    /// Age that a report may have.
    pub refresh_ms: [f64; 2],
}

impl Default for Report {
    fn default() -> Report {
        use GaugeName::{Busy, Free, Held, Waiting};
        Report { gauges: vec![Held, Waiting, Busy, Free], refresh_ms: [300.0, 700.0] }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum GaugeName {
    Held,
    Waiting,
    Busy,
    Free,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Nodes {
    pub count: usize,
    /// What a real one may use.
    #[serde(default = "sockets")]
    pub sockets: usize,
    #[serde(default = "memory")]
    pub memory_mb: usize,
    /// Nodes send one another messages, each knowing all others by number.
    #[serde(default)]
    pub talk: bool,
    /// They keep membership, and one of the others is probed so often, in milliseconds; zero for none.
    #[serde(default)]
    pub members_ms: f64,
    /// They have a folder that lasts between two lives, and an address for operators.
    #[serde(default)]
    pub keep: bool,
    /// How long the front goes on sending clients to a node that is gone.
    #[serde(default)]
    pub front_ms: f64,
}

fn sockets() -> usize {
    1024
}

fn memory() -> usize {
    192
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Load {
    /// Part of the fleet's nominal capacity that is asked for; else `per_second`.
    #[serde(default)]
    pub part: f64,
    #[serde(default)]
    pub per_second: f64,
    /// How often a client tries again after a nack.
    #[serde(default)]
    pub retries: usize,
    #[serde(default)]
    pub retry_wait_ms: f64,
    /// Clients with rude manners; on sockets only.
    #[serde(default)]
    pub rude: usize,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Category {
    pub name: String,
    /// Part of the ops.
    pub part: f64,
    /// Mean running time at speed one, and the spread of its logarithm.
    pub work_ms: f64,
    #[serde(default)]
    pub spread: f64,
    #[serde(default = "one")]
    pub slots: f64,
    #[serde(default)]
    pub memory: f64,
    /// Spread of the hint's logarithm; no hint where it is not given.
    pub hint: Option<f64>,
    pub target_ms: f64,
    #[serde(default)]
    pub stretch: f64,
    pub ttl_ms: f64,
    #[serde(default = "one")]
    pub benefit: f64,
    /// Part of the benefit that a late answer earns.
    #[serde(default)]
    pub late: f64,
    pub effect: EffectName,
    #[serde(default)]
    pub group: Group,
    #[serde(default)]
    pub window_ms: f64,
    pub kind: Option<String>,
    /// The path that clients ask for.
    pub path: Option<String>,
    #[serde(default)]
    pub priority: i64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum EffectName {
    Redeliverable,
    Deduplicated,
    AtMostOnce,
}

/// Who drops a repeat of a deduplicated op.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    #[default]
    All,
    Domain,
    Cell,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Tenant {
    pub name: String,
    pub part: f64,
}

/// Days drawn at random.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Hunt {
    pub days: usize,
    pub most_faults: usize,
    /// The kinds of trouble that are drawn.
    pub kinds: Vec<What>,
    /// A day fails where a rule is broken, or where the benefit is under this part of what the policy that sees the
    /// true state gets.
    pub below: f64,
}

impl Plan {
    pub fn executors(&self) -> usize {
        self.fleet.kind.iter().map(|kind| kind.count).sum()
    }

    pub fn category_named(&self, name: &str) -> Option<usize> {
        self.category.iter().position(|category| category.name == name)
    }

    /// Whom this fault meets; the reason where there is no such executor.
    pub fn on(&self, fault: &Fault) -> Result<On, String> {
        let (word, rest) = fault.on.split_once(':').unwrap_or((&fault.on, ""));
        match word {
            "all" if rest.is_empty() => Ok(On::All),
            "part" => part(rest).map(On::Part),
            "kind" => match self.fleet.kind.iter().position(|kind| kind.name == rest) {
                Some(kind) => Ok(On::Kind(kind)),
                None => Err(format!("there is no kind '{rest}'")),
            },
            "domain" => self.domain(rest).map(On::Domain),
            "executor" => match rest.parse::<usize>() {
                Ok(number) if number < self.executors() => Ok(On::Executor(number)),
                _ => Err(format!("there is no executor '{rest}', they are 0 to {}", self.executors() - 1)),
            },
            _ => Err(format!("'{}' is none of all, part:, kind:, domain:, executor:", fault.on)),
        }
    }

    fn domain(&self, name: &str) -> Result<usize, String> {
        let at = self.fleet.domains.iter().position(|domain| domain == name);
        at.ok_or_else(|| format!("there is no domain '{name}'"))
    }

    /// Which nodes this fault meets, none where it names none; the reason where there is no such node.
    pub fn set(&self, fault: &Fault) -> Result<Option<Set>, String> {
        let Some(text) = &fault.nodes else { return Ok(fault.node.map(Set::Node)) };
        let (word, rest) = text.split_once(':').unwrap_or((text, ""));
        let set = match word {
            "all" if rest.is_empty() => Set::All,
            "part" => Set::Part(part(rest)?),
            "domain" => {
                let domain = self.domain(rest)?;
                if domain >= self.nodes.count {
                    return Err(format!("no node is in domain '{rest}'"));
                }
                Set::Domain(domain)
            }
            "node" => match rest.parse::<usize>() {
                Ok(number) if number < self.nodes.count => Set::Node(number),
                _ => {
                    return Err(format!("there is no node '{rest}', they are 0 to {}", self.nodes.count - 1))
                }
            },
            _ => return Err(format!("'{text}' is none of all, part:, domain:, node:")),
        };
        Ok(Some(set))
    }

    /// The domain of a node: they are dealt out in turn.
    pub fn domain_of_node(&self, node: usize) -> usize {
        node % self.fleet.domains.len()
    }

    /// How many replicas of discovery there are, and which of them a node asks. Each node has one of its own where the
    /// plan gives no number; else they are dealt out over the domains as nodes are.
    pub fn replicas(&self) -> usize {
        if self.fleet.list.replicas == 0 {
            self.nodes.count
        } else {
            self.fleet.list.replicas
        }
    }

    pub fn replica_of(&self, node: usize) -> usize {
        let (all, domains) = (self.replicas(), self.fleet.domains.len());
        let near: Vec<usize> = (node % domains..all).step_by(domains).collect();
        if near.is_empty() {
            node % all
        } else {
            near[(node / domains) % near.len()]
        }
    }

    /// Whether a trouble of the plan meets ways of this sort.
    pub fn troubles(&self, between: Between) -> bool {
        self.fault.iter().any(|fault| {
            let own = matches!(fault.what, What::DomainCut | What::SiteCut) && between != Between::Discovery;
            fault.what.of_network() && (own || fault.between == between)
        })
    }
}

/// A part of a whole.
fn part(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(part) if part > 0.0 && part <= 1.0 => Ok(part),
        _ => Err(format!("'{text}' is no part above 0 up to 1")),
    }
}
