//! The rules of a file in their order of precedence, and the limits that they set for a request.

use crate::limits::{for_each_limit, narrowed_effect, Limits, RetryBudget};
use crate::pattern::{segments, Path, Pattern, Request};
use crate::PlatformSettings;
use std::collections::HashMap;
use stileroute_dispatch::types::{self, Effect, Time};
use stileroute_operator_file::{Located, Position};

/// The section of the file that a rule comes from, in rising order of precedence: routes override categories, and these the
/// defaults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RuleKind {
    Defaults,
    Category,
    Route,
}

/// A rule: limits for the requests that its pattern matches. A limit applies unless a matching rule of higher precedence sets it
/// too.
#[derive(Clone, Debug)]
pub struct Rule {
    pub kind: RuleKind,
    pub name: String,
    pub position: Position,
    pub pattern: Pattern,
    /// The limits of the rule, with those that it inherits.
    pub limits: Limits,
}

/// The rules of a file, sorted by falling precedence.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub rules: Vec<Rule>,
    /// The retry budget of the whole node.
    pub node_budget: Option<Located<RetryBudget>>,
    pub tenant_header: Option<String>,
    /// The names, in lower case, of all headers that rules match, with the tenant header.
    pub headers: Vec<String>,
    index: RuleIndex,
    category_effects: Vec<Effect>,
}

/// An index to find the rules that may match a request: a trie by path; rules without a path by tenant, else by category.
#[derive(Clone, Debug, Default)]
struct RuleIndex {
    path_nodes: Vec<PathNode>,
    tenant_rules: HashMap<String, Vec<u32>>,
    category_rules: Vec<Vec<u32>>,
    unconditional_rules: Vec<u32>,
}

/// A node of the path trie. A `complete_path_rules` entry matches paths that end here, a `prefix_rules` entry all that go on, too.
#[derive(Clone, Debug, Default)]
struct PathNode {
    literal_children: HashMap<String, usize>,
    wildcard_child: Option<usize>,
    complete_path_rules: Vec<u32>,
    prefix_rules: Vec<u32>,
}

impl RuleIndex {
    fn new(rules: &[Rule], categories: usize) -> RuleIndex {
        let mut index = RuleIndex { path_nodes: vec![PathNode::default()], ..RuleIndex::default() };
        index.category_rules.resize(categories, Vec::new());
        for (number, rule) in rules.iter().enumerate() {
            let number = number as u32;
            match &rule.pattern.path {
                Path::Any => match (&rule.pattern.tenant, rule.pattern.category) {
                    (Some(tenant), _) => index.tenant_rules.entry(tenant.clone()).or_default().push(number),
                    (None, Some(category)) => index.category_rules[category].push(number),
                    (None, None) => index.unconditional_rules.push(number),
                },
                Path::Segments(path_segments) => {
                    let node_id = path_segments
                        .iter()
                        .fold(0, |node_id, segment| index.child_or_insert(node_id, segment.as_deref()));
                    index.path_nodes[node_id].complete_path_rules.push(number);
                }
                Path::Prefix(path_segments) => {
                    let node_id = path_segments
                        .iter()
                        .fold(0, |node_id, segment| index.child_or_insert(node_id, Some(segment)));
                    index.path_nodes[node_id].prefix_rules.push(number);
                }
            }
        }
        index
    }

    fn child_or_insert(&mut self, node_id: usize, segment: Option<&str>) -> usize {
        let child = self.path_nodes.len();
        let found = match segment {
            Some(segment) => {
                *self.path_nodes[node_id].literal_children.entry(segment.to_string()).or_insert(child)
            }
            None => *self.path_nodes[node_id].wildcard_child.get_or_insert(child),
        };
        if found == child {
            self.path_nodes.push(PathNode::default());
        }
        found
    }

    /// Collects, in no particular order, every rule whose path matches; the other conditions may still fail.
    fn candidates(&self, request: &Request, out: &mut Vec<u32>) {
        out.extend(&self.unconditional_rules);
        out.extend(self.category_rules.get(request.category).into_iter().flatten());
        if let Some(tenant) = request.tenant {
            out.extend(self.tenant_rules.get(tenant).into_iter().flatten());
        }
        if self.path_nodes.len() > 1 {
            self.walk(0, segments(request.path), out);
        }
    }

