//! The pool of executor connections: which are idle, and how many may be open.

use super::executors::{ConnectionHandle, Task};
use crossbeam_channel::Sender;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection with its thread.
pub struct PooledConnection {
    pub number: u64,
    pub executor: usize,
    pub handle: Arc<ConnectionHandle>,
    pub tasks: Sender<Task>,
}

/// Idle connections by executor, the most recently used last, and those in use by number.
pub struct ConnectionPool {
    idle: HashMap<usize, Vec<(Instant, PooledConnection)>>,
    in_use: HashMap<u64, PooledConnection>,
    max_connections: usize,
    half_capacity: bool,
    idle_timeout: Duration,
    last_number: u64,
}

/// Maximum number of idle connections to one executor: an executor accepts only so many, and few pushes start
/// at the same time.
const MAX_IDLE_PER_EXECUTOR: usize = 8;

impl ConnectionPool {
    pub fn new(max_connections: usize, idle_timeout: Duration) -> ConnectionPool {
        ConnectionPool {
            idle: HashMap::new(),
            in_use: HashMap::new(),
            max_connections,
            half_capacity: false,
            idle_timeout,
            last_number: 0,
        }
    }

    fn count(&self) -> usize {
        self.in_use.len() + self.idle.values().map(Vec::len).sum::<usize>()
    }

    /// Takes the most recently used idle connection to this executor, because the executor is least likely to
    /// have closed it.
    pub fn reuse(&mut self, executor: usize, now: Instant) -> Option<PooledConnection> {
        let (since, connection) = self.idle.get_mut(&executor)?.pop()?;
        if now - since >= self.idle_timeout {
            close(connection, "idle");
            return None;
        }
        Some(connection)
    }

    /// Allocates the number of a new connection if the limit permits. The connection that has been idle longest
    /// is evicted if needed.
    pub fn allocate_number(&mut self) -> Option<u64> {
        while self.count() >= self.max_connections() {
            self.evict()?;
        }
        self.last_number += 1;
        Some(self.last_number)
    }

    /// Closes the connection that has been idle longest, if there is one.
    fn evict(&mut self) -> Option<()> {
        let oldest =
            |connections: &Vec<(Instant, PooledConnection)>| connections.first().map(|(since, _)| *since);
        let (_, connections) =
            self.idle.iter_mut().filter(|(_, l)| !l.is_empty()).min_by_key(|(_, l)| oldest(l))?;
        close(connections.remove(0).1, "evicted");
        Some(())
    }

    fn max_connections(&self) -> usize {
        if self.half_capacity {
            self.max_connections / 2
        } else {
            self.max_connections
        }
    }

    /// Limits the pool to half of its connections, or lifts that limit. Idle connections above the limit are
    /// closed at once.
    pub fn set_half_capacity(&mut self, half_capacity: bool) {
        self.half_capacity = half_capacity;
        while self.count() > self.max_connections() && self.evict().is_some() {}
    }

    /// Records that the connection carries a push.
    pub fn mark_in_use(&mut self, connection: PooledConnection) {
        self.in_use.insert(connection.number, connection);
    }

    /// Records that the push has ended. Returns the executor if the connection is idle again, or `None` if it
    /// is closed.
    pub fn release(&mut self, number: u64, is_reusable: bool, now: Instant) -> Option<usize> {
        let connection = self.in_use.remove(&number).filter(|_| is_reusable)?;
        let executor = connection.executor;
        let idle = self.idle.entry(executor).or_default();
        idle.push((now, connection));
        if idle.len() > MAX_IDLE_PER_EXECUTOR {
            close(idle.remove(0).1, "surplus");
        }
        Some(executor)
    }

    /// Closes connections that have been idle too long: if the executor closed one at the moment of a push,
    /// that push would end with a reset.
    pub fn close_expired(&mut self, now: Instant) {
        for connections in self.idle.values_mut() {
            let old = connections.iter().take_while(|(since, _)| now - *since >= self.idle_timeout).count();
            connections.drain(..old).for_each(|(_, connection)| close(connection, "idle"));
        }
    }

    /// Closes the idle connections to an executor.
    pub fn close_idle(&mut self, executor: usize, reason: &'static str) {
        let connections = self.idle.remove(&executor).unwrap_or_default();
        connections.into_iter().for_each(|(_, connection)| close(connection, reason));
    }
}

/// Drops the connection; its thread ends when its task channel is closed.
fn close(connection: PooledConnection, reason: &'static str) {
    connection.handle.set_close_reason(reason);
}
