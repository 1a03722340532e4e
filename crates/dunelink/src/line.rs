//! A thin wrapper round a server's socket, for what hyper does not show of the bytes that pass.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::counts::Tally;

/// A place in the budget for connections to servers.
pub(crate) struct Place(Rc<Cell<usize>>);

impl Place {
    pub(crate) fn taken(open: &Rc<Cell<usize>>) -> Place {
        open.set(open.get() + 1);
        Place(open.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to a server, shared between hyper and who uses it.
pub(crate) struct Line {
    stream: RefCell<TcpStream>,
    written: Cell<u64>,
    read: Cell<u64>,
    /// Where the attempt at hand ends among them, until it is counted.
    ends_at: Cell<Option<u64>>,
    tally: Arc<Tally>,
    came: Cell<bool>,
    notify: Notify,
    _place: Place,
}

impl Line {
    pub(crate) fn new(stream: TcpStream, place: Place, tally: Arc<Tally>) -> Line {
        Line {
            stream: RefCell::new(stream),
            written: Cell::new(0),
            read: Cell::new(0),
            ends_at: Cell::new(None),
            tally,
            came: Cell::new(false),
            notify: Notify::new(),
            _place: place,
        }
    }

    /// How many bytes have been written to it.
    pub(crate) fn written(&self) -> u64 {
        self.written.get()
    }

    /// How many bytes have been read from it.
    pub(crate) fn read(&self) -> u64 {
        self.read.get()
    }

    /// The attempt at hand counts once so many bytes have been written, if that is known.
    pub(crate) fn count_at(&self, ends_at: Option<u64>) {
        self.ends_at.set(ends_at);
    }

    /// Waits until some part of an answer has come.
    pub(crate) async fn something_came(&self) {
        while !self.came.get() {
            self.notify.notified().await;
        }
        self.came.set(false);
    }

    /// What has come was another answer's.
    pub(crate) fn forget_what_came(&self) {
        self.came.set(false);
    }

    /// Whether the kernel holds nothing of it that is still to be read, nor its end.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.stream.borrow()).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn count(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &polled {
            let written = self.written.get() + *bytes as u64;
            self.written.set(written);
            if self.ends_at.get().is_some_and(|end| written >= end) {
                self.ends_at.set(None);
                self.tally.attempted();
            }
        }
        polled
    }
}

/// hyper's side of a [`Line`].
pub(crate) struct ServerSocket(pub(crate) Rc<Line>);

impl AsyncRead for ServerSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(cx, buf);
        let came = buf.filled().len() - before;
        if came > 0 {
            self.0.read.set(self.0.read.get() + came as u64);
            self.0.came.set(true);
            self.0.notify.notify_one();
        }
        polled
    }
}

impl AsyncWrite for ServerSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, buf);
        self.0.count(polled)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.0.count(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}
