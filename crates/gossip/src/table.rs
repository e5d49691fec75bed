//! What one instance holds of the others: a line for each, which news of a later life or of a worse state replaces.

use crate::{Time, SECOND};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How it stands with a member. Of the same life the later one here goes before the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
    /// It has said itself that it goes.
    Left = 3,
}

impl State {
    pub fn read(byte: u8) -> Option<State> {
        [State::Alive, State::Suspect, State::Dead, State::Left]
            .into_iter()
            .find(|state| *state as u8 == byte)
    }

    pub fn word(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// News of a member, as it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub id: u64,
    /// Rises with each start of it, and whenever it answers a suspicion.
    pub life: u64,
    pub at: SocketAddrV4,
    pub domain: u8,
    pub state: State,
    /// Of a suspicion, who has it; zero otherwise.
    pub by: u64,
}

/// How this instance knows what it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum How {
    /// From itself.
    Itself,
    /// Another member has said so.
    Told(u64),
    /// It did not answer, here.
    Silent,
    /// The time in which it could have answered a suspicion is over.
    Unanswered,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub entry: Entry,
    pub how: How,
    /// Since when it stands so, here.
    pub since: Time,
    /// The highest number of a message of its life, against replays, and a window of those before it.
    pub(crate) number: u64,
    pub(crate) window: u64,
    pub(crate) numbered: u64,
}

impl Member {
    fn new(entry: Entry, how: How, since: Time) -> Member {
        Member { entry, how, since, number: 0, window: 0, numbered: 0 }
    }

    /// Whether a message of this life and number is new. What comes late is taken within a window of sixty-four.
    pub(crate) fn fresh(&mut self, life: u64, number: u64) -> bool {
        if life < self.numbered {
            return false;
        }
        if life > self.numbered {
            (self.numbered, self.number, self.window) = (life, number, 1);
            return true;
        }
        if number > self.number {
            let ahead = number - self.number;
            self.window = if ahead < 64 { self.window << ahead | 1 } else { 1 };
            self.number = number;
            return true;
        }
        let behind = self.number - number;
        let seen = behind >= 64 || self.window >> behind & 1 == 1;
        if !seen {
            self.window |= 1 << behind;
        }
        !seen
    }
}

/// How many there are, this instance among them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Count {
    /// Alive or only suspected: who is likely to be there.
    pub likely: usize,
    /// All that may still be sending: also who is held dead and may only be out of hearing.
    pub safe: usize,
    /// The likely ones by domain.
    pub by_domain: BTreeMap<u8, usize>,
}

/// So long one that is held dead counts as possibly sending: a partition may last.
pub const MAY_SEND: Time = 600 * SECOND;
/// One that has left may still have a push on its way; then it sends no more.
const LAST_PUSHES: Time = 30 * SECOND;
/// After so long a line of one that is dead or has left is let go of.
pub const FORGET: Time = 1800 * SECOND;

#[derive(Clone, Debug, Default)]
pub struct Table {
    pub members: BTreeMap<u64, Member>,
    /// How many of them are alive or suspect: counted anew for each message, that would cost more the more there are.
    living: usize,
    /// Lines that were turned away, for there was no room.
    pub turned_away: u64,
}

/// Who tells of strangers without end must not fill the memory.
pub const MOST: usize = 20_000;

impl Table {
    /// Takes news in. Tells whether it changed anything, and so is news for others too.
    pub fn take(&mut self, now: Time, entry: Entry, how: How) -> bool {
        let Some(member) = self.members.get_mut(&entry.id) else {
            if self.members.len() >= MOST {
                self.turned_away += 1;
                return false;
            }
            self.living += usize::from(entry.state < State::Dead);
            // Of one never heard of, that it is dead or has left is kept too: it keeps older news from reviving it.
            self.members.insert(entry.id, Member::new(entry, how, now));
            return true;
        };
        let own = &member.entry;
        let newer = entry.life > own.life || (entry.life == own.life && entry.state > own.state);
        if !newer {
            return false;
        }
        if member.entry.state != entry.state || entry.life > member.entry.life {
            member.since = now;
        }
        self.living -= usize::from(member.entry.state < State::Dead);
        self.living += usize::from(entry.state < State::Dead);
        (member.entry, member.how) = (entry, how);
        true
    }

