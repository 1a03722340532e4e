//! An answer's body on its way to a client, and what is held until it has been taken.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use dunelink::{AnswerBody, BoxError};
use hyper::body::{Body, Frame, SizeHint};

/// A body with something that is held until it is dropped, as it is at its end.
pub(crate) struct Passing<H> {
    body: AnswerBody,
    _held: H,
}

impl<H> Passing<H> {
    pub(crate) fn new(body: AnswerBody, held: H) -> Passing<H> {
        Passing { body, _held: held }
    }
}

impl<H: Unpin> Body for Passing<H> {
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
