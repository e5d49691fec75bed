//! Messages in order: of one route and key each starts when all that were accepted before it was sent have
//! ended.
//!
//! All stores see one order, by (`taken`, key). `taken` is raised at the store beyond all that is known of
//! the row when a message is put, so that clocks of edges don't matter. Edges choose the store of a row by
//! [`preferred_store`]. One that is not the place, or has not asked since its neighbours changed, asks the others
//! *before* it keeps the message: they name what they know of the row, and remember the newcomer. So whoever
//! takes the next one knows of this one, wherever it is. A message that came in another way (taken over,
//! handed over, read from disk) asks before it starts. Nobody waits for a higher one, so no two wait for each
//! other.

use crate::effect::Effect;
use crate::entry::Stage;
use crate::message::{Key, Millis, Node};
use crate::peer_message::{GroupMessage, GroupPosition, PeerMessage};
use crate::pending_writes::PendingWrite;
use crate::queue::Queue;
use crate::record::Record;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// While another store holds an earlier one, it is asked again so often, should its word get lost.
const AGAIN: Millis = 100;
/// A row is remembered so long after its last message: whoever asks less often asks first.
const IDLE: Millis = 60_000;
/// Named in one answer at the most: the lowest ones, and those are what the asker waits for.
const MOST: usize = 64;

#[derive(Debug, Default)]
struct Row {
    /// Known here: owned or copies.
    live: BTreeSet<GroupPosition>,
    /// Known at others only.
    outside: BTreeSet<GroupPosition>,
    /// When all the others were asked.
    asked: Option<Millis>,
    asking: bool,
    next: Millis,
    used: Millis,
}

impl Row {
    /// Beyond all that is known, but for one.
    fn beyond(&self, key: Key) -> u64 {
        let all = self.live.iter().rev().chain(self.outside.iter().rev());
        all.filter(|other| other.key != key).map(|other| other.accepted_at_ms + 1).max().unwrap_or(0)
    }
}

#[derive(Debug)]
struct Asking {
    row: String,
    key: Key,
    waiting: BTreeSet<Node>,
    answered: BTreeSet<Node>,
    found: BTreeSet<GroupPosition>,
    beyond: u64,
    landing: bool,
    /// Told by others meanwhile: an answer from before does not undo that.
    told: BTreeSet<GroupPosition>,
}

#[derive(Debug, Default)]
pub(crate) struct Rows {
    all: HashMap<String, Row>,
    asking: HashMap<u64, Asking>,
    number: u64,
    /// To be looked at in this turn.
    wake: BTreeSet<String>,
    later: BTreeSet<(Millis, String)>,
    /// Ended, and others remember them.
    done: Vec<GroupMessage>,
    idle: VecDeque<(Millis, String)>,
    /// When members or connections last changed.
    pub changed: Millis,
}

impl Rows {
    fn row(&mut self, name: &str) -> &mut Row {
        if !self.all.contains_key(name) {
            self.all.insert(name.to_string(), Row::default());
            self.idle.push_back((IDLE, name.to_string()));
        }
        self.all.entry(name.to_string()).or_default()
    }

    pub fn enter(&mut self, name: &str, spot: GroupPosition) {
        let row = self.row(name);
        row.outside.retain(|other| other.key != spot.key);
        row.live.insert(spot);
    }

    pub fn leave(&mut self, name: &str, spot: GroupPosition, announced: bool) {
        self.row(name).live.remove(&spot);
        self.wake.insert(name.to_string());
        if announced {
            self.done.push(GroupMessage { group: name.to_string(), key: spot.key });
        }
    }

    pub fn is_first(&self, name: &str, spot: GroupPosition) -> bool {
        let first =
            |row: &Row| row.live.first() == Some(&spot) && row.outside.first().is_none_or(|o| *o > spot);
        self.all.get(name).is_none_or(first)
    }

    pub fn next(&self) -> Millis {
        self.later.first().map_or(Millis::MAX, |(at, _)| *at)
    }
}

/// The store of a row among those that are there: each is as likely, and few rows move when one goes.
pub fn preferred_store(row: &str, nodes: impl Iterator<Item = Node>) -> Option<Node> {
    nodes.max_by_key(|node| stileroute_dispatch::types::mark(&format!("{row}/{node}")))
}

impl Queue {
    fn connected(&self) -> BTreeSet<Node> {
        self.peers.iter().filter(|(_, p)| p.connected).map(|(node, _)| *node).collect()
    }

