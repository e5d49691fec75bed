//! Writes log lines to standard error on a thread of its own. The loop must not stand still while the file or the pipe behind it
//! does: it would send no heartbeat, and read no answer of an executor.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::{self, Builder};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait at most; what comes beyond is lost, and counted.
const MAX_WAITING_LINES: usize = 4096;
/// The end of the process waits at most so long for lines that were not written.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);
/// Until the end looks again whether there is space for its command.
const FULL_CHANNEL_PAUSE: Duration = Duration::from_millis(1);

enum Command {
    Line(Vec<u8>),
    /// Everything before is written: that is told here.
    Flush(SyncSender<()>),
}

/// Where log lines go; each copy leads to the same thread.
#[derive(Clone)]
pub struct LogWriter {
    commands: SyncSender<Command>,
    lost_lines: Arc<AtomicU64>,
}

/// Writes what is left when it is dropped, as the last thing that a process does.
pub struct FlushOnDrop(LogWriter);

impl LogWriter {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Where the system has no thread for it.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(LogWriter, FlushOnDrop)> {
        let (commands, received) = sync_channel(MAX_WAITING_LINES);
        let lost_lines = Arc::new(AtomicU64::new(0));
        let lost = Arc::clone(&lost_lines);
        Builder::new().name("log".into()).spawn(move || write_all(&received, output, &lost))?;
        let writer = LogWriter { commands, lost_lines };
        Ok((writer.clone(), FlushOnDrop(writer)))
    }
}

/// Until nobody can send a line any more.
fn write_all(commands: &Receiver<Command>, mut output: impl Write, lost_lines: &AtomicU64) {
    for command in commands {
        // Nobody is left to tell of a failure.
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
    /// Takes a line, or counts it as lost. Never waits.
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
        let deadline = Instant::now() + FLUSH_LIMIT;
        let (done, written) = sync_channel(1);
        while self.0.commands.try_send(Command::Flush(done.clone())).is_err() {
            if Instant::now() > deadline {
                return;
            }
            thread::sleep(FULL_CHANNEL_PAUSE);
        }
        let _ = written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

#[cfg(test)]
mod tests;
