//! The store node: persists messages, delivers them to executors and sends call-backs. The decisions are made in the `stileroute-queue`
//! crate; this module connects the queue to the links, the disk and the HTTP connections.

mod deliveries;
mod delivery_statistics;
mod departed_executors;
mod executor_http;
pub mod kept_ends;
pub mod kept_failures;
mod kept_records;
#[cfg(test)]
mod kept_test_support;
mod link_events;
mod refused_appends;
mod report;
#[cfg(test)]
mod tests;

use crate::disk::Disk;
use crate::inspection::Inspect;
use crate::net::{Event, Millis};
use crate::node::{random_seed, wall_clock_ms, NodeRuntime, Polled};
use crate::protocol::{Frame, Heartbeat, NodeRole, RetirementState};
use crate::start_error::StartError;
use delivery_statistics::DeliveryStatistics;
use departed_executors::DepartedExecutors;
use kept_ends::KeptEnds;
use kept_failures::KeptFailures;
use std::collections::HashMap;
use std::path::Path;
use stileroute_config::TimeBounds;
use stileroute_queue::{
    first_number, Key, Node, Queue, QueueSettings, QuotaBounds, Record, RepairSettings, Retention,
    StateTable, ToleratedLosses,
};
use stileroute_wal::Options;

/// Schema name of the store's write-ahead log, which is also the name of its folder.
const LOG_SCHEMA: &str = "hold";
/// Ticket of the append that holds the records written at start-up; the tickets of the queue begin with 1.
const START_TICKET: u64 = 0;
/// Minimum time, in ms, that a draining store waits for messages that other stores hand over to it.
const MIN_DRAIN_MS: Millis = 150;
/// Minimum time, in ms, between the shutdown request and the exit of the process, so that its last frames are sent.
const MIN_SHUTDOWN_MS: Millis = 300;
/// Part of the grace period, in ms, that is reserved for the exit of the process itself.
const SHUTDOWN_RESERVE_MS: Millis = 1000;

/// An HTTP request of this store that has not been answered yet.
enum InFlight {
    /// A delivery attempt to an executor.
    Attempt {
        /// The number by which the queue knows the attempt.
        attempt: u64,
        /// The request id that the executor's answer has to repeat.
        request_id: String,
    },
    /// A call-back about the message with this key.
    Callback(Key),
}

/// The edge that waits for the answer to a submission.
struct Submitter {
    edge: Node,
    /// The id that the edge gave to its request.
    request_id: u64,
}

/// A store node: its queue with its links, disk and connections.
pub struct Store {
    runtime: NodeRuntime,
    queue: Queue,
    disk: Disk,
    kept_ends: KeptEnds,
    kept_failures: KeptFailures,
    /// The last heartbeat of each executor that the control nodes list, by executor id.
    executors: HashMap<String, Heartbeat>,
    departed_executors: DepartedExecutors,
    in_flight: HashMap<u64, InFlight>,
    /// The edges that wait for an answer, by the id under which the queue knows their submission.
    submitters: HashMap<u64, Submitter>,
    last_id: u64,
    /// Whether the last disk write failed.
    is_disk_failing: bool,
    /// Whether the final flush of message ends to the other stores has been done.
    has_flushed_ends: bool,
    statistics: DeliveryStatistics,
    /// Number of lookups by edges for messages that this store does not know.
    unknown_lookups: u64,
}

impl Store {
    /// Reads the stored state from the disk and starts a new incarnation on it.
    ///
    /// # Errors
    ///
    /// Returns an error if no data folder is configured or the log cannot be opened.
    pub fn new(mut runtime: NodeRuntime) -> Result<Store, StartError> {
        let (disk, mut table) = Disk::open::<StateTable>(&runtime, "a store", Options::new(LOG_SCHEMA))?;
        let data_dir = runtime.boot.data_dir.as_deref().unwrap_or(Path::new("."));
        let (kept_ends, unwritten_ends) = KeptEnds::open(data_dir, &mut table);
        let (kept_failures, unwritten_failures) = KeptFailures::open(data_dir, &mut table);
        let disk_id = table.disk_id.unwrap_or_else(random_seed);
        let first_number = first_number(random_seed());
        let has_lost_disk = table.disk_id.is_none() && !runtime.boot.is_first_start;
        let first_records = [
            Some(Record::IncarnationStarted { disk_id, first_number }),
            has_lost_disk.then_some(Record::ShardTermsMissing(true)),
            table.end_retention_change(retention(&runtime.boot.bounds)),
        ];
        // Encoding a record into memory cannot fail.
        let first_records =
            first_records.iter().flatten().map(|record| postcard::to_stdvec(record).unwrap_or_default());
        let records = first_records.chain(unwritten_ends).chain(unwritten_failures);
        disk.append(START_TICKET, records.collect(), true);
        let settings = queue_settings(&runtime, disk_id, first_number, &table, has_lost_disk);
        tracing::info!(messages = table.messages.len(), disk = disk_id, "stored state read from disk");
        // Both clocks are sampled after the disk has been read: with an older monotonic time, delayed messages would run early.
        let (now, wall_clock_ms) = (runtime.net.refresh_now(), wall_clock_ms());
        let queue = Queue::new(settings, table, now, wall_clock_ms);
        Ok(Store {
            runtime,
            queue,
            disk,
            kept_ends,
            kept_failures,
            executors: HashMap::new(),
            departed_executors: DepartedExecutors::default(),
            in_flight: HashMap::new(),
            submitters: HashMap::new(),
            last_id: 1,
            is_disk_failing: false,
            has_flushed_ends: false,
            statistics: DeliveryStatistics::default(),
            unknown_lookups: 0,
        })
    }

