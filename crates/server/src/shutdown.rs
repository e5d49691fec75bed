//! The end of a process: how long it may take, and what is done last.

use crate::disk::Disk;
use crate::net::Millis;
use crate::node::NodeRuntime;

impl NodeRuntime {
    /// Whether the process has to end now, with whatever is still in flight. `reserve_ms` is what ending itself takes of the
    /// grace period that the settings give.
    pub fn is_grace_period_over(&self, reserve_ms: Millis) -> bool {
        let grace_ms = self.boot.bounds.shutdown_grace_ms.saturating_sub(reserve_ms);
        self.draining_since.is_some_and(|since| self.net.now() > since + grace_ms)
    }

    /// Writes out what connections still have, and closes the log.
    pub fn finish(&mut self, disk: Disk) {
        self.net.flush();
        disk.close();
    }
}
