//! One run for an idempotency key: all requests of one tenant with one key are one message, whichever edges and stores they reach.
//!
//! The keys are divided into [shards](digest::Shard). A store accepts a message with a key only in a shard that it holds, and only if
//! it knows of no message with that key. To hold a shard it claims it with a term, higher than all terms it knows of that shard, from
//! all other stores: each that grants the claim records the term, and names the messages of the shard that lie on its disk. The claim
//! stands once at most `replica_count` of the stores that may hold such messages have not granted it. A message is accepted once it
//! lies on `replica_count` disks beside the owner's, so at least one of the stores that grant a claim has each message that was accepted
//! before; and a store that has granted a claim keeps no new replica of a message from an earlier term, so that nothing is accepted
//! unseen by an earlier holder. No clock, no list of members and no connection has to be right for that.
//!
//! One thing is assumed of the stores that are heard: that each still has what lay on its disk. One that has lost its disk
//! [recovers](recovery) first, and counts among those that have not granted meanwhile.
//!
//! What is known of a key is the message itself, on the disks on which it lies, live or ended: there is no second record, and nothing
//! more to replicate, hand over or repair. Edges send the messages of a shard to one store by rendezvous hashing; another one that gets a
//! message claims the shard for itself.
//!
//! Ways that were weighed are in `docs/idempotency.md`.

mod claims;
mod digest;
mod grants;
mod recovery;
mod shard_table;
mod submissions;
mod unchecked;

pub use digest::{preferred_store_of_shard, IdempotencyDigest, Shard, SHARD_COUNT};
pub(crate) use shard_table::ShardTable;
pub use shard_table::ShardTerm;
