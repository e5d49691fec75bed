//! Whether what the rules come to is safe, for every request that can reach them.
//!
//! Of each key the first rule in precedence that matches and sets it holds. So whatever two keys come to for some
//! request is set by a pair of rules (or by one, and the settings below all rules). Each pair that is bad together is
//! looked at: is there a request that both match, and for which no rule before them sets the same key? Conditions are
//! on dimensions without end (segments, tenants, headers), but for the category, which is fixed first; so rules before
//! a pair leave no request over only if one of them covers all that both match. `docs/routes.md` has the argument.

use crate::limits::{inside, narrowness, Budget, Limits, Narrowed};
use crate::pattern::Pattern;
use crate::table::{Kind, Rule, Table};
use crate::Ground;
use std::collections::BTreeSet;
use stileroute_dispatch::types::{Effect, Scope, Time};
use stileroute_operator_file::{FaultLog, Located, Position, Rule as Broken};

/// The settings, as the last rule of all.
const SETTINGS: usize = usize::MAX;

/// Looks a key up in some limits.
type Key<T> = fn(&Limits) -> &Option<Located<T>>;

/// A key as some rule sets it.
#[derive(Clone)]
struct Of<'a, T> {
    rule: usize,
    value: T,
    place: &'a Position,
}

struct Check<'a> {
    table: &'a Table,
    ground: &'a Ground,
    faults: &'a FaultLog,
    any: &'a Pattern,
    /// Pairs that were told for one category need not be told for the next.
    told: BTreeSet<(usize, usize, &'static str)>,
}

const CONNECT: Key<Time> = |l| &l.connect;
const NO_START: Key<Time> = |l| &l.no_start;
const NO_PROGRESS: Key<Time> = |l| &l.no_progress;
const OP: Key<Time> = |l| &l.op;
const PUSHES: Key<usize> = |l| &l.pushes;
const PAUSE: Key<Time> = |l| &l.pause;
const COPY_AFTER: Key<f64> = |l| &l.copy_after;
const WAIT: Key<Time> = |l| &l.wait;
const KINDS: Key<u64> = |l| &l.kinds;
const EFFECT: Key<Narrowed> = |l| &l.effect;
const RESEND_WITHIN: Key<Time> = |l| &l.resend_within;
const RESEND_GROUP: Key<Scope> = |l| &l.resend_group;

