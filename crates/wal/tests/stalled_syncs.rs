//! Tests of appends during a running sync: they are written immediately, so that they survive the end of the process,
//! and are acknowledged only after a sync that started after they were written.

mod support;

use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

use assert_matches::assert_matches;
use stileroute_wal::{AppendError, Operation, Options, Step};
use support::{hook_options, keys, signal_at, TemporaryFolder, TestLog, TIMEOUT};

/// A log whose syncs end only when the test allows it, with the result that the test chooses.
struct StalledLog {
    /// Sends the result with which the next sync ends. It is dropped before `log`, because dropping the log waits for
    /// its syncs.
    sync_result_sender: Sender<io::Result<()>>,
    log: TestLog,
    folder: TemporaryFolder,
    sync_started: Receiver<()>,
    checkpoint_ended: Receiver<()>,
    written: Receiver<Vec<u8>>,
}

impl StalledLog {
    fn open(options: impl FnOnce(Options) -> Options) -> StalledLog {
        let folder = TemporaryFolder::new();
        let (sync_started_sender, sync_started) = channel();
        let (sync_result_sender, sync_results) = channel::<io::Result<()>>();
        let (sync_started_sender, sync_results) = (Mutex::new(sync_started_sender), Mutex::new(sync_results));
        let (signal, checkpoint_ended) = signal_at(Step::CheckpointEnded);
        let hook = move |step| {
            if step != Step::SyncSegment {
                return signal(step);
            }
            let _ = sync_started_sender.lock().unwrap().send(());
            // After the test has dropped its sender, every sync succeeds.
            sync_results.lock().unwrap().recv().unwrap_or(Ok(()))
        };
        let (writes, written) = channel();
        let writes = Mutex::new(writes);
        let observer = move |operation| {
            if let Operation::Written { bytes, .. } = operation {
                let _ = writes.lock().unwrap().send(bytes);
            }
        };
        let options = options(Options { operation_observer: Some(Arc::new(observer)), ..hook_options(hook) });
        let (log, _) = TestLog::open(&folder.0, options);
        StalledLog { sync_result_sender, log, folder, sync_started, checkpoint_ended, written }
    }

    /// Appends a record with sync, and waits until the sync has started.
    fn append_and_stall(&mut self, record: &str) {
        self.log.queue(&[record], true);
        self.sync_started.recv_timeout(TIMEOUT).unwrap();
    }

    /// Waits until a record has been written to the segment.
    fn wait_until_written(&self, record: &str) {
        let contains_record =
            |bytes: &[u8]| bytes.windows(record.len()).any(|window| window == record.as_bytes());
        while !contains_record(&self.written.recv_timeout(TIMEOUT).unwrap()) {}
    }
}

/// Guards against records of finished messages that wait in memory behind a stalled sync: after the process was
/// killed, these messages were run again.
#[test]
fn appends_during_a_stalled_sync_survive_the_end_of_the_process() {
    let mut stalled = StalledLog::open(|options| options);
    stalled.append_and_stall("a=1");
    stalled.log.queue(&["b=2"], false);
    stalled.log.queue(&["c=3"], true);
    stalled.wait_until_written("c=3");
    assert_eq!(stalled.folder.copy().recover().unwrap(), keys(&["a=1", "b=2", "c=3"]));
    assert!(!stalled.log.has_result(), "acknowledged before its sync");

    stalled.sync_result_sender.send(Ok(())).unwrap();
    assert_matches!(stalled.log.next_result(), (1, Ok(())));
    assert_matches!(stalled.log.next_result(), (2, Ok(())));
    // The third append was written while the first sync was running, so this sync does not make it durable.
    stalled.sync_started.recv_timeout(TIMEOUT).unwrap();
    assert!(!stalled.log.has_result(), "acknowledged by a sync that started before the record was written");
    stalled.sync_result_sender.send(Ok(())).unwrap();
    assert_matches!(stalled.log.next_result(), (3, Ok(())));
    assert_eq!(stalled.log.wal.statistics().syncs, 2);
}

