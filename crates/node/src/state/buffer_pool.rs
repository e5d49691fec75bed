//! Buffers of one size, used again. Their number is bounded, and so is the memory that they take.

use std::ops::{Deref, DerefMut, Range};
use std::sync::{Arc, Mutex, PoisonError};

/// Bytes of a buffer: a message of any protocol at most.
pub const SIZE: usize = 72 * 1024;
// A message must fit a buffer.
const _: () = assert!(crate::wire::http::MAX_MESSAGE_BYTES <= SIZE);

pub struct Pool {
    /// Buffers at rest, and how many more may be made.
    rest: Mutex<(Vec<Box<[u8]>>, usize)>,
}

impl Pool {
    pub fn new(most: usize) -> Arc<Pool> {
        Arc::new(Pool { rest: Mutex::new((Vec::new(), most)) })
    }

    /// An empty buffer, or none while all are in use.
    pub fn take(self: &Arc<Pool>) -> Option<Buffer> {
        let mut rest = self.rest.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = match rest.0.pop() {
            Some(bytes) => bytes,
            None => {
                rest.1 = rest.1.checked_sub(1)?;
                vec![0; SIZE].into_boxed_slice()
            }
        };
        Some(Buffer { bytes, held: 0, pool: self.clone() })
    }
}

/// A buffer with so many bytes held from its start; it goes back to its pool by itself.
pub struct Buffer {
    bytes: Box<[u8]>,
    held: usize,
    pool: Arc<Pool>,
}

impl Buffer {
    /// Adds bytes, or none of them where they have no room.
    #[must_use]
    pub fn add(&mut self, more: &[u8]) -> bool {
        let end = self.held + more.len();
        let room = self.bytes.get_mut(self.held..end).map(|room| room.copy_from_slice(more));
        self.held = if room.is_some() { end } else { self.held };
        room.is_some()
    }

    pub fn cut(&mut self, held: usize) {
        self.held = self.held.min(held);
    }
}

impl Deref for Buffer {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        &self.bytes[..self.held]
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[..self.held]
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.pool.rest.lock().unwrap_or_else(PoisonError::into_inner).0.push(bytes);
    }
}

/// Part of a buffer.
pub struct Bytes {
    held: Buffer,
    part: Range<usize>,
}

impl Bytes {
    /// The part must lie within what is held.
    pub fn new(held: Buffer, part: Range<usize>) -> Bytes {
        Bytes { held, part }
    }
}

impl Deref for Bytes {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        &self.held[self.part.clone()]
    }
}
