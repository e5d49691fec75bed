//! Delivery statistics that are exported as metrics.

use crate::metrics::{Exposition, Histogram};
use crate::net::CallError;
use std::collections::BTreeMap;
use stileroute_queue::AttemptOutcome;

/// Counts delivery attempts by outcome, and records how long messages waited for their first attempt.
#[derive(Default)]
pub struct DeliveryStatistics {
    /// Number of ended attempts by outcome, which is a label value of the metric.
    outcomes: BTreeMap<&'static str, u64>,
    first_attempt_delay: Histogram,
    /// Number of attempts that got no answer but may have run at the executor.
    unknown_outcomes: u64,
}

impl DeliveryStatistics {
    /// Records the start of an attempt. For the first attempt of a message, `first_attempt_delay_ms` is the time since it was due.
    pub fn record_attempt_start(&mut self, first_attempt_delay_ms: Option<u64>) {
        first_attempt_delay_ms.into_iter().for_each(|ms| self.first_attempt_delay.record(ms));
    }

    /// Counts an ended attempt that got no answer but may have run at the executor. `error` is `None` if an answer arrived.
    pub fn record_call_error(&mut self, error: Option<&CallError>) {
        self.unknown_outcomes += u64::from(error.is_some_and(|error| error.may_have_run()));
    }

    /// Counts an ended attempt by its outcome.
    pub fn record_outcome(&mut self, outcome: &AttemptOutcome) {
        *self.outcomes.entry(outcome_label(outcome)).or_default() += 1;
    }

    /// Writes the delivery metrics.
    pub fn write_metrics(&self, metrics: &mut Exposition) {
        for (outcome, count) in &self.outcomes {
            let labels = [("outcome", *outcome)];
            metrics.counter("stileroute_deliveries_total", "Deliveries by how they ended.", &labels, *count);
        }
        let help = "Deliveries without an answer that may have run.";
        metrics.counter("stileroute_deliveries_unsure_total", help, &[], self.unknown_outcomes);
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
