//! What one instance knows of another: the entry that travels, the evidence for it, and which of its messages were received.

use crate::Time;
use std::net::SocketAddrV4;

/// How a member is doing. Of one incarnation a later state here replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers probes.
    Alive = 0,
    /// It did not answer a probe, and has time to refute that.
    Suspect = 1,
    /// It did not refute a suspicion.
    Dead = 2,
    /// It has announced its own end.
    Left = 3,
}

impl State {
    /// The state with this number on the wire.
    pub fn from_byte(byte: u8) -> Option<State> {
        [State::Alive, State::Suspect, State::Dead, State::Left]
            .into_iter()
            .find(|state| *state as u8 == byte)
    }

    /// The word for it in operators' lists.
    pub fn label(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// An update about a member, as it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The member's identifier.
    pub id: u64,
    /// Rises with each start of the member, and whenever it refutes a suspicion.
    pub incarnation: u64,
    /// Where it receives messages.
    pub address: SocketAddrV4,
    /// The failure domain that it runs in.
    pub domain: u8,
    /// How it is doing.
    pub state: State,
    /// Of a suspicion, whose it is; zero otherwise.
    pub suspected_by: u64,
}

/// How this instance knows what it holds of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// The member itself has said so.
    Itself,
    /// Another member has said so.
    ReportedBy(u64),
    /// It did not answer a probe of this instance.
    NoReply,
    /// It did not refute a suspicion in time.
    NotRefuted,
}

/// Messages that come late are accepted within a window of so many before the newest.
const REPLAY_WINDOW: u64 = 64;

/// What one instance knows of another.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest update.
    pub entry: Entry,
    /// How it is known.
    pub evidence: Evidence,
    /// Since when the member has been in this state, as seen here.
    pub since: Time,
    /// The highest message number of the incarnation below, against replays.
    highest_number: u64,
    /// Which of the numbers before it were received, a bit each.
    received: u64,
    /// The incarnation that the numbers belong to.
    numbered_incarnation: u64,
}

impl Member {
    pub(crate) fn new(entry: Entry, evidence: Evidence, since: Time) -> Member {
        Member { entry, evidence, since, highest_number: 0, received: 0, numbered_incarnation: 0 }
    }

    /// Whether a message of this incarnation and number is new; it counts as received from then on.
    pub(crate) fn accept_number(&mut self, incarnation: u64, number: u64) -> bool {
        if incarnation < self.numbered_incarnation {
            return false;
        }
        if incarnation > self.numbered_incarnation {
            (self.numbered_incarnation, self.highest_number, self.received) = (incarnation, number, 1);
            return true;
        }
        if number > self.highest_number {
            let ahead = number - self.highest_number;
            self.received = if ahead < REPLAY_WINDOW { self.received << ahead | 1 } else { 1 };
            self.highest_number = number;
            return true;
        }
        let behind = self.highest_number - number;
        let is_replay = behind >= REPLAY_WINDOW || self.received >> behind & 1 == 1;
        if !is_replay {
            self.received |= 1 << behind;
        }
        !is_replay
    }
}

#[cfg(test)]
pub(crate) mod tests;
