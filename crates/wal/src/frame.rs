//! The byte format of segments and snapshots.
//!
//! A file begins with a header of 20 bytes: `slbook` (6 bytes), `l` for a log segment or `s` for a snapshot (1), the
//! format version (1), the file's number (4), the identity of its folder (4), and the checksum of the preceding fields
//! (4).
//!
//! Entries follow the file header. An entry's header has 24 bytes: the length of its payload (4), the entry's number
//! in the file, counted from 0 (4), the offset up to which the file had been synced when the entry was written (8),
//! the checksum of the payload (4), and the checksum of the header (4). The payload is a sequence of records, each
//! preceded by its length (4). A snapshot ends with an entry without payload, which has the number of records in the
//! snapshot in place of the synced offset.
//!
//! Numbers are little-endian, and checksums are CRC-32. Separate checksums of header and payload are common in logs
//! (LevelDB's `log_format.md`). Here, an intact header tells how far the file had been synced even if the entry's
//! payload is torn.

use std::collections::hash_map::RandomState;
use std::fmt;
use std::hash::{BuildHasher, Hasher};

/// Maximum length of a record, in bytes: the largest configuration (`charter::read::LONGEST`, 8 MiB), which is stored
/// in a single record, and 64 KiB for the fields stored with it.
pub const MAX_RECORD_BYTES: usize = (8 << 20) + (64 << 10);
/// Maximum length of an entry, in bytes: the records of one append with a length of four bytes before each record.
pub const MAX_APPEND_BYTES: usize = 9 << 20;

/// Version of the format, stored in each file's header and in the file FORMAT.
pub const FORMAT_VERSION: u8 = 1;
/// Length of the file header, in bytes.
pub const FILE_HEADER_BYTES: u64 = 20;
/// Length of an entry's header, in bytes.
pub const ENTRY_HEADER_BYTES: usize = 24;

/// Magic bytes at the start of each segment and snapshot.
const MAGIC: &[u8; 6] = b"slbook";
/// Size, in bytes, of the length field before each record.
const RECORD_LENGTH_BYTES: usize = 4;

/// The kind of a file, as stored in its header.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// A segment of the log, which contains appended records.
    Log = b'l' as isize,
    /// A snapshot, which contains the state built from all segments before the one with the snapshot's number.
    Snapshot = b's' as isize,
}

/// A random number that is generated when a folder is created, and stored in each of its files so that a file copied
/// from another folder is detected. It is zero in folders that were created before identities were introduced.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct FolderIdentity(pub u32);

impl FolderIdentity {
    /// Generates a random identity, which is never zero.
    pub fn generate() -> FolderIdentity {
        // `RandomState` is seeded by the standard library from the operating system's random numbers.
        FolderIdentity((RandomState::new().build_hasher().finish() as u32).max(1))
    }
}

impl fmt::Display for FolderIdentity {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// The fields that identify a file in its header.
#[derive(Clone, Copy)]
pub struct FileId {
    /// Whether the file is a segment or a snapshot.
    pub kind: FileKind,
    /// The number in the file's name.
    pub number: u64,
    /// Identity of the folder that the file was written in.
    pub folder: FolderIdentity,
}

/// The encoded header at the start of a file.
pub type FileHeader = [u8; FILE_HEADER_BYTES as usize];

/// Encodes the header of the file with the given kind, number and folder identity.
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

/// Whether the checksum of a file header is correct. The header's other fields are not checked.
pub fn is_file_header_intact(header: &FileHeader) -> bool {
    crc32fast::hash(&header[..16]) == u32_at(header, 16)
}

/// Whether a file header has the magic bytes and the version of this format, and the given file kind.
pub fn is_file_of_kind(header: &FileHeader, kind: FileKind) -> bool {
    header[..6] == *MAGIC && header[7] == FORMAT_VERSION && header[6] == kind as u8
}

/// Returns the file number in a file header.
pub fn file_number(header: &FileHeader) -> u32 {
    u32_at(header, 8)
}

/// Returns the folder identity in a file header.
pub fn file_folder_identity(header: &FileHeader) -> FolderIdentity {
    FolderIdentity(u32_at(header, 12))
}

/// Returns the length in bytes of an entry that contains the given records.
pub fn entry_bytes(records: &[Vec<u8>]) -> usize {
    ENTRY_HEADER_BYTES + records.iter().map(|record| RECORD_LENGTH_BYTES + record.len()).sum::<usize>()
}

/// Reserves space for an entry's header at the end of `out`, and returns the header's offset in `out`. The caller
/// passes this offset to `finish_entry` after adding the records.
pub fn begin_entry(out: &mut Vec<u8>) -> usize {
    let start = out.len();
    out.resize(start + ENTRY_HEADER_BYTES, 0);
    start
}

/// Appends a record, preceded by its length, to an entry's payload at the end of `out`.
pub fn put_record(record: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(record.len() as u32).to_le_bytes());
    out.extend_from_slice(record);
}

