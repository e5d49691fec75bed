//! Plays the points of an experiment, several at once; the order of the report is that of the grid.

use crate::experiment::{Cell, Experiment};
use crate::plan::{Plan, PolicyName};
use crate::policy::{policy, Policy};
use crate::report::{figures, Played, Report};
use crate::sim::Sim;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use stileroute_dispatch::types::DispatchSettings;

/// What clocks and network add to a limit of the rules in simulated time, in milliseconds: a call-off is on its way
/// while the next push is, which a farther way lets arrive first.
pub fn slack(plan: &Plan) -> f64 {
    2.0 + 2.0 * plan.fleet.far_ms
}

/// Plays one day with the policy that the plan names.
pub fn play_simulated(plan: &Plan, seed: u64) -> Result<Played, String> {
    let make = |_: usize, tariff: &DispatchSettings, seed: u64| policy(plan.policy, tariff, seed);
    play_with(plan, seed, &make)
}

/// Plays one day with policies that the caller makes.
pub fn play_with(
    plan: &Plan,
    seed: u64,
    make: &dyn Fn(usize, &DispatchSettings, u64) -> Box<dyn Policy>,
) -> Result<Played, String> {
    let day = Sim::new(plan, seed, make)?.play();
    let mut played = figures(plan, &day.ledger, &day.asked, Some(&day.meant), slack(plan), 0, seed);
    played.hold(plan, "sim");
    (played.events, played.log) = (day.events, day.log);
    Ok(played)
}

/// Plays every point on sockets, one after the other, with this build of the program.
pub fn play(experiment: &Experiment, binary: &Path, step: &dyn Fn()) -> Result<Report, String> {
    let mut played = Vec::new();
    for Cell { label, seed, plan } in &experiment.cells {
        // Baselines have no program.
        if plan.policy == PolicyName::Stileroute {
            played.push(Played { label: label.clone(), ..crate::play::play(plan, *seed, binary)? });
        }
        step();
    }
    Ok(Report { experiment: experiment.plan.name.clone(), how: "play".to_string(), against: None, played })
}

/// Plays every point in simulated time on so many threads; `step` is called after each with what it took.
pub fn simulate(
    experiment: &Experiment,
    threads: usize,
    step: &(dyn Fn(&Played, Duration) + Sync),
) -> Result<Report, String> {
    let cells = &experiment.cells;
    let next = AtomicUsize::new(0);
    let played: Mutex<Vec<Option<Result<Played, String>>>> = Mutex::new(vec![None; cells.len()]);
    let work = || {
        while let Some(Cell { label, seed, plan }) = cells.get(next.fetch_add(1, Ordering::SeqCst)) {
            let at = cells.iter().position(|c| std::ptr::eq(&c.plan, plan)).unwrap_or(0);
            let begun = Instant::now();
            let own = play_simulated(plan, *seed).map(|own| Played { label: label.clone(), ..own });
            if let Ok(own) = &own {
                step(own, begun.elapsed());
            }
            if let Ok(mut played) = played.lock() {
                played[at] = Some(own);
            }
        }
    };
    std::thread::scope(|scope| {
        (0..threads.clamp(1, 64)).for_each(|_| {
            scope.spawn(work);
        });
    });
    let played = played.into_inner().map_err(|_| "a play ended in a panic".to_string())?;
    let played: Result<Vec<Played>, String> =
        played.into_iter().map(|own| own.unwrap_or_else(|| Err("a play was not done".to_string()))).collect();
    Ok(Report {
        experiment: experiment.plan.name.clone(),
        how: "sim".to_string(),
        against: experiment.against.clone(),
        played: played?,
    })
}
