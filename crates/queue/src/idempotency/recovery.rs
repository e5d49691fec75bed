//! Recovery of a store whose disk was lost.
//!
//! Such a store cannot say which messages were on its disk, so the messages that it would list in a grant prove
//! nothing. Until it has recovered it grants no claim, and claimants count it as a store that has not answered. It
//! makes no claim either, because it does not know which other stores have to be asked. It has recovered once
//! everything that was on its disk is on as many other disks as before. Each store that may hold such messages
//! reports this for its own messages, and also reports which stores these are, because the recovering store has lost
//! that knowledge too. New replicas are stored as soon as the shard terms are known again (see `grants`).
//!
//! That a store is recovering is recorded on disk: a restart begins the recovery again. If the other stores cannot
//! answer, the recovery ends with the idempotency window, because no key of the lost disk counts any more by then.
//!
//! While a store recovers, further disks may be lost, and with them messages that were on no other disk any more. No
//! store is left then that could report them, so reports alone would find everything on enough disks. If more disks are
//! lost before a recovery ends than may be lost at once, it therefore ends with the idempotency window only, and keys
//! are refused until then instead of run twice. Each store sees which others have returned with another disk and are
//! recovering, and reports nothing as replicated while these are too many.

use crate::durability::MissingReplicas;
use crate::effect::Effect;
use crate::entry::{Entry, Stage};
use crate::message::{Millis, Node};
use crate::peer::{Peer, PeerRecovery};
use crate::peer_message::{PeerMessage, RecoveryReport};
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};

/// Interval at which the other stores are asked for new reports.
const REPORT_ROUND_INTERVAL_MS: Millis = 250;

/// Number of consecutive rounds that must find all messages on enough disks: between two reports of one round a
/// message may change its owner.
const REQUIRED_COMPLETE_ROUNDS: u32 = 2;

/// Progress of a store's recovery from the loss of its disk.
#[derive(Debug)]
pub(super) struct Recovery {
    is_pending: bool,
    /// When this store's process started.
    started_at: Millis,
    /// Number of the current round of reports.
    round: u64,
    next_round_at: Millis,
    /// The idempotency window of every key that was on the lost disk is over.
    is_window_over: bool,
    /// Another store has seen an earlier disk of this store. A store of which no other has seen a disk is new and has
    /// lost nothing.
    had_other_disk: bool,
    /// The stores that have lost their disks, if these are more than may be lost at once: the recovery then ends with the
    /// idempotency window only.
    lost_beyond_tolerance: Vec<Node>,
    /// Consecutive rounds that found all messages on enough disks.
    complete_rounds: u32,
    /// The last report of each connected store.
    reports: BTreeMap<Node, RecoveryReport>,
}

impl Recovery {
    pub(super) fn new(started_at: Millis, is_pending: bool) -> Recovery {
        Recovery {
            is_pending,
            started_at,
            round: 0,
            next_round_at: 0,
            is_window_over: false,
            had_other_disk: false,
            lost_beyond_tolerance: Vec::new(),
            complete_rounds: 0,
            reports: BTreeMap::new(),
        }
    }

    /// Whether this store may have held messages that it does not know of.
    pub(super) fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Whether more disks were lost than may be lost at once.
    fn is_beyond_tolerance(&self) -> bool {
        !self.lost_beyond_tolerance.is_empty()
    }

    /// Whether a store that has not lost its disk has reported: such a store knows the others from its own disk.
    fn has_heard_intact_store(&self) -> bool {
        self.reports.values().any(|report| !report.is_recovering)
    }

    /// The stores that the reports list as possible holders of messages.
    fn reported_holders(&self) -> impl Iterator<Item = Node> + '_ {
        self.reports.values().flat_map(|report| report.holders.iter().copied())
    }

    /// Whether all these stores have reported in this round that every message is on enough disks.
    fn is_round_complete(&self, holders: &BTreeSet<Node>) -> bool {
        let is_complete = |report: &RecoveryReport| report.round == self.round && report.is_replicated;
        holders.iter().all(|node| self.reports.get(node).is_some_and(is_complete))
    }
}

impl Queue {
    /// Whether this store is recovering: the messages it has do not prove that there were no others.
    pub(super) fn is_recovering(&self) -> bool {
        self.shards.recovery.is_pending() && !self.planted(PlantedFault::BlankGrantCounts)
    }

    /// All other stores that may hold messages with idempotency keys, as far as this store and those that have
    /// reported know.
    fn recovery_holders(&self) -> BTreeSet<Node> {
        let own = self.message_holders();
        let reported = self.shards.recovery.reported_holders();
        own.chain(reported).filter(|node| *node != self.settings.node).collect()
    }

