//! Recovery of a store whose disk was lost.
//!
//! Such a store can't say which messages lay on its disk, so what it names in a grant is no evidence: until it has recovered it grants no
//! claim, and counts at each claimant as one that was not heard. It makes no claim either, for it does not know which other stores
//! there are to be heard. It has recovered once all that lay on its disk lies on as many other disks as before. Each store that may hold
//! such a message says so of what lies at it; which stores these are they say as well, for the recovering store has lost that
//! knowledge too. New replicas are kept as soon as the terms of the shards are known again (see `grants`).
//!
//! It is on disk that a store recovers: a restart begins the recovery anew. Where the others can't answer it ends with the window of the
//! keys, for none that lay on the lost disk counts any more by then.

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

/// The others are asked anew for their reports so often.
const ROUND_INTERVAL_MS: Millis = 250;

/// So many rounds in a row have to find all on enough disks: between two reports of one round a message may change its owner.
const COMPLETE_ROUNDS: u32 = 2;

/// Beyond the window of the keys, what lay on the lost disk does not matter any more.
const WINDOW_MARGIN_MS: Millis = 10_000;

/// How far a store has come that recovers from the loss of its disk.
#[derive(Debug)]
pub(super) struct Recovery {
    is_pending: bool,
    /// When this store's process was started.
    started_at: Millis,
    /// Counts the rounds of reports.
    round: u64,
    next_round_at: Millis,
    /// None of the keys that lay on the lost disk counts any more.
    is_window_over: bool,
    /// Another store knew a disk before the present one. One that nobody knew is new, and has lost nothing.
    had_other_disk: bool,
    /// Rounds in a row that have found all on enough disks.
    complete_rounds: u32,
    /// The last report of each store that is connected.
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
            complete_rounds: 0,
            reports: BTreeMap::new(),
        }
    }

    /// Whether this store may have held messages that it does not know of.
    pub(super) fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// A store that has lost no disk has reported: it knows the others from its own disk.
    fn has_heard_intact_store(&self) -> bool {
        self.reports.values().any(|report| !report.is_recovering)
    }

    /// The stores that the others count among those that may hold messages.
    fn reported_holders(&self) -> impl Iterator<Item = Node> + '_ {
        self.reports.values().flat_map(|report| report.holders.iter().copied())
    }

    /// In this round all these stores have said that all is on enough disks.
    fn is_round_complete(&self, holders: &BTreeSet<Node>) -> bool {
        let is_complete = |report: &RecoveryReport| report.round == self.round && report.is_replicated;
        holders.iter().all(|node| self.reports.get(node).is_some_and(is_complete))
    }
}

impl Queue {
    /// Whether what this store says of the messages that lie here is no evidence that there are no others.
    pub(super) fn is_recovering(&self) -> bool {
        self.shards.recovery.is_pending() && !self.planted(PlantedFault::BlankGrantCounts)
    }

    /// All other stores that may hold messages with idempotency keys, as far as this store and those that have reported know.
    fn recovery_holders(&self) -> BTreeSet<Node> {
        let own = self.message_holders();
        let reported = self.shards.recovery.reported_holders();
        own.chain(reported).filter(|node| *node != self.settings.node).collect()
    }

    /// Asks the others for their reports when it is time, and ends the recovery with the window of the keys.
    pub(super) fn continue_recovery(&mut self, now: Millis) {
        if !self.shards.recovery.is_pending() {
            return;
        }
        let window_ms = self.settings.idempotency_window_ms + WINDOW_MARGIN_MS;
        self.shards.recovery.is_window_over = now > self.shards.recovery.started_at + window_ms;
        if self.shards.recovery.is_window_over {
            self.adopt_named_terms();
            if !self.shards.are_terms_missing {
                return self.end_recovery(now);
            }
        }
        if now >= self.shards.recovery.next_round_at {
            self.shards.recovery.complete_rounds = 0;
            self.begin_recovery_round(now);
        }
    }

    fn begin_recovery_round(&mut self, now: Millis) {
        let recovery = &mut self.shards.recovery;
        recovery.round += 1;
        recovery.next_round_at = now + ROUND_INTERVAL_MS;
        let round = recovery.round;
        self.send_to_connected(&PeerMessage::RequestRecoveryReport { round });
    }

