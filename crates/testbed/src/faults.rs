//! The troubles of a day: when each comes and goes, whom it meets, and what all that hold at a moment make of an
//! executor, of a way through the network, and of the load. No clock and no I/O.

use crate::executor::{Condition, ExecutorSpec};
use crate::plan::{Between, Fault, On, Only, Plan, Set, What};
use crate::random::generator;
use crate::time::{ms, seconds};
use rand::seq::SliceRandom;
use stileroute_dispatch::types::Time;

/// One trouble, with the executors and the nodes that it meets picked.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub what: What,
    /// How the judge names it.
    pub title: String,
    pub meets: Vec<bool>,
    pub nodes: Vec<bool>,
    pub between: Between,
    pub only: Only,
    pub replica: Option<usize>,
    pub domain: Option<usize>,
    pub category: Option<usize>,
    pub factor: f64,
    pub part: f64,
    pub delay: Time,
    pub bytes: usize,
    pub back: bool,
}

/// A trouble begins or ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub at: Time,
    pub trouble: usize,
    pub on: bool,
}

/// What a way does to what is sent on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing passes from the node, or to it, and nothing says so.
    pub shut_there: bool,
    pub shut_back: bool,
    /// New connections are refused.
    pub refused: bool,
    /// New connections come up, and nothing is ever read from them.
    pub half_open: bool,
    pub delay: Time,
    /// The part of the pushes that a reset meets, and after how many bytes.
    pub reset: f64,
    pub bytes: usize,
    /// The reset counts the bytes of answers, not of requests.
    pub back: bool,
    pub dribble: bool,
    /// The part of the pieces that is lost, and after how long a lost one is sent again; a datagram never is.
    pub loss: f64,
    pub again: Time,
}

impl Way {
    /// No connection comes up, for that needs both directions.
    pub fn silent(&self) -> bool {
        self.shut_there || self.shut_back
    }

    fn shut(&mut self, only: Only) {
        self.shut_there |= only != Only::Back;
        self.shut_back |= only != Only::There;
    }

    fn meet(&mut self, t: &Trouble) {
        match t.what {
            What::Deaf => self.shut(t.only),
            What::HalfOpen => self.half_open = true,
            What::Refuse => self.refused = true,
            What::Delay => self.delay += t.delay,
            What::Dribble => self.dribble = true,
            What::Loss => (self.loss, self.again) = (self.loss.max(t.part), self.again.max(t.delay)),
            What::Reset => (self.reset, self.bytes, self.back) = (self.reset.max(t.part), t.bytes, t.back),
            _ => {}
        }
    }
}

/// All troubles of a day and which of them hold now.
#[derive(Clone, Debug)]
pub struct Weather {
    pub troubles: Vec<Trouble>,
    holds: Vec<bool>,
    /// Those that hold, but for troubles of nodes alone: hundreds of these say nothing of a way.
    active: Vec<usize>,
    domains: usize,
}

/// An executor that a release takes down is drained so long before it is ended.
const DRAINS_FOR: f64 = 2.0;

/// The executors that a fault meets, drawn from the seed where it names a part.
fn executors(on: &On, specs: &[ExecutorSpec], seed: u64, number: u64) -> Vec<usize> {
    let mut picked: Vec<usize> = (0..specs.len()).collect();
    match *on {
        On::All => {}
        On::Part(part) => truncate(&mut picked, part, seed, 100 + number),
        On::Kind(kind) => picked.retain(|x| specs[*x].kind == kind),
        On::Domain(domain) => picked.retain(|x| specs[*x].domain == domain),
        On::Executor(executor) => picked.retain(|x| *x == executor),
    }
    picked
}

/// The nodes of a set, drawn from the seed where it is a part.
fn nodes(set: Set, plan: &Plan, seed: u64, number: u64) -> Vec<usize> {
    let mut picked: Vec<usize> = (0..plan.nodes.count).collect();
    match set {
        Set::All => {}
        Set::Part(part) => truncate(&mut picked, part, seed, 300 + number),
        Set::Domain(domain) => picked.retain(|node| plan.domain_of_node(*node) == domain),
        Set::Node(node) => picked.retain(|own| *own == node),
    }
    picked
}