    fn walk<'a>(
        &self,
        node_id: usize,
        mut remaining_segments: impl Iterator<Item = &'a str> + Clone,
        out: &mut Vec<u32>,
    ) {
        let current_node = &self.path_nodes[node_id];
        out.extend(&current_node.prefix_rules);
        match remaining_segments.next() {
            None => out.extend(&current_node.complete_path_rules),
            Some(segment) => {
                // The recursion is no deeper than the rule with the most segments, however long the request's path is.
                if let Some(child) = current_node.literal_children.get(segment) {
                    self.walk(*child, remaining_segments.clone(), out);
                }
                if let Some(child) = current_node.wildcard_child {
                    self.walk(child, remaining_segments, out);
                }
            }
        }
    }
}

/// A limit that applies to a request: its setting in the file, and the number of the rule that sets it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveLimit<'a, T> {
    pub setting: &'a Located<T>,
    pub rule: u32,
}

/// The limits that apply to a request: each is set by the matching rule of highest precedence that has it.
#[derive(Debug, Default)]
pub struct EffectiveLimits<'a> {
    pub connect_timeout: Option<EffectiveLimit<'a, Time>>,
    pub start_timeout: Option<EffectiveLimit<'a, Time>>,
    pub progress_timeout: Option<EffectiveLimit<'a, Time>>,
    pub op_timeout: Option<EffectiveLimit<'a, Time>>,
    pub max_pushes: Option<EffectiveLimit<'a, usize>>,
    pub retry_backoff: Option<EffectiveLimit<'a, Time>>,
    pub backoff_spread: Option<EffectiveLimit<'a, f64>>,
    pub hedge_quantile: Option<EffectiveLimit<'a, f64>>,
    pub retry_budget: Option<EffectiveLimit<'a, RetryBudget>>,
    pub max_in_flight: Option<EffectiveLimit<'a, usize>>,
    pub max_queue_wait: Option<EffectiveLimit<'a, Time>>,
    pub max_queued: Option<EffectiveLimit<'a, usize>>,
    pub kinds: Option<EffectiveLimit<'a, u64>>,
    pub domains: Option<EffectiveLimit<'a, u64>>,
    pub effect: Option<EffectiveLimit<'a, crate::limits::EffectOverride>>,
    pub resend_window: Option<EffectiveLimit<'a, Time>>,
    pub resend_scope: Option<EffectiveLimit<'a, types::Scope>>,
}

impl EffectiveLimits<'_> {
    /// For each limit that is set: its key, its value as text, its position in the file and the number of its rule.
    pub fn describe(&self, platform: &PlatformSettings) -> Vec<(&'static str, String, Position, u32)> {
        let time = |time: &Time| format!("{} ms", *time as f64 / 10.0);
        let names = |bits: &u64, names: &[String]| {
            let selected = names.iter().enumerate().filter(|(bit, _)| bits >> bit & 1 == 1);
            selected.map(|(_, name)| name.as_str()).collect::<Vec<_>>().join(", ")
        };
        let mut all = Vec::new();
        macro_rules! push_line {
            ($key:ident, $name:expr, $format_value:expr) => {
                if let Some(limit) = &self.$key {
                    all.push((
                        $name,
                        $format_value(&limit.setting.value),
                        limit.setting.position.clone(),
                        limit.rule,
                    ));
                }
            };
        }
        push_line!(connect_timeout, "connect", time);
        push_line!(start_timeout, "no-start", time);
        push_line!(progress_timeout, "no-progress", time);
        push_line!(op_timeout, "op", time);
        push_line!(max_pushes, "pushes", |max_pushes: &usize| max_pushes.to_string());
        push_line!(retry_backoff, "pause", time);
        push_line!(backoff_spread, "pause-spread", |spread: &f64| spread.to_string());
        push_line!(hedge_quantile, "copy-after", |quantile: &f64| format!(
            "the {quantile} quantile of recorded run times"
        ));
        push_line!(retry_budget, "retry-budget", |b: &RetryBudget| {
            format!("{} of first pushes over {}, plus {}", b.ratio, time(&b.window), b.min_retries)
        });
        push_line!(max_in_flight, "in-hand", |count: &usize| count.to_string());
        push_line!(max_queue_wait, "wait", time);
        push_line!(max_queued, "waiting", |count: &usize| count.to_string());
        push_line!(kinds, "kinds", |bits: &u64| names(bits, &platform.kinds));
        push_line!(domains, "domains", |bits: &u64| names(bits, &platform.domains));
        push_line!(effect, "effect", |override_to: &crate::limits::EffectOverride| format!(
            "{override_to:?}"
        )
        .to_lowercase());
        push_line!(resend_window, "resend-within", time);
        push_line!(resend_scope, "resend-group", |scope: &types::Scope| format!("{scope:?}").to_lowercase());
        all
    }
}

