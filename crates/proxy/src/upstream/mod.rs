//! Connections to servers.

mod connection;
mod counting_socket;
mod pool;
mod timer;

pub use connection::{SendResult, UpstreamConnection, UpstreamResponse};
pub use pool::{ConnectionPermit, ConnectionPool};
pub use timer::{RequestTimer, TimeoutKind};
