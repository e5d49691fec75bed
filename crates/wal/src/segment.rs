//! The segment that is written to.

use std::io;
use std::path::Path;

use crate::disk::{self, DiskFile, FileSyncer};
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

/// What a segment holds at some moment, and what it holds no more: it outlives a loss of power once it is synced.
#[derive(Clone, Copy, Default)]
pub struct SyncPoint {
    /// Where the segment ended.
    bytes: u64,
    /// How often it had been made shorter.
    truncations: u64,
}

/// A sync of a segment, which any thread may run while the segment is written to.
pub struct SegmentSync {
    file: FileSyncer,
    /// Up to where the segment was written when the sync began.
    covered: Position,
    /// How often the segment had been made shorter then.
    truncations: u64,
    /// It has to cover one of these.
    covers_truncation: bool,
}

impl SegmentSync {
    /// Syncs; returns once it has ended.
    pub fn run(&self, options: &Options) -> Result<(), FileError> {
        options.before(Step::SyncSegment, self.file.path())?;
        if self.covers_truncation {
            self.file.sync_all(options)
        } else {
            self.file.sync_data(options)
        }
    }
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
    /// How often it was made shorter since it was opened.
    truncations: u64,
    /// How many of these are synced; what was cut off by a later one could come back.
    synced_truncations: u64,
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
            truncations: 0,
            synced_truncations: 0,
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
            self.truncations += 1;
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

    /// What has to be synced to make all entries durable; `None` where nothing has to. Until that sync has ended no other may begin.
    pub fn begin_sync(&mut self, folder: &Path, options: &Options) -> Result<Option<SegmentSync>, FileError> {
        self.sync_name(folder, options)?;
        self.remove_excess(options)?;
        if self.is_synced_to(self.sync_point()) {
            return Ok(None);
        }
        if self.last_sync == LastSync::Failed {
            self.rewrite_unsynced(options)?;
        }
        Ok(Some(SegmentSync {
            file: self.file.syncer(),
            covered: self.end,
            truncations: self.truncations,
            covers_truncation: self.synced_truncations < self.truncations,
        }))
    }

    /// Takes in how a sync has ended that was begun here.
    pub fn end_sync(&mut self, sync: &SegmentSync, has_succeeded: bool, options: &Options) {
        if !has_succeeded {
            self.last_sync = LastSync::Failed;
            return;
        }
        self.last_sync = LastSync::Succeeded;
        self.synced_truncations = sync.truncations;
        let trusts_later_writes = options.has_planted(PlantedFault::LaterWritesCovered);
        self.synced = if trusts_later_writes { self.end } else { sync.covered };
    }

    /// What it holds now.
    pub fn sync_point(&self) -> SyncPoint {
        SyncPoint { bytes: self.end.bytes, truncations: self.truncations }
    }

    /// Whether what it held then outlives a loss of power.
    pub fn is_synced_to(&self, point: SyncPoint) -> bool {
        point.bytes <= self.synced.bytes && point.truncations <= self.synced_truncations
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
