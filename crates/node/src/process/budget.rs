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
const KEPT: usize = 12;
/// Of so many descriptors one more is kept: the more connections there are, the more end at once.
const KEPT_OF: usize = 64;
/// Operators' callers that have a place at once, and those beside them that are just leaving.
pub const CALLERS: usize = 8;
pub const LEAVING: usize = 4;
/// What a thread may cost in memory: its stack as far as it is used.
const STACK: usize = 24 * 1024;
/// What a request in hand may cost: buffers for itself and its answer, a reader, a writer, a push.
const REQUEST: usize = 2 * MAX_MESSAGE_BYTES + 3 * STACK;
const STRANGER: usize = MAX_MESSAGE_BYTES + STACK;

/// The limits leave no room for four requests at once.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("limits: too small to serve: sockets {sockets}, memory_mb {memory_mb}")]
pub struct BudgetError {
    pub sockets: usize,
    pub memory_mb: usize,
}

impl Budget {
    /// What is left of it while another process of the node has as much.
    pub fn part(self, beside: bool) -> Budget {
        let Budget { requests, clients, executors } = self;
        let part = |all: usize| if beside { all / 2 } else { all };
        Budget { requests: part(requests), clients: part(clients), executors: part(executors) }
    }

    /// Clients' requests get a third of the descriptors at most. Each needs a connection to an executor too; a
    /// few more of these end, probe or are idle. The rest is for clients that have nothing in hand, whom a
    /// crowd of silent ones must not keep out. `operators`: they have an address of their own; `shared`:
    /// a second process may run beside this one, which needs as much of its own.
    pub fn split(
        sockets: usize,
        memory_mb: usize,
        operators: bool,
        shared: bool,
    ) -> Result<Budget, BudgetError> {
        let bytes = memory_mb << 20;
        let operators = if operators { 1 + CALLERS + LEAVING } else { 0 };
        let kept = (KEPT + operators) * if shared { 2 } else { 1 };
        let free = sockets.saturating_sub(kept + sockets / KEPT_OF);
        let requests = (free / 3).min(bytes / 100 * 55 / REQUEST);
        let executors = requests + requests / 8;
        let others = free.saturating_sub(requests + executors).min(bytes / 5 / STRANGER);
        if requests < 4 {
            return Err(BudgetError { sockets, memory_mb });
        }
        Ok(Budget { requests, clients: requests + others, executors })
    }
}
