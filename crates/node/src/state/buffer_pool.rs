//! A bounded pool of reusable buffers of one size, so that the memory for messages is bounded.

use std::ops::{Deref, DerefMut, Range};
use std::sync::{Arc, Mutex, PoisonError};

/// Size of a buffer in bytes; it holds the longest message of any protocol.
pub const BUFFER_BYTES: usize = 72 * 1024;
// The longest HTTP message must fit into one buffer.
const _: () = assert!(crate::wire::http::MAX_MESSAGE_BYTES <= BUFFER_BYTES);

pub struct Pool {
    /// The free buffers, and how many more may be allocated.
    free: Mutex<(Vec<Box<[u8]>>, usize)>,
}

impl Pool {
    pub fn new(limit: usize) -> Arc<Pool> {
        Arc::new(Pool { free: Mutex::new((Vec::new(), limit)) })
    }

    /// Returns an empty buffer, or `None` while all are in use.
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

/// A buffer whose first `length` bytes are filled. It returns to its pool when dropped.
pub struct Buffer {
    bytes: Box<[u8]>,
    length: usize,
    pool: Arc<Pool>,
}

impl Buffer {
    /// Appends bytes. Appends nothing and returns false if they do not fit.
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

/// A range of a buffer's filled bytes.
pub struct Bytes {
    length: Buffer,
    range: Range<usize>,
}

impl Bytes {
    /// The range must lie within the filled part of the buffer.
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
