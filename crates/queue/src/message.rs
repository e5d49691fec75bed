//! A message of the queue: its key, its content, its replicated form and how it ends.

use serde::{Deserialize, Serialize};

/// Time in milliseconds on the steady clock of this process.
pub type Millis = u64;
/// Identifier of a node: a hash of its name.
pub type Node = u32;

/// Key of a message: the store that accepted it, and the number that this store gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The store that accepted the message. It need not be the owner any more.
    pub origin: Node,
    /// Number of the message among those that the origin has accepted. Each restart of the origin begins a new range of
    /// numbers.
    pub number: u64,
}

/// A message key as clients send it back, with the stores that probably know the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyLocation {
    /// Key of the message.
    pub key: Key,
    /// Stores to ask about the message, in this order: the origin, then the replicas that the text names.
    pub stores: Vec<Node>,
}

/// Bit that is set in the numbers of messages whose text key ends with a checksum. Earlier builds never gave a number
/// with this bit.
pub(crate) const CHECKED_NUMBER: u64 = 1 << 35;

impl Key {
    /// The text key that clients get for the message: hexadecimal numbers separated by dots, with the first replica
    /// after the key and a checksum at the end, so that a truncated or altered text names no message.
    pub fn to_text(&self, replica: Option<Node>) -> String {
        let text = match replica {
            Some(replica) => format!("{:x}.{:x}.{replica:x}", self.origin, self.number),
            None => format!("{:x}.{:x}", self.origin, self.number),
        };
        if self.number & CHECKED_NUMBER == 0 {
            return text;
        }
        let checksum = crc32fast::hash(text.as_bytes());
        format!("{text}.{checksum:08x}")
    }

    /// Parses a text written by [`Key::to_text`]; `None` if the text names no message.
    pub fn parse(text: &str) -> Option<KeyLocation> {
        let mut location = Key::parse_unchecked(text)?;
        if location.key.number & CHECKED_NUMBER == 0 {
            return Some(location);
        }
        // The last part is the checksum and not a store.
        location.stores.pop();
        let replica = location.stores.get(1).copied();
        (location.key.to_text(replica) == text).then_some(location)
    }

    /// Parses a text key without verifying its checksum, which is read as one more store. Earlier builds do the same,
    /// and ask no store with that number.
    ///
    /// Replicas are read up to the first part that is not a hexadecimal number.
    fn parse_unchecked(text: &str) -> Option<KeyLocation> {
        let mut parts = text.split('.');
        let origin = Node::from_str_radix(parts.next()?, 16).ok()?;
        let number = u64::from_str_radix(parts.next()?, 16).ok()?;
        let replicas = parts.map_while(|part| Node::from_str_radix(part, 16).ok());
        let stores = std::iter::once(origin).chain(replicas).collect();
        Some(KeyLocation { key: Key { origin, number }, stores })
    }
}

/// A message as a client has submitted it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// Identifier chosen by the client. Executors use it to recognise a repeated delivery.
    pub id: String,
    /// Host of the request. Together with the target it selects the route.
    pub host: String,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Content type of the body, if the client sent one.
    pub content_type: Option<String>,
    /// URL to which a callback is sent once the message has ended.
    pub callback_url: Option<String>,
    /// Route and key of the message's FIFO group. The message must not start before earlier messages of the group have
    /// ended.
    pub ordering_key: Option<String>,
    /// Earliest start of the message, in milliseconds after it was accepted.
    pub delay_ms: u64,
    /// Time of day at which the message was accepted, in milliseconds since 1970; 0 where it is no longer kept.
    pub accepted_at_ms: u64,
    /// Revision of the configuration under which the message was accepted.
    pub config_revision: u64,
    /// Body of the request.
    pub body: Vec<u8>,
    /// The tenant whose API key the request carried. Kept after the end, for lookups of the message.
    pub tenant: Option<String>,
    /// The client's idempotency key: all requests of one tenant with the same key are one message. Kept after the end.
    pub idempotency_key: Option<String>,
    /// The term in which the accepting store held the shard of the idempotency key; 0 if there is no such key.
    pub shard_term: u64,
}

/// How a message ended: completed or failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// An executor has completed the message.
    Complete {
        /// The executor's proof that it ran the message.
        seal: String,
    },
    /// The message was rejected permanently, ran out of attempts or waited too long.
    Failed,
}

/// A message with its ownership, in the form in which stores send it to each other and keep it on disk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedMessage {
    /// Key of the message.
    pub key: Key,
    /// The store that delivers the message.
    pub owner: Node,
    /// Term of the ownership, raised with each change of owner. Of two claims the one with the higher term is valid.
    pub term: u32,
    /// Stores other than the owner that hold a replica of the message.
    pub replicas: Vec<Node>,
    /// Time until the message is due, in milliseconds.
    pub due_in_ms: u64,
    /// Time that the message has waited since it was accepted, in milliseconds.
    pub waited_ms: u64,
    /// Number of attempts that have failed so far.
    pub attempts: u32,
    /// The message as the client submitted it.
    pub message: Message,
}

impl ReplicatedMessage {
    /// Rank of an ownership claim: the greatest is valid. Of equal terms that is the claim of the lower node.
    pub(crate) fn rank(&self) -> (u32, std::cmp::Reverse<Node>) {
        (self.term, std::cmp::Reverse(self.owner))
    }
}

/// Why a store did not confirm a message that an edge offered to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum PutError {
    /// The message is not kept and will never run; another store may be asked.
    #[error("the store did not accept the message")]
    Rejected,
    /// The message may run; asking another store could run it twice.
    #[error("it is unknown whether the store has accepted the message")]
    Uncertain,
    /// The tenant has used up its quota. The message is not kept and will never run, and another store would give the
    /// same answer.
    #[error("the tenant has used up its quota")]
    QuotaExceeded,
    /// It is not known whether the quota allows the message, which is not kept and will never run.
    #[error("the holder of the tenant's quota did not answer")]
    QuotaUnknown,
}
