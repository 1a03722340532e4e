//! A client socket that also scans the request heads, because hyper drops parts of a head before it passes a
//! request on, and that is reset if it closes before the end of a response without other framing.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use dunelink_edge::Fault;
use dunelink_edge::wire::Scanner;
use http::header::{self, HeaderMap};
use rustix::net::sockopt::set_socket_linger;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The request heads of a connection as they appeared on the wire.
#[derive(Debug, Clone, Default)]
pub struct RequestHeads(Rc<RefCell<HeadScanState>>);

#[derive(Debug, Default)]
struct HeadScanState {
    scanner: Scanner,
    /// When the first bytes of an incomplete request arrived; `None` if there is none.
    partial_since: Option<Instant>,
}

impl HeadScanState {
    fn scan(&mut self, bytes: &[u8]) {
        self.scanner.feed(bytes);
        if !self.scanner.is_mid_request() {
            self.partial_since = None;
        } else if self.partial_since.is_none() {
            self.partial_since = Some(Instant::now());
        }
    }
}

impl RequestHeads {
    /// Returns when the first bytes of an incomplete request arrived; `None` if there is none. Chunked bodies
    /// are not tracked.
    pub fn partial_since(&self) -> Option<Instant> {
        self.0.borrow().partial_since
    }

    /// Checks that the request that hyper just passed on ends where hyper assumes it does.
    ///
    /// # Errors
    ///
    /// The head states the end of the body in two ways, or the body is chunked and the head could not be
    /// scanned.
    pub fn check_framing(&self, headers: &HeaderMap) -> Result<(), Fault> {
        match self.0.borrow_mut().scanner.next_head() {
            Some(head) => head.check(),
            None if headers.contains_key(header::TRANSFER_ENCODING) => Err(Fault::ConflictingFraming),
            None => Ok(()),
        }
    }

    /// Records that the chunked body of the current request is complete: the next bytes are a head.
    pub fn end_chunked_body(&self) {
        *self.0.borrow_mut() = HeadScanState::default();
    }
}

/// Whether a client connection is reset when it is closed, instead of being closed regularly. The regular
/// close is the end of a response that has neither a length nor chunks, so until such a response is complete
/// any other close is a reset.
#[derive(Debug, Clone, Default)]
pub struct ResetOnClose(Rc<Cell<bool>>);

impl ResetOnClose {
    /// Sets whether the connection is reset when it is closed.
    pub fn set(&self, resets: bool) {
        self.0.set(resets);
    }
}

/// The socket that hyper reads and writes.
pub struct ClientSocket {
    stream: TcpStream,
    heads: RequestHeads,
    reset_on_close: ResetOnClose,
    /// Whether the socket option that resets the connection is set.
    is_reset_set: bool,
}

impl ClientSocket {
    /// Creates a socket that records the scanned heads in `heads` and is closed as `reset_on_close` says.
    pub fn new(stream: TcpStream, heads: RequestHeads, reset_on_close: ResetOnClose) -> Self {
        Self { stream, heads, reset_on_close, is_reset_set: false }
    }

    /// Passes a change of [`ResetOnClose`] on to the operating system, so that it also holds if the process
    /// is killed.
    fn apply_reset_on_close(&mut self) {
        let resets = self.reset_on_close.0.get();
        if resets != self.is_reset_set {
            self.is_reset_set = set_socket_linger(&self.stream, resets.then_some(Duration::ZERO))
                .map_or(self.is_reset_set, |()| resets);
        }
    }
}

impl Drop for ClientSocket {
    fn drop(&mut self) {
        self.apply_reset_on_close();
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.heads.0.borrow_mut().scan(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.apply_reset_on_close();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_reset_on_close();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
