//! A voter's part: granting views, hearing the primary, standing for the role, and learning after a lost disk.

use crate::primary::{Candidacy, Role};
use crate::{
    After, ControlGroup, ControlState, Effect, Heartbeat, HeartbeatAck, Message, Millis, NodeId, Planted,
    Rank, Record, RoleChange, View,
};
use std::collections::BTreeMap;

/// What a node that has lost its disk has been told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Learning {
    pub ask_at: Millis,
    pub told: BTreeMap<NodeId, View>,
}

const ASK: Millis = 200;

/// How a voter that ends waits to be taken out.
#[derive(Clone, Debug)]
pub(crate) struct Leaving {
    /// It ends all the same.
    pub by: Millis,
    pub ask_at: Millis,
}

impl Leaving {
    pub fn next(&self, now: Millis) -> Millis {
        self.by.min(self.ask_at).max(now + 1)
    }
}

/// More than half of the voters are among these.
pub(crate) fn majority<'a>(voters: &[NodeId], among: impl Iterator<Item = &'a NodeId> + Clone) -> bool {
    voters.iter().filter(|v| among.clone().any(|a| a == *v)).count() * 2 > voters.len()
}

impl ControlGroup {
    /// Until then the vote may be lent: to whoever was heard last, or to whom an earlier life of this process acked.
    pub(crate) fn free_at(&self) -> Millis {
        self.heard.max(self.started) + self.settings.grace_period_ms
    }

    /// It keeps its own vote for this epoch, for a while: others may grant it that at this moment.
    fn is_candidate_for(&self, now: Millis, epoch: u64) -> bool {
        let Role::Candidacy(stand) = &self.role else { return false };
        epoch <= stand.view.epoch && now < stand.since + self.settings.grace_period_ms && !stand.lost()
    }

    pub(crate) fn denied(&mut self, now: Millis, from: NodeId, view: View) {
        if let Role::Candidacy(stand) = &mut self.role {
            if view.epoch == stand.view.epoch && view != stand.view {
                stand.against.insert(from);
            }
        }
        self.adopt(now, view);
    }

    /// Someone wants to be primary, or the primary wants other replicas.
    pub(crate) fn proposed(&mut self, now: Millis, from: NodeId, view: View, released: bool) {
        if self.blank || from != view.primary {
            return;
        }
        let Some(mine) = self.view.clone() else { return };
        // Only what the one that ended has named counts as released: it may lead again, by a later epoch.
        let released = released && view.epoch == mine.epoch + 1;
        // A view may be known by hearsay while the vote is lent to another. Before the first epoch nobody led.
        let voted_for_it = self.voted_for == Some(from) || view.epoch == 1;
        let free = released || ((voted_for_it || now >= self.free_at()) && !self.holds_lease(now));
        if view == mine && free {
            return self.grant(from, view);
        }
        // By the epoch alone, one that missed a change of replicas and stood twice would seem to be the newer.
        let fit = (view.membership_epoch >= mine.membership_epoch
            || self.planted(Planted::MembershipEpochIgnored))
            && view.replicas.contains(&from);
        let twice = self.planted(Planted::GrantedTwice) && view.epoch == mine.epoch && view != mine;
        let persisted = view.epoch <= mine.epoch || !free || !fit || self.is_candidate_for(now, view.epoch);
        if persisted && !twice {
            return self.send(from, Message::Denied { view: mine });
        }
        (self.heard, self.heartbeat_heard) = (now, false);
        self.voted_for = Some(from);
        self.follow(now, view.clone());
        self.schedule_candidacy(now);
        self.grant(from, view);
    }

    /// Said only when it is on disk.
    fn grant(&mut self, to: NodeId, view: View) {
        if self.safe >= view.epoch {
            return self.send(to, Message::Granted { view });
        }
        if self.planted(Planted::GrantUnsynced) {
            self.send(to, Message::Granted { view: view.clone() });
        }
        self.persist_view(view.clone(), After::Grant { to, view });
    }

    /// Writes it, unless that is under way. Called again when it is asked for again: the disk may have refused it.
    pub(crate) fn persist_view(&mut self, view: View, after: After) {
        if !self.after.values().any(|pending| pending.view() == Some(&view)) {
            self.persist(Record::View(view), after);
        }
    }

