//! The experiment file: fleet, load, faults, seeds, what is varied and what is held against what.
//!
//! Everything is checked before anything is played. What is wrong is told in one line that names file, line, key
//! and reason; nothing is guessed.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;
use toml::de::{DeTable, DeValue};
use toml::{Table, Value};

/// A fault of an experiment file: `file:line: key: reason`.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrong {
    pub file: String,
    pub line: usize,
    pub key: String,
    pub reason: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.key, self.reason)
    }
}

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
    /// Weights fall with what is held, and are told anew so often; zero for fixed weights.
    pub live_weights_s: f64,
}

impl Default for List {
    fn default() -> List {
        List { late_s: [0.4, 2.0], live_weights_s: 0.0 }
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

/// One trouble. With `every-s` it comes and goes in so long a beat, half of it on.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    pub what: What,
    #[serde(default)]
    pub from_s: f64,
    #[serde(default)]
    pub for_s: f64,
    /// `all`, `part:0.2`, `kind:NAME`, `domain:NAME` or `executor:NUMBER`.
    #[serde(default = "all")]
    pub on: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub node: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub category: Option<String>,
    #[serde(default = "four")]
    pub factor: f64,
    /// Part of the jobs that it meets.
    #[serde(default = "one")]
    pub part: f64,
    #[serde(default, skip_serializing_if = "none")]
    pub every_s: f64,
    #[serde(default, skip_serializing_if = "none")]
    pub ms: f64,
    /// A reset comes after so many bytes of a request, or of an answer with `back`.
    #[serde(default, skip_serializing_if = "none")]
    pub bytes: usize,
    #[serde(default, skip_serializing_if = "none")]
    pub back: bool,
}

/// What a file need not say.
fn none<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

fn all() -> String {
    "all".to_string()
}

fn four() -> f64 {
    4.0
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    Slow,
    /// Jobs fail at once.
    Errors,
    /// Nothing runs on.
    Hang,
    /// Some jobs cost many times their work.
    Heavy,
    /// The executors die, and come back cold when it is over.
    Killed,
    DomainLost,
    /// Nothing passes between the domain and the others.
    DomainCut,
    /// One after the other is drained, ended and started anew.
    Release,
    ListDown,
    ListStale,
    /// The list tells again what it told some seconds ago, as its newest state.
    ListBackward,
    Burst,
    NodeStopped,
    NodeKilled,
    NodePaused,
    /// The node's configuration is replaced, and it is told to read it.
    NodeReload,
    /// On the way to the executors: broken after so many bytes, held up, a byte at a time, never read, refused,
    /// accepted and never answered.
    Reset,
    Delay,
    Dribble,
    Deaf,
    Refuse,
    HalfOpen,
}

impl What {
    pub fn of_node(self) -> bool {
        matches!(self, What::NodeStopped | What::NodeKilled | What::NodePaused | What::NodeReload)
    }

