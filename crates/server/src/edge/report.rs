//! The report and the metrics of an edge, for operators.

use super::Edge;
use crate::inspection::Inspect;
use crate::metrics::Exposition;
use crate::node::NodeRuntime;
use jzon::JsonValue;

impl Inspect for Edge {
    fn runtime(&mut self) -> &mut NodeRuntime {
        &mut self.runtime
    }

    fn report(&self) -> JsonValue {
        let mut report = self.runtime.report();
        report["ready"] = self.is_ready().into();
        report["taking"] = self.submissions.len().into();
        report["asking"] = self.lookups.len().into();
        report
    }

    fn write_metrics(&self, metrics: &mut Exposition) {
        let listener_name = |listener| if listener == self.front_listener { "front" } else { "readiness" };
        self.runtime.write_metrics(metrics, listener_name);
        let help = "1: says that it is ready.";
        metrics.gauge("stileroute_ready", help, &[], u8::from(self.is_ready()));
        let help = "Messages that wait for a store.";
        metrics.gauge("stileroute_taking", help, &[], self.submissions.len());
        let results = [
            ("taken", self.counts.accepted),
            ("no_route", self.counts.without_route),
            ("no_key", self.counts.without_key),
            ("unknown_key", self.counts.with_unknown_key),
            ("over_quota", self.counts.over_quota),
            ("no_contact", self.counts.without_contact),
            ("refused", self.counts.rejected),
            ("uncertain", self.counts.outcome_unknown),
            ("again", self.counts.resubmitted),
        ];
        for (result, count) in results {
            let help = "Messages by what became of taking them; again: another store was asked.";
            metrics.counter("stileroute_messages_total", help, &[("result", result)], count);
        }
        let carried = [("key", self.counts.with_key), ("idempotency_key", self.counts.with_idempotency_key)];
        for (what, count) in carried {
            let help = "Messages by what clients sent along: a key of theirs, an idempotency key.";
            metrics.counter("stileroute_carried_total", help, &[("what", what)], count);
        }
        let help = "Questions after a message.";
        metrics.counter("stileroute_asked_total", help, &[], self.counts.lookups);
        let answers =
            [("unknown", self.counts.unknown_lookups), ("unclear", self.counts.inconclusive_lookups)];
        for (answer, count) in answers {
            let help = "Questions without a state in the answer; unknown: 404, no store knows the message; unclear: 503.";
            metrics.counter("stileroute_asked_in_vain_total", help, &[("answer", answer)], count);
        }
        let help = "From the whole request to its 202.";
        metrics.histogram("stileroute_accept_seconds", help, &self.runtime.net.accept_latency);
    }
}
