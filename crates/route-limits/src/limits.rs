//! The limits that a route, a category or the defaults may set for requests, and their reading from the operator's file.

use crate::PlatformSettings;
use stileroute_dispatch::types::{Effect, Scope, Time};
use stileroute_operator_file::{suggestion, Located, Section};

/// A retry budget: within a sliding window, retries may be at most `ratio` times the first pushes, plus `min_retries`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub ratio: f64,
    pub window: Time,
    pub min_retries: f64,
}

/// The value of the key `effect`: the effect that a route assumes in place of its category's. Only a narrower one (with fewer
/// resends allowed) passes the check.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum EffectOverride {
    Redeliverable,
    Deduplicated,
    AtMostOnce,
}

/// The limits that one table of the file sets; each is optional and keeps its position in the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    pub connect_timeout: Option<Located<Time>>,
    pub start_timeout: Option<Located<Time>>,
    pub progress_timeout: Option<Located<Time>>,
    pub op_timeout: Option<Located<Time>>,
    pub max_pushes: Option<Located<usize>>,
    pub retry_backoff: Option<Located<Time>>,
    pub backoff_spread: Option<Located<f64>>,
    pub hedge_quantile: Option<Located<f64>>,
    pub retry_budget: Option<Located<RetryBudget>>,
    pub max_in_flight: Option<Located<usize>>,
    pub max_queue_wait: Option<Located<Time>>,
    pub max_queued: Option<Located<usize>>,
    /// A bit for each executor kind that may run the request; `domains` likewise for failure domains.
    pub kinds: Option<Located<u64>>,
    pub domains: Option<Located<u64>>,
    pub effect: Option<Located<EffectOverride>>,
    pub resend_window: Option<Located<Time>>,
    pub resend_scope: Option<Located<Scope>>,
}

/// The keys of limits in the operator's file, in the order of the fields of [`Limits`].
pub const LIMIT_KEYS: [&str; 17] = [
    "connect",
    "no-start",
    "no-progress",
    "op",
    "pushes",
    "pause",
    "pause-spread",
    "copy-after",
    "retry-budget",
    "in-hand",
    "wait",
    "waiting",
    "kinds",
    "domains",
    "effect",
    "resend-within",
    "resend-group",
];

/// Calls a macro with the names of all limits, so that their list is kept in one place.
macro_rules! for_each_limit {
    ($macro_name:ident) => {
        $macro_name!(
            connect_timeout,
            start_timeout,
            progress_timeout,
            op_timeout,
            max_pushes,
            retry_backoff,
            backoff_spread,
            hedge_quantile,
            retry_budget,
            max_in_flight,
            max_queue_wait,
            max_queued,
            kinds,
            domains,
            effect,
            resend_window,
            resend_scope
        )
    };
}
pub(crate) use for_each_limit;

impl Limits {
    /// These limits, with those that are not set taken from `other`.
    pub fn or(&self, other: &Limits) -> Limits {
        macro_rules! merge {
            ($($key:ident),*) => { Limits { $($key: self.$key.clone().or_else(|| other.$key.clone())),* } };
        }
        for_each_limit!(merge)
    }

    /// A bit for each limit that is set, in the order of [`LIMIT_KEYS`].
    pub fn set_limits(&self) -> u32 {
        let mut bits = 0;
        let mut bit = 0;
        macro_rules! set_bit {
            ($($key:ident),*) => { $(
                bits |= u32::from(self.$key.is_some()) << bit;
                bit += 1;
            )* };
        }
        for_each_limit!(set_bit);
        let _ = bit;
        bits
    }

    /// Reads the key `retry-budget` of a table.
    pub fn read_retry_budget(keys: &Section) -> Option<Located<RetryBudget>> {
        let table = keys.table("retry-budget")?;
        let table_position = table.position();
        let ratio = table.number("part", 0.0..=1.0);
        let window = table.time("window");
        let min_retries = table.number("least", 0.0..=1e6);
        if let Some(window) = window.as_ref().filter(|w| !(10_000..=36_000_000).contains(&w.value)) {
            table.log().add(window.position.clone(), "must be from 1s to 1h", None);
        }
        if ratio.is_none() {
            table.log().add(table_position.clone(), "needs a part from 0 to 1, such as part = 0.2", None);
        }
        table.finish();
        let value = RetryBudget {
            ratio: ratio?.value,
            window: window.map_or(100_000, |window| window.value).max(10_000),
            min_retries: min_retries.map_or(3.0, |min_retries| min_retries.value),
        };
        Some(Located { value, position: table_position })
    }

