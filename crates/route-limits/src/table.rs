//! The routes of a file in their order of precedence, and what they come to for a request.

use crate::limits::{each, narrowed, Budget, Limits};
use crate::pattern::{segments, Path, Pattern, Request};
use crate::Ground;
use std::collections::HashMap;
use stileroute_dispatch::types::{self, Effect, Time};
use stileroute_operator_file::{Located, Position};

/// Where a rule comes from; in the order of precedence, the last first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Defaults,
    Category,
    Route,
}

/// One rule: limits that hold where its pattern matches, unless one before it sets the same key.
#[derive(Clone, Debug)]
pub struct Rule {
    pub kind: Kind,
    pub name: String,
    pub place: Position,
    pub pattern: Pattern,
    /// With what it inherits.
    pub limits: Limits,
}

/// The rules of a file, the first in precedence first.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub rules: Vec<Rule>,
    /// Further pushes of the whole node.
    pub node_budget: Option<Located<Budget>>,
    pub tenant_header: Option<String>,
    /// Headers that some rule looks at, in lower case, the tenant's included.
    pub headers: Vec<String>,
    index: Index,
    effects: Vec<Effect>,
}

/// Rules by path; those without one by tenant, else by category.
#[derive(Clone, Debug, Default)]
struct Index {
    nodes: Vec<Node>,
    by_tenant: HashMap<String, Vec<u32>>,
    by_category: Vec<Vec<u32>>,
    rest: Vec<u32>,
}

#[derive(Clone, Debug, Default)]
struct Node {
    fixed: HashMap<String, usize>,
    free: Option<usize>,
    whole: Vec<u32>,
    prefix: Vec<u32>,
}

impl Index {
    fn new(rules: &[Rule], categories: usize) -> Index {
        let mut index = Index { nodes: vec![Node::default()], ..Index::default() };
        index.by_category.resize(categories, Vec::new());
        for (number, rule) in rules.iter().enumerate() {
            let number = number as u32;
            match &rule.pattern.path {
                Path::Any => match (&rule.pattern.tenant, rule.pattern.category) {
                    (Some(tenant), _) => index.by_tenant.entry(tenant.clone()).or_default().push(number),
                    (None, Some(category)) => index.by_category[category].push(number),
                    (None, None) => index.rest.push(number),
                },
                Path::Whole(own) => {
                    let at = own.iter().fold(0, |at, segment| index.step(at, segment.as_deref()));
                    index.nodes[at].whole.push(number);
                }
                Path::Prefix(own) => {
                    let at = own.iter().fold(0, |at, segment| index.step(at, Some(segment)));
                    index.nodes[at].prefix.push(number);
                }
            }
        }
        index
    }

    fn step(&mut self, at: usize, segment: Option<&str>) -> usize {
        let next = self.nodes.len();
        let found = match segment {
            Some(segment) => *self.nodes[at].fixed.entry(segment.to_string()).or_insert(next),
            None => *self.nodes[at].free.get_or_insert(next),
        };
        if found == next {
            self.nodes.push(Node::default());
        }
        found
    }

    /// Every rule whose path may match, in no order.
    fn candidates(&self, request: &Request, out: &mut Vec<u32>) {
        out.extend(&self.rest);
        out.extend(self.by_category.get(request.category).into_iter().flatten());
        if let Some(tenant) = request.tenant {
            out.extend(self.by_tenant.get(tenant).into_iter().flatten());
        }
        if self.nodes.len() > 1 {
            self.walk(0, segments(request.path), out);
        }
    }

    fn walk<'a>(&self, at: usize, mut left: impl Iterator<Item = &'a str> + Clone, out: &mut Vec<u32>) {
        let node = &self.nodes[at];
        out.extend(&node.prefix);
        match left.next() {
            None => out.extend(&node.whole),
            Some(segment) => {
                // The depth is that of the deepest rule, not of the path.
                if let Some(next) = node.fixed.get(segment) {
                    self.walk(*next, left.clone(), out);
                }
                if let Some(next) = node.free {
                    self.walk(next, left, out);
                }
            }
        }
    }
}

/// One key that holds: its value, and the rule that sets it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held<'a, T> {
    pub set: &'a Located<T>,
    pub rule: u32,
}

/// What the matching rules come to: each key from the first rule that sets it.
#[derive(Debug, Default)]
pub struct Effective<'a> {
    pub connect: Option<Held<'a, Time>>,
    pub no_start: Option<Held<'a, Time>>,
    pub no_progress: Option<Held<'a, Time>>,
    pub op: Option<Held<'a, Time>>,
    pub pushes: Option<Held<'a, usize>>,
    pub pause: Option<Held<'a, Time>>,
    pub pause_spread: Option<Held<'a, f64>>,
    pub copy_after: Option<Held<'a, f64>>,
    pub budget: Option<Held<'a, Budget>>,
    pub in_hand: Option<Held<'a, usize>>,
    pub wait: Option<Held<'a, Time>>,
    pub waiting: Option<Held<'a, usize>>,
    pub kinds: Option<Held<'a, u64>>,
    pub domains: Option<Held<'a, u64>>,
    pub effect: Option<Held<'a, crate::limits::Narrowed>>,
    pub resend_within: Option<Held<'a, Time>>,
    pub resend_group: Option<Held<'a, types::Scope>>,
}

