//! Bytes of segments and snapshots.
//!
//! A file begins with 20 bytes: `slbook`, `l` or `s`, the version, its number (4), its folder's identity (4), checksum of these (4). An entry's head has
//! 24: length of its records (4), its number in the file from 0 (4), up to where the file was synced when it was written (8),
//! checksum of the records (4), checksum of the head (4). Then the records, each with its length (4). Little-endian, CRC-32.
//! A snapshot ends with an entry of length 0 that has the count of its records in place of the third field.

use std::collections::hash_map::RandomState;
use std::fmt;
use std::fs::File;
use std::hash::{BuildHasher, Hasher};
use std::io::{BufReader, Read, Seek, SeekFrom};
use std::path::Path;

use crate::{Trouble, MAX_APPEND_BYTES};

pub const VERSION: u8 = 1;
pub const FILE_HEAD: u64 = 20;
pub const HEAD: usize = 24;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Log = b'l' as isize,
    Snapshot = b's' as isize,
}

/// Drawn when a folder is made; its files carry it, so that one of another folder is not taken for its own. Nought in folders
/// that were made before there were identities.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Identity(pub u32);

impl Identity {
    pub fn draw() -> Identity {
        Identity((RandomState::new().build_hasher().finish() as u32).max(1))
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// What a file has to say that it is.
#[derive(Clone, Copy)]
pub struct Expected {
    pub kind: Kind,
    pub number: u64,
    pub folder: Identity,
}

pub fn file_head(expected: Expected) -> [u8; FILE_HEAD as usize] {
    let Expected { kind, number, folder } = expected;
    let mut head = [0; FILE_HEAD as usize];
    head[..6].copy_from_slice(b"slbook");
    head[6] = kind as u8;
    head[7] = VERSION;
    head[8..12].copy_from_slice(&(number as u32).to_le_bytes());
    head[12..16].copy_from_slice(&folder.0.to_le_bytes());
    let sum = crc32fast::hash(&head[..16]);
    head[16..].copy_from_slice(&sum.to_le_bytes());
    head
}

/// Bytes of an entry of these records.
pub fn size(records: &[Vec<u8>]) -> usize {
    HEAD + records.iter().map(|record| 4 + record.len()).sum::<usize>()
}

pub fn put_record(record: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(record.len() as u32).to_le_bytes());
    out.extend_from_slice(record);
}

/// Begins an entry at the end of `out`; `close` with what this returns once the records have been put.
pub fn begin(out: &mut Vec<u8>) -> usize {
    let start = out.len();
    out.resize(start + HEAD, 0);
    start
}

pub fn close(out: &mut [u8], start: usize, number: u32, synced: u64) {
    let (head, records) = out[start..].split_at_mut(HEAD);
    head[..4].copy_from_slice(&(records.len() as u32).to_le_bytes());
    head[4..8].copy_from_slice(&number.to_le_bytes());
    head[8..16].copy_from_slice(&synced.to_le_bytes());
    head[16..20].copy_from_slice(&crc32fast::hash(records).to_le_bytes());
    let sum = crc32fast::hash(&head[..20]);
    head[20..].copy_from_slice(&sum.to_le_bytes());
}

#[derive(Clone, Copy)]
struct Head {
    len: usize,
    number: u32,
    synced: u64,
    sum: u32,
}

fn four(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|four| four.try_into().ok()).map_or(0, u32::from_le_bytes)
}

fn eight(bytes: &[u8], at: usize) -> u64 {
    u64::from(four(bytes, at)) | u64::from(four(bytes, at + 4)) << 32
}

fn head(bytes: &[u8]) -> Option<Head> {
    if bytes.len() < HEAD || crc32fast::hash(&bytes[..20]) != four(bytes, 20) {
        return None;
    }
    let len = four(bytes, 0) as usize;
    (len <= MAX_APPEND_BYTES).then(|| Head {
        len,
        number: four(bytes, 4),
        synced: eight(bytes, 8),
        sum: four(bytes, 16),
    })
}

/// The whole entry that `bytes` begin with.
fn entry(bytes: &[u8]) -> Option<(Head, &[u8])> {
    let head = head(bytes)?;
    let records = bytes.get(HEAD..HEAD + head.len)?;
    (crc32fast::hash(records) == head.sum).then_some((head, records))
}

/// Whether `bytes` are whole entries.
pub fn are_entries(mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        let Some((_, records)) = entry(bytes) else { return false };
        bytes = &bytes[HEAD + records.len()..];
    }
    true
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Whole,
    /// Nothing behind it was ever synced, as far as the file tells.
    Torn(String),
    Damaged(String),
}

