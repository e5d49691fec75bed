//! Writes log lines to standard error on a separate thread. A blocked file or pipe behind standard error must not
//! block the event loop, which could then send no heartbeats and read no replies of executors.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::{self, Builder};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of queued log lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;
/// Maximum time that process exit waits for queued log lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which process exit retries to queue its flush command while the channel is full.
const FULL_CHANNEL_RETRY_INTERVAL: Duration = Duration::from_millis(1);

enum Command {
    Line(Vec<u8>),
    /// Reports on this channel that all lines queued before the command have been written.
    Flush(SyncSender<()>),
}

/// Handle that queues log lines; all clones feed the same writer thread.
#[derive(Clone)]
pub struct LogWriter {
    commands: SyncSender<Command>,
    lost_lines: Arc<AtomicU64>,
}

/// Writes the queued log lines when it is dropped, as the last action of a process.
pub struct FlushOnDrop(LogWriter);

impl LogWriter {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// The operating system could not create the thread.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(LogWriter, FlushOnDrop)> {
        let (commands, received) = sync_channel(MAX_QUEUED_LINES);
        let lost_lines = Arc::new(AtomicU64::new(0));
        let lost = Arc::clone(&lost_lines);
        Builder::new().name("log".into()).spawn(move || write_all(&received, output, &lost))?;
        let writer = LogWriter { commands, lost_lines };
        Ok((writer.clone(), FlushOnDrop(writer)))
    }
}

/// Writes queued lines until all senders are dropped.
fn write_all(commands: &Receiver<Command>, mut output: impl Write, lost_lines: &AtomicU64) {
    for command in commands {
        // Write errors are ignored: a failing log output leaves no channel on which to report them.
        match command {
            Command::Line(line) => drop(output.write_all(&line)),
            Command::Flush(done) => drop((output.flush(), done.try_send(()))),
        }
        let lost = lost_lines.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ =
                writeln!(output, "{lost} log lines were lost here: standard error was not written in time");
        }
    }
}

impl Write for LogWriter {
    /// Queues a line, or drops it and counts it as lost if the channel is full. Never blocks.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.commands.try_send(Command::Line(line.to_vec())) {
            self.lost_lines.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'writer> MakeWriter<'writer> for LogWriter {
    type Writer = LogWriter;

    fn make_writer(&'writer self) -> LogWriter {
        self.clone()
    }
}

impl Drop for FlushOnDrop {
    fn drop(&mut self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (done, written) = sync_channel(1);
        while self.0.commands.try_send(Command::Flush(done.clone())).is_err() {
            if Instant::now() > deadline {
                return;
            }
            thread::sleep(FULL_CHANNEL_RETRY_INTERVAL);
        }
        let _ = written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

#[cfg(test)]
mod tests;
