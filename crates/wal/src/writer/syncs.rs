//! Syncs of the segment: a thread of their own runs them, so that the writer goes on writing meanwhile, and appends are answered in
//! their order once a sync has ended that covers them.
//!
//! A record that was written outlives the process, even if the sync that is to cover it never ends. So a sync that stalls must not
//! hold back writes.

use std::sync::mpsc::{channel, Sender};
use std::thread::{Builder, JoinHandle};
use std::time::Instant;

use super::{Command, Writer, MIN_SYNC_RETRY_DELAY};
use crate::error::{AppendError, FileError, OpenError};
use crate::folder::Folder;
use crate::options::Options;
use crate::planted::PlantedFault;
use crate::segment::{Position, SegmentSync, SyncPoint};
use crate::statistics::add;

/// A sync that has ended, and how.
pub struct EndedSync {
    sync: SegmentSync,
    result: Result<(), FileError>,
}

impl EndedSync {
    fn run(sync: SegmentSync, options: &Options) -> EndedSync {
        let result = sync.run(options);
        EndedSync { sync, result }
    }
}

/// The thread that runs syncs. It ends when this is dropped.
pub(super) struct SyncThread {
    syncs: Option<Sender<SegmentSync>>,
    thread: Option<JoinHandle<()>>,
    /// A sync was handed over and has not ended.
    is_running: bool,
}

impl SyncThread {
    /// Starts the thread, which tells the writer of each sync that has ended.
    pub fn start(options: &Options, writer: &Sender<Command>) -> Result<SyncThread, OpenError> {
        let (syncs, begun) = channel::<SegmentSync>();
        let (options, writer) = (options.clone(), writer.clone());
        let run = move || {
            for sync in begun {
                // Fails only where the writer has ended.
                let _ = writer.send(Command::SyncEnded(EndedSync::run(sync, &options)));
            }
        };
        let thread = Builder::new().name("wal-sync".into()).spawn(run).map_err(OpenError::SpawnWriter)?;
        Ok(SyncThread { syncs: Some(syncs), thread: Some(thread), is_running: false })
    }

    /// Whether a sync has not ended yet.
    pub fn is_running(&self) -> bool {
        self.is_running
    }

    fn run(&mut self, sync: SegmentSync) {
        let syncs = self.syncs.as_ref().expect("the thread runs until this is dropped");
        self.is_running = syncs.send(sync).is_ok();
    }
}

impl Drop for SyncThread {
    fn drop(&mut self) {
        self.syncs = None;
        if let Some(thread) = self.thread.take() {
            // A panic there has been reported by its thread.
            let _ = thread.join();
        }
    }
}

/// An append that has been written or refused, and is answered once all before it are.
pub(super) struct UnansweredAppend {
    pub ticket: u64,
    /// How it is answered, unless a sync fails before.
    pub result: Result<(), AppendError>,
    /// Where the segment ended before the group of this append was written.
    pub start: Position,
    /// What has to be synced before the answer.
    pub needs: SyncPoint,
}

impl<D: Fn(u64, Result<(), AppendError>)> Writer<D> {
    /// Answers, in their order, all appends that wait for nothing any more.
    pub(super) fn answer_appends(&mut self) {
        let log = &self.folder.log;
        while self.unanswered.front().is_some_and(|append| log.is_synced_to(append.needs)) {
            let Some(append) = self.unanswered.pop_front() else { return };
            (self.on_result)(append.ticket, append.result);
        }
    }

    /// Begins a sync if an append waits for one, or if unsynced records are due, unless one is running.
    pub(super) fn begin_sync_if_due(&mut self) {
        let is_due = self.sync_deadline.is_some_and(|deadline| deadline <= Instant::now());
        if self.syncs.is_running() || !is_due && self.unanswered.is_empty() {
            return;
        }
        // A failure has been logged and counted, and the sync is due again.
        if let Ok(Some(sync)) = self.begin_sync() {
            self.syncs.run(sync);
        }
    }

    /// Syncs all that was written and answers all appends. Nothing is written until this returns.
    pub(super) fn sync_and_wait(&mut self) -> Result<(), FileError> {
        self.wait_for_running_sync();
        let Some(sync) = self.begin_sync()? else { return Ok(()) };
        let ended = EndedSync::run(sync, &self.folder.options);
        let result = ended.result.clone();
        self.sync_ended(ended);
        result
    }

    /// Waits for the sync that is running, if one is, and keeps what else arrives.
    pub(super) fn wait_for_running_sync(&mut self) {
        while self.syncs.is_running() {
            match self.commands.recv() {
                Ok(Command::SyncEnded(ended)) => self.sync_ended(ended),
                Ok(command) => self.backlog.push_back(command),
                Err(_) => return,
            }
        }
    }

    /// The sync that is to be run now; `None` where nothing has to be synced.
    fn begin_sync(&mut self) -> Result<Option<SegmentSync>, FileError> {
        let Folder { path, options, log, .. } = &mut self.folder;
        let sync = match log.begin_sync(path, options) {
            Ok(sync) => sync,
            Err(error) => {
                self.sync_failed(&error);
                return Err(error);
            }
        };
        self.sync_deadline = None;
        if sync.is_none() {
            self.answer_appends();
        }
        Ok(sync)
    }

    /// Takes in how a sync has ended, and answers the appends that waited for it.
    pub(super) fn sync_ended(&mut self, ended: EndedSync) {
        self.syncs.is_running = false;
        let Folder { options, log, .. } = &mut self.folder;
        log.end_sync(&ended.sync, ended.result.is_ok(), options);
        match ended.result {
            Ok(()) => {
                add(&self.counters.syncs, 1);
                self.answer_appends();
            }
            Err(error) => self.sync_failed(&error),
        }
    }

    /// Takes back all that was not answered, also what was written while the sync ran, and answers it with the error. A sync is due
    /// again later.
    fn sync_failed(&mut self, error: &FileError) {
        tracing::warn!(%error, "a sync failed");
        add(&self.counters.failures, 1);
        let Folder { options, log, .. } = &mut self.folder;
        let delay = options.max_sync_delay.max(MIN_SYNC_RETRY_DELAY);
        self.sync_deadline = Some(Instant::now() + delay);
        let start = self.unanswered.front().map(|append| append.start);
        if let Some(start) = start.filter(|start| log.end.bytes > start.bytes) {
            log.truncate_to(start, options);
        }
        for append in self.unanswered.drain(..) {
            let result = append.result.and(Err(AppendError::from_sync(error.clone())));
            (self.on_result)(append.ticket, result);
        }
    }

    /// What has to be synced before an append is answered that was written just now.
    pub(super) fn needed_sync(&self, is_sync_wanted: bool) -> SyncPoint {
        if is_sync_wanted && !self.folder.options.has_planted(PlantedFault::EarlyAnswer) {
            self.folder.log.sync_point()
        } else {
            SyncPoint::default()
        }
    }
}
