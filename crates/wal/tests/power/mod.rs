//! Goes through every point at which a process may be killed or power lost, through all that a loss of power may leave there,
//! and, for each kill, through the same again in the life that follows.

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

/// Records are counted up; the fold is the count, and whether one was missing or of another content.
#[derive(Default, Debug, Clone, PartialEq, Eq)]
struct Count {
    last: u64,
    broken: bool,
}

const SNAPSHOT: u8 = b'=';

impl StateMachine for Count {
    fn apply(&mut self, record: &[u8]) {
        let (snapshot, digits) = match record {
            [SNAPSHOT, digits @ ..] => (true, digits),
            digits => (false, digits),
        };
        let number = std::str::from_utf8(digits).ok().and_then(|digits| digits.parse().ok());
        self.broken |= number.is_none_or(|number: u64| !snapshot && number != self.last + 1);
        self.last = number.unwrap_or(self.last);
    }

    fn snapshot(&self, out: &mut dyn FnMut(&[u8])) {
        out(format!("={:08}", self.last).as_bytes());
    }
}

/// A failure of the disk: at this step, the time this says, counted from 1 and without the opening's.
pub type Failing = Option<(Step, u32)>;

/// What is played.
pub struct Play<'a> {
    pub failing: Failing,
    /// Sets what is to be set beside: a planted fault, or nothing.
    pub options: &'a dyn Fn(Options) -> Options,
}

pub struct Found {
    pub fault: Option<String>,
    pub points: usize,
    pub outcomes: usize,
}

#[derive(Clone, Debug)]
enum Event {
    Did(Operation),
    Asked(u64),
    /// It was answered, after its sync.
    Lasting(u64),
}

type Trace = Arc<Mutex<Vec<Event>>>;

enum Word {
    At(Step),
    Ended,
}

const APPENDS: u64 = 10;
/// Bytes of some five appends.
const SEGMENT: u64 = 200;
/// Steps of a checkpoint at which more is appended while its thread waits.
const BETWEEN: [Step; 2] = [Step::SyncFolderAfterSnapshot, Step::RemoveCovered];

struct Writer {
    book: Wal,
    answers: Receiver<(u64, Result<(), AppendError>)>,
    trace: Trace,
    /// The last record that is there.
    last: u64,
    ticket: u64,
}

impl Writer {
    fn open(dir: &Path, options: Options, trace: &Trace) -> Result<(Writer, Count), OpenError> {
        let (sender, answers) = channel();
        let done = move |ticket, result| {
            let _ = sender.send((ticket, result));
        };
        let (book, count) = Wal::open::<Count>(dir, options, done)?;
        Ok((Writer { book, answers, trace: trace.clone(), last: count.last, ticket: 0 }, count))
    }

    fn append(&mut self, records: Vec<Vec<u8>>, sync: bool) -> bool {
        self.ticket += 1;
        self.book.append(self.ticket, records, sync);
        let (ticket, result) = self.answers.recv_timeout(Duration::from_secs(20)).unwrap();
        assert_eq!(ticket, self.ticket);
        result.is_ok()
    }

    /// The next record; one that was refused is tried again by the next call.
    fn next(&mut self, sync: bool) {
        let number = self.last + 1;
        self.trace.lock().unwrap().push(Event::Asked(number));
        if self.append(vec![format!("{number:08}").into_bytes()], sync) {
            self.last = number;
            if sync {
                self.trace.lock().unwrap().push(Event::Lasting(number));
            }
        }
    }

    /// The writer has done all that follows from what it answered.
    fn settle(&mut self) {
        self.append(Vec::new(), false);
    }
}

fn base(trace: &Trace, play: &Play) -> Options {
    let trace = trace.clone();
    let observer = move |operation| trace.lock().unwrap().push(Event::Did(operation));
    (play.options)(Options {
        max_sync_delay: Duration::from_secs(3600),
        checkpoint_after_bytes: SEGMENT,
        operation_observer: Some(Arc::new(observer)),
        ..Options::new("count")
    })
}

/// The whole life of a wal: its first opening, some changes of segments and checkpoints, with appends all along.
fn first_life(dir: &Path, play: &Play) -> Vec<Event> {
    let trace = Trace::default();
    let (say, words) = channel();
    let (go, may_go) = channel::<()>();
    let (say, may_go): (Mutex<Sender<Word>>, _) = (Mutex::new(say), Mutex::new(may_go));
    let rolled = Arc::new(AtomicBool::new(false));
    let (rolled_, opened, passed) = (rolled.clone(), Arc::new(AtomicBool::new(false)), AtomicU32::new(0));
    let (opened_, failing) = (opened.clone(), play.failing);
    let hook = move |step| -> io::Result<()> {
        if !opened_.load(Ordering::Relaxed) {
            return Ok(());
        }
        match step {
            Step::CreateSegment => rolled_.store(true, Ordering::Relaxed),
            Step::CheckpointEnded => say.lock().unwrap().send(Word::Ended).unwrap(),
            Step::WriteEntries | Step::SyncSegment | Step::RenameSegment | Step::SyncFolderAfterSegment => {}
            _ => {
                say.lock().unwrap().send(Word::At(step)).unwrap();
                may_go.lock().unwrap().recv().unwrap();
            }
        }
        match failing {
            Some((at, time)) if at == step && passed.fetch_add(1, Ordering::Relaxed) + 1 == time => {
                Err(io::Error::other("broken"))
            }
            _ => Ok(()),
        }
    };
    let options = Options { step_hook: Some(Arc::new(hook)), ..base(&trace, play) };
    let (mut writer, _) = Writer::open(dir, options, &trace).unwrap();
    opened.store(true, Ordering::Relaxed);
    for number in 1..=APPENDS {
        writer.next(number % 3 != 0);
        writer.settle();
        while rolled.swap(false, Ordering::Relaxed) {
            while let Word::At(step) = words.recv_timeout(Duration::from_secs(20)).unwrap() {
                if BETWEEN.contains(&step) {
                    writer.next(true);
                }
                go.send(()).unwrap();
            }
            writer.settle();
        }
    }
    drop(writer);
    let trace = trace.lock().unwrap();
    trace.clone()
}

