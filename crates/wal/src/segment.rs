//! The segment that is written to.

use std::io;
use std::path::Path;

use crate::disk::{self, DiskFile};
use crate::error::FileError;
use crate::file_names::{log_name, unfinished_name};
use crate::frame::{self, FileId, FileKind, FolderIdentity, FILE_HEADER_BYTES};
use crate::instrumentation::Step;
use crate::options::Options;
use crate::planted::PlantedFault;
use crate::scan::Scan;

/// A place in a segment: an offset in bytes, and the count of entries before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Offset from the beginning of the file.
    pub bytes: u64,
    /// Entries before it.
    pub entries: u32,
}

/// Whether the folder was synced since the segment got its name.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NameState {
    /// The name is durable.
    Synced,
    /// A loss of power may take the name back.
    Unsynced,
}

/// How the last sync ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LastSync {
    Succeeded,
    /// The system may count as written what it could not write, and the next sync would succeed without it: what lies behind
    /// the synced part is read back and written again before.
    Failed,
}

/// The segment that is written to.
pub struct Segment {
    file: DiskFile,
    /// The number in its name.
    pub number: u64,
    /// Where the next entry goes.
    pub end: Position,
    /// Up to where it is synced.
    pub synced: Position,
    /// Bytes of a failed write may lie behind `end`, and the file's offset may be elsewhere.
    has_excess_bytes: bool,
    /// It was made shorter and not synced since, so that what was cut off could come back.
    is_truncation_unsynced: bool,
    last_sync: LastSync,
    name: NameState,
}

impl Segment {
    /// Written beside and renamed: a segment that has its name has a header, and the one before it is closed.
    pub fn create(
        folder: &Path,
        number: u64,
        identity: FolderIdentity,
        options: &Options,
    ) -> Result<Segment, FileError> {
        let name = log_name(number);
        let unfinished = unfinished_name(&name);
        options.before(Step::CreateSegment, folder)?;
        let mut file = DiskFile::create(folder, &unfinished, options)?;
        let id = FileId { kind: FileKind::Log, number, folder: identity };
        file.write(&frame::encode_file_header(id), options)?;
        file.sync_all(options)?;
        options.before(Step::RenameSegment, folder)?;
        disk::rename(folder, &unfinished, &name, options)?;

        let start = Position { bytes: FILE_HEADER_BYTES, entries: 0 };
        let mut segment = Segment::at(file.renamed(&name), number, start);
        // It can be written to in any case; the next sync of it tries the folder again.
        if Segment::sync_new_name(folder, options).is_err() {
            segment.name = NameState::Unsynced;
        }
        Ok(segment)
    }

    fn sync_new_name(folder: &Path, options: &Options) -> Result<(), FileError> {
        options.before(Step::SyncFolderAfterSegment, folder)?;
        if options.has_planted(PlantedFault::SegmentNameUnsynced) {
            return Ok(());
        }
        disk::sync_folder(folder, options)
    }

    /// Goes on with one that was scanned. Synced even if nothing was cut off: what a killed process left may not have been, and
    /// counts from now on.
    pub fn reopen(folder: &Path, number: u64, scan: &Scan, options: &Options) -> Result<Segment, FileError> {
        let mut file = DiskFile::open(folder, &log_name(number))?;
        if scan.file_bytes > scan.valid_bytes && !options.has_planted(PlantedFault::NotCut) {
            file.truncate(scan.valid_bytes, options)?;
        }
        file.seek(scan.valid_bytes)?;
        file.sync_all(options)?;
        Ok(Segment::at(file, number, Position { bytes: scan.valid_bytes, entries: scan.entries }))
    }

    /// Synced up to its end, with nothing behind it.
    fn at(file: DiskFile, number: u64, end: Position) -> Segment {
        Segment {
            file,
            number,
            end,
            synced: end,
            has_excess_bytes: false,
            is_truncation_unsynced: false,
            last_sync: LastSync::Succeeded,
            name: NameState::Synced,
        }
    }

    /// Appends these bytes, which are so many entries, or nothing.
    pub fn write(&mut self, bytes: &[u8], entries: u32, options: &Options) -> Result<(), FileError> {
        self.remove_excess(options)?;
        let written = match options.before(Step::WriteEntries, self.file.path()) {
            Ok(()) => self.file.write(bytes, options),
            Err(error) => self.file.write(&bytes[..bytes.len() / 2], options).and(Err(error)),
        };
        if written.is_err() {
            self.has_excess_bytes = true;
            // If this fails too, the next write or sync does it first.
            let _ = self.remove_excess(options);
            return written;
        }
        self.end.bytes += bytes.len() as u64;
        self.end.entries = self.end.entries.wrapping_add(entries);
        Ok(())
    }

    /// Takes back what was written behind `end`.
    pub fn truncate_to(&mut self, end: Position, options: &Options) {
        self.end = end;
        self.has_excess_bytes = true;
        // If this fails, the next write or sync does it first.
        let _ = self.remove_excess(options);
    }

    /// Cuts off what a failed write may have left.
    fn remove_excess(&mut self, options: &Options) -> Result<(), FileError> {
        if self.has_excess_bytes {
            self.is_truncation_unsynced = true;
            self.file.truncate(self.end.bytes, options)?;
            self.has_excess_bytes = false;
        }
        Ok(())
    }

    /// From here on a loss of power can't take the segment's name back.
    pub fn sync_name(&mut self, folder: &Path, options: &Options) -> Result<(), FileError> {
        if self.name == NameState::Unsynced {
            disk::sync_folder(folder, options)?;
            self.name = NameState::Synced;
        }
        Ok(())
    }

    /// Makes all entries durable. Whether a sync was needed for that, and done.
    pub fn sync(&mut self, folder: &Path, options: &Options) -> Result<bool, FileError> {
        self.sync_name(folder, options)?;
        self.remove_excess(options)?;
        if self.synced.bytes == self.end.bytes && !self.is_truncation_unsynced {
            return Ok(false);
        }
        if self.last_sync == LastSync::Failed {
            self.rewrite_unsynced(options)?;
        }
        self.last_sync = LastSync::Failed;
        options.before(Step::SyncSegment, self.file.path())?;
        if self.is_truncation_unsynced {
            self.file.sync_all(options)?;
        } else {
            self.file.sync_data(options)?;
        }
        self.last_sync = LastSync::Succeeded;
        self.is_truncation_unsynced = false;
        self.synced = self.end;
        Ok(true)
    }

    /// Reads back the unsynced entries and writes them again. If they do not read as complete entries they are given up, and that is
    /// an error.
    fn rewrite_unsynced(&mut self, options: &Options) -> Result<(), FileError> {
        let mut bytes = vec![0; (self.end.bytes - self.synced.bytes) as usize];
        self.has_excess_bytes = true;
        self.file.seek(self.synced.bytes)?;
        self.file.read_exact(&mut bytes)?;
        if !frame::are_complete_entries(&bytes) {
            tracing::error!(
                bytes = bytes.len(),
                "unsynced records are lost: a sync failed, and they read back otherwise"
            );
            self.end = self.synced;
            self.remove_excess(options)?;
            let reason = io::Error::other("a sync failed, and what was not synced reads back otherwise");
            return Err(FileError::new("reading back", self.file.path(), reason));
        }
        self.file.seek(self.synced.bytes)?;
        self.file.write(&bytes, options)?;
        self.has_excess_bytes = false;
        Ok(())
    }
}
