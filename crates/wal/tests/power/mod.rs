//! Goes through every point at which a process may be killed or power lost, through all that a loss of power may leave there,
//! and, for each kill, through the same again in the run of the process that follows.
//!
//! The idea is that of ALICE and CrashMonkey (Pillai et al., OSDI 2014; Mohan et al., OSDI 2018): operations are recorded, and each
//! state that the disk may be in after a crash is built from them.

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

/// Records are numbers from 1 up; the state is the last of them, and whether one was missing or of another content.
#[derive(Default, Debug, Clone, PartialEq, Eq)]
struct Count {
    last: u64,
    is_broken: bool,
}

const SNAPSHOT: u8 = b'=';

impl StateMachine for Count {
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

/// A failure of the disk: at which step, and at which time that it is reached, counted from 1 without the opening's.
pub type Failure = Option<(Step, u32)>;

/// What is recorded and then searched.
pub struct Scenario<'a> {
    pub failure: Failure,
    /// Adds to the options: a planted fault, or nothing.
    pub options: &'a dyn Fn(Options) -> Options,
}

pub struct SearchResult {
    /// The first state of a disk that was not recovered from as it should, if any.
    pub fault: Option<String>,
    /// Operations, requests and answers, after each of which a crash was tried.
    pub points: usize,
    /// Different states of a disk that were tried.
    pub outcomes: usize,
}

#[derive(Clone, Debug)]
enum Event {
    Done(Operation),
    /// The append of this record was requested.
    Requested(u64),
    /// It was acknowledged, after its sync.
    Acknowledged(u64),
}

type Trace = Arc<Mutex<Vec<Event>>>;

/// What the hook tells the thread that appends.
enum HookSignal {
    /// A checkpoint's thread has reached a step, and waits.
    Reached(Step),
    CheckpointEnded,
}

const APPENDS: u64 = 10;
/// Bytes of some five appends.
const SEGMENT_BYTES: u64 = 200;
/// Of the appends those in whose place two are made, one of them while the other is synced.
const TWO_AT_ONCE: [u64; 3] = [2, 6, 7];
/// Steps of a checkpoint at which more is appended while its thread waits.
const STEPS_WITH_APPENDS: [Step; 2] = [Step::SyncFolderAfterSnapshot, Step::RemoveCovered];

/// What the log's threads tell the thread that appends.
enum WriterSignal {
    Answered(u64, Result<(), AppendError>),
    /// A sync of a segment has begun, and waits.
    SyncBegun,
    /// A segment was written while that sync waits.
    Written,
}

/// Holds a sync between its beginning and its end while more is written.
#[derive(Clone)]
struct SyncPause {
    is_wanted: Arc<AtomicBool>,
    signals: Arc<Mutex<Sender<WriterSignal>>>,
    may_end: Arc<Mutex<Receiver<()>>>,
}

impl SyncPause {
    /// Called after each operation, on the thread that has done it.
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
    /// The last record that is there.
    last: u64,
    ticket: u64,
}

impl Writer {
    fn open(dir: &Path, options: Options, trace: &Trace) -> Result<(Writer, Count), OpenError> {
        Writer::open_with(dir, options, trace, channel())
    }

    fn open_with(
        dir: &Path,
        options: Options,
        trace: &Trace,
        (sender, signals): (Sender<WriterSignal>, Receiver<WriterSignal>),
    ) -> Result<(Writer, Count), OpenError> {
        let done = move |ticket, result| {
            let _ = sender.send(WriterSignal::Answered(ticket, result));
        };
        let (wal, count) = Wal::open::<Count>(dir, options, done)?;
        Ok((Writer { wal, signals, trace: trace.clone(), last: count.last, ticket: 0 }, count))
    }

    fn append(&mut self, records: Vec<Vec<u8>>, sync: bool) -> bool {
        self.queue(records, sync);
        let (ticket, is_there) = self.next_answer();
        assert_eq!(ticket, self.ticket);
        is_there
    }

    fn queue(&mut self, records: Vec<Vec<u8>>, sync: bool) {
        self.ticket += 1;
        self.wal.append(self.ticket, records, sync);
    }

    fn next_signal(&self) -> WriterSignal {
        self.signals.recv_timeout(Duration::from_secs(20)).unwrap()
    }

    fn next_answer(&self) -> (u64, bool) {
        loop {
            if let WriterSignal::Answered(ticket, result) = self.next_signal() {
                return (ticket, result.is_ok());
            }
        }
    }

