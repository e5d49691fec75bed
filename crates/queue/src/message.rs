//! A message of the queue: its key, its content, its replicated form and how it ends.

use serde::{Deserialize, Serialize};

/// Milliseconds on the steady clock of this process.
pub type Millis = u64;
/// Identifier of a node: a hash of its name.
pub type Node = u32;

/// Identifies a message: the store that accepted it, and the number that the store gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The store that accepted the message; it need not own it any more.
    pub origin: Node,
    /// Number among the messages that the origin has accepted; a restart begins a new series.
    pub number: u64,
}

/// A key as clients send it back, with the stores that are likely to know the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyLocation {
    /// The message's key.
    pub key: Key,
    /// Stores to ask, in this order: the origin, then the replicas that the text names.
    pub stores: Vec<Node>,
}

/// Set in the numbers of messages whose text ends with a checksum. Earlier builds never gave a number with this bit.
pub(crate) const CHECKED_NUMBER: u64 = 1 << 35;

impl Key {
    /// The text that clients get for the message: hexadecimal numbers, with its first replica behind the key and a checksum at the
    /// end, so that a text which was cut short or altered names no message.
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

    /// Reads what [`Key::to_text`] has written; `None` if the text names no message.
    pub fn parse(text: &str) -> Option<KeyLocation> {
        let mut location = Key::parse_unchecked(text)?;
        if location.key.number & CHECKED_NUMBER == 0 {
            return Some(location);
        }
        // The last part is the checksum, not a store.
        location.stores.pop();
        let replica = location.stores.get(1).copied();
        (location.key.to_text(replica) == text).then_some(location)
    }

    /// Reads a text without regard to a checksum, which counts as a store: so do earlier builds, which ask no store of that number.
    ///
    /// Replicas are read up to the first that is no hexadecimal number.
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
    /// Identifier that the client chose: executors use it to recognise a repeated delivery.
    pub id: String,
    /// Host of the request; with the target it selects the route.
    pub host: String,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Content type of the body, if the client named one.
    pub content_type: Option<String>,
    /// URL that is called once the message has ended.
    pub callback_url: Option<String>,
    /// Route and key of its FIFO group: it must not start before the messages of the same group that were accepted earlier.
    pub ordering_key: Option<String>,
    /// Earliest start, in milliseconds after the message was accepted.
    pub delay_ms: u64,
    /// Time of day when it was accepted, in milliseconds since 1970; 0 where that is no longer kept.
    pub accepted_at_ms: u64,
    /// Revision of the configuration under which it was accepted.
    pub config_revision: u64,
    /// Body of the request.
    pub body: Vec<u8>,
    /// The tenant whose key the request carried; kept after the end, for questions.
    pub tenant: Option<String>,
    /// The client's idempotency key: all requests of one tenant with one key are one message. Kept after the end.
    pub idempotency_key: Option<String>,
    /// The term in which the accepting store held the shard of that key; 0 where there is none.
    pub shard_term: u64,
}

/// How a message ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// An executor has completed it.
    Complete {
        /// The executor's proof that it ran the message.
        seal: String,
    },
    /// It was rejected for good, ran out of attempts or waited too long.
    Failed,
}

/// A message with its ownership, as one store sends it to another and as it is kept on disk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedMessage {
    /// The message's key.
    pub key: Key,
    /// The store that delivers it.
    pub owner: Node,
    /// Raised with each change of owner; of two claims the one with the higher term holds.
    pub term: u32,
    /// The other stores that hold a replica.
    pub replicas: Vec<Node>,
    /// How long until it is due, in milliseconds from now.
    pub due_in_ms: u64,
    /// How long it has waited since it was accepted, in milliseconds.
    pub waited_ms: u64,
    /// Attempts that have failed so far.
    pub attempts: u32,
    /// What the client submitted.
    pub message: Message,
}

impl ReplicatedMessage {
    /// Orders claims to own the message: the greatest holds. Of equal terms that is the one of the lower node.
    pub(crate) fn rank(&self) -> (u32, std::cmp::Reverse<Node>) {
        (self.term, std::cmp::Reverse(self.owner))
    }
}

/// Why a store did not confirm a message that an edge has offered to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum PutError {
    /// It is not kept and will never run: another store may be asked.
    #[error("the store did not accept the message")]
    Rejected,
    /// It may run: asking another store could run it twice.
    #[error("it is unknown whether the store has accepted the message")]
    Uncertain,
    /// The tenant has used up its quota: it is not kept and will never run, and another store would say the same.
    #[error("the tenant has used up its quota")]
    QuotaExceeded,
    /// It is not known whether the quota allows it: it is not kept and will never run.
    #[error("the holder of the tenant's quota did not answer")]
    QuotaUnknown,
}
