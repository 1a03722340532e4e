//! Reads the body of a request: into memory if it is short enough, else its first part, with the rest
//! streamed chunk by chunk.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use bytes::{Buf, Bytes};
use cherryusher::Upload;
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use tokio::time::{Instant, timeout};

use crate::body_buffer::BodyBuffer;
use crate::error::{BodyError, BoxError};
use crate::payload::PayloadSender;

/// The minimum rate at which a body has to arrive once the base time is used up.
const MIN_RATE_BYTES_PER_S: u64 = 32 * 1024;
/// The rate expected of a slow but legitimate sender.
const EXPECTED_RATE_BYTES_PER_S: u64 = 64 * 1024;
/// The expected duration of an upload of unknown length.
const UNKNOWN_LENGTH_DURATION: Duration = Duration::from_secs(2);

/// The time limit for receiving a body: a base time plus time for the bytes received at the minimum rate.
/// Only time spent waiting for the sender counts, not time for which the node itself makes it wait.
pub(super) struct ReadTimeout {
    /// The time granted whatever the number of bytes.
    base: Duration,
    /// The number of bytes received so far.
    received: u64,
    /// The time spent waiting for the sender so far.
    waited: Duration,
}

impl ReadTimeout {
    pub(super) fn new(base: Duration) -> ReadTimeout {
        ReadTimeout { base, received: 0, waited: Duration::ZERO }
    }

    /// Waits for the next part of the body within the time limit.
    async fn wait<F: Future>(&mut self, next: F) -> Result<F::Output, BodyError> {
        let mut next = pin!(next);
        // Data that is already there needs no timer, nor a runtime that has one.
        if let Poll::Ready(now) = poll_fn(|cx| Poll::Ready(next.as_mut().poll(cx))).await {
            return Ok(now);
        }
        let (limit, began) = (self.base + transfer_time(self.received, MIN_RATE_BYTES_PER_S), Instant::now());
        let result = timeout(limit.saturating_sub(self.waited), next).await;
        self.waited += began.elapsed();
        result.map_err(|_| BodyError::TimedOut { after: self.waited })
    }
}

/// How long a number of bytes takes at a rate in bytes per second.
fn transfer_time(bytes: u64, rate: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1000) / rate)
}

/// A request's body as received.
pub(super) enum ReceivedBody {
    Complete(Bytes),
    Streaming(Box<RemainingBody>),
}

/// A body that is longer than the buffer limit.
pub(super) struct RemainingBody {
    /// The bytes received so far.
    pub(super) first: Bytes,
    pub(super) length: Option<u64>,
    body: UnsyncBoxBody<Bytes, BoxError>,
    read_timeout: ReadTimeout,
    max_streamed: u64,
}

/// Reads a body to its end, or until it exceeds `max_buffered` bytes.
pub(super) async fn read_body<B>(
    body: B,
    max_buffered: usize,
    max_streamed: u64,
    mut read_timeout: ReadTimeout,
) -> Result<ReceivedBody, BodyError>
where
    B: Body + Send + 'static,
    B::Error: Into<BoxError>,
{
    let length = body.size_hint().exact();
    check_size(body.size_hint().lower(), max_buffered, max_streamed)?;
    let exceeds_buffer = body.size_hint().lower() > max_buffered as u64;
    let data = |mut data: B::Data| data.copy_to_bytes(data.remaining());
    let mut body = Box::pin(body.map_frame(move |frame| frame.map_data(data)).map_err(Into::into));
    let mut buffer = BodyBuffer::default();
    while !exceeds_buffer && buffer.len() <= max_buffered {
        let Some(frame) = read_timeout.wait(body.frame()).await? else {
            return Ok(ReceivedBody::Complete(buffer.into_bytes()));
        };
        let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
        read_timeout.received += data.len() as u64;
        check_size(read_timeout.received, max_buffered, max_streamed)?;
        buffer.push(data);
    }
    let (first, body) = (buffer.into_bytes(), UnsyncBoxBody::new(body));
    Ok(ReceivedBody::Streaming(Box::new(RemainingBody { first, length, body, read_timeout, max_streamed })))
}

/// Checks that a body of this length can be buffered or streamed.
fn check_size(bytes: u64, max_buffered: usize, max_streamed: u64) -> Result<(), BodyError> {
    let limit = max_streamed.max(max_buffered as u64);
    match bytes > limit {
        true => Err(BodyError::TooLarge { limit: limit as usize }),
        false => Ok(()),
    }
}

impl RemainingBody {
    /// The expected and the maximum duration of the rest of the upload.
    pub(super) fn upload(&self) -> Upload {
        let remaining = |length: u64| length.saturating_sub(self.read_timeout.received);
        let expected = self.length.map_or(UNKNOWN_LENGTH_DURATION, |length| {
            transfer_time(remaining(length), EXPECTED_RATE_BYTES_PER_S)
        });
        let max = self.read_timeout.base
            + transfer_time(remaining(self.length.unwrap_or(self.max_streamed)), MIN_RATE_BYTES_PER_S);
        let micros = |time: Duration| time.as_micros() as u64;
        Upload { expected_duration: micros(expected), max_duration: micros(max) }
    }

    /// Streams the rest of the body to its end and returns when the client gives up, `client_timeout` from
    /// then on. If the attempt that takes the body is over before that, this never returns.
    pub(super) async fn forward(
        &mut self,
        sender: &PayloadSender,
        client_timeout: Duration,
    ) -> Result<Instant, BodyError> {
        let record_end = || {
            let now = Instant::now();
            sender.deadline.send_replace(Some(now + client_timeout));
            now + client_timeout
        };
        loop {
            let Some(frame) = self.read_timeout.wait(self.body.frame()).await? else {
                return Ok(record_end());
            };
            let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
            self.read_timeout.received += data.len() as u64;
            check_size(self.read_timeout.received, 0, self.max_streamed)?;
            // With a stated length, the end shows with the last chunk, and is recorded before that chunk is
            // passed on.
            let deadline = self.body.is_end_stream().then(record_end);
            if sender.chunks.send(data).await.is_err() && deadline.is_none() {
                // The attempt is over; the answer is on its way.
                std::future::pending::<()>().await;
            }
            if let Some(deadline) = deadline {
                return Ok(deadline);
            }
        }
    }
}
