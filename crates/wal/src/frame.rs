//! The bytes of segments and snapshots.
//!
//! A file begins with a header of 20 bytes: `slbook`, `l` for a log segment or `s` for a snapshot, the version, the file's number
//! (4 bytes), the identity of its folder (4), and the checksum of these (4).
//!
//! Entries follow. An entry's header has 24 bytes: length of its payload (4), the entry's number in the file from 0 (4), up to
//! which offset the file was synced when it was written (8), checksum of the payload (4), checksum of the header (4). The payload
//! is records, each after its length (4). A snapshot ends with an entry without payload that has the count of the snapshot's
//! records in place of the synced offset.
//!
//! Numbers are little-endian, checksums CRC-32. Checksums of header and payload apart are common in logs (LevelDB's
//! `log_format.md`); here a header that is intact tells how far the file had been synced even if its payload is torn.

use std::collections::hash_map::RandomState;
use std::fmt;
use std::hash::{BuildHasher, Hasher};

/// Longest record, in bytes: the largest configuration (`charter::read::LONGEST`, 8 MiB), which is kept in one, and what goes
/// with it.
pub const MAX_RECORD_BYTES: usize = (8 << 20) + (64 << 10);
/// Longest entry, in bytes: the records of one append with four bytes for each.
pub const MAX_APPEND_BYTES: usize = 9 << 20;

/// The version in each file's header, and in FORMAT.
pub const FORMAT_VERSION: u8 = 1;
/// Length of the header that a file begins with.
pub const FILE_HEADER_BYTES: u64 = 20;
/// Length of the header that an entry begins with.
pub const ENTRY_HEADER_BYTES: usize = 24;

/// What each file begins with.
const MAGIC: &[u8; 6] = b"slbook";
/// Of the length before each record.
const RECORD_LENGTH_BYTES: usize = 4;

/// What a file is.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// A segment of the log.
    Log = b'l' as isize,
    /// The state of everything before a segment.
    Snapshot = b's' as isize,
}

/// Drawn when a folder is created. Its files carry it, so that one of another folder is not taken for its own. Zero in folders
/// that were created before there were identities.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct FolderIdentity(pub u32);

impl FolderIdentity {
    /// A random one, never zero.
    pub fn draw() -> FolderIdentity {
        // The standard library seeds this from the system's random numbers.
        FolderIdentity((RandomState::new().build_hasher().finish() as u32).max(1))
    }
}

