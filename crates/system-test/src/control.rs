//! The proof of the control side: four courses, each with a fleet of its own, side by side.

use crate::executor::Kind;
use crate::fleet::{Plain, NINE};
use crate::history::History;
use crate::judge::judge;
use crate::operator::{Routes, Services};
use crate::prove::{figures, lay_out, tell_all, verdict};
use crate::recorder::Recorder;
use crate::setup::{Place, Running, Setup};
use crate::{churn, halves, isolation, replacement};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Messages a second in each fleet: enough to see that they are taken, and little of the machine.
const RATE: u64 = 40;
/// Versions after the first configuration.
const NUMBERS_FROM: u64 = 100;

const ROUTES: [(&str, &str, u32); 3] =
    [("/alder/", "alder", 4), ("/birch/", "birch", 4), ("/larch/", "birch", 4)];
const LOAD: [(&str, u64); 3] = [("/alder/", 5), ("/birch/", 3), ("/larch/", 2)];

/// One of the courses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Part {
    /// Control nodes lose contact, in both directions and in one, and freeze.
    Isolation,
    /// Machines are replaced, and another is lost at once.
    Replacement,
    /// Many changes with restarts, two under one number, orders sent again.
    Churn,
    /// The fleet is cut into two halves, also with another loss.
    Halves,
}

impl Part {
    const ALL: [Part; 4] = [Part::Isolation, Part::Replacement, Part::Churn, Part::Halves];

    fn name(self) -> &'static str {
        match self {
            Part::Isolation => "isolation",
            Part::Replacement => "replacement",
            Part::Churn => "churn",
            Part::Halves => "halves",
        }
    }

    fn label(self) -> &'static str {
        match self {
            Part::Isolation => "isolation    ",
            Part::Replacement => "replacement  ",
            Part::Churn => "churn        ",
            Part::Halves => "halves       ",
        }
    }

    fn play(self, running: Running, numbers: &Numbers) -> Plain<History> {
        match self {
            Part::Isolation => isolation::play(running, numbers),
            Part::Replacement => replacement::play(running, numbers),
            Part::Churn => churn::play(running, numbers),
            Part::Halves => halves::play(running, numbers),
        }
    }
}

/// Numbers for versions, each above all that were given before.
#[derive(Clone)]
pub struct Numbers(Arc<AtomicU64>);

impl Numbers {
    fn new() -> Numbers {
        Numbers(Arc::new(AtomicU64::new(NUMBERS_FROM)))
    }
    pub fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::SeqCst)
    }
}

pub fn kind(service: &str) -> Kind {
    Kind {
        service: service.to_string(),
        capacity: 8,
        work_ms: (5, 20),
        tells_load: false,
        fails: true,
        beats_after_ms: 0,
        endpoint: false,
    }
}

/// The load of a fleet of nine on which stores or control nodes fail. `label` is printed before each line of its schedule.
pub fn setup(label: String) -> Setup {
    let services: Services = vec![("alder", 0.0, None), ("birch", 0.0, None)];
    let routes: Routes = ROUTES.to_vec();
    let mut executors = Vec::new();
    for place in 1..=2 {
        executors.push(Place::new(format!("alder-{place}"), place, &kind("alder")));
        executors.push(Place::new(format!("birch-{place}"), 10 + place, &kind("birch")));
    }
    let (mix, ready_within) = (LOAD.to_vec(), Duration::from_secs(15));
    Setup { label, routes, services, executors, mix, rate: RATE, has_keys: false, ready_within }
}

/// Plays one schedule; its history, and the watch on the machine's own delays.
fn run(part: Part, program: &Path, home: &Path, net: Option<u8>) -> Plain<(History, Arc<Recorder>)> {
    let home = home.join(part.name());
    std::fs::create_dir_all(&home).map_err(|e| format!("{}: {e}", home.display()))?;
    let fleet = lay_out(program, &home, net, NINE, part as u8)?;
    let recorder = Recorder::new(&home);
    let running = setup(part.label().to_string()).begin(fleet, &recorder)?;
    let history = part.play(running, &Numbers::new())?;
    Ok((history, recorder))
}

pub fn prove(program: &Path, net: Option<u8>, keep: bool, only: Option<Part>) -> Plain<ExitCode> {
    let home = crate::home()?;
    let parts: Vec<Part> = Part::ALL.into_iter().filter(|part| only.is_none_or(|o| o == *part)).collect();
    let played: Vec<Plain<(History, Arc<Recorder>)>> = std::thread::scope(|scope| {
        let home = &home;
        let begun: Vec<_> =
            parts.iter().map(|part| scope.spawn(move || run(*part, program, home, net))).collect();
        let panicked = || Err("a schedule ended by a panic".to_string());
        begun.into_iter().map(|thread| thread.join().unwrap_or_else(|_| panicked())).collect()
    });
    let mut breaches = Vec::new();
    let mut busy = None;
    for (part, played) in parts.iter().zip(played) {
        let (history, recorder) = played.map_err(|e| format!("{}: {e}", part.name()))?;
        println!("test-control, {}: {}", part.name(), figures(&history, &recorder));
        let found = judge(&history);
        if keep {
            tell_all(&history, &recorder, &found);
        }
        busy = busy.or(recorder.busy());
        breaches.extend(found);
    }
    if keep {
        println!("kept: {}", home.display());
    } else {
        let _ = std::fs::remove_dir_all(&home);
    }
    Ok(verdict(&breaches, busy).exit_code())
}