impl Table {
    /// Makes a table of these rules, sorted and indexed, without checking that they are safe.
    pub(crate) fn new(
        rules: Vec<Rule>,
        node_budget: Option<Located<RetryBudget>>,
        tenant_header: Option<String>,
        platform: &PlatformSettings,
    ) -> Table {
        let mut table = Table { rules, node_budget, tenant_header, ..Table::default() };
        table.sort_and_index(platform);
        table
    }

    /// Sorts the rules by precedence and builds the index.
    fn sort_and_index(&mut self, platform: &PlatformSettings) {
        // The sort is stable: of rules with equal precedence, the one that is earlier in the file takes precedence.
        self.rules.sort_by_key(|rule| std::cmp::Reverse((rule.kind, rule.pattern.precedence())));
        let mut headers: Vec<String> =
            self.rules.iter().flat_map(|rule| rule.pattern.headers.keys().cloned()).collect();
        headers.extend(self.tenant_header.clone());
        headers.sort();
        headers.dedup();
        self.headers = headers;
        self.index = RuleIndex::new(&self.rules, platform.categories.len());
        self.category_effects = platform.categories.iter().map(|(_, _, category)| category.effect).collect();
    }

    /// Makes a table of these rules without checking that they are safe; for tests and measurements.
    pub fn unchecked(rules: Vec<Rule>, platform: &PlatformSettings) -> Table {
        Table::new(rules, None, None, platform)
    }

    /// Puts the numbers of the rules that match a request into `out`, by falling precedence.
    pub fn matching(&self, request: &Request, out: &mut Vec<u32>) {
        out.clear();
        self.index.candidates(request, out);
        out.retain(|number| self.rules[*number as usize].pattern.matches_rest(request));
        out.sort_unstable();
    }

    /// The limits that apply to a request that these rules match.
    pub fn effective(&self, matching: &[u32]) -> EffectiveLimits<'_> {
        let mut effective = EffectiveLimits::default();
        for number in matching {
            let limits = &self.rules[*number as usize].limits;
            macro_rules! first_setting {
                ($($key:ident),*) => { $(
                    if effective.$key.is_none() {
                        effective.$key = limits.$key.as_ref().map(|setting| EffectiveLimit { setting, rule: *number });
                    }
                )* };
            }
            for_each_limit!(first_setting);
        }
        effective
    }

    pub fn category_count(&self) -> usize {
        self.category_effects.len()
    }

    /// The effect of a category's request under these limits.
    pub fn effect(&self, category: usize, effective: &EffectiveLimits) -> Effect {
        let override_to = effective.effect.as_ref().map(|limit| limit.setting.value);
        let window = effective.resend_window.as_ref().map(|limit| limit.setting.value);
        let scope = effective.resend_scope.as_ref().map(|limit| limit.setting.value);
        narrowed_effect(self.category_effects[category], override_to, window, scope)
    }

    /// The name of the matching route of highest precedence; `-` if only defaults or a category match.
    pub fn route_name(&self, matching: &[u32]) -> &str {
        matching
            .iter()
            .map(|number| &self.rules[*number as usize])
            .find(|rule| rule.kind == RuleKind::Route)
            .map_or("-", |rule| &rule.name)
    }
}
