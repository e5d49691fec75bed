//! How many descriptors and buffers each part of the node may hold.

use crate::wire::http::MAX_MESSAGE_BYTES;
use thiserror::Error;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Requests of clients in hand, and connections of clients: those, and others that say nothing yet, are
    /// idle, or are refused.
    pub requests: usize,
    pub clients: usize,
    /// Connections to executors; each may hold one buffer, and each client's connection another.
    pub executors: usize,
}

/// Descriptors for standard streams, listener, discovery, signals, and connections that are just ending.
const RESERVED_DESCRIPTORS: usize = 12;
/// Of so many descriptors one more is kept: the more connections there are, the more end at once.
const CONNECTIONS_PER_RESERVED_DESCRIPTOR: usize = 64;
/// Operators' callers that have a place at once, and those beside them that are just leaving.
pub const MAX_ADMIN_CLIENTS: usize = 8;
pub const MAX_CLOSING_ADMIN_CLIENTS: usize = 4;
/// What a thread may cost in memory: its stack as far as it is used.
const THREAD_BYTES: usize = 24 * 1024;
/// What a request in hand may cost: buffers for itself and its answer, a reader, a writer, a push.
const REQUEST_BYTES: usize = 2 * MAX_MESSAGE_BYTES + 3 * THREAD_BYTES;
const IDLE_CLIENT_BYTES: usize = MAX_MESSAGE_BYTES + THREAD_BYTES;

/// The limits leave no room for four requests at once.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("limits: too small to serve: sockets {sockets}, memory_mb {memory_mb}")]
pub struct BudgetError {
    pub sockets: usize,
    pub memory_mb: usize,
}

impl Budget {
    /// What is left of it while another process of the node has as much.
    pub fn share(self, has_sibling: bool) -> Budget {
        let Budget { requests, clients, executors } = self;
        let share = |all: usize| if has_sibling { all / 2 } else { all };
        Budget { requests: share(requests), clients: share(clients), executors: share(executors) }
    }

    /// Clients' requests get a third of the descriptors at most. Each needs a connection to an executor too; a
    /// few more of these end, probe or are idle. The rest is for clients that have nothing in hand, whom a
    /// crowd of silent ones must not keep out. `operators`: they have an address of their own; `shared`:
    /// a second process may run beside this one, which needs as much of its own.
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
