//! Buffers of one size, used again. Their number is bounded, and so is the memory that they take.

use std::ops::{Deref, DerefMut, Range};
use std::sync::{Arc, Mutex, PoisonError};

/// Bytes of a buffer: a message of any protocol at most.
pub const BUFFER_BYTES: usize = 72 * 1024;
// A message must fit a buffer.
const _: () = assert!(crate::wire::http::MAX_MESSAGE_BYTES <= BUFFER_BYTES);

pub struct Pool {
    /// Buffers at rest, and how many more may be made.
    free: Mutex<(Vec<Box<[u8]>>, usize)>,
}

impl Pool {
    pub fn new(limit: usize) -> Arc<Pool> {
        Arc::new(Pool { free: Mutex::new((Vec::new(), limit)) })
    }

    /// An empty buffer, or none while all are in use.
    pub fn take(self: &Arc<Pool>) -> Option<Buffer> {
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = match free.0.pop() {
            Some(bytes) => bytes,
            None => {
                free.1 = free.1.checked_sub(1)?;
                vec![0; BUFFER_BYTES].into_boxed_slice()
            }
        };
        Some(Buffer { bytes, length: 0, pool: self.clone() })
    }
}

/// A buffer with so many bytes held from its start; it goes back to its pool by itself.
pub struct Buffer {
    bytes: Box<[u8]>,
    length: usize,
    pool: Arc<Pool>,
}

impl Buffer {
    /// Adds bytes, or none of them where they have no room.
    #[must_use]
    pub fn append(&mut self, bytes: &[u8]) -> bool {
        let end = self.length + bytes.len();
        let target = self.bytes.get_mut(self.length..end).map(|target| target.copy_from_slice(bytes));
        self.length = if target.is_some() { end } else { self.length };
        target.is_some()
    }

    pub fn truncate(&mut self, length: usize) {
        self.length = self.length.min(length);
    }
}

impl Deref for Buffer {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        &self.bytes[..self.length]
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[..self.length]
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.pool.free.lock().unwrap_or_else(PoisonError::into_inner).0.push(bytes);
    }
}

/// Part of a buffer.
pub struct Bytes {
    length: Buffer,
    range: Range<usize>,
}

impl Bytes {
    /// The part must lie within what is held.
    pub fn new(length: Buffer, range: Range<usize>) -> Bytes {
        Bytes { length, range }
    }
}

impl Deref for Bytes {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        &self.length[self.range.clone()]
    }
}
