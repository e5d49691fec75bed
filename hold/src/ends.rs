//! Ends that a store knows outlive it: before one that retires is gone, as many other stores as must hold a message have the
//! ends that it knows on disk. Else a question within `status_s` is answered as if there had been no such message.

use crate::cargo::{Cargo, End, Key, KnownEnd, Millis, Node, Note, Record, Shared};
use crate::hold::{Effect, Entry, Hold, Stage, Waits};
use crate::planted::Planted;
use crate::repair::RATE;
use std::collections::{BTreeMap, HashMap, HashSet};

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

impl Hold {
    /// Passes on, at a bounded rate, the ends that too few others have confirmed.
    pub(crate) fn pass_ends_on(&mut self, now: Millis) {
        if self.passing.done || self.planted(Planted::EndsGoAlong) {
            return;
        }
        let able = |p: &crate::copies::Peer| p.listed && p.connected && !p.leaving;
        let others: Vec<Node> = self.peers.iter().filter(|(_, p)| able(p)).map(|(node, _)| *node).collect();
        let wanted = others.len().min(self.terms.losses + 1);
        let (mut lacking, mut bytes) = (false, 0);
        let mut parcels: BTreeMap<Node, Vec<KnownEnd>> = BTreeMap::new();
        for (key, entry) in self.entries.iter().filter(|(_, e)| e.end.is_some()) {
            let have = others.iter().filter(|node| self.passing.has(**node, *key)).count();
            if have >= wanted && wanted > 0 {
                continue;
            }
            lacking = true;
            for to in self.next_for_end(now, *key, entry, &others, wanted.saturating_sub(have)) {
                if bytes < AT_ONCE {
                    bytes += AROUND + entry.cargo.body.len() as u64;
                    parcels.entry(to).or_default().extend(known_end(*key, entry));
                }
            }
        }
        self.passing.done = !lacking;
        for (to, ends) in parcels {
            self.passing.sent.extend(ends.iter().map(|known| ((to, known.key), now)));
            self.push(Effect::Send { to, note: Note::KnownEnds(ends) });
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
            others.iter().copied().filter(|node| !self.passing.has(*node, key)).collect();
        next.sort_by_key(|node| {
            (*node != entry.owner && !entry.copies.contains(node), node.wrapping_sub(self.terms.me))
        });
        next.truncate(lacking);
        next.retain(|node| !self.passing.on_its_way(now, *node, key));
        next
    }

    /// Another store is to be emptied, and this one keeps the ends that it knew.
    pub(crate) fn keep_ends(&mut self, now: Millis, from: Node, ends: Vec<KnownEnd>) {
        for KnownEnd { key, end, owed, dead } in ends {
            match self.entries.get(&key).map(|e| e.end.is_some()) {
                Some(true) => {}
                Some(false) => self.close_copy(now, key, end.clone(), owed),
                None => self.enter_end(now, from, key, end.clone(), dead.clone()),
            }
            let Some(owed) = self.entries.get(&key).map(|e| e.owed) else { continue };
            // The end first: what is read of a torn batch is never a live message.
            let at = self.wall_of(now);
            self.record(&Record::End { key, end, owed, at }, true);
            if let Some(cargo) = dead {
                self.record(&Record::Put { shared: ended(from, key, cargo) }, true);
            }
            self.wait_for_disk(Waits::EndOf(from, key));
        }
    }

    fn enter_end(&mut self, now: Millis, from: Node, key: Key, end: End, dead: Option<Cargo>) {
        let mut entry = Entry::of(&ended(from, key, dead.unwrap_or_default()), now);
        (entry.stage, entry.end) = (Stage::Ended, Some(end));
        self.entries.insert(key, entry);
        self.forget_later(now, key);
    }
}

fn ended(owner: Node, key: Key, cargo: Cargo) -> Shared {
    Shared { key, owner, cargo, ..Shared::default() }
}

/// Of one that failed the bytes are asked for, too.
fn known_end(key: Key, entry: &Entry) -> Option<KnownEnd> {
    let end = entry.end.clone()?;
    let bytes = || Cargo { body: entry.cargo.body.clone(), taken: entry.cargo.taken, ..Cargo::default() };
    let dead = (end == End::Failed && entry.cargo.taken > 0).then(bytes);
    Some(KnownEnd { key, end, owed: entry.owed, dead })
}
