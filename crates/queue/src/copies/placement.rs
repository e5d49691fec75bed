//! Where the copies of a message lie, and how they are made and confirmed.

use super::COPY_WAIT;
use crate::effect::Effect;
use crate::entry::Stage;
use crate::message::{Key, Millis, Node, ReplicatedMessage};
use crate::peer_message::{EndNotice, PeerMessage};
use crate::pending_writes::PendingWrite;
use crate::planted::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use std::collections::BTreeSet;

/// One that is not safe by then is taken back: its edge gives up soon (400 ms) and asks another store, and a
/// message that two stores have taken runs twice.
const GIVE_UP: u64 = 360;

/// One that did not confirm a copy in time is asked only after the others for so long.
const SLOW: Millis = 1500;

impl Queue {
    /// Zone and region of a store.
    fn place(&self, zone: usize) -> (usize, usize) {
        (zone, self.settings.region_of_zone.get(zone).copied().unwrap_or(usize::MAX))
    }

    /// Where so many copies of a message go, beside those that lie at `stay`: into as many zones and regions as have to be
    /// borne and one more, and nearby from then on, for bytes between zones are dear. Where too few are there, into what is.
    pub(crate) fn choose(&self, now: Millis, stay: &[Node], not: &[Node], wanted: usize) -> Vec<Node> {
        let own = self.place(self.settings.zone);
        let mut places = vec![own];
        places.extend(stay.iter().filter_map(|node| self.peers.get(node)).map(|p| self.place(p.zone)));
        let mut chosen: Vec<Node> = Vec::new();
        for _ in 0..wanted {
            let zones: BTreeSet<usize> = places.iter().map(|(zone, _)| *zone).collect();
            let regions: BTreeSet<usize> = places.iter().map(|(_, region)| *region).collect();
            let bear = self.settings.tolerated_losses;
            let (more_zones, more_regions) = (zones.len() <= bear.zones, regions.len() <= bear.regions);
            let able = self.peers.iter().filter(|(node, p)| {
                p.connected
                    && !p.leaving
                    && !not.contains(node)
                    && !stay.contains(node)
                    && !chosen.contains(node)
            });
            let next = able.min_by_key(|(node, p)| {
                let (zone, region) = self.place(p.zone);
                // Safe first: one that is slow, in another zone, is waited for rather than two copies lost with one zone.
                (
                    more_regions && regions.contains(&region),
                    more_zones && zones.contains(&zone),
                    now < p.full_until,
                    region != own.1,
                    zone != own.0,
                    // In a ring from this store on, so that copies are spread over all.
                    node.wrapping_sub(self.settings.node),
                )
            });
            let Some((node, peer)) = next else { break };
            places.push(self.place(peer.zone));
            chosen.push(*node);
        }
        chosen
    }

    pub(crate) fn copy_to(&mut self, to: Node, shared: ReplicatedMessage) {
        self.to(to).copy.push(shared);
    }

    pub(crate) fn shared(&self, now: Millis, key: Key) -> Option<ReplicatedMessage> {
        let e = self.entries.get(&key)?;
        Some(ReplicatedMessage {
            key,
            owner: e.owner,
            term: e.term,
            replicas: e.replicas.clone(),
            due_in_ms: e.due_at.saturating_sub(now),
            waited_ms: e.age_ms(now),
            attempts: e.failed_attempts,
            message: e.message.clone(),
        })
    }

    /// A copy of what is live or has a call-back owed; the end follows the message.
    pub(crate) fn copy_anew(&mut self, now: Millis, key: Key, to: Node) {
        let own = self
            .entries
            .get(&key)
            .filter(|e| e.owner == self.settings.node && (e.end.is_none() || e.callback_pending));
        let Some((end, owed)) = own.map(|e| (e.end.clone(), e.callback_pending)) else { return };
        if let Some(shared) = self.shared(now, key) {
            self.metrics.replicas_resent += 1;
            self.copy_to(to, shared);
        }
        if let Some(end) = end {
            self.to(to).ends.push(EndNotice { key, end, callback_pending: owed });
            self.flush_ends_at.get_or_insert(now + COPY_WAIT);
        }
    }

