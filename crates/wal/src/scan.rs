//! Reads a segment or a snapshot up to its end or the first invalid byte, and distinguishes a torn end from damage.

use std::fs::File;
use std::io::{self, BufReader, ErrorKind, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use crate::error::{FileError, ReadError};
use crate::frame::{self, EntryHeader, FileId, FileKind, ENTRY_HEADER_BYTES, FILE_HEADER_BYTES};

const READ_BUFFER_BYTES: usize = 128 << 10;

/// The state of the bytes after the valid part of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileEnd {
    /// The file is valid up to its end.
    Complete,
    /// The file ends in bytes that were never synced, as far as its entries tell. A loss of power leaves such bytes.
    /// Holds the description of the first invalid byte.
    Torn(String),
    /// The file contains bytes that have changed since they were synced. Holds the description of the damage.
    Corrupted(String),
}

/// The result of scanning a segment or a snapshot.
pub struct Scan {
    /// Length of the valid part from the start of the file, in bytes; 0 if the file header is invalid.
    pub valid_bytes: u64,
    /// Length of the whole file, in bytes.
    pub file_bytes: u64,
    /// Number of valid entries in the file.
    pub entries: u32,
    /// Number of records in the valid entries.
    pub records: u64,
    /// State of the bytes after the valid entries.
    pub end: FileEnd,
}

/// Reads a file up to its end or the first invalid byte, and passes the records of complete entries to `on_record` in
/// order.
pub fn scan(path: &Path, id: FileId, on_record: &mut dyn FnMut(&[u8])) -> Result<Scan, ReadError> {
    let mut scanner = Scanner::open(path, id)?;
    if scanner.read_file_header()? {
        scanner.read_entries(on_record)?;
    }
    Ok(scanner.scan)
}

/// A reader of a segment or a snapshot, with the result of the scan so far.
struct Scanner {
    path: PathBuf,
    id: FileId,
    file: BufReader<File>,
    /// Header and payload of the entry that is being read.
    entry: Vec<u8>,
    scan: Scan,
}

impl Scanner {
    fn open(path: &Path, id: FileId) -> Result<Scanner, ReadError> {
        let read_error = FileError::on("reading", path);
        let file = File::open(path).map_err(read_error)?;
        let file_bytes = file.metadata().map_err(read_error)?.len();
        Ok(Scanner {
            path: path.to_path_buf(),
            id,
            file: BufReader::with_capacity(READ_BUFFER_BYTES, file),
            entry: vec![0; ENTRY_HEADER_BYTES],
            scan: Scan { valid_bytes: 0, file_bytes, entries: 0, records: 0, end: FileEnd::Complete },
        })
    }

    fn name(&self) -> String {
        self.path.file_name().map_or_else(String::new, |name| name.to_string_lossy().into_owned())
    }

    /// Reads and checks the file header. Returns true if entries can be read after it; otherwise the scan has ended.
    fn read_file_header(&mut self) -> Result<bool, ReadError> {
        let mut header = [0; FILE_HEADER_BYTES as usize];
        let filled =
            read_until_full(&mut self.file, &mut header).map_err(FileError::on("reading", &self.path))?;
        if filled < header.len() || !frame::is_file_header_intact(&header) {
            self.end_at_bad_bytes("the file header is incomplete or damaged")?;
            return Ok(false);
        }
        if !frame::is_file_of_kind(&header, self.id.kind) {
            let found = format!("begins with {:?}", String::from_utf8_lossy(&header[..8]));
            return Err(ReadError::UnknownFormat { file: self.name(), found });
        }
        let found = frame::file_folder_identity(&header);
        if found != self.id.folder {
            return Err(ReadError::WrongFolder {
                file: self.name(),
                found: found.to_string(),
                expected: self.id.folder.to_string(),
            });
        }
        let number = frame::file_number(&header);
        if u64::from(number) != self.id.number {
            self.scan.end = FileEnd::Corrupted(format!("the file header has the number {number}"));
            return Ok(false);
        }
        self.scan.valid_bytes = FILE_HEADER_BYTES;
        Ok(true)
    }

