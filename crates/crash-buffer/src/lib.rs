//! Records in a memory-mapped file, which outlive a killed process before any disk has taken them.
//!
//! A record is there from the moment at which [`CrashBuffer::insert`] returns. That is a store into a page of the system's cache: it
//! waits neither for a write nor for a sync, and the page stays when the process is killed. It promises **nothing** for a loss of
//! power: what is to outlive that goes into a write-ahead log as well, and is removed here once the log has written it.
//!
//! ```text
//! 0     header: the format, the bytes of a slot and the number of slots, and zeros up to 4096
//! 4096  slots of 256 bytes, each free or with one record: checksum, length, record
//! ```
//!
//! Records have no order. After a loss of power the file may hold any record that was ever in it, so a record has to be one that may be
//! applied at any later time, and more than once.
//!
//! All bytes of the file are written and synced when it is created: a store into a page that has no place on the disk would end the
//! process with SIGBUS where the disk is full. A file system that gives each write a new place may still do so.

mod buffer;
mod error;
mod file;
mod slot;

pub use buffer::{read, CrashBuffer, LeftRecord, Slot};
pub use error::{InsertError, OpenError};
pub use slot::MAX_RECORD_BYTES;
