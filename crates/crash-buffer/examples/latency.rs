//! How long an insert takes beside writers that keep the disk busy, compared with a write to a log and with its sync.
//!
//!     cargo run --release -p stileroute-crash-buffer --example latency -- FOLDER SECONDS WRITERS [cleaned]
//!
//! With `cleaned` another thread syncs the buffer's file all the time: then each insert meets a page that the system has just begun to
//! write, and has to ask the file system for leave to change it. Without it that happens some twice a minute for each page.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::Scope;
use std::time::{Duration, Instant};

use stileroute_crash_buffer::CrashBuffer;

const SLOTS: usize = 1024;
/// Between two inserts, and between two writes to the log.
const INTERVAL: Duration = Duration::from_millis(1);
/// Between two syncs of the buffer's file.
const CLEANING_INTERVAL: Duration = Duration::from_millis(5);
const RECORD: [u8; 100] = [7; 100];
const LOAD_BYTES: usize = 1 << 20;
/// Each writer begins its file anew after so many bytes.
const MAX_LOAD_FILE_BYTES: usize = 64 << 20;

type Failure = Box<dyn std::error::Error + Send + Sync>;

static IS_OVER: AtomicBool = AtomicBool::new(false);

fn main() -> Result<(), Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [folder, seconds, writers, rest @ ..] = arguments.as_slice() else {
        return Err("usage: latency FOLDER SECONDS WRITERS [cleaned]".into());
    };
    let folder = PathBuf::from(folder);
    std::fs::create_dir_all(&folder)?;
    let seconds = Duration::from_secs(seconds.parse()?);
    let writers: usize = writers.parse()?;
    let is_cleaned = rest.iter().any(|word| word == "cleaned");
    std::thread::scope(|scope| {
        let buffer_file = folder.join("buffer");
        let (mut buffer, _) = CrashBuffer::open(&buffer_file, SLOTS)?;
        (0..writers).for_each(|number| keep_busy(scope, folder.join(format!("load-{number}"))));
        if is_cleaned {
            repeat(scope, File::open(&buffer_file)?, CLEANING_INTERVAL);
        }
        let log = OpenOptions::new().create(true).append(true).open(folder.join("log"))?;
        let syncs = measure(scope, {
            let log = log.try_clone()?;
            move || log.sync_data().map_err(Failure::from)
        });
        let writes = measure(scope, move || (&log).write_all(&RECORD).map_err(Failure::from));
        let inserts = measure(scope, move || {
            let slot = buffer.insert(&RECORD)?;
            buffer.remove(slot);
            Ok(())
        });
        std::thread::sleep(seconds);
        IS_OVER.store(true, Ordering::Relaxed);
        for (name, thread) in [("insert", inserts), ("write", writes), ("sync", syncs)] {
            report(name, thread.join().map_err(|_| "a thread panicked")??);
        }
        Ok(())
    })
}

fn is_over() -> bool {
    IS_OVER.load(Ordering::Relaxed)
}

/// Measures an operation again and again, with a pause between.
fn measure<'scope>(
    scope: &'scope Scope<'scope, '_>,
    mut operation: impl FnMut() -> Result<(), Failure> + Send + 'scope,
) -> std::thread::ScopedJoinHandle<'scope, Result<Vec<Duration>, Failure>> {
    scope.spawn(move || {
        let mut times = Vec::new();
        while !is_over() {
            let begun = Instant::now();
            operation()?;
            times.push(begun.elapsed());
            std::thread::sleep(INTERVAL);
        }
        Ok(times)
    })
}

fn repeat<'scope>(scope: &'scope Scope<'scope, '_>, file: File, interval: Duration) {
    scope.spawn(move || {
        while !is_over() && file.sync_data().is_ok() {
            std::thread::sleep(interval);
        }
    });
}

/// Writes and syncs a file of its own until the end.
fn keep_busy<'scope>(scope: &'scope Scope<'scope, '_>, path: PathBuf) {
    scope.spawn(move || {
        while !is_over() {
            if let Err(error) = write_and_sync(&path) {
                return eprintln!("{}: {error}", path.display());
            }
        }
        let _ = std::fs::remove_file(&path);
    });
}

fn write_and_sync(path: &Path) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    let bytes = vec![1; LOAD_BYTES];
    for _ in 0..MAX_LOAD_FILE_BYTES / LOAD_BYTES {
        if is_over() {
            break;
        }
        file.write_all(&bytes)?;
        file.sync_data()?;
    }
    Ok(())
}

fn report(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied().unwrap_or_default();
    let longest = times.last().copied().unwrap_or_default();
    let over = |limit| times.iter().filter(|time| **time > Duration::from_millis(limit)).count();
    println!(
        "{name:<7} {:>7} times, 50 % {:>10.3?}, 99 % {:>10.3?}, 99.9 % {:>10.3?}, longest {longest:>10.3?}, over 10 ms {}, over 100 ms {}",
        times.len(),
        at(0.5),
        at(0.99),
        at(0.999),
        over(10),
        over(100),
    );
}
