//! Answers that are passed on as they come; a broken stream is taken up at another server where its route allows.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use dunelink_routing::Outcome;
use http::HeaderValue;

use crate::attempt_guard::AttemptGuard;
use crate::exchange::Exchange;
use crate::response::BodyError;
use crate::upstream::{TimeoutKind, UpstreamResponse};

/// Bytes of an event that has not come whole, at most; a stream with a longer one is passed on without resuming.
const EVENT_MOST: usize = 256 * 1024;

/// An answer and the attempt that it belongs to.
type Taken = (Box<UpstreamResponse>, AttemptGuard);

type Resuming = Pin<Box<dyn Future<Output = (Exchange, Option<Taken>)>>>;

/// An answer on its way from a server to its client.
pub struct RelayedBody {
    source: Source,
    length: Option<u64>,
    /// Bytes that have come.
    passed: u64,
    events: Option<EventFramer>,
    begun: bool,
}

enum Source {
    Server(Box<Live>),
    /// Taken up at another server. One that only fell silent is kept until the other has answered.
    Resuming {
        resuming: Resuming,
        silent: Option<Taken>,
    },
    /// What came before is written out before the connection is cut.
    Failing(BodyError),
    Ended,
}

/// A request and the answer that comes to it.
struct Live {
    exchange: Exchange,
    answered: Box<UpstreamResponse>,
    tracked: AttemptGuard,
}

impl RelayedBody {
    /// Passes on an answer, of `length` bytes if that is known.
    pub fn new(
        exchange: Exchange,
        answered: Box<UpstreamResponse>,
        tracked: AttemptGuard,
        length: Option<u64>,
    ) -> Self {
        let resumable = exchange.admission.policy.resumable && length.is_none();
        let events = resumable.then(|| EventFramer::starting_after(exchange.last_event_id()));
        let mut exchange = exchange;
        exchange.timer.set_silence_timeout(
            resumable.then(|| exchange.event_gap_timeout()),
            answered.connection.activity(),
        );
        let source = Source::Server(Box::new(Live { exchange, answered, tracked }));
        Self { source, length, passed: 0, events, begun: false }
    }

    /// The answer's length, if it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// The next bytes for the client.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            match &mut self.source {
                Source::Ended => return Poll::Ready(None),
                Source::Failing(_) => {
                    let Source::Failing(error) = std::mem::replace(&mut self.source, Source::Ended) else {
                        continue;
                    };
                    return Poll::Ready(Some(Err(error)));
                }
                Source::Resuming { resuming, silent } => {
                    let (mut exchange, resumed) = ready!(resuming.as_mut().poll(cx));
                    let silent = silent.take();
                    self.begun &= resumed.is_none();
                    let Some((answered, tracked)) = self.taken_up(resumed, silent) else {
                        return self.fail(BodyError::Broken, cx);
                    };
                    exchange.timer.set_silence_timeout(
                        Some(exchange.event_gap_timeout()),
                        answered.connection.activity(),
                    );
                    self.source = Source::Server(Box::new(Live { exchange, answered, tracked }));
                }
                Source::Server(live) => match live.answered.poll_data(cx) {
                    Poll::Ready(Some(Ok(piece))) => {
                        let Ok(piece) = piece.into_data() else { continue };
                        if piece.is_empty() {
                            continue;
                        }
                        if std::mem::replace(&mut self.begun, true) {
                            live.tracked.record_progress(1);
                        } else {
                            live.tracked.record_first_event();
                        }
                        self.passed += piece.len() as u64;
                        // Nobody asks for more once the stated length is there.
                        if self.length == Some(self.passed) {
                            self.end(cx);
                        }
                        let Some(events) = &mut self.events else { return Poll::Ready(Some(Ok(piece))) };
                        if let Some(whole) = events.push(piece) {
                            return Poll::Ready(Some(Ok(whole)));
                        }
                    }
                    // A connection that ends amid an event is no end of a stream.
                    Poll::Ready(None)
                        if live.answered.is_close_delimited
                            && self.events.as_ref().is_some_and(EventFramer::has_partial_event) =>
                    {
                        match self.broken() {
                            Ok(()) => {}
                            Err(error) => return self.fail(error, cx),
                        }
                    }
                    Poll::Ready(None) => {
                        self.end(cx);
                        if let Some(rest) = self.events.as_mut().and_then(EventFramer::take_remainder) {
                            return Poll::Ready(Some(Ok(rest)));
                        }
                    }
                    Poll::Ready(Some(Err(_))) => match self.broken() {
                        Ok(()) => {}
                        Err(error) => return self.fail(error, cx),
                    },
                    Poll::Pending => {
                        match ready!(live.exchange.timer.poll(cx, live.answered.connection.activity())) {
                            TimeoutKind::Deadline => return self.time_out(cx),
                            TimeoutKind::Silence => self.silent(),
                        }
                    }
                },
            }
        }
    }

    /// Ends the answer early. hyper writes out what it holds once nothing more is at hand, and only then the error
    /// cuts the connection.
    fn fail(&mut self, error: BodyError, cx: &Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        self.source = Source::Failing(error);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn time_out(&mut self, cx: &Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        // What says nothing of the server ends as cancelled.
        self.source = Source::Ended;
        self.fail(BodyError::TimedOut, cx)
    }

    fn take(&mut self) -> Option<Live> {
        match std::mem::replace(&mut self.source, Source::Ended) {
            Source::Server(live) => Some(*live),
            _ => None,
        }
    }

    /// The server's answer has come whole.
    fn end(&mut self, cx: &mut Context<'_>) {
        let Some(Live { exchange, answered, tracked }) = self.take() else { return };
        tracked.finish(Outcome::Served);
        exchange.keep(answered.connection, cx);
    }

    /// The server broke off: its stream is taken up at another one, if that can be.
    fn broken(&mut self) -> Result<(), BodyError> {
        let Some(Live { exchange, answered, tracked }) = self.take() else { return Ok(()) };
        tracked.finish(Outcome::Broken);
        drop(answered);
        let Some(events) = &mut self.events else { return Err(BodyError::Broken) };
        let Ok(last) = events.discard_partial() else { return Err(BodyError::Broken) };
        if !exchange.try_retry() {
            return Err(BodyError::Broken);
        }
        self.source = Source::Resuming { resuming: Box::pin(exchange.resume(last)), silent: None };
        Ok(())
    }

    /// The server is silent: another one is asked to go on, if that can be.
    fn silent(&mut self) {
        let last = self.events.as_ref().and_then(EventFramer::resume_position);
        let Source::Server(live) = &self.source else { return };
        let Some(last) = last.filter(|_| live.exchange.try_retry()) else { return };
        let Some(Live { exchange, answered, tracked }) = self.take() else { return };
        let resuming = Box::pin(exchange.resume(last));
        self.source = Source::Resuming { resuming, silent: Some((answered, tracked)) };
    }

    /// The answer that goes on: the other server's, else that of the silent one.
    fn taken_up(&mut self, resumed: Option<Taken>, silent: Option<Taken>) -> Option<Taken> {
        if resumed.is_none() {
            return silent;
        }
        if let Some((_, tracked)) = silent {
            tracked.finish(Outcome::TimedOut);
        }
        // What the silent one left half said is not passed on.
        self.events.as_mut()?.discard_partial().ok()?;
        resumed
    }
}