    pub fn of_network(self) -> bool {
        use What::{Deaf, Delay, DomainCut, Dribble, HalfOpen, Refuse, Reset};
        matches!(self, DomainCut | Reset | Delay | Dribble | Deaf | Refuse | HalfOpen)
    }
}

/// Whom a fault meets, by index.
#[derive(Clone, Debug, PartialEq)]
pub enum On {
    All,
    Part(f64),
    Kind(usize),
    Domain(usize),
    Executor(usize),
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
            "part" => match rest.parse::<f64>() {
                Ok(part) if part > 0.0 && part <= 1.0 => Ok(On::Part(part)),
                _ => Err(format!("'{rest}' is no part above 0 up to 1")),
            },
            "kind" => match self.fleet.kind.iter().position(|kind| kind.name == rest) {
                Some(kind) => Ok(On::Kind(kind)),
                None => Err(format!("there is no kind '{rest}'")),
            },
            "domain" => match self.fleet.domains.iter().position(|domain| domain == rest) {
                Some(domain) => Ok(On::Domain(domain)),
                None => Err(format!("there is no domain '{rest}'")),
            },
            "executor" => match rest.parse::<usize>() {
                Ok(number) if number < self.executors() => Ok(On::Executor(number)),
                _ => Err(format!("there is no executor '{rest}', they are 0 to {}", self.executors() - 1)),
            },
            _ => Err(format!("'{}' is none of all, part:, kind:, domain:, executor:", fault.on)),
        }
    }

    /// Key and reason of the first thing that cannot be played.
    pub fn check(&self) -> Result<(), (Vec<String>, String)> {
        let key = |path: &str| path.split('.').map(str::to_string).collect::<Vec<_>>();
        let bad = |path: &str, reason: &str| Err((key(path), reason.to_string()));
        // Not-a-number fails every comparison, so ranges are stated as what must hold.
        let within = |value: f64, least: f64, most: f64| value >= least && value <= most;
        if !within(self.seconds, 0.1, 86_400.0) {
            return bad("seconds", "must be from 0.1 to 86400");
        }
        if self.seeds.is_empty() {
            return bad("seeds", "there is none, so there is nothing to play");
        }
        let fleet = &self.fleet;
        if fleet.domains.is_empty() {
            return bad("fleet.domains", "there must be one at least");
        }
        if self.executors() == 0 {
            return bad("fleet.kind", "there is no executor");
        }
        if self.executors() > 20_000 {
            return bad("fleet.kind", "more than 20000 executors");
        }
        for (at, kind) in fleet.kind.iter().enumerate() {
            let path = |name: &str| format!("fleet.kind.{at}.{name}");
            if !within(kind.slots, 1.0, 1024.0) {
                return bad(&path("slots"), "must be from 1 to 1024");
            }
            if !(within(kind.speed[0], 0.01, 100.0) && within(kind.speed[1], kind.speed[0], 100.0)) {
                return bad(&path("speed"), "must be two rising numbers from 0.01 to 100");
            }
        }
        let cold = &fleet.cold;
        if !within(cold.start_share, 0.01, 1.0) {
            return bad("fleet.cold.start-share", "must be from 0.01 to 1");
        }
        if !(within(cold.warm_within_s, 0.0, 3600.0) && within(cold.tip_after_s, 0.01, 3600.0)) {
            return bad("fleet.cold", "times must be from 0 (tip-after-s: 0.01) to 3600 s");
        }
        let spans =
            [(fleet.list.late_s, "fleet.list.late-s"), (fleet.report.refresh_ms, "fleet.report.refresh-ms")];
        for (span, path) in spans {
            if !(within(span[0], 0.0, 1e6) && within(span[1], span[0], 1e6)) {
                return bad(path, "must be two rising numbers from 0");
            }
        }
        if !(within(fleet.near_ms, 0.1, 10_000.0) && within(fleet.far_ms, fleet.near_ms, 10_000.0)) {
            return bad("fleet.far-ms", "near-ms must be from 0.1, far-ms from near-ms to 10000");
        }
        if !(1..=64).contains(&fleet.max_pushes) {
            return bad("fleet.max-pushes", "must be from 1 to 64");
        }
        if !(1..=20_000).contains(&self.nodes.count) {
            return bad("nodes.count", "must be from 1 to 20000");
        }
        if (self.load.part > 0.0) == (self.load.per_second > 0.0) {
            return bad("load", "needs either part or per-second, above 0");
        }
        if !(within(self.load.part, 0.0, 100.0) && within(self.load.per_second, 0.0, 1e6)) {
            return bad("load", "part must be 100 and per-second 1000000 at the most");
        }
        if self.category.is_empty() {
            return bad("category", "there is none");
        }
        for (at, category) in self.category.iter().enumerate() {
            let path = |name: &str| format!("category.{at}.{name}");
            if !within(category.part, 1e-9, 1e9) {
                return bad(&path("part"), "must be above 0");
            }
            if !(within(category.work_ms, 0.1, 1e7) && within(category.spread, 0.0, 5.0)) {
                return bad(&path("work-ms"), "must be from 0.1, and spread from 0 to 5");
            }
            if !(within(category.target_ms, 1.0, 1e7) && within(category.ttl_ms, category.target_ms, 1e7)) {
                return bad(&path("ttl-ms"), "must be at least target-ms, and that 1 at least");
            }
            if category.effect == EffectName::Deduplicated && !within(category.window_ms, 1.0, 1e7) {
                return bad(
                    &path("window-ms"),
                    "a deduplicated category needs the time in which repeats are dropped",
                );
            }
            let most = fleet.kind.iter().map(|kind| kind.slots).fold(0.0, f64::max);
            if !within(category.slots, 0.1, most) {
                return bad(&path("slots"), "no executor has so many");
            }
            if let Some(kind) = &category.kind {
                match fleet.kind.iter().find(|k| k.name == *kind) {
                    None => return bad(&path("kind"), &format!("there is no kind '{kind}'")),
                    Some(k) if k.slots < category.slots || k.count == 0 => {
                        return bad(&path("kind"), "no executor of it has room for one");
                    }
                    Some(_) => {}
                }
            }
        }
        if let Some(hunt) = &self.hunt {
            if !((1..=100_000).contains(&hunt.days) && (1..=20).contains(&hunt.most_faults)) {
                return bad("hunt", "days must be from 1 to 100000, most-faults from 1 to 20");
            }
            if hunt.kinds.is_empty() {
                return bad("hunt.kinds", "there is none, so there is nothing to draw");
            }
            if !within(hunt.below, 0.0, 1.0) {
                return bad("hunt.below", "must be from 0 to 1");
            }
        }
        for (at, fault) in self.fault.iter().enumerate() {
            let path = |name: &str| format!("fault.{at}.{name}");
            if !(within(fault.from_s, 0.0, 86_400.0) && within(fault.for_s, 0.0, 86_400.0)) {
                return bad(&path("from-s"), "from-s and for-s must be from 0 to 86400");
            }
            if fault.from_s >= self.seconds {
                return bad(&path("from-s"), "begins when the day is over");
            }
            let on = match self.on(fault) {
                Ok(on) => on,
                Err(reason) => return bad(&path("on"), &reason),
            };
            let whole = matches!(fault.what, What::DomainLost | What::DomainCut);
            if whole && !matches!(on, On::Domain(_)) {
                return bad(&path("on"), "must be a domain: on = \"domain:NAME\"");
            }
            match fault.node {
                Some(node) if node >= self.nodes.count => {
                    return bad(
                        &path("node"),
                        &format!("there is no node {node}, they are 0 to {}", self.nodes.count - 1),
                    );
                }
                None if fault.what.of_node() => {
                    return bad(&path("what"), "needs the number of a node: node = 0")
                }
                _ => {}
            }
            if fault.what == What::NodeStopped && fault.for_s < 3.5 {
                return bad(
                    &path("for-s"),
                    "a node that is asked to end has 3.5 s at least to finish what it has",
                );
            }
            let ends = |f: &Fault| f.from_s + f.for_s;
            let meets = |f: &Fault| {
                f.what.of_node() && f.node == fault.node && f.from_s <= ends(fault) && fault.from_s <= ends(f)
            };
            if fault.what.of_node() && self.fault[..at].iter().any(meets) {
                return bad(&path("from-s"), "another fault of the same node is not over by then");
            }
            if let Some(name) = &fault.category {
                if self.category_named(name).is_none() {
                    return bad(&path("category"), &format!("there is no category '{name}'"));
                }
            }
            if !(within(fault.part, 0.0, 1.0) && within(fault.factor, 0.01, 1000.0)) {
                return bad(&path("part"), "part must be from 0 to 1, factor from 0.01 to 1000");
            }
            if fault.every_s != 0.0 && !within(fault.every_s, 0.1, 3600.0) {
                return bad(&path("every-s"), "must be from 0.1 to 3600");
            }
        }
        Ok(())
    }
}

