//! What an edge asks stores for its clients, one store after the other, and what their answers lead to. No I/O.
//!
//! An answer is tied to its question by the ticket. It may come when another store has been asked meanwhile: what it says
//! counts, but it ends no wait but its own.

use crate::net::{ConnId, Millis};
use crate::signals::Found;
use stileroute_hold::{Cargo, Key, Node, Refusal};

/// A message that is offered to stores until one has taken it.
pub struct Put {
    pub conn: ConnId,
    pub cargo: Cargo,
    pub tried: Vec<Node>,
    pub sent: Millis,
    pub until: Millis,
    /// A store that was asked may have it.
    pub uncertain: bool,
    /// All stores have been asked in vain: it is offered anew when one can be asked again.
    pub parked: bool,
    /// How long it is parked before those that are there are asked again; zero until it was parked.
    pub pause: Millis,
}

/// How long a message is parked first, and at most.
const PAUSE: (Millis, Millis) = (100, 800);

/// What a refusal leads to.
#[derive(Debug, PartialEq)]
pub enum Refused {
    /// Another store is asked.
    Next,
    /// Another has been asked already, and is waited for.
    Wait,
}

impl Put {
    pub fn new(conn: ConnId, cargo: Cargo, now: Millis, until: Millis) -> Put {
        Put { conn, cargo, tried: Vec::new(), sent: now, until, uncertain: false, parked: false, pause: 0 }
    }

    /// It has been offered to more than one store, or to one more than once.
    pub fn offered_again(&self) -> bool {
        self.tried.len() > 1 || self.pause > 0
    }

    /// No store is left to ask. Tells when those that are there are asked again; `None`: its client's time is over.
    pub fn park(&mut self, now: Millis) -> Option<Millis> {
        self.parked = now < self.until;
        self.pause = (self.pause * 2).clamp(PAUSE.0, PAUSE.1);
        self.parked.then(|| (now + self.pause).min(self.until))
    }

    /// All stores may be asked once more.
    pub fn begin_anew(&mut self) {
        self.parked = false;
        self.tried.clear();
    }

    /// Waits for the word of this store.
    pub fn waits_for(&self, store: Node) -> bool {
        !self.parked && self.tried.last() == Some(&store)
    }

    pub fn refused(&mut self, from: Node, refusal: Refusal) -> Refused {
        self.uncertain |= refusal == Refusal::Uncertain;
        match self.waits_for(from) {
            true => Refused::Next,
            false => Refused::Wait,
        }
    }
}

/// What is known of a message: its state, and its bytes where they were asked for.
pub type Known = (Found, Option<Vec<u8>>);

/// A question what became of a message.
pub struct Find {
    pub conn: ConnId,
    pub key: Key,
    pub body: bool,
    pub left: Vec<Node>,
    pub asked: Node,
    pub sent: Millis,
    pub until: Millis,
    /// One said that it never ended: any other answer is better.
    pub waiting: Option<Known>,
    /// A store that may know it could not be asked, or has not answered.
    pub unsure: bool,
}

/// What a store's word leads to.
#[derive(Debug, PartialEq)]
pub enum Heard {
    Answer(Known),
    Next,
    Wait,
}

impl Find {
    pub fn heard(&mut self, from: Node, found: Option<Known>) -> Heard {
        let next = if self.asked == from { Heard::Next } else { Heard::Wait };
        match found {
            Some(found @ (Found::Waiting, _)) if from != self.key.origin => {
                self.waiting = Some(found);
                next
            }
            Some(found) => Heard::Answer(found),
            None => next,
        }
    }
}

#[cfg(test)]
mod tests;
