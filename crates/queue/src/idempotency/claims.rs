//! Shard claims: how this store becomes the holder of shards.

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

/// Time after which a claim is abandoned if too few stores have granted it.
const CLAIM_TIMEOUT_MS: Millis = 600;

/// Maximum number of shards in one claim. Every other store answers at once, over one link, with all messages that it
/// knows in these shards.
const MAX_SHARDS_PER_CLAIM: usize = 64;

/// Minimum delay before the next claim after a failed one. A part of the delay that depends on the store is added, so
/// that two stores that want the same shard take turns.
const CLAIM_RETRY_DELAY_MS: Millis = 20;
const CLAIM_RETRY_SPREAD_MS: Millis = 40;

/// How long membership and connections must be unchanged before this store claims the shards that it is preferred
/// for.
const REBALANCE_DELAY_MS: Millis = 500;

impl Queue {
    /// Schedules a rebalancing of the shards: a change of membership or connections may make this store the preferred
    /// holder of other shards.
    pub(crate) fn shards_may_move(&mut self, now: Millis) {
        self.shards.rebalance_since = Some(now);
    }

    /// Claims the shards for which this store is the preferred holder and that it does not hold yet.
    pub(crate) fn rebalance_shards(&mut self, now: Millis) {
        let is_due = self.shards.rebalance_since.is_some_and(|since| now >= since + REBALANCE_DELAY_MS);
        if !is_due || !self.shards.are_used || !self.knows_members || self.is_draining {
            return;
        }
        self.shards.rebalance_since = None;
        let is_able = |peer: &Peer| peer.is_member && peer.can_hold_shards();
        let able = self.peers.iter().filter(|(_, peer)| is_able(peer)).map(|(node, _)| *node);
        let stores: Vec<Node> = able.chain([self.settings.node]).collect();
        let is_preferred_here = |shard: &Shard| {
            preferred_store_of_shard(*shard, stores.iter().copied()) == Some(self.settings.node)
                && self.shards.held_term(*shard).is_none()
        };
        let missing: Vec<Shard> = (0..SHARD_COUNT).filter(is_preferred_here).collect();
        self.shards.shards_to_claim.extend(missing);
    }

