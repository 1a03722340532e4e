//! A client socket that also scans the request heads, because hyper drops parts of a head before it passes a
//! request on.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use dunelink_edge::Fault;
use dunelink_edge::wire::Scanner;
use http::header::{self, HeaderMap};
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

/// The socket that hyper reads and writes.
pub struct ClientSocket {
    stream: TcpStream,
    heads: RequestHeads,
}

impl ClientSocket {
    /// Creates a socket that records the scanned heads in `heads`.
    pub fn new(stream: TcpStream, heads: RequestHeads) -> Self {
        Self { stream, heads }
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
