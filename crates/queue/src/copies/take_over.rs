//! Taking over what another store owned: one that is gone, or one that gives it away in order.

use super::{Peer, ASK, GONE};
use crate::entry::Stage;
use crate::message::{Key, Millis, Node};
use crate::peer_message::{AcceptedHandover, HandoverOffer, Ownership};
use crate::pending_writes::PendingWrite;
use crate::planted::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;

/// The next in line waits so much longer, for the first may be about to take over.
pub(super) const LINE: Millis = 1500;

impl Queue {
    /// This store delivers a message from now on. `from`: the one that gives it away in order.
    pub(super) fn take_over(&mut self, now: Millis, key: Key, from: Option<(Node, HandoverOffer)>) {
        let me = self.settings.node;
        let raised = u32::from(!self.planted(PlantedFault::TermUnraised));
        let asks = !self.planted(PlantedFault::TakenUnasked);
        let giver = from.map(|(node, _)| node);
        let Some(entry) = self.entries.get_mut(&key) else {
            if let Some(giver) = giver {
                self.to(giver).not_handed.push(key);
            }
            return;
        };
        let before = entry.owner;
        if before == me || (entry.end.is_some() && !entry.callback_pending) {
            let term = entry.term;
            if let Some(giver) = giver {
                self.to(giver).handed.push(AcceptedHandover { key, term });
            }
            return;
        }
        entry.owner = me;
        if let Some((_, handed)) = from {
            (entry.term, entry.failed_attempts) =
                (entry.term.max(handed.term), entry.failed_attempts.max(handed.attempts));
        }
        entry.term += raised;
        entry.replicas.retain(|node| *node != me && *node != before);
        entry.replicas.extend(giver);
        let (term, ended) = (entry.term, entry.end.is_some());
        if giver.is_none() && asks {
            entry.not_before = entry.not_before.max(now + ASK);
        }
        entry.unconfirmed.clear();
        let copies = entry.replicas.clone();
        if !ended && entry.stage != Stage::InFlight {
            entry.stage = Stage::Waiting;
        }
        self.reindex(key);
        // The one that had it may come back with an empty disk, or not at all: others get a copy.
        self.look_at_copies(now, key);
        self.update_expiry(key);
        self.metrics.taken_over += 1;
        self.record(&Record::OwnerChanged { key, owner: me, term, replicas: copies.clone() }, true);
        match giver {
            Some(giver) => self.after_write(PendingWrite::TakenOverFrom(giver, key)),
            None => {
                // All are told, for another may hold a copy that nobody knows of any more, and would take
                // over too.
                let owned = Ownership { key, owner: me, term, replicas: copies.clone() };
                let all = self.peers.values_mut().filter(|p| p.connected);
                all.for_each(|p| p.out.own.push(owned.clone()));
            }
        }
        if ended {
            self.queue_callback(key);
        } else {
            self.schedule(now, key);
        }
    }

    /// Looks for stores that are gone, and for messages that have waited long enough for those that are not
    /// back.
    pub(crate) fn look_after(&mut self, now: Millis) {
        let heard = self.control_contact.is_heard && self.knows_members;
        let gone =
            |p: &Peer| heard && !p.connected && !p.listed && now > p.since + GONE && now >= p.looked + 3000;
        let gone: Vec<Node> = self.peers.iter().filter(|(_, p)| gone(p)).map(|(node, _)| *node).collect();
        for node in gone {
            self.peers.entry(node).or_default().looked = now;
            let mut orphans: Vec<(u64, Key)> =
                self.owned_by_node(node).map(|(key, e)| (self.line(e), key)).collect();
            orphans.sort_unstable();
            self.orphans.extend(orphans.into_iter().map(|(line, key)| (now + line * LINE, key)));
        }
        // So many in one turn: the rest is not late by that, and deliveries go on between.
        for _ in 0..500 {
            let Some((_, key)) = self.orphans.first().copied().filter(|(at, _)| *at <= now) else { break };
            self.orphans.pop_first();
            // Whoever owns it may be back, or another.
            let owner = self.owner(key);
            let back = self.peers.get(&owner).is_none_or(|p| p.connected);
            let lost = self.lost_by_owner.remove(&key);
            if heard && (lost == Some(owner) || !back) {
                self.take_over(now, key, None);
            }
        }
        self.release(now);
        self.look_at_holders(now);
        self.look_after_retiring(now);
        self.pass_ends_on(now);
    }
}
