//! The thin driver: threads that read and write sockets and tell the desk.

pub mod calls;
pub mod clients;
pub mod directory;
pub mod executors;
pub mod lines;
pub mod listener;
pub mod members;
pub mod outlet;
pub mod peers;

pub use crate::store::seats::look;
use crate::wire::http::{Response, ResponseReader};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// Bytes read at once.
pub const CHUNK: usize = 8 * 1024;

/// Sends `text` and reads the answer to it; what is wrong with that, or the reason why none came in time.
pub fn exchange(
    mut stream: &TcpStream,
    text: &str,
    until: Instant,
) -> Result<Result<Response, String>, &'static str> {
    stream.write_all(text.as_bytes()).map_err(|_| "unwritten")?;
    let (mut gather, mut chunk) = (ResponseReader::default(), [0; CHUNK]);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return Err("silent");
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err("closed"),
            Ok(read) => match gather.feed(&chunk[..read]) {
                Ok(None) => {}
                Ok(Some(whole)) => return Ok(Ok(whole)),
                Err(error) => return Ok(Err(error.to_string())),
            },
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err("silent");
            }
            Err(_) => return Err("reset"),
        }
    }
}

/// Nothing has come yet: the wait was interrupted or timed out, or the socket was switched for a look.
pub fn passing(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