fn truncate(picked: &mut Vec<usize>, part: f64, seed: u64, purpose: u64) {
    let count = ((picked.len() as f64 * part).ceil() as usize).max(1);
    picked.shuffle(&mut generator(seed, purpose));
    picked.truncate(count);
    picked.sort_unstable();
}

fn marks(count: usize, picked: &[usize]) -> Vec<bool> {
    let mut marks = vec![false; count];
    picked.iter().for_each(|at| marks[*at] = true);
    marks
}

fn title(fault: &Fault) -> String {
    let name = serde_json::to_value(fault.what).ok();
    let name = name.as_ref().and_then(|name| name.as_str()).unwrap_or_default().to_string();
    let nodes = match (&fault.nodes, fault.node) {
        (Some(nodes), _) => format!(" of nodes {nodes}"),
        (None, Some(node)) => format!(" of nodes node:{node}"),
        (None, None) => String::new(),
    };
    let on = if fault.what.of_node() { String::new() } else { format!(" on {}", fault.on) };
    format!("{name}{on}{nodes}")
}

impl Weather {
    /// The troubles of a plan, with whom they meet drawn from the seed, and their changes in order of time.
    pub fn new(plan: &Plan, specs: &[ExecutorSpec], seed: u64) -> (Weather, Vec<Change>) {
        let (mut troubles, mut changes) = (Vec::new(), Vec::new());
        for (number, fault) in plan.fault.iter().enumerate() {
            // A plan is checked before it is played, so an unknown name can't come here.
            let on = plan.on(fault).unwrap_or(On::All);
            let domain = if let On::Domain(domain) = on { Some(domain) } else { None };
            let set = plan.set(fault).ok().flatten();
            let set = match (fault.what, domain) {
                (What::SiteLost | What::SiteCut, Some(domain)) => Set::Domain(domain),
                _ => set.unwrap_or(Set::All),
            };
            let picked = executors(&on, specs, seed, number as u64);
            let set = nodes(set, plan, seed, number as u64);
            let trouble = |picked: &[usize], set: &[usize]| Trouble {
                what: fault.what,
                title: title(fault),
                meets: marks(specs.len(), picked),
                nodes: marks(plan.nodes.count, set),
                between: fault.between,
                only: fault.only,
                replica: fault.replica,
                domain,
                category: fault.category.as_ref().and_then(|name| plan.category_named(name)),
                factor: fault.factor,
                part: fault.part,
                delay: ms(fault.ms),
                bytes: fault.bytes,
                back: fault.back,
            };
            let (from, to) = (fault.from_s, fault.from_s + fault.for_s);
            let mut hold = |begins: f64, ends: f64, trouble: usize| {
                changes.push(Change { at: seconds(begins), trouble, on: true });
                changes.push(Change { at: seconds(ends), trouble, on: false });
            };
            if fault.what == What::Release {
                // One after the other, so that the last is started anew when the trouble ends.
                let gap = (fault.for_s - DRAINS_FOR).max(0.0) / picked.len().max(1) as f64;
                for (turn, x) in picked.iter().enumerate() {
                    let begins = from + gap * turn as f64;
                    hold(begins, begins + DRAINS_FOR, troubles.len());
                    troubles.push(trouble(&[*x], &set));
                }
                continue;
            }
            if fault.what.of_node() && fault.spread_s > 0.0 {
                let gap = fault.spread_s / set.len().saturating_sub(1).max(1) as f64;
                for (turn, node) in set.iter().enumerate() {
                    let later = gap * turn as f64;
                    hold(from + later, to + later, troubles.len());
                    troubles.push(trouble(&picked, &[*node]));
                }
                continue;
            }
            let at = troubles.len();
            troubles.push(trouble(&picked, &set));
            if fault.every_s > 0.0 {
                let mut begins = from;
                while begins < to {
                    hold(begins, (begins + fault.every_s / 2.0).min(to), at);
                    begins += fault.every_s;
                }
            } else {
                hold(from, to, at);
            }
        }
        changes.sort_by_key(|change| (change.at, change.on, change.trouble));
        let holds = vec![false; troubles.len()];
        let domains = plan.fleet.domains.len();
        (Weather { troubles, holds, active: Vec::new(), domains }, changes)
    }