#[test]
fn a_failed_sync_removes_exactly_the_appends_without_a_reported_result() {
    let mut stalled = StalledLog::open(|options| options);
    stalled.log.append(&["answered=1"], false).unwrap();
    stalled.append_and_stall("a=1");
    stalled.log.queue(&["b=2"], false);
    stalled.log.queue(&["c=3"], true);
    stalled.wait_until_written("c=3");
    stalled.sync_result_sender.send(Err(io::Error::from_raw_os_error(5))).unwrap();
    for ticket in 2..=4 {
        let (answered, result) = stalled.log.next_result();
        assert_eq!(answered, ticket);
        assert_matches!(result, Err(AppendError::Sync(_)));
    }
    assert_eq!(stalled.folder.copy().recover().unwrap(), keys(&["answered=1"]));

    stalled.append_and_stall("d=4");
    stalled.sync_result_sender.send(Ok(())).unwrap();
    assert_matches!(stalled.log.next_result(), (5, Ok(())));
    assert_eq!(stalled.log.wal.statistics().failures, 1);
    drop(stalled.log);
    assert_eq!(stalled.folder.recover().unwrap(), keys(&["answered=1", "d=4"]));
}

#[test]
fn a_failed_write_during_a_sync_removes_only_that_write() {
    let failing = Arc::new(Mutex::new(false));
    let hook_failing = failing.clone();
    let mut stalled = StalledLog::open(|options| {
        let stall = options.step_hook.clone().unwrap();
        let hook = move |step| match step {
            Step::WriteEntries if *hook_failing.lock().unwrap() => Err(io::Error::from_raw_os_error(28)),
            step => stall(step),
        };
        Options { step_hook: Some(Arc::new(hook)), ..options }
    });
    stalled.append_and_stall("a=1");
    *failing.lock().unwrap() = true;
    stalled.log.queue(&["b=2"], true);
    // A failed write leaves half of its bytes in the segment, which are then truncated.
    stalled.written.recv_timeout(TIMEOUT).unwrap();
    stalled.sync_result_sender.send(Ok(())).unwrap();
    assert_matches!(stalled.log.next_result(), (1, Ok(())));
    assert_matches!(stalled.log.next_result(), (2, Err(AppendError::DiskFull)));
    *failing.lock().unwrap() = false;
    stalled.append_and_stall("c=3");
    stalled.sync_result_sender.send(Ok(())).unwrap();
    assert_matches!(stalled.log.next_result(), (3, Ok(())));
    drop(stalled.log);
    assert_eq!(stalled.folder.recover().unwrap(), keys(&["a=1", "c=3"]));
}

#[test]
fn closing_during_a_stalled_sync_acknowledges_and_syncs_all_appends() {
    let mut stalled = StalledLog::open(|options| options);
    stalled.append_and_stall("a=1");
    stalled.log.queue(&["b=2"], true);
    stalled.log.queue(&["c=3"], false);
    // Allows the running sync and the next one to end as soon as they start.
    stalled.sync_result_sender.send(Ok(())).unwrap();
    stalled.sync_result_sender.send(Ok(())).unwrap();
    drop(stalled.sync_result_sender);
    let StalledLog { log, folder, .. } = stalled;
    let TestLog { wal, results, .. } = log;
    wal.close();
    let answered: Vec<u64> =
        results.iter().filter(|(_, result)| result.is_ok()).map(|(ticket, _)| ticket).collect();
    assert_eq!(answered, [1, 2, 3]);
    assert_eq!(folder.recover().unwrap(), keys(&["a=1", "b=2", "c=3"]));
}

#[test]
fn a_segment_that_is_due_during_a_stalled_sync_is_closed_once_all_of_it_is_synced() {
    let mut stalled = StalledLog::open(|options| Options { checkpoint_after_bytes: 1000, ..options });
    let records: Vec<String> = (0..40).map(|n| format!("key{n}={}", "x".repeat(100))).collect();
    stalled.append_and_stall(&records[0]);
    for (n, record) in records.iter().enumerate().skip(1) {
        stalled.log.queue(&[record], n % 2 == 0);
    }
    stalled.wait_until_written(&records[39]);
    let all: Vec<&str> = records.iter().map(String::as_str).collect();
    assert_eq!(stalled.folder.copy().recover().unwrap(), keys(&all));
    assert_eq!(stalled.folder.files().keys().filter(|name| name.starts_with("log-")).count(), 1);
    drop(stalled.sync_result_sender);
    for ticket in 1..=40 {
        let (answered, result) = stalled.log.next_result();
        assert_eq!(answered, ticket);
        assert_matches!(result, Ok(()));
    }
    stalled.log.append(&["after=1"], true).unwrap();
    stalled.checkpoint_ended.recv_timeout(TIMEOUT).unwrap();
    stalled.log.wal.close();
    let expected: Vec<&str> = all.iter().copied().chain(["after=1"]).collect();
    assert_eq!(stalled.folder.recover().unwrap(), keys(&expected));
    assert!(!stalled.folder.files().contains_key(support::LOG), "the first segment was not closed");
}