/// Fills in the header of the entry that begins at offset `start` of `out` and extends to the end of `out`.
pub fn finish_entry(out: &mut [u8], start: usize, number: u32, synced: u64) {
    let (header, payload) = out[start..].split_at_mut(ENTRY_HEADER_BYTES);
    header[..4].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    header[4..8].copy_from_slice(&number.to_le_bytes());
    header[8..16].copy_from_slice(&synced.to_le_bytes());
    header[16..20].copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&header[..20]);
    header[20..].copy_from_slice(&checksum.to_le_bytes());
}

/// The decoded header of an entry whose header checksum was correct.
#[derive(Clone, Copy)]
pub struct EntryHeader {
    /// Length of the payload in bytes: all records, each with its length field.
    pub payload_bytes: usize,
    /// Number of the entry in its file, counted from 0.
    pub number: u32,
    /// Offset, in bytes, up to which the file had been synced when the entry was written. In the last entry of a
    /// snapshot: the number of records in the snapshot.
    pub synced: u64,
    /// CRC-32 of the payload.
    pub payload_checksum: u32,
}

impl EntryHeader {
    /// Decodes an entry header. Returns `None` if there are too few bytes, the checksum is wrong, or the payload would
    /// exceed the maximum length of an entry.
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

/// Returns the entry number from bytes that may be an entry's header, without checking a checksum; 0 if there are too
/// few bytes.
pub fn entry_number(bytes: &[u8]) -> u32 {
    u32_at(bytes, 4)
}

/// Decodes the header and the payload of the entry at the start of `bytes`. Returns `None` unless the entry is
/// complete and its checksums are correct.
pub fn decode_entry(bytes: &[u8]) -> Option<(EntryHeader, &[u8])> {
    let header = EntryHeader::decode(bytes)?;
    let payload = bytes.get(ENTRY_HEADER_BYTES..ENTRY_HEADER_BYTES + header.payload_bytes)?;
    (crc32fast::hash(payload) == header.payload_checksum).then_some((header, payload))
}

/// Whether `bytes` consist of complete entries only.
pub fn are_complete_entries(mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        let Some((_, payload)) = decode_entry(bytes) else { return false };
        bytes = &bytes[ENTRY_HEADER_BYTES + payload.len()..];
    }
    true
}

/// Splits a payload into its first record and the remaining bytes. Returns `None` if the record's length exceeds the
/// payload.
pub fn split_record(payload: &[u8]) -> Option<(&[u8], &[u8])> {
    let record = payload.get(RECORD_LENGTH_BYTES..)?.get(..u32_at(payload, 0) as usize)?;
    Some((record, &payload[RECORD_LENGTH_BYTES + record.len()..]))
}

/// Reads a little-endian number at the given offset; returns zero if it extends past the end of the bytes.
fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    let four = bytes.get(offset..offset + 4).and_then(|four| four.try_into().ok());
    four.map_or(0, u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from(u32_at(bytes, offset)) | u64::from(u32_at(bytes, offset + 4)) << 32
}
