//! Draws days with faults at random, and shrinks one that fails to the smallest that still does.

use crate::plan::{Between, Fault, Hunt, Only, Plan, PolicyName, What};
use crate::random::generator;
use crate::report::Played;
use crate::run::play_simulated;
use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Why a day with this seed has failed, if it has; an error where it can't be played.
pub type Fails<'a> = &'a dyn Fn(&Plan, u64) -> Result<Option<String>, String>;

/// A day that failed, made as small as it would go.
#[derive(Clone, Debug)]
pub struct Found {
    pub day: usize,
    pub seed: u64,
    pub why: String,
    /// Faults of the day as it was drawn.
    pub drawn: usize,
    pub plan: Plan,
}

impl Found {
    /// An experiment file that plays the day again; it extends the file that the hunt was for.
    pub fn text(&self, base: &str) -> Result<String, String> {
        #[derive(serde::Serialize)]
        struct Faults<'a> {
            fault: &'a [Fault],
        }
        let faults =
            toml::to_string(&Faults { fault: &self.plan.fault }).map_err(|error| error.to_string())?;
        let Plan { seconds, .. } = self.plan;
        Ok(format!(
            "# Found by a hunt: {}\nextends = \"{base}\"\nname = \"hunted-{}\"\nseconds = {seconds:?}\nseeds = [{}]\n\n{faults}",
            self.why, self.seed, self.seed
        ))
    }
}

/// One fault; times and sizes are kept to a tenth, so that the file reads well.
fn draw(plan: &Plan, kinds: &[What], chance: &mut Pcg64Mcg) -> Fault {
    let tenth = |value: f64| (value * 10.0).round() / 10.0;
    let what = *kinds.choose(chance).unwrap_or(&What::Slow);
    let domain = plan.fleet.domains.choose(chance).cloned().unwrap_or_default();
    let part = tenth(chance.random_range(0.1..0.5)).max(0.1);
    let whole = what.of_domain();
    let on = match chance.random_range(0..4) {
        _ if whole => format!("domain:{domain}"),
        0 => format!("domain:{domain}"),
        1 => "all".to_string(),
        _ => format!("part:{part}"),
    };
    let late = plan.seconds * 0.7;
    let mut fault = Fault {
        what,
        from_s: tenth(chance.random_range(0.0..late.max(0.2))),
        for_s: tenth(chance.random_range(1.0..(plan.seconds / 2.0).max(1.5))),
        on,
        node: None,
        nodes: None,
        spread_s: 0.0,
        between: Between::Executors,
        only: Only::Both,
        replica: None,
        category: None,
        factor: tenth(chance.random_range(1.5..8.0)),
        part: 1.0,
        every_s: 0.0,
        ms: 0.0,
        bytes: 0,
        back: false,
    };
    if what.of_node() {
        // One of them, a part, a domain or all; not all at the same moment each time.
        match chance.random_range(0..5) {
            0 | 1 => fault.node = Some(chance.random_range(0..plan.nodes.count)),
            2 => fault.nodes = Some(format!("part:{}", tenth(chance.random_range(0.1..0.8)).max(0.1))),
            3 if plan.nodes.count >= plan.fleet.domains.len() => {
                fault.nodes = Some(format!("domain:{domain}"))
            }
            _ => fault.nodes = Some("all".to_string()),
        }
        if chance.random_bool(0.3) {
            fault.spread_s = tenth(chance.random_range(0.1..3.0));
        }
    } else if what.of_network() && !what.of_domain() && chance.random_bool(0.4) {
        fault.nodes = Some(format!("part:{}", tenth(chance.random_range(0.1..0.8)).max(0.1)));
    }
    match what {
        What::Errors | What::Reset | What::Spoilt => {
            fault.part = tenth(chance.random_range(0.1..1.0));
            (fault.bytes, fault.back) = (100, chance.random_bool(0.5));
        }
        What::Heavy => fault.part = 0.03,
        What::Burst => fault.factor = tenth(chance.random_range(1.2..3.0)),
        What::ListStale | What::ListBackward => fault.ms = tenth(chance.random_range(1000.0..9000.0)),
        What::ListOld => fault.ms = tenth(chance.random_range(1000.0..9000.0)),
        What::ListOverbooked => fault.factor = tenth(chance.random_range(1.0..20.0)),
        What::NodeStarved => fault.part = tenth(chance.random_range(0.1..0.5)).max(0.1),
        What::Loss => (fault.part, fault.ms) = (tenth(chance.random_range(0.1..0.5)), 200.0),
        What::Deaf if chance.random_bool(0.3) => {
            fault.only = if chance.random_bool(0.5) { Only::There } else { Only::Back };
        }
        What::Delay => fault.ms = tenth(chance.random_range(5.0..200.0)),
        // A node that is down or stands still for long is a day of its own.
        What::NodePaused | What::NodeKilled => fault.for_s = fault.for_s.min(4.0),
        What::NodeStopped => fault.for_s = 4.0,
        // One that is back before anyone can have been told is cold without a node's knowing: an open matter, and
        // every hunt would find that first (docs/testbed.md).
        What::Killed | What::DomainLost | What::SiteLost => {
            fault.for_s = fault.for_s.max(plan.fleet.list.late_s[1] + 0.5)
        }
        _ => {}
    }
    if what == What::Errors && chance.random_bool(0.3) {
        fault.category = plan.category.choose(chance).map(|category| category.name.clone());
    }
    let flaps = !what.of_node() && !matches!(what, What::Release | What::ListEmpty | What::ListOld);
    if flaps && chance.random_bool(0.2) {
        fault.every_s = tenth(chance.random_range(1.0..6.0));
    }
    fault
}

