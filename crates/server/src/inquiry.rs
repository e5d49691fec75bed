//! The inquiries that a process receives from operators and metrics collectors.

use crate::net::ConnectionId;
use stileroute_queue::{Key, Node};

/// An inquiry about the state of this process.
pub enum Inquiry {
    /// A question from a command line over the internal protocol.
    FromCommandLine {
        /// The node id under which the command line connected.
        from: Node,
        /// The id of the request, which the answer must carry.
        request_id: u64,
        /// The question of the command line.
        question: Question,
    },
    /// An HTTP request to the metrics listener.
    FromCollector {
        /// The connection of the HTTP request.
        connection: ConnectionId,
        /// Whether the request asks for the metrics; any other request is answered with 404.
        is_for_metrics: bool,
    },
}

/// A question that a command line asks a process.
pub enum Question {
    /// The complete report of the process about itself.
    Report,
    /// What the process knows about one message.
    Trace(Key),
    /// The metrics of the process.
    Metrics,
}
