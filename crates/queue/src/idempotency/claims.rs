//! Claims: how this store comes to hold shards.

use super::digest::{preferred_store_of_shard, Shard, SHARD_COUNT};
use super::shard_table::{PendingClaim, ShardTerm};
use crate::durability::MissingReplicas;
use crate::effect::Effect;
use crate::message::{Millis, Node};
use crate::peer::{KeyHolder, Peer, PeerRecovery};
use crate::peer_message::{ClaimAnswer, PeerMessage};
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use std::collections::BTreeSet;

/// A claim that not enough stores have granted by then is given up.
const CLAIM_TIMEOUT_MS: Millis = 600;

/// Shards in one claim at most: what is known of them comes from every other store at once, over one link.
const MAX_SHARDS_PER_CLAIM: usize = 64;

/// The next claim after one that failed is made no sooner; different for each store, so that two that want one shard take turns.
const CLAIM_RETRY_DELAY_MS: Millis = 20;
const CLAIM_RETRY_SPREAD_MS: Millis = 40;

/// The shards that fall to this store are claimed once members and connections have not changed for so long.
const REBALANCE_DELAY_MS: Millis = 500;

/// Beyond the window of the keys, what a store held does not matter any more.
const WINDOW_MARGIN_MS: Millis = 10_000;

impl Queue {
    /// Members or connections have changed: other shards may fall to this store.
    pub(crate) fn shards_may_move(&mut self, now: Millis) {
        self.shards.rebalance_since = Some(now);
    }

    /// Claims the shards that fall to this store, where it does not hold them.
    pub(crate) fn rebalance_shards(&mut self, now: Millis) {
        let is_due = self.shards.rebalance_since.is_some_and(|since| now >= since + REBALANCE_DELAY_MS);
        if !is_due || !self.shards.are_used || !self.knows_members || self.is_draining {
            return;
        }
        self.shards.rebalance_since = None;
        let is_able = |peer: &Peer| peer.is_member && peer.can_hold_shards();
        let able = self.peers.iter().filter(|(_, peer)| is_able(peer)).map(|(node, _)| *node);
        let stores: Vec<Node> = able.chain([self.settings.node]).collect();
        let falls_here = |shard: &Shard| {
            preferred_store_of_shard(*shard, stores.iter().copied()) == Some(self.settings.node)
                && self.shards.held_term(*shard).is_none()
        };
        let missing: Vec<Shard> = (0..SHARD_COUNT).filter(falls_here).collect();
        self.shards.wanted.extend(missing);
    }

    /// Claims shards that are wanted, unless a claim is under way or one has just failed.
    pub(crate) fn start_claim(&mut self, now: Millis) {
        let is_possible = self.shards.pending.is_none()
            && now >= self.shards.next_claim_at
            && !self.shards.wanted.is_empty()
            && self.can_claim();
        if !is_possible {
            return;
        }
        let wanted = self.shards.wanted.iter().copied();
        let shards: Vec<Shard> = wanted.take(MAX_SHARDS_PER_CLAIM).collect();
        let known = shards.iter().map(|shard| self.shards.term_of(*shard).term).max().unwrap_or(0);
        let claim = ShardTerm::above(known.max(self.shards.refused_term), self.settings.node);
        let term = claim.term;
        for shard in &shards {
            self.shards.raise(*shard, claim);
        }
        self.shards.last_claim_id += 1;
        let id = self.shards.last_claim_id;
        self.record(&Record::ShardsGranted { claim, shards: shards.clone() }, true);
        self.after_write(PendingWrite::OwnClaim(id));
        let connected = self.peers.iter().filter(|(_, peer)| peer.is_connected);
        let awaited: BTreeSet<Node> = connected.map(|(node, _)| *node).collect();
        for to in &awaited {
            let message = PeerMessage::ClaimShards { claim_id: id, term, shards: shards.clone() };
            self.emit(Effect::Send { to: *to, message });
        }
        self.metrics.shard_claims += 1;
        self.shards.pending = Some(PendingClaim {
            id,
            term,
            shards,
            started_at: now,
            is_durable: false,
            awaited,
            granted: BTreeSet::new(),
            named: Vec::new(),
        });
    }

    /// This store's own record of a claim is on disk.
    pub(crate) fn claim_recorded(&mut self, now: Millis, id: u64) {
        if let Some(claim) = self.shards.pending.as_mut().filter(|claim| claim.id == id) {
            claim.is_durable = true;
        }
        self.finish_claim(now);
    }

