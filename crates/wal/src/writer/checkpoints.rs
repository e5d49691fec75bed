//! Decides when a checkpoint starts, prepares it on the writer thread, and processes its result.

use std::path::PathBuf;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use super::group::max_used_bytes;
use super::{Append, Command, Writer};
use crate::background::Cancellation;
use crate::checkpoint::{CheckpointOutcome, CheckpointTask};
use crate::error::{AppendError, CheckpointError};
use crate::folder::Folder;
use crate::frame::{self, FILE_HEADER_BYTES, MAX_APPEND_BYTES};
use crate::instrumentation::Step;
use crate::planted::PlantedFault;
use crate::segment::Segment;
use crate::statistics::add;

/// Delay before a failed checkpoint is retried.
const CHECKPOINT_RETRY_DELAY: Duration = Duration::from_secs(10);
/// After an append was rejected for lack of capacity, a segment is closed before it reaches its limit if it holds more
/// than 1/1024 of the capacity: a checkpoint of fewer records hardly frees any space.
const EARLY_CLOSE_CAPACITY_DIVISOR: u64 = 1024;

/// A checkpoint that is running on its own thread.
pub(super) struct RunningCheckpoint {
    thread: JoinHandle<()>,
    cancellation: Cancellation,
    /// Number of the snapshot that the checkpoint writes.
    to: u64,
    /// Total size, in bytes, of the segments that the checkpoint replaces.
    closed_bytes: u64,
}

impl RunningCheckpoint {
    pub(super) fn cancel_and_wait(self) {
        self.cancellation.cancel();
        // A panic of the joined thread has already been reported by that thread.
        let _ = self.thread.join();
    }
}

