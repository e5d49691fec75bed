//! One trouble of an experiment file, and whom it meets.

use super::one;
use serde::{Deserialize, Serialize};

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
