//! For the search over orders of events in `crates/model-check/`: faults that it must find, and a digest of a node's state. Without
//! the feature `planted`, which only the search's own build of these sources has, no fault can be set, and nothing is left.

#[cfg(not(feature = "planted"))]
use crate::ControlGroup;

/// A fault of which a property has to tell. Each undoes one rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// The lease outlasts the silence after which others are voted for.
    LongLease,
    /// The lease counts from when an ack came, not from when its heartbeat was sent.
    LeaseByArrival,
    /// The lease is as long as the silence, but for 20 ms: clocks that drift make it outlast that.
    ThinMargin,
    /// A write is answered when the first copy has it.
    EarlyAnswer,
    /// Another body of the version that is held is taken.
    EqualTaken,
    /// What is told to be committed is, whatever was before.
    CommitGoesBack,
    /// A state of the right version is taken for the one committed.
    DigestUnheeded,
    /// A candidate leads with its own vote alone.
    OwnVoteEnough,
    /// A voter grants a second view of one epoch.
    GrantedTwice,
    /// A grant is told before it is on disk.
    GrantUnsynced,
    /// A node that lost its disk takes itself for one that never ran.
    BlankVotes,
    /// A copy that lost its state stands for the role.
    UnfilledCandidate,
    /// The age of a list of copies counts for nothing: it is as new as the epoch that goes with it.
    MembershipEpochIgnored,
    /// A write that a copy may have is answered as not done.
    BegunForgotten,
    /// Nobody takes over a view that it is told.
    NeverAdopts,
    /// One voter takes the place of another in one change: majorities of before and after need not meet.
    SwapAtOnce,
    /// A voter is taken for gone after 3 s of silence, and not sooner.
    GoneStays,
    /// A copy is named in place of another before it is filled.
    UnfilledNamed,
    /// A change of voters is begun whoever is there, and never taken back.
    BlindChange,
    /// Whoever acks counts for the lease, also one that is no voter.
    LearnersCount,
}

#[cfg(feature = "planted")]
impl Planted {
    pub const ALL: [Planted; 20] = [
        Planted::OwnVoteEnough,
        Planted::LongLease,
        Planted::LeaseByArrival,
        Planted::ThinMargin,
        Planted::EarlyAnswer,
        Planted::EqualTaken,
        Planted::CommitGoesBack,
        Planted::DigestUnheeded,
        Planted::GrantedTwice,
        Planted::GrantUnsynced,
        Planted::BlankVotes,
        Planted::UnfilledCandidate,
        Planted::MembershipEpochIgnored,
        Planted::BegunForgotten,
        Planted::NeverAdopts,
        Planted::SwapAtOnce,
        Planted::GoneStays,
        Planted::UnfilledNamed,
        Planted::LearnersCount,
        Planted::BlindChange,
    ];
}

#[cfg(not(feature = "planted"))]
impl ControlGroup {
    #[inline(always)]
    pub(crate) const fn planted(&self, _: Planted) -> bool {
        false
    }
}

#[cfg(feature = "planted")]
pub use fingerprint::Fingerprinter;

#[cfg(feature = "planted")]
mod fingerprint {
    use super::Planted;
    use crate::primary::{Candidacy, Job, Lead, Role, ANSWER, LOST, TURN};
    use crate::voter::Leaving;
    use crate::{After, ControlGroup, Effect, GroupSettings, Heartbeat, Millis, Signal, Voter};
    use std::hash::{Hash, Hasher};