    pub fn living(&self) -> usize {
        self.living
    }

    pub fn forget(&mut self, now: Time) {
        self.members.retain(|_, member| member.entry.state < State::Dead || now < member.since + FORGET);
    }

    pub fn lives(&self, id: u64) -> bool {
        self.members.get(&id).is_some_and(|member| member.entry.state < State::Dead)
    }

    /// How many there are besides the instance itself, which has the domain.
    pub fn count(&self, now: Time, domain: u8) -> Count {
        let mut count = Count { likely: 1, safe: 1, by_domain: [(domain, 1)].into() };
        for member in self.members.values() {
            let age = now - member.since;
            match member.entry.state {
                State::Alive | State::Suspect => {
                    count.likely += 1;
                    count.safe += 1;
                    *count.by_domain.entry(member.entry.domain).or_default() += 1;
                }
                State::Dead => count.safe += usize::from(age < MAY_SEND),
                State::Left => count.safe += usize::from(age < LAST_PUSHES),
            }
        }
        count
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::Ipv4Addr;

    fn entry(id: u64, life: u64, state: State) -> Entry {
        Entry {
            id,
            life,
            at: SocketAddrV4::new(Ipv4Addr::LOCALHOST, id as u16),
            domain: (id % 2) as u8,
            state,
            by: 0,
        }
    }

    #[test]
    fn a_later_life_goes_before_and_of_one_life_the_worse_state() {
        use State::{Alive, Dead, Left, Suspect};
        // What is held, what is told, and whether that is news.
        let cases = [
            ((5, Alive), (5, Alive), false),
            ((5, Alive), (5, Suspect), true),
            ((5, Suspect), (5, Alive), false),
            ((5, Suspect), (6, Alive), true),
            ((5, Dead), (5, Alive), false),
            ((5, Dead), (6, Alive), true),
            ((5, Left), (5, Dead), false),
            ((6, Alive), (5, Dead), false),
            ((5, Dead), (5, Left), true),
        ];
        for ((life, state), (told, says), news) in cases {
            let mut table = Table::default();
            assert!(table.take(1, entry(1, life, state), How::Itself));
            assert_eq!(
                table.take(2, entry(1, told, says), How::Told(9)),
                news,
                "{life} {state:?} {told} {says:?}"
            );
            let held = table.members[&1].entry;
            assert_eq!((held.life, held.state), if news { (told, says) } else { (life, state) });
        }
    }

    #[test]
    fn who_is_held_dead_may_still_send_and_is_counted_so() {
        let mut table = Table::default();
        for (id, state) in [(1, State::Alive), (2, State::Suspect), (3, State::Dead), (4, State::Left)] {
            table.take(0, entry(id, 1, state), How::Itself);
        }
        let count = table.count(SECOND, 1);
        assert_eq!((count.likely, count.safe), (3, 5));
        assert_eq!(count.by_domain, [(0, 1), (1, 2)].into());
        assert_eq!(table.count(LAST_PUSHES, 0).safe, 4, "who has left sends no more");
        assert_eq!(table.count(MAY_SEND, 0).safe, 3);
        table.forget(FORGET);
        assert_eq!(table.members.len(), 2);
    }

    #[test]
    fn a_replay_is_told_from_what_is_late() {
        let mut table = Table::default();
        table.take(0, entry(1, 7, State::Alive), How::Itself);
        let member = table.members.get_mut(&1).unwrap();
        // Life, number, and whether it is new.
        let cases = [
            (7, 1, true),
            (7, 1, false),
            (7, 5, true),
            (7, 3, true),
            (7, 3, false),
            (7, 200, true),
            (7, 100, false),
            (7, 150, true),
            (8, 1, true),
            (7, 201, false),
        ];
        for (life, number, new) in cases {
            assert_eq!(member.fresh(life, number), new, "{life} {number}");
        }
    }

    #[test]
    fn strangers_without_end_have_no_room() {
        let mut table = Table::default();
        (0..MOST as u64 + 5).for_each(|id| {
            table.take(0, entry(id, 1, State::Alive), How::Told(1));
        });
        assert_eq!((table.members.len(), table.turned_away), (MOST, 5));
    }
}
