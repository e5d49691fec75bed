//! Reconciliation of two stores (anti-entropy): digests over key ranges show where they differ, and each then lists
//! its messages in those ranges. Owners, replicas and ends are corrected according to the newer claim.

use super::ownership::claim;
use crate::effect::Effect;
use crate::entry::{Entry, Stage};
use crate::hashing::mix;
use crate::message::{Key, Millis, Node};
use crate::peer_message::{EntrySummary, KeyRange, Ownership, PeerMessage, RangeDigest};
use crate::queue::Queue;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// Number of low bits of a message number that distinguish the messages within one range.
const KEY_RANGE_BITS: u32 = 10;

fn range_of(owner: Node, key: Key) -> KeyRange {
    KeyRange { owner, block: key.number >> KEY_RANGE_BITS }
}

/// Hash of a message's state.
fn state_hash(key: Key, entry: &Entry) -> u64 {
    let has_ended = u64::from(entry.end.is_some());
    mix(&[u64::from(key.origin), key.number, u64::from(entry.owner), u64::from(entry.term), has_ended])
}

/// Count and combined hash of the messages in one range.
#[derive(Clone, Copy, Default, PartialEq)]
struct Digest {
    count: u32,
    hash: u64,
}

/// Corrections that the other store has to make, derived from what it has listed.
#[derive(Default)]
struct Corrections {
    ownership: Vec<Ownership>,
    replicas_wanted: Vec<Key>,
    drops: Vec<Key>,
    lost_with_disk: Vec<Key>,
}

impl Corrections {
    fn into_messages(self) -> impl Iterator<Item = PeerMessage> {
        let ownership = (!self.ownership.is_empty()).then_some(PeerMessage::OwnershipChanged(self.ownership));
        let wanted =
            (!self.replicas_wanted.is_empty()).then_some(PeerMessage::RequestReplicas(self.replicas_wanted));
        let drops = (!self.drops.is_empty()).then_some(PeerMessage::Drop(self.drops));
        let lost =
            (!self.lost_with_disk.is_empty()).then_some(PeerMessage::LostWithDisk(self.lost_with_disk));
        [ownership, wanted, drops, lost].into_iter().flatten()
    }
}

impl Queue {
    fn digests_with(&self, now: Millis, node: Node, min_age_ms: u64) -> BTreeMap<KeyRange, Digest> {
        let mut digests: BTreeMap<KeyRange, Digest> = BTreeMap::new();
        let shared = self.shared_with(node).filter(|(_, entry)| entry.age_ms(now) >= min_age_ms);
        for (key, entry) in shared {
            let digest = digests.entry(range_of(entry.owner, key)).or_default();
            digest.count += 1;
            digest.hash ^= state_hash(key, entry);
        }
        digests
    }

    /// Starts a comparison with another store. Messages younger than `min_age_ms` are left out: those still being
    /// replicated would always differ.
    pub(crate) fn send_digests(&mut self, now: Millis, node: Node, min_age_ms: u64) {
        self.peers.entry(node).or_default().compared_at = now;
        self.metrics.digest_comparisons += 1;
        let digests = self.digests_with(now, node, min_age_ms).into_iter();
        let digests =
            digests.map(|(range, digest)| RangeDigest { range, count: digest.count, hash: digest.hash });
        let digests = digests.collect();
        let message = PeerMessage::Digests { disk_id: self.settings.disk_id, min_age_ms, digests };
        self.emit(Effect::Send { to: node, message });
    }

    /// Compares another store's digests with this store's: sends the contents of the ranges that differ, or reports
    /// that none does.
    pub(super) fn compare_digests(
        &mut self,
        now: Millis,
        from: Node,
        min_age_ms: u64,
        theirs: &[RangeDigest],
    ) {
        self.metrics.digest_comparisons += 1;
        let mut ours = self.digests_with(now, from, min_age_ms);
        let mut differing: BTreeSet<KeyRange> = BTreeSet::new();
        for RangeDigest { range, count, hash } in theirs {
            if ours.remove(range) != Some(Digest { count: *count, hash: *hash }) {
                differing.insert(*range);
            }
        }
        differing.extend(ours.into_keys());
        self.metrics.differing_ranges += differing.len() as u64;
        if differing.is_empty() {
            self.emit(Effect::Send { to: from, message: PeerMessage::Reconciled });
            return self.peer_reconciled(now, from);
        }
        self.send_range_contents(from, differing.into_iter().collect(), true);
    }

