//! `harbour-soundings`: searches all orders of events of the control group within bounds, and tells how many there were.

use gumdrop::Options;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::time::Instant;
use stileroute_soundings::{find, retrace, sound, Bounds, Chance, Grain, Planted, Soundings};

#[derive(Debug, Options)]
struct Words {
    #[options(help = "prints this")]
    help: bool,
    #[options(help = "control nodes, 3 or 5", default = "3", meta = "N")]
    nodes: usize,
    #[options(help = "most troubles", default = "1", meta = "N")]
    troubles: u8,
    #[options(help = "most delays", default = "0", meta = "N")]
    delays: u8,
    #[options(no_short, help = "turns at every step, not only where more than a pulse happened")]
    fine: bool,
    #[options(help = "random waits: rising, falling or alike", default = "rising", meta = "WORD")]
    chance: String,
    #[options(help = "operators' calls: 0, 1 or 2", default = "0", meta = "N")]
    script: usize,
    #[options(help = "a fault to find, by its name", meta = "NAME")]
    planted: Option<String>,
    #[options(no_short, help = "threads, 0 for as many as there are cores", default = "0", meta = "N")]
    threads: usize,
}

fn line(bounds: &Bounds, sum: &Soundings, seconds: f64) -> String {
    format!(
        "nodes={} troubles={} delays={} grain={:?} chance={:?} script={} states={} distinct={} pruned={} transitions={} \
         ways={} deepest={} waited_ms={} parts={}/{} seconds={seconds:.1}",
        bounds.nodes,
        bounds.troubles,
        bounds.delays,
        bounds.grain,
        bounds.chance,
        bounds.script,
        sum.states,
        sum.distinct,
        sum.pruned,
        sum.transitions,
        sum.ways,
        sum.deepest,
        sum.waited,
        sum.whole.0,
        sum.whole.1,
    )
}

fn main() -> ExitCode {
    let words = Words::parse_args_default_or_exit();
    let planted = match &words.planted {
        None => None,
        Some(name) => match Planted::ALL.iter().find(|p| format!("{p:?}") == *name) {
            Some(planted) => Some(*planted),
            None => {
                eprintln!("harbour-soundings: no fault of that name; there are {:?}", Planted::ALL);
                return ExitCode::from(2);
            }
        },
    };
    let chance = match words.chance.as_str() {
        "falling" => Chance::Falling,
        "alike" => Chance::Alike,
        _ => Chance::Rising,
    };
    let bounds = Bounds {
        nodes: words.nodes,
        losses: (words.nodes - 1) / 2,
        troubles: words.troubles,
        delays: words.delays,
        grain: if words.fine { Grain::Fine } else { Grain::Coarse },
        chance,
        script: words.script,
        planted,
    };
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let threads = if words.threads == 0 { cores } else { words.threads };
    let (begun, stop) = (Instant::now(), AtomicBool::new(false));
    let sum = if planted.is_some() { find(bounds, threads, &stop) } else { sound(bounds, threads, &stop) };
    println!("{}", line(&bounds, &sum, begun.elapsed().as_secs_f64()));
    let Some(found) = &sum.found else { return ExitCode::SUCCESS };
    println!("BREACH: {}: {}", found.breach.property.sentence(), found.breach.evidence);
    for (number, line) in retrace(found).iter().enumerate() {
        println!("{:4}  {line}", number + 1);
    }
    ExitCode::FAILURE
}
