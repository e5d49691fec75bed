//! What a control node tells operators.

use super::Core;
use crate::figures::Sheet;
use crate::node::Common;
use crate::report::{member, Told};
use crate::signals::{Class, Standing};
use jzon::JsonValue;
use std::collections::BTreeMap;

impl Core {
    fn force(&self) -> u64 {
        self.pilot.in_force().map_or(0, |chart| chart.version)
    }
}

impl Told for Core {
    fn common(&mut self) -> &mut Common {
        &mut self.common
    }

    fn report(&self) -> JsonValue {
        let now = self.common.net.now();
        let mut report = self.common.report();
        report["version"] = self.force().into();
        // Its own sessions last: what others told of a node may be from before it came here.
        let told = self.roster.told.values().flat_map(|(_, members)| members);
        let own = self.roster.sessions.values().filter(|s| s.up).map(|s| &s.member);
        let mut known = BTreeMap::new();
        for one in self.roster.members.iter().filter(|m| m.class == Class::Core).chain(told).chain(own) {
            known.insert(one.name.clone(), member(one));
        }
        let known: Vec<JsonValue> = known.into_values().collect();
        report["known"] = known.into();
        report["ready"] = self.roster.ready.into();
        let list = |voters: &[std::net::SocketAddrV4]| -> JsonValue {
            voters.iter().map(|v| JsonValue::from(v.to_string())).collect::<Vec<_>>().into()
        };
        report["duty"] = jzon::object! {
            "control" => self.common.boot.control.map(|at| at.to_string()),
            "epoch" => self.pilot.watch().map_or(0, |w| w.epoch),
            "primary" => self.pilot.primary().map(|p| p.to_string()),
            "copies" => self.pilot.watch().map_or(JsonValue::Null, |w| list(&w.copies)),
            "voters" => self.pilot.watch().map_or(JsonValue::Null, |w| list(&w.voters)),
            "leads" => self.pilot.leads(now),
            "blank" => self.pilot.blank(),
        };
        let executors: Vec<JsonValue> = self
            .roster
            .executors()
            .filter(|known| known.beat.standing != Standing::Gone)
            .map(|known| {
                jzon::object! {
                    "id" => known.beat.id.clone(),
                    "service" => known.beat.backend.clone(),
                    "address" => known.beat.address.to_string(),
                    "zone" => known.beat.zone.clone(),
                    "standing" => known.beat.standing.to_string(),
                    "capacity" => known.beat.capacity,
                    "beat_ms" => now.saturating_sub(known.heard),
                }
            })
            .collect();
        report["executors"] = executors.into();
        report
    }

    fn figures(&self, sheet: &mut Sheet) {
        let now = self.common.net.now();
        self.common.figures(sheet, |_| "control");
        sheet.gauge("harbour_control_version", "Version that this node holds in force.", &[], self.force());
        let epoch = self.pilot.watch().map_or(0, |w| w.epoch);
        sheet.gauge("harbour_control_epoch", "Epoch of the control duty.", &[], epoch);
        let leads = u8::from(self.pilot.leads(now));
        sheet.gauge("harbour_control_leads", "1: this node decides, and its lease holds.", &[], leads);
        let blank = u8::from(self.pilot.blank());
        sheet.gauge("harbour_control_blank", "1: it has lost its disk and has not learned yet.", &[], blank);
        let sessions = self.roster.sessions.values().filter(|s| s.up).count();
        sheet.gauge("harbour_sessions", "Sessions of edges and stores with this node.", &[], sessions);
        for standing in [Standing::Serving, Standing::Draining] {
            let count = self.roster.executors().filter(|k| k.beat.standing == standing).count();
            let labels = [("standing", &*standing.to_string())];
            sheet.gauge("harbour_executors", "Executors known, by standing.", &labels, count);
        }
        sheet.gauge("harbour_calls_in_hand", "Calls that have not been answered.", &[], self.in_hand.len());
        crate::store::report::disk(sheet, self.disk.figures());
    }
}
