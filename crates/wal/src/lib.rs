//! Records on disk: a log of segments with a snapshot, one writer, one queue.
//!
//! ```text
//! FORMAT              stileroute-logbook 1 KIND IDENTITY
//! snapshot-0000000007 the fold of everything before segment 7
//! log-0000000007      what came after it; the highest number is written to
//! *.tmp               unfinished, removed at the next opening
//! ```
//!
//! One append is one entry: whole or not there, under checksums of its head and of its records. An entry also says up to
//! where its segment was synced when it was written. That tells two things apart which look alike: after a power loss each
//! unsynced write is there, missing or torn, so an entry may stand behind a hole and both are cut off; a hole in what a later
//! entry calls synced is damage, and the folder is refused. Damage to the very last entry cannot be told from a torn end.
//!
//! A checkpoint begins a segment, folds what lies before it on a thread of its own, writes `snapshot-N.tmp`, syncs it,
//! renames it, syncs the folder, and removes what it replaces. Killed anywhere, the old files or the new ones are complete.
//!
//! # Why not okaywal
//!
//! 0.3.1 was read for it. What spoke against it, most serious first:
//! - A commit always syncs; records that are written at once and synced later cannot be expressed.
//! - `EntryWriter`'s drop unwraps its rollback, whose seek writes the full buffer out again: a full disk is a panic, and panics
//!   abort here. A failure in `begin_entry` or `commit` does not give the active file back, a failed `sync_data` leaves
//!   `is_syncing` set: the next caller waits for ever.
//! - A file used again is renamed from `wal-N-cp` to `wal-M`, but the folder is synced by the time the file was *made*. After a
//!   power loss the old name is back, and recovery empties files of that name with what was synced in them.
//! - Recovery ends silently at the first head it does not know, with any number of synced entries behind it; a chunk with a
//!   wrong checksum is skipped by its length and the log continued behind it.
//!
//! Generations of it would contain the third alone. Taken from it: segments, entries of several records, snapshots by a fold on
//! a thread. It uses no links, locks or mappings, and neither does this: **nothing keeps two processes out of one folder.**

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::missing_errors_doc, clippy::struct_excessive_bools, missing_docs)]
mod disk;
mod folder;
mod frame;
mod planted;
mod verify;
mod writer;

use std::fmt;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

#[doc(hidden)]
pub use disk::Operation;
#[cfg(feature = "planted")]
pub use planted::PlantedFault;
pub use verify::{verify, FileReport, FileState, Report};

use folder::Folder;
use writer::{Command, Writer};

/// Of one record: the largest configuration (`charter::read::LONGEST`, 8 MiB), which is kept whole, and what goes with it.
pub const MAX_RECORD_BYTES: usize = (8 << 20) + (64 << 10);
/// Of the records of one append, with four bytes for each.
pub const MAX_APPEND_BYTES: usize = 9 << 20;

/// What all records amount to. A checkpoint builds a second one beside the program's own: its memory is needed twice for a while.
pub trait StateMachine: Default + Send + 'static {
    fn apply(&mut self, record: &[u8]);
    /// Gives records that rebuild it when they are applied to the default. They should take no more bytes than the records
    /// they stand for, or `Options::capacity_bytes` cannot be kept.
    fn snapshot(&self, out: &mut dyn FnMut(&[u8]));
}

#[derive(Clone)]
pub struct Options {
    /// Name of what is kept, without blanks. A folder of another kind is refused.
    pub schema: &'static str,
    /// Bytes in a segment after which a checkpoint begins; an eighth of `capacity_bytes` if that is less.
    pub checkpoint_after_bytes: u64,
    /// Bytes of disk it may use in all; 0 = unknown. A checkpoint needs the old and the new at once, so synced appends are
    /// refused as `Full` beyond 7/16 of it. Others may go to 1/2: what frees room must not be refused first.
    pub capacity_bytes: u64,
    /// Longest time until a record without sync is synced.
    pub max_sync_delay: Duration,
    /// For tests: called before each step, may wait there or have it fail.
    #[doc(hidden)]
    pub step_hook: Option<StepHook>,
    /// For tests: told of each operation on the folder once it is done.
    #[doc(hidden)]
    pub operation_observer: Option<OperationObserver>,
    /// A fault for the tests in `crates/model-check/wal/` to find.
    #[cfg(feature = "planted")]
    pub planted_fault: Option<PlantedFault>,
}

impl Options {
    pub fn new(schema: &'static str) -> Options {
        Options {
            schema,
            checkpoint_after_bytes: 32 << 20,
            capacity_bytes: 0,
            max_sync_delay: Duration::from_millis(200),
            step_hook: None,
            operation_observer: None,
            #[cfg(feature = "planted")]
            planted_fault: None,
        }
    }

    pub(crate) fn at(&self, step: Step) -> io::Result<()> {
        self.step_hook.as_ref().map_or(Ok(()), |hook| hook(step))
    }
}

#[doc(hidden)]
pub type StepHook = Arc<dyn Fn(Step) -> io::Result<()> + Send + Sync>;

#[doc(hidden)]
pub type OperationObserver = Arc<dyn Fn(Operation) + Send + Sync>;

#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A failure here leaves half of the bytes in the file.
    WriteEntries,
    SyncSegment,
    CreateSegment,
    RenameSegment,
    SyncFolderAfterSegment,
    ReadForCheckpoint,
    WriteSnapshot,
    SyncSnapshot,
    RenameSnapshot,
    SyncFolderAfterSnapshot,
    RemoveCovered,
    /// A checkpoint has succeeded or failed, and the writer knows.
    CheckpointEnded,
}

