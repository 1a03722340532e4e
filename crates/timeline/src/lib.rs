//! The logs of many nodes as one story.
//!
//! Each process writes one event a line, as text or as JSON. Nobody's clock is trusted: what the fleet
//! decides is known to all nodes within moments, so that the same epoch in two logs tells how far apart their
//! clocks are. The merged story is then held against what must never be: two views with one epoch, two
//! holders of one thing.
//!
//! Nothing here reads a file; who does hands over lines.

mod align;
mod line;
mod merge;

pub use align::offsets;
pub use line::{Event, MAX_LINE_BYTES, parse};
pub use merge::{Contradiction, Log, MergedLog, merge};

/// A span of time in microseconds; negative is earlier.
pub type Micros = i64;
