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
    /// A write is answered when the first replica has it.
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
    /// A replica that lost its state stands for the role.
    UnfilledCandidate,
    /// The age of a list of replicas counts for nothing: it is as new as the epoch that goes with it.
    MembershipEpochIgnored,
    /// A write that a replica may have is answered as not done.
    BegunForgotten,
    /// Nobody takes over a view that it is told.
    NeverAdopts,
    /// One voter takes the place of another in one change: majorities of before and after need not meet.
    SwapAtOnce,
    /// A voter is taken for gone after 3 s of silence, and not sooner.
    GoneStays,
    /// A replica is named in place of another before it is filled.
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
    use crate::primary::orders::{Job, ANSWER, TURN};
    use crate::primary::{Candidacy, Lead, Role, LOST};
    use crate::voter::Leaving;
    use crate::{
        After, ControlGroup, Effect, GroupSettings, Heartbeat, HeartbeatAck, Message, Millis, NodeId,
    };
    use std::hash::{Hash, Hasher};

    /// Writes a state into a hasher, so that states from which the same follows come out the same. Times count from now, and
    /// are one where every rule takes them alike; serials count from the last one of whoever gave them.
    pub struct Fingerprinter<'a, H> {
        pub hasher: &'a mut H,
        pub now: Millis,
        pub serials: &'a [(NodeId, u64)],
    }

    impl<H: Hasher> Fingerprinter<'_, H> {
        /// A time of which it counts whether it lies back further than `most`, and how far until then.
        fn time(&mut self, at: Millis, most: Millis) {
            (at as i64 - self.now as i64).max(-1 - most as i64).hash(self.hasher);
        }
        fn write_id(&mut self, of: NodeId, write_id: u64) {
            let last = self.serials.iter().find(|(voter, _)| *voter == of).map_or(0, |(_, last)| *last);
            last.wrapping_sub(write_id).hash(self.hasher);
        }
        /// For what was sent at another clock's time `now` has to be that clock's.
        pub fn message(&mut self, from: NodeId, to: NodeId, message: &Message) {
            match message {
                // Which ack was seen tells others what to say to nodes that are none of this group, and nothing here.
                Message::Heartbeat(Heartbeat {
                    epoch,
                    sent_at,
                    committed,
                    committed_digest,
                    last_acked: _,
                }) => {
                    (1, epoch, committed, committed_digest).hash(self.hasher);
                    self.time(*sent_at, LOST);
                }
                Message::HeartbeatAck(HeartbeatAck { epoch, sent_at, is_voting, has_state }) => {
                    (2, epoch, is_voting, has_state).hash(self.hasher);
                    self.time(*sent_at, LOST);
                }
                Message::Store { epoch, write_id, state } => {
                    (3, epoch, state).hash(self.hasher);
                    self.write_id(from, *write_id);
                }
                Message::Stored { epoch, write_id } => {
                    (4, epoch).hash(self.hasher);
                    self.write_id(to, *write_id);
                }
                message => message.hash(self.hasher),
            }
        }
        pub fn effect(&mut self, from: NodeId, effect: &Effect) {
            match effect {
                Effect::Send { to, message } => {
                    (1, to).hash(self.hasher);
                    self.message(from, *to, message);
                }
                Effect::Persist { ticket: _, record } => (2, record).hash(self.hasher),
                effect => effect.hash(self.hasher),
            }
        }
        fn after(&mut self, me: NodeId, after: &After) {
            match after {
                After::Stored { to, epoch, write_id, state } => {
                    (1, to, epoch, state).hash(self.hasher);
                    self.write_id(*to, *write_id);
                }
                After::OwnStored { write_id } => {
                    2.hash(self.hasher);
                    self.write_id(me, *write_id);
                }
                after => after.hash(self.hasher),
            }
        }
        fn stand(&mut self, stand: &Candidacy, silence: Millis) {
            let Candidacy { view, before, grants, against, since, released } = stand;
            (view, before, grants, against, released).hash(self.hasher);
            self.time(*since, silence);
        }
        fn job(&mut self, me: NodeId, job: &Job) {
            let Job { write_id, state, change, missing, since, sent, joins } = job;
            (state, change, missing, joins).hash(self.hasher);
            self.write_id(me, *write_id);
            self.time(*since, ANSWER);
            self.time(*sent, ANSWER);
        }
        fn lead(&mut self, me: NodeId, lead: &Lead, voters: &[NodeId]) {
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
                settings: GroupSettings { node_id: me, grace_period_ms, .. },
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
            to.time(*heard.max(started), *grace_period_ms);
            if *blank {
                learning.told.hash(to.hasher);
                to.time(learning.ask_at, 0);
            }
            match role {
                Role::Follow => to.time(*candidate_at, 0),
                Role::Candidacy(stand) => {
                    to.time(*candidate_at, 0);
                    to.stand(stand, *grace_period_ms);
                }
                Role::Lead(lead) => to.lead(*me, lead, view.as_ref().map_or(&[], |w| &w.voters)),
            }
        }

        /// The last number that it gave to a write.
        pub fn last_write_id(&self) -> u64 {
            self.serial
        }
        /// From here on chance draws as from this.
        pub fn set_random_state(&mut self, random_state: u64) {
            self.random_state = random_state;
        }

        /// Whether it answers at this time.
        pub fn can_serve(&self, now: Millis) -> bool {
            self.may_answer(now)
        }
        /// There is a state on its disk.
        pub fn has_state(&self) -> bool {
            !self.unfilled
        }
    }
}
