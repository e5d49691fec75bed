//! The clients' listener and its accept loop.

use super::clients::Clients;
use crate::say;
use socket2::{Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::sync::Arc;
use std::time::Duration;

pub fn open(at: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(at).map_err(|error| format!("listen: {at}: {error}"))
}

/// How long one accept may block on a listener that was handed in, before it is asked whether to go on.
const BLOCKED: Duration = Duration::from_millis(50);

/// The listener that this process has inherited as that descriptor, if it is one. Other processes hold it too.
pub fn inherited(number: RawFd) -> Result<TcpListener, String> {
    let wrong = |what: &str| format!("BALANCER_PASSED_SOCKET: descriptor {number} {what}");
    let open = std::fs::read_link(format!("/proc/self/fd/{number}"));
    if !open.is_ok_and(|to| to.to_string_lossy().starts_with("socket:")) {
        return Err(wrong("is no open socket"));
    }
    // Sound: it is open, and nothing else in this process knows its number.
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(number) });
    let tcp = socket.r#type().is_ok_and(|kind| kind == Type::STREAM)
        && socket.local_addr().is_ok_and(|at| at.as_socket().is_some());
    if !tcp || !socket.is_listener().unwrap_or(false) {
        return Err(wrong("is no listening TCP socket"));
    }
    // Not the flag for no blocking: that would be shared with the other processes, and an older one's accept would
    // spin on it.
    socket.set_read_timeout(Some(BLOCKED)).map_err(|error| wrong(&error.to_string()))?;
    Ok(socket.into())
}

/// A pause after a failed accept: without descriptors the next would fail at once, and spin.
pub const PAUSE: Duration = Duration::from_millis(10);

/// Accepts until the process ends; on a socket that others share, only from the moment it can serve, and no more
/// once it is told to end: what it took then and could not finish would be lost, and a successor is there for it.
pub fn run(listener: TcpListener, clients: Arc<Clients>) {
    while clients.shared && !clients.is_ready() && !clients.is_leaving() {
        std::thread::sleep(PAUSE);
    }
    while !(clients.shared && clients.is_leaving()) {
        clients.seats.room(|| clients.budget().clients);
        match listener.accept() {
            Ok((stream, _)) => {
                if clients.shared {
                    // It has the listener's time-out.
                    let _ = stream.set_read_timeout(None);
                }
                clients.welcome(stream);
            }
            Err(error) if super::passing(&error) => {}
            Err(error) => {
                say!("listener: accept failed: {error}");
                std::thread::sleep(PAUSE);
            }
        }
    }
    say!("listener: left to the successor");
}
