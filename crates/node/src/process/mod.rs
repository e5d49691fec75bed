//! The process: settings, resource limits, command line, signals and the log.

pub mod budget;
pub mod cli;
pub mod log;
pub mod members_section;
pub mod operator_file;
pub mod settings;
pub mod signals;

/// Starts a thread with a small stack.
pub fn spawn(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_string()).stack_size(THREAD_STACK_BYTES).spawn(run)
}

/// Stack size in bytes; a connection's thread needs a read chunk and the parsed headers.
const THREAD_STACK_BYTES: usize = 128 * 1024;