impl<D: Fn(u64, Result<(), AppendError>)> Writer<D> {
    /// Waits until a group with an append as large as a whole segment fits into the capacity. Such appends may arrive
    /// faster than checkpoints free space, so they wait for the checkpoints that are running or can be started, where
    /// smaller appends are rejected. The wait ends, because each checkpoint leaves less space to free.
    pub(super) fn wait_for_capacity(&mut self, group: &[Append]) {
        while self.has_large_append_over_capacity(group) {
            self.is_out_of_capacity = true;
            self.begin_checkpoint_if_due();
            self.begin_sync_if_due();
            if self.checkpoint.is_none() && !self.syncs.is_running() {
                return;
            }
            match self.commands.recv() {
                Ok(Command::SyncEnded(ended)) => self.sync_ended(ended),
                Ok(Command::CheckpointEnded(result)) => self.checkpoint_ended(result),
                Ok(command) => {
                    let is_stop = matches!(command, Command::Stop { .. });
                    self.backlog.push_back(command);
                    if is_stop {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }

    fn has_large_append_over_capacity(&self, group: &[Append]) -> bool {
        let sizes = || group.iter().map(|append| frame::entry_bytes(&append.records) as u64);
        let fills_a_segment =
            |size: u64| size >= self.checkpoint_after_bytes() && size <= MAX_APPEND_BYTES as u64;
        let Folder { options, .. } = &self.folder;
        sizes().any(fills_a_segment)
            && options.capacity_bytes > 0
            && self.folder.used_bytes() + sizes().sum::<u64>() > max_used_bytes(options, true)
    }

    /// Returns the size of a segment, in bytes, at which a checkpoint starts.
    fn checkpoint_after_bytes(&self) -> u64 {
        let options = &self.folder.options;
        match options.capacity_bytes {
            0 => options.checkpoint_after_bytes,
            capacity => options.checkpoint_after_bytes.min(capacity / 8),
        }
    }

    /// Closes the segment if it is due, and starts a checkpoint if there are closed segments. At most one checkpoint
    /// runs at a time, and none is started during a sync.
    pub(super) fn begin_checkpoint_if_due(&mut self) {
        if self.syncs.is_running() {
            return;
        }
        let is_out_of_capacity = std::mem::take(&mut self.is_out_of_capacity);
        let must_wait = self.next_checkpoint_at.is_some_and(|at| at > Instant::now());
        if self.checkpoint.is_some() || must_wait {
            return;
        }
        self.next_checkpoint_at = None;
        if self.is_segment_due(is_out_of_capacity) {
            if let Err(error) = self.begin_segment() {
                return self.checkpoint_failed(&error);
            }
        }
        if self.folder.base < self.folder.log.number {
            if let Err(error) = self.begin_checkpoint() {
                self.checkpoint_failed(&error);
            }
        }
    }

    /// Whether the current segment is due to be closed.
    fn is_segment_due(&self, is_out_of_capacity: bool) -> bool {
        let segment_bytes = self.folder.log.end.bytes;
        let is_long = segment_bytes >= self.checkpoint_after_bytes().max(FILE_HEADER_BYTES + 1);
        let early_close_bytes = self.folder.options.capacity_bytes / EARLY_CLOSE_CAPACITY_DIVISOR;
        is_long || is_out_of_capacity && segment_bytes > FILE_HEADER_BYTES + early_close_bytes
    }

    /// Syncs and closes the current segment, and creates the next one.
    fn begin_segment(&mut self) -> Result<(), CheckpointError> {
        self.sync_and_wait()?;
        let Folder { path, options, identity, log, closed_bytes, .. } = &mut self.folder;
        let next = Segment::create(path, log.number + 1, *identity, options)?;
        *closed_bytes += log.end.bytes;
        *log = next;
        Ok(())
    }

    /// Starts a thread that runs a checkpoint of all closed segments.
    fn begin_checkpoint(&mut self) -> Result<(), CheckpointError> {
        let Folder { path, options, log, .. } = &mut self.folder;
        // The segment's name is made durable before the checkpoint starts. If a loss of power kept the snapshot but
        // lost the name of the segment after it, the folder would look damaged.
        if !options.has_planted(PlantedFault::UnsyncedSegmentCovered) {
            log.sync_name(path, options)?;
        }
        let task = self.checkpoint_task();
        let (to, cancellation) = (task.to, task.cancellation.clone());
        let (queue, run_checkpoint) = (self.queue.clone(), self.run_checkpoint);
        let spawned = Builder::new().name("wal-fold".into()).spawn(move || {
            // Sending can't fail, because the writer waits for the checkpoint thread before it ends.
            let _ = queue.send(Command::CheckpointEnded(run_checkpoint(&task)));
        });
        let thread = spawned.map_err(CheckpointError::SpawnThread)?;
        let closed_bytes = self.folder.closed_bytes;
        self.checkpoint = Some(RunningCheckpoint { thread, cancellation, to, closed_bytes });
        Ok(())
    }

    fn checkpoint_task(&self) -> CheckpointTask {
        let Folder { path, options, identity, base, log, .. } = &self.folder;
        let max_bytes = match options.capacity_bytes {
            0 => u64::MAX,
            capacity => capacity.saturating_sub(self.folder.used_bytes()),
        };
        CheckpointTask {
            folder: PathBuf::clone(path),
            options: options.clone(),
            identity: *identity,
            from: *base,
            to: log.number,
            max_bytes,
            cancellation: Cancellation::default(),
        }
    }

    /// Processes the result of a checkpoint.
    pub(super) fn checkpoint_ended(&mut self, result: Result<CheckpointOutcome, CheckpointError>) {
        let Some(checkpoint) = self.checkpoint.take() else { return };
        // A panic of the joined thread has already been reported by that thread.
        let _ = checkpoint.thread.join();
        match result {
            Ok(CheckpointOutcome::Cancelled) => return,
            Ok(CheckpointOutcome::Completed { snapshot_bytes }) => {
                self.folder.base = checkpoint.to;
                self.folder.snapshot_bytes = snapshot_bytes;
                self.folder.closed_bytes -= checkpoint.closed_bytes;
                add(&self.counters.checkpoints, 1);
            }
            Err(error) => return self.checkpoint_failed(&error),
        }
        self.notify_test_of_end();
    }

    fn checkpoint_failed(&mut self, error: &CheckpointError) {
        tracing::warn!(%error, "checkpoint failed; it will be retried after a delay");
        add(&self.counters.failures, 1);
        self.next_checkpoint_at = Some(Instant::now() + CHECKPOINT_RETRY_DELAY);
        self.notify_test_of_end();
    }

    fn notify_test_of_end(&self) {
        // The hook's result is ignored, because no operation is left that could fail.
        let _ = self.folder.options.before(Step::CheckpointEnded, &self.folder.path);
    }
}
