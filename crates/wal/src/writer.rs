//! The writer's thread: takes appends in groups, keeps the time of syncs and checkpoints, and ends in order.
//!
//! Groups that are written while a sync runs share the next one: group commit (DeWitt et al., "Implementation Techniques for Main
//! Memory Database Systems", SIGMOD 1984).

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
use syncs::{EndedSync, SyncThread, UnansweredAppend};

/// Bytes after which a group takes no more appends.
const GROUP_BYTES: usize = 1 << 20;
/// At least so long until a sync is tried again after one that failed.
const MIN_SYNC_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What is sent to the writer's thread.
pub enum Command {
    /// Write these records.
    Append(Append),
    /// A sync has ended.
    SyncEnded(EndedSync),
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
    /// Written or refused, and not answered yet, in order: the end of the log.
    unanswered: VecDeque<UnansweredAppend>,
    syncs: SyncThread,
    /// For the checkpoint's thread.
    queue: Sender<Command>,
    counters: Arc<Counters>,
    checkpoint: Option<RunningCheckpoint>,
    /// An append was refused because the folder may not grow, and no checkpoint was considered since.
    is_out_of_capacity: bool,
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
    ) -> Result<Writer<D>, OpenError> {
        let syncs = SyncThread::start(&folder.options, &queue)?;
        Ok(Writer {
            folder,
            run_checkpoint,
            on_result,
            commands,
            backlog: VecDeque::new(),
            unanswered: VecDeque::new(),
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

    /// Until it is told to stop.
    pub fn run(mut self) {
        let mut group = Vec::new();
        loop {
            let next = self.gather(&mut group);
            self.wait_for_capacity(&group);
            if !group.is_empty() {
                self.is_out_of_capacity |= self.write_group(&mut group);
            }
            match next {
                Some(Command::SyncEnded(ended)) => {
                    self.sync_ended(ended);
                    // Before the next sync begins: under load one runs all the time.
                    self.begin_checkpoint_if_due();
                }
                Some(Command::CheckpointEnded(result)) => self.checkpoint_ended(result),
                Some(Command::Stop { sync }) => return self.end(sync),
                Some(Command::Append(_)) | None => {}
            }
            self.begin_sync_if_due();
            self.begin_checkpoint_if_due();
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
        match self.next_deadline() {
            Some(deadline) => {
                self.commands.recv_timeout(deadline.saturating_duration_since(Instant::now())).ok()
            }
            None => self.commands.recv().ok(),
        }
    }

    /// When something is to be begun that waits for the time alone. While a sync runs, for its end before anything else.
    fn next_deadline(&self) -> Option<Instant> {
        if self.syncs.is_running() {
            return None;
        }
        let has_closed_segments = self.folder.base < self.folder.log.number;
        let is_checkpoint_wanted = self.checkpoint.is_none() && has_closed_segments;
        let checkpoint_at = self.next_checkpoint_at.filter(|_| is_checkpoint_wanted);
        [self.sync_deadline, checkpoint_at].into_iter().flatten().min()
    }

    fn end(mut self, sync: bool) {
        self.wait_for_running_sync();
        if sync || !self.unanswered.is_empty() {
            // A failure is logged, counted and answered; the process ends all the same.
            let _ = self.sync_and_wait();
        }
        if let Some(checkpoint) = self.checkpoint.take() {
            checkpoint.cancel_and_wait();
        }
    }
}
