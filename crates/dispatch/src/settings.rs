//! The settings object that an instance is given at start, read into the library's plain types.
//!
//! Both the simulator's adapter and the node get this object, with the same names and units.

use crate::types::{Category, Effect, Gauge, Scope, Tariff, Terms, Time};
use serde::Deserialize;

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

/// The settings object of a deployment, as it is posted to each instance.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Posted {
    balancers: usize,
    #[serde(default)]
    benefit_by: String,
    caps: Caps,
    categories: Vec<Grade>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    extra: Extra,
    /// Names of the failure domains and of the kinds of executor, by index.
    #[serde(default)]
    pub failure_domains: Vec<String>,
    /// Names of the kinds of executor, by index.
    #[serde(default)]
    pub shapes: Vec<String>,
    #[serde(default)]
    granularity_ns: i64,
    #[serde(default)]
    me: usize,
    #[serde(default)]
    my_zone: usize,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    report: Report,
    rules: Rules,
    #[serde(default)]
    score_parts: Parts,
    #[serde(default = "whole")]
    surplus_benefit: f64,
    /// The tenants, by index.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    #[serde(default)]
    weight_kind: String,
}

fn whole() -> f64 {
    1.0
}

/// Who shares the fleet with others.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Tenant {
    /// Its name.
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    quota_per_s: f64,
}

// Each is a key of the settings object.
#[allow(clippy::struct_excessive_bools)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Caps {
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ns: i64,
    max_pushes: usize,
    #[serde(default)]
    dial_timeout_ns: i64,
    #[serde(default)]
    keepalive_ns: i64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Grade {
    #[serde(default)]
    name: String,
    #[serde(default)]
    ttl_ns: i64,
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
    handshake: f64,
    peer: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Report {
    names: Vec<String>,
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
    tail: f64,
}

impl Posted {
    /// Names of the categories, by index.
    pub fn categories(&self) -> Vec<String> {
        self.categories.iter().map(|grade| grade.name.clone()).collect()
    }

    /// Names of the values of a load report, in their order.
    pub fn gauges(&self) -> Vec<String> {
        self.report.names.clone()
    }

    /// The longest that a client waits, by category.
    pub fn ttls(&self) -> Vec<Time> {
        self.categories.iter().map(|grade| up(grade.ttl_ns)).collect()
    }

    /// How long a connection may take to come up, and how long an idle one is kept; zero where not told.
    pub fn connection_times(&self) -> (Time, Time) {
        (down(self.caps.dial_timeout_ns), down(self.caps.keepalive_ns))
    }

    /// The settings in the library's types.
    ///
    /// # Errors
    ///
    /// A text that names the key and what is wrong with its value.
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
                        other => return Err(format!("key-scope: unknown value '{other}'")),
                    },
                    window: down(grade.window_ns),
                },
                other => return Err(format!("semantics: unknown value '{other}'")),
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
        if self.me >= self.balancers.max(1) {
            return Err(format!("me: {} of {} instances", self.me, self.balancers));
        }
        let parts = [("surplus-benefit", self.surplus_benefit), ("score-parts.tail", self.score_parts.tail)];
        if let Some((key, value)) = parts.into_iter().find(|(_, value)| !(0.0..=1.0).contains(value)) {
            return Err(format!("{key}: not from 0 to 1: {value}"));
        }
        let quotas = self.tenants.iter().map(|tenant| ("tenants.quota-per-s", tenant.quota_per_s));
        let prices = [("prices.handshake", self.prices.handshake), ("prices.peer", self.prices.peer)];
        let wrong = |(_, value): &(&str, f64)| !value.is_finite() || *value < 0.0;
        if let Some((key, value)) = quotas.chain(prices).find(wrong) {
            return Err(format!("{key}: not a number from 0 on: {value}"));
        }
        if self.prices.handshake > 0.0 && self.caps.keepalive_ns <= 0 {
            return Err("caps.keepalive-ns: needed where prices.handshake is set".to_string());
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
            me: self.me,
            nodes: self.balancers.max(1),
            handshake: self.prices.handshake,
            keepalive: down(caps.keepalive_ns),
            peers: caps.peers,
            price_peer: self.prices.peer,
            surplus: self.surplus_benefit,
            tail: self.score_parts.tail,
        };
        Ok(Tariff {
            terms,
            categories,
            quotas: self.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
            overload_factor: self.rules.overload_factor,
            gauges: self.report.names.iter().map(gauge).collect(),
        })
    }
}
