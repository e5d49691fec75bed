//! Copies of messages at other stores: making them, telling their ends, taking over what a lost store owned, and
//! settling with one that is back who delivers what.

use crate::cargo::{End, Key, Millis, Node, Note, Record, Shared};
use crate::hold::{Effect, Entry, Hold, Stage, Waits};

/// A copy that is not confirmed for so long is asked of another store.
pub const COPY_WAIT: Millis = 300;
/// A store that is no member and not connected for so long has lost what it owned to its copies.
const GONE: Millis = 2000;
/// After its start a store waits so long for those that hold copies of what it owned.
const PATIENCE: Millis = 3000;

/// Another store.
#[derive(Debug, Default)]
pub struct Peer {
    pub zone: usize,
    pub connected: bool,
    pub leaving: bool,
    /// It is a member, as the control nodes tell.
    pub listed: bool,
    since: Millis,
    /// When what it owned was last looked for.
    looked: Millis,
    disk: Option<u64>,
    /// It has said all about what both hold, on this connection.
    stood: bool,
    out: Outbox,
}

/// What is told to another store at the end of the turn, or with the next batch of ends.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub copy: Vec<Shared>,
    pub copied: Vec<Key>,
    pub not_copied: Vec<Key>,
    pub handed: Vec<Key>,
    pub drop: Vec<Key>,
    pub ends: Vec<(Key, End, bool)>,
    pub called: Vec<Key>,
    pub handover: Vec<(Key, u32)>,
}

impl Hold {
    pub(crate) fn to(&mut self, node: Node) -> &mut Outbox {
        &mut self.peers.entry(node).or_default().out
    }

    /// The stores that are members, as the control nodes tell.
    pub fn members(&mut self, now: Millis, stores: &[(Node, usize)]) {
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for (node, zone) in stores.iter().filter(|(node, _)| *node != self.terms.me) {
            let peer = self.peers.entry(*node).or_insert_with(|| Peer { since: now, ..Peer::default() });
            (peer.zone, peer.listed) = (*zone, true);
        }
        self.deal_duties(now);
    }

    /// A connection to another store is open: each says what it holds in common with the other.
    pub fn up(&mut self, now: Millis, node: Node) {
        let peer = self.peers.entry(node).or_default();
        (peer.connected, peer.leaving, peer.stood, peer.since) = (true, false, false, now);
        peer.out = Outbox::default();
        let shared = |e: &Entry| e.owner == node || e.copies.contains(&node);
        let live = self.entries.iter().filter(|(_, e)| e.end.is_none() && shared(e));
        let live = live.map(|(key, e)| (*key, e.owner, e.term)).collect();
        let note = Note::Standing { disk: self.terms.disk, live };
        self.push(Effect::Send { to: node, note });
        // Ends that were told while it was away, or got lost with the connection.
        let ended = |e: &Entry| e.end.is_some() && e.owner == self.terms.me && e.copies.contains(&node);
        let owed: Vec<(Key, End, bool)> = self
            .entries
            .iter()
            .filter(|(_, e)| ended(e) && e.owed)
            .filter_map(|(key, e)| Some((*key, e.end.clone()?, e.owed)))
            .collect();
        self.to(node).ends.extend(owed);
    }

    pub fn down(&mut self, now: Millis, node: Node) {
        let peer = self.peers.entry(node).or_default();
        (peer.connected, peer.stood, peer.since) = (false, false, now);
        peer.out = Outbox::default();
        let waiting: Vec<Key> = self
            .landing
            .iter()
            .map(|(_, key)| *key)
            .filter(|key| self.entries.get(key).is_some_and(|e| e.still_missing().contains(&node)))
            .collect();
        for key in waiting {
            self.copy_elsewhere(now, key);
        }
    }

    /// Cut off from the control nodes and from others that hold copies: they may have taken over what is here.
    pub(crate) fn cut_off(&self, now: Millis) -> bool {
        !self.heard && self.peers.values().any(|p| p.listed && !p.connected && now > p.since + GONE / 2)
    }

