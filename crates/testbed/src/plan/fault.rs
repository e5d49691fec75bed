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
    /// Executors: `all`, `part:0.2`, `kind:NAME`, `domain:NAME` or `executor:NUMBER`.
    #[serde(default = "all")]
    pub on: String,
    /// One node by its number: the same as `nodes = "node:NUMBER"`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<usize>,
    /// A set of nodes: `all`, `part:0.7`, `domain:NAME` or `node:NUMBER`. Where a fault is not one of nodes, only
    /// their ways are met.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nodes: Option<String>,
    /// A fault of nodes meets one after the other, the last so much later than the first; they come back likewise.
    #[serde(default, skip_serializing_if = "none")]
    pub spread_s: f64,
    /// Which ways a fault of the network meets.
    #[serde(default, skip_serializing_if = "none")]
    pub between: Between,
    /// Only one direction of them, where that makes sense.
    #[serde(default, skip_serializing_if = "none")]
    pub only: Only,
    /// One replica of discovery; all where it is not given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replica: Option<usize>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub category: Option<String>,
    #[serde(default = "four")]
    pub factor: f64,
    /// Part of the jobs, of the pieces on a way, or of a core.
    #[serde(default = "one")]
    pub part: f64,
    #[serde(default, skip_serializing_if = "none")]
    pub every_s: f64,
    #[serde(default, skip_serializing_if = "none")]
    pub ms: f64,
    /// A reset comes after so many bytes of a request, or of an answer with `back`; a file is damaged at this byte.
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

/// Nodes and what they talk to.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Between {
    #[default]
    Executors,
    Discovery,
    /// Other nodes: their messages.
    Nodes,
}

/// Which direction of a way: from a node, or to it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Only {
    #[default]
    Both,
    There,
    Back,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    Slow,
    /// Jobs fail at once.
    Errors,
    /// Answers end whole with no last line, as if spoilt on their way, while their jobs go on.
    Spoilt,
    /// Nothing runs on.
    Hang,
    /// Some jobs cost many times their work.
    Heavy,
    /// The executors die, and come back cold when it is over.
    Killed,
    DomainLost,
    /// Nothing passes between the domain and the others.
    DomainCut,
    /// A domain's executors, nodes and replicas of discovery are lost together, and its clients turn to the others;
    /// all is back, cold, when it is over.
    SiteLost,
    /// Nothing passes between a domain and the others, news of the list neither; its clients stay with its nodes.
    SiteCut,
    /// One after the other is drained, ended and started anew.
    Release,
    /// Operators take the executors out by hand at the nodes of the set, and put them back when it is over.
    Disabled,
    ListDown,
    ListStale,
    /// The list tells again what it told some seconds ago, as its newest state.
    ListBackward,
    /// Lost; when it is over it is back and knows nobody, and hears of each executor anew, late as ever.
    ListEmpty,
    /// Lost; when it is over it is back with the list and the version of so long ago, and learns what has changed since
    /// only when it changes again.
    ListOld,
    /// It bears only so many calls a second (`factor`) and turns away the others.
    ListOverbooked,
    Burst,
    NodeStopped,
    NodeKilled,
    NodePaused,
    /// The node's configuration is replaced, and it is told to read it.
    NodeReload,
    /// Another process takes the node's place beside it, with the clients' listener handed in.
    NodeReplaced,
    /// The node stands still for random short spells, so that it gets a part of its time.
    NodeStarved,
    /// Of what nodes keep between two lives: gone, an older copy put back, a byte changed, no room, not to be written,
    /// exchanged between two of them. What is done to it is done when the fault begins.
    StateLost,
    StateOld,
    StateDamaged,
    StateFull,
    StateReadOnly,
    StateSwapped,
    /// On the way: broken after so many bytes, held up, a byte at a time, never read, refused, accepted and never
    /// answered, some pieces sent again after a while.
    Reset,
    Delay,
    Dribble,
    Deaf,
    Refuse,
    HalfOpen,
    Loss,
}

impl What {
    pub fn of_node(self) -> bool {
        use What::{NodeKilled, NodePaused, NodeReload, NodeReplaced, NodeStarved, NodeStopped};
        matches!(self, NodeStopped | NodeKilled | NodePaused | NodeReload | NodeReplaced | NodeStarved)
            || self.of_state()
    }

    pub fn of_state(self) -> bool {
        use What::{StateDamaged, StateFull, StateLost, StateOld, StateReadOnly, StateSwapped};
        matches!(self, StateLost | StateOld | StateDamaged | StateFull | StateReadOnly | StateSwapped)
    }

    pub fn of_network(self) -> bool {
        use What::{Deaf, Delay, DomainCut, Dribble, HalfOpen, Loss, Refuse, Reset, SiteCut};
        matches!(self, DomainCut | SiteCut | Reset | Delay | Dribble | Deaf | Refuse | HalfOpen | Loss)
    }

    /// Of a whole failure domain.
    pub fn of_domain(self) -> bool {
        matches!(self, What::DomainLost | What::DomainCut | What::SiteLost | What::SiteCut)
    }

    /// On sockets only: in simulated time a node has no files, no descriptors and no operators' address.
    pub fn sockets_only(self) -> bool {
        self.of_state() || matches!(self, What::NodeReload | What::NodeReplaced | What::Disabled)
    }

    /// Its executors or nodes are gone meanwhile, and come back when it is over.
    pub fn takes_down(self) -> bool {
        use What::{DomainLost, Killed, NodeKilled, NodeStopped, Release, SiteLost};
        matches!(self, Killed | DomainLost | SiteLost | Release | NodeKilled | NodeStopped)
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

/// Which nodes a fault meets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Set {
    All,
    Part(f64),
    Domain(usize),
    Node(usize),
}
