//! The simulator's wire: what is read and how it is turned into the library's plain types.

use serde::Deserialize;
use std::borrow::Cow;
use stileroute::tariff::{Category, Effect, Gauge, Scope, Tariff, Terms, Time};

/// Nanoseconds in one of the library's time units.
pub const UNIT: i64 = 100_000;

/// A clock time or deadline, rounded towards the past.
pub fn down(ns: i64) -> Time {
    ns.div_euclid(UNIT)
}

/// A clock time or span, rounded towards the future.
pub fn up(ns: i64) -> Time {
    -(-ns).div_euclid(UNIT)
}

#[derive(Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "clock-ns")]
    pub clock: i64,
    #[serde(borrow)]
    pub msgs: Vec<Msg<'a>>,
}

/// Every message has its fields here; which ones it must have is asked where it is handled.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Msg<'a> {
    #[serde(borrow)]
    pub op: Cow<'a, str>,
    #[serde(borrow)]
    pub node: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub ticket: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub executor: Option<Cow<'a, str>>,
    pub init_seed: Option<u64>,
    pub conf: Option<Box<Conf>>,
    #[serde(borrow)]
    pub scope: Option<Cow<'a, str>>,
    pub elements: Option<Vec<Element<'a>>>,
    pub generation: Option<i64>,
    pub grade: Option<usize>,
    pub cores_needed: Option<f64>,
    pub ram_units: Option<f64>,
    pub drop_dead_ns: Option<i64>,
    pub work_ns: Option<i64>,
    pub round_no: Option<usize>,
    pub topic: Option<i64>,
    #[serde(borrow)]
    pub status: Option<Cow<'a, str>>,
    #[serde(default, rename = "final")]
    pub last: bool,
    #[serde(default)]
    pub gauge: Option<Vec<f64>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Element<'a> {
    #[serde(borrow)]
    pub executor: Cow<'a, str>,
    #[serde(default)]
    pub site: usize,
    #[serde(default)]
    pub family_type: usize,
    #[serde(default)]
    pub group: usize,
    #[serde(borrow)]
    pub stage_state: Cow<'a, str>,
    #[serde(default)]
    pub nominal: f64,
    #[serde(default)]
    pub last_start_ns: i64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Conf {
    balancers: usize,
    #[serde(default)]
    benefit_by: String,
    caps: Caps,
    categories: Vec<Grade>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    extra: Extra,
    #[serde(default)]
    granularity_ns: i64,
    #[serde(default)]
    my_zone: usize,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    report: Report,
    rules: Rules,
    #[serde(default)]
    score_parts: Parts,
    #[serde(default)]
    weight_kind: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Caps {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ns: i64,
    max_pushes: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Grade {
    target_latency_ns: i64,
    semantics: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    window_ns: i64,
    #[serde(default)]
    benefit: f64,
    #[serde(default)]
    late_benefit: f64,
    #[serde(default)]
    aim_stretch: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Extra {
    class_kind: Vec<i64>,
    class_priority: Vec<i64>,
    class_stretch: Vec<f64>,
    progress_ns: i64,
    queue_order: String,
    report_x0: String,
    report_x1: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Prices {
    cross_zone: f64,
    probe: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Report {
    names: Vec<String>,
    source: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    overload_factor: f64,
    start_capacity: f64,
    tip_after_ns: i64,
    warm_within_ns: i64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Parts {
    worst_class: f64,
}

impl Conf {
    /// The settings in the library's words.
    pub fn tariff(&self) -> Result<Tariff, String> {
        let mut categories = Vec::new();
        for (at, grade) in self.categories.iter().enumerate() {
            let effect = match grade.semantics.as_str() {
                "repeatable" => Effect::Redeliverable,
                "once" => Effect::AtMostOnce,
                "by_key" => Effect::Deduplicated {
                    scope: match grade.key_scope.as_str() {
                        "all" => Scope::All,
                        "zone" => Scope::Domain,
                        "cell" => Scope::Cell,
                        other => return Err(format!("SPAWN: key-scope: unknown value '{other}'")),
                    },
                    window: down(grade.window_ns),
                },
                other => return Err(format!("SPAWN: semantics: unknown value '{other}'")),
            };
            categories.push(Category {
                target: down(grade.target_latency_ns),
                stretch: self.extra.class_stretch.get(at).copied().unwrap_or(grade.aim_stretch),
                effect,
                benefit: grade.benefit,
                late: grade.late_benefit,
                kind: self.extra.class_kind.get(at).and_then(|k| usize::try_from(*k).ok()),
                priority: self.extra.class_priority.get(at).copied().unwrap_or(0),
            });
        }
        let gauge = |name: &String| match name.as_str() {
            "rif" => Gauge::Held,
            "q" => Gauge::Waiting,
            "busy" => Gauge::Busy,
            "x0" if self.extra.report_x0 == "free slots" => Gauge::FreeSlots,
            "x1" if self.extra.report_x1 == "free memory" => Gauge::FreeMemory,
            _ => Gauge::Other,
        };
        let caps = &self.caps;
        let terms = Terms {
            domain: self.my_zone,
            tick: up(self.granularity_ns).max(1),
            cancel: caps.cancel,
            second_copies: caps.parallel_tries,
            come_back: if caps.retry_after { down(caps.max_retry_after_ns) } else { 0 },
            max_pushes: caps.max_pushes,
            subscribe: self.discovery == "subscribe",
            tip_after: up(self.rules.tip_after_ns),
            start_share: self.rules.start_capacity,
            warm_within: up(self.rules.warm_within_ns),
            live_weights: self.weight_kind == "live",
            by_priority: self.extra.queue_order == "priority",
            by_work: self.benefit_by == "work",
            progress: down(self.extra.progress_ns),
            cross: self.prices.cross_zone,
            worst_category: self.score_parts.worst_class,
        };
        Ok(Tariff {
            terms,
            nodes: self.balancers,
            categories,
            probes: caps.probes,
            overload_factor: self.rules.overload_factor,
            gauges: self.report.names.iter().map(gauge).collect(),
            reports_by_probe: self.report.source == "pull",
            price_probe: self.prices.probe,
        })
    }
}