    /// Another store has answered a claim.
    pub(crate) fn claim_answered(&mut self, now: Millis, from: Node, id: u64, answer: ClaimAnswer) {
        let Some(claim) = self.shards.pending.as_mut().filter(|claim| claim.id == id) else { return };
        claim.awaited.remove(&from);
        match answer {
            ClaimAnswer::Granted(named) => {
                claim.granted.insert(from);
                claim.named.extend(named);
            }
            ClaimAnswer::Refused { term } => {
                self.shards.refused_term = self.shards.refused_term.max(term);
                return self.give_up_claim(now);
            }
            ClaimAnswer::Abstained => {}
        }
        self.finish_claim(now);
    }

    /// A connection is lost, and with it the answer to a claim.
    pub(crate) fn stop_awaiting_claim_answer(&mut self, now: Millis, node: Node) {
        if let Some(claim) = &mut self.shards.pending {
            claim.awaited.remove(&node);
            self.finish_claim(now);
        }
    }

    /// Looks at the time of the claim that is under way.
    pub(crate) fn check_claim(&mut self, now: Millis) {
        self.finish_claim(now);
        let is_late = |claim: &PendingClaim| now >= claim.started_at + CLAIM_TIMEOUT_MS;
        if self.shards.pending.as_ref().is_some_and(is_late) {
            self.give_up_claim(now);
        }
        self.start_claim(now);
    }

    /// When [`Queue::check_claim`] has to be called next.
    pub(crate) fn next_claim_check_at(&self) -> Millis {
        match &self.shards.pending {
            Some(claim) => claim.started_at + CLAIM_TIMEOUT_MS,
            None if !self.shards.wanted.is_empty() && self.can_claim() => self.shards.next_claim_at,
            None => Millis::MAX,
        }
    }

    /// Whether more stores are absent, or recover, than may be lost: no claim can stand now, as far as this store knows.
    pub(super) fn is_claim_hopeless(&self) -> bool {
        let is_recovering = |peer: &&Peer| peer.is_connected && peer.recovery == PeerRecovery::Pending;
        let recovering = self.peers.values().filter(is_recovering).count();
        self.knows_members && self.absent_stores() + recovering > self.settings.replica_count
    }

    /// Whether this store knows whom a claim has to be granted by.
    pub(super) fn can_claim(&self) -> bool {
        !self.shards.are_terms_missing && !self.is_recovering() && self.knows_members
    }

    /// Only what is still needed is claimed again: the shards that submissions wait for now, and in a while those that fall to this
    /// store. Others want the rest, perhaps, and each claim takes a shard from them.
    fn give_up_claim(&mut self, now: Millis) {
        self.shards.pending = None;
        if self.is_claim_hopeless() {
            self.reject_waiting();
        }
        self.shards.wanted = self.shards.awaited_shards();
        self.metrics.shard_claims_failed += 1;
        self.delay_next_claim(now);
    }

    /// Another store has claimed these shards with a higher term before this store's claim stood. Claimed again at once the two would take them
    /// from each other for ever.
    fn yield_shards(&mut self, now: Millis, outbid: &[Shard]) {
        if outbid.is_empty() {
            return;
        }
        let awaited = self.shards.awaited_shards();
        self.shards.wanted.retain(|shard| awaited.contains(shard) || !outbid.contains(shard));
        self.delay_next_claim(now);
    }

    fn delay_next_claim(&mut self, now: Millis) {
        self.shards.rebalance_since.get_or_insert(now);
        let spread = u64::from(self.settings.node) % CLAIM_RETRY_SPREAD_MS;
        self.shards.next_claim_at = now + CLAIM_RETRY_DELAY_MS + spread;
    }

    /// Acts on a claim once enough stores have granted it.
    fn finish_claim(&mut self, now: Millis) {
        let is_unasked = self.planted(PlantedFault::ShardsHeldUnasked);
        let Some(claim) = &self.shards.pending else { return };
        // All that are connected have to answer: a disk that was just lost counts among the losses, and the one that is slow may be the
        // last that has a message. A store that recovers from such a loss abstains, and so counts as silent.
        let is_complete = claim.awaited.is_empty() || is_unasked;
        let has_quorum = self.silent_stores(&claim.granted) <= self.settings.replica_count || is_unasked;
        if !claim.is_durable || !is_complete {
            return;
        }
        if !has_quorum {
            if claim.awaited.is_empty() {
                self.give_up_claim(now);
            }
            return;
        }
        let Some(claim) = self.shards.pending.take() else { return };
        let own = ShardTerm::from_term(claim.term);
        let (held, outbid): (Vec<Shard>, Vec<Shard>) =
            claim.shards.into_iter().partition(|shard| self.shards.term_of(*shard) == own);
        for shard in held {
            self.shards.hold(claim.started_at, shard, claim.term);
        }
        self.yield_shards(now, &outbid);
        for submission in claim.named {
            if self.shards.held_term(submission.digest.shard()) == Some(claim.term) {
                self.shards.add_named(now, submission);
            }
        }
        self.resume_waiting(now);
        self.check_unchecked(now);
    }

