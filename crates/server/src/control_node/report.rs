//! The report and the metrics of a control node, for operators.

use super::spare_stores::StoresInService;
use super::ControlNode;
use crate::inspection::Inspect;
use crate::metrics::Exposition;
use crate::node::NodeRuntime;
use crate::protocol::{ExecutorState, NodeRole};
use crate::report::{disk_metrics, member_as_json};
use jzon::JsonValue;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use stileroute_queue::Node as NodeId;

impl ControlNode {
    /// Version of the configuration in force on this node; 0 if there is none.
    fn config_version(&self) -> u64 {
        self.plane.group.committed().map_or(0, |state| state.version)
    }

    /// All nodes that this control node knows, by name.
    fn members_as_json(&self) -> JsonValue {
        let registry = &self.plane.registry;
        let control_nodes = registry.members().iter().filter(|member| member.role == NodeRole::Control);
        let of_peers = registry.peer_session_members();
        let own = registry.sessions().filter(|session| session.is_connected);
        let own = own.map(|session| &session.member);
        // This node's own sessions come last, so that they overwrite reports of other control nodes, which may be
        // older than the session.
        let members = control_nodes.chain(of_peers).chain(own);
        // Two roles on one machine share its name, so entries are keyed by name and process.
        let by_process = members.map(|member| ((member.name.clone(), member.node), member_as_json(member)));
        let by_process: BTreeMap<(String, NodeId), JsonValue> = by_process.collect();
        by_process.into_values().collect::<Vec<_>>().into()
    }

    /// The state of the control group as this node sees it.
    fn group_as_json(&self) -> JsonValue {
        let (group, now) = (&self.plane.group, self.runtime.net.now());
        let view = group.view();
        let addresses = |nodes: &[SocketAddrV4]| -> JsonValue {
            nodes.iter().map(|node| JsonValue::from(node.to_string())).collect::<Vec<_>>().into()
        };
        jzon::object! {
            "control" => self.runtime.boot.control_address.map(|address| address.to_string()),
            "epoch" => view.map_or(0, |view| view.epoch),
            "primary" => group.primary().map(|primary| primary.to_string()),
            "copies" => view.map_or(JsonValue::Null, |view| addresses(&view.replicas)),
            "voters" => view.map_or(JsonValue::Null, |view| addresses(&view.voters)),
            "leads" => group.holds_lease(now),
            "blank" => group.is_awaiting_view(),
        }
    }

    fn executors_as_json(&self) -> JsonValue {
        let now = self.runtime.net.now();
        let executors = self.plane.registry.executors();
        let listed = executors.filter(|executor| executor.heartbeat.state != ExecutorState::Offline);
        let as_json = listed.map(|executor| {
            jzon::object! {
                "id" => executor.heartbeat.id.clone(),
                "service" => executor.heartbeat.backend.clone(),
                "address" => executor.heartbeat.address.to_string(),
                "zone" => executor.heartbeat.zone.clone(),
                "standing" => executor.heartbeat.state.to_string(),
                "capacity" => executor.heartbeat.capacity,
                "beat_ms" => now.saturating_sub(executor.last_heard),
            }
        });
        as_json.collect::<Vec<_>>().into()
    }
}

impl Inspect for ControlNode {
    fn runtime(&mut self) -> &mut NodeRuntime {
        &mut self.runtime
    }

    fn report(&self) -> JsonValue {
        let mut report = self.runtime.report();
        report["version"] = self.config_version().into();
        report["known"] = self.members_as_json();
        report["ready"] = self.plane.registry.is_ready().into();
        report["duty"] = self.group_as_json();
        let StoresInService { count, spare } = self.stores_in_service();
        report["storage"] = jzon::object! { "in_service" => count, "spare" => spare };
        report["executors"] = self.executors_as_json();
        report
    }

    fn write_metrics(&self, metrics: &mut Exposition) {
        let (group, registry) = (&self.plane.group, &self.plane.registry);
        self.runtime.write_metrics(metrics, |_| "control");
        let help = "Version that this node holds in force.";
        metrics.gauge("stileroute_control_version", help, &[], self.config_version());
        let epoch = group.view().map_or(0, |view| view.epoch);
        metrics.gauge("stileroute_control_epoch", "Epoch of the control duty.", &[], epoch);
        let leads = u8::from(group.holds_lease(self.runtime.net.now()));
        let help = "1: this node decides, and its lease holds.";
        metrics.gauge("stileroute_control_leads", help, &[], leads);
        let help = "1: it has lost its disk and has not learned yet.";
        metrics.gauge("stileroute_control_blank", help, &[], u8::from(group.is_awaiting_view()));
        let StoresInService { count, spare } = self.stores_in_service();
        let help = "Stores that are there and not to be emptied.";
        metrics.gauge("stileroute_stores_in_service", help, &[], count);
        let help = "Stores that may be lost while messages are still accepted; 0: another loss stops intake.";
        metrics.gauge("stileroute_spare_stores", help, &[], spare);
        let sessions = registry.sessions().filter(|session| session.is_connected).count();
        let help = "Sessions of edges and stores with this node.";
        metrics.gauge("stileroute_sessions", help, &[], sessions);
        for state in [ExecutorState::Serving, ExecutorState::Draining] {
            let count = registry.executors().filter(|executor| executor.heartbeat.state == state).count();
            let labels = [("standing", &*state.to_string())];
            metrics.gauge("stileroute_executors", "Executors known, by standing.", &labels, count);
        }
        let help = "Calls that have not been answered.";
        metrics.gauge("stileroute_calls_in_hand", help, &[], self.calls.len());
        disk_metrics(metrics, &self.disk.statistics());
    }
}