    /// A connection is open: that this store recovers is said on it before the two have reconciled.
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

    /// Another store recovers, and asks whether all that lies here lies on enough disks.
    pub(crate) fn recovery_report_requested(&mut self, now: Millis, from: Node, round: u64) {
        self.shards.are_used = true;
        self.set_peer_recovery(now, from, PeerRecovery::Pending);
        let report = RecoveryReport {
            round,
            is_replicated: self.is_all_replicated_for(from),
            knew_other_disk: self.peers.get(&from).is_some_and(|peer| peer.disk.is_replacement()),
            is_recovering: self.shards.recovery.is_pending(),
            holders: self.message_holders().collect(),
        };
        self.emit(Effect::Send { to: from, message: PeerMessage::RecoveryReport(report) });
    }

    /// Whether nothing that lies here needs what lay on the lost disk of another store. Of a replica its owner has to say so, and is asked
    /// as well: it has to know of this one.
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

    /// Another store has reported.
    pub(crate) fn recovery_reported(&mut self, now: Millis, from: Node, report: RecoveryReport) {
        if !self.shards.recovery.is_pending() {
            return;
        }
        self.shards.recovery.had_other_disk |= report.knew_other_disk;
        self.shards.recovery.reports.insert(from, report);
        self.adopt_named_terms();
        self.check_recovery(now);
    }

    /// A connection is lost: what was reported on it may not hold any more.
    pub(crate) fn forget_recovery_report(&mut self, node: Node) {
        self.shards.recovery.reports.remove(&node);
    }

    /// Ends the recovery once enough rounds have found all on enough disks.
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
        if !recovery.is_round_complete(&self.recovery_holders()) {
            return;
        }
        self.shards.recovery.complete_rounds += 1;
        if self.shards.recovery.complete_rounds >= COMPLETE_ROUNDS {
            self.end_recovery(now);
        } else {
            self.begin_recovery_round(now);
        }
    }

    /// No other store knew a disk of this one before the present one, and no more than may be lost were not asked: nothing of this store's is
    /// lost.
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
            "what lay on a lost disk lies on enough others, or none was lost: claims are granted"
        );
    }

    /// Another store has recovered.
    pub(crate) fn peer_recovered(&mut self, now: Millis, node: Node) {
        self.set_peer_recovery(now, node, PeerRecovery::None);
    }

    /// The shards of a store that recovers fall to others meanwhile.
    fn set_peer_recovery(&mut self, now: Millis, node: Node, recovery: PeerRecovery) {
        let peer = self.peers.entry(node).or_default();
        if std::mem::replace(&mut peer.recovery, recovery) != recovery {
            self.shards_may_move(now);
        }
    }

    /// How many connected stores recover from the loss of a disk, or may not have said yet whether they do.
    pub(super) fn recovering_peers(&self) -> usize {
        let has_not_said = |peer: &Peer| peer.recovery == PeerRecovery::Pending || !peer.is_reconciled;
        self.peers.values().filter(|peer| peer.is_connected && has_not_said(peer)).count()
    }

    /// Whether the terms are known that bind this store: those that it may have granted before it lost its disk. All stores have named
    /// theirs but fewer than may be lost, for this one's disk is among the losses; or all that have any. New stores have none, however
    /// many they are, and have granted none.
    pub(super) fn have_enough_named_terms(&self) -> bool {
        let holders = self.recovery_holders();
        let mut unnamed = holders.iter().filter(|node| !self.shards.terms_named_by.contains(node));
        let own_loss = usize::from(!self.is_new_store());
        let is_unnamed_by_few = unnamed.clone().count() + own_loss <= self.settings.replica_count;
        let are_others_blank = unnamed.all(|node| self.shards.blank_peers.contains(node));
        let recovery = &self.shards.recovery;
        // Where more disks were lost than may be, no store is left that names any. Once the window is over there is nothing to be named, and
        // all that are asked are heard: whoever holds a shard yet has named its term.
        let is_nothing_left = recovery.is_window_over && are_others_blank;
        let is_known = recovery.has_heard_intact_store() && (is_unnamed_by_few || are_others_blank);
        self.knows_members && (is_known || is_nothing_left)
    }
}
