//! The membership report for operators: one line per member, and metrics in Prometheus text format.

use std::fmt::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use stileroute_gossip::{Detector, Entry, Evidence, Member, MemberCount, Time, SECOND};

/// The most recent report.
#[derive(Default)]
pub struct MembershipReport {
    text: Mutex<ReportText>,
}

#[derive(Default)]
struct ReportText {
    members: String,
    metrics: String,
}

impl MembershipReport {
    fn text(&self) -> MutexGuard<'_, ReportText> {
        self.text.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One line per member, this instance first.
    pub fn members(&self) -> String {
        self.text().members.clone()
    }

    /// The metrics in Prometheus text format.
    pub fn metrics(&self) -> String {
        self.text().metrics.clone()
    }

    /// Rebuilds the report. `count` is what the dispatch loop was last sent.
    pub fn update(&self, detector: &Detector, count: &MemberCount, now: Time) {
        let text = ReportText { members: member_lines(detector, now), metrics: metrics(detector, count) };
        *self.text() = text;
    }
}

fn member_lines(detector: &Detector, now: Time) -> String {
    let mut lines = member_line(detector.own(), "itself", 0);
    for Member { entry, evidence, since, .. } in detector.members() {
        let source = match evidence {
            Evidence::Itself => "from itself".to_string(),
            Evidence::ReportedBy(by) => format!("told by {by:016x}"),
            Evidence::NoReply => "did not answer here".to_string(),
            Evidence::NotRefuted => "did not answer a suspicion".to_string(),
        };
        lines += &member_line(entry, &source, now - since);
    }
    lines
}

fn member_line(entry: &Entry, source: &str, age: Time) -> String {
    let Entry { id, incarnation, address, domain, state, .. } = entry;
    format!(
        "{id:016x} {address} domain {domain} life {incarnation} {} for {:.1} s: {source}\n",
        state.label(),
        age as f64 / SECOND as f64
    )
}

fn metrics(detector: &Detector, count: &MemberCount) -> String {
    let counters = &detector.counters;
    let rows = [
        ("members_likely", "gauge", "Instances that are likely to live.", count.likely as u64),
        ("members_safe", "gauge", "Instances that may be sending.", count.possibly_sending as u64),
        ("members_sent_total", "counter", "Messages to other instances.", counters.sent),
        ("members_sent_bytes_total", "counter", "Their bytes.", counters.sent_bytes),
        ("members_heard_total", "counter", "Messages of other instances.", counters.received),
        ("members_garbled_total", "counter", "Messages that could not be read.", counters.malformed),
        ("members_strangers_total", "counter", "Messages without the key.", counters.unauthenticated),
        ("members_replayed_total", "counter", "Messages that came again.", counters.replayed),
        ("members_suspected_total", "counter", "Suspicions that began here.", counters.suspected),
        ("members_refuted_total", "counter", "Suspicions of this instance, answered.", counters.refuted),
        ("members_stood_still_total", "counter", "Times that this instance stood still.", counters.pauses),
    ];
    let mut out = String::new();
    for (name, kind, help, value) in rows {
        let _ = write!(out, "# HELP svc_{name} {help}\n# TYPE svc_{name} {kind}\nsvc_{name} {value}\n");
    }
    out
}
