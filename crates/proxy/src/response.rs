//! Responses to clients: the proxy's own replies and relayed server responses.

use std::any::Any;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;

use crate::client_socket::ResetOnClose;
use crate::relay::RelayedBody;

/// Client-chosen id of one attempt of a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-dunelink-request-id");
/// Time that the sender waits for the response, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-dunelink-deadline-ms");
/// Id of the only server instance that may execute the request.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-dunelink-expect-instance");
/// Priority of a request at a server that runs a model, from 0, the most urgent, to 9.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Name of the tenant that the client's API key belongs to.
pub const TENANT: HeaderName = HeaderName::from_static("x-dunelink-tenant");
/// Number of prompt tokens and maximum number of output tokens, separated by a comma.
pub const TOKEN_COUNTS: HeaderName = HeaderName::from_static("x-dunelink-token-counts");
/// Prompt parts in order, as `id:tokens` separated by commas.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-dunelink-prompt-prefix");
/// Seal that a server puts on each successful response.
pub const RESPONSE_SEAL: HeaderName = HeaderName::from_static("x-dunelink-response-seal");
/// Declares that the server has not executed the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-dunelink-not-executed");
/// Load of a server: running requests, waiting requests, slots.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("x-dunelink-server-load");
/// Id of the last event of a stream that the client has received.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Why a response body ended early. The client's connection is aborted, so that the response does not look
/// complete.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The server or the connection to it failed.
    #[error("the server's response ended early; the client's connection is closed, and the client may retry")]
    Broken,
    /// The deadline of the request has passed.
    #[error("the deadline of the request has passed; the client may retry with a longer deadline")]
    TimedOut,
}

/// The body of a response to a client. The request counts as open until the body is dropped.
pub struct ResponseBody {
    kind: BodyKind,
    /// Cleared once the body is complete; `None` if its end is visible without the end of the connection.
    reset_on_close: Option<ResetOnClose>,
    _guard: Option<Box<dyn Any>>,
}

enum BodyKind {
    Full(Option<Bytes>),
    Relayed(Box<RelayedBody>),
}

impl ResponseBody {
    /// Creates a body from complete content.
    pub fn full(bytes: Bytes) -> Self {
        Self::new(BodyKind::Full(Some(bytes).filter(|bytes| !bytes.is_empty())))
    }

    /// Creates a body that is relayed from a server as it arrives.
    pub fn relayed(relayed: RelayedBody) -> Self {
        Self::new(BodyKind::Relayed(Box::new(relayed)))
    }

    fn new(kind: BodyKind) -> Self {
        Self { kind, reset_on_close: None, _guard: None }
    }

    /// Has the client's connection reset if it closes before the body is complete, because the end of the
    /// body is the end of the connection.
    pub fn resetting_until_complete(self, reset_on_close: ResetOnClose) -> Self {
        reset_on_close.set(true);
        Self { reset_on_close: Some(reset_on_close), ..self }
    }

    /// Attaches a guard that is dropped with the body and until then counts the request as open.
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
        let frame = match &mut self.kind {
            BodyKind::Full(bytes) => bytes.take().map(|bytes| Ok(Frame::data(bytes))),
            BodyKind::Relayed(relayed) => ready!(relayed.poll_data(cx)).map(|data| data.map(Frame::data)),
        };
        if frame.is_none()
            && let Some(reset_on_close) = &self.reset_on_close
        {
            reset_on_close.set(false);
        }
        Poll::Ready(frame)
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

/// A reply that the proxy generates itself, without a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalReply {
    status: StatusCode,
    retry_after: Option<Duration>,
    closes_connection: bool,
}

impl LocalReply {
    /// Creates a reply with only a status.
    pub fn new(status: StatusCode) -> Self {
        Self { status, retry_after: None, closes_connection: false }
    }

    /// Adds a `Retry-After` header.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Adds `Connection: close`, for connections whose remaining input cannot be parsed reliably.
    pub fn closing_connection(self) -> Self {
        Self { closes_connection: true, ..self }
    }

    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Builds the response to the request with this id; `None` if the id is unknown.
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
