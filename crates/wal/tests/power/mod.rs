//! Tests every point at which a process may be killed or power may be lost, with every state that a loss of power may
//! leave at that point. For each kill, the same is repeated for the run of the process that follows.
//!
//! The method is that of ALICE and CrashMonkey (Pillai et al., OSDI 2014; Mohan et al., OSDI 2018): operations are
//! recorded, and every state that the disk may have after a crash is constructed from them.

mod disk;

use std::collections::HashSet;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use disk::{Disk, Files};
use stileroute_wal::{verify, AppendError, OpenError, Operation, Options, StateMachine, Step, Wal};

/// A state machine whose records are numbers that count up from 1. The state is the last number, and whether a record
/// was missing or had unexpected contents.
#[derive(Default, Debug, Clone, PartialEq, Eq)]
struct Counter {
    last: u64,
    is_broken: bool,
}

const SNAPSHOT: u8 = b'=';

impl StateMachine for Counter {
    fn apply(&mut self, record: &[u8]) {
        let (snapshot, digits) = match record {
            [SNAPSHOT, digits @ ..] => (true, digits),
            digits => (false, digits),
        };
        let number = std::str::from_utf8(digits).ok().and_then(|digits| digits.parse().ok());
        self.is_broken |= number.is_none_or(|number: u64| !snapshot && number != self.last + 1);
        self.last = number.unwrap_or(self.last);
    }

    fn snapshot(&self, out: &mut dyn FnMut(&[u8])) {
        out(format!("={:08}", self.last).as_bytes());
    }
}

/// An injected disk failure: the step that fails, and which occurrence of the step fails, counted from 1 and excluding
/// those during the opening.
pub type Failure = Option<(Step, u32)>;

/// The scenario of a search: its run is recorded, and then every crash in it is tested.
pub struct Scenario<'a> {
    pub failure: Failure,
    /// Modifies the log's options, for instance to set a planted fault.
    pub options: &'a dyn Fn(Options) -> Options,
}

pub struct SearchResult {
    /// Description of the first disk state from which recovery gave a wrong result, if any.
    pub fault: Option<String>,
    /// Number of operations, requests and acknowledgements, after each of which a crash was tested.
    pub points: usize,
    /// Number of different disk states that were tested.
    pub outcomes: usize,
}

#[derive(Clone, Debug)]
enum Event {
    Done(Operation),
    /// The append of the record with this number was requested.
    Requested(u64),
    /// The append of the record with this number was acknowledged after its sync.
    Acknowledged(u64),
}

type Trace = Arc<Mutex<Vec<Event>>>;

/// A signal from the step hook to the thread that appends.
enum HookSignal {
    /// The checkpoint thread has reached a step and waits there.
    Reached(Step),
    CheckpointEnded,
}

const APPENDS: u64 = 10;
/// Size limit of a segment in bytes, which is about five appends.
const SEGMENT_BYTES: u64 = 200;
/// Numbers of the appends that are replaced by two appends, the second of which is written while the first one is
/// being synced.
const CONCURRENT_APPENDS: [u64; 3] = [2, 6, 7];
/// Steps of a checkpoint at which another record is appended while the checkpoint thread waits.
const STEPS_WITH_APPENDS: [Step; 2] = [Step::SyncFolderAfterSnapshot, Step::RemoveCovered];

/// A signal from the log's threads to the thread that appends.
enum WriterSignal {
    ResultReported(u64, Result<(), AppendError>),
    /// A sync of a segment is about to start and is paused until the test lets it continue.
    SyncBegun,
    /// Bytes were written to a segment while the sync was paused.
    Written,
}

/// Pauses a sync between its start and its end, while more records are written.
#[derive(Clone)]
struct SyncPause {
    is_wanted: Arc<AtomicBool>,
    signals: Arc<Mutex<Sender<WriterSignal>>>,
    may_end: Arc<Mutex<Receiver<()>>>,
}

impl SyncPause {
    /// Observes each operation after it completes, on the thread that performed it.
    fn observe(&self, operation: &Operation) {
        if !self.is_wanted.load(Ordering::Relaxed) {
            return;
        }
        match operation {
            Operation::SyncBegun { .. } => {
                self.signal(WriterSignal::SyncBegun);
                self.may_end.lock().unwrap().recv().unwrap();
            }
            Operation::Written { .. } => self.signal(WriterSignal::Written),
            _ => {}
        }
    }

