//! Tests of the results of appends: their order, the syncs that they wait for, and the appends that are rejected or
//! fail.

mod support;

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use assert_matches::assert_matches;
use stileroute_wal::{AppendError, Options, StateMachine, Statistics, Step, MAX_RECORD_BYTES};
use support::{hook_options, keys, options, signal_at, TemporaryFolder, TestLog, LOG, TIMEOUT};

#[test]
fn results_come_in_order_and_queued_appends_share_one_sync() {
    let folder = TemporaryFolder::new();
    let write_gate = Arc::new(Mutex::new(()));
    let (sender, write_started) = channel();
    let (hook_gate, sender) = (write_gate.clone(), Mutex::new(sender));
    let (mut log, _) = TestLog::open(
        &folder.0,
        hook_options(move |step| {
            if step == Step::WriteEntries {
                sender.lock().unwrap().send(()).unwrap();
                drop(hook_gate.lock().unwrap());
            }
            Ok(())
        }),
    );
    let write_block = write_gate.lock().unwrap();
    log.queue(&["a=1"], true);
    write_started.recv().unwrap();
    (0..20).for_each(|n| log.queue(&[&format!("n{n}=1")], n % 2 == 0));
    log.queue(&[&format!("big={}", "x".repeat(MAX_RECORD_BYTES - 3))], true);
    log.queue(&[], true);
    drop(write_block);
    for ticket in 1..=23 {
        let (answered, result) = log.next_result();
        assert_eq!(answered, ticket);
        assert_eq!(matches!(result, Err(AppendError::RecordTooLarge { .. })), ticket == 22, "{result:?}");
    }
    assert_matches!(log.wal.statistics(), Statistics { records: 21, syncs: 2, failures: 0, .. });
}

#[test]
fn unsynced_records_are_synced_within_the_maximum_delay() {
    let folder = TemporaryFolder::new();
    let (hook, synced) = signal_at(Step::SyncSegment);
    let (mut log, _) =
        TestLog::open(&folder.0, Options { max_sync_delay: Duration::from_millis(5), ..hook_options(hook) });
    log.append(&["a=1"], false).unwrap();
    synced.recv_timeout(TIMEOUT).unwrap();
}

#[test]
fn a_failed_write_or_sync_leaves_nothing_and_the_next_append_succeeds() {
    for (step, code) in [(Step::WriteEntries, 28), (Step::WriteEntries, 5), (Step::SyncSegment, 5)] {
        let folder = TemporaryFolder::new();
        let failing = Arc::new(AtomicU64::new(0));
        let hook_failing = failing.clone();
        let (mut log, _) = TestLog::open(
            &folder.0,
            hook_options(move |current| match hook_failing.load(Ordering::Relaxed) {
                1 if current == step => Err(io::Error::from_raw_os_error(code)),
                _ => Ok(()),
            }),
        );
        log.append(&["a=1"], true).unwrap();
        log.append(&["lazy=1"], false).unwrap();
        failing.store(1, Ordering::Relaxed);
        for _ in 0..3 {
            match log.append(&["b=2", "c=3"], true).unwrap_err() {
                AppendError::DiskFull => assert_eq!(code, 28),
                AppendError::Write(_) => assert_eq!((step, code), (Step::WriteEntries, 5)),
                error => assert_matches!((step, error), (Step::SyncSegment, AppendError::Sync(_))),
            }
        }
        assert_eq!(folder.copy().recover().unwrap(), keys(&["a=1", "lazy=1"]));
        failing.store(0, Ordering::Relaxed);
        log.append(&["d=4"], true).unwrap();
        assert_eq!(log.wal.statistics().failures, 3);
        drop(log);
        assert_eq!(folder.recover().unwrap(), keys(&["a=1", "d=4", "lazy=1"]));
    }
}

/// Guards against acknowledging an append whose records were lost: after a failed sync, unsynced bytes that read back
/// differently are removed, and an append whose entry is among them must not be reported as synced.
#[test]
fn records_that_read_back_differently_after_a_failed_sync_are_not_acknowledged() {
    let folder = TemporaryFolder::new();
    let is_failing = Arc::new(AtomicBool::new(false));
    let hook_failing = is_failing.clone();
    let (mut log, _) = TestLog::open(
        &folder.0,
        hook_options(move |step| match hook_failing.load(Ordering::Relaxed) && step == Step::SyncSegment {
            true => Err(io::Error::from_raw_os_error(5)),
            false => Ok(()),
        }),
    );
    log.append(&["lost=1"], false).unwrap();
    is_failing.store(true, Ordering::Relaxed);
    assert_matches!(log.append(&["a=1"], true), Err(AppendError::Sync(_)));
    is_failing.store(false, Ordering::Relaxed);
    // Simulates a disk write that the operating system lost: all bytes after the 20-byte file header read back as
    // zeros.
    folder.edit(LOG, |bytes| bytes.iter_mut().skip(20).for_each(|byte| *byte = 0));
    let is_acknowledged = log.append(&["b=2"], true).is_ok();
    assert_eq!(folder.copy().recover().unwrap().0.contains_key("b"), is_acknowledged);
    log.append(&["c=3"], true).unwrap();
    drop(log);
    assert!(folder.recover().unwrap().0.contains_key("c"));
}