/// Why a day has failed, if it has.
fn fails(plan: &Plan, seed: u64, hunt: &Hunt) -> Result<Option<String>, String> {
    let own = play_simulated(plan, seed)?;
    if let Some(broken) = own.broken.first() {
        return Ok(Some(format!("rule {} broken: {}", broken.rule, broken.what)));
    }
    let seeing: Played = play_simulated(&Plan { policy: PolicyName::Seeing, ..plan.clone() }, seed)?;
    Ok((own.benefit < hunt.below * seeing.benefit)
        .then(|| format!("benefit {:.3}, where one that sees gets {:.3}", own.benefit, seeing.benefit)))
}

/// Draws days until one fails, and shrinks that. Whether a day fails may be told by the caller.
pub fn hunt_for(plan: &Plan, seed: u64, step: &dyn Fn(), fails: Fails) -> Result<Option<Found>, String> {
    let hunt = plan.hunt.as_ref().ok_or("the experiment has no table 'hunt'")?;
    for day in 0..hunt.days {
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(day as u64);
        let mut chance = generator(seed, 9);
        let count = chance.random_range(1..=hunt.most_faults);
        let mut drawn = Plan { fault: Vec::new(), ..plan.clone() };
        while drawn.fault.len() < count {
            drawn.fault.push(draw(plan, &hunt.kinds, &mut chance));
            // Some don't go together, as two troubles of one node at a time.
            if drawn.check().is_err() {
                drawn.fault.pop();
            }
        }
        let why = fails(&drawn, seed)?;
        step();
        if let Some(why) = why {
            let (plan, why) = shrink(drawn, why, &|plan| fails(plan, seed))?;
            return Ok(Some(Found { day, seed, why, drawn: count, plan }));
        }
    }
    Ok(None)
}

pub fn hunt(plan: &Plan, seed: u64, step: &dyn Fn()) -> Result<Option<Found>, String> {
    let bounds = plan.hunt.as_ref().ok_or("the experiment has no table 'hunt'")?;
    hunt_for(plan, seed, step, &|plan, seed| fails(plan, seed, bounds))
}

/// Leaves out faults, shortens them and the day, and keeps each step after which it still fails, until none does.
fn shrink(
    mut plan: Plan,
    mut why: String,
    fails: &dyn Fn(&Plan) -> Result<Option<String>, String>,
) -> Result<(Plan, String), String> {
    // Each step makes the day smaller, so this ends; the bound is for the patience of who waits.
    for _ in 0..200 {
        let mut smaller: Vec<Plan> = Vec::new();
        for at in 0..plan.fault.len() {
            let mut without = plan.clone();
            without.fault.remove(at);
            smaller.push(without);
        }
        for at in 0..plan.fault.len() {
            let with = |change: &dyn Fn(&mut Fault)| {
                let mut changed = plan.clone();
                change(&mut changed.fault[at]);
                changed
            };
            let fault = &plan.fault[at];
            if fault.every_s > 0.0 {
                smaller.push(with(&|f| f.every_s = 0.0));
            }
            if fault.for_s > 1.0 {
                smaller.push(with(&|f| f.for_s = ((f.for_s * 5.0).floor() / 10.0).max(0.5)));
            }
        }
        let last = plan.fault.iter().map(|f| f.from_s + f.for_s).fold(1.0, f64::max);
        if last + 2.0 < plan.seconds {
            smaller.push(Plan { seconds: (last + 1.0).ceil(), ..plan.clone() });
        }
        let mut found = None;
        for candidate in smaller {
            if candidate.check().is_ok() {
                if let Some(reason) = fails(&candidate)? {
                    found = Some((candidate, reason));
                    break;
                }
            }
        }
        match found {
            Some((candidate, reason)) => (plan, why) = (candidate, reason),
            None => break,
        }
    }
    Ok((plan, why))
}
