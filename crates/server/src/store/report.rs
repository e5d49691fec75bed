//! What a store tells operators.

use super::Store;
use crate::metrics::{Exposition, Histogram};
use crate::net::CallError;
use crate::node::NodeRuntime;
use crate::report::Told;
use jzon::JsonValue;
use std::collections::BTreeMap;
use stileroute_queue::{AttemptOutcome, End, Key};

/// Deliveries.
#[derive(Default)]
pub struct Tally {
    outcomes: BTreeMap<&'static str, u64>,
    to_run: Histogram,
    unsure: u64,
}

impl Tally {
    pub fn ended(&mut self, outcome: &AttemptOutcome) {
        let name = match outcome {
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
        };
        *self.outcomes.entry(name).or_default() += 1;
    }

    pub fn failed(&mut self, failure: Option<&CallError>) {
        self.unsure += u64::from(failure.is_some_and(|failure| failure.may_have_run()));
    }

    pub fn began(&mut self, first_wait: Option<u64>) {
        first_wait.into_iter().for_each(|ms| self.to_run.record(ms));
    }
}

impl Told for Store {
    fn common(&mut self) -> &mut NodeRuntime {
        &mut self.common
    }

    fn report(&self) -> JsonValue {
        let now = self.common.net.now();
        let mut report = self.common.report();
        let stages = self.queue.stage_counts(now);
        report["messages"] = jzon::object! {
            "landing" => stages.persisting,
            "held" => stages.suspended,
            "waiting" => stages.waiting,
            "out" => stages.in_flight,
            "copy" => stages.replica,
            "ended" => stages.ended,
            "owed" => stages.callbacks_pending,
            "oldest_ms" => stages.oldest_overdue_ms,
        };
        report["disk_trouble"] = self.disk_trouble.into();
        let mut services = Vec::new();
        for service in self.queue.service_views(now) {
            let executors: Vec<JsonValue> = service
                .executor_shares
                .into_iter()
                .map(|(id, share, out)| jzon::object! { "id" => id, "share" => share, "out" => out })
                .collect();
            let ceiling = service.rate_limit.map(|(rate, holder, here)| {
                jzon::object! { "rate_per_s" => rate, "holder" => self.common.name(holder), "here" => here }
            });
            services.push(jzon::object! {
                "service" => service.name,
                "waiting" => service.waiting,
                "out" => service.in_flight,
                "oldest_ms" => service.oldest_overdue_ms,
                "ceiling" => ceiling,
                "executors" => executors,
                "repeats" => jzon::object! {
                    "first" => service.retry_counts.first_attempts,
                    "again" => service.retry_counts.retries,
                    "held_back" => service.retry_counts.retries_delayed,
                    "waiting" => service.retries_waiting,
                    "most_at_one" => service.retry_counts.max_retries_per_executor,
                },
            });
        }
        report["services"] = services.into();
        let stores: Vec<JsonValue> = self
            .queue
            .peer_views()
            .map(|(node, connected, listed, leaving)| {
                jzon::object! {
                    "node" => self.common.name(node),
                    "connected" => connected,
                    "member" => listed,
                    "leaving" => leaving,
                }
            })
            .collect();
        report["stores"] = stores.into();
        report
    }

    fn trace(&self, key: Key) -> JsonValue {
        let Some(view) = self.queue.message_view(self.common.net.now(), key) else { return JsonValue::Null };
        let copies: Vec<JsonValue> =
            view.replicas.into_iter().map(|node| self.common.name(node).into()).collect();
        let end = match view.end {
            None => JsonValue::Null,
            Some(End::Complete { seal }) => jzon::object! { "state" => "complete", "seal" => seal },
            Some(End::Failed) => jzon::object! { "state" => "failed" },
        };
        jzon::object! {
            "id" => view.id,
            "owner" => self.common.name(view.owner),
            "copies" => copies,
            "term" => view.term,
            "stage" => view.stage.label(),
            "tries" => view.failed_attempts,
            "due_in_ms" => view.due_in_ms,
            "expires_in_ms" => view.expires_in_ms,
            "taken" => view.accepted_at_ms,
            "config" => view.config_revision,
            "bytes" => view.bytes,
            "end" => end,
            "callback_owed" => view.callback_pending,
        }
    }

