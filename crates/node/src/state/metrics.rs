//! What operators read of the node: plain numbers, each counted in one place where the thing happens.

use std::fmt::Write;
use std::sync::atomic::{AtomicI64, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// How an op ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    Acked,
    Nacked,
    Failed,
}

#[derive(Default)]
pub struct Figures {
    /// Names of the categories, and how many ops of each ended in which way.
    categories: Vec<(String, [AtomicU64; 3])>,
    /// Pushes written to their last byte.
    pushes: AtomicU64,
    in_hand: AtomicI64,
    pub listed: AtomicUsize,
    pub avoided: AtomicUsize,
}

/// An op is in hand for as long as this lives, so that no way out of the node can forget to take it off.
pub struct InHand {
    figures: Arc<Figures>,
    pub category: usize,
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.figures.in_hand.fetch_sub(1, Relaxed);
    }
}

const COUNTERS: [(&str, &str); 3] = [
    ("answered", "Ops answered with a result."),
    ("deferred", "Ops nacked: trying again is harmless."),
    ("errored", "Ops that failed: dead-lettered, or refused for what they are."),
];

impl Figures {
    pub fn new(categories: &[String]) -> Arc<Figures> {
        let categories = categories.iter().map(|name| (name.clone(), Default::default())).collect();
        Arc::new(Figures { categories, ..Figures::default() })
    }

    pub fn take_in_hand(self: &Arc<Figures>, category: usize) -> Box<InHand> {
        self.in_hand.fetch_add(1, Relaxed);
        Box::new(InHand { figures: self.clone(), category })
    }

    pub fn ended(&self, category: usize, how: Ended) {
        if let Some((_, counts)) = self.categories.get(category) {
            counts[how as usize].fetch_add(1, Relaxed);
        }
    }

    pub fn pushed(&self) {
        self.pushes.fetch_add(1, Relaxed);
    }

    /// All of them in Prometheus' text form.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let head = |out: &mut String, name: &str, kind: &str, help: &str| {
            let _ = write!(out, "# HELP svc_{name} {help}\n# TYPE svc_{name} {kind}\n");
        };
        for (at, (name, help)) in COUNTERS.iter().enumerate() {
            head(&mut out, &format!("{name}_total"), "counter", help);
            for (category, counts) in &self.categories {
                let (group, count) = (escaped(category), counts[at].load(Relaxed));
                let _ = writeln!(out, "svc_{name}_total{{group=\"{group}\"}} {count}");
            }
        }
        let numbers = [
            ("sends_total", "counter", "Pushes written whole to executors.", self.pushes.load(Relaxed)),
            ("current", "gauge", "Ops taken and not ended.", self.in_hand.load(Relaxed).max(0) as u64),
            ("cluster_size", "gauge", "Executors in the list.", self.listed.load(Relaxed) as u64),
            (
                "cluster_unhealthy",
                "gauge",
                "Listed executors that this node avoids now.",
                self.avoided.load(Relaxed) as u64,
            ),
        ];
        for (name, kind, help, value) in numbers {
            head(&mut out, name, kind, help);
            let _ = writeln!(out, "svc_{name} {value}");
        }
        out
    }
}

/// A label's value: a quote, a backslash or an end of line would end it early.
fn escaped(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
