//! One request for the engine, and its one final answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cherryusher::RequestId;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::Instant;

use super::body::RemainingBody;
use super::engine_handle::EngineHandle;
use crate::engine::EngineMessage;
use crate::error::CallError;
use crate::intake::{Head, IdClaim};
use crate::payload::PayloadSender;
use crate::types::{Answer, Outgoing};

/// For how long what comes beyond `limits.requests` is told to stay away.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The final answer to a request.
#[derive(Debug)]
pub struct Completion {
    /// The answer.
    pub answer: Answer,
    /// Whether some of the request's body was not read.
    pub body_unread: bool,
}

/// One request for the engine.
pub(super) struct SingleRequest {
    pub(super) engine: Arc<EngineHandle>,
    pub(super) head: Head,
    pub(super) outgoing: Arc<Outgoing>,
    pub(super) request_id: RequestId,
    pub(super) id_claim: IdClaim,
    pub(super) permit: Option<OwnedSemaphorePermit>,
    /// Its room among the bodies that are passed on.
    pub(super) transfer_permit: Option<OwnedSemaphorePermit>,
    /// The body that is still coming, and where it goes.
    pub(super) remaining: Option<(Box<RemainingBody>, PayloadSender)>,
}

impl SingleRequest {
    /// Refuses it without asking the engine.
    pub(super) fn refuse(self, retry_after: Option<Duration>) -> Answer {
        self.engine.counters.count_refused(self.head.class());
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
        let body_unread = self.remaining.is_some();
        if self.permit.is_none() {
            return Ok(Completion { answer: self.refuse(Some(OVERLOAD_RETRY_AFTER)), body_unread });
        }
        let SingleRequest {
            engine,
            head,
            outgoing,
            request_id,
            id_claim: _id_claim,
            permit: _permit,
            transfer_permit,
            mut remaining,
        } = self;
        let (sender, mut answer) = oneshot::channel();
        let class = head.class();
        let upload = remaining.as_ref().map(|(remaining, _)| remaining.upload());
        // Dropped before the body's inlet: what breaks off is not a server's failure.
        let mut call = WaitingCall::new(request_id, &engine, outgoing.clone());
        if !engine.mailbox.send(EngineMessage::RequestArrived(
            head.request(request_id),
            upload,
            outgoing,
            sender,
        )) {
            call.answered = true;
            engine.counters.count_refused(class);
            return Ok(Completion { answer: Answer::Refused { retry_after: None }, body_unread });
        }
        // The engine answers all that it has heard of; without an answer its thread has died.
        let engine_died = |_| Answer::Failed { timed_out: false };
        if let Some((remaining, body_sender)) = &mut remaining {
            let early_answer = tokio::select! {
                biased;
                early_answer = &mut answer => Some(early_answer.unwrap_or_else(engine_died)),
                forwarded = remaining.forward(body_sender, head.client_timeout()) => {
                    let client_remaining = forwarded?.saturating_duration_since(Instant::now());
                    engine.mailbox.send(EngineMessage::BodyReceived(request_id, client_remaining.as_micros() as u64));
                    None
                }
            };
            if let Some(answer) = early_answer {
                call.answered = true;
                return Ok(Completion { answer, body_unread });
            }
        }
        // Its body has come to its end.
        drop((remaining, transfer_permit));
        let answer = answer.await;
        call.answered = true;
        Ok(Completion { answer: answer.unwrap_or_else(engine_died), body_unread: false })
    }
}

/// A call that waits for its engine. Tells it if the client goes away first: its future is then dropped.
struct WaitingCall<'a> {
    request_id: RequestId,
    engine: &'a EngineHandle,
    outgoing: Arc<Outgoing>,
    answered: bool,
}

impl WaitingCall<'_> {
    fn new(request_id: RequestId, engine: &EngineHandle, outgoing: Arc<Outgoing>) -> WaitingCall<'_> {
        engine.waiting_calls.fetch_add(1, Ordering::Relaxed);
        WaitingCall { request_id, engine, outgoing, answered: false }
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.engine.waiting_calls.fetch_sub(1, Ordering::Relaxed);
        if !self.answered {
            // Known to its attempts at once, and not only when the engine has come to it.
            self.outgoing.end();
            self.engine.mailbox.send(EngineMessage::ClientLeft(self.request_id));
        }
    }
}
