//! Information of a store for operators: its status report, the trace of a message, and its metrics.

use super::Store;
use crate::inspection::Inspect;
use crate::metrics::Exposition;
use crate::node::NodeRuntime;
use crate::report::{disk_metrics, seconds};
use jzon::JsonValue;
use stileroute_queue::{End, Key, ServiceView, StageCounts};

impl Store {
    fn messages_as_json(&self) -> JsonValue {
        let stages = self.queue.stage_counts(self.runtime.net.now());
        jzon::object! {
            "landing" => stages.persisting,
            "held" => stages.suspended,
            "waiting" => stages.waiting,
            "out" => stages.in_flight,
            "copy" => stages.replica,
            "ended" => stages.ended,
            "surplus" => stages.surplus_replicas,
            "owed" => stages.callbacks_pending,
            "oldest_ms" => stages.oldest_overdue_ms,
            "thin" => self.queue.missing_replicas().messages,
            "thin_ends" => stages.under_replicated_ends,
        }
    }

    fn service_as_json(&self, service: ServiceView) -> JsonValue {
        let executors = service.executor_shares.into_iter().map(|executor| {
            jzon::object! { "id" => executor.id, "share" => executor.share, "out" => executor.in_flight }
        });
        let rate_limit = service.rate_limit.map(|limit| {
            jzon::object! {
                "rate_per_s" => limit.rate_per_s,
                "holder" => self.runtime.node_name(limit.token_holder),
                "here" => limit.is_held_here,
            }
        });
        jzon::object! {
            "service" => service.name,
            "waiting" => service.waiting,
            "out" => service.in_flight,
            "oldest_ms" => service.oldest_overdue_ms,
            "ceiling" => rate_limit,
            "executors" => executors.collect::<Vec<_>>(),
            "repeats" => jzon::object! {
                "first" => service.retry_counts.first_attempts,
                "again" => service.retry_counts.retries,
                "held_back" => service.retry_counts.retries_delayed,
                "waiting" => service.retries_waiting,
                "most_at_one" => service.retry_counts.max_retries_per_executor,
            },
        }
    }

    fn services_as_json(&self) -> JsonValue {
        let services = self.queue.service_views(self.runtime.net.now()).into_iter();
        services.map(|service| self.service_as_json(service)).collect::<Vec<_>>().into()
    }

    /// The connection and membership state of the other stores.
    fn stores_as_json(&self) -> JsonValue {
        let stores = self.queue.peer_views().map(|store| {
            jzon::object! {
                "node" => self.runtime.node_name(store.node),
                "connected" => store.is_connected,
                "member" => store.is_member,
                "leaving" => store.is_draining,
            }
        });
        stores.collect::<Vec<_>>().into()
    }

    fn write_service_metrics(&self, metrics: &mut Exposition) {
        let services = self.queue.service_views(self.runtime.net.now());
        write_queue_metrics(metrics, &services);
        write_retry_metrics(metrics, &services);
        for service in &services {
            let Some(limit) = &service.rate_limit else { continue };
            let help = "1: this store hands out the service's tokens.";
            let labels = [("service", service.name.as_str())];
            metrics.gauge("stileroute_tokens_holder", help, &labels, u8::from(limit.is_held_here));
        }
    }