    /// Takes a view over in memory; it is told on only when it is on disk.
    fn follow(&mut self, now: Millis, view: View) {
        self.step_down(now);
        self.left = None;
        if self.primary() != Some(view.primary) {
            self.contact.other_primary();
        }
        self.safe = self.safe.min(view.epoch.saturating_sub(1));
        self.view = Some(view);
    }

    /// A view that a majority has granted, or may: a higher epoch counts, and a newer list of replicas, each by itself. Who
    /// knows a list that is newer is not voted for by one that does not, and the other way round, so both have to be told.
    pub(crate) fn adopt(&mut self, now: Millis, view: View) {
        let Some(mine) = self.view.clone().filter(|_| !self.blank) else { return };
        if self.planted(Planted::NeverAdopts) {
            return;
        }
        let (higher, newer) = (view.epoch > mine.epoch, view.membership_epoch > mine.membership_epoch);
        // A primary was granted its epoch by more than half: no list that is newer, and not of a later epoch, can have been.
        let asked = matches!(&self.role, Role::Lead(lead) if !higher || lead.asks_for(&view));
        if asked || !(higher || newer) || (!newer && self.is_candidate_for(now, view.epoch)) {
            return;
        }
        let own =
            mine.membership_epoch > view.membership_epoch || self.planted(Planted::MembershipEpochIgnored);
        let (top, list) = (if higher { &view } else { &mine }, if own { &mine } else { &view });
        self.take_up(now, View { epoch: top.epoch, primary: top.primary, ..list.clone() });
    }

    fn take_up(&mut self, now: Millis, view: View) {
        self.follow(now, view.clone());
        // If it was granted, its primary is heard soon: a whole silence more would be too long to wait for one that was not.
        let wait =
            self.settings.heartbeat_interval_ms * 2 + self.random_below(self.settings.grace_period_ms / 3);
        self.candidate_at = (now + wait).max(self.free_at());
        self.persist_view(view.clone(), After::Adopted { view });
    }

    pub(crate) fn heartbeat_heard(&mut self, now: Millis, from: NodeId, heartbeat: Heartbeat) {
        let Heartbeat { epoch, sent_at, committed, committed_digest: digest, last_acked } = heartbeat;
        let ack = |is_voting, has_state| {
            Message::HeartbeatAck(HeartbeatAck { epoch, sent_at, is_voting, has_state })
        };
        if self.blank {
            return self.send(from, ack(false, false));
        }
        let Some(mine) = self.view.clone() else { return };
        if epoch < mine.epoch {
            if from != mine.primary {
                self.send(from, Message::Denied { view: mine });
            }
            // Else it has asked for the later one itself, and will hear that it is granted.
            return;
        }
        if epoch > mine.epoch || from != mine.primary {
            self.unknown_leader = Some((epoch, from));
            return self.send(from, Message::ViewRequest);
        }
        (self.heard, self.heartbeat_heard) = (now, true);
        self.schedule_candidacy(now);
        if self.safe < mine.epoch {
            return self.persist_view(mine.clone(), After::Adopted { view: mine });
        }
        // The own vote is lent from here on: a candidacy that was under way does not count with it any more.
        self.vote_for(from);
        self.role = Role::Follow;
        // One that was taken out as it ends does not join again.
        let votes = !self.released || mine.voters.contains(&self.settings.node_id);
        last_acked.into_iter().for_each(|sent_at| self.contact.confirmed(sent_at));
        self.contact.acked(sent_at, now);
        self.send(from, ack(votes, !self.unfilled));
        if self.committed.as_ref().map_or(Rank::default(), ControlState::rank) < committed {
            let same = self.state.digest() == digest || self.planted(Planted::DigestUnheeded);
            if self.state.rank() == committed && same {
                self.commit(self.state.clone());
            } else {
                self.send(from, Message::StateRequest);
            }
        }
    }

    /// The primary wants this written; also to one that is to become a replica.
    pub(crate) fn store(&mut self, from: NodeId, epoch: u64, write_id: u64, state: ControlState) {
        if self.blank {
            return;
        }
        let Some(mine) = self.view.clone() else { return };
        if epoch < mine.epoch {
            if from != mine.primary {
                self.send(from, Message::Denied { view: mine });
            }
            return;
        }
        if epoch > mine.epoch || from != mine.primary {
            self.unknown_leader = Some((epoch, from));
            return self.send(from, Message::ViewRequest);
        }
        let under_way =
            |a: &After| matches!(a, After::Stored { to, write_id: w, .. } if *to == from && *w == write_id);
        if !self.after.values().any(under_way) {
            let after = After::Stored { to: from, epoch, write_id, state: state.clone() };
            self.persist(Record::ControlState(state), after);
        }
    }

