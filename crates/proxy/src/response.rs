//! Answers to clients: the process's own, and those of servers.

use std::any::Any;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;

use crate::relay::RelayedBody;

/// Names the try of a client.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-dunelink-request-id");
/// Milliseconds that the sender waits.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-dunelink-deadline-ms");
/// The id of the server that alone may run the request.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-dunelink-expect-instance");
/// How urgent a request is for a server that runs a model, from 0, the most urgent, to 9.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// The tenant that holds the client's key.
pub const TENANT: HeaderName = HeaderName::from_static("x-dunelink-tenant");
/// Tokens of the prompt and tokens to be made at most.
pub const TOKEN_COUNTS: HeaderName = HeaderName::from_static("x-dunelink-token-counts");
/// Parts of the prompt.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-dunelink-prompt-prefix");
/// A server's stamp on its answer.
pub const RESPONSE_SEAL: HeaderName = HeaderName::from_static("x-dunelink-response-seal");
/// A server's word that it has not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-dunelink-not-executed");
/// A server's load: running, waiting, slots.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("x-dunelink-server-load");
/// The last event that a client has seen.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Why an answer's body ended early: the client's connection is cut, so that it does not look complete.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The server or the way to it broke.
    #[error("the server's answer broke off; the client's connection is closed, and a client may ask again")]
    Broken,
    /// The time of the request is over.
    #[error("the time of the request is over; a client may ask again with a longer deadline")]
    TimedOut,
}

/// The body of an answer. The request counts as in hand until it is dropped.
pub struct ResponseBody {
    kind: BodyKind,
    _guard: Option<Box<dyn Any>>,
}

enum BodyKind {
    Full(Option<Bytes>),
    Relayed(Box<RelayedBody>),
}

impl ResponseBody {
    /// A body that is there whole.
    pub fn full(bytes: Bytes) -> Self {
        Self { kind: BodyKind::Full(Some(bytes).filter(|bytes| !bytes.is_empty())), _guard: None }
    }

    /// A body that is passed on as it comes.
    pub fn relayed(relayed: RelayedBody) -> Self {
        Self { kind: BodyKind::Relayed(Box::new(relayed)), _guard: None }
    }

    /// Drops `guard` with the body: what counts the request as in hand.
    pub fn with_guard(self, guard: Box<dyn Any>) -> Self {
        Self { _guard: Some(guard), ..self }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut self.kind {
            BodyKind::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            BodyKind::Relayed(relayed) => {
                relayed.poll_data(cx).map(|data| data.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.kind, BodyKind::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            BodyKind::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            BodyKind::Relayed(relayed) => relayed.length().map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}

/// An answer of the process's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalReply {
    status: StatusCode,
    retry_after: Option<Duration>,
    closes_connection: bool,
}

impl LocalReply {
    /// An answer with nothing but its status.
    pub fn new(status: StatusCode) -> Self {
        Self { status, retry_after: None, closes_connection: false }
    }

    /// Tells the client when to come back.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Ends the client's connection: what stands on it can't be relied on.
    pub fn closing_connection(self) -> Self {
        Self { closes_connection: true, ..self }
    }

    /// Its status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// The response, for the request of this id.
    pub fn into_response(self, id: Option<&HeaderValue>) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::full(Bytes::new()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        if let Some(id) = id {
            headers.insert(REQUEST_ID, id.clone());
        }
        if let Some(retry_after) = self.retry_after
            && let Ok(retry_after) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
        {
            headers.insert(header::RETRY_AFTER, retry_after);
        }
        if self.closes_connection {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
