//! The crash buffer: the memory-mapped file and its free slots.

use std::path::Path;

use memmap2::MmapMut;

use crate::error::{InsertError, OpenError};
use crate::file::{self, OpenedFile, HEADER_BYTES};
use crate::slot::{self, MAX_RECORD_BYTES, SLOT_BYTES};

/// Returns the records in the file of a stopped process, without changing the file.
///
/// # Errors
///
/// The file is missing or has another format, or a system call failed.
pub fn read(path: &Path) -> Result<Vec<Vec<u8>>, OpenError> {
    Ok(file::read(path)?.into_iter().flatten().collect())
}

/// Identifies a record in the buffer until it is removed.
#[derive(Debug, PartialEq, Eq)]
pub struct Slot(usize);

/// A record that a previous process left in the file.
#[derive(Debug, PartialEq, Eq)]
pub struct LeftRecord {
    /// The slot that holds the record until it is removed.
    pub slot: Slot,
    /// The bytes of the record.
    pub bytes: Vec<u8>,
}

/// A buffer whose records outlive this process until they are removed.
///
/// **Nothing prevents two processes from opening the same file.** The caller has to make sure that only one
/// process uses it.
pub struct CrashBuffer {
    map: MmapMut,
    /// The free slots, used as a stack: the slot that was freed last is reused first, so that inserts touch as
    /// few memory pages as possible.
    free: Vec<Slot>,
}

impl CrashBuffer {
    /// Opens the file, or creates it with `slot_count` slots, and returns the records that a previous process
    /// left there. They stay in the file until they are removed.
    ///
    /// # Errors
    ///
    /// The file has another format or another number of slots, or a system call failed.
    pub fn open(path: &Path, slot_count: usize) -> Result<(CrashBuffer, Vec<LeftRecord>), OpenError> {
        let OpenedFile { file, records } = file::open(path, slot_count)?;
        // SAFETY: the mapped bytes change only through this mapping: as the documentation of the type demands,
        // only one process uses the file, and no process ever shortens it.
        let map = unsafe { MmapMut::map_mut(&file) }.map_err(file::io_failure("mapping", path))?;
        let mut free = Vec::with_capacity(slot_count);
        let mut recovered = Vec::new();
        for (index, record) in records.into_iter().enumerate().rev() {
            match record {
                Some(bytes) => recovered.push(LeftRecord { slot: Slot(index), bytes }),
                None => free.push(Slot(index)),
            }
        }
        Ok((CrashBuffer { map, free }, recovered))
    }

    /// The number of records that can still be inserted.
    pub fn free_slots(&self) -> usize {
        self.free.len()
    }

    /// Inserts a record, which outlives this process as soon as this function returns.
    ///
    /// # Errors
    ///
    /// No slot is free, or the record is empty or longer than [`MAX_RECORD_BYTES`].
    pub fn insert(&mut self, record: &[u8]) -> Result<Slot, InsertError> {
        if record.is_empty() || record.len() > MAX_RECORD_BYTES {
            return Err(InsertError::UnfitRecord { bytes: record.len() });
        }
        let slot = self.free.pop().ok_or(InsertError::Full)?;
        slot::write(self.slot_bytes(&slot), record);
        Ok(slot)
    }

    /// Removes the record in this slot and frees the slot.
    pub fn remove(&mut self, slot: Slot) {
        slot::clear(self.slot_bytes(&slot));
        self.free.push(slot);
    }

    fn slot_bytes(&mut self, slot: &Slot) -> &mut [u8] {
        let start = HEADER_BYTES + slot.0 * SLOT_BYTES;
        &mut self.map[start..start + SLOT_BYTES]
    }
}
