//! The writer thread of the log: writes appends in groups, starts syncs and checkpoints when they are due, and shuts
//! down in order.
//!
//! Groups that are written while a sync is running share the next sync: group commit (DeWitt et al., "Implementation
//! Techniques for Main Memory Database Systems", SIGMOD 1984).

mod checkpoints;
mod group;
mod syncs;

use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::checkpoint::{CheckpointOutcome, CheckpointTask};
use crate::error::{AppendError, CheckpointError, OpenError};
use crate::folder::Folder;
use crate::frame;
use crate::statistics::Counters;
use checkpoints::RunningCheckpoint;
use syncs::{EndedSync, PendingAppend, SyncThread};

/// Size in bytes at which a group of appends is closed and written.
const GROUP_CLOSE_BYTES: usize = 1 << 20;
/// Minimum delay before a failed sync of the segment is retried.
const MIN_SYNC_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A command that is sent to the writer thread.
pub enum Command {
    /// Write the records of an append.
    Append(Append),
    /// A sync of the segment has ended.
    SyncEnded(EndedSync),
    /// The checkpoint thread has ended.
    CheckpointEnded(Result<CheckpointOutcome, CheckpointError>),
    /// Write the appends that were queued before this command, and end the writer thread.
    Stop {
        /// Whether to sync the written records before the thread ends.
        sync: bool,
    },
}

/// An append: records that are written as a single entry.
pub struct Append {
    /// The caller's identifier of the append, returned with its result.
    pub ticket: u64,
    pub records: Vec<Vec<u8>>,
    /// Whether to report the result only after the records are synced.
    pub sync: bool,
}

/// A function that runs a checkpoint. It hides the type of the state machine from the writer.
pub type RunCheckpoint = fn(&CheckpointTask) -> Result<CheckpointOutcome, CheckpointError>;

/// The state of the writer thread.
pub struct Writer<D> {
    folder: Folder,
    run_checkpoint: RunCheckpoint,
    on_result: D,
    commands: Receiver<Command>,
    /// Commands that were received while the writer waited for capacity or for a sync. They are processed before those
    /// in `commands`.
    backlog: VecDeque<Command>,
    /// Appends at the end of the log, in order, that were written or rejected and whose results have not been reported
    /// yet.
    pending: VecDeque<PendingAppend>,
    syncs: SyncThread,
    /// Sender of commands to this writer, cloned for the checkpoint thread.
    queue: Sender<Command>,
    counters: Arc<Counters>,
    checkpoint: Option<RunningCheckpoint>,
    /// Whether an append was rejected for lack of capacity since the writer last checked if a checkpoint is due.
    is_out_of_capacity: bool,
    /// Earliest time of the next checkpoint, set after a checkpoint has failed.
    next_checkpoint_at: Option<Instant>,
    /// Time by which the unsynced records have to be synced.
    sync_deadline: Option<Instant>,
    /// Buffer for the encoded entries of a group.
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
    ) -> Result<Writer<D>, OpenError> {
        let syncs = SyncThread::start(&folder.options, &queue)?;
        Ok(Writer {
            folder,
            run_checkpoint,
            on_result,
            commands,
            backlog: VecDeque::new(),
            pending: VecDeque::new(),
            syncs,
            queue,
            counters,
            checkpoint: None,
            is_out_of_capacity: false,
            next_checkpoint_at: None,
            sync_deadline: None,
            buffer: Vec::new(),
        })
    }

    /// Runs the writer until it receives a stop command.
    pub fn run(mut self) {
        let mut group = Vec::new();
        loop {
            let next = self.collect_group(&mut group);
            self.wait_for_capacity(&group);
            if !group.is_empty() {
                self.is_out_of_capacity |= self.write_group(&mut group);
            }
            match next {
                Some(Command::SyncEnded(ended)) => {
                    self.sync_ended(ended);
                    // A checkpoint that is due is started before the next sync, because a checkpoint can't start
                    // during a sync, and under load syncs follow one another without a gap.
                    self.begin_checkpoint_if_due();
                }
                Some(Command::CheckpointEnded(result)) => self.checkpoint_ended(result),
                Some(Command::Stop { sync }) => return self.shut_down(sync),
                Some(Command::Append(_)) | None => {}
            }
            self.begin_sync_if_due();
            self.begin_checkpoint_if_due();
        }
    }

    /// Waits for a command and collects the queued appends into a group. Returns the first command that is not an
    /// append, if one was received.
    fn collect_group(&mut self, group: &mut Vec<Append>) -> Option<Command> {
        let mut next = self.wait_for_command();
        let mut group_bytes = 0;
        while let Some(Command::Append(append)) = next {
            group_bytes += frame::entry_bytes(&append.records);
            group.push(append);
            next = if group_bytes < GROUP_CLOSE_BYTES { self.try_next() } else { None };
        }
        next
    }

    fn try_next(&mut self) -> Option<Command> {
        self.backlog.pop_front().or_else(|| self.commands.try_recv().ok())
    }

    /// Waits for the next command. Returns `None` if a sync or a checkpoint becomes due first.
    fn wait_for_command(&mut self) -> Option<Command> {
        if let Some(command) = self.backlog.pop_front() {
            return Some(command);
        }
        match self.next_deadline() {
            Some(deadline) => {
                self.commands.recv_timeout(deadline.saturating_duration_since(Instant::now())).ok()
            }
            None => self.commands.recv().ok(),
        }
    }

    /// Returns the next time at which a sync or a checkpoint has to start. Returns `None` while a sync is running,
    /// because nothing else starts before it has ended.
    fn next_deadline(&self) -> Option<Instant> {
        if self.syncs.is_running() {
            return None;
        }
        let has_closed_segments = self.folder.base < self.folder.log.number;
        let is_checkpoint_wanted = self.checkpoint.is_none() && has_closed_segments;
        let checkpoint_at = self.next_checkpoint_at.filter(|_| is_checkpoint_wanted);
        [self.sync_deadline, checkpoint_at].into_iter().flatten().min()
    }

    fn shut_down(mut self, sync: bool) {
        self.wait_for_running_sync();
        if sync || !self.pending.is_empty() {
            // A failure of the final sync has already been logged, counted and reported to the appends; the thread
            // ends regardless.
            let _ = self.sync_and_wait();
        }
        if let Some(checkpoint) = self.checkpoint.take() {
            checkpoint.cancel_and_wait();
        }
    }
}
