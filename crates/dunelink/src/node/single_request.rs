//! A single request to an engine, and its one final answer.

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

/// The advised time to stay away for requests beyond `limits.requests`.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The final answer to a request, with the state of its body.
#[derive(Debug)]
pub struct Completion {
    /// The answer.
    pub answer: Answer,
    /// Whether part of the request's body was not read.
    pub body_unread: bool,
}

/// A single request to an engine.
pub(super) struct SingleRequest {
    pub(super) engine: Arc<EngineHandle>,
    pub(super) head: Head,
    pub(super) outgoing: Arc<Outgoing>,
    pub(super) request_id: RequestId,
    pub(super) id_claim: IdClaim,
    pub(super) permit: Option<OwnedSemaphorePermit>,
    /// The permit for streaming its body.
    pub(super) transfer_permit: Option<OwnedSemaphorePermit>,
    /// The rest of a body that is still being received, and where to send it.
    pub(super) remaining: Option<(Box<RemainingBody>, PayloadSender)>,
}

impl SingleRequest {
    /// Refuses the request without asking the engine.
    pub(super) fn refuse(self, retry_after: Option<Duration>) -> Answer {
        self.engine.counters.count_refused(self.head.class_index());
        Answer::Refused { retry_after }
    }

    /// Accepts the request and waits for its one final answer.
    pub(super) async fn answer(self) -> Answer {
        match self.finish().await {
            Ok(Completion { answer, .. }) => answer,
            // Only a streamed body can break off.
            Err(_) => Answer::Failed { timed_out: false },
        }
    }

    /// Like [`SingleRequest::answer`], also for a request whose body is still being received.
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
        let class = head.class_index();
        let upload = remaining.as_ref().map(|(remaining, _)| remaining.upload());
        // Declared after `remaining` and so dropped before the body's sender: a client that breaks off must
        // not look like a failure of the server.
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
        // The engine answers every request that it receives; without an answer, its thread has died.
        let engine_died = |_| Answer::Failed { timed_out: false };
        if let Some((remaining, body_sender)) = &mut remaining {
            let early_answer = tokio::select! {
                biased;
                early_answer = &mut answer => Some(early_answer.unwrap_or_else(engine_died)),
                forwarded = remaining.forward(body_sender, head.client_timeout()) => {
                    let remaining = forwarded?.saturating_duration_since(Instant::now());
                    engine
                        .mailbox
                        .send(EngineMessage::BodyReceived(request_id, remaining.as_micros() as u64));
                    None
                }
            };
            if let Some(answer) = early_answer {
                call.answered = true;
                return Ok(Completion { answer, body_unread });
            }
        }
        // The body is complete.
        drop((remaining, transfer_permit));
        let answer = answer.await;
        call.answered = true;
        Ok(Completion { answer: answer.unwrap_or_else(engine_died), body_unread: false })
    }
}

/// A call that waits for its engine. When it is dropped without an answer because the client has left, it
/// informs the engine.
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
            // The attempts learn this at once, not only when the engine processes the message.
            self.outgoing.end();
            self.engine.mailbox.send(EngineMessage::ClientLeft(self.request_id));
        }
    }
}
