//! Reads a segment or a snapshot up to its end or the first bad byte, and tells a torn end from damage.

use std::fs::File;
use std::io::{self, BufReader, ErrorKind, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use crate::error::{FileError, ReadError};
use crate::frame::{self, EntryHeader, FileId, FileKind, ENTRY_HEADER_BYTES, FILE_HEADER_BYTES};

const READ_BUFFER_BYTES: usize = 128 << 10;

/// What stands behind the valid part of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileEnd {
    /// Nothing: all of it is valid.
    Complete,
    /// Bytes that were never synced, as far as the file tells: what a loss of power leaves.
    Torn(String),
    /// Bytes that changed after they had been synced.
    Corrupted(String),
}

/// What a file holds.
pub struct Scan {
    /// Bytes that are valid, from the first on; 0 if the file's header is not.
    pub valid_bytes: u64,
    /// Length of the file.
    pub file_bytes: u64,
    /// Entries that are valid.
    pub entries: u32,
    /// Records in these.
    pub records: u64,
    /// What stands behind them.
    pub end: FileEnd,
}

/// Reads a file, and hands out the records of complete entries in order, up to its end or the first bad byte.
pub fn scan(path: &Path, id: FileId, on_record: &mut dyn FnMut(&[u8])) -> Result<Scan, ReadError> {
    let mut scanner = Scanner::open(path, id)?;
    if scanner.read_file_header()? {
        scanner.read_entries(on_record)?;
    }
    Ok(scanner.scan)
}

/// A file that is being read.
struct Scanner {
    path: PathBuf,
    id: FileId,
    file: BufReader<File>,
    /// The entry that is being read, header and payload.
    entry: Vec<u8>,
    scan: Scan,
}

impl Scanner {
    fn open(path: &Path, id: FileId) -> Result<Scanner, ReadError> {
        let reading = FileError::on("reading", path);
        let file = File::open(path).map_err(reading)?;
        let file_bytes = file.metadata().map_err(reading)?.len();
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

    /// Whether entries may be read behind it; if not, the scan has its end.
    fn read_file_header(&mut self) -> Result<bool, ReadError> {
        let mut header = [0; FILE_HEADER_BYTES as usize];
        let filled = fill(&mut self.file, &mut header).map_err(FileError::on("reading", &self.path))?;
        if filled < header.len() || !frame::is_file_header_intact(&header) {
            self.end_at_bad_bytes("its head is not whole")?;
            return Ok(false);
        }
        if !frame::is_file_of_kind(&header, self.id.kind) {
            let found = format!("begins with {:?}", String::from_utf8_lossy(&header[..8]));
            return Err(ReadError::UnknownFormat { file: self.name(), found });
        }
        let found = frame::file_folder(&header);
        if found != self.id.folder {
            return Err(ReadError::WrongFolder {
                file: self.name(),
                found: found.to_string(),
                expected: self.id.folder.to_string(),
            });
        }
        let number = frame::file_number(&header);
        if u64::from(number) != self.id.number {
            self.scan.end = FileEnd::Corrupted(format!("says it is number {number}"));
            return Ok(false);
        }
        self.scan.valid_bytes = FILE_HEADER_BYTES;
        Ok(true)
    }

    fn read_entries(&mut self, on_record: &mut dyn FnMut(&[u8])) -> Result<(), ReadError> {
        while self.scan.valid_bytes < self.scan.file_bytes {
            let Some(header) = self.read_entry()? else {
                let reason = format!("no whole entry at byte {}", self.scan.valid_bytes);
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
            if !self.hand_out_records(on_record) {
                let reason = format!("lengths of records at byte {} do not fit", self.scan.valid_bytes);
                self.scan.end = FileEnd::Corrupted(reason);
                return Ok(());
            }
            self.scan.valid_bytes += (ENTRY_HEADER_BYTES + header.payload_bytes) as u64;
            self.scan.entries = self.scan.entries.wrapping_add(1);
        }
        if self.id.kind == FileKind::Snapshot {
            let reason = "the snapshot's end is not there, or its count is another";
            self.scan.end = FileEnd::Corrupted(reason.into());
        }
        Ok(())
    }

    /// Reads the next entry into `self.entry`. None if there is no complete one of the expected number.
    fn read_entry(&mut self) -> Result<Option<EntryHeader>, FileError> {
        let reading = FileError::on("reading", &self.path);
        self.entry.resize(ENTRY_HEADER_BYTES, 0);
        let filled = fill(&mut self.file, &mut self.entry).map_err(reading)?;
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
        let filled = fill(&mut self.file, payload).map_err(reading)?;
        let is_complete =
            filled == header.payload_bytes && crc32fast::hash(payload) == header.payload_checksum;
        Ok(is_complete.then_some(header))
    }

    /// Whether the lengths of all records fit; those before the first that does not have been handed out.
    fn hand_out_records(&mut self, on_record: &mut dyn FnMut(&[u8])) -> bool {
        let mut payload = &self.entry[ENTRY_HEADER_BYTES..];
        while !payload.is_empty() {
            let Some((record, rest)) = frame::split_record(payload) else { return false };
            on_record(record);
            self.scan.records += 1;
            payload = rest;
        }
        true
    }

    /// The valid part ends here. It is damage if an entry behind says that the file had been synced beyond this offset: unsynced
    /// writes reach the disk in any order, so that an entry alone says nothing about the bytes before it.
    fn end_at_bad_bytes(&mut self, reason: &str) -> Result<(), FileError> {
        let reading = FileError::on("reading", &self.path);
        let file = self.file.get_mut();
        let mut rest = Vec::new();
        file.seek(SeekFrom::Start(self.scan.valid_bytes)).map_err(reading)?;
        file.read_to_end(&mut rest).map_err(reading)?;
        self.scan.end = match find_entry_synced_beyond(&rest, &self.scan) {
            Some(offset) => {
                FileEnd::Corrupted(format!("{reason}, but it was synced before the entry at byte {offset}"))
            }
            None => FileEnd::Torn(reason.into()),
        };
        Ok(())
    }
}

/// Offset in the file of an entry in `rest`, the bytes behind the valid part, that says the file was synced beyond that part.
fn find_entry_synced_beyond(rest: &[u8], scan: &Scan) -> Option<u64> {
    let most_entries = (rest.len() / ENTRY_HEADER_BYTES) as u32;
    for offset in 0..rest.len().saturating_sub(ENTRY_HEADER_BYTES - 1) {
        // The number first: it spares nearly all the checksums.
        if frame::entry_number(&rest[offset..]).wrapping_sub(scan.entries) > most_entries {
            continue;
        }
        let entry = frame::decode_entry(&rest[offset..]);
        if entry.is_some_and(|(header, _)| header.synced > scan.valid_bytes) {
            return Some(scan.valid_bytes + offset as u64);
        }
    }
    None
}

/// Reads until the buffer is full or the file ends; how many bytes that were.
fn fill(file: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
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
