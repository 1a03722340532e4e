//! Errors of requests that are not accepted, and of a node's start.

use std::time::Duration;

use dunelink_edge::Fault;
use dunelink_graphql::{Rejection, ResponseMediaType};
use http::StatusCode;

/// A boxed error of any kind, as tower's middleware passes on.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why a request was not accepted. Nothing of it was sent to a server.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// let error = node.handle().call(http::Request::get("/other/7").body(String::new())?).await.unwrap_err();
/// assert_eq!((error.status().as_u16(), error.to_string()), (404, "no such class".into()));
/// assert_eq!(node.handle().counts().taken, 0);
/// # Ok(()) }
/// ```
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CallError {
    /// The request is invalid; the sender has to correct it.
    #[error("{0}")]
    Invalid(#[from] InvalidRequest),
    /// Its body could not be read.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// The GraphQL request was rejected.
    #[error("{rejection}")]
    GraphQl {
        /// Why it was rejected.
        rejection: Rejection,
        /// The media type that the client accepts.
        media: ResponseMediaType,
    },
    /// The node was shut down. Nothing ran; another node may be tried.
    #[error("the node was shut down")]
    Closed,
}

impl CallError {
    /// The HTTP status of the error: 4xx but never 429 if the sender has to correct the request, 503 if a
    /// retry at another node is harmless. A GraphQL client that accepts only `application/json` gets 200 for
    /// a document that can't be run, as the GraphQL-over-HTTP specification requires.
    pub fn status(&self) -> StatusCode {
        match self {
            CallError::Invalid(invalid) => invalid.status,
            CallError::Body(BodyError::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
            CallError::Body(BodyError::TimedOut { .. }) => StatusCode::REQUEST_TIMEOUT,
            CallError::Body(BodyError::Broken(_)) => StatusCode::BAD_REQUEST,
            CallError::GraphQl { rejection, media } => rejection.status(*media),
            CallError::Closed => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// What is wrong with an invalid request.
///
/// ```
/// use dunelink::{CallError, InvalidRequest};
///
/// let invalid = InvalidRequest::new(http::StatusCode::CONFLICT, "taken");
/// assert_eq!(CallError::from(invalid).status(), 409);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
#[non_exhaustive]
pub struct InvalidRequest {
    /// The HTTP status for the sender.
    pub status: StatusCode,
    /// The text for the sender.
    pub reason: &'static str,
    /// The allowed method, with status 405 only.
    pub allow: Option<&'static str>,
}

impl InvalidRequest {
    /// An error with this status and text.
    pub const fn new(status: StatusCode, reason: &'static str) -> InvalidRequest {
        InvalidRequest { status, reason, allow: None }
    }
}

impl From<Fault> for InvalidRequest {
    fn from(fault: Fault) -> InvalidRequest {
        InvalidRequest::new(fault.status(), fault.reason())
    }
}

/// Why a body could not be read.
///
/// ```
/// use dunelink::{BodyError, CallError};
///
/// let error = CallError::from(BodyError::TooLarge { limit: 65_536 });
/// assert_eq!((error.status().as_u16(), error.to_string()), (413, "the body is over 65536 bytes".into()));
/// ```
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BodyError {
    /// It is longer than `limits.body` allows, or, where bodies are streamed, `limits.stream`.
    #[error("the body is over {limit} bytes")]
    TooLarge {
        /// The maximum length of a body in bytes.
        limit: usize,
    },
    /// It was not complete in time.
    #[error("the body was not whole after {after:?}")]
    TimedOut {
        /// How long the node waited for it.
        after: Duration,
    },
    /// Its stream failed or ended early.
    #[error("the body is broken: {0}")]
    Broken(#[source] BoxError),
}

/// Why a node did not start.
///
/// ```
/// use dunelink::{Config, Node, StartError};
///
/// let error = Node::builder(Config::default()).start().map(|_| ()).unwrap_err();
/// assert!(matches!(&error, StartError::Config(why) if why.key == "classes"), "{error}");
/// ```
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The configuration is inconsistent.
    #[error(transparent)]
    Config(#[from] crate::config::ConfigError),
    /// The thread or its runtime could not be created.
    #[error("the engine's thread could not be started: {0}")]
    Thread(#[from] std::io::Error),
}

/// The node has been shut down.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// let fleet = node.handle().clone();
/// node.shutdown(Duration::ZERO).await;
/// assert_eq!(fleet.snapshot().await, Err(dunelink::Closed));
/// # Ok(()) }
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the node was shut down")]
pub struct Closed;
