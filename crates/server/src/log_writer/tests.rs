use super::*;
use std::sync::Mutex;

/// Output that blocks before each write until the test permits it.
struct BlockingOutput {
    write_permits: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Once the test has ended and dropped the sender, writes are no longer blocked.
        let _ = self.write_permits.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a blocked log output that stops the event loop: results were not sent and replies not read, so that
/// a message that had succeeded ran again.
#[test]
fn logging_never_blocks_on_the_output_and_lost_lines_are_reported() {
    let (permit_writes, write_permits) = sync_channel(1);
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockingOutput { write_permits, written: Arc::clone(&written) };
    let (mut log, flush) = LogWriter::start(output).unwrap();
    // With one line in the blocked write and a full channel, all further lines are lost.
    let lines = MAX_QUEUED_LINES + 100;
    for number in 0..lines {
        log.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    drop(permit_writes);
    // The channel may still be full, in which case flushing at exit does not wait for it.
    while log.commands.try_send(Command::Line(b"last\n".to_vec())).is_err() {}
    drop(flush);
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(text.starts_with("line 0\n"), "{}", &text[..40]);
    assert!(text.contains(" log lines were lost here"));
    assert!(text.contains("last\n"));
    assert!(!text.contains(&format!("line {}\n", lines - 1)));
}

#[test]
fn exit_waits_for_queued_lines() {
    let written = Arc::new(Mutex::new(Vec::new()));
    let (permit_writes, write_permits) = sync_channel(100);
    (0..100).for_each(|_| permit_writes.send(()).unwrap());
    let (mut log, flush) =
        LogWriter::start(BlockingOutput { write_permits, written: Arc::clone(&written) }).unwrap();
    for number in 0..50 {
        log.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    drop(flush);
    assert!(written.lock().unwrap().ends_with(b"line 49\n"));
}
