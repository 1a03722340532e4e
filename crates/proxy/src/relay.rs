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
const MAX_PARTIAL_EVENT_BYTES: usize = 256 * 1024;

/// An answer and the attempt that it belongs to.
type ResponseAttempt = (Box<UpstreamResponse>, AttemptGuard);

type ResumeFuture = Pin<Box<dyn Future<Output = (Exchange, Option<ResponseAttempt>)>>>;

/// An answer on its way from a server to its client.
pub struct RelayedBody {
    source: Source,
    length: Option<u64>,
    /// Bytes that have come.
    forwarded_bytes: u64,
    events: Option<EventFramer>,
    first_event_recorded: bool,
}

enum Source {
    Streaming(Box<ActiveStream>),
    /// Taken up at another server. One that only fell silent is kept until the other has answered.
    Resuming {
        resume: ResumeFuture,
        silent_attempt: Option<ResponseAttempt>,
    },
    /// What came before is written out before the connection is cut.
    Failed(BodyError),
    Ended,
}

/// A request and the answer that comes to it.
struct ActiveStream {
    exchange: Exchange,
    response: Box<UpstreamResponse>,
    attempt: AttemptGuard,
}

impl RelayedBody {
    /// Passes on an answer, of `length` bytes if that is known.
    pub fn new(
        exchange: Exchange,
        response: Box<UpstreamResponse>,
        attempt: AttemptGuard,
        length: Option<u64>,
    ) -> Self {
        let resumable = exchange.admission.policy.resumable && length.is_none();
        let events = resumable.then(|| EventFramer::starting_after(exchange.last_event_id()));
        let mut exchange = exchange;
        exchange.timer.set_silence_timeout(
            resumable.then(|| exchange.event_gap_timeout()),
            response.connection.activity(),
        );
        let source = Source::Streaming(Box::new(ActiveStream { exchange, response, attempt }));
        Self { source, length, forwarded_bytes: 0, events, first_event_recorded: false }
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
                Source::Failed(_) => {
                    let Source::Failed(error) = std::mem::replace(&mut self.source, Source::Ended) else {
                        continue;
                    };
                    return Poll::Ready(Some(Err(error)));
                }
                Source::Resuming { resume, silent_attempt } => {
                    let (mut exchange, resumed_response) = ready!(resume.as_mut().poll(cx));
                    let silent_attempt = silent_attempt.take();
                    self.first_event_recorded &= resumed_response.is_none();
                    let Some((response, attempt)) = self.select_response(resumed_response, silent_attempt)
                    else {
                        return self.fail(BodyError::Broken, cx);
                    };
                    exchange.timer.set_silence_timeout(
                        Some(exchange.event_gap_timeout()),
                        response.connection.activity(),
                    );
                    self.source = Source::Streaming(Box::new(ActiveStream { exchange, response, attempt }));
                }
                Source::Streaming(stream) => match stream.response.poll_data(cx) {
                    Poll::Ready(Some(Ok(frame))) => {
                        let Ok(data) = frame.into_data() else { continue };
                        if data.is_empty() {
                            continue;
                        }
                        if std::mem::replace(&mut self.first_event_recorded, true) {
                            stream.attempt.record_progress(1);
                        } else {
                            stream.attempt.record_first_event();
                        }
                        self.forwarded_bytes += data.len() as u64;
                        // Nobody asks for more once the stated length is there.
                        if self.length == Some(self.forwarded_bytes) {
                            self.finish_served(cx);
                        }
                        let Some(events) = &mut self.events else { return Poll::Ready(Some(Ok(data))) };
                        if let Some(complete) = events.push(data) {
                            return Poll::Ready(Some(Ok(complete)));
                        }
                    }
                    // A connection that ends amid an event is no end of a stream.
                    Poll::Ready(None)
                        if stream.response.is_close_delimited
                            && self.events.as_ref().is_some_and(EventFramer::has_partial_event) =>
                    {
                        match self.resume_after_break() {
                            Ok(()) => {}
                            Err(error) => return self.fail(error, cx),
                        }
                    }
                    Poll::Ready(None) => {
                        self.finish_served(cx);
                        if let Some(rest) = self.events.as_mut().and_then(EventFramer::take_remainder) {
                            return Poll::Ready(Some(Ok(rest)));
                        }
                    }
                    Poll::Ready(Some(Err(_))) => match self.resume_after_break() {
                        Ok(()) => {}
                        Err(error) => return self.fail(error, cx),
                    },
                    Poll::Pending => {
                        match ready!(stream.exchange.timer.poll(cx, stream.response.connection.activity())) {
                            TimeoutKind::Deadline => return self.time_out(cx),
                            TimeoutKind::Silence => self.resume_after_silence(),
                        }
                    }
                },
            }
        }
    }

    /// Ends the answer early. hyper writes out what it holds once nothing more is at hand, and only then the error
    /// cuts the connection.
    fn fail(&mut self, error: BodyError, cx: &Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        self.source = Source::Failed(error);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn time_out(&mut self, cx: &Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        // What says nothing of the server ends as cancelled.
        self.source = Source::Ended;
        self.fail(BodyError::TimedOut, cx)
    }

    fn take_active(&mut self) -> Option<ActiveStream> {
        match std::mem::replace(&mut self.source, Source::Ended) {
            Source::Streaming(stream) => Some(*stream),
            _ => None,
        }
    }

    /// The server's answer has come whole.
    fn finish_served(&mut self, cx: &mut Context<'_>) {
        let Some(ActiveStream { exchange, response, attempt }) = self.take_active() else { return };
        attempt.finish(Outcome::Served);
        exchange.return_to_pool(response.connection, cx);
    }

    /// The server broke off: its stream is taken up at another one, if that can be.
    fn resume_after_break(&mut self) -> Result<(), BodyError> {
        let Some(ActiveStream { exchange, response, attempt }) = self.take_active() else { return Ok(()) };
        attempt.finish(Outcome::Broken);
        drop(response);
        let Some(events) = &mut self.events else { return Err(BodyError::Broken) };
        let Ok(last) = events.discard_partial() else { return Err(BodyError::Broken) };
        if !exchange.try_retry() {
            return Err(BodyError::Broken);
        }
        self.source = Source::Resuming { resume: Box::pin(exchange.resume(last)), silent_attempt: None };
        Ok(())
    }

    /// The server is silent: another one is asked to go on, if that can be.
    fn resume_after_silence(&mut self) {
        let last = self.events.as_ref().and_then(EventFramer::resume_position);
        let Source::Streaming(stream) = &self.source else { return };
        let Some(last) = last.filter(|_| stream.exchange.try_retry()) else { return };
        let Some(ActiveStream { exchange, response, attempt }) = self.take_active() else { return };
        let resume = Box::pin(exchange.resume(last));
        self.source = Source::Resuming { resume, silent_attempt: Some((response, attempt)) };
    }

    /// The answer that goes on: the other server's, else that of the silent one.
    fn select_response(
        &mut self,
        resumed_response: Option<ResponseAttempt>,
        silent_attempt: Option<ResponseAttempt>,
    ) -> Option<ResponseAttempt> {
        if resumed_response.is_none() {
            return silent_attempt;
        }
        if let Some((_, attempt)) = silent_attempt {
            attempt.finish(Outcome::TimedOut);
        }
        // What the silent one left half said is not passed on.
        self.events.as_mut()?.discard_partial().ok()?;
        resumed_response
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
    forwarded_partial: bool,
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
    pub fn push(&mut self, data: Bytes) -> Option<Bytes> {
        if self.forwarded_partial {
            return Some(data);
        }
        if self.partial.is_empty() && ends_event(&data) {
            self.record_last_id(&data);
            return Some(data);
        }
        self.partial.extend_from_slice(&data);
        let Some(event_end) = last_event_end(&self.partial) else {
            self.forwarded_partial = self.partial.len() > MAX_PARTIAL_EVENT_BYTES;
            return if self.forwarded_partial { Some(self.partial.split().freeze()) } else { None };
        };
        let complete = self.partial.split_to(event_end).freeze();
        self.record_last_id(&complete);
        Some(complete)
    }

    /// Whether a part of an event has come.
    pub fn has_partial_event(&self) -> bool {
        self.forwarded_partial || !self.partial.is_empty()
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
        if self.forwarded_partial {
            return Err(PartialEventForwarded);
        }
        self.partial.clear();
        Ok(self.last_id.clone())
    }

    /// The id to go on after; nothing if a part of an event was passed on.
    pub fn resume_position(&self) -> Option<Option<HeaderValue>> {
        (!self.forwarded_partial).then(|| self.last_id.clone())
    }

    /// Notes the last id in whole events.
    fn record_last_id(&mut self, events: &[u8]) {
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
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while end >= 2 {
        if ends_event(&bytes[..end]) {
            return Some(end);
        }
        end -= 1;
    }
    None
}