#[derive(Debug)]
pub enum Trouble {
    Io {
        doing: &'static str,
        error: io::Error,
    },
    Full,
    TooLarge {
        bytes: usize,
    },
    Damaged {
        file: String,
        reason: String,
    },
    Format {
        file: String,
        found: String,
    },
    /// It was written in another folder, whose identity this is.
    Stranger {
        file: String,
        found: String,
        expected: String,
    },
}

impl Trouble {
    pub(crate) fn io(doing: &'static str) -> impl Fn(io::Error) -> Trouble {
        // Out of space, and over the quota.
        move |error| match error.raw_os_error() {
            Some(28) | Some(122) => Trouble::Full,
            _ if error.kind() == io::ErrorKind::StorageFull => Trouble::Full,
            _ => Trouble::Io { doing, error },
        }
    }

    pub(crate) fn damaged(file: &str, reason: impl Into<String>) -> Trouble {
        Trouble::Damaged { file: file.to_string(), reason: reason.into() }
    }
}

impl Clone for Trouble {
    fn clone(&self) -> Trouble {
        match self {
            Trouble::Io { doing, error } => Trouble::Io {
                doing,
                error: match error.raw_os_error() {
                    Some(code) => io::Error::from_raw_os_error(code),
                    None => io::Error::new(error.kind(), error.to_string()),
                },
            },
            Trouble::Full => Trouble::Full,
            Trouble::TooLarge { bytes } => Trouble::TooLarge { bytes: *bytes },
            Trouble::Damaged { file, reason } => {
                Trouble::Damaged { file: file.clone(), reason: reason.clone() }
            }
            Trouble::Format { file, found } => Trouble::Format { file: file.clone(), found: found.clone() },
            Trouble::Stranger { file, found, expected } => {
                Trouble::Stranger { file: file.clone(), found: found.clone(), expected: expected.clone() }
            }
        }
    }
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Trouble::Io { doing, error } => write!(f, "disk: {doing}: {error}"),
            Trouble::Full => write!(f, "disk: no room left"),
            Trouble::TooLarge { bytes } => {
                write!(f, "disk: {bytes} bytes are too many for one record or append")
            }
            Trouble::Damaged { file, reason } => write!(f, "disk: {file} is damaged: {reason}"),
            Trouble::Format { file, found } => write!(f, "disk: {file} is not of this format: {found}"),
            Trouble::Stranger { file, found, expected } => {
                write!(f, "disk: {file}: folder: it was written in {found}, and this is {expected}")
            }
        }
    }
}

impl std::error::Error for Trouble {}

/// Counted since the opening.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    pub records: u64,
    /// Of entries, heads included.
    pub bytes: u64,
    pub syncs: u64,
    /// Writes, syncs and checkpoints that failed; refusals are not counted.
    pub failures: u64,
    pub checkpoints: u64,
}

#[derive(Default)]
pub(crate) struct Counters {
    pub records: AtomicU64,
    pub bytes: AtomicU64,
    pub syncs: AtomicU64,
    pub failures: AtomicU64,
    pub checkpoints: AtomicU64,
}

pub(crate) fn count(counter: &AtomicU64, more: u64) {
    counter.fetch_add(more, Ordering::Relaxed);
}

/// Dropping it without `close` writes what is queued and leaves the rest to the system, as when the process is killed.
pub struct Wal {
    queue: Sender<Command>,
    counters: Arc<Counters>,
    writer: Option<JoinHandle<()>>,
}

impl Wal {
    /// Recovers: cuts off a torn end, finishes or undoes a checkpoint, and returns the fold of all that is there, synced.
    pub fn open<F: StateMachine>(
        dir: &Path,
        options: Options,
        done: impl Fn(u64, Result<(), Trouble>) + Send + 'static,
    ) -> Result<(Wal, F), Trouble> {
        let mut fold = F::default();
        let folder = Folder::open(dir, options, &mut |record| fold.apply(record))?;
        let counters = Arc::new(Counters::default());
        let (queue, commands) = channel();
        let writer = Writer::new(folder, writer::fold::<F>, done, commands, queue.clone(), counters.clone());
        let writer = Builder::new()
            .name("wal".into())
            .spawn(move || writer.run())
            .map_err(Trouble::io("starting the writer"))?;
        Ok((Wal { queue, counters, writer: Some(writer) }, fold))
    }

    /// Queues; `done(ticket, result)` is called on the writer's thread, in the order of the appends. With `sync` that is after
    /// the sync, otherwise after the write: then the records outlive the process, but not yet the machine. No records with
    /// `sync` wait for all that was appended before. After `Err` the records are not there, but may be again if the power fails
    /// before the next sync.
    pub fn append(&self, ticket: u64, records: Vec<Vec<u8>>, sync: bool) {
        if self.queue.send(Command::Append { ticket, records, sync }).is_err() {
            tracing::error!(ticket, "the writer has ended");
        }
    }

    /// Writes what is queued, syncs, and waits for the writer. A checkpoint under way is given up; the next one makes up for it.
    /// Not to be called from `done`.
    pub fn close(mut self) {
        self.end(true);
    }

    pub fn statistics(&self) -> Statistics {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Statistics {
            records: read(&self.counters.records),
            bytes: read(&self.counters.bytes),
            syncs: read(&self.counters.syncs),
            failures: read(&self.counters.failures),
            checkpoints: read(&self.counters.checkpoints),
        }
    }

    fn end(&mut self, sync: bool) {
        let Some(writer) = self.writer.take() else { return };
        let _ = self.queue.send(Command::Stop { sync });
        if writer.join().is_err() {
            tracing::error!("the writer panicked");
        }
    }
}

impl Drop for Wal {
    fn drop(&mut self) {
        self.end(false);
    }
}
