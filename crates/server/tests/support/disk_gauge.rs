//! How long the machine's disk takes to write, measured beside a test of real processes.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Between two writes.
const INTERVAL: Duration = Duration::from_millis(5);

/// Writes and syncs a file of its own until it is stopped.
pub struct DiskGauge {
    is_over: Arc<AtomicBool>,
    writer: JoinHandle<Duration>,
}

impl DiskGauge {
    /// Begins to write a file in this folder.
    pub fn start(folder: &Path) -> DiskGauge {
        let mut file = File::create(folder.join("disk-gauge")).unwrap();
        let is_over = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&is_over);
        let writer = std::thread::spawn(move || {
            let mut longest = Duration::ZERO;
            while !stop.load(Ordering::Relaxed) {
                longest = longest.max(write_once(&mut file));
                std::thread::park_timeout(INTERVAL);
            }
            longest
        });
        DiskGauge { is_over, writer }
    }

    /// Waits for the write that is under way, and gives how long the longest of all took.
    pub fn stop(self) -> Duration {
        self.is_over.store(true, Ordering::Relaxed);
        self.writer.join().unwrap()
    }
}

fn write_once(file: &mut File) -> Duration {
    let began_at = Instant::now();
    file.write_all(b"written\n").unwrap();
    file.sync_data().unwrap();
    began_at.elapsed()
}
