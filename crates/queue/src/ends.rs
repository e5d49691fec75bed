//! Ends are known on as many disks as messages lie on. Before a store that retires is gone, so many others have the ends that it
//! knows; and when one is lost for good, or back with another disk, those that knew ends together with it pass them on. Else a
//! question within `status_s` is answered as if there had been no such message.

use crate::effect::Effect;
use crate::entry::{Entry, Stage};
use crate::message::{End, Key, Message, Millis, Node, ReplicatedMessage};
use crate::peer_message::{PeerMessage, TransferredEnd};
use crate::pending_writes::PendingWrite;
use crate::planted::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use crate::repair::RATE;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// An end that was passed on is confirmed by then, or sent again.
const CONFIRM: Millis = 3000;
/// So many bytes at each look, of which there are four a second: the rate of repair.
const AT_ONCE: u64 = RATE / 4;
/// What an end weighs beside the body of a message that failed.
const AROUND: u64 = 80;

/// Who has which of the ends that are passed on from here.
#[derive(Debug, Default)]
pub(crate) struct Passing {
    kept: HashMap<Node, HashSet<Key>>,
    sent: HashMap<(Node, Key), Millis>,
    /// Stores whose disk is lost: ends that they knew, too, are passed on.
    lost: BTreeSet<Node>,
    /// Nothing has ended, and nobody has gone, since all were passed on.
    done: bool,
}

impl Passing {
    /// There is something new to pass on.
    pub fn again(&mut self) {
        self.done = false;
    }

    pub fn done(&self) -> bool {
        self.done
    }

    /// What that store knew is known on one disk less.
    pub fn lost(&mut self, node: Node) {
        self.gone(node);
        self.lost.insert(node);
    }

    fn concerns(&self, entry: &Entry) -> bool {
        self.lost.contains(&entry.owner) || entry.replicas.iter().any(|node| self.lost.contains(node))
    }

    /// What that store had may be gone with its disk.
    pub fn gone(&mut self, node: Node) {
        self.done = false;
        self.kept.remove(&node);
        self.sent.retain(|(to, _), _| *to != node);
    }

    pub fn kept(&mut self, node: Node, keys: Vec<Key>) {
        self.kept.entry(node).or_default().extend(keys);
    }

    fn has(&self, node: Node, key: Key) -> bool {
        self.kept.get(&node).is_some_and(|keys| keys.contains(&key))
    }

    fn on_its_way(&self, now: Millis, node: Node, key: Key) -> bool {
        self.sent.get(&(node, key)).is_some_and(|at| now < at + CONFIRM)
    }
}

impl Queue {
    /// Passes on, at a bounded rate, the ends that too few others have confirmed.
    pub(crate) fn pass_ends_on(&mut self, now: Millis) {
        let nothing =
            self.end_replication.done || !self.is_retiring() && self.end_replication.lost.is_empty();
        if nothing || self.planted(PlantedFault::EndsGoAlong) {
            return;
        }
        let able = |p: &crate::copies::Peer| p.listed && p.connected && !p.leaving;
        let others: Vec<Node> = self.peers.iter().filter(|(_, p)| able(p)).map(|(node, _)| *node).collect();
        let leaves = usize::from(self.is_retiring());
        let wanted = others.len().min(self.settings.replica_count + leaves);
        if wanted == 0 {
            return;
        }
        let (mut lacking, mut bytes) = (false, 0);
        let mut parcels: BTreeMap<Node, Vec<TransferredEnd>> = BTreeMap::new();
        let passed = |e: &Entry| e.end.is_some() && (self.is_retiring() || self.end_replication.concerns(e));
        for (key, entry) in self.entries.iter().filter(|(_, e)| passed(e)) {
            let have = others.iter().filter(|node| self.end_replication.has(**node, *key)).count();
            if have >= wanted {
                continue;
            }
            lacking = true;
            for to in self.next_for_end(now, *key, entry, &others, wanted.saturating_sub(have)) {
                if bytes < AT_ONCE {
                    bytes += AROUND + entry.message.body.len() as u64;
                    parcels.entry(to).or_default().extend(known_end(*key, entry));
                }
            }
        }
        self.end_replication.done = !lacking;
        if !lacking && !self.is_retiring() {
            self.end_replication = Passing { done: true, ..Passing::default() };
        }
        for (to, ends) in parcels {
            self.end_replication.sent.extend(ends.iter().map(|known| ((to, known.key), now)));
            self.emit(Effect::Send { to, message: PeerMessage::TransferEnds(ends) });
        }
    }

    /// Those that held the message first: they know its end already, most often.
    fn next_for_end(
        &self,
        now: Millis,
        key: Key,
        entry: &Entry,
        others: &[Node],
        lacking: usize,
    ) -> Vec<Node> {
        let mut next: Vec<Node> =
            others.iter().copied().filter(|node| !self.end_replication.has(*node, key)).collect();
        next.sort_by_key(|node| {
            (*node != entry.owner && !entry.replicas.contains(node), node.wrapping_sub(self.settings.node))
        });
        next.truncate(lacking);
        next.retain(|node| !self.end_replication.on_its_way(now, *node, key));
        next
    }

    /// Another store is to be emptied, and this one keeps the ends that it knew.
    pub(crate) fn keep_ends(&mut self, now: Millis, from: Node, ends: Vec<TransferredEnd>) {
        for TransferredEnd { key, end, callback_pending: owed, failed_message: dead } in ends {
            match self.entries.get(&key).map(|e| e.end.is_some()) {
                Some(true) => {}
                Some(false) => self.close_entry(now, key, end.clone(), owed),
                None => self.enter_end(now, key, end.clone(), dead.clone()),
            }
            let Some(owed) = self.entries.get(&key).map(|e| e.callback_pending) else { continue };
            // The end first: what is read of a torn batch is never a live message.
            let at = self.wall_clock_ms(now);
            self.record(&Record::Ended { key, end, callback_pending: owed, ended_at_ms: at }, true);
            if let Some(message) = dead {
                self.record(&Record::Put { replica: ended(self.settings.node, key, message) }, true);
            }
            self.after_write(PendingWrite::EndFrom(from, key));
        }
    }

    fn enter_end(&mut self, now: Millis, key: Key, end: End, dead: Option<Message>) {
        let mut entry = Entry::from_shared(&ended(self.settings.node, key, dead.unwrap_or_default()), now);
        (entry.stage, entry.end) = (Stage::Ended, Some(end));
        self.entries.insert(key, entry);
        self.schedule_forget(now, key);
    }
}

fn ended(owner: Node, key: Key, message: Message) -> ReplicatedMessage {
    ReplicatedMessage { key, owner, message, ..ReplicatedMessage::default() }
}

/// Of one that failed the bytes are asked for, too.
fn known_end(key: Key, entry: &Entry) -> Option<TransferredEnd> {
    let end = entry.end.clone()?;
    let bytes = || Message {
        body: entry.message.body.clone(),
        accepted_at_ms: entry.message.accepted_at_ms,
        ..Message::default()
    };
    let dead = (end == End::Failed && entry.message.accepted_at_ms > 0).then(bytes);
    Some(TransferredEnd { key, end, callback_pending: entry.callback_pending, failed_message: dead })
}
