//! How a fleet does together: figures of a day over all its nodes and executors, from the ledger alone. They are the
//! same for a simulated day and for one on sockets.

use crate::executor::{Availability, ExecutorSpec};
use crate::judge::{Judge, Ledger, Saw};
use crate::load::Asked;
use crate::plan::Plan;
use crate::time::seconds;
use serde::{Deserialize, Serialize};
use stileroute_dispatch::types::{Time, SECOND};

/// The span over which peaks are counted.
const SPAN: Time = SECOND / 2;
/// Service is full again at this part of what it was before, for so many seconds in a row.
const FULL: f64 = 0.99;
const IN_A_ROW: usize = 3;

/// Peaks over the usual rate, each in 500 ms; a usual rate under one in 500 ms counts as one.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Stampede {
    /// The worst executor's.
    pub connections: f64,
    pub probes: f64,
    pub pushes: f64,
    /// Of discovery, all its replicas together.
    pub list_calls: f64,
}

/// Pushes to an executor that the node had been told not to push to, by what it had been told.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Stale {
    pub gone: u64,
    pub draining: u64,
    /// Cold, its start told, and over the budget of the settings by all nodes together.
    pub cold: u64,
    pub disabled: u64,
    /// How old what each of them went by was, in milliseconds, at 50 % and at most.
    pub age_ms: [f64; 2],
}

impl Stale {
    pub fn all(&self) -> u64 {
        self.gone + self.draining + self.cold + self.disabled
    }
}

/// So many in each span of 500 ms, for the picture.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Course {
    pub pushes: Vec<u64>,
    pub connections: Vec<u64>,
    pub list_calls: Vec<u64>,
    /// Op-seconds that waited misplaced in it, and part of the capacity that was idle beside them.
    pub misplaced: Vec<f64>,
    pub idle: Vec<f64>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Together {
    /// Op-seconds that waited at an executor while another of its domain that the op may use had a free slot and
    /// nobody waiting, over all op-seconds.
    pub misplaced: f64,
    /// Part of capacity-time that was free while an op that it could serve waited at another of its domain.
    pub idle: f64,
    /// The most that an executor was sent in any 500 ms over its fair part by true capacity: at 99 % of the executors,
    /// and of the worst.
    pub peak: [f64; 2],
    /// Benefit in time of the worst tenth of nodes.
    pub worst_nodes: f64,
    pub stampede: Stampede,
    pub stale: Stale,
    /// Seconds from when the last process or executor was back until service was full; none where nothing was lost
    /// or where it was not full again within the day.
    pub full_after: Option<f64>,
    pub came_back: bool,
    /// Benefit lost from the first fault until then, in seconds of full service.
    pub lost: f64,
    /// Pushes to executors that were cold, that did not serve, and across domains.
    pub to_cold: u64,
    pub to_gone: u64,
    pub crossed: u64,
    /// The longest that two pushes of an op were out together where that is forbidden, in milliseconds, and its time
    /// line where there was any.
    pub overlap_ms: f64,
    pub overlap: Vec<String>,
    /// Calls for the list that discovery had no room for.
    pub turned_away: u64,
    /// Processes that were started anew, and over how many seconds they were back.
    pub restarted: u64,
    pub restarted_within: f64,
    /// Operators' calls that were answered with a yes, and those that were not.
    pub by_hand: [u64; 2],
    pub course: Course,
}

/// A job's benefit: when it was due, what it got, and what it could have.
pub type Gain = (Time, f64, f64);

/// What the figures of a day are made of.
pub struct Evidence<'a> {
    pub plan: &'a Plan,
    pub specs: &'a [ExecutorSpec],
    pub ledger: &'a Ledger,
    pub asked: &'a [Asked],
    /// By job.
    pub gains: &'a [Gain],
    /// When the load began.
    pub from: Time,
    pub slack: Time,
}

