//! Checks, when a file is loaded, that the limits are safe for every request that its rules can match.
//!
//! For each key, the matching rule of highest precedence that sets it applies. The values of two keys that apply to a request
//! are therefore set by a pair of rules, or by one rule and the platform's settings, which apply below all rules. For each pair
//! of rules with conflicting values, the check asks whether there is a request that both match and for which no rule of higher
//! precedence sets the same key. The category is fixed first; the other conditions are on dimensions with endlessly many values
//! (path segments, tenants, headers). So rules of higher precedence shadow the pair for all requests only if one of them alone
//! covers every request that both rules match. `docs/routes.md` has the proof.

use crate::limits::{narrowness, scope_within, EffectOverride, Limits, RetryBudget};
use crate::pattern::Pattern;
use crate::table::{Rule, RuleKind, Table};
use crate::PlatformSettings;
use std::collections::BTreeSet;
use stileroute_dispatch::types::{Effect, Scope, Time};
use stileroute_operator_file::{FaultLog, Located, Position, SafetyRule};

/// Stands for the platform's settings where the number of a rule is expected; they have the lowest precedence.
const SETTINGS_RULE: usize = usize::MAX;

/// Returns one limit of a set of limits.
type LimitGetter<T> = fn(&Limits) -> &Option<Located<T>>;

/// The value of one limit, with the rule that sets it and its position in the file.
#[derive(Clone)]
struct RuleSetting<'a, T> {
    rule: usize,
    value: T,
    position: &'a Position,
}

struct Checker<'a> {
    table: &'a Table,
    platform: &'a PlatformSettings,
    faults: &'a FaultLog,
    match_all: &'a Pattern,
    /// The conflicts that are reported already, as two rules and a code, so that none is repeated for another category.
    reported: BTreeSet<(usize, usize, &'static str)>,
}

const CONNECT_TIMEOUT: LimitGetter<Time> = |limits| &limits.connect_timeout;
const START_TIMEOUT: LimitGetter<Time> = |limits| &limits.start_timeout;
const PROGRESS_TIMEOUT: LimitGetter<Time> = |limits| &limits.progress_timeout;
const OP_TIMEOUT: LimitGetter<Time> = |limits| &limits.op_timeout;
const MAX_PUSHES: LimitGetter<usize> = |limits| &limits.max_pushes;
const RETRY_BACKOFF: LimitGetter<Time> = |limits| &limits.retry_backoff;
const HEDGE_QUANTILE: LimitGetter<f64> = |limits| &limits.hedge_quantile;
const MAX_QUEUE_WAIT: LimitGetter<Time> = |limits| &limits.max_queue_wait;
const KINDS: LimitGetter<u64> = |limits| &limits.kinds;
const EFFECT: LimitGetter<EffectOverride> = |limits| &limits.effect;
const RESEND_WINDOW: LimitGetter<Time> = |limits| &limits.resend_window;
const RESEND_SCOPE: LimitGetter<Scope> = |limits| &limits.resend_scope;

