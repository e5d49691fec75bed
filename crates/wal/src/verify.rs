//! What a folder holds, read without a change to it.

use std::fmt;
use std::path::Path;

use crate::folder::{file_name, log_name, read_format, snapshot_name, Format, Names, MISSING};
use crate::frame::{self, End, Expected, Kind};
use crate::Trouble;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileState {
    Complete,
    /// An opening would cut it off from this byte on.
    TornTail {
        offset: u64,
        reason: String,
    },
    /// An opening would refuse the folder.
    Corrupted(String),
    /// A snapshot covers it, or it was never finished; an opening would remove it.
    Obsolete,
    /// Not of this package.
    Unrecognized,
}

#[derive(Clone, Debug)]
pub struct FileReport {
    pub name: String,
    pub records: u64,
    pub bytes: u64,
    pub state: FileState,
}

impl FileReport {
    /// Of one that is not read.
    fn of(name: String, state: FileState) -> FileReport {
        FileReport { name, records: 0, bytes: 0, state }
    }
}

#[derive(Clone, Debug)]
pub struct Report {
    pub kind: String,
    /// Drawn when the folder was made; its files carry it.
    pub identity: String,
    pub files: Vec<FileReport>,
    /// Of the files that count.
    pub records: u64,
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
        write!(f, "{}: {verdict}, {} records, {} bytes", self.kind, self.records, self.bytes)?;
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

/// Reads a folder that no process has open. Hands out the records an opening would fold, in order, up to the first damage.
pub fn verify(dir: &Path, on_record: &mut dyn FnMut(&[u8])) -> Result<Report, Trouble> {
    let names = Names::read(dir)?;
    let Format { kind, identity: folder } = read_format(dir)?;
    let identity = folder.to_string();
    let mut report = Report { kind, identity, files: Vec::new(), records: 0, bytes: 0 };
    let snapshot = names.snapshots.last().map(|&number| (Kind::Snapshot, number));
    let live = names.live();
    for (kind, number) in snapshot.into_iter().chain(live.clone().map(|number| (Kind::Log, number))) {
        let expected = Expected { kind, number, folder };
        let name = file_name(expected);
        let sound = report.opens();
        if kind == Kind::Log && !names.logs.contains(&number) {
            report.files.push(FileReport::of(name, FileState::Corrupted(MISSING.into())));
            continue;
        }
        let scan = frame::scan(&dir.join(&name), expected, &mut |record| {
            if sound {
                on_record(record);
            }
        })?;
        let state = match scan.end {
            End::Whole => FileState::Complete,
            End::Torn(reason) if kind == Kind::Log && number == *live.end() => {
                FileState::TornTail { offset: scan.good, reason }
            }
            End::Torn(reason) | End::Damaged(reason) => FileState::Corrupted(reason),
        };
        report.records += scan.records;
        report.bytes += scan.good;
        report.files.push(FileReport { name, records: scan.records, bytes: scan.len, state });
    }
    let old = names.snapshots.range(..names.base()).map(|&number| snapshot_name(number));
    let old = old.chain(names.logs.range(..names.base()).map(|&number| log_name(number)));
    report.files.extend(old.chain(names.unfinished).map(|name| FileReport::of(name, FileState::Obsolete)));
    report.files.extend(names.others.into_iter().map(|name| FileReport::of(name, FileState::Unrecognized)));
    Ok(report)
}
