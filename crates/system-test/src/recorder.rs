//! Where the stand-ins write down what they see.

use crate::history::{History, Micros};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Timers that are late by more mean that the machine is too busy to judge what counts time.
const BUSY_MS: u64 = 500;
/// So does a disk that takes longer for a few bytes: stores wait 300 ms for each other's.
const DISK_MS: u64 = 200;
/// Stores turn messages away while a write takes over 120 ms. One that comes just after another was begun waits for two syncs.
const SLOW_WRITE: Duration = Duration::from_millis(120 / 2);
/// The recorder's own writes are so far apart.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

pub struct Recorder {
    begun: Instant,
    history: Mutex<History>,
    /// How late the worst of its own timers was.
    late: AtomicU64,
    /// The longest that a few bytes took to be on disk.
    disk: AtomicU64,
}

impl Recorder {
    /// `home` lies on the disk whose stalls are looked at too.
    pub fn new(home: &Path) -> Arc<Recorder> {
        let recorder = Recorder {
            begun: Instant::now(),
            history: Mutex::default(),
            late: AtomicU64::new(0),
            disk: AtomicU64::new(0),
        };
        let recorder = Arc::new(recorder);
        let weak = Arc::downgrade(&recorder);
        // A machine that is too busy wakes this up late.
        std::thread::spawn(move || {
            while let Some(recorder) = weak.upgrade() {
                let before = Instant::now();
                std::thread::sleep(Duration::from_millis(10));
                let late = before.elapsed().saturating_sub(Duration::from_millis(10));
                recorder.late.fetch_max(late.as_micros() as u64, Ordering::Relaxed);
            }
        });
        let weak = Arc::downgrade(&recorder);
        let file = File::create(home.join("late"));
        std::thread::spawn(move || {
            while let (Some(recorder), Ok(mut file)) = (weak.upgrade(), file.as_ref()) {
                let (begun, before) = (recorder.now(), Instant::now());
                let _ = file.write_all(b"late").and_then(|()| file.sync_data());
                let took = before.elapsed();
                recorder.disk.fetch_max(took.as_micros() as u64, Ordering::Relaxed);
                if took > SLOW_WRITE {
                    let ended = recorder.now();
                    recorder.write().slow_writes.push((begun, ended));
                }
                std::thread::sleep(WRITE_INTERVAL);
            }
        });
        recorder
    }

    pub fn now(&self) -> Micros {
        self.begun.elapsed().as_micros() as Micros
    }
    pub fn write(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
    pub fn late_ms(&self) -> u64 {
        self.late.load(Ordering::Relaxed) / 1000
    }
    pub fn disk_ms(&self) -> u64 {
        self.disk.load(Ordering::Relaxed) / 1000
    }
    /// Why what counts time can't be judged, if so.
    pub fn busy(&self) -> Option<String> {
        let (late, disk) = (self.late_ms(), self.disk_ms());
        let busy = late > BUSY_MS || disk > DISK_MS;
        busy.then(|| {
            format!("own timers were up to {late} ms late, and a write to disk took up to {disk} ms")
        })
    }
}
