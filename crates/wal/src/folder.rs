//! Opens a log's folder: creates or checks it, reads its files, and repairs the state that a killed process or a loss
//! of power left behind.

use std::path::{Path, PathBuf};

use crate::disk;
use crate::error::{FileError, OpenError, ReadError};
use crate::file_names::{file_name, log_name, snapshot_name, FileNames, FORMAT_FILE_NAME};
use crate::format_file::{self, UNFINISHED_FORMAT_FILE_NAME};
use crate::frame::{FileId, FileKind, FolderIdentity, FILE_HEADER_BYTES};
use crate::options::Options;
use crate::planted::PlantedFault;
use crate::scan::{scan, FileEnd};
use crate::segment::Segment;

/// Reason given in the error for a segment that should exist but is missing from the folder.
pub const MISSING_FILE_REASON: &str = "the file is missing";

/// A log's folder after it was opened and recovered.
pub struct Folder {
    /// Path of the log's folder.
    pub path: PathBuf,
    /// Options that the log was opened with.
    pub options: Options,
    /// Identity that is stored in the header of every file of the folder.
    pub identity: FolderIdentity,
    /// Number of the first segment that the snapshot does not cover; 1 if there is no snapshot.
    pub base: u64,
    /// Size of the snapshot in bytes; 0 if there is no snapshot.
    pub snapshot_bytes: u64,
    /// Total size, in bytes, of the closed segments: those after the snapshot and before the segment that is written
    /// to.
    pub closed_bytes: u64,
    /// The last segment, to which new entries are appended.
    pub log: Segment,
}

impl Folder {
    /// Passes all records of the folder to `on_record` in order, and returns the folder with all of its records
    /// synced.
    pub fn open(
        path: &Path,
        options: Options,
        on_record: &mut dyn FnMut(&[u8]),
    ) -> Result<Folder, OpenError> {
        if options.has_planted(PlantedFault::ParentUnsynced) {
            disk::create_folder_unsynced(path)?;
        } else {
            disk::create_folder(path, &options)?;
        }
        let names = FileNames::read(path)?;
        if !names.has_format {
            reject_without_format(path, &names)?;
            format_file::write(path, &options)?;
        }
        let identity = read_identity(path, &options)?;

        // A process that was killed may have renamed files without syncing the folder. The folder is therefore synced
        // before files are created that depend on these names, and before the files that they replace are removed.
        if !names.has_format || !options.has_planted(PlantedFault::UnsyncedNamesTrusted) {
            disk::sync_folder(path, &options)?;
        }
        if let Some(missing) = names.missing_segment() {
            return Err(ReadError::corrupted(&log_name(missing), MISSING_FILE_REASON).into());
        }
        for name in &names.unfinished {
            disk::remove(path, name, &options)?;
        }
        let base = names.base();
        let (snapshot_bytes, closed_bytes) = read_closed_files(path, &names, identity, on_record)?;
        let log = open_last_segment(path, &names, identity, &options, on_record)?;
        if let Err(error) = remove_covered(path, base, &options) {
            tracing::warn!(%error, "could not remove files that the snapshot covers; a later checkpoint or opening removes them");
        }
        let path = path.to_path_buf();
        Ok(Folder { path, options, identity, base, snapshot_bytes, closed_bytes, log })
    }

    /// Total size, in bytes, of the snapshot and the segments that are part of the current log.
    pub fn used_bytes(&self) -> u64 {
        self.snapshot_bytes + self.closed_bytes + self.log.end.bytes
    }
}

/// Rejects a folder that lacks the file FORMAT but contains other files. A folder without FORMAT counts as new only if
/// it is empty or contains just an unfinished FORMAT.
fn reject_without_format(path: &Path, names: &FileNames) -> Result<(), ReadError> {
    let logs = names.logs.iter().map(|&number| log_name(number));
    let snapshots = names.snapshots.iter().map(|&number| snapshot_name(number));
    let unfinished = names.unfinished.iter().filter(|name| *name != UNFINISHED_FORMAT_FILE_NAME).cloned();
    let unrecognized = names.unrecognized.iter().cloned();
    match logs.chain(snapshots).chain(unfinished).chain(unrecognized).next() {
        Some(name) => Err(ReadError::UnknownFormat {
            file: path.join(FORMAT_FILE_NAME).display().to_string(),
            found: format!("the file is missing, but the folder contains {name}"),
        }),
        None => Ok(()),
    }
}

