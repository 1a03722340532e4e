//! A request that the node can take, and its one final answer.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::batch::Batch;
use super::single_request::{Completion, SingleRequest};
use crate::error::CallError;
use crate::http::Rendering;
use crate::types::Answer;

/// A request that the node can take: whole, and in order. It counts as taken once [`ReceivedRequest::answer`] is
/// polled; dropped before that, nothing has happened.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// let received = node.handle().receive(http::Request::get("/view/7").body(String::new())?, None).await?;
/// // A front that has no room itself turns it away; it still has its one final answer.
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

/// One request for the engine, or several in one.
pub(super) enum Work {
    Single(SingleRequest),
    Batch(Batch),
}

impl ReceivedRequest {
    /// When no answer is of use any more.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Whether its body is there as a whole.
    pub fn is_fully_received(&self) -> bool {
        !matches!(&self.work, Work::Single(SingleRequest { remaining: Some(_), .. }))
    }

    /// The request's body; of one that is passed on, what has come.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// How its answer is to be written for the client.
    pub fn rendering(&self) -> Rendering {
        self.rendering
    }

    /// Refuses the request without asking the engine: its front has no room for it.
    pub fn refuse(self, retry_after: Duration) -> Answer {
        match self.work {
            Work::Single(request) => request.refuse(Some(retry_after)),
            Work::Batch(batch) => batch.refuse(retry_after),
        }
    }

    /// Takes the request and waits for its one final answer, as [`Handle::call`](crate::Handle::call) does.
    ///
    /// # Errors
    ///
    /// Its body broke off on the way, so that it was not taken. Nothing ran.
    pub async fn answer(self) -> Result<Answer, CallError> {
        Ok(self.finish().await?.answer)
    }

    /// The same, and whether some of the body was not read: the answer does not wait for that.
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
