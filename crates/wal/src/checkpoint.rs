//! A checkpoint: folds the snapshot and the closed segments into a new snapshot, and removes what it covers.
//!
//! The order is that of crash-safe replacement on POSIX: write under another name, sync the file, rename it, sync the folder,
//! and only then remove what it replaces.

use std::path::PathBuf;

use crate::background::{pause, Cancellation, BYTES_BETWEEN_PAUSES};
use crate::disk;
use crate::error::CheckpointError;
use crate::file_names::{snapshot_name, unfinished_name};
use crate::folder;
use crate::frame::{FileId, FileKind, FolderIdentity};
use crate::instrumentation::Step;
use crate::options::Options;
use crate::planted::PlantedFault;
use crate::snapshot::{SnapshotPlan, SnapshotWriter};
use crate::state_machine::StateMachine;

/// What a checkpoint's thread is to do: fold the snapshot `from` and the segments from there on into the snapshot `to`.
pub struct CheckpointTask {
    /// The folder that the log is in.
    pub folder: PathBuf,
    /// Those of the log.
    pub options: Options,
    /// The identity that the folder's files carry.
    pub identity: FolderIdentity,
    /// The snapshot to begin with, and the first segment that it does not cover; 1 if there is no snapshot.
    pub from: u64,
    /// The snapshot to be written, and the first segment that it will not cover.
    pub to: u64,
    /// Bytes that the snapshot may take.
    pub max_bytes: u64,
    /// Tells the thread to give up.
    pub cancellation: Cancellation,
}

/// How a checkpoint that did not fail has ended.
#[derive(Debug, PartialEq, Eq)]
pub enum CheckpointOutcome {
    /// The snapshot has its name.
    Completed {
        /// Length of the snapshot.
        snapshot_bytes: u64,
    },
    /// It was cancelled, and no file of it is left.
    Cancelled,
}

impl CheckpointTask {
    fn file_id(&self, kind: FileKind, number: u64) -> FileId {
        FileId { kind, number, folder: self.identity }
    }
}

/// Runs a checkpoint on a state machine of its own.
pub fn run<M: StateMachine>(task: &CheckpointTask) -> Result<CheckpointOutcome, CheckpointError> {
    task.options.before(Step::ReadForCheckpoint, &task.folder)?;
    let state = read_state::<M>(task)?;

    let name = snapshot_name(task.to);
    let unfinished = unfinished_name(&name);
    let published = match write_snapshot(task, &unfinished, state) {
        _ if task.cancellation.is_cancelled() => Ok(CheckpointOutcome::Cancelled),
        Ok(snapshot_bytes) => rename_snapshot(task, &unfinished, &name)
            .map(|()| CheckpointOutcome::Completed { snapshot_bytes }),
        Err(error) => Err(error),
    };
    if !matches!(published, Ok(CheckpointOutcome::Completed { .. })) {
        // If this fails, the next opening removes it.
        let _ = disk::remove(&task.folder, &unfinished, &task.options);
        return published;
    }
    // Until the folder is synced a loss of power may bring the old names back, so what the snapshot replaces stays.
    if !task.options.has_planted(PlantedFault::DroppedEarly) {
        task.options.before(Step::SyncFolderAfterSnapshot, &task.folder)?;
        disk::sync_folder(&task.folder, &task.options)?;
    }
    if let Err(error) = remove_covered(task) {
        tracing::warn!(%error, "what a snapshot covers is still there");
    }
    published
}

/// Applies all records of the snapshot and of the segments that the new one covers; none after it was cancelled.
fn read_state<M: StateMachine>(task: &CheckpointTask) -> Result<M, CheckpointError> {
    let mut state = M::default();
    let mut bytes_since_pause = 0;
    let mut apply = |record: &[u8]| {
        if task.cancellation.is_cancelled() {
            return;
        }
        state.apply(record);
        bytes_since_pause += record.len();
        if bytes_since_pause >= BYTES_BETWEEN_PAUSES {
            bytes_since_pause = 0;
            pause();
        }
    };
    if task.from > 1 {
        let snapshot = task.file_id(FileKind::Snapshot, task.from);
        folder::read_complete(&task.folder, snapshot, &mut apply)?;
    }
    for number in task.from..task.to {
        let segment = task.file_id(FileKind::Log, number);
        folder::read_complete(&task.folder, segment, &mut apply)?;
    }
    Ok(state)
}

/// Writes and syncs the snapshot under its unfinished name, and frees the state. Its length in bytes.
fn write_snapshot<M: StateMachine>(
    task: &CheckpointTask,
    unfinished: &str,
    state: M,
) -> Result<u64, CheckpointError> {
    let mut writer = SnapshotWriter::create(SnapshotPlan {
        folder: &task.folder,
        name: unfinished,
        id: task.file_id(FileKind::Snapshot, task.to),
        max_bytes: task.max_bytes,
        options: &task.options,
        cancellation: &task.cancellation,
    })?;
    state.snapshot(&mut |record| writer.put(record));
    writer.finish()
}

fn rename_snapshot(task: &CheckpointTask, unfinished: &str, name: &str) -> Result<(), CheckpointError> {
    task.options.before(Step::RenameSnapshot, &task.folder)?;
    Ok(disk::rename(&task.folder, unfinished, name, &task.options)?)
}

fn remove_covered(task: &CheckpointTask) -> Result<(), CheckpointError> {
    task.options.before(Step::RemoveCovered, &task.folder)?;
    Ok(folder::remove_covered(&task.folder, task.to, &task.options)?)
}
