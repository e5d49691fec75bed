//! Measures how long writes to the machine's disk take while a test of real processes runs.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Pause between two writes of the gauge.
const WRITE_INTERVAL: Duration = Duration::from_millis(5);

/// A thread that repeatedly writes and syncs a separate file until it is stopped.
pub struct DiskGauge {
    is_stopped: Arc<AtomicBool>,
    writer: JoinHandle<Duration>,
}

impl DiskGauge {
    /// Starts the gauge with a file in this folder.
    pub fn start(folder: &Path) -> DiskGauge {
        let mut file = File::create(folder.join("disk-gauge")).unwrap();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&is_stopped);
        let writer = std::thread::spawn(move || {
            let mut longest = Duration::ZERO;
            while !stop.load(Ordering::Relaxed) {
                longest = longest.max(write_once(&mut file));
                std::thread::park_timeout(WRITE_INTERVAL);
            }
            longest
        });
        DiskGauge { is_stopped, writer }
    }

    /// Stops the gauge after the write in progress, and returns the duration of the longest write.
    pub fn stop(self) -> Duration {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.writer.join().unwrap()
    }
}

fn write_once(file: &mut File) -> Duration {
    let started_at = Instant::now();
    file.write_all(b"written\n").unwrap();
    file.sync_data().unwrap();
    started_at.elapsed()
}
