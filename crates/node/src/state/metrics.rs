//! The node's metrics for operators. Each counter is updated in one place, where the event occurs.

use std::fmt::Write;
use std::sync::atomic::{AtomicI64, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// How an op ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResultKind {
    Acked,
    Nacked,
    Failed,
}

#[derive(Default)]
pub struct Metrics {
    /// For each category its name and the numbers of acked, nacked and failed ops.
    categories: Vec<(String, [AtomicU64; 3])>,
    /// Pushes whose last byte was written.
    pushes: AtomicU64,
    in_flight: AtomicI64,
    pub listed: AtomicUsize,
    pub avoided: AtomicUsize,
}

/// Counts an op as in flight until it is dropped, so that every exit path of the node decrements the gauge.
pub struct InFlightGuard {
    metrics: Arc<Metrics>,
    pub category: usize,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.metrics.in_flight.fetch_sub(1, Relaxed);
    }
}

const COUNTERS: [(&str, &str); 3] = [
    ("answered", "Ops answered with a result."),
    ("deferred", "Ops nacked: trying again is harmless."),
    ("errored", "Ops that failed: dead-lettered, or refused for what they are."),
];

impl Metrics {
    pub fn new(categories: &[String]) -> Arc<Metrics> {
        let categories = categories.iter().map(|name| (name.clone(), Default::default())).collect();
        Arc::new(Metrics { categories, ..Metrics::default() })
    }

    pub fn begin_op(self: &Arc<Metrics>, category: usize) -> Box<InFlightGuard> {
        self.in_flight.fetch_add(1, Relaxed);
        Box::new(InFlightGuard { metrics: self.clone(), category })
    }

    pub fn count_result(&self, category: usize, kind: ResultKind) {
        if let Some((_, counts)) = self.categories.get(category) {
            counts[kind as usize].fetch_add(1, Relaxed);
        }
    }

    pub fn count_push(&self) {
        self.pushes.fetch_add(1, Relaxed);
    }

    /// All metrics in Prometheus text format.
    pub fn to_prometheus(&self) -> String {
        let mut text = String::new();
        let write_header = |text: &mut String, name: &str, kind: &str, help: &str| {
            let _ = write!(text, "# HELP svc_{name} {help}\n# TYPE svc_{name} {kind}\n");
        };
        for (column, (name, help)) in COUNTERS.iter().enumerate() {
            write_header(&mut text, &format!("{name}_total"), "counter", help);
            for (category, counts) in &self.categories {
                let (group, count) = (escape_label(category), counts[column].load(Relaxed));
                let _ = writeln!(text, "svc_{name}_total{{group=\"{group}\"}} {count}");
            }
        }
        let values = [
            ("sends_total", "counter", "Pushes written whole to executors.", self.pushes.load(Relaxed)),
            ("current", "gauge", "Ops taken and not ended.", self.in_flight.load(Relaxed).max(0) as u64),
            ("cluster_size", "gauge", "Executors in the list.", self.listed.load(Relaxed) as u64),
            (
                "cluster_unhealthy",
                "gauge",
                "Listed executors that this node avoids now.",
                self.avoided.load(Relaxed) as u64,
            ),
        ];
        for (name, kind, help, value) in values {
            write_header(&mut text, name, kind, help);
            let _ = writeln!(text, "svc_{name} {value}");
        }
        text
    }
}

/// Escapes a label value: a raw quote, backslash or line end would terminate it early.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
