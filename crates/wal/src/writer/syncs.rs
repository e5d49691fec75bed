//! Syncs of the segment. A separate thread runs them, so that the writer can continue writing during a sync. The
//! results of appends are reported in order, once a sync that covers them has ended.
//!
//! A record that was written survives the end of the process even if the sync that should cover it never ends. A
//! stalled sync must therefore not delay writes.

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

/// A sync that has ended, with its result.
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

/// The thread that runs syncs. It ends when this handle is dropped.
pub(super) struct SyncThread {
    syncs: Option<Sender<SegmentSync>>,
    thread: Option<JoinHandle<()>>,
    /// Whether a sync was passed to the thread and its end has not been processed yet.
    is_running: bool,
}

impl SyncThread {
    /// Starts the sync thread, which notifies the writer of each sync that has ended.
    pub fn start(options: &Options, writer: &Sender<Command>) -> Result<SyncThread, OpenError> {
        let (syncs, queued_syncs) = channel::<SegmentSync>();
        let (options, writer) = (options.clone(), writer.clone());
        let run = move || {
            for sync in queued_syncs {
                // Sending fails only if the writer has already ended.
                let _ = writer.send(Command::SyncEnded(EndedSync::run(sync, &options)));
            }
        };
        let thread = Builder::new().name("wal-sync".into()).spawn(run).map_err(OpenError::SpawnWriter)?;
        Ok(SyncThread { syncs: Some(syncs), thread: Some(thread), is_running: false })
    }

    /// Whether a sync is running.
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
            // A panic of the joined thread has already been reported by that thread.
            let _ = thread.join();
        }
    }
}

/// An append that has been written or rejected. Its result is reported after those of all earlier appends.
pub(super) struct PendingAppend {
    pub ticket: u64,
    /// Result that is reported for the append, unless a sync fails before.
    pub result: Result<(), AppendError>,
    /// Position in the segment at which the entry of this append starts, or would start.
    pub start: Position,
    /// Sync point that has to be durable before the result is reported.
    pub required_sync: SyncPoint,
}

impl<D: Fn(u64, Result<(), AppendError>)> Writer<D> {
    /// Reports, in order, the results of all appends that no longer wait for a sync.
    pub(super) fn report_results(&mut self) {
        let log = &self.folder.log;
        while self.pending.front().is_some_and(|append| log.is_synced_to(append.required_sync)) {
            let Some(append) = self.pending.pop_front() else { return };
            (self.on_result)(append.ticket, append.result);
        }
    }

    /// Starts a sync if an append waits for one or unsynced records are due, unless a sync is already running.
    pub(super) fn begin_sync_if_due(&mut self) {
        let is_due = self.sync_deadline.is_some_and(|deadline| deadline <= Instant::now());
        if self.syncs.is_running() || !is_due && self.pending.is_empty() {
            return;
        }
        // A failure to start the sync has already been logged and counted, and the sync is retried later.
        if let Ok(Some(sync)) = self.begin_sync() {
            self.syncs.run(sync);
        }
    }

    /// Syncs all written entries and reports the results of all appends. Nothing is written until this returns.
    pub(super) fn sync_and_wait(&mut self) -> Result<(), FileError> {
        self.wait_for_running_sync();
        let Some(sync) = self.begin_sync()? else { return Ok(()) };
        let ended = EndedSync::run(sync, &self.folder.options);
        let result = ended.result.clone();
        self.sync_ended(ended);
        result
    }

    /// Waits for the end of the running sync, if there is one, and stores other commands that arrive meanwhile in the
    /// backlog.
    pub(super) fn wait_for_running_sync(&mut self) {
        while self.syncs.is_running() {
            match self.commands.recv() {
                Ok(Command::SyncEnded(ended)) => self.sync_ended(ended),
                Ok(command) => self.backlog.push_back(command),
                Err(_) => return,
            }
        }
    }

    /// Returns the sync to run now, or `None` if everything is already synced.
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
            self.report_results();
        }
        Ok(sync)
    }

    /// Processes the end of a sync, and reports the results of the appends that waited for it.
    pub(super) fn sync_ended(&mut self, ended: EndedSync) {
        self.syncs.is_running = false;
        let Folder { options, log, .. } = &mut self.folder;
        log.end_sync(&ended.sync, ended.result.is_ok(), options);
        match ended.result {
            Ok(()) => {
                add(&self.counters.syncs, 1);
                self.report_results();
            }
            Err(error) => self.sync_failed(&error),
        }
    }

    /// Removes all entries whose results have not been reported, including those written during the sync, and reports
    /// the error for them. Another sync becomes due later.
    fn sync_failed(&mut self, error: &FileError) {
        tracing::warn!(%error, "sync failed; entries that were not acknowledged are removed");
        add(&self.counters.failures, 1);
        let Folder { options, log, .. } = &mut self.folder;
        let delay = options.max_sync_delay.max(MIN_SYNC_RETRY_DELAY);
        self.sync_deadline = Some(Instant::now() + delay);
        let start = self.pending.front().map(|append| append.start);
        if let Some(start) = start.filter(|start| log.end.bytes > start.bytes) {
            log.truncate_to(start, options);
        }
        for append in self.pending.drain(..) {
            let result = append.result.and(Err(AppendError::from_sync(error.clone())));
            (self.on_result)(append.ticket, result);
        }
    }

    /// Returns the sync point that must be durable before the result of the append that was just written is reported.
    pub(super) fn required_sync(&self, is_sync_wanted: bool) -> SyncPoint {
        if is_sync_wanted && !self.folder.options.has_planted(PlantedFault::AcknowledgedBeforeSync) {
            self.folder.log.sync_point()
        } else {
            SyncPoint::default()
        }
    }
}
