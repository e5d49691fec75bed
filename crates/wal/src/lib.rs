//! A write-ahead log on disk: segments of records, a snapshot of what came before them, a thread that writes, and one that syncs.
//!
//! ```text
//! FORMAT              stileroute-logbook 1 SCHEMA IDENTITY
//! snapshot-0000000007 the state that everything before segment 7 builds
//! log-0000000007      what came after it; the segment of the highest number is written to
//! *.tmp               unfinished, removed at the next opening
//! ```
//!
//! One append makes one entry, which is there in full or not at all, under checksums of its header and of its records;
//! `src/frame.rs` has the bytes. An entry also says up to which offset its segment was synced when it was written. That tells apart two things
//! which look alike. After a loss of power each unsynced write is there, missing or torn, so an intact entry may stand behind a
//! gap, and both are cut off. A gap in what a later entry calls synced is damage, and the folder is refused. Damage to the very
//! last entry can't be told from a torn end.
//!
//! A checkpoint begins a new segment, builds the state of what lies before it on a thread of its own, writes `snapshot-N.tmp`,
//! syncs it, renames it, syncs the folder, and removes what the snapshot covers. Killed at any point, either the old files or
//! the new ones are complete.
//!
//! A log with snapshots in place of undo and redo records is the simple end of what ARIES describes (Mohan et al., ACM TODS 17,
//! 1992): records are only ever applied again, in order. What a file system may do with writes that were not synced is that of
//! Pillai et al., "All File Systems Are Not Created Equal", OSDI 2014; `tests/power/` plays it.
//!
//! # Why not okaywal
//!
//! 0.3.1 was read for it. What spoke against it, most serious first:
//! - A commit always syncs. Records that are written at once and synced later can't be expressed.
//! - Dropping `EntryWriter` unwraps its rollback, whose seek writes the full buffer out again: a full disk is a panic, and panics
//!   abort here. A failure in `begin_entry` or `commit` does not give the active file back, and a failed `sync_data` leaves
//!   `is_syncing` set: the next caller waits for ever.
//! - A file that is used again is renamed from `wal-N-cp` to `wal-M`, but whether the folder is synced goes by the time at which
//!   the file was *created*. After a loss of power the old name is back, and recovery empties files of that name, with all that
//!   was synced in them.
//! - Recovery ends without a word at the first header that it does not know, with any number of synced entries behind it. A chunk
//!   with a wrong checksum is skipped by its length, and the log goes on behind it.
//!
//! Generations of its folder would contain the third alone. Taken from it: segments, entries of several records, and snapshots
//! that a thread writes. It uses no links, locks or mappings, and neither does this: **nothing keeps two processes out of one
//! folder.**

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
