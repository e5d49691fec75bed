//! The primary's part: heartbeats and the lease, writing to all copies, and keeping as many copies as losses are to be borne.

use crate::voter::{majority, Leaving};
use crate::{
    After, Applied, Change, ControlGroup, ControlState, Effect, GroupSettings, Heartbeat, Millis, Planted,
    Rank, Record, Signal, Stage,
};
use crate::{Verdict, View, Voter};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A write waits so long for its turn, and is answered at the latest after so long.
pub(crate) const TURN: Millis = 1500;
pub(crate) const ANSWER: Millis = 2500;
/// Most writes that wait.
const QUEUE: usize = 32;
/// A copy that has not acked, or not stored, for so long is replaced where another is there; so is a voter.
pub(crate) const LOST: Millis = 1000;
/// One that has not acked at all since the role began, so long: mostly the primary of before.
const ABSENT: Millis = 400;
/// A node that is told to end waits at most so long for its role or its vote to be taken from it.
const LEAVE: Millis = 500;

#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follow,
    Candidacy(Candidacy),
    Lead(Box<Lead>),
}

/// A view that is asked for.
#[derive(Clone, Debug)]
pub(crate) struct Candidacy {
    pub view: View,
    pub before: View,
    pub grants: BTreeSet<Voter>,
    /// They have given another their vote for this epoch.
    pub against: BTreeSet<Voter>,
    pub since: Millis,
    pub released: bool,
}

impl Candidacy {
    pub fn new(since: Millis, view: View, before: View, released: bool) -> Candidacy {
        Candidacy { view, before, grants: BTreeSet::new(), against: BTreeSet::new(), since, released }
    }
    /// Those who may still grant it are no majority.
    pub fn lost(&self) -> bool {
        !majority(&self.view.voters, self.view.voters.iter().filter(|v| !self.against.contains(v)))
    }
    /// Granted by a majority of those who vote now and of those who will; `with` one more.
    pub fn won(&self, with: Option<Voter>) -> bool {
        let grants = self.grants.iter().chain(with.as_ref());
        majority(&self.view.voters, grants.clone()) && majority(&self.before.voters, grants)
    }
}

/// A change that was asked for, and who waits for the answer: nobody where the primary noticed it by itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Order {
    pub ticket: Option<u64>,
    pub change: Change,
}

impl Order {
    fn answer(&self, verdict: Verdict) -> Option<Effect> {
        self.ticket.map(|ticket| Effect::Answer { ticket, verdict })
    }
}

/// A write under way.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub serial: u64,
    pub state: ControlState,
    /// None where the own state is stored again, or a copy is filled.
    pub change: Option<Order>,
    pub missing: BTreeSet<Voter>,
    pub since: Millis,
    pub sent: Millis,
    /// To become a copy when it has it, in place of those.
    pub joins: Option<(Voter, Vec<Voter>)>,
}

#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub order: Order,
    pub since: Millis,
    /// A copy may have it already: it can't be said that it was not done.
    pub begun: bool,
}

