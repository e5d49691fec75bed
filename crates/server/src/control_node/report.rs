//! What a control node tells operators.

use super::Core;
use crate::metrics::Exposition;
use crate::node::NodeRuntime;
use crate::protocol::{ExecutorState, NodeRole};
use crate::report::{member, Told};
use jzon::JsonValue;
use std::collections::BTreeMap;

impl Core {
    fn force(&self) -> u64 {
        self.group.committed().map_or(0, |state| state.version)
    }
}

impl Told for Core {
    fn common(&mut self) -> &mut NodeRuntime {
        &mut self.common
    }

    fn report(&self) -> JsonValue {
        let now = self.common.net.now();
        let mut report = self.common.report();
        report["version"] = self.force().into();
        // Its own sessions last: what others told of a node may be from before it came here.
        let told = self.registry.peer_sessions.values().flat_map(|(_, members)| members);
        let own = self.registry.sessions.values().filter(|s| s.is_connected).map(|s| &s.member);
        let mut known = BTreeMap::new();
        for one in self.registry.members.iter().filter(|m| m.role == NodeRole::Control).chain(told).chain(own)
        {
            known.insert(one.name.clone(), member(one));
        }
        let known: Vec<JsonValue> = known.into_values().collect();
        report["known"] = known.into();
        report["ready"] = self.registry.is_ready.into();
        let list = |voters: &[std::net::SocketAddrV4]| -> JsonValue {
            voters.iter().map(|v| JsonValue::from(v.to_string())).collect::<Vec<_>>().into()
        };
        report["duty"] = jzon::object! {
            "control" => self.common.boot.control.map(|at| at.to_string()),
            "epoch" => self.group.view().map_or(0, |w| w.epoch),
            "primary" => self.group.primary().map(|p| p.to_string()),
            "copies" => self.group.view().map_or(JsonValue::Null, |w| list(&w.replicas)),
            "voters" => self.group.view().map_or(JsonValue::Null, |w| list(&w.voters)),
            "leads" => self.group.holds_lease(now),
            "blank" => self.group.is_awaiting_view(),
        };
        let executors: Vec<JsonValue> = self
            .registry
            .executors()
            .filter(|known| known.heartbeat.state != ExecutorState::Offline)
            .map(|known| {
                jzon::object! {
                    "id" => known.heartbeat.id.clone(),
                    "service" => known.heartbeat.backend.clone(),
                    "address" => known.heartbeat.address.to_string(),
                    "zone" => known.heartbeat.zone.clone(),
                    "standing" => known.heartbeat.state.to_string(),
                    "capacity" => known.heartbeat.capacity,
                    "beat_ms" => now.saturating_sub(known.last_heard),
                }
            })
            .collect();
        report["executors"] = executors.into();
        report
    }

    fn figures(&self, sheet: &mut Exposition) {
        let now = self.common.net.now();
        self.common.figures(sheet, |_| "control");
        sheet.gauge(
            "stileroute_control_version",
            "Version that this node holds in force.",
            &[],
            self.force(),
        );
        let epoch = self.group.view().map_or(0, |w| w.epoch);
        sheet.gauge("stileroute_control_epoch", "Epoch of the control duty.", &[], epoch);
        let leads = u8::from(self.group.holds_lease(now));
        sheet.gauge("stileroute_control_leads", "1: this node decides, and its lease holds.", &[], leads);
        let blank = u8::from(self.group.is_awaiting_view());
        sheet.gauge(
            "stileroute_control_blank",
            "1: it has lost its disk and has not learned yet.",
            &[],
            blank,
        );
        let sessions = self.registry.sessions.values().filter(|s| s.is_connected).count();
        sheet.gauge("stileroute_sessions", "Sessions of edges and stores with this node.", &[], sessions);
        for standing in [ExecutorState::Serving, ExecutorState::Draining] {
            let count = self.registry.executors().filter(|k| k.heartbeat.state == standing).count();
            let labels = [("standing", &*standing.to_string())];
            sheet.gauge("stileroute_executors", "Executors known, by standing.", &labels, count);
        }
        sheet.gauge(
            "stileroute_calls_in_hand",
            "Calls that have not been answered.",
            &[],
            self.in_hand.len(),
        );
        crate::store::report::disk(sheet, self.disk.statistics());
    }
}
