//! Takeover: this store becomes the owner of what another owned, which is gone or hands it over.

use super::{OBJECTION_WINDOW, TAKEOVER_DELAY};
use crate::entry::{Acceptance, Stage};
use crate::message::{Key, Millis, Node};
use crate::peer::Peer;
use crate::peer_message::{AcceptedHandover, HandoverOffer, Ownership};
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::failures::FailureSource;
use crate::queue::Queue;
use crate::record::Record;

/// Each next store in the list of replicas waits so much longer before it takes over, for the one before may be about to.
const TAKEOVER_STAGGER: Millis = 1500;

/// How often the messages of a store that is gone are listed again.
const ORPHAN_LISTING_INTERVAL: Millis = 3000;

/// Takeovers in one turn at the most: the rest is not late by that, and deliveries go on between.
const MAX_TAKEOVERS_PER_TURN: usize = 500;

impl Queue {
    /// Another store offers messages that it owned.
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

    /// The owner of these messages has lost them with its disk: of several stores that hold replicas one takes over at once,
    /// and the others if it does not.
    pub(super) fn take_over_lost(&mut self, now: Millis, from: Node, keys: Vec<Key>) {
        for key in keys {
            let entry = self.entries.get(&key).filter(|entry| entry.owner == from);
            let Some(rank) = entry.map(|entry| self.takeover_rank(entry)) else { continue };
            if rank == 0 {
                self.take_over(now, key);
            } else {
                self.lost_by_owner.insert(key, from);
                self.under_replicated_since.get_or_insert(now);
                self.orphans.insert((now + rank * TAKEOVER_STAGGER, key));
            }
        }
    }

    /// The owner of a message is gone: this store owns it from now on.
    fn take_over(&mut self, now: Millis, key: Key) {
        let entry = self.entries.get(&key);
        if entry.is_some_and(|entry| entry.owner != self.settings.node && !entry.is_settled()) {
            self.become_owner(now, key, None);
        }
    }

    /// This store delivers a message from now on. `giver`: the store that hands it over.
    fn become_owner(&mut self, now: Millis, key: Key, giver: Option<Node>) {
        let node = self.settings.node;
        let is_term_raised = !self.planted(PlantedFault::TermUnraised);
        let is_list_trusted = self.planted(PlantedFault::InheritedListTrusted);
        let awaits_objections = giver.is_none() && !self.planted(PlantedFault::TakenUnasked);
        let Some(entry) = self.entries.get(&key) else { return };
        // The list is as the former owner had it when this store's replica was made, and may have changed since: what it names
        // counts once it has confirmed to this owner. Of a store that is gone, or is being retired, nothing is expected.
        let is_expected = |replica: &Node| *replica != entry.owner && self.counts_replicas_at(*replica);
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
            entry.not_before = entry.not_before.max(now + OBJECTION_WINDOW);
        }
        let has_ended = entry.end.is_some();
        if !has_ended && entry.stage != Stage::InFlight {
            entry.stage = Stage::Waiting;
        }
        let ownership = Ownership { key, owner: node, term: entry.term, replicas: entry.replicas.clone() };
        self.reindex(key);
        // The former owner may come back with an empty disk, or not at all: others get a replica.
        self.check_replication(now, key);
        self.update_expiry(key);
        self.metrics.taken_over += 1;
        self.record_ownership(&ownership);
        match giver {
            Some(giver) => self.after_write(PendingWrite::TakenOverFrom(giver, key)),
            // All are notified, for another may hold a replica that nobody knows of any more, and would take over too.
            None => self.announce_ownership(&ownership),
        }
        if has_ended {
            self.queue_callback(key);
        } else {
            self.schedule(now, key);
        }
    }

    /// Tells all connected stores who owns a message.
    pub(super) fn announce_ownership(&mut self, ownership: &Ownership) {
        for peer in self.peers.values_mut().filter(|peer| peer.is_connected) {
            peer.outbox.ownership.push(ownership.clone());
        }
    }

    /// Writes to disk who owns a message, so that the record is synced before what depends on it goes on.
    pub(crate) fn record_ownership(&mut self, ownership: &Ownership) {
        let Ownership { key, owner, term, replicas } = ownership.clone();
        self.record(&Record::OwnerChanged { key, owner, term, replicas }, true);
    }

    /// What has to be looked at a few times a second: stores that are gone, messages to take over, replicas, and ends.
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

    /// Lists the messages of stores that are gone, with the time at which this store takes each over.
    fn list_orphans(&mut self, now: Millis) {
        let is_lost = |peer: &Peer| {
            !peer.is_present()
                && now > peer.connection_changed_at + TAKEOVER_DELAY
                && now >= peer.orphans_listed_at + ORPHAN_LISTING_INTERVAL
        };
        let lost = self.peers.iter().filter(|(_, peer)| is_lost(peer));
        let lost: Vec<Node> = lost.map(|(node, _)| *node).collect();
        for node in lost {
            self.peers.entry(node).or_default().orphans_listed_at = now;
            let owned = self.owned_by_node(node);
            let orphans: Vec<(Millis, Key)> =
                owned.map(|(key, entry)| (now + self.takeover_rank(entry) * TAKEOVER_STAGGER, key)).collect();
            self.orphans.extend(orphans);
        }
    }

    /// Takes over messages whose owner is not back in time.
    fn take_over_orphans(&mut self, now: Millis) {
        for _ in 0..MAX_TAKEOVERS_PER_TURN {
            let due = self.orphans.first().copied().filter(|(at, _)| *at <= now);
            let Some((_, key)) = due else { break };
            self.orphans.pop_first();
            // The owner may be back, or another store may own the message.
            let owner = self.owner_of(key);
            let is_back = self.peers.get(&owner).is_none_or(|peer| peer.is_connected);
            let is_lost = self.lost_by_owner.remove(&key) == Some(owner);
            if is_lost || !is_back {
                self.take_over(now, key);
            }
        }
    }
}
