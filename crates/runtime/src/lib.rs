//! What the fleet's programs share around their state machines: logs, clock, framed connections, long
//! computations.

#![forbid(unsafe_code)]

pub mod aside;
pub mod clock;
pub mod link;
pub mod log;

pub use aside::aside;
pub use clock::Clock;
pub use link::{LinkError, LinkReader, LinkWriter, accept, dial};