    /// Where the copies of a new message go: nearby where zones need not be borne, else into other zones.
    pub(crate) fn choose(&self, not: &[Node]) -> Vec<Node> {
        let mut able: Vec<(bool, u32, Node)> = self
            .peers
            .iter()
            .filter(|(node, p)| p.connected && !p.leaving && !not.contains(node))
            .map(|(node, p)| {
                let near = p.zone == self.terms.zone;
                // In a ring from this store on, so that copies are spread over all.
                (near == self.terms.spread, node.wrapping_sub(self.terms.me), *node)
            })
            .collect();
        able.sort_unstable();
        able.into_iter().map(|(_, _, node)| node).take(self.terms.losses).collect()
    }

    pub(crate) fn copy_to(&mut self, to: Node, shared: Shared) {
        self.to(to).copy.push(shared);
    }

    fn shared(&self, now: Millis, key: Key) -> Option<Shared> {
        let e = self.entries.get(&key)?;
        Some(Shared {
            key,
            owner: e.owner,
            term: e.term,
            copies: e.copies.clone(),
            due_in: e.due.saturating_sub(now),
            tries: e.tries,
            cargo: e.cargo.clone(),
        })
    }

    pub(crate) fn look_after_landing(&mut self, now: Millis) {
        while let Some((at, key)) = self.landing.first().copied().filter(|(at, _)| *at <= now) {
            self.landing.remove(&(at, key));
            self.copy_elsewhere(now, key);
        }
    }

