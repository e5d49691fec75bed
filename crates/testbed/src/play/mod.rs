//! A day on sockets: the real program as processes, and the model behind real executors, discovery and clients.

pub mod clients;
pub mod discovery;
pub mod executors;
pub mod http;
mod keeps;
pub mod machine;
mod nodes;
mod stage;
mod starve;
pub mod ways;
pub mod world;

use crate::executor::{specs, ExecutorModel, ExecutorSpec};
use crate::faults::Weather;
use crate::judge::{Broken, Life};
use crate::load::Source;
use crate::plan::Plan;
use crate::random::generator;
use crate::report::{figures, Played};
use crate::time::{ms, seconds};
use clients::Front;
use discovery::Status;
use executors::Executor;
use rand::RngExt;
use stage::Stage;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use stileroute_dispatch::types::{Time, SECOND};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout};
use world::{locked, World};

/// What clocks and scheduling add to the limits of the rules on sockets.
pub const SLACK_MS: f64 = 50.0;

/// Plays one day with this build of the program, on half of the machine's cores.
pub fn play(plan: &Plan, seed: u64, binary: &Path) -> Result<Played, String> {
    machine::bears(plan.nodes.count)?;
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads((cores / 2).max(1))
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let played = runtime.block_on(day(plan, seed, binary));
    runtime.shutdown_timeout(Duration::from_millis(200));
    played
}

fn executors(
    world: &Arc<World>,
    specs: &[ExecutorSpec],
    seed: u64,
    fell: &mpsc::UnboundedSender<usize>,
) -> Result<Vec<Arc<Executor>>, String> {
    let plan = &world.plan;
    let mut draw = generator(seed, 2);
    let [least, most] = plan.fleet.report.refresh_ms;
    let started = plan.fleet.cold.at_start.then(|| world.now());
    let mut executors = Vec::new();
    for (number, spec) in specs.iter().enumerate() {
        let refresh = ms(draw.random_range(least..=most));
        let machine = ExecutorModel::new(plan, spec.clone(), refresh, started);
        if let Some(at) = started {
            let life = Life { at, up: machine.up, started, halted: false };
            locked(&world.ledger).lives[number].push(life);
        }
        executors.push(Executor::start(world, number, machine, fell.clone())?);
    }
    Ok(executors)
}