#[test]
fn a_full_disk_rejects_appends_until_a_checkpoint_frees_space() {
    let folder = TemporaryFolder::new();
    let capacity_bytes = 200_000;
    let (hook, checkpointed) = signal_at(Step::CheckpointEnded);
    let (mut log, mut all) = TestLog::open(&folder.0, Options { capacity_bytes, ..hook_options(hook) });
    let mut is_full = false;
    for n in 0..1000 {
        let record = format!("key{n}={}", "x".repeat(1000));
        match log.append(&[&record], true) {
            Ok(()) => all.apply(record.as_bytes()),
            Err(error) => {
                assert_matches!(error, AppendError::DiskFull);
                is_full = true;
                break;
            }
        }
        let used: usize = folder.files().values().map(Vec::len).sum();
        assert!(used as u64 <= capacity_bytes, "{used}");
    }
    assert!(is_full && all.0.len() > 60, "{} keys", all.0.len());
    let removals: Vec<String> = all.0.keys().map(|key| format!("{key}=")).collect();
    for removal in &removals {
        log.append(&[removal], false).unwrap();
    }
    // A rejected append triggers a checkpoint unless one is already running. Either of them may be the one that frees
    // enough space, so the loop waits for each that ends.
    while log.append(&["after=1"], true).is_err() {
        checkpointed.recv_timeout(TIMEOUT).unwrap();
    }
    drop(log);
    assert_eq!(folder.recover().unwrap(), keys(&["after=1"]));
}

#[test]
fn a_record_of_the_maximum_length_survives_a_checkpoint_and_one_byte_more_is_rejected() {
    let folder = TemporaryFolder::new();
    let (mut log, _) = TestLog::open(&folder.0, options());
    let largest = format!("a={}", "x".repeat(MAX_RECORD_BYTES - 2));
    log.append(&[&largest], true).unwrap();
    assert_matches!(log.append(&[&format!("{largest}x")], true), Err(AppendError::RecordTooLarge { bytes }) if bytes == MAX_RECORD_BYTES + 1);
    drop(log);
    let (hook, checkpointed) = signal_at(Step::CheckpointEnded);
    let (mut log, _) =
        TestLog::open(&folder.0, Options { checkpoint_after_bytes: 4 << 20, ..hook_options(hook) });
    log.append(&["b=1"], true).unwrap();
    checkpointed.recv_timeout(TIMEOUT).unwrap();
    drop(log);
    assert_eq!(folder.recover().unwrap(), keys(&[&largest, "b=1"]));
    assert!(folder.files().keys().any(|name| name.starts_with("snapshot-")));
}

#[test]
fn an_append_as_long_as_a_segment_waits_for_the_checkpoint_that_frees_space() {
    let folder = TemporaryFolder::new();
    let (release, checkpoint_may_run) = channel::<()>();
    let checkpoint_may_run = Mutex::new(checkpoint_may_run);
    let hook = move |step| {
        if step == Step::ReadForCheckpoint {
            let _ = checkpoint_may_run.lock().unwrap().recv();
        }
        Ok(())
    };
    let (mut log, _) = TestLog::open(
        &folder.0,
        Options { capacity_bytes: 8000, checkpoint_after_bytes: 1000, ..hook_options(hook) },
    );
    let large = |key: &str| format!("key={key}{}", "x".repeat(1300));
    for key in ["1", "2"] {
        log.append(&[&large(key)], true).unwrap();
    }
    // The first record is in a closed segment whose checkpoint is blocked, and the second one is in the current
    // segment. The capacity has no space for the third.
    log.queue(&[&large("3")], true);
    log.queue(&["after=1"], true);
    drop(release);
    for _ in 0..2 {
        assert_matches!(log.next_result(), (_, Ok(())));
    }
    log.wal.close();
    assert_eq!(folder.recover().unwrap(), keys(&[&large("3"), "after=1"]));
}

/// Two appends that are queued behind a stalled write form one group. The append without sync is acknowledged after
/// the write, and a failed sync of the other append may remove only that other append.
#[test]
fn a_failed_sync_keeps_acknowledged_appends_of_the_same_group() {
    let folder = TemporaryFolder::new();
    let (release, may_continue) = channel::<()>();
    let may_continue = Mutex::new(may_continue);
    let is_stalled = AtomicBool::new(true);
    let hook = move |step| match step {
        Step::WriteEntries if is_stalled.swap(false, Ordering::SeqCst) => {
            let _ = may_continue.lock().unwrap().recv();
            Ok(())
        }
        Step::SyncSegment => Err(io::Error::from_raw_os_error(5)),
        _ => Ok(()),
    };
    let (mut log, _) = TestLog::open(&folder.0, hook_options(hook));
    log.queue(&["first=1"], false);
    log.queue(&["end=1"], false);
    log.queue(&["put=2"], true);
    release.send(()).unwrap();
    let results: Vec<_> = (0..3).map(|_| log.next_result()).collect();
    assert!(results[0].1.is_ok() && results[1].1.is_ok(), "{results:?}");
    assert!(results[2].1.is_err(), "{results:?}");
    assert_eq!(folder.copy().recover().unwrap(), keys(&["end=1", "first=1"]));
}
