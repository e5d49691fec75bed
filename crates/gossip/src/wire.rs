//! Encoding and authentication of messages. Every message is at most 1,200 bytes long, begins with a version byte and contains
//! its sender, the sender's incarnation, and a number that increases within that incarnation. If there is a key, the last sixteen
//! bytes prove that the sender knows the key. The recipient counts and drops messages that can't be decoded.

use crate::member::{Entry, State};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Version of the message format. Membership lists by number (`docs/migration.md`) have version 1, so the two formats can be
/// distinguished on one socket.
pub const VERSION: u8 = 2;
/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1200;
/// Length of the message header, in bytes: version, kind, sender, incarnation, number.
const HEADER_BYTES: usize = 2 + 8 + 8 + 8;
/// Maximum length, in bytes, of the fields of a message kind and of the number of entries, which follow the header.
const MAX_KIND_BYTES: usize = 20 + 1;
/// Length of the authentication tag, in bytes.
const TAG_BYTES: usize = 16;
/// Length of one encoded entry, in bytes.
pub const ENTRY_BYTES: usize = 32;

/// A key shared by all instances of a fleet.
pub type Key = [u8; 32];

/// Kind of a message, with the fields of the kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Asks whether the member with this identifier is running; another process that has its address now must not answer for it.
    Ping {
        /// Sequence number that the answer repeats.
        seq: u32,
        /// Identifier of the member that should answer.
        id: u64,
    },
    /// Answers a ping.
    Ack {
        /// Sequence number of the ping, or of the request that led to it.
        seq: u32,
    },
    /// Asks another member to probe a member that did not answer (SWIM's ping-req).
    Request {
        /// Sequence number that the answer repeats.
        seq: u32,
        /// Identifier of the member to probe.
        id: u64,
        /// Address at which the member to probe receives messages.
        address: SocketAddrV4,
    },
    /// Answers a request: there is no answer to the probe yet, but the request was received, so the requesting member's own
    /// network works (Lifeguard).
    Nack {
        /// Sequence number of the request.
        seq: u32,
    },
    /// Asks for the members from this identifier on.
    Sync {
        /// The first identifier asked for.
        from: u64,
    },
    /// Members, in the order of their identifiers.
    Members {
        /// Identifier from which on more members follow; 0 if there are no more.
        next: u64,
    },
}

/// A message between two instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Identifier of the sender.
    pub from: u64,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Message number, which increases with each message of an incarnation.
    pub number: u64,
    /// Kind of the message.
    pub kind: Kind,
    /// Updates about members.
    pub entries: Vec<Entry>,
}

/// Reason for which a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not a message of this version, or the message was truncated.
    #[error("malformed message")]
    Malformed,
    /// The message is not authenticated with the fleet's key.
    #[error("message without the fleet's key")]
    Unauthenticated,
}

fn tag(key: &Key, bytes: &[u8]) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&blake3::keyed_hash(key, bytes).as_bytes()[..TAG_BYTES]);
    tag
}

/// Returns the number of entries that fit into a message of any kind.
pub const fn max_entries() -> usize {
    (MAX_MESSAGE_BYTES - HEADER_BYTES - TAG_BYTES - MAX_KIND_BYTES) / ENTRY_BYTES
}

impl Message {
    /// Returns the encoded message, authenticated if there is a key.
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

    /// Decodes a message and, if there is a key, checks its authentication tag.
    ///
    /// # Errors
    ///
    /// The bytes are not a message, or the sender does not know the key.
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
            // The tags are compared as hashes, in constant time, so that the time does not reveal where they differ.
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

/// The bytes that remain to be decoded.
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
