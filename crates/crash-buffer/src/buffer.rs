//! The mapped file and its free slots.

use std::path::Path;

use memmap2::MmapMut;

use crate::error::{InsertError, OpenError};
use crate::file::{self, OpenedFile, HEADER_BYTES};
use crate::slot::{self, MAX_RECORD_BYTES, SLOT_BYTES};

/// The records of a file whose process is stopped. Changes nothing.
///
/// # Errors
///
/// The file is missing or of another format, or the system refused something.
pub fn read(path: &Path) -> Result<Vec<Vec<u8>>, OpenError> {
    Ok(file::read(path)?.into_iter().flatten().collect())
}

/// Names a record until it is removed.
#[derive(Debug, PartialEq, Eq)]
pub struct Slot(usize);

/// A record that the process before left in the file.
#[derive(Debug, PartialEq, Eq)]
pub struct LeftRecord {
    /// Where it stays until it is removed.
    pub slot: Slot,
    /// The record.
    pub bytes: Vec<u8>,
}

/// Records that outlive this process until they are removed. **Nothing keeps two processes out of one file**: that is the caller's to
/// see to.
pub struct CrashBuffer {
    map: MmapMut,
    /// The last one is used next: as few pages as possible are touched.
    free: Vec<Slot>,
}

impl CrashBuffer {
    /// Opens the file, or creates it with `slot_count` slots, and returns the records that the process before left there. They
    /// stay until they are removed.
    ///
    /// # Errors
    ///
    /// The file is of another format or has another number of slots, or the system refused something.
    pub fn open(path: &Path, slot_count: usize) -> Result<(CrashBuffer, Vec<LeftRecord>), OpenError> {
        let OpenedFile { file, records } = file::open(path, slot_count)?;
        // SAFETY: the bytes change only by this mapping: the file belongs to one process, as the type's documentation demands, and is
        // never made shorter.
        let map = unsafe { MmapMut::map_mut(&file) }.map_err(file::failed("mapping", path))?;
        let mut free = Vec::with_capacity(slot_count);
        let mut left = Vec::new();
        for (index, record) in records.into_iter().enumerate().rev() {
            match record {
                Some(bytes) => left.push(LeftRecord { slot: Slot(index), bytes }),
                None => free.push(Slot(index)),
            }
        }
        Ok((CrashBuffer { map, free }, left))
    }

    /// How many more records can be taken.
    pub fn free_slots(&self) -> usize {
        self.free.len()
    }

    /// Takes a record: it outlives the process from now on.
    ///
    /// # Errors
    ///
    /// No slot is free, or the record is empty or longer than a slot.
    pub fn insert(&mut self, record: &[u8]) -> Result<Slot, InsertError> {
        if record.is_empty() || record.len() > MAX_RECORD_BYTES {
            return Err(InsertError::UnfitRecord { bytes: record.len() });
        }
        let slot = self.free.pop().ok_or(InsertError::Full)?;
        slot::write(self.bytes_of(&slot), record);
        Ok(slot)
    }

    /// Removes a record.
    pub fn remove(&mut self, slot: Slot) {
        slot::clear(self.bytes_of(&slot));
        self.free.push(slot);
    }

    fn bytes_of(&mut self, slot: &Slot) -> &mut [u8] {
        let start = HEADER_BYTES + slot.0 * SLOT_BYTES;
        &mut self.map[start..start + SLOT_BYTES]
    }
}