/// What the disk may hold, and which records have to be there, and may.
#[derive(Clone, Default)]
struct Moment {
    disk: Disk,
    least: u64,
    most: u64,
}

impl Moment {
    fn pass(&mut self, event: &Event) {
        match event {
            Event::Did(operation) => self.disk.apply(operation),
            Event::Asked(number) => self.most = self.most.max(*number),
            Event::Lasting(number) => self.least = self.least.max(*number),
        }
    }
}

struct Search<'a> {
    play: &'a Play<'a>,
    root: PathBuf,
    seen: HashSet<(Files, u64, u64)>,
}

impl Search<'_> {
    /// All that a loss of power leaves opens, with each record that was answered, and takes one more.
    fn lose_power(&mut self, moment: &Moment) -> Result<(), String> {
        for files in moment.disk.outcomes() {
            if self.seen.insert((files.clone(), moment.least, moment.most)) {
                disk::write(&self.root, &files);
                self.check(moment).map_err(|fault| {
                    let names: Vec<(&String, usize)> =
                        files.iter().map(|(name, bytes)| (name, bytes.len())).collect();
                    format!("{fault}; power left {names:?}")
                })?;
            }
        }
        Ok(())
    }

    fn check(&self, moment: &Moment) -> Result<(), String> {
        let trace = Trace::default();
        let options =
            Options { operation_observer: None, checkpoint_after_bytes: 1 << 20, ..base(&trace, self.play) };
        let opened = Writer::open(&self.root, options, &trace);
        let (mut writer, count) = opened.map_err(|trouble| format!("refused: {trouble}"))?;
        let Moment { least, most, .. } = moment;
        if count.broken || count.last < *least || count.last > *most {
            return Err(format!("records {least} to {most} were wanted, and there are {count:?}"));
        }
        writer.next(true);
        drop(writer);
        let expected = Count { last: count.last + 1, broken: false };
        let mut found = Count::default();
        let report =
            verify(&self.root, &mut |record| found.apply(record)).map_err(|trouble| trouble.to_string())?;
        if !report.opens() {
            return Err(format!("after one more record {report}"));
        }
        if found != expected {
            return Err(format!("after one more record {expected:?} was wanted, and there is {found:?}"));
        }
        Ok(())
    }

    /// Killed at this moment and started again, with the disk's unsynced operations still to be lost.
    fn kill(&mut self, moment: &Moment) -> Result<(), String> {
        disk::write(&self.root, &moment.disk.seen());
        let trace = Trace::default();
        let options = Options { checkpoint_after_bytes: 1 << 20, ..base(&trace, self.play) };
        let opened = Writer::open(&self.root, options, &trace);
        let (mut writer, count) = opened.map_err(|trouble| format!("refused after a kill: {trouble}"))?;
        if count.broken || count.last < moment.least || count.last > moment.most {
            return Err(format!("{} to {} were wanted after a kill: {count:?}", moment.least, moment.most));
        }
        writer.next(true);
        drop(writer);
        let (mut moment, mut synced) = (moment.clone(), false);
        let events = trace.lock().unwrap().clone();
        for event in &events {
            // What was refused before may come back with the power, but not once the opening has synced without it.
            if !synced && matches!(event, Event::Did(Operation::FileSynced { .. })) {
                (moment.most, synced) = (count.last, true);
            }
            moment.pass(event);
            self.lose_power(&moment)?;
        }
        Ok(())
    }
}

/// Plays once, and then every kill and every loss of power in it.
pub fn search(play: &Play) -> Found {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let name = format!("wal-power-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    // Syncs are real, and there are many thousands of them: in memory, where there is such a folder.
    let memory = Path::new("/dev/shm");
    let parent = if memory.is_dir() { memory.to_path_buf() } else { std::env::temp_dir() };
    let root = parent.join(name);
    let trace = first_life(&root, play);
    let mut search = Search { play, root: root.clone(), seen: HashSet::new() };
    let mut moment = Moment::default();
    let mut fault = None;
    for event in &trace {
        moment.pass(event);
        let tried = search.lose_power(&moment).and_then(|()| search.kill(&moment));
        if let Err(error) = tried {
            fault = Some(format!("{error}; after {event:?}"));
            break;
        }
    }
    let _ = std::fs::remove_dir_all(&root);
    Found { fault, points: trace.len(), outcomes: search.seen.len() }
}
