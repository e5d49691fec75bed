//! Throttling and cancellation of the checkpoint thread, which shares the processor with the log's writer thread.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Bytes of records that the checkpoint thread processes between two pauses. It pauses because the program's main loop
/// and the log's writer thread share one processor with it.
pub const BYTES_BETWEEN_PAUSES: usize = 256 << 10;
const PAUSE_DURATION: Duration = Duration::from_millis(2);

/// Sleeps for a few milliseconds so that other threads can run on the same processor.
pub fn pause() {
    thread::sleep(PAUSE_DURATION);
}

/// A flag, shared between threads, that asks the checkpoint thread to abandon its work.
#[derive(Clone, Default)]
pub struct Cancellation(Arc<AtomicBool>);

impl Cancellation {
    /// Asks the checkpoint thread to stop. It then does only the work that is needed to clean up.
    pub fn cancel(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether the checkpoint thread has been asked to abandon its work.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
