//! The handle of an open log.

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

/// An open log. **Nothing keeps two processes out of one folder**: that is the caller's to see to.
///
/// Dropping it without [`close`](Wal::close) writes what is queued and leaves the sync to the system, as when the process is
/// killed.
pub struct Wal {
    queue: Sender<Command>,
    counters: Arc<Counters>,
    writer: Option<JoinHandle<()>>,
}

impl Wal {
    /// Opens a folder, or creates it. Cuts off a torn end, finishes or undoes a checkpoint, and returns the state that all
    /// records there build; they are synced by then.
    ///
    /// `on_result(ticket, result)` is called on the writer's thread once for each append, in their order.
    ///
    /// # Errors
    ///
    /// The folder is damaged, of another format, schema or identity, or the system refused something. It is left as it was, but
    /// for unfinished files and a torn end.
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

    /// Queues records that go into one entry: after any crash all of them are there or none.
    ///
    /// With `sync` the result comes after the sync. Without it comes after the write: then the records outlive the process, but
    /// not yet the machine; a sync of them begins within [`Options::max_sync_delay`]. Records are written at once in any case, also
    /// while a sync runs. No records with `sync` wait for all that was appended before. After an `Err` the records are not there, but may come back if the power fails before the next sync.
    pub fn append(&self, ticket: u64, records: Vec<Vec<u8>>, sync: bool) {
        if self.queue.send(Command::Append(Append { ticket, records, sync })).is_err() {
            tracing::error!(ticket, "the writer's thread has ended");
        }
    }

    /// Writes what is queued, syncs, and waits for the writer. A checkpoint under way is given up; the next one makes up for it.
    /// Not to be called from `on_result`.
    pub fn close(mut self) {
        self.end(true);
    }

    /// What was done since the opening.
    pub fn statistics(&self) -> Statistics {
        self.counters.read()
    }

    fn end(&mut self, sync: bool) {
        let Some(writer) = self.writer.take() else { return };
        // Fails only if the writer has ended already.
        let _ = self.queue.send(Command::Stop { sync });
        if writer.join().is_err() {
            tracing::error!("the writer's thread panicked");
        }
    }
}

impl Drop for Wal {
    fn drop(&mut self) {
        self.end(false);
    }
}
