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
pub struct AnswerBody(Kind);

enum Kind {
    /// Taken once it is read.
    Whole(Bytes),
    Passing(Box<Passing>),
}

/// What is still to come, as the reader and who watches the server's connection share it.
#[derive(Default)]
pub(crate) struct Tap {
    waits: AtomicBool,
}

impl Tap {
    /// Whether the reader has read all that came, and waits for more.
    pub(crate) fn waits(&self) -> bool {
        self.waits.load(Ordering::Relaxed)
    }
}

struct Passing {
    /// What came before it was known to be long.
    first: Bytes,
    rest: Incoming,
    /// How many bytes may still come.
    most: u64,
    tap: Arc<Tap>,
    /// Told when it has come to its end; dropped before that, its connection is of no more use.
    ended: Option<oneshot::Sender<()>>,
    transfer: Option<Transfer>,
}

impl AnswerBody {
    pub(crate) fn passing(
        first: Bytes,
        rest: Incoming,
        most: u64,
        tap: Arc<Tap>,
        ended: oneshot::Sender<()>,
    ) -> AnswerBody {
        let passing = Passing { first, rest, most, tap, ended: Some(ended), transfer: None };
        AnswerBody(Kind::Passing(Box::new(passing)))
    }

    /// The body, if it is there as a whole and none of it was read.
    pub fn whole(&self) -> Option<&Bytes> {
        match &self.0 {
            Kind::Whole(bytes) => Some(bytes),
            Kind::Passing(_) => None,
        }
    }

    /// Reads it to its end, if that comes within so many bytes.
    ///
    /// # Errors
    ///
    /// There are more, or it broke off.
    pub async fn bytes(self, most: usize) -> Result<Bytes, BodyError> {
        match Limited::new(self, most).collect().await {
            Ok(whole) => Ok(whole.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge { limit: most }),
            Err(error) => Err(BodyError::Broken(error)),
        }
    }

    /// From now on its end counts as the answer's.
    pub(crate) fn count(&mut self, transfer: impl FnOnce() -> Transfer) -> bool {
        match &mut self.0 {
            Kind::Whole(_) => false,
            Kind::Passing(passing) => {
                passing.transfer = Some(transfer());
                true
            }
        }
    }
}

impl<T: Into<Bytes>> From<T> for AnswerBody {
    fn from(bytes: T) -> AnswerBody {
        AnswerBody(Kind::Whole(bytes.into()))
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
            Kind::Whole(bytes) => f.debug_tuple("AnswerBody").field(bytes).finish(),
            Kind::Passing(_) => f.debug_tuple("AnswerBody").finish_non_exhaustive(),
        }
    }
}

impl Passing {
    fn done(&mut self) {
        if let Some(ended) = self.ended.take() {
            let _ = ended.send(());
        }
        if let Some(transfer) = self.transfer.take() {
            transfer.served();
        }
    }

    fn broken(&mut self, error: impl Into<BoxError>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.ended = None;
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
            self.tap.waits.store(polled.is_pending(), Ordering::Relaxed);
            match std::task::ready!(polled) {
                None => {
                    self.done();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => return self.broken(error),
                Some(Ok(frame)) => {
                    // Trailers are of one hop unless both sides agreed on more.
                    let Ok(data) = frame.into_data() else { continue };
                    if data.len() as u64 > self.most {
                        return self.broken("the answer is over the limit");
                    }
                    self.most -= data.len() as u64;
                    // Who knows its length does not ask for its end.
                    if self.rest.is_end_stream() {
                        self.done();
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
            Kind::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Kind::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Kind::Passing(passing) => passing.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Kind::Whole(bytes) => bytes.is_empty(),
            Kind::Passing(passing) => passing.first.is_empty() && passing.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Kind::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Kind::Passing(passing) => match passing.rest.size_hint().exact() {
                Some(rest) => SizeHint::with_exact(passing.first.len() as u64 + rest),
                None => SizeHint::default(),
            },
        }
    }
}
