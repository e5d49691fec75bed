//! Effects: the actions that the queue requests. The program carries them out and reports the results through the
//! methods of [`Queue`](crate::Queue) named here.

use crate::message::{Key, Node, PutError};
use crate::peer_message::PeerMessage;
use std::net::SocketAddrV4;

/// A record within an [`Effect::Persist`] that holds the number of failed attempts of a message. The program keeps it
/// across a restart of the process even before it is on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptFailure {
    /// Key of the message. A later record for the same key replaces this one.
    pub key: Key,
    /// Index of the record in [`Effect::Persist::records`](Effect::Persist).
    pub index: usize,
}

/// One action for the program to carry out, from [`Queue::take_effects`](crate::Queue::take_effects).
#[derive(Debug)]
pub enum Effect {
    /// Append records to the log. The result is passed to [`Queue::write_completed`](crate::Queue::write_completed).
    Persist {
        /// Identifies this write when its result is reported.
        ticket: u64,
        /// Encoded [`Record`](crate::Record)s, in the order in which they must be written.
        records: Vec<Vec<u8>>,
        /// Indices of records of ends that must survive a restart of the process from now on, even if the disk never
        /// writes them, because other stores and executors learn of these ends before they are on disk. Each may be
        /// applied again at any later time with [`StateTable::apply_kept_end`](crate::StateTable::apply_kept_end).
        kept_ends: Vec<usize>,
        /// Records of failed attempts that must survive a restart of the process in the same way, because an executor
        /// or another store knows of the failure. Each may be applied again with
        /// [`StateTable::apply_kept_failure`](crate::StateTable::apply_kept_failure).
        kept_failures: Vec<KeptFailure>,
        /// Whether an operation waits for these records. If so they are synced at once instead of together with a later
        /// write.
        sync: bool,
    },
    /// Send a message to another store.
    Send {
        /// The receiving store.
        to: Node,
        /// The message to send.
        message: PeerMessage,
    },
    /// Answer a [`Queue::put`](crate::Queue::put).
    PutResult {
        /// The ticket that was passed to `put`.
        ticket: u64,
        /// The text key by which clients look the message up, or the reason why it was not accepted.
        result: Result<String, PutError>,
    },
    /// Send a message to an executor. The outcome is passed to [`Queue::attempt_ended`](crate::Queue::attempt_ended).
    StartAttempt {
        /// Identifies this attempt when its outcome is reported.
        attempt: u64,
        /// Key of the message. Its content is read with [`Queue::message`](crate::Queue::message).
        key: Key,
        /// Address of the executor.
        to: SocketAddrV4,
        /// The identity that the executor has to confirm; `None` for a fixed endpoint.
        expected_server: Option<String>,
        /// Time limit of the attempt, in milliseconds.
        timeout_ms: u64,
        /// Maximum number of connections that this store may open to the executor.
        max_connections: usize,
    },
    /// Post the end of a message to the sender's callback URL. The result is passed to
    /// [`Queue::callback_ended`](crate::Queue::callback_ended).
    CallBack {
        /// Key of the message that has ended.
        key: Key,
        /// URL of the callback receiver.
        url: String,
        /// JSON body of the callback request.
        body: String,
    },
}
