//! A fleet to look at: it runs until Ctrl-C.

use crate::executor::{Executor, Kind, Runs};
use crate::fleet::{Fleet, NINE};
use crate::operator::{Operator, HOST};
use crate::recorder::Recorder;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PREFIX: &str = "/orders/";

pub fn show(program: &Path, net: u8) -> Result<ExitCode, String> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop)).map_err(|e| e.to_string())?;
    }
    let home = crate::home()?;
    let mut fleet = Fleet::lay_out(program, home.clone(), net, NINE)?;
    fleet.start_all()?;
    let recorder = Recorder::new(&home);
    let mut operator = Operator::new(fleet.controls(), &recorder);
    let (routes, services) = (vec![(PREFIX, "orders", 4)], vec![("orders", 0.0, None)]);
    let (_, acked) = operator.replace(1, &routes, &services, Duration::from_secs(10));
    acked.ok_or_else(|| format!("no configuration was taken; logs: {}", home.display()))?;
    let runs = Runs::default();
    let kind = Kind {
        service: "orders".to_string(),
        capacity: 4,
        work_ms: (20, 60),
        tells_load: false,
        fails: false,
        beats_after_ms: 0,
        endpoint: false,
    };
    let mut executors = Vec::new();
    for part in 1..=3 {
        let id = format!("orders-{part}");
        let at = fleet.outside(part, 9000);
        executors.push(Executor::start(&id, at, kind.clone(), fleet.controls(), &recorder, &runs)?);
    }
    let begun = Instant::now();
    let up = |at: &std::net::SocketAddrV4| {
        let said = crate::http::call(*at, "GET", "/v1/readiness", b"", Duration::from_secs(1));
        said.is_ok_and(|message| message.status() == 200)
    };
    while !fleet.readiness().iter().all(up) && begun.elapsed() < Duration::from_secs(10) {
        std::thread::sleep(Duration::from_millis(50));
    }
    tell(&fleet, &executors);
    let mut told = None;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(100));
        let fallen = fleet.fallen();
        if let Some(what) = fallen.as_ref().filter(|_| told.is_none()) {
            println!("{what}");
        }
        told = told.or(fallen);
        // What the stand-ins saw is not judged here.
        let mut history = recorder.write();
        (history.arrivals, history.sent) = (Vec::new(), Vec::new());
    }
    println!("ends what it started");
    executors.iter().for_each(|executor| executor.crash());
    fleet.stop_all();
    std::fs::remove_dir_all(&home).map_err(|e| format!("{}: {e}", home.display()))?;
    Ok(ExitCode::SUCCESS)
}

fn tell(fleet: &Fleet, executors: &[Arc<Executor>]) {
    let list =
        |all: Vec<std::net::SocketAddrV4>| all.iter().map(ToString::to_string).collect::<Vec<_>>().join("  ");
    let controls = fleet.controls().lock().map(|all| all.clone()).unwrap_or_default();
    let edge = fleet.fronts()[0];
    println!("a fleet of nine runs, until Ctrl-C; logs and disks: {}", fleet.home.display());
    println!("  edges (clients)                  {}", list(fleet.fronts()));
    println!("  edges (readiness)                {}", list(fleet.readiness()));
    println!("  control (operators, executors)   {}", list(controls.clone()));
    println!("  executors of service orders      {}", list(executors.iter().map(|e| e.address).collect()));
    println!("\nsend a message, see its name in X-Queue-Message-Id:");
    println!(
        "  curl -i -H 'Host: {HOST}' -H \"X-Request-Id: try-$RANDOM$RANDOM\" -d 'two crates' http://{edge}{PREFIX}7"
    );
    println!("ask what became of it, at any edge:");
    println!("  curl -H 'Host: {HOST}' http://{}/v1/message/NAME", fleet.fronts()[2]);
    println!("see all processes, their sessions, queues and executors:");
    println!("  target/release/stilerouted status --at {}", fleet.status_address());
    println!("read the configuration back:");
    println!("  curl http://{}/v1/settings/read", controls[1]);
}
