//! The writer's thread, and the fold of a checkpoint on a thread of its own.

use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender};
use std::sync::Arc;
use std::thread::{self, Builder, JoinHandle};
use std::time::{Duration, Instant};

use crate::disk::{self, DiskFile};
use crate::folder::{self, snapshot_name, Folder, Segment};
use crate::frame::{self, Expected, Identity, Kind, FILE_HEAD};
use crate::planted::PlantedFault;
use crate::{count, Counters, Options, StateMachine, Step, Trouble, MAX_APPEND_BYTES, MAX_RECORD_BYTES};

pub enum Command {
    Append { ticket: u64, records: Vec<Vec<u8>>, sync: bool },
    Folded(Result<Option<u64>, Trouble>),
    Stop { sync: bool },
}

/// Ticket, records, whether to sync.
type Append = (u64, Vec<Vec<u8>>, bool);

/// Bytes after which a group takes no more appends.
const GROUP: usize = 1 << 20;
/// Until a checkpoint that failed is tried again.
const AGAIN: Duration = Duration::from_secs(10);

/// A checkpoint under way.
struct Folding {
    thread: JoinHandle<()>,
    give_up: Arc<AtomicBool>,
    to: u64,
    /// Bytes of the segments it replaces.
    closed: u64,
}

pub struct Writer<D> {
    folder: Folder,
    fold: fn(&Task) -> Result<Option<u64>, Trouble>,
    done: D,
    commands: Receiver<Command>,
    /// Came while an append waited for room, and come before what is in `commands`.
    backlog: VecDeque<Command>,
    queue: Sender<Command>,
    counters: Arc<Counters>,
    folding: Option<Folding>,
    /// No checkpoint before.
    rest_until: Option<Instant>,
    /// Records without sync wait for one until then.
    sync_by: Option<Instant>,
    bytes: Vec<u8>,
}

impl<D: Fn(u64, Result<(), Trouble>)> Writer<D> {
    pub fn new(
        folder: Folder,
        fold: fn(&Task) -> Result<Option<u64>, Trouble>,
        done: D,
        commands: Receiver<Command>,
        queue: Sender<Command>,
        counters: Arc<Counters>,
    ) -> Writer<D> {
        let bytes = Vec::new();
        Writer {
            folder,
            fold,
            done,
            commands,
            backlog: VecDeque::new(),
            queue,
            counters,
            folding: None,
            rest_until: None,
            sync_by: None,
            bytes,
        }
    }

    pub fn run(mut self) {
        let mut group = Vec::new();
        loop {
            let mut next = self.wait();
            let mut gathered = 0;
            while let Some(Command::Append { ticket, records, sync }) = next {
                gathered += frame::size(&records);
                group.push((ticket, records, sync));
                next = if gathered < GROUP { self.next_at_once() } else { None };
            }
            self.wait_for_room(&group);
            let full = !group.is_empty() && self.write(&mut group);
            match next {
                Some(Command::Folded(result)) => self.folded(result),
                Some(Command::Stop { sync }) => return self.end(sync),
                _ => {}
            }
            if self.sync_by.is_some_and(|by| by <= Instant::now()) {
                let _ = self.sync();
            }
            self.checkpoint(full);
        }
    }

    fn next_at_once(&mut self) -> Option<Command> {
        self.backlog.pop_front().or_else(|| self.commands.try_recv().ok())
    }

