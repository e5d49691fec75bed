//! The load: jobs as clients mean them, drawn with the seed. No clock and no I/O.

use crate::executor::ExecutorSpec;
use crate::faults::Weather;
use crate::plan::Plan;
use crate::random::generator;
use crate::time::ms;
use rand::RngExt;
use rand_distr::{Distribution, Exp1, LogNormal, StandardNormal};
use rand_pcg::Pcg64Mcg;
use stileroute_dispatch::types::{Time, SECOND};

/// A client's job, of which each try is an op.
#[derive(Clone, Debug)]
pub struct Asked {
    pub category: usize,
    pub tenant: usize,
    /// Where its client is.
    pub domain: usize,
    /// When it was due at first.
    pub due: Time,
    /// Running time at speed one.
    pub work: f64,
    pub hint: Option<Time>,
    /// Until when an answer earns the whole benefit.
    pub useful: Time,
    pub tries: usize,
}

pub struct Source {
    plan: Plan,
    /// Mean time between two arrivals.
    gap: f64,
    chance: Pcg64Mcg,
    /// Which node a client turns to; apart, for retries ask for it too, and must not shift what is drawn.
    front: Pcg64Mcg,
}

fn pick(parts: impl Iterator<Item = f64> + Clone, chance: &mut Pcg64Mcg) -> usize {
    let mut left = chance.random_range(0.0..1.0) * parts.clone().sum::<f64>();
    let mut last = 0;
    for (at, part) in parts.enumerate() {
        last = at;
        left -= part;
        if left < 0.0 {
            break;
        }
    }
    last
}

impl Source {
    pub fn new(plan: &Plan, specs: &[ExecutorSpec], seed: u64) -> Source {
        let capacity: f64 = specs.iter().map(|spec| spec.slots * spec.speed).sum();
        let parts: f64 = plan.category.iter().map(|category| category.part).sum();
        let work = |c: &crate::plan::Category| c.part / parts * c.work_ms * c.slots;
        let mean: f64 = plan.category.iter().map(work).sum();
        let per_second = if plan.load.part > 0.0 {
            plan.load.part * capacity * 1000.0 / mean
        } else {
            plan.load.per_second
        };
        Source {
            plan: plan.clone(),
            gap: SECOND as f64 / per_second,
            chance: generator(seed, 3),
            front: generator(seed, 4),
        }
    }

    /// Until the next arrival.
    pub fn gap(&mut self, weather: &Weather) -> Time {
        let draw: f64 = Exp1.sample(&mut self.chance);
        ((draw * self.gap / weather.burst()) as Time).max(1)
    }

    pub fn draw(&mut self, now: Time, weather: &Weather) -> Asked {
        let plan = &self.plan;
        let category = pick(plan.category.iter().map(|c| c.part), &mut self.chance);
        let tenant = if plan.tenant.is_empty() {
            0
        } else {
            pick(plan.tenant.iter().map(|t| t.part), &mut self.chance)
        };
        let own = &plan.category[category];
        let mean = ms(own.work_ms) as f64;
        // The mean of the draw is the category's, whatever its spread.
        let times = LogNormal::new(-own.spread * own.spread / 2.0, own.spread)
            .map_or(1.0, |d| d.sample(&mut self.chance));
        let usual = (mean * times).max(1.0);
        let noise: f64 = StandardNormal.sample(&mut self.chance);
        let hint = own.hint.map(|spread| ((usual * (spread * noise).exp()) as Time).max(1));
        let (part, factor) = weather.heavy(category);
        let heavy = part > 0.0 && self.chance.random_bool(part);
        let work = if heavy { usual * factor } else { usual };
        let domain = self.chance.random_range(0..plan.fleet.domains.len());
        let useful = now + ms(own.target_ms) + (own.stretch * work) as Time;
        Asked { category, tenant, domain, due: now, work, hint, useful, tries: 0 }
    }

    pub fn pick(&mut self, count: usize) -> usize {
        self.front.random_range(0..count)
    }
}
