//! Digests of idempotency keys, and the shards into which the keys are divided.

use crate::hashing::mix;
use crate::message::{Message, Node};
use serde::{Deserialize, Serialize};

/// Number of shards: a few dozen per store, so that all stores hold about the same share.
pub const SHARD_COUNT: u16 = 1024;

/// Index of a shard, one part of the idempotency keys.
pub type Shard = u16;

/// Hash of a tenant and its idempotency key; it is the same at all stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IdempotencyDigest([u8; 16]);

impl IdempotencyDigest {
    /// Computes the digest of a tenant's key. `None` stands for requests without a tenant.
    pub fn of(tenant: Option<&str>, key: &str) -> IdempotencyDigest {
        let tenant = tenant.unwrap_or_default();
        let mut hasher = blake3::Hasher::new();
        // The length of the tenant's name is hashed too, so that no pair of tenant and key is read as another pair.
        hasher.update(&(tenant.len() as u64).to_le_bytes());
        hasher.update(tenant.as_bytes());
        hasher.update(key.as_bytes());
        let mut digest = [0; 16];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        IdempotencyDigest(digest)
    }

    /// The shard of this digest. The digests of one shard are consecutive.
    pub fn shard(self) -> Shard {
        u16::from_be_bytes([self.0[0], self.0[1]]) / (u16::MAX / SHARD_COUNT + 1)
    }

    /// The lowest digest of a shard.
    pub(crate) fn first_of(shard: Shard) -> IdempotencyDigest {
        let mut digest = [0; 16];
        digest[..2].copy_from_slice(&(shard * (u16::MAX / SHARD_COUNT + 1)).to_be_bytes());
        IdempotencyDigest(digest)
    }
}

impl Message {
    /// The digest of the message's idempotency key, if it has one.
    pub fn idempotency_digest(&self) -> Option<IdempotencyDigest> {
        let key = self.idempotency_key.as_deref()?;
        Some(IdempotencyDigest::of(self.tenant.as_deref(), key))
    }
}

/// The store among `nodes` to which the messages of a shard are sent, by rendezvous hashing.
pub fn preferred_store_of_shard(shard: Shard, nodes: impl Iterator<Item = Node>) -> Option<Node> {
    nodes.max_by_key(|node| (mix(&[u64::from(shard), u64::from(*node)]), *node))
}
