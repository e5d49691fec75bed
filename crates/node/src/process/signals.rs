//! The signals: to end, and to read the configuration again.

use crate::interfaces::Event;
use crossbeam_channel::Sender;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use thiserror::Error;

/// Signals can't be caught, or there is no thread for them.
#[derive(Debug, Error)]
#[error("signals: {0}")]
pub struct SignalsError(#[from] std::io::Error);

/// Tells the desk of the first signal to end, and of each further one. SIGHUP must be caught from the first
/// moment: left alone, it ends the process with all that it holds.
pub fn watch(dispatch_loop: Sender<Event>, again: impl Fn() + Send + 'static) -> Result<(), SignalsError> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let run = move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                again();
            } else if dispatch_loop.send(Event::Shutdown).is_err() {
                return;
            }
        }
    };
    super::spawn("signals", run)?;
    Ok(())
}
