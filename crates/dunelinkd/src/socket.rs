//! A thin wrapper round a client's socket, for what hyper does not show of the bytes that pass.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// For how long a client that still sends may read why it was turned down, before the connection is closed:
/// to close on unread bytes resets the connection, and the answer may be lost with it.
const LINGER: Duration = Duration::from_secs(1);
/// How much of what it sends meanwhile is read.
const LINGER_MOST: usize = 1 << 20;

/// The header that must not stand beside `Transfer-Encoding`.
const LENGTH: &[u8] = b"content-length:";

/// What has passed of the message that a client sends.
struct Passing {
    in_head: bool,
    /// How much of the current line has come, line ends aside, and whether it begins as [`LENGTH`] does.
    line: usize,
    alike: bool,
    /// Whether its first line has begun: empty lines before it are skipped.
    begun: bool,
    /// Lines that state a length.
    lengths: usize,
    /// Bytes behind the head.
    behind: u64,
    /// Whether bytes of one message may have passed for another's.
    blurred: bool,
}

impl Passing {
    fn new(blurred: bool) -> Passing {
        Passing { in_head: true, line: 0, alike: true, begun: false, lengths: 0, behind: 0, blurred }
    }

    fn take(&mut self, bytes: &[u8]) {
        for (at, byte) in bytes.iter().enumerate() {
            if !self.in_head {
                self.behind += (bytes.len() - at) as u64;
                return;
            }
            match byte {
                b'\r' => {}
                b'\n' => {
                    self.in_head = self.line > 0 || !self.begun;
                    (self.line, self.alike) = (0, true);
                }
                _ => {
                    self.begun = true;
                    self.alike &= LENGTH.get(self.line).is_none_or(|b| b.eq_ignore_ascii_case(byte));
                    self.line += 1;
                    self.lengths += usize::from(self.alike && self.line == LENGTH.len());
                }
            }
        }
    }
}

/// What was seen on a client's socket, shared with who answers it.
pub(crate) struct Seen {
    passing: RefCell<Passing>,
    lingers: Cell<bool>,
}

impl Seen {
    /// Whether some of a request has come.
    pub(crate) fn has_begun(&self) -> bool {
        self.passing.borrow().begun
    }

    /// Whether the head of the request at hand may state a length, which hyper drops if the request has a
    /// `Transfer-Encoding` too.
    pub(crate) fn has_length(&self) -> bool {
        let passing = self.passing.borrow();
        passing.lengths > 0 || passing.in_head || passing.blurred
    }

    /// The request at hand has been read whole, with a body of this length if that is known.
    pub(crate) fn read_whole(&self, length: Option<u64>) {
        let mut passing = self.passing.borrow_mut();
        let blurred = passing.blurred || passing.in_head || length != Some(passing.behind);
        *passing = Passing::new(blurred);
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
        let seen = Rc::new(Seen { passing: RefCell::new(Passing::new(false)), lingers: Cell::new(false) });
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
        self.seen.passing.borrow_mut().take(&buf.filled()[before..]);
        polled
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
