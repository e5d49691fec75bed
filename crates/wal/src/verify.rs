//! What a folder holds, read without a change to it.

use std::fmt;
use std::path::Path;

use crate::error::ReadError;
use crate::file_names::{file_name, log_name, snapshot_name, FileNames};
use crate::folder::MISSING;
use crate::format_file;
use crate::frame::{FileId, FileKind};
use crate::scan::{scan, FileEnd};

/// What is wrong with a file, if anything.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileState {
    /// All of it is valid.
    Complete,
    /// It ends with bytes that were never synced: an opening would cut them off.
    TornTail {
        /// The first of these bytes.
        offset: u64,
        /// What is wrong there.
        reason: String,
    },
    /// It is missing, or bytes changed after they had been synced: an opening would refuse the folder. What is wrong, and where.
    Corrupted(String),
    /// A snapshot covers it, or it was never finished: an opening would remove it.
    Obsolete,
    /// It is none of a log's files.
    Unrecognized,
}

/// What there is in one file.
#[derive(Clone, Debug)]
pub struct FileReport {
    /// Its name within the folder.
    pub name: String,
    /// Records that are valid; 0 in a file that does not count.
    pub records: u64,
    /// Length in bytes; 0 of a file that does not count.
    pub bytes: u64,
    /// What is wrong with it, if anything.
    pub state: FileState,
}

impl FileReport {
    fn not_read(name: String, state: FileState) -> FileReport {
        FileReport { name, records: 0, bytes: 0, state }
    }
}

/// What there is in a folder.
#[derive(Clone, Debug)]
pub struct Report {
    /// What the records are, as FORMAT says.
    pub schema: String,
    /// Eight hexadecimal digits, drawn when the folder was created; its files carry them.
    pub identity: String,
    /// The files that count, in the order in which they are read, and then the others.
    pub files: Vec<FileReport>,
    /// Records in the files that count.
    pub records: u64,
    /// Valid bytes in the files that count.
    pub bytes: u64,
}

impl Report {
    /// Whether an opening would succeed.
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

/// Reads a folder that no process has open. Hands out the records that an opening would apply, in order, up to the first damage.
///
/// # Errors
///
/// A file can't be read, or is of another format or folder. Damage is no error: the report has it.
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
            let state = FileState::Corrupted(MISSING.into());
            report.files.push(FileReport::not_read(file_name(id), state));
            continue;
        }
        let may_be_torn = kind == FileKind::Log && number == *names.live_segments().end();
        verify_file(folder, id, may_be_torn, &mut report, on_record)?;
    }
    report.files.extend(files_that_do_not_count(names));
    Ok(report)
}

/// Reads one file, and adds what is found to the report. Records go on until a file is damaged.
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

/// What a snapshot covers, what was never finished, and what is none of a log's files.
fn files_that_do_not_count(names: FileNames) -> Vec<FileReport> {
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
