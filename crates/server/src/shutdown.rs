//! Graceful shutdown of a process: its grace period, and the last steps before the exit.

use crate::disk::Disk;
use crate::net::Millis;
use crate::node::NodeRuntime;

impl NodeRuntime {
    /// Whether the grace period of the shutdown is over, so that the process must exit even with requests in flight.
    /// `reserve_ms` is the part of the configured grace period, in milliseconds, that is kept for the exit itself.
    pub fn is_grace_period_over(&self, reserve_ms: Millis) -> bool {
        let grace_ms = self.boot.bounds.shutdown_grace_ms.saturating_sub(reserve_ms);
        self.draining_since.is_some_and(|since| self.net.now() > since + grace_ms)
    }

    /// Flushes the pending output of all connections, and closes the log.
    pub fn finish(&mut self, disk: Disk) {
        self.net.flush();
        disk.close();
    }
}