impl<'a> Checker<'a> {
    fn pattern(&self, rule: usize) -> &'a Pattern {
        let table: &'a Table = self.table;
        table.rules.get(rule).map_or(self.match_all, |rule| &rule.pattern)
    }

    /// The settings of one limit in all rules that can match requests of a category.
    fn settings_of<T: Copy + 'static>(
        &self,
        category: usize,
        getter: LimitGetter<T>,
    ) -> Vec<RuleSetting<'a, T>> {
        let table: &'a Table = self.table;
        let mut settings = Vec::new();
        for (rule, candidate) in table.rules.iter().enumerate() {
            if let Some(setting) = getter(&candidate.limits)
                .as_ref()
                .filter(|_| candidate.pattern.category.is_none_or(|c| c == category))
            {
                settings.push(RuleSetting { rule, value: setting.value, position: &setting.position });
            }
        }
        settings
    }

    /// Whether some request of the category matches both rules, while no rule of higher precedence than the first sets the first
    /// limit, and none of higher precedence than the second sets the second limit.
    fn is_reachable<A, B>(
        &self,
        category: usize,
        first_rule: usize,
        first_getter: LimitGetter<A>,
        second_rule: usize,
        second_getter: LimitGetter<B>,
    ) -> bool {
        let (first_pattern, second_pattern) = (self.pattern(first_rule), self.pattern(second_rule));
        let shadows = |number: usize| {
            let rule = &self.table.rules[number];
            let sets_key = (number < first_rule && first_getter(&rule.limits).is_some())
                || (number < second_rule && second_getter(&rule.limits).is_some());
            sets_key && rule.pattern.covers_overlap(first_pattern, second_pattern, category)
        };
        let last = first_rule.min(self.table.rules.len()).max(second_rule.min(self.table.rules.len()));
        first_pattern.overlaps(second_pattern) && !(0..last).any(shadows)
    }

    fn name(&self, rule: usize) -> String {
        match self.table.rules.get(rule) {
            None => "the settings".to_string(),
            Some(rule) if rule.kind == RuleKind::Route => format!("route '{}'", rule.name),
            Some(rule) => format!("[{}]", rule.name.replace(' ', ".")),
        }
    }

    fn category_name(&self, category: usize) -> &'a str {
        let platform: &'a PlatformSettings = self.platform;
        &platform.categories[category].0
    }

    /// Checks each value of one limit against the category. `conflict` returns the reason why a value is not allowed.
    fn check_limit<T: Copy + 'static>(
        &mut self,
        category: usize,
        getter: LimitGetter<T>,
        code: &'static str,
        broken_rule: Option<SafetyRule>,
        conflict: impl Fn(T) -> Option<String>,
    ) {
        for setting in self.settings_of(category, getter) {
            let Some(reason) = conflict(setting.value) else { continue };
            if !self.is_reachable(category, setting.rule, getter, setting.rule, getter)
                || !self.reported.insert((setting.rule, setting.rule, code))
            {
                continue;
            }
            let position = setting.position.clone();
            self.faults.add(
                position,
                format!("{reason} (category {})", self.category_name(category)),
                broken_rule,
            );
        }
    }

    /// Checks the values of two limits that may conflict. `settings_value` is the value of the second limit in the platform's
    /// settings, where no rule sets it.
    #[allow(clippy::too_many_arguments)]
    fn check_pair<A: Copy + PartialOrd + 'static, B: Copy + PartialOrd + 'static>(
        &mut self,
        category: usize,
        (first_getter, first_name): (LimitGetter<A>, &str),
        (second_getter, second_name): (LimitGetter<B>, &str),
        settings_value: Option<B>,
        code: &'static str,
        broken_rule: Option<SafetyRule>,
        conflict: impl Fn(A, B) -> Option<String>,
    ) {
        let (first_settings, second_settings) =
            (self.settings_of(category, first_getter), self.settings_of(category, second_getter));
        // Rules share few distinct values, so `conflict` is called once for each pair of values, not of rules.
        let groups = group_by_value(&second_settings);
        let mut previous_value: Option<A> = None;
        let mut conflicting: Vec<&RuleSetting<B>> = Vec::new();
        for first in group_by_value(&first_settings).into_iter().flatten() {
            if previous_value.is_none_or(|value| value != first.value) {
                let conflicting_groups =
                    groups.iter().filter(|group| conflict(first.value, group[0].value).is_some());
                conflicting = conflicting_groups.flatten().copied().collect();
                previous_value = Some(first.value);
            }
            for second in &conflicting {
                let Some(reason) = conflict(first.value, second.value) else { continue };
                if self.reported.contains(&(first.rule, second.rule, code))
                    || !self.is_reachable(category, first.rule, first_getter, second.rule, second_getter)
                {
                    continue;
                }
                self.reported.insert((first.rule, second.rule, code));
                let message = if first.rule == second.rule && first.position.line == second.position.line {
                    reason
                } else {
                    let (left, right) = (self.name(first.rule), self.name(second.rule));
                    let (left_line, right_line) = (first.position.line, second.position.line);
                    format!("{reason}: {first_name} of {left} (line {left_line}) meets {second_name} of {right} (line {right_line})")
                };
                // The fault is reported at the later line of the two, which was probably added to a file that was valid.
                let position = if first.position.line >= second.position.line {
                    first.position
                } else {
                    second.position
                };
                let text = format!("{message} (category {})", self.category_name(category));
                self.faults.add(position.clone(), text, broken_rule);
            }
            let Some(reason) = settings_value.and_then(|value| conflict(first.value, value)) else {
                continue;
            };
            if self.reported.contains(&(first.rule, SETTINGS_RULE, code))
                || !self.is_reachable(category, first.rule, first_getter, SETTINGS_RULE, second_getter)
            {
                continue;
            }
            self.reported.insert((first.rule, SETTINGS_RULE, code));
            self.faults.add(
                first.position.clone(),
                format!("{reason} (category {})", self.category_name(category)),
                broken_rule,
            );
        }
    }

    /// Checks all limits for the requests of one category.
    fn check_category(&mut self, category: usize) {
        self.check_effect(category);
        self.check_hedging_and_pushes(category);
        self.check_timeouts_within_ttl(category);
        self.check_nested_timeouts(category);
        self.check_deduplication(category);
        self.check_executor_kind(category);
    }

    fn category_effect(&self, category: usize) -> Effect {
        let (_, _, settings) = &self.platform.categories[category];
        settings.effect
    }

    /// A route may set only an effect that is as narrow as the category's, or narrower.
    fn check_effect(&mut self, category: usize) {
        let category_narrowness = narrowness(self.category_effect(category));
        self.check_limit(category, EFFECT, "effect", Some(SafetyRule::NoDuplicateEffect), |override_to| {
            let override_narrowness = match override_to {
                EffectOverride::Redeliverable => 0,
                EffectOverride::Deduplicated => 1,
                EffectOverride::AtMostOnce => 2,
            };
            if override_narrowness < category_narrowness {
                let reason = "an op could run twice: the effect may only be narrower than the category's";
                return Some(reason.to_string());
            }
            (override_to == EffectOverride::Deduplicated && category_narrowness == 0).then(|| {
                "no executor drops a repeat of this category, so it can't be deduplicated".to_string()
            })
        });
    }

    /// Hedged pushes and retries need an effect and platform settings that allow them.
    fn check_hedging_and_pushes(&mut self, category: usize) {
        let duplicates_effect = Some(SafetyRule::NoDuplicateEffect);
        let (settings_max_pushes, hedging_allowed) =
            (self.platform.terms.max_pushes, self.platform.terms.hedging);
        let category_override = match self.category_effect(category) {
            Effect::Redeliverable => EffectOverride::Redeliverable,
            Effect::Deduplicated { .. } => EffectOverride::Deduplicated,
            Effect::AtMostOnce => EffectOverride::AtMostOnce,
        };
        let (hedge_quantile, effect) = ((HEDGE_QUANTILE, "copy-after"), (EFFECT, "effect"));
        self.check_pair(
            category,
            hedge_quantile,
            effect,
            Some(category_override),
            "copy",
            duplicates_effect,
            |_, override_to| {
                (override_to == EffectOverride::AtMostOnce || category_override == EffectOverride::AtMostOnce)
                    .then(|| "a second copy of an at-most-once op would run it twice".to_string())
            },
        );
        self.check_limit(category, HEDGE_QUANTILE, "copies", duplicates_effect, |_| {
            (!hedging_allowed)
                .then(|| "the settings forbid two pushes at once, and a second copy is one".to_string())
        });
        self.check_limit(category, MAX_PUSHES, "pushes", None, |max_pushes| {
            (max_pushes > settings_max_pushes).then(|| {
                format!("{max_pushes} pushes are more than the {settings_max_pushes} that the settings allow")
            })
        });
        let max_pushes = (MAX_PUSHES, "pushes");
        self.check_pair(
            category,
            hedge_quantile,
            max_pushes,
            Some(settings_max_pushes),
            "copy-pushes",
            None,
            |_, max_pushes| {
                (max_pushes < 2).then(|| "a second copy is a push, and there is only one".to_string())
            },
        );
    }

    /// No time-out may be longer than the TTL of the category.
    fn check_timeouts_within_ttl(&mut self, category: usize) {
        let loses_request = Some(SafetyRule::NoRequestLost);
        let ttl = self.platform.ttl(category);
        let longer_than_ttl = |time: Time| {
            (time > ttl).then(|| format!("{} is longer than the TTL of {}", format_ms(time), format_ms(ttl)))
        };
        self.check_limit(category, OP_TIMEOUT, "op-ttl", loses_request, longer_than_ttl);
        self.check_limit(category, CONNECT_TIMEOUT, "connect-ttl", None, longer_than_ttl);
        self.check_limit(category, START_TIMEOUT, "no-start-ttl", None, longer_than_ttl);
        self.check_limit(category, PROGRESS_TIMEOUT, "no-progress-ttl", None, longer_than_ttl);
        self.check_limit(category, RETRY_BACKOFF, "pause-ttl", None, longer_than_ttl);
        self.check_limit(category, MAX_QUEUE_WAIT, "wait-ttl", loses_request, longer_than_ttl);
    }

    /// A time-out for one stage of a request must be shorter than that of the whole request, and connecting to an executor may
    /// take no longer than the start that it is part of.
    fn check_nested_timeouts(&mut self, category: usize) {
        let loses_request = Some(SafetyRule::NoRequestLost);
        let not_shorter_than_op = |limit_name: &'static str| {
            move |time: Time, op_timeout: Time| {
                (time >= op_timeout).then(|| {
                    format!(
                        "{limit_name} of {} is not shorter than the op's {}",
                        format_ms(time),
                        format_ms(op_timeout)
                    )
                })
            }
        };
        let (connect_timeout, start_timeout) = ((CONNECT_TIMEOUT, "connect"), (START_TIMEOUT, "no-start"));
        let (progress_timeout, op_timeout) = ((PROGRESS_TIMEOUT, "no-progress"), (OP_TIMEOUT, "op"));
        self.check_pair(
            category,
            connect_timeout,
            op_timeout,
            None,
            "connect-op",
            None,
            not_shorter_than_op("connect"),
        );
        self.check_pair(
            category,
            start_timeout,
            op_timeout,
            None,
            "no-start-op",
            None,
            not_shorter_than_op("no-start"),
        );
        self.check_pair(
            category,
            progress_timeout,
            op_timeout,
            None,
            "progress-op",
            None,
            not_shorter_than_op("no-progress"),
        );
        self.check_pair(
            category,
            (RETRY_BACKOFF, "pause"),
            op_timeout,
            None,
            "pause-op",
            None,
            not_shorter_than_op("pause"),
        );
        self.check_pair(
            category,
            (MAX_QUEUE_WAIT, "wait"),
            op_timeout,
            None,
            "wait-op",
            loses_request,
            not_shorter_than_op("wait"),
        );
        self.check_pair(
            category,
            connect_timeout,
            start_timeout,
            None,
            "connect-start",
            None,
            |connect_timeout, start| {
                (connect_timeout > start).then(|| {
                    let (start, connect_timeout) = (format_ms(start), format_ms(connect_timeout));
                    format!(
                        "a push would be cancelled after {start}, while it may connect for {connect_timeout}"
                    )
                })
            },
        );
    }

    /// A request may be resent only within the time window and the scope in which executors drop duplicates of it.
    fn check_deduplication(&mut self, category: usize) {
        let duplicates_effect = Some(SafetyRule::NoDuplicateEffect);
        let Effect::Deduplicated { scope, window } = self.category_effect(category) else { return };
        self.check_limit(category, RESEND_WINDOW, "window", duplicates_effect, |resend_window| {
            let reason = || {
                format!(
                    "{} is longer than the {} in which repeats are dropped",
                    format_ms(resend_window),
                    format_ms(window)
                )
            };
            (resend_window > window).then(reason)
        });
        self.check_limit(category, RESEND_SCOPE, "group", duplicates_effect, |scope_override| {
            let reason = || {
                format!("{scope_override:?} is not within the group that drops repeats, {scope:?}")
                    .to_lowercase()
            };
            (!scope_within(scope_override, scope)).then(reason)
        });
    }

    /// The executor kind that the category needs must be among the allowed kinds.
    fn check_executor_kind(&mut self, category: usize) {
        let (_, _, settings) = &self.platform.categories[category];
        let Some(kind) = settings.kind else { return };
        let name = self.platform.kinds.get(kind).cloned().unwrap_or_default();
        self.check_limit(category, KINDS, "kind", Some(SafetyRule::NoRequestLost), |kind_bits| {
            (kind_bits >> kind.min(63) & 1 == 0)
                .then(|| format!("the category runs only on kind '{name}', which is left out"))
        });
    }

    /// Reports each rule that never applies: for every category, all of its limits are set by rules of higher precedence that
    /// match every request that it matches.
    fn report_shadowed_rules(&mut self) {
        let table: &'a Table = self.table;
        let set_bits: Vec<u32> = table.rules.iter().map(|rule| rule.limits.set_limits()).collect();
        for (number, rule) in table.rules.iter().enumerate() {
            let earlier = (0..number).filter(|earlier| set_bits[*earlier] & set_bits[number] != 0);
            let covering: Vec<usize> =
                earlier.filter(|n| table.rules[*n].pattern.path.covers_path(&rule.pattern.path)).collect();
            if covering.is_empty() || set_bits[number] == 0 {
                continue;
            }
            let shadowed = |category: usize, key: u32| {
                let covers =
                    |earlier: &&Rule| earlier.pattern.covers_overlap(&rule.pattern, &rule.pattern, category);
                let setting_key = covering.iter().filter(|earlier| set_bits[**earlier] >> key & 1 == 1);
                setting_key.map(|earlier| &table.rules[*earlier]).find(covers)
            };
            let categories = 0..self.platform.categories.len();
            let mut applicable =
                categories.filter(|c| rule.pattern.category.is_none_or(|category| category == *c));
            let set_keys = || (0..u32::BITS).filter(|key| set_bits[number] >> key & 1 == 1);
            let mut shadowing_rule = None;
            let is_reachable = applicable.any(|category| {
                set_keys().any(|key| {
                    let earlier = shadowed(category, key);
                    shadowing_rule = earlier.or(shadowing_rule);
                    earlier.is_none()
                })
            });
            if let Some(earlier) = shadowing_rule.filter(|_| !is_reachable) {
                let reason = format!(
                    "it never applies: '{}' takes precedence over it ({})",
                    earlier.name, earlier.position
                );
                self.faults.add(rule.position.clone(), reason, None);
            }
        }
    }
}

