//! A socket to a server.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The state of a socket that its connection reads and changes while hyper owns the socket.
#[derive(Debug, Default)]
pub(super) struct SocketState {
    written_bytes: Cell<u64>,
    awaits_response: Cell<bool>,
}

impl SocketState {
    /// Returns the number of bytes written so far. A request whose head was not written completely has not
    /// been executed.
    pub(super) fn written_bytes(&self) -> u64 {
        self.written_bytes.get()
    }

    /// Sets whether a request was sent whose response is incomplete. Then the socket is reset when it is
    /// dropped.
    pub(super) fn set_awaits_response(&self, awaits_response: bool) {
        self.awaits_response.set(awaits_response);
    }
}

/// A socket that is reset if it is dropped, or if the process ends, before the response to a request on it is
/// complete. After a regular close the kernel still delivers what the network holds up, so that a server
/// could execute a request long after it was given up; a reset discards it.
pub(super) struct UpstreamSocket {
    stream: TcpStream,
    state: Rc<SocketState>,
}

impl UpstreamSocket {
    /// Takes over a connected socket.
    ///
    /// # Errors
    ///
    /// The operating system rejects the socket option.
    pub(super) fn new(stream: TcpStream) -> io::Result<(Self, Rc<SocketState>)> {
        // The option is set from the beginning because a process that is killed can't set it.
        set_socket_linger(&stream, Some(Duration::ZERO))?;
        let state = Rc::<SocketState>::default();
        Ok((Self { stream, state: state.clone() }, state))
    }

    fn count_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.state.written_bytes.set(self.state.written_bytes.get() + *bytes as u64);
        }
        result
    }
}

impl Drop for UpstreamSocket {
    fn drop(&mut self) {
        if !self.state.awaits_response.get() {
            // If this fails, the socket is reset.
            let _ = set_socket_linger(&self.stream, None);
        }
    }
}

impl AsyncRead for UpstreamSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for UpstreamSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
