//! What the fleet's programs share around their state machines: logs, clock, framed connections, long
//! computations.

#![forbid(unsafe_code)]

pub mod clock;
pub mod link;
pub mod log;
pub mod offload;

pub use clock::Clock;
pub use link::{LinkError, LinkReader, LinkWriter, accept, dial};
pub use offload::offload_if_large;
