//! Answers the inquiries that one process receives from operators: from the command line over the internal protocol, and from
//! metrics collectors over HTTP.

use crate::inquiry::{Inquiry, Question};
use crate::links::LinkEvent;
use crate::metrics::Exposition;
use crate::net::{Event, Response};
use crate::node::NodeRuntime;
use crate::protocol::{Frame, NodeRole};
use jzon::JsonValue;
use stileroute_queue::Key;

/// HTTP path of the metrics on the metrics listener.
const METRICS_PATH: &str = "/metrics";

/// The question in a frame from a command line, with the request id that the answer must carry.
fn question_of(frame: &Frame) -> Option<(u64, Question)> {
    match frame {
        Frame::ReportRequest { request_id } => Some((*request_id, Question::Report)),
        Frame::TraceRequest { request_id, key } => Some((*request_id, Question::Trace(*key))),
        Frame::MetricsRequest { request_id } => Some((*request_id, Question::Metrics)),
        _ => None,
    }
}

impl NodeRuntime {
    /// Moves the inquiries of operators out of the events into the list of inquiries. Events of links to command lines are
    /// removed as well, so that a role does not see these links.
    pub fn extract_inquiries(&mut self, link_events: &mut Vec<LinkEvent>, events: &mut Vec<Event>) {
        let inquiries = &mut self.inquiries;
        link_events.retain(|link_event| match link_event {
            LinkEvent::Received(from, NodeRole::CommandLine, frame) => {
                let question = question_of(frame);
                inquiries.extend(question.map(|(request_id, question)| Inquiry::FromCommandLine {
                    from: *from,
                    request_id,
                    question,
                }));
                false
            }
            LinkEvent::Received(..) => true,
            LinkEvent::Down(_, role) => *role != NodeRole::CommandLine,
            LinkEvent::Up(peer) => peer.role != NodeRole::CommandLine,
        });
        let Some(metrics_listener) = self.metrics_listener else { return };
        events.retain(|event| match event {
            Event::Request { connection, listener, request } if *listener == metrics_listener => {
                let is_for_metrics = request.method == "GET" && request.target == METRICS_PATH;
                inquiries.push(Inquiry::FromCollector { connection: *connection, is_for_metrics });
                false
            }
            _ => true,
        });
    }
}

/// A role that answers the inquiries of operators.
pub trait Inspect {
    /// The part of the node that is common to all roles.
    fn runtime(&mut self) -> &mut NodeRuntime;

    /// The complete report of the process about itself.
    fn report(&self) -> JsonValue;

    /// Writes all metrics of the process.
    fn write_metrics(&self, metrics: &mut Exposition);

    /// What this process knows about a message; null if it does not know the message.
    fn trace(&self, _: Key) -> JsonValue {
        JsonValue::Null
    }

    /// All metrics of the process in the text exposition format.
    fn metrics_text(&self) -> String {
        let mut metrics = Exposition::default();
        self.write_metrics(&mut metrics);
        metrics.text()
    }

    /// Answers the inquiries that were received in this iteration of the event loop.
    fn answer_inquiries(&mut self) {
        for inquiry in std::mem::take(&mut self.runtime().inquiries) {
            match inquiry {
                Inquiry::FromCommandLine { from, request_id, question } => {
                    let text = match question {
                        Question::Report => self.report().dump(),
                        Question::Trace(key) => self.trace(key).dump(),
                        Question::Metrics => self.metrics_text(),
                    };
                    let runtime = self.runtime();
                    let frame = Frame::InspectionReply { request_id, text };
                    runtime.links.send(&mut runtime.net, from, &frame);
                }
                Inquiry::FromCollector { connection, is_for_metrics } => {
                    let (status, body) = if is_for_metrics {
                        (200, self.metrics_text().into_bytes())
                    } else {
                        (404, Vec::new())
                    };
                    let headers = vec![("Content-Type", "text/plain; version=0.0.4".to_string())];
                    let response = Response { status, headers, body, ..Response::default() };
                    self.runtime().net.respond(connection, response);
                }
            }
        }
    }
}