    pub fn turn(&mut self, change: Change) {
        self.holds[change.trouble] = change.on;
        self.active.retain(|trouble| *trouble != change.trouble);
        if change.on && !self.troubles[change.trouble].what.of_node() {
            self.active.push(change.trouble);
            self.active.sort_unstable();
        }
    }

    fn now(&self) -> impl Iterator<Item = &Trouble> {
        self.active.iter().map(|trouble| &self.troubles[*trouble])
    }

    /// Whether a trouble of this kind holds that meets the executor.
    pub fn meets(&self, what: What, x: usize) -> bool {
        self.now().any(|t| t.what == what && t.meets[x])
    }

    /// Whether a trouble holds that keeps the executor down.
    pub fn keeps_down(&self, x: usize) -> bool {
        [What::Killed, What::DomainLost, What::SiteLost].into_iter().any(|what| self.meets(what, x))
    }

    /// Whether a trouble holds that keeps the node down.
    pub fn node_down(&self, node: usize) -> bool {
        let holds = |(t, holds): (&Trouble, &bool)| {
            *holds && t.nodes[node] && matches!(t.what, What::NodeKilled | What::NodeStopped | What::SiteLost)
        };
        self.troubles.iter().zip(&self.holds).any(holds)
    }

    pub fn holds(&self, what: What) -> bool {
        self.now().any(|t| t.what == what)
    }

    pub fn condition(&self, x: usize) -> Condition {
        let mut condition = Condition::default();
        for trouble in self.now().filter(|t| t.meets[x]) {
            match trouble.what {
                What::Slow => condition.slow *= trouble.factor,
                What::Hang => condition.halted = true,
                _ => {}
            }
        }
        condition
    }

    /// The part of a category's jobs that fails at an executor.
    pub fn failing(&self, x: usize, category: usize) -> f64 {
        self.part_met(What::Errors, x, category)
    }

    /// The part of a category's answers that is spoilt at an executor.
    pub fn spoilt(&self, x: usize, category: usize) -> f64 {
        self.part_met(What::Spoilt, x, category)
    }

    fn part_met(&self, what: What, x: usize, category: usize) -> f64 {
        let meets = |t: &&Trouble| t.meets[x] && t.category.is_none_or(|c| c == category);
        let passes: f64 = self.now().filter(|t| t.what == what).filter(meets).map(|t| 1.0 - t.part).product();
        1.0 - passes
    }

    /// The part of a category's ops that is heavy, and how much heavier.
    pub fn heavy(&self, category: usize) -> (f64, f64) {
        let meets = |t: &&Trouble| t.what == What::Heavy && t.category.is_none_or(|c| c == category);
        self.now()
            .filter(meets)
            .fold((0.0, 1.0), |(part, factor): (f64, f64), t| (part.max(t.part), factor.max(t.factor)))
    }

    /// Times the usual rate of arrivals.
    pub fn burst(&self) -> f64 {
        self.now().filter(|t| t.what == What::Burst).map(|t| t.factor).product()
    }

    /// By how much the list is later than usual at a replica; none where it is silent.
    pub fn list_late(&self, replica: usize) -> Option<Time> {
        let meets = |t: &&Trouble| t.replica.is_none_or(|own| own == replica);
        let silent = |t: &Trouble| match t.what {
            What::ListDown | What::ListEmpty | What::ListOld => true,
            What::SiteLost => t.domain == Some(replica % self.domains),
            _ => false,
        };
        if self.now().filter(meets).any(silent) {
            return None;
        }
        Some(self.now().filter(meets).filter(|t| t.what == What::ListStale).map(|t| t.delay).sum())
    }

    /// Calls a second that a replica bears while it is overbooked.
    pub fn overbooked(&self, replica: usize) -> Option<f64> {
        let meets =
            |t: &&Trouble| t.what == What::ListOverbooked && t.replica.is_none_or(|own| own == replica);
        self.now().filter(meets).map(|t| t.factor).reduce(f64::min)
    }

    /// News of an executor's domain does not get to a replica in another.
    pub fn news_cut(&self, replica: usize, domain: usize) -> bool {
        let at = replica % self.domains;
        let between = |t: &Trouble| at != domain && [Some(at), Some(domain)].contains(&t.domain);
        self.now().any(|t| t.what == What::SiteCut && between(t))
    }