impl Waiting {
    fn given_up(&self, lies: bool) -> Option<Effect> {
        let verdict = if self.begun && !lies { Verdict::Uncertain } else { Verdict::NotDone };
        self.order.answer(verdict)
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Lead {
    pub heartbeat_at: Millis,
    pub since: Millis,
    pub acks: BTreeMap<Voter, Millis>,
    pub unfilled: BTreeSet<Voter>,
    pub job: Option<Job>,
    pub queue: VecDeque<Waiting>,
    /// Other copies are asked for.
    pub change: Option<Candidacy>,
    pub asked: Millis,
    /// All copies of this epoch hold the own state.
    pub settled: bool,
    pub leave_by: Option<Millis>,
    /// Their processes end.
    pub leaving: BTreeSet<Voter>,
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
    fn silent(&self, now: Millis, voter: &Voter, most: Millis) -> bool {
        match self.acks.get(voter) {
            Some(at) => now > at + most,
            None => now > self.since + most.min(ABSENT),
        }
    }
    fn here(&self, now: Millis, voter: &Voter) -> bool {
        self.acks.contains_key(voter) && !self.silent(now, voter, LOST)
    }
    pub fn next(&self, now: Millis, settings: &GroupSettings) -> Millis {
        let busy = self.job.is_some() || !self.queue.is_empty() || self.change.is_some();
        if busy || self.leave_by.is_some() {
            return self.heartbeat_at.min(now + settings.heartbeat_ms / 4).max(now + 1);
        }
        self.heartbeat_at.max(now + 1)
    }
}

impl ControlGroup {
    pub(crate) fn begin_leading(&mut self, now: Millis) {
        let leaving = self.left.take().into_iter().collect();
        let lead = Lead { heartbeat_at: now, since: now, leaving, ..Lead::default() };
        self.role = Role::Lead(Box::new(lead));
        self.vote_for(self.settings.me);
        self.effects.push(Effect::RoleChanged { epoch: self.epoch(), what: "leads" });
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
            self.effects.push(Effect::RoleChanged { epoch: self.epoch(), what: "steps down" });
        }
    }

    /// The lease holds: more than half of the voters, this one among them, acked a heartbeat sent since then.
    pub fn leads(&self, now: Millis) -> bool {
        let (Role::Lead(lead), Some(view)) = (&self.role, &self.view) else { return false };
        let mut long = if self.planted(Planted::LongLease) { 3 * self.settings.silence_ms } else { 0 };
        if self.planted(Planted::ThinMargin) {
            long = self.settings.silence_ms - self.settings.lease_ms - 20;
        }
        let fresh = |at: &Millis| now <= at + self.settings.lease_ms + long;
        let acked = lead.acks.iter().filter(|(_, at)| fresh(at)).map(|(v, _)| v);
        if self.planted(Planted::LearnersCount) && (acked.clone().count() + 1) * 2 > view.voters.len() {
            return true;
        }
        majority(&view.voters, acked.chain(std::iter::once(&self.settings.me))) && !self.released
    }

    fn enough(&self, view: &View) -> bool {
        view.copies.len() > self.settings.tolerated(view.voters.len()).min(view.voters.len() - 1)
    }

    /// May answer: the lease holds, and enough copies hold all there is.
    pub(crate) fn may_answer(&self, now: Millis) -> bool {
        let settled = matches!(&self.role, Role::Lead(lead) if lead.settled && lead.leave_by.is_none());
        settled
            && self.leads(now)
            && self.view.as_ref().is_some_and(|w| self.enough(w) && w.membership_epoch == w.epoch)
    }

    /// An operator's configuration.
    pub fn replace(&mut self, now: Millis, ticket: u64, version: u64, body: Vec<u8>) {
        let change = Change::Configuration { version, body };
        self.take_order(now, Order { ticket: Some(ticket), change });
    }

    /// An order to retire a store, that the caller has checked against `settled` and `retiring_soon`.
    pub fn retire(&mut self, now: Millis, ticket: u64, node: u32, name: String) {
        let change = Change::Retire { node, name };
        self.take_order(now, Order { ticket: Some(ticket), change });
    }

    /// A store that is retired has come further. Only the primary writes that down, and nobody waits for it: it is called
    /// again until the value says so.
    pub fn advance(&mut self, now: Millis, node: u32, stage: Stage) {
        let order = Order { ticket: None, change: Change::Advance { node, stage } };
        if !self.may_answer(now) || self.orders().any(|waiting| *waiting == order) {
            return;
        }
        self.take_order(now, order);
    }

    fn take_order(&mut self, now: Millis, order: Order) {
        let primary = self.primary().filter(|p| *p != self.settings.me);
        let Role::Lead(lead) = &mut self.role else {
            return self.effects.extend(order.answer(Verdict::NotPrimary { primary }));
        };
        if lead.queue.len() >= QUEUE || lead.leave_by.is_some() {
            return self.effects.extend(order.answer(Verdict::NotDone));
        }
        lead.queue.push_back(Waiting { order, since: now, begun: false });
        self.lead(now);
    }

    /// Those under way and those that wait.
    fn orders(&self) -> impl Iterator<Item = &Order> {
        let lead = if let Role::Lead(lead) = &self.role { Some(lead) } else { None };
        let under_way = lead.and_then(|lead| lead.job.as_ref()?.change.as_ref());
        let waiting = lead.into_iter().flat_map(|lead| lead.queue.iter().map(|waiting| &waiting.order));
        under_way.into_iter().chain(waiting)
    }

    /// The newest value, if this is the primary and nobody else can be.
    pub fn settled(&self, now: Millis) -> Option<&ControlState> {
        self.may_answer(now).then_some(&self.state)
    }

    /// Stores whose retirement is under way to the copies, or waits for its turn.
    pub fn retiring_soon(&self) -> impl Iterator<Item = u32> + '_ {
        self.orders().filter_map(|order| match order.change {
            Change::Retire { node, .. } => Some(node),
            _ => None,
        })
    }