    fn signal(&self, signal: WriterSignal) {
        self.signals.lock().unwrap().send(signal).unwrap();
    }
}

struct Writer {
    wal: Wal,
    signals: Receiver<WriterSignal>,
    trace: Trace,
    /// Number of the last record in the log.
    last: u64,
    ticket: u64,
}

impl Writer {
    fn open(dir: &Path, options: Options, trace: &Trace) -> Result<(Writer, Counter), OpenError> {
        Writer::open_with(dir, options, trace, channel())
    }

    fn open_with(
        dir: &Path,
        options: Options,
        trace: &Trace,
        (sender, signals): (Sender<WriterSignal>, Receiver<WriterSignal>),
    ) -> Result<(Writer, Counter), OpenError> {
        let on_result = move |ticket, result| {
            let _ = sender.send(WriterSignal::ResultReported(ticket, result));
        };
        let (wal, count) = Wal::open::<Counter>(dir, options, on_result)?;
        Ok((Writer { wal, signals, trace: trace.clone(), last: count.last, ticket: 0 }, count))
    }

    fn append(&mut self, records: Vec<Vec<u8>>, sync: bool) -> bool {
        self.queue(records, sync);
        let (ticket, is_acknowledged) = self.next_result();
        assert_eq!(ticket, self.ticket);
        is_acknowledged
    }

    fn queue(&mut self, records: Vec<Vec<u8>>, sync: bool) {
        self.ticket += 1;
        self.wal.append(self.ticket, records, sync);
    }

    fn next_signal(&self) -> WriterSignal {
        self.signals.recv_timeout(Duration::from_secs(20)).unwrap()
    }

    fn next_result(&self) -> (u64, bool) {
        loop {
            if let WriterSignal::ResultReported(ticket, result) = self.next_signal() {
                return (ticket, result.is_ok());
            }
        }
    }

    /// Appends the next two records with sync. The second one is written while the first one is being synced.
    fn append_two(&mut self, pause: &SyncPause, allow_sync_end: &Sender<()>) {
        let first = self.last + 1;
        pause.is_wanted.store(true, Ordering::Relaxed);
        self.request(first);
        // If starting the sync fails, the result of the first append is reported immediately.
        let has_begun = loop {
            match self.next_signal() {
                WriterSignal::SyncBegun => break true,
                WriterSignal::ResultReported(..) => break false,
                WriterSignal::Written => {}
            }
        };
        if has_begun {
            self.request(first + 1);
            while !matches!(self.next_signal(), WriterSignal::Written) {}
        }
        pause.is_wanted.store(false, Ordering::Relaxed);
        if has_begun {
            allow_sync_end.send(()).unwrap();
            (first..=first + 1).for_each(|number| self.receive_result(number));
        }
    }

    fn request(&mut self, number: u64) {
        self.trace.lock().unwrap().push(Event::Requested(number));
        self.queue(vec![format!("{number:08}").into_bytes()], true);
    }

    fn receive_result(&mut self, number: u64) {
        let (_, is_acknowledged) = self.next_result();
        if is_acknowledged {
            assert_eq!(number, self.last + 1, "a record was acknowledged although the one before it was not");
            self.last = number;
            self.trace.lock().unwrap().push(Event::Acknowledged(number));
        }
    }

    /// Appends the next record. A record that was rejected is appended again by the next call.
    fn next(&mut self, sync: bool) {
        let number = self.last + 1;
        self.trace.lock().unwrap().push(Event::Requested(number));
        if self.append(vec![format!("{number:08}").into_bytes()], sync) {
            self.last = number;
            if sync {
                self.trace.lock().unwrap().push(Event::Acknowledged(number));
            }
        }
    }

    /// Waits until the writer has processed everything that follows from the results it has reported.
    fn wait_until_idle(&mut self) {
        self.append(Vec::new(), false);
    }
}

