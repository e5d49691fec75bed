//! Verifies the contents of a log's folder without changing it.

use std::fmt;
use std::path::Path;

use crate::error::ReadError;
use crate::file_names::{file_name, log_name, snapshot_name, FileNames};
use crate::folder::MISSING_FILE_REASON;
use crate::format_file;
use crate::frame::{FileId, FileKind};
use crate::scan::{scan, FileEnd};

/// The condition of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileState {
    /// The whole file is valid.
    Complete,
    /// The file ends with bytes that were never synced, which an opening would truncate.
    TornTail {
        /// Offset of the first invalid byte in the file.
        offset: u64,
        /// Description of the first invalid byte.
        reason: String,
    },
    /// The file is missing, or its bytes have changed since they were synced, so an opening would reject the folder.
    /// Holds the description and the offset of the damage.
    Corrupted(String),
    /// The file is covered by a snapshot or was never finished, and an opening would remove it.
    Obsolete,
    /// The file is not one of the log's files.
    Unrecognized,
}

/// The result of verifying a single file.
#[derive(Clone, Debug)]
pub struct FileReport {
    /// Name of the file within the folder.
    pub name: String,
    /// Number of valid records in the file; 0 for a file that is not part of the current log.
    pub records: u64,
    /// Length of the file in bytes; 0 for a file that is not part of the current log.
    pub bytes: u64,
    /// Condition of the file.
    pub state: FileState,
}

impl FileReport {
    fn not_read(name: String, state: FileState) -> FileReport {
        FileReport { name, records: 0, bytes: 0, state }
    }
}

/// The result of verifying a log's folder.
#[derive(Clone, Debug)]
pub struct Report {
    /// Schema of the records, as stored in the file FORMAT.
    pub schema: String,
    /// Identity of the folder as eight hexadecimal digits. It is generated randomly when the folder is created, and
    /// stored in each of its files.
    pub identity: String,
    /// The files of the current log in the order in which they are read, followed by all other files.
    pub files: Vec<FileReport>,
    /// Number of valid records in the files of the current log.
    pub records: u64,
    /// Number of valid bytes in the files of the current log.
    pub bytes: u64,
}

impl Report {
    /// Whether opening the folder would succeed.
    pub fn opens(&self) -> bool {
        !self.files.iter().any(|file| matches!(file.state, FileState::Corrupted(_)))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let verdict = if self.opens() { "opens" } else { "damaged" };
        write!(f, "{}: {verdict}, {} records, {} bytes", self.schema, self.records, self.bytes)?;
        for FileReport { name, records, bytes, state } in &self.files {
            write!(f, "\n  {name}: {records} records, {bytes} bytes, ")?;
            match state {
                FileState::Complete => write!(f, "whole")?,
                FileState::TornTail { offset, reason } => write!(f, "torn at byte {offset}: {reason}")?,
                FileState::Corrupted(reason) => write!(f, "damaged: {reason}")?,
                FileState::Obsolete => write!(f, "left over")?,
                FileState::Unrecognized => write!(f, "foreign")?,
            }
        }
        Ok(())
    }
}

/// Reads a folder that no process has open. Passes the records that an opening would apply to `on_record`, in order,
/// up to the first damage.
///
/// # Errors
///
/// Returns an error if a file can't be read, or belongs to another format or folder. Damage is not an error: it is
/// described in the report.
pub fn verify(folder: &Path, on_record: &mut dyn FnMut(&[u8])) -> Result<Report, ReadError> {
    let names = FileNames::read(folder)?;
    let format = format_file::read(folder)?;
    let mut report = Report {
        schema: format.schema,
        identity: format.identity.to_string(),
        files: Vec::new(),
        records: 0,
        bytes: 0,
    };
    let snapshot = names.snapshots.last().map(|&number| (FileKind::Snapshot, number));
    let segments = names.live_segments().map(|number| (FileKind::Log, number));
    for (kind, number) in snapshot.into_iter().chain(segments) {
        let id = FileId { kind, number, folder: format.identity };
        if kind == FileKind::Log && !names.logs.contains(&number) {
            let state = FileState::Corrupted(MISSING_FILE_REASON.into());
            report.files.push(FileReport::not_read(file_name(id), state));
            continue;
        }
        let may_be_torn = kind == FileKind::Log && number == *names.live_segments().end();
        verify_file(folder, id, may_be_torn, &mut report, on_record)?;
    }
    report.files.extend(files_outside_current_log(names));
    Ok(report)
}

/// Reads one file and adds its result to the report. Records are passed to `on_record` until a file is damaged.
fn verify_file(
    folder: &Path,
    id: FileId,
    may_be_torn: bool,
    report: &mut Report,
    on_record: &mut dyn FnMut(&[u8]),
) -> Result<(), ReadError> {
    let name = file_name(id);
    let is_undamaged_so_far = report.opens();
    let scanned = scan(&folder.join(&name), id, &mut |record| {
        if is_undamaged_so_far {
            on_record(record);
        }
    })?;
    let state = match scanned.end {
        FileEnd::Complete => FileState::Complete,
        FileEnd::Torn(reason) if may_be_torn => FileState::TornTail { offset: scanned.valid_bytes, reason },
        FileEnd::Torn(reason) | FileEnd::Corrupted(reason) => FileState::Corrupted(reason),
    };
    report.records += scanned.records;
    report.bytes += scanned.valid_bytes;
    report.files.push(FileReport { name, records: scanned.records, bytes: scanned.file_bytes, state });
    Ok(())
}

/// Returns reports of the files outside the current log: files that a snapshot covers, unfinished files, and files
/// that no log writes.
fn files_outside_current_log(names: FileNames) -> Vec<FileReport> {
    let base = names.base();
    let snapshots = names.snapshots.range(..base).map(|&number| snapshot_name(number));
    let logs = names.logs.range(..base).map(|&number| log_name(number));
    let obsolete = snapshots.chain(logs).chain(names.unfinished);
    let mut files: Vec<FileReport> =
        obsolete.map(|name| FileReport::not_read(name, FileState::Obsolete)).collect();
    let unrecognized = names.unrecognized.into_iter();
    files.extend(unrecognized.map(|name| FileReport::not_read(name, FileState::Unrecognized)));
    files
}
