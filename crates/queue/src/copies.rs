//! Other stores, as this one knows them: connections, copies of messages, and who delivers what.

mod connections;
mod fence;
mod handover;
mod notes;
mod outbox;
mod ownership;
mod placement;
mod release;
mod take_over;

use crate::entry::Entry;
use crate::message::{Key, Millis, Node};
use crate::queue::Queue;
use outbox::Outbox;

/// A copy that is not confirmed for so long is asked of another store: well before an edge gives up a silent
/// store (200 ms).
pub const COPY_WAIT: Millis = 120;

/// A store that is no member and not connected for so long has lost what it owned to its copies.
const GONE: Millis = 2000;

/// After its start a store waits so long for those that hold copies of what it owned.
const PATIENCE: Millis = 3000;

/// What was taken over because its owner is gone waits so long: others may know that it has ended, or who has it, and say so.
const ASK: Millis = 100;

/// Another store.
#[derive(Debug, Default)]
pub struct Peer {
    pub zone: usize,
    pub connected: bool,
    pub leaving: bool,
    /// It is to be emptied for good, and when it was last told that nobody counts on it.
    pub(crate) retiring: bool,
    pub(crate) relieved_at: Millis,
    /// It is a member, as the control nodes tell.
    pub listed: bool,
    pub(crate) since: Millis,
    /// When what it owned was last looked for.
    looked: Millis,
    /// What it owned was not there any more when it was last looked for.
    pub(crate) written_off: bool,
    /// When digests were last compared.
    pub(crate) compared: Millis,
    /// Its disk had no room: others are asked for copies until then.
    pub(crate) full_until: Millis,
    disk: Option<u64>,
    /// It has said all about what both hold, on this connection.
    pub(crate) stood: bool,
    out: Outbox,
}

impl Peer {
    pub fn new(now: Millis) -> Peer {
        Peer { since: now, ..Peer::default() }
    }
}

impl Queue {
    pub(crate) fn to(&mut self, node: Node) -> &mut Outbox {
        &mut self.peers.entry(node).or_default().out
    }

    fn owner(&self, key: Key) -> Node {
        self.entries.get(&key).map_or(Node::MAX, |e| e.owner)
    }

    /// How many that hold a copy, and are here, come before this store. One that is no longer named comes
    /// last.
    fn line(&self, entry: &Entry) -> u64 {
        let here = |node: &Node| self.peers.get(node).is_some_and(|p| p.connected);
        let before = entry.replicas.iter().take_while(|node| **node != self.settings.node);
        before.filter(|node| here(node)).count() as u64
    }
}