    /// Appends that fill a segment each may come faster than checkpoints clear them away: they wait for those that are under
    /// way or can be begun, where smaller ones are refused. Each checkpoint leaves less to clear, so this ends.
    fn wait_for_room(&mut self, group: &[Append]) {
        while self.is_large_and_does_not_fit(group) {
            self.checkpoint(true);
            if self.folding.is_none() {
                return;
            }
            match self.commands.recv() {
                Ok(Command::Folded(result)) => self.folded(result),
                Ok(command) => {
                    let stops = matches!(command, Command::Stop { .. });
                    self.backlog.push_back(command);
                    if stops {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }

    fn is_large_and_does_not_fit(&self, group: &[Append]) -> bool {
        let sizes = || group.iter().map(|(_, records, _)| frame::size(records) as u64);
        let large = sizes().any(|size| size >= self.due() && size <= MAX_APPEND_BYTES as u64);
        let most = most_used(&self.folder.options, true);
        large && self.folder.options.capacity_bytes > 0 && self.folder.used() + sizes().sum::<u64>() > most
    }

    fn wait(&mut self) -> Option<Command> {
        if let Some(command) = self.backlog.pop_front() {
            return Some(command);
        }
        let unfolded = self.folding.is_none() && self.folder.base < self.folder.log.number;
        let by = match (self.sync_by, self.rest_until.filter(|_| unfolded)) {
            (Some(sync), Some(rest)) => sync.min(rest),
            (Some(by), None) | (None, Some(by)) => by,
            (None, None) => return self.commands.recv().ok(),
        };
        self.commands.recv_timeout(by.saturating_duration_since(Instant::now())).ok()
    }

    /// Writes a group at once, syncs once if one of it asks for that, and answers all of it in order. If the sync fails the
    /// whole group is taken back, also what did not ask for it. Whether one was refused for want of room.
    fn write(&mut self, group: &mut Vec<Append>) -> bool {
        let used = self.folder.used();
        let Folder { options, log, .. } = &mut self.folder;
        let (len, entries) = (log.len, log.entries);
        let (mut put, mut records, mut sync, mut full) = (0, 0, false, false);
        self.bytes.clear();
        let mut refused = Vec::with_capacity(group.len());
        for (_, append, with_sync) in group.iter() {
            let size = frame::size(append);
            let most = most_used(options, *with_sync);
            let largest = append.iter().map(Vec::len).max().unwrap_or(0);
            refused.push(if largest > MAX_RECORD_BYTES {
                Some(Trouble::TooLarge { bytes: largest })
            } else if size > MAX_APPEND_BYTES {
                Some(Trouble::TooLarge { bytes: size })
            } else if options.capacity_bytes > 0
                && !append.is_empty()
                && used + (self.bytes.len() + size) as u64 > most
            {
                full = true;
                Some(Trouble::Full)
            } else {
                sync |= with_sync;
                if !append.is_empty() {
                    let start = frame::begin(&mut self.bytes);
                    append.iter().for_each(|record| frame::put_record(record, &mut self.bytes));
                    frame::close(&mut self.bytes, start, entries.wrapping_add(put), log.synced);
                    put += 1;
                    records += append.len() as u64;
                }
                None
            });
        }
        let written = if put > 0 { log.write(&self.bytes, put, options) } else { Ok(()) };
        let result = match written {
            Err(error) => {
                count(&self.counters.failures, 1);
                Err(Trouble::io("writing")(error))
            }
            Ok(()) if sync && !self.folder.options.planted(PlantedFault::EarlyAnswer) => self.sync(),
            Ok(()) => {
                if put > 0 {
                    self.sync_by.get_or_insert_with(|| Instant::now() + self.folder.options.max_sync_delay);
                }
                Ok(())
            }
        };
        if result.is_ok() {
            count(&self.counters.records, records);
            count(&self.counters.bytes, self.bytes.len() as u64);
        } else if self.folder.log.len > len {
            let Folder { options, log, .. } = &mut self.folder;
            log.back_to(len, entries, options);
        }
        if self.bytes.capacity() > 2 * GROUP {
            self.bytes = Vec::new();
        }
        for ((ticket, ..), refused) in group.drain(..).zip(refused) {
            (self.done)(ticket, refused.map_or_else(|| result.clone(), Err));
        }
        full
    }

    fn sync(&mut self) -> Result<(), Trouble> {
        let Folder { dir, options, log, .. } = &mut self.folder;
        match log.sync(dir, options) {
            Ok(did) => {
                count(&self.counters.syncs, u64::from(did));
                self.sync_by = None;
                Ok(())
            }
            Err(error) => {
                tracing::warn!(%error, "a sync failed");
                count(&self.counters.failures, 1);
                self.sync_by = Some(Instant::now() + options.max_sync_delay.max(Duration::from_millis(50)));
                Err(Trouble::io("syncing")(error))
            }
        }
    }

    /// Bytes in a segment after which a checkpoint begins.
    fn due(&self) -> u64 {
        match self.folder.options {
            Options { capacity_bytes: 0, checkpoint_after_bytes, .. } => checkpoint_after_bytes,
            Options { capacity_bytes, checkpoint_after_bytes, .. } => {
                checkpoint_after_bytes.min(capacity_bytes / 8)
            }
        }
    }

    /// Begins a checkpoint if one is due.
    fn checkpoint(&mut self, full: bool) {
        if self.folding.is_some() || self.rest_until.is_some_and(|until| until > Instant::now()) {
            return;
        }
        self.rest_until = None;
        let (room, due) = (self.folder.options.capacity_bytes, self.due());
        let len = self.folder.log.len;
        // Some ends that came since may be enough to have room again; none, and it would be for nothing.
        if len >= due.max(FILE_HEAD + 1) || full && len > FILE_HEAD + room / 1024 {
            if let Err(trouble) = self.roll() {
                return self.failed(&trouble);
            }
        }
        if self.folder.base < self.folder.log.number {
            if let Err(trouble) = self.begin_fold() {
                self.failed(&trouble);
            }
        }
    }

    /// Closes the segment, all of it synced, and begins the next.
    fn roll(&mut self) -> Result<(), Trouble> {
        self.sync()?;
        let Folder { dir, options, identity, log, closed, .. } = &mut self.folder;
        let next = Segment::create(dir, log.number + 1, *identity, options)
            .map_err(Trouble::io("making a segment"))?;
        *closed += log.len;
        *log = next;
        Ok(())
    }

    fn begin_fold(&mut self) -> Result<(), Trouble> {
        let Folder { dir, options, identity, base, snapshot, closed, log } = &mut self.folder;
        // A snapshot that is kept while the name of the segment after it is lost would look like damage.
        if !options.planted(PlantedFault::NamelessCovered) {
            log.sync_name(dir, options).map_err(Trouble::io("syncing the folder"))?;
        }
        let (to, closed, give_up) = (log.number, *closed, Arc::new(AtomicBool::new(false)));
        let left = match options.capacity_bytes {
            0 => u64::MAX,
            room => room.saturating_sub(*snapshot + closed + log.len),
        };
        let (dir, options, give_up_) = (dir.clone(), options.clone(), give_up.clone());
        let task = Task { dir, options, folder: *identity, from: *base, to, left, give_up: give_up_ };
        let (queue, fold) = (self.queue.clone(), self.fold);
        let thread = Builder::new().name("wal-fold".into()).spawn(move || {
            let _ = queue.send(Command::Folded(fold(&task)));
        });
        let thread = thread.map_err(Trouble::io("starting a checkpoint"))?;
        self.folding = Some(Folding { thread, give_up, to, closed });
        Ok(())
    }

    fn folded(&mut self, result: Result<Option<u64>, Trouble>) {
        let Some(folding) = self.folding.take() else { return };
        let _ = folding.thread.join();
        match result {
            Ok(None) => return,
            Ok(Some(bytes)) => {
                self.folder.base = folding.to;
                self.folder.snapshot = bytes;
                self.folder.closed -= folding.closed;
                count(&self.counters.checkpoints, 1);
            }
            Err(trouble) => return self.failed(&trouble),
        }
        let _ = self.folder.options.at(Step::CheckpointEnded);
    }

    fn failed(&mut self, trouble: &Trouble) {
        tracing::warn!(%trouble, "no checkpoint");
        count(&self.counters.failures, 1);
        self.rest_until = Some(Instant::now() + AGAIN);
        let _ = self.folder.options.at(Step::CheckpointEnded);
    }

    fn end(mut self, sync: bool) {
        if sync {
            let _ = self.sync();
        }
        if let Some(folding) = self.folding.take() {
            folding.give_up.store(true, Ordering::Relaxed);
            let _ = folding.thread.join();
        }
    }
}

/// Bytes of the folder beyond which an append is refused. What frees room comes without sync, and must not be refused first.
fn most_used(options: &Options, sync: bool) -> u64 {
    if sync {
        options.capacity_bytes / 16 * 7
    } else {
        options.capacity_bytes / 2
    }
}

/// What a checkpoint's thread is to do: fold the snapshot `from` and the segments from there on into the snapshot `to`.
pub struct Task {
    dir: PathBuf,
    options: Options,
    folder: Identity,
    from: u64,
    to: u64,
    /// Bytes the snapshot may take.
    left: u64,
    give_up: Arc<AtomicBool>,
}

impl Task {
    fn given_up(&self) -> bool {
        self.give_up.load(Ordering::Relaxed)
    }

    fn expected(&self, kind: Kind, number: u64) -> Expected {
        Expected { kind, number, folder: self.folder }
    }
}

/// Work between pauses: the loop and the writer share one processor with the fold.
const STINT: usize = 256 << 10;
const PAUSE: Duration = Duration::from_millis(2);
/// Bytes of a snapshot between syncs: one large sync would hold the writer's up.
const SYNC_EVERY: u64 = 4 << 20;

/// The snapshot's length, or none if it was given up.
pub fn fold<F: StateMachine>(task: &Task) -> Result<Option<u64>, Trouble> {
    task.options.at(Step::ReadForCheckpoint).map_err(Trouble::io("reading"))?;
    let mut fold = F::default();
    let mut stint = 0;
    let mut apply = |record: &[u8]| {
        if task.given_up() {
            return;
        }
        fold.apply(record);
        stint += record.len();
        if stint >= STINT {
            stint = 0;
            thread::sleep(PAUSE);
        }
    };
    if task.from > 1 {
        folder::whole(&task.dir, task.expected(Kind::Snapshot, task.from), &mut apply)?;
    }
    for number in task.from..task.to {
        folder::whole(&task.dir, task.expected(Kind::Log, number), &mut apply)?;
    }

    let Task { dir, options, to, .. } = task;
    let name = snapshot_name(*to);
    let unfinished = format!("{name}.tmp");
    let step = |step, doing, run: &dyn Fn() -> io::Result<()>| {
        task.options.at(step).and_then(|()| run()).map_err(Trouble::io(doing))
    };
    let written = Snapshot::new(task, &unfinished).and_then(|mut snapshot| {
        fold.snapshot(&mut |record| snapshot.put(record));
        snapshot.finish()
    });
    drop(fold);
    let renamed = match written {
        _ if task.given_up() => Ok(None),
        Ok(len) => step(Step::RenameSnapshot, "renaming the snapshot", &|| {
            disk::rename(dir, &unfinished, &name, options)
        })
        .map(|()| Some(len)),
        Err(trouble) => Err(trouble),
    };
    let Ok(Some(len)) = renamed else {
        let _ = disk::remove(dir, &unfinished, options);
        return renamed;
    };
    // Before this returns a power loss may bring the old name back, so what it replaces stays.
    if !options.planted(PlantedFault::DroppedEarly) {
        step(Step::SyncFolderAfterSnapshot, "syncing the folder", &|| disk::sync_folder(dir, options))?;
    }
    if let Err(trouble) = step(Step::RemoveCovered, "removing", &|| folder::remove_before(dir, *to, options))
    {
        tracing::warn!(%trouble, "what a snapshot replaced is still there");
    }
    Ok(Some(len))
}

struct Snapshot<'a> {
    task: &'a Task,
    file: DiskFile,
    bytes: Vec<u8>,
    entries: u32,
    records: u64,
    len: u64,
    unsynced: u64,
    failed: Option<Trouble>,
}

impl Snapshot<'_> {
    fn new<'a>(task: &'a Task, name: &str) -> Result<Snapshot<'a>, Trouble> {
        let made = DiskFile::make(&task.dir, name, &task.options);
        let file = made.map_err(Trouble::io("making a snapshot"))?;
        let bytes = frame::file_head(task.expected(Kind::Snapshot, task.to)).to_vec();
        let mut snapshot =
            Snapshot { task, file, bytes, entries: 0, records: 0, len: 0, unsynced: 0, failed: None };
        snapshot.flush()?;
        snapshot.open_entry();
        Ok(snapshot)
    }

