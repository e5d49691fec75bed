//! The last segment of the log, to which entries are appended.

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

/// A position in a segment: a byte offset, and the number of entries before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Offset from the beginning of the segment, in bytes.
    pub bytes: u64,
    /// Number of entries in the segment before this position.
    pub entries: u32,
}

/// Whether the folder has been synced since the segment was renamed to its final name.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NameState {
    /// The segment's name is durable.
    Synced,
    /// The segment's name may be lost at a loss of power.
    Unsynced,
}

/// Whether the last sync of the segment succeeded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LastSync {
    Succeeded,
    /// The last sync failed. The operating system may have marked pages as clean that it could not write, so that the
    /// next sync would succeed without them. Before that sync, the bytes after the synced part are therefore read back
    /// and written again.
    Failed,
}

/// The contents of a segment at some moment, described by its length and the number of truncations before it. They
/// survive a loss of power once the segment is synced to this point.
#[derive(Clone, Copy, Default)]
pub struct SyncPoint {
    /// Length of the segment at that moment, in bytes.
    bytes: u64,
    /// Number of truncations of the segment up to that moment.
    truncations: u64,
}

/// A sync of a segment, which any thread may run while another one writes to the segment.
pub struct SegmentSync {
    file: FileSyncer,
    /// End of the segment when the sync started; the sync makes everything before it durable.
    covered: Position,
    /// Number of truncations of the segment when the sync started.
    truncations: u64,
    /// Whether the sync also has to make a truncation durable, which needs `fsync` instead of `fdatasync`.
    covers_truncation: bool,
}

impl SegmentSync {
    /// Runs the sync and returns once it has ended.
    pub fn run(&self, options: &Options) -> Result<(), FileError> {
        options.before(Step::SyncSegment, self.file.path())?;
        if self.covers_truncation {
            self.file.sync_all(options)
        } else {
            self.file.sync_data(options)
        }
    }
}

/// The last segment of the log, to which entries are appended.
pub struct Segment {
    file: DiskFile,
    /// Number of the segment, which is part of its file name.
    pub number: u64,
    /// Position at which the next entry is written.
    pub end: Position,
    /// Position up to which the segment is synced.
    pub synced: Position,
    /// Whether bytes of a failed write may remain in the file after `end`. The file's offset may then differ from
    /// `end`.
    has_excess_bytes: bool,
    /// Number of truncations since the segment was opened.
    truncations: u64,
    /// Number of truncations that are durable. Bytes that a later truncation removed may reappear after a loss of
    /// power.
    synced_truncations: u64,
    last_sync: LastSync,
    name: NameState,
}

impl Segment {
    /// Creates a segment. Its header is written under a temporary name before the file is renamed. A segment with its
    /// final name therefore has a complete header, and the segment before it is closed.
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
        let mut segment = Segment::synced_to(file.renamed(&name), number, start);
        // The new segment can be written to even if its name is not durable yet; the next sync of the segment syncs
        // the folder again.
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

    /// Opens a scanned segment for appending, and truncates its torn end. It is synced even if nothing was truncated,
    /// because a killed process may have left entries unsynced that count as durable from now on.
    pub fn reopen(folder: &Path, number: u64, scan: &Scan, options: &Options) -> Result<Segment, FileError> {
        let mut file = DiskFile::open(folder, &log_name(number))?;
        if scan.file_bytes > scan.valid_bytes && !options.has_planted(PlantedFault::TornEndNotTruncated) {
            file.truncate(scan.valid_bytes, options)?;
        }
        file.seek(scan.valid_bytes)?;
        file.sync_all(options)?;
        Ok(Segment::synced_to(file, number, Position { bytes: scan.valid_bytes, entries: scan.entries }))
    }

    /// Returns a segment that is synced up to `end` and has no bytes after it.
    fn synced_to(file: DiskFile, number: u64, end: Position) -> Segment {
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

    /// Appends `bytes`, which consist of the given number of entries. If the write fails, none of them stay in the
    /// segment.
    pub fn write(&mut self, bytes: &[u8], entries: u32, options: &Options) -> Result<(), FileError> {
        self.remove_excess(options)?;
        let written = match options.before(Step::WriteEntries, self.file.path()) {
            Ok(()) => self.file.write(bytes, options),
            Err(error) => self.file.write(&bytes[..bytes.len() / 2], options).and(Err(error)),
        };
        if written.is_err() {
            self.has_excess_bytes = true;
            // A failure to truncate is ignored, because the next write or sync truncates the segment first.
            let _ = self.remove_excess(options);
            return written;
        }
        self.end.bytes += bytes.len() as u64;
        self.end.entries = self.end.entries.wrapping_add(entries);
        Ok(())
    }

    /// Removes everything that was written after the position `end`.
    pub fn truncate_to(&mut self, end: Position, options: &Options) {
        self.end = end;
        self.has_excess_bytes = true;
        // A failure to truncate is ignored, because the next write or sync truncates the segment first.
        let _ = self.remove_excess(options);
    }

    /// Truncates the bytes that a failed write may have left after the end of the segment.
    fn remove_excess(&mut self, options: &Options) -> Result<(), FileError> {
        if self.has_excess_bytes {
            self.truncations += 1;
            self.file.truncate(self.end.bytes, options)?;
            self.has_excess_bytes = false;
        }
        Ok(())
    }

    /// Makes the segment's name durable by syncing the folder, unless it already is.
    pub fn sync_name(&mut self, folder: &Path, options: &Options) -> Result<(), FileError> {
        if self.name == NameState::Unsynced {
            disk::sync_folder(folder, options)?;
            self.name = NameState::Synced;
        }
        Ok(())
    }

    /// Prepares a sync that makes all entries durable; returns `None` if they already are. No other sync may start
    /// until the returned one has ended.
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

    /// Updates the segment's state with the result of a sync that `begin_sync` returned.
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

    /// Returns the sync point of the segment's current contents.
    pub fn sync_point(&self) -> SyncPoint {
        SyncPoint { bytes: self.end.bytes, truncations: self.truncations }
    }

    /// Whether the contents of the segment at the given sync point survive a loss of power.
    pub fn is_synced_to(&self, point: SyncPoint) -> bool {
        point.bytes <= self.synced.bytes && point.truncations <= self.synced_truncations
    }

    /// Reads back the unsynced entries and writes them again. If they do not read back as complete entries, they are
    /// removed and an error is returned.
    fn rewrite_unsynced(&mut self, options: &Options) -> Result<(), FileError> {
        let mut bytes = vec![0; (self.end.bytes - self.synced.bytes) as usize];
        self.has_excess_bytes = true;
        self.file.seek(self.synced.bytes)?;
        self.file.read_exact(&mut bytes)?;
        if !frame::are_complete_entries(&bytes) {
            tracing::error!(
                bytes = bytes.len(),
                "unsynced records are lost: a sync failed, and reading them back did not give complete entries"
            );
            self.end = self.synced;
            self.remove_excess(options)?;
            let reason = io::Error::other(
                "a sync failed, and the unsynced bytes do not read back as complete entries",
            );
            return Err(FileError::new("reading back", self.file.path(), reason));
        }
        self.file.seek(self.synced.bytes)?;
        self.file.write(&bytes, options)?;
        self.has_excess_bytes = false;
        Ok(())
    }
}
