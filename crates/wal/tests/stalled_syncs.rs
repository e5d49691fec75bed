//! What is appended while a sync runs: it is written at once, so that it outlives the process, and answered after a sync that
//! began when it was written.

mod support;

use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

use assert_matches::assert_matches;
use stileroute_wal::{AppendError, Operation, Options, Step};
use support::{hooked, keys, signal_at, TemporaryFolder, TestLog, TIMEOUT};

/// A log whose syncs end only when the test says so, each as it says.
struct StalledLog {
    /// Dropped before the log, which waits for its syncs.
    sync_may_end: Sender<io::Result<()>>,
    log: TestLog,
    folder: TemporaryFolder,
    sync_began: Receiver<()>,
    checkpoint_ended: Receiver<()>,
    written: Receiver<Vec<u8>>,
}

impl StalledLog {
    fn open(options: impl FnOnce(Options) -> Options) -> StalledLog {
        let folder = TemporaryFolder::new();
        let (began, sync_began) = channel();
        let (sync_may_end, may_end) = channel::<io::Result<()>>();
        let (began, may_end) = (Mutex::new(began), Mutex::new(may_end));
        let (signal, checkpoint_ended) = signal_at(Step::CheckpointEnded);
        let hook = move |step| {
            if step != Step::SyncSegment {
                return signal(step);
            }
            let _ = began.lock().unwrap().send(());
            // Without a test that waits for it a sync succeeds.
            may_end.lock().unwrap().recv().unwrap_or(Ok(()))
        };
        let (writes, written) = channel();
        let writes = Mutex::new(writes);
        let observer = move |operation| {
            if let Operation::Written { bytes, .. } = operation {
                let _ = writes.lock().unwrap().send(bytes);
            }
        };
        let options = options(Options { operation_observer: Some(Arc::new(observer)), ..hooked(hook) });
        let (log, _) = TestLog::open(&folder.0, options);
        StalledLog { sync_may_end, log, folder, sync_began, checkpoint_ended, written }
    }

    /// Appends with sync, and waits until the sync has begun.
    fn stall_behind(&mut self, record: &str) {
        self.log.queue(&[record], true);
        self.sync_began.recv_timeout(TIMEOUT).unwrap();
    }

    /// Waits until a record is in the file.
    fn wait_until_written(&self, record: &str) {
        let is_in = |bytes: &[u8]| bytes.windows(record.len()).any(|window| window == record.as_bytes());
        while !is_in(&self.written.recv_timeout(TIMEOUT).unwrap()) {}
    }
}

/// Guards against ends that wait in memory behind a stalled sync: a process that was killed then ran their messages again.
#[test]
fn what_is_appended_while_a_sync_stalls_outlives_the_process() {
    let mut stalled = StalledLog::open(|options| options);
    stalled.stall_behind("a=1");
    stalled.log.queue(&["b=2"], false);
    stalled.log.queue(&["c=3"], true);
    stalled.wait_until_written("c=3");
    assert_eq!(stalled.folder.copy().recover().unwrap(), keys(&["a=1", "b=2", "c=3"]));
    assert!(!stalled.log.has_result(), "answered before its sync");

    stalled.sync_may_end.send(Ok(())).unwrap();
    assert_matches!(stalled.log.next_result(), (1, Ok(())));
    assert_matches!(stalled.log.next_result(), (2, Ok(())));
    // The third was written while the first sync ran, which promises nothing for it.
    stalled.sync_began.recv_timeout(TIMEOUT).unwrap();
    assert!(!stalled.log.has_result(), "answered by a sync that began before it was written");
    stalled.sync_may_end.send(Ok(())).unwrap();
    assert_matches!(stalled.log.next_result(), (3, Ok(())));
    assert_eq!(stalled.log.wal.statistics().syncs, 2);
}