impl Effective<'_> {
    /// Key, value as it reads, and its rule, of each key that is set.
    pub fn shown(&self, ground: &Ground) -> Vec<(&'static str, String, Position, u32)> {
        let time = |time: &Time| format!("{} ms", *time as f64 / 10.0);
        let names = |bits: &u64, names: &[String]| {
            let on = names.iter().enumerate().filter(|(at, _)| bits >> at & 1 == 1);
            on.map(|(_, name)| name.as_str()).collect::<Vec<_>>().join(", ")
        };
        let mut all = Vec::new();
        macro_rules! line {
            ($key:ident, $name:expr, $show:expr) => {
                if let Some(held) = &self.$key {
                    all.push(($name, $show(&held.set.value), held.set.position.clone(), held.rule));
                }
            };
        }
        line!(connect, "connect", time);
        line!(no_start, "no-start", time);
        line!(no_progress, "no-progress", time);
        line!(op, "op", time);
        line!(pushes, "pushes", |pushes: &usize| pushes.to_string());
        line!(pause, "pause", time);
        line!(pause_spread, "pause-spread", |spread: &f64| spread.to_string());
        line!(copy_after, "copy-after", |part: &f64| format!("the {part} quantile of own running times"));
        line!(budget, "retry-budget", |b: &Budget| {
            format!("{} of first pushes over {}, {} free", b.part, time(&b.window), b.least)
        });
        line!(in_hand, "in-hand", |count: &usize| count.to_string());
        line!(wait, "wait", time);
        line!(waiting, "waiting", |count: &usize| count.to_string());
        line!(kinds, "kinds", |bits: &u64| names(bits, &ground.kinds));
        line!(domains, "domains", |bits: &u64| names(bits, &ground.domains));
        line!(effect, "effect", |to: &crate::limits::Narrowed| format!("{to:?}").to_lowercase());
        line!(resend_within, "resend-within", time);
        line!(resend_group, "resend-group", |scope: &types::Scope| format!("{scope:?}").to_lowercase());
        all
    }
}

impl Table {
    /// A table of these rules, in order and with its index, but unchecked.
    pub(crate) fn new(
        rules: Vec<Rule>,
        node_budget: Option<Located<Budget>>,
        tenant_header: Option<String>,
        ground: &Ground,
    ) -> Table {
        let mut table = Table { rules, node_budget, tenant_header, ..Table::default() };
        table.arrange(ground);
        table
    }

    /// Puts the rules in order and makes the index.
    fn arrange(&mut self, ground: &Ground) {
        // A stable sort: of equals the first in the file goes before.
        self.rules.sort_by_key(|rule| std::cmp::Reverse((rule.kind, rule.pattern.rank())));
        let mut headers: Vec<String> =
            self.rules.iter().flat_map(|rule| rule.pattern.headers.keys().cloned()).collect();
        headers.extend(self.tenant_header.clone());
        headers.sort();
        headers.dedup();
        self.headers = headers;
        self.index = Index::new(&self.rules, ground.categories.len());
        self.effects = ground.categories.iter().map(|(_, _, category)| category.effect).collect();
    }

    /// A table of these rules, unchecked; for tests and measurements.
    pub fn of(rules: Vec<Rule>, ground: &Ground) -> Table {
        Table::new(rules, None, None, ground)
    }

    /// The rules that match a request, the first in precedence first.
    pub fn matching(&self, request: &Request, out: &mut Vec<u32>) {
        out.clear();
        self.index.candidates(request, out);
        out.retain(|number| self.rules[*number as usize].pattern.matches_rest(request));
        out.sort_unstable();
    }

    /// What these rules come to.
    pub fn effective(&self, matching: &[u32]) -> Effective<'_> {
        let mut effective = Effective::default();
        for number in matching {
            let limits = &self.rules[*number as usize].limits;
            macro_rules! take {
                ($($key:ident),*) => { $(
                    if effective.$key.is_none() {
                        effective.$key = limits.$key.as_ref().map(|set| Held { set, rule: *number });
                    }
                )* };
            }
            each!(take);
        }
        effective
    }

    /// How many categories there are.
    pub fn categories(&self) -> usize {
        self.effects.len()
    }

    /// The effect that holds for a category under what is effective.
    pub fn effect(&self, category: usize, effective: &Effective) -> Effect {
        let to = effective.effect.as_ref().map(|held| held.set.value);
        let within = effective.resend_within.as_ref().map(|held| held.set.value);
        let group = effective.resend_group.as_ref().map(|held| held.set.value);
        narrowed(self.effects[category], to, within, group)
    }

    /// The name of the first real route among those that match.
    pub fn name(&self, matching: &[u32]) -> &str {
        matching
            .iter()
            .map(|number| &self.rules[*number as usize])
            .find(|rule| rule.kind == Kind::Route)
            .map_or("-", |rule| &rule.name)
    }
}
