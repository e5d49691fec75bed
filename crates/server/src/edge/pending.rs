//! What an edge asks stores for its clients, one store after the other, and what their answers lead to. No I/O.
//!
//! An answer is tied to its question by the ticket. It may come when another store has been asked meanwhile: what it says
//! counts, but it ends no wait but its own.

use crate::net::{ConnectionId, Millis};
use crate::protocol::{KnownMessage, MessageState};
use stileroute_queue::{Key, Message, Node, PutError};

/// A message that is offered to stores until one has taken it.
pub struct Put {
    pub conn: ConnectionId,
    pub message: Message,
    pub tried: Vec<Node>,
    pub sent: Millis,
    pub until: Millis,
    /// A store that was asked may have it.
    pub uncertain: bool,
}

/// What a refusal leads to.
#[derive(Debug, PartialEq)]
pub enum Refused {
    /// Another store is asked.
    Next,
    /// Another has been asked already, and is waited for.
    Wait,
}

impl Put {
    pub fn refused(&mut self, from: Node, refusal: PutError) -> Refused {
        self.uncertain |= refusal == PutError::Uncertain;
        match self.tried.last() == Some(&from) {
            true => Refused::Next,
            false => Refused::Wait,
        }
    }
}

/// A question what became of a message.
pub struct Find {
    pub conn: ConnectionId,
    pub key: Key,
    pub body: bool,
    pub left: Vec<Node>,
    pub asked: Node,
    pub sent: Millis,
    pub until: Millis,
    /// One said that it never ended: any other answer is better.
    pub waiting: Option<KnownMessage>,
    /// A store that may know it could not be asked, or has not answered.
    pub unsure: bool,
}

/// What a store's word leads to.
#[derive(Debug, PartialEq)]
pub enum Heard {
    Answer(KnownMessage),
    Next,
    Wait,
}

impl Find {
    pub fn heard(&mut self, from: Node, found: Option<KnownMessage>) -> Heard {
        let next = if self.asked == from { Heard::Next } else { Heard::Wait };
        match found {
            Some(found @ KnownMessage { state: MessageState::Pending, .. }) if from != self.key.origin => {
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
