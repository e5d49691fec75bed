//! A write-ahead log on disk. It consists of segments of records and a snapshot of the state before the first of them.
//! One thread writes the records and another one syncs them.
//!
//! ```text
//! FORMAT              stileroute-logbook 1 SCHEMA IDENTITY
//! snapshot-0000000007 the state built from all segments before segment 7
//! log-0000000007      records after the snapshot; new ones go to the segment with the highest number
//! *.tmp               unfinished files, removed at the next opening
//! ```
//!
//! Each append writes one entry, which recovery restores completely or not at all; the header and the records of an
//! entry have separate checksums. The byte format is described in `src/frame.rs`. An entry also stores the offset up
//! to which its segment had been synced when the entry was written. Recovery uses this offset to distinguish a torn
//! end from damage, which otherwise look alike. After a loss of power, each unsynced write may be complete, missing or
//! torn, so an intact entry may follow a gap; the gap and the entry after it are both truncated. A gap before the
//! synced offset of a later entry is damage, and the folder is rejected. Damage to the very last entry can't be
//! distinguished from a torn end.
//!
//! A checkpoint starts a new segment, builds the state from the snapshot and the segments before it on a separate
//! thread, writes `snapshot-N.tmp`, syncs it, renames it, syncs the folder, and removes the files that the snapshot
//! covers. If the process is killed at any point, either the old files or the new ones are complete.
//!
//! A log with snapshots instead of undo and redo records is a simplified form of ARIES (Mohan et al., ACM TODS 17,
//! 1992): recovery only ever applies records again, in order. The assumptions about what a file system may do with
//! unsynced writes are those of Pillai et al., "All File Systems Are Not Created Equal", OSDI 2014; the tests in
//! `tests/power/` simulate them.
//!
//! # Why not okaywal
//!
//! The source of okaywal 0.3.1 was reviewed. The reasons against using it, most serious first:
//! - A commit always syncs. Records that are written immediately and synced later can't be expressed.
//! - Dropping `EntryWriter` unwraps the result of its rollback, whose seek writes the full buffer out again: a full disk causes a
//!   panic, and panics abort this program. A failure in `begin_entry` or `commit` does not return the active file, and a failed
//!   `sync_data` leaves `is_syncing` set, so that the next caller waits forever.
//! - A file that is reused is renamed from `wal-N-cp` to `wal-M`, but whether the folder is synced depends on the time at which
//!   the file was *created*. After a loss of power the file may have its old name again, and recovery truncates files of that
//!   name to zero bytes, together with all synced records in them.
//! - Recovery ends silently at the first header that it does not recognize, even if any number of synced entries follow. A chunk
//!   with a wrong checksum is skipped by its length, and the log continues after it.
//!
//! Keeping several generations of its folder would contain the damage of the third fault only. This package adopts
//! from okaywal: segments, entries of several records, and snapshots that a separate thread writes. Like okaywal, it
//! uses no links, file locks or memory mappings, so **nothing prevents two processes from opening the same folder.**

mod background;
mod checkpoint;
mod disk;
mod error;
mod file_names;
mod folder;
mod format_file;
mod frame;
mod instrumentation;
mod options;
mod planted;
mod scan;
mod segment;
mod snapshot;
#[cfg(feature = "stalled-disk")]
mod stall_schedule;
mod state_machine;
mod statistics;
mod verify;
mod wal;
mod writer;

pub use error::{AppendError, FileError, OpenError, ReadError};
pub use frame::{MAX_APPEND_BYTES, MAX_RECORD_BYTES};
#[doc(hidden)]
pub use instrumentation::{Operation, OperationObserver, Step, StepHook};
pub use options::Options;
#[cfg(feature = "planted")]
pub use planted::PlantedFault;
pub use state_machine::StateMachine;
pub use statistics::Statistics;
pub use verify::{verify, FileReport, FileState, Report};
pub use wal::Wal;
