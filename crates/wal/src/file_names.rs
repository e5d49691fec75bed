//! The names of the files in a folder, and which of them count.

use std::collections::BTreeSet;
use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;

use crate::error::FileError;
use crate::frame::{FileId, FileKind};

/// The file that says what the folder is.
pub const FORMAT: &str = "FORMAT";
/// Ends the name of a file that is not complete yet.
pub const UNFINISHED_SUFFIX: &str = ".tmp";

const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// The number of a folder's first segment. A snapshot has the number of the first segment that it does not cover, so there is no
/// snapshot of this number.
const FIRST_SEGMENT: u64 = 1;

/// The name of a segment.
pub fn log_name(number: u64) -> String {
    numbered(LOG_PREFIX, number)
}

/// The name of a snapshot.
pub fn snapshot_name(number: u64) -> String {
    numbered(SNAPSHOT_PREFIX, number)
}

/// The name of a segment or a snapshot.
pub fn file_name(id: FileId) -> String {
    match id.kind {
        FileKind::Log => log_name(id.number),
        FileKind::Snapshot => snapshot_name(id.number),
    }
}

/// The name under which a file is written before it gets its own.
pub fn unfinished_name(name: &str) -> String {
    format!("{name}{UNFINISHED_SUFFIX}")
}

fn numbered(prefix: &str, number: u64) -> String {
    format!("{prefix}{number:010}")
}

/// The number in a name of that prefix. None if it is written in another way than here.
fn number_of(name: &str, prefix: &str) -> Option<u64> {
    let number = name.strip_prefix(prefix)?.parse().ok()?;
    (numbered(prefix, number) == name).then_some(number)
}

/// The files of a folder, by what their names say that they are.
#[derive(Default)]
pub struct FileNames {
    /// The numbers of the segments.
    pub logs: BTreeSet<u64>,
    /// The numbers of the snapshots.
    pub snapshots: BTreeSet<u64>,
    /// Names that end in `.tmp`.
    pub unfinished: Vec<String>,
    /// Names that no log writes.
    pub unrecognized: Vec<String>,
    /// Whether there is a FORMAT.
    pub has_format: bool,
}

impl FileNames {
    /// Lists the folder, and opens no file.
    pub fn read(folder: &Path) -> Result<FileNames, FileError> {
        let listing = FileError::on("listing the folder", folder);
        let mut names = FileNames::default();
        for entry in fs::read_dir(folder).map_err(listing)? {
            let name = entry.map_err(listing)?.file_name();
            names.add(name.to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn add(&mut self, name: String) {
        if name == FORMAT {
            self.has_format = true;
        } else if let Some(number) = number_of(&name, LOG_PREFIX) {
            self.logs.insert(number);
        } else if let Some(number) = number_of(&name, SNAPSHOT_PREFIX) {
            self.snapshots.insert(number);
        } else if name.ends_with(UNFINISHED_SUFFIX) {
            self.unfinished.push(name);
        } else {
            self.unrecognized.push(name);
        }
    }

    /// The first segment that the newest snapshot does not cover.
    pub fn base(&self) -> u64 {
        self.snapshots.last().copied().unwrap_or(FIRST_SEGMENT)
    }

    /// The segments to be read. Each must be there; the range is empty before the first was created.
    pub fn live_segments(&self) -> RangeInclusive<u64> {
        let last_log = self.logs.last().copied().filter(|last| *last >= self.base());
        let last = last_log.or(self.snapshots.last().copied()).unwrap_or(0);
        self.base()..=last
    }

    /// The first of the live segments that is not there.
    pub fn missing_segment(&self) -> Option<u64> {
        self.live_segments().find(|number| !self.logs.contains(number))
    }
}
