//! The types of the queue's interface: settings, entries, effects, outcomes and figures.

use crate::message::{End, Key, Message, Millis, Node, PutError, ReplicatedMessage};
use crate::peer_message::PeerMessage;
use crate::service_queue::QueuePosition;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// Whole places that may be lost at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ToleratedLosses {
    pub zones: usize,
    pub regions: usize,
}

#[derive(Clone, Debug)]
pub struct QueueSettings {
    pub node: Node,
    pub zone: usize,
    /// Number of the disk, drawn when it was empty.
    pub disk_id: u64,
    /// The first number of this life, and of those before it that began with this disk.
    pub first_number: u64,
    pub earlier_first_numbers: Vec<u64>,
    /// So many copies beside the own one.
    pub replica_count: usize,
    /// The region of each zone.
    pub region_of_zone: Vec<usize>,
    /// So many zones, or regions, may be lost at once: copies lie in one more than that.
    pub tolerated_losses: ToleratedLosses,
    pub rate_window_ms: u64,
    pub rate_tolerance: f64,
    pub status_retention_ms: u64,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not yet safe.
    Persisting,
    /// Read from disk: it waits until those who hold copies have said what became of it.
    Suspended,
    Waiting,
    InFlight,
    /// Another store delivers it.
    Replica,
    Ended,
}

impl Stage {
    /// The word for this stage in reports and in the labels of metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Stage::Persisting => "landing",
            Stage::Suspended => "held",
            Stage::Waiting => "waiting",
            Stage::InFlight => "out",
            Stage::Replica => "copy",
            Stage::Ended => "ended",
        }
    }
}

#[derive(Debug)]
pub struct Entry {
    pub message: Message,
    pub owner: Node,
    pub term: u32,
    pub replicas: Vec<Node>,
    pub stage: Stage,
    pub due_at: Millis,
    /// After a failed attempt: not before then. Its place among those that wait stays that of `due`.
    pub(crate) not_before: Millis,
    /// Where it stands in `delayed`.
    pub(super) delayed_until: Option<Millis>,
    /// When it was taken, on this process's clock: before its start if it is less than nought.
    pub(super) accepted_at: i64,
    pub expires_at: Millis,
    pub failed_attempts: u32,
    pub(super) backoff_steps: u32,
    /// It ran, or may have: the next attempt is a repeat. And who failed it last, at which service.
    pub(super) has_run: bool,
    pub(super) last_failed_on: Option<(usize, usize)>,
    pub end: Option<End>,
    pub callback_pending: bool,
    /// Where it has still to become safe, and who waits for that.
    pub(crate) unconfirmed: Vec<Node>,
    pub(crate) ticket: Option<u64>,
    /// Where it stands in `landing`.
    pub(crate) persist_check_at: Option<Millis>,
    /// Where it stands in `thin`.
    pub(crate) repair_at: Option<Millis>,
    /// By which owner it stands in `live`.
    pub(super) indexed_owner: Option<Node>,
    /// Its row, and where it stands there; whether others were told of it, whether they have been asked, and
    /// whether it is kept only after that.
    pub(super) order_slot: Option<Box<(String, u64)>>,
    pub(crate) is_announced: bool,
    pub(crate) is_order_confirmed: bool,
    pub(crate) awaits_order_answers: bool,
    pub(super) queue_position: Option<(usize, QueuePosition)>,
}