/// Follows a stream's events, so that only whole ones are passed on.
#[derive(Debug, Default)]
pub struct EventFramer {
    /// What has come of an event that is not whole.
    partial: BytesMut,
    /// The id of the last event that was passed on.
    last_id: Option<HeaderValue>,
    /// An event was too long to be kept: bytes of it were passed on.
    lost: bool,
}

/// Part of an event was passed on: the stream can't be taken up.
#[derive(Debug, PartialEq, Eq)]
pub struct PartialEventForwarded;

impl EventFramer {
    /// Follows a stream that begins after the event of this id.
    pub fn starting_after(last_id: Option<HeaderValue>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Takes in what has come, and gives the events that are whole.
    pub fn push(&mut self, piece: Bytes) -> Option<Bytes> {
        if self.lost {
            return Some(piece);
        }
        if self.partial.is_empty() && ends_event(&piece) {
            self.note_id(&piece);
            return Some(piece);
        }
        self.partial.extend_from_slice(&piece);
        let Some(end) = last_end(&self.partial) else {
            self.lost = self.partial.len() > EVENT_MOST;
            return if self.lost { Some(self.partial.split().freeze()) } else { None };
        };
        let whole = self.partial.split_to(end).freeze();
        self.note_id(&whole);
        Some(whole)
    }

    /// Whether a part of an event has come.
    pub fn has_partial_event(&self) -> bool {
        self.lost || !self.partial.is_empty()
    }

    /// What is left at a stream's proper end.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        if self.partial.is_empty() { None } else { Some(self.partial.split().freeze()) }
    }

    /// Forgets the event that was not whole, and gives the id to go on after.
    ///
    /// # Errors
    ///
    /// A part of an event was passed on already.
    pub fn discard_partial(&mut self) -> Result<Option<HeaderValue>, PartialEventForwarded> {
        if self.lost {
            return Err(PartialEventForwarded);
        }
        self.partial.clear();
        Ok(self.last_id.clone())
    }

    /// The id to go on after; nothing if a part of an event was passed on.
    pub fn resume_position(&self) -> Option<Option<HeaderValue>> {
        (!self.lost).then(|| self.last_id.clone())
    }

    /// Notes the last id in whole events.
    fn note_id(&mut self, events: &[u8]) {
        let mut lines = events.rsplit(|octet| *octet == b'\n');
        let id = lines.find_map(|line| line.strip_prefix(b"id:"));
        let Some(id) = id else { return };
        if let Ok(id) = HeaderValue::from_bytes(id.trim_ascii()) {
            self.last_id = Some(id);
        }
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// Where the last whole event ends.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let mut at = bytes.len();
    while at >= 2 {
        if ends_event(&bytes[..at]) {
            return Some(at);
        }
        at -= 1;
    }
    None
}