    fn open_entry(&mut self) {
        frame::begin(&mut self.bytes);
    }

    fn put(&mut self, record: &[u8]) {
        if self.failed.is_some() || self.task.given_up() {
            return;
        }
        if record.len() > MAX_RECORD_BYTES {
            self.failed = Some(Trouble::TooLarge { bytes: record.len() });
            return;
        }
        frame::put_record(record, &mut self.bytes);
        self.records += 1;
        if self.bytes.len() >= STINT {
            self.failed = self.close_entry().err();
            thread::sleep(PAUSE);
        }
    }

    fn close_entry(&mut self) -> Result<(), Trouble> {
        frame::close(&mut self.bytes, 0, self.entries, 0);
        self.entries = self.entries.wrapping_add(1);
        self.flush()?;
        self.open_entry();
        Ok(())
    }

    fn flush(&mut self) -> Result<(), Trouble> {
        let more = self.bytes.len() as u64;
        if self.len + more > self.task.left {
            return Err(Trouble::Full);
        }
        let writing = Trouble::io("writing a snapshot");
        self.task.options.at(Step::WriteSnapshot).map_err(&writing)?;
        self.file.write(&self.bytes, &self.task.options).map_err(&writing)?;
        self.bytes.clear();
        self.len += more;
        self.unsynced += more;
        if self.unsynced >= SYNC_EVERY {
            self.unsynced = 0;
            self.file.sync_data(&self.task.options).map_err(&writing)?;
        }
        Ok(())
    }

    fn finish(mut self) -> Result<u64, Trouble> {
        if let Some(trouble) = self.failed.take() {
            return Err(trouble);
        }
        if self.bytes.len() > frame::HEAD {
            self.close_entry()?;
        }
        // The end: no records, but their count.
        frame::close(&mut self.bytes, 0, self.entries, self.records);
        self.flush()?;
        let syncing = Trouble::io("syncing a snapshot");
        self.task.options.at(Step::SyncSnapshot).map_err(&syncing)?;
        if !self.task.options.planted(PlantedFault::SnapshotUnsynced) {
            self.file.sync_all(&self.task.options).map_err(&syncing)?;
        }
        Ok(self.len)
    }
}