/// What a file holds.
pub struct Scan {
    /// Up to where it is good; 0 if its head is not.
    pub good: u64,
    pub len: u64,
    pub entries: u32,
    pub records: u64,
    pub end: End,
}

/// Reads a file, handing out the records of whole entries in order, up to its end or the first bad byte.
pub fn scan(path: &Path, expected: Expected, on_record: &mut dyn FnMut(&[u8])) -> Result<Scan, Trouble> {
    let Expected { kind, number, folder } = expected;
    let reading = Trouble::io("reading");
    let name = path.file_name().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
    let file = File::open(path).map_err(&reading)?;
    let len = file.metadata().map_err(&reading)?.len();
    let mut file = BufReader::with_capacity(128 << 10, file);
    let mut scan = Scan { good: 0, len, entries: 0, records: 0, end: End::Whole };

    let mut first = [0; FILE_HEAD as usize];
    let got = fill(&mut file, &mut first).map_err(&reading)?;
    if got < first.len() || crc32fast::hash(&first[..16]) != four(&first, 16) {
        scan.end = behind(file.into_inner(), &scan, "its head is not whole").map_err(&reading)?;
        return Ok(scan);
    }
    if first[..6] != *b"slbook" || first[7] != VERSION || first[6] != kind as u8 {
        let found = format!("begins with {:?}", String::from_utf8_lossy(&first[..8]));
        return Err(Trouble::Format { file: name, found });
    }
    let found = Identity(four(&first, 12));
    if found != folder {
        return Err(Trouble::Stranger { file: name, found: found.to_string(), expected: folder.to_string() });
    }
    if u64::from(four(&first, 8)) != number {
        scan.end = End::Damaged(format!("says it is number {}", four(&first, 8)));
        return Ok(scan);
    }
    scan.good = FILE_HEAD;

    let mut ended = kind == Kind::Log;
    let mut bytes = vec![0; HEAD];
    while scan.good < len {
        bytes.resize(HEAD, 0);
        let got = fill(&mut file, &mut bytes).map_err(&reading)?;
        let found = head(&bytes[..got]).filter(|head| head.number == scan.entries);
        let whole = match found {
            Some(head) if (HEAD + head.len) as u64 <= len - scan.good => {
                bytes.resize(HEAD + head.len, 0);
                let got = fill(&mut file, &mut bytes[HEAD..]).map_err(&reading)?;
                got == head.len && crc32fast::hash(&bytes[HEAD..]) == head.sum
            }
            _ => false,
        };
        let Some(head) = found.filter(|_| whole) else {
            let reason = format!("no whole entry at byte {}", scan.good);
            scan.end = behind(file.into_inner(), &scan, &reason).map_err(&reading)?;
            return Ok(scan);
        };
        if kind == Kind::Snapshot && head.len == 0 {
            ended = head.synced == scan.records && scan.good + HEAD as u64 == len;
            scan.good += HEAD as u64;
            break;
        }
        let mut rest = &bytes[HEAD..];
        while !rest.is_empty() {
            let record = rest.get(4..).and_then(|rest_| rest_.get(..four(rest, 0) as usize));
            let Some(record) = record else {
                scan.end = End::Damaged(format!("lengths of records at byte {} do not fit", scan.good));
                return Ok(scan);
            };
            on_record(record);
            scan.records += 1;
            rest = &rest[4 + record.len()..];
        }
        scan.good += (HEAD + head.len) as u64;
        scan.entries = scan.entries.wrapping_add(1);
    }
    if !ended {
        scan.end = End::Damaged("the snapshot's end is not there, or its count is another".into());
    }
    Ok(scan)
}

/// Tells a torn end from damage: damaged if an entry behind says that the file had been synced beyond this place.
fn behind(mut file: File, scan: &Scan, reason: &str) -> std::io::Result<End> {
    let mut rest = Vec::new();
    file.seek(SeekFrom::Start(scan.good))?;
    file.read_to_end(&mut rest)?;
    let most = (rest.len() / HEAD) as u32;
    for at in 0..rest.len().saturating_sub(HEAD - 1) {
        // The number first: it spares nearly all the checksums.
        if four(&rest, at + 4).wrapping_sub(scan.entries) > most {
            continue;
        }
        if entry(&rest[at..]).is_some_and(|(head, _)| head.synced > scan.good) {
            let place = scan.good + at as u64;
            return Ok(End::Damaged(format!("{reason}, but it was synced before the entry at byte {place}")));
        }
    }
    Ok(End::Torn(reason.into()))
}

/// Reads until the buffer is full or the file ends.
fn fill(file: &mut impl Read, buffer: &mut [u8]) -> std::io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match file.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(more) => got += more,
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(got)
}
