//! The encoding of a message, and its authentication. Every message is 1,200 bytes at most, begins with a version byte and names
//! its sender, the sender's incarnation, and a number that rises in that incarnation. With a key, sixteen bytes at its end prove
//! that its writer knows the key. What can't be decoded is counted by its recipient and dropped.

use crate::member::{Entry, State};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Lists by number (`docs/migration.md`) have version 1, so both can be distinguished on one socket.
pub const VERSION: u8 = 2;
/// The longest message.
pub const MAX_MESSAGE_BYTES: usize = 1200;
/// Version, kind, sender, incarnation, number.
const HEADER_BYTES: usize = 2 + 8 + 8 + 8;
/// What the kinds need beside that at the most, and the number of entries.
const MAX_KIND_BYTES: usize = 20 + 1;
/// The authentication tag.
const TAG_BYTES: usize = 16;
/// One entry.
pub const ENTRY_BYTES: usize = 32;

/// A key that all instances of a fleet share.
pub type Key = [u8; 32];

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Asks whether the member with this identifier is there; whoever else has its address now must not answer for it.
    Ping {
        /// Repeated in the answer.
        seq: u32,
        /// The member that is meant.
        id: u64,
    },
    /// Answers a ping.
    Ack {
        /// That of the ping, or of the request that led to it.
        seq: u32,
    },
    /// Asks another member to probe one that did not answer (SWIM's ping-req).
    Request {
        /// Repeated in the answer.
        seq: u32,
        /// The member that is to be probed.
        id: u64,
        /// Where it receives messages.
        address: SocketAddrV4,
    },
    /// Answers a request: no answer yet, but the request was received, so the asking member's own network works (Lifeguard).
    Nack {
        /// That of the request.
        seq: u32,
    },
    /// Asks for members, from this identifier on.
    Sync {
        /// The first identifier.
        from: u64,
    },
    /// Some members, in the order of their identifiers.
    Members {
        /// More follow from this identifier on; none at zero.
        next: u64,
    },
}

/// A message between two instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender.
    pub from: u64,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Rises with each message of an incarnation.
    pub number: u64,
    /// What it asks or answers.
    pub kind: Kind,
    /// Updates about members.
    pub entries: Vec<Entry>,
}

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is no message of this version, or it was cut short.
    #[error("malformed message")]
    Malformed,
    /// Its writer does not know the key.
    #[error("message without the fleet's key")]
    Unauthenticated,
}

fn tag(key: &Key, bytes: &[u8]) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&blake3::keyed_hash(key, bytes).as_bytes()[..TAG_BYTES]);
    tag
}

/// How many entries fit into a message of any kind.
pub const fn max_entries() -> usize {
    (MAX_MESSAGE_BYTES - HEADER_BYTES - TAG_BYTES - MAX_KIND_BYTES) / ENTRY_BYTES
}

