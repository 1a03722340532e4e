//! Connections to servers.

mod connection;
mod event_boundary;
mod pool;
mod socket;
mod timer;

pub use connection::{ResponseBodyError, SendResult, UpstreamConnection, UpstreamResponse};
pub use event_boundary::EventBoundary;
pub use pool::{ConnectionPermit, ConnectionPool};
pub use timer::{RequestTimer, TimeoutKind};