impl<'a> Check<'a> {
    fn pattern(&self, rule: usize) -> &'a Pattern {
        let table: &'a Table = self.table;
        table.rules.get(rule).map_or(self.any, |rule| &rule.pattern)
    }

    /// The rules that set a key, for requests of a category.
    fn of<T: Copy + 'static>(&self, category: usize, key: Key<T>) -> Vec<Of<'a, T>> {
        let table: &'a Table = self.table;
        let mut all = Vec::new();
        for (rule, own) in table.rules.iter().enumerate() {
            if let Some(set) =
                key(&own.limits).as_ref().filter(|_| own.pattern.category.is_none_or(|c| c == category))
            {
                all.push(Of { rule, value: set.value, place: &set.position });
            }
        }
        all
    }

    /// Some request of the category is met by both rules, and no rule before the first sets the first key, nor one
    /// before the second the second.
    fn reached<A, B>(&self, category: usize, first: usize, a: Key<A>, second: usize, b: Key<B>) -> bool {
        let (one, two) = (self.pattern(first), self.pattern(second));
        let shadows = |number: usize| {
            let rule = &self.table.rules[number];
            let sets = (number < first && a(&rule.limits).is_some())
                || (number < second && b(&rule.limits).is_some());
            sets && rule.pattern.covers(one, two, category)
        };
        let last = first.min(self.table.rules.len()).max(second.min(self.table.rules.len()));
        one.meets(two) && !(0..last).any(shadows)
    }

    fn name(&self, rule: usize) -> String {
        match self.table.rules.get(rule) {
            None => "the settings".to_string(),
            Some(rule) if rule.kind == Kind::Route => format!("route '{}'", rule.name),
            Some(rule) => format!("[{}]", rule.name.replace(' ', ".")),
        }
    }

    fn category_name(&self, category: usize) -> &'a str {
        let ground: &'a Ground = self.ground;
        &ground.categories[category].0
    }

    /// One key against the category alone. `bad` gives the reason.
    fn alone<T: Copy + 'static>(
        &mut self,
        category: usize,
        key: Key<T>,
        code: &'static str,
        broken: Option<Broken>,
        bad: impl Fn(T) -> Option<String>,
    ) {
        for own in self.of(category, key) {
            let Some(reason) = bad(own.value) else { continue };
            if !self.reached(category, own.rule, key, own.rule, key)
                || !self.told.insert((own.rule, own.rule, code))
            {
                continue;
            }
            let place = own.place.clone();
            self.faults.add(place, format!("{reason} (category {})", self.category_name(category)), broken);
        }
    }

    /// Two keys that are bad together for some values. The second may stand in the settings alone: `else_`.
    #[allow(clippy::too_many_arguments)]
    fn pair<A: Copy + PartialOrd + 'static, B: Copy + PartialOrd + 'static>(
        &mut self,
        category: usize,
        (a, name_a): (Key<A>, &str),
        (b, name_b): (Key<B>, &str),
        else_: Option<B>,
        code: &'static str,
        broken: Option<Broken>,
        bad: impl Fn(A, B) -> Option<String>,
    ) {
        let (firsts, seconds) = (self.of(category, a), self.of(category, b));
        // Rules share few values: whether two are bad together is asked once for each two values.
        let groups = by_value(&seconds);
        let mut before: Option<A> = None;
        let mut met: Vec<&Of<B>> = Vec::new();
        for one in by_value(&firsts).into_iter().flatten() {
            if before.is_none_or(|value| value != one.value) {
                let bad = groups.iter().filter(|group| bad(one.value, group[0].value).is_some());
                met = bad.flatten().copied().collect();
                before = Some(one.value);
            }
            for two in &met {
                let Some(reason) = bad(one.value, two.value) else { continue };
                if self.told.contains(&(one.rule, two.rule, code))
                    || !self.reached(category, one.rule, a, two.rule, b)
                {
                    continue;
                }
                self.told.insert((one.rule, two.rule, code));
                let whole = if one.rule == two.rule && one.place.line == two.place.line {
                    reason
                } else {
                    let (left, right) = (self.name(one.rule), self.name(two.rule));
                    let (l, r) = (one.place.line, two.place.line);
                    format!("{reason}: {name_a} of {left} (line {l}) meets {name_b} of {right} (line {r})")
                };
                // Told at the one that stands later in the file: it was added to what was well.
                let place = if one.place.line >= two.place.line { one.place } else { two.place };
                let told = format!("{whole} (category {})", self.category_name(category));
                self.faults.add(place.clone(), told, broken);
            }
            let Some(reason) = else_.and_then(|value| bad(one.value, value)) else { continue };
            if self.told.contains(&(one.rule, SETTINGS, code))
                || !self.reached(category, one.rule, a, SETTINGS, b)
            {
                continue;
            }
            self.told.insert((one.rule, SETTINGS, code));
            self.faults.add(
                one.place.clone(),
                format!("{reason} (category {})", self.category_name(category)),
                broken,
            );
        }
    }

    /// All keys for the requests of one category.
    fn category(&mut self, category: usize) {
        self.effect(category);
        self.copies_and_pushes(category);
        self.times_within_ttl(category);
        self.times_within_each_other(category);
        self.deduplication(category);
        self.kind(category);
    }

    fn effect_of(&self, category: usize) -> Effect {
        let (_, _, settings) = &self.ground.categories[category];
        settings.effect
    }

    /// The effect may only be narrower than the category's.
    fn effect(&mut self, category: usize) {
        let own = narrowness(self.effect_of(category));
        self.alone(category, EFFECT, "effect", Some(Broken::NoEffectTwice), |to| {
            let narrowed = match to {
                Narrowed::Redeliverable => 0,
                Narrowed::Deduplicated => 1,
                Narrowed::AtMostOnce => 2,
            };
            if narrowed < own {
                let reason = "an op could run twice: the effect may only be narrower than the category's";
                return Some(reason.to_string());
            }
            (to == Narrowed::Deduplicated && own == 0).then(|| {
                "no executor drops a repeat of this category, so it can't be deduplicated".to_string()
            })
        });
    }

    /// Second copies and further pushes need an effect and settings that allow them.
    fn copies_and_pushes(&mut self, category: usize) {
        let twice = Some(Broken::NoEffectTwice);
        let (most, copies) = (self.ground.terms.max_pushes, self.ground.terms.hedging);
        let base = match self.effect_of(category) {
            Effect::Redeliverable => Narrowed::Redeliverable,
            Effect::Deduplicated { .. } => Narrowed::Deduplicated,
            Effect::AtMostOnce => Narrowed::AtMostOnce,
        };
        let (copy_after, effect) = ((COPY_AFTER, "copy-after"), (EFFECT, "effect"));
        self.pair(category, copy_after, effect, Some(base), "copy", twice, |_, to| {
            (to == Narrowed::AtMostOnce || base == Narrowed::AtMostOnce)
                .then(|| "a second copy of an at-most-once op would run it twice".to_string())
        });
        self.alone(category, COPY_AFTER, "copies", twice, |_| {
            (!copies).then(|| "the settings forbid two pushes at once, and a second copy is one".to_string())
        });
        self.alone(category, PUSHES, "pushes", None, |pushes| {
            (pushes > most)
                .then(|| format!("{pushes} pushes are more than the {most} that the settings allow"))
        });
        let pushes = (PUSHES, "pushes");
        self.pair(category, copy_after, pushes, Some(most), "copy-pushes", None, |_, pushes| {
            (pushes < 2).then(|| "a second copy is a push, and there is only one".to_string())
        });
    }

    /// No time is longer than the TTL of the category.
    fn times_within_ttl(&mut self, category: usize) {
        let lost = Some(Broken::NoOpLost);
        let ttl = self.ground.ttl(category);
        let over =
            |time: Time| (time > ttl).then(|| format!("{} is longer than the TTL of {}", ms(time), ms(ttl)));
        self.alone(category, OP, "op-ttl", lost, over);
        self.alone(category, CONNECT, "connect-ttl", None, over);
        self.alone(category, NO_START, "no-start-ttl", None, over);
        self.alone(category, NO_PROGRESS, "no-progress-ttl", None, over);
        self.alone(category, PAUSE, "pause-ttl", None, over);
        self.alone(category, WAIT, "wait-ttl", lost, over);
    }

    /// A time that is part of another is shorter than it.
    fn times_within_each_other(&mut self, category: usize) {
        let lost = Some(Broken::NoOpLost);
        let beyond = |what: &'static str| {
            move |time: Time, op: Time| {
                (time >= op).then(|| format!("{what} of {} leaves nothing of the op's {}", ms(time), ms(op)))
            }
        };
        let (connect, no_start) = ((CONNECT, "connect"), (NO_START, "no-start"));
        let (no_progress, op) = ((NO_PROGRESS, "no-progress"), (OP, "op"));
        self.pair(category, connect, op, None, "connect-op", None, beyond("connect"));
        self.pair(category, no_start, op, None, "no-start-op", None, beyond("no-start"));
        self.pair(category, no_progress, op, None, "progress-op", None, beyond("no-progress"));
        self.pair(category, (PAUSE, "pause"), op, None, "pause-op", None, beyond("pause"));
        self.pair(category, (WAIT, "wait"), op, None, "wait-op", lost, beyond("wait"));
        self.pair(category, connect, no_start, None, "connect-start", None, |connect, start| {
            (connect > start).then(|| {
                let (start, connect) = (ms(start), ms(connect));
                format!("a push would be called off after {start} while it connects for {connect}")
            })
        });
    }

    /// Repeats stay within the window and the group in which executors drop them.
    fn deduplication(&mut self, category: usize) {
        let twice = Some(Broken::NoEffectTwice);
        let Effect::Deduplicated { scope, window } = self.effect_of(category) else { return };
        self.alone(category, RESEND_WITHIN, "window", twice, |within| {
            let reason =
                || format!("{} is longer than the {} in which repeats are dropped", ms(within), ms(window));
            (within > window).then(reason)
        });
        self.alone(category, RESEND_GROUP, "group", twice, |to| {
            let reason =
                || format!("{to:?} is not within the group that drops repeats, {scope:?}").to_lowercase();
            (!inside(to, scope)).then(reason)
        });
    }

    /// The kind of executor that the category needs is not left out.
    fn kind(&mut self, category: usize) {
        let (_, _, settings) = &self.ground.categories[category];
        let Some(kind) = settings.kind else { return };
        let name = self.ground.kinds.get(kind).cloned().unwrap_or_default();
        self.alone(category, KINDS, "kind", Some(Broken::NoOpLost), |bits| {
            (bits >> kind.min(63) & 1 == 0)
                .then(|| format!("the category runs only on kind '{name}', which is left out"))
        });
    }

    /// A rule of which, for every category, all keys are set by rules before it that match whatever it matches.
    fn unreached(&mut self) {
        let table: &'a Table = self.table;
        let sets: Vec<u32> = table.rules.iter().map(|rule| rule.limits.set()).collect();
        for (number, rule) in table.rules.iter().enumerate() {
            let before = (0..number).filter(|before| sets[*before] & sets[number] != 0);
            let covering: Vec<usize> =
                before.filter(|n| table.rules[*n].pattern.path.covers_one(&rule.pattern.path)).collect();
            if covering.is_empty() || sets[number] == 0 {
                continue;
            }
            let shadowed = |category: usize, key: u32| {
                let covers = |before: &&Rule| before.pattern.covers(&rule.pattern, &rule.pattern, category);
                let setting = covering.iter().filter(|before| sets[**before] >> key & 1 == 1);
                setting.map(|before| &table.rules[*before]).find(covers)
            };
            let categories = 0..self.ground.categories.len();
            let mut own = categories.filter(|c| rule.pattern.category.is_none_or(|category| category == *c));
            let keys = || (0..u32::BITS).filter(|key| sets[number] >> key & 1 == 1);
            let mut by = None;
            let reached = own.any(|category| {
                keys().any(|key| {
                    let before = shadowed(category, key);
                    by = before.or(by);
                    before.is_none()
                })
            });
            if let Some(before) = by.filter(|_| !reached) {
                let reason =
                    format!("nothing of it ever holds: '{}' goes before it ({})", before.name, before.place);
                self.faults.add(rule.place.clone(), reason, None);
            }
        }
    }
}