    fn figures(&self, sheet: &mut Exposition) {
        let now = self.common.net.now();
        self.common.figures(sheet, |_| "none");
        let stages = self.queue.stage_counts(now);
        let by_stage = [
            ("landing", stages.persisting),
            ("held", stages.suspended),
            ("waiting", stages.waiting),
            ("out", stages.in_flight),
            ("copy", stages.replica),
            ("ended", stages.ended),
        ];
        for (stage, count) in by_stage {
            sheet.gauge("stileroute_messages", "Messages here, by stage.", &[("stage", stage)], count);
        }
        sheet.gauge(
            "stileroute_callbacks_owed",
            "Call-backs that have not been taken.",
            &[],
            stages.callbacks_pending,
        );
        let oldest = stages.oldest_overdue_ms as f64 / 1000.0;
        let help = "By how much the oldest own message that has not ended is past its due time.";
        sheet.gauge("stileroute_oldest_message_seconds", help, &[], oldest);
        let services = self.queue.service_views(now);
        for service in &services {
            let labels = [("service", service.name.as_str())];
            sheet.gauge("stileroute_queue", "Messages that wait for an executor.", &labels, service.waiting);
        }
        for service in &services {
            let labels = [("service", service.name.as_str())];
            sheet.gauge("stileroute_out", "Requests that are out at executors.", &labels, service.in_flight);
        }
        for service in &services {
            let of =
                [("first", service.retry_counts.first_attempts), ("repeat", service.retry_counts.retries)];
            for (attempt, count) in of {
                let labels = [("service", service.name.as_str()), ("attempt", attempt)];
                let help = "Deliveries that went out: first ones, and repeats of what ran or may have run.";
                sheet.counter("stileroute_attempts_total", help, &labels, count);
            }
        }
        for service in &services {
            let labels = [("service", service.name.as_str())];
            let help = "Repeats that had to wait for their part.";
            sheet.counter(
                "stileroute_repeats_held_back_total",
                help,
                &labels,
                service.retry_counts.retries_delayed,
            );
        }
        for service in &services {
            let labels = [("service", service.name.as_str())];
            let help = "Repeats that wait, among the queue.";
            sheet.gauge("stileroute_repeats_waiting", help, &labels, service.retries_waiting);
        }
        for service in &services {
            let labels = [("service", service.name.as_str())];
            let help = "Most repeats of this store that were out at one executor at once.";
            sheet.gauge(
                "stileroute_repeats_most_at_one",
                help,
                &labels,
                service.retry_counts.max_retries_per_executor,
            );
        }
        for service in services.iter().filter(|s| s.rate_limit.is_some()) {
            let here = u8::from(service.rate_limit.is_some_and(|(_, _, here)| here));
            let help = "1: this store hands out the service's tokens.";
            sheet.gauge("stileroute_tokens_holder", help, &[("service", &service.name)], here);
        }
        for (outcome, count) in &self.tally.outcomes {
            let labels = [("outcome", *outcome)];
            sheet.counter("stileroute_deliveries_total", "Deliveries by how they ended.", &labels, *count);
        }
        let help = "Deliveries without an answer that may have run.";
        sheet.counter("stileroute_deliveries_unsure_total", help, &[], self.tally.unsure);
        let help = "From a message's due time to its first delivery.";
        sheet.histogram("stileroute_to_run_seconds", help, &self.tally.to_run);
        let f = &self.queue.metrics;
        let events = [
            ("taken", f.accepted),
            ("refused", f.rejected),
            ("uncertain", f.outcome_unknown),
            ("done", f.completed),
            ("failed", f.failed),
            ("dropped", f.failed_without_route),
            ("expired", f.expired),
            ("attempts", f.attempts),
            ("again", f.retries),
            ("calls", f.callbacks_started),
            ("called", f.callbacks_delivered),
            ("taken_over", f.taken_over),
            ("handed_over", f.handed_over),
            ("copied_anew", f.replicas_resent),
            ("no_disk", f.failed_writes),
            ("former_refused", f.stale_claims),
            ("fenced", f.fence_activations),
        ];
        for (event, count) in events {
            sheet.counter(
                "stileroute_queue_events_total",
                "What happened to messages.",
                &[("event", event)],
                count,
            );
        }
        let help = "Own messages that are on too few disks.";
        sheet.gauge("stileroute_messages_thin", help, &[], f.under_replicated);
        let help = "How long some were on too few disks, the last time that this was so.";
        sheet.gauge("stileroute_thin_seconds", help, &[], f.last_under_replication_ms as f64 / 1000.0);
        disk(sheet, self.disk.statistics());
        let trouble = u8::from(self.disk_trouble);
        sheet.gauge("stileroute_disk_trouble", "1: the disk refused the last write.", &[], trouble);
    }
}

pub fn disk(sheet: &mut Exposition, f: stileroute_wal::Statistics) {
    let all = [
        ("records", f.records),
        ("bytes", f.bytes),
        ("syncs", f.syncs),
        ("failures", f.failures),
        ("checkpoints", f.checkpoints),
    ];
    for (what, count) in all {
        sheet.counter("stileroute_disk_total", "What was done on the disk.", &[("what", what)], count);
    }
}
