//! A request that has been read and checked, and its one final answer.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::batch::Batch;
use super::single_request::{Completion, SingleRequest};
use crate::error::CallError;
use crate::http::Rendering;
use crate::types::Answer;

/// A request that has been read and checked. It counts as accepted once [`ReceivedRequest::answer`] is
/// polled; dropped before that, it has no effect.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// let received = node.handle().receive(http::Request::get("/view/7").body(String::new())?, None).await?;
/// // A frontend without capacity refuses it; the request still gets its one final answer.
/// assert!(received.refuse(Duration::from_secs(1)).is_refused());
/// assert_eq!(node.handle().counts().refused, 1);
/// # Ok(()) }
/// ```
pub struct ReceivedRequest {
    pub(super) body: Bytes,
    pub(super) deadline: Instant,
    pub(super) rendering: Rendering,
    pub(super) work: Work,
}

/// A single request to an engine, or a batch of several.
pub(super) enum Work {
    Single(SingleRequest),
    Batch(Batch),
}

impl ReceivedRequest {
    /// When the client gives up.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Whether its body has been received completely.
    pub fn is_fully_received(&self) -> bool {
        !matches!(&self.work, Work::Single(SingleRequest { remaining: Some(_), .. }))
    }

    /// The request's body; if it is streamed, the bytes received so far.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// The format in which its answer is written for the client.
    pub fn rendering(&self) -> Rendering {
        self.rendering
    }

    /// Refuses the request without asking the engine, because its frontend has no capacity for it.
    pub fn refuse(self, retry_after: Duration) -> Answer {
        match self.work {
            Work::Single(request) => request.refuse(Some(retry_after)),
            Work::Batch(batch) => batch.refuse(retry_after),
        }
    }

    /// Accepts the request and waits for its one final answer, as [`Handle::call`](crate::Handle::call) does.
    ///
    /// # Errors
    ///
    /// Its body broke off while it was streamed, so that the request was not accepted. Nothing ran.
    pub async fn answer(self) -> Result<Answer, CallError> {
        Ok(self.finish().await?.answer)
    }

    /// Like [`ReceivedRequest::answer`], but also tells whether part of the body was not read: the answer
    /// does not wait for that.
    ///
    /// # Errors
    ///
    /// As for [`ReceivedRequest::answer`].
    pub async fn finish(self) -> Result<Completion, CallError> {
        match self.work {
            Work::Single(request) => request.finish().await,
            Work::Batch(batch) => Ok(Completion { answer: batch.answer().await, body_unread: false }),
        }
    }
}