    /// Reads the limits of a table, and reports wrong values.
    pub fn read(keys: &Section, platform: &PlatformSettings) -> Limits {
        let name_mask = |key: &str, names: &[String], what: &str| {
            let names_given = keys.text_list(key)?;
            let mut bits = 0;
            for name in &names_given.value {
                match names.iter().position(|known| *known == name.value) {
                    Some(index) if index < 63 => bits |= 1 << index,
                    Some(_) => {
                        keys.log().add(
                            name.position.clone(),
                            format!("only the first 63 {what}s of the settings can be named"),
                            None,
                        );
                    }
                    None => {
                        let all: Vec<&str> = names.iter().map(String::as_str).collect();
                        let hint = suggestion(name, &all);
                        let reason = format!("there is no {what} '{}'{hint}", name.value);
                        keys.log().add(name.position.clone(), reason, None);
                    }
                }
            }
            (bits != 0).then_some(Located { value: bits, position: names_given.position })
        };
        let positive = |key: &str| {
            let time = keys.time(key)?;
            if time.value <= 0 {
                keys.log().add(time.position, "must be longer than 0", None);
                return None;
            }
            Some(time)
        };
        let effects = [
            ("redeliverable", EffectOverride::Redeliverable),
            ("deduplicated", EffectOverride::Deduplicated),
            ("at-most-once", EffectOverride::AtMostOnce),
        ];
        let scopes = [("all", Scope::All), ("domain", Scope::Domain), ("cell", Scope::Cell)];
        Limits {
            connect_timeout: positive("connect"),
            start_timeout: positive("no-start"),
            progress_timeout: positive("no-progress"),
            op_timeout: positive("op"),
            max_pushes: keys.count("pushes", 1..=64),
            retry_backoff: keys.time("pause"),
            backoff_spread: keys.number("pause-spread", 0.0..=10.0),
            hedge_quantile: keys.number("copy-after", 0.5..=0.999),
            retry_budget: Limits::read_retry_budget(keys),
            max_in_flight: keys.count("in-hand", 1..=1_000_000),
            max_queue_wait: keys.time("wait"),
            max_queued: keys.count("waiting", 0..=100_000),
            kinds: name_mask("kinds", &platform.kinds, "kind"),
            domains: name_mask("domains", &platform.domains, "failure domain"),
            effect: keys.choice("effect", &effects),
            resend_window: keys.time("resend-within"),
            resend_scope: keys.choice("resend-group", &scopes),
        }
    }
}

/// The narrowness of an effect, from 0 (may be redelivered) to 2 (at most once). A route may set only an effect that is as
/// narrow as its category's or narrower.
pub fn narrowness(effect: Effect) -> u8 {
    match effect {
        Effect::Redeliverable => 0,
        Effect::Deduplicated { .. } => 1,
        Effect::AtMostOnce => 2,
    }
}

/// Whether executors that deduplicate within the scope `wider` also do so within `narrower`. A cell may span failure domains and
/// a domain may span cells, so neither of these two scopes is within the other.
pub fn scope_within(narrower: Scope, wider: Scope) -> bool {
    wider == Scope::All || wider == narrower
}

/// The effect of a request whose category has the effect `effect`, once a route's overrides are applied.
pub fn narrowed_effect(
    effect: Effect,
    override_to: Option<EffectOverride>,
    resend_window: Option<Time>,
    scope: Option<Scope>,
) -> Effect {
    match (effect, override_to) {
        (_, Some(EffectOverride::AtMostOnce)) | (Effect::AtMostOnce, _) => Effect::AtMostOnce,
        (Effect::Deduplicated { scope: category_scope, window }, _) => {
            let scope = scope.filter(|scope| scope_within(*scope, category_scope)).unwrap_or(category_scope);
            Effect::Deduplicated { scope, window: window.min(resend_window.unwrap_or(window)) }
        }
        (effect, _) => effect,
    }
}
