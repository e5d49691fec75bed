//! The primary's part: heartbeats and the lease, writing to all replicas, and keeping as many replicas as losses are to be borne.
//! Here are its state and what it does at each event; the modules below have one concern each.

mod handover;
mod lease;
pub(crate) mod orders;
mod replicas;
mod view_change;
mod voters;

pub(crate) use view_change::Candidacy;

use crate::voter::Leaving;
use crate::{
    After, ControlGroup, Effect, GroupSettings, Heartbeat, HeartbeatAck, Message, Millis, Planted, Rank,
    RoleChange,
};
use crate::{NodeId, Verdict, View};
use orders::{Job, Waiting};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A replica that has not acked, or not stored, for so long is replaced where another is there; so is a voter.
pub(crate) const LOST: Millis = 1000;
/// One that has not acked at all since leadership began, so long: mostly the primary of before.
const ABSENT: Millis = 400;

/// What this node is by the newest view that it knows.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follow,
    Candidacy(Candidacy),
    Lead(Box<Lead>),
}

/// What a primary knows for as long as it leads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lead {
    pub heartbeat_at: Millis,
    pub since: Millis,
    pub acks: BTreeMap<NodeId, Millis>,
    pub unfilled: BTreeSet<NodeId>,
    pub job: Option<Job>,
    pub queue: VecDeque<Waiting>,
    /// Other replicas are asked for.
    pub change: Option<Candidacy>,
    pub asked: Millis,
    /// All replicas of this epoch hold the own state.
    pub settled: bool,
    pub leave_by: Option<Millis>,
    /// Their processes end.
    pub leaving: BTreeSet<NodeId>,
}

impl Lead {
    /// Or asked for, before it asked for the voters of before again.
    pub fn asks_for(&self, view: &View) -> bool {
        let asked =
            |asked: &View| asked == view || (asked.primary == view.primary && asked.epoch > view.epoch);
        self.asked_for().is_some_and(asked)
    }
    pub fn asked_for(&self) -> Option<&View> {
        self.change.as_ref().map(|change| &change.view)
    }
    /// When it acked last, and has been silent for longer than `most`.
    fn silent(&self, now: Millis, voter: &NodeId, most: Millis) -> bool {
        match self.acks.get(voter) {
            Some(at) => now > at + most,
            None => now > self.since + most.min(ABSENT),
        }
    }
    fn here(&self, now: Millis, voter: &NodeId) -> bool {
        self.acks.contains_key(voter) && !self.silent(now, voter, LOST)
    }
    pub fn next(&self, now: Millis, settings: &GroupSettings) -> Millis {
        let busy = self.job.is_some() || !self.queue.is_empty() || self.change.is_some();
        if busy || self.leave_by.is_some() {
            return self.heartbeat_at.min(now + settings.heartbeat_interval_ms / 4).max(now + 1);
        }
        self.heartbeat_at.max(now + 1)
    }
}

impl ControlGroup {
    pub(crate) fn begin_leading(&mut self, now: Millis) {
        let leaving = self.left.take().into_iter().collect();
        let lead = Lead { heartbeat_at: now, since: now, leaving, ..Lead::default() };
        self.role = Role::Lead(Box::new(lead));
        self.vote_for(self.settings.node_id);
        self.effects.push(Effect::RoleChanged { epoch: self.epoch(), change: RoleChange::BecamePrimary });
    }

    pub(crate) fn step_down(&mut self, now: Millis) {
        self.schedule_candidacy(now);
        let lies = self.planted(Planted::BegunForgotten);
        if let Role::Lead(lead) = std::mem::replace(&mut self.role, Role::Follow) {
            // It was to end, and another leads before it handed its role over.
            self.leaving = lead.leave_by.map(|by| Leaving { by, ask_at: now });
            let under_way = lead.job.and_then(|job| job.change);
            self.effects.extend(under_way.and_then(|order| order.answer(Verdict::Uncertain)));
            for waiting in lead.queue {
                self.effects.extend(waiting.given_up(lies));
            }
            self.effects.push(Effect::RoleChanged { epoch: self.epoch(), change: RoleChange::SteppedDown });
        }
    }

