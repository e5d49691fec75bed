//! What a message is, on the wire between stores and on disk.

use serde::{Deserialize, Serialize};

/// Milliseconds on the steady clock of this process.
pub type Millis = u64;
/// A node of the system, by a hash of its name.
pub type Node = u32;

/// A message's name: who took it, and its number there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    pub origin: Node,
    pub number: u64,
}

impl Key {
    /// As clients see it: the key, and where its first copy lies.
    pub fn name(&self, copy: Option<Node>) -> String {
        match copy {
            Some(copy) => format!("{:x}.{:x}.{copy:x}", self.origin, self.number),
            None => format!("{:x}.{:x}", self.origin, self.number),
        }
    }
    /// The key, and where to ask in which order.
    pub fn parse(name: &str) -> Option<(Key, Vec<Node>)> {
        let mut parts = name.split('.');
        let origin = Node::from_str_radix(parts.next()?, 16).ok()?;
        let number = u64::from_str_radix(parts.next()?, 16).ok()?;
        let copies = parts.map_while(|part| Node::from_str_radix(part, 16).ok());
        Some((Key { origin, number }, std::iter::once(origin).chain(copies).collect()))
    }
}

/// A message as it was taken.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub id: String,
    pub host: String,
    pub method: String,
    pub target: String,
    pub content_type: Option<String>,
    pub callback: Option<String>,
    /// Route and key of a message that must not start before those of the same that were accepted earlier.
    pub order_key: Option<String>,
    /// Not to run sooner than so long after it was taken.
    pub delay_ms: u64,
    /// Time of day when it was taken, in ms: only a restart counts by it.
    pub taken: u64,
    /// The version of the configuration by which it was taken.
    pub config: u64,
    pub body: Vec<u8>,
}

/// How a message ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum End {
    Complete { seal: String },
    Failed,
}

/// A message as one store tells it to another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shared {
    pub key: Key,
    pub owner: Node,
    /// Rises with each change of owner: the higher one holds.
    pub term: u32,
    pub copies: Vec<Node>,
    /// How long until it is due, and how long it has waited since it was taken.
    pub due_in: u64,
    pub waited: u64,
    pub tries: u32,
    pub message: Message,
}

impl Shared {
    /// Of two the higher one holds.
    pub(crate) fn rank(&self) -> (u32, std::cmp::Reverse<Node>) {
        (self.term, std::cmp::Reverse(self.owner))
    }
}

/// On disk.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A life begins: the disk's own number (another one is another disk), and the first number of its messages.
    Born {
        disk: u64,
        first: u64,
    },
    Put {
        shared: Shared,
    },
    End {
        key: Key,
        end: End,
        owed: bool,
        at: u64,
    },
    Called {
        key: Key,
    },
    Own {
        key: Key,
        owner: Node,
        term: u32,
        copies: Vec<Node>,
    },
    Drop {
        key: Key,
    },
    /// An operator has ordered this store to be emptied.
    Retire,
}

/// Who owns a message, and where its copies lie.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Owned {
    pub key: Key,
    pub owner: Node,
    pub term: u32,
    pub copies: Vec<Node>,
}

/// A message as it stands at one store: live, or ended with its call-back owed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stands {
    pub key: Key,
    pub owner: Node,
    pub term: u32,
    pub ended: bool,
}

/// Numbers in a row among what one store owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Range {
    pub owner: Node,
    pub part: u64,
}

/// How many there are in a range, and all of them mixed into one number in which no order counts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    pub range: Range,
    pub count: u32,
    pub mix: u64,
}

/// A message that is given to another store, with what its owner knows of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handed {
    pub key: Key,
    pub term: u32,
    pub tries: u32,
}

/// An end as a store that is to be emptied passes it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownEnd {
    pub key: Key,
    pub end: End,
    /// Its call-back has not been taken.
    pub owed: bool,
    /// Body and time of a message that failed: they are asked for.
    pub dead: Option<Message>,
}

/// Between stores.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Keep these; `Copied` when they are safe.
    Copy(Vec<Shared>),
    Copied(Vec<Key>),
    /// No room on the disk: they are not safe here.
    NotCopied(Vec<Key>),
    Ends(Vec<(Key, End, bool)>),
    Called(Vec<Key>),
    /// Who owns these now.
    Own(Vec<Owned>),
    Drop(Vec<Key>),
    /// The sender owned these and has lost them with its disk.
    Lost(Vec<Key>),
    Want(Vec<Key>),
    /// The number of the sender's disk, with each connection: another one is another disk.
    Disk(u64),
    /// What both hold of the live messages, as sums over ranges; those younger than `over` ms are left out.
    Digests {
        disk: u64,
        over: u64,
        sums: Vec<Sum>,
    },
    /// The live messages of these ranges that both hold, as the sender sees them. `answer`: the receiver's
    /// are wanted too.
    Standing {
        disk: u64,
        answer: bool,
        ranges: Vec<Range>,
        live: Vec<Stands>,
    },
    /// All that was to be said to a `Standing` has been said.
    Stood,
    /// The sender ends: these are the receiver's from now on.
    Handover(Vec<Handed>),
    /// Those that the receiver has taken, and by which term.
    HandoverTaken(Vec<(Key, u32)>),
    /// It does not know these, and takes none of them.
    HandoverRefused(Vec<Key>),
    /// What is live of this row? `announced`: the sender is about to keep this message of it.
    RowAsk {
        number: u64,
        row: String,
        taken: u64,
        key: Key,
        announced: bool,
    },
    /// A new one comes not before `beyond`.
    RowLive {
        number: u64,
        beyond: u64,
        live: Vec<(u64, Key)>,
    },
    /// Announced, and ended.
    RowDone(Vec<(String, Key)>),
    /// Takes no more messages and copies: it is about to end.
    Leaving,
    /// The sender is to be emptied for good: copies that lie there are to lie elsewhere.
    Retiring,
    /// The sender counts on no copy that lies at the receiver.
    Relieved,
    /// The sender is to be emptied: keep the ends that it knows; `EndsKept` when they are on disk.
    KnownEnds(Vec<KnownEnd>),
    EndsKept(Vec<Key>),
    /// Tokens of a service with a ceiling: so many are wanted, so many may be used.
    TokensWanted {
        service: String,
        count: u32,
    },
    Tokens {
        service: String,
        count: u32,
    },
}

/// Why a message was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It has not been kept and never will run: another store may take it.
    NotTaken,
    /// It may run.
    Uncertain,
}