    /// How many stores may hold messages of a shard and are none of these.
    pub(super) fn silent_stores(&self, heard: &BTreeSet<Node>) -> usize {
        self.message_holders().filter(|node| !heard.contains(node)).count()
    }

    /// The other stores that may hold messages with idempotency keys.
    pub(super) fn message_holders(&self) -> impl Iterator<Item = Node> + '_ {
        let may_hold = |peer: &Peer| peer.is_present() || peer.key_holder == KeyHolder::Counts;
        self.peers.iter().filter(move |(_, peer)| may_hold(peer)).map(|(node, _)| *node)
    }

    /// How many stores that may hold messages of a shard are not connected.
    pub(super) fn absent_stores(&self) -> usize {
        let connected = self.peers.iter().filter(|(_, peer)| peer.is_connected);
        self.silent_stores(&connected.map(|(node, _)| *node).collect())
    }

    /// Whether a claim would be granted by enough stores if one more were lost, as far as that is known here.
    pub(crate) fn are_shards_safe(&self) -> bool {
        let is_intact = !self.shards.are_terms_missing && !self.is_recovering();
        !self.shards.are_used || (is_intact && self.absent_stores() == 0 && self.recovering_peers() == 0)
    }

    /// Enters the stores that counted among the holders of messages before this store started, and those that were gone for good. One that
    /// is named in lists of replicas alone was never connected to this store: what it holds matters to those that heard it, and after a
    /// restart as little to this one as before.
    pub(crate) fn restore_message_holders(
        &mut self,
        now: Millis,
        holders: &BTreeSet<Node>,
        gone: &BTreeSet<Node>,
    ) {
        for node in holders {
            self.peers.entry(*node).or_insert_with(|| Peer::new(now));
        }
        // A disk of an older version does not say who was connected.
        let are_holders_known = !holders.is_empty();
        for (node, peer) in &mut self.peers {
            if gone.contains(node) {
                peer.key_holder = KeyHolder::Gone;
            } else if are_holders_known && !holders.contains(node) && !self.peer_disks.contains_key(node) {
                peer.key_holder = KeyHolder::NeverConnected;
            }
        }
        self.record_restored_holders(holders);
    }

    fn record_restored_holders(&mut self, recorded: &BTreeSet<Node>) {
        let is_unrecorded =
            |node: &Node, peer: &Peer| peer.key_holder == KeyHolder::Counts && !recorded.contains(node);
        let unrecorded = self.peers.iter().filter(|(node, peer)| is_unrecorded(node, peer));
        let unrecorded: Vec<Node> = unrecorded.map(|(node, _)| *node).collect();
        for node in unrecorded {
            self.record(&Record::MessageHolderGone { node, is_gone: false }, false);
        }
    }

    /// Notes which stores are gone for good: those that are written off, once nothing that is known here lies on too few disks, for what
    /// they held lies elsewhere then. While more are absent, or have lost their disks, than may be lost at once, they may be alive, behind
    /// a cut, and what they have accepted may lie among themselves alone: then they count until the window of all their keys is over.
    pub(crate) fn note_gone_stores(&mut self, now: Millis) {
        let may_judge = self.control_contact.is_reachable && self.knows_members;
        let lost_or_absent = self.absent_stores() + self.recovering_peers();
        let may_be_gone = lost_or_absent <= self.settings.replica_count
            && !self.is_recovering()
            && self.missing_replicas() == MissingReplicas::default();
        let window_ms = self.settings.idempotency_window_ms + WINDOW_MARGIN_MS;
        let is_gone = |peer: &Peer| {
            let absent_ms = now.saturating_sub(peer.connection_changed_at);
            peer.is_retiring() || (may_be_gone && peer.is_written_off()) || absent_ms > window_ms
        };
        let is_noted = |peer: &Peer| peer.is_present() || peer.key_holder != KeyHolder::Counts;
        let gone = self.peers.iter().filter(|(_, peer)| may_judge && !is_noted(peer) && is_gone(peer));
        let gone: Vec<Node> = gone.map(|(node, _)| *node).collect();
        for node in gone {
            self.peers.entry(node).or_default().key_holder = KeyHolder::Gone;
            self.record(&Record::MessageHolderGone { node, is_gone: true }, false);
        }
    }
}
