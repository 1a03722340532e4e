//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;

/// Limits of what the kernel keeps for a listening socket. Received bytes that were not read yet count as memory of
/// the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenLimits {
    /// Maximum number of connections that are not accepted yet.
    pub max_pending: usize,
    /// Size of the receive buffer of an accepted connection, in bytes; `None` to let the kernel adapt it. The kernel
    /// doubles it for its own overhead.
    pub receive_buffer_bytes: Option<usize>,
}

/// Listens on an address, even if connections to it from before a restart are still in `TIME_WAIT`.
///
/// # Errors
///
/// The address is in use, or does not belong to this machine.
pub fn listen(address: SocketAddr, limits: ListenLimits) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    if let Some(bytes) = limits.receive_buffer_bytes {
        // Accepted sockets inherit the limit. Without it, requests are received correctly.
        let _ = socket.set_recv_buffer_size(bytes);
    }
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(limits.max_pending).unwrap_or(i32::MAX))?;
    TcpListener::from_std(socket.into())
}