/// A time in ms, as text for error messages.
fn format_ms(time: Time) -> String {
    format!("{} ms", time as f64 / 10.0)
}

/// The settings of a limit, grouped by value.
fn group_by_value<'b, 'a, T: Copy + PartialOrd>(
    settings: &'b [RuleSetting<'a, T>],
) -> Vec<Vec<&'b RuleSetting<'a, T>>> {
    let mut sorted_settings: Vec<&RuleSetting<T>> = settings.iter().collect();
    // Values are finite numbers or enum variants, so any two can be compared.
    sorted_settings.sort_by(|a, b| a.value.partial_cmp(&b.value).unwrap_or(std::cmp::Ordering::Equal));
    let mut groups: Vec<Vec<&RuleSetting<T>>> = Vec::new();
    for setting in sorted_settings {
        match groups.last_mut().filter(|group| group[0].value == setting.value) {
            Some(group) => group.push(setting),
            None => groups.push(vec![setting]),
        }
    }
    groups
}

/// Checks a table against the platform's settings for all possible requests, and adds what it finds to `faults`.
pub fn check(table: &Table, platform: &PlatformSettings, faults: &FaultLog) {
    let match_all = Pattern::default();
    let mut checker = Checker { table, platform, faults, match_all: &match_all, reported: BTreeSet::new() };
    for category in 0..platform.categories.len() {
        checker.check_category(category);
    }
    checker.report_shadowed_rules();
    let budget: Option<&Located<RetryBudget>> = table.node_budget.as_ref();
    if let Some(budget) = budget.filter(|budget| budget.value.ratio == 0.0 && budget.value.min_retries < 1.0)
    {
        faults.add(
            budget.position.clone(),
            "this budget allows no retry at all: set pushes = 1 in [defaults] for that",
            None,
        );
    }
}