#[test]
fn a_failed_sync_takes_back_all_that_was_not_answered_and_nothing_else() {
    let mut stalled = StalledLog::open(|options| options);
    stalled.log.append(&["answered=1"], false).unwrap();
    stalled.stall_behind("a=1");
    stalled.log.queue(&["b=2"], false);
    stalled.log.queue(&["c=3"], true);
    stalled.wait_until_written("c=3");
    stalled.sync_may_end.send(Err(io::Error::from_raw_os_error(5))).unwrap();
    for ticket in 2..=4 {
        let (answered, result) = stalled.log.next_result();
        assert_eq!(answered, ticket);
        assert_matches!(result, Err(AppendError::Sync(_)));
    }
    assert_eq!(stalled.folder.copy().recover().unwrap(), keys(&["answered=1"]));

    stalled.stall_behind("d=4");
    stalled.sync_may_end.send(Ok(())).unwrap();
    assert_matches!(stalled.log.next_result(), (5, Ok(())));
    assert_eq!(stalled.log.wal.statistics().failures, 1);
    drop(stalled.log);
    assert_eq!(stalled.folder.recover().unwrap(), keys(&["answered=1", "d=4"]));
}

#[test]
fn a_failed_write_while_a_sync_runs_takes_back_that_write_alone() {
    let failing = Arc::new(Mutex::new(false));
    let failing_in_hook = failing.clone();
    let mut stalled = StalledLog::open(|options| {
        let stall = options.step_hook.clone().unwrap();
        let hook = move |step| match step {
            Step::WriteEntries if *failing_in_hook.lock().unwrap() => Err(io::Error::from_raw_os_error(28)),
            step => stall(step),
        };
        Options { step_hook: Some(Arc::new(hook)), ..options }
    });
    stalled.stall_behind("a=1");
    *failing.lock().unwrap() = true;
    stalled.log.queue(&["b=2"], true);
    // A failed write leaves half of its bytes, which are cut off again.
    stalled.written.recv_timeout(TIMEOUT).unwrap();
    stalled.sync_may_end.send(Ok(())).unwrap();
    assert_matches!(stalled.log.next_result(), (1, Ok(())));
    assert_matches!(stalled.log.next_result(), (2, Err(AppendError::DiskFull)));
    *failing.lock().unwrap() = false;
    stalled.stall_behind("c=3");
    stalled.sync_may_end.send(Ok(())).unwrap();
    assert_matches!(stalled.log.next_result(), (3, Ok(())));
    drop(stalled.log);
    assert_eq!(stalled.folder.recover().unwrap(), keys(&["a=1", "c=3"]));
}

#[test]
fn closing_while_a_sync_stalls_answers_and_syncs_all() {
    let mut stalled = StalledLog::open(|options| options);
    stalled.stall_behind("a=1");
    stalled.log.queue(&["b=2"], true);
    stalled.log.queue(&["c=3"], false);
    // Both syncs may end as they come.
    stalled.sync_may_end.send(Ok(())).unwrap();
    stalled.sync_may_end.send(Ok(())).unwrap();
    drop(stalled.sync_may_end);
    let StalledLog { log, folder, .. } = stalled;
    let TestLog { wal, results, .. } = log;
    wal.close();
    let answered: Vec<u64> =
        results.iter().filter(|(_, result)| result.is_ok()).map(|(ticket, _)| ticket).collect();
    assert_eq!(answered, [1, 2, 3]);
    assert_eq!(folder.recover().unwrap(), keys(&["a=1", "b=2", "c=3"]));
}

#[test]
fn a_segment_that_is_due_while_a_sync_stalls_is_closed_once_all_of_it_is_synced() {
    let mut stalled = StalledLog::open(|options| Options { checkpoint_after_bytes: 1000, ..options });
    let records: Vec<String> = (0..40).map(|n| format!("key{n}={}", "x".repeat(100))).collect();
    stalled.stall_behind(&records[0]);
    for (n, record) in records.iter().enumerate().skip(1) {
        stalled.log.queue(&[record], n % 2 == 0);
    }
    stalled.wait_until_written(&records[39]);
    let all: Vec<&str> = records.iter().map(String::as_str).collect();
    assert_eq!(stalled.folder.copy().recover().unwrap(), keys(&all));
    assert_eq!(stalled.folder.files().keys().filter(|name| name.starts_with("log-")).count(), 1);
    drop(stalled.sync_may_end);
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
