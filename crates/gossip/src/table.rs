//! The membership table: one entry per member, which is replaced by an update of a later incarnation or of a worse state.

use crate::member::{Entry, Evidence, Member, State};
use crate::{Time, SECOND};
use std::collections::BTreeMap;

/// Time for which a member declared dead counts as possibly sending, because a partition may last.
pub const PARTITION_ALLOWANCE: Time = 600 * SECOND;
/// Time for which a member that left counts as possibly sending, because a message of it may still be in flight; after that it
/// sends nothing.
const DEPARTURE_ALLOWANCE: Time = 30 * SECOND;
/// Time after which the entry of a member that is dead or has left is removed.
pub const RETENTION: Time = 1800 * SECOND;
/// Maximum number of members in the table: a sender that reports unknown members without end must not fill the memory.
pub const MAX_MEMBERS: usize = 20_000;

/// Number of members, including this instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberCount {
    /// Members that are alive or only suspected, and so are likely to be running.
    pub likely: usize,
    /// Members that may still be sending, including those that were declared dead and may only be partitioned.
    pub possibly_sending: usize,
    /// Members that are likely to be running, by failure domain.
    pub by_domain: BTreeMap<u8, usize>,
}

/// All members but the instance itself.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Members by identifier.
    pub members: BTreeMap<u64, Member>,
    /// Number of members that are alive or suspect. It is stored because the cost of counting them for each message would grow
    /// with their number.
    alive_count: usize,
    /// Number of updates that were rejected because the table was full.
    pub rejected: u64,
}

impl Table {
    /// Applies an update. Returns whether it changed the table, and so should be disseminated to other members.
    pub fn apply(&mut self, now: Time, entry: Entry, evidence: Evidence) -> bool {
        let Some(member) = self.members.get_mut(&entry.id) else {
            return self.insert(now, entry, evidence);
        };
        let known = &member.entry;
        let is_newer = entry.incarnation > known.incarnation
            || (entry.incarnation == known.incarnation && entry.state > known.state);
        if !is_newer {
            return false;
        }
        if known.state != entry.state || entry.incarnation > known.incarnation {
            member.since = now;
        }
        self.alive_count -= usize::from(member.entry.state < State::Dead);
        self.alive_count += usize::from(entry.state < State::Dead);
        (member.entry, member.evidence) = (entry, evidence);
        true
    }

    /// Adds a member that was not known. Members that are dead or have left are added too: their entries keep older updates from
    /// reviving them.
    fn insert(&mut self, now: Time, entry: Entry, evidence: Evidence) -> bool {
        if self.members.len() >= MAX_MEMBERS {
            self.rejected += 1;
            return false;
        }
        self.alive_count += usize::from(entry.state < State::Dead);
        self.members.insert(entry.id, Member::new(entry, evidence, now));
        true
    }

    /// Returns the number of members that are alive or suspect.
    pub fn alive_count(&self) -> usize {
        self.alive_count
    }

    /// Removes members that have been dead or gone for longer than the retention.
    pub fn remove_expired(&mut self, now: Time) {
        self.members.retain(|_, member| member.entry.state < State::Dead || now < member.since + RETENTION);
    }

    /// Whether a member is alive or suspect.
    pub fn is_alive(&self, id: u64) -> bool {
        self.members.get(&id).is_some_and(|member| member.entry.state < State::Dead)
    }

    /// Counts the members, including the instance itself, which is in the failure domain `own_domain`.
    pub fn count(&self, now: Time, own_domain: u8) -> MemberCount {
        let mut count = MemberCount { likely: 1, possibly_sending: 1, by_domain: [(own_domain, 1)].into() };
        for member in self.members.values() {
            let age = now - member.since;
            match member.entry.state {
                State::Alive | State::Suspect => {
                    count.likely += 1;
                    count.possibly_sending += 1;
                    *count.by_domain.entry(member.entry.domain).or_default() += 1;
                }
                State::Dead => count.possibly_sending += usize::from(age < PARTITION_ALLOWANCE),
                State::Left => count.possibly_sending += usize::from(age < DEPARTURE_ALLOWANCE),
            }
        }
        count
    }
}

#[cfg(test)]
mod tests;
