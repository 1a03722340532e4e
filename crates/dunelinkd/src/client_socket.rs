//! A thin wrapper of a client's socket that provides what hyper does not show of the byte stream.
//!
//! hyper reads no further than its next request. Bytes that a client sent behind it hide that the client has
//! closed the connection, as a close comes last in the stream. So the bytes that hyper leaves unread are read
//! ahead here, up to a limit.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use dunelink_edge::wire::{self, Scanner};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// How long a client may read its last answer before the connection is closed, while the data that it sends
/// is read and discarded: closing a socket with unread bytes resets the connection, and the answer may be
/// lost with it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long it may do so in any case, even if other clients wait for a connection.
const MIN_LINGER_TIME: Duration = Duration::from_millis(20);
/// Maximum number of bytes that are read and discarded meanwhile.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Maximum number of bytes read ahead of hyper while a body is received, at a rate that its server
/// determines.
const MAX_BODY_READ_AHEAD_BYTES: usize = 32 * 1024;
/// Maximum number of bytes read ahead behind a request: hundreds of requests, or several with the longest
/// bodies that are buffered.
const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// Maximum number of bytes read ahead on all connections together.
const MAX_TOTAL_READ_AHEAD_BYTES: usize = 8 << 20;
/// Interval between checks whether a client has closed its connection when no more is read ahead of it.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a client's socket, shared between hyper and the task that answers the requests.
pub(crate) struct SocketState {
    stream: RefCell<TcpStream>,
    scanner: RefCell<Scanner>,
    /// When each request was completely received that hyper has not handed over yet, and how many it has
    /// handed over.
    received_at: RefCell<VecDeque<Instant>>,
    handed_over: Cell<u64>,
    /// The bytes read ahead of hyper, their number on all connections, and whether hyper itself waits for
    /// more.
    read_ahead: RefCell<BytesMut>,
    total_read_ahead: Rc<Cell<usize>>,
    hyper_waits: Cell<bool>,
    /// Whether the client has sent more than may be read ahead; the excess is read and discarded.
    discards_excess: Cell<bool>,
    /// Timer of the next check for a close when no more is read ahead.
    close_check: RefCell<Option<Pin<Box<Sleep>>>>,
    /// When the connection began, when data was last written, if any was, and whether a write is pending.
    started: Instant,
    last_write: Cell<Option<Instant>>,
    write_pending: Cell<bool>,
    /// Since when it is closed, except that data from its client is still read and discarded.
    lingering_since: Cell<Option<Instant>>,
}

impl SocketState {
    fn new(stream: TcpStream, total_read_ahead: Rc<Cell<usize>>) -> SocketState {
        SocketState {
            stream: RefCell::new(stream),
            scanner: RefCell::default(),
            received_at: RefCell::default(),
            handed_over: Cell::new(0),
            read_ahead: RefCell::default(),
            total_read_ahead,
            hyper_waits: Cell::new(false),
            discards_excess: Cell::new(false),
            close_check: RefCell::default(),
            started: Instant::now(),
            last_write: Cell::new(None),
            write_pending: Cell::new(false),
            lingering_since: Cell::new(None),
        }
    }

    /// Since when the connection lingers, if its client has had the minimum time to read the last answer.
    pub(crate) fn lingering_since(&self) -> Option<Instant> {
        self.lingering_since.get().filter(|since| since.elapsed() >= MIN_LINGER_TIME)
    }

    /// Whether a request has been received in part.
    pub(crate) fn has_begun(&self) -> bool {
        self.scanner.borrow().is_mid_request()
    }

    /// Whether more was received than the requests that were handed over: another request, a part of one, or
    /// bytes that are not read yet.
    pub(crate) fn has_more(&self) -> bool {
        let unread = |mut byte: [MaybeUninit<u8>; 1]| SockRef::from(&*self.stream.borrow()).peek(&mut byte);
        self.scanner.borrow().has_pending_input()
            || unread([MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
    }

    /// Whether received data was discarded, so that the current answer is the last one on the connection.
    pub(crate) fn discards_excess(&self) -> bool {
        self.discards_excess.get()
    }

    /// The head, as it was on the wire, of the request that was just handed over, and when the last byte of
    /// the request was received, if it was. `None` if the stream could not be parsed up to there.
    pub(crate) fn next_head(&self) -> Option<(wire::RawHead, Option<Instant>)> {
        let head = self.scanner.borrow_mut().next_head()?;
        self.handed_over.set(self.handed_over.get() + 1);
        Some((head, self.received_at.borrow_mut().pop_front()))
    }

    /// Time since data was last written, or since the connection began.
    pub(crate) fn time_since_write(&self) -> Duration {
        self.last_write.get().unwrap_or(self.started).elapsed()
    }

    /// Whether there is data to write that the client does not make room for by reading.
    pub(crate) fn has_pending_write(&self) -> bool {
        self.write_pending.get()
    }

    fn record_write(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.write_pending.set(polled.is_pending());
        if polled.is_ready() {
            self.last_write.set(Some(Instant::now()));
        }
        polled
    }

    /// Reads from the socket, and passes the data to the scanner.
    fn poll_fill(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf))?;
        let mut scanner = self.scanner.borrow_mut();
        scanner.feed(&buf.filled()[before..]);
        let mut received_at = self.received_at.borrow_mut();
        let pending = scanner.completed_requests().saturating_sub(self.handed_over.get());
        received_at.resize(usize::try_from(pending).unwrap_or(usize::MAX), Instant::now());
        Poll::Ready(Ok(()))
    }

