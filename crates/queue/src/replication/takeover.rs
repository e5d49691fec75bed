//! Takeover: this store becomes the owner of messages whose former owner is gone or hands them over.

use super::{OBJECTION_WINDOW_MS, TAKEOVER_DELAY_MS};
use crate::entry::{Acceptance, Stage};
use crate::message::{Key, Millis, Node};
use crate::peer::Peer;
use crate::peer_message::{AcceptedHandover, HandoverOffer, Ownership};
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::failures::FailureSource;
use crate::queue::Queue;
use crate::record::Record;

/// Additional delay for each further store in the replica list before it takes over, because the one before it may be
/// about to.
const TAKEOVER_STAGGER_MS: Millis = 1500;

/// Interval at which the messages of a disconnected store are listed again.
const ORPHAN_LISTING_INTERVAL_MS: Millis = 3000;

/// Maximum number of takeovers in one turn. The rest is not delayed noticeably, and deliveries continue in between.
const MAX_TAKEOVERS_PER_TURN: usize = 500;

impl Queue {
    /// Accepts messages that their owner hands over.
    pub(super) fn accept_handover(&mut self, now: Millis, from: Node, offers: Vec<HandoverOffer>) {
        for offer in offers {
            let Some(entry) = self.entries.get_mut(&offer.key) else {
                self.outbox(from).handover_rejected.push(offer.key);
                continue;
            };
            if entry.owner == self.settings.node || entry.is_settled() {
                let accepted = AcceptedHandover { key: offer.key, term: entry.term };
                self.outbox(from).handover_accepted.push(accepted);
                continue;
            }
            entry.term = entry.term.max(offer.term);
            if entry.failures.raise(offer.attempts) {
                self.record_failed_attempts(offer.key, FailureSource::Own);
            }
            self.become_owner(now, offer.key, Some(from));
        }
    }

    /// Handles that the owner of these messages has lost them with its disk. Of several stores with replicas one
    /// takes over at once, and the others do so if it does not.
    pub(super) fn take_over_lost(&mut self, now: Millis, from: Node, keys: Vec<Key>) {
        for key in keys {
            let entry = self.entries.get(&key).filter(|entry| entry.owner == from);
            let Some(rank) = entry.map(|entry| self.takeover_rank(entry)) else { continue };
            if rank == 0 {
                self.take_over(now, key);
            } else {
                self.lost_by_owner.insert(key, from);
                self.under_replicated_since.get_or_insert(now);
                self.orphans.insert((now + rank * TAKEOVER_STAGGER_MS, key));
            }
        }
    }

    /// Takes over a message whose owner is gone.
    fn take_over(&mut self, now: Millis, key: Key) {
        let entry = self.entries.get(&key);
        if entry.is_some_and(|entry| entry.owner != self.settings.node && !entry.is_settled()) {
            self.become_owner(now, key, None);
        }
    }

