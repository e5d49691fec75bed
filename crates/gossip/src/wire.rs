//! The form of a message, and what authenticates it. Every message is 1,200 bytes at most, begins with a version byte and
//! names its sender, the sender's life, and a number that rises in that life; with a key, sixteen bytes at its end say
//! that who knows the key has written it. What can't be read is counted by its reader and dropped whole.

use crate::table::{Entry, State};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Lists by number have version 1, so both can be told apart on one socket.
pub const VERSION: u8 = 2;
pub const LONGEST: usize = 1200;
/// Version, kind, sender, life, number.
const HEAD: usize = 2 + 8 + 8 + 8;
const TAG: usize = 16;
pub const ENTRY: usize = 32;

pub type Key = [u8; 32];

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Are you there? For who has this id; whoever else is at the address now must not answer for it.
    Ping {
        seq: u32,
        id: u64,
    },
    Ack {
        seq: u32,
    },
    /// Ask that one for me.
    Request {
        seq: u32,
        id: u64,
        at: SocketAddrV4,
    },
    /// I asked, and have heard nothing in time: you hear me, so it is not your own ears.
    Nack {
        seq: u32,
    },
    /// Tell me of members, from this one on in the order of ids.
    Sync {
        from: u64,
    },
    /// Some members, in answer; more follow from this id on, or none at zero.
    Told {
        next: u64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub from: u64,
    pub life: u64,
    /// Rises with each message of a life.
    pub number: u64,
    pub kind: Kind,
    /// News that rides along.
    pub entries: Vec<Entry>,
}

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Dropped {
    Garbled,
    /// Its writer does not know the key.
    Stranger,
}

fn tag(key: &Key, text: &[u8]) -> [u8; TAG] {
    let mut tag = [0; TAG];
    tag.copy_from_slice(&blake3::keyed_hash(key, text).as_bytes()[..TAG]);
    tag
}

/// How many entries fit beside a kind.
pub fn room() -> usize {
    (LONGEST - HEAD - TAG - 20 - 1) / ENTRY
}

impl Message {
    pub fn write(&self, key: Option<&Key>) -> Vec<u8> {
        let mut text = Vec::with_capacity(HEAD + 24 + self.entries.len() * ENTRY + TAG);
        let code = match self.kind {
            Kind::Ping { .. } => 1,
            Kind::Ack { .. } => 2,
            Kind::Request { .. } => 3,
            Kind::Nack { .. } => 4,
            Kind::Sync { .. } => 5,
            Kind::Told { .. } => 6,
        };
        text.extend([VERSION, code]);
        [self.from, self.life, self.number].iter().for_each(|part| text.extend(part.to_le_bytes()));
        match &self.kind {
            Kind::Ping { seq, id } => {
                text.extend(seq.to_le_bytes());
                text.extend(id.to_le_bytes());
            }
            Kind::Ack { seq } | Kind::Nack { seq } => text.extend(seq.to_le_bytes()),
            Kind::Request { seq, id, at } => {
                text.extend(seq.to_le_bytes());
                text.extend(id.to_le_bytes());
                text.extend(at.ip().octets());
                text.extend(at.port().to_le_bytes());
            }
            Kind::Sync { from: id } | Kind::Told { next: id } => text.extend(id.to_le_bytes()),
        }
        text.push(self.entries.len() as u8);
        for entry in &self.entries {
            text.extend([entry.state as u8, entry.domain]);
            text.extend(entry.id.to_le_bytes());
            text.extend(entry.life.to_le_bytes());
            text.extend(entry.by.to_le_bytes());
            text.extend(entry.at.ip().octets());
            text.extend(entry.at.port().to_le_bytes());
        }
        if let Some(key) = key {
            let tag = tag(key, &text);
            text.extend(tag);
        }
        text
    }

    pub fn read(text: &[u8], key: Option<&Key>) -> Result<Message, Dropped> {
        if text.len() > LONGEST || text.first() != Some(&VERSION) {
            return Err(Dropped::Garbled);
        }
        let mut text = text;
        if let Some(key) = key {
            let Some(most) = text.len().checked_sub(TAG) else { return Err(Dropped::Stranger) };
            let (body, found) = text.split_at(most);
            // Compared as hashes are, in the same time wherever they differ.
            if blake3::Hash::from(widened(found)) != blake3::Hash::from(widened(&tag(key, body))) {
                return Err(Dropped::Stranger);
            }
            text = body;
        }
        let mut rest = Rest(&text[1..]);
        rest.message().ok_or(Dropped::Garbled)
    }
}

