//! The Unix signals by which operators steer a process: SIGTERM and SIGINT shut it down, SIGHUP reloads its settings.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Flags that the signal handlers set.
pub(super) struct ProcessSignals {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl ProcessSignals {
    /// Installs the handlers.
    pub fn register() -> std::io::Result<ProcessSignals> {
        let shutdown = Arc::new(AtomicBool::new(false));
        let reload = Arc::new(AtomicBool::new(false));
        for (signal, flag) in [(libc::SIGTERM, &shutdown), (libc::SIGINT, &shutdown), (libc::SIGHUP, &reload)]
        {
            signal_hook::flag::register(signal, Arc::clone(flag))?;
        }
        Ok(ProcessSignals { shutdown, reload })
    }

    /// Whether the process is to shut down; once true, it stays so.
    pub fn is_shutdown_requested(&self) -> bool {
        self.shutdown.load(Ordering::Relaxed)
    }

    /// Whether the settings are to be reloaded; true once for each request.
    pub fn take_reload_request(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