    /// Makes this store the owner of a message, which it delivers from now on. `giver` is the store that hands it
    /// over, if any.
    fn become_owner(&mut self, now: Millis, key: Key, giver: Option<Node>) {
        let node = self.settings.node;
        let is_term_raised = !self.planted(PlantedFault::TermUnraised);
        let is_list_trusted = self.planted(PlantedFault::InheritedListTrusted);
        let awaits_objections = giver.is_none() && !self.planted(PlantedFault::TakenUnasked);
        let Some(entry) = self.entries.get(&key) else { return };
        // The replica list is the former owner's at the time when this store's replica was made, and may have changed
        // since. A listed replica counts once it is confirmed to this owner. No replica is expected at a store that
        // is gone or retiring.
        let is_expected = |replica: &Node| *replica != entry.owner && self.may_count_replicas_at(*replica);
        let expected: Vec<Node> = entry.replicas.iter().copied().filter(is_expected).collect();
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let former_owner = std::mem::replace(&mut entry.owner, node);
        entry.term += u32::from(is_term_raised);
        entry.replicas.retain(|replica| *replica != node && *replica != former_owner);
        entry.unconfirmed = if is_list_trusted { Vec::new() } else { expected };
        entry.replicas.extend(giver);
        if giver.is_none() && entry.digest.is_some() && entry.end.is_none() {
            entry.acceptance = Acceptance::Unchecked;
        }
        if awaits_objections {
            entry.not_before = entry.not_before.max(now + OBJECTION_WINDOW_MS);
        }
        let has_ended = entry.end.is_some();
        if !has_ended && entry.stage != Stage::InFlight {
            entry.stage = Stage::Waiting;
        }
        let ownership = Ownership { key, owner: node, term: entry.term, replicas: entry.replicas.clone() };
        self.reindex(key);
        // The former owner may return with an empty disk, or never, so other stores get a replica.
        self.check_replication(now, key);
        self.update_expiry(key);
        self.metrics.taken_over += 1;
        self.record_ownership(&ownership);
        match giver {
            Some(giver) => self.after_write(PendingWrite::TakenOverFrom(giver, key)),
            // All stores are notified, since one may hold a replica that is in no list any more and would take over
            // too.
            None => self.announce_ownership(&ownership),
        }
        if has_ended {
            self.queue_callback(key);
        } else {
            self.schedule(now, key);
        }
    }

    /// Announces the owner of a message to all connected stores.
    pub(super) fn announce_ownership(&mut self, ownership: &Ownership) {
        for peer in self.peers.values_mut().filter(|peer| peer.is_connected) {
            peer.outbox.ownership.push(ownership.clone());
        }
    }

    /// Writes the owner of a message to disk with a synced record, before anything that depends on it continues.
    pub(crate) fn record_ownership(&mut self, ownership: &Ownership) {
        let Ownership { key, owner, term, replicas } = ownership.clone();
        self.record(&Record::OwnerChanged { key, owner, term, replicas }, true);
    }

    /// Runs the checks that are due several times a second: disconnected stores, takeovers, replicas and ends.
    pub(crate) fn check_peers(&mut self, now: Millis) {
        if self.control_contact.is_reachable && self.knows_members {
            self.list_orphans(now);
            self.take_over_orphans(now);
        }
        self.release_suspended(now);
        self.check_replica_holders(now);
        self.check_retirements(now);
        self.transfer_ends(now);
    }

    /// Lists the messages of stores that are gone, each with the time at which this store takes it over.
    fn list_orphans(&mut self, now: Millis) {
        let is_lost = |peer: &Peer| {
            !peer.is_present()
                && now > peer.connection_changed_at + TAKEOVER_DELAY_MS
                && now >= peer.orphans_listed_at + ORPHAN_LISTING_INTERVAL_MS
        };
        let lost = self.peers.iter().filter(|(_, peer)| is_lost(peer));
        let lost: Vec<Node> = lost.map(|(node, _)| *node).collect();
        for node in lost {
            self.peers.entry(node).or_default().orphans_listed_at = now;
            let owned = self.owned_by_node(node);
            let orphans: Vec<(Millis, Key)> = owned
                .map(|(key, entry)| (now + self.takeover_rank(entry) * TAKEOVER_STAGGER_MS, key))
                .collect();
            self.orphans.extend(orphans);
        }
    }

    /// Takes over listed messages whose owner has not returned in time.
    fn take_over_orphans(&mut self, now: Millis) {
        for _ in 0..MAX_TAKEOVERS_PER_TURN {
            let due = self.orphans.first().copied().filter(|(at, _)| *at <= now);
            let Some((_, key)) = due else { break };
            self.orphans.pop_first();
            // The owner may have returned, or another store may own the message by now.
            let owner = self.owner_of(key);
            let is_back = self.peers.get(&owner).is_none_or(|peer| peer.is_connected);
            let is_lost = self.lost_by_owner.remove(&key) == Some(owner);
            if is_lost || !is_back {
                self.take_over(now, key);
            }
        }
    }
}
