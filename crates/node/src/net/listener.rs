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

/// Why the clients' listener is not available.
#[derive(Debug, Error)]
pub enum ListenError {
    /// The configured address could not be bound.
    #[error("listen: {address}: {source}")]
    Bind { address: SocketAddr, source: io::Error },
    /// The inherited descriptor is not open, or is not a socket.
    #[error("BALANCER_PASSED_SOCKET: descriptor {descriptor} is no open socket")]
    NotASocket { descriptor: RawFd },
    /// The inherited socket is not listening, or is not a TCP socket.
    #[error("BALANCER_PASSED_SOCKET: descriptor {descriptor} is no listening TCP socket")]
    NotAListener { descriptor: RawFd },
    /// A time-out could not be set on the inherited listener.
    #[error("BALANCER_PASSED_SOCKET: descriptor {descriptor} {source}")]
    NoTimeout { descriptor: RawFd, source: io::Error },
}

/// Binds a listener to the configured address.
pub fn open(address: SocketAddr) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).map_err(|source| ListenError::Bind { address, source })
}

/// How long one accept on an inherited listener may block before the shutdown flag is checked again.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(50);

/// The listener that this process has inherited as this descriptor. Other processes may hold it too.
pub fn inherited(descriptor: RawFd) -> Result<TcpListener, ListenError> {
    let open = std::fs::read_link(format!("/proc/self/fd/{descriptor}"));
    if !open.is_ok_and(|to| to.to_string_lossy().starts_with("socket:")) {
        return Err(ListenError::NotASocket { descriptor });
    }
    // SAFETY: the descriptor is open, and no other code in this process knows its number.
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(descriptor) });
    let tcp = socket.r#type().is_ok_and(|kind| kind == Type::STREAM)
        && socket.local_addr().is_ok_and(|at| at.as_socket().is_some());
    if !tcp || !socket.is_listener().unwrap_or(false) {
        return Err(ListenError::NotAListener { descriptor });
    }
    // A receive time-out is set instead of O_NONBLOCK: that flag is shared with the other processes, and the
    // accept loop of an older one would spin on it.
    let set = socket.set_read_timeout(Some(ACCEPT_TIMEOUT));
    set.map_err(|source| ListenError::NoTimeout { descriptor, source })?;
    Ok(socket.into())
}

/// Delay after a failed accept. Without it, running out of descriptors would make the loop spin.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until the process ends. On a shared listener it starts when the node is ready and stops
/// at shutdown, because a connection accepted later could not be finished, and a successor is there to accept
/// it.
pub fn run(listener: TcpListener, clients: Arc<Clients>) {
    while clients.shared && !clients.is_ready() && !clients.is_shutting_down() {
        std::thread::sleep(ACCEPT_RETRY_DELAY);
    }
    while !(clients.shared && clients.is_shutting_down()) {
        clients.client_slots.wait_for_capacity(|| clients.budget().clients);
        match listener.accept() {
            Ok((stream, _)) => {
                if clients.shared {
                    // The connection inherits the listener's time-out.
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
