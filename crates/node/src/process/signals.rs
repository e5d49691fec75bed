//! Signal handling: SIGTERM and SIGINT for shutdown, SIGHUP for a configuration reload.

use crate::interfaces::Event;
use crossbeam_channel::Sender;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use thiserror::Error;

/// The signal handlers or their thread could not be installed.
#[derive(Debug, Error)]
#[error("signals: {0}")]
pub struct SignalsError(#[from] std::io::Error);

/// Sends a shutdown event for each SIGTERM or SIGINT and calls `again` on SIGHUP. SIGHUP must be caught from
/// the start, because its default action ends the process with all ops in flight.
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
