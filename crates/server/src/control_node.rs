//! The control node: its event loop, and the handling of events from links, disk and control group. The calls of
//! executors and operators are in [`calls`], the retirement of stores in [`retirement`].

mod calls;
mod departures;
mod disk_records;
mod pending_calls;
mod report;
mod retirement;
mod spare_stores;

use crate::control_plane::{member_of, ControlPlane};
use crate::disk::Disk;
use crate::inspection::Inspect;
use crate::links::LinkEvent;
use crate::net::{Event, Millis, RequestLimits};
use crate::node::{log_configuration, random_seed, NodeRuntime, Polled};
use crate::protocol::{Frame, NodeRole};
use crate::start_error::StartError;
use departures::PendingDepartures;
use disk_records::DiskRecords;
use pending_calls::{Origin, PendingCalls};
use retirement::RetirementNotices;
use spare_stores::SpareStoreMonitor;
use std::sync::Arc;
use stileroute_config::Config;
use stileroute_control_group::{ControlGroup, Effect, GroupSettings};
use stileroute_registry::Registry;
use stileroute_wal::Options;

/// Name of the control node's log and of the log's folder.
const CONTROL_LOG_SCHEMA: &str = "watch";
/// Log size in bytes after which the log is replaced by a snapshot; this is cheap because the state is small.
const LOG_CHECKPOINT_THRESHOLD_BYTES: u64 = 4 << 20;
/// Longest body of a call, in bytes, that is read at all; each kind of call has a lower limit of its own.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Time in ms after a shutdown request during which a control node still accepts new connections.
const LISTEN_AFTER_SHUTDOWN_MS: Millis = 300;
/// Time in ms between the end of this node's membership in the control group and the end of the process, so that its
/// last frames are sent.
const EXIT_DELAY_AFTER_HANDOVER_MS: Millis = 400;
/// Part of the shutdown grace period, in ms, that is reserved for ending the process itself.
const SHUTDOWN_RESERVE_MS: Millis = 1500;

/// A control node process.
pub struct ControlNode {
    runtime: NodeRuntime,
    /// The listener for calls of executors and operators.
    listener: usize,
    plane: ControlPlane,
    disk: Disk,
    calls: PendingCalls,
    departures: PendingDepartures,
    notices: RetirementNotices,
    spare_store_monitor: SpareStoreMonitor,
    /// Whether this node has left the control group because its machine is being retired.
    has_left_group: bool,
    /// When the control group reported that this node may exit.
    ready_to_exit_at: Option<Millis>,
}

impl ControlNode {
    /// Reads the records on disk and opens the listener for calls.
    ///
    /// # Errors
    ///
    /// Fails if a setting is missing, the log can't be opened, or the address is in use.
    pub fn new(mut runtime: NodeRuntime) -> Result<ControlNode, StartError> {
        let missing = StartError::MissingSetting { key: "bind_addresses.control", role: "this role" };
        let address = runtime.boot.control_address.ok_or(missing)?;
        let options = Options {
            checkpoint_after_bytes: LOG_CHECKPOINT_THRESHOLD_BYTES,
            ..Options::new(CONTROL_LOG_SCHEMA)
        };
        let (disk, records) = Disk::open::<DiskRecords>(&runtime, "a control node", options)?;
        let boot = &runtime.boot;
        let settings = GroupSettings {
            survives_domain_loss: boot.fault_tolerance.covers_failure_domains(),
            ..GroupSettings::new(
                address,
                boot.seeds.clone(),
                boot.is_first_start,
                boot.fault_tolerance.machines,
                random_seed(),
            )
        };
        let limits = RequestLimits { max_body_bytes: MAX_BODY_BYTES, ..RequestLimits::default() };
        let listener = runtime
            .net
            .listen_http(address, limits)
            .map_err(|source| StartError::Listen { purpose: "control", source })?;
        let now = runtime.net.now();
        let own_member = member_of(runtime.links.local(), 0);
        let registry = Registry::new(own_member, random_seed(), runtime.boot.heartbeat_interval_ms, now);
        let group = ControlGroup::new(settings, records.0, now);
        let epoch = group.view().map_or(0, |view| view.epoch);
        tracing::info!(blank = group.is_awaiting_view(), epoch, "disk read");
        let plane = ControlPlane::new(group, registry, runtime.boot.seeds.clone());
        Ok(ControlNode {
            runtime,
            listener,
            plane,
            disk,
            // The first call id is random, so that an answer to an earlier incarnation of this process matches no
            // call.
            calls: PendingCalls::new(random_seed()),
            departures: PendingDepartures::default(),
            notices: RetirementNotices::default(),
            spare_store_monitor: SpareStoreMonitor::default(),
            has_left_group: false,
            ready_to_exit_at: None,
        })
    }

