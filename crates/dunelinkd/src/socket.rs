//! A thin wrapper round a client's socket, for what hyper does not show of the bytes that pass.
//!
//! hyper reads no further than its next request. What a client sent behind that hides its end: a close is the last
//! thing in the stream. So what hyper leaves unread is read ahead here, up to a bound.

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

/// For how long a client may read its last answer before the connection is closed, while what it sends is read and
/// dropped: to close on unread bytes resets the connection, and the answer may be lost with it.
const LINGER: Duration = Duration::from_secs(1);
/// For how long in any case, where others wait for its place.
const LINGER_LEAST: Duration = Duration::from_millis(20);
/// How much of what it sends meanwhile is read.
const LINGER_MOST: usize = 1 << 20;
/// How much is read ahead of hyper while a body comes, whose pace is its server's.
const BODY_AHEAD: usize = 32 * 1024;
/// How much is read ahead behind a request: hundreds of requests, or several with the longest bodies that are held.
const AHEAD_MOST: usize = 256 * 1024;
/// How much is read ahead on all connections together.
const AHEAD_ALL: usize = 8 << 20;
/// How often a client of which no more is read ahead is looked after.
const LOOK: Duration = Duration::from_millis(50);

/// A client's connection, shared between hyper and who answers it.
pub(crate) struct Seen {
    stream: RefCell<TcpStream>,
    scanner: RefCell<Scanner>,
    /// When each request came whole that hyper has not handed over yet, and how many it has handed over.
    came: RefCell<VecDeque<Instant>>,
    handed: Cell<u64>,
    /// What was read ahead of hyper, and whether hyper itself waits for more.
    ahead: RefCell<BytesMut>,
    ahead_all: Rc<Cell<usize>>,
    reads: Cell<bool>,
    /// Whether its client has sent more than is read ahead: that is read and dropped.
    floods: Cell<bool>,
    /// When to look for the end of one of which no more is read.
    look: RefCell<Option<Pin<Box<Sleep>>>>,
    /// When it began, when something was last written, if anything was, and whether more waits to be.
    since: Instant,
    wrote: Cell<Option<Instant>>,
    waits: Cell<bool>,
    /// Since when it is closed but for what its client still sends.
    lingers: Cell<Option<Instant>>,
}

impl Seen {
    fn new(stream: TcpStream, ahead_all: Rc<Cell<usize>>) -> Seen {
        Seen {
            stream: RefCell::new(stream),
            scanner: RefCell::default(),
            came: RefCell::default(),
            handed: Cell::new(0),
            ahead: RefCell::default(),
            ahead_all,
            reads: Cell::new(false),
            floods: Cell::new(false),
            look: RefCell::default(),
            since: Instant::now(),
            wrote: Cell::new(None),
            waits: Cell::new(false),
            lingers: Cell::new(None),
        }
    }

    /// Since when it holds a place for hardly anything: it had its last answer, and some time to read that.
    pub(crate) fn lingers_since(&self) -> Option<Instant> {
        self.lingers.get().filter(|since| since.elapsed() >= LINGER_LEAST)
    }

    /// Whether some of a request has come and some has not.
    pub(crate) fn has_begun(&self) -> bool {
        self.scanner.borrow().is_mid_request()
    }

    /// Whether more has come than the requests that were handed over: another one, a part of one, or bytes that were
    /// not read yet.
    pub(crate) fn has_more(&self) -> bool {
        let unread = |mut byte: [MaybeUninit<u8>; 1]| SockRef::from(&*self.stream.borrow()).peek(&mut byte);
        self.scanner.borrow().has_pending_input()
            || unread([MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
    }

    /// Whether some of what came was dropped: the answer at hand is the connection's last.
    pub(crate) fn floods(&self) -> bool {
        self.floods.get()
    }

    /// The head of the request that was just handed over as it stood on the wire, if it could be followed up to there,
    /// and when its last byte came, if it has.
    pub(crate) fn next_head(&self) -> Option<(wire::RawHead, Option<Instant>)> {
        let head = self.scanner.borrow_mut().next_head()?;
        self.handed.set(self.handed.get() + 1);
        Some((head, self.came.borrow_mut().pop_front()))
    }

    /// For how long nothing has been written to it.
    pub(crate) fn unwritten_for(&self) -> Duration {
        self.wrote.get().unwrap_or(self.since).elapsed()
    }

    /// Whether there is something to write that its client makes no room for.
    pub(crate) fn waits_to_write(&self) -> bool {
        self.waits.get()
    }

    fn note_write(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.waits.set(polled.is_pending());
        if polled.is_ready() {
            self.wrote.set(Some(Instant::now()));
        }
        polled
    }

    /// Reads from the socket, and follows what comes.
    fn poll_fill(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf))?;
        let mut scanner = self.scanner.borrow_mut();
        scanner.feed(&buf.filled()[before..]);
        let mut came = self.came.borrow_mut();
        let waiting = scanner.completed_requests().saturating_sub(self.handed.get());
        came.resize(usize::try_from(waiting).unwrap_or(usize::MAX), Instant::now());
        Poll::Ready(Ok(()))
    }

