//! The types of the queue's interface: settings, entries, effects, outcomes and figures.

use crate::message::{End, Key, Message, Millis, Node, PutError, ReplicatedMessage};
use crate::peer_message::PeerMessage;
use crate::service_queue::Turn;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// Whole places that may be lost at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bear {
    pub zones: usize,
    pub regions: usize,
}

#[derive(Clone, Debug)]
pub struct QueueSettings {
    pub me: Node,
    pub zone: usize,
    /// Number of the disk, drawn when it was empty.
    pub disk: u64,
    /// The first number of this life, and of those before it that began with this disk.
    pub first: u64,
    pub begun: Vec<u64>,
    /// So many copies beside the own one.
    pub losses: usize,
    /// The region of each zone.
    pub regions: Vec<usize>,
    /// So many zones, or regions, may be lost at once: copies lie in one more than that.
    pub bear: Bear,
    pub window_ms: u64,
    pub overrun: f64,
    pub status_ms: u64,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not yet safe.
    Landing,
    /// Read from disk: it waits until those who hold copies have said what became of it.
    Held,
    Waiting,
    Out,
    /// Another store delivers it.
    Copy,
    Ended,
}

#[derive(Debug)]
pub struct Entry {
    pub message: Message,
    pub owner: Node,
    pub term: u32,
    pub copies: Vec<Node>,
    pub stage: Stage,
    pub due: Millis,
    /// After a failed attempt: not before then. Its place among those that wait stays that of `due`.
    pub(crate) pause: Millis,
    /// Where it stands in `delayed`.
    pub(super) wake: Option<Millis>,
    /// When it was taken, on this process's clock: before its start if it is less than nought.
    pub(super) born: i64,
    pub expires: Millis,
    pub tries: u32,
    pub(super) fails: u32,
    /// It ran, or may have: the next attempt is a repeat. And who failed it last, at which service.
    pub(super) ran: bool,
    pub(super) failed_at: Option<(usize, usize)>,
    pub end: Option<End>,
    pub owed: bool,
    /// Where it has still to become safe, and who waits for that.
    pub(crate) missing: Vec<Node>,
    pub(crate) ticket: Option<u64>,
    /// Where it stands in `landing`.
    pub(crate) landing: Option<Millis>,
    /// Where it stands in `thin`.
    pub(crate) thin: Option<Millis>,
    /// By which owner it stands in `live`.
    pub(super) filed: Option<Node>,
    /// Its row, and where it stands there; whether others were told of it, whether they have been asked, and
    /// whether it is kept only after that.
    pub(super) row: Option<Box<(String, u64)>>,
    pub(crate) announced: bool,
    pub(crate) cleared: bool,
    pub(crate) asking: bool,
    pub(super) turn: Option<(usize, Turn)>,
}

/// What the program is to do.
#[derive(Debug)]
pub enum Effect {
    Disk {
        ticket: u64,
        records: Vec<Vec<u8>>,
        sync: bool,
    },
    Send {
        to: Node,
        note: PeerMessage,
    },
    Taken {
        ticket: u64,
        result: Result<String, PutError>,
    },
    Deliver {
        attempt: u64,
        key: Key,
        to: SocketAddrV4,
        expect: Option<String>,
        timeout_ms: u64,
        conns: usize,
    },
    Call {
        key: Key,
        url: String,
        body: String,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Done {
        seal: String,
    },
    /// Can never be done.
    Refused,
    /// This attempt failed; the next may do.
    Failed,
    Full,
    /// Over the ceiling.
    Over,
    /// The first one runs yet.
    Running,
    /// Another executor is at that address.
    Wrong,
    NotRun,
    Stopped,
    NotConnected,
    NoRoom,
    Broken,
    Late,
    Garbled,
}

/// What is said of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    Waiting,
    Complete { seal: String },
    Failed,
}

#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub taken: u64,
    pub refused: u64,
    pub uncertain: u64,
    pub done: u64,
    pub failed: u64,
    pub dropped: u64,
    pub expired: u64,
    pub attempts: u64,
    pub again: u64,
    pub calls: u64,
    pub called: u64,
    pub taken_over: u64,
    pub handed_over: u64,
    pub copied_anew: u64,
    /// Dropped because another store keeps the same message.
    pub withdrawn: u64,
    pub no_disk: u64,
    /// Words of those that held a duty before, refused; times that nothing was started here for others might have taken over.
    pub former: u64,
    pub fenced: u64,
    /// Ownership here and on too few disks, as of now; how long it took until none was, the last time.
    pub thin: usize,
    pub thin_ms: u64,
    pub repaired: u64,
    pub repaired_bytes: u64,
    /// Comparisons with other stores, and ranges that differed.
    pub compared: u64,
    pub differed: u64,
}

#[derive(Default)]
pub(super) struct Receiver {
    pub(super) out: usize,
    pub(super) fails: u32,
    pub(crate) pause: Millis,
    pub(super) queue: VecDeque<Key>,
}

/// What waits for the disk.
#[derive(Clone, Debug)]
pub(crate) enum Waits {
    Own(Key),
    CopyOf(Node, Key),
    HandedBy(Node, Key),
    EndOf(Node, Key),
    Retire,
}

impl Entry {
    pub(crate) fn of(shared: &ReplicatedMessage, now: Millis) -> Entry {
        Entry {
            message: shared.message.clone(),
            owner: shared.owner,
            term: shared.term,
            copies: shared.replicas.clone(),
            stage: Stage::Copy,
            due: now + shared.due_in_ms,
            pause: 0,
            wake: None,
            born: now as i64 - shared.waited_ms as i64,
            expires: Millis::MAX,
            tries: shared.attempts,
            fails: 0,
            ran: shared.attempts > 0,
            failed_at: None,
            end: None,
            owed: false,
            missing: Vec::new(),
            ticket: None,
            landing: None,
            thin: None,
            filed: None,
            row: None,
            announced: false,
            cleared: false,
            asking: false,
            turn: None,
        }
    }

    /// Of one that has ended only what a call-back needs is kept.
    pub(crate) fn strip(&mut self) {
        let message = std::mem::take(&mut self.message);
        if self.owed {
            self.message =
                Message { id: message.id, callback_url: message.callback_url, ..Message::default() };
        }
        if matches!(self.end, Some(End::Failed)) {
            // Dead ones are asked for their bytes.
            (self.message.body, self.message.accepted_at_ms) = (message.body, message.accepted_at_ms);
        }
    }

    pub(crate) fn waited(&self, now: Millis) -> u64 {
        (now as i64 - self.born).max(0) as u64
    }
}
