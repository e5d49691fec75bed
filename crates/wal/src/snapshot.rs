//! Writes a snapshot under its temporary name, one entry at a time.

use std::path::Path;

use crate::background::{pause, Cancellation, BYTES_BETWEEN_PAUSES};
use crate::disk::DiskFile;
use crate::error::CheckpointError;
use crate::frame::{self, FileId, ENTRY_HEADER_BYTES, MAX_RECORD_BYTES};
use crate::instrumentation::Step;
use crate::options::Options;
use crate::planted::PlantedFault;

/// Bytes of a snapshot that are written between two syncs. A single large sync at the end of the snapshot would delay
/// the syncs of the segment.
const BYTES_BETWEEN_SYNCS: u64 = 4 << 20;

/// The destination, identity and maximum size of a snapshot.
pub struct SnapshotPlan<'a> {
    /// The folder that the snapshot is written in.
    pub folder: &'a Path,
    /// Temporary file name of the snapshot.
    pub name: &'a str,
    /// The identifying fields of the snapshot's file header.
    pub id: FileId,
    /// Maximum size of the snapshot, in bytes.
    pub max_bytes: u64,
    /// The options that the log was opened with.
    pub options: &'a Options,
    /// Once the checkpoint is cancelled, further records are ignored.
    pub cancellation: &'a Cancellation,
}

/// A writer of a snapshot.
pub struct SnapshotWriter<'a> {
    plan: SnapshotPlan<'a>,
    file: DiskFile,
    /// Buffer with the entry that is being built.
    entry: Vec<u8>,
    entries: u32,
    records: u64,
    written_bytes: u64,
    unsynced_bytes: u64,
    /// The first failure. Records after it are ignored, and `finish` returns it.
    failure: Option<CheckpointError>,
}

impl<'a> SnapshotWriter<'a> {
    /// Creates the snapshot file and writes its header.
    pub fn create(plan: SnapshotPlan<'a>) -> Result<SnapshotWriter<'a>, CheckpointError> {
        let file = DiskFile::create(plan.folder, plan.name, plan.options)?;
        let header = frame::encode_file_header(plan.id).to_vec();
        let mut writer = SnapshotWriter {
            plan,
            file,
            entry: header,
            entries: 0,
            records: 0,
            written_bytes: 0,
            unsynced_bytes: 0,
            failure: None,
        };
        writer.flush()?;
        writer.begin_entry();
        Ok(writer)
    }

    /// Adds a record to the snapshot. A failure is returned later, by `finish`.
    pub fn put(&mut self, record: &[u8]) {
        if self.failure.is_some() || self.plan.cancellation.is_cancelled() {
            return;
        }
        if record.len() > MAX_RECORD_BYTES {
            self.failure = Some(CheckpointError::RecordTooLarge { bytes: record.len() });
            return;
        }
        frame::put_record(record, &mut self.entry);
        self.records += 1;
        if self.entry.len() >= BYTES_BETWEEN_PAUSES {
            self.failure = self.write_entry().err();
            pause();
        }
    }

    /// Writes the last records and the final entry, and syncs the file. Returns the length of the snapshot in bytes.
    pub fn finish(mut self) -> Result<u64, CheckpointError> {
        if let Some(failure) = self.failure.take() {
            return Err(failure);
        }
        if self.entry.len() > ENTRY_HEADER_BYTES {
            self.write_entry()?;
        }
        // The final entry of a snapshot has no records and stores the number of records in the snapshot.
        frame::finish_entry(&mut self.entry, 0, self.entries, self.records);
        self.flush()?;
        let options = self.plan.options;
        options.before(Step::SyncSnapshot, self.file.path())?;
        if !options.has_planted(PlantedFault::SnapshotUnsynced) {
            self.file.sync_all(options)?;
        }
        Ok(self.written_bytes)
    }

    fn begin_entry(&mut self) {
        frame::begin_entry(&mut self.entry);
    }

    /// Writes the entry in the buffer, and begins the next one.
    fn write_entry(&mut self) -> Result<(), CheckpointError> {
        frame::finish_entry(&mut self.entry, 0, self.entries, 0);
        self.entries = self.entries.wrapping_add(1);
        self.flush()?;
        self.begin_entry();
        Ok(())
    }

    /// Writes the buffer, unless the snapshot would exceed its maximum size, and syncs the file after every
    /// `BYTES_BETWEEN_SYNCS` bytes.
    fn flush(&mut self) -> Result<(), CheckpointError> {
        let bytes = self.entry.len() as u64;
        if self.written_bytes + bytes > self.plan.max_bytes {
            return Err(CheckpointError::DiskFull);
        }
        let options = self.plan.options;
        options.before(Step::WriteSnapshot, self.file.path())?;
        self.file.write(&self.entry, options)?;
        self.entry.clear();
        self.written_bytes += bytes;
        self.unsynced_bytes += bytes;
        if self.unsynced_bytes >= BYTES_BETWEEN_SYNCS {
            self.unsynced_bytes = 0;
            self.file.sync_data(options)?;
        }
        Ok(())
    }
}
