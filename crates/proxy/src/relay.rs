//! Relays response bodies to clients as they arrive. A broken stream is resumed at another server if its
//! route allows.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use dunelink_routing::Outcome;

use crate::attempt_guard::AttemptGuard;
use crate::event_framer::EventFramer;
use crate::exchange::Exchange;
use crate::response::BodyError;
use crate::upstream::{TimeoutKind, UpstreamResponse};

/// Maximum size of a piece that is passed to hyper, in bytes. hyper keeps several pieces until the client reads
/// them.
const MAX_PIECE_BYTES: usize = 8 * 1_024;

/// A server's response and the attempt that it belongs to.
type ResponseAttempt = (Box<UpstreamResponse>, AttemptGuard);

type ResumeFuture = Pin<Box<dyn Future<Output = (Exchange, Option<ResponseAttempt>)>>>;

/// A response body on its way from a server to the client.
pub struct RelayedBody {
    source: Source,
    length: Option<u64>,
    /// Number of body bytes received from servers.
    forwarded_bytes: u64,
    events: Option<EventFramer>,
    /// Received data that was not passed to hyper yet.
    unsent: Bytes,
    first_event_recorded: bool,
}

enum Source {
    Streaming(Box<ActiveStream>),
    /// The stream is being resumed at another server. If the previous server only fell silent, its response
    /// is kept until the other server has answered.
    Resuming {
        resume: ResumeFuture,
        silent_attempt: Option<ResponseAttempt>,
    },
    /// hyper writes the data received so far before this error aborts the connection.
    Failed(BodyError),
    Ended,
}

/// A request and the response that is being relayed for it.
struct ActiveStream {
    exchange: Exchange,
    response: Box<UpstreamResponse>,
    attempt: AttemptGuard,
}

impl RelayedBody {
    /// Relays a response body of `length` bytes, or of unknown length if `None`.
    pub fn new(
        mut exchange: Exchange,
        response: Box<UpstreamResponse>,
        attempt: AttemptGuard,
        length: Option<u64>,
    ) -> Self {
        let resumable = exchange.admission.policy.resumable;
        let memory = &exchange.node.request_bodies;
        let events = resumable.then(|| EventFramer::starting_after(exchange.last_event_id(), memory.clone()));
        exchange.timer.set_silence_timeout(
            resumable.then(|| exchange.event_gap_timeout()),
            response.connection.activity(),
        );
        let source = Source::Streaming(Box::new(ActiveStream { exchange, response, attempt }));
        Self { source, length, forwarded_bytes: 0, events, unsent: Bytes::new(), first_event_recorded: false }
    }