/// A time in ms, as faults show it.
fn ms(time: Time) -> String {
    format!("{} ms", time as f64 / 10.0)
}

/// Keys in groups of the same value.
fn by_value<'b, 'a, T: Copy + PartialOrd>(all: &'b [Of<'a, T>]) -> Vec<Vec<&'b Of<'a, T>>> {
    let mut sorted: Vec<&Of<T>> = all.iter().collect();
    // Values are finite numbers or words, so that each two compare.
    sorted.sort_by(|a, b| a.value.partial_cmp(&b.value).unwrap_or(std::cmp::Ordering::Equal));
    let mut groups: Vec<Vec<&Of<T>>> = Vec::new();
    for own in sorted {
        match groups.last_mut().filter(|group| group[0].value == own.value) {
            Some(group) => group.push(own),
            None => groups.push(vec![own]),
        }
    }
    groups
}

/// Checks a table against the settings, for all requests that can come; what is wrong goes to the faults.
pub fn check(table: &Table, ground: &Ground, faults: &FaultLog) {
    let any = Pattern::default();
    let mut check = Check { table, ground, faults, any: &any, told: BTreeSet::new() };
    for category in 0..ground.categories.len() {
        check.category(category);
    }
    check.unreached();
    let budget: Option<&Located<Budget>> = table.node_budget.as_ref();
    if let Some(budget) = budget.filter(|budget| budget.value.part == 0.0 && budget.value.least < 1.0) {
        faults.add(
            budget.position.clone(),
            "no further push would ever be left: set pushes = 1 in [defaults] for that",
            None,
        );
    }
}
