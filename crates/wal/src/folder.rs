//! Opens a folder: creates or checks it, reads its files, and repairs what a kill or a loss of power left.

use std::path::{Path, PathBuf};

use crate::disk;
use crate::error::{FileError, OpenError, ReadError};
use crate::file_names::{file_name, log_name, snapshot_name, FileNames, FORMAT};
use crate::format_file::{self, FORMAT_UNFINISHED};
use crate::frame::{FileId, FileKind, FolderIdentity, FILE_HEADER_BYTES};
use crate::options::Options;
use crate::planted::PlantedFault;
use crate::scan::{scan, FileEnd};
use crate::segment::Segment;

/// Why a file is corrupted that is not there.
pub const MISSING: &str = "the file is missing";

/// An opened folder.
pub struct Folder {
    /// Where it is.
    pub path: PathBuf,
    /// What it was opened with.
    pub options: Options,
    /// The identity that its files carry.
    pub identity: FolderIdentity,
    /// The first segment that the snapshot does not cover; there is no snapshot at 1.
    pub base: u64,
    /// Bytes of the snapshot; 0 if there is none.
    pub snapshot_bytes: u64,
    /// Bytes of the segments between the snapshot and the one that is written to.
    pub closed_bytes: u64,
    /// The segment that is written to.
    pub log: Segment,
}

impl Folder {
    /// Hands out all records in order, and returns the folder with all of them synced.
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
            refuse_without_format(path, &names)?;
            format_file::write(path, &options)?;
        }
        let identity = read_identity(path, &options)?;

        // A process that was killed may have renamed without a sync. First these names are made durable, then others are made
        // that take them for given, and what they replace is removed.
        if !names.has_format || !options.has_planted(PlantedFault::NamesTrusted) {
            disk::sync_folder(path, &options)?;
        }
        if let Some(missing) = names.missing_segment() {
            return Err(ReadError::corrupted(&log_name(missing), MISSING).into());
        }
        for name in &names.unfinished {
            disk::remove(path, name, &options)?;
        }
        let base = names.base();
        let (snapshot_bytes, closed_bytes) = read_closed_files(path, &names, identity, on_record)?;
        let log = open_last_segment(path, &names, identity, &options, on_record)?;
        if let Err(error) = remove_covered(path, base, &options) {
            tracing::warn!(%error, "what a snapshot covers is still there");
        }
        let path = path.to_path_buf();
        Ok(Folder { path, options, identity, base, snapshot_bytes, closed_bytes, log })
    }

    /// Bytes of the files that count.
    pub fn used_bytes(&self) -> u64 {
        self.snapshot_bytes + self.closed_bytes + self.log.end.bytes
    }
}

/// A folder without FORMAT is new, unless there are other files in it than a FORMAT that was not finished.
fn refuse_without_format(path: &Path, names: &FileNames) -> Result<(), ReadError> {
    let logs = names.logs.iter().map(|&number| log_name(number));
    let snapshots = names.snapshots.iter().map(|&number| snapshot_name(number));
    let unfinished = names.unfinished.iter().filter(|name| *name != FORMAT_UNFINISHED).cloned();
    let unrecognized = names.unrecognized.iter().cloned();
    match logs.chain(snapshots).chain(unfinished).chain(unrecognized).next() {
        Some(name) => Err(ReadError::UnknownFormat {
            file: path.join(FORMAT).display().to_string(),
            found: format!("no such file, but {name}"),
        }),
        None => Ok(()),
    }
}

/// The folder's identity, if it keeps what the options say.
fn read_identity(path: &Path, options: &Options) -> Result<FolderIdentity, ReadError> {
    let format = format_file::read(path)?;
    if format.schema != options.schema {
        return Err(ReadError::UnknownFormat {
            file: path.join(FORMAT).display().to_string(),
            found: format!("it keeps {:?}, not {:?}", format.schema, options.schema),
        });
    }
    Ok(format.identity)
}

/// Reads the snapshot and all segments but the last: the bytes of the snapshot, and those of the segments.
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
        snapshot_bytes = read_complete(path, id, on_record)?;
    }
    let mut closed_bytes = 0;
    let live = names.live_segments();
    for number in base..*live.end() {
        let id = FileId { kind: FileKind::Log, number, folder: identity };
        closed_bytes += read_complete(path, id, on_record)?;
    }
    Ok((snapshot_bytes, closed_bytes))
}

/// Reads the last segment and cuts off a torn end; creates it if there is none, or if not even its header is complete.
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
            "torn end"
        ),
        FileEnd::Complete => {}
    }
    if scanned.valid_bytes < FILE_HEADER_BYTES {
        return Ok(Segment::create(path, number, identity, options)?);
    }
    if options.has_planted(PlantedFault::TornTaken) {
        scanned.valid_bytes = scanned.file_bytes;
    }
    Ok(Segment::reopen(path, number, &scanned, options)?)
}

/// Reads a file that must be complete; how many bytes it has.
pub fn read_complete(path: &Path, id: FileId, on_record: &mut dyn FnMut(&[u8])) -> Result<u64, ReadError> {
    let name = file_name(id);
    let scanned = scan(&path.join(&name), id, on_record)?;
    match scanned.end {
        FileEnd::Complete => Ok(scanned.file_bytes),
        FileEnd::Torn(reason) | FileEnd::Corrupted(reason) => Err(ReadError::corrupted(&name, reason)),
    }
}

/// Removes what the snapshot `base` covers. The names may come back at a loss of power, and are removed again.
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
