//! A checkpoint: merges the previous snapshot and the closed segments into a new snapshot, and then removes the files
//! that the new snapshot covers.
//!
//! The steps follow the order of crash-safe file replacement on POSIX: write the file under a temporary name, sync the
//! file, rename it, sync the folder, and only then remove the files that it replaces.

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

/// The work of a checkpoint thread: merge the snapshot numbered `from` and the segments from `from` up to but not
/// including `to` into the snapshot numbered `to`.
pub struct CheckpointTask {
    /// The folder that holds the log's files.
    pub folder: PathBuf,
    /// The options that the log was opened with.
    pub options: Options,
    /// The folder identity that is stored in the header of every file of the folder.
    pub identity: FolderIdentity,
    /// Number of the previous snapshot, which is also the number of the first segment that it does not cover; 1 if
    /// there is no snapshot.
    pub from: u64,
    /// Number of the snapshot to write, which is also the number of the first segment that it will not cover.
    pub to: u64,
    /// Maximum size of the new snapshot, in bytes.
    pub max_bytes: u64,
    /// Set by the log's writer thread to make the checkpoint thread abandon its work.
    pub cancellation: Cancellation,
}

/// The result of a checkpoint that ended without an error.
#[derive(Debug, PartialEq, Eq)]
pub enum CheckpointOutcome {
    /// The snapshot was written and renamed to its final name.
    Completed {
        /// Length of the snapshot file, in bytes.
        snapshot_bytes: u64,
    },
    /// The checkpoint was cancelled, and its temporary file was removed.
    Cancelled,
}

impl CheckpointTask {
    fn file_id(&self, kind: FileKind, number: u64) -> FileId {
        FileId { kind, number, folder: self.identity }
    }
}

/// Runs a checkpoint on a separate state machine that is built from the files, so the program's own state machine is
/// not used.
pub fn run<M: StateMachine>(task: &CheckpointTask) -> Result<CheckpointOutcome, CheckpointError> {
    task.options.before(Step::ReadForCheckpoint, &task.folder)?;
    let state = read_state::<M>(task)?;

    let name = snapshot_name(task.to);
    let unfinished = unfinished_name(&name);
    let outcome = match write_snapshot(task, &unfinished, state) {
        _ if task.cancellation.is_cancelled() => Ok(CheckpointOutcome::Cancelled),
        Ok(snapshot_bytes) => rename_snapshot(task, &unfinished, &name)
            .map(|()| CheckpointOutcome::Completed { snapshot_bytes }),
        Err(error) => Err(error),
    };
    if !matches!(outcome, Ok(CheckpointOutcome::Completed { .. })) {
        // A failure to remove the temporary snapshot file is ignored, because the next opening of the folder removes
        // the file.
        let _ = disk::remove(&task.folder, &unfinished, &task.options);
        return outcome;
    }
    // Until the folder is synced, a loss of power may bring the old file names back. The files that the snapshot
    // replaces are therefore removed only after the sync.
    if !task.options.has_planted(PlantedFault::CoveredFilesRemovedEarly) {
        task.options.before(Step::SyncFolderAfterSnapshot, &task.folder)?;
        disk::sync_folder(&task.folder, &task.options)?;
    }
    if let Err(error) = remove_covered(task) {
        tracing::warn!(%error, "could not remove files that the new snapshot covers; a later checkpoint or opening removes them");
    }
    outcome
}

/// Applies all records of the previous snapshot and of the segments that the new snapshot covers to an empty state
/// machine. Records that are read after a cancellation are skipped.
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
        folder::read_complete_file(&task.folder, snapshot, &mut apply)?;
    }
    for number in task.from..task.to {
        let segment = task.file_id(FileKind::Log, number);
        folder::read_complete_file(&task.folder, segment, &mut apply)?;
    }
    Ok(state)
}

/// Writes and syncs the snapshot under its temporary name, drops the state machine, and returns the length of the
/// snapshot in bytes.
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
