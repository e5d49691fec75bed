//! What an executor is for the whole day, drawn from the plan.

use crate::plan::{Kind, Order, Plan};
use crate::random::generator;
use crate::time::seconds;
use rand::RngExt;
use stileroute_dispatch::types::Time;

/// What an executor is, for the whole day.
#[derive(Clone, Debug)]
pub struct ExecutorSpec {
    pub name: String,
    pub kind: usize,
    pub domain: usize,
    pub cell: usize,
    pub slots: f64,
    pub memory: f64,
    pub speed: f64,
    pub order: Order,
    pub queue_limit: usize,
    pub connections: usize,
    pub idle_close: Time,
}

/// The executors of a plan, drawn with its seed. Kinds are dealt out over the domains in turn, so that each domain
/// has some of each.
pub fn specs(plan: &Plan, seed: u64) -> Vec<ExecutorSpec> {
    let mut random = generator(seed, 1);
    let domains = plan.fleet.domains.len();
    let mut in_domain = vec![0; domains];
    let mut specs = Vec::with_capacity(plan.executors());
    for (kind, Kind { count, slots, memory, speed, queue, queue_limit, connections, idle_close_s, .. }) in
        plan.fleet.kind.iter().enumerate()
    {
        for number in 0..*count {
            let domain = (number + kind) % domains;
            let group = in_domain[domain] / plan.fleet.cell.max(1);
            in_domain[domain] += 1;
            specs.push(ExecutorSpec {
                name: format!("x{}", specs.len()),
                kind,
                domain,
                cell: group * domains + domain,
                slots: *slots,
                memory: if *memory > 0.0 { *memory } else { *slots },
                speed: random.random_range(speed[0]..=speed[1]),
                order: *queue,
                queue_limit: *queue_limit,
                connections: *connections,
                idle_close: seconds(*idle_close_s),
            });
        }
    }
    specs
}
