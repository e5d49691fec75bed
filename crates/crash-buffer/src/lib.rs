//! Stores records in a memory-mapped file, where they outlive a killed process even before they are written to disk.
//!
//! A record is safe from a crash of the process as soon as [`CrashBuffer::insert`] returns. An insert is a store into a page
//! of the system's page cache: it waits neither for a write nor for a sync, and the page stays when the process is killed. A
//! record is **not** safe from a power failure. A record that has to survive one is also written to a write-ahead log, and
//! is removed from the buffer once the log has written it.
//!
//! ```text
//! 0     header: the format, the bytes of a slot and the number of slots, and zeros up to 4096
//! 4096  slots of 256 bytes, each free or with one record: checksum, length, record
//! ```
//!
//! Records have no order. After a power failure the file may hold any record that was ever in it, so records have to be
//! idempotent and applicable at any later time.
//!
//! All bytes of the file are written and synced when it is created: a store into a page without allocated disk space would
//! end the process with SIGBUS if the disk is full. On a copy-on-write file system, which allocates new space for each
//! write, this may still happen.

mod buffer;
mod error;
mod file;
mod slot;

pub use buffer::{read, CrashBuffer, LeftRecord, Slot};
pub use error::{InsertError, OpenError};
pub use slot::MAX_RECORD_BYTES;
