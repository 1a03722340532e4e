//! A client's socket, for what hyper drops of a head before it hands a request on.

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

/// The heads of the requests on a connection as they stood on the wire.
#[derive(Debug, Clone, Default)]
pub struct RequestHeads(Rc<RefCell<HeadScanState>>);

#[derive(Debug, Default)]
struct HeadScanState {
    scanner: Scanner,
    /// Since when a part of a request is there, if the rest is not.
    partial_since: Option<Instant>,
}

impl HeadScanState {
    fn scan(&mut self, bytes: &[u8]) {
        self.scanner.take(bytes);
        if !self.scanner.has_begun() {
            self.partial_since = None;
        } else if self.partial_since.is_none() {
            self.partial_since = Some(Instant::now());
        }
    }
}

impl RequestHeads {
    /// Since when a part of a request is there, if the rest is not. Bodies in chunks are not followed.
    pub fn partial_since(&self) -> Option<Instant> {
        self.0.borrow().partial_since
    }

    /// Whether the request that was just handed over ends where hyper says.
    ///
    /// # Errors
    ///
    /// It states its end in two ways, or it comes in chunks and its head could not be followed.
    pub fn check_framing(&self, headers: &HeaderMap) -> Result<(), Fault> {
        match self.0.borrow_mut().scanner.next_head() {
            Some(head) => head.check(),
            None if headers.contains_key(header::TRANSFER_ENCODING) => Err(Fault::TwoFramings),
            None => Ok(()),
        }
    }

    /// The body in chunks of the request at hand has come whole: what comes next is a head.
    pub fn end_chunked_body(&self) {
        *self.0.borrow_mut() = HeadScanState::default();
    }
}

/// hyper's side of a client's connection.
pub struct ClientSocket {
    stream: TcpStream,
    heads: RequestHeads,
}

impl ClientSocket {
    /// Follows the heads that come, in `heads`.
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