    /// Returns the length of the body, if it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the next data for the client.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            if let Some(piece) = self.next_piece() {
                return Poll::Ready(Some(Ok(piece)));
            }
            match &self.source {
                Source::Ended => return Poll::Ready(None),
                Source::Failed(_) => return Poll::Ready(self.take_error().map(Err)),
                Source::Resuming { .. } => ready!(self.poll_resuming(cx)),
                Source::Streaming(_) => {
                    self.unsent = ready!(self.poll_streaming(cx)).unwrap_or_default();
                }
            }
        }
    }

    /// Returns a copy of the next received data. Pieces of the received data itself would each keep the whole
    /// buffer that they were read into.
    fn next_piece(&mut self) -> Option<Bytes> {
        if self.unsent.is_empty() {
            return None;
        }
        let piece = self.unsent.split_to(self.unsent.len().min(MAX_PIECE_BYTES));
        if self.unsent.is_empty() {
            self.unsent = Bytes::new();
        }
        Some(Bytes::copy_from_slice(&piece))
    }

    fn take_error(&mut self) -> Option<BodyError> {
        match std::mem::replace(&mut self.source, Source::Ended) {
            Source::Failed(error) => Some(error),
            _ => None,
        }
    }

    /// Waits until the stream can go on.
    fn poll_resuming(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Source::Resuming { resume, silent_attempt } = &mut self.source else { return Poll::Ready(()) };
        let (mut exchange, resumed_response) = ready!(resume.as_mut().poll(cx));
        let silent_attempt = silent_attempt.take();
        self.first_event_recorded &= resumed_response.is_none();
        let Some((response, attempt)) = self.select_response(resumed_response, silent_attempt) else {
            return self.fail(BodyError::Broken, cx);
        };
        let silence_timeout = Some(exchange.event_gap_timeout());
        exchange.timer.set_silence_timeout(silence_timeout, response.connection.activity());
        self.source = Source::Streaming(Box::new(ActiveStream { exchange, response, attempt }));
        Poll::Ready(())
    }

    /// Reads from the server. Returns the data to forward now, if there is any.
    fn poll_streaming(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let Source::Streaming(stream) = &mut self.source else { return Poll::Ready(None) };
        match stream.response.poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let data = frame.into_data().ok().filter(|data| !data.is_empty());
                Poll::Ready(data.and_then(|data| self.receive(data, cx)))
            }
            Poll::Ready(None) => {
                self.finish_served(cx);
                Poll::Ready(self.events.as_mut().and_then(EventFramer::take_remainder))
            }
            Poll::Ready(Some(Err(_))) => match self.resume_after_break() {
                Ok(()) => Poll::Ready(None),
                Err(error) => self.fail(error, cx),
            },
            Poll::Pending => {
                match ready!(stream.exchange.timer.poll(cx, stream.response.connection.activity())) {
                    TimeoutKind::Deadline => self.time_out(cx),
                    TimeoutKind::Silence => {
                        self.resume_after_silence();
                        Poll::Ready(None)
                    }
                }
            }
        }
    }

    /// Records received data and returns what of it can be forwarded.
    fn receive(&mut self, data: Bytes, cx: &mut Context<'_>) -> Option<Bytes> {
        if let Source::Streaming(stream) = &self.source {
            match std::mem::replace(&mut self.first_event_recorded, true) {
                true => stream.attempt.record_progress(1),
                false => stream.attempt.record_first_event(),
            }
        }
        self.forwarded_bytes += data.len() as u64;
        // hyper does not poll again after the stated length, so the response is finished here.
        if self.length == Some(self.forwarded_bytes) {
            self.finish_served(cx);
        }
        match &mut self.events {
            Some(events) => events.push(data),
            None => Some(data),
        }
    }

    /// Ends the body early. hyper first flushes its buffered data when the body is pending; the error that
    /// follows aborts the connection.
    fn fail<T>(&mut self, error: BodyError, cx: &Context<'_>) -> Poll<T> {
        self.source = Source::Failed(error);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn time_out<T>(&mut self, cx: &Context<'_>) -> Poll<T> {
        // A timeout of the request says nothing about the server: the attempt is dropped and counts as
        // cancelled.
        self.source = Source::Ended;
        self.fail(BodyError::TimedOut, cx)
    }

    fn take_active(&mut self) -> Option<ActiveStream> {
        match std::mem::replace(&mut self.source, Source::Ended) {
            Source::Streaming(stream) => Some(*stream),
            _ => None,
        }
    }

    /// Finishes a completely received response.
    fn finish_served(&mut self, cx: &mut Context<'_>) {
        let Some(ActiveStream { exchange, response, attempt }) = self.take_active() else { return };
        attempt.finish(Outcome::Served);
        exchange.return_to_pool(response.connection, cx);
    }

    /// Resumes the stream at another server after the connection broke, if that is possible.
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

    /// Asks another server to resume the stream after a silence, if that is possible.
    fn resume_after_silence(&mut self) {
        let last = self.events.as_ref().and_then(EventFramer::resume_position);
        let Source::Streaming(stream) = &self.source else { return };
        let Some(last) = last.filter(|_| stream.exchange.try_retry()) else { return };
        let Some(ActiveStream { exchange, response, attempt }) = self.take_active() else { return };
        let resume = Box::pin(exchange.resume(last));
        self.source = Source::Resuming { resume, silent_attempt: Some((response, attempt)) };
    }

    /// Selects the response to continue with: the new server's, otherwise the one of the silent server.
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
        // A partial event of the silent server is not forwarded.
        self.events.as_mut()?.discard_partial().ok()?;
        resumed_response
    }
}