async fn day(plan: &Plan, seed: u64, binary: &Path) -> Result<Played, String> {
    let specs = specs(plan, seed);
    let (weather, changes) = Weather::new(plan, &specs, seed);
    let groups = specs.iter().map(|spec| (spec.domain, spec.cell)).collect();
    let world = Arc::new(World::new(plan, weather, groups)?);
    let (fell, mut fallen) = mpsc::unbounded_channel();
    let (born, mut births) = mpsc::unbounded_channel();
    let executors = executors(&world, &specs, seed, &fell)?;
    let mut stage = Stage::open(&world, seed, binary, specs, executors, born).await?;
    stage.begin().await?;
    let front = Arc::new(Front::new(stage.addresses(), Source::new(plan, &stage.specs, seed)));
    stage.front = Some(front.clone());
    let offset = world.now();
    let end = offset + seconds(plan.seconds);
    let jobs = tokio::spawn(load(world.clone(), front.clone(), offset, end));
    let rude: Vec<_> = (0..plan.load.rude)
        .map(|number| tokio::spawn(clients::rude(world.clone(), front.clone(), number, end)))
        .collect();
    let mut reload = offset + ms(plan.reload_every_ms);
    let mut turned = 0;
    let reloads = !plan.operator_next.is_empty() && plan.reload_every_ms > 0.0;
    let mut changes = changes.into_iter().peekable();
    let mut turned_late = 0;
    let (mut seen, mut look) = (machine::Seen::default(), offset + SECOND / 2);
    loop {
        let next = changes.peek().map_or(end, |change| offset + change.at);
        tokio::select! {
            () = sleep_until(world.instant(next)) => match changes.next() {
                Some(change) => {
                    stage.turn(change);
                    // From when it was due until all that it does was done: files and signals wait for the machine.
                    turned_late = turned_late.max(world.now() - next);
                }
                None => break,
            },
            () = sleep_until(world.instant(reload)), if reloads && reload < end => {
                stage.replace_operator(&plan.operator_next[turned % plan.operator_next.len()])?;
                turned += 1;
                reload += ms(plan.reload_every_ms);
            }
            () = sleep_until(world.instant(look)) => {
                let pids = stage.pids_that_run();
                let looked = tokio::task::spawn_blocking(move || nodes::look_at(&pids)).await;
                seen.add(&looked.unwrap_or_default());
                look = world.now() + 2 * SECOND;
            }
            Some(x) = fallen.recv() => stage.list(x, Status::Gone),
            Some(node) = births.recv() => stage.is_born(node),
        }
    }
    let running = jobs.await.map_err(|error| error.to_string())?;
    let ttl = plan.category.iter().map(|category| category.ttl_ms).fold(0.0, f64::max);
    let most = (ttl + plan.load.retry_wait_ms) * (1.0 + plan.load.retries as f64) + 2_000.0;
    let all = async {
        for job in running {
            let _ = job.await;
        }
    };
    let done = timeout(Duration::from_millis(most as u64), all).await.is_ok();
    while !stage.coming.is_empty() {
        let Ok(Some(node)) = timeout(Duration::from_secs(10), births.recv()).await else { break };
        stage.is_born(node);
    }
    let (mut sent, mut left) = (0, 0);
    for client in rude {
        let (own_sent, own_left) = client.await.map_err(|error| error.to_string())?;
        (sent, left) = (sent + own_sent, left + own_left);
    }
    let calls = stage.nodes.all.iter().flatten().filter_map(|running| running.admin);
    let members = if plan.nodes.members_ms > 0.0 {
        nodes::members_say(calls.collect()).await
    } else {
        Default::default()
    };
    stage.end();
    let mut played = {
        let (ledger, asked) = (locked(&world.ledger), locked(&world.asked));
        figures(plan, &ledger, &asked, None, SLACK_MS, offset, seed)
    };
    played.hold(plan, "play");
    for foreign in locked(&world.foreign).iter().take(3) {
        let what = format!("pushed under an id that no client sent: '{foreign}'");
        played.broken.push(Broken { rule: 2, op: 0, what, line: Vec::new() });
    }
    for fault in &stage.faults {
        played.broken.push(Broken { rule: 1, op: 0, what: fault.clone(), line: Vec::new() });
    }
    let lines = stage.nodes.lines();
    played.no_verdict = no_verdict(&world, &stage, &seen, &lines, done, turned_late);
    let (p99, worst, _) = world.lateness();
    // A thousand lines of all nodes, and what the rig has to say of itself.
    let every = lines.len().div_ceil(1000).max(1);
    played.log = lines.into_iter().step_by(every).collect();
    if plan.load.rude > 0 {
        played.log.push(format!("rude: {sent} requests, {left} left with neither an error nor a close"));
    }
    played.log.push(seen.line());
    if !members.is_empty() {
        let told = |(name, (sum, least, most)): (&String, &(u64, u64, u64))| {
            format!("{name} {sum} ({least} to {most})")
        };
        let told: Vec<String> = members.iter().map(told).collect();
        played.log.push(format!("members, over all nodes (of one): {}", told.join(", ")));
    }
    if plan.nodes.keep {
        let bytes: usize = stage.nodes.kept.iter().map(keeps::Kept::bytes).sum();
        played.log.push(format!("kept: {bytes} bytes by {} nodes", stage.nodes.kept.len()));
    }
    played.log.push(format!(
        "rig: requests left {p99:.2} ms late at 99 %, {worst:.2} ms at worst; a fault was on {:.1} ms late at worst",
        turned_late as f64 / 10.0
    ));
    Ok(played)
}

/// Why the day has no verdict, if it has none: the machine was short of something, or the rig was late.
fn no_verdict(
    world: &World,
    stage: &Stage,
    seen: &machine::Seen,
    lines: &[String],
    done: bool,
    turned_late: Time,
) -> Option<String> {
    let (p99, worst, late) = world.lateness();
    if let Some(what) =
        lines.iter().chain(&stage.faults).find_map(|line| machine::short_of(line).map(|what| (what, line)))
    {
        return Some(format!("the machine was short of {}: {}", what.0, what.1));
    }
    if let Some(what) = stage.short.first() {
        return Some(what.clone());
    }
    if late {
        return Some(format!("the rig was late: {p99:.1} ms at 99 %, {worst:.1} ms at worst"));
    }
    if let Some(what) = world::late_turn(turned_late) {
        return Some(what);
    }
    if let Some(what) = seen.short() {
        return Some(what);
    }
    (!done).then(|| "clients were left waiting beyond any deadline".to_string())
}

/// Hands in each job when it is due.
async fn load(
    world: Arc<World>,
    front: Arc<Front>,
    from: Time,
    end: Time,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut running = Vec::new();
    let mut due = from;
    while due < end {
        sleep_until(world.instant(due)).await;
        let now = world.now();
        while due <= now && due < end {
            let (asked, next) = front.draw(due, &world);
            let number = {
                let mut all = locked(&world.asked);
                all.push(asked.clone());
                all.len() - 1
            };
            world.left(world.now() - due);
            running.push(tokio::spawn(clients::job(world.clone(), front.clone(), number, asked)));
            due = next;
        }
    }
    running
}
