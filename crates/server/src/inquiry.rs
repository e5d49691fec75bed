//! What operators ask a process.

use crate::net::ConnectionId;
use stileroute_queue::{Key, Node};

/// What somebody wants to know.
pub enum Inquiry {
    /// A question of a command line, which is answered under `request_id`.
    FromCommandLine {
        /// The visitor's node id.
        from: Node,
        /// The id that the answer carries.
        request_id: u64,
        /// What is asked.
        question: Question,
    },
    /// A request to the listener for metrics.
    FromCollector {
        /// Its connection.
        connection: ConnectionId,
        /// Whether it asks for the metrics, and not for anything else.
        is_for_metrics: bool,
    },
}

/// What a command line asks.
pub enum Question {
    /// All that the process reports of itself.
    Report,
    /// What it knows of one message.
    Trace(Key),
    /// Its metrics.
    Metrics,
}