/// What the program is to do.
#[derive(Debug)]
pub enum Effect {
    Persist {
        ticket: u64,
        records: Vec<Vec<u8>>,
        sync: bool,
    },
    Send {
        to: Node,
        message: PeerMessage,
    },
    PutResult {
        ticket: u64,
        result: Result<String, PutError>,
    },
    StartAttempt {
        attempt: u64,
        key: Key,
        to: SocketAddrV4,
        expected_server: Option<String>,
        timeout_ms: u64,
        max_connections: usize,
    },
    CallBack {
        key: Key,
        url: String,
        body: String,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    Completed {
        seal: String,
    },
    /// Can never be done.
    Rejected,
    /// This attempt failed; the next may do.
    Failed,
    ExecutorFull,
    /// Over the ceiling.
    RateLimited,
    /// The first one runs yet.
    AlreadyRunning,
    /// Another executor is at that address.
    WrongServer,
    NotRun,
    TimedOut,
    NotConnected,
    NoFreeConnection,
    ConnectionBroken,
    NoResponse,
    MalformedResponse,
}

/// What is said of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageState {
    Waiting,
    Complete { seal: String },
    Failed,
}

#[derive(Clone, Debug, Default)]
pub struct QueueMetrics {
    pub accepted: u64,
    pub rejected: u64,
    pub outcome_unknown: u64,
    pub completed: u64,
    pub failed: u64,
    pub failed_without_route: u64,
    pub expired: u64,
    pub attempts: u64,
    pub retries: u64,
    pub callbacks_started: u64,
    pub callbacks_delivered: u64,
    pub taken_over: u64,
    pub handed_over: u64,
    pub replicas_resent: u64,
    /// Dropped because another store keeps the same message.
    pub withdrawn: u64,
    pub failed_writes: u64,
    /// Words of those that held a duty before, refused; times that nothing was started here for others might have taken over.
    pub stale_claims: u64,
    pub fence_activations: u64,
    /// Owned here and on too few disks, as of now; how long it took until none was, the last time.
    pub under_replicated: usize,
    pub last_under_replication_ms: u64,
    pub repaired: u64,
    pub repaired_bytes: u64,
    /// Comparisons with other stores, and ranges that differed.
    pub digest_comparisons: u64,
    pub differing_ranges: u64,
}

#[derive(Default)]
pub(super) struct CallbackReceiver {
    pub(super) in_flight: usize,
    pub(super) consecutive_failures: u32,
    pub(crate) not_before: Millis,
    pub(super) queue: VecDeque<Key>,
}

/// What waits for the disk.
#[derive(Clone, Debug)]
pub(crate) enum PendingWrite {
    Ownership(Key),
    ReplicaFor(Node, Key),
    TakenOverFrom(Node, Key),
    EndFrom(Node, Key),
    Retirement,
}

impl Entry {
    pub(crate) fn from_shared(shared: &ReplicatedMessage, now: Millis) -> Entry {
        Entry {
            message: shared.message.clone(),
            owner: shared.owner,
            term: shared.term,
            replicas: shared.replicas.clone(),
            stage: Stage::Replica,
            due_at: now + shared.due_in_ms,
            not_before: 0,
            delayed_until: None,
            accepted_at: now as i64 - shared.waited_ms as i64,
            expires_at: Millis::MAX,
            failed_attempts: shared.attempts,
            backoff_steps: 0,
            has_run: shared.attempts > 0,
            last_failed_on: None,
            end: None,
            callback_pending: false,
            unconfirmed: Vec::new(),
            ticket: None,
            persist_check_at: None,
            repair_at: None,
            indexed_owner: None,
            order_slot: None,
            is_announced: false,
            is_order_confirmed: false,
            awaits_order_answers: false,
            queue_position: None,
        }
    }

    /// Of one that has ended only what a call-back needs is kept.
    pub(crate) fn discard_content(&mut self) {
        let message = std::mem::take(&mut self.message);
        if self.callback_pending {
            self.message =
                Message { id: message.id, callback_url: message.callback_url, ..Message::default() };
        }
        if matches!(self.end, Some(End::Failed)) {
            // Dead ones are asked for their bytes.
            (self.message.body, self.message.accepted_at_ms) = (message.body, message.accepted_at_ms);
        }
    }

    pub(crate) fn age_ms(&self, now: Millis) -> u64 {
        (now as i64 - self.accepted_at).max(0) as u64
    }
}