    /// The newest configuration, if this is the primary and nobody else can be.
    pub fn read(&mut self, now: Millis, ticket: u64) {
        if let Some(state) = self.settled(now) {
            let state = Some(state.clone()).filter(|c| c.version > 0);
            return self.effects.push(Effect::ControlState { ticket, state });
        }
        let primary = self.primary().filter(|p| *p != self.settings.me);
        self.effects.push(Effect::Answer { ticket, verdict: Verdict::NotPrimary { primary } });
    }

    /// The process is to end: the role goes to a copy that is here.
    pub fn release(&mut self, now: Millis) {
        match &mut self.role {
            Role::Lead(lead) => lead.leave_by = Some(now + LEAVE),
            _ if self.leaving.is_some() => return,
            _ => {
                self.step_down(now);
                if self.leave(now, now + LEAVE) {
                    return;
                }
                self.released = true;
                return self.effects.push(Effect::Released);
            }
        }
        self.lead(now);
    }

    /// A copy holds whatever was answered, settled or not: it is told that this one acts no more.
    fn hand_over(&mut self, now: Millis, ends: bool) {
        let Some(view) = self.view.clone() else { return };
        let Role::Lead(lead) = &self.role else { return };
        let able = |v: &&Voter| **v != self.settings.me && lead.here(now, v) && !lead.unfilled.contains(v);
        let next = view.copies.iter().filter(able).find(|v| self.links.get(v) != Some(&false)).copied();
        if next.is_none() && !ends {
            return;
        }
        self.step_down(now);
        if let Some(next) = next {
            self.send(next, Signal::Handover { epoch: view.epoch, ends });
        }
        if ends {
            self.leaving = None;
            self.released = true;
            self.effects.push(Effect::Released);
        }
    }

