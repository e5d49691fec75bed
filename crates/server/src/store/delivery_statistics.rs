//! Counts of deliveries, for the metrics.

use crate::metrics::{Exposition, Histogram};
use crate::net::CallError;
use std::collections::BTreeMap;
use stileroute_queue::AttemptOutcome;

/// How deliveries ended, and how long messages waited for their first one.
#[derive(Default)]
pub struct DeliveryStatistics {
    /// By the metric's label.
    outcomes: BTreeMap<&'static str, u64>,
    first_attempt_delay: Histogram,
    /// Attempts without an answer that may have run.
    unknown: u64,
}

impl DeliveryStatistics {
    /// An attempt begins; `first_attempt_delay_ms` is since the message was due, if it is its first.
    pub fn attempt_started(&mut self, first_attempt_delay_ms: Option<u64>) {
        first_attempt_delay_ms.into_iter().for_each(|ms| self.first_attempt_delay.record(ms));
    }

    /// An attempt ended; with an error if it got no answer.
    pub fn attempt_failed(&mut self, error: Option<&CallError>) {
        self.unknown += u64::from(error.is_some_and(|error| error.may_have_run()));
    }

    /// An attempt ended so.
    pub fn attempt_ended(&mut self, outcome: &AttemptOutcome) {
        *self.outcomes.entry(outcome_label(outcome)).or_default() += 1;
    }

    /// Writes the metrics of deliveries.
    pub fn write_metrics(&self, metrics: &mut Exposition) {
        for (outcome, count) in &self.outcomes {
            let labels = [("outcome", *outcome)];
            metrics.counter("stileroute_deliveries_total", "Deliveries by how they ended.", &labels, *count);
        }
        let help = "Deliveries without an answer that may have run.";
        metrics.counter("stileroute_deliveries_unsure_total", help, &[], self.unknown);
        let help = "From a message's due time to its first delivery.";
        metrics.histogram("stileroute_to_run_seconds", help, &self.first_attempt_delay);
    }
}

fn outcome_label(outcome: &AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Completed { .. } => "done",
        AttemptOutcome::Rejected => "refused",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::ExecutorFull => "full",
        AttemptOutcome::RateLimited => "over",
        AttemptOutcome::AlreadyRunning => "running",
        AttemptOutcome::WrongServer => "wrong",
        AttemptOutcome::NotRun => "not_run",
        AttemptOutcome::TimedOut => "stopped",
        AttemptOutcome::NotConnected => "not_connected",
        AttemptOutcome::NoFreeConnection => "no_room",
        AttemptOutcome::ConnectionBroken => "broken",
        AttemptOutcome::NoResponse => "late",
        AttemptOutcome::MalformedResponse => "garbled",
    }
}
