//! Idempotency keys: all requests of one tenant with the same key are one message and run once, whichever edges and
//! stores they reach.
//!
//! The keys are divided into [shards](digest::Shard). A store accepts a message with a key only while it holds the
//! key's shard and knows of no other message with that key. To hold a shard, a store claims it from all other stores
//! with a term that is higher than every term it knows for that shard. Each store that grants the claim records the
//! term and returns the messages of the shard on its own disk. The claim succeeds once at most `replica_count` of the
//! stores that may hold such messages have not granted it. A message is accepted only when it is on `replica_count`
//! disks besides its owner's, so at least one granting store has each message that was accepted before. A store that
//! has granted a claim stores no new replica of a message from an earlier term, so an earlier holder can no longer
//! accept a message that the new one does not know of. The protocol does not depend on clocks, on the membership list
//! or on any single connection being correct.
//!
//! It assumes one thing of the stores that answer: each still has everything that was on its disk. A store that has
//! lost its disk [recovers](recovery) first and until then counts as one that has not granted.
//!
//! The message itself, live or ended, on the disks that hold it, is the only record of its key: there is nothing else
//! to replicate, hand over or repair. Edges send the messages of a shard to one store, chosen by rendezvous hashing;
//! any other store that receives one claims the shard for itself.
//!
//! The alternatives that were considered are in `docs/idempotency.md`.
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