    /// Runs the event loop until a shutdown was requested and is complete.
    pub fn run(mut self) {
        loop {
            let until = self.next_deadline();
            let Polled { link_events, events } = self.runtime.poll(until);
            link_events.into_iter().for_each(|link_event| self.link_event(link_event));
            events.into_iter().for_each(|event| self.event(event));
            self.answer_inquiries();
            let now = self.runtime.net.now();
            self.plane.group.tick(now);
            self.apply_group_effects();
            if self.runtime.take_topology_change() {
                self.plane.set_dial_targets(&mut self.runtime.links, now);
            }
            self.plane.publish(&mut self.runtime.links, &mut self.runtime.net, now);
            self.advance_retirements(now);
            self.check_spare_stores(now);
            self.answer_overdue_calls(now);
            self.reject_overdue_departures(now);
            if self.runtime.take_shutdown_request() {
                self.plane.group.shut_down(now);
                self.apply_group_effects();
            }
            if self.is_shutdown_complete(now) {
                return self.runtime.finish(self.disk);
            }
        }
    }

    fn next_deadline(&self) -> Millis {
        self.plane.next_deadline(self.runtime.net.now()).min(self.departures.next_deadline())
    }

    /// Whether the process may exit: another node has taken over and all calls have been answered, or the grace
    /// period is over.
    fn is_shutdown_complete(&mut self, now: Millis) -> bool {
        let Some(since) = self.runtime.draining_since else { return false };
        if now > since + LISTEN_AFTER_SHUTDOWN_MS {
            self.runtime.net.stop_listening(self.listener);
        }
        let has_handed_over = self.ready_to_exit_at.is_some_and(|at| now > at + EXIT_DELAY_AFTER_HANDOVER_MS);
        let is_idle = self.runtime.net.requests_in_flight() == 0 && self.calls.is_empty();
        (has_handed_over && is_idle) || self.runtime.is_grace_period_over(SHUTDOWN_RESERVE_MS)
    }

    fn link_event(&mut self, link_event: LinkEvent) {
        let now = self.runtime.net.now();
        match link_event {
            LinkEvent::Received(from, NodeRole::Control, Frame::Forward { request_id, call }) => {
                let call_id = self.calls.insert(now, Origin::ControlNode { node: from, request_id });
                if let Some(response) = self.handle_forwarded(call_id, call) {
                    self.answer_call(call_id, response);
                }
            }
            LinkEvent::Received(
                from,
                NodeRole::Control,
                Frame::ForwardResult { request_id, status, body },
            ) => self.forwarded_call_answered(from, request_id, status, body),
            LinkEvent::Received(from, NodeRole::Control, Frame::Departure { request_id, heartbeat }) => {
                self.departure_received(from, request_id, heartbeat);
            }
            LinkEvent::Received(from, NodeRole::Control, Frame::DepartureRecorded { request_id }) => {
                self.departure_recorded(from, request_id);
            }
            LinkEvent::Down(node, NodeRole::Control) => {
                self.plane.link_event(&self.runtime.links, now, link_event);
                // The lost control node may have carried out the calls that were forwarded to it, so their outcome is
                // unknown.
                for (call_id, kind) in self.calls.control_node_lost(node) {
                    self.answer_call(call_id, kind.outcome_unknown());
                }
            }
            other => self.plane.link_event(&self.runtime.links, now, other),
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::WakeUp => self.take_disk_results(),
            Event::Request { connection, request, .. } => self.handle_request(connection, &request),
            _ => {}
        }
    }

    fn take_disk_results(&mut self) {
        let now = self.runtime.net.now();
        while let Some((ticket, result)) = self.disk.next_result() {
            if let Err(error) = &result {
                tracing::error!(%error, "write to the control log on disk failed");
            }
            self.plane.group.persisted(now, ticket, result.is_ok());
        }
    }

    /// Applies the effects of the control group until there are none left.
    fn apply_group_effects(&mut self) {
        loop {
            let effects = self.plane.group.take_effects();
            if effects.is_empty() {
                return;
            }
            effects.into_iter().for_each(|effect| self.apply_group_effect(effect));
        }
    }

    fn apply_group_effect(&mut self, effect: Effect) {
        let NodeRuntime { links, net, .. } = &mut self.runtime;
        match self.plane.send(links, net, effect) {
            // A message to another control node has already been sent.
            None | Some(Effect::Send { .. }) => {}
            Some(Effect::Persist { ticket, record }) => {
                self.disk.append(ticket, vec![disk_records::encode(&record)], true);
            }
            Some(Effect::Answer { ticket, verdict }) => self.order_decided(ticket, verdict),
            Some(Effect::ReadAnswer { ticket, state }) => self.configuration_read(ticket, state),
            Some(Effect::Committed { .. }) => self.state_committed(),
            Some(Effect::RoleChanged { epoch, change }) => {
                tracing::info!(epoch, what = change.as_str(), "control duty");
            }
            Some(Effect::ReadyToExit) => self.ready_to_exit_at = Some(self.runtime.net.now()),
        }
    }

    /// Applies a change of the replicated state: the configuration or the set of retired stores may have changed.
    fn state_committed(&mut self) {
        let Some(state) = self.plane.group.committed() else { return };
        let known = self.runtime.config.as_ref().map_or(0, |config| config.revision);
        if state.version > 0 && state.version != known {
            self.runtime.config = Config::parse(&state.body).ok().map(Arc::new);
            self.runtime.config.iter().for_each(|config| log_configuration(config));
        }
    }
}
