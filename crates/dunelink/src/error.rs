//! What can go wrong before a request is taken, and at a node's start.

use std::time::Duration;

use dunelink_edge::Fault;
use dunelink_graphql::{Media, Rejection};
use http::StatusCode;

/// An error of any kind, as tower's middleware hands them on.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why a request was not taken. Nothing of it was sent to a server.
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
    /// The request is not one that the node can take; the sender has to mend it.
    #[error("{0}")]
    Invalid(#[from] InvalidRequest),
    /// Its body could not be read.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// The GraphQL in it is not to be passed on.
    #[error("{rejection}")]
    GraphQl {
        /// Why.
        rejection: Rejection,
        /// What its client reads.
        media: Media,
    },
    /// The node was shut down. Nothing ran; another node may be asked.
    #[error("the node was shut down")]
    Closed,
}

impl CallError {
    /// The HTTP status for it: 4xx but never 429 for what the sender has to mend, 503 where a repeat elsewhere
    /// is harmless. To a GraphQL client that reads `application/json` alone, a document that can't be run is told of
    /// with 200, as that specification has it.
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

/// What is wrong with a request.
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
    /// The status that tells its sender.
    pub status: StatusCode,
    /// What is wrong, in words.
    pub reason: &'static str,
    /// With status 405, the method that would do.
    pub allow: Option<&'static str>,
}

impl InvalidRequest {
    /// What is wrong, and the status that says so.
    pub const fn new(status: StatusCode, reason: &'static str) -> InvalidRequest {
        InvalidRequest { status, reason, allow: None }
    }
}

impl From<Fault> for InvalidRequest {
    fn from(fault: Fault) -> InvalidRequest {
        InvalidRequest::new(fault.status(), fault.reason())
    }
}

/// What became of a body that could not be used.
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
    /// It holds more than `limits.body` allows.
    #[error("the body is over {limit} bytes")]
    TooLarge {
        /// The most bytes that a body may hold.
        limit: usize,
    },
    /// It did not come to its end in time.
    #[error("the body was not whole after {after:?}")]
    TimedOut {
        /// How long it was waited for.
        after: Duration,
    },
    /// Its stream failed, or ended early.
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
    /// The configuration does not hold together.
    #[error(transparent)]
    Config(#[from] crate::config::ConfigError),
    /// The thread or its runtime could not be made.
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