    pub(crate) fn acked(
        &mut self,
        now: Millis,
        from: Voter,
        epoch: u64,
        sent_at: Millis,
        (votes, holds): (bool, bool),
    ) {
        let mine = self.epoch();
        let by_arrival = self.planted(Planted::LeaseByArrival);
        let Role::Lead(lead) = &mut self.role else { return };
        if epoch != mine || sent_at > now {
            return;
        }
        if holds {
            lead.unfilled.remove(&from);
        } else {
            lead.unfilled.insert(from);
        }
        if votes {
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
        let leads = self.leads(now);
        let learners: Vec<Voter> =
            self.learners.iter().copied().filter(|l| !view.voters.contains(l)).collect();
        let Role::Lead(lead) = &mut self.role else { return };
        if now >= lead.heartbeat_at {
            lead.heartbeat_at = now + self.settings.heartbeat_ms;
            let (committed, digest) =
                self.committed.as_ref().map_or((Rank::default(), 0), |c| (c.rank(), self.force_digest));
            let acks = if leads { lead.acks.clone() } else { BTreeMap::new() };
            for voter in view.voters.iter().chain(&learners).copied() {
                let acked = acks.get(&voter).copied();
                let heartbeat = Heartbeat { epoch: view.epoch, sent_at: now, committed, digest, acked };
                self.send(voter, Signal::Heartbeat(heartbeat));
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
        let stuck = |job: &Job| job.missing.contains(&self.settings.me) && now > job.since + LOST;
        if matches!(&self.role, Role::Lead(lead) if lead.job.as_ref().is_some_and(stuck)) {
            return self.own_disk_failed(now);
        }
        self.take_back(now, &view);
        self.look_after_copies(now, &view);
        self.begin_job(now, &view);
        let Role::Lead(lead) = &mut self.role else { return };
        // What was sent may be lost: it is sent again while it is wanted.
        let again = self.settings.heartbeat_ms;
        if let Some(change) = lead.change.as_ref().filter(|_| now >= lead.asked + again) {
            let (wanted, before) = (change.view.clone(), change.before.voters.clone());
            lead.asked = now;
            if !change.grants.contains(&self.settings.me) {
                self.persist_view(wanted.clone(), After::OwnGrant { view: wanted.clone() });
            }
            self.propose(&wanted, &before, false);
        }
        let Role::Lead(lead) = &mut self.role else { return };
        if let Some(job) = lead.job.as_mut().filter(|job| now >= job.sent + again) {
            job.sent = now;
            let (missing, serial, state) = (job.missing.clone(), job.serial, job.state.clone());
            for to in missing {
                self.send(to, Signal::Store { epoch: view.epoch, serial, state: state.clone() });
            }
        }
    }

    fn answer_late(&mut self, now: Millis) {
        let lies = self.planted(Planted::BegunForgotten);
        let Role::Lead(lead) = &mut self.role else { return };
        if let Some(job) = lead.job.as_mut().filter(|job| now > job.since + ANSWER) {
            let ticket = job.change.as_mut().and_then(|order| order.ticket.take());
            let late = ticket.map(|ticket| Effect::Answer { ticket, verdict: Verdict::Uncertain });
            self.effects.extend(late);
        }
        while lead.queue.front().is_some_and(|w| now > w.since + TURN) {
            self.effects.extend(lead.queue.pop_front().and_then(|w| w.given_up(lies)));
        }
    }

    fn begin_job(&mut self, now: Millis, view: &View) {
        if !self.leads(now) || view.membership_epoch != view.epoch {
            return;
        }
        let enough = self.enough(view);
        let own = self.state.clone();
        let equal_taken = self.planted(Planted::EqualTaken);
        let Role::Lead(lead) = &mut self.role else { return };
        if lead.job.is_some() || lead.change.is_some() {
            return;
        }
        if !lead.settled || view.copies.iter().any(|v| lead.unfilled.contains(v) && lead.acks.contains_key(v))
        {
            // What it holds may be on no other copy, or a copy may hold what was given up, or have lost its disk: all
            // are made alike first.
            return self.write(now, own, None, view.copies.clone(), None);
        }
        if !enough || lead.leave_by.is_some() {
            return;
        }
        while let Some(Waiting { order, .. }) = lead.queue.pop_front() {
            match order.change.applied(&self.state, equal_taken) {
                Applied::Unchanged => self.effects.extend(order.answer(Verdict::Unchanged)),
                Applied::Full => self.effects.extend(order.answer(Verdict::NotDone)),
                Applied::Changed(state) => {
                    return self.write(now, state, Some(order), view.copies.clone(), None);
                }
            }
        }
    }

    fn write(
        &mut self,
        now: Millis,
        state: ControlState,
        change: Option<Order>,
        to: Vec<Voter>,
        joins: Option<(Voter, Vec<Voter>)>,
    ) {
        self.serial = self.serial.wrapping_add(1);
        let (serial, epoch, me) = (self.serial, self.epoch(), self.settings.me);
        let missing: BTreeSet<Voter> = to.into_iter().collect();
        for voter in missing.clone() {
            self.send(voter, Signal::Store { epoch, serial, state: state.clone() });
        }
        if missing.contains(&me) {
            self.persist(Record::ControlState(state.clone()), After::OwnStored { serial });
        }
        if let Role::Lead(lead) = &mut self.role {
            lead.job = Some(Job { serial, state, change, missing, since: now, sent: now, joins });
        }
    }

    /// It refuses, or hangs: another is to decide. Whether the copies have what was written is not known.
    pub(crate) fn own_disk_failed(&mut self, now: Millis) {
        let Role::Lead(lead) = &mut self.role else { return };
        let under_way = lead.job.take().and_then(|job| job.change);
        self.effects.extend(under_way.and_then(|order| order.answer(Verdict::Uncertain)));
        lead.settled = false;
        self.hand_over(now, false);
    }

    pub(crate) fn stored(&mut self, now: Millis, from: Voter, epoch: u64, serial: u64) {
        if epoch != self.epoch() {
            return;
        }
        let leads = self.leads(now);
        let early = self.planted(Planted::EarlyAnswer);
        let enough = self.view.as_ref().is_some_and(|w| self.enough(w));
        let Role::Lead(lead) = &mut self.role else { return };
        let Some(job) = lead.job.as_mut().filter(|job| job.serial == serial) else { return };
        job.missing.remove(&from);
        lead.unfilled.remove(&from);
        if early && job.change.is_some() {
            job.missing.clear();
        }
        if !job.missing.is_empty() {
            return;
        }
        let Some(job) = lead.job.take() else { return };
        if let Some((voter, lost)) = job.joins {
            self.change_copies(now, voter, &lost);
            return self.lead(now);
        }
        lead.settled = true;
        self.state = job.state;
        let verdict = if leads { Verdict::Accepted } else { Verdict::Uncertain };
        self.effects.extend(job.change.and_then(|order| order.answer(verdict)));
        if enough && leads {
            // The others hear of it with the next heartbeat: now, for the data plane waits for it.
            if let Role::Lead(lead) = &mut self.role {
                lead.heartbeat_at = now;
            }
        }
        self.lead(now);
    }

    /// Too few copies, or one that does not answer: another voter is filled, and then named.
    fn look_after_copies(&mut self, now: Millis, view: &View) {
        if !self.leads(now) {
            return;
        }
        let want = self.wanted_copies(view);
        let own = self.state.clone();
        let lost = self.lost_copies(now, view);
        let link_down = |v: &Voter| self.links.get(v) == Some(&false);
        let Role::Lead(lead) = &mut self.role else { return };
        if lead.change.is_some() {
            return;
        }
        if lead.leave_by.is_some() {
            return self.look_after_voters(now, view);
        }
        if view.membership_epoch != view.epoch {
            return self.ask_change(now, view.clone());
        }
        let other = view.voters.iter().filter(|v| !view.copies.contains(v) && !lead.leaving.contains(v));
        let other = other.copied().find(|v| lead.here(now, v) && !link_down(v));
        if let Some(job) = &lead.job {
            let slow = now > job.since + LOST;
            match &job.joins {
                Some((v, _)) if slow || link_down(v) || !lead.here(now, v) => lead.job = None,
                Some(_) => return,
                None if lost.is_empty() || !job.missing.iter().all(|v| lost.contains(v)) => return,
                None if other.is_none() => return,
                // A write that waits for one that is gone is settled with the copies that come after it.
                None => {
                    let order = lead.job.take().and_then(|job| job.change);
                    if let Some(order) = order.filter(|order| order.ticket.is_some()) {
                        lead.queue.push_front(Waiting { order, since: now, begun: true });
                    }
                    // Those that are left are made alike again: what was answered late may be on all of them.
                    lead.settled = false;
                }
            }
        }
        if let Some(voter) = other.filter(|_| view.copies.len() - lost.len() < want) {
            if self.planted(Planted::UnfilledNamed) {
                return self.change_copies(now, voter, &lost);
            }
            return self.write(now, own, None, vec![voter], Some((voter, lost)));
        }
        self.look_after_voters(now, view);
    }

    fn wanted_copies(&self, view: &View) -> usize {
        (self.settings.tolerated(view.voters.len()) + 1).min(view.voters.len())
    }

    /// Copies that are gone, or whose disk does not take what they are sent.
    fn lost_copies(&self, now: Millis, view: &View) -> Vec<Voter> {
        let Role::Lead(lead) = &self.role else { return Vec::new() };
        let slow = lead.job.as_ref().filter(|job| now > job.since + LOST);
        let gone = |v: &Voter| {
            self.links.get(v) == Some(&false)
                || Self::leaves_by(lead, view, v)
                || lead.silent(now, v, LOST)
                || slow.is_some_and(|job| job.missing.contains(v))
        };
        view.copies.iter().copied().filter(|v| *v != self.settings.me && gone(v)).collect()
    }

    /// One voter comes or goes at a time, so that any majority of before and any of after meet: one that has granted a change
    /// which was never granted by enough still needs a majority of the voters that it knows, and so may the others.
    fn look_after_voters(&mut self, now: Millis, view: &View) {
        let committed = self.committed.as_ref().map_or(0, |c| c.serial);
        let Role::Lead(lead) = &self.role else { return };
        if committed == 0 || lead.job.is_some() || !lead.settled {
            return;
        }
        let Some(voters) = self.next_voters(now, lead, view) else { return };
        if lead.leave_by.is_some() && !self.half_replaced(now, lead, view) {
            return;
        }
        // One that is asked for and never granted holds up everything: it is not begun without a majority of both in sight.
        let present = |v: &&Voter| {
            **v == self.settings.me || self.present(now, lead, v) || self.planted(Planted::BlindChange)
        };
        let enough = |list: &[Voter]| majority(list, list.iter().filter(present));
        if enough(&voters) && enough(&view.voters) {
            self.ask_change(now, View { voters, ..view.clone() });
        }
    }

    /// One that is gone is replaced in two changes, one right after the other. It is left out first: so the loss of the one that
    /// comes, as it comes, holds nothing up. Without one that comes it stays, for it may only be starting again; but of an even
    /// number of voters, who bear no more losses than one less, it is left out at once.
    fn next_voters(&self, now: Millis, lead: &Lead, view: &View) -> Option<Vec<Voter>> {
        let voters = &view.voters;
        let others = || voters.iter().filter(|v| **v != self.settings.me);
        let comes = |v: &Voter| {
            lead.here(now, v) && !voters.contains(v) && !lead.leaving.contains(v) && !self.link_down(v)
        };
        let joins = self.learners.iter().copied().find(comes);
        let with = |joins: Voter| {
            let mut next: Vec<Voter> = voters.iter().copied().chain([joins]).collect();
            next.sort();
            next
        };
        // A copy is let go only when another was filled in its place; where there is none yet, it comes first.
        let gone = others().find(|v| !view.copies.contains(v) && self.gone(now, lead, view, v));
        if let Some(gone) = gone.filter(|_| joins.is_some() || voters.len().is_multiple_of(2)) {
            let next = joins.filter(|_| self.planted(Planted::SwapAtOnce)).map_or(voters.clone(), with);
            return Some(next.into_iter().filter(|v| v != gone).collect());
        }
        // Who has just fallen silent may be gone: until that is known nobody joins, or the group would bear less than before.
        let open = others().any(|v| !self.present(now, lead, v) && !self.gone(now, lead, view, v));
        joins.filter(|_| !open).map(with)
    }

    /// One that is gone was left out, and the one that comes is yet to join: one that ends now would be the second loss.
    fn half_replaced(&self, now: Millis, lead: &Lead, view: &View) -> bool {
        let more = |next: Vec<Voter>| next.len() > view.voters.len();
        view.voters.len().is_multiple_of(2) && self.next_voters(now, lead, view).is_some_and(more)
    }

    /// Other voters were asked for, and those who would have to grant it are gone: the voters stay as they were. Whoever has
    /// granted it needs a majority of the voters asked for, which has one in common with the majority that grants this.
    fn take_back(&mut self, now: Millis, view: &View) {
        let Role::Lead(lead) = &self.role else { return };
        let waits = |change: &Candidacy| change.view.voters != view.voters && now > change.since + LOST;
        if lead.change.as_ref().is_some_and(waits) && !self.planted(Planted::BlindChange) {
            self.ask_change(now, view.clone());
        }
    }

    fn link_down(&self, voter: &Voter) -> bool {
        self.links.get(voter) == Some(&false)
    }

    /// It acked the last heartbeats.
    fn present(&self, now: Millis, lead: &Lead, voter: &Voter) -> bool {
        lead.acks.contains_key(voter)
            && !lead.silent(now, voter, 3 * self.settings.heartbeat_ms)
            && !self.link_down(voter)
    }

    /// It has said that it goes for good, has been silent for long, or its connection broke and it was not back soon.
    fn gone(&self, now: Millis, lead: &Lead, view: &View, voter: &Voter) -> bool {
        if self.planted(Planted::GoneStays) {
            return lead.acks.get(voter).map_or(now > lead.since + 3_000, |at| now > at + 3_000);
        }
        Self::leaves_by(lead, view, voter)
            || lead.silent(now, voter, if self.link_down(voter) { ABSENT } else { LOST })
    }

    /// It ends, and the group needs it no more. In an odd group whoever ends is taken for one that starts again.
    fn leaves_by(lead: &Lead, view: &View, voter: &Voter) -> bool {
        view.voters.len().is_multiple_of(2) && lead.leaving.contains(voter)
    }

    /// A voter is told to end.
    pub(crate) fn leaves(&mut self, now: Millis, from: Voter, epoch: u64) {
        let mine = self.epoch();
        if let Role::Lead(lead) = &mut self.role {
            if epoch == mine {
                lead.leaving.insert(from);
                self.lead(now);
            }
        }
    }

    /// Asks for the view without the copies that were lost, and with one that has been filled. No more than are wanted: each
    /// write waits for all, and whether one that seemed lost is back does not matter any more.
    fn change_copies(&mut self, now: Millis, joins: Voter, lost: &[Voter]) {
        let Some(mut next) = self.view.clone() else { return };
        next.copies.retain(|v| !lost.contains(v));
        next.copies.push(joins);
        self.ask_change(now, next);
    }

    fn ask_change(&mut self, now: Millis, next: View) {
        let Some(before) = self.view.clone() else { return };
        let Role::Lead(lead) = &mut self.role else { return };
        let asked = lead.asked_for().map_or(before.epoch, |asked| asked.epoch);
        let next = View { epoch: asked + 1, membership_epoch: asked + 1, ..next };
        let before_voters = before.voters.clone();
        lead.change = Some(Candidacy::new(now, next.clone(), before, false));
        lead.asked = now;
        self.persist_view(next.clone(), After::OwnGrant { view: next.clone() });
        self.propose(&next, &before_voters, false);
    }

    /// A voter has a view on its disk that this node asked for.
    pub(crate) fn granted(&mut self, now: Millis, from: Voter, view: View) {
        match &mut self.role {
            Role::Candidacy(stand) if stand.view == view => {
                stand.grants.insert(from);
                self.count_grants(now);
            }
            Role::Lead(lead) => {
                let Some(change) = lead.change.as_mut().filter(|c| c.view == view) else { return };
                change.grants.insert(from);
                if !change.won(None) || !change.grants.contains(&self.settings.me) {
                    return;
                }
                let before = std::mem::take(&mut change.before.voters);
                lead.change = None;
                self.safe = self.safe.max(view.epoch);
                // Whoever was left out counts anew, should it come again.
                lead.acks.retain(|v, _| view.voters.contains(v) || !before.contains(v));
                lead.heartbeat_at = now;
                self.effects.push(Effect::RoleChanged { epoch: view.epoch, what: "has other copies" });
                self.view = Some(view.clone());
                self.vote_for(self.settings.me);
                // Who votes no more hears it too: it may wait for that to end.
                for voter in before.into_iter().filter(|v| !view.voters.contains(v)) {
                    self.send(voter, Signal::TellView { view: Some(view.clone()) });
                }
                self.lead(now);
            }
            _ => {}
        }
    }
}
