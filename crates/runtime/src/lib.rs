//! What the fleet's programs share around their state machines: logs, clock, framed connections.

#![forbid(unsafe_code)]

pub mod clock;
pub mod link;
pub mod log;

pub use clock::Clock;
pub use link::{LinkError, LinkReader, LinkWriter, accept, dial};
