//! Copies that are missing, made again at a bounded rate; and what two stores hold, compared by sums over
//! ranges and mended from the newer: of two owners the higher term holds, and an end holds always.

use crate::message::{Key, Millis, Node};
use crate::peer_message::{EntrySummary, KeyRange, PeerMessage, RangeDigest};
use crate::planted::PlantedFault;
use crate::queue::{Effect, Entry, Queue, Stage, Waits};
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};

/// A store that is no member and not connected for so long holds no copies any more. An orderly restart is
/// shorter.
const WRITTEN_OFF: Millis = 5000;
/// Bytes a second of copies made anew. Three times what a store takes in at the busiest hour that is known
/// (130 messages of 1.2 KB a second, twice), so the messages of some seconds are safe again in a second or
/// two; and a fiftieth of the narrowest link, so no delivery waits for it.
pub const RATE: u64 = 1_000_000;
/// And so many at once: a tenth of a second.
const BURST: u64 = RATE / 10;
/// How often copies are made while some are missing.
const STEP: Millis = 50;
/// A copy made anew is confirmed by then, or sent again.
const CONFIRM: Millis = 3000;
/// Where nobody can take a copy: looked at again after so long.
const NOBODY: Millis = 1000;
/// Digests are compared so often, of messages that are older than the second figure: what is on its way would
/// always differ.
const COMPARE: (Millis, Millis) = (10_000, 2000);
/// Numbers in a range: a power of two.
const PART: u32 = 10;
/// What a message weighs beside its body.
const AROUND: u64 = 400;

/// Bytes that may be sent.
#[derive(Debug, Default)]
pub(crate) struct Bytes {
    held: i64,
    at: Millis,
}

impl Bytes {
    fn fill(&mut self, now: Millis) {
        self.held = (self.held + (now.saturating_sub(self.at) * RATE / 1000) as i64).min(BURST as i64);
        self.at = now;
    }
    /// One that is larger than what is held goes all the same, and is paid for afterwards.
    fn take(&mut self, bytes: u64) {
        self.held -= bytes as i64;
    }
}

pub(crate) fn range(owner: Node, key: Key) -> KeyRange {
    KeyRange { owner, block: key.number >> PART }
}