    /// The next two records with sync, the second of which is written while the first is synced.
    fn next_two(&mut self, pause: &SyncPause, let_end: &Sender<()>) {
        let first = self.last + 1;
        pause.is_wanted.store(true, Ordering::Relaxed);
        self.request(first);
        // Where the sync can't even begin the first is answered at once.
        let has_begun = loop {
            match self.next_signal() {
                WriterSignal::SyncBegun => break true,
                WriterSignal::Answered(..) => break false,
                WriterSignal::Written => {}
            }
        };
        if has_begun {
            self.request(first + 1);
            while !matches!(self.next_signal(), WriterSignal::Written) {}
        }
        pause.is_wanted.store(false, Ordering::Relaxed);
        if has_begun {
            let_end.send(()).unwrap();
            (first..=first + 1).for_each(|number| self.take_answer(number));
        }
    }

    fn request(&mut self, number: u64) {
        self.trace.lock().unwrap().push(Event::Requested(number));
        self.queue(vec![format!("{number:08}").into_bytes()], true);
    }

    fn take_answer(&mut self, number: u64) {
        let (_, is_there) = self.next_answer();
        if is_there {
            assert_eq!(number, self.last + 1, "one is there without the one before it");
            self.last = number;
            self.trace.lock().unwrap().push(Event::Acknowledged(number));
        }
    }

    /// The next record; one that was refused is tried again by the next call.
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

