//! Runtime services shared by the fleet's programs: logging, the monotonic clock, framed connections, and
//! offloading of long computations.

#![forbid(unsafe_code)]

pub mod clock;
pub mod link;
pub mod log;
pub mod offload;

pub use clock::Clock;
pub use link::{LinkError, LinkReader, LinkWriter, accept, dial};
pub use offload::offload_if_large;