impl fmt::Display for FolderIdentity {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// What a file's header has to say.
#[derive(Clone, Copy)]
pub struct FileId {
    /// Segment or snapshot.
    pub kind: FileKind,
    /// The number in its name.
    pub number: u64,
    /// The folder that it was written in.
    pub folder: FolderIdentity,
}

/// The bytes that a file begins with.
pub type FileHeader = [u8; FILE_HEADER_BYTES as usize];

/// The header of such a file.
pub fn encode_file_header(id: FileId) -> FileHeader {
    let FileId { kind, number, folder } = id;
    let mut header = [0; FILE_HEADER_BYTES as usize];
    header[..6].copy_from_slice(MAGIC);
    header[6] = kind as u8;
    header[7] = FORMAT_VERSION;
    header[8..12].copy_from_slice(&(number as u32).to_le_bytes());
    header[12..16].copy_from_slice(&folder.0.to_le_bytes());
    let checksum = crc32fast::hash(&header[..16]);
    header[16..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Whether the checksum is right, whatever the header says.
pub fn is_file_header_intact(header: &FileHeader) -> bool {
    crc32fast::hash(&header[..16]) == u32_at(header, 16)
}

/// Whether the header is of this format and version, and of a file of that kind.
pub fn is_file_of_kind(header: &FileHeader, kind: FileKind) -> bool {
    header[..6] == *MAGIC && header[7] == FORMAT_VERSION && header[6] == kind as u8
}

/// The number that a header names.
pub fn file_number(header: &FileHeader) -> u32 {
    u32_at(header, 8)
}

/// The folder that a header names.
pub fn file_folder(header: &FileHeader) -> FolderIdentity {
    FolderIdentity(u32_at(header, 12))
}

/// Bytes of an entry of these records.
pub fn entry_bytes(records: &[Vec<u8>]) -> usize {
    ENTRY_HEADER_BYTES + records.iter().map(|record| RECORD_LENGTH_BYTES + record.len()).sum::<usize>()
}

/// Leaves room for an entry's header at the end of `out`. Once the records have been put, `finish_entry` takes the offset that
/// this returns.
pub fn begin_entry(out: &mut Vec<u8>) -> usize {
    let start = out.len();
    out.resize(start + ENTRY_HEADER_BYTES, 0);
    start
}

/// Puts a record, after its length, at the end of an entry's payload.
pub fn put_record(record: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(record.len() as u32).to_le_bytes());
    out.extend_from_slice(record);
}

/// Fills in the header of the entry that begins at `start` and ends with `out`.
pub fn finish_entry(out: &mut [u8], start: usize, number: u32, synced: u64) {
    let (header, payload) = out[start..].split_at_mut(ENTRY_HEADER_BYTES);
    header[..4].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    header[4..8].copy_from_slice(&number.to_le_bytes());
    header[8..16].copy_from_slice(&synced.to_le_bytes());
    header[16..20].copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&header[..20]);
    header[20..].copy_from_slice(&checksum.to_le_bytes());
}

/// The header of an entry whose checksum was right.
#[derive(Clone, Copy)]
pub struct EntryHeader {
    /// Length of the records, with the length of each.
    pub payload_bytes: usize,
    /// The entry's number in its file.
    pub number: u32,
    /// Up to which offset the file was synced when the entry was written; in the last entry of a snapshot the count of its
    /// records.
    pub synced: u64,
    /// CRC-32 of the payload.
    pub payload_checksum: u32,
}

impl EntryHeader {
    /// None if the bytes are too few, the checksum is wrong, or the payload would be too long.
    pub fn decode(bytes: &[u8]) -> Option<EntryHeader> {
        if bytes.len() < ENTRY_HEADER_BYTES || crc32fast::hash(&bytes[..20]) != u32_at(bytes, 20) {
            return None;
        }
        let payload_bytes = u32_at(bytes, 0) as usize;
        (payload_bytes <= MAX_APPEND_BYTES).then(|| EntryHeader {
            payload_bytes,
            number: entry_number(bytes),
            synced: u64_at(bytes, 8),
            payload_checksum: u32_at(bytes, 16),
        })
    }
}

/// The number in what may be an entry's header, before any checksum was looked at; 0 if the bytes are too few.
pub fn entry_number(bytes: &[u8]) -> u32 {
    u32_at(bytes, 4)
}

/// The complete entry that `bytes` begin with: its header and its payload.
pub fn decode_entry(bytes: &[u8]) -> Option<(EntryHeader, &[u8])> {
    let header = EntryHeader::decode(bytes)?;
    let payload = bytes.get(ENTRY_HEADER_BYTES..ENTRY_HEADER_BYTES + header.payload_bytes)?;
    (crc32fast::hash(payload) == header.payload_checksum).then_some((header, payload))
}

/// Whether `bytes` are complete entries and nothing else.
pub fn are_complete_entries(mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        let Some((_, payload)) = decode_entry(bytes) else { return false };
        bytes = &bytes[ENTRY_HEADER_BYTES + payload.len()..];
    }
    true
}

/// The first record of a payload, and what follows it. None if the lengths do not fit.
pub fn split_record(payload: &[u8]) -> Option<(&[u8], &[u8])> {
    let record = payload.get(RECORD_LENGTH_BYTES..)?.get(..u32_at(payload, 0) as usize)?;
    Some((record, &payload[RECORD_LENGTH_BYTES + record.len()..]))
}

/// Zero beyond the end.
fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    let four = bytes.get(offset..offset + 4).and_then(|four| four.try_into().ok());
    four.map_or(0, u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from(u32_at(bytes, offset)) | u64::from(u32_at(bytes, offset + 4)) << 32
}