fn base_options(trace: &Trace, scenario: &Scenario) -> Options {
    let trace = trace.clone();
    let observer = move |operation| trace.lock().unwrap().push(Event::Done(operation));
    (scenario.options)(Options {
        max_sync_delay: Duration::from_secs(3600),
        checkpoint_after_bytes: SEGMENT_BYTES,
        operation_observer: Some(Arc::new(observer)),
        ..Options::new("count")
    })
}

/// Records the run of a log from its first opening on, with several new segments and checkpoints, and with appends
/// throughout.
fn record_run(dir: &Path, scenario: &Scenario) -> Vec<Event> {
    let trace = Trace::default();
    let (sender, signals) = channel();
    let (allow_continue, may_continue) = channel::<()>();
    let (sender, may_continue): (Mutex<Sender<HookSignal>>, _) =
        (Mutex::new(sender), Mutex::new(may_continue));
    let has_new_segment = Arc::new(AtomicBool::new(false));
    let (hook_has_new_segment, is_open, occurrences) =
        (has_new_segment.clone(), Arc::new(AtomicBool::new(false)), AtomicU32::new(0));
    let (hook_is_open, failure) = (is_open.clone(), scenario.failure);
    let hook = move |step| -> io::Result<()> {
        if !hook_is_open.load(Ordering::Relaxed) {
            return Ok(());
        }
        match step {
            Step::CreateSegment => hook_has_new_segment.store(true, Ordering::Relaxed),
            Step::CheckpointEnded => sender.lock().unwrap().send(HookSignal::CheckpointEnded).unwrap(),
            Step::WriteEntries | Step::SyncSegment | Step::RenameSegment | Step::SyncFolderAfterSegment => {}
            _ => {
                sender.lock().unwrap().send(HookSignal::Reached(step)).unwrap();
                may_continue.lock().unwrap().recv().unwrap();
            }
        }
        match failure {
            Some((at, occurrence))
                if at == step && occurrences.fetch_add(1, Ordering::Relaxed) + 1 == occurrence =>
            {
                Err(io::Error::other("broken"))
            }
            _ => Ok(()),
        }
    };
    let (signal_sender, writer_signals) = channel();
    let (allow_sync_end, may_end) = channel();
    let pause = SyncPause {
        is_wanted: Arc::default(),
        signals: Arc::new(Mutex::new(signal_sender.clone())),
        may_end: Arc::new(Mutex::new(may_end)),
    };
    let (observer_pause, observer_trace) = (pause.clone(), trace.clone());
    let observer = move |operation: Operation| {
        observer_trace.lock().unwrap().push(Event::Done(operation.clone()));
        observer_pause.observe(&operation);
    };
    let options = Options {
        step_hook: Some(Arc::new(hook)),
        operation_observer: Some(Arc::new(observer)),
        ..base_options(&trace, scenario)
    };
    let (mut writer, _) = Writer::open_with(dir, options, &trace, (signal_sender, writer_signals)).unwrap();
    is_open.store(true, Ordering::Relaxed);
    for number in 1..=APPENDS {
        if CONCURRENT_APPENDS.contains(&number) {
            writer.append_two(&pause, &allow_sync_end);
        } else {
            writer.next(number % 3 != 0);
        }
        writer.wait_until_idle();
        while has_new_segment.swap(false, Ordering::Relaxed) {
            while let HookSignal::Reached(step) = signals.recv_timeout(Duration::from_secs(20)).unwrap() {
                if STEPS_WITH_APPENDS.contains(&step) {
                    writer.next(true);
                }
                allow_continue.send(()).unwrap();
            }
            writer.wait_until_idle();
        }
    }
    drop(writer);
    let trace = trace.lock().unwrap();
    trace.clone()
}

/// The state of the simulated disk at some moment, and the records that must and may be present after a crash at that
/// moment.
#[derive(Clone, Default)]
struct CrashPoint {
    disk: Disk,
    /// Number of the last record that must be present after a crash.
    min_last: u64,
    /// Number of the last record that may be present after a crash.
    max_last: u64,
}

impl CrashPoint {
    fn apply(&mut self, event: &Event) {
        match event {
            Event::Done(operation) => self.disk.apply(operation),
            Event::Requested(number) => self.max_last = self.max_last.max(*number),
            Event::Acknowledged(number) => self.min_last = self.min_last.max(*number),
        }
    }
}

