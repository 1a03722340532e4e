//! The body of a request sent to servers: buffered, or streamed as it arrives. A streamed body goes to one
//! attempt at a time; until some of it has been consumed, another attempt may have it.

use std::future::pending;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{Either, Full};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::error::BoxError;

/// The body of a request.
pub(crate) enum Payload {
    Buffered(Bytes),
    Streaming(Arc<StreamingPayload>),
}

/// A body that is streamed as it arrives.
pub(crate) struct StreamingPayload {
    /// Its length; `None` if its sender has not stated it.
    length: Option<u64>,
    /// The bytes read before the body turned out to exceed the buffer limit.
    first: Bytes,
    /// The chunks after `first`; `None` while an attempt has them, and for good once it has consumed any.
    rest: Mutex<Option<mpsc::Receiver<Bytes>>>,
    /// When the client gives up; `None` until the last byte has arrived.
    deadline: watch::Receiver<Option<Instant>>,
    /// Whether an attempt has been given the end of the body.
    fully_sent: AtomicBool,
    client_timeout: Duration,
}

/// The sending side, into which the body is read.
pub(crate) struct PayloadSender {
    /// If it is dropped while `deadline` is unset, the body is incomplete.
    pub(crate) chunks: mpsc::Sender<Bytes>,
    /// Set when the last byte has arrived, to the time at which the client gives up.
    pub(crate) deadline: watch::Sender<Option<Instant>>,
}

impl StreamingPayload {
    pub(crate) fn new(
        length: Option<u64>,
        first: Bytes,
        client_timeout: Duration,
    ) -> (Arc<StreamingPayload>, PayloadSender) {
        // One chunk is queued while another one is being written to the socket.
        let (chunks, rest) = mpsc::channel(1);
        let (deadline_sender, deadline) = watch::channel(None);
        let rest = Mutex::new(Some(rest));
        let streaming = StreamingPayload {
            length,
            first,
            rest,
            deadline,
            fully_sent: AtomicBool::new(false),
            client_timeout,
        };
        (Arc::new(streaming), PayloadSender { chunks, deadline: deadline_sender })
    }

    fn lock_rest(&self) -> MutexGuard<'_, Option<mpsc::Receiver<Bytes>>> {
        self.rest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Payload {
    /// Its length; `None` if it is not known.
    pub(crate) fn length(&self) -> Option<u64> {
        match self {
            Payload::Buffered(bytes) => Some(bytes.len() as u64),
            Payload::Streaming(streaming) => streaming.length,
        }
    }

    /// How long the client will wait after the last byte, while that has not arrived; otherwise `None`.
    pub(crate) fn client_timeout(&self) -> Option<Duration> {
        match self {
            Payload::Streaming(streaming) if streaming.deadline.borrow().is_none() => {
                Some(streaming.client_timeout)
            }
            _ => None,
        }
    }

    /// When the client gives up; `None` while its timeout has not started. `deadline` is that of a buffered
    /// body.
    pub(crate) fn client_deadline(&self, deadline: Instant) -> Option<Instant> {
        match self {
            Payload::Buffered(_) => Some(deadline),
            Payload::Streaming(streaming) => *streaming.deadline.borrow(),
        }
    }

    /// Waits until the client has given up. `deadline` is that of a buffered body.
    pub(crate) async fn wait_client_deadline(&self, deadline: Instant) {
        let Payload::Streaming(streaming) = self else { return sleep_until(deadline).await };
        let mut deadline_watch = streaming.deadline.clone();
        match deadline_watch.wait_for(Option::is_some).await.map(|at| *at) {
            Ok(Some(at)) => sleep_until(at).await,
            // The body broke off: the call that reads it reports that the client has left.
            _ => pending().await,
        }
    }

    /// When its last byte arrived; `None` if it has not, or if the body is buffered.
    pub(crate) fn fully_received_at(&self) -> Option<Instant> {
        match self {
            Payload::Buffered(_) => None,
            Payload::Streaming(streaming) => {
                streaming.deadline.borrow().map(|at| at - streaming.client_timeout)
            }
        }
    }

    /// Whether an attempt has been given all of it.
    pub(crate) fn is_fully_sent(&self) -> bool {
        match self {
            Payload::Buffered(_) => true,
            Payload::Streaming(streaming) => streaming.fully_sent.load(Ordering::Acquire),
        }
    }

    /// Whether some of it has been consumed, or an attempt is using it, so that it can't be sent again.
    pub(crate) fn is_consumed(&self) -> bool {
        matches!(self, Payload::Streaming(streaming) if streaming.lock_rest().is_none())
    }

    /// The body for an attempt; `None` if it has been consumed or another attempt is using it.
    pub(crate) fn attempt_body(&self) -> Option<OutgoingBody> {
        match self {
            Payload::Buffered(bytes) => Some(OutgoingBody::Left(Full::new(bytes.clone()))),
            Payload::Streaming(streaming) => {
                let rest = streaming.lock_rest().take()?;
                let first = streaming.first.clone();
                let streaming = streaming.clone();
                Some(OutgoingBody::Right(StreamingPayloadBody {
                    payload: streaming,
                    first,
                    rest: Some(rest),
                    consumed: false,
                    sent_bytes: 0,
                }))
            }
        }
    }
}

/// The body as an attempt sends it.
pub(crate) type OutgoingBody = Either<Full<Bytes>, StreamingPayloadBody>;

/// A streamed body in an attempt. If it is dropped before it took any queued chunk, another attempt can have
/// the body.
pub(crate) struct StreamingPayloadBody {
    payload: Arc<StreamingPayload>,
    first: Bytes,
    rest: Option<mpsc::Receiver<Bytes>>,
    consumed: bool,
    sent_bytes: u64,
}

impl Drop for StreamingPayloadBody {
    fn drop(&mut self) {
        if !self.consumed {
            *self.payload.lock_rest() = self.rest.take();
        }
    }
}

impl Body for StreamingPayloadBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if !self.first.is_empty() {
            self.sent_bytes = self.first.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.first)))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let polled = std::task::ready!(rest.poll_recv(cx));
        self.consumed = true;
        match polled {
            Some(chunk) => {
                self.sent_bytes += chunk.len() as u64;
                // With a stated length, nobody polls for the end.
                if self.payload.length == Some(self.sent_bytes) {
                    self.payload.fully_sent.store(true, Ordering::Release);
                }
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            None if self.payload.deadline.borrow().is_some() => {
                self.payload.fully_sent.store(true, Ordering::Release);
                Poll::Ready(None)
            }
            // A truncated body must not look complete.
            None => Poll::Ready(Some(Err(
                "the client closed the connection before the end of its request body".into(),
            ))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.payload.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