    /// Sends a list of all messages in these ranges that both stores should hold.
    pub(super) fn send_range_contents(&mut self, to: Node, ranges: Vec<KeyRange>, reply_wanted: bool) {
        let wanted: BTreeSet<&KeyRange> = ranges.iter().collect();
        let listed =
            self.shared_with(to).filter(|(key, entry)| wanted.contains(&range_of(entry.owner, *key)));
        let entries = listed.map(|(key, entry)| EntrySummary {
            key,
            owner: entry.owner,
            term: entry.term,
            has_ended: entry.end.is_some(),
        });
        let entries = entries.collect();
        let disk_id = self.settings.disk_id;
        let message = PeerMessage::RangeContents { disk_id, reply_wanted, ranges, entries };
        self.emit(Effect::Send { to, message });
    }

    /// Corrects the messages that two stores share, from what the other has listed of these ranges.
    pub(super) fn reconcile_ranges(
        &mut self,
        now: Millis,
        from: Node,
        ranges: &[KeyRange],
        theirs: Vec<EntrySummary>,
    ) {
        let named: HashSet<Key> = theirs.iter().map(|summary| summary.key).collect();
        let mut corrections = Corrections::default();
        for summary in theirs {
            if self.entries.contains_key(&summary.key) {
                self.reconcile_entry(now, from, summary, &mut corrections);
            } else {
                self.reconcile_unknown(from, summary, &mut corrections);
            }
        }
        // Messages that the other store should hold but has not listed: it has lost its disk, or never received the
        // replica.
        let wanted: HashSet<&KeyRange> = ranges.iter().collect();
        let node = self.settings.node;
        let unnamed = self
            .owned_here()
            .filter(|(key, _)| wanted.contains(&range_of(node, *key)) && !named.contains(key));
        let missing =
            unnamed.filter(|(_, entry)| entry.stage != Stage::Persisting && entry.replicas.contains(&from));
        let missing: Vec<Key> = missing.map(|(key, _)| key).collect();
        for key in missing {
            // The other store may own the message by now; it then lists the message as its own.
            self.announce_and_wait(now, key);
            self.replica_missing(now, key, from);
        }
        // A message that the other store owned and does not list has ended, was never completely persisted, or is
        // lost. It says which, because this store has listed the message. If this store took it over only because the
        // other did not list it, the message would run twice.
        self.send_ends();
        for message in corrections.into_messages() {
            self.emit(Effect::Send { to: from, message });
        }
    }

    /// Handles a message that the other store holds and this store does not know.
    fn reconcile_unknown(&self, from: Node, summary: EntrySummary, corrections: &mut Corrections) {
        let EntrySummary { key, owner, .. } = summary;
        let node = self.settings.node;
        if owner == from {
            corrections.replicas_wanted.push(key);
        } else if owner == node {
            let was_accepted_here = key.origin == node;
            if was_accepted_here && self.is_number_of_present_disk(key.number) {
                // This store never finished persisting the message, so its acceptance was never acknowledged.
                corrections.drops.push(key);
            } else {
                // The message was lost with this store's previous disk: either it was accepted here, or another store
                // had accepted it and this store had taken it over.
                corrections.lost_with_disk.push(key);
            }
        }
    }

    /// Reconciles a message that both stores hold.
    fn reconcile_entry(
        &mut self,
        now: Millis,
        from: Node,
        summary: EntrySummary,
        corrections: &mut Corrections,
    ) {
        let EntrySummary { key, owner, term, has_ended } = summary;
        let Some(entry) = self.entries.get(&key) else { return };
        if entry.end.is_some() {
            if !has_ended {
                let notice = self.end_notice(key);
                self.outbox(from).ends.extend(notice);
            }
            return;
        }
        if has_ended {
            // The end of the message arrives in answer to what this store lists.
            return;
        }
        if claim(entry.term, entry.owner) > claim(term, owner) {
            corrections.ownership.extend(self.ownership(key));
        } else if entry.owner == self.settings.node
            && entry.stage != Stage::Persisting
            && !entry.replicas.contains(&from)
        {
            self.reconcile_surplus_replica(now, from, key, corrections);
        } else {
            let replicas = entry.replicas.clone();
            self.apply_ownership(now, Ownership { key, owner, term, replicas });
        }
    }

    /// Handles a replica at a store that is not in the replica list, because another store has replaced it. If the
    /// list's replicas are all confirmed, the surplus replica is dropped; if one is missing, the surplus one takes
    /// its place.
    fn reconcile_surplus_replica(
        &mut self,
        now: Millis,
        from: Node,
        key: Key,
        corrections: &mut Corrections,
    ) {
        let Some(entry) = self.entries.get(&key) else { return };
        let has_enough = !self.under_replicated.contains(key) && entry.unconfirmed.is_empty();
        if !has_enough {
            self.adopt_replica(now, key, from);
        } else if self.are_replicas_confirmed(entry) {
            corrections.drops.push(key);
        }
        // Otherwise it is unknown whether the other listed stores have their replicas, until they have reconciled.
    }
}