    pub(crate) fn acked(
        &mut self,
        now: Millis,
        from: NodeId,
        HeartbeatAck { epoch, sent_at, is_voting, has_state }: HeartbeatAck,
    ) {
        let mine = self.epoch();
        let by_arrival = self.planted(Planted::LeaseByArrival);
        let Role::Lead(lead) = &mut self.role else { return };
        if epoch != mine || sent_at > now {
            return;
        }
        if has_state {
            lead.unfilled.remove(&from);
        } else {
            lead.unfilled.insert(from);
        }
        if is_voting {
            let at = lead.acks.entry(from).or_default();
            *at = (*at).max(if by_arrival { now } else { sent_at });
        }
        self.lead(now);
    }

    /// What the primary does next.
    pub(crate) fn lead(&mut self, now: Millis) {
        if self.may_answer(now) && self.committed.as_ref() != Some(&self.state) {
            // Also what was stored everywhere while the lease had lapsed.
            self.commit(self.state.clone());
        }
        let Some(view) = self.view.clone() else { return };
        let leads = self.holds_lease(now);
        let learners: Vec<NodeId> =
            self.learners.iter().copied().filter(|l| !view.voters.contains(l)).collect();
        let Role::Lead(lead) = &mut self.role else { return };
        if now >= lead.heartbeat_at {
            lead.heartbeat_at = now + self.settings.heartbeat_interval_ms;
            let (committed, digest) =
                self.committed.as_ref().map_or((Rank::default(), 0), |c| (c.rank(), self.force_digest));
            let acks = if leads { lead.acks.clone() } else { BTreeMap::new() };
            for voter in view.voters.iter().chain(&learners).copied() {
                let acked = acks.get(&voter).copied();
                let heartbeat = Heartbeat {
                    epoch: view.epoch,
                    sent_at: now,
                    committed,
                    committed_digest: digest,
                    last_acked: acked,
                };
                self.send(voter, Message::Heartbeat(heartbeat));
            }
        }
        let Role::Lead(lead) = &self.role else { return };
        if let Some(by) = lead.leave_by {
            let idle = lead.job.is_none() && lead.change.is_none() && !self.half_replaced(now, lead, &view);
            if idle || now >= by {
                return self.hand_over(now, true);
            }
        }
        self.answer_late(now);
        let stuck = |job: &Job| job.missing.contains(&self.settings.node_id) && now > job.since + LOST;
        if matches!(&self.role, Role::Lead(lead) if lead.job.as_ref().is_some_and(stuck)) {
            return self.own_disk_failed(now);
        }
        self.take_back(now, &view);
        self.look_after_replicas(now, &view);
        self.begin_job(now, &view);
        let Role::Lead(lead) = &mut self.role else { return };
        // What was sent may be lost: it is sent again while it is wanted.
        let again = self.settings.heartbeat_interval_ms;
        if let Some(change) = lead.change.as_ref().filter(|_| now >= lead.asked + again) {
            let (wanted, before) = (change.view.clone(), change.before.voters.clone());
            lead.asked = now;
            if !change.grants.contains(&self.settings.node_id) {
                self.persist_view(wanted.clone(), After::OwnGrant { view: wanted.clone() });
            }
            self.propose(&wanted, &before, false);
        }
        let Role::Lead(lead) = &mut self.role else { return };
        if let Some(job) = lead.job.as_mut().filter(|job| now >= job.sent + again) {
            job.sent = now;
            let (missing, write_id, state) = (job.missing.clone(), job.write_id, job.state.clone());
            for to in missing {
                self.send(to, Message::Store { epoch: view.epoch, write_id, state: state.clone() });
            }
        }
    }
}
