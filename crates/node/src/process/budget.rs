//! Splits the limits on descriptors and memory among the parts of the node.

use crate::wire::http::MAX_MESSAGE_BYTES;
use thiserror::Error;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Client requests in flight, and client connections: those with a request and others that are silent, idle
    /// or being rejected.
    pub requests: usize,
    pub clients: usize,
    /// Connections to executors. Each may hold one buffer, and each client connection another.
    pub executors: usize,
}

/// Descriptors reserved for standard streams, the listener, discovery, signals, and connections that are
/// closing.
const RESERVED_DESCRIPTORS: usize = 12;
/// One more descriptor is reserved per this many: the more connections are open, the more close at the same
/// time.
const CONNECTIONS_PER_RESERVED_DESCRIPTOR: usize = 64;
/// Admin connections that are served at once, and those that may be closing beside them.
pub const MAX_ADMIN_CLIENTS: usize = 8;
pub const MAX_CLOSING_ADMIN_CLIENTS: usize = 4;
/// Memory that a thread may use, in bytes: the touched part of its stack.
const THREAD_BYTES: usize = 24 * 1024;
/// Memory that a request in flight may use, in bytes: buffers for itself and its response, and the threads of a
/// reader, a writer and a push.
const REQUEST_BYTES: usize = 2 * MAX_MESSAGE_BYTES + 3 * THREAD_BYTES;
const IDLE_CLIENT_BYTES: usize = MAX_MESSAGE_BYTES + THREAD_BYTES;

/// The limits do not permit four concurrent requests.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("limits: too small to serve: sockets {sockets}, memory_mb {memory_mb}")]
pub struct BudgetError {
    pub sockets: usize,
    pub memory_mb: usize,
}

impl Budget {
    /// The budget of this process, halved while a sibling process has the same limits.
    pub fn share(self, has_sibling: bool) -> Budget {
        let Budget { requests, clients, executors } = self;
        let share = |all: usize| if has_sibling { all / 2 } else { all };
        Budget { requests: share(requests), clients: share(clients), executors: share(executors) }
    }

    /// Splits the limits. Client requests get at most a third of the descriptors. Each request also needs an
    /// executor connection, and an eighth more of these may be closing, used for health checks or idle. The
    /// rest is for clients without a request, so that a crowd of silent ones cannot displace them.
    /// `has_admin_address`: an admin server runs too. `has_shared_listener`: a second process may run at the
    /// same time and needs the same reserve.
    pub fn split(
        sockets: usize,
        memory_mb: usize,
        has_admin_address: bool,
        has_shared_listener: bool,
    ) -> Result<Budget, BudgetError> {
        let bytes = memory_mb << 20;
        let has_admin_address =
            if has_admin_address { 1 + MAX_ADMIN_CLIENTS + MAX_CLOSING_ADMIN_CLIENTS } else { 0 };
        let reserved = (RESERVED_DESCRIPTORS + has_admin_address) * if has_shared_listener { 2 } else { 1 };
        let available = sockets.saturating_sub(reserved + sockets / CONNECTIONS_PER_RESERVED_DESCRIPTOR);
        let requests = (available / 3).min(bytes / 100 * 55 / REQUEST_BYTES);
        let executors = requests + requests / 8;
        let idle_clients = available.saturating_sub(requests + executors).min(bytes / 5 / IDLE_CLIENT_BYTES);
        if requests < 4 {
            return Err(BudgetError { sockets, memory_mb });
        }
        Ok(Budget { requests, clients: requests + idle_clients, executors })
    }
}
