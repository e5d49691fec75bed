//! What a store tells operators.

use super::Store;
use crate::figures::{Histogram, Sheet};
use crate::net::Failure;
use crate::node::Common;
use crate::report::Told;
use jzon::JsonValue;
use std::collections::BTreeMap;
use stileroute_queue::{End, Key, Outcome};

/// Deliveries.
#[derive(Default)]
pub struct Tally {
    outcomes: BTreeMap<&'static str, u64>,
    to_run: Histogram,
    unsure: u64,
}

impl Tally {
    pub fn ended(&mut self, outcome: &Outcome) {
        let name = match outcome {
            Outcome::Done { .. } => "done",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Full => "full",
            Outcome::Over => "over",
            Outcome::Running => "running",
            Outcome::Wrong => "wrong",
            Outcome::NotRun => "not_run",
            Outcome::Stopped => "stopped",
            Outcome::NotConnected => "not_connected",
            Outcome::NoRoom => "no_room",
            Outcome::Broken => "broken",
            Outcome::Late => "late",
            Outcome::Garbled => "garbled",
        };
        *self.outcomes.entry(name).or_default() += 1;
    }

    pub fn failed(&mut self, failure: Option<&Failure>) {
        self.unsure += u64::from(failure.is_some_and(|failure| failure.may_have_run()));
    }

    pub fn began(&mut self, first_wait: Option<u64>) {
        first_wait.into_iter().for_each(|ms| self.to_run.add(ms));
    }
}

impl Told for Store {
    fn common(&mut self) -> &mut Common {
        &mut self.common
    }

