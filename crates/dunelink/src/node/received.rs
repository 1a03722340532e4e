//! A request that the node can take, and its one final answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cherryusher::RequestId;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::Instant;

use super::batch::Batch;
use super::body::Rest;
use super::handle::Engine;
use crate::engine::Happening;
use crate::error::CallError;
use crate::http::Rendering;
use crate::intake::{Claimed, Head};
use crate::payload::Inlet;
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

/// The final answer to a request.
#[derive(Debug)]
pub struct Finished {
    /// The answer.
    pub answer: Answer,
    /// Whether some of the request's body was not read.
    pub unread: bool,
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

    /// Whether its body is there as a whole.
    pub fn is_whole(&self) -> bool {
        !matches!(&self.work, Work::One(One { rest: Some(_), .. }))
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
            Work::One(one) => one.refuse(Some(retry_after)),
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
    /// As for [`Received::answer`].
    pub async fn finish(self) -> Result<Finished, CallError> {
        match self.work {
            Work::One(one) => one.finish().await,
            Work::Batch(batch) => Ok(Finished { answer: batch.answer().await, unread: false }),
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
    /// Its room among the bodies that are passed on.
    pub(super) room: Option<OwnedSemaphorePermit>,
    /// The body that is still coming, and where it goes.
    pub(super) rest: Option<(Box<Rest>, Inlet)>,
}

impl One {
    /// Refuses it without asking the engine.
    pub(super) fn refuse(self, retry_after: Option<Duration>) -> Answer {
        self.engine.tally.turned_away(self.head.class());
        Answer::Refused { retry_after }
    }

    /// Takes it and waits for its one final answer.
    pub(super) async fn answer(self) -> Answer {
        match self.finish().await {
            Ok(Finished { answer, .. }) => answer,
            // Only a body that is passed on can break off.
            Err(_) => Answer::Failed { timed_out: false },
        }
    }

    /// The same for one whose body may still be coming.
    pub(super) async fn finish(self) -> Result<Finished, CallError> {
        let unread = self.rest.is_some();
        if self.place.is_none() {
            return Ok(Finished { answer: self.refuse(Some(CROWDED)), unread });
        }
        let One { engine, head, outgoing, number, claimed: _claimed, place: _place, room, mut rest } = self;
        let (sender, mut answer) = oneshot::channel();
        let class = head.class();
        let upload = rest.as_ref().map(|(rest, _)| rest.upload());
        // Dropped before the body's inlet: what breaks off is not a server's failure.
        let mut waiting = Waiting::new(number, &engine);
        if !engine.mailbox.send(Happening::Arrived(head.request(number), upload, outgoing, sender)) {
            waiting.answered = true;
            engine.tally.turned_away(class);
            return Ok(Finished { answer: Answer::Refused { retry_after: None }, unread });
        }
        // The engine answers all that it has heard of; without an answer its thread has died.
        let dead = |_| Answer::Failed { timed_out: false };
        if let Some((rest, inlet)) = &mut rest {
            let early = tokio::select! {
                biased;
                early = &mut answer => Some(early.unwrap_or_else(dead)),
                passed = rest.pass_on(inlet, head.patience()) => {
                    let left = passed?.saturating_duration_since(Instant::now());
                    engine.mailbox.send(Happening::CameWhole(number, left.as_micros() as u64));
                    None
                }
            };
            if let Some(answer) = early {
                waiting.answered = true;
                return Ok(Finished { answer, unread });
            }
        }
        // Its body has come to its end.
        drop((rest, room));
        let answer = answer.await;
        waiting.answered = true;
        Ok(Finished { answer: answer.unwrap_or_else(dead), unread: false })
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