    fn read_entries(&mut self, on_record: &mut dyn FnMut(&[u8])) -> Result<(), ReadError> {
        while self.scan.valid_bytes < self.scan.file_bytes {
            let Some(header) = self.read_entry()? else {
                let reason = format!("no complete entry at byte {}", self.scan.valid_bytes);
                self.end_at_bad_bytes(&reason)?;
                return Ok(());
            };
            if self.id.kind == FileKind::Snapshot && header.payload_bytes == 0 {
                let end = self.scan.valid_bytes + ENTRY_HEADER_BYTES as u64;
                let is_last = header.synced == self.scan.records && end == self.scan.file_bytes;
                self.scan.valid_bytes = end;
                if is_last {
                    return Ok(());
                }
                break;
            }
            if !self.emit_records(on_record) {
                let reason = format!(
                    "the record lengths of the entry at byte {} do not match the length of its payload",
                    self.scan.valid_bytes
                );
                self.scan.end = FileEnd::Corrupted(reason);
                return Ok(());
            }
            self.scan.valid_bytes += (ENTRY_HEADER_BYTES + header.payload_bytes) as u64;
            self.scan.entries = self.scan.entries.wrapping_add(1);
        }
        if self.id.kind == FileKind::Snapshot {
            let reason = "the snapshot has no final entry, or the record count in it is wrong";
            self.scan.end = FileEnd::Corrupted(reason.into());
        }
        Ok(())
    }

    /// Reads the next entry into `self.entry`. Returns `None` if there is no complete entry with the expected number.
    fn read_entry(&mut self) -> Result<Option<EntryHeader>, FileError> {
        let read_error = FileError::on("reading", &self.path);
        self.entry.resize(ENTRY_HEADER_BYTES, 0);
        let filled = read_until_full(&mut self.file, &mut self.entry).map_err(read_error)?;
        let header = EntryHeader::decode(&self.entry[..filled]);
        let Some(header) = header.filter(|header| header.number == self.scan.entries) else {
            return Ok(None);
        };
        let entry_bytes = ENTRY_HEADER_BYTES + header.payload_bytes;
        if entry_bytes as u64 > self.scan.file_bytes - self.scan.valid_bytes {
            return Ok(None);
        }
        self.entry.resize(entry_bytes, 0);
        let payload = &mut self.entry[ENTRY_HEADER_BYTES..];
        let filled = read_until_full(&mut self.file, payload).map_err(read_error)?;
        let is_complete =
            filled == header.payload_bytes && crc32fast::hash(payload) == header.payload_checksum;
        Ok(is_complete.then_some(header))
    }

    /// Passes the records of the current entry to `on_record`. Returns false at the first record whose length exceeds
    /// the payload; the records before it have already been passed on.
    fn emit_records(&mut self, on_record: &mut dyn FnMut(&[u8])) -> bool {
        let mut payload = &self.entry[ENTRY_HEADER_BYTES..];
        while !payload.is_empty() {
            let Some((record, rest)) = frame::split_record(payload) else { return false };
            on_record(record);
            self.scan.records += 1;
            payload = rest;
        }
        true
    }

    /// Ends the scan at invalid bytes. They count as damage if a later entry says that the file had been synced beyond
    /// this offset, and otherwise as a torn end. An intact later entry alone proves nothing about the bytes before it,
    /// because unsynced writes reach the disk in any order.
    fn end_at_bad_bytes(&mut self, reason: &str) -> Result<(), FileError> {
        let read_error = FileError::on("reading", &self.path);
        let file = self.file.get_mut();
        let mut rest = Vec::new();
        file.seek(SeekFrom::Start(self.scan.valid_bytes)).map_err(read_error)?;
        file.read_to_end(&mut rest).map_err(read_error)?;
        self.scan.end = match find_entry_synced_beyond(&rest, &self.scan) {
            Some(offset) => {
                FileEnd::Corrupted(format!("{reason}, but synced according to the entry at byte {offset}"))
            }
            None => FileEnd::Torn(reason.into()),
        };
        Ok(())
    }
}

/// Searches `rest`, the bytes after the valid part of the file, for an entry which says that the file had been synced
/// beyond the valid part. Returns the offset of that entry in the file.
fn find_entry_synced_beyond(rest: &[u8], scan: &Scan) -> Option<u64> {
    let max_entries = (rest.len() / ENTRY_HEADER_BYTES) as u32;
    for offset in 0..rest.len().saturating_sub(ENTRY_HEADER_BYTES - 1) {
        // The entry number is checked first, because this avoids computing nearly all of the checksums.
        if frame::entry_number(&rest[offset..]).wrapping_sub(scan.entries) > max_entries {
            continue;
        }
        let entry = frame::decode_entry(&rest[offset..]);
        if entry.is_some_and(|(header, _)| header.synced > scan.valid_bytes) {
            return Some(scan.valid_bytes + offset as u64);
        }
    }
    None
}

/// Reads until the buffer is full or the file ends, and returns the number of bytes read.
fn read_until_full(file: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match file.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(count) => filled += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}