/// The most of some times, in order, that fall in any span.
fn most_in_span(times: &[Time]) -> usize {
    let (mut first, mut most) = (0, 0);
    for (last, at) in times.iter().enumerate() {
        while times[first] <= at - SPAN {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

fn part(got: f64, of: f64) -> f64 {
    if of > 0.0 {
        got / of
    } else {
        0.0
    }
}

/// What happens to a push at an executor, as the ledger has it.
#[derive(Clone, Copy)]
enum Step {
    Comes,
    Begins,
    /// Whether it had begun.
    Ends(bool),
}

impl Evidence<'_> {
    fn end(&self) -> Time {
        self.from + seconds(self.plan.seconds)
    }

    /// When the first fault came, if there is one.
    fn first_fault(&self) -> Option<Time> {
        self.ledger.weather.iter().filter(|(_, on, _)| *on).map(|(at, ..)| *at).min()
    }

    pub fn figures(&self, judge: &Judge) -> Together {
        let ledger = self.ledger;
        let starts: Vec<Time> = ledger.starts.values().flatten().copied().collect();
        let span = starts.iter().max().zip(starts.iter().min()).map_or(0, |(last, first)| last - first);
        let mut figures = Together {
            turned_away: ledger.turned_away,
            restarted: starts.len() as u64,
            restarted_within: span as f64 / SECOND as f64,
            by_hand: ledger.by_hand,
            ..Together::default()
        };
        let (long, op) = judge.longest_together(self.ledger);
        figures.overlap_ms = long as f64 / 10.0;
        if long > 0 {
            figures.overlap = judge.time_line(self.ledger, op);
        }
        self.pushes(&mut figures);
        self.waiting(&mut figures);
        figures.worst_nodes = self.worst_nodes();
        self.stampede(&mut figures);
        self.full_service(&mut figures);
        figures
    }

    /// Pushes in order of time: when, from which node, to whom, of which op.
    fn sent(&self) -> Vec<(Time, usize, usize, usize)> {
        let mut sent = Vec::new();
        for (op, sheet) in self.ledger.sheets.iter().enumerate() {
            for (at, saw) in &sheet.seen {
                if let Saw::Pushed(x) = saw {
                    sent.push((*at, sheet.node, *x, op));
                }
            }
        }
        sent.sort_unstable();
        sent
    }

    fn pushes(&self, figures: &mut Together) {
        let sent = self.sent();
        let mut by_executor: Vec<Vec<Time>> = vec![Vec::new(); self.specs.len()];
        let mut ages = Vec::new();
        let cold = &self.plan.fleet.cold;
        let (tip, warm) = (seconds(cold.tip_after_s), seconds(cold.warm_within_s));
        // Work sent to each while cold, as an executor counts it.
        let mut warmed: Vec<std::collections::VecDeque<(Time, f64)>> =
            vec![Default::default(); self.specs.len()];
        for (at, node, x, op) in sent {
            by_executor[x].push(at);
            let (spec, life) = (&self.specs[x], self.ledger.life(x, at));
            let sheet = &self.ledger.sheets[op];
            figures.crossed += u64::from(self.plan.domain_of_node(node) != spec.domain);
            figures.to_gone += u64::from(life.up != Availability::Serving);
            let since = life.started.filter(|since| at < since + warm);
            figures.to_cold += u64::from(since.is_some() && life.up == Availability::Serving);
            let told = self.ledger.told.get(&(node, x));
            let told = told.and_then(|told| told.iter().rfind(|(since, _)| *since + self.slack < at));
            if let Some((since, false)) = told.filter(|_| life.up != Availability::Serving) {
                let count = if life.up == Availability::Draining {
                    &mut figures.stale.draining
                } else {
                    &mut figures.stale.gone
                };
                *count += 1;
                ages.push(at - since);
            }
            let by_hand = self.ledger.disabled.get(&(node, x));
            let by_hand = by_hand.and_then(|all| all.iter().rfind(|(since, _)| since + self.slack < at));
            if let Some((since, true)) = by_hand {
                figures.stale.disabled += 1;
                ages.push(at - since);
            }
            if let Some(since) = since.filter(|_| life.up == Availability::Serving) {
                let sent = &mut warmed[x];
                sent.retain(|(then, _)| *then > at - tip && *then >= since);
                let own = &self.plan.category[sheet.category];
                sent.push_back((at, self.asked[sheet.job].work * own.slots / spec.speed));
                let age = (at - since).max(0) as f64 / warm.max(1) as f64;
                let can = spec.slots * (cold.start_share + (1.0 - cold.start_share) * age) * tip as f64;
                let knew = self.ledger.started_told.get(&(node, x));
                let knew =
                    knew.and_then(|all| all.iter().rfind(|(told, start)| *told < at && *start >= since));
                let over = sent.iter().map(|(_, work)| work).sum::<f64>() > cold.overload_factor * can;
                if let Some((told, _)) = knew.filter(|_| over) {
                    figures.stale.cold += 1;
                    ages.push(at - told);
                }
            }
        }
        ages.sort_unstable();
        if let Some(most) = ages.last() {
            figures.stale.age_ms = [ages[ages.len() / 2], *most].map(|age| age as f64 / 10.0);
        }
        let all: usize = by_executor.iter().map(Vec::len).sum();
        let capacity: f64 = self.specs.iter().map(|spec| spec.slots * spec.speed).sum();
        let spans = (seconds(self.plan.seconds) as f64 / SPAN as f64).max(1.0);
        let mut peaks: Vec<f64> = self
            .specs
            .iter()
            .zip(&by_executor)
            .map(|(spec, times)| {
                part(most_in_span(times) as f64, all as f64 * spec.slots * spec.speed / capacity / spans)
            })
            .collect();
        peaks.sort_by(f64::total_cmp);
        let at = |q: f64| peaks[((peaks.len() as f64 * q).ceil() as usize).clamp(1, peaks.len()) - 1];
        figures.peak = [at(0.99), at(1.0)];
        let usual = self.usual();
        figures.stampede.pushes = self.worst_over_usual(&by_executor, usual);
        let mut every: Vec<Time> = by_executor.into_iter().flatten().collect();
        every.sort_unstable();
        figures.course.pushes = self.course(&every);
    }

    /// Until when things are as usual: until the first fault, where that is long enough, else all day.
    fn usual(&self) -> Time {
        self.first_fault().filter(|at| at - self.from >= 2 * SECOND).unwrap_or_else(|| self.end())
    }

    /// The most in any span from the start of the load, over the rate until a time.
    fn over_usual(&self, times: &[Time], until: Time) -> f64 {
        let within: Vec<Time> =
            times.iter().copied().filter(|at| (self.from..self.end()).contains(at)).collect();
        let before = within.iter().filter(|at| **at < until).count() as f64;
        let usual = before * SPAN as f64 / (until - self.from).max(1) as f64;
        most_in_span(&within) as f64 / usual.max(1.0)
    }

    fn worst_over_usual(&self, all: &[Vec<Time>], until: Time) -> f64 {
        all.iter().map(|times| self.over_usual(times, until)).fold(0.0, f64::max)
    }

    fn course(&self, times: &[Time]) -> Vec<u64> {
        let mut course = vec![0; (seconds(self.plan.seconds) / SPAN).max(1) as usize];
        for at in times {
            if let Some(count) =
                usize::try_from((at - self.from).div_euclid(SPAN)).ok().and_then(|n| course.get_mut(n))
            {
                *count += 1;
            }
        }
        course
    }

    fn stampede(&self, figures: &mut Together) {
        let usual = self.usual();
        figures.stampede.connections = self.worst_over_usual(&self.ledger.connected, usual);
        figures.stampede.probes = self.worst_over_usual(&self.ledger.probed, usual);
        let sorted = |all: &[Vec<Time>]| {
            let mut all: Vec<Time> = all.iter().flatten().copied().collect();
            all.sort_unstable();
            all
        };
        let calls = sorted(&self.ledger.called);
        figures.stampede.list_calls = self.over_usual(&calls, usual);
        figures.course.list_calls = self.course(&calls);
        figures.course.connections = self.course(&sorted(&self.ledger.connected));
    }

    /// Sweeps over the day with who waits where and who is free.
    fn waiting(&self, figures: &mut Together) {
        let (plan, ledger) = (self.plan, self.ledger);
        let (domains, categories) = (plan.fleet.domains.len(), plan.category.len());
        let mut steps: Vec<(Time, usize, usize, Option<Step>)> = Vec::new();
        let mut op_seconds = 0.0;
        for sheet in &ledger.sheets {
            let answered = sheet.seen.iter().find(|(_, saw)| matches!(saw, Saw::Answered(_) | Saw::Released));
            op_seconds += (answered.map_or(sheet.deadline, |(at, _)| *at) - sheet.asked).max(0) as f64;
            // What is open of this op: executor, and whether it has begun.
            let mut open: Vec<(usize, bool)> = Vec::new();
            for (at, saw) in &sheet.seen {
                let step = match saw {
                    Saw::Pushed(x) => {
                        open.push((*x, false));
                        Some((*x, Step::Comes))
                    }
                    Saw::Began(x) => open.iter_mut().find(|own| own.0 == *x && !own.1).map(|own| {
                        own.1 = true;
                        (*x, Step::Begins)
                    }),
                    Saw::Ended(x, _) | Saw::GivenUp(x) => {
                        let own = open.iter().position(|own| own.0 == *x);
                        own.map(|own| (*x, Step::Ends(open.remove(own).1)))
                    }
                    _ => None,
                };
                steps.extend(step.map(|(x, step)| (*at, x, sheet.category, Some(step))));
            }
        }
        for (x, lives) in ledger.lives.iter().enumerate() {
            steps.extend(lives.iter().map(|life| (life.at, x, 0, None)));
        }
        steps.sort_by_key(|(at, ..)| *at);
        let may: Vec<Vec<bool>> = plan
            .category
            .iter()
            .map(|category| {
                let kind =
                    category.kind.as_ref().map(|name| plan.fleet.kind.iter().position(|k| k.name == *name));
                self.specs.iter().map(|spec| kind.is_none_or(|kind| kind == Some(spec.kind))).collect()
            })
            .collect();
        let slots: Vec<f64> = plan.category.iter().map(|category| category.slots).collect();
        let (mut waits, mut busy) =
            (vec![vec![0usize; categories]; self.specs.len()], vec![0.0; self.specs.len()]);
        let mut waiting = vec![vec![0usize; categories]; domains];
        // By domain and category: how many executors are free for one, and their free capacity.
        let mut free = vec![vec![(0usize, 0.0f64); categories]; domains];
        let mut given: Vec<Vec<f64>> = vec![vec![0.0; categories]; self.specs.len()];
        let capacity: f64 = self.specs.iter().map(|spec| spec.slots * spec.speed).sum();
        let spans = (seconds(plan.seconds) / SPAN).max(1) as usize;
        let (mut misplaced, mut idle) = (vec![0.0; spans], vec![0.0; spans]);
        let mut now = self.from;
        let free_for = |x: usize, category: usize, busy: f64, nobody_waits: bool, at: Time| {
            let life = ledger.life(x, at);
            let spec = &self.specs[x];
            let able = life.up == Availability::Serving && !life.halted && nobody_waits && may[category][x];
            let left = spec.slots - busy;
            if able && left >= slots[category] - 1e-9 {
                left * spec.speed
            } else {
                0.0
            }
        };
        for (x, given) in given.iter_mut().enumerate() {
            for category in 0..categories {
                let own = free_for(x, category, 0.0, true, self.from);
                let sum = &mut free[self.specs[x].domain][category];
                (sum.0, sum.1) = (sum.0 + usize::from(own > 0.0), sum.1 + own);
                given[category] = own;
            }
        }
        for (at, x, category, step) in steps {
            let mut to = at.min(self.end());
            while now < to {
                let span = (((now - self.from) / SPAN).max(0) as usize).min(spans - 1);
                let until = to.min(self.from + (span as Time + 1) * SPAN).max(now + 1);
                let long = (until - now) as f64;
                for (waiting, free) in waiting.iter().zip(&free) {
                    let mut left = 0.0f64;
                    for (count, (executors, capacity)) in waiting.iter().zip(free) {
                        if *count > 0 && *executors > 0 {
                            misplaced[span] += *count as f64 * long;
                            left = left.max(*capacity);
                        }
                    }
                    idle[span] += left * long;
                }
                now = until;
                to = to.max(now);
            }
            match step {
                Some(Step::Comes) => waits[x][category] += 1,
                Some(Step::Begins) => {
                    waits[x][category] -= 1;
                    busy[x] += slots[category];
                }
                Some(Step::Ends(false)) => waits[x][category] -= 1,
                Some(Step::Ends(true)) => busy[x] -= slots[category],
                None => {}
            }
            let domain = self.specs[x].domain;
            match step {
                Some(Step::Comes) => waiting[domain][category] += 1,
                Some(Step::Begins | Step::Ends(false)) => waiting[domain][category] -= 1,
                _ => {}
            }
            let nobody_waits = waits[x].iter().all(|count| *count == 0);
            for category in 0..categories {
                let own = free_for(x, category, busy[x], nobody_waits, at);
                let (sum, before) = (&mut free[domain][category], given[x][category]);
                sum.0 = sum.0 + usize::from(own > 0.0) - usize::from(before > 0.0);
                sum.1 += own - before;
                given[x][category] = own;
            }
        }
        figures.misplaced = part(misplaced.iter().sum(), op_seconds);
        figures.idle = part(idle.iter().sum(), capacity * (self.end() - self.from) as f64);
        figures.course.misplaced = misplaced.iter().map(|sum| sum / SECOND as f64).collect();
        figures.course.idle = idle.iter().map(|sum| part(*sum, capacity * SPAN as f64)).collect();
    }

    /// The nodes with the least benefit, a tenth of those that were asked anything.
    fn worst_nodes(&self) -> f64 {
        let mut by_node = vec![(0.0, 0.0); self.plan.nodes.count];
        let mut first = vec![None; self.asked.len()];
        self.ledger.sheets.iter().for_each(|sheet| {
            first[sheet.job].get_or_insert(sheet.node);
        });
        for (job, node) in first.iter().enumerate() {
            if let Some(node) = node {
                let (_, got, of) = self.gains[job];
                by_node[*node] = (by_node[*node].0 + got, by_node[*node].1 + of);
            }
        }
        by_node.retain(|(_, of)| *of > 0.0);
        by_node.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        by_node.truncate(by_node.len().div_ceil(10));
        let (got, of) = by_node.iter().fold((0.0, 0.0), |sum, own| (sum.0 + own.0, sum.1 + own.1));
        if of > 0.0 {
            got / of
        } else {
            1.0
        }
    }

    fn full_service(&self, figures: &mut Together) {
        let Some(fault) = self.first_fault() else { return };
        let between = |from: Time, to: Time| {
            let own = self.gains.iter().filter(|(due, ..)| (from..to).contains(due));
            let (got, of) = own.fold((0.0, 0.0), |sum, gain| (sum.0 + gain.1, sum.1 + gain.2));
            (of > 0.0).then(|| got / of)
        };
        let before = between(self.from, fault).unwrap_or(1.0).max(1e-6);
        let back = self.ledger.back.iter().copied().filter(|at| *at < self.end()).max();
        figures.came_back = back.is_some();
        let mut full = None;
        if let Some(back) = back {
            let enough = |at: Time| between(at, at + SECOND).is_none_or(|part| part >= FULL * before);
            let mut at = back;
            while at + IN_A_ROW as Time * SECOND <= self.end() {
                if (0..IN_A_ROW).all(|more| enough(at + more as Time * SECOND)) {
                    full = Some(at);
                    break;
                }
                at += SECOND / 2;
            }
            figures.full_after = full.map(|at| (at - back) as f64 / SECOND as f64);
        }
        let mut at = fault;
        while at < full.unwrap_or_else(|| self.end()) {
            let got = between(at, at + SECOND).unwrap_or(before);
            figures.lost += (1.0 - got / before).max(0.0);
            at += SECOND;
        }
    }
}
