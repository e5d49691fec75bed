//! Which connections to one address are open and idle, and how long an idle one may still be trusted.

use crate::net::{ConnectionId, Millis};
use std::net::SocketAddrV4;

/// A request that is lost on a connection idle for less than this says nothing of how long connections are kept: any
/// connection may break.
const MIN_INFORMATIVE_IDLE_MS: Millis = 40;
/// How long an [`IdleLimit`] holds: the executor at the address may be another one by then.
pub(super) const IDLE_LIMIT_LIFETIME_MS: Millis = 20_000;

/// Calls whose replies repeat the request's identifier and those whose replies do not never share a connection: a second
/// reply to one of the first would be taken for the reply to one of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(in crate::net) struct PoolKey {
    /// The other side.
    pub to: SocketAddrV4,
    /// Whether replies repeat the request's identifier.
    pub replies_name_request: bool,
}

/// The connections of one [`PoolKey`].
#[derive(Default)]
pub(in crate::net) struct Pool {
    /// How many are open, idle or not.
    pub(super) open_count: usize,
    /// Those that carry no call, the latest used last.
    pub(super) idle: Vec<ConnectionId>,
    /// After a request was lost on an idle connection.
    pub(super) idle_limit: Option<IdleLimit>,
    /// How many may be open, by the latest call.
    pub(super) max_open: usize,
}

/// A bound on how long a connection may have been idle before it carries a request, learnt from requests that were lost.
///
/// Some executors close idle connections sooner than they say, and a request that crosses with that is lost: it may have run,
/// and runs again. After such a loss no connection that was idle for half as long is used; so a second and third loss are
/// rare, and a shorter time-out is found by halving.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct IdleLimit {
    /// Longest idle time.
    pub max_idle_ms: Millis,
    /// When the limit is forgotten.
    pub expires_at: Millis,
}

impl IdleLimit {
    /// The limit after a request was lost on a connection that had been idle for `idle_ms`.
    pub fn after_loss(old: Option<IdleLimit>, now: Millis, idle_ms: Millis) -> Option<IdleLimit> {
        let old = old.filter(|limit| limit.expires_at > now);
        if idle_ms < MIN_INFORMATIVE_IDLE_MS {
            return old;
        }
        let half = idle_ms / 2;
        let max_idle_ms = old.map_or(half, |limit| limit.max_idle_ms.min(half));
        Some(IdleLimit { max_idle_ms, expires_at: now + IDLE_LIMIT_LIFETIME_MS })
    }

    /// Whether a connection that has been idle for `idle_ms` may carry a request.
    pub fn allows(limit: Option<IdleLimit>, now: Millis, idle_ms: Millis) -> bool {
        limit.is_none_or(|limit| limit.expires_at <= now || idle_ms <= limit.max_idle_ms)
    }
}
