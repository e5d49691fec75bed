//! The limits that a route, a category or the defaults may set, and how they are read.

use crate::Ground;
use stileroute_dispatch::types::{Effect, Scope, Time};
use stileroute_operator_file::{suggestion, Located, Section};

/// Further pushes as a part of first ones, over a window, with so many free in it at the least.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub part: f64,
    pub window: Time,
    pub least: f64,
}

/// How a deduplicated op is resent more narrowly, or an op is treated as of a narrower effect.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Narrowed {
    Redeliverable,
    Deduplicated,
    AtMostOnce,
}

/// What may be set; each key by itself, with its place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    pub connect: Option<Located<Time>>,
    pub no_start: Option<Located<Time>>,
    pub no_progress: Option<Located<Time>>,
    pub op: Option<Located<Time>>,
    pub pushes: Option<Located<usize>>,
    pub pause: Option<Located<Time>>,
    pub pause_spread: Option<Located<f64>>,
    pub copy_after: Option<Located<f64>>,
    pub budget: Option<Located<Budget>>,
    pub in_hand: Option<Located<usize>>,
    pub wait: Option<Located<Time>>,
    pub waiting: Option<Located<usize>>,
    /// A bit for each kind and domain.
    pub kinds: Option<Located<u64>>,
    pub domains: Option<Located<u64>>,
    pub effect: Option<Located<Narrowed>>,
    pub resend_within: Option<Located<Time>>,
    pub resend_group: Option<Located<Scope>>,
}

/// The keys of limits as a file writes them.
pub const KEYS: [&str; 17] = [
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

/// Does something with each key of some limits; the macro keeps the list of keys in one place.
macro_rules! each {
    ($do:ident) => {
        $do!(
            connect,
            no_start,
            no_progress,
            op,
            pushes,
            pause,
            pause_spread,
            copy_after,
            budget,
            in_hand,
            wait,
            waiting,
            kinds,
            domains,
            effect,
            resend_within,
            resend_group
        )
    };
}
pub(crate) use each;

impl Limits {
    /// What is not set here is taken over from the other.
    pub fn or(&self, other: &Limits) -> Limits {
        macro_rules! merged {
            ($($key:ident),*) => { Limits { $($key: self.$key.clone().or_else(|| other.$key.clone())),* } };
        }
        each!(merged)
    }

    /// Which keys are set, a bit each.
    pub fn set(&self) -> u32 {
        let mut bits = 0;
        let mut number = 0;
        macro_rules! note {
            ($($key:ident),*) => { $(
                bits |= u32::from(self.$key.is_some()) << number;
                number += 1;
            )* };
        }
        each!(note);
        let _ = number;
        bits
    }

    /// The retry budget of a table.
    pub fn read_budget(keys: &Section) -> Option<Located<Budget>> {
        let table = keys.table("retry-budget")?;
        let place = table.position();
        let part = table.number("part", 0.0..=1.0);
        let window = table.time("window");
        let least = table.number("least", 0.0..=1e6);
        if let Some(window) = window.as_ref().filter(|w| !(10_000..=36_000_000).contains(&w.value)) {
            table.log().add(window.position.clone(), "must be from 1s to 1h", None);
        }
        if part.is_none() {
            table.log().add(place.clone(), "needs a part of 0 to 1: part = 0.2", None);
        }
        table.finish();
        let value = Budget {
            part: part?.value,
            window: window.map_or(100_000, |window| window.value).max(10_000),
            least: least.map_or(3.0, |least| least.value),
        };
        Some(Located { value, position: place })
    }

    /// Reads the keys of a table that limits may have.
    pub fn read(keys: &Section, ground: &Ground) -> Limits {
        let mask = |key: &str, names: &[String], what: &str| {
            let given = keys.texts(key)?;
            let mut bits = 0;
            for name in &given.value {
                match names.iter().position(|own| *own == name.value) {
                    Some(at) if at < 63 => bits |= 1 << at,
                    Some(_) => {
                        keys.log().add(
                            name.position.clone(),
                            format!("of more than 63 {what}s none can be named"),
                            None,
                        );
                    }
                    None => {
                        let all: Vec<&str> = names.iter().map(String::as_str).collect();
                        let near = suggestion(name, &all);
                        let reason = format!("there is no {what} '{}'{near}", name.value);
                        keys.log().add(name.position.clone(), reason, None);
                    }
                }
            }
            (bits != 0).then_some(Located { value: bits, position: given.position })
        };
        let positive = |key: &str| {
            let time = keys.time(key)?;
            if time.value <= 0 {
                keys.log().add(time.position, "must be more than nothing", None);
                return None;
            }
            Some(time)
        };
        let effects = [
            ("redeliverable", Narrowed::Redeliverable),
            ("deduplicated", Narrowed::Deduplicated),
            ("at-most-once", Narrowed::AtMostOnce),
        ];
        let scopes = [("all", Scope::All), ("domain", Scope::Domain), ("cell", Scope::Cell)];
        Limits {
            connect: positive("connect"),
            no_start: positive("no-start"),
            no_progress: positive("no-progress"),
            op: positive("op"),
            pushes: keys.count("pushes", 1..=64),
            pause: keys.time("pause"),
            pause_spread: keys.number("pause-spread", 0.0..=10.0),
            copy_after: keys.number("copy-after", 0.5..=0.999),
            budget: Limits::read_budget(keys),
            in_hand: keys.count("in-hand", 1..=1_000_000),
            wait: keys.time("wait"),
            waiting: keys.count("waiting", 0..=100_000),
            kinds: mask("kinds", &ground.kinds, "kind"),
            domains: mask("domains", &ground.domains, "failure domain"),
            effect: keys.word("effect", &effects),
            resend_within: keys.time("resend-within"),
            resend_group: keys.word("resend-group", &scopes),
        }
    }
}

/// How narrow an effect is; only a narrower one may be set.
pub fn narrowness(effect: Effect) -> u8 {
    match effect {
        Effect::Redeliverable => 0,
        Effect::Deduplicated { .. } => 1,
        Effect::AtMostOnce => 2,
    }
}

/// A repeat is dropped in the narrower group too. A cell may span domains and a domain cells, so neither is narrower
/// than the other.
pub fn inside(to: Scope, own: Scope) -> bool {
    own == Scope::All || own == to
}

/// The effect that holds where these limits are set on a category of that effect.
pub fn narrowed(effect: Effect, to: Option<Narrowed>, within: Option<Time>, scope: Option<Scope>) -> Effect {
    match (effect, to) {
        (_, Some(Narrowed::AtMostOnce)) | (Effect::AtMostOnce, _) => Effect::AtMostOnce,
        (Effect::Deduplicated { scope: own, window }, _) => {
            let scope = scope.filter(|scope| inside(*scope, own)).unwrap_or(own);
            Effect::Deduplicated { scope, window: window.min(within.unwrap_or(window)) }
        }
        (effect, _) => effect,
    }
}