    /// Claims the wanted shards, unless a claim is already pending or one has just failed.
    pub(crate) fn start_claim(&mut self, now: Millis) {
        let is_possible = self.shards.pending.is_none()
            && now >= self.shards.next_claim_at
            && !self.shards.shards_to_claim.is_empty()
            && self.can_claim();
        if !is_possible {
            return;
        }
        let shards_to_claim = self.shards.shards_to_claim.iter().copied();
        let shards: Vec<Shard> = shards_to_claim.take(MAX_SHARDS_PER_CLAIM).collect();
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
            reported: Vec::new(),
        });
    }

    /// Handles that this store's own record of a claim is on disk.
    pub(crate) fn claim_recorded(&mut self, now: Millis, id: u64) {
        if let Some(claim) = self.shards.pending.as_mut().filter(|claim| claim.id == id) {
            claim.is_durable = true;
        }
        self.finish_claim(now);
    }

    /// Handles another store's answer to a claim.
    pub(crate) fn claim_answered(&mut self, now: Millis, from: Node, id: u64, answer: ClaimAnswer) {
        let Some(claim) = self.shards.pending.as_mut().filter(|claim| claim.id == id) else { return };
        claim.awaited.remove(&from);
        match answer {
            ClaimAnswer::Granted(reported) => {
                claim.granted.insert(from);
                claim.reported.extend(reported);
            }
            ClaimAnswer::Refused { term } => {
                self.shards.refused_term = self.shards.refused_term.max(term);
                return self.abandon_claim(now);
            }
            ClaimAnswer::Abstained => {}
        }
        self.finish_claim(now);
    }

    /// Stops waiting for a store's answer to the pending claim after its connection was lost.
    pub(crate) fn stop_awaiting_claim_answer(&mut self, now: Millis, node: Node) {
        if let Some(claim) = &mut self.shards.pending {
            claim.awaited.remove(&node);
            self.finish_claim(now);
        }
    }

    /// Finishes the pending claim or abandons it after its time-out, then starts the next one.
    pub(crate) fn check_claim(&mut self, now: Millis) {
        self.finish_claim(now);
        let is_late = |claim: &PendingClaim| now >= claim.started_at + CLAIM_TIMEOUT_MS;
        if self.shards.pending.as_ref().is_some_and(is_late) {
            self.abandon_claim(now);
        }
        self.start_claim(now);
    }

    /// Time at which [`Queue::check_claim`] must be called next.
    pub(crate) fn next_claim_check_at(&self) -> Millis {
        match &self.shards.pending {
            Some(claim) => claim.started_at + CLAIM_TIMEOUT_MS,
            None if !self.shards.shards_to_claim.is_empty() && self.can_claim() => self.shards.next_claim_at,
            None => Millis::MAX,
        }
    }

    /// Whether more stores are absent or recovering than may be lost: as far as this store knows, no claim can
    /// succeed now.
    pub(super) fn is_quorum_unreachable(&self) -> bool {
        let is_recovering = |peer: &&Peer| peer.is_connected && peer.recovery == PeerRecovery::Pending;
        let recovering = self.peers.values().filter(is_recovering).count();
        self.knows_members && self.absent_stores() + recovering > self.settings.replica_count
    }

    /// Whether this store knows its shard terms and the stores that have to grant a claim.
    pub(super) fn can_claim(&self) -> bool {
        !self.shards.are_terms_missing && !self.is_recovering() && self.knows_members
    }

    /// Abandons the pending claim. Only the shards that submissions wait for are claimed again at once, and the
    /// shards that this store is preferred for at the next rebalancing: other stores may want the rest, and each
    /// claim takes a shard away from its holder.
    fn abandon_claim(&mut self, now: Millis) {
        self.shards.pending = None;
        if self.is_quorum_unreachable() {
            self.reject_waiting();
        }
        self.shards.shards_to_claim = self.shards.awaited_shards();
        self.metrics.shard_claims_failed += 1;
        self.delay_next_claim(now);
    }

    /// Drops the shards that another store has claimed with a higher term before this store's claim succeeded, unless
    /// submissions wait for them. If both stores claimed them again at once, they would take them from each other
    /// forever.
    fn drop_outbid_shards(&mut self, now: Millis, outbid: &[Shard]) {
        if outbid.is_empty() {
            return;
        }
        let awaited = self.shards.awaited_shards();
        self.shards.shards_to_claim.retain(|shard| awaited.contains(shard) || !outbid.contains(shard));
        self.delay_next_claim(now);
    }

    fn delay_next_claim(&mut self, now: Millis) {
        self.shards.rebalance_since.get_or_insert(now);
        let spread = u64::from(self.settings.node) % CLAIM_RETRY_SPREAD_MS;
        self.shards.next_claim_at = now + CLAIM_RETRY_DELAY_MS + spread;
    }

    /// Completes the pending claim once enough stores have granted it.
    fn finish_claim(&mut self, now: Millis) {
        let is_unasked = self.planted(PlantedFault::ShardsHeldUnasked);
        let Some(claim) = &self.shards.pending else { return };
        // Every connected store has to answer: a disk that was just lost counts among the tolerated losses, and the
        // store that is slow to answer may be the last one that has a message. A store that recovers from a lost disk
        // abstains and so counts as one that has not granted.
        let is_complete = claim.awaited.is_empty() || is_unasked;
        let has_quorum = self.unheard_holders(&claim.granted) <= self.settings.replica_count || is_unasked;
        if !claim.is_durable || !is_complete {
            return;
        }
        if !has_quorum {
            if claim.awaited.is_empty() {
                self.abandon_claim(now);
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
        self.drop_outbid_shards(now, &outbid);
        for submission in claim.reported {
            if self.shards.held_term(submission.digest.shard()) == Some(claim.term) {
                self.shards.add_reported(now, submission);
            }
        }
        self.resume_waiting(now);
        self.check_unchecked(now);
    }

    /// Number of stores that may hold messages of a shard and are not in `heard`.
    pub(super) fn unheard_holders(&self, heard: &BTreeSet<Node>) -> usize {
        self.message_holders().filter(|node| !heard.contains(node)).count()
    }

    /// The other stores that may hold messages with idempotency keys.
    pub(super) fn message_holders(&self) -> impl Iterator<Item = Node> + '_ {
        let may_hold = |peer: &Peer| peer.is_present() || peer.key_holder == KeyHolder::Counts;
        self.peers.iter().filter(move |(_, peer)| may_hold(peer)).map(|(node, _)| *node)
    }

    /// Number of stores that may hold messages of a shard and are not connected.
    pub(super) fn absent_stores(&self) -> usize {
        let connected = self.peers.iter().filter(|(_, peer)| peer.is_connected);
        self.unheard_holders(&connected.map(|(node, _)| *node).collect())
    }

    /// Whether enough stores would still grant a claim if one more were lost, as far as this store knows.
    pub(crate) fn are_shards_safe(&self) -> bool {
        let is_intact = !self.shards.are_terms_missing && !self.is_recovering();
        !self.shards.are_used || (is_intact && self.absent_stores() == 0 && self.recovering_peers() == 0)
    }

    /// Restores from disk the stores that counted as possible holders of messages before the restart, and those that
    /// were gone for good. A store that appears only in replica lists was never connected to this one: its messages
    /// matter to the stores that were connected to it, and to this one as little after a restart as before.
    pub(crate) fn restore_message_holders(
        &mut self,
        now: Millis,
        holders: &BTreeSet<Node>,
        gone: &BTreeSet<Node>,
    ) {
        for node in holders {
            self.peers.entry(*node).or_insert_with(|| Peer::new(now));
        }
        // A disk written by an older version does not record which stores were connected.
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

    /// Records which stores are gone for good: those that are written off, once no message known here has too few
    /// replicas, because everything they held is then elsewhere. While more stores are absent or have lost their
    /// disks than may be lost at once, the absent ones may be alive behind a network partition, and messages that
    /// they have accepted may exist only among themselves; they then count until the idempotency window of all their
    /// keys is over.
    pub(crate) fn record_gone_stores(&mut self, now: Millis) {
        let may_judge = self.control_contact.is_reachable && self.knows_members;
        let lost_or_absent = self.absent_stores() + self.recovering_peers();
        let may_be_gone = lost_or_absent <= self.settings.replica_count
            && !self.is_recovering()
            && self.missing_replicas() == MissingReplicas::default();
        let window_ms = self.settings.retention.idempotency_key_ms();
        let is_gone = |peer: &Peer| {
            let absent_ms = now.saturating_sub(peer.connection_changed_at);
            peer.is_retiring() || (may_be_gone && peer.is_written_off()) || absent_ms > window_ms
        };
        let is_recorded = |peer: &Peer| peer.is_present() || peer.key_holder != KeyHolder::Counts;
        let gone = self.peers.iter().filter(|(_, peer)| may_judge && !is_recorded(peer) && is_gone(peer));
        let gone: Vec<Node> = gone.map(|(node, _)| *node).collect();
        for node in gone {
            self.peers.entry(node).or_default().key_holder = KeyHolder::Gone;
            self.record(&Record::MessageHolderGone { node, is_gone: true }, false);
        }
    }
}