    /// To be called before each poll of hyper's connection.
    pub(crate) fn begin_poll(&self) {
        self.hyper_waits.set(false);
    }

    /// Ready once the client has closed or reset its connection, even if hyper has not read all of its bytes.
    /// To be called after each poll of hyper's connection; while hyper itself waits for bytes, it detects the
    /// close itself.
    pub(crate) fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.hyper_waits.get() {
            let read_ahead = self.read_ahead.borrow().len();
            let body_incomplete = self.scanner.borrow().completed_requests() < self.handed_over.get();
            if body_incomplete && read_ahead >= MAX_BODY_READ_AHEAD_BYTES
                || self.total_read_ahead.get() >= MAX_TOTAL_READ_AHEAD_BYTES
            {
                return self.poll_read_closed(cx);
            }
            if read_ahead >= MAX_READ_AHEAD_BYTES {
                self.discards_excess.set(true);
                self.take_read_ahead(read_ahead);
            }
            let mut space = [MaybeUninit::uninit(); 16 * 1024];
            let mut buf = ReadBuf::uninit(&mut space);
            match ready!(self.poll_fill(cx, &mut buf)) {
                Ok(()) if buf.filled().is_empty() => return Poll::Ready(()),
                Ok(()) if self.discards_excess.get() => {}
                Ok(()) => {
                    self.read_ahead.borrow_mut().extend_from_slice(buf.filled());
                    self.total_read_ahead.set(self.total_read_ahead.get() + buf.filled().len());
                    // hyper may be ready for these bytes by now.
                    cx.waker().wake_by_ref();
                }
                Err(_) => return Poll::Ready(()),
            }
        }
        Poll::Pending
    }

    /// Takes this many of the bytes that were read ahead.
    fn take_read_ahead(&self, bytes: usize) -> BytesMut {
        let mut read_ahead = self.read_ahead.borrow_mut();
        self.total_read_ahead.set(self.total_read_ahead.get() - bytes);
        match bytes == read_ahead.len() {
            true => std::mem::take(&mut *read_ahead),
            false => read_ahead.split_to(bytes),
        }
    }

    /// Like [`SocketState::poll_disconnected`], for a connection on which no more is read ahead.
    fn poll_read_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        let stream = self.stream.borrow();
        let mut close_check = self.close_check.borrow_mut();
        let close_check = close_check.get_or_insert_with(|| Box::pin(sleep(CLOSE_CHECK_INTERVAL)));
        loop {
            let state = pin!(stream.ready(Interest::READABLE)).poll(cx);
            if matches!(state, Poll::Ready(state) if state.as_ref().map_or(true, |state| state.is_read_closed()))
            {
                return Poll::Ready(());
            }
            ready!(close_check.as_mut().poll(cx));
            close_check.as_mut().reset(Instant::now() + CLOSE_CHECK_INTERVAL);
        }
    }
}

impl Drop for SocketState {
    fn drop(&mut self) {
        self.total_read_ahead.set(self.total_read_ahead.get() - self.read_ahead.borrow().len());
    }
}

/// The socket of a client as hyper sees it.
pub(crate) struct ClientSocket {
    state: Rc<SocketState>,
    /// While the connection lingers: the timer, and how many more bytes are read.
    lingering: Option<(Pin<Box<Sleep>>, usize)>,
}

impl ClientSocket {
    /// The socket for hyper, and the shared state. `total_read_ahead` is the number of bytes read ahead on
    /// all connections.
    pub(crate) fn new(
        stream: TcpStream,
        total_read_ahead: Rc<Cell<usize>>,
    ) -> (ClientSocket, Rc<SocketState>) {
        let state = Rc::new(SocketState::new(stream, total_read_ahead));
        (ClientSocket { state: state.clone(), lingering: None }, state)
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let read_ahead = self.state.read_ahead.borrow().len().min(buf.remaining());
        if read_ahead > 0 {
            buf.put_slice(&self.state.take_read_ahead(read_ahead));
            return Poll::Ready(Ok(()));
        }
        let polled = self.state.poll_fill(cx, buf);
        self.state.hyper_waits.set(polled.is_pending());
        polled
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.state.stream.borrow_mut()).poll_write(cx, buf);
        self.state.record_write(polled)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.state.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.state.record_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.state.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.state.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.lingering.is_none() {
            ready!(Pin::new(&mut *this.state.stream.borrow_mut()).poll_shutdown(cx))?;
            // If nothing was written recently, no answer can be lost.
            if this.state.last_write.get().is_none_or(|at| at.elapsed() > LINGER_TIMEOUT) {
                return Poll::Ready(Ok(()));
            }
            this.state.lingering_since.set(Some(Instant::now()));
        }
        let (timer, bytes_left) =
            this.lingering.get_or_insert_with(|| (Box::pin(sleep(LINGER_TIMEOUT)), MAX_LINGER_BYTES));
        while timer.as_mut().poll(cx).is_pending() {
            if *bytes_left == 0 {
                return Poll::Pending;
            }
            let mut space = [MaybeUninit::uninit(); 16 * 1024];
            let mut buf = ReadBuf::uninit(&mut space);
            // Data received now belongs to no request, so it bypasses the scanner.
            match ready!(Pin::new(&mut *this.state.stream.borrow_mut()).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => {
                    *bytes_left = bytes_left.saturating_sub(buf.filled().len())
                }
                _ => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}
