//! Test support: a state machine of keys and values, temporary folders, and a log whose results the test can wait for.

// Each test binary uses only some of these items.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stileroute_wal::{AppendError, OpenError, Options, StateMachine, Step, Wal};

pub const TIMEOUT: Duration = Duration::from_secs(20);
/// File name of the first segment of a folder.
pub const LOG: &str = "log-0000000001";

/// All steps of a checkpoint, including those of the segment that is created for it.
pub const CHECKPOINT_STEPS: [Step; 9] = [
    Step::CreateSegment,
    Step::RenameSegment,
    Step::SyncFolderAfterSegment,
    Step::ReadForCheckpoint,
    Step::WriteSnapshot,
    Step::SyncSnapshot,
    Step::RenameSnapshot,
    Step::SyncFolderAfterSnapshot,
    Step::RemoveCovered,
];

/// A state machine for records of the form KEY=VALUE. It stores the last value of each key; a record KEY= removes the
/// key.
#[derive(Default, Debug, PartialEq, Clone)]
pub struct Keys(pub BTreeMap<String, String>);

impl StateMachine for Keys {
    fn apply(&mut self, record: &[u8]) {
        let text = std::str::from_utf8(record).expect("text");
        let (key, value) = text.split_once('=').expect("a key");
        self.0.remove(key);
        if !value.is_empty() {
            self.0.insert(key.into(), value.into());
        }
    }

    fn snapshot(&self, out: &mut dyn FnMut(&[u8])) {
        self.0.iter().for_each(|(key, value)| out(format!("{key}={value}").as_bytes()));
    }
}

/// Returns the state that the given records build.
pub fn keys(records: &[&str]) -> Keys {
    let mut keys = Keys::default();
    records.iter().for_each(|record| keys.apply(record.as_bytes()));
    keys
}

/// A unique temporary path. The folder at this path is removed when the value is dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    /// Returns a new path without creating a folder there.
    pub fn new() -> TemporaryFolder {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let name = format!("wal-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        TemporaryFolder(std::env::temp_dir().join(name))
    }

    pub fn copy_of(folder: &Path) -> TemporaryFolder {
        let copy = TemporaryFolder::new();
        fs::create_dir_all(&copy.0).unwrap();
        for (name, bytes) in files(folder) {
            fs::write(copy.0.join(name), bytes).unwrap();
        }
        copy
    }

    pub fn copy(&self) -> TemporaryFolder {
        TemporaryFolder::copy_of(&self.0)
    }

    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        files(&self.0)
    }

    pub fn edit(&self, name: &str, edit: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = fs::read(self.0.join(name)).unwrap();
        edit(&mut bytes);
        fs::write(self.0.join(name), bytes).unwrap();
    }

    /// Opens the log, closes it again, and returns the recovered state.
    pub fn recover(&self) -> Result<Keys, OpenError> {
        Wal::open(&self.0, options(), |_, _| {}).map(|(_, state)| state)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns the files of a folder, as a map from each file name to the file's bytes. Files that are removed during the
/// listing are left out.
pub fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).unwrap().map(Result::unwrap);
    entries
        .filter_map(|entry| Some((entry.file_name().into_string().unwrap(), fs::read(entry.path()).ok()?)))
        .collect()
}

/// Options with which records are synced only on request, because the maximum sync delay is one hour (3600 s).
pub fn options() -> Options {
    Options { max_sync_delay: Duration::from_secs(3600), ..Options::new("keys") }
}

pub fn hook_options(hook: impl Fn(Step) -> io::Result<()> + Send + Sync + 'static) -> Options {
    Options { step_hook: Some(Arc::new(hook)), ..options() }
}

/// Returns a hook, and a receiver that gets a signal each time the given step is reached.
pub fn signal_at(expected_step: Step) -> (impl Fn(Step) -> io::Result<()> + Send + Sync, Receiver<()>) {
    let (sender, signals) = channel();
    let sender = Mutex::new(sender);
    let hook = move |step| {
        if step == expected_step {
            let _ = sender.lock().unwrap().send(());
        }
        Ok(())
    };
    (hook, signals)
}

/// An open log, with the results of its appends.
pub struct TestLog {
    pub wal: Wal,
    pub results: Receiver<(u64, Result<(), AppendError>)>,
    last_ticket: u64,
}

impl TestLog {
    pub fn open(folder: &Path, options: Options) -> (TestLog, Keys) {
        let (sender, results) = channel();
        let on_result = move |ticket, result| sender.send((ticket, result)).unwrap();
        let (wal, state) = Wal::open(folder, options, on_result).unwrap();
        (TestLog { wal, results, last_ticket: 0 }, state)
    }

    /// Queues an append without waiting for its result.
    pub fn queue(&mut self, records: &[&str], sync: bool) {
        self.last_ticket += 1;
        let records = records.iter().map(|record| record.as_bytes().to_vec()).collect();
        self.wal.append(self.last_ticket, records, sync);
    }

    pub fn next_result(&self) -> (u64, Result<(), AppendError>) {
        self.results.recv_timeout(TIMEOUT).unwrap()
    }

    /// Whether the result of an append has arrived. If so, this consumes it.
    pub fn has_result(&self) -> bool {
        self.results.try_recv().is_ok()
    }

    /// Appends records and waits for the result.
    pub fn append(&mut self, records: &[&str], sync: bool) -> Result<(), AppendError> {
        self.queue(records, sync);
        let (ticket, result) = self.next_result();
        assert_eq!(ticket, self.last_ticket);
        result
    }
}

/// Makes 100 appends. The first segment reaches its size limit of 2000 bytes before append 50, more appends are made
/// while the checkpoint runs, and after append 50 the function waits until the checkpoint has ended. Returns the log,
/// and the state that all records build.
pub fn append_through_checkpoint(
    folder: &TemporaryFolder,
    hook: impl Fn(Step) -> io::Result<()> + Send + Sync + 'static,
) -> (TestLog, Keys) {
    let (signal, checkpoint_ended) = signal_at(Step::CheckpointEnded);
    let hook = move |step| signal(step).and_then(|()| hook(step));
    let options = Options { checkpoint_after_bytes: 2000, ..hook_options(hook) };
    let (mut log, mut state) = TestLog::open(&folder.0, options);
    for n in 0..100 {
        let records = [format!("key{}={n}", n % 10), format!("gone={n}"), "gone=".into()];
        let records: Vec<&str> = records.iter().map(String::as_str).collect();
        log.append(&records, n % 3 == 0).unwrap();
        records.iter().for_each(|record| state.apply(record.as_bytes()));
        if n == 50 {
            checkpoint_ended.recv_timeout(TIMEOUT).unwrap();
        }
    }
    (log, state)
}