    /// Nobody has been heard for long enough: a replica stands for the role.
    pub(crate) fn stand(&mut self, now: Millis) {
        let Some(mine) = self.view.clone() else { return };
        if now < self.candidate_at || self.released || self.leaving.is_some() {
            return;
        }
        if let Role::Candidacy(stand) = &self.role {
            // Asked again: a proposal, or its answer, was lost. The same one, for it may have been granted.
            let (view, released) = (stand.view.clone(), stand.released);
            self.candidate_at = now + self.settings.heartbeat_interval_ms;
            if view == mine && self.safe < view.epoch {
                self.persist_view(view.clone(), After::OwnGrant { view: view.clone() });
            }
            return self.propose(&view, &[], released);
        }
        self.schedule_candidacy(now);
        if now < self.free_at() && self.voted_for != Some(self.settings.node_id) {
            return;
        }
        if mine.replicas.contains(&self.settings.node_id)
            && (!self.unfilled || self.planted(Planted::UnfilledCandidate))
        {
            return self.become_candidate(now, false);
        }
        // A change of replicas may be known to others than those that it names: only these can stand by it.
        for replica in mine.replicas.clone() {
            self.send(replica, Message::ViewReply { view: Some(mine.clone()) });
        }
    }

    /// Asks the others first: the own vote is given when theirs suffice, so one that is cut off raises no epochs.
    fn become_candidate(&mut self, now: Millis, released: bool) {
        let Some(mine) = self.view.clone() else { return };
        let me = self.settings.node_id;
        // The replicas stay those of before, the lost one too: it may yet come back and stand, should this one end.
        let view = View { epoch: mine.epoch + 1, primary: me, ..mine.clone() };
        self.role = Role::Candidacy(Candidacy::new(now, view.clone(), mine, released));
        self.candidate_at = now + self.settings.heartbeat_interval_ms;
        self.effects.push(Effect::RoleChanged { epoch: view.epoch, change: RoleChange::BecameCandidate });
        self.propose(&view, &[], released);
        self.count_grants(now);
    }

    /// The first view, which all reckon alike.
    pub(crate) fn become_first_candidate(&mut self, now: Millis, view: View) {
        self.role = Role::Candidacy(Candidacy::new(now, view.clone(), view.clone(), false));
        self.candidate_at = now + self.settings.heartbeat_interval_ms;
        self.propose(&view, &[], false);
        self.persist_view(view.clone(), After::OwnGrant { view });
    }

    /// Also to those who vote until then: a majority of them has to grant it too.
    pub(crate) fn propose(&mut self, view: &View, before: &[NodeId], released: bool) {
        let until_then = before.iter().filter(|v| !view.voters.contains(v));
        for voter in view.voters.iter().chain(until_then).copied() {
            self.send(voter, Message::Propose { view: view.clone(), by_handover: released });
        }
    }

    /// A candidate's grants: with enough of the others' it gives its own, and with that on disk it leads.
    pub(crate) fn count_grants(&mut self, now: Millis) {
        let me = self.settings.node_id;
        let Role::Candidacy(stand) = &self.role else { return };
        let alone = self.planted(Planted::OwnVoteEnough);
        if !alone && !stand.won(Some(me)) {
            return;
        }
        if (alone || stand.won(None)) && self.safe >= stand.view.epoch {
            self.begin_leading(now);
            return self.lead(now);
        }
        let view = stand.view.clone();
        if self.view.as_ref() != Some(&view) {
            self.view = Some(view.clone());
            self.persist_view(view.clone(), After::OwnGrant { view });
        }
    }

    /// The primary that ends has named this one.
    pub(crate) fn handed(&mut self, now: Millis, from: NodeId, epoch: u64, ends: bool) {
        let me = self.settings.node_id;
        let by_it =
            |w: &View| w.epoch == epoch && w.primary == from && w.replicas.contains(&me) && from != me;
        if self.view.as_ref().is_some_and(by_it) && !self.blank && !self.unfilled && !self.released {
            self.left = Some(from).filter(|_| ends);
            self.become_candidate(now, true);
        }
    }