    /// The way between a node, in a domain, and an executor, in another.
    pub fn way(&self, node: usize, from: usize, x: usize, domain: usize) -> Way {
        let mut way = Way::default();
        for t in self.now() {
            if matches!(t.what, What::DomainCut | What::SiteCut) {
                if from != domain && [Some(from), Some(domain)].contains(&t.domain) {
                    way.shut(t.only);
                }
            } else if t.between == Between::Executors && t.meets[x] && t.nodes[node] {
                way.meet(t);
            }
        }
        way
    }

    /// The way between a node and its replica of discovery.
    pub fn to_discovery(&self, node: usize, replica: usize) -> Way {
        let mut way = Way::default();
        let meets = |t: &&Trouble| {
            t.between == Between::Discovery && t.nodes[node] && t.replica.is_none_or(|own| own == replica)
        };
        self.now().filter(meets).for_each(|t| way.meet(t));
        way
    }

    /// The way of a message from one node to another, each with its domain.
    pub fn between_nodes(&self, (from, at): (usize, usize), (to, there): (usize, usize)) -> Way {
        let mut way = Way::default();
        for t in self.now() {
            if matches!(t.what, What::DomainCut | What::SiteCut) {
                way.shut_there |= at != there && [Some(at), Some(there)].contains(&t.domain);
            } else if t.between == Between::Nodes {
                // Of the nodes of the set: what they send, what is sent to them, or both.
                let met = (t.only != Only::Back && t.nodes[from]) || (t.only != Only::There && t.nodes[to]);
                if met {
                    way.meet(t);
                    way.shut_there |= t.what == What::Deaf;
                }
            }
        }
        way
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::read;

    #[test]
    fn troubles_overlap_flap_and_roll() {
        let text = "name='w'\nseconds=30.0\nseeds=[1]\n[fleet]\ndomains=['a','b']\n[[fleet.kind]]\nname='k'\ncount=4\n\
            slots=2.0\nspeed=[1.0,1.0]\n[nodes]\ncount=1\n[load]\npart=0.5\n[[category]]\nname='c'\npart=1.0\n\
            work-ms=1.0\ntarget-ms=10.0\nttl-ms=100.0\neffect='redeliverable'\n\
            [[fault]]\nwhat='slow'\nfrom-s=1.0\nfor-s=10.0\non='executor:1'\nfactor=3.0\n\
            [[fault]]\nwhat='slow'\nfrom-s=2.0\nfor-s=2.0\nfactor=2.0\n\
            [[fault]]\nwhat='domain-cut'\nfrom-s=5.0\nfor-s=6.0\non='domain:b'\nevery-s=4.0\n\
            [[fault]]\nwhat='release'\nfrom-s=10.0\nfor-s=12.0\non='domain:a'\n\
            [[fault]]\nwhat='errors'\nfrom-s=0.0\nfor-s=30.0\npart=0.5\ncategory='c'\n";
        let plan = read("w.toml", text).unwrap().plan;
        let specs = crate::executor::specs(&plan, 1);
        let (mut weather, changes) = Weather::new(&plan, &specs, 1);
        let mut seen = Vec::new();
        for change in changes {
            weather.turn(change);
            let slow: Vec<f64> = (0..2).map(|x| weather.condition(x).slow).collect();
            let cut = weather.way(0, 0, 1, 1).silent();
            seen.push((change.at / 10_000, slow, cut, weather.holds(What::Release), weather.failing(3, 0)));
        }
        let at = |s: Time| seen.iter().rfind(|entry| entry.0 <= s).unwrap().clone();
        assert_eq!(at(1).1, [1.0, 3.0]);
        assert_eq!(at(3).1, [2.0, 6.0]);
        assert_eq!(at(4).1, [1.0, 3.0]);
        assert_eq!([5, 7, 9, 11].map(|s| at(s).2), [true, false, true, false]);
        assert_eq!([10, 12, 15, 17, 22].map(|s| at(s).3), [true, false, true, false, false]);
        assert_eq!((at(3).4, at(30).4), (0.5, 0.0));
        // Within the domain nothing is cut, and from outside both ways are.
        weather.turn(Change { at: 0, trouble: 2, on: true });
        assert!(!weather.way(0, 1, 1, 1).silent() && weather.way(0, 1, 0, 0).silent());
    }
}
