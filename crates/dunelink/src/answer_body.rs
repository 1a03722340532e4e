//! The body of an answer: whole, or passed on as it comes.

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

/// The body of an answer. Up to `limits.body` bytes are there as a whole; a longer one is passed on as its server
/// gives it and as fast as it is read. It ends with an error if its server or the way to it breaks: what came before
/// is then not the answer.
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
    /// Taken once it is read.
    Buffered(Bytes),
    Streaming(Box<StreamingBody>),
}

/// What is still to come, as the reader and who watches the server's connection share it.
#[derive(Default)]
pub(crate) struct ReaderState {
    waiting: AtomicBool,
}

impl ReaderState {
    /// Whether the reader has read all that came, and waits for more.
    pub(crate) fn waiting(&self) -> bool {
        self.waiting.load(Ordering::Relaxed)
    }
}

struct StreamingBody {
    /// What came before it was known to be long.
    first: Bytes,
    rest: Incoming,
    /// How many bytes may still come.
    remaining_limit: u64,
    reader: Arc<ReaderState>,
    /// Told when it has come to its end; dropped before that, its connection is of no more use.
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

    /// The body, if it is there as a whole and none of it was read.
    pub fn whole(&self) -> Option<&Bytes> {
        match &self.0 {
            BodyKind::Buffered(bytes) => Some(bytes),
            BodyKind::Streaming(_) => None,
        }
    }

    /// Reads it to its end, if that comes within so many bytes.
    ///
    /// # Errors
    ///
    /// There are more, or it broke off.
    pub async fn bytes(self, max_bytes: usize) -> Result<Bytes, BodyError> {
        match Limited::new(self, max_bytes).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge { limit: max_bytes }),
            Err(error) => Err(BodyError::Broken(error)),
        }
    }

    /// From now on its end counts as the answer's.
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
                    // Trailers are of one hop unless both sides agreed on more.
                    let Ok(data) = frame.into_data() else { continue };
                    if data.len() as u64 > self.remaining_limit {
                        return self.fail("the answer is over the limit");
                    }
                    self.remaining_limit -= data.len() as u64;
                    // Who knows its length does not ask for its end.
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