    fn write_event_metrics(&self, metrics: &mut Exposition) {
        let counts = &self.queue.metrics;
        let events = [
            ("taken", counts.accepted),
            ("refused", counts.rejected),
            ("uncertain", counts.outcome_unknown),
            ("done", counts.completed),
            ("failed", counts.failed),
            ("delayed_by_disk", counts.attempts_delayed_by_disk),
            ("dropped", counts.failed_without_route),
            ("expired", counts.expired),
            ("attempts", counts.attempts),
            ("again", counts.retries),
            ("calls", counts.callbacks_started),
            ("called", counts.callbacks_delivered),
            ("taken_over", counts.taken_over),
            ("handed_over", counts.handed_over),
            ("copied_anew", counts.replicas_resent),
            ("no_disk", counts.failed_writes),
            ("former_refused", counts.stale_claims),
            ("fenced", counts.fence_activations),
            ("ends_sent", counts.ends_transferred),
            ("ends_received", counts.ends_received),
            ("ends_forgotten", counts.ends_forgotten),
            ("unknown", self.unknown_lookups),
            ("deduplicated", counts.deduplicated),
            ("rival_dropped", counts.rivals_dropped),
            ("shard_timeout", counts.shard_timeouts),
            ("over_quota", counts.over_quota),
            ("quota_timeout", counts.quota_timeouts),
            ("shards_claimed", counts.shard_claims),
            ("claim_failed", counts.shard_claims_failed),
        ];
        for (event, count) in events {
            let help = "What happened to messages.";
            metrics.counter("stileroute_queue_events_total", help, &[("event", event)], count);
        }
        let help = "Shards of idempotency keys that this store holds; there are 1024.";
        metrics.gauge("stileroute_shards_held", help, &[], self.queue.held_shard_count());
        let help = "1 while this store grants no claims of shards, since it has lost its disk.";
        metrics.gauge(
            "stileroute_key_recovery_pending",
            help,
            &[],
            u8::from(self.queue.is_key_recovery_pending()),
        );
        let help = "1 while keys are refused until their window is over, since more disks were lost than may be lost at once.";
        metrics.gauge(
            "stileroute_lost_disks_beyond_tolerance",
            help,
            &[],
            u8::from(self.queue.are_lost_disks_beyond_tolerance()),
        );
        let help = "Own messages that are on too few disks.";
        metrics.gauge("stileroute_messages_thin", help, &[], counts.under_replicated);
        let help = "How long some were on too few disks, the last time that this was so.";
        metrics.gauge("stileroute_thin_seconds", help, &[], seconds(counts.last_under_replication_ms));
    }
}

fn write_stage_metrics(metrics: &mut Exposition, stages: &StageCounts) {
    let by_stage = [
        ("landing", stages.persisting),
        ("held", stages.suspended),
        ("waiting", stages.waiting),
        ("out", stages.in_flight),
        ("copy", stages.replica),
        ("ended", stages.ended),
    ];
    for (stage, count) in by_stage {
        metrics.gauge("stileroute_messages", "Messages here, by stage.", &[("stage", stage)], count);
    }
    let help = "Replicas that their owner's list does not name: this store holds more than its share.";
    metrics.gauge("stileroute_messages_surplus", help, &[], stages.surplus_replicas);
    let help = "Ended messages that, for all that this store knows, lie on too few disks.";
    metrics.gauge("stileroute_ends_thin", help, &[], stages.under_replicated_ends);
    let help = "Call-backs that have not been taken.";
    metrics.gauge("stileroute_callbacks_owed", help, &[], stages.callbacks_pending);
    let help = "By how much the oldest own message that has not ended is past its due time.";
    metrics.gauge("stileroute_oldest_message_seconds", help, &[], seconds(stages.oldest_overdue_ms));
}

// The samples of one metric have to be contiguous in the output, so there is a separate loop over the services for each metric.

fn write_queue_metrics(metrics: &mut Exposition, services: &[ServiceView]) {
    for service in services {
        let labels = [("service", service.name.as_str())];
        let help = "Messages that wait for an executor.";
        metrics.gauge("stileroute_queue", help, &labels, service.waiting);
    }
    for service in services {
        let labels = [("service", service.name.as_str())];
        metrics.gauge("stileroute_out", "Requests that are out at executors.", &labels, service.in_flight);
    }
    for service in services {
        let attempts =
            [("first", service.retry_counts.first_attempts), ("repeat", service.retry_counts.retries)];
        for (attempt, count) in attempts {
            let labels = [("service", service.name.as_str()), ("attempt", attempt)];
            let help = "Deliveries that went out: first ones, and repeats of what ran or may have run.";
            metrics.counter("stileroute_attempts_total", help, &labels, count);
        }
    }
}