impl Message {
    /// The bytes of the message, authenticated if there is a key.
    pub fn encode(&self, key: Option<&Key>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + 24 + self.entries.len() * ENTRY_BYTES + TAG_BYTES);
        let code = match self.kind {
            Kind::Ping { .. } => 1,
            Kind::Ack { .. } => 2,
            Kind::Request { .. } => 3,
            Kind::Nack { .. } => 4,
            Kind::Sync { .. } => 5,
            Kind::Members { .. } => 6,
        };
        bytes.extend([VERSION, code]);
        [self.from, self.incarnation, self.number].iter().for_each(|part| bytes.extend(part.to_le_bytes()));
        match &self.kind {
            Kind::Ping { seq, id } => {
                bytes.extend(seq.to_le_bytes());
                bytes.extend(id.to_le_bytes());
            }
            Kind::Ack { seq } | Kind::Nack { seq } => bytes.extend(seq.to_le_bytes()),
            Kind::Request { seq, id, address } => {
                bytes.extend(seq.to_le_bytes());
                bytes.extend(id.to_le_bytes());
                bytes.extend(address.ip().octets());
                bytes.extend(address.port().to_le_bytes());
            }
            Kind::Sync { from: id } | Kind::Members { next: id } => bytes.extend(id.to_le_bytes()),
        }
        bytes.push(self.entries.len() as u8);
        for entry in &self.entries {
            bytes.extend([entry.state as u8, entry.domain]);
            bytes.extend(entry.id.to_le_bytes());
            bytes.extend(entry.incarnation.to_le_bytes());
            bytes.extend(entry.suspected_by.to_le_bytes());
            bytes.extend(entry.address.ip().octets());
            bytes.extend(entry.address.port().to_le_bytes());
        }
        if let Some(key) = key {
            let tag = tag(key, &bytes);
            bytes.extend(tag);
        }
        bytes
    }

    /// Decodes a message, and checks that its writer knows the key, if there is one.
    ///
    /// # Errors
    ///
    /// Where the bytes are no message, or not by someone who knows the key.
    pub fn decode(bytes: &[u8], key: Option<&Key>) -> Result<Message, DecodeError> {
        if bytes.len() > MAX_MESSAGE_BYTES || bytes.first() != Some(&VERSION) {
            return Err(DecodeError::Malformed);
        }
        let mut bytes = bytes;
        if let Some(key) = key {
            let Some(most) = bytes.len().checked_sub(TAG_BYTES) else {
                return Err(DecodeError::Unauthenticated);
            };
            let (body, found) = bytes.split_at(most);
            // Compared as hashes are, in the same time wherever they differ.
            if blake3::Hash::from(widened(found)) != blake3::Hash::from(widened(&tag(key, body))) {
                return Err(DecodeError::Unauthenticated);
            }
            bytes = body;
        }
        let mut rest = Decoder(&bytes[1..]);
        rest.message().ok_or(DecodeError::Malformed)
    }
}

fn widened(tag: &[u8]) -> [u8; 32] {
    let mut wide = [0; 32];
    wide[..TAG_BYTES].copy_from_slice(tag);
    wide
}

/// The bytes that are left to decode.
struct Decoder<'a>(&'a [u8]);

impl Decoder<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (some, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*some)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take::<1>().map(|[byte]| byte)
    }

    fn long(&mut self) -> Option<u64> {
        self.take().map(u64::from_le_bytes)
    }

    fn seq(&mut self) -> Option<u32> {
        self.take().map(u32::from_le_bytes)
    }

    fn address(&mut self) -> Option<SocketAddrV4> {
        let host: [u8; 4] = self.take()?;
        let port = u16::from_le_bytes(self.take()?);
        Some(SocketAddrV4::new(Ipv4Addr::from(host), port))
    }

    fn message(&mut self) -> Option<Message> {
        let code = self.byte()?;
        let (from, incarnation, number) = (self.long()?, self.long()?, self.long()?);
        let kind = match code {
            1 => Kind::Ping { seq: self.seq()?, id: self.long()? },
            2 => Kind::Ack { seq: self.seq()? },
            3 => Kind::Request { seq: self.seq()?, id: self.long()?, address: self.address()? },
            4 => Kind::Nack { seq: self.seq()? },
            5 => Kind::Sync { from: self.long()? },
            6 => Kind::Members { next: self.long()? },
            _ => return None,
        };
        let count = self.byte()?;
        let mut entries = Vec::with_capacity(usize::from(count));
        for _ in 0..count {
            let (state, domain) = (State::from_byte(self.byte()?)?, self.byte()?);
            let (id, incarnation, suspected_by) = (self.long()?, self.long()?, self.long()?);
            entries.push(Entry { state, domain, id, incarnation, suspected_by, address: self.address()? });
        }
        self.0.is_empty().then_some(Message { from, incarnation, number, kind, entries })
    }
}

#[cfg(test)]
mod tests;
