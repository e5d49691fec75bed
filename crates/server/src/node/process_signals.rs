//! The Unix signals by which operators control a process: SIGTERM and SIGINT shut it down, SIGHUP reloads its
//! settings.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Flags set by the signal handlers.
pub(super) struct ProcessSignals {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl ProcessSignals {
    /// Installs the signal handlers.
    pub fn register() -> std::io::Result<ProcessSignals> {
        let shutdown = Arc::new(AtomicBool::new(false));
        let reload = Arc::new(AtomicBool::new(false));
        for (signal, flag) in [(libc::SIGTERM, &shutdown), (libc::SIGINT, &shutdown), (libc::SIGHUP, &reload)]
        {
            signal_hook::flag::register(signal, Arc::clone(flag))?;
        }
        Ok(ProcessSignals { shutdown, reload })
    }

    /// Whether a shutdown was requested; once true, it stays true.
    pub fn is_shutdown_requested(&self) -> bool {
        self.shutdown.load(Ordering::Relaxed)
    }

    /// Whether a reload of the settings was requested; returns true once for each request.
    pub fn take_reload_request(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
