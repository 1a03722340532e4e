//! The body of an answer on its way to a client, with a guard that is kept until the body has been read.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use dunelink::{AnswerBody, BoxError};
use hyper::body::{Body, Frame, SizeHint};

/// The body of an answer, and a guard that is dropped together with it, which happens at the end of the body.
pub(crate) struct GuardedBody<G> {
    body: AnswerBody,
    _guard: G,
}

impl<G> GuardedBody<G> {
    pub(crate) fn new(body: AnswerBody, guard: G) -> GuardedBody<G> {
        GuardedBody { body, _guard: guard }
    }
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