fn mixed(key: Key, entry: &Entry) -> u64 {
    let ended = u64::from(entry.end.is_some());
    [u64::from(key.origin), key.number, u64::from(entry.owner), u64::from(entry.term), ended].iter().fold(
        0x9e37_79b9_7f4a_7c15,
        |mix, part| {
            let mix = (mix ^ part).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let mix = (mix ^ (mix >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
            mix ^ (mix >> 32)
        },
    )
}

impl Queue {
    /// Live messages, and ended ones with a call-back owed, that a node owns.
    pub(crate) fn owned_by_node(&self, node: Node) -> impl Iterator<Item = (Key, &Entry)> {
        let keys = self.live.range((node, Key::default())..).take_while(move |(owner, _)| *owner == node);
        keys.filter_map(|(_, key)| Some((*key, self.entries.get(key)?)))
    }

    /// Who owns any of what lies here.
    pub(crate) fn owners(&self) -> impl Iterator<Item = Node> + '_ {
        let from = |node: Node| self.live.range((node, Key::default())..).next().map(|(owner, _)| *owner);
        std::iter::successors(from(0), move |last| from(last.checked_add(1)?))
    }

    pub(crate) fn owned_here(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.owned_by_node(self.terms.me)
    }

    /// What this store and another should both hold.
    fn common(&self, node: Node) -> impl Iterator<Item = (Key, &Entry)> {
        let all = self.live.iter().filter_map(|(_, key)| Some((*key, self.entries.get(key)?)));
        all.filter(move |(_, e)| e.stage != Stage::Landing && (e.owner == node || e.copies.contains(&node)))
    }

    // ---- Comparing ----

    fn sums(&self, now: Millis, node: Node, over: u64) -> BTreeMap<KeyRange, (u32, u64)> {
        let mut sums: BTreeMap<KeyRange, (u32, u64)> = BTreeMap::new();
        for (key, entry) in self.common(node).filter(|(_, e)| e.waited(now) >= over) {
            let sum = sums.entry(range(entry.owner, key)).or_default();
            *sum = (sum.0 + 1, sum.1 ^ mixed(key, entry));
        }
        sums
    }

    pub(crate) fn compare(&mut self, now: Millis, node: Node, over: u64) {
        self.peers.entry(node).or_default().compared = now;
        self.figures.compared += 1;
        let sums = self.sums(now, node, over).into_iter();
        let sums = sums.map(|(range, (count, mix))| RangeDigest { range, count, hash: mix }).collect();
        self.push(Effect::Send {
            to: node,
            note: PeerMessage::Digests { disk_id: self.terms.disk, min_age_ms: over, digests: sums },
        });
    }

    /// Lists what differs, or says that nothing does.
    pub(crate) fn digests(&mut self, now: Millis, from: Node, disk: u64, over: u64, theirs: &[RangeDigest]) {
        self.seen_disk(from, disk);
        self.figures.compared += 1;
        let mut mine = self.sums(now, from, over);
        let mut differ: BTreeSet<KeyRange> = BTreeSet::new();
        for sum in theirs {
            if mine.remove(&sum.range) != Some((sum.count, sum.hash)) {
                differ.insert(sum.range);
            }
        }
        differ.extend(mine.into_keys());
        self.figures.differed += differ.len() as u64;
        if differ.is_empty() {
            self.push(Effect::Send { to: from, note: PeerMessage::Reconciled });
            return self.stood(now, from);
        }
        self.list_ranges(from, differ.into_iter().collect(), true);
    }

    pub(crate) fn list_ranges(&mut self, to: Node, ranges: Vec<KeyRange>, answer: bool) {
        let asked: BTreeSet<&KeyRange> = ranges.iter().collect();
        let live = self.common(to).filter(|(key, e)| asked.contains(&range(e.owner, *key)));
        let live = live
            .map(|(key, e)| EntrySummary { key, owner: e.owner, term: e.term, has_ended: e.end.is_some() })
            .collect();
        let note = PeerMessage::RangeContents {
            disk_id: self.terms.disk,
            reply_wanted: answer,
            ranges,
            entries: live,
        };
        self.push(Effect::Send { to, note });
    }

    // ---- Making copies again ----

    fn see_to(&mut self, at: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if let Some(old) = entry.thin.replace(at) {
            self.thin.remove(&(old, key));
        }
        self.thin.insert((at, key));
    }

    /// After a change: too few copies are made more.
    pub(crate) fn look_at_copies(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let enough = entry.copies.len() >= self.terms.losses && entry.missing.is_empty();
        if enough || entry.owner != self.terms.me {
            entry.thin.take().map(|at| self.thin.remove(&(at, key)));
        } else {
            self.thin_since.get_or_insert(now);
            self.see_to(now, key);
        }
    }

    /// All that are counted on have said, since they were last connected, what they hold. A copy that was on its way when this
    /// store ended is read from disk as if it had been made.
    pub(crate) fn is_confirmed(&self, entry: &Entry) -> bool {
        let spoken = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.stood);
        entry.copies.iter().all(spoken) || self.planted(PlantedFault::CopiesUnconfirmed)
    }

    fn mine(&mut self, key: Key) -> Option<&mut Entry> {
        let me = self.terms.me;
        let live = |e: &&mut Entry| e.owner == me && e.stage != Stage::Landing && (e.end.is_none() || e.owed);
        self.entries.get_mut(&key).filter(live)
    }

    /// A store that should hold a copy has none yet.
    pub(crate) fn not_yet_on(&mut self, now: Millis, key: Key, node: Node) {
        if self.is_emptied(node) {
            return self.not_on(now, key, node);
        }
        let Some(entry) = self.mine(key) else { return };
        if !entry.copies.contains(&node) {
            entry.copies.push(node);
        }
        if !entry.missing.contains(&node) {
            entry.missing.push(node);
        }
        self.look_at_copies(now, key);
    }

    /// A store that should hold a copy has no room for it, or is gone.
    pub(crate) fn not_on(&mut self, now: Millis, key: Key, node: Node) {
        let Some(entry) = self.mine(key) else { return };
        entry.copies.retain(|copy| *copy != node);
        entry.missing.retain(|copy| *copy != node);
        self.look_at_copies(now, key);
    }

    /// A store holds a copy that was not counted: too few are there, so it counts again.
    pub(crate) fn adopt(&mut self, now: Millis, key: Key, node: Node) {
        if self.is_emptied(node) {
            return;
        }
        let Some(entry) = self.mine(key) else { return };
        entry.copies.push(node);
        let (owner, term, copies) = (entry.owner, entry.term, entry.copies.clone());
        self.record(&Record::OwnerChanged { key, owner, term, replicas: copies }, true);
        self.look_at_copies(now, key);
    }

    /// The connection is gone, and the copies that were on their way with it.
    pub(crate) fn lost_on_the_way(&mut self, now: Millis, node: Node) {
        let all = self.thin.iter().map(|(_, key)| *key);
        let on_way = |key: &Key| self.entries.get(key).is_some_and(|e| e.missing.contains(&node));
        let lost: Vec<Key> = all.filter(on_way).collect();
        lost.into_iter().for_each(|key| self.not_on(now, key, node));
    }

    /// Stores that are gone for good hold no copies any more; and digests are compared when it is time.
    pub(crate) fn look_at_holders(&mut self, now: Millis) {
        let Queue { peers, heard, acquainted, terms, .. } = self;
        let (mut gone, mut compare) = (Vec::new(), Vec::new());
        for (node, peer) in peers {
            let here = peer.listed || peer.connected;
            if here {
                peer.written_off = false;
            } else if *heard && *acquainted && !peer.written_off && now > peer.since + WRITTEN_OFF {
                peer.written_off = true;
                gone.push(*node);
            }
            if peer.connected && peer.stood && terms.me < *node && now >= peer.compared + COMPARE.0 {
                compare.push(*node);
            }
        }
        for node in gone {
            self.passing.lost(node);
            let held = self.owned_here().filter(|(_, e)| e.copies.contains(&node));
            let held: Vec<Key> = held.map(|(key, _)| key).collect();
            held.into_iter().for_each(|key| self.not_on(now, key, node));
        }
        compare.into_iter().for_each(|node| self.compare(now, node, COMPARE.1));
    }

    pub(crate) fn next_repair(&self) -> Millis {
        self.thin.first().map_or(Millis::MAX, |(at, _)| (*at).max(self.bucket.at + STEP))
    }

    pub(crate) fn repair(&mut self, now: Millis) {
        if self.thin.is_empty() {
            if let Some(since) = self.thin_since.take() {
                self.figures.thin_ms = now.saturating_sub(since);
                tracing::info!(ms = self.figures.thin_ms, "all messages are on enough disks again");
            }
            self.figures.thin = 0;
            return;
        }
        self.figures.thin = self.thin.len();
        if now < self.next_repair() {
            return;
        }
        self.bucket.fill(now);
        while let Some((_, key)) = self.thin.first().copied().filter(|(at, _)| *at <= now) {
            if self.bucket.held <= 0 {
                break;
            }
            let Some(entry) = self.mine(key) else {
                self.thin.pop_first();
                continue;
            };
            let (size, copies) = (entry.message.body.len() as u64 + AROUND, entry.copies.clone());
            let lacking = self.terms.losses.saturating_sub(copies.len());
            let new = self.choose(now, &copies, &copies, lacking);
            let Some(entry) = self.entries.get_mut(&key) else { return };
            entry.missing.extend(&new);
            entry.copies.extend(&new);
            let (me, term, copies) = (self.terms.me, entry.term, entry.copies.clone());
            let missing = entry.missing.clone();
            let to: Vec<Node> =
                missing.into_iter().filter(|n| self.peers.get(n).is_some_and(|p| p.connected)).collect();
            if to.is_empty() {
                self.see_to(now + NOBODY, key);
                continue;
            }
            self.bucket.take(size * to.len() as u64);
            self.figures.repaired_bytes += size * to.len() as u64;
            // Known on disk before the copy is: after a restart those that hold copies are waited for.
            if !new.is_empty() {
                self.record(&Record::OwnerChanged { key, owner: me, term, replicas: copies }, true);
                self.wait_for_disk(Waits::Own(key));
            }
            to.into_iter().for_each(|to| self.copy_anew(now, key, to));
            self.see_to(now + CONFIRM, key);
        }
    }
}