/// One point of the grid with its seed.
#[derive(Clone, Debug)]
pub struct Cell {
    /// What is varied, as `key=value`, joined by spaces; empty where nothing is.
    pub label: String,
    pub seed: u64,
    pub plan: Plan,
}

/// An experiment: its file, read and checked.
#[derive(Clone, Debug)]
pub struct Experiment {
    pub plan: Plan,
    pub cells: Vec<Cell>,
    /// Label of the cells that the others are held against.
    pub against: Option<String>,
}

/// Line, from one, in which a span begins.
fn line_at(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

/// Line of the deepest part of a path that stands in the text, and how deep that is.
fn line_of(text: &str, path: &[String]) -> (usize, usize) {
    let Ok(table) = DeTable::parse(text) else { return (1, 0) };
    let (mut line, mut depth) = (1, 0);
    let mut value = DeValue::Table(table.into_inner());
    for part in path {
        let next = match &value {
            DeValue::Table(table) => {
                table.iter().find(|(key, _)| key.get_ref() == part).map(|(key, value)| {
                    let listed = matches!(value.get_ref(), DeValue::Array(_) | DeValue::Table(_));
                    (if listed { value.span().start.min(key.span().start) } else { key.span().start }, value)
                })
            }
            DeValue::Array(array) => part
                .parse::<usize>()
                .ok()
                .and_then(|at| array.get(at))
                .map(|value| (value.span().start, value)),
            _ => None,
        };
        let Some((at, inner)) = next else { break };
        (line, depth) = (line_at(text, at), depth + 1);
        value = inner.get_ref().clone();
    }
    (line, depth)
}

/// Sets a key by its path, in which a number names an entry of a list. A key that may be left out is added; a table
/// on the way must be there.
fn set(table: &mut Table, path: &str, value: &Value) -> Result<(), String> {
    let (last, way) = path.rsplit_once('.').map_or((path, None), |(way, last)| (last, Some(way)));
    let mut parts = way.into_iter().flat_map(|way| way.split('.'));
    let mut at = table;
    while let Some(part) = parts.next() {
        at = match at.get_mut(part) {
            Some(Value::Table(table)) => table,
            Some(Value::Array(entries)) => {
                let entry = parts.next().and_then(|number| number.parse::<usize>().ok());
                match entry.and_then(|number| entries.get_mut(number)) {
                    Some(Value::Table(table)) => table,
                    _ => return Err(format!("'{part}' is a list, and no entry of it is named")),
                }
            }
            _ => return Err(format!("there is no table '{part}'")),
        };
    }
    at.insert(last.to_string(), value.clone());
    Ok(())
}

/// How a value reads in a label: one word, and not a long one.
fn shown(value: &Value) -> String {
    match value {
        Value::String(text) if text.is_empty() => "none".to_string(),
        Value::String(text) => {
            text.split_whitespace().collect::<Vec<_>>().join("_").chars().take(40).collect()
        }
        other => other.to_string(),
    }
}

/// The texts that an experiment is made of: its own, then those of the files which it extends, one after the other.
struct Texts {
    all: Vec<(String, String)>,
}

impl Texts {
    /// A fault at a path: in the text that has most of it, the experiment's own before the other.
    fn wrong(&self, path: &[String], reason: &str) -> Wrong {
        let found = |(at, (_, text)): (usize, &(String, String))| {
            let (line, depth) = line_of(text, path);
            (depth, std::cmp::Reverse(at), line)
        };
        let (_, std::cmp::Reverse(at), line) =
            self.all.iter().enumerate().map(found).max().unwrap_or((0, std::cmp::Reverse(0), 1));
        let key = if path.is_empty() { "file".to_string() } else { path.join(".") };
        let reason = reason.lines().map(str::trim).collect::<Vec<_>>().join(" ");
        Wrong { file: self.all[at].0.clone(), line, key, reason: reason.trim().to_string() }
    }

    fn table(&self, at: usize) -> Result<Table, Wrong> {
        let (file, text) = &self.all[at];
        text.parse::<Table>().map_err(|error| {
            let line = line_at(text, error.span().map_or(0, |span| span.start));
            let begun = text.lines().nth(line - 1).unwrap_or_default();
            let key = begun.split('=').next().unwrap_or_default().trim().to_string();
            let reason = error.message().lines().collect::<Vec<_>>().join(" ");
            Wrong { file: file.clone(), line, key, reason }
        })
    }

    /// Reads a table as a plan and checks it.
    fn plan(&self, table: Table) -> Result<Plan, Wrong> {
        let plan: Plan = serde_path_to_error::deserialize(table).map_err(|error| {
            let mut path: Vec<String> = Vec::new();
            for segment in error.path() {
                match segment {
                    serde_path_to_error::Segment::Seq { index } => path.push(index.to_string()),
                    serde_path_to_error::Segment::Map { key } => path.push(key.clone()),
                    _ => {}
                }
            }
            let reason = error.inner().message().to_string();
            let unknown = reason.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next());
            if let Some(key) = unknown.filter(|key| path.last().is_none_or(|last| last != key)) {
                path.push(key.to_string());
            }
            self.wrong(&path, &reason)
        })?;
        plan.check().map_err(|(path, reason)| self.wrong(&path, &reason))?;
        crate::settings::routes(&plan).map_err(|reason| self.wrong(&["operator".to_string()], &reason))?;
        Ok(plan)
    }
}

