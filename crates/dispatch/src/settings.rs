//! The settings object that an instance gets at start, parsed into the library's plain types.
//!
//! Both the simulator's adapter and the node get this object, with the same names and units.

use crate::types::{Category, DispatchSettings, Effect, Gauge, InstanceSettings, Scope, Time};
use serde::Deserialize;

/// Nanoseconds in one unit of [`Time`].
pub const NS_PER_UNIT: i64 = 100_000;

/// Converts a clock time or deadline in nanoseconds to [`Time`], rounded down so that it never lies later.
pub fn floor_time(ns: i64) -> Time {
    ns.div_euclid(NS_PER_UNIT)
}

/// Converts a clock time or duration in nanoseconds to [`Time`], rounded up so that it never lies earlier.
pub fn ceil_time(ns: i64) -> Time {
    -(-ns).div_euclid(NS_PER_UNIT)
}

/// The settings object of a deployment, as it is posted to each instance.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PostedSettings {
    balancers: usize,
    #[serde(default)]
    benefit_by: String,
    caps: Capabilities,
    categories: Vec<PostedCategory>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    extra: ExtraSettings,
    /// Names of the failure domains, by index.
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
    report: LoadReport,
    rules: Rules,
    #[serde(default)]
    score_parts: ScoreParts,
    #[serde(default = "full_benefit")]
    surplus_benefit: f64,
    /// The tenants that share the fleet, by index.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    #[serde(default)]
    weight_kind: String,
}

fn full_benefit() -> f64 {
    1.0
}

/// A tenant that shares the fleet with others.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Tenant {
    /// Name of the tenant.
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    quota_per_s: f64,
}

// Each switch is a key of the settings object.
#[allow(clippy::struct_excessive_bools)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Capabilities {
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
struct PostedCategory {
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
struct ExtraSettings {
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
struct LoadReport {
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
struct ScoreParts {
    worst_class: f64,
    tail: f64,
}

impl PostedSettings {
    /// Names of the categories, by index.
    pub fn categories(&self) -> Vec<String> {
        self.categories.iter().map(|category| category.name.clone()).collect()
    }

    /// Names of the values of a load report, in their order.
    pub fn gauges(&self) -> Vec<String> {
        self.report.names.clone()
    }

    /// The longest time that a client waits for an op, by category.
    pub fn ttls(&self) -> Vec<Time> {
        self.categories.iter().map(|category| ceil_time(category.ttl_ns)).collect()
    }

    /// Time-out for opening a connection, and how long an idle one is kept; zero where not given.
    pub fn connection_times(&self) -> (Time, Time) {
        (floor_time(self.caps.dial_timeout_ns), floor_time(self.caps.keepalive_ns))
    }

    /// Converts the settings object to the library's types.
    ///
    /// # Errors
    ///
    /// A text that names the key and what is wrong with its value.
    pub fn dispatch_settings(&self) -> Result<DispatchSettings, String> {
        let mut categories = Vec::new();
        for (index, category) in self.categories.iter().enumerate() {
            let effect = match category.semantics.as_str() {
                "repeatable" => Effect::Redeliverable,
                "once" => Effect::AtMostOnce,
                "by_key" => Effect::Deduplicated {
                    scope: match category.key_scope.as_str() {
                        "all" => Scope::All,
                        "zone" => Scope::Domain,
                        "cell" => Scope::Cell,
                        other => return Err(format!("key-scope: unknown value '{other}'")),
                    },
                    window: floor_time(category.window_ns),
                },
                other => return Err(format!("semantics: unknown value '{other}'")),
            };
            categories.push(Category {
                target: floor_time(category.target_latency_ns),
                stretch: self.extra.class_stretch.get(index).copied().unwrap_or(category.aim_stretch),
                effect,
                benefit: category.benefit,
                late: category.late_benefit,
                kind: self.extra.class_kind.get(index).and_then(|k| usize::try_from(*k).ok()),
                priority: self.extra.class_priority.get(index).copied().unwrap_or(0),
            });
        }
        if self.me >= self.balancers.max(1) {
            return Err(format!("me: {} of {} instances", self.me, self.balancers));
        }
        let fractions =
            [("surplus-benefit", self.surplus_benefit), ("score-parts.tail", self.score_parts.tail)];
        if let Some((key, value)) = fractions.into_iter().find(|(_, value)| !(0.0..=1.0).contains(value)) {
            return Err(format!("{key}: not from 0 to 1: {value}"));
        }
        let quotas = self.tenants.iter().map(|tenant| ("tenants.quota-per-s", tenant.quota_per_s));
        let prices = [("prices.handshake", self.prices.handshake), ("prices.peer", self.prices.peer)];
        let invalid = |(_, value): &(&str, f64)| !value.is_finite() || *value < 0.0;
        if let Some((key, value)) = quotas.chain(prices).find(invalid) {
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
        let terms = InstanceSettings {
            domain: self.my_zone,
            tick: ceil_time(self.granularity_ns).max(1),
            cancel: caps.cancel,
            hedging: caps.parallel_tries,
            retry_after: if caps.retry_after { floor_time(caps.max_retry_after_ns) } else { 0 },
            max_pushes: caps.max_pushes,
            subscribe: self.discovery == "subscribe",
            tip_after: ceil_time(self.rules.tip_after_ns),
            start_share: self.rules.start_capacity,
            warm_within: ceil_time(self.rules.warm_within_ns),
            live_weights: self.weight_kind == "live",
            by_priority: self.extra.queue_order == "priority",
            by_work: self.benefit_by == "work",
            progress: floor_time(self.extra.progress_ns),
            cross: self.prices.cross_zone,
            worst_category: self.score_parts.worst_class,
            me: self.me,
            nodes: self.balancers.max(1),
            handshake: self.prices.handshake,
            keepalive: floor_time(caps.keepalive_ns),
            peers: caps.peers,
            message_price: self.prices.peer,
            surplus: self.surplus_benefit,
            tail: self.score_parts.tail,
        };
        Ok(DispatchSettings {
            terms,
            categories,
            quotas: self.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
            overload_factor: self.rules.overload_factor,
            gauges: self.report.names.iter().map(gauge).collect(),
        })
    }
}