fn write_retry_metrics(metrics: &mut Exposition, services: &[ServiceView]) {
    for service in services {
        let labels = [("service", service.name.as_str())];
        let help = "Repeats that had to wait for their part.";
        metrics.counter(
            "stileroute_repeats_held_back_total",
            help,
            &labels,
            service.retry_counts.retries_delayed,
        );
    }
    for service in services {
        let labels = [("service", service.name.as_str())];
        let help = "Repeats that wait, among the queue.";
        metrics.gauge("stileroute_repeats_waiting", help, &labels, service.retries_waiting);
    }
    for service in services {
        let labels = [("service", service.name.as_str())];
        let help = "Most repeats of this store that were out at one executor at once.";
        metrics.gauge(
            "stileroute_repeats_most_at_one",
            help,
            &labels,
            service.retry_counts.max_retries_per_executor,
        );
    }
}

impl Inspect for Store {
    fn runtime(&mut self) -> &mut NodeRuntime {
        &mut self.runtime
    }

    fn report(&self) -> JsonValue {
        let mut report = self.runtime.report();
        report["messages"] = self.messages_as_json();
        report["disk_trouble"] = self.is_disk_failing.into();
        report["accepts"] = self.queue.accepts_messages(self.runtime.net.now()).into();
        report["services"] = self.services_as_json();
        report["stores"] = self.stores_as_json();
        report["fully_replicated"] = self.queue.is_fully_replicated().into();
        report
    }

    fn trace(&self, key: Key) -> JsonValue {
        let Some(view) = self.queue.message_view(self.runtime.net.now(), key) else { return JsonValue::Null };
        let replicas = view.replicas.into_iter().map(|node| self.runtime.node_name(node));
        let end = match view.end {
            None => JsonValue::Null,
            Some(End::Complete { seal }) => jzon::object! { "state" => "complete", "seal" => seal },
            Some(End::Failed) => jzon::object! { "state" => "failed" },
        };
        jzon::object! {
            "id" => view.id,
            "tenant" => view.tenant,
            "owner" => self.runtime.node_name(view.owner),
            "copies" => replicas.collect::<Vec<_>>(),
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

    fn write_metrics(&self, metrics: &mut Exposition) {
        // The replication metrics come first, because some collectors keep only the beginning of the metrics page.
        let help = "1: nothing that this store knows of lies on too few disks, and it has heard of all that the others hold.";
        metrics.gauge("stileroute_fully_replicated", help, &[], u8::from(self.queue.is_fully_replicated()));
        write_stage_metrics(metrics, &self.queue.stage_counts(self.runtime.net.now()));
        self.write_event_metrics(metrics);
        // The only HTTP listener of a store is the one for metrics.
        self.runtime.write_metrics(metrics, |_| "none");
        self.write_service_metrics(metrics);
        self.statistics.write_metrics(metrics);
        disk_metrics(metrics, &self.disk.statistics());
        let help = "Ends that the disk has not written yet; they outlive the process.";
        metrics.gauge("stileroute_ends_unwritten", help, &[], self.kept_ends.unwritten_count());
        let help = "Ends that the disk had not written yet, and that would not have outlived the process.";
        metrics.counter("stileroute_ends_unkept_total", help, &[], self.kept_ends.unbuffered_count());
        let help =
            "Messages with failed attempts that the disk has not written yet; these outlive the process.";
        metrics.gauge("stileroute_failures_unwritten", help, &[], self.kept_failures.unwritten_count());
        let help = "Failed attempts that the disk had not written yet, and that would not have outlived the process.";
        metrics.counter("stileroute_failures_unkept_total", help, &[], self.kept_failures.unbuffered_count());
        let help = "1: a message that came now would be accepted; 0: too few stores can take replicas, or it drains.";
        let accepts = u8::from(self.queue.accepts_messages(self.runtime.net.now()));
        metrics.gauge("stileroute_accepts_messages", help, &[], accepts);
        let help = "1: the disk refused the last write.";
        metrics.gauge("stileroute_disk_trouble", help, &[], u8::from(self.is_disk_failing));
    }
}
