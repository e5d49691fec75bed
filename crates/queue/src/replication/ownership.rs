//! Ownership and ends of messages: if two stores disagree, both exchange what they know and the newer claim wins.

use crate::entry::Stage;
use crate::message::{End, Key, Millis, Node};
use crate::peer_message::{EndNotice, GroupPosition, Ownership};
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use std::cmp::Reverse;

/// Orders the claims to own a message; the greatest one wins. It is the one with the higher term, or among equal
/// terms the one of the lower node number.
pub(super) fn claim(term: u32, owner: Node) -> (u32, Reverse<Node>) {
    (term, Reverse(owner))
}

impl Queue {
    /// The owner, term and replicas of a message, as known here.
    pub(super) fn ownership(&self, key: Key) -> Option<Ownership> {
        let entry = self.entries.get(&key)?;
        Some(Ownership { key, owner: entry.owner, term: entry.term, replicas: entry.replicas.clone() })
    }

    /// The end of a message in the form in which it is sent to other stores; `None` while the message is live or
    /// unknown.
    pub(super) fn end_notice(&self, key: Key) -> Option<EndNotice> {
        let entry = self.entries.get(&key)?;
        Some(EndNotice { key, end: entry.end.clone()?, callback_pending: entry.callback_pending })
    }

    /// Applies the ends of messages that another store has reported.
    pub(super) fn apply_end_notices(&mut self, now: Millis, notices: Vec<EndNotice>) {
        for EndNotice { key, end, callback_pending } in notices {
            let Some(entry) = self.entries.get(&key) else { continue };
            if entry.end.is_none() {
                self.close_with_end(now, key, end, callback_pending);
            } else if !callback_pending && entry.callback_pending {
                self.callback_delivered_elsewhere(key);
            }
        }
    }

    fn close_with_end(&mut self, now: Millis, key: Key, end: End, callback_pending: bool) {
        self.record_end(now, key, &end, callback_pending);
        self.close_entry(now, key, end, callback_pending);
    }

    /// Handles that another store has delivered the callback of a message. If the message has not ended here, its
    /// whole content is still needed and nothing is done.
    pub(super) fn callback_delivered_elsewhere(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.end.is_some()) else { return };
        entry.callback_pending = false;
        entry.discard_content();
        self.reindex(key);
        self.record(&Record::CallbackDelivered { key }, false);
        self.track_end(key);
    }

    /// Applies the ownership claims that another store has sent.
    pub(super) fn apply_ownership_changes(&mut self, now: Millis, from: Node, claims: Vec<Ownership>) {
        for ownership in claims {
            if ownership.owner == from {
                self.reject_stale_claim(now, &ownership);
            }
            self.apply_ownership(now, ownership);
        }
    }

    /// Notifies a store that claims a message if the message is known here to have ended, or to have a newer owner.
    fn reject_stale_claim(&mut self, now: Millis, claimed: &Ownership) {
        let Some(entry) = self.entries.get(&claimed.key) else { return };
        let (term, owner) = (entry.term, entry.owner);
        if let Some(notice) = self.end_notice(claimed.key) {
            self.outbox(claimed.owner).ends.push(notice);
            self.flush_ends_at.get_or_insert(now);
        } else if claim(term, owner) > claim(claimed.term, claimed.owner) {
            let known = self.ownership(claimed.key);
            self.outbox(claimed.owner).ownership.extend(known);
        } else {
            // The claimant may not know of attempts that failed at this or another store.
            self.send_failed_attempts(claimed.owner, claimed.key);
        }
    }

    /// Applies an ownership claim if it is newer than the one known here.
    pub(super) fn apply_ownership(&mut self, now: Millis, ownership: Ownership) {
        let Ownership { key, owner, term, mut replicas } = ownership;
        if owner == self.settings.node {
            replicas.retain(|replica| *replica != owner);
        }
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let is_newer = claim(term, owner) > claim(entry.term, entry.owner);
        self.metrics.stale_claims += u64::from(!is_newer && owner != entry.owner);
        if !is_newer || entry.is_settled() {
            return;
        }
        entry.owner = owner;
        entry.term = term;
        entry.replicas.clone_from(&replicas);
        // The former owner may have lost the message with its disk, but now another store owns it.
        self.lost_by_owner.remove(&key);
        if replicas.contains(&self.settings.node) {
            self.needs_replicas_again(owner);
        }
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let ticket = entry.ticket.take();
        if let Some(at) = entry.persist_check_at.take() {
            self.persisting.remove(&(at, key));
        }
        let is_owned_here = owner == self.settings.node;
        let has_ended = entry.end.is_some();
        let is_in_flight = entry.stage == Stage::InFlight;
        if !has_ended && !is_in_flight {
            entry.stage = if is_owned_here { Stage::Suspended } else { Stage::Replica };
        }
        self.record(&Record::OwnerChanged { key, owner, term, replicas }, is_owned_here);
        self.reindex(key);
        self.handovers.remove(&key);
        self.unreleased.remove(&key);
        self.unschedule(key);
        self.report_unknown_outcome(ticket);
        if is_owned_here && has_ended {
            self.queue_callback(key);
        } else if is_owned_here && !is_in_flight {
            // This store had taken the message over and has lost the record in a power loss. Other stores may have
            // continued since.
            self.mark_key_unchecked(key);
            self.unreleased.insert(key);
            self.release_suspended(now);
        }
        if is_owned_here {
            self.mark_replicas_unconfirmed(now, key);
        }
    }

    /// Marks the replicas of a message as unconfirmed, because this store owns it by another store's account: the
    /// listed stores have not confirmed their replicas to this owner.
    fn mark_replicas_unconfirmed(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        let expected = entry.replicas.iter().copied().filter(|replica| self.may_count_replicas_at(*replica));
        let expected: Vec<Node> = expected.collect();
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.unconfirmed = expected;
        }
        self.check_replication(now, key);
    }

    /// Withdraws the confirmation of a replica that was dropped, whether its record is still to reach the disk or the
    /// confirmation is to be sent at the end of this turn. The owner may have sent another replica since, which is
    /// not on disk yet or was rejected.
    fn cancel_replica_confirmation(&mut self, owner: Node, key: Key) {
        if !self.planted(PlantedFault::DroppedConfirmed) {
            self.pending_writes.cancel_replica(key);
            self.outbox(owner).replicated.retain(|confirmed| *confirmed != key);
        }
    }

    /// Removes messages that their owner has discarded.
    pub(super) fn apply_drops(&mut self, from: Node, keys: Vec<Key>) {
        for key in keys {
            let Some(entry) = self.entries.get(&key).filter(|entry| entry.end.is_none()) else { continue };
            if entry.owner == from {
                let slot = entry.order_slot.as_ref();
                let position = slot.map(|slot| {
                    let position = GroupPosition { accepted_at_ms: slot.accepted_at_ms, key };
                    (slot.ordering_key.clone(), position)
                });
                self.remove(key);
                // The message may go on elsewhere: messages of its group wait until the other stores have been queried.
                if let Some((group, position)) = position {
                    self.ordering.group_mut(&group).set_elsewhere(position);
                }
                self.record(&Record::Dropped { key }, false);
                self.cancel_replica_confirmation(from, key);
            } else {
                self.metrics.stale_claims += 1;
            }
        }
    }
}
