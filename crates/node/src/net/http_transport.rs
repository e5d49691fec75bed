//! The executor transport for the platform's HTTP protocol: assigns pushes to connections and starts their
//! threads.

use super::connection_pool::{ConnectionPool, PooledConnection};
use super::executors::{self, ConnectionHandle, Executors, Task};
use crate::interfaces::{self, ExecutorTransport};
use crate::log_info;
use crate::process::spawn;
use crossbeam_channel::bounded;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct HttpTransport {
    pool: ConnectionPool,
    executors: Arc<Executors>,
}

impl HttpTransport {
    /// Creates a transport with a maximum number of connections and a time-out for idle ones.
    pub fn new(executors: Arc<Executors>, max_connections: usize, idle_timeout: Duration) -> HttpTransport {
        HttpTransport { pool: ConnectionPool::new(max_connections, idle_timeout), executors }
    }

    /// Assigns a task to an idle connection or to a new one.
    fn assign(&mut self, executor: usize, task: Task, new_connection: bool) -> Option<Arc<ConnectionHandle>> {
        let (now, to) = (Instant::now(), task.to);
        let idle = if new_connection { None } else { self.pool.reuse(executor, now) };
        if let Some(connection) = idle {
            let handle = connection.handle.clone();
            handle.reset();
            let was_sent = connection.tasks.try_send(task).is_ok();
            self.pool.mark_in_use(connection);
            return was_sent.then_some(handle);
        }
        let number = self.pool.allocate_number()?;
        let (tasks, queued_tasks) = bounded(1);
        let handle = Arc::new(ConnectionHandle::default());
        let (thread_handle, shared) = (handle.clone(), self.executors.clone());
        let _ = tasks.try_send(task);
        if let Err(error) =
            spawn("executor", move || executors::run(number, queued_tasks, &thread_handle, &shared))
        {
            log_info!("executor {to}: no thread for a connection: {error}");
            return None;
        }
        self.pool.mark_in_use(PooledConnection { number, executor, handle: handle.clone(), tasks });
        Some(handle)
    }
}

impl ExecutorTransport for HttpTransport {
    fn push(
        &mut self,
        executor: usize,
        to: SocketAddr,
        push: interfaces::Push,
    ) -> Option<Arc<dyn interfaces::PushHandle>> {
        let interfaces::Push {
            ticket,
            push,
            job,
            hold_last_byte,
            new_connection,
            deadline,
            write_deadline,
            connect_timeout,
        } = push;
        let handle = self.assign(
            executor,
            Task { ticket, push, job, hold_last_byte, to, deadline, write_deadline, connect_timeout },
            new_connection,
        )?;
        Some(handle)
    }

    fn release(&mut self, number: u64, is_reusable: bool) -> Option<usize> {
        self.pool.release(number, is_reusable, Instant::now())
    }

    fn close_idle(&mut self, executor: usize, reason: &'static str) {
        self.pool.close_idle(executor, reason);
    }

    fn set_half_capacity(&mut self, half: bool) {
        self.pool.set_half_capacity(half);
    }

    fn close_expired(&mut self) {
        self.pool.close_expired(Instant::now());
    }
}
