//! The handle of an open write-ahead log.

use std::path::Path;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

use crate::checkpoint;
use crate::error::{AppendError, OpenError};
use crate::folder::Folder;
use crate::options::Options;
use crate::state_machine::StateMachine;
use crate::statistics::{Counters, Statistics};
use crate::writer::{Append, Command, Writer};

/// An open write-ahead log. **Nothing prevents two processes from opening the same folder**: the caller has to ensure
/// that only one does.
///
/// Dropping the handle without calling [`close`](Wal::close) writes the queued records but leaves syncing them to the
/// operating system, as when the process is killed.
pub struct Wal {
    queue: Sender<Command>,
    counters: Arc<Counters>,
    writer: Option<JoinHandle<()>>,
}

impl Wal {
    /// Opens or creates a log's folder. Truncates a torn end, completes or undoes an interrupted checkpoint, and
    /// returns the state that is built from all records in the folder. These records are synced when this returns.
    ///
    /// `on_result(ticket, result)` is called on the writer thread once for each append, in the order of the appends.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is damaged, has another format, schema or identity, or the operating system
    /// failed an operation. The folder is then left unchanged, except that unfinished files and a torn end may have
    /// been removed.
    pub fn open<M: StateMachine>(
        folder: &Path,
        options: Options,
        on_result: impl Fn(u64, Result<(), AppendError>) + Send + 'static,
    ) -> Result<(Wal, M), OpenError> {
        let mut state = M::default();
        let folder = Folder::open(folder, options, &mut |record| state.apply(record))?;
        let counters = Arc::new(Counters::default());
        let (queue, commands) = channel();
        let run_checkpoint = checkpoint::run::<M>;
        let writer =
            Writer::new(folder, run_checkpoint, on_result, commands, queue.clone(), counters.clone())?;
        let writer =
            Builder::new().name("wal".into()).spawn(move || writer.run()).map_err(OpenError::SpawnWriter)?;
        Ok((Wal { queue, counters, writer: Some(writer) }, state))
    }

    /// Queues records that are written as a single entry: after any crash either all of them are present or none.
    ///
    /// With `sync`, the result is reported after the records are synced. Without it, the result is reported after the
    /// write: the records then survive the end of the process, but not yet a loss of power. A sync of them starts
    /// within [`Options::max_sync_delay`]. Records are always written immediately, even while a sync is running. An
    /// append with `sync` and no records waits until all earlier appends are synced. After an `Err`, the records are
    /// not in the log, but may reappear if the power fails before the next sync.
    pub fn append(&self, ticket: u64, records: Vec<Vec<u8>>, sync: bool) {
        if self.queue.send(Command::Append(Append { ticket, records, sync })).is_err() {
            tracing::error!(ticket, "append dropped: the writer thread has ended");
        }
    }

    /// Writes the queued records, syncs them, and waits for the writer thread to end. A running checkpoint is
    /// cancelled; its work is done by the next checkpoint. Must not be called from `on_result`, which runs on the
    /// writer thread.
    pub fn close(mut self) {
        self.shut_down(true);
    }

    /// Returns the counters of the log's operations since it was opened.
    pub fn statistics(&self) -> Statistics {
        self.counters.read()
    }

    fn shut_down(&mut self, sync: bool) {
        let Some(writer) = self.writer.take() else { return };
        // Sending the stop command fails only if the writer thread has already ended.
        let _ = self.queue.send(Command::Stop { sync });
        if writer.join().is_err() {
            tracing::error!("the writer thread panicked");
        }
    }
}

impl Drop for Wal {
    fn drop(&mut self) {
        self.shut_down(false);
    }
}
