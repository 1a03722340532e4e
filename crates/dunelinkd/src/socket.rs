//! A thin wrapper round a client's socket, for what hyper does not show of the bytes that pass.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use dunelink_edge::wire::{self, Scanner};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// For how long a client that still sends may read why it was turned down, before the connection is closed:
/// to close on unread bytes resets the connection, and the answer may be lost with it.
const LINGER: Duration = Duration::from_secs(1);
/// How much of what it sends meanwhile is read.
const LINGER_MOST: usize = 1 << 20;

/// What was seen on a client's socket, shared with who answers it.
pub(crate) struct Seen {
    scanner: RefCell<Scanner>,
    lingers: Cell<bool>,
    /// When something was last written, and whether more waits to be.
    wrote: Cell<Instant>,
    waits: Cell<bool>,
}

impl Seen {
    /// Whether some of a request has come and some has not.
    pub(crate) fn has_begun(&self) -> bool {
        self.scanner.borrow().has_begun()
    }

    /// The head of the request at hand as it stood on the wire, if it could be followed up to there.
    pub(crate) fn next_head(&self) -> Option<wire::Head> {
        self.scanner.borrow_mut().next_head()
    }

    /// When something was last written to it.
    pub(crate) fn wrote(&self) -> Instant {
        self.wrote.get()
    }

    /// Whether there is something to write that its client makes no room for.
    pub(crate) fn waits_to_write(&self) -> bool {
        self.waits.get()
    }

    fn note_write(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.waits.set(polled.is_pending());
        if polled.is_ready() {
            self.wrote.set(Instant::now());
        }
        polled
    }

    /// The client may still be sending when it is answered, and the connection then ends.
    pub(crate) fn linger(&self) {
        self.lingers.set(true);
    }
}

/// A client's socket.
pub(crate) struct ClientSocket {
    stream: TcpStream,
    seen: Rc<Seen>,
    lingering: Option<(Pin<Box<Sleep>>, usize)>,
}

impl ClientSocket {
    pub(crate) fn new(stream: TcpStream) -> (ClientSocket, Rc<Seen>) {
        let seen = Rc::new(Seen {
            scanner: RefCell::default(),
            lingers: Cell::new(false),
            wrote: Cell::new(Instant::now()),
            waits: Cell::new(false),
        });
        (ClientSocket { stream, seen: seen.clone(), lingering: None }, seen)
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.seen.scanner.borrow_mut().take(&buf.filled()[before..]);
        polled
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.seen.note_write(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.seen.note_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.lingering.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            if !this.seen.lingers.get() {
                return Poll::Ready(Ok(()));
            }
        }
        let (timer, left) = this.lingering.get_or_insert_with(|| (Box::pin(sleep(LINGER)), LINGER_MOST));
        while timer.as_mut().poll(cx).is_pending() {
            if *left == 0 {
                return Poll::Pending;
            }
            let mut space = [0; 16 * 1024];
            let mut buf = ReadBuf::new(&mut space);
            match ready!(Pin::new(&mut this.stream).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => *left = left.saturating_sub(buf.filled().len()),
                _ => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}
