//! What an edge tells operators.

use super::Edge;
use crate::metrics::Exposition;
use crate::node::NodeRuntime;
use crate::report::Told;
use jzon::JsonValue;

impl Told for Edge {
    fn common(&mut self) -> &mut NodeRuntime {
        &mut self.common
    }

    fn report(&self) -> JsonValue {
        let mut report = self.common.report();
        report["ready"] = self.ready().into();
        report["taking"] = self.puts.len().into();
        report["asking"] = self.finds.len().into();
        report
    }

    fn figures(&self, sheet: &mut Exposition) {
        let door = |port| if port == self.front { "front" } else { "readiness" };
        self.common.figures(sheet, door);
        sheet.gauge("stileroute_ready", "1: says that it is ready.", &[], u8::from(self.ready()));
        sheet.gauge("stileroute_taking", "Messages that wait for a store.", &[], self.puts.len());
        let f = &self.figures;
        let results = [
            ("taken", f.taken),
            ("no_route", f.no_route),
            ("refused", f.refused),
            ("uncertain", f.uncertain),
            ("again", f.again),
        ];
        for (result, count) in results {
            let help = "Messages by what became of taking them; again: another store was asked.";
            sheet.counter("stileroute_messages_total", help, &[("result", result)], count);
        }
        sheet.counter("stileroute_asked_total", "Questions after a message.", &[], f.asked);
        let help = "From the whole request to its 202.";
        sheet.histogram("stileroute_accept_seconds", help, &self.common.net.accept_latency);
    }
}
