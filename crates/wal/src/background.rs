//! How a checkpoint's thread gives way to the others: it pauses now and then, and ends early when it is cancelled.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Bytes of records that are worked on between pauses: the program's loop and the writer share one processor with this.
pub const BYTES_BETWEEN_PAUSES: usize = 256 << 10;
const PAUSE: Duration = Duration::from_millis(2);

/// Leaves the processor to others for a moment.
pub fn pause() {
    thread::sleep(PAUSE);
}

/// Tells a thread to give up its work.
#[derive(Clone, Default)]
pub struct Cancellation(Arc<AtomicBool>);

impl Cancellation {
    /// From here on the thread does no more than it has to.
    pub fn cancel(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether the work is to be given up.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