    fn report(&self) -> JsonValue {
        let now = self.common.net.now();
        let mut report = self.common.report();
        let stages = self.queue.stages(now);
        report["messages"] = jzon::object! {
            "landing" => stages.landing,
            "held" => stages.held,
            "waiting" => stages.waiting,
            "out" => stages.out,
            "copy" => stages.copy,
            "ended" => stages.ended,
            "owed" => stages.owed,
            "oldest_ms" => stages.oldest_ms,
        };
        report["disk_trouble"] = self.disk_trouble.into();
        let mut services = Vec::new();
        for service in self.queue.services(now) {
            let executors: Vec<JsonValue> = service
                .shares
                .into_iter()
                .map(|(id, share, out)| jzon::object! { "id" => id, "share" => share, "out" => out })
                .collect();
            let ceiling = service.ceiling.map(|(rate, holder, here)| {
                jzon::object! { "rate_per_s" => rate, "holder" => self.common.name(holder), "here" => here }
            });
            services.push(jzon::object! {
                "service" => service.name,
                "waiting" => service.waiting,
                "out" => service.out,
                "oldest_ms" => service.oldest_ms,
                "ceiling" => ceiling,
                "executors" => executors,
                "repeats" => jzon::object! {
                    "first" => service.repeats.first,
                    "again" => service.repeats.again,
                    "held_back" => service.repeats.held_back,
                    "waiting" => service.repeats_waiting,
                    "most_at_one" => service.repeats.most,
                },
            });
        }
        report["services"] = services.into();
        let stores: Vec<JsonValue> = self
            .queue
            .stores()
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
        let Some(view) = self.queue.view(self.common.net.now(), key) else { return JsonValue::Null };
        let copies: Vec<JsonValue> =
            view.copies.into_iter().map(|node| self.common.name(node).into()).collect();
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
            "stage" => format!("{:?}", view.stage).to_lowercase(),
            "tries" => view.tries,
            "due_in_ms" => view.due_in_ms,
            "expires_in_ms" => view.expires_in_ms,
            "taken" => view.taken,
            "config" => view.config,
            "bytes" => view.bytes,
            "end" => end,
            "callback_owed" => view.owed,
        }
    }

    fn figures(&self, sheet: &mut Sheet) {
        let now = self.common.net.now();
        self.common.figures(sheet, |_| "none");
        let stages = self.queue.stages(now);
        let by_stage = [
            ("landing", stages.landing),
            ("held", stages.held),
            ("waiting", stages.waiting),
            ("out", stages.out),
            ("copy", stages.copy),
            ("ended", stages.ended),
        ];
        for (stage, count) in by_stage {
            sheet.gauge("stileroute_messages", "Messages here, by stage.", &[("stage", stage)], count);
        }
        sheet.gauge("stileroute_callbacks_owed", "Call-backs that have not been taken.", &[], stages.owed);
        let oldest = stages.oldest_ms as f64 / 1000.0;
        let help = "By how much the oldest own message that has not ended is past its due time.";
        sheet.gauge("stileroute_oldest_message_seconds", help, &[], oldest);
        let services = self.queue.services(now);
        for service in &services {
            let labels = [("service", service.name.as_str())];
            sheet.gauge("stileroute_queue", "Messages that wait for an executor.", &labels, service.waiting);
        }
        for service in &services {
            let labels = [("service", service.name.as_str())];
            sheet.gauge("stileroute_out", "Requests that are out at executors.", &labels, service.out);
        }
        for service in &services {
            let of = [("first", service.repeats.first), ("repeat", service.repeats.again)];
            for (attempt, count) in of {
                let labels = [("service", service.name.as_str()), ("attempt", attempt)];
                let help = "Deliveries that went out: first ones, and repeats of what ran or may have run.";
                sheet.count("stileroute_attempts_total", help, &labels, count);
            }
        }
        for service in &services {
            let labels = [("service", service.name.as_str())];
            let help = "Repeats that had to wait for their part.";
            sheet.count("stileroute_repeats_held_back_total", help, &labels, service.repeats.held_back);
        }
        for service in &services {
            let labels = [("service", service.name.as_str())];
            let help = "Repeats that wait, among the queue.";
            sheet.gauge("stileroute_repeats_waiting", help, &labels, service.repeats_waiting);
        }
        for service in &services {
            let labels = [("service", service.name.as_str())];
            let help = "Most repeats of this store that were out at one executor at once.";
            sheet.gauge("stileroute_repeats_most_at_one", help, &labels, service.repeats.most);
        }
        for service in services.iter().filter(|s| s.ceiling.is_some()) {
            let here = u8::from(service.ceiling.is_some_and(|(_, _, here)| here));
            let help = "1: this store hands out the service's tokens.";
            sheet.gauge("stileroute_tokens_holder", help, &[("service", &service.name)], here);
        }
        for (outcome, count) in &self.tally.outcomes {
            let labels = [("outcome", *outcome)];
            sheet.count("stileroute_deliveries_total", "Deliveries by how they ended.", &labels, *count);
        }
        let help = "Deliveries without an answer that may have run.";
        sheet.count("stileroute_deliveries_unsure_total", help, &[], self.tally.unsure);
        let help = "From a message's due time to its first delivery.";
        sheet.histogram("stileroute_to_run_seconds", help, &self.tally.to_run);
        let f = &self.queue.figures;
        let events = [
            ("taken", f.taken),
            ("refused", f.refused),
            ("uncertain", f.uncertain),
            ("done", f.done),
            ("failed", f.failed),
            ("dropped", f.dropped),
            ("expired", f.expired),
            ("attempts", f.attempts),
            ("again", f.again),
            ("calls", f.calls),
            ("called", f.called),
            ("taken_over", f.taken_over),
            ("handed_over", f.handed_over),
            ("copied_anew", f.copied_anew),
            ("no_disk", f.no_disk),
            ("former_refused", f.former),
            ("fenced", f.fenced),
        ];
        for (event, count) in events {
            sheet.count(
                "stileroute_queue_events_total",
                "What happened to messages.",
                &[("event", event)],
                count,
            );
        }
        let help = "Own messages that are on too few disks.";
        sheet.gauge("stileroute_messages_thin", help, &[], f.thin);
        let help = "How long some were on too few disks, the last time that this was so.";
        sheet.gauge("stileroute_thin_seconds", help, &[], f.thin_ms as f64 / 1000.0);
        disk(sheet, self.disk.statistics());
        let trouble = u8::from(self.disk_trouble);
        sheet.gauge("stileroute_disk_trouble", "1: the disk refused the last write.", &[], trouble);
    }
}

pub fn disk(sheet: &mut Sheet, f: stileroute_wal::Statistics) {
    let all = [
        ("records", f.records),
        ("bytes", f.bytes),
        ("syncs", f.syncs),
        ("failures", f.failures),
        ("checkpoints", f.checkpoints),
    ];
    for (what, count) in all {
        sheet.count("stileroute_disk_total", "What was done on the disk.", &[("what", what)], count);
    }
}