    // ---- Leaving for good ----

    /// Told to end, as a voter of an even group: one that comes in its place has come before it goes. An even group bears no
    /// more losses without it, and as a voter that is gone it would count as lost. In an odd one it is taken for a restart.
    pub(crate) fn leave(&mut self, now: Millis, by: Millis) -> bool {
        let surplus =
            |w: &View| w.voters.len().is_multiple_of(2) && w.voters.contains(&self.settings.node_id);
        let heard = self.heartbeat_heard && now < self.heard + self.settings.grace_period_ms;
        if self.blank || !heard || !self.view.as_ref().is_some_and(surplus) {
            return false;
        }
        self.leaving = Some(Leaving { by, ask_at: now });
        self.take_leave(now);
        true
    }

    /// Out of the voters, and with that on disk, or not in time: the process may end. Until then it votes as ever.
    pub(crate) fn take_leave(&mut self, now: Millis) {
        let Some(view) = self.view.clone() else { return };
        let Some(leaving) = &mut self.leaving else { return };
        let out = !view.voters.contains(&self.settings.node_id) && self.safe >= view.epoch;
        if out || now >= leaving.by {
            self.leaving = None;
            self.released = true;
            return self.effects.push(Effect::ReadyToExit);
        }
        if now >= leaving.ask_at {
            leaving.ask_at = now + self.settings.heartbeat_interval_ms / 4;
            self.send(view.primary, Message::Leave { epoch: view.epoch });
        }
    }

    /// A process that was to end is there again.
    pub(crate) fn is_back(&mut self, voter: NodeId) {
        self.left = self.left.filter(|left| *left != voter);
        if let Role::Lead(lead) = &mut self.role {
            lead.leaving.remove(&voter);
        }
    }

    // ---- After a lost disk ----

    pub(crate) fn ask_around(&mut self, now: Millis) {
        if now < self.learning.ask_at {
            return;
        }
        self.learning.ask_at = now + ASK;
        let mut all = self.settings.seeds.clone();
        all.extend(self.learning.told.values().flat_map(|w| w.voters.iter().copied()));
        all.extend(self.links.iter().filter(|(_, up)| **up).map(|(voter, _)| *voter));
        all.sort();
        all.dedup();
        for voter in all {
            self.send(voter, Message::ViewRequest);
        }
    }

    /// What is asked for counts too: the asker may have granted it, and lost its disk.
    pub(crate) fn tell_view(&mut self, to: NodeId) {
        let asked = match &self.role {
            Role::Lead(lead) => lead.asked_for(),
            Role::Candidacy(stand) => Some(&stand.view),
            Role::Follow => None,
        };
        let view = asked.or(self.view.as_ref()).filter(|_| !self.blank).cloned();
        self.send(to, Message::ViewReply { view });
    }

    pub(crate) fn view_told(&mut self, now: Millis, from: NodeId, view: Option<View>) {
        let Some(view) = view else { return };
        if !self.blank {
            // Two have stood for the same epoch, and the other was granted it: this one's can't be any more.
            let won = self.unknown_leader == Some((view.epoch, from)) && view.primary == from;
            if won && view.epoch == self.epoch() && self.view.as_ref() != Some(&view) {
                return self.take_up(now, view);
            }
            return self.adopt(now, view);
        }
        self.learning.told.insert(from, view);
        let Some(highest) = self.learning.told.values().max_by_key(|w| w.epoch).cloned() else { return };
        let others = self.learning.told.keys().filter(|v| **v != self.settings.node_id);
        if !majority(&highest.voters, others) {
            return;
        }
        // What this node has granted and forgotten, some of them know, or it was never granted by enough.
        // Named as a replica it is unfilled: it votes, but does not stand before the primary has filled it.
        let newest = self
            .learning
            .told
            .values()
            .max_by_key(|w| w.membership_epoch)
            .cloned()
            .unwrap_or(highest.clone());
        self.blank = false;
        self.started = now;
        self.heard = now;
        self.take_up(now, View { epoch: highest.epoch, primary: highest.primary, ..newest });
    }
}
