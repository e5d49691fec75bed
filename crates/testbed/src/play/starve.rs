//! Nodes that get only a part of their time: each stands still for random short spells. One task for all of them.

use super::world::{span, World};
use crate::random::generator;
use crate::stand::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use stileroute_dispatch::types::Time;
use tokio::sync::mpsc;

/// What the task is told of a process: its part of the time, or none where it may run on.
pub type Order = (u32, Option<f64>);

/// A spell in which a process stands still, in tenths of a millisecond.
const STILL: std::ops::Range<Time> = 200..800;

pub fn start(world: &Arc<World>, seed: u64) -> mpsc::UnboundedSender<Order> {
    let (orders, coming) = mpsc::unbounded_channel();
    tokio::spawn(run(world.clone(), generator(seed, 9), coming));
    orders
}

/// Only ever processes that the stage has started and not yet ended: it tells before it ends one.
fn signal(pid: u32, signal: Signal) {
    let _ = kill(Pid::from_raw(pid as i32), signal);
}

async fn run(world: Arc<World>, mut chance: Pcg64Mcg, mut orders: mpsc::UnboundedReceiver<Order>) {
    // By process: its part, and whether it stands still.
    let mut all: HashMap<u32, (f64, bool)> = HashMap::new();
    let mut next: BinaryHeap<Reverse<(Time, u32)>> = BinaryHeap::new();
    loop {
        let due = next.peek().map(|Reverse((at, _))| *at);
        let wait = async {
            match due {
                Some(at) => tokio::time::sleep_until(world.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            order = orders.recv() => match order {
                None => break,
                Some((pid, Some(part))) => {
                    all.insert(pid, (part, false));
                    next.push(Reverse((world.now() + chance.random_range(0..STILL.end), pid)));
                }
                Some((pid, None)) => {
                    if all.remove(&pid).is_some() {
                        signal(pid, Signal::SIGCONT);
                    }
                }
            },
            () = wait => {
                let Some(Reverse((_, pid))) = next.pop() else { continue };
                let Some((part, still)) = all.get_mut(&pid) else { continue };
                *still = !*still;
                let spell = chance.random_range(STILL);
                let long = if *still {
                    signal(pid, Signal::SIGSTOP);
                    spell
                } else {
                    signal(pid, Signal::SIGCONT);
                    ((spell as f64 * *part / (1.0 - *part).max(0.01)) as Time).max(5)
                };
                next.push(Reverse((world.now() + long, pid)));
            }
        }
    }
    all.into_keys().for_each(|pid| signal(pid, Signal::SIGCONT));
    // A pause is what time it takes to be heard.
    tokio::time::sleep(span(10)).await;
}
