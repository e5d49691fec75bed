//! The log of a role on its disk, and the results of its writes.

use crate::disk_owner;
use crate::node::NodeRuntime;
use crate::start_error::StartError;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;
use stileroute_wal::{AppendError, Options, StateMachine, Statistics, Wal};

/// Records that need no sync of their own are synced after so long at the latest.
const MAX_SYNC_DELAY: Duration = Duration::from_millis(200);

/// The result of one append: the ticket under which it was made, and how it ended.
pub type AppendResult = (u64, Result<(), AppendError>);

/// A log that a thread of its own writes.
pub struct Disk {
    log: Wal,
    results: Receiver<AppendResult>,
}

impl Disk {
    /// Opens the log in a folder of the data folder, and reads its records. Each result of an append wakes the node's loop.
    ///
    /// # Errors
    ///
    /// Where no data folder is set, or the log can't be opened.
    pub fn open<S: StateMachine + Default + Send + 'static>(
        node: &NodeRuntime,
        role: &'static str,
        options: Options,
    ) -> Result<(Disk, S), StartError> {
        let data_dir = node.boot.data_dir.as_ref();
        let data_dir = data_dir.ok_or(StartError::MissingSetting { key: "data_dir", role })?;
        let folder = data_dir.join(options.schema);
        std::fs::create_dir_all(&folder)
            .map_err(|source| StartError::DataFolder { folder: folder.clone(), source })?;
        disk_owner::claim(data_dir, options.schema, &node.boot.node_name)?;
        let (sender, results) = channel();
        let waker = Arc::clone(&node.waker);
        let on_result = move |ticket, result| {
            // Both fail only where the loop has ended: then nobody waits for the result.
            let _ = sender.send((ticket, result));
            let _ = waker.wake();
        };
        let capacity_bytes = node.boot.resources.disk_mb << 20;
        let options = Options { capacity_bytes, max_sync_delay: MAX_SYNC_DELAY, ..options };
        #[cfg(feature = "stalled-disk")]
        let options = Options { stall_schedule: crate::disk_stalls::schedule(), ..options };
        let (log, state) = Wal::open::<S>(&folder, options, on_result)
            .map_err(|source| StartError::Log { folder: folder.clone(), source })?;
        Ok((Disk { log, results }, state))
    }

    /// Appends records. With `sync` the result comes when they are safe from a loss of power.
    pub fn append(&self, ticket: u64, records: Vec<Vec<u8>>, sync: bool) {
        self.log.append(ticket, records, sync);
    }

    /// The next result that has come.
    pub fn next_result(&self) -> Option<AppendResult> {
        self.results.try_recv().ok()
    }

    /// What was done on the disk since the process began.
    pub fn statistics(&self) -> Statistics {
        self.log.statistics()
    }

    /// Writes what has been appended, and ends the thread.
    pub fn close(self) {
        self.log.close();
    }
}
