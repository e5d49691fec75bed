//! The names of the files in a log's folder, and the selection of the files that are part of the current log.

use std::collections::BTreeSet;
use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;

use crate::error::FileError;
use crate::frame::{FileId, FileKind};

/// Name of the file that records the format of the folder and its identity.
pub const FORMAT_FILE_NAME: &str = "FORMAT";
/// Suffix of the temporary name of a file that is not completely written yet.
pub const UNFINISHED_SUFFIX: &str = ".tmp";

const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// The number of a folder's first segment. A snapshot has the number of the first segment that it does not cover, so
/// no snapshot has this number.
const FIRST_SEGMENT: u64 = 1;

/// Returns the file name of the segment with the given number.
pub fn log_name(number: u64) -> String {
    numbered_name(LOG_PREFIX, number)
}

/// Returns the file name of the snapshot with the given number.
pub fn snapshot_name(number: u64) -> String {
    numbered_name(SNAPSHOT_PREFIX, number)
}

/// Returns the file name of a segment or a snapshot.
pub fn file_name(id: FileId) -> String {
    match id.kind {
        FileKind::Log => log_name(id.number),
        FileKind::Snapshot => snapshot_name(id.number),
    }
}

/// Returns the temporary name under which a file is written before it is renamed to its final name.
pub fn unfinished_name(name: &str) -> String {
    format!("{name}{UNFINISHED_SUFFIX}")
}

fn numbered_name(prefix: &str, number: u64) -> String {
    format!("{prefix}{number:010}")
}

/// Parses the number from a file name with the given prefix. Returns `None` unless the number is padded exactly as
/// `numbered` writes it.
fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    let number = name.strip_prefix(prefix)?.parse().ok()?;
    (numbered_name(prefix, number) == name).then_some(number)
}

/// The files of a log's folder, classified by their names.
#[derive(Default)]
pub struct FileNames {
    /// Numbers of the segment files in the folder.
    pub logs: BTreeSet<u64>,
    /// Numbers of the snapshot files in the folder.
    pub snapshots: BTreeSet<u64>,
    /// Names of unfinished files, which end in `.tmp`.
    pub unfinished: Vec<String>,
    /// Names of files that the write-ahead log never creates.
    pub unrecognized: Vec<String>,
    /// Whether the folder contains the file FORMAT.
    pub has_format: bool,
}

impl FileNames {
    /// Lists the folder without opening any of its files.
    pub fn read(folder: &Path) -> Result<FileNames, FileError> {
        let list_error = FileError::on("listing the folder", folder);
        let mut names = FileNames::default();
        for entry in fs::read_dir(folder).map_err(list_error)? {
            let name = entry.map_err(list_error)?.file_name();
            names.add(name.to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn add(&mut self, name: String) {
        if name == FORMAT_FILE_NAME {
            self.has_format = true;
        } else if let Some(number) = parse_number(&name, LOG_PREFIX) {
            self.logs.insert(number);
        } else if let Some(number) = parse_number(&name, SNAPSHOT_PREFIX) {
            self.snapshots.insert(number);
        } else if name.ends_with(UNFINISHED_SUFFIX) {
            self.unfinished.push(name);
        } else {
            self.unrecognized.push(name);
        }
    }

    /// Returns the number of the first segment that the newest snapshot does not cover.
    pub fn base(&self) -> u64 {
        self.snapshots.last().copied().unwrap_or(FIRST_SEGMENT)
    }

    /// Returns the numbers of the segments that have to be read, all of which must exist. The range is empty until the
    /// first segment has been created.
    pub fn live_segments(&self) -> RangeInclusive<u64> {
        let last_log = self.logs.last().copied().filter(|last| *last >= self.base());
        let last = last_log.or(self.snapshots.last().copied()).unwrap_or(0);
        self.base()..=last
    }

    /// Returns the first live segment whose file is missing from the folder.
    pub fn missing_segment(&self) -> Option<u64> {
        self.live_segments().find(|number| !self.logs.contains(number))
    }
}
