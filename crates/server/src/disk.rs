//! The write-ahead log of a role, and the results of its appends.

use crate::disk_owner;
use crate::node::NodeRuntime;
use crate::start_error::StartError;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;
use stileroute_wal::{AppendError, Options, StateMachine, Statistics, Wal};

/// Longest delay before records that were appended without `sync` are synced to the disk.
const MAX_SYNC_DELAY: Duration = Duration::from_millis(200);

/// The result of one append: the ticket that the caller gave it, and success or the error.
pub type AppendResult = (u64, Result<(), AppendError>);

/// A write-ahead log that a dedicated thread writes.
pub struct Disk {
    log: Wal,
    results: Receiver<AppendResult>,
}

impl Disk {
    /// Opens the log in its subfolder of the data folder, and replays its records into the state. The result of each append
    /// wakes the event loop of the node.
    ///
    /// # Errors
    ///
    /// If no data folder is configured, if the folder belongs to another node, or if the log can't be opened.
    pub fn open<S: StateMachine + Default + Send + 'static>(
        node: &NodeRuntime,
        role: &'static str,
        options: Options,
    ) -> Result<(Disk, S), StartError> {
        let data_dir = node.boot.data_dir.as_ref();
        let data_dir = data_dir.ok_or(StartError::MissingSetting { key: "data_dir", role })?;
        let log_dir = data_dir.join(options.schema);
        std::fs::create_dir_all(&log_dir)
            .map_err(|source| StartError::DataFolder { folder: log_dir.clone(), source })?;
        disk_owner::claim(data_dir, options.schema, &node.boot.node_name)?;
        let (sender, results) = channel();
        let waker = Arc::clone(&node.waker);
        let on_result = move |ticket, result| {
            // Both calls fail only after the event loop has ended, when nothing waits for the result any more.
            let _ = sender.send((ticket, result));
            let _ = waker.wake();
        };
        let capacity_bytes = node.boot.resources.disk_mb << 20;
        let options = Options { capacity_bytes, max_sync_delay: MAX_SYNC_DELAY, ..options };
        #[cfg(feature = "stalled-disk")]
        let options = Options { stall_schedule: crate::disk_stalls::schedule(), ..options };
        let (log, state) = Wal::open::<S>(&log_dir, options, on_result)
            .map_err(|source| StartError::Log { folder: log_dir.clone(), source })?;
        Ok((Disk { log, results }, state))
    }

    /// Appends records. With `sync`, the result is reported only when the records would survive a power loss.
    pub fn append(&self, ticket: u64, records: Vec<Vec<u8>>, sync: bool) {
        self.log.append(ticket, records, sync);
    }

    /// Takes the next available append result, without blocking.
    pub fn next_result(&self) -> Option<AppendResult> {
        self.results.try_recv().ok()
    }

    /// Statistics of the disk writes since the process started.
    pub fn statistics(&self) -> Statistics {
        self.log.statistics()
    }

    /// Writes all appended records to the disk, and ends the writer thread.
    pub fn close(self) {
        self.log.close();
    }
}
