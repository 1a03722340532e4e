//! One request for the engine, and its one final answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cherryusher::RequestId;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::Instant;

use super::body::Rest;
use super::engines::Engine;
use crate::engine::Happening;
use crate::error::CallError;
use crate::intake::{Claimed, Head};
use crate::payload::Inlet;
use crate::types::{Answer, Outgoing};

/// For how long what comes beyond `limits.requests` is told to stay away.
const CROWDED: Duration = Duration::from_secs(1);

/// The final answer to a request.
#[derive(Debug)]
pub struct Completion {
    /// The answer.
    pub answer: Answer,
    /// Whether some of the request's body was not read.
    pub body_unread: bool,
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
            Ok(Completion { answer, .. }) => answer,
            // Only a body that is passed on can break off.
            Err(_) => Answer::Failed { timed_out: false },
        }
    }

    /// The same for one whose body may still be coming.
    pub(super) async fn finish(self) -> Result<Completion, CallError> {
        let body_unread = self.rest.is_some();
        if self.place.is_none() {
            return Ok(Completion { answer: self.refuse(Some(CROWDED)), body_unread });
        }
        let One { engine, head, outgoing, number, claimed: _claimed, place: _place, room, mut rest } = self;
        let (sender, mut answer) = oneshot::channel();
        let class = head.class();
        let upload = rest.as_ref().map(|(rest, _)| rest.upload());
        // Dropped before the body's inlet: what breaks off is not a server's failure.
        let mut waiting = Waiting::new(number, &engine, outgoing.clone());
        if !engine.mailbox.send(Happening::Arrived(head.request(number), upload, outgoing, sender)) {
            waiting.answered = true;
            engine.tally.turned_away(class);
            return Ok(Completion { answer: Answer::Refused { retry_after: None }, body_unread });
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
                return Ok(Completion { answer, body_unread });
            }
        }
        // Its body has come to its end.
        drop((rest, room));
        let answer = answer.await;
        waiting.answered = true;
        Ok(Completion { answer: answer.unwrap_or_else(dead), body_unread: false })
    }
}

/// A call that waits for its engine. Tells it if the client goes away first: its future is then dropped.
struct Waiting<'a> {
    number: RequestId,
    engine: &'a Engine,
    outgoing: Arc<Outgoing>,
    answered: bool,
}

impl Waiting<'_> {
    fn new(number: RequestId, engine: &Engine, outgoing: Arc<Outgoing>) -> Waiting<'_> {
        engine.waiting.fetch_add(1, Ordering::Relaxed);
        Waiting { number, engine, outgoing, answered: false }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.engine.waiting.fetch_sub(1, Ordering::Relaxed);
        if !self.answered {
            // Known to its attempts at once, and not only when the engine has come to it.
            self.outgoing.end();
            self.engine.mailbox.send(Happening::Left(self.number));
        }
    }
}