    /// Before hyper goes on.
    pub(crate) fn begin_turn(&self) {
        self.reads.set(false);
    }

    /// Ready once the client has closed or reset its connection, whatever of its bytes hyper has not read. Asked after
    /// each turn of hyper's; while that waits for bytes itself, it finds out itself.
    pub(crate) fn poll_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.reads.get() {
            let ahead = self.ahead.borrow().len();
            let body_comes = self.scanner.borrow().completed_requests() < self.handed.get();
            if body_comes && ahead >= BODY_AHEAD || self.ahead_all.get() >= AHEAD_ALL {
                return self.poll_shut(cx);
            }
            if ahead >= AHEAD_MOST {
                self.floods.set(true);
                self.take_ahead(ahead);
            }
            let mut space = [MaybeUninit::uninit(); 16 * 1024];
            let mut buf = ReadBuf::uninit(&mut space);
            match ready!(self.poll_fill(cx, &mut buf)) {
                Ok(()) if buf.filled().is_empty() => return Poll::Ready(()),
                Ok(()) if self.floods.get() => {}
                Ok(()) => {
                    self.ahead.borrow_mut().extend_from_slice(buf.filled());
                    self.ahead_all.set(self.ahead_all.get() + buf.filled().len());
                    // hyper may want it by now.
                    cx.waker().wake_by_ref();
                }
                Err(_) => return Poll::Ready(()),
            }
        }
        Poll::Pending
    }

    /// Takes so much of what was read ahead.
    fn take_ahead(&self, bytes: usize) -> BytesMut {
        let mut ahead = self.ahead.borrow_mut();
        self.ahead_all.set(self.ahead_all.get() - bytes);
        match bytes == ahead.len() {
            true => std::mem::take(&mut *ahead),
            false => ahead.split_to(bytes),
        }
    }

    /// The same for one of which no more is read ahead.
    fn poll_shut(&self, cx: &mut Context<'_>) -> Poll<()> {
        let stream = self.stream.borrow();
        let mut look = self.look.borrow_mut();
        let look = look.get_or_insert_with(|| Box::pin(sleep(LOOK)));
        loop {
            let state = pin!(stream.ready(Interest::READABLE)).poll(cx);
            if matches!(state, Poll::Ready(state) if state.as_ref().map_or(true, |state| state.is_read_closed()))
            {
                return Poll::Ready(());
            }
            ready!(look.as_mut().poll(cx));
            look.as_mut().reset(Instant::now() + LOOK);
        }
    }
}

impl Drop for Seen {
    fn drop(&mut self) {
        self.ahead_all.set(self.ahead_all.get() - self.ahead.borrow().len());
    }
}

/// hyper's side of a client's connection.
pub(crate) struct ClientSocket {
    seen: Rc<Seen>,
    lingering: Option<(Pin<Box<Sleep>>, usize)>,
}

impl ClientSocket {
    /// hyper's side, and what is seen. `ahead` is how much is read ahead on all connections.
    pub(crate) fn new(stream: TcpStream, ahead: Rc<Cell<usize>>) -> (ClientSocket, Rc<Seen>) {
        let seen = Rc::new(Seen::new(stream, ahead));
        (ClientSocket { seen: seen.clone(), lingering: None }, seen)
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let ahead = self.seen.ahead.borrow().len().min(buf.remaining());
        if ahead > 0 {
            buf.put_slice(&self.seen.take_ahead(ahead));
            return Poll::Ready(Ok(()));
        }
        let polled = self.seen.poll_fill(cx, buf);
        self.seen.reads.set(polled.is_pending());
        polled
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.seen.stream.borrow_mut()).poll_write(cx, buf);
        self.seen.note_write(polled)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.seen.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.seen.note_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.seen.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.seen.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.lingering.is_none() {
            ready!(Pin::new(&mut *this.seen.stream.borrow_mut()).poll_shutdown(cx))?;
            // Where nothing was answered lately, there is nothing to lose.
            if this.seen.wrote.get().is_none_or(|at| at.elapsed() > LINGER) {
                return Poll::Ready(Ok(()));
            }
            this.seen.lingers.set(Some(Instant::now()));
        }
        let (timer, left) = this.lingering.get_or_insert_with(|| (Box::pin(sleep(LINGER)), LINGER_MOST));
        while timer.as_mut().poll(cx).is_pending() {
            if *left == 0 {
                return Poll::Pending;
            }
            let mut space = [MaybeUninit::uninit(); 16 * 1024];
            let mut buf = ReadBuf::uninit(&mut space);
            // What comes now is nobody's request: it is read past the scanner.
            match ready!(Pin::new(&mut *this.seen.stream.borrow_mut()).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => *left = left.saturating_sub(buf.filled().len()),
                _ => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}
