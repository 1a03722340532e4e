//! A request that the node can take, and its one final answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cherryusher::RequestId;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::Instant;

use super::batch::Batch;
use super::handle::Engine;
use crate::engine::Happening;
use crate::http::Rendering;
use crate::intake::{Claimed, Head};
use crate::types::{Answer, Outgoing};

/// For how long what comes beyond `limits.requests` is told to stay away.
const CROWDED: Duration = Duration::from_secs(1);

/// A request that the node can take: whole, and in order. It counts as taken once [`Received::answer`] is
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
pub struct Received {
    pub(super) body: Bytes,
    pub(super) deadline: Instant,
    pub(super) rendering: Rendering,
    pub(super) work: Work,
}

/// One request for the engine, or several in one.
pub(super) enum Work {
    One(One),
    Batch(Batch),
}

impl Received {
    /// When no answer is of use any more.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// The request's body.
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
            Work::One(one) => one.refuse(Some(retry_after)),
            Work::Batch(batch) => batch.refuse(retry_after),
        }
    }

    /// Takes the request and waits for its one final answer, as [`Handle::call`](crate::Handle::call) does.
    pub async fn answer(self) -> Answer {
        match self.work {
            Work::One(one) => one.answer().await,
            Work::Batch(batch) => batch.answer().await,
        }
    }
}

/// One request for the engine.
pub(super) struct One {
    pub(super) engine: Arc<Engine>,
    pub(super) head: Head,
    pub(super) outgoing: Arc<Outgoing>,
    pub(super) number: RequestId,
    pub(super) claimed: Claimed,
    pub(super) place: Option<OwnedSemaphorePermit>,
}

impl One {
    /// Refuses it without asking the engine.
    pub(super) fn refuse(self, retry_after: Option<Duration>) -> Answer {
        self.engine.tally.turned_away(self.head.class());
        Answer::Refused { retry_after }
    }

    /// Takes it and waits for its one final answer.
    pub(super) async fn answer(self) -> Answer {
        if self.place.is_none() {
            return self.refuse(Some(CROWDED));
        }
        let One { engine, head, outgoing, number, claimed: _claimed, place: _place } = self;
        let (sender, answer) = oneshot::channel();
        let class = head.class();
        let mut waiting = Waiting::new(number, &engine);
        if !engine.mailbox.send(Happening::Arrived(head.request(number), outgoing, sender)) {
            waiting.answered = true;
            engine.tally.turned_away(class);
            return Answer::Refused { retry_after: None };
        }
        let answer = answer.await;
        waiting.answered = true;
        // The engine answers all that it has heard of; without an answer its thread has died.
        answer.unwrap_or(Answer::Failed { timed_out: false })
    }
}

/// A call that waits for its engine. Tells it if the client goes away first: its future is then dropped.
struct Waiting<'a> {
    number: RequestId,
    engine: &'a Engine,
    answered: bool,
}

impl Waiting<'_> {
    fn new(number: RequestId, engine: &Engine) -> Waiting<'_> {
        engine.waiting.fetch_add(1, Ordering::Relaxed);
        Waiting { number, engine, answered: false }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.engine.waiting.fetch_sub(1, Ordering::Relaxed);
        if !self.answered {
            self.engine.mailbox.send(Happening::Left(self.number));
        }
    }
}