    /// Requests reports from the other stores when they are due, and ends the recovery with the idempotency window.
    pub(super) fn continue_recovery(&mut self, now: Millis) {
        if !self.shards.recovery.is_pending() {
            return;
        }
        let window_ms = self.settings.retention.idempotency_key_ms();
        self.shards.recovery.is_window_over = now > self.shards.recovery.started_at + window_ms;
        if self.shards.recovery.is_window_over {
            self.adopt_received_terms();
            if !self.shards.are_terms_missing {
                return self.end_recovery(now);
            }
        }
        self.check_tolerance();
        if now >= self.shards.recovery.next_round_at {
            self.shards.recovery.complete_rounds = 0;
            self.begin_recovery_round(now);
        }
    }

    fn begin_recovery_round(&mut self, now: Millis) {
        let recovery = &mut self.shards.recovery;
        recovery.round += 1;
        recovery.next_round_at = now + REPORT_ROUND_INTERVAL_MS;
        let round = recovery.round;
        self.send_to_connected(&PeerMessage::RequestRecoveryReport { round });
    }

    /// Announces on a new connection that this store is recovering, before the two stores have reconciled.
    pub(crate) fn announce_recovery(&mut self, node: Node) {
        if !self.shards.recovery.is_pending() || !self.shards.are_used {
            return;
        }
        let round = self.shards.recovery.round;
        self.emit(Effect::Send { to: node, message: PeerMessage::RequestRecoveryReport { round } });
        if self.shards.are_terms_missing {
            self.emit(Effect::Send { to: node, message: PeerMessage::RequestShardTerms });
        }
    }

    /// Answers a recovering store's question whether all messages at this store are on enough disks.
    pub(crate) fn recovery_report_requested(&mut self, now: Millis, from: Node, round: u64) {
        self.shards.are_used = true;
        self.set_peer_recovery(now, from, PeerRecovery::Pending);
        let report = RecoveryReport {
            round,
            is_replicated: self.is_all_replicated_for(from) && !self.are_lost_disks_beyond_tolerance(),
            knew_other_disk: self.peers.get(&from).is_some_and(|peer| peer.disk.is_replacement()),
            is_recovering: self.shards.recovery.is_pending(),
            holders: self.message_holders().collect(),
        };
        self.emit(Effect::Send { to: from, message: PeerMessage::RecoveryReport(report) });
    }

    /// Whether no message at this store depends on the lost disk of `recovering`. For a replica, only its owner can
    /// say so, and the owner is asked as well; it therefore has to know of this replica.
    fn is_all_replicated_for(&self, recovering: Node) -> bool {
        let is_reconciled = |node: Node| self.peers.get(&node).is_some_and(|peer| peer.is_reconciled);
        let is_replicated = |entry: &Entry| {
            let is_confirmed = entry.unconfirmed.is_empty() || entry.end.is_some();
            is_confirmed && self.counted_replicas(entry) >= self.settings.replica_count
        };
        let mut accepted = self.owned_here().filter(|(_, entry)| entry.stage != Stage::Persisting);
        self.knows_members
            && is_reconciled(recovering)
            && self.missing_replicas() == MissingReplicas::default()
            && self.owners().all(|owner| owner == self.settings.node || is_reconciled(owner))
            && accepted.all(|(_, entry)| is_replicated(entry))
    }

    /// Handles the recovery report of another store.
    pub(crate) fn recovery_reported(&mut self, now: Millis, from: Node, report: RecoveryReport) {
        if !self.shards.recovery.is_pending() {
            return;
        }
        self.shards.recovery.had_other_disk |= report.knew_other_disk;
        self.shards.recovery.reports.insert(from, report);
        self.check_tolerance();
        self.adopt_received_terms();
        self.check_recovery(now);
    }

    /// Discards a store's report after its connection was lost: the report may no longer hold.
    pub(crate) fn discard_recovery_report(&mut self, node: Node) {
        self.shards.recovery.reports.remove(&node);
    }

    /// Ends the recovery once enough rounds have found all messages on enough disks.
    fn check_recovery(&mut self, now: Millis) {
        let recovery = &self.shards.recovery;
        let may_end =
            self.knows_members && !self.shards.are_terms_missing && recovery.has_heard_intact_store();
        if !may_end {
            return;
        }
        if self.is_new_store() {
            return self.end_recovery(now);
        }
        if recovery.is_beyond_tolerance() || !recovery.is_round_complete(&self.recovery_holders()) {
            return;
        }
        self.shards.recovery.complete_rounds += 1;
        if self.shards.recovery.complete_rounds >= REQUIRED_COMPLETE_ROUNDS {
            self.end_recovery(now);
        } else {
            self.begin_recovery_round(now);
        }
    }

