//! A state machine of keys, folders that are removed, and a log that waits for its results.

// Each file of tests uses a part of it.
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
/// The first segment of a folder.
pub const LOG: &str = "log-0000000001";

/// All steps of a checkpoint, with those of the segment that it begins.
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

/// Of records KEY=VALUE the last of each key; KEY= alone removes it.
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

/// What these records amount to.
pub fn keys(records: &[&str]) -> Keys {
    let mut keys = Keys::default();
    records.iter().for_each(|record| keys.apply(record.as_bytes()));
    keys
}

/// A path that nobody else has; what is there is removed when this is dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    /// Nothing is there yet.
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

    /// The state that an opening finds. It is closed again when this returns.
    pub fn recover(&self) -> Result<Keys, OpenError> {
        Wal::open(&self.0, options(), |_, _| {}).map(|(_, state)| state)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The names of a folder and the bytes behind each; a file that is removed meanwhile is none of them.
pub fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).unwrap().map(Result::unwrap);
    entries
        .filter_map(|entry| Some((entry.file_name().into_string().unwrap(), fs::read(entry.path()).ok()?)))
        .collect()
}

/// No sync but those that are asked for.
pub fn options() -> Options {
    Options { max_sync_delay: Duration::from_secs(3600), ..Options::new("keys") }
}

pub fn hooked(hook: impl Fn(Step) -> io::Result<()> + Send + Sync + 'static) -> Options {
    Options { step_hook: Some(Arc::new(hook)), ..options() }
}

/// A hook that says each time that a step was reached.
pub fn signal_at(wanted: Step) -> (impl Fn(Step) -> io::Result<()> + Send + Sync, Receiver<()>) {
    let (sender, signals) = channel();
    let sender = Mutex::new(sender);
    let hook = move |step| {
        if step == wanted {
            let _ = sender.lock().unwrap().send(());
        }
        Ok(())
    };
    (hook, signals)
}

/// An open log, and the results of its appends.
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

    /// Appends without waiting for the result.
    pub fn queue(&mut self, records: &[&str], sync: bool) {
        self.last_ticket += 1;
        let records = records.iter().map(|record| record.as_bytes().to_vec()).collect();
        self.wal.append(self.last_ticket, records, sync);
    }

    pub fn next_result(&self) -> (u64, Result<(), AppendError>) {
        self.results.recv_timeout(TIMEOUT).unwrap()
    }

    /// Whether a result has come; it is gone then.
    pub fn has_result(&self) -> bool {
        self.results.try_recv().is_ok()
    }

    /// Appends, and waits for the result.
    pub fn append(&mut self, records: &[&str], sync: bool) -> Result<(), AppendError> {
        self.queue(records, sync);
        let (ticket, result) = self.next_result();
        assert_eq!(ticket, self.last_ticket);
        result
    }
}

/// Appends, all in one segment until its limit is reached, then more while the checkpoint runs. The log, and the state of all.
pub fn through_a_checkpoint(
    folder: &TemporaryFolder,
    hook: impl Fn(Step) -> io::Result<()> + Send + Sync + 'static,
) -> (TestLog, Keys) {
    let (signal, checkpoint_ended) = signal_at(Step::CheckpointEnded);
    let hook = move |step| signal(step).and_then(|()| hook(step));
    let options = Options { checkpoint_after_bytes: 2000, ..hooked(hook) };
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