    /// Writes a state into a hasher, so that states from which the same follows come out the same. Times count from now, and
    /// are one where every rule takes them alike; serials count from the last one of whoever gave them.
    pub struct Fingerprinter<'a, H> {
        pub hasher: &'a mut H,
        pub now: Millis,
        pub serials: &'a [(Voter, u64)],
    }

    impl<H: Hasher> Fingerprinter<'_, H> {
        /// A time of which it counts whether it lies back further than `most`, and how far until then.
        fn time(&mut self, at: Millis, most: Millis) {
            (at as i64 - self.now as i64).max(-1 - most as i64).hash(self.hasher);
        }
        fn serial(&mut self, of: Voter, serial: u64) {
            let last = self.serials.iter().find(|(voter, _)| *voter == of).map_or(0, |(_, last)| *last);
            last.wrapping_sub(serial).hash(self.hasher);
        }
        /// For what was sent at another clock's time `now` has to be that clock's.
        pub fn signal(&mut self, from: Voter, to: Voter, signal: &Signal) {
            match signal {
                // Which ack was seen tells others what to say to nodes that are none of this group, and nothing here.
                Signal::Heartbeat(Heartbeat { epoch, sent_at, committed, digest, acked: _ }) => {
                    (1, epoch, committed, digest).hash(self.hasher);
                    self.time(*sent_at, LOST);
                }
                Signal::HeartbeatAck { epoch, sent_at, votes, holds } => {
                    (2, epoch, votes, holds).hash(self.hasher);
                    self.time(*sent_at, LOST);
                }
                Signal::Store { epoch, serial, state } => {
                    (3, epoch, state).hash(self.hasher);
                    self.serial(from, *serial);
                }
                Signal::Stored { epoch, serial } => {
                    (4, epoch).hash(self.hasher);
                    self.serial(to, *serial);
                }
                signal => signal.hash(self.hasher),
            }
        }
        pub fn effect(&mut self, from: Voter, effect: &Effect) {
            match effect {
                Effect::Send { to, signal } => {
                    (1, to).hash(self.hasher);
                    self.signal(from, *to, signal);
                }
                Effect::Persist { ticket: _, record } => (2, record).hash(self.hasher),
                effect => effect.hash(self.hasher),
            }
        }
        fn after(&mut self, me: Voter, after: &After) {
            match after {
                After::Stored { to, epoch, serial, state } => {
                    (1, to, epoch, state).hash(self.hasher);
                    self.serial(*to, *serial);
                }
                After::OwnStored { serial } => {
                    2.hash(self.hasher);
                    self.serial(me, *serial);
                }
                after => after.hash(self.hasher),
            }
        }
        fn stand(&mut self, stand: &Candidacy, silence: Millis) {
            let Candidacy { view, before, grants, against, since, released } = stand;
            (view, before, grants, against, released).hash(self.hasher);
            self.time(*since, silence);
        }
        fn job(&mut self, me: Voter, job: &Job) {
            let Job { serial, state, change, missing, since, sent, joins } = job;
            (state, change, missing, joins).hash(self.hasher);
            self.serial(me, *serial);
            self.time(*since, ANSWER);
            self.time(*sent, ANSWER);
        }
        fn lead(&mut self, me: Voter, lead: &Lead, voters: &[Voter]) {
            let Lead {
                heartbeat_at,
                since,
                acks,
                unfilled,
                job,
                queue,
                change,
                asked,
                settled,
                leave_by,
                leaving,
            } = lead;
            (2, unfilled, settled, leaving).hash(self.hasher);
            self.time(*heartbeat_at, 0);
            self.time(leave_by.unwrap_or(0), 0);
            // Only for those that never acked does it count how long that is.
            if voters.iter().any(|v| *v != me && !acks.contains_key(v)) {
                self.time(*since, LOST);
            }
            for (voter, at) in acks {
                voter.hash(self.hasher);
                self.time(*at, LOST);
            }
            (acks.len(), queue.len(), leave_by.is_some()).hash(self.hasher);
            (job.is_some(), change.is_some()).hash(self.hasher);
            job.iter().for_each(|job| self.job(me, job));
            if let Some(change) = change {
                self.stand(change, 0);
                self.time(*asked, ANSWER);
            }
            for waiting in queue {
                (&waiting.order, waiting.begun).hash(self.hasher);
                self.time(waiting.since, TURN);
            }
        }
    }

    impl ControlGroup {
        pub(crate) fn planted(&self, fault: Planted) -> bool {
            self.settings.planted == Some(fault)
        }

        /// Whatever the node's future depends on, but for chance: two states with one digest are taken as one.
        pub fn fingerprint<H: Hasher>(&self, to: &mut Fingerprinter<H>) {
            // Named one by one, so that a new field can't be forgotten.
            let ControlGroup {
                settings: GroupSettings { me, silence_ms, .. },
                view,
                safe,
                unknown_leader,
                state,
                committed,
                force_digest: _,
                blank,
                unfilled,
                learning,
                role,
                started,
                heard,
                heartbeat_heard,
                contact: _,
                voted_for,
                vote_persisted,
                candidate_at,
                learners,
                links,
                after,
                next_ticket: _,
                serial: _,
                random_state: _,
                released,
                leaving,
                left,
                effects,
            } = self;
            (left, leaving.is_some(), *heartbeat_heard).hash(to.hasher);
            if let Some(Leaving { by, ask_at }) = leaving {
                to.time(*by, 0);
                to.time(*ask_at, 0);
            }
            // Of an older epoch it is of no use any more.
            let unknown_leader = unknown_leader.filter(|(epoch, _)| *epoch >= self.epoch());
            (view, safe, unknown_leader, state, committed, blank, unfilled).hash(to.hasher);
            (voted_for, vote_persisted, learners, links, released, effects.is_empty()).hash(to.hasher);
            // By their order, for that is how they are answered.
            after.len().hash(to.hasher);
            after.values().for_each(|after| to.after(*me, after));
            to.time(*heard.max(started), *silence_ms);
            if *blank {
                learning.told.hash(to.hasher);
                to.time(learning.ask_at, 0);
            }
            match role {
                Role::Follow => to.time(*candidate_at, 0),
                Role::Candidacy(stand) => {
                    to.time(*candidate_at, 0);
                    to.stand(stand, *silence_ms);
                }
                Role::Lead(lead) => to.lead(*me, lead, view.as_ref().map_or(&[], |w| &w.voters)),
            }
        }

        /// The last serial that it gave.
        pub fn serial(&self) -> u64 {
            self.serial
        }
        /// From here on chance draws as from this.
        pub fn set_random_state(&mut self, random_state: u64) {
            self.random_state = random_state;
        }

        /// Whether it answers at this time.
        pub fn answers(&self, now: Millis) -> bool {
            self.may_answer(now)
        }
        /// The state on its disk is missing.
        pub fn unfilled(&self) -> bool {
            self.unfilled
        }
        /// What it writes or reads by now.
        pub fn state(&self) -> &crate::ControlState {
            &self.state
        }
    }
}
