//! Who owns a message and whether it has ended: two stores settle that, and the newer word holds.

use crate::effect::Effect;
use crate::entry::Stage;
use crate::message::{End, Key, Millis, Node};
use crate::peer_message::{EndNotice, EntrySummary, KeyRange, Ownership, PeerMessage};
use crate::planted::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use crate::repair::range;

impl Queue {
    pub(super) fn told_end(&mut self, now: Millis, notice: EndNotice) {
        let EndNotice { key, end, callback_pending: owed } = notice;
        let Some(entry) = self.entries.get(&key) else { return };
        if entry.end.is_some() {
            if !owed && entry.callback_pending {
                self.handle_peer_message(now, 0, PeerMessage::CallbacksDelivered(vec![key]));
            }
            return;
        }
        self.ended_elsewhere(now, key, end, owed);
    }

    fn ended_elsewhere(&mut self, now: Millis, key: Key, end: End, owed: bool) {
        let at = self.wall_clock_ms(now);
        if !self.planted(PlantedFault::EndUnkept) {
            self.record(
                &Record::Ended { key, end: end.clone(), callback_pending: owed, ended_at_ms: at },
                false,
            );
        }
        self.close_entry(now, key, end, owed);
    }

    pub(super) fn owned(&self, key: Key) -> Option<Ownership> {
        let e = self.entries.get(&key)?;
        Some(Ownership { key, owner: e.owner, term: e.term, replicas: e.replicas.clone() })
    }

    /// Another has taken over a message that is known here to have ended, or to be another's.
    pub(super) fn contradict(&mut self, now: Millis, from: Node, owned: &Ownership) {
        let Some(entry) = self.entries.get(&owned.key).filter(|_| owned.owner == from) else { return };
        let known = (entry.term, std::cmp::Reverse(entry.owner));
        if let Some(end) = entry.end.clone() {
            let owed = entry.callback_pending;
            self.to(from).ends.push(EndNotice { key: owned.key, end, callback_pending: owed });
            self.flush_ends_at.get_or_insert(now);
        } else if known > (owned.term, std::cmp::Reverse(from)) {
            let mine = self.owned(owned.key);
            self.to(from).own.extend(mine);
        }
    }

    /// Who owns a message: the higher term holds, and of equal ones the lower node.
    pub(super) fn owned_by(&mut self, now: Millis, owned: Ownership) {
        let Ownership { key, owner, term, replicas: copies } = owned;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let newer = term > entry.term || (term == entry.term && owner < entry.owner);
        self.metrics.stale_claims += u64::from(!newer && owner != entry.owner);
        if !newer || entry.end.is_some() && !entry.callback_pending {
            return;
        }
        (entry.owner, entry.term, entry.replicas) = (owner, term, copies.clone());
        if copies.contains(&self.settings.node) {
            self.counted_on_by(owner);
        }
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let ticket = entry.ticket.take();
        entry.persist_check_at.take().map(|at| self.persisting.remove(&(at, key)));
        let mine = owner == self.settings.node;
        let (ended, out) = (entry.end.is_some(), entry.stage == Stage::InFlight);
        if !ended && !out {
            entry.stage = if mine { Stage::Suspended } else { Stage::Replica };
        }
        self.record(&Record::OwnerChanged { key, owner, term, replicas: copies }, mine);
        self.reindex(key);
        self.handovers.remove(&key);
        self.unreleased.remove(&key);
        self.unschedule(key);
        self.report_unknown_outcome(ticket);
        if mine && ended {
            self.queue_callback(key);
        } else if mine && !out {
            // It was taken over here, and that was lost with the power. Others may have gone on since.
            self.unreleased.insert(key);
            self.release(now);
        }
    }

    /// What the other holds in common with this store: ends, owners and copies are set right by the newer.
    pub(super) fn standing(
        &mut self,
        now: Millis,
        from: Node,
        disk: u64,
        ranges: &[KeyRange],
        live: Vec<EntrySummary>,
    ) {
        let me = self.settings.node;
        self.seen_disk(from, disk);
        let (mut own, mut want, mut drop, mut lost) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let theirs: std::collections::HashSet<Key> = live.iter().map(|stands| stands.key).collect();
        for EntrySummary { key, owner, term, has_ended: ended } in live {
            let Some(entry) = self.entries.get(&key) else {
                match owner == from {
                    true => want.push(key),
                    // It holds a copy of what was lost with the disk before this one,
                    false
                        if owner == me && key.origin == me && !self.is_number_of_present_disk(key.number) =>
                    {
                        lost.push(key)
                    }
                    // or of what another had taken, this store has taken over, and its disk has lost,
                    false if owner == me && key.origin != me => lost.push(key),
                    // or of what this store has never finished taking: nobody was told that it is kept.
                    false if owner == me => drop.push(key),
                    false => {}
                }
                continue;
            };
            match (entry.end.clone(), ended) {
                (Some(_), true) => {}
                (Some(end), false) => {
                    let owed = entry.callback_pending;
                    self.to(from).ends.push(EndNotice { key, end, callback_pending: owed });
                }
                // Its end comes in answer to what this store says.
                (None, true) => {}
                (None, false) => {
                    let theirs = Ownership { key, owner, term, replicas: entry.replicas.clone() };
                    if (entry.term, std::cmp::Reverse(entry.owner)) > (term, std::cmp::Reverse(owner)) {
                        own.extend(self.owned(key));
                    } else if entry.owner == me
                        && entry.stage != Stage::Persisting
                        && !entry.replicas.contains(&from)
                    {
                        // Its copy was replaced by another: if that is safe. Else it is as good as a new one.
                        let enough = entry.repair_at.is_none() && entry.unconfirmed.is_empty();
                        let confirmed = self.is_confirmed(entry);
                        match enough {
                            true if confirmed => drop.push(key),
                            // Whether the other has it is not known before it has spoken.
                            true => {}
                            false => self.adopt(now, key, from),
                        }
                    } else {
                        self.owned_by(now, theirs);
                    }
                }
            }
        }
        // What it should hold and does not: it has lost its disk, or never got the copy.
        let asked: std::collections::HashSet<&KeyRange> = ranges.iter().collect();
        let both =
            self.owned_here().filter(|(key, _)| asked.contains(&range(me, *key)) && !theirs.contains(key));
        let both = both.filter(|(_, e)| e.stage != Stage::Persisting && e.replicas.contains(&from));
        let anew: Vec<Key> = both.map(|(key, _)| key).collect();
        anew.into_iter().for_each(|key| self.not_yet_on(now, key, from));
        // What it owned and does not name it has ended, never finished taking, or lost: it says which, for
        // this store has named it. Taken over on its silence alone it would run twice.
        self.tell_ends();
        for (note, empty) in [
            (PeerMessage::OwnershipChanged(own.clone()), own.is_empty()),
            (PeerMessage::RequestReplicas(want.clone()), want.is_empty()),
            (PeerMessage::Drop(drop.clone()), drop.is_empty()),
            (PeerMessage::LostWithDisk(lost.clone()), lost.is_empty()),
        ] {
            if !empty {
                self.emit(Effect::Send { to: from, message: note });
            }
        }
    }
}
