//! The body of an answer: buffered, or streamed from the server.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use crate::counts::Transfer;
use crate::error::{BodyError, BoxError};

/// The body of an answer. Up to `limits.body` bytes are buffered; a longer body is streamed from the server
/// as fast as it is read. A streamed body ends with an error if the server or the connection to it fails: the
/// bytes received until then are not a complete answer.
///
/// ```
/// use bytes::Bytes;
/// use dunelink::AnswerBody;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), dunelink::BodyError> {
/// let body = AnswerBody::from("paid");
/// assert_eq!(body.whole(), Some(&Bytes::from("paid")));
/// assert_eq!(body.bytes(1024).await?, "paid");
/// # Ok(()) }
/// ```
pub struct AnswerBody(BodyKind);

enum BodyKind {
    /// Empty once it has been read.
    Buffered(Bytes),
    Streaming(Box<StreamingBody>),
}

/// Whether the reader of a streamed body waits for data; shared with the task that watches the server's
/// connection.
#[derive(Default)]
pub(crate) struct ReaderState {
    waiting: AtomicBool,
}

impl ReaderState {
    /// Whether the reader has consumed everything received so far and waits for more.
    pub(crate) fn waiting(&self) -> bool {
        self.waiting.load(Ordering::Relaxed)
    }
}

struct StreamingBody {
    /// The bytes received before the body turned out to exceed the buffer limit.
    first: Bytes,
    rest: Incoming,
    /// How many more bytes the body may have.
    remaining_limit: u64,
    reader: Arc<ReaderState>,
    /// Signalled when the body is complete; dropped without a signal, it tells that the connection can't be
    /// reused.
    on_end: Option<oneshot::Sender<()>>,
    transfer: Option<Transfer>,
}

impl AnswerBody {
    pub(crate) fn streaming(
        first: Bytes,
        rest: Incoming,
        remaining_limit: u64,
        reader: Arc<ReaderState>,
        on_end: oneshot::Sender<()>,
    ) -> AnswerBody {
        let streaming =
            StreamingBody { first, rest, remaining_limit, reader, on_end: Some(on_end), transfer: None };
        AnswerBody(BodyKind::Streaming(Box::new(streaming)))
    }

    /// The complete body, if it is buffered and has not been read yet; `None` for a streamed body.
    pub fn whole(&self) -> Option<&Bytes> {
        match &self.0 {
            BodyKind::Buffered(bytes) => Some(bytes),
            BodyKind::Streaming(_) => None,
        }
    }

    /// Reads the body to its end, up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// The body is longer than `max_bytes`, or the stream failed.
    pub async fn bytes(self, max_bytes: usize) -> Result<Bytes, BodyError> {
        match Limited::new(self, max_bytes).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge { limit: max_bytes }),
            Err(error) => Err(BodyError::Broken(error)),
        }
    }

    /// Counts the answer when the body ends; returns whether the body is streamed. A buffered body is left as
    /// it is.
    pub(crate) fn attach_transfer(&mut self, transfer: impl FnOnce() -> Transfer) -> bool {
        match &mut self.0 {
            BodyKind::Buffered(_) => false,
            BodyKind::Streaming(streaming) => {
                streaming.transfer = Some(transfer());
                true
            }
        }
    }
}

impl<T: Into<Bytes>> From<T> for AnswerBody {
    fn from(bytes: T) -> AnswerBody {
        AnswerBody(BodyKind::Buffered(bytes.into()))
    }
}

impl Default for AnswerBody {
    fn default() -> AnswerBody {
        AnswerBody::from(Bytes::new())
    }
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            BodyKind::Buffered(bytes) => f.debug_tuple("AnswerBody").field(bytes).finish(),
            BodyKind::Streaming(_) => f.debug_tuple("AnswerBody").finish_non_exhaustive(),
        }
    }
}

impl StreamingBody {
    fn complete(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            let _ = on_end.send(());
        }
        if let Some(transfer) = self.transfer.take() {
            transfer.served();
        }
    }

    fn fail(&mut self, error: impl Into<BoxError>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.on_end = None;
        if let Some(transfer) = self.transfer.take() {
            transfer.failed();
        }
        Poll::Ready(Some(Err(error.into())))
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.first)))));
        }
        loop {
            let polled = Pin::new(&mut self.rest).poll_frame(cx);
            self.reader.waiting.store(polled.is_pending(), Ordering::Relaxed);
            match std::task::ready!(polled) {
                None => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => return self.fail(error),
                Some(Ok(frame)) => {
                    // Trailers are hop-by-hop unless both sides agreed to forward them.
                    let Ok(data) = frame.into_data() else { continue };
                    if data.len() as u64 > self.remaining_limit {
                        return self.fail("the response body exceeds the size limit");
                    }
                    self.remaining_limit -= data.len() as u64;
                    // A reader that knows the length does not poll for the end of the stream.
                    if self.rest.is_end_stream() {
                        self.complete();
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
            }
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match &mut self.0 {
            BodyKind::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            BodyKind::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            BodyKind::Streaming(streaming) => streaming.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            BodyKind::Buffered(bytes) => bytes.is_empty(),
            BodyKind::Streaming(streaming) => streaming.first.is_empty() && streaming.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            BodyKind::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            BodyKind::Streaming(streaming) => match streaming.rest.size_hint().exact() {
                Some(rest) => SizeHint::with_exact(streaming.first.len() as u64 + rest),
                None => SizeHint::default(),
            },
        }
    }
}