    pub(crate) fn look_after_landing(&mut self, now: Millis) {
        while let Some((at, key)) = self.persisting.first().copied().filter(|(at, _)| *at <= now) {
            self.persisting.remove(&(at, key));
            self.copy_elsewhere(now, key, None);
        }
    }

    /// A copy that does not come is asked of another store. The slow one may have it all the same and is told
    /// to drop it: it would else take over together with the other. `from`: it is known that this one has no
    /// copy.
    pub(super) fn copy_elsewhere(&mut self, now: Millis, key: Key, from: Option<Node>) {
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.stage == Stage::Persisting) else { return };
        if let Some(at) = entry.persist_check_at.take() {
            self.persisting.remove(&(at, key));
        }
        let gives_up = entry.age_ms(now) >= GIVE_UP;
        let next = (now + COPY_WAIT).min(now + GIVE_UP.saturating_sub(entry.age_ms(now))).max(now + 1);
        let me = self.settings.node;
        let slow = |node: &Node| *node != me && from.is_none_or(|from| from == *node);
        let slow: Vec<Node> = entry.unconfirmed.iter().copied().filter(slow).collect();
        let copies = entry.replicas.clone();
        if gives_up {
            return self.roll_back(key);
        }
        entry.persist_check_at = Some(next);
        self.persisting.insert((next, key));
        if entry.order.awaits_answers {
            // Nothing has been sent yet: whoever is gone by then is replaced at the next look.
            return;
        }
        let list_stays = self.planted(PlantedFault::OldCopyList);
        for from in slow {
            // Others get the copies of the next messages: each would wait here as long as this one has.
            self.peers.entry(from).or_default().full_until = now + SLOW;
            let stay: Vec<Node> = copies.iter().copied().filter(|node| *node != from).collect();
            let Some(to) = self.choose(now, &stay, &copies, 1).first().copied() else { continue };
            let Some(entry) = self.entries.get_mut(&key) else { return };
            entry.unconfirmed.iter_mut().filter(|m| **m == from).for_each(|m| *m = to);
            entry.replicas.iter_mut().filter(|c| **c == from).for_each(|c| *c = to);
            // On disk before the answer: after a restart those that hold copies are waited for, and no
            // others.
            let (term, copies) = (entry.term, entry.replicas.clone());
            if !list_stays {
                entry.unconfirmed.push(me);
                self.record(&Record::OwnerChanged { key, owner: me, term, replicas: copies }, true);
                self.after_write(PendingWrite::Ownership(key));
            }
            if !self.planted(PlantedFault::DropUnsent) {
                self.to(from).drop.push(key);
            }
            if let Some(shared) = self.shared(now, key) {
                self.copy_to(to, shared);
            }
        }
    }

    pub(super) fn keep_copy(&mut self, now: Millis, from: Node, shared: ReplicatedMessage) {
        let key = shared.key;
        self.counted_on_by(from);
        if self.is_disk_stalled(now) && !self.entries.contains_key(&key) {
            return self.to(from).not_copied.push(key);
        }
        let known = self.entries.get(&key).map(|e| (e.term, e.end.clone(), e.callback_pending));
        match known {
            Some((_, Some(end), owed)) => {
                self.to(from).ends.push(EndNotice { key, end, callback_pending: owed });
                self.to(from).copied.push(key);
                self.flush_ends_at.get_or_insert(now);
            }
            Some((term, None, _)) if (term, std::cmp::Reverse(self.owner(key))) > shared.rank() => {
                self.metrics.stale_claims += 1;
                if let Some(owned) = self.owned(key) {
                    self.emit(Effect::Send { to: from, message: PeerMessage::OwnershipChanged(vec![owned]) });
                }
            }
            _ => {
                self.record(&Record::Put { replica: shared.clone() }, true);
                if self.planted(PlantedFault::CopyUnsynced) {
                    self.to(from).copied.push(key);
                } else {
                    self.after_write(PendingWrite::ReplicaFor(from, key));
                }
                self.insert_replica_of(now, &shared, Stage::Replica);
            }
        }
    }
}
