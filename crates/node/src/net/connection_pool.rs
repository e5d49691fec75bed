//! Connections to executors: which are idle, and how many there may be.

use super::executors::{ConnectionHandle, Task};
use crossbeam_channel::Sender;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection with its thread, at rest.
pub struct PooledConnection {
    pub number: u64,
    pub executor: usize,
    pub handle: Arc<ConnectionHandle>,
    pub tasks: Sender<Task>,
}

/// The idle ones by executor, the latest last; the others are only counted.
pub struct ConnectionPool {
    idle: HashMap<usize, Vec<(Instant, PooledConnection)>>,
    in_use: HashMap<u64, PooledConnection>,
    max_connections: usize,
    half_capacity: bool,
    idle_timeout: Duration,
    last_number: u64,
}

/// Most idle connections to one executor: it holds only so many, and few pushes leave at once.
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

    /// The idle connection to this executor that was used last. It is the least likely to be closed there.
    pub fn reuse(&mut self, executor: usize, now: Instant) -> Option<PooledConnection> {
        let (since, connection) = self.idle.get_mut(&executor)?.pop()?;
        if now - since >= self.idle_timeout {
            close(connection, "idle");
            return None;
        }
        Some(connection)
    }

    /// A number for a new connection, if there may be one more; the longest idle one makes room.
    pub fn allocate_number(&mut self) -> Option<u64> {
        while self.count() >= self.max_connections() {
            self.evict()?;
        }
        self.last_number += 1;
        Some(self.last_number)
    }

    /// Closes the longest idle one, if any is idle.
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

    /// Keeps to half of them from now on; idle ones make room at once.
    pub fn set_half_capacity(&mut self, half_capacity: bool) {
        self.half_capacity = half_capacity;
        while self.count() > self.max_connections() && self.evict().is_some() {}
    }

    /// The connection carries a push now.
    pub fn mark_in_use(&mut self, connection: PooledConnection) {
        self.in_use.insert(connection.number, connection);
    }

    /// Its task is over: it is idle again, for the executor that is told, or gone.
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

    /// Closes those idle too long: a push on one that the executor closes meanwhile would end as a reset.
    pub fn close_expired(&mut self, now: Instant) {
        for connections in self.idle.values_mut() {
            let old = connections.iter().take_while(|(since, _)| now - *since >= self.idle_timeout).count();
            connections.drain(..old).for_each(|(_, connection)| close(connection, "idle"));
        }
    }

    /// Closes the idle ones to an executor.
    pub fn close_idle(&mut self, executor: usize, reason: &'static str) {
        let connections = self.idle.remove(&executor).unwrap_or_default();
        connections.into_iter().for_each(|(_, connection)| close(connection, reason));
    }
}

/// Its thread ends when no more tasks can come.
fn close(connection: PooledConnection, reason: &'static str) {
    connection.handle.set_close_reason(reason);
}
