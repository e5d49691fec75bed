//! The file of a buffer: created in full and synced under an unfinished name, so that a file under its own name is complete.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

use crate::error::OpenError;
use crate::slot::{self, SLOT_BYTES};

/// Bytes before the first slot: one page.
pub const HEADER_BYTES: usize = 4096;
/// What the header begins with; the bytes of a slot and the number of slots follow.
const FORMAT: &str = "stileroute-crash-buffer 1";
/// The file's extension while it is being written.
const UNFINISHED_EXTENSION: &str = "tmp";

/// A file that is there, and what its slots hold.
pub struct OpenedFile {
    pub file: File,
    /// By slot, its record; `None` where it is free.
    pub records: Vec<Option<Vec<u8>>>,
}

/// Opens the file, or creates it with this many slots. One with another number of slots is refused.
pub fn open(path: &Path, slot_count: usize) -> Result<OpenedFile, OpenError> {
    let is_missing = !path.try_exists().map_err(failed("opening", path))?;
    if is_missing {
        create(path, slot_count).map_err(failed("creating", path))?;
    }
    let records = read(path)?;
    if records.len() != slot_count {
        return Err(OpenError::UnknownFormat { file: path.to_path_buf() });
    }
    let file = OpenOptions::new().read(true).write(true).open(path).map_err(failed("opening", path))?;
    Ok(OpenedFile { file, records })
}

/// What the slots of the file hold. Changes nothing.
pub fn read(path: &Path) -> Result<Vec<Option<Vec<u8>>>, OpenError> {
    let file = File::open(path).map_err(failed("opening", path))?;
    let length = file.metadata().map_err(failed("reading", path))?.len() as usize;
    let slot_count = length.saturating_sub(HEADER_BYTES) / SLOT_BYTES;
    let mut reader = BufReader::new(file);
    let mut found = vec![0; HEADER_BYTES.min(length)];
    reader.read_exact(&mut found).map_err(failed("reading", path))?;
    if found != header(slot_count) || length != HEADER_BYTES + slot_count * SLOT_BYTES {
        return Err(OpenError::UnknownFormat { file: path.to_path_buf() });
    }
    let mut slot = [0; SLOT_BYTES];
    let mut records = Vec::with_capacity(slot_count);
    for _ in 0..slot_count {
        reader.read_exact(&mut slot).map_err(failed("reading", path))?;
        records.push(slot::read(&slot).map(<[u8]>::to_vec));
    }
    Ok(records)
}

/// The header of a file with this many slots.
fn header(slot_count: usize) -> Vec<u8> {
    let mut header = format!("{FORMAT} {SLOT_BYTES} {slot_count}\n").into_bytes();
    header.resize(HEADER_BYTES, 0);
    header
}

fn create(path: &Path, slot_count: usize) -> io::Result<()> {
    let unfinished = unfinished_name(path);
    let mut writer = BufWriter::new(File::create(&unfinished)?);
    writer.write_all(&header(slot_count))?;
    for _ in 0..slot_count {
        writer.write_all(&[0; SLOT_BYTES])?;
    }
    writer.into_inner()?.sync_all()?;
    fs::rename(&unfinished, path)?;
    match path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        Some(folder) => File::open(folder)?.sync_all(),
        None => File::open(".")?.sync_all(),
    }
}

fn unfinished_name(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".");
    name.push(UNFINISHED_EXTENSION);
    PathBuf::from(name)
}

/// For `map_err`: what was tried on the file.
pub fn failed(action: &'static str, path: &Path) -> impl Fn(io::Error) -> OpenError {
    let file = path.to_path_buf();
    move |source| OpenError::File { action, file: file.clone(), source }
}
