//! The table of members: one entry each, which an update of a later incarnation or of a worse state replaces.

use crate::member::{Entry, Evidence, Member, State};
use crate::{Time, SECOND};
use std::collections::BTreeMap;

/// For so long a member that is held dead counts as possibly sending: a partition may last.
pub const PARTITION_ALLOWANCE: Time = 600 * SECOND;
/// A member that has left may still have a message on its way for so long; then it sends no more.
const DEPARTURE_ALLOWANCE: Time = 30 * SECOND;
/// The entry of a member that is dead or has left is removed after so long.
pub const RETENTION: Time = 1800 * SECOND;
/// Most members that are kept: whoever reports strangers without end must not fill the memory.
pub const MAX_MEMBERS: usize = 20_000;

/// How many members there are, this instance among them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberCount {
    /// Alive or only suspected: likely to be there.
    pub likely: usize,
    /// All that may still be sending: also those that are held dead and may only be partitioned.
    pub possibly_sending: usize,
    /// The likely ones by failure domain.
    pub by_domain: BTreeMap<u8, usize>,
}

/// All members but the instance itself.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// By identifier.
    pub members: BTreeMap<u64, Member>,
    /// How many of them are alive or suspect: to count them anew for each message would cost more the more there are.
    alive_count: usize,
    /// Updates that were rejected, for there was no room.
    pub rejected: u64,
}

impl Table {
    /// Applies an update. Returns whether it changed anything, and so is an update for others too.
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

    /// Adds a member that was never heard of. Also one that is dead or has left: its entry keeps older updates from reviving it.
    fn insert(&mut self, now: Time, entry: Entry, evidence: Evidence) -> bool {
        if self.members.len() >= MAX_MEMBERS {
            self.rejected += 1;
            return false;
        }
        self.alive_count += usize::from(entry.state < State::Dead);
        self.members.insert(entry.id, Member::new(entry, evidence, now));
        true
    }

    /// How many members are alive or suspect.
    pub fn alive_count(&self) -> usize {
        self.alive_count
    }

    /// Removes members that have been dead or gone for long.
    pub fn remove_expired(&mut self, now: Time) {
        self.members.retain(|_, member| member.entry.state < State::Dead || now < member.since + RETENTION);
    }

    /// Whether a member is alive or suspect.
    pub fn is_alive(&self, id: u64) -> bool {
        self.members.get(&id).is_some_and(|member| member.entry.state < State::Dead)
    }

    /// How many there are besides the instance itself, which is in this failure domain.
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
