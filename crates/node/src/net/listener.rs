//! The clients' listener and its accept loop.

use super::clients::Clients;
use crate::log_info;
use socket2::{Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Why there is no listener for clients.
#[derive(Debug, Error)]
pub enum ListenError {
    /// The configured address can't be opened.
    #[error("listen: {address}: {source}")]
    Bind { address: SocketAddr, source: io::Error },
    /// The descriptor that was handed in is not open, or is something else.
    #[error("BALANCER_PASSED_SOCKET: descriptor {descriptor} is no open socket")]
    NotASocket { descriptor: RawFd },
    /// The socket that was handed in does not listen, or not for TCP.
    #[error("BALANCER_PASSED_SOCKET: descriptor {descriptor} is no listening TCP socket")]
    NotAListener { descriptor: RawFd },
    /// The listener that was handed in takes no time-out.
    #[error("BALANCER_PASSED_SOCKET: descriptor {descriptor} {source}")]
    NoTimeout { descriptor: RawFd, source: io::Error },
}

/// Opens a listener at the configured address.
pub fn open(address: SocketAddr) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).map_err(|source| ListenError::Bind { address, source })
}

/// How long one accept may block on a listener that was handed in, before it is asked whether to go on.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(50);

/// The listener that this process has inherited as that descriptor, if it is one. Other processes hold it too.
pub fn inherited(descriptor: RawFd) -> Result<TcpListener, ListenError> {
    let open = std::fs::read_link(format!("/proc/self/fd/{descriptor}"));
    if !open.is_ok_and(|to| to.to_string_lossy().starts_with("socket:")) {
        return Err(ListenError::NotASocket { descriptor });
    }
    // Sound: it is open, and nothing else in this process knows its number.
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(descriptor) });
    let tcp = socket.r#type().is_ok_and(|kind| kind == Type::STREAM)
        && socket.local_addr().is_ok_and(|at| at.as_socket().is_some());
    if !tcp || !socket.is_listener().unwrap_or(false) {
        return Err(ListenError::NotAListener { descriptor });
    }
    // Not the flag for no blocking: that would be shared with the other processes, and an older one's accept would
    // spin on it.
    let set = socket.set_read_timeout(Some(ACCEPT_TIMEOUT));
    set.map_err(|source| ListenError::NoTimeout { descriptor, source })?;
    Ok(socket.into())
}

/// A pause after a failed accept: without descriptors the next would fail at once, and spin.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts until the process ends; on a socket that others share, only from the moment it can serve, and no more
/// once it is told to end: what it took then and could not finish would be lost, and a successor is there for it.
pub fn run(listener: TcpListener, clients: Arc<Clients>) {
    while clients.shared && !clients.is_ready() && !clients.is_shutting_down() {
        std::thread::sleep(ACCEPT_RETRY_DELAY);
    }
    while !(clients.shared && clients.is_shutting_down()) {
        clients.client_slots.wait_for_capacity(|| clients.budget().clients);
        match listener.accept() {
            Ok((stream, _)) => {
                if clients.shared {
                    // It has the listener's time-out.
                    let _ = stream.set_read_timeout(None);
                }
                clients.accept_connection(stream);
            }
            Err(error) if super::is_transient(&error) => {}
            Err(error) => {
                log_info!("listener: accept failed: {error}");
                std::thread::sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
    log_info!("listener: left to the successor");
}