    /// A copy that does not come is asked of another store; the slow one may have it all the same, which harms nothing:
    /// who owns a message is told to all that hold it.
    fn copy_elsewhere(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.stage == Stage::Landing) else { return };
        let old = entry.since();
        entry.again(now);
        let (missing, mut copies) = (entry.still_missing().to_vec(), entry.copies.clone());
        self.landing.remove(&(old + COPY_WAIT, key));
        self.landing.insert((now + COPY_WAIT, key));
        let me = self.terms.me;
        for from in missing.into_iter().filter(|node| *node != me) {
            let Some(to) = self.choose(&copies).first().copied() else { continue };
            copies.iter_mut().filter(|c| **c == from).for_each(|c| *c = to);
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.now_missing(from, to);
                entry.copies = copies.clone();
            }
            if let Some(shared) = self.shared(now, key) {
                self.record(
                    &Record::Own { key, owner: shared.owner, term: shared.term, copies: copies.clone() },
                    false,
                );
                self.copy_to(to, shared);
            }
        }
    }

    /// A note of another store.
    pub fn note(&mut self, now: Millis, from: Node, note: Note) {
        match note {
            Note::Copy(all) => all.into_iter().for_each(|shared| self.keep_copy(now, from, shared)),
            Note::Copied(keys) => keys.into_iter().for_each(|key| self.safe_at(now, key, from)),
            Note::NotCopied(keys) => {
                for key in keys {
                    self.copy_elsewhere(now, key);
                }
            }
            Note::Ends(all) => {
                all.into_iter().for_each(|(key, end, owed)| self.told_end(now, key, end, owed))
            }
            Note::Called(keys) => {
                for key in keys {
                    if let Some(entry) = self.entries.get_mut(&key) {
                        entry.owed = false;
                        entry.strip();
                        self.record(&Record::Called { key }, false);
                    }
                }
            }
            Note::Own(all) => {
                for (key, owner, term) in all {
                    self.owned_by(key, owner, term);
                }
            }
            Note::Drop(keys) => {
                for key in keys {
                    if self.entries.get(&key).is_some_and(|e| e.owner == from && e.end.is_none()) {
                        self.remove(key);
                        self.record(&Record::Drop { key }, false);
                    }
                }
            }
            Note::Lost(keys) => {
                for key in keys {
                    if self.entries.get(&key).is_some_and(|e| e.owner == from) {
                        self.take_over(now, key, 0, None);
                    }
                }
            }
            Note::Want(keys) => {
                for key in keys {
                    let own =
                        self.entries.get(&key).is_some_and(|e| e.owner == self.terms.me && e.end.is_none());
                    if let Some(shared) = self.shared(now, key).filter(|_| own) {
                        self.figures.copied_anew += 1;
                        self.copy_to(from, shared);
                    }
                }
            }
            Note::Standing { disk, live } => self.standing(now, from, disk, live),
            Note::Stood => {
                self.peers.entry(from).or_default().stood = true;
                self.release(now);
            }
            Note::Handover(keys) => {
                for (key, tries) in keys {
                    self.take_over(now, key, tries, Some(from));
                }
            }
            Note::HandoverTaken(keys) => {
                for key in keys {
                    self.handing.remove(&key);
                    let Some(term) = self.entries.get(&key).map(|e| e.term + 1) else { continue };
                    self.figures.handed_over += 1;
                    self.owned_by(key, from, term);
                }
            }
            Note::Leaving => {
                self.peers.entry(from).or_default().leaving = true;
                self.deal_duties(now);
            }
            Note::Ping(number) => self.push(Effect::Send { to: from, note: Note::Pong(number) }),
            Note::Pong(_) => {}
            Note::TokensWanted { service, count } => self.tokens_wanted(now, from, service, count),
            Note::Tokens { service, count } => self.tokens_came(now, &service, count),
        }
    }

    fn keep_copy(&mut self, now: Millis, from: Node, shared: Shared) {
        let key = shared.key;
        let known = self.entries.get(&key).map(|e| (e.term, e.end.clone(), e.owed));
        match known {
            Some((_, Some(end), owed)) => {
                self.to(from).ends.push((key, end, owed));
                self.to(from).copied.push(key);
                self.ends_at.get_or_insert(now);
            }
            Some((term, None, _)) if term > shared.term => {
                let owner = self.entries.get(&key).map_or(self.terms.me, |e| e.owner);
                self.push(Effect::Send { to: from, note: Note::Own(vec![(key, owner, term)]) });
            }
            _ => {
                self.record(&Record::Put { shared: shared.clone() }, true);
                self.wait_for_disk(Waits::CopyOf(from, key));
                self.enter(now, &shared, Stage::Copy);
            }
        }
    }

    fn told_end(&mut self, now: Millis, key: Key, end: End, owed: bool) {
        let Some(entry) = self.entries.get(&key) else { return };
        if entry.end.is_some() {
            if !owed && entry.owed {
                self.note(now, 0, Note::Called(vec![key]));
            }
            return;
        }
        self.ended_elsewhere(now, key, end, owed);
    }

    fn ended_elsewhere(&mut self, now: Millis, key: Key, end: End, owed: bool) {
        let at = self.wall_of(now);
        self.record(&Record::End { key, end: end.clone(), owed, at }, false);
        self.close_copy(now, key, end, owed);
    }

    /// Who owns a message: the higher term holds, and of equal ones the lower node.
    fn owned_by(&mut self, key: Key, owner: Node, term: u32) {
        let Some(entry) = self.entries.get(&key) else { return };
        let newer = term > entry.term || (term == entry.term && owner < entry.owner);
        if !newer || entry.end.is_some() && !entry.owed {
            return;
        }
        let copies = entry.copies.clone();
        self.record(&Record::Own { key, owner, term, copies }, false);
        let stage = self.entries.get(&key).map(|e| e.stage);
        if let Some(entry) = self.entries.get_mut(&key) {
            (entry.owner, entry.term) = (owner, term);
            if entry.end.is_none() && stage != Some(Stage::Out) {
                entry.stage = Stage::Copy;
            }
        }
        self.unschedule(key);
    }

    /// What the other holds in common with this store: ends, owners and copies are set right by the newer.
    fn standing(&mut self, now: Millis, from: Node, disk: u64, live: Vec<(Key, Node, u32)>) {
        let peer = self.peers.entry(from).or_default();
        if peer.disk.replace(disk).is_some_and(|old| old != disk) {
            tracing::info!(node = from, "a store is back with another disk");
        }
        let (mut own, mut want, mut drop, mut lost) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let theirs: std::collections::HashSet<Key> = live.iter().map(|(key, _, _)| *key).collect();
        for (key, owner, term) in live {
            let Some(entry) = self.entries.get(&key) else {
                match owner == from {
                    true => want.push(key),
                    // It holds a copy of what was lost with the disk before this one,
                    false if owner == self.terms.me && key.number < self.terms.first => lost.push(key),
                    // or of what this store has never finished taking: nobody was told that it is kept.
                    false if owner == self.terms.me => drop.push(key),
                    false => {}
                }
                continue;
            };
            if let Some(end) = entry.end.clone() {
                let owed = entry.owed;
                self.to(from).ends.push((key, end, owed));
            } else if entry.term > term || (entry.term == term && entry.owner < owner) {
                own.push((key, entry.owner, entry.term));
            } else {
                self.owned_by(key, owner, term);
            }
        }
        // What it should hold and does not: it has lost its disk, or never got the copy.
        let me = self.terms.me;
        let both = self.entries.iter().filter(|(key, e)| e.end.is_none() && !theirs.contains(key));
        let both = both.filter(|(_, e)| e.stage != Stage::Landing);
        let mut anew = Vec::new();
        for (key, e) in both {
            if e.owner == me && e.copies.contains(&from) {
                anew.push(*key);
            }
        }
        for key in anew {
            if let Some(shared) = self.shared(now, key) {
                self.figures.copied_anew += 1;
                self.copy_to(from, shared);
            }
        }
        // What it owned and does not name it has ended, never finished taking, or lost: it says which, for this store has
        // named it. Taken over on its silence alone it would run twice.
        self.tell_ends();
        for (note, empty) in [
            (Note::Own(own.clone()), own.is_empty()),
            (Note::Want(want.clone()), want.is_empty()),
            (Note::Drop(drop.clone()), drop.is_empty()),
            (Note::Lost(lost.clone()), lost.is_empty()),
        ] {
            if !empty {
                self.push(Effect::Send { to: from, note });
            }
        }
        self.push(Effect::Send { to: from, note: Note::Stood });
    }

    /// This store delivers a message from now on.
    fn take_over(&mut self, now: Millis, key: Key, tries: u32, from: Option<Node>) {
        let me = self.terms.me;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let before = entry.owner;
        if before == me || (entry.end.is_some() && !entry.owed) {
            if let Some(from) = from {
                self.to(from).handed.push(key);
            }
            return;
        }
        entry.owner = me;
        entry.term += 1;
        entry.tries = entry.tries.max(tries);
        entry.copies.retain(|node| *node != me && *node != before);
        entry.copies.push(before);
        let (term, ended) = (entry.term, entry.end.is_some());
        let mut copies = entry.copies.clone();
        if from.is_none() {
            // The one that had it may come back with an empty disk, or not at all: another gets a copy.
            let losses = self.terms.losses;
            let new = self.choose(&copies);
            copies.retain(|node| *node != before);
            copies.extend(new);
            copies.truncate(losses.max(1));
        }
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.copies = copies.clone();
            if !ended {
                entry.stage = Stage::Waiting;
            }
        }
        self.figures.taken_over += 1;
        self.record(&Record::Own { key, owner: me, term, copies: copies.clone() }, true);
        match from {
            Some(from) => self.wait_for_disk(Waits::HandedBy(from, key)),
            None => {
                if let Some(shared) = self.shared(now, key).filter(|_| !ended) {
                    for to in copies {
                        self.copy_to(to, shared.clone());
                    }
                }
            }
        }
        if ended {
            self.owe(key);
        } else {
            self.schedule(now, key);
        }
    }

    /// Looks for stores that are gone, and for messages that have waited long enough for those that are not back.
    pub(crate) fn look_after(&mut self, now: Millis) {
        let heard = self.heard;
        let gone =
            |p: &Peer| heard && !p.connected && !p.listed && now > p.since + GONE && now >= p.looked + 3000;
        let gone: Vec<Node> = self.peers.iter().filter(|(_, p)| gone(p)).map(|(node, _)| *node).collect();
        for node in gone {
            self.peers.entry(node).or_default().looked = now;
            let mut orphans: Vec<Key> = self
                .entries
                .iter()
                .filter(|(_, e)| e.owner == node && (e.end.is_none() || e.owed))
                .filter(|(_, e)| self.first_in_line(e))
                .map(|(key, _)| *key)
                .collect();
            orphans.sort_unstable();
            orphans.into_iter().take(2000).for_each(|key| self.take_over(now, key, 0, None));
        }
        self.release(now);
    }

    /// Of the stores that hold a copy and are here, this is the first.
    fn first_in_line(&self, entry: &Entry) -> bool {
        let here =
            |node: &&Node| **node == self.terms.me || self.peers.get(node).is_some_and(|p| p.connected);
        entry.copies.iter().find(here).is_none_or(|node| *node == self.terms.me)
    }

    /// Messages read from disk go on once all that hold copies have spoken, or are not there.
    fn release(&mut self, now: Millis) {
        let spoken = |node: &Node| match self.peers.get(node) {
            Some(peer) => peer.stood || (!peer.connected && now > PATIENCE),
            None => now > PATIENCE,
        };
        let ready = |key: &Key| self.entries.get(key).is_none_or(|e| e.copies.iter().all(spoken));
        let free: Vec<Key> = self.held.iter().copied().filter(ready).collect();
        for key in free {
            self.held.remove(&key);
            if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.stage == Stage::Held) {
                entry.stage = Stage::Waiting;
            }
            self.schedule(now, key);
        }
    }

    // ---- Leaving in order ----

    /// Takes nothing more, and gives what waits to those that hold the copies.
    pub fn leave(&mut self, now: Millis) {
        self.leaving = true;
        let peers: Vec<Node> =
            self.peers.iter().filter(|(_, p)| p.connected).map(|(node, _)| *node).collect();
        for to in peers {
            self.push(Effect::Send { to, note: Note::Leaving });
        }
        self.deal_duties(now);
        self.tell_ends();
        let waiting: Vec<Key> = self
            .entries
            .iter()
            .filter(|(_, e)| e.owner == self.terms.me)
            .filter(|(_, e)| matches!(e.stage, Stage::Waiting) || (e.end.is_some() && e.owed))
            .map(|(key, _)| *key)
            .collect();
        for key in waiting {
            self.hand_over(key);
        }
    }

    /// Names the successor of one message: it is nobody's until the successor has said yes.
    pub(crate) fn hand_over(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        let able = |node: &&Node| self.peers.get(node).is_some_and(|p| p.connected && !p.leaving);
        let (to, tries) = (entry.copies.iter().find(able).copied(), entry.tries);
        if let Some(to) = to {
            self.unschedule(key);
            if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.end.is_none()) {
                entry.stage = Stage::Held;
            }
            self.handing.insert(key);
            self.to(to).handover.push((key, tries));
        }
    }

    // ---- What goes out ----

    pub(crate) fn tell_ends(&mut self) {
        self.ends_at = None;
        let mut notes = Vec::new();
        for (node, peer) in self.peers.iter_mut().filter(|(_, p)| p.connected) {
            for part in std::mem::take(&mut peer.out.ends).chunks(4000) {
                notes.push((*node, Note::Ends(part.to_vec())));
            }
            if !peer.out.called.is_empty() {
                notes.push((*node, Note::Called(std::mem::take(&mut peer.out.called))));
            }
        }
        notes.into_iter().for_each(|(to, note)| self.push(Effect::Send { to, note }));
    }

    pub(crate) fn tell(&mut self) {
        let mut notes = Vec::new();
        for (node, peer) in self.peers.iter_mut().filter(|(_, p)| p.connected) {
            let out = &mut peer.out;
            while !out.copy.is_empty() {
                // Frames are bounded: no more than a megabyte or so in one.
                let mut size = 0;
                let fits = |s: &&Shared| {
                    size += s.cargo.body.len() + 512;
                    size < 1 << 20
                };
                let some = out.copy.iter().take_while(fits).count().max(1);
                notes.push((*node, Note::Copy(out.copy.drain(..some).collect())));
            }
            if !out.copied.is_empty() {
                notes.push((*node, Note::Copied(std::mem::take(&mut out.copied))));
            }
            if !out.not_copied.is_empty() {
                notes.push((*node, Note::NotCopied(std::mem::take(&mut out.not_copied))));
            }
            if !out.drop.is_empty() {
                notes.push((*node, Note::Drop(std::mem::take(&mut out.drop))));
            }
            if !out.handed.is_empty() {
                notes.push((*node, Note::HandoverTaken(std::mem::take(&mut out.handed))));
            }
            if !out.handover.is_empty() {
                // Ends first: what has ended must not be run by the successor.
                if !out.ends.is_empty() {
                    notes.push((*node, Note::Ends(std::mem::take(&mut out.ends))));
                }
                notes.push((*node, Note::Handover(std::mem::take(&mut out.handover))));
            }
        }
        notes.into_iter().for_each(|(to, note)| self.push(Effect::Send { to, note }));
    }
}