fn widened(tag: &[u8]) -> [u8; 32] {
    let mut wide = [0; 32];
    wide[..TAG].copy_from_slice(tag);
    wide
}

/// What is left to read.
struct Rest<'a>(&'a [u8]);

impl Rest<'_> {
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

    fn at(&mut self) -> Option<SocketAddrV4> {
        let host: [u8; 4] = self.take()?;
        let port = u16::from_le_bytes(self.take()?);
        Some(SocketAddrV4::new(Ipv4Addr::from(host), port))
    }

    fn message(&mut self) -> Option<Message> {
        let code = self.byte()?;
        let (from, life, number) = (self.long()?, self.long()?, self.long()?);
        let kind = match code {
            1 => Kind::Ping { seq: self.seq()?, id: self.long()? },
            2 => Kind::Ack { seq: self.seq()? },
            3 => Kind::Request { seq: self.seq()?, id: self.long()?, at: self.at()? },
            4 => Kind::Nack { seq: self.seq()? },
            5 => Kind::Sync { from: self.long()? },
            6 => Kind::Told { next: self.long()? },
            _ => return None,
        };
        let count = self.byte()?;
        let mut entries = Vec::with_capacity(usize::from(count));
        for _ in 0..count {
            let (state, domain) = (State::read(self.byte()?)?, self.byte()?);
            let (id, life, by) = (self.long()?, self.long()?, self.long()?);
            entries.push(Entry { state, domain, id, life, by, at: self.at()? });
        }
        self.0.is_empty().then_some(Message { from, life, number, kind, entries })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn messages() -> Vec<Message> {
        let at = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 7), 4711);
        let entry = |id: u64, state| Entry { id, life: id * 3, at, domain: 2, state, by: id + 5 };
        let entries = vec![entry(1, State::Alive), entry(2, State::Suspect), entry(3, State::Left)];
        let kinds = [
            Kind::Ping { seq: 7, id: 9 },
            Kind::Ack { seq: u32::MAX },
            Kind::Request { seq: 1, id: 2, at },
            Kind::Nack { seq: 0 },
            Kind::Sync { from: 5 },
            Kind::Told { next: 0 },
        ];
        kinds.map(|kind| Message { from: 1, life: 2, number: 3, kind, entries: entries.clone() }).to_vec()
    }

    #[test]
    fn what_is_written_is_read_and_nothing_else_is() {
        let (key, other) = ([7; 32], [8; 32]);
        for message in messages() {
            let (plain, tagged) = (message.write(None), message.write(Some(&key)));
            assert_eq!(Message::read(&plain, None).as_ref(), Ok(&message));
            assert_eq!(Message::read(&tagged, Some(&key)).as_ref(), Ok(&message));
            assert_eq!(Message::read(&tagged, Some(&other)), Err(Dropped::Stranger));
            assert_eq!(Message::read(&plain, Some(&key)), Err(Dropped::Stranger));
            // Cut short anywhere, longer, or changed at any byte.
            for at in 0..plain.len() {
                assert!(Message::read(&plain[..at], None).is_err(), "{message:?} to {at}");
            }
            assert!(Message::read(&[&plain[..], &[0]].concat(), None).is_err());
            for at in 0..tagged.len() {
                let mut spoilt = tagged.clone();
                spoilt[at] ^= 1;
                assert!(Message::read(&spoilt, Some(&key)).is_err(), "{message:?} at {at}");
            }
        }
        assert_eq!(Message::read(&[], None), Err(Dropped::Garbled));
        assert_eq!(Message::read(&[1, 0], None), Err(Dropped::Garbled), "a list by number's");
    }

    #[test]
    fn the_fullest_message_is_no_longer_than_may_be() {
        let mut message = messages().remove(2);
        message.entries = vec![message.entries[0]; room()];
        let text = message.write(Some(&[1; 32]));
        assert!(text.len() <= LONGEST && text.len() > LONGEST - 2 * ENTRY, "{}", text.len());
        assert!(Message::read(&text, Some(&[1; 32])).is_ok());
    }
}
