//! The writer's thread: takes appends in groups, keeps the time of syncs and checkpoints, and ends in order.
//!
//! Appends that queue while one group is synced make the next group, and share its sync: group commit (DeWitt et al.,
//! "Implementation Techniques for Main Memory Database Systems", SIGMOD 1984).

mod checkpoints;
mod group;

use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::checkpoint::{CheckpointOutcome, CheckpointTask};
use crate::error::{AppendError, CheckpointError, FileError};
use crate::folder::Folder;
use crate::frame;
use crate::statistics::{add, Counters};
use checkpoints::RunningCheckpoint;

/// Bytes after which a group takes no more appends.
const GROUP_BYTES: usize = 1 << 20;
/// At least so long until a sync is tried again after one that failed.
const MIN_SYNC_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What is sent to the writer's thread.
pub enum Command {
    /// Write these records.
    Append(Append),
    /// The checkpoint's thread has ended.
    CheckpointEnded(Result<CheckpointOutcome, CheckpointError>),
    /// Write what was queued before, and end.
    Stop {
        /// Sync it too.
        sync: bool,
    },
}

/// Records that go into one entry.
pub struct Append {
    /// Given back with the result.
    pub ticket: u64,
    pub records: Vec<Vec<u8>>,
    /// Answer after a sync.
    pub sync: bool,
}

/// Runs a checkpoint, for a state machine that the writer does not know.
pub type RunCheckpoint = fn(&CheckpointTask) -> Result<CheckpointOutcome, CheckpointError>;

/// The state of the writer's thread.
pub struct Writer<D> {
    folder: Folder,
    run_checkpoint: RunCheckpoint,
    on_result: D,
    commands: Receiver<Command>,
    /// Arrived while an append waited for capacity; they come before what is in `commands`.
    backlog: VecDeque<Command>,
    /// For the checkpoint's thread.
    queue: Sender<Command>,
    counters: Arc<Counters>,
    checkpoint: Option<RunningCheckpoint>,
    /// After a checkpoint that failed: no other before.
    next_checkpoint_at: Option<Instant>,
    /// When unsynced records have to be synced.
    sync_deadline: Option<Instant>,
    /// The entries of a group.
    buffer: Vec<u8>,
}

impl<D: Fn(u64, Result<(), AppendError>)> Writer<D> {
    pub fn new(
        folder: Folder,
        run_checkpoint: RunCheckpoint,
        on_result: D,
        commands: Receiver<Command>,
        queue: Sender<Command>,
        counters: Arc<Counters>,
    ) -> Writer<D> {
        Writer {
            folder,
            run_checkpoint,
            on_result,
            commands,
            backlog: VecDeque::new(),
            queue,
            counters,
            checkpoint: None,
            next_checkpoint_at: None,
            sync_deadline: None,
            buffer: Vec::new(),
        }
    }

    /// Until it is told to stop.
    pub fn run(mut self) {
        let mut group = Vec::new();
        loop {
            let next = self.gather(&mut group);
            self.wait_for_capacity(&group);
            let is_out_of_capacity = !group.is_empty() && self.write_group(&mut group);
            match next {
                Some(Command::CheckpointEnded(result)) => self.checkpoint_ended(result),
                Some(Command::Stop { sync }) => return self.end(sync),
                _ => {}
            }
            if self.sync_deadline.is_some_and(|deadline| deadline <= Instant::now()) {
                // A failure is logged and counted, and the sync is due again.
                let _ = self.sync();
            }
            self.begin_checkpoint_if_due(is_out_of_capacity);
        }
    }

    /// Waits for a command, and takes the appends that are queued into a group. The first command that is another one.
    fn gather(&mut self, group: &mut Vec<Append>) -> Option<Command> {
        let mut next = self.wait();
        let mut group_bytes = 0;
        while let Some(Command::Append(append)) = next {
            group_bytes += frame::entry_bytes(&append.records);
            group.push(append);
            next = if group_bytes < GROUP_BYTES { self.next_without_waiting() } else { None };
        }
        next
    }

    fn next_without_waiting(&mut self) -> Option<Command> {
        self.backlog.pop_front().or_else(|| self.commands.try_recv().ok())
    }

    /// None when a sync or a checkpoint is due first.
    fn wait(&mut self) -> Option<Command> {
        if let Some(command) = self.backlog.pop_front() {
            return Some(command);
        }
        let has_closed_segments = self.folder.base < self.folder.log.number;
        let is_checkpoint_wanted = self.checkpoint.is_none() && has_closed_segments;
        let checkpoint_at = self.next_checkpoint_at.filter(|_| is_checkpoint_wanted);
        match [self.sync_deadline, checkpoint_at].into_iter().flatten().min() {
            Some(deadline) => {
                self.commands.recv_timeout(deadline.saturating_duration_since(Instant::now())).ok()
            }
            None => self.commands.recv().ok(),
        }
    }

    /// Syncs all that was written. After a failure it is due again.
    fn sync(&mut self) -> Result<(), FileError> {
        let Folder { path, options, log, .. } = &mut self.folder;
        match log.sync(path, options) {
            Ok(was_needed) => {
                add(&self.counters.syncs, u64::from(was_needed));
                self.sync_deadline = None;
                Ok(())
            }
            Err(error) => {
                tracing::warn!(%error, "a sync failed");
                add(&self.counters.failures, 1);
                let delay = options.max_sync_delay.max(MIN_SYNC_RETRY_DELAY);
                self.sync_deadline = Some(Instant::now() + delay);
                Err(error)
            }
        }
    }

    fn end(mut self, sync: bool) {
        if sync {
            // A failure is logged and counted; the process ends all the same.
            let _ = self.sync();
        }
        if let Some(checkpoint) = self.checkpoint.take() {
            checkpoint.cancel_and_wait();
        }
    }
}