/// Returns the folder's identity, or an error if the schema in FORMAT differs from the one in the options.
fn read_identity(path: &Path, options: &Options) -> Result<FolderIdentity, ReadError> {
    let format = format_file::read(path)?;
    if format.schema != options.schema {
        return Err(ReadError::UnknownFormat {
            file: path.join(FORMAT_FILE_NAME).display().to_string(),
            found: format!("the schema is {:?}, not {:?}", format.schema, options.schema),
        });
    }
    Ok(format.identity)
}

/// Reads the snapshot and all segments except the last one. Returns the size in bytes of the snapshot, and the total
/// size in bytes of these segments.
fn read_closed_files(
    path: &Path,
    names: &FileNames,
    identity: FolderIdentity,
    on_record: &mut dyn FnMut(&[u8]),
) -> Result<(u64, u64), ReadError> {
    let base = names.base();
    let mut snapshot_bytes = 0;
    if names.snapshots.contains(&base) {
        let id = FileId { kind: FileKind::Snapshot, number: base, folder: identity };
        snapshot_bytes = read_complete_file(path, id, on_record)?;
    }
    let mut closed_bytes = 0;
    let live = names.live_segments();
    for number in base..*live.end() {
        let id = FileId { kind: FileKind::Log, number, folder: identity };
        closed_bytes += read_complete_file(path, id, on_record)?;
    }
    Ok((snapshot_bytes, closed_bytes))
}

/// Reads the last segment and truncates a torn end. Creates the segment if it does not exist, or if its file header is
/// incomplete.
fn open_last_segment(
    path: &Path,
    names: &FileNames,
    identity: FolderIdentity,
    options: &Options,
    on_record: &mut dyn FnMut(&[u8]),
) -> Result<Segment, OpenError> {
    let live = names.live_segments();
    let number = names.base().max(*live.end());
    if live.is_empty() {
        return Ok(Segment::create(path, number, identity, options)?);
    }
    let name = log_name(number);
    let id = FileId { kind: FileKind::Log, number, folder: identity };
    let mut scanned = scan(&path.join(&name), id, on_record)?;
    match &scanned.end {
        FileEnd::Corrupted(reason) => return Err(ReadError::corrupted(&name, reason.as_str()).into()),
        FileEnd::Torn(reason) => tracing::warn!(
            file = name,
            valid_bytes = scanned.valid_bytes,
            file_bytes = scanned.file_bytes,
            reason,
            "segment ends with an incomplete or damaged entry that was never synced; truncating it"
        ),
        FileEnd::Complete => {}
    }
    if scanned.valid_bytes < FILE_HEADER_BYTES {
        return Ok(Segment::create(path, number, identity, options)?);
    }
    if options.has_planted(PlantedFault::TornEndAccepted) {
        scanned.valid_bytes = scanned.file_bytes;
    }
    Ok(Segment::reopen(path, number, &scanned, options)?)
}

/// Reads a file that must not end in a torn entry, and returns its length in bytes.
pub fn read_complete_file(
    path: &Path,
    id: FileId,
    on_record: &mut dyn FnMut(&[u8]),
) -> Result<u64, ReadError> {
    let name = file_name(id);
    let scanned = scan(&path.join(&name), id, on_record)?;
    match scanned.end {
        FileEnd::Complete => Ok(scanned.file_bytes),
        FileEnd::Torn(reason) | FileEnd::Corrupted(reason) => Err(ReadError::corrupted(&name, reason)),
    }
}

/// Removes the segments and older snapshots that the snapshot `base` covers. The removals are not synced: after a loss
/// of power the files may reappear, and are then removed again.
pub fn remove_covered(path: &Path, base: u64, options: &Options) -> Result<(), FileError> {
    let names = FileNames::read(path)?;
    for &number in names.logs.range(..base) {
        disk::remove(path, &log_name(number), options)?;
    }
    for &number in names.snapshots.range(..base) {
        disk::remove(path, &snapshot_name(number), options)?;
    }
    Ok(())
}
