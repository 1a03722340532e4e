//! Runtime services shared by the fleet's programs: logging, the monotonic clock, framed connections,
//! listening sockets, offloading of long computations, and memory budgets.

#![forbid(unsafe_code)]

pub mod clock;
pub mod link;
pub mod listen;
pub mod log;
pub mod memory_budget;
pub mod offload;

pub use clock::Clock;
pub use link::{LinkError, LinkReader, LinkWriter, accept, dial};
pub use listen::{ListenLimits, listen};
pub use memory_budget::{MemoryBudget, Reservation};
pub use offload::offload_if_large;
