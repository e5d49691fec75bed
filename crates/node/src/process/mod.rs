//! Start and stop: what the node is told, what it may use, how it logs and how it ends.

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
    std::thread::Builder::new().name(name.to_string()).stack_size(STACK).spawn(run)
}

/// A connection's thread needs a chunk for reading and the parser's headers.
const STACK: usize = 128 * 1024;
