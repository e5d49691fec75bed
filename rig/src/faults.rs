//! The troubles of a day: when each comes and goes, whom it meets, and what all that hold at a moment make of an
//! executor, of a way through the network, and of the load. No clock and no I/O.

use crate::fleet::{chance, ms, seconds, Condition, Spec};
use crate::plan::{On, Plan, What};
use rand::seq::SliceRandom;
use stileroute::tariff::Time;

/// One trouble, with the executors that it meets picked.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub what: What,
    pub meets: Vec<bool>,
    pub domain: Option<usize>,
    pub node: Option<usize>,
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

/// What a way from a node to an executor does to a push.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing passes, and nothing says so.
    pub silent: bool,
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
}

/// All troubles of a day and which of them hold now.
#[derive(Clone, Debug)]
pub struct Weather {
    pub troubles: Vec<Trouble>,
    holds: Vec<bool>,
}

/// An executor that a release takes down is drained so long before it is ended.
const DRAINS_FOR: f64 = 2.0;

impl Weather {
    /// The troubles of a plan, with whom they meet drawn from the seed, and their changes in order of time.
    pub fn new(plan: &Plan, specs: &[Spec], seed: u64) -> (Weather, Vec<Change>) {
        let (mut troubles, mut changes) = (Vec::new(), Vec::new());
        for (number, fault) in plan.fault.iter().enumerate() {
            // A plan is checked before it is played, so an unknown name can't come here.
            let on = plan.on(fault).unwrap_or(On::All);
            let mut picked: Vec<usize> = (0..specs.len()).collect();
            match on {
                On::All => {}
                On::Part(part) => {
                    picked.shuffle(&mut chance(seed, 100 + number as u64));
                    picked.truncate(((specs.len() as f64 * part).ceil() as usize).max(1));
                    picked.sort_unstable();
                }
                On::Kind(kind) => picked.retain(|x| specs[*x].kind == kind),
                On::Domain(domain) => picked.retain(|x| specs[*x].domain == domain),
                On::Executor(executor) => picked.retain(|x| *x == executor),
            }
            let trouble = |picked: &[usize]| {
                let mut meets = vec![false; specs.len()];
                picked.iter().for_each(|x| meets[*x] = true);
                Trouble {
                    what: fault.what,
                    meets,
                    domain: if let On::Domain(domain) = on { Some(domain) } else { None },
                    node: fault.node,
                    category: fault.category.as_ref().and_then(|name| plan.category_named(name)),
                    factor: fault.factor,
                    part: fault.part,
                    delay: ms(fault.ms),
                    bytes: fault.bytes,
                    back: fault.back,
                }
            };
            let (from, to) = (fault.from_s, fault.from_s + fault.for_s);
            if fault.what == What::Release {
                // One after the other, so that the last is started anew when the trouble ends.
                let gap = (fault.for_s - DRAINS_FOR).max(0.0) / picked.len().max(1) as f64;
                for (turn, x) in picked.iter().enumerate() {
                    let begins = from + gap * turn as f64;
                    let at = troubles.len();
                    changes.push(Change { at: seconds(begins), trouble: at, on: true });
                    changes.push(Change { at: seconds(begins + DRAINS_FOR), trouble: at, on: false });
                    troubles.push(trouble(&[*x]));
                }
                continue;
            }
            let at = troubles.len();
            troubles.push(trouble(&picked));
            if fault.every_s > 0.0 {
                let mut begins = from;
                while begins < to {
                    let ends = (begins + fault.every_s / 2.0).min(to);
                    changes.push(Change { at: seconds(begins), trouble: at, on: true });
                    changes.push(Change { at: seconds(ends), trouble: at, on: false });
                    begins += fault.every_s;
                }
            } else {
                changes.push(Change { at: seconds(from), trouble: at, on: true });
                changes.push(Change { at: seconds(to), trouble: at, on: false });
            }
        }
        changes.sort_by_key(|change| (change.at, change.on, change.trouble));
        let holds = vec![false; troubles.len()];
        (Weather { troubles, holds }, changes)
    }

    pub fn turn(&mut self, change: Change) {
        self.holds[change.trouble] = change.on;
    }

    fn now(&self) -> impl Iterator<Item = &Trouble> {
        self.troubles.iter().zip(&self.holds).filter(|(_, holds)| **holds).map(|(trouble, _)| trouble)
    }

    /// Whether a trouble of this kind holds that meets the executor.
    pub fn meets(&self, what: What, x: usize) -> bool {
        self.now().any(|t| t.what == what && t.meets[x])
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
        let meets = |t: &&Trouble| t.meets[x] && t.category.is_none_or(|c| c == category);
        let passes: f64 =
            self.now().filter(|t| t.what == What::Errors).filter(meets).map(|t| 1.0 - t.part).product();
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

    /// By how much the list is later than usual; none where it is silent.
    pub fn list_late(&self) -> Option<Time> {
        if self.holds(What::ListDown) {
            return None;
        }
        Some(self.now().filter(|t| t.what == What::ListStale).map(|t| t.delay).sum())
    }

    /// The way between a node of one domain and an executor.
    pub fn way(&self, from: usize, x: usize, domain: usize) -> Way {
        let mut way = Way::default();
        for t in self.now() {
            let here = t.meets[x];
            match t.what {
                What::DomainCut => {
                    way.silent |= from != domain && [Some(from), Some(domain)].contains(&t.domain)
                }
                What::Deaf => way.silent |= here,
                What::HalfOpen => way.half_open |= here,
                What::Refuse => way.refused |= here,
                What::Delay if here => way.delay += t.delay,
                What::Dribble => way.dribble |= here,
                What::Reset if here => {
                    (way.reset, way.bytes, way.back) = (way.reset.max(t.part), t.bytes, t.back);
                }
                _ => {}
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
        let specs = crate::fleet::specs(&plan, 1);
        let (mut weather, changes) = Weather::new(&plan, &specs, 1);
        let mut seen = Vec::new();
        for change in changes {
            weather.turn(change);
            let slow: Vec<f64> = (0..2).map(|x| weather.condition(x).slow).collect();
            let cut = weather.way(0, 1, 1).silent;
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
        assert!(!weather.way(1, 1, 1).silent && weather.way(1, 0, 0).silent);
    }
}
