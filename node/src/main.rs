//! `stileroute`: the decisions of the library as a node on sockets. The parts are put together here.

mod desk;
mod drive;
mod life;
mod store;
#[cfg(test)]
mod tests;
mod wire;

use crossbeam_channel::bounded;
use desk::{Desk, Event};
use drive::clients::Clients;
use drive::directory::Post;
use drive::executors::Executors;
use life::{listener, signals, spawn, start};
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::Arc;
use store::pool::Pool;
use store::seats::Seats;

/// Events that may wait for the desk; who tells more has to wait.
const EVENTS: usize = 1024;

fn run() -> Result<(), String> {
    let start = start::read(|name| std::env::var(name).ok())?;
    let budget = start.budget;
    life::log::open().map_err(|error| format!("threads: {error}"))?;
    let (tell, events) = bounded::<Event>(EVENTS);
    let (ask, asked) = bounded(1);
    let executors = Arc::new(Executors {
        desk: tell.clone(),
        pool: Pool::new(budget.executors),
        gauges: Arc::new(start.gauges.clone()),
        dial: start.dial,
    });
    let clients = Arc::new(Clients {
        desk: tell.clone(),
        pool: Pool::new(budget.clients + budget.executors / 4),
        door: start.door.clone(),
        budget,
        seats: Seats::default(),
        ids: Arc::default(),
        ready: AtomicBool::new(false),
        steer: AtomicBool::new(false),
        numbers: AtomicU64::new(1),
    });
    let post = Post::new(start.discovery, ask.clone());
    signals::watch(tell.clone(), post.clone())?;
    let listener = listener::open(start.listen)?;
    let at = listener.local_addr().map_err(|error| format!("listen: {error}"))?;
    let thread = |error: std::io::Error| format!("threads: {error}");
    let news = tell;
    spawn("discovery", move || drive::directory::run(&post, asked, news)).map_err(thread)?;
    let mut desk = Desk::new(&start, executors, clients.clone(), ask);
    spawn("listener", move || listener::run(listener, clients)).map_err(thread)?;
    say!("{} serves at {at}: {budget:?}", start.name);
    desk.run(&events);
    say!("{} ended", start.name);
    Ok(())
}

fn main() {
    let result = run();
    if let Err(problem) = &result {
        life::log::write(format_args!("stileroute: {problem}"));
    }
    life::log::close();
    if result.is_err() {
        std::process::exit(2);
    }
}
