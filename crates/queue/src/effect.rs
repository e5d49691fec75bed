//! What the queue wants done: the program carries effects out and reports back by the methods named here.

use crate::message::{Key, Node, PutError};
use crate::peer_message::PeerMessage;
use std::net::SocketAddrV4;

/// A record of a [`Effect::Persist`] that says how many attempts of a message have failed, and that outlives the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptFailure {
    /// The message: a later record of it makes this one needless.
    pub key: Key,
    /// Index of the record.
    pub index: usize,
}

/// One action for the program, from [`Queue::take_effects`](crate::Queue::take_effects).
#[derive(Debug)]
pub enum Effect {
    /// Append records to the log; the result goes to [`Queue::write_completed`](crate::Queue::write_completed).
    Persist {
        /// Names this write in the answer.
        ticket: u64,
        /// Encoded [`Record`](crate::Record)s, in the order in which they must lie on disk.
        records: Vec<Vec<u8>>,
        /// Which of the records, by index, outlive the process from now on, whatever the disk does: other stores and executors know of
        /// these ends before the disk has them. Each may be applied again at any later time, by
        /// [`StateTable::apply_kept_end`](crate::StateTable::apply_kept_end).
        kept_ends: Vec<usize>,
        /// Those that outlive the process in the same way because an executor, or another store, knows of a failed attempt. Each may be
        /// applied again by [`StateTable::apply_kept_failure`](crate::StateTable::apply_kept_failure).
        kept_failures: Vec<KeptFailure>,
        /// Something waits for these records: they are synced at once instead of with a later write.
        sync: bool,
    },
    /// Send a message to another store.
    Send {
        /// The receiving store.
        to: Node,
        /// What to send.
        message: PeerMessage,
    },
    /// Answer a [`Queue::put`](crate::Queue::put).
    PutResult {
        /// The ticket that `put` was given.
        ticket: u64,
        /// The name by which clients ask for the message, or why it was not accepted.
        result: Result<String, PutError>,
    },
    /// Send a message to an executor; the outcome goes to [`Queue::attempt_ended`](crate::Queue::attempt_ended).
    StartAttempt {
        /// Names this attempt in its outcome.
        attempt: u64,
        /// The message; its content is read with [`Queue::message`](crate::Queue::message).
        key: Key,
        /// Address of the executor.
        to: SocketAddrV4,
        /// The executor's identity, which it has to confirm; `None` for a fixed endpoint.
        expected_server: Option<String>,
        /// How long the attempt may take.
        timeout_ms: u64,
        /// How many connections this store may open to that executor.
        max_connections: usize,
    },
    /// Post an end to the sender's callback URL; the result goes to
    /// [`Queue::callback_ended`](crate::Queue::callback_ended).
    CallBack {
        /// The message that has ended.
        key: Key,
        /// The receiver's URL.
        url: String,
        /// The JSON body.
        body: String,
    },
}