    /// Runs the event loop until the process has been asked to shut down and has drained.
    pub fn run(mut self) {
        loop {
            let Polled { link_events, events } = self.runtime.poll(self.queue.next_deadline());
            link_events.into_iter().for_each(|link_event| self.handle_link_event(link_event));
            events.into_iter().for_each(|event| self.handle_event(event));
            self.answer_inquiries();
            self.runtime.maintain_session();
            // Of each pair of stores, the one with the lower address opens the connection.
            let own_ip = self.runtime.boot.ip;
            self.runtime.update_dial_targets(|store| store.ip > own_ip);
            let now = self.runtime.net.now();
            self.queue.control_contact = self.runtime.control_contact();
            if self.runtime.take_shutdown_request() {
                self.notify_edges_of_draining();
                self.queue.begin_draining(now);
            }
            self.apply_queue_effects();
            self.runtime.report_retirement(self.retirement_state());
            for line in self.queue.take_dispatch_log() {
                tracing::debug!("{line}");
            }
            if self.is_shutdown_complete(now) {
                return self.runtime.finish(self.disk);
            }
        }
    }

    /// Whether all messages have been handed over and the last frames are sent, or the grace period is over.
    fn is_shutdown_complete(&mut self, now: Millis) -> bool {
        let Some(since) = self.runtime.draining_since else { return false };
        let is_drained = self.queue.unfinished_count() == 0 && now > since + MIN_DRAIN_MS;
        if is_drained && !self.has_flushed_ends {
            // The last message ends are sent before the process exits: a store that took over must not deliver these messages again.
            self.has_flushed_ends = true;
            self.queue.flush_ends();
            self.apply_queue_effects();
            return false;
        }
        (is_drained && now > since + MIN_SHUTDOWN_MS)
            || self.runtime.is_grace_period_over(SHUTDOWN_RESERVE_MS)
    }

    /// Tells all connected edges that this store is draining, so that they send it no more submissions.
    fn notify_edges_of_draining(&mut self) {
        for edge in self.runtime.links.nodes_with_role(NodeRole::Edge) {
            self.runtime.links.send(&mut self.runtime.net, edge, &Frame::Draining);
        }
    }

    fn retirement_state(&self) -> RetirementState {
        match self.queue.retirement_state() {
            stileroute_queue::RetirementState::NotOrdered => RetirementState::NotRetiring,
            stileroute_queue::RetirementState::InProgress => RetirementState::Draining,
            stileroute_queue::RetirementState::Empty => RetirementState::Complete,
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::WakeUp => self.take_disk_results(),
            Event::CallCompleted { call_id, result } => self.handle_call_completed(call_id, result),
            _ => {}
        }
    }

    fn take_disk_results(&mut self) {
        let now = self.runtime.net.now();
        while let Some((ticket, result)) = self.disk.next_result() {
            let is_failing = result.is_err();
            if std::mem::replace(&mut self.is_disk_failing, is_failing) != is_failing {
                match &result {
                    Err(error) => tracing::error!(%error, "disk write failed"),
                    Ok(()) => tracing::info!("disk writes succeed again"),
                }
            }
            self.kept_ends.write_completed(now, ticket, result.is_ok());
            self.kept_failures.write_completed(now, ticket, result.is_ok());
            self.queue.write_completed(now, ticket, result.is_ok());
        }
    }

    /// Returns an unused id for a submission or for an outgoing request of this store.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// How long the settings ask a store to keep what it knows of messages that have ended.
pub(crate) fn retention(bounds: &TimeBounds) -> Retention {
    Retention { status_ms: bounds.status_retention_ms, idempotency_window_ms: bounds.idempotency_window_ms }
}

fn queue_settings(
    runtime: &NodeRuntime,
    disk_id: u64,
    first_number: u64,
    table: &StateTable,
    has_lost_disk: bool,
) -> QueueSettings {
    let boot = &runtime.boot;
    let zone = boot.zone_regions.keys().position(|zone| *zone == boot.zone).unwrap_or(0);
    QueueSettings {
        node: runtime.links.local().node,
        zone,
        disk_id,
        first_number,
        earlier_first_numbers: table.incarnation_first_numbers.clone(),
        replica_count: boot.fault_tolerance.additional_replicas(),
        region_of_zone: boot.region_numbers(),
        tolerated_losses: ToleratedLosses {
            zones: boot.fault_tolerance.zones,
            regions: boot.fault_tolerance.regions,
        },
        rate_window_ms: boot.bounds.rate_limit_window_ms,
        rate_tolerance: boot.bounds.rate_limit_overrun,
        repair: RepairSettings::new(boot.bounds.catch_up_ms, boot.resources.bandwidth_mbps),
        retention: retention(&boot.bounds),
        quota: QuotaBounds {
            window_ms: boot.bounds.quota_window_ms,
            overrun: boot.bounds.quota_overrun,
            slack: boot.bounds.quota_slack,
        },
        has_lost_disk,
        seed: random_seed(),
    }
}
