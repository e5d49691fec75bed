//! Measures how long an insert into a crash buffer takes while other threads keep the disk busy, compared with a write to
//! a log and with a sync of that log.
//!
//!     cargo run --release -p stileroute-crash-buffer --example latency -- FOLDER SECONDS WRITERS [cleaned]
//!
//! With `cleaned`, another thread syncs the buffer's file every 5 ms. Each insert then meets a page that the system has just
//! begun to write back, and has to wait for the file system's permission to change it. Without `cleaned` this happens to
//! each page only about twice a minute.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::Scope;
use std::time::{Duration, Instant};

use stileroute_crash_buffer::CrashBuffer;

const SLOTS: usize = 1024;
/// Pause between two measured operations of the same kind: inserts into the buffer, writes to the log, or syncs of the log.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(1);
/// Interval between two syncs of the buffer's file.
const BACKGROUND_SYNC_INTERVAL: Duration = Duration::from_millis(5);
const RECORD: [u8; 100] = [7; 100];
const LOAD_WRITE_BYTES: usize = 1 << 20;
/// The number of bytes after which each load writer starts its file again from empty.
const MAX_LOAD_FILE_BYTES: usize = 64 << 20;

type BenchError = Box<dyn std::error::Error + Send + Sync>;

static STOP_REQUESTED: AtomicBool = AtomicBool::new(false);

fn main() -> Result<(), BenchError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [directory, seconds, writers, rest @ ..] = arguments.as_slice() else {
        return Err("usage: latency FOLDER SECONDS WRITERS [cleaned]".into());
    };
    let directory = PathBuf::from(directory);
    std::fs::create_dir_all(&directory)?;
    let seconds = Duration::from_secs(seconds.parse()?);
    let writers: usize = writers.parse()?;
    let has_background_sync = rest.iter().any(|argument| argument == "cleaned");
    std::thread::scope(|scope| {
        let buffer_file = directory.join("buffer");
        let (mut buffer, _) = CrashBuffer::open(&buffer_file, SLOTS)?;
        (0..writers).for_each(|number| spawn_load_writer(scope, directory.join(format!("load-{number}"))));
        if has_background_sync {
            spawn_background_sync(scope, File::open(&buffer_file)?, BACKGROUND_SYNC_INTERVAL);
        }
        let log = OpenOptions::new().create(true).append(true).open(directory.join("log"))?;
        let syncs = spawn_measurement(scope, {
            let log = log.try_clone()?;
            move || log.sync_data().map_err(BenchError::from)
        });
        let writes = spawn_measurement(scope, move || (&log).write_all(&RECORD).map_err(BenchError::from));
        let inserts = spawn_measurement(scope, move || {
            let slot = buffer.insert(&RECORD)?;
            buffer.remove(slot);
            Ok(())
        });
        std::thread::sleep(seconds);
        STOP_REQUESTED.store(true, Ordering::Relaxed);
        for (name, thread) in [("insert", inserts), ("write", writes), ("sync", syncs)] {
            report(name, thread.join().map_err(|_| "a thread panicked")??);
        }
        Ok(())
    })
}

fn stop_requested() -> bool {
    STOP_REQUESTED.load(Ordering::Relaxed)
}

/// Measures the duration of an operation repeatedly, with a pause of `MEASUREMENT_INTERVAL` after each run, until the
/// example stops.
fn spawn_measurement<'scope>(
    scope: &'scope Scope<'scope, '_>,
    mut operation: impl FnMut() -> Result<(), BenchError> + Send + 'scope,
) -> std::thread::ScopedJoinHandle<'scope, Result<Vec<Duration>, BenchError>> {
    scope.spawn(move || {
        let mut times = Vec::new();
        while !stop_requested() {
            let started = Instant::now();
            operation()?;
            times.push(started.elapsed());
            std::thread::sleep(MEASUREMENT_INTERVAL);
        }
        Ok(times)
    })
}

fn spawn_background_sync<'scope>(scope: &'scope Scope<'scope, '_>, file: File, interval: Duration) {
    scope.spawn(move || {
        while !stop_requested() && file.sync_data().is_ok() {
            std::thread::sleep(interval);
        }
    });
}

/// Keeps the disk busy: writes and syncs a file of its own until the example stops.
fn spawn_load_writer<'scope>(scope: &'scope Scope<'scope, '_>, path: PathBuf) {
    scope.spawn(move || {
        while !stop_requested() {
            if let Err(error) = write_and_sync(&path) {
                return eprintln!("{}: {error}", path.display());
            }
        }
        let _ = std::fs::remove_file(&path);
    });
}

fn write_and_sync(path: &Path) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    let bytes = vec![1; LOAD_WRITE_BYTES];
    for _ in 0..MAX_LOAD_FILE_BYTES / LOAD_WRITE_BYTES {
        if stop_requested() {
            break;
        }
        file.write_all(&bytes)?;
        file.sync_data()?;
    }
    Ok(())
}

fn report(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let quantile = |q: f64| times.get((times.len() as f64 * q) as usize).copied().unwrap_or_default();
    let longest = times.last().copied().unwrap_or_default();
    let count_over = |limit| times.iter().filter(|time| **time > Duration::from_millis(limit)).count();
    println!(
        "{name:<7} {:>7} times, 50 % {:>10.3?}, 99 % {:>10.3?}, 99.9 % {:>10.3?}, longest {longest:>10.3?}, over 10 ms {}, over 100 ms {}",
        times.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        count_over(10),
        count_over(100),
    );
}
