//! The file of a crash buffer. It is written in full and synced under a temporary name and then renamed, so
//! that a file under its final name is always complete.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

use crate::error::OpenError;
use crate::slot::{self, SLOT_BYTES};

/// Size of the file header in bytes, which is also the offset of the first slot: one memory page.
pub const HEADER_BYTES: usize = 4096;
/// The format name and version at the start of the header. The size of a slot in bytes and the number of slots
/// follow.
const FORMAT: &str = "stileroute-crash-buffer 1";
/// The extension that is appended to the file name while the file is being created.
const TEMPORARY_EXTENSION: &str = "tmp";

/// An open buffer file and the records in its slots.
pub struct OpenedFile {
    pub file: File,
    /// The record of each slot, by slot index; `None` if the slot is free.
    pub records: Vec<Option<Vec<u8>>>,
}

/// Opens the file, or creates it with `slot_count` slots. An existing file with another number of slots is
/// rejected.
pub fn open(path: &Path, slot_count: usize) -> Result<OpenedFile, OpenError> {
    let is_missing = !path.try_exists().map_err(io_failure("opening", path))?;
    if is_missing {
        create(path, slot_count).map_err(io_failure("creating", path))?;
    }
    let records = read(path)?;
    if records.len() != slot_count {
        return Err(OpenError::UnknownFormat { file: path.to_path_buf() });
    }
    let file = OpenOptions::new().read(true).write(true).open(path).map_err(io_failure("opening", path))?;
    Ok(OpenedFile { file, records })
}

/// Returns the record of each slot in the file, by slot index, without changing the file.
pub fn read(path: &Path) -> Result<Vec<Option<Vec<u8>>>, OpenError> {
    let file = File::open(path).map_err(io_failure("opening", path))?;
    let length = file.metadata().map_err(io_failure("reading", path))?.len() as usize;
    let slot_count = length.saturating_sub(HEADER_BYTES) / SLOT_BYTES;
    let mut reader = BufReader::new(file);
    let mut stored_header = vec![0; HEADER_BYTES.min(length)];
    reader.read_exact(&mut stored_header).map_err(io_failure("reading", path))?;
    if stored_header != header(slot_count) || length != HEADER_BYTES + slot_count * SLOT_BYTES {
        return Err(OpenError::UnknownFormat { file: path.to_path_buf() });
    }
    let mut slot = [0; SLOT_BYTES];
    let mut records = Vec::with_capacity(slot_count);
    for _ in 0..slot_count {
        reader.read_exact(&mut slot).map_err(io_failure("reading", path))?;
        records.push(slot::read(&slot).map(<[u8]>::to_vec));
    }
    Ok(records)
}

/// Returns the header of a file with `slot_count` slots.
fn header(slot_count: usize) -> Vec<u8> {
    let mut header = format!("{FORMAT} {SLOT_BYTES} {slot_count}\n").into_bytes();
    header.resize(HEADER_BYTES, 0);
    header
}

fn create(path: &Path, slot_count: usize) -> io::Result<()> {
    let temporary_file = temporary_path(path);
    let mut writer = BufWriter::new(File::create(&temporary_file)?);
    writer.write_all(&header(slot_count))?;
    for _ in 0..slot_count {
        writer.write_all(&[0; SLOT_BYTES])?;
    }
    writer.into_inner()?.sync_all()?;
    fs::rename(&temporary_file, path)?;
    match path.parent().filter(|directory| !directory.as_os_str().is_empty()) {
        Some(directory) => File::open(directory)?.sync_all(),
        None => File::open(".")?.sync_all(),
    }
}

fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".");
    name.push(TEMPORARY_EXTENSION);
    PathBuf::from(name)
}

/// Returns a function for `map_err` that adds the failed operation and the file's path to an I/O error.
pub fn io_failure(action: &'static str, path: &Path) -> impl Fn(io::Error) -> OpenError {
    let file = path.to_path_buf();
    move |source| OpenError::File { action, file: file.clone(), source }
}
