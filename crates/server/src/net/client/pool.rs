//! Pools of open and idle connections by address, and limits on the idle time after which a connection is reused.

use crate::net::{ConnectionId, Millis};
use std::net::SocketAddrV4;

/// Minimum idle time in milliseconds for a lost request to indicate an idle time-out of the server: any connection
/// may break, and a loss after a shorter idle time gives no such evidence.
const MIN_INFORMATIVE_IDLE_MS: Millis = 40;
/// Time in milliseconds for which an [`IdleLimit`] is valid: after that, another executor may run at the address.
pub(super) const IDLE_LIMIT_LIFETIME_MS: Millis = 20_000;

/// Key of a connection pool. Calls whose replies repeat the request identifier never share connections with other
/// calls: a second reply to a call with an identifier would be taken for the reply to a call without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(in crate::net) struct PoolKey {
    /// Address of the server.
    pub to: SocketAddrV4,
    /// Whether replies repeat the request identifier.
    pub replies_name_request: bool,
}

/// Connections with the same [`PoolKey`].
#[derive(Default)]
pub(in crate::net) struct Pool {
    /// Number of open connections, whether idle or in use.
    pub(super) open_count: usize,
    /// Connections that carry no call, most recently used last.
    pub(super) idle: Vec<ConnectionId>,
    /// Limit on the idle time, set after a request was lost on an idle connection.
    pub(super) idle_limit: Option<IdleLimit>,
    /// Maximum number of open connections, set by the latest call.
    pub(super) max_open: usize,
}

/// Limit on how long a connection may have been idle before it carries a request, derived from lost requests.
///
/// Some executors close idle connections earlier than they announce. A request that crosses with the close is lost:
/// it may have run, and is run again. After such a loss, connections that were idle for more than half that time are
/// not reused. Further losses are therefore rare, and halving finds the shorter time-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct IdleLimit {
    /// Maximum idle time, in milliseconds.
    pub max_idle_ms: Millis,
    /// Time at which the limit expires.
    pub expires_at: Millis,
}

impl IdleLimit {
    /// Returns the limit after a request was lost on a connection that had been idle for `idle_ms` milliseconds.
    pub fn after_loss(previous: Option<IdleLimit>, now: Millis, idle_ms: Millis) -> Option<IdleLimit> {
        let previous = previous.filter(|limit| limit.expires_at > now);
        if idle_ms < MIN_INFORMATIVE_IDLE_MS {
            return previous;
        }
        let half = idle_ms / 2;
        let max_idle_ms = previous.map_or(half, |limit| limit.max_idle_ms.min(half));
        Some(IdleLimit { max_idle_ms, expires_at: now + IDLE_LIMIT_LIFETIME_MS })
    }

    /// Returns whether a connection that has been idle for `idle_ms` milliseconds may carry a request.
    pub fn allows(limit: Option<IdleLimit>, now: Millis, idle_ms: Millis) -> bool {
        limit.is_none_or(|limit| limit.expires_at <= now || idle_ms <= limit.max_idle_ms)
    }
}
