//! A wrapper around a server's socket that counts the bytes read and written, which hyper does not expose.

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

use crate::counts::RequestCounters;

/// A slot in the limit on connections to servers, released on drop.
pub(crate) struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    pub(crate) fn acquire(open: &Rc<Cell<usize>>) -> ConnectionSlot {
        open.set(open.get() + 1);
        ConnectionSlot(open.clone())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to a server, shared between hyper and the attempt that uses it.
pub(crate) struct CountedSocket {
    stream: RefCell<TcpStream>,
    written: Cell<u64>,
    read: Cell<u64>,
    /// The value of `written` at which the current attempt is fully written; `None` if that is unknown or it
    /// has been counted.
    count_at: Cell<Option<u64>>,
    counters: Arc<RequestCounters>,
    received: Cell<bool>,
    notify: Notify,
    _slot: ConnectionSlot,
}

impl CountedSocket {
    pub(crate) fn new(
        stream: TcpStream,
        slot: ConnectionSlot,
        counters: Arc<RequestCounters>,
    ) -> CountedSocket {
        CountedSocket {
            stream: RefCell::new(stream),
            written: Cell::new(0),
            read: Cell::new(0),
            count_at: Cell::new(None),
            counters,
            received: Cell::new(false),
            notify: Notify::new(),
            _slot: slot,
        }
    }

    /// The number of bytes written to the socket.
    pub(crate) fn written(&self) -> u64 {
        self.written.get()
    }

    /// The number of bytes read from the socket.
    pub(crate) fn read(&self) -> u64 {
        self.read.get()
    }

    /// Counts the current attempt once this many bytes in total have been written, if that number is known.
    pub(crate) fn count_attempt_at(&self, count_at: Option<u64>) {
        self.count_at.set(count_at);
    }

    /// Waits until some part of an answer has arrived.
    pub(crate) async fn wait_received(&self) {
        while !self.received.get() {
            self.notify.notified().await;
        }
        self.received.set(false);
    }

    /// Forgets bytes that belonged to an earlier answer.
    pub(crate) fn reset_received(&self) {
        self.received.set(false);
    }

    /// Whether the kernel holds no unread bytes of the connection, nor its end.
    pub(crate) fn has_no_pending_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.stream.borrow()).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn record_written(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &polled {
            let written = self.written.get() + *bytes as u64;
            self.written.set(written);
            if self.count_at.get().is_some_and(|end| written >= end) {
                self.count_at.set(None);
                self.counters.count_attempt();
            }
        }
        polled
    }
}

/// The I/O interface of a [`CountedSocket`] for hyper.
pub(crate) struct HyperSocket(pub(crate) Rc<CountedSocket>);

impl AsyncRead for HyperSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(cx, buf);
        let new_bytes = buf.filled().len() - before;
        if new_bytes > 0 {
            self.0.read.set(self.0.read.get() + new_bytes as u64);
            self.0.received.set(true);
            self.0.notify.notify_one();
        }
        polled
    }
}

impl AsyncWrite for HyperSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, buf);
        self.0.record_written(polled)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.0.record_written(polled)
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
