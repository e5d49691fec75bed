//! One control node of the simulation: its member of the control group, and its log on a simulated disk that may lose unsynced data.

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

/// The state that results from the records in the log, as the control node keeps it.
#[derive(Default)]
struct ControlRecords(PersistedState);

impl StateMachine for ControlRecords {
    fn apply(&mut self, record: &[u8]) {
        self.0.apply(postcard::from_bytes(record).expect("the record decodes"));
    }

    fn snapshot(&self, out: &mut dyn FnMut(&[u8])) {
        self.0.records().for_each(|record| out(&postcard::to_stdvec(&record).expect("encodes")));
    }
}

/// The simulated disk of a machine, and what the test observes of it.
#[derive(Default)]
struct DiskMonitor {
    disk: Disk,
    /// The step of the log at which the next fault is injected.
    armed: Option<Step>,
    /// The contents of the disk when that step was reached.
    disk_at_fault: Option<Disk>,
    /// Maximum size of the log folder, in bytes, measured during checkpoints, when the old and the new snapshot both exist.
    peak_disk_bytes: u64,
}

struct RunningNode {
    group: ControlGroup,
    log: Wal,
    answers: Receiver<(u64, Result<(), AppendError>)>,
    checkpoints: Receiver<()>,
    has_rolled: Arc<AtomicBool>,
}

pub struct Machine {
    dir: PathBuf,
    monitor: Arc<Mutex<DiskMonitor>>,
    running: Option<RunningNode>,
    pub incarnation: u64,
    /// The configuration version that is on the machine's disk.
    pub version_on_disk: u64,
    pub next_tick_at: Millis,
}

impl Machine {
    pub fn new(dir: PathBuf) -> Machine {
        let _ = fs::remove_dir_all(&dir);
        Machine {
            dir,
            monitor: Arc::default(),
            running: None,
            incarnation: 0,
            version_on_disk: 0,
            next_tick_at: 0,
        }
    }

    pub fn start(&mut self, settings: GroupSettings, now: Millis) {
        let (answer, answers) = channel();
        let (checkpointed, checkpoints) = channel();
        let checkpointed = Mutex::new(checkpointed);
        let has_rolled = Arc::new(AtomicBool::new(false));
        let (hook_has_rolled, monitor, observed) =
            (has_rolled.clone(), self.monitor.clone(), self.monitor.clone());
        let hook = move |step: Step| {
            match step {
                Step::CreateSegment => hook_has_rolled.store(true, Ordering::Relaxed),
                Step::CheckpointEnded => drop(checkpointed.lock().unwrap().send(())),
                _ => {}
            }
            let mut monitor = monitor.lock().unwrap();
            if matches!(step, Step::RenameSnapshot | Step::SyncFolderAfterSnapshot | Step::RemoveCovered) {
                monitor.peak_disk_bytes = monitor.peak_disk_bytes.max(monitor.disk.bytes());
            }
            if monitor.armed == Some(step) {
                monitor.armed = None;
                monitor.disk_at_fault = Some(monitor.disk.clone());
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
        let (log, records) = Wal::open::<ControlRecords>(&self.dir, options, done)
            .expect("the log opens after every injected fault");
        // Segments that an earlier incarnation closed are folded into a snapshot with the next append.
        has_rolled.store(self.segments() > 1, Ordering::Relaxed);
        self.version_on_disk = records.0.state.as_ref().map_or(0, |state| state.version);
        let group = ControlGroup::new(settings, records.0, now);
        self.running = Some(RunningNode { group, log, answers, checkpoints, has_rolled });
        self.incarnation += 1;
    }

    pub fn group(&mut self) -> Option<&mut ControlGroup> {
        self.running.as_mut().map(|running| &mut running.group)
    }

    /// Writes and syncs a record, and waits for the checkpoint if the write starts one.
    pub fn write(&mut self, record: &Record) {
        let Some(running) = &self.running else { return };
        let append = |records: Vec<Vec<u8>>, sync| {
            running.log.append(1, records, sync);
            let (_, result) =
                running.answers.recv_timeout(Duration::from_secs(20)).expect("the log answers within 20 s");
            result.expect("the append succeeds");
        };
        append(vec![postcard::to_stdvec(record).expect("encodes")], true);
        append(Vec::new(), false);
        while running.has_rolled.swap(false, Ordering::Relaxed) {
            running
                .checkpoints
                .recv_timeout(Duration::from_secs(20))
                .expect("the checkpoint ends within 20 s");
            append(Vec::new(), false);
        }
        if let Record::ControlState(state) = record {
            self.version_on_disk = state.version;
        }
    }

    pub fn arm(&mut self, step: Option<Step>) {
        self.monitor.lock().unwrap().armed = step;
    }

    /// Whether the last operation has reached the step of the planned fault.
    pub fn has_reached_fault(&self) -> bool {
        self.monitor.lock().unwrap().disk_at_fault.is_some()
    }

    /// Ends the process, and leaves the disk in the state that follows from the fault and the moment at which it was injected.
    pub fn end(&mut self, fault: Fault, draw_random: &mut dyn FnMut(u64) -> u64) {
        self.running = None;
        let mut monitor = self.monitor.lock().unwrap();
        let Some(disk) = monitor.disk_at_fault.take() else { return };
        let files = match fault {
            Fault::Kill => disk.visible_files(),
            Fault::PowerLoss => disk.random_outcome(draw_random),
            Fault::DiskLoss => Files::new(),
        };
        write(&self.dir, &files);
        // After a kill, unsynced data is still in the operating system's cache; a later power loss may lose it.
        monitor.disk = if fault == Fault::Kill { disk } else { Disk::with_durable_files(&files) };
    }

    fn segments(&self) -> usize {
        let files = fs::read_dir(&self.dir).into_iter().flatten().flatten();
        files.filter(|file| file.file_name().to_string_lossy().starts_with("log-")).count()
    }

    /// Maximum size of the log folder so far, in bytes.
    pub fn peak_disk_bytes(&self) -> u64 {
        self.monitor.lock().unwrap().peak_disk_bytes
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.running = None;
        let _ = fs::remove_dir_all(&self.dir);
    }
}