    /// This store is where all would put a message of the row, it knows all who might have another, and has
    /// asked them.
    fn knows(&self, row: &str) -> bool {
        let listed = || self.peers.iter().filter(|(_, p)| p.listed);
        let asked = self.ordering.all.get(row).and_then(|row| row.asked);
        self.knows_members
            && self.control_contact.is_heard
            && listed().all(|(_, p)| p.connected && !p.leaving)
            && preferred_store(row, listed().map(|(node, _)| *node).chain([self.settings.node]))
                == Some(self.settings.node)
            && asked.is_some_and(|at| at > self.ordering.changed)
    }

    /// A message of a row has been put. True: it may be kept at once.
    pub(crate) fn put_in_row(&mut self, now: Millis, key: Key) -> bool {
        let Some(name) = self.entries.get(&key).and_then(|e| e.message.ordering_key.clone()) else {
            return true;
        };
        let row = self.ordering.row(&name);
        row.used = now;
        let beyond = row.beyond(key);
        let knows = self.knows(&name);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.message.accepted_at_ms = entry.message.accepted_at_ms.max(beyond);
            (entry.order.is_confirmed, entry.order.awaits_answers) = (true, !knows);
        }
        self.reindex(key);
        if knows {
            return true;
        }
        self.ask(now, name, key, true);
        // With nobody to ask it is kept already.
        false
    }

    fn ask(&mut self, now: Millis, name: String, key: Key, landing: bool) {
        let Some(taken) = self.entries.get(&key).map(|e| e.message.accepted_at_ms) else { return };
        self.ordering.number += 1;
        let number = self.ordering.number;
        let waiting = self.connected();
        if let Some(entry) = self.entries.get_mut(&key).filter(|_| landing) {
            entry.order.is_announced = true;
        }
        for to in &waiting {
            let note = PeerMessage::GroupQuery {
                query_id: number,
                group: name.clone(),
                accepted_at_ms: taken,
                key,
                is_announcement: landing,
            };
            self.emit(Effect::Send { to: *to, message: note });
        }
        let (answered, found, told) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
        let asking = Asking { row: name, key, waiting, answered, found, beyond: 0, landing, told };
        self.ordering.asking.insert(number, asking);
        self.all_answered(now, number);
    }

    /// Another store asks, and tells of one that it is about to keep.
    pub(crate) fn row_asked(&mut self, now: Millis, from: Node, ask: (u64, String, u64, Key, bool)) {
        let (number, name, taken, key, announced) = ask;
        let row = self.ordering.row(&name);
        row.used = now;
        // What is known when it is first heard of comes before it; what comes later is put behind it.
        let known = row.outside.iter().any(|other| other.key == key);
        let beyond = if known || !announced { 0 } else { row.beyond(key) };
        let live = row.live.iter().filter(|other| other.key != key).take(MOST).copied().collect();
        if announced && !self.entries.contains_key(&key) {
            row.outside.retain(|other| other.key != key);
            row.outside.insert(GroupPosition { accepted_at_ms: taken, key });
            for asking in self.ordering.asking.values_mut().filter(|a| a.row == name) {
                asking.told.retain(|other| other.key != key);
                asking.told.insert(GroupPosition { accepted_at_ms: taken, key });
            }
            self.ordering.wake.insert(name.clone());
        }
        self.emit(Effect::Send {
            to: from,
            message: PeerMessage::GroupQueryReply { query_id: number, min_accepted_at_ms: beyond, live },
        });
    }

    pub(crate) fn row_told(
        &mut self,
        now: Millis,
        from: Node,
        number: u64,
        beyond: u64,
        live: Vec<GroupPosition>,
    ) {
        let Some(asking) = self.ordering.asking.get_mut(&number) else { return };
        asking.waiting.remove(&from);
        asking.answered.insert(from);
        asking.beyond = asking.beyond.max(beyond);
        asking.found.extend(live);
        self.all_answered(now, number);
    }

    /// One is not there to answer any more: what it had lies with its copies, which are asked too.
    pub(crate) fn row_lost(&mut self, now: Millis, node: Node) {
        self.ordering.changed = now;
        let waiting: Vec<u64> = self.ordering.asking.keys().copied().collect();
        for number in waiting {
            if self.ordering.asking.get_mut(&number).is_some_and(|asking| asking.waiting.remove(&node)) {
                self.all_answered(now, number);
            }
        }
    }

    fn all_answered(&mut self, now: Millis, number: u64) {
        if self.ordering.asking.get(&number).is_none_or(|asking| !asking.waiting.is_empty()) {
            return;
        }
        let Some(asking) = self.ordering.asking.remove(&number) else { return };
        let Asking { row: name, key, answered, found, beyond, landing, told, .. } = asking;
        // An accepted message lies on `losses` + 1 stores: if no more than `losses` are silent, all are
        // named.
        let there = |p: &crate::copies::Peer| p.listed || !p.written_off;
        let silent = self.peers.iter().filter(|(node, p)| there(p) && !answered.contains(node)).count();
        let enough = silent <= self.settings.replica_count && self.knows_members;
        let row = self.ordering.row(&name);
        if !enough {
            // One that is put is taken back soon, and its edge asks elsewhere.
            if !landing {
                (row.asking, row.next) = (false, now + AGAIN);
                row.outside.extend(told);
                self.ordering.later.insert((now + AGAIN, name));
            }
            return;
        }
        row.asked = Some(now);
        row.next = now + AGAIN;
        if !landing {
            row.asking = false;
        }
        let Some(entry) = self.entries.get_mut(&key) else {
            self.ordering.wake.insert(name);
            return;
        };
        let moved = landing && beyond > entry.message.accepted_at_ms;
        if moved {
            entry.message.accepted_at_ms = beyond;
        }
        entry.order.is_confirmed = true;
        let spot = GroupPosition { accepted_at_ms: entry.message.accepted_at_ms, key };
        // Earlier ones that nobody names have ended. Of later ones nothing is known by that: those that came
        // since then and were told here wait for them.
        let row = self.ordering.row(&name);
        row.outside.retain(|other| landing || *other > spot);
        row.outside
            .extend(found.into_iter().chain(told).filter(|other| !self.entries.contains_key(&other.key)));
        self.ordering.wake.insert(name.clone());
        if moved {
            // The others hear of its new spot before it is kept, and put what comes next behind it.
            self.reindex(key);
            self.ask(now, name, key, true);
        } else if landing {
            self.embark(key, now);
        }
    }

    /// The place of a new message in its row is known: it is kept, here and at its copies.
    pub(crate) fn embark(&mut self, key: Key, now: Millis) {
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.stage == Stage::Persisting) else { return };
        entry.order.awaits_answers = false;
        let copies = entry.replicas.clone();
        let Some(shared) = self.shared(now, key) else { return };
        self.record(&Record::Put { replica: shared.clone() }, true);
        self.after_write(PendingWrite::Ownership(key));
        copies.into_iter().for_each(|to| self.copy_to(to, shared.clone()));
    }

    /// Whether a message that is due may start, as far as its row goes. If not, it is looked at again when
    /// that changes.
    pub(crate) fn may_start(&mut self, now: Millis, key: Key) -> bool {
        let Some(entry) = self.entries.get(&key) else { return false };
        let Some(name) = entry.message.ordering_key.clone() else { return true };
        let spot = GroupPosition { accepted_at_ms: entry.message.accepted_at_ms, key };
        let cleared = entry.order.is_confirmed;
        let row = self.ordering.row(&name);
        if row.live.first() != Some(&spot) {
            return false;
        }
        if cleared && row.outside.first().is_none_or(|other| *other > spot) {
            return true;
        }
        if !row.asking && now >= row.next {
            row.asking = true;
            self.ask(now, name, key, false);
        } else if !row.asking {
            let at = row.next;
            self.ordering.later.insert((at, name));
        }
        false
    }

    /// Others had it in mind, and it has ended.
    pub(crate) fn row_done(&mut self, all: Vec<GroupMessage>) {
        for GroupMessage { group: name, key } in all {
            self.ordering.row(&name).outside.retain(|other| other.key != key);
            self.ordering.wake.insert(name);
        }
    }

    /// Starts what comes next in rows that have changed.
    pub(crate) fn move_up(&mut self, now: Millis) {
        if !self.ordering.done.is_empty() {
            let done = std::mem::take(&mut self.ordering.done);
            for to in self.connected() {
                self.emit(Effect::Send { to, message: PeerMessage::GroupMessagesEnded(done.clone()) });
            }
        }
        while self.ordering.later.first().is_some_and(|(at, _)| *at <= now) {
            let (_, name) = self.ordering.later.pop_first().unwrap_or_default();
            self.ordering.wake.insert(name);
        }
        while let Some(name) = self.ordering.wake.pop_first() {
            let Some(GroupPosition { key, .. }) =
                self.ordering.all.get(&name).and_then(|row| row.live.first().copied())
            else {
                continue;
            };
            if self.entries.get(&key).is_some_and(|e| e.owner == self.settings.node) {
                self.schedule(now, key);
            }
        }
        while self.ordering.idle.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, name)) = self.ordering.idle.pop_front() else { break };
            let Some(row) = self.ordering.all.get(&name) else { continue };
            // What is remembered of others only goes too: whoever puts the next message here asks first.
            if row.live.is_empty() && !row.asking && now >= row.used + IDLE {
                self.ordering.all.remove(&name);
            } else {
                self.ordering.idle.push_back((now + IDLE, name));
            }
        }
    }
}
