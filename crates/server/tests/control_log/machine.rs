//! One control node: its part in the group, and its disk log on a disk that may lose what was not synced.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stileroute_control_group::{ControlGroup, GroupSettings, Millis, PersistedState, Record};
use stileroute_wal::{AppendError, Operation, Options, StateMachine, Step, Wal};

use crate::power::{write, Disk, Files};

pub const CHECKPOINT_AFTER_BYTES: u64 = 4 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill,
    PowerLoss,
    DiskLoss,
}

/// What the records amount to, as in the control node.
#[derive(Default)]
struct ControlRecords(PersistedState);

impl StateMachine for ControlRecords {
    fn apply(&mut self, record: &[u8]) {
        self.0.apply(postcard::from_bytes(record).expect("a record"));
    }

    fn snapshot(&self, out: &mut dyn FnMut(&[u8])) {
        self.0.records().for_each(|record| out(&postcard::to_stdvec(&record).expect("encodes")));
    }
}

/// What the test learns from the disk.
#[derive(Default)]
struct DiskMonitor {
    disk: Disk,
    /// The step at which the next fault strikes.
    armed: Option<Step>,
    /// The disk as it was there.
    struck: Option<Disk>,
    /// Most bytes that the folder took, while a checkpoint has both the old and the new.
    peak: u64,
}

struct Open {
    group: ControlGroup,
    log: Wal,
    answers: Receiver<(u64, Result<(), AppendError>)>,
    checkpoints: Receiver<()>,
    rolled: Arc<AtomicBool>,
}

pub struct Machine {
    dir: PathBuf,
    monitor: Arc<Mutex<DiskMonitor>>,
    open: Option<Open>,
    pub incarnation: u64,
    /// The version on its disk.
    pub version_on_disk: u64,
    pub due: Millis,
}

impl Machine {
    pub fn new(dir: PathBuf) -> Machine {
        let _ = fs::remove_dir_all(&dir);
        Machine { dir, monitor: Arc::default(), open: None, incarnation: 0, version_on_disk: 0, due: 0 }
    }

    pub fn start(&mut self, settings: GroupSettings, now: Millis) {
        let (answer, answers) = channel();
        let (checkpointed, checkpoints) = channel();
        let checkpointed = Mutex::new(checkpointed);
        let rolled = Arc::new(AtomicBool::new(false));
        let (hook_rolled, monitor, observed) = (rolled.clone(), self.monitor.clone(), self.monitor.clone());
        let hook = move |step: Step| {
            match step {
                Step::CreateSegment => hook_rolled.store(true, Ordering::Relaxed),
                Step::CheckpointEnded => drop(checkpointed.lock().unwrap().send(())),
                _ => {}
            }
            let mut monitor = monitor.lock().unwrap();
            if matches!(step, Step::RenameSnapshot | Step::SyncFolderAfterSnapshot | Step::RemoveCovered) {
                monitor.peak = monitor.peak.max(monitor.disk.bytes());
            }
            if monitor.armed == Some(step) {
                monitor.armed = None;
                monitor.struck = Some(monitor.disk.clone());
            }
            Ok(())
        };
        let options = Options {
            checkpoint_after_bytes: CHECKPOINT_AFTER_BYTES,
            max_sync_delay: Duration::from_secs(3600),
            step_hook: Some(Arc::new(hook)),
            operation_observer: Some(Arc::new(move |operation: Operation| {
                observed.lock().unwrap().disk.apply(&operation);
            })),
            ..Options::new("watch")
        };
        let done = move |ticket, result| drop(answer.send((ticket, result)));
        let (log, records) =
            Wal::open::<ControlRecords>(&self.dir, options, done).expect("a legal start is never refused");
        // Segments that an earlier incarnation closed are folded once something is appended.
        rolled.store(self.segments() > 1, Ordering::Relaxed);
        self.version_on_disk = records.0.state.as_ref().map_or(0, |state| state.version);
        let group = ControlGroup::new(settings, records.0, now);
        self.open = Some(Open { group, log, answers, checkpoints, rolled });
        self.incarnation += 1;
    }

    pub fn group(&mut self) -> Option<&mut ControlGroup> {
        self.open.as_mut().map(|open| &mut open.group)
    }

    /// Writes and syncs, and waits for the checkpoint that follows from it, if one does.
    pub fn write(&mut self, record: &Record) {
        let Some(open) = &self.open else { return };
        let append = |records: Vec<Vec<u8>>, sync| {
            open.log.append(1, records, sync);
            let (_, result) = open.answers.recv_timeout(Duration::from_secs(20)).expect("an answer");
            result.expect("nothing is refused");
        };
        append(vec![postcard::to_stdvec(record).expect("encodes")], true);
        append(Vec::new(), false);
        while open.rolled.swap(false, Ordering::Relaxed) {
            open.checkpoints.recv_timeout(Duration::from_secs(20)).expect("the checkpoint ends");
            append(Vec::new(), false);
        }
        if let Record::ControlState(state) = record {
            self.version_on_disk = state.version;
        }
    }

    pub fn arm(&mut self, step: Option<Step>) {
        self.monitor.lock().unwrap().armed = step;
    }

    /// Whether the planned fault has struck within what was done last.
    pub fn has_struck(&self) -> bool {
        self.monitor.lock().unwrap().struck.is_some()
    }

    /// Ends the process with its disk as it was when the fault struck.
    pub fn end(&mut self, fault: Fault, draw_random: &mut dyn FnMut(u64) -> u64) {
        self.open = None;
        let mut monitor = self.monitor.lock().unwrap();
        let Some(disk) = monitor.struck.take() else { return };
        let files = match fault {
            Fault::Kill => disk.visible_files(),
            Fault::PowerLoss => disk.random_outcome(draw_random),
            Fault::DiskLoss => Files::new(),
        };
        write(&self.dir, &files);
        // A killed process leaves the system what it has not synced; power may yet be lost.
        monitor.disk = if fault == Fault::Kill { disk } else { Disk::with_durable_files(&files) };
    }

    fn segments(&self) -> usize {
        let files = fs::read_dir(&self.dir).into_iter().flatten().flatten();
        files.filter(|file| file.file_name().to_string_lossy().starts_with("log-")).count()
    }

    /// The most its disk ever took.
    pub fn peak(&self) -> u64 {
        self.monitor.lock().unwrap().peak
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.open = None;
        let _ = fs::remove_dir_all(&self.dir);
    }
}