    /// The writer has done all that follows from what it answered.
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

/// Records a log from its first opening on, with some new segments and checkpoints, and appends all along.
fn record_run(dir: &Path, scenario: &Scenario) -> Vec<Event> {
    let trace = Trace::default();
    let (sender, signals) = channel();
    let (let_continue, may_continue) = channel::<()>();
    let (sender, may_continue): (Mutex<Sender<HookSignal>>, _) =
        (Mutex::new(sender), Mutex::new(may_continue));
    let has_new_segment = Arc::new(AtomicBool::new(false));
    let (has_new_segment_of_hook, is_open, passed) =
        (has_new_segment.clone(), Arc::new(AtomicBool::new(false)), AtomicU32::new(0));
    let (is_open_of_hook, failure) = (is_open.clone(), scenario.failure);
    let hook = move |step| -> io::Result<()> {
        if !is_open_of_hook.load(Ordering::Relaxed) {
            return Ok(());
        }
        match step {
            Step::CreateSegment => has_new_segment_of_hook.store(true, Ordering::Relaxed),
            Step::CheckpointEnded => sender.lock().unwrap().send(HookSignal::CheckpointEnded).unwrap(),
            Step::WriteEntries | Step::SyncSegment | Step::RenameSegment | Step::SyncFolderAfterSegment => {}
            _ => {
                sender.lock().unwrap().send(HookSignal::Reached(step)).unwrap();
                may_continue.lock().unwrap().recv().unwrap();
            }
        }
        match failure {
            Some((at, time)) if at == step && passed.fetch_add(1, Ordering::Relaxed) + 1 == time => {
                Err(io::Error::other("broken"))
            }
            _ => Ok(()),
        }
    };
    let (signal_sender, writer_signals) = channel();
    let (let_sync_end, may_end) = channel();
    let pause = SyncPause {
        is_wanted: Arc::default(),
        signals: Arc::new(Mutex::new(signal_sender.clone())),
        may_end: Arc::new(Mutex::new(may_end)),
    };
    let (pause_of_observer, trace_of_observer) = (pause.clone(), trace.clone());
    let observer = move |operation: Operation| {
        trace_of_observer.lock().unwrap().push(Event::Done(operation.clone()));
        pause_of_observer.observe(&operation);
    };
    let options = Options {
        step_hook: Some(Arc::new(hook)),
        operation_observer: Some(Arc::new(observer)),
        ..base_options(&trace, scenario)
    };
    let (mut writer, _) = Writer::open_with(dir, options, &trace, (signal_sender, writer_signals)).unwrap();
    is_open.store(true, Ordering::Relaxed);
    for number in 1..=APPENDS {
        if TWO_AT_ONCE.contains(&number) {
            writer.next_two(&pause, &let_sync_end);
        } else {
            writer.next(number % 3 != 0);
        }
        writer.wait_until_idle();
        while has_new_segment.swap(false, Ordering::Relaxed) {
            while let HookSignal::Reached(step) = signals.recv_timeout(Duration::from_secs(20)).unwrap() {
                if STEPS_WITH_APPENDS.contains(&step) {
                    writer.next(true);
                }
                let_continue.send(()).unwrap();
            }
            writer.wait_until_idle();
        }
    }
    drop(writer);
    let trace = trace.lock().unwrap();
    trace.clone()
}

/// What the disk may hold at some moment, and which records must and may be there after a crash.
#[derive(Clone, Default)]
struct CrashPoint {
    disk: Disk,
    /// The last record that must be there.
    min_last: u64,
    /// The last record that may be there.
    max_last: u64,
}

impl CrashPoint {
    fn pass(&mut self, event: &Event) {
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
    /// What was tried before.
    seen: HashSet<(Files, u64, u64)>,
}

impl Search<'_> {
    /// Checks each state that a loss of power may leave: it opens with all that was acknowledged, and takes one more record.
    fn lose_power(&mut self, point: &CrashPoint) -> Result<(), String> {
        for files in point.disk.outcomes() {
            if self.seen.insert((files.clone(), point.min_last, point.max_last)) {
                disk::write(&self.folder, &files);
                self.check(point).map_err(|fault| {
                    let names: Vec<(&String, usize)> =
                        files.iter().map(|(name, bytes)| (name, bytes.len())).collect();
                    format!("{fault}; power left {names:?}")
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
        let (mut writer, count) = opened.map_err(|error| format!("refused: {error}"))?;
        let CrashPoint { min_last, max_last, .. } = point;
        if count.is_broken || count.last < *min_last || count.last > *max_last {
            return Err(format!("records {min_last} to {max_last} were wanted, and there are {count:?}"));
        }
        writer.next(true);
        drop(writer);
        let expected = Count { last: count.last + 1, is_broken: false };
        let mut found = Count::default();
        let report =
            verify(&self.folder, &mut |record| found.apply(record)).map_err(|error| error.to_string())?;
        if !report.opens() {
            return Err(format!("after one more record {report}"));
        }
        if found != expected {
            return Err(format!("after one more record {expected:?} was wanted, and there is {found:?}"));
        }
        Ok(())
    }

    /// Killed at this point and started again, with the disk's unsynced operations still to be lost.
    fn kill(&mut self, point: &CrashPoint) -> Result<(), String> {
        disk::write(&self.folder, &point.disk.visible_files());
        let trace = Trace::default();
        let options = Options { checkpoint_after_bytes: 1 << 20, ..base_options(&trace, self.scenario) };
        let opened = Writer::open(&self.folder, options, &trace);
        let (mut writer, count) = opened.map_err(|error| format!("refused after a kill: {error}"))?;
        if count.is_broken || count.last < point.min_last || count.last > point.max_last {
            return Err(format!(
                "{} to {} were wanted after a kill: {count:?}",
                point.min_last, point.max_last
            ));
        }
        writer.next(true);
        drop(writer);
        let (mut point, mut synced) = (point.clone(), false);
        let events = trace.lock().unwrap().clone();
        for event in &events {
            // What was refused before may come back with the power, but not once the opening has synced without it.
            if !synced && matches!(event, Event::Done(Operation::FileSynced { .. })) {
                (point.max_last, synced) = (count.last, true);
            }
            point.pass(event);
            self.lose_power(&point)?;
        }
        Ok(())
    }
}

/// Records a run, and then tries every kill and every loss of power in it.
pub fn search(scenario: &Scenario) -> SearchResult {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let name = format!("wal-power-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    // Syncs are real, and there are many thousands of them: in memory, where there is such a folder.
    let memory = Path::new("/dev/shm");
    let parent = if memory.is_dir() { memory.to_path_buf() } else { std::env::temp_dir() };
    let folder = parent.join(name);
    let trace = record_run(&folder, scenario);
    let mut search = Search { scenario, folder: folder.clone(), seen: HashSet::new() };
    let mut point = CrashPoint::default();
    let mut fault = None;
    for event in &trace {
        point.pass(event);
        let searched = search.lose_power(&point).and_then(|()| search.kill(&point));
        if let Err(error) = searched {
            fault = Some(format!("{error}; after {event:?}"));
            break;
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
    SearchResult { fault, points: trace.len(), outcomes: search.seen.len() }
}
