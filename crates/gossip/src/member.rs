//! What one instance knows of another member: the entry that is sent in messages, the evidence for it, and which messages of the
//! member were received.

use crate::Time;
use std::net::SocketAddrV4;

/// State of a member, ordered: for the same incarnation, a later state in this list replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The member answers probes.
    Alive = 0,
    /// The member did not answer a probe, and has time to refute the suspicion.
    Suspect = 1,
    /// The member did not refute a suspicion in time.
    Dead = 2,
    /// The member has announced that it leaves.
    Left = 3,
}

impl State {
    /// Returns the state with this number on the wire.
    pub fn from_byte(byte: u8) -> Option<State> {
        [State::Alive, State::Suspect, State::Dead, State::Left]
            .into_iter()
            .find(|state| *state as u8 == byte)
    }

    /// Returns the name of the state in operators' lists.
    pub fn label(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// An update about a member, as sent in messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Identifier of the member.
    pub id: u64,
    /// Incarnation of the member: increases with each start of the member, and whenever it refutes a suspicion.
    pub incarnation: u64,
    /// Address at which the member receives messages.
    pub address: SocketAddrV4,
    /// Failure domain of the member.
    pub domain: u8,
    /// State of the member.
    pub state: State,
    /// Identifier of the member that suspects this one; 0 if the entry is not a suspicion.
    pub suspected_by: u64,
}

/// Evidence for the state of a member, as known to this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// The member itself announced the state.
    Itself,
    /// Another member, with this identifier, reported the state.
    ReportedBy(u64),
    /// The member did not answer a probe of this instance.
    NoReply,
    /// The member did not refute a suspicion in time.
    NotRefuted,
}

/// Replay window, in messages: a late message is accepted if its number is within this distance of the newest.
const REPLAY_WINDOW: u64 = 64;

/// What one instance knows of another member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Newest update about the member.
    pub entry: Entry,
    /// Evidence for the newest update.
    pub evidence: Evidence,
    /// Time since which the member has been in its state, as seen by this instance.
    pub since: Time,
    /// Highest message number received in `numbered_incarnation`, to detect replays.
    highest_number: u64,
    /// Bit set of the message numbers received, up to the highest one: bit 0 is the highest number, bit n the number n below it.
    received: u64,
    /// Incarnation of the member to which the received message numbers belong.
    numbered_incarnation: u64,
}

impl Member {
    pub(crate) fn new(entry: Entry, evidence: Evidence, since: Time) -> Member {
        Member { entry, evidence, since, highest_number: 0, received: 0, numbered_incarnation: 0 }
    }

    /// Whether a message with this incarnation and number is new. A new message is recorded as received.
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
