//! Copies that are missing, made again at a bounded rate; and what two stores hold, compared by sums over
//! ranges and mended from the newer: of two owners the higher term holds, and an end holds always.

use crate::effect::Effect;
use crate::entry::{Entry, Stage};
use crate::message::{Key, Millis, Node};
use crate::peer_message::{EntrySummary, KeyRange, PeerMessage, RangeDigest};
use crate::pending_writes::PendingWrite;
use crate::planted::PlantedFault;
use crate::queue::Queue;
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
        let keys =
            self.live_by_owner.range((node, Key::default())..).take_while(move |(owner, _)| *owner == node);
        keys.filter_map(|(_, key)| Some((*key, self.entries.get(key)?)))
    }

    /// Who owns any of what lies here.
    pub(crate) fn owners(&self) -> impl Iterator<Item = Node> + '_ {
        let from =
            |node: Node| self.live_by_owner.range((node, Key::default())..).next().map(|(owner, _)| *owner);
        std::iter::successors(from(0), move |last| from(last.checked_add(1)?))
    }

    pub(crate) fn owned_here(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.owned_by_node(self.settings.node)
    }

    /// What this store and another should both hold.
    fn common(&self, node: Node) -> impl Iterator<Item = (Key, &Entry)> {
        let all = self.live_by_owner.iter().filter_map(|(_, key)| Some((*key, self.entries.get(key)?)));
        all.filter(move |(_, e)| {
            e.stage != Stage::Persisting && (e.owner == node || e.replicas.contains(&node))
        })
    }

    // ---- Comparing ----

    fn sums(&self, now: Millis, node: Node, over: u64) -> BTreeMap<KeyRange, (u32, u64)> {
        let mut sums: BTreeMap<KeyRange, (u32, u64)> = BTreeMap::new();
        for (key, entry) in self.common(node).filter(|(_, e)| e.age_ms(now) >= over) {
            let sum = sums.entry(range(entry.owner, key)).or_default();
            *sum = (sum.0 + 1, sum.1 ^ mixed(key, entry));
        }
        sums
    }

    pub(crate) fn compare(&mut self, now: Millis, node: Node, over: u64) {
        self.peers.entry(node).or_default().compared = now;
        self.metrics.digest_comparisons += 1;
        let sums = self.sums(now, node, over).into_iter();
        let sums = sums.map(|(range, (count, mix))| RangeDigest { range, count, hash: mix }).collect();
        self.emit(Effect::Send {
            to: node,
            message: PeerMessage::Digests { disk_id: self.settings.disk_id, min_age_ms: over, digests: sums },
        });
    }

    /// Lists what differs, or says that nothing does.
    pub(crate) fn digests(&mut self, now: Millis, from: Node, disk: u64, over: u64, theirs: &[RangeDigest]) {
        self.seen_disk(from, disk);
        self.metrics.digest_comparisons += 1;
        let mut mine = self.sums(now, from, over);
        let mut differ: BTreeSet<KeyRange> = BTreeSet::new();
        for sum in theirs {
            if mine.remove(&sum.range) != Some((sum.count, sum.hash)) {
                differ.insert(sum.range);
            }
        }
        differ.extend(mine.into_keys());
        self.metrics.differing_ranges += differ.len() as u64;
        if differ.is_empty() {
            self.emit(Effect::Send { to: from, message: PeerMessage::Reconciled });
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
            disk_id: self.settings.disk_id,
            reply_wanted: answer,
            ranges,
            entries: live,
        };
        self.emit(Effect::Send { to, message: note });
    }

    // ---- Making copies again ----

    fn see_to(&mut self, at: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if let Some(old) = entry.repair_at.replace(at) {
            self.under_replicated.remove(&(old, key));
        }
        self.under_replicated.insert((at, key));
    }

    /// After a change: too few copies are made more.
    pub(crate) fn look_at_copies(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let enough = entry.replicas.len() >= self.settings.replica_count && entry.unconfirmed.is_empty();
        if enough || entry.owner != self.settings.node {
            entry.repair_at.take().map(|at| self.under_replicated.remove(&(at, key)));
        } else {
            self.under_replicated_since.get_or_insert(now);
            self.see_to(now, key);
        }
    }

    /// All that are counted on have said, since they were last connected, what they hold. A copy that was on its way when this
    /// store ended is read from disk as if it had been made.
    pub(crate) fn is_confirmed(&self, entry: &Entry) -> bool {
        let spoken = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.stood);
        entry.replicas.iter().all(spoken) || self.planted(PlantedFault::CopiesUnconfirmed)
    }

    fn mine(&mut self, key: Key) -> Option<&mut Entry> {
        let me = self.settings.node;
        let live = |e: &&mut Entry| {
            e.owner == me && e.stage != Stage::Persisting && (e.end.is_none() || e.callback_pending)
        };
        self.entries.get_mut(&key).filter(live)
    }

    /// A store that should hold a copy has none yet.
    pub(crate) fn not_yet_on(&mut self, now: Millis, key: Key, node: Node) {
        if self.is_emptied(node) {
            return self.not_on(now, key, node);
        }
        let Some(entry) = self.mine(key) else { return };
        if !entry.replicas.contains(&node) {
            entry.replicas.push(node);
        }
        if !entry.unconfirmed.contains(&node) {
            entry.unconfirmed.push(node);
        }
        self.look_at_copies(now, key);
    }

    /// A store that should hold a copy has no room for it, or is gone.
    pub(crate) fn not_on(&mut self, now: Millis, key: Key, node: Node) {
        let Some(entry) = self.mine(key) else { return };
        entry.replicas.retain(|copy| *copy != node);
        entry.unconfirmed.retain(|copy| *copy != node);
        self.look_at_copies(now, key);
    }

    /// A store holds a copy that was not counted: too few are there, so it counts again.
    pub(crate) fn adopt(&mut self, now: Millis, key: Key, node: Node) {
        if self.is_emptied(node) {
            return;
        }
        let Some(entry) = self.mine(key) else { return };
        entry.replicas.push(node);
        let (owner, term, copies) = (entry.owner, entry.term, entry.replicas.clone());
        self.record(&Record::OwnerChanged { key, owner, term, replicas: copies }, true);
        self.look_at_copies(now, key);
    }

    /// The connection is gone, and the copies that were on their way with it.
    pub(crate) fn lost_on_the_way(&mut self, now: Millis, node: Node) {
        let all = self.under_replicated.iter().map(|(_, key)| *key);
        let on_way = |key: &Key| self.entries.get(key).is_some_and(|e| e.unconfirmed.contains(&node));
        let lost: Vec<Key> = all.filter(on_way).collect();
        lost.into_iter().for_each(|key| self.not_on(now, key, node));
    }

    /// Stores that are gone for good hold no copies any more; and digests are compared when it is time.
    pub(crate) fn look_at_holders(&mut self, now: Millis) {
        let Queue { peers, control_contact, knows_members: acquainted, settings: terms, .. } = self;
        let (mut gone, mut compare) = (Vec::new(), Vec::new());
        for (node, peer) in peers {
            let here = peer.listed || peer.connected;
            if here {
                peer.written_off = false;
            } else if control_contact.is_heard
                && *acquainted
                && !peer.written_off
                && now > peer.since + WRITTEN_OFF
            {
                peer.written_off = true;
                gone.push(*node);
            }
            if peer.connected && peer.stood && terms.node < *node && now >= peer.compared + COMPARE.0 {
                compare.push(*node);
            }
        }
        for node in gone {
            self.end_replication.lost(node);
            let held = self.owned_here().filter(|(_, e)| e.replicas.contains(&node));
            let held: Vec<Key> = held.map(|(key, _)| key).collect();
            held.into_iter().for_each(|key| self.not_on(now, key, node));
        }
        compare.into_iter().for_each(|node| self.compare(now, node, COMPARE.1));
    }

    pub(crate) fn next_repair(&self) -> Millis {
        self.under_replicated.first().map_or(Millis::MAX, |(at, _)| (*at).max(self.repair_budget.at + STEP))
    }

    pub(crate) fn repair(&mut self, now: Millis) {
        if self.under_replicated.is_empty() {
            if let Some(since) = self.under_replicated_since.take() {
                self.metrics.last_under_replication_ms = now.saturating_sub(since);
                tracing::info!(
                    ms = self.metrics.last_under_replication_ms,
                    "all messages are on enough disks again"
                );
            }
            self.metrics.under_replicated = 0;
            return;
        }
        self.metrics.under_replicated = self.under_replicated.len();
        if now < self.next_repair() {
            return;
        }
        self.repair_budget.fill(now);
        while let Some((_, key)) = self.under_replicated.first().copied().filter(|(at, _)| *at <= now) {
            if self.repair_budget.held <= 0 {
                break;
            }
            let Some(entry) = self.mine(key) else {
                self.under_replicated.pop_first();
                continue;
            };
            let (size, copies) = (entry.message.body.len() as u64 + AROUND, entry.replicas.clone());
            let lacking = self.settings.replica_count.saturating_sub(copies.len());
            let new = self.choose(now, &copies, &copies, lacking);
            let Some(entry) = self.entries.get_mut(&key) else { return };
            entry.unconfirmed.extend(&new);
            entry.replicas.extend(&new);
            let (me, term, copies) = (self.settings.node, entry.term, entry.replicas.clone());
            let missing = entry.unconfirmed.clone();
            let to: Vec<Node> =
                missing.into_iter().filter(|n| self.peers.get(n).is_some_and(|p| p.connected)).collect();
            if to.is_empty() {
                self.see_to(now + NOBODY, key);
                continue;
            }
            self.repair_budget.take(size * to.len() as u64);
            self.metrics.repaired_bytes += size * to.len() as u64;
            // Known on disk before the copy is: after a restart those that hold copies are waited for.
            if !new.is_empty() {
                self.record(&Record::OwnerChanged { key, owner: me, term, replicas: copies }, true);
                self.after_write(PendingWrite::Ownership(key));
            }
            to.into_iter().for_each(|to| self.copy_anew(now, key, to));
            self.see_to(now + CONFIRM, key);
        }
    }
}