    /// Notes that more disks are lost than may be lost at once. That holds until this recovery ends.
    fn check_tolerance(&mut self) {
        if self.shards.recovery.is_beyond_tolerance() || !self.are_lost_disks_beyond_tolerance() {
            return;
        }
        let stores = self.stores_with_lost_disks();
        tracing::warn!(
            ?stores,
            "more disks are lost than may be lost at once; keys are refused until their window is over"
        );
        self.shards.recovery.lost_beyond_tolerance = stores;
    }

    /// The stores that are recovering from the loss of a disk, as far as this store knows, including this one.
    fn stores_with_lost_disks(&self) -> Vec<Node> {
        let is_lost = |peer: &Peer| peer.recovery == PeerRecovery::Pending && peer.disk.is_replacement();
        let others = self.peers.iter().filter(|(_, peer)| is_lost(peer)).map(|(node, _)| *node);
        let recovery = &self.shards.recovery;
        let is_lost_here = recovery.is_pending() && recovery.had_other_disk;
        others.chain(is_lost_here.then_some(self.settings.node)).collect()
    }

    /// Whether more disks were lost, before the recovery from the first of these losses has ended, than may be lost at
    /// once.
    pub fn are_lost_disks_beyond_tolerance(&self) -> bool {
        let is_counted = !self.planted(PlantedFault::LostDisksUncounted);
        let is_beyond = || !self.may_be_lost_together(&self.stores_with_lost_disks());
        is_counted && (self.shards.recovery.is_beyond_tolerance() || is_beyond())
    }

    /// Whether this store is new and has lost nothing: no other store has seen an earlier disk of it, and no more
    /// stores than may be lost have not been asked.
    fn is_new_store(&self) -> bool {
        let recovery = &self.shards.recovery;
        let holders = self.recovery_holders();
        let unheard = holders.iter().filter(|node| !recovery.reports.contains_key(node));
        !recovery.had_other_disk && unheard.count() <= self.settings.replica_count
    }

    fn end_recovery(&mut self, now: Millis) {
        let ms = now.saturating_sub(self.shards.recovery.started_at);
        self.shards.recovery = Recovery::new(self.shards.recovery.started_at, false);
        self.record(&Record::ShardTermsMissing(false), true);
        self.send_to_connected(&PeerMessage::Recovered);
        self.shards_may_move(now);
        tracing::info!(
            ms,
            "recovery complete: no message depends on a lost disk of this store; granting shard claims"
        );
    }

    /// Handles that another store has recovered.
    pub(crate) fn peer_recovered(&mut self, now: Millis, node: Node) {
        self.set_peer_recovery(now, node, PeerRecovery::None);
    }

    /// Sets the recovery state of a store. While it recovers, its shards move to other stores.
    fn set_peer_recovery(&mut self, now: Millis, node: Node, recovery: PeerRecovery) {
        let peer = self.peers.entry(node).or_default();
        if std::mem::replace(&mut peer.recovery, recovery) != recovery {
            self.shards_may_move(now);
        }
    }

    /// Number of connected stores that are recovering from the loss of a disk, or may not have said yet whether they
    /// are.
    pub(super) fn recovering_peers(&self) -> usize {
        let has_not_said = |peer: &Peer| peer.recovery == PeerRecovery::Pending || !peer.is_reconciled;
        self.peers.values().filter(|peer| peer.is_connected && has_not_said(peer)).count()
    }

    /// Whether every shard term is known that this store may have granted before it lost its disk. That is so if
    /// fewer stores than may be lost have not sent their terms (this store's disk is one of the losses), or if all
    /// stores that have any terms have sent them. New stores, however many, have none and have granted none.
    pub(super) fn has_enough_terms(&self) -> bool {
        let holders = self.recovery_holders();
        let mut missing = holders.iter().filter(|node| !self.shards.terms_received_from.contains(node));
        let own_loss = usize::from(!self.is_new_store());
        let are_few_missing = missing.clone().count() + own_loss <= self.settings.replica_count;
        let have_others_no_terms = missing.all(|node| self.shards.peers_without_terms.contains(node));
        let recovery = &self.shards.recovery;
        // If more disks were lost than may be, no store may be left that can send any terms. Once the idempotency
        // window is over there is nothing left to send, and every store that is asked answers: each that still holds
        // a shard has sent its term.
        let are_no_terms_left = recovery.is_window_over && have_others_no_terms;
        let is_known = recovery.has_heard_intact_store() && (are_few_missing || have_others_no_terms);
        self.knows_members && (is_known || are_no_terms_left)
    }
}