struct Search<'a> {
    scenario: &'a Scenario<'a>,
    folder: PathBuf,
    /// Disk states, with the expected records, that were already tested.
    tested_states: HashSet<(Files, u64, u64)>,
}

impl Search<'_> {
    /// Checks every disk state that a loss of power may leave: it must open with all acknowledged records, and accept
    /// one more record.
    fn check_power_loss(&mut self, point: &CrashPoint) -> Result<(), String> {
        for files in point.disk.outcomes() {
            if self.tested_states.insert((files.clone(), point.min_last, point.max_last)) {
                disk::write(&self.folder, &files);
                self.check(point).map_err(|fault| {
                    let names: Vec<(&String, usize)> =
                        files.iter().map(|(name, bytes)| (name, bytes.len())).collect();
                    format!("{fault}; files and lengths after the loss of power: {names:?}")
                })?;
            }
        }
        Ok(())
    }

    fn check(&self, point: &CrashPoint) -> Result<(), String> {
        let trace = Trace::default();
        let options = Options {
            operation_observer: None,
            checkpoint_after_bytes: 1 << 20,
            ..base_options(&trace, self.scenario)
        };
        let opened = Writer::open(&self.folder, options, &trace);
        let (mut writer, count) = opened.map_err(|error| format!("opening failed: {error}"))?;
        let CrashPoint { min_last, max_last, .. } = point;
        if count.is_broken || count.last < *min_last || count.last > *max_last {
            return Err(format!("expected the last record to be {min_last} to {max_last}, found {count:?}"));
        }
        writer.next(true);
        drop(writer);
        let expected = Counter { last: count.last + 1, is_broken: false };
        let mut found = Counter::default();
        let report =
            verify(&self.folder, &mut |record| found.apply(record)).map_err(|error| error.to_string())?;
        if !report.opens() {
            return Err(format!("after appending one more record: {report}"));
        }
        if found != expected {
            return Err(format!("after appending one more record: expected {expected:?}, found {found:?}"));
        }
        Ok(())
    }

    /// Kills the process at this point and starts it again. Unsynced operations from before the kill may still be lost
    /// if the power then fails.
    fn check_kill(&mut self, point: &CrashPoint) -> Result<(), String> {
        disk::write(&self.folder, &point.disk.visible_files());
        let trace = Trace::default();
        let options = Options { checkpoint_after_bytes: 1 << 20, ..base_options(&trace, self.scenario) };
        let opened = Writer::open(&self.folder, options, &trace);
        let (mut writer, count) = opened.map_err(|error| format!("opening failed after a kill: {error}"))?;
        if count.is_broken || count.last < point.min_last || count.last > point.max_last {
            return Err(format!(
                "after a kill: expected the last record to be {} to {}, found {count:?}",
                point.min_last, point.max_last
            ));
        }
        writer.next(true);
        drop(writer);
        let (mut point, mut synced) = (point.clone(), false);
        let events = trace.lock().unwrap().clone();
        for event in &events {
            // A record whose append failed before the kill may reappear after a loss of power, but not once the
            // opening has synced the segment without it.
            if !synced && matches!(event, Event::Done(Operation::FileSynced { .. })) {
                (point.max_last, synced) = (count.last, true);
            }
            point.apply(event);
            self.check_power_loss(&point)?;
        }
        Ok(())
    }
}

/// Records a run, and then tests every kill and every loss of power in it.
pub fn search(scenario: &Scenario) -> SearchResult {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let name = format!("wal-power-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    // The search makes many thousands of real syncs, so it uses a folder in memory (`/dev/shm`) if there is one.
    let memory = Path::new("/dev/shm");
    let parent = if memory.is_dir() { memory.to_path_buf() } else { std::env::temp_dir() };
    let folder = parent.join(name);
    let trace = record_run(&folder, scenario);
    let mut search = Search { scenario, folder: folder.clone(), tested_states: HashSet::new() };
    let mut point = CrashPoint::default();
    let mut fault = None;
    for event in &trace {
        point.apply(event);
        let search_result = search.check_power_loss(&point).and_then(|()| search.check_kill(&point));
        if let Err(error) = search_result {
            fault = Some(format!("{error}; after {event:?}"));
            break;
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
    SearchResult { fault, points: trace.len(), outcomes: search.tested_states.len() }
}