/// Lays one table over another: tables are merged, all else is replaced.
fn over(under: &mut Table, table: Table) {
    for (key, value) in table {
        match (under.get_mut(&key), value) {
            (Some(Value::Table(under)), Value::Table(table)) => over(under, table),
            (_, value) => {
                under.insert(key, value);
            }
        }
    }
}

/// Reads and checks the text of an experiment; `file` is its name in messages. A file that it extends is looked for
/// beside it.
pub fn read(file: &str, text: &str) -> Result<Experiment, Wrong> {
    let mut texts = Texts { all: vec![(file.to_string(), text.to_string())] };
    let mut whole = texts.table(0)?;
    let path = ["extends".to_string()];
    while let Some(base) = whole.remove("extends") {
        let base = base.as_str().ok_or_else(|| texts.wrong(&path, "must be the name of a file"))?.to_string();
        if texts.all.len() > 4 {
            return Err(texts.wrong(&path, "files extend each other without end"));
        }
        let beside = Path::new(file).with_file_name(&base);
        let text = std::fs::read_to_string(&beside)
            .map_err(|error| texts.wrong(&path, &format!("{base}: {error}")))?;
        texts.all.push((beside.display().to_string(), text));
        let mut under = texts.table(texts.all.len() - 1)?;
        over(&mut under, whole);
        whole = under;
    }
    let plan = texts.plan(whole.clone())?;
    let mut grid: Vec<(String, Table)> = vec![(String::new(), whole.clone())];
    for (path, values) in &plan.vary {
        let key = ["vary".to_string(), path.clone()];
        let values = values.as_array().ok_or_else(|| texts.wrong(&key, "must be a list of values"))?;
        if values.is_empty() {
            return Err(texts.wrong(&key, "the list is empty, so there is nothing to play"));
        }
        let mut next = Vec::new();
        for (label, table) in &grid {
            for value in values {
                let mut table = table.clone();
                set(&mut table, path, value).map_err(|reason| texts.wrong(&key, &reason))?;
                let own = format!("{path}={}", shown(value));
                next.push((if label.is_empty() { own } else { format!("{label} {own}") }, table));
            }
        }
        grid = next;
    }
    let mut cells = Vec::new();
    for (label, table) in grid {
        let point = texts.plan(table).map_err(|wrong| {
            let key = ["vary".to_string()];
            if label.is_empty() {
                wrong
            } else {
                texts.wrong(&key, &format!("{label}: {}: {}", wrong.key, wrong.reason))
            }
        })?;
        for seed in &plan.seeds {
            cells.push(Cell { label: label.clone(), seed: *seed, plan: point.clone() });
        }
    }
    let mut against = Vec::new();
    for (path, value) in &plan.against {
        let known =
            plan.vary.get(path).and_then(Value::as_array).is_some_and(|values| values.contains(value));
        if !known {
            let key = ["against".to_string(), path.clone()];
            return Err(texts.wrong(&key, "is no value that vary gives this key"));
        }
        against.push(format!("{path}={}", shown(value)));
    }
    let against = (!against.is_empty()).then(|| against.join(" "));
    Ok(Experiment { plan, cells, against })
}

/// Reads and checks an experiment file.
pub fn load(path: &Path) -> Result<Experiment, Wrong> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| Wrong {
        file: file.clone(),
        line: 1,
        key: "file".to_string(),
        reason: error.to_string(),
    })?;
    read(&file, &text)
}
